"""A budget for repeated sends, shared by all nodes without talking.

Each node counts the calls and repeats of a service in a sliding window. It
may repeat a fixed ratio of its own calls plus its part of a common slack.
"""

import collections
import dataclasses

__all__ = ["Budget", "Limits", "record_call", "try_spend"]

# The part of the allowance that is used, since nodes count in windows that
# begin at different times.
USABLE_FRACTION = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """The allowance over all nodes.

    Attributes
    ----------
    ratio
        Repeats for each call.
    slack
        Repeats allowed besides, over all nodes.
    window_ms
        Length of the sliding window.
    """

    ratio: float
    slack: float
    window_ms: int


@dataclasses.dataclass(slots=True)
class Budget:
    """Times of calls and repeats of one service at one node."""

    calls: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    repeats: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


def record_call(budget: Budget, limits: Limits, now_ms: int) -> None:
    """Count a call that is sent for the first time.

    Parameters
    ----------
    budget, limits, now_ms
        The service's budget, changed in place, and the present.
    """
    budget.calls.append(now_ms)
    _trim(budget.calls, now_ms - limits.window_ms)


def try_spend(
    budget: Budget, limits: Limits, node_count: int, now_ms: int
) -> bool:
    """Take one repeat from the budget if it allows one.

    Parameters
    ----------
    budget, limits
        The service's budget, changed in place.
    nodes
        How many nodes share the slack.
    now_ms
        The present.

    Returns
    -------
    bool
        False when the request must not be sent again.
    """
    _trim(budget.calls, now_ms - limits.window_ms)
    _trim(budget.repeats, now_ms - limits.window_ms)
    allowance = limits.ratio * len(budget.calls) + limits.slack / node_count
    if len(budget.repeats) + 1 > USABLE_FRACTION * allowance:
        return False
    budget.repeats.append(now_ms)
    return True


def _trim(times: collections.deque, oldest_ms: int) -> None:
    while times and times[0] < oldest_ms:
        times.popleft()
