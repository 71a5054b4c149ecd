"""Handle the requests that entries dispatch to an upstream process.

`step` maps the state of an upstream process, the current time and a message
to effects. All requests to the engine pass through it and wait in the
bounded queue of `admission`. The module `model_orders` decides which models
the engine loads and unloads, and `shutdown` when a planned stop completes.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.shared import (
    call_messages,
    effects,
    errors,
    pauses,
    role_messages,
    shutdown,
    tables,
    unconfirmed,
    views,
)
from bilberryramp.decisions.upstream import (
    admission,
    engine_pauses,
    model_orders,
    run_records,
    upstream_messages,
)

__all__ = [
    "QUEUE_TIMER_PREFIX",
    "Attempt",
    "UpstreamState",
    "build_report",
    "busy_by_model",
    "current_load",
    "is_idle",
    "step",
]

QUEUE_TIMER_PREFIX = "queue/"
MAX_ENDED_IDS = 4096
# Credit of a keyed run whose entry is lost: it must not wait for credit,
# since no entry reads its chunks.
UNLIMITED_CHUNKS = 1_000_000_000


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt that is queued or running.

    Attributes
    ----------
    sender
        Identity of the connection from the entry that dispatched it.
    deadline_ms
        Deadline as monotonic time in milliseconds of this process.
    running
        False while the attempt is queued.
    sent_ms
        When its call that the engine has not answered yet was sent, in
        milliseconds; `engine_pauses.NOT_SENT_MS` if there is none.
    """

    sender: str
    dispatch: call_messages.Dispatch
    deadline_ms: int
    running: bool = False
    sent_ms: int = engine_pauses.NOT_SENT_MS


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """State of an upstream process.

    Attributes
    ----------
    upstream
        What this process announces of itself to control.
    view
        Routes, upstreams and placements as control sent them last.
    queue
        Queued and running attempts by pool.
    orders
        Model orders of the engine; None for a plain service.
    pause
        Pauses that the engine asked for.
    stop
        State machine of the planned stop; None until it is set up.
    fresh
        Whether the view's freshness lease is valid.
    engine_up
        Whether the engine answered the last request for its state.
    attempts
        Queued and running attempts by attempt id.
    ended
        Ids of the last `MAX_ENDED_IDS` attempts that ended, oldest first,
        so that a repeated dispatch does not run again.
    resumes
        Ids of running attempts whose broken streams wait to be resumed,
        oldest first.
    records
        Ends of keyed runs that control may not have recorded.
    """

    upstream: views.Upstream
    view: views.View
    queue: admission.Queue
    orders: model_orders.Orders | None
    pause: engine_pauses.EnginePause
    stop: shutdown.Shutdown | None = None
    fresh: bool = False
    engine_up: bool = False
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    resumes: dict[str, None] = dataclasses.field(default_factory=dict)
    records: run_records.RunRecords = dataclasses.field(
        default_factory=run_records.RunRecords
    )


def step(state: UpstreamState, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    state
        Modified in place.
    now_ms
        Current time in milliseconds.
    message
        A message of `upstream_messages` or `role_messages`.

    Yields
    ------
    effect
        Frames to entries, runs and orders for the engine, commands to
        control and timers.
    """
    withheld = collections.deque()
    emitted = _HANDLERS[type(message)](state, now_ms, message)
    yield from _withhold_orders(state, now_ms, emitted, withheld)
    while withheld:
        emitted = model_orders.record_answer(
            state.orders,
            now_ms,
            withheld.popleft(),
            model_orders.OrderOutcome.REFUSED,
        )
        yield from _withhold_orders(state, now_ms, emitted, withheld)


def _withhold_orders(state, now_ms: int, emitted, withheld) -> Iterator:
    """Pass effects on, except for orders during a pause of the engine.

    These are not sent, and the charts repeat them as after a refusal.
    """
    for effect in emitted:
        is_order = isinstance(effect, model_orders.EngineOrder)
        if is_order and pauses.remaining_ms(state.pause.pause, now_ms):
            withheld.append(effect)
        else:
            yield effect


def build_report(state: UpstreamState) -> tuple:
    """Build the report of this process to control.

    Parameters
    ----------
    state
        State of the upstream process.

    Returns
    -------
    tuple of (Upstream, tuple of ReplicaPlace)
        The announcement, and the replicas that accept requests; none while
        the engine does not answer.
    """
    leaving = state.stop is not None and shutdown.is_stopping(state.stop)
    upstream = dataclasses.replace(state.upstream, leaving=leaving)
    if state.orders is None or not state.engine_up:
        return upstream, ()
    return upstream, model_orders.resident_places(state.orders)


def current_load(state: UpstreamState) -> call_messages.Load:
    """Build the load report that is sent to entries.

    Parameters
    ----------
    state
        State of the upstream process.

    Returns
    -------
    Load
        Number of running and of queued requests, and of slots.
    """
    return call_messages.Load(
        admission.running(state.queue),
        admission.length(state.queue),
        state.upstream.slots,
    )


def busy_by_model(state: UpstreamState) -> dict[str, int]:
    """Count the running and queued requests of each model.

    Parameters
    ----------
    state
        State of the upstream process.

    Returns
    -------
    dict
        Number of requests by model name; empty for a plain service.
    """
    models = (attempt.dispatch.model for attempt in state.attempts.values())
    return dict(collections.Counter(model for model in models if model))


def is_idle(state: UpstreamState) -> bool:
    """Return whether a planned stop may complete.

    Parameters
    ----------
    state
        State of the upstream process.

    Returns
    -------
    bool
        False while an attempt is queued or running, or while the view is
        fresh (so control is reachable) and control has not recorded the
        end of every keyed run.
    """
    settled = run_records.are_settled(state.records) or not state.fresh
    return settled and not state.attempts


# Frames from entries.


def _on_frame(state: UpstreamState, now_ms: int, message) -> Iterator:
    frame = message.frame
    if isinstance(frame, call_messages.Dispatch):
        yield from _on_dispatch(state, now_ms, message.sender, frame)
    elif isinstance(frame, call_messages.Cancel):
        yield from _cancel(state, now_ms, frame.attempt_id)
    elif isinstance(frame, call_messages.Credit):
        yield upstream_messages.GrantCredit(frame.attempt_id, frame.chunks)
    elif isinstance(frame, call_messages.EndRecorded):
        run_records.record_settled(state.records, frame.attempt_id)
        yield from _check_stop(state, now_ms)
    elif isinstance(frame, call_messages.Ping):
        yield effects.Send(message.sender, _pong(state))


def _on_dispatch(state, now_ms: int, sender: str, dispatch) -> Iterator:
    if dispatch.attempt_id in state.attempts or (
        dispatch.attempt_id in state.ended
    ):
        return
    failure = _find_refusal(state, dispatch)
    if failure is None:
        failure = _find_pause(state, now_ms, dispatch)
    if failure is not None:
        yield _refuse(state, sender, dispatch.attempt_id, failure)
        return
    deadline_ms = now_ms + dispatch.budget_ms
    state.attempts[dispatch.attempt_id] = Attempt(
        sender, dispatch, deadline_ms
    )
    item = admission.Item(
        key=dispatch.attempt_id,
        pool=dispatch.pool,
        weight=dispatch.weight,
        tokens=dispatch.tokens,
        priority=dispatch.priority,
        deadline_ms=deadline_ms,
        start_by_ms=now_ms + dispatch.first_token_in_ms,
    )
    evicted = admission.offer(state.queue, item)
    if evicted is not None:
        yield from _refuse_evicted(state, evicted)
    if dispatch.attempt_id in state.attempts:
        key = QUEUE_TIMER_PREFIX + dispatch.attempt_id
        yield effects.SetTimer(key, 0, deadline_ms)
    yield from _start_queued(state, now_ms)


def _find_refusal(state, dispatch) -> errors.CallFailure | None:
    code = errors.FailureCode
    if dispatch.incarnation != state.upstream.incarnation:
        return _failure(
            code.WRONG_INCARNATION,
            "another process was meant",
        )
    if state.stop is not None and shutdown.is_stopping(state.stop):
        return _failure(code.LEAVING, "the upstream is leaving")
    if _is_leaving_in_view(state):
        return _failure(code.LEAVING, "the upstream is being drained")
    if not state.fresh and not _serves_stale(state, dispatch.route):
        text = "configuration may be out of date"
        return _failure(code.STALE_CONFIGURATION, text)
    if not state.engine_up:
        return _failure(code.NO_UPSTREAM, "the engine does not answer")
    if state.orders is not None and not model_orders.is_resident(
        state.orders, dispatch.model
    ):
        return _failure(code.NOT_RESIDENT, "the model is not resident")
    if dispatch.suspect and _is_suspect_running(state):
        return _failure(code.OVERLOADED, "a suspect request is running")
    return None


def _find_pause(state, now_ms: int, dispatch) -> errors.CallFailure | None:
    """Return the refusal of an attempt that cannot start in time, if any."""
    pause_ms = pauses.remaining_ms(state.pause.pause, now_ms)
    start_in_ms = min(dispatch.budget_ms, dispatch.first_token_in_ms)
    if not pause_ms or pause_ms < start_in_ms:
        return None
    state.pause.refused += 1
    return _pause_failure(pause_ms)


def _pause_failure(pause_ms: int) -> errors.CallFailure:
    return errors.CallFailure(
        errors.FailureCode.ENGINE_PAUSED,
        errors.Outcome.NOT_RUN,
        "the engine asked for a pause",
        pause_ms,
    )


def _is_leaving_in_view(state: UpstreamState) -> bool:
    """Return whether control has recorded that this process is leaving."""
    recorded = state.view.upstreams.get(state.upstream.upstream_id)
    if recorded is None or recorded.incarnation != state.upstream.incarnation:
        return False
    return recorded.leaving


def _serves_stale(state: UpstreamState, route_name: str) -> bool:
    """Return whether a route is served while the view is not fresh."""
    return any(
        route.name == route_name and route.when_stale == tables.StaleRule.SERVE
        for route in state.view.tables.routes
    )


def _is_suspect_running(state: UpstreamState) -> bool:
    return any(attempt.dispatch.suspect for attempt in state.attempts.values())


def _failure(code: errors.FailureCode, message: str) -> errors.CallFailure:
    return errors.call_failure(code, message)


def _refuse(state, sender: str, attempt_id: str, failure) -> effects.Send:
    frame = call_messages.Refused(
        attempt_id, failure, state.view.index, current_load(state)
    )
    return effects.Send(sender, frame)


def _refuse_evicted(state: UpstreamState, item: admission.Item) -> Iterator:
    text = "the queue of the upstream is full"
    failure = _failure(errors.FailureCode.OVERLOADED, text)
    yield from _refuse_queued(state, item.key, failure)


def _refuse_queued(state, attempt_id: str, failure) -> Iterator:
    attempt = _end_attempt(state, attempt_id)
    yield _refuse(state, attempt.sender, attempt_id, failure)


def _end_attempt(state: UpstreamState, attempt_id: str) -> Attempt:
    state.ended[attempt_id] = None
    if len(state.ended) > MAX_ENDED_IDS:
        del state.ended[next(iter(state.ended))]
    return state.attempts.pop(attempt_id)


# Runs.


def _start_queued(state: UpstreamState, now_ms: int) -> Iterator:
    """Start what the engine may receive now, interrupted streams first."""
    pause = state.pause.pause
    while state.resumes and pauses.may_call(pause, now_ms):
        attempt_id = next(iter(state.resumes))
        del state.resumes[attempt_id]
        _record_sent(state, now_ms, state.attempts[attempt_id])
        yield upstream_messages.GrantResume(attempt_id)
    while pauses.may_call(pause, now_ms):
        item = admission.start_next(state.queue, now_ms)
        if item is None:
            return
        yield from _start(state, now_ms, item)


def _start(state: UpstreamState, now_ms: int, item) -> Iterator:
    attempt = state.attempts[item.key]
    model = attempt.dispatch.model
    if state.orders is not None:
        if not model_orders.is_resident(state.orders, model):
            admission.record_finish(state.queue, item.pool)
            text = "the model is not resident any more"
            failure = _failure(errors.FailureCode.NOT_RESIDENT, text)
            yield from _refuse_queued(state, item.key, failure)
            return
        running = state.orders.running
        running[model] = running.get(model, 0) + 1
    attempt.running = True
    _record_sent(state, now_ms, attempt)
    yield upstream_messages.StartRun(attempt.sender, attempt.dispatch)


def _record_sent(state: UpstreamState, now_ms: int, attempt: Attempt) -> None:
    attempt.sent_ms = now_ms
    pauses.record_sent(state.pause.pause)


def _record_response(state, now_ms: int, attempt, is_served: bool) -> None:
    """Record that the last call of an attempt has ended."""
    pauses.record_response(
        state.pause.pause, attempt.sent_ms, is_served, now_ms
    )
    attempt.sent_ms = engine_pauses.NOT_SENT_MS


def _on_head(state: UpstreamState, now_ms: int, head) -> Iterator:
    attempt = state.attempts.get(head.attempt_id)
    if attempt is None or not attempt.running:
        return
    sent_ms = attempt.sent_ms
    is_served = head.status < 500 and head.status != 429
    _record_response(state, now_ms, attempt, is_served)
    if engine_pauses.request(state.pause, sent_ms, head.pause_ms, now_ms):
        yield from _begin_pause(state, now_ms, head)
    yield from _start_queued(state, now_ms)


def _begin_pause(state: UpstreamState, now_ms: int, head) -> Iterator:
    """Refuse the queued attempts that cannot start in time afterwards."""
    until_ms = state.pause.pause.until_ms
    failure = _pause_failure(until_ms - now_ms)
    late_items = admission.pop_late(state.queue, until_ms)
    for item in late_items:
        yield from _refuse_queued(state, item.key, failure)
    state.pause.refused += len(late_items)
    yield effects.SetTimer(engine_pauses.TIMER_KEY, until_ms, until_ms)
    yield upstream_messages.PauseBegan(
        head.attempt_id, head.status, until_ms - now_ms, len(late_items)
    )
    yield from _check_stop(state, now_ms)


def _on_pause_timer(state: UpstreamState, now_ms: int, until_ms) -> Iterator:
    if until_ms != state.pause.pause.until_ms:
        return
    if pauses.remaining_ms(state.pause.pause, now_ms):
        # The timer came early.
        yield effects.SetTimer(engine_pauses.TIMER_KEY, until_ms, until_ms)
        return
    yield from _end_pause(state, False)
    yield from _start_queued(state, now_ms)


def _end_pause(state: UpstreamState, restarted: bool) -> Iterator:
    yield upstream_messages.PauseEnded(restarted, state.pause.refused)
    state.pause.refused = 0


def _on_resume_requested(
    state: UpstreamState, now_ms: int, message
) -> Iterator:
    attempt = state.attempts.get(message.attempt_id)
    if attempt is None or not attempt.running:
        return
    _record_response(state, now_ms, attempt, False)
    state.resumes[message.attempt_id] = None
    yield from _start_queued(state, now_ms)


def _on_run_ended(state: UpstreamState, now_ms: int, ended) -> Iterator:
    attempt = _end_attempt(state, ended.attempt_id)
    state.resumes.pop(ended.attempt_id, None)
    _record_response(state, now_ms, attempt, False)
    admission.record_finish(state.queue, attempt.dispatch.pool)
    load = current_load(state)
    if ended.failure is None:
        frame = call_messages.AnswerEnd(ended.attempt_id, ended.chunks, load)
    else:
        frame = call_messages.AnswerBroken(
            ended.attempt_id, ended.failure, ended.crashed, load
        )
    yield effects.Send(attempt.sender, frame)
    yield from run_records.record_end(
        state.records, now_ms, attempt.dispatch, ended
    )
    if state.orders is not None:
        model = attempt.dispatch.model
        state.orders.running[model] -= 1
        yield from model_orders.record_idle(state.orders, now_ms, model)
    yield from _start_queued(state, now_ms)
    yield from _check_stop(state, now_ms)


def _cancel(state: UpstreamState, now_ms: int, attempt_id: str) -> Iterator:
    text = "cancelled before it ran"
    failure = _failure(errors.FailureCode.CALLER_LEFT, text)
    yield from _abort(state, now_ms, attempt_id, failure)


def _abort(state, now_ms: int, attempt_id: str, failure) -> Iterator:
    """Cancel an attempt that is running; refuse one that is queued."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return
    if attempt.running:
        yield upstream_messages.CancelRun(attempt_id)
        return
    admission.remove(state.queue, attempt_id)
    yield from _refuse_queued(state, attempt_id, failure)
    yield from _check_stop(state, now_ms)


def _on_sender_lost(state: UpstreamState, now_ms: int, message) -> Iterator:
    """Cancel the attempts of a lost entry, except those of keyed requests.

    Keyed requests run to their end, so that a resend gets the answer.
    """
    attempts = [
        attempt
        for attempt in state.attempts.values()
        if attempt.sender == message.sender
    ]
    for attempt in attempts:
        attempt_id = attempt.dispatch.attempt_id
        if attempt.dispatch.idempotency_key:
            yield upstream_messages.GrantCredit(attempt_id, UNLIMITED_CHUNKS)
        else:
            yield from _cancel(state, now_ms, attempt_id)


def _on_control_answer(state: UpstreamState, now_ms: int, message) -> Iterator:
    yield from unconfirmed.confirm(state.records.reported, message)
    yield from _check_stop(state, now_ms)


def _on_resend_commands(
    state: UpstreamState, now_ms: int, _message
) -> Iterator:
    yield from unconfirmed.resend(state.records.reported)
    yield from _check_stop(state, now_ms)


def _on_timer(state: UpstreamState, now_ms: int, message) -> Iterator:
    if message.key == engine_pauses.TIMER_KEY:
        yield from _on_pause_timer(state, now_ms, message.token)
        return
    if message.key.startswith(run_records.SETTLE_TIMER_PREFIX):
        yield from run_records.report_unsettled(state.records, message.key)
        return
    if not message.key.startswith(QUEUE_TIMER_PREFIX):
        yield from model_orders.handle_timer(
            state.orders, now_ms, message.key, message.token
        )
        return
    attempt_id = message.key.removeprefix(QUEUE_TIMER_PREFIX)
    text = "the deadline passed in the queue"
    failure = _failure(errors.FailureCode.DEADLINE_EXCEEDED, text)
    yield from _abort(state, now_ms, attempt_id, failure)


# Engine, view and planned stop.


def _on_engine_reported(
    state: UpstreamState, now_ms: int, message
) -> Iterator:
    was_down = not state.engine_up
    state.engine_up = True
    report = message.report
    if engine_pauses.record_boot(
        state.pause, report.boot_id, report.requested_ms, now_ms
    ):
        yield from _end_pause(state, True)
    if state.orders is not None:
        yield from model_orders.record_engine_report(
            state.orders, now_ms, report
        )
        yield from _follow_placement(state, now_ms)
    if was_down:
        yield upstream_messages.ReportDue()
    yield from _start_queued(state, now_ms)


def _on_engine_lost(state: UpstreamState, _now_ms: int, _message) -> Iterator:
    if state.engine_up:
        state.engine_up = False
        yield upstream_messages.ReportDue()


def _on_engine_answered(state, now_ms: int, message) -> Iterator:
    yield from model_orders.record_answer(
        state.orders, now_ms, message.order, message.outcome
    )


def _on_view(state: UpstreamState, now_ms: int, _message) -> Iterator:
    yield from _follow_placement(state, now_ms)
    if _is_leaving_in_view(state):
        yield from _refuse_all_queued(state)


def _follow_placement(state: UpstreamState, now_ms: int) -> Iterator:
    recorded = state.view.upstreams.get(state.upstream.upstream_id)
    announced = recorded is not None and (
        recorded.incarnation == state.upstream.incarnation
    )
    # Until control has recorded the announcement of this process, fencing
    # tokens derived from the placement would be those of an earlier process.
    if state.orders is None or not announced:
        return
    placed = state.view.placements.get(state.upstream.upstream_id)
    yield from model_orders.reconcile(state.orders, now_ms, placed)


def _on_freshness(state: UpstreamState, _now_ms: int, message) -> Iterator:
    state.fresh = message.fresh
    yield from ()


def _on_stop(state: UpstreamState, now_ms: int, _message) -> Iterator:
    yield from _refuse_all_queued(state)
    yield from shutdown.request_stop(state.stop, now_ms)
    yield upstream_messages.ReportDue()


def _refuse_all_queued(state: UpstreamState) -> Iterator:
    failure = _failure(errors.FailureCode.LEAVING, "the upstream is leaving")
    while (item := admission.pop_any(state.queue)) is not None:
        yield from _refuse_queued(state, item.key, failure)


def _check_stop(state: UpstreamState, now_ms: int) -> Iterator:
    if state.stop is not None:
        yield from shutdown.review(state.stop, now_ms)


def _pong(state: UpstreamState) -> call_messages.Pong:
    leaving = state.stop is not None and shutdown.is_stopping(state.stop)
    return call_messages.Pong(
        state.upstream.incarnation,
        state.view.index,
        current_load(state),
        leaving or _is_leaving_in_view(state),
    )


_HANDLERS = {
    upstream_messages.FrameArrived: _on_frame,
    upstream_messages.SenderLost: _on_sender_lost,
    upstream_messages.HeadArrived: _on_head,
    upstream_messages.ResumeRequested: _on_resume_requested,
    upstream_messages.RunEnded: _on_run_ended,
    upstream_messages.EngineReported: _on_engine_reported,
    upstream_messages.EngineLost: _on_engine_lost,
    upstream_messages.EngineAnswered: _on_engine_answered,
    upstream_messages.ViewUpdated: _on_view,
    role_messages.CommandAnswered: _on_control_answer,
    role_messages.FreshnessUpdate: _on_freshness,
    role_messages.ResendCommands: _on_resend_commands,
    upstream_messages.StopRequested: _on_stop,
    role_messages.TimerFired: _on_timer,
}
