"""The upstreams that announce themselves, as one node knows them.

There is no list: each upstream's heartbeats reach some node, which passes
them on. They may come late, out of order or after the upstream has gone, so
each carries its start time and a counter, and what has left stays known.
"""

import dataclasses
from collections.abc import Iterator

__all__ = [
    "Announcement",
    "ResidentModel",
    "Keepalive",
    "Table",
    "Upstream",
    "forget_silent",
    "is_usable",
    "record_announcement",
    "record_order_outcome",
    "record_keepalive",
    "keepalive_for",
    "recent_announcements",
    "usable_upstreams",
]

# Heartbeats that may be missed before an upstream counts as silent.
MISSED_HEARTBEATS = 4
# Every so many heartbeats one is passed on whole, for nodes that missed some.
FULL_ANNOUNCEMENT_EVERY = 5
# For this long what an order did counts more than heartbeats, which may tell
# of the time before it.
ORDER_OUTCOME_MS = 3000
# How long an upstream that left is remembered; later heartbeats of it are
# at most some seconds late.
FORGET_AFTER_MS = 120_000


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentModel:
    """A model that an engine holds, with its adapters."""

    model: str
    version: int
    adapters: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """One heartbeat.

    Attributes
    ----------
    born_ms
        Start of the process, in wall time; a restart may keep the id.
    seq
        Counts the heartbeats of one process.
    slots
        Requests that it serves at once.
    leaving, gone
        It drains, or has said that it leaves without draining first.
    remaining_ms
        Time until it is gone regardless of its work; -1 if not told.
    copies
        Models that it need not fetch from the weight store.
    """

    upstream_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    born_ms: int
    seq: int
    leaving: bool
    gone: bool
    remaining_ms: int
    held: tuple[ResidentModel, ...]
    copies: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Keepalive:
    """A heartbeat that differs from the one before only in its counter."""

    upstream_id: str
    born_ms: int
    seq: int


@dataclasses.dataclass(slots=True)
class Upstream:
    """What is known of one upstream.

    Attributes
    ----------
    heard_ms
        When a heartbeat of it last reached any node, on this clock.
    models
        Adapters by model, as last told or learned from orders.
    learned
        What orders did lately: by model and adapter, whether it is held and
        when that was learned.
    """

    last: Announcement
    heard_ms: int
    leaving_since_ms: int = -1
    models: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    order_outcomes: dict[tuple[str, str], tuple[bool, int]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(slots=True)
class Table:
    """All upstreams by id, and the newest id at each address.

    Attributes
    ----------
    grown_ms
        When an upstream was last heard for the first time.
    """

    heartbeat_ms: int
    last_joined_ms: int = 0
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    by_address: dict[str, str] = dataclasses.field(default_factory=dict)


def record_announcement(
    table: Table, announcement: Announcement, now_ms: int
) -> bool:
    """Take in a heartbeat.

    Parameters
    ----------
    table
        Changed in place.
    told
        The heartbeat.
    now_ms
        The present.

    Returns
    -------
    bool
        Whether it told anything new; False for one out of date.
    """
    known = table.upstreams.get(announcement.upstream_id)
    if known is not None and _is_older(announcement, known.last):
        return False
    if not _owns_address(table, announcement):
        return False
    if known is None or known.last.born_ms != announcement.born_ms:
        known = Upstream(announcement, now_ms)
        table.upstreams[announcement.upstream_id] = known
        table.last_joined_ms = now_ms
    is_departing = announcement.leaving or announcement.gone
    if is_departing and known.leaving_since_ms < 0:
        known.leaving_since_ms = now_ms
    known.last = announcement
    known.heard_ms = now_ms
    known.models = {
        held.model: set(held.adapters) for held in announcement.held
    }
    _apply_order_outcomes(known, now_ms)
    table.by_address[announcement.address] = announcement.upstream_id
    return True


def keepalive_for(
    table: Table, announcement: Announcement
) -> Keepalive | None:
    """Shorten a heartbeat that tells nothing new.

    Parameters
    ----------
    table, told
        The table before it takes in the heartbeat.

    Returns
    -------
    Pulse or None
        None when the whole heartbeat must be passed on.
    """
    known = table.upstreams.get(announcement.upstream_id)
    if known is None or announcement.seq % FULL_ANNOUNCEMENT_EVERY == 0:
        return None
    if dataclasses.replace(announcement, seq=known.last.seq) != known.last:
        return None
    return Keepalive(
        announcement.upstream_id, announcement.born_ms, announcement.seq
    )


def record_keepalive(table: Table, keepalive: Keepalive, now_ms: int) -> None:
    """Take in a shortened heartbeat.

    Parameters
    ----------
    table, pulse, now_ms
        The table, changed in place, the heartbeat and the present.
    """
    known = table.upstreams.get(keepalive.upstream_id)
    if known is not None and known.last.born_ms == keepalive.born_ms:
        record_announcement(
            table, dataclasses.replace(known.last, seq=keepalive.seq), now_ms
        )


def _is_older(announcement: Announcement, last: Announcement) -> bool:
    if (announcement.born_ms, announcement.seq) <= (last.born_ms, last.seq):
        # A farewell may carry no counter of its own.
        return not (
            announcement.gone
            and announcement.born_ms == last.born_ms
            and not last.gone
        )
    return False


def _owns_address(table: Table, announcement: Announcement) -> bool:
    other_id = table.by_address.get(
        announcement.address, announcement.upstream_id
    )
    other = table.upstreams.get(other_id)
    return (
        other is None
        or other_id == announcement.upstream_id
        or announcement.born_ms >= other.last.born_ms
    )


def record_order_outcome(
    table: Table,
    upstream_id: str,
    model: str,
    adapter: str,
    held: bool,
    now_ms: int,
) -> None:
    """Record that an engine holds or lacks a model, or an adapter of it.

    Parameters
    ----------
    table
        Changed in place.
    upstream_id, model, adapter
        `adapter` is empty for the model alone.
    held
        Whether the engine holds it.
    now_ms
        The present.
    """
    known = table.upstreams.get(upstream_id)
    if known is not None:
        known.order_outcomes[(model, adapter)] = (held, now_ms)
        _apply_order_outcomes(known, now_ms)


def _apply_order_outcomes(known: Upstream, now_ms: int) -> None:
    for key, (held, at_ms) in list(known.order_outcomes.items()):
        if now_ms - at_ms > ORDER_OUTCOME_MS:
            known.order_outcomes.pop(key)
        else:
            _set_residency(known.models, *key, held)


def _set_residency(
    models: dict[str, set[str]], model: str, adapter: str, held: bool
) -> None:
    if held and adapter:
        models.setdefault(model, set()).add(adapter)
    elif held:
        models.setdefault(model, set())
    elif adapter:
        models.get(model, set()).discard(adapter)
    else:
        models.pop(model, None)


def is_usable(table: Table, upstream_id: str, now_ms: int) -> bool:
    """Tell whether an upstream may get requests.

    Parameters
    ----------
    table, upstream_id, now_ms
        The upstream and the present.

    Returns
    -------
    bool
        False once it leaves, was replaced at its address or fell silent.
    """
    known = table.upstreams.get(upstream_id)
    return (
        known is not None
        and known.leaving_since_ms < 0
        and table.by_address.get(known.last.address) == upstream_id
        and now_ms - known.heard_ms < MISSED_HEARTBEATS * table.heartbeat_ms
    )


def usable_upstreams(
    table: Table, service: str, now_ms: int
) -> Iterator[Upstream]:
    """List a service's upstreams that may get requests.

    Parameters
    ----------
    table, service, now_ms
        The service and the present.

    Yields
    ------
    Upstream
        In no order that means anything.
    """
    for upstream_id, known in table.upstreams.items():
        if known.last.service == service and is_usable(
            table, upstream_id, now_ms
        ):
            yield known


def forget_silent(table: Table, now_ms: int) -> None:
    """Forget upstreams not heard for a long time.

    Parameters
    ----------
    table, now_ms
        The table, changed in place, and the present.
    """
    for upstream_id, known in list(table.upstreams.items()):
        if now_ms - known.heard_ms > FORGET_AFTER_MS:
            table.upstreams.pop(upstream_id)
            address = known.last.address
            if table.by_address.get(address) == upstream_id:
                table.by_address.pop(address)


def recent_announcements(
    table: Table, now_ms: int
) -> tuple[Announcement, ...]:
    """List the last heartbeats, for a node that has just started.

    Parameters
    ----------
    table, now_ms
        The table and the present.

    Returns
    -------
    tuple of Announcement
        Of upstreams in use and of those that left lately.
    """
    recent_ms = MISSED_HEARTBEATS * table.heartbeat_ms
    return tuple(
        known.last
        for known in table.upstreams.values()
        if known.leaving_since_ms >= 0 or now_ms - known.heard_ms < recent_ms
    )
