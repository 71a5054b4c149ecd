"""An entry's decisions about its callers' requests.

The role is a function from (entry, now, message) to effects; the life of
each request follows ``charts/request.yaml``.
"""

import collections
import dataclasses
import random
from collections.abc import Iterator

from bilberryramp.decisions import (
    call_messages,
    charting,
    commands,
    effects,
    entry_messages,
    errors,
    idempotency,
    quarantine,
    role_messages,
    route_index,
    routing,
    tables,
    unconfirmed,
    views,
)

__all__ = [
    "Call",
    "Entry",
    "EntrySettings",
    "actions",
    "guards",
    "is_idle",
    "step",
    "waiting_by_model",
]

DEADLINE_TOKEN = 0
RECORD_MARGIN_MS = 5000


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of an entry's decisions.

    Attributes
    ----------
    name
        The entry's name, unique in the system.
    policy
        A key of `routing.POLICIES`.
    max_calls
        Most requests in progress; more are refused.
    max_attempts
        Most dispatches of one request without a wait in between.
    retry_ratio, retry_burst
        Retries after failures earned by each request, and the most that
        can be saved up.
    credit_chunks
        Chunks an upstream may send before the caller has taken them.
    """

    name: str
    policy: str = "affinity"
    max_calls: int = 4096
    max_attempts: int = 8
    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    credit_chunks: int = 64


@dataclasses.dataclass(slots=True)
class Call:
    """One request; `key`, `phase`, `timer` are its machine's.

    Attributes
    ----------
    began_ms, deadline_ms
        On the entry's clock.
    wall_ms
        Wall time of its arrival.
    attempts, tries
        Dispatches in all, which number them, and since the last wait.
    attempt_id, upstream_id
        The attempt in progress.
    refused_by
        Upstreams not to be tried again for now.
    may_have_run
        Whether any attempt ended without evidence that it did not run.
    next_chunk
        Number of the chunk expected next.
    kept
        The answer so far, for a request with an idempotency key.
    """

    entry: "Entry"
    request: entry_messages.CallerRequest
    route: tables.Route
    key: str
    began_ms: int
    deadline_ms: int
    wall_ms: int
    phase: str = "received"
    timer: int = DEADLINE_TOKEN
    attempts: int = 0
    tries: int = 0
    attempt_id: str = ""
    upstream_id: str = ""
    refused_by: set[str] = dataclasses.field(default_factory=set)
    failure: errors.CallFailure | None = None
    may_have_run: bool = False
    next_chunk: int = 0
    status: int = 0
    content_type: str = ""
    kept: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True)
class Entry:
    """State of an entry.

    Attributes
    ----------
    calls
        Requests in progress by id.
    loads
        Last load shown by each upstream.
    own
        Attempts in progress at each upstream.
    leaving
        Upstreams that said they are leaving, by incarnation.
    index
        Routes and upstreams of the view, arranged for lookups.
    retry_budget
        Retries after failures that are left.
    ends
        Ends of marked requests that control has not confirmed.
    """

    cfg: EntrySettings
    chart: charting.Chart
    rng: random.Random
    view: views.View
    policy: routing.Policy
    index: route_index.RouteIndex
    fresh: bool = False
    stopping: bool = False
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    loads: dict[str, call_messages.Load] = dataclasses.field(
        default_factory=dict
    )
    own: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving: dict[str, str] = dataclasses.field(default_factory=dict)
    retry_budget: float = 0.0
    ends: unconfirmed.Unconfirmed = dataclasses.field(
        default_factory=unconfirmed.Unconfirmed
    )


def step(entry: Entry, now_ms: int, message) -> Iterator:
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


def waiting_by_model(entry: Entry) -> dict[str, int]:
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


def is_idle(entry: Entry) -> bool:
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
    entry: Entry, now_ms: int, message: entry_messages.CallArrived
) -> Iterator:
    request = message.request
    route = _find_route(entry, request)
    if route is not None and not (request.repeat_never or route.repeat_never):
        request = dataclasses.replace(request, idempotency_key="")
    failure = _early_failure(entry, request, route, message.wall_ms)
    if failure is not None and request.idempotency_key:
        failure = _without_record(failure)
    if route is None:
        yield entry_messages.ReplyFailure(request.request_id, failure)
        return
    allowed_ms = min(request.deadline_ms or route.deadline_ms, 3_600_000)
    call = Call(
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
        yield effects.SetTimer(call.key, DEADLINE_TOKEN, call.deadline_ms)
    yield from _fire(call, _first_event(call), now_ms)


def _find_route(entry: Entry, request: entry_messages.CallerRequest):
    if request.model:
        return route_index.model_route(entry.index, request.model)
    return route_index.service_route(entry.index, request.path)


def _first_event(call: Call) -> str:
    if call.failure is not None:
        return "refused_early"
    return "marked" if call.request.idempotency_key else "unmarked"


def _early_failure(entry, request, route, wall_ms):
    code = errors.FailureCode
    if entry.stopping:
        return errors.call_failure(code.SHUTTING_DOWN, "entry is stopping")
    if entry.view.index < 1 and not entry.fresh:
        message = "no configuration received yet"
        return errors.call_failure(code.STALE_CONFIGURATION, message)
    if route is None:
        return _no_route(request)
    if not entry.fresh and route.when_stale == tables.StaleRule.REFUSE:
        message = "configuration may be out of date"
        return errors.call_failure(code.STALE_CONFIGURATION, message)
    if route.repeat_never and not request.idempotency_key:
        message = f"route {route.name} needs an Idempotency-Key"
        return errors.call_failure(code.KEY_REQUIRED, message)
    if len(entry.calls) >= entry.cfg.max_calls:
        message = "too many requests in progress"
        return errors.call_failure(code.OVERLOADED, message)
    # A marked request's record is asked for first: its key may have run.
    unmarked = not request.idempotency_key
    if unmarked and quarantine.is_quarantined(
        entry.view, request.fingerprint, wall_ms
    ):
        return _quarantined()
    return None


def _without_record(failure: errors.CallFailure) -> errors.CallFailure:
    """Leave open whether an earlier request with the key has run."""
    return dataclasses.replace(failure, outcome=errors.Outcome.UNKNOWN)


def _no_route(request: entry_messages.CallerRequest) -> errors.CallFailure:
    if request.model:
        message = f"the model {request.model!r} does not exist"
        return errors.call_failure(errors.FailureCode.MODEL_NOT_FOUND, message)
    message = f"no route leads to {request.path!r}"
    return errors.call_failure(errors.FailureCode.ROUTE_NOT_FOUND, message)


def _quarantined() -> errors.CallFailure:
    message = "this request took down upstreams and is refused for a while"
    return errors.call_failure(errors.FailureCode.QUARANTINED, message)


# Choosing an upstream.


def _choose(call: Call, now_ms: int, _payload) -> Iterator:
    entry, request = call.entry, call.request
    found = _usable(call)
    failure = _hopeless(call, found, now_ms)
    if failure is not None:
        call.failure = failure
        yield from _fire(call, "hopeless", now_ms)
        return
    options = [
        _candidate(entry, upstream)
        for upstream in found
        if upstream.upstream_id not in call.refused_by
    ]
    if not options:
        yield from _fire(call, "none_left", now_ms)
        return
    chosen = entry.policy(options, request.affinity_key, entry.rng)
    call.upstream_id = chosen.upstream_id
    yield from _fire(call, "chosen", now_ms)


def _usable(call: Call) -> list[views.Upstream]:
    leaving = call.entry.leaving
    return [
        upstream
        for upstream in route_index.candidates(call.entry.index, call.route)
        if leaving.get(upstream.upstream_id) != upstream.incarnation
    ]


def _hopeless(call: Call, found, now_ms: int) -> errors.CallFailure | None:
    code = errors.FailureCode
    wall_ms = call.wall_ms + now_ms - call.began_ms
    view, fingerprint = call.entry.view, call.request.fingerprint
    if quarantine.is_quarantined(view, fingerprint, wall_ms):
        return _quarantined()
    if _would_risk_last(view, fingerprint, found, wall_ms):
        return call.failure or _quarantined()
    if call.tries >= call.entry.cfg.max_attempts:
        message = f"gave up after {call.tries} attempts"
        return call.failure or errors.call_failure(code.NO_UPSTREAM, message)
    tried_all = found and all(u.upstream_id in call.refused_by for u in found)
    overloaded = call.failure and call.failure.code == code.OVERLOADED
    return call.failure if tried_all and overloaded else None


def _would_risk_last(view, fingerprint: str, found, wall_ms: int) -> bool:
    record = view.quarantine.get(fingerprint)
    if record is None:
        return False
    down = quarantine.recently_lost(record, wall_ms)
    return sum(u.upstream_id not in down for u in found) < 2


def _candidate(entry: Entry, upstream: views.Upstream) -> routing.Candidate:
    upstream_id = upstream.upstream_id
    report = entry.loads.get(upstream_id)
    load = routing.load_of(report, entry.own.get(upstream_id, 0))
    return routing.Candidate(upstream_id, load)


def _dispatch(call: Call, now_ms: int, _payload) -> Iterator:
    entry, request, route = call.entry, call.request, call.route
    upstream = entry.view.upstreams[call.upstream_id]
    call.attempts += 1
    call.tries += 1
    call.attempt_id = f"{call.key}.{call.attempts}"
    call.next_chunk = 0
    entry.own[call.upstream_id] = entry.own.get(call.upstream_id, 0) + 1
    weights = (
        pool.accelerators
        for pool in entry.view.tables.pools
        if pool.name == route.pool
    )
    frame = call_messages.Dispatch(
        attempt_id=call.attempt_id,
        request_id=call.key,
        incarnation=upstream.incarnation,
        view_index=entry.view.index,
        route=route.name,
        pool=route.pool,
        weight=next(weights, 1),
        priority=route.priority,
        model=route.model,
        method=request.method,
        path=request.path,
        body=request.body,
        idempotency_key=request.idempotency_key,
        suspect=request.fingerprint in entry.view.quarantine,
        budget_ms=max(call.deadline_ms - now_ms, 0),
        tokens=request.tokens,
        credit=entry.cfg.credit_chunks,
        traceparent=request.traceparent,
    )
    yield effects.Send(call.upstream_id, frame)


def _note_refusal(call: Call, _now_ms: int, _payload) -> Iterator:
    call.refused_by.add(call.upstream_id)
    yield from _end_attempt(call)


def _forget_refusals(call: Call, _now_ms: int, _payload) -> Iterator:
    call.refused_by.clear()
    call.tries = 0
    yield from ()


def _end_attempt(call: Call) -> Iterator:
    own = call.entry.own
    if call.attempt_id:
        own[call.upstream_id] = own.get(call.upstream_id, 1) - 1
    call.attempt_id = ""
    yield from ()


def _cancel(call: Call, _now_ms: int, _payload) -> Iterator:
    yield effects.Send(call.upstream_id, call_messages.Cancel(call.attempt_id))


# Frames and links.


def _on_frame(
    entry: Entry, now_ms: int, message: entry_messages.FrameArrived
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


def _note_failure(call: Call, failure: errors.CallFailure | None) -> None:
    if failure is None:
        return
    call.failure = failure
    if failure.outcome != errors.Outcome.NOT_RUN:
        call.may_have_run = True


def _note_load(entry: Entry, upstream_id: str, frame) -> None:
    load = getattr(frame, "load", None)
    if load is not None:
        entry.loads[upstream_id] = load
    if isinstance(frame, call_messages.Pong) and frame.leaving:
        entry.leaving[upstream_id] = frame.incarnation


def _call_of(entry: Entry, upstream_id: str, attempt_id: str) -> Call | None:
    request_id, _, _ = attempt_id.rpartition(".")
    call = entry.calls.get(request_id)
    if call is None or call.attempt_id != attempt_id:
        return None
    return call if call.upstream_id == upstream_id else None


def _event_of(call: Call, frame) -> tuple:
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
    entry: Entry, now_ms: int, message: entry_messages.LinkLost
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


def _calls_at(entry: Entry, upstream_id: str) -> list[Call]:
    entry.loads.pop(upstream_id, None)
    return [
        call
        for call in entry.calls.values()
        if call.attempt_id and call.upstream_id == upstream_id
    ]


# Idempotency records and strikes.


def _ask_record(call: Call, _now_ms: int, _payload) -> Iterator:
    lease_ms = call.deadline_ms - call.began_ms + RECORD_MARGIN_MS
    command = commands.ReserveKey(
        key=_record_key(call),
        request_id=call.key,
        fingerprint=call.request.fingerprint,
        at_ms=call.wall_ms,
        lease_ms=lease_ms,
    )
    yield role_messages.AskControl(call.key, command)


def _record_key(call: Call) -> str:
    return commands.record_key(call.route.name, call.request.idempotency_key)


def _on_control_answer(entry, now_ms: int, message) -> Iterator:
    yield from unconfirmed.confirm(entry.ends, message)
    call = entry.calls.get(message.ask_id)
    result = message.result
    if call is None or isinstance(result, commands.Unavailable):
        return
    if isinstance(result, commands.KeyRefused):
        call.failure = _key_failure(result.code)
        yield from _fire(call, "key_refused", now_ms)
    elif isinstance(result, commands.KeyKept):
        yield from _fire(call, "kept", now_ms, result.answer)
    elif isinstance(result, commands.KeyGranted):
        yield from _fire(call, "granted", now_ms)
    else:
        yield from _fire(call, "strike_noted", now_ms)


_KEY_FAILURES = {
    errors.FailureCode.KEY_RUNNING: (
        errors.Outcome.UNKNOWN,
        "a request with this key is still running",
    ),
    errors.FailureCode.KEY_UNKNOWN: (
        errors.Outcome.UNKNOWN,
        "it is not known whether the request with this key ran",
    ),
    errors.FailureCode.KEY_EXPIRED: (
        errors.Outcome.UNKNOWN,
        "this key is older than answers are kept",
    ),
    errors.FailureCode.KEY_MISMATCH: (
        errors.Outcome.NOT_RUN,
        "this key was used for another request",
    ),
    errors.FailureCode.ANSWER_TOO_LARGE: (
        errors.Outcome.RAN,
        "the request ran, but its answer was too large to keep",
    ),
}


def _key_failure(code: errors.FailureCode) -> errors.CallFailure:
    outcome, message = _KEY_FAILURES[code]
    return errors.call_failure(code, message, outcome)


def _release_record(call: Call, _now_ms: int, _payload) -> Iterator:
    if call.request.idempotency_key:
        command = commands.ReleaseKey(_record_key(call), call.key)
        yield _tell_end(call, command)


def _finish_unknown(call: Call, _now_ms: int, _payload) -> Iterator:
    if call.request.idempotency_key:
        command = commands.FinishKey(_record_key(call), call.key, False)
        yield _tell_end(call, command)


def _finish_record(call: Call, _now_ms: int, _payload) -> Iterator:
    if not call.request.idempotency_key:
        return
    answer = None
    if len(call.kept) <= idempotency.MAX_ANSWER_BYTES:
        answer = commands.KeptAnswer(
            call.status, call.content_type, bytes(call.kept)
        )
    command = commands.FinishKey(_record_key(call), call.key, True, answer)
    # Any other end leaves it to the upstream process to tell more.
    settled = call_messages.Settled(call.attempt_id)
    yield _tell_end(call, command, effects.Send(call.upstream_id, settled))


def _tell_end(
    call: Call, command, settled: effects.Send | None = None
) -> role_messages.AskControl:
    """Keep the command until control has confirmed it."""
    ask_id = f"{call.key}/end"
    return unconfirmed.tell(call.entry.ends, ask_id, command, settled)


def _on_remind(entry: Entry, _now_ms: int, _message) -> Iterator:
    yield from unconfirmed.remind(entry.ends)


def _report_strike(call: Call, now_ms: int, _payload) -> Iterator:
    wall_ms = call.wall_ms + now_ms - call.began_ms
    command = commands.ReportStrike(
        call.request.fingerprint, call.upstream_id, call.attempt_id, wall_ms
    )
    yield role_messages.AskControl(call.key, command)


# Replies.


def _reply_head(call: Call, _now_ms: int, frame) -> Iterator:
    call.status, call.content_type = frame.status, frame.content_type
    yield entry_messages.ReplyHead(call.key, frame.status, frame.content_type)


def _reply_chunk(call: Call, _now_ms: int, frame) -> Iterator:
    call.next_chunk += 1
    if call.request.idempotency_key:
        room = idempotency.MAX_ANSWER_BYTES + 1 - len(call.kept)
        call.kept += frame.data[: max(room, 0)]
    yield entry_messages.ReplyChunk(
        call.key, call.upstream_id, call.attempt_id, frame.data
    )


def _reply_end(call: Call, _now_ms: int, _frame) -> Iterator:
    call.failure = None
    yield entry_messages.ReplyEnd(call.key)


def _reply_kept(call: Call, _now_ms: int, answer) -> Iterator:
    yield entry_messages.ReplyHead(
        call.key, answer.status, answer.content_type
    )
    yield entry_messages.ReplyChunk(call.key, "", "", answer.body)
    yield entry_messages.ReplyEnd(call.key)


def _reply_failure(call: Call, _now_ms: int, _payload) -> Iterator:
    failure = call.failure
    if call.may_have_run and failure.outcome == errors.Outcome.NOT_RUN:
        failure = dataclasses.replace(failure, outcome=errors.Outcome.UNKNOWN)
    call.failure = failure
    yield entry_messages.ReplyFailure(call.key, failure)


def _reply_deadline(call: Call, now_ms: int, payload) -> Iterator:
    running = bool(call.attempt_id)
    outcome = errors.Outcome.UNKNOWN if running else errors.Outcome.NOT_RUN
    code = errors.FailureCode.DEADLINE_EXCEEDED
    call.failure = errors.call_failure(code, "deadline exceeded", outcome)
    yield from _reply_failure(call, now_ms, payload)


def _reply_no_control(call: Call, now_ms: int, payload) -> Iterator:
    code = errors.FailureCode.CONTROL_UNAVAILABLE
    message = "the key could not be recorded in time"
    call.failure = _without_record(errors.call_failure(code, message))
    yield from _reply_failure(call, now_ms, payload)


# Other messages and guards.


def _on_caller_left(entry: Entry, now_ms: int, message) -> Iterator:
    call = entry.calls.get(message.request_id)
    if call is not None:
        code = errors.FailureCode.CALLER_LEFT
        text = "the caller closed its connection"
        call.failure = errors.call_failure(code, text, errors.Outcome.UNKNOWN)
        yield from _fire(call, "caller_left", now_ms)


def _on_timer(
    entry: Entry, now_ms: int, message: role_messages.TimerFired
) -> Iterator:
    call = entry.calls.get(message.key)
    if call is None:
        return
    if message.token == DEADLINE_TOKEN:
        yield from _fire(call, "deadline", now_ms)
        return
    chart = entry.chart
    yield from charting.fire_timer(chart, call, message.token, now_ms)
    yield from _end_if_final(call, now_ms)


def _on_freshness(entry: Entry, _now_ms: int, message) -> Iterator:
    entry.fresh = message.fresh
    yield from ()


def _fire(call: Call, event: str, now_ms: int, payload=None) -> Iterator:
    chart = call.entry.chart
    yield from charting.fire(chart, call, event, now_ms, payload)
    yield from _end_if_final(call, now_ms)


def _end_if_final(call: Call, now_ms: int) -> Iterator:
    entry = call.entry
    final = entry.chart.spec.states[call.phase].final
    if final and entry.calls.pop(call.key, None) is not None:
        yield from _end_attempt(call)
        yield entry_messages.CallEnded(
            call.key,
            call.route.name,
            call.phase,
            call.attempts,
            now_ms - call.began_ms,
            call.failure,
        )


def _may_not_repeat(call: Call, _payload) -> bool:
    return bool(call.request.idempotency_key)


def _has_budget(call: Call, _payload) -> bool:
    entry = call.entry
    if entry.retry_budget < 1:
        return False
    entry.retry_budget -= 1
    return True


guards = {"may_not_repeat": _may_not_repeat, "has_budget": _has_budget}
actions = {
    "ask_record": _ask_record,
    "choose": _choose,
    "dispatch": _dispatch,
    "note_refusal": _note_refusal,
    "forget_refusals": _forget_refusals,
    "cancel": _cancel,
    "release_record": _release_record,
    "finish_unknown": _finish_unknown,
    "finish_record": _finish_record,
    "report_strike": _report_strike,
    "reply_head": _reply_head,
    "reply_chunk": _reply_chunk,
    "reply_end": _reply_end,
    "reply_kept": _reply_kept,
    "reply_failure": _reply_failure,
    "reply_deadline": _reply_deadline,
    "reply_no_control": _reply_no_control,
}

_HANDLERS = {
    entry_messages.CallArrived: _on_call,
    entry_messages.CallerLeft: _on_caller_left,
    role_messages.ControlAnswered: _on_control_answer,
    entry_messages.FrameArrived: _on_frame,
    role_messages.FreshnessNoted: _on_freshness,
    entry_messages.LinkFailed: _on_link_failed,
    entry_messages.LinkLost: _on_link_lost,
    role_messages.RemindControl: _on_remind,
    role_messages.TimerFired: _on_timer,
}
