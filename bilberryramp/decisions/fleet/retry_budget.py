"""Retry budget of a service, divided among the nodes without coordination.

Each node counts the calls and retries of a service in a sliding window. It
may retry a fixed ratio of its own calls plus its part of a shared allowance.
"""

import collections
import dataclasses
import enum

__all__ = [
    "Account",
    "Barrier",
    "Budget",
    "Limits",
    "account",
    "allows_retry",
    "record_call",
    "record_retry",
]

# Fraction of the allowance that a node spends. The rest is a reserve because
# the windows of the nodes begin at different times.
USABLE_FRACTION = 0.7


class Barrier(enum.Enum):
    """Reason for which a request is not sent to another upstream."""

    NOT_REPEATABLE = "not_repeatable"
    """The request may have run, and its route allows no second run."""
    ATTEMPTS = "attempts"
    """It was sent as often as its route or the node allows."""
    DEADLINE = "deadline"
    """Too little of its time is left."""
    DEADLY_PART = "deadly_part"
    """A part of its prompt is suspected of ending upstreams."""
    BUDGET = "budget"
    """The retry budget of its service is spent."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of the retries of a service over all nodes.

    Attributes
    ----------
    ratio
        Retries allowed per call.
    slack
        Additional retries per window, shared by all nodes.
    window_ms
        Length of the sliding window in milliseconds.
    """

    ratio: float
    slack: float
    window_ms: int


@dataclasses.dataclass(slots=True)
class Budget:
    """Calls and retries of one service at one node.

    Attributes
    ----------
    calls, retries
        Times of the calls and of the retries in the window, in milliseconds
        and oldest first.
    """

    calls: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    retries: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """What a node has spent of a retry budget, and what it may spend.

    Attributes
    ----------
    spent
        Retries in the window.
    earned
        Retries that the calls in the window allow.
    share
        Part of the slack that this node may spend, in retries.
    """

    spent: int
    earned: float
    share: float


def record_call(budget: Budget, limits: Limits, now_ms: int) -> None:
    """Record the first attempt of a call.

    Parameters
    ----------
    budget
        Budget of the service. Modified in place.
    limits
        Limits of the service.
    now_ms
        Current time in milliseconds.
    """
    budget.calls.append(now_ms)
    _trim(budget.calls, now_ms - limits.window_ms)


def record_retry(budget: Budget, limits: Limits, now_ms: int) -> None:
    """Record that a retry is sent.

    Parameters
    ----------
    budget
        Budget of the service. Modified in place.
    limits
        Limits of the service.
    now_ms
        Current time in milliseconds.
    """
    budget.retries.append(now_ms)
    _trim(budget.retries, now_ms - limits.window_ms)


def account(
    budget: Budget, limits: Limits, node_count: int, now_ms: int
) -> Account:
    """Return what a node has spent of a budget, and what it may spend.

    Parameters
    ----------
    budget
        Budget of the service. Modified in place.
    limits
        Limits of the service.
    node_count
        Number of nodes that share the slack.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Account
        Numbers of retries in the window that ends now.
    """
    _trim(budget.calls, now_ms - limits.window_ms)
    _trim(budget.retries, now_ms - limits.window_ms)
    return Account(
        len(budget.retries),
        USABLE_FRACTION * limits.ratio * len(budget.calls),
        USABLE_FRACTION * limits.slack / node_count,
    )


def allows_retry(state: Account) -> bool:
    """Return whether one more retry may be sent."""
    return state.spent + 1 <= state.earned + state.share


def _trim(times_ms: collections.deque, oldest_ms: int) -> None:
    while times_ms and times_ms[0] < oldest_ms:
        times_ms.popleft()
