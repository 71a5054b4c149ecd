"""Retry budget of a service, divided among the nodes.

The retries that arrive at a service in any window, over all nodes, are bounded
by a ratio of its requests plus a slack. A node spends two parts:

- Earned: a part of its own requests. The windows of the nodes end at different
  times, and those of a restarted node exclude what its predecessor received,
  so together they earn from at most twice the requests of one window.
- Its share of the slack, which `retry_shares` grants.

Retries are counted when they are sent, and arrive within `ARRIVAL_DELAY_MS`.
"""

import collections
import dataclasses
import enum

from bilberryramp.decisions.fleet.core import calls

__all__ = [
    "ARRIVAL_DELAY_MS",
    "Account",
    "Barrier",
    "Budget",
    "Limits",
    "account",
    "allows_retry",
    "is_outdated",
    "record_request",
    "record_retry",
    "span_ms",
]

# Bound on the time in which a request that a client or a node sent arrives,
# with the time to open a connection.
ARRIVAL_DELAY_MS = 1000
# Fraction of the retries that requests allow which a node spends. All nodes
# together may earn from the requests of two windows.
EARNED_FRACTION = 0.5
# Fraction of the slack that is divided. The rest is a reserve for arrivals
# that take longer than ARRIVAL_DELAY_MS.
SLACK_FRACTION = 0.9


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
        Retries allowed per request.
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
    """Requests and retries of one service at one node.

    Attributes
    ----------
    requests
        Times at which requests for the service arrived, in milliseconds and
        oldest first; those of the window that earns.
    retries
        Times at which retries were sent, likewise; those of the span.
    """

    requests: collections.deque = dataclasses.field(
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
        Retries in the span that ends now.
    earned
        Retries that the node's recent requests allow.
    share
        The node's part of the slack, in retries.
    """

    spent: int
    earned: float
    share: float


def span_ms(limits: Limits) -> int:
    """Return the time within which the retries that a node sends add up.

    Parameters
    ----------
    limits
        Limits of the service.

    Returns
    -------
    int
        Milliseconds. Retries that arrive within a window were sent within it.
    """
    return limits.window_ms + ARRIVAL_DELAY_MS


def record_request(budget: Budget, limits: Limits, now_ms: int) -> None:
    """Record the arrival of a request at this node.

    Parameters
    ----------
    budget
        Budget of the service. Modified in place.
    limits
        Limits of the service.
    now_ms
        Current time in milliseconds.
    """
    budget.requests.append(now_ms)
    _trim(budget.requests, now_ms - _earning_window_ms(limits))


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
    _trim(budget.retries, now_ms - span_ms(limits))


def account(
    budget: Budget, limits: Limits, fleet_size: int, now_ms: int
) -> Account:
    """Return what a node has spent of a budget, and what it may spend.

    Parameters
    ----------
    budget
        Budget of the service. Modified in place.
    limits
        Limits of the service.
    fleet_size
        Number of equal parts of the slack, of which the node may spend one;
        0 if it may spend none.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Account
        The present numbers.
    """
    _trim(budget.requests, now_ms - _earning_window_ms(limits))
    _trim(budget.retries, now_ms - span_ms(limits))
    share = SLACK_FRACTION * limits.slack / fleet_size if fleet_size else 0.0
    return Account(
        len(budget.retries),
        EARNED_FRACTION * limits.ratio * len(budget.requests),
        share,
    )


def allows_retry(state: Account) -> bool:
    """Return whether one more retry may be sent."""
    return state.spent + 1 <= state.earned + state.share


def is_outdated(send_call: calls.SendCall, now_ms: int) -> bool:
    """Return whether a send waited for so long that it must be judged anew.

    Parameters
    ----------
    send_call
        Decision to send a request.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True for a retry, or a request that was charged to a usage limit,
        that would no longer arrive within `ARRIVAL_DELAY_MS` of its record.
    """
    waited_ms = now_ms - send_call.decided_ms
    is_counted = send_call.send > 1 or send_call.is_charged
    return is_counted and waited_ms >= ARRIVAL_DELAY_MS


def _earning_window_ms(limits: Limits) -> int:
    """Return the age up to which requests earn retries.

    The retries of a window were sent up to `ARRIVAL_DELAY_MS` before it, and
    the requests that earned them up to the same time before they arrived. All
    of these requests were sent within the window or the one before it.
    """
    return max(limits.window_ms - 2 * ARRIVAL_DELAY_MS, 0)


def _trim(times_ms: collections.deque, oldest_ms: int) -> None:
    while times_ms and times_ms[0] < oldest_ms:
        times_ms.popleft()
