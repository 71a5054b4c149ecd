"""Pauses that the upstreams of a fleet ask this node for.

A pause belongs to one process of an upstream. Neither a heartbeat nor the
circuit breaker ends it, and a process that starts later has none, unless it
may itself have asked for it. After it, the upstream receives calls step by
step, as in `decisions.shared.pauses`.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import calls, presence
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.orders import order_holders
from bilberryramp.decisions.shared import charting, pauses

__all__ = [
    "PauseNotice",
    "Pauses",
    "ProcessPause",
    "is_returning",
    "may_call",
    "may_send",
    "record_notice",
    "record_response",
    "record_sent",
    "record_start",
    "remove_outdated",
    "until_ms",
]

# Time within which a node hears of a process that has started.
START_KNOWN_MS = 1500
# Longest pause that a process takes over. If it did not ask for the pause, it
# is called again soon; if it did, it asks again.
MAX_TAKEN_OVER_MS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class PauseNotice:
    """Notice that an answer of an upstream asked for a pause.

    Attributes
    ----------
    upstream_id, address
        Id, and host and port of the upstream.
    born_ms
        As in `presence.Announcement`; the notice concerns only this process.
    pause_ms
        Time in milliseconds, from the answer on, for which the upstream wants
        no requests.
    request_id
        Request that was turned away; empty for an order or a report.
    """

    upstream_id: str
    address: str
    born_ms: int
    pause_ms: int
    request_id: str = ""


@dataclasses.dataclass(slots=True)
class ProcessPause:
    """Pauses that one process of an upstream asked for.

    Attributes
    ----------
    pause
        State of the pauses.
    address
        Host and port of the process.
    asked_ms
        When the last answer arrived that asked for one.
    """

    pause: pauses.Pause
    address: str
    asked_ms: int


@dataclasses.dataclass(slots=True)
class Pauses:
    """Pauses of all upstreams at one node.

    Attributes
    ----------
    chart
        Bound ``upstream_pause`` chart.
    by_process
        Pauses of each process that has asked for one, by the id of the
        upstream and the start of the process.
    """

    chart: charting.Chart
    by_process: dict[tuple[str, int], ProcessPause] = dataclasses.field(
        default_factory=dict
    )


def record_notice(
    state: Pauses, table: presence.Table, notice: PauseNotice, now_ms: int
) -> Iterator:
    """Record that a process of an upstream wants no requests for some time.

    The answer is that of the process which is known to use the address now,
    if that started later than the one that the request was meant for.

    Parameters
    ----------
    state
        Pauses of this node. Modified in place.
    table
        Known upstreams. A notice about a process that another one has
        replaced at another address is ignored.
    notice
        Notice from an answer to this node.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    EnginePaused, Trace
        Unless the process already pauses for at least as long.
    """
    key = (notice.upstream_id, notice.born_ms)
    known = table.upstreams.get(notice.upstream_id)
    user = table.upstreams.get(table.by_address.get(notice.address, ""))
    if (
        user is not None
        and user.announcement.address == notice.address
        and user.announcement.born_ms > notice.born_ms
    ):
        key = _key(user.announcement)
    elif known is not None and known.announcement.born_ms != notice.born_ms:
        return
    yield from _begin(
        state,
        key,
        ProcessPause(
            pauses.new_pause(state.chart, key[0]), notice.address, now_ms
        ),
        notice.pause_ms,
        notice.request_id,
        now_ms,
    )


def record_start(
    state: Pauses, announcement: presence.Announcement, now_ms: int
) -> Iterator:
    """Record that a process announced itself, which may be new.

    A pause that was asked for just before, at the same address, may be that
    of the new process. It is then taken over.

    Parameters
    ----------
    state
        Pauses of this node. Modified in place.
    announcement
        Announcement of the process.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    EnginePaused, Trace
        If the process takes over a pause.
    """
    for entry in [
        entry
        for (_, born_ms), entry in state.by_process.items()
        if entry.address == announcement.address
        and born_ms < announcement.born_ms
        and now_ms - entry.asked_ms <= START_KNOWN_MS
    ]:
        pause = pauses.new_pause(state.chart, announcement.upstream_id)
        yield from _begin(
            state,
            _key(announcement),
            dataclasses.replace(entry, pause=pause),
            min(entry.pause.until_ms - now_ms, MAX_TAKEN_OVER_MS),
            "",
            now_ms,
            is_taken_over=True,
        )


def _begin(
    state: Pauses,
    key: tuple[str, int],
    new_entry: ProcessPause,
    pause_ms: int,
    request_id: str,
    now_ms: int,
    is_taken_over: bool = False,
) -> Iterator:
    """Begin or extend a pause; the entry is used if there is none yet."""
    entry = state.by_process.get(key, new_entry)
    was_paused = entry.pause.until_ms > now_ms
    if not pauses.request_pause(entry.pause, pause_ms, now_ms):
        return
    state.by_process[key] = entry
    entry.asked_ms = new_entry.asked_ms
    upstream_id, born_ms = key
    yield Trace(
        "upstream.paused",
        {
            "upstream": upstream_id,
            "address": entry.address,
            "born_ms": born_ms,
            "request_id": request_id,
            "pause_ms": pause_ms,
            "remaining_ms": entry.pause.until_ms - now_ms,
            "is_extension": was_paused,
            "is_taken_over": is_taken_over,
        },
    )
    yield order_holders.EnginePaused(
        upstream_id, born_ms, entry.pause.until_ms
    )


def _key(announcement: presence.Announcement) -> tuple[str, int]:
    return announcement.upstream_id, announcement.born_ms


def remove_outdated(state: Pauses, table: presence.Table, now_ms: int) -> None:
    """Remove the pauses of processes that receive no calls any more.

    Parameters
    ----------
    state
        Pauses of this node. Modified in place.
    table
        Known upstreams. A process that has left it may come back and is
        forgotten only when its pause is over.
    now_ms
        Current time in milliseconds.
    """
    for key, entry in list(state.by_process.items()):
        upstream_id, born_ms = key
        known = table.upstreams.get(upstream_id)
        is_over = (
            entry.pause.until_ms <= now_ms
            if known is None
            else known.announcement.born_ms != born_ms
        )
        if is_over:
            state.by_process.pop(key)


def until_ms(state: Pauses, upstream_id: str, born_ms: int) -> int:
    """Return when the last pause of a process ends.

    Parameters
    ----------
    state
        Pauses of this node. Not modified, so that other tasks may ask.
    upstream_id
        Id of the upstream.
    born_ms
        As in `presence.Announcement`.

    Returns
    -------
    int
        Time in milliseconds, which may have passed; 0 if the process never
        asked for a pause.
    """
    entry = state.by_process.get((upstream_id, born_ms))
    return entry.pause.until_ms if entry is not None else 0


def may_call(
    state: Pauses, announcement: presence.Announcement, now_ms: int
) -> bool:
    """Return whether a process may receive one more call.

    Parameters
    ----------
    state
        Pauses of this node.
    announcement
        Announcement of the process.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        False during a pause, and while a process that returns from one has as
        many calls without a response as it may have.
    """
    return pauses.may_call(_find(state, announcement), now_ms)


def may_send(
    state: Pauses,
    table: presence.Table,
    send_call: calls.SendCall,
    now_ms: int,
) -> bool:
    """Return whether a call that was decided before may still be sent.

    Parameters
    ----------
    state
        Pauses of this node. Not modified, so that other tasks may ask.
    table
        Known upstreams. Not modified.
    send_call
        Decision that names the process of an upstream and its address.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        False if the process pauses, or if another one is known to have taken
        its place, which may have asked for a pause itself.
    """
    known = table.upstreams.get(send_call.upstream_id)
    if known is not None and (
        known.announcement.born_ms != send_call.born_ms
        or table.by_address.get(send_call.address, send_call.upstream_id)
        != send_call.upstream_id
    ):
        return False
    return now_ms >= until_ms(state, send_call.upstream_id, send_call.born_ms)


def is_returning(state: Pauses, call: calls.Call) -> bool:
    """Return whether the upstream of a call's attempt returns from a pause."""
    pause = _find(state, call.target)
    return pause is not None and pause.phase == "returning"


def record_sent(state: Pauses, call: calls.Call) -> None:
    """Record that a call, which `may_call` allowed, is sent to its target."""
    pauses.record_sent(_find(state, call.target))


def record_response(
    state: Pauses, call: calls.Call, is_served: bool, now_ms: int
) -> Iterator[Trace]:
    """Record that an attempt was answered or ended without an answer.

    Parameters
    ----------
    state
        Pauses of this node. Modified in place.
    call
        The call, with the target of the attempt.
    is_served
        Whether an answer has begun or arrived that is no failure.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Trace
        When the number of calls at its target is no longer limited.
    """
    pause = _find(state, call.target)
    was_returning = pause is not None and pause.phase == "returning"
    pauses.record_response(pause, call.sent_ms, is_served, now_ms)
    if was_returning and pause.phase == "open":
        yield Trace(
            "upstream.returned",
            {
                "upstream": call.target.upstream_id,
                "address": call.target.address,
                "born_ms": call.target.born_ms,
                "after_ms": now_ms - pause.until_ms,
            },
        )


def _find(
    state: Pauses, announcement: presence.Announcement | None
) -> pauses.Pause | None:
    if announcement is None:
        return None
    entry = state.by_process.get(_key(announcement))
    return entry.pause if entry is not None else None
