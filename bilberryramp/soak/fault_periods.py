"""Tell for which periods faults excuse a node or all of them."""

from collections.abc import Iterable

from bilberryramp.soak import observations

__all__ = [
    "CUTS",
    "ENGINE_KINDS",
    "FAULT_FREE_MS",
    "INTERRUPTIONS",
    "PLANNED_KINDS",
    "UNPLANNED_KINDS",
    "is_active",
    "is_fault_free",
    "was_hit",
]

_Kind = observations.FaultKind
# Time limits are checked only if no fault was active from this long before
# the checked period until its end.
FAULT_FREE_MS = 3000
# Faults of engines, which excuse no node.
ENGINE_KINDS = frozenset(
    {
        _Kind.ENGINE_DRAIN,
        _Kind.ENGINE_LEAVE,
        _Kind.ENGINE_CRASH,
        _Kind.ENGINE_PAUSE,
        _Kind.ENGINE_ERRORS,
    }
)
# Planned work at a node that runs on, which excuses nothing.
PLANNED_KINDS = frozenset({_Kind.RELOAD, _Kind.CHANGE})
NODE_OR_LINK_KINDS = frozenset(_Kind) - ENGINE_KINDS - PLANNED_KINDS
# Faults of a node or its links, without planned work.
UNPLANNED_KINDS = NODE_OR_LINK_KINDS - {_Kind.STOP}
# Faults after which a node may have forgotten what it knew.
INTERRUPTIONS = frozenset(
    {_Kind.KILL, _Kind.PAUSE, _Kind.STOP, _Kind.WIPE, _Kind.KILL_ALL}
)
# Faults that cut a node or an engine off.
CUTS = frozenset({_Kind.CUT, _Kind.SILENT, _Kind.ONE_WAY})


def is_active(fault: observations.Fault, from_ms: int, to_ms: int) -> bool:
    """Return whether a fault was active at any time of a period."""
    return fault.from_ms < to_ms and fault.to_ms > from_ms


def was_hit(
    faults: Iterable[observations.Fault],
    kinds: frozenset,
    target: str,
    from_ms: int,
    to_ms: int,
) -> bool:
    """Return whether a node or an engine had a fault in a period.

    Parameters
    ----------
    faults
        Faults of the soak.
    kinds
        Kinds of faults that count.
    target
        Name of the node or engine.
    from_ms, to_ms
        Start and end of the period.

    Returns
    -------
    bool
        Whether one of the faults was active there, or at all nodes.
    """
    return any(
        fault.kind in kinds
        and (fault.target == target or fault.kind is _Kind.KILL_ALL)
        and is_active(fault, from_ms, to_ms)
        for fault in faults
    )


def is_fault_free(
    faults: Iterable[observations.Fault],
    from_ms: int,
    to_ms: int,
    kinds: frozenset = NODE_OR_LINK_KINDS,
) -> bool:
    """Return whether no fault was active in a period.

    Parameters
    ----------
    faults
        Faults of the soak.
    from_ms, to_ms
        Start and end of the period.
    kinds
        Kinds of faults that count; by default, those of nodes and links.

    Returns
    -------
    bool
        Whether none of these faults was active.
    """
    return not any(
        fault.kind in kinds and is_active(fault, from_ms, to_ms)
        for fault in faults
    )
