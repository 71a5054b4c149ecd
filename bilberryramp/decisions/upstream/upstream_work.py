"""An upstream process's decisions: all traffic to its engine passes here.

The role is a function from (upstream, now, message) to effects. Requests
wait in a bounded queue shared between pools; memory and models are in
`model_orders`; the planned stop is in `shutdown`.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.shared import (
    call_messages,
    effects,
    errors,
    role_messages,
    shutdown,
    tables,
    unconfirmed,
    views,
)
from bilberryramp.decisions.upstream import (
    admission,
    model_orders,
    run_records,
    upstream_messages,
)

__all__ = [
    "QUEUE_WAIT_KEY",
    "UpstreamState",
    "Work",
    "busy_by_model",
    "is_idle",
    "load_of",
    "report_of",
    "step",
]

QUEUE_WAIT_KEY = "queue/"
MAX_ENDED = 4096
# For a run whose entry is gone; nobody waits for its chunks.
UNLIMITED_CHUNKS = 1_000_000_000


@dataclasses.dataclass(slots=True)
class Work:
    """An attempt that waits or runs.

    Attributes
    ----------
    deadline_ms
        On the own clock.
    """

    sender: str
    dispatch: call_messages.Dispatch
    deadline_ms: int
    running: bool = False


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """State of an upstream process.

    Attributes
    ----------
    upstream
        What it announces.
    works
        Attempts by id.
    ended
        Ids of recent attempts, so that a repeated dispatch is not run.
    records
        Ends of marked runs that control may not know of.
    orders
        None beside a plain service.
    """

    upstream: views.Upstream
    view: views.View
    queue: admission.Queue
    orders: model_orders.Orders | None
    stop: shutdown.Shutdown | None = None
    fresh: bool = False
    engine_up: bool = False
    works: dict[str, Work] = dataclasses.field(default_factory=dict)
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    records: run_records.RunRecords = dataclasses.field(
        default_factory=run_records.RunRecords
    )


def step(state: UpstreamState, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    state
        Changed in place.
    now_ms
        The process's monotonic clock in milliseconds.
    message
        One of this module's messages.

    Yields
    ------
    effect
        Frames to entries, runs, orders to the engine, timers.
    """
    yield from _HANDLERS[type(message)](state, now_ms, message)


def report_of(state: UpstreamState) -> tuple:
    """Build what control should know.

    Parameters
    ----------
    state
        The upstream process.

    Returns
    -------
    tuple of (Upstream, tuple of ReplicaPlace)
        The announcement and the resident replicas.
    """
    leaving = state.stop is not None and shutdown.is_draining(state.stop)
    upstream = dataclasses.replace(state.upstream, leaving=leaving)
    if state.orders is None or not state.engine_up:
        return upstream, ()
    return upstream, model_orders.resident_places(state.orders)


def load_of(state: UpstreamState) -> call_messages.Load:
    """Build what is shown to entries of the load here.

    Parameters
    ----------
    state
        The upstream process.

    Returns
    -------
    Load
        Requests running and waiting, and the slots.
    """
    return call_messages.Load(
        admission.running(state.queue),
        admission.length(state.queue),
        state.upstream.slots,
    )


def busy_by_model(state: UpstreamState) -> dict[str, int]:
    """Count the requests of each model that run or wait.

    Parameters
    ----------
    state
        The upstream process.

    Returns
    -------
    dict
        Requests by model; a plain service has none.
    """
    models = (work.dispatch.model for work in state.works.values())
    return dict(collections.Counter(model for model in models if model))


def is_idle(state: UpstreamState) -> bool:
    """Tell whether a planned stop may end.

    Parameters
    ----------
    state
        The upstream process.

    Returns
    -------
    bool
        False while an attempt waits or runs, or while control can be
        reached and does not know of a marked run that ended.
    """
    settled = run_records.are_settled(state.records) or not state.fresh
    return settled and not state.works


# Frames.


def _on_frame(state: UpstreamState, now_ms: int, message) -> Iterator:
    frame = message.frame
    if isinstance(frame, call_messages.Dispatch):
        yield from _on_dispatch(state, now_ms, message.sender, frame)
    elif isinstance(frame, call_messages.Cancel):
        yield from _cancel(state, now_ms, frame.attempt_id)
    elif isinstance(frame, call_messages.Credit):
        yield upstream_messages.GrantCredit(frame.attempt_id, frame.chunks)
    elif isinstance(frame, call_messages.EndRecorded):
        run_records.note_settled(state.records, frame.attempt_id)
        yield from _check_stop(state, now_ms)
    elif isinstance(frame, call_messages.Ping):
        yield effects.Send(message.sender, _pong(state))


def _on_dispatch(state, now_ms: int, sender: str, dispatch) -> Iterator:
    if dispatch.attempt_id in state.works or (
        dispatch.attempt_id in state.ended
    ):
        return
    failure = _refusal(state, dispatch)
    if failure is not None:
        yield _refuse(state, sender, dispatch.attempt_id, failure)
        return
    deadline_ms = now_ms + dispatch.budget_ms
    state.works[dispatch.attempt_id] = Work(sender, dispatch, deadline_ms)
    item = admission.Item(
        key=dispatch.attempt_id,
        pool=dispatch.pool,
        weight=dispatch.weight,
        tokens=dispatch.tokens,
        priority=dispatch.priority,
        deadline_ms=deadline_ms,
        late_ms=now_ms + dispatch.first_token_in_ms,
    )
    displaced = admission.offer(state.queue, item)
    if displaced is not None:
        yield from _shed(state, displaced)
    if dispatch.attempt_id in state.works:
        key = QUEUE_WAIT_KEY + dispatch.attempt_id
        yield effects.SetTimer(key, 0, deadline_ms)
    yield from _start_waiting(state, now_ms)


def _refusal(state, dispatch) -> errors.CallFailure | None:
    code = errors.FailureCode
    if dispatch.incarnation != state.upstream.incarnation:
        return _failure(code.WRONG_INCARNATION, "another process was meant")
    if state.stop is not None and shutdown.is_draining(state.stop):
        return _failure(code.LEAVING, "the upstream is leaving")
    if _is_marked_leaving(state):
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
    if dispatch.suspect and _runs_suspect(state):
        return _failure(code.OVERLOADED, "a suspect request is running")
    return None


def _is_marked_leaving(state: UpstreamState) -> bool:
    known = state.view.upstreams.get(state.upstream.upstream_id)
    if known is None or known.incarnation != state.upstream.incarnation:
        return False
    return known.leaving


def _serves_stale(state: UpstreamState, route_name: str) -> bool:
    return any(
        route.name == route_name and route.when_stale == tables.StaleRule.SERVE
        for route in state.view.tables.routes
    )


def _runs_suspect(state: UpstreamState) -> bool:
    return any(work.dispatch.suspect for work in state.works.values())


def _failure(code: errors.FailureCode, message: str) -> errors.CallFailure:
    return errors.call_failure(code, message)


def _refuse(state, sender: str, attempt_id: str, failure) -> effects.Send:
    frame = call_messages.Refused(
        attempt_id, failure, state.view.index, load_of(state)
    )
    return effects.Send(sender, frame)


def _shed(state: UpstreamState, item: admission.Item) -> Iterator:
    text = "the queue of the upstream is full"
    failure = _failure(errors.FailureCode.OVERLOADED, text)
    yield from _refuse_waiting(state, item.key, failure)


def _refuse_waiting(state, attempt_id: str, failure) -> Iterator:
    work = _end(state, attempt_id)
    yield _refuse(state, work.sender, attempt_id, failure)


def _end(state: UpstreamState, attempt_id: str) -> Work:
    state.ended[attempt_id] = None
    if len(state.ended) > MAX_ENDED:
        del state.ended[next(iter(state.ended))]
    return state.works.pop(attempt_id)


# Running.


def _start_waiting(state: UpstreamState, now_ms: int) -> Iterator:
    while (item := admission.take(state.queue, now_ms)) is not None:
        yield from _start(state, item)


def _start(state: UpstreamState, item: admission.Item) -> Iterator:
    work = state.works[item.key]
    model = work.dispatch.model
    if state.orders is not None:
        if not model_orders.is_resident(state.orders, model):
            admission.finish(state.queue, item.pool)
            text = "the model is not resident any more"
            failure = _failure(errors.FailureCode.NOT_RESIDENT, text)
            yield from _refuse_waiting(state, item.key, failure)
            return
        running = state.orders.running
        running[model] = running.get(model, 0) + 1
    work.running = True
    yield upstream_messages.StartRun(work.sender, work.dispatch)


def _on_run_ended(state: UpstreamState, now_ms: int, ended) -> Iterator:
    work = _end(state, ended.attempt_id)
    admission.finish(state.queue, work.dispatch.pool)
    load = load_of(state)
    if ended.failure is None:
        frame = call_messages.AnswerEnd(ended.attempt_id, ended.chunks, load)
    else:
        frame = call_messages.AnswerBroken(
            ended.attempt_id, ended.failure, ended.crashed, load
        )
    yield effects.Send(work.sender, frame)
    yield from run_records.note_end(
        state.records, now_ms, work.dispatch, ended
    )
    if state.orders is not None:
        model = work.dispatch.model
        state.orders.running[model] -= 1
        yield from model_orders.stop_if_idle(state.orders, now_ms, model)
    yield from _start_waiting(state, now_ms)
    yield from _check_stop(state, now_ms)


def _cancel(state: UpstreamState, now_ms: int, attempt_id: str) -> Iterator:
    text = "cancelled before it ran"
    failure = _failure(errors.FailureCode.CALLER_LEFT, text)
    yield from _give_up(state, now_ms, attempt_id, failure)


def _give_up(state, now_ms: int, attempt_id: str, failure) -> Iterator:
    """Stop an attempt that runs; refuse one that waits."""
    work = state.works.get(attempt_id)
    if work is None:
        return
    if work.running:
        yield upstream_messages.CancelRun(attempt_id)
        return
    admission.remove(state.queue, attempt_id)
    yield from _refuse_waiting(state, attempt_id, failure)
    yield from _check_stop(state, now_ms)


def _on_sender_lost(state: UpstreamState, now_ms: int, message) -> Iterator:
    """Cancel what may be repeated; let marked requests run to their end."""
    orphans = [
        work for work in state.works.values() if work.sender == message.sender
    ]
    for work in orphans:
        attempt_id = work.dispatch.attempt_id
        if work.dispatch.idempotency_key:
            yield upstream_messages.GrantCredit(attempt_id, UNLIMITED_CHUNKS)
        else:
            yield from _cancel(state, now_ms, attempt_id)


def _on_control_answer(state: UpstreamState, now_ms: int, message) -> Iterator:
    yield from unconfirmed.confirm(state.records.told, message)
    yield from _check_stop(state, now_ms)


def _on_remind(state: UpstreamState, now_ms: int, _message) -> Iterator:
    yield from unconfirmed.resend(state.records.told)
    yield from _check_stop(state, now_ms)


def _on_timer(state: UpstreamState, now_ms: int, message) -> Iterator:
    if message.key.startswith(run_records.SETTLE_KEY):
        yield from run_records.note_timer(state.records, message.key)
        return
    if not message.key.startswith(QUEUE_WAIT_KEY):
        yield from model_orders.note_timer(
            state.orders, now_ms, message.key, message.token
        )
        return
    attempt_id = message.key.removeprefix(QUEUE_WAIT_KEY)
    text = "the deadline passed in the queue"
    failure = _failure(errors.FailureCode.DEADLINE_EXCEEDED, text)
    yield from _give_up(state, now_ms, attempt_id, failure)


# Engine, view and stop.


def _on_engine_found(state: UpstreamState, now_ms: int, found) -> Iterator:
    came_back = not state.engine_up
    state.engine_up = True
    if state.orders is not None:
        yield from model_orders.note_engine(state.orders, now_ms, found.report)
        yield from _follow_placement(state, now_ms)
    if came_back:
        yield upstream_messages.ReportDue()
    yield from _start_waiting(state, now_ms)


def _on_engine_lost(state: UpstreamState, _now_ms: int, _message) -> Iterator:
    if state.engine_up:
        state.engine_up = False
        yield upstream_messages.ReportDue()


def _on_engine_answered(state, now_ms: int, message) -> Iterator:
    yield from model_orders.note_answer(
        state.orders, now_ms, message.order, message.outcome
    )


def _on_view(state: UpstreamState, now_ms: int, _message) -> Iterator:
    yield from _follow_placement(state, now_ms)
    if _is_marked_leaving(state):
        yield from _refuse_all_waiting(state)


def _follow_placement(state: UpstreamState, now_ms: int) -> Iterator:
    known = state.view.upstreams.get(state.upstream.upstream_id)
    announced = known is not None and (
        known.incarnation == state.upstream.incarnation
    )
    # Before that, the fence is the one of an earlier process.
    if state.orders is None or not announced:
        return
    placed = state.view.placements.get(state.upstream.upstream_id)
    yield from model_orders.reconcile(state.orders, now_ms, placed)


def _on_freshness(state: UpstreamState, _now_ms: int, message) -> Iterator:
    state.fresh = message.fresh
    yield from ()


def _on_stop(state: UpstreamState, now_ms: int, _message) -> Iterator:
    yield from _refuse_all_waiting(state)
    yield from shutdown.request_stop(state.stop, now_ms)
    yield upstream_messages.ReportDue()


def _refuse_all_waiting(state: UpstreamState) -> Iterator:
    failure = _failure(errors.FailureCode.LEAVING, "the upstream is leaving")
    while (item := admission.take_any(state.queue)) is not None:
        yield from _refuse_waiting(state, item.key, failure)


def _check_stop(state: UpstreamState, now_ms: int) -> Iterator:
    if state.stop is not None:
        yield from shutdown.stop_if_idle(state.stop, now_ms)


def _pong(state: UpstreamState) -> call_messages.Pong:
    leaving = state.stop is not None and shutdown.is_draining(state.stop)
    return call_messages.Pong(
        state.upstream.incarnation,
        state.view.index,
        load_of(state),
        leaving or _is_marked_leaving(state),
    )


_HANDLERS = {
    upstream_messages.FrameArrived: _on_frame,
    upstream_messages.SenderLost: _on_sender_lost,
    upstream_messages.RunEnded: _on_run_ended,
    upstream_messages.EngineFound: _on_engine_found,
    upstream_messages.EngineLost: _on_engine_lost,
    upstream_messages.EngineAnswered: _on_engine_answered,
    upstream_messages.ViewNoted: _on_view,
    role_messages.CommandAnswered: _on_control_answer,
    role_messages.FreshnessUpdate: _on_freshness,
    role_messages.ResendCommands: _on_remind,
    upstream_messages.StopAsked: _on_stop,
    role_messages.TimerFired: _on_timer,
}
