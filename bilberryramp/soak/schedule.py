"""Draws the faults of a soak from its seed."""

import random
from collections.abc import Iterator

from bilberryramp.soak import observations

__all__ = ["draw"]

# Mean pause between two faults; shorter than most faults last, so that they
# overlap.
MEAN_PAUSE_MS = 1300
# After a data folder was emptied no other core node is harmed for this long:
# the time in which a node must have caught up, and some to start.
CATCH_UP_MS = 7000
_Kind = observations.FaultKind
# How often each kind is drawn, and how long it lasts at least and at most.
NODE_FAULTS = (
    (_Kind.KILL, 4, 300, 2500),
    (_Kind.PAUSE, 4, 400, 5000),
    (_Kind.STOP, 4, 0, 0),
    (_Kind.WIPE, 2, 500, 2000),
    (_Kind.KILL_ALL, 1, 300, 1500),
    (_Kind.DISK, 2, 500, 4000),
)
NEEDS_DISK = frozenset({_Kind.WIPE, _Kind.DISK})
LINK_FAULTS = (
    (_Kind.DELAY, 3, 500, 4000),
    (_Kind.RESET, 3, 0, 0),
    (_Kind.SILENT, 3, 500, 5000),
    (_Kind.ONE_WAY, 3, 500, 4000),
    (_Kind.CUT, 4, 2500, 6000),
)
ENGINE_FAULTS = (
    (_Kind.ENGINE_CRASH, 4, 500, 3000),
    (_Kind.ENGINE_DRAIN, 2, 2500, 4000),
)
# A planned stop has ended after the grace period.
MAX_STOP_MS = 8000


def draw(
    seed: int, length_ms: int, core: list, nodes: list, engines: list
) -> Iterator[observations.Fault]:
    """Draw faults in order of time.

    Parameters
    ----------
    seed, length_ms
        The soak's seed and the time in which faults begin.
    core, nodes, engines
        Names of the nodes with a disk, of all nodes and of the engines.

    Yields
    ------
    Fault
        Overlapping; at most one core node at a time is without its data.
    """
    rng = random.Random(seed)
    now_ms = 0
    protected_until_ms = 0
    while True:
        now_ms += int(rng.expovariate(1 / MEAN_PAUSE_MS))
        if now_ms >= length_ms:
            return
        rows = rng.choice((NODE_FAULTS, LINK_FAULTS, ENGINE_FAULTS))
        kind, _, min_ms, max_ms = rng.choices(rows, [row[1] for row in rows])[
            0
        ]
        to_ms = now_ms + rng.randint(min_ms, max_ms)
        if rows is ENGINE_FAULTS:
            target = rng.choice(engines)
        elif rows is LINK_FAULTS:
            target = rng.choice(
                nodes if kind is _Kind.CUT else [*nodes, *engines]
            )
        else:
            target = rng.choice(core if kind in NEEDS_DISK else nodes)
        affects_core = target in core or kind is _Kind.KILL_ALL
        if affects_core and now_ms < protected_until_ms:
            continue
        if kind is _Kind.WIPE:
            protected_until_ms = to_ms + CATCH_UP_MS
        if kind is _Kind.STOP:
            to_ms = now_ms + MAX_STOP_MS
        yield observations.Fault(kind, target, now_ms, to_ms)
