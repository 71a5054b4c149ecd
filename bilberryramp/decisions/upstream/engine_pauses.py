"""Pauses that the engine of an upstream process asks for.

The rules are those of `shared.pauses`. This module keeps them for the present
process of the engine, which is known from the reports of its state.
"""

import dataclasses

from bilberryramp.decisions.shared import charting, pauses

__all__ = [
    "NOT_SENT_MS",
    "TIMER_KEY",
    "EnginePause",
    "new_engine_pause",
    "record_boot",
    "request",
]

# Key of the timer of the pause's end; its token is the end in milliseconds.
TIMER_KEY = "engine_pause"
# In place of the time of sending: no call without a response.
NOT_SENT_MS = -1


@dataclasses.dataclass(slots=True)
class EnginePause:
    """Pauses of the present process of an engine.

    Attributes
    ----------
    pause
        Its state.
    boot_id
        Boot id in the last report; empty before any.
    reported_ms
        When the last report was requested, in milliseconds; -1 before any.
    asked_ms
        When the call whose answer last asked for a pause was sent, in
        milliseconds; `NOT_SENT_MS` if none did.
    refused
        Number of attempts that were refused because of the pause.
    """

    pause: pauses.Pause
    boot_id: str = ""
    reported_ms: int = -1
    asked_ms: int = NOT_SENT_MS
    refused: int = 0


def new_engine_pause(chart: charting.Chart, upstream_id: str) -> EnginePause:
    """Create the state of an engine that has asked for no pause.

    Parameters
    ----------
    chart
        Bound ``upstream_pause`` chart.
    upstream_id
        Id of the engine's upstream.

    Returns
    -------
    EnginePause
        State without a boot id.
    """
    return EnginePause(pauses.new_pause(chart, upstream_id))


def request(
    engine: EnginePause, sent_ms: int, pause_ms: int, now_ms: int
) -> bool:
    """Record that an answer of the engine asks for a pause.

    Parameters
    ----------
    engine
        Modified in place.
    sent_ms
        When the answered call was sent, in milliseconds.
    pause_ms
        Length of the pause in milliseconds, as for `pauses.request_pause`.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether the end of the pause has changed.
    """
    if not pauses.request_pause(engine.pause, pause_ms, now_ms):
        return False
    engine.asked_ms = sent_ms
    return True


def record_boot(
    engine: EnginePause, boot_id: str, requested_ms: int, now_ms: int
) -> bool:
    """Record the boot id that the engine reports.

    A new process of the engine starts without a pause. A pause is kept if
    the call that led to it was sent after the last report of the earlier
    process was requested, as the new process may have answered it.

    Parameters
    ----------
    engine
        Modified in place.
    boot_id
        Boot id in the report.
    requested_ms
        When the report was requested, in milliseconds.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether a pause has ended because its process has.
    """
    is_new = boot_id != engine.boot_id
    is_earlier = engine.asked_ms < engine.reported_ms
    engine.boot_id, engine.reported_ms = boot_id, requested_ms
    if not is_new or not is_earlier:
        return False
    was_paused = pauses.remaining_ms(engine.pause, now_ms) > 0
    engine.pause = pauses.new_pause(engine.pause.chart, engine.pause.key)
    engine.asked_ms = NOT_SENT_MS
    return was_paused
