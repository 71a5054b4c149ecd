"""Calls that wait at a gateway: who is sent next, and who is refused."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import (
    calls,
)
from bilberryramp.decisions.fleet.gateway import (
    admission,
    call_ends,
    dispatch,
    gateway_state,
    queue_waits,
    waiting_times,
)
from bilberryramp.decisions.fleet.limits import (
    engine_memory,
    usage_credits,
)
from bilberryramp.decisions.fleet.quarantine import (
    suspect_trials,
    suspects,
)
from bilberryramp.decisions.fleet.routing import (
    scheduling,
)

__all__ = [
    "judge_waiting",
    "refuse_if_unservable",
    "review_held",
    "serve_queue",
]

# Limit on the waiting calls examined each time capacity may be available.
MAX_QUEUE_SCAN_CALLS = 64
# Reasons for which a call is refused at once, since waiting does not help.
_HOPELESS = (
    calls.Refusal.UNKNOWN_KEY,
    calls.Refusal.QUARANTINED,
    calls.Refusal.UPSTREAM_FAULTY,
    calls.Refusal.UPSTREAM_FULL,
    calls.Refusal.UPSTREAMS_PAUSED,
)


def judge_waiting(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> Iterator:
    """Judge a call by the document in force, and refuse it unless admitted.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    call
        The call. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    effect
        A `Trace` if it is judged otherwise than before, and the refusal.
    """
    yield from admission.judge(gw, call)
    if not call.is_admitted:
        call.wait_reason = calls.Refusal.UNKNOWN_KEY
        yield from refuse_if_unservable(gw, now_ms, call)


def review_held(gw: gateway_state.Gateway, now_ms: int) -> Iterator:
    """Release held calls that may run, and refuse those that wait in vain.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    effect
        Effects of `dispatch`, refusals and requests for trials.
    """
    if not gw.held:
        return
    for call in list(gw.held.values()):
        admission = suspects.admission_of(gw.suspect_state, call, now_ms)
        if admission is suspects.Admission.HOLD:
            yield from refuse_if_unservable(gw, now_ms, call)
            continue
        yield from gateway_state.fire(gw, call, "released", now_ms)
        yield from dispatch.try_dispatch(gw, now_ms, call)
        if call.phase == "waiting":
            yield from refuse_if_unservable(gw, now_ms, call)
    yield from suspect_trials.due_trial_requests(
        gw.suspect_state, list(gw.held.values()), now_ms
    )


def serve_queue(gw: gateway_state.Gateway, now_ms: int) -> Iterator:
    """Send the waiting calls that can be sent, and refuse those in vain.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    effect
        Effects of `dispatch`, and refusals.
    """
    if not gw.queue:
        return
    gw.served_ms = now_ms
    waiting = queue_waits.in_order(gw, now_ms)
    # A call that cannot be sent blocks later calls for the same service and
    # weights, unless only its workspace lacks credit.
    blocked: set[tuple[str, str]] = set()
    for call in waiting[:MAX_QUEUE_SCAN_CALLS]:
        blocking_key = gateway_state.lane_key(call)
        if blocking_key not in blocked:
            yield from dispatch.try_dispatch(gw, now_ms, call)
            if call.phase == "waiting" and call.wait_reason not in (
                *_HOPELESS,
                calls.Refusal.USAGE_LIMIT,
            ):
                blocked.add(blocking_key)
    for call, wait_ms in list(queue_waits.expected_waits(gw, waiting, now_ms)):
        yield from refuse_if_unservable(gw, now_ms, call, wait_ms)


def _weights(call: calls.Call) -> str:
    """Return the model and adapter of a call; empty without a prompt."""
    prompt = call.request.prompt
    return prompt.weights if prompt is not None else ""


def refuse_if_unservable(
    gw: gateway_state.Gateway, now_ms: int, call, wait_ms: float = 0.0
) -> Iterator:
    """Refuse a waiting call unless it may still be served in time.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    now_ms
        Current time in milliseconds.
    call
        A waiting or held call. Modified in place.
    wait_ms
        Time for which it will wait from now on, in milliseconds; 0 if that is
        unknown.

    Yields
    ------
    effect
        The refusal or failure; nothing if the call keeps waiting.
    """
    remaining_ms = call.deadline_ms - now_ms
    if call.wait_reason is not calls.Refusal.USAGE_LIMIT:
        usage_credits.forget(gw.usage, call)
    usage_ms = usage_credits.refusal_ms(gw.usage, call)
    is_hopeless = call.wait_reason in _HOPELESS or usage_ms > 0
    may_wait = not gw.is_shutting_down or engine_memory.is_awaiting(
        gw.engine_memory, call
    )
    if (
        may_wait
        and not is_hopeless
        and remaining_ms >= call_ends.MIN_ATTEMPT_TIME_MS
        and scheduling.should_keep_waiting(
            call, waiting_times.load_time_ms(gw, call, now_ms), now_ms, wait_ms
        )
    ):
        return
    reason = (
        calls.Refusal.STOPPING if gw.is_shutting_down else call.wait_reason
    )
    if usage_ms and not gw.is_shutting_down:
        reason = calls.Refusal.USAGE_LIMIT
    yield from call_ends.end_call(gw, call, "refused", now_ms)
    if call.attempt_count > 0:
        if is_hopeless:
            yield from call_ends.fail_after_run(call)
        else:
            yield from call_ends.fail(call, calls.Failure.TIMED_OUT)
        return
    wait_details = {
        "fingerprint": call.request.fingerprint,
        "parts": [part.part_id for part in calls.shared_parts(call)],
        "route": call.route.name,
        "weights": _weights(call),
        "waited_ms": now_ms - call.arrived_ms,
        "expected_wait_ms": round(wait_ms),
        **waiting_times.pause_details(gw, call, now_ms),
        **admission.key_details(gw, call),
    }
    if reason is calls.Refusal.USAGE_LIMIT:
        wait_details |= usage_credits.details(gw.usage, call, now_ms)
    yield from call_ends.refuse(
        call.call_id,
        call.request,
        reason,
        usage_ms or queue_waits.return_time_ms(gw, call, wait_ms, now_ms),
        wait_details,
    )
