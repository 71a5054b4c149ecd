"""Pauses that the upstreams of a fleet ask this node for.

A pause belongs to one process of an upstream. Neither a heartbeat nor the
circuit breaker ends it, and a process that starts later under the same id has
none. After it, the upstream receives calls step by step, as in
`decisions.shared.pauses`.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet import calls, presence
from bilberryramp.decisions.fleet.traces import Trace
from bilberryramp.decisions.shared import charting, pauses

__all__ = [
    "PauseNotice",
    "Pauses",
    "is_returning",
    "may_call",
    "record_notice",
    "record_response",
    "record_sent",
    "remove_outdated",
    "until_ms",
]


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
    by_process: dict[tuple[str, int], pauses.Pause] = dataclasses.field(
        default_factory=dict
    )


def record_notice(
    state: Pauses, table: presence.Table, notice: PauseNotice, now_ms: int
) -> Iterator[Trace]:
    """Record that a process of an upstream wants no requests for some time.

    Parameters
    ----------
    state
        Pauses of this node. Modified in place.
    table
        Known upstreams. A notice about a process that another one has
        replaced is ignored.
    notice
        Notice from an answer to this node.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Trace
        Unless the process already pauses for at least as long.
    """
    known = table.upstreams.get(notice.upstream_id)
    if known is not None and known.announcement.born_ms != notice.born_ms:
        return
    key = (notice.upstream_id, notice.born_ms)
    pause = state.by_process.get(key)
    if pause is None:
        pause = pauses.new_pause(state.chart, notice.upstream_id)
        state.by_process[key] = pause
    was_paused = pause.until_ms > now_ms
    if pauses.request_pause(pause, notice.pause_ms, now_ms):
        yield Trace(
            "upstream.paused",
            {
                "upstream": notice.upstream_id,
                "address": notice.address,
                "born_ms": notice.born_ms,
                "request_id": notice.request_id,
                "pause_ms": notice.pause_ms,
                "remaining_ms": pause.until_ms - now_ms,
                "is_extension": was_paused,
            },
        )


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
    for key, pause in list(state.by_process.items()):
        upstream_id, born_ms = key
        known = table.upstreams.get(upstream_id)
        is_over = (
            pause.until_ms <= now_ms
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
    pause = state.by_process.get((upstream_id, born_ms))
    return pause.until_ms if pause is not None else 0


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
    key = (announcement.upstream_id, announcement.born_ms)
    return state.by_process.get(key)
