"""Waits of a gateway's calls, where several workspaces share its upstreams.

Without workspaces in the document, calls wait in the order of
`scheduling.queue_sort_key`, and no wait is expected in advance.
"""

import collections
from collections.abc import Iterable, Iterator

from bilberryramp.decisions.fleet.core import calls, workspaces
from bilberryramp.decisions.fleet.gateway import gateway_state, waiting_times
from bilberryramp.decisions.fleet.queueing import lanes, turns
from bilberryramp.decisions.fleet.routing import scheduling

__all__ = [
    "expected_waits",
    "forget_unused_lanes",
    "in_order",
    "return_time_ms",
    "wait_of_arrival",
]


def in_order(gw: gateway_state.Gateway, now_ms: int) -> list[calls.Call]:
    """Return the waiting calls in the order in which they may be sent.

    Parameters
    ----------
    gw
        State of the gateway.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    list of Call
        All calls of the queue.
    """
    if not gw.doc or not gw.doc.workspaces:
        return sorted(
            gw.queue.values(),
            key=lambda call: scheduling.queue_sort_key(call, now_ms),
        )
    return turns.in_turn(
        gw.workspace_turns,
        sorted(gw.queue.values(), key=lambda call: call.arrived_ms),
        gateway_state.work_of,
        lambda call: scheduling.queue_sort_key(call, now_ms),
        now_ms,
    )


def expected_waits(
    gw: gateway_state.Gateway, ordered: Iterable[calls.Call], now_ms: int
) -> Iterator[tuple[calls.Call, float]]:
    """Yield the calls that still wait, with how long they will.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    ordered
        Calls as `in_order` returns them.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    (Call, float)
        The call, and the time in milliseconds from now; 0 if it is unknown,
        or if the call waits for something else than room.
    """
    ahead: dict[tuple, collections.Counter] = {}
    still_waiting = [call for call in ordered if call.phase == "waiting"]
    if gw.doc.workspaces:
        _note_blocked(gw, still_waiting, now_ms)
        forget_unused_lanes(gw, now_ms)
    for call in still_waiting:
        works = ahead.setdefault(
            gateway_state.lane_key(call), collections.Counter()
        )
        yield call, _wait_ms(gw, call, works, now_ms)
        works[workspaces.urgency(call)] += gateway_state.work_of(call)


def wait_of_arrival(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> float:
    """Return how long a call that has just arrived will wait.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    call
        The call, which is in the queue.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        As `expected_waits` yields it.
    """
    if not gw.doc.workspaces:
        return 0.0
    waits = expected_waits(gw, in_order(gw, now_ms), now_ms)
    return next((wait_ms for other, wait_ms in waits if other is call), 0.0)


def return_time_ms(
    gw: gateway_state.Gateway,
    call: calls.Call,
    wait_ms: float,
    now_ms: int,
) -> int:
    """Return when the client of a refused call may return.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    call
        The refused call.
    wait_ms
        How long it would have waited; 0 if that is unknown.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        Time in milliseconds from now. Where the wait is known, clients are
        told to return one after another, up to the deadline of each.
    """
    least_ms = waiting_times.retry_after_ms(gw, call, now_ms)
    lane = gw.queue_lanes.get(gateway_state.lane_key(call))
    if not wait_ms or lane is None:
        return least_ms
    left_ms = max(call.deadline_ms - now_ms, 0)
    if max(wait_ms, lane.next_return_ms - now_ms) >= left_ms:
        return max(least_ms, left_ms)
    due_ms = lanes.promise_return(
        lane,
        wait_ms,
        workspaces.urgency(call),
        gateway_state.work_of(call),
        now_ms,
    )
    return max(least_ms, round(due_ms))


def _wait_ms(gw, call: calls.Call, works, now_ms: int) -> float:
    lane = gw.queue_lanes.get(gateway_state.lane_key(call))
    if lane is None or call.wait_reason is not calls.Refusal.OVERLOADED:
        return 0.0
    return lanes.expected_wait_ms(
        lane,
        works,
        workspaces.urgency(call),
        gateway_state.work_of(call),
        now_ms,
    )


def forget_unused_lanes(gw: gateway_state.Gateway, now_ms: int) -> None:
    """Forget the lanes in which nothing happened of late.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    now_ms
        Current time in milliseconds.
    """
    if not gw.queue:
        for lane in gw.queue_lanes.values():
            lane.blocked_since_ms = -1
    gw.queue_lanes = {
        key: lane
        for key, lane in gw.queue_lanes.items()
        if not lanes.is_unused(lane, now_ms)
    }


def _note_blocked(gw, still_waiting, now_ms: int) -> None:
    """Note since when calls have been waiting for room in each lane."""
    blocked = {
        gateway_state.lane_key(call)
        for call in still_waiting
        if call.wait_reason is calls.Refusal.OVERLOADED
    }
    for key in blocked:
        lane = gw.queue_lanes.setdefault(key, lanes.Lane())
        if lane.blocked_since_ms < 0:
            lane.blocked_since_ms = now_ms
    for key, lane in gw.queue_lanes.items():
        if key not in blocked:
            lane.blocked_since_ms = -1
