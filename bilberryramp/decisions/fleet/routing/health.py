"""Circuit breaker for each upstream, driven by the outcomes of its calls.

The states are those of ``upstream_health.yaml``.
"""

import dataclasses

from bilberryramp.decisions.shared import charting

__all__ = [
    "Health",
    "actions",
    "end_expired_pause",
    "guards",
    "is_avoided",
    "is_barred",
    "record_call_end",
    "record_excess",
]

# Moving average of the failure ratio above which an upstream is avoided. It
# leaves room for the few requests that fail in normal operation.
MAX_FAILURE_RATIO = 0.35
# Weight of the newest call in the exponential moving average.
SMOOTHING_FACTOR = 0.2
# Consecutive failures that count as an outage regardless of the average.
OUTAGE_CONSECUTIVE_FAILURES = 3
# Pause before an avoided upstream is tried again; doubled up to the maximum.
INITIAL_PAUSE_MS = 700
MAX_PAUSE_MS = 3000
# Number of excessive answers, without a success between them, from which on an
# upstream gets no calls for `MAX_PAUSE_MS`, even if there is no other one.
BARRING_EXCESSES = 3


@dataclasses.dataclass(slots=True)
class Health:
    """Circuit breaker of one upstream.

    Attributes
    ----------
    chart
        Bound ``upstream_health`` chart.
    key, phase, timer
        State of the chart: id of the upstream, current state, and token of
        the current timer.
    failure_ratio
        Exponential moving average of the failure ratio, 0 to 1.
    consecutive_failures
        Number of failed calls since the last successful one.
    is_unreachable
        Whether the last call could not reach the upstream.
    pause_ms
        Duration of the next pause in milliseconds.
    retry_due_ms
        When the current pause ends.
    excesses
        Number of excessive answers since the last successful call.
    barred_until_ms
        Until when the upstream gets no calls because of such answers.
    """

    chart: charting.Chart
    key: str
    phase: str = "healthy"
    timer: int = 0
    failure_ratio: float = 0.0
    consecutive_failures: int = 0
    is_unreachable: bool = False
    pause_ms: int = INITIAL_PAUSE_MS
    retry_due_ms: int = 0
    excesses: int = 0
    barred_until_ms: int = 0


def record_call_end(
    health: Health, succeeded: bool, is_unreachable: bool, now_ms: int
) -> None:
    """Record the outcome of a call.

    Parameters
    ----------
    health
        Circuit breaker of the upstream. Modified in place.
    succeeded
        Whether the upstream returned a complete answer.
    is_unreachable
        Whether the upstream could not be reached.
    now_ms
        Current time in milliseconds.
    """
    outcome = 0.0 if succeeded else 1.0
    health.failure_ratio += SMOOTHING_FACTOR * (outcome - health.failure_ratio)
    health.consecutive_failures = (
        0 if succeeded else health.consecutive_failures + 1
    )
    health.is_unreachable = is_unreachable
    if succeeded:
        health.excesses = 0
    _fire_event(
        health, "call_succeeded" if succeeded else "call_failed", now_ms
    )


def record_excess(health: Health, now_ms: int) -> None:
    """Record that an answer held more than any answer can need.

    Such an answer takes the time of the process that reads it, so that an
    upstream which sends it again and again gets no calls for a while.

    Parameters
    ----------
    health
        Circuit breaker of the upstream. Modified in place.
    now_ms
        Current time in milliseconds.
    """
    health.excesses += 1
    if health.excesses >= BARRING_EXCESSES:
        health.barred_until_ms = now_ms + MAX_PAUSE_MS


def is_barred(health: Health | None, now_ms: int) -> bool:
    """Return whether an upstream gets no calls because of excessive answers.

    Parameters
    ----------
    health
        Circuit breaker of the upstream; None if no call to it has ended.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True within `MAX_PAUSE_MS` of the last of several such answers.
    """
    return health is not None and now_ms < health.barred_until_ms


def end_expired_pause(health: Health, now_ms: int) -> None:
    """Start probing an upstream whose pause has expired.

    Parameters
    ----------
    health
        Circuit breaker of the upstream. Modified in place.
    now_ms
        Current time in milliseconds.
    """
    if health.phase == "avoided" and now_ms >= health.retry_due_ms:
        _fire_event(health, "pause_elapsed", now_ms)


def is_avoided(health: Health | None, now_ms: int) -> bool:
    """Return whether other upstreams should be preferred.

    Parameters
    ----------
    health
        Circuit breaker of the upstream; None if no call to it has ended.
        Modified in place if its pause has expired.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True during a pause.
    """
    if health is None:
        return False
    end_expired_pause(health, now_ms)
    return health.phase == "avoided"


def _fire_event(health: Health, event: str, now_ms: int) -> None:
    for _ in charting.fire(health.chart, health, event, now_ms, None):
        pass


def _exceeds_failure_limits(health: Health, _payload) -> bool:
    return (
        health.is_unreachable
        or health.consecutive_failures >= OUTAGE_CONSECUTIVE_FAILURES
        or health.failure_ratio > MAX_FAILURE_RATIO
    )


def _lengthen_pause(health: Health, now_ms: int, _payload):
    health.retry_due_ms = now_ms + health.pause_ms
    health.pause_ms = min(2 * health.pause_ms, MAX_PAUSE_MS)
    yield from ()


def _reset_pause(health: Health, _now_ms: int, _payload):
    health.pause_ms = INITIAL_PAUSE_MS
    health.failure_ratio = 0.0
    yield from ()


guards = {"exceeds_failure_limits": _exceeds_failure_limits}
actions = {"lengthen_pause": _lengthen_pause, "reset_pause": _reset_pause}
