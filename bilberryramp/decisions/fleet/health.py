"""Judges upstreams by how calls to them end; see ``upstream_health.yaml``."""

import dataclasses

from bilberryramp.decisions.shared import charting

__all__ = [
    "Health",
    "actions",
    "guards",
    "is_avoided",
    "record_call_end",
    "end_expired_pause",
]

# Share of failures, as a moving average, above which an upstream is left
# alone; engines fail a few requests of many in ordinary operation.
MAX_FAILURE_RATIO = 0.35
# Weight of the newest call in the moving average.
SMOOTHING_FACTOR = 0.2
# Failures in a row that count as an outage whatever went before.
MAX_CONSECUTIVE_FAILURES = 3
# First and longest pause before an avoided upstream is tried again.
INITIAL_PAUSE_MS = 700
MAX_PAUSE_MS = 3000


@dataclasses.dataclass(slots=True)
class Health:
    """Machine of one upstream.

    Attributes
    ----------
    fail_share
        Moving average of failures, 0 to 1.
    in_a_row
        Failures since the last success.
    hard
        Whether the last failure showed that nothing answers there.
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


def record_call_end(
    health: Health, succeeded: bool, is_unreachable: bool, now_ms: int
) -> None:
    """Take in the end of a call.

    Parameters
    ----------
    health
        Changed in place.
    good
        Whether the upstream answered as it should.
    hard
        Whether it could not be reached at all.
    now_ms
        The present.
    """
    outcome = 0.0 if succeeded else 1.0
    health.failure_ratio += SMOOTHING_FACTOR * (outcome - health.failure_ratio)
    health.consecutive_failures = (
        0 if succeeded else health.consecutive_failures + 1
    )
    health.is_unreachable = is_unreachable
    _fire(health, "call_succeeded" if succeeded else "call_failed", now_ms)


def end_expired_pause(health: Health, now_ms: int) -> None:
    """End a pause that has run out.

    Parameters
    ----------
    health, now_ms
        The machine, changed in place, and the present.
    """
    if health.phase == "avoided" and now_ms >= health.retry_due_ms:
        _fire(health, "pause_elapsed", now_ms)


def is_avoided(health: Health | None, now_ms: int) -> bool:
    """Tell whether an upstream is left alone for now.

    Parameters
    ----------
    health
        None for an upstream without history.
    now_ms
        The present.

    Returns
    -------
    bool
        Whether others are to be preferred.
    """
    if health is None:
        return False
    end_expired_pause(health, now_ms)
    return health.phase == "avoided"


def _fire(health: Health, event: str, now_ms: int) -> None:
    for _ in charting.fire(health.chart, health, event, now_ms, None):
        pass


def _exceeds_failure_limits(health: Health, _payload) -> bool:
    return (
        health.is_unreachable
        or health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
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
