"""Handle callers' requests at an entry.

`step` maps the state of an entry, the current time and a message to
effects. Each request is a state machine of ``charts/request.yaml``.

A request is called keyed when it carries an idempotency key and either the
caller or the route forbids running it twice. Its key is reserved at control
before it is dispatched.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.entry import (
    entry_attempts,
    entry_messages,
    entry_records,
    entry_refusals,
    entry_replies,
    entry_state,
    route_index,
)
from bilberryramp.decisions.shared import (
    call_messages,
    charting,
    commands,
    effects,
    errors,
    role_messages,
    unconfirmed,
)

__all__ = [
    "actions",
    "end_all",
    "guards",
    "is_idle",
    "step",
    "waiting_by_model",
]


def step(entry: entry_state.Entry, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    entry
        Modified in place.
    now_ms
        Current time in milliseconds.
    message
        A message of `entry_messages` or `role_messages`.

    Yields
    ------
    effect
        Replies to callers, frames to upstreams, timers and commands to
        control.
    """
    yield from _HANDLERS[type(message)](entry, now_ms, message)


def waiting_by_model(entry: entry_state.Entry) -> dict[str, int]:
    """Count the requests of each model that have no attempt in progress.

    Parameters
    ----------
    entry
        State of the entry.

    Returns
    -------
    dict
        Number of requests by model name; service calls are not counted.
    """
    models = (
        call.route.model
        for call in entry.calls.values()
        if not call.attempt_id
    )
    return dict(collections.Counter(model for model in models if model))


def end_all(entry: entry_state.Entry, now_ms: int) -> Iterator:
    """End all requests in progress as if their deadlines had passed.

    Parameters
    ----------
    entry
        Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    effect
        As `step` does.
    """
    for call in list(entry.calls.values()):
        yield from _fire(call, "deadline", now_ms)


def is_idle(entry: entry_state.Entry) -> bool:
    """Return whether a planned stop may complete.

    Parameters
    ----------
    entry
        State of the entry.

    Returns
    -------
    bool
        False while a request is in progress, or while the view is fresh
        (so control is reachable) and control has not confirmed the end of
        every keyed request.
    """
    confirmed = unconfirmed.is_empty(entry.unconfirmed_ends) or not entry.fresh
    return confirmed and not entry.calls


# Arrival of requests.


def _on_call(
    entry: entry_state.Entry, now_ms: int, message: entry_messages.CallArrived
) -> Iterator:
    request = message.request
    route = _find_route(entry, request)
    # The key is dropped if neither the caller nor the route forbids a second
    # run. An unknown route might forbid it, so the key is kept then.
    if route is not None and not (request.repeat_never or route.repeat_never):
        request = dataclasses.replace(request, idempotency_key="")
    failure = entry_refusals.early_failure(
        entry, request, route, message.wall_ms
    )
    if failure is not None and request.idempotency_key:
        failure = entry_refusals.with_unknown_outcome(failure)
    if route is None:
        yield entry_messages.ReplyFailure(request.request_id, failure)
        return
    # No request may take longer than an hour.
    allowed_ms = min(request.deadline_ms or route.deadline_ms, 3_600_000)
    call = entry_state.Call(
        entry=entry,
        request=request,
        route=route,
        key=request.request_id,
        arrived_ms=now_ms,
        deadline_ms=now_ms + allowed_ms,
        wall_ms=message.wall_ms,
        phase=entry.chart.spec.initial,
        failure=failure,
    )
    entry.calls[call.key] = call
    burst = entry.cfg.retry_burst
    entry.retry_budget = min(entry.retry_budget + entry.cfg.retry_ratio, burst)
    if failure is None:
        yield effects.SetTimer(
            call.key, entry_state.DEADLINE_TOKEN, call.deadline_ms
        )
    yield from _fire(call, _first_event(call), now_ms)


def _find_route(
    entry: entry_state.Entry, request: entry_messages.CallerRequest
):
    if request.model:
        return route_index.model_route(entry.index, request.model)
    return route_index.service_route(entry.index, request.path)


def _first_event(call: entry_state.Call) -> str:
    if call.failure is not None:
        return "refused_early"
    return "keyed" if call.request.idempotency_key else "unkeyed"


def _choose(call: entry_state.Call, now_ms: int, _payload) -> Iterator:
    yield from _fire(call, entry_attempts.choose(call, now_ms), now_ms)


# Frames and connections.


def _on_frame(
    entry: entry_state.Entry, now_ms: int, message: entry_messages.FrameArrived
) -> Iterator:
    frame = message.frame
    _record_load(entry, message.upstream_id, frame)
    if isinstance(frame, call_messages.Pong):
        return
    if isinstance(frame, call_messages.Refused):
        entry_attempts.record_refusal(
            entry, message.upstream_id, frame.failure, now_ms
        )
    call = _find_call(entry, message.upstream_id, frame.attempt_id)
    if call is not None:
        event, failure = _classify_frame(call, frame)
        _record_failure(call, failure)
        yield from _fire(call, event, now_ms, frame)


def _record_failure(
    call: entry_state.Call, failure: errors.CallFailure | None
) -> None:
    if failure is None:
        return
    call.failure = failure
    if failure.outcome != errors.Outcome.NOT_RUN:
        call.may_have_run = True


def _record_load(entry: entry_state.Entry, upstream_id: str, frame) -> None:
    """Record the load and the leaving flag that a frame carries, if any."""
    load = getattr(frame, "load", None)
    if load is not None:
        entry.loads[upstream_id] = load
    if isinstance(frame, call_messages.Pong) and frame.leaving:
        entry.leaving[upstream_id] = frame.incarnation


def _find_call(
    entry: entry_state.Entry, upstream_id: str, attempt_id: str
) -> entry_state.Call | None:
    """Return the call whose current attempt has this id and upstream.

    None if there is none: a frame of an earlier attempt is ignored.
    """
    request_id, _, _ = attempt_id.rpartition(".")
    call = entry.calls.get(request_id)
    if call is None or call.attempt_id != attempt_id:
        return None
    return call if call.upstream_id == upstream_id else None


def _classify_frame(call: entry_state.Call, frame) -> tuple:
    """Return the chart event of a frame and its failure, if it has one.

    A refusal with the code LEAVING also marks the upstream as leaving.
    """
    if isinstance(frame, call_messages.Refused):
        if frame.failure.code == errors.FailureCode.LEAVING:
            upstream = call.entry.view.upstreams.get(call.upstream_id)
            if upstream is not None:
                call.entry.leaving[call.upstream_id] = upstream.incarnation
        return "refused", frame.failure
    if isinstance(frame, call_messages.AnswerHead):
        return "head", None
    if isinstance(frame, call_messages.AnswerBroken):
        return ("crashed" if frame.crashed else "broken"), frame.failure
    if isinstance(frame, call_messages.AnswerChunk):
        if frame.number == call.next_chunk:
            return "chunk", None
        return "broken", _upstream_lost_failure(
            "a part of the answer is missing"
        )
    if frame.chunks == call.next_chunk:
        return "ended", None
    return "broken", _upstream_lost_failure("the answer is not whole")


def _upstream_lost_failure(message: str) -> errors.CallFailure:
    code = errors.FailureCode.UPSTREAM_LOST
    return errors.call_failure(code, message, errors.Outcome.UNKNOWN)


def _on_link_lost(
    entry: entry_state.Entry, now_ms: int, message: entry_messages.LinkLost
) -> Iterator:
    failure = _upstream_lost_failure("the connection to the upstream broke")
    for call in _disconnect(entry, message.upstream_id):
        _record_failure(call, failure)
        yield from _fire(call, "crashed", now_ms)


def _on_link_failed(
    entry, now_ms: int, message: entry_messages.LinkFailed
) -> Iterator:
    text = "the upstream cannot be reached"
    failure = errors.call_failure(errors.FailureCode.NO_UPSTREAM, text)
    for call in _disconnect(entry, message.upstream_id):
        _record_failure(call, failure)
        yield from _fire(call, "refused", now_ms)


def _disconnect(
    entry: entry_state.Entry, upstream_id: str
) -> list[entry_state.Call]:
    """Forget an upstream's reports; return the calls in progress there."""
    entry.loads.pop(upstream_id, None)
    entry.engine_pauses.pop(upstream_id, None)
    return [
        call
        for call in entry.calls.values()
        if call.attempt_id and call.upstream_id == upstream_id
    ]


def _on_control_answer(entry, now_ms: int, message) -> Iterator:
    yield from unconfirmed.confirm(entry.unconfirmed_ends, message)
    call = entry.calls.get(message.command_id)
    result = message.result
    if call is None or isinstance(result, commands.Unavailable):
        return
    if isinstance(result, commands.KeyRefused):
        call.failure = entry_records.key_failure(result.code)
        yield from _fire(call, "key_refused", now_ms)
    elif isinstance(result, commands.KeyCompleted):
        yield from _fire(call, "kept", now_ms, result.answer)
    elif isinstance(result, commands.KeyGranted):
        yield from _fire(call, "granted", now_ms)
    else:
        yield from _fire(call, "strike_recorded", now_ms)


def _on_resend_commands(
    entry: entry_state.Entry, _now_ms: int, _message
) -> Iterator:
    yield from unconfirmed.resend(entry.unconfirmed_ends)


# Caller disconnects, timers, chart guards and the end of requests.


def _on_caller_left(
    entry: entry_state.Entry, now_ms: int, message
) -> Iterator:
    call = entry.calls.get(message.request_id)
    if call is not None:
        code = errors.FailureCode.CALLER_LEFT
        text = "the caller closed its connection"
        call.failure = errors.call_failure(code, text, errors.Outcome.UNKNOWN)
        yield from _fire(call, "caller_left", now_ms)


def _on_timer(
    entry: entry_state.Entry, now_ms: int, message: role_messages.TimerFired
) -> Iterator:
    call = entry.calls.get(message.key)
    if call is None:
        return
    if message.token == entry_state.DEADLINE_TOKEN:
        yield from _fire(call, "deadline", now_ms)
        return
    chart = entry.chart
    yield from charting.fire_timer(chart, call, message.token, now_ms)
    yield from _end_if_final(call, now_ms)


def _on_freshness(entry: entry_state.Entry, _now_ms: int, message) -> Iterator:
    entry.fresh = message.fresh
    yield from ()


def _fire(
    call: entry_state.Call, event: str, now_ms: int, payload=None
) -> Iterator:
    chart = call.entry.chart
    yield from charting.fire(chart, call, event, now_ms, payload)
    yield from _end_if_final(call, now_ms)


def _end_if_final(call: entry_state.Call, now_ms: int) -> Iterator:
    entry = call.entry
    final = entry.chart.spec.states[call.phase].final
    if final and entry.calls.pop(call.key, None) is not None:
        yield from entry_attempts.end_attempt(call)
        yield entry_messages.CallEnded(
            call.key,
            call.route.name,
            call.phase,
            call.attempts,
            now_ms - call.arrived_ms,
            call.failure,
        )


def _must_not_repeat(call: entry_state.Call, _payload) -> bool:
    """Return whether the request is keyed."""
    return bool(call.request.idempotency_key)


def _may_retry(call: entry_state.Call, _payload) -> bool:
    """Return whether the entry's budget has a retry left."""
    return call.entry.retry_budget >= 1


def _spend_retry(call: entry_state.Call, _payload) -> bool:
    """Charge an attempt that is a retry; return False if none is left.

    A retry is charged when it is dispatched: retries that were charged
    before they wait for an upstream could all be dispatched at once. For the
    same reason, that of a refused attempt is not given back.
    """
    if not call.may_have_run:
        return True
    if not _may_retry(call, _payload):
        return False
    call.entry.retry_budget -= 1
    return True


guards = {
    "must_not_repeat": _must_not_repeat,
    "may_retry": _may_retry,
    "spend_retry": _spend_retry,
}
actions = {
    "choose": _choose,
    **entry_attempts.actions,
    **entry_records.actions,
    **entry_replies.actions,
}

_HANDLERS = {
    entry_messages.CallArrived: _on_call,
    entry_messages.CallerLeft: _on_caller_left,
    role_messages.CommandAnswered: _on_control_answer,
    entry_messages.FrameArrived: _on_frame,
    role_messages.FreshnessUpdate: _on_freshness,
    entry_messages.LinkFailed: _on_link_failed,
    entry_messages.LinkLost: _on_link_lost,
    role_messages.ResendCommands: _on_resend_commands,
    role_messages.TimerFired: _on_timer,
}
