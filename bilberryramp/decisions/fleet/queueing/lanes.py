"""Expected waits of calls that want the same weights.

Load pattern: more prompts arrive for a model than its engines can read, for
longer than callers wait. Those that join the end of the queue are held until
their time is nearly over, and all that are refused meanwhile are asked to
return at the same moment, when they meet the same queue again.

A lane is the queue of the calls for one service and one set of weights at one
gateway. What it has sent of late tells how fast it moves, so a call that
would wait too long is refused as it arrives, and those that are refused
return one after another, as fast as the lane moves.
"""

import collections
import dataclasses
from collections.abc import Mapping

__all__ = [
    "Lane",
    "expected_wait_ms",
    "is_unused",
    "promise_return",
    "record_sent",
]

# Time over which the speed of a lane is measured.
SPEED_WINDOW_MS = 2000


@dataclasses.dataclass(slots=True)
class Lane:
    """What a gateway has sent of one lane, and whom it told to return.

    Attributes
    ----------
    sent
        Time, urgency and work of each call that was sent within
        `SPEED_WINDOW_MS`, oldest first.
    sent_by_rank
        Sum of that work by urgency.
    blocked_since_ms
        Since when calls have been waiting without a break; -1 if none waits.
    next_return_ms
        Time from which the room of the lane is not promised to calls that
        were told to return.
    """

    sent: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    sent_by_rank: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    blocked_since_ms: int = -1
    next_return_ms: float = 0.0


def record_sent(lane: Lane, urgency: int, work: float, now_ms: int) -> None:
    """Record that a call leaves the lane for an upstream.

    Parameters
    ----------
    lane
        The lane. Modified in place.
    urgency
        Rank of the call; 0 is the most urgent.
    work
        Work of the call in prompt tokens.
    now_ms
        Current time in milliseconds.
    """
    lane.sent.append((now_ms, urgency, work))
    lane.sent_by_rank[urgency] += work
    _trim(lane, now_ms)


def expected_wait_ms(
    lane: Lane,
    ahead: Mapping[int, float],
    urgency: int,
    work: float,
    now_ms: int,
) -> float:
    """Estimate how long a call will wait in the lane.

    More urgent calls that wait go first at the speed of the whole lane, the
    others ahead at the speed that is left for calls of this urgency. That the
    next call could leave at any moment counts as one call of this size in the
    window, so the estimate is finite even if none was sent.

    Parameters
    ----------
    lane
        The lane. Modified in place.
    ahead
        Work of the waiting calls that go before this one, by urgency.
    urgency, work
        Rank of the call, and its work in prompt tokens.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Time in milliseconds from now; 0 while the lane has been blocked for
        less than `SPEED_WINDOW_MS`, when its speed is not known yet.
    """
    _trim(lane, now_ms)
    blocked_ms = now_ms - lane.blocked_since_ms
    if lane.blocked_since_ms < 0 or blocked_ms < SPEED_WINDOW_MS:
        return 0.0
    sooner = sum(amount for rank, amount in ahead.items() if rank < urgency)
    equal = sum(ahead.values()) - sooner
    sent_in_all = lane.sent_by_rank.total()
    return SPEED_WINDOW_MS * (
        sooner / (sent_in_all + work)
        + equal / (_sent_from(lane, urgency) + work)
    )


def promise_return(
    lane: Lane, wait_ms: float, urgency: int, work: float, now_ms: int
) -> float:
    """Return when a refused call may come back, and keep that room for it.

    Parameters
    ----------
    lane
        The lane. Modified in place.
    wait_ms
        Expected wait of the call, from `expected_wait_ms`.
    urgency, work
        As for `expected_wait_ms`.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Time in milliseconds from now. Each further call is told a later one,
        by the time that the lane needs for the one before it.
    """
    due_ms = max(now_ms + wait_ms, lane.next_return_ms)
    sent_here = _sent_from(lane, urgency)
    lane.next_return_ms = due_ms + SPEED_WINDOW_MS * work / (sent_here + work)
    return due_ms - now_ms


def is_unused(lane: Lane, now_ms: int) -> bool:
    """Return whether nothing is known of a lane any more.

    Parameters
    ----------
    lane
        The lane. Modified in place.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True if nothing waits, was sent of late or was promised.
    """
    _trim(lane, now_ms)
    return (
        not lane.sent
        and lane.blocked_since_ms < 0
        and lane.next_return_ms <= now_ms
    )


def _sent_from(lane: Lane, urgency: int) -> float:
    """Return the work that was sent of calls that are no more urgent."""
    return sum(
        amount for rank, amount in lane.sent_by_rank.items() if rank >= urgency
    )


def _trim(lane: Lane, now_ms: int) -> None:
    while lane.sent and lane.sent[0][0] < now_ms - SPEED_WINDOW_MS:
        _, urgency, work = lane.sent.popleft()
        lane.sent_by_rank[urgency] -= work
