"""Estimates of how long calls wait, and when refused clients may retry."""

from bilberryramp.decisions.fleet.core import calls, presence, sharing
from bilberryramp.decisions.fleet.gateway import dispatch, gateway_state
from bilberryramp.decisions.fleet.orders import placement
from bilberryramp.decisions.fleet.quarantine import suspects
from bilberryramp.decisions.fleet.routing import engine_speeds, upstream_pauses

__all__ = ["load_time_ms", "pause_details", "retry_after_ms"]

# Bounds of the delay that a refusal asks of clients before they retry. The
# end of a quarantine or of a pause is not bounded.
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 2000


def load_time_ms(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> float:
    """Return the load time of the model that a call waits for.

    Parameters
    ----------
    gw
        State of the gateway.
    call
        A waiting call.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Time in milliseconds; 0 if the call does not wait for a model.
    """
    if call.wait_reason is not calls.Refusal.NO_MODEL:
        return 0.0
    return _model_load_time_ms(gw, call, now_ms)


def _model_load_time_ms(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> float:
    """Return the load time of a call's model; 0 if it is unknown."""
    engine = gateway_state.engine_spec(gw, call.service)
    prompt = call.request.prompt
    if engine is None or prompt is None:
        return 0.0
    spec = engine.models.get(prompt.model)
    if spec is None:
        return 0.0
    is_stored_locally = any(
        prompt.model in upstream.announcement.copies
        for upstream in presence.usable_upstreams(
            gw.table, call.service, now_ms
        )
    )
    time_ratio = placement.LOCAL_LOAD_TIME_RATIO if is_stored_locally else 1.0
    return 1000 * spec.load_s * time_ratio


def retry_after_ms(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> int:
    """Estimate when a refused client may retry.

    One without a known key may not be sent again. A quarantined request may be
    sent again when its quarantine ends, and one
    whose upstreams all pause or are barred when the first of them is called
    again. If that concerns only those that hold its model, a copy may be
    loaded elsewhere sooner. Otherwise the time is that in which the least busy
    upstream reads its unread prompts, or in which the model that the call
    waits for is loaded.

    Parameters
    ----------
    gw
        State of the gateway.
    call
        The refused call.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        Time in milliseconds from now.
    """
    if not call.is_admitted:
        return 0
    quarantine_ms = suspects.remaining_quarantine_ms(
        gw.suspect_state, call, now_ms
    )
    if quarantine_ms > 0:
        return quarantine_ms
    usable = presence.usable_upstreams(gw.table, call.service, now_ms)
    until_ms = dispatch.unavailable_until_ms(gw, usable, now_ms)
    if until_ms > now_ms:
        return max(until_ms - now_ms, MIN_RETRY_AFTER_MS)
    holders = dispatch.holders(usable, call)
    until_ms = dispatch.unavailable_until_ms(gw, holders, now_ms)
    if until_ms > now_ms:
        wait_ms = until_ms - now_ms
        load_ms = int(_model_load_time_ms(gw, call, now_ms)) or wait_ms
        return max(min(wait_ms, load_ms), MIN_RETRY_AFTER_MS)
    backlogs_ms = (_backlog_ms(gw, u.announcement, now_ms) for u in usable)
    wait_ms = min(backlogs_ms, default=0)
    wait_ms = max(wait_ms, load_time_ms(gw, call, now_ms))
    return int(min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))


def _backlog_ms(
    gw: gateway_state.Gateway,
    announcement: presence.Announcement,
    now_ms: int,
) -> float:
    """Return the time in which an upstream reads its unread prompts."""
    load = sharing.total_load(gw.loads, announcement.upstream_id, now_ms)
    return sum(load.unread_tokens) * engine_speeds.ms_per_token(
        gw.speeds, announcement, now_ms
    )


def pause_details(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> dict:
    """Return how many upstreams of a refused call's service pause.

    Parameters
    ----------
    gw
        State of the gateway.
    call
        The refused call.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    dict
        Fields for logs, with the time in milliseconds until the first of
        them returns; empty if none pauses.
    """
    announcements = (
        u.announcement
        for u in presence.usable_upstreams(gw.table, call.service, now_ms)
    )
    ends_ms = [
        upstream_pauses.until_ms(gw.pauses, a.upstream_id, a.born_ms)
        for a in announcements
    ]
    running_ms = [end_ms - now_ms for end_ms in ends_ms if end_ms > now_ms]
    if not running_ms:
        return {}
    return {
        "paused_upstreams": len(running_ms),
        "first_pause_ends_in_ms": min(running_ms),
    }
