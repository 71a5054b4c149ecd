"""Judges upstreams by how calls to them end; see ``upstream_health.yaml``."""

import dataclasses

from bilberryramp.decisions.shared import charting

__all__ = ["Health", "actions", "guards", "is_avoided", "note_end", "review"]

# Share of failures, as a moving average, above which an upstream is left
# alone; engines fail a few requests of many in ordinary operation.
FAIL_SHARE = 0.35
# Weight of the newest call in the moving average.
NEWEST_WEIGHT = 0.2
# Failures in a row that count as an outage whatever went before.
FAILS_IN_A_ROW = 3
# First and longest pause before an avoided upstream is tried again.
PAUSE_MS = 700
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
    phase: str = "sound"
    timer: int = 0
    fail_share: float = 0.0
    in_a_row: int = 0
    hard: bool = False
    pause_ms: int = PAUSE_MS
    again_ms: int = 0


def note_end(health: Health, good: bool, hard: bool, now_ms: int) -> None:
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
    share = 0.0 if good else 1.0
    health.fail_share += NEWEST_WEIGHT * (share - health.fail_share)
    health.in_a_row = 0 if good else health.in_a_row + 1
    health.hard = hard
    _fire(health, "went_well" if good else "went_wrong", now_ms)


def review(health: Health, now_ms: int) -> None:
    """End a pause that has run out.

    Parameters
    ----------
    health, now_ms
        The machine, changed in place, and the present.
    """
    if health.phase == "avoided" and now_ms >= health.again_ms:
        _fire(health, "pause_over", now_ms)


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
    review(health, now_ms)
    return health.phase == "avoided"


def _fire(health: Health, event: str, now_ms: int) -> None:
    for _ in charting.fire(health.chart, health, event, now_ms, None):
        pass


def _fails_often(health: Health, _payload) -> bool:
    return (
        health.hard
        or health.in_a_row >= FAILS_IN_A_ROW
        or health.fail_share > FAIL_SHARE
    )


def _lengthen_pause(health: Health, now_ms: int, _payload):
    health.again_ms = now_ms + health.pause_ms
    health.pause_ms = min(2 * health.pause_ms, MAX_PAUSE_MS)
    yield from ()


def _reset_pause(health: Health, _now_ms: int, _payload):
    health.pause_ms = PAUSE_MS
    health.fail_share = 0.0
    yield from ()


guards = {"fails_often": _fails_often}
actions = {"lengthen_pause": _lengthen_pause, "reset_pause": _reset_pause}
