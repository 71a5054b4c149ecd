"""Pauses that upstreams ask for, and the gradual return after them.

An upstream that turns a request away may state for how long it wants no
further one. The states are those of ``upstream_pause.yaml``. A pause belongs
to one process of an upstream; the caller keeps one `Pause` for each and drops
it when another process takes the upstream's place.
"""

import dataclasses

from bilberryramp.decisions.shared import charting

__all__ = [
    "MAX_PAUSE_MS",
    "Pause",
    "actions",
    "guards",
    "limit_at",
    "may_call",
    "new_pause",
    "record_response",
    "record_sent",
    "remaining_ms",
    "request_pause",
]

# Longest pause that is granted, so that a faulty upstream cannot exclude
# itself for ever.
MAX_PAUSE_MS = 600_000
# Calls without a response that a returning upstream may have at first, and the
# number from which on it is no longer limited.
INITIAL_CALL_LIMIT = 1
FULL_CALL_LIMIT = 16
# Time without a further pause after which twice as many calls are allowed, so
# that calls that take long do not keep the others waiting.
DOUBLING_MS = 250
MAX_DOUBLINGS = 10


@dataclasses.dataclass(slots=True)
class Pause:
    """Pauses of one process of an upstream.

    Attributes
    ----------
    chart
        Bound ``upstream_pause`` chart.
    key, phase, timer
        State of the chart: id of the upstream, current state, and token of
        the current timer.
    until_ms
        When the last pause ends.
    returned_ms
        When the upstream last began to return; -1 if it never did.
    call_limit
        Calls without a response that an upstream may have when it begins to
        return, and one more for each call that it has served since.
    unanswered
        Such calls that were sent since it began to return.
    """

    chart: charting.Chart
    key: str
    phase: str = "open"
    timer: int = 0
    until_ms: int = 0
    returned_ms: int = -1
    call_limit: int = INITIAL_CALL_LIMIT
    unanswered: int = 0


def new_pause(chart: charting.Chart, upstream_id: str) -> Pause:
    """Create the state of an upstream that has asked for no pause.

    Parameters
    ----------
    chart
        Bound ``upstream_pause`` chart.
    upstream_id
        Id of the upstream, for errors of the chart.

    Returns
    -------
    Pause
        State in the chart's initial state.
    """
    return Pause(chart, upstream_id, chart.spec.initial)


def request_pause(pause: Pause, pause_ms: int, now_ms: int) -> bool:
    """Record that the upstream wants no calls for some time.

    A later request never shortens a pause.

    Parameters
    ----------
    pause
        Pauses of the upstream. Modified in place.
    pause_ms
        Time in milliseconds from now; limited to `MAX_PAUSE_MS`. Nothing
        happens if it is not positive.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether the end of the pause has changed.
    """
    _end_elapsed(pause, now_ms)
    until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
    if pause_ms <= 0 or until_ms <= pause.until_ms:
        return False
    pause.until_ms = until_ms
    _fire_event(pause, "pause_requested", now_ms)
    return True


def remaining_ms(pause: Pause | None, now_ms: int) -> int:
    """Return for how long the upstream must not be called.

    Parameters
    ----------
    pause
        Pauses of the upstream; None if it has asked for none. Modified in
        place if its pause has elapsed.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        Milliseconds; 0 if it may be called.
    """
    if pause is None:
        return 0
    _end_elapsed(pause, now_ms)
    return pause.until_ms - now_ms if pause.phase == "paused" else 0


def may_call(pause: Pause | None, now_ms: int) -> bool:
    """Return whether the upstream may receive one more call.

    Parameters
    ----------
    pause, now_ms
        As for `remaining_ms`.

    Returns
    -------
    bool
        False during a pause, and while a returning upstream has as many calls
        without a response as it may have.
    """
    if pause is None:
        return True
    _end_elapsed(pause, now_ms)
    if pause.phase == "returning":
        return pause.unanswered < limit_at(pause, now_ms)
    return pause.phase != "paused"


def limit_at(pause: Pause, now_ms: int) -> int:
    """Return how many calls without a response a returning upstream may have.

    Parameters
    ----------
    pause
        Pauses of the upstream.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        The limit, which grows with the calls that it serves and with time.
    """
    doublings = (now_ms - pause.returned_ms) // DOUBLING_MS
    return pause.call_limit << min(max(doublings, 0), MAX_DOUBLINGS)


def record_sent(pause: Pause | None) -> None:
    """Record that a call, which `may_call` allowed, is sent.

    Parameters
    ----------
    pause
        Pauses of the upstream; None if it has asked for none. Modified in
        place.
    """
    if pause is not None and pause.phase == "returning":
        pause.unanswered += 1


def record_response(
    pause: Pause | None, sent_ms: int, is_served: bool, now_ms: int
) -> None:
    """Record that a call was answered or ended without an answer.

    Parameters
    ----------
    pause
        Pauses of the upstream; None if it has asked for none. Modified in
        place.
    sent_ms
        When the call was sent. One that was sent before the upstream began to
        return does not count.
    is_served
        Whether the answer is a success. Only then may the upstream have more
        calls at a time.
    now_ms
        Current time in milliseconds.
    """
    if pause is None or pause.phase != "returning":
        return
    if sent_ms < pause.returned_ms or not pause.unanswered:
        return
    pause.unanswered -= 1
    if is_served:
        _fire_event(pause, "call_served", now_ms)


def _end_elapsed(pause: Pause, now_ms: int) -> None:
    if pause.phase == "paused" and now_ms >= pause.until_ms:
        _fire_event(pause, "pause_elapsed", now_ms)


def _fire_event(pause: Pause, event: str, now_ms: int) -> None:
    for _ in charting.fire(pause.chart, pause, event, now_ms, now_ms):
        pass


def _has_recovered(pause: Pause, now_ms: int) -> bool:
    return limit_at(pause, now_ms) + 1 >= FULL_CALL_LIMIT


def _begin_return(pause: Pause, now_ms: int, _payload):
    pause.returned_ms = now_ms
    pause.call_limit = INITIAL_CALL_LIMIT
    pause.unanswered = 0
    yield from ()


def _raise_call_limit(pause: Pause, _now_ms: int, _payload):
    pause.call_limit += 1
    yield from ()


guards = {"has_recovered": _has_recovered}
actions = {
    "begin_return": _begin_return,
    "raise_call_limit": _raise_call_limit,
}
