"""Table of the upstreams that announce themselves, as seen by one node.

There is no central registry. Each upstream sends its announcements to some
node, which relays them to the others. An announcement may arrive late, out of
order or after the upstream has stopped. It therefore carries the start time
of the process and a counter, and upstreams that have left stay in the table.
"""

import dataclasses

__all__ = [
    "Announcement",
    "ResidentModel",
    "Keepalive",
    "LeavingNotice",
    "Table",
    "Upstream",
    "remove_silent_upstreams",
    "is_usable",
    "record_announcement",
    "record_leaving",
    "record_residency",
    "record_keepalive",
    "keepalive_for",
    "recent_announcements",
    "usable_upstreams",
]

# Number of intervals without a heartbeat after which an upstream is silent and
# gets no requests.
MISSED_HEARTBEATS = 4
# An announcement is relayed in full if its counter is a multiple of this, for
# nodes that missed earlier ones.
FULL_ANNOUNCEMENT_EVERY = 5
# Time for which an agent's report or the end of a call overrides the resident
# models in announcements, which may describe the state before it.
OBSERVATION_TTL_MS = 3000
# Time without a heartbeat after which an upstream is removed from the table.
# Delayed announcements arrive within seconds, so none can restore it.
UPSTREAM_EXPIRY_MS = 120_000


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentModel:
    """A model that is resident on an engine.

    Attributes
    ----------
    model
        Name of the model.
    version
        Version of the model.
    adapters
        Names of its resident adapters.
    """

    model: str
    version: int
    adapters: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """State that an upstream reports about itself in a heartbeat.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    service
        Name of the service to which it belongs.
    address
        Host and port of the upstream.
    failure_domain
        Failure domain of its instance.
    slots
        Number of requests that the upstream can serve concurrently.
    born_ms
        Start of the process in milliseconds of wall-clock time. It
        distinguishes a restarted process that kept its id.
    seq
        Counter of the announcements of this process.
    leaving
        Whether the upstream is draining.
    gone
        Whether the upstream has announced its departure, with or without
        draining.
    remaining_ms
        Time in milliseconds until the upstream stops whether or not its
        requests have completed; -1 if unknown.
    held
        Resident models; empty for services other than engines.
    copies
        Models with a local copy, which need not be fetched from the weight
        store.
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
    """Abbreviated announcement that differs from the last only in `seq`.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    born_ms, seq
        As in `Announcement`.
    """

    upstream_id: str
    born_ms: int
    seq: int


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingNotice:
    """Notice that an answer of an upstream said that it is leaving.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    born_ms
        As in `Announcement`; the notice concerns only this process.
    """

    upstream_id: str
    born_ms: int


@dataclasses.dataclass(slots=True)
class Upstream:
    """Entry of the table for one process of an upstream.

    Attributes
    ----------
    announcement
        Newest announcement of the process.
    heard_ms
        When this node last received a heartbeat of the upstream, directly or
        relayed.
    leaving_since_ms
        When the upstream was first known to be leaving, from an announcement
        or from an answer; -1 if it is not.
    models
        Names of resident adapters by model, from the last announcement and
        from newer observations.
    observations
        Recent observations by model and adapter: whether it is resident, and
        when that was recorded.
    """

    announcement: Announcement
    heard_ms: int
    leaving_since_ms: int = -1
    models: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    observations: dict[tuple[str, str], tuple[bool, int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Table:
    """All upstreams that a node knows.

    Attributes
    ----------
    heartbeat_ms
        Interval between heartbeats in milliseconds.
    last_joined_ms
        When a process of an upstream was last added.
    upstreams
        Upstreams by id.
    by_address
        Id of the newest upstream at each address.
    revision
        Number of changes of the table.
    usable
        Result of `usable_upstreams` by service, with the time and the
        revision for which it was computed.
    """

    heartbeat_ms: int
    last_joined_ms: int = 0
    revision: int = 0
    usable: dict[str, tuple[int, int, tuple[Upstream, ...]]] = (
        dataclasses.field(default_factory=dict)
    )
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    by_address: dict[str, str] = dataclasses.field(default_factory=dict)


def record_announcement(
    table: Table, announcement: Announcement, now_ms: int
) -> bool:
    """Record an announcement.

    Parameters
    ----------
    table
        Table of upstreams. Modified in place.
    announcement
        Announcement received from the upstream or relayed by a node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True if the announcement was applied; False if a newer one was, or if
        a process that started later uses the address.
    """
    upstream = table.upstreams.get(announcement.upstream_id)
    if upstream is not None and _is_older(announcement, upstream.announcement):
        return False
    if not _owns_address(table, announcement):
        return False
    if (
        upstream is None
        or upstream.announcement.born_ms != announcement.born_ms
    ):
        upstream = Upstream(announcement, now_ms)
        table.upstreams[announcement.upstream_id] = upstream
        table.last_joined_ms = now_ms
    is_departing = announcement.leaving or announcement.gone
    if is_departing and upstream.leaving_since_ms < 0:
        upstream.leaving_since_ms = now_ms
    upstream.announcement = announcement
    upstream.heard_ms = now_ms
    upstream.models = {
        held.model: set(held.adapters) for held in announcement.held
    }
    _apply_observations(upstream, now_ms)
    table.by_address[announcement.address] = announcement.upstream_id
    table.revision += 1
    return True


def keepalive_for(
    table: Table, announcement: Announcement
) -> Keepalive | None:
    """Return the keepalive that can be relayed instead of an announcement.

    Parameters
    ----------
    table
        Table of upstreams before the announcement is recorded.
    announcement
        Announcement to relay.

    Returns
    -------
    Keepalive or None
        None if the announcement must be relayed in full.
    """
    upstream = table.upstreams.get(announcement.upstream_id)
    if upstream is None or announcement.seq % FULL_ANNOUNCEMENT_EVERY == 0:
        return None
    if (
        dataclasses.replace(announcement, seq=upstream.announcement.seq)
        != upstream.announcement
    ):
        return None
    return Keepalive(
        announcement.upstream_id, announcement.born_ms, announcement.seq
    )


def record_keepalive(table: Table, keepalive: Keepalive, now_ms: int) -> None:
    """Record a keepalive; a keepalive of another process is ignored.

    Parameters
    ----------
    table
        Table of upstreams. Modified in place.
    keepalive
        Keepalive relayed by a node.
    now_ms
        Current time in milliseconds.
    """
    upstream = table.upstreams.get(keepalive.upstream_id)
    if (
        upstream is not None
        and upstream.announcement.born_ms == keepalive.born_ms
    ):
        record_announcement(
            table,
            dataclasses.replace(upstream.announcement, seq=keepalive.seq),
            now_ms,
        )


def record_leaving(table: Table, notice: LeavingNotice, now_ms: int) -> bool:
    """Record that a process of an upstream is leaving.

    Later announcements of the process do not undo this.

    Parameters
    ----------
    table
        Table of upstreams. Modified in place.
    notice
        Notice from an answer, received by this node or relayed.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True if the process is in the table and was not known to be leaving.
    """
    upstream = table.upstreams.get(notice.upstream_id)
    if (
        upstream is None
        or upstream.announcement.born_ms != notice.born_ms
        or upstream.leaving_since_ms >= 0
    ):
        return False
    upstream.leaving_since_ms = now_ms
    table.revision += 1
    return True


def _is_older(announcement: Announcement, last: Announcement) -> bool:
    if (announcement.born_ms, announcement.seq) <= (last.born_ms, last.seq):
        # An announced departure may come without a newer counter.
        return not (
            announcement.gone
            and announcement.born_ms == last.born_ms
            and not last.gone
        )
    return False


def _owns_address(table: Table, announcement: Announcement) -> bool:
    """Return whether no process that started later uses the address."""
    other_id = table.by_address.get(
        announcement.address, announcement.upstream_id
    )
    other = table.upstreams.get(other_id)
    return (
        other is None
        or other_id == announcement.upstream_id
        or announcement.born_ms >= other.announcement.born_ms
    )


def record_residency(
    table: Table,
    upstream_id: str,
    model: str,
    adapter: str,
    is_resident: bool,
    now_ms: int,
) -> None:
    """Record an observation that a model or adapter is resident or absent.

    The observation comes from an agent's report or from the end of a call, and
    overrides announcements for `OBSERVATION_TTL_MS`.

    Parameters
    ----------
    table
        Table of upstreams. Modified in place.
    upstream_id
        Id of the engine; unknown ids are ignored.
    model
        Name of the model.
    adapter
        Name of the adapter; empty for the model itself.
    is_resident
        Whether the model or adapter is resident on the engine.
    now_ms
        Current time in milliseconds.
    """
    upstream = table.upstreams.get(upstream_id)
    if upstream is not None:
        upstream.observations[(model, adapter)] = (is_resident, now_ms)
        _apply_observations(upstream, now_ms)


def _apply_observations(upstream: Upstream, now_ms: int) -> None:
    for key, (is_resident, recorded_ms) in list(upstream.observations.items()):
        if now_ms - recorded_ms > OBSERVATION_TTL_MS:
            upstream.observations.pop(key)
        else:
            _set_residency(upstream.models, *key, is_resident)


def _set_residency(
    models: dict[str, set[str]], model: str, adapter: str, is_resident: bool
) -> None:
    if is_resident and adapter:
        models.setdefault(model, set()).add(adapter)
    elif is_resident:
        models.setdefault(model, set())
    elif adapter:
        models.get(model, set()).discard(adapter)
    else:
        models.pop(model, None)


def is_usable(table: Table, upstream_id: str, now_ms: int) -> bool:
    """Return whether an upstream may receive requests.

    Parameters
    ----------
    table
        Table of upstreams.
    upstream_id
        Id of the upstream.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        False if the upstream is unknown or leaving, if `MISSED_HEARTBEATS`
        intervals have passed without a heartbeat, or if another upstream has
        replaced it at its address.
    """
    upstream = table.upstreams.get(upstream_id)
    return (
        upstream is not None
        and upstream.leaving_since_ms < 0
        and table.by_address.get(upstream.announcement.address) == upstream_id
        and now_ms - upstream.heard_ms < MISSED_HEARTBEATS * table.heartbeat_ms
    )


def usable_upstreams(
    table: Table, service: str, now_ms: int
) -> tuple[Upstream, ...]:
    """Return the upstreams of a service that may receive requests.

    Parameters
    ----------
    table
        Table of upstreams.
    service
        Name of the service.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    tuple of Upstream
        Usable upstreams in unspecified order.
    """
    computed_ms, revision, usable = table.usable.get(service, (-1, -1, ()))
    if (computed_ms, revision) != (now_ms, table.revision):
        usable = tuple(
            upstream
            for upstream_id, upstream in table.upstreams.items()
            if upstream.announcement.service == service
            and is_usable(table, upstream_id, now_ms)
        )
        table.usable[service] = (now_ms, table.revision, usable)
    return usable


def remove_silent_upstreams(table: Table, now_ms: int) -> None:
    """Remove upstreams that were silent for longer than `UPSTREAM_EXPIRY_MS`.

    Parameters
    ----------
    table
        Table of upstreams. Modified in place.
    now_ms
        Current time in milliseconds.
    """
    for upstream_id, upstream in list(table.upstreams.items()):
        if now_ms - upstream.heard_ms > UPSTREAM_EXPIRY_MS:
            table.upstreams.pop(upstream_id)
            table.revision += 1
            address = upstream.announcement.address
            if table.by_address.get(address) == upstream_id:
                table.by_address.pop(address)


def recent_announcements(
    table: Table, now_ms: int
) -> tuple[Announcement, ...]:
    """Return the last announcements, for a node that has just started.

    Parameters
    ----------
    table
        Table of upstreams.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    tuple of Announcement
        Announcements of the upstreams that were heard from recently or
        that have left. Those of upstreams that are leaving say so, even if
        only an answer did.
    """
    silence_limit_ms = MISSED_HEARTBEATS * table.heartbeat_ms
    return tuple(
        dataclasses.replace(upstream.announcement, leaving=True)
        if upstream.leaving_since_ms >= 0
        else upstream.announcement
        for upstream in table.upstreams.values()
        if upstream.leaving_since_ms >= 0
        or now_ms - upstream.heard_ms < silence_limit_ms
    )
