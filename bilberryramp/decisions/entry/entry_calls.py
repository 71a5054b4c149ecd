"""An entry's decisions about its callers' requests.

The role is a function from (entry, now, message) to effects; the life of
each request follows ``charts/request.yaml``.
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
        Changed in place.
    now_ms
        The entry's monotonic clock in milliseconds.
    message
        One of this module's messages.

    Yields
    ------
    effect
        Replies, sends, timers and questions to control.
    """
    yield from _HANDLERS[type(message)](entry, now_ms, message)


def waiting_by_model(entry: entry_state.Entry) -> dict[str, int]:
    """Count the requests of each model that no upstream has taken.

    Parameters
    ----------
    entry
        The entry.

    Returns
    -------
    dict
        Requests by model.
    """
    models = (
        call.route.model
        for call in entry.calls.values()
        if not call.attempt_id
    )
    return dict(collections.Counter(model for model in models if model))


def is_idle(entry: entry_state.Entry) -> bool:
    """Tell whether a planned stop may end.

    Parameters
    ----------
    entry
        The entry.

    Returns
    -------
    bool
        False while a request is in progress, or while control can be
        reached and has not confirmed the end of a marked one.
    """
    confirmed = unconfirmed.is_empty(entry.ends) or not entry.fresh
    return confirmed and not entry.calls


# Arrival.


def _on_call(
    entry: entry_state.Entry, now_ms: int, message: entry_messages.CallArrived
) -> Iterator:
    request = message.request
    route = _find_route(entry, request)
    # Without its route, only the key tells that a request may be marked.
    if route is not None and not (request.repeat_never or route.repeat_never):
        request = dataclasses.replace(request, idempotency_key="")
    failure = entry_refusals.early_failure(
        entry, request, route, message.wall_ms
    )
    if failure is not None and request.idempotency_key:
        failure = entry_refusals.without_record(failure)
    if route is None:
        yield entry_messages.ReplyFailure(request.request_id, failure)
        return
    allowed_ms = min(request.deadline_ms or route.deadline_ms, 3_600_000)
    call = entry_state.Call(
        entry=entry,
        request=request,
        route=route,
        key=request.request_id,
        began_ms=now_ms,
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
    return "marked" if call.request.idempotency_key else "unmarked"


def _choose(call: entry_state.Call, now_ms: int, _payload) -> Iterator:
    yield from _fire(call, entry_attempts.choose(call, now_ms), now_ms)


# Frames and links.


def _on_frame(
    entry: entry_state.Entry, now_ms: int, message: entry_messages.FrameArrived
) -> Iterator:
    frame = message.frame
    _note_load(entry, message.upstream_id, frame)
    if isinstance(frame, call_messages.Pong):
        return
    call = _call_of(entry, message.upstream_id, frame.attempt_id)
    if call is not None:
        event, failure = _event_of(call, frame)
        _note_failure(call, failure)
        yield from _fire(call, event, now_ms, frame)


def _note_failure(
    call: entry_state.Call, failure: errors.CallFailure | None
) -> None:
    if failure is None:
        return
    call.failure = failure
    if failure.outcome != errors.Outcome.NOT_RUN:
        call.may_have_run = True


def _note_load(entry: entry_state.Entry, upstream_id: str, frame) -> None:
    load = getattr(frame, "load", None)
    if load is not None:
        entry.loads[upstream_id] = load
    if isinstance(frame, call_messages.Pong) and frame.leaving:
        entry.leaving[upstream_id] = frame.incarnation


def _call_of(
    entry: entry_state.Entry, upstream_id: str, attempt_id: str
) -> entry_state.Call | None:
    request_id, _, _ = attempt_id.rpartition(".")
    call = entry.calls.get(request_id)
    if call is None or call.attempt_id != attempt_id:
        return None
    return call if call.upstream_id == upstream_id else None


def _event_of(call: entry_state.Call, frame) -> tuple:
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
        return "broken", _lost_failure("a part of the answer is missing")
    if frame.chunks == call.next_chunk:
        return "ended", None
    return "broken", _lost_failure("the answer is not whole")


def _lost_failure(message: str) -> errors.CallFailure:
    code = errors.FailureCode.UPSTREAM_LOST
    return errors.call_failure(code, message, errors.Outcome.UNKNOWN)


def _on_link_lost(
    entry: entry_state.Entry, now_ms: int, message: entry_messages.LinkLost
) -> Iterator:
    failure = _lost_failure("the connection to the upstream broke")
    for call in _calls_at(entry, message.upstream_id):
        _note_failure(call, failure)
        yield from _fire(call, "crashed", now_ms)


def _on_link_failed(
    entry, now_ms: int, message: entry_messages.LinkFailed
) -> Iterator:
    text = "the upstream cannot be reached"
    failure = errors.call_failure(errors.FailureCode.NO_UPSTREAM, text)
    for call in _calls_at(entry, message.upstream_id):
        _note_failure(call, failure)
        yield from _fire(call, "refused", now_ms)


def _calls_at(
    entry: entry_state.Entry, upstream_id: str
) -> list[entry_state.Call]:
    entry.loads.pop(upstream_id, None)
    return [
        call
        for call in entry.calls.values()
        if call.attempt_id and call.upstream_id == upstream_id
    ]


def _on_control_answer(entry, now_ms: int, message) -> Iterator:
    yield from unconfirmed.confirm(entry.ends, message)
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
        yield from _fire(call, "strike_noted", now_ms)


def _on_remind(entry: entry_state.Entry, _now_ms: int, _message) -> Iterator:
    yield from unconfirmed.resend(entry.ends)


# Other messages and guards.


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
            now_ms - call.began_ms,
            call.failure,
        )


def _may_not_repeat(call: entry_state.Call, _payload) -> bool:
    return bool(call.request.idempotency_key)


def _has_budget(call: entry_state.Call, _payload) -> bool:
    entry = call.entry
    if entry.retry_budget < 1:
        return False
    entry.retry_budget -= 1
    return True


guards = {"may_not_repeat": _may_not_repeat, "has_budget": _has_budget}
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
    role_messages.ResendCommands: _on_remind,
    role_messages.TimerFired: _on_timer,
}
