"""What follows from messages about a call."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import (
    calls,
    hosts,
    sharing,
)
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.gateway import (
    admission,
    call_ends,
    call_queue,
    dispatch,
    gateway_state,
    queue_waits,
)
from bilberryramp.decisions.fleet.limits import (
    retry_budget,
    usage_credits,
)
from bilberryramp.decisions.fleet.quarantine import (
    suspect_evidence,
)
from bilberryramp.decisions.fleet.routing import (
    engine_speeds,
    scheduling,
    upstream_pauses,
)

__all__ = ["HANDLERS"]

# A node without a document usually receives one within this time.
NO_DOCUMENT_RETRY_AFTER_MS = 700
# Outcomes of attempts that surely did not run, which are not charged.
_NOT_CHARGED = (
    *calls.NOTHING_SENT,
    calls.AttemptOutcome.NOT_RUN,
    calls.AttemptOutcome.TARGET_MISSING,
)


def _on_call_arrived(
    gw: gateway_state.Gateway, now_ms: int, message: calls.CallArrived
) -> Iterator:
    req = message.request
    if gw.doc is None:
        yield from call_ends.refuse(
            message.call_id,
            req,
            calls.Refusal.NO_DOCUMENT,
            NO_DOCUMENT_RETRY_AFTER_MS,
        )
        return
    route = hosts.find_route(gw.index, req.host, req.path)
    if route is None:
        yield from call_ends.refuse(
            message.call_id, req, calls.Refusal.NO_ROUTE, 0
        )
        return
    allowed_ms = route.timeout_ms
    if req.client_timeout_ms >= 0:
        allowed_ms = min(allowed_ms, req.client_timeout_ms)
    call = calls.Call(
        message.call_id,
        req,
        route,
        hosts.pick_service(route, gw.rng),
        message.arrived_ms,
        message.arrived_ms + allowed_ms,
    )
    yield from admission.judge(gw, call)
    if not call.is_admitted:
        details = admission.key_details(gw, call)
        yield from call_ends.refuse(
            call.call_id, req, calls.Refusal.UNKNOWN_KEY, 0, details
        )
        return
    if now_ms - message.arrived_ms <= retry_budget.ARRIVAL_DELAY_MS:
        retry_budget.record_request(
            gateway_state.service_budget(gw, call.service),
            gw.budget_limits,
            now_ms,
        )
    gw.active[call.call_id] = call
    gw.queue[call.call_id] = call
    if req.prompt is not None:
        sharing.record_demand(
            gw.loads,
            req.prompt.model,
            scheduling.uncached_work_tokens(req.prompt),
        )
    yield from dispatch.try_dispatch(gw, now_ms, call)
    if call.phase == "waiting":
        call.has_waited = True
        wait_ms = queue_waits.wait_of_arrival(gw, call, now_ms)
        yield from call_queue.refuse_if_unservable(gw, now_ms, call, wait_ms)


def _on_answer_started(
    gw: gateway_state.Gateway, now_ms: int, message
) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is None:
        return
    call.answer_started_ms = now_ms
    if call.request.prompt is not None and call.phase == "sent":
        took_ms = now_ms - call.sent_ms
        sample = engine_speeds.measure_first_token(
            call.target, call.work_tokens, took_ms
        )
        if sample is not None:
            engine_speeds.record_sample(gw.speeds, sample, now_ms)
            sharing.record_speed_sample(gw.loads, sample)
    if call.phase == "sent":
        suspect_evidence.record_answer_start(gw.suspect_state, call, now_ms)
    was_returning = upstream_pauses.is_returning(gw.pauses, call)
    yield from gateway_state.fire(gw, call, "answering", now_ms)
    if was_returning:
        yield from call_queue.serve_queue(gw, now_ms)


def _on_client_disconnected(
    gw: gateway_state.Gateway, now_ms: int, message
) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is not None:
        yield Trace(
            "call.left",
            {
                "request_id": call.request.request_id,
                "fingerprint": call.request.fingerprint,
                "route": call.route.name,
                "phase": call.phase,
                "why": call.wait_reason.value,
                "upstream": call.upstream_id,
                "after_ms": now_ms - call.arrived_ms,
            },
        )
        suspect_evidence.record_departure(gw.suspect_state, call, now_ms)
        yield from call_ends.end_call(gw, call, "disconnected", now_ms)
        yield from call_queue.serve_queue(gw, now_ms)


def _on_attempt_ended(
    gw: gateway_state.Gateway, now_ms: int, message
) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is None:
        return
    outcome = message.outcome
    call.last_outcome, call.attempt_ended_ms = outcome, now_ms
    call.may_have_arrived |= outcome not in calls.NOTHING_SENT
    if outcome in _NOT_CHARGED:
        usage_credits.refund(gw.usage, call, now_ms)
    if outcome is calls.AttemptOutcome.WITHHELD:
        yield from _take_back(gw, call, now_ms)
        return
    if outcome is calls.AttemptOutcome.FAILED:
        call.failure_denies_run = message.denies_run
    elif outcome is calls.AttemptOutcome.BROKEN:
        call.failure_denies_run = None
    call_ends.record_outcome(gw, call, outcome, now_ms)
    yield from suspect_evidence.record_attempt_end(
        gw.suspect_state, call, outcome, now_ms
    )
    yield Trace(
        "call.attempt",
        {
            "request_id": call.request.request_id,
            "fingerprint": call.request.fingerprint,
            "parts": [part.part_id for part in calls.shared_parts(call)],
            "upstream": call.upstream_id,
            "send": call.send_count,
            "end": outcome.value,
            "took_ms": now_ms - call.sent_ms,
            "begun_after_ms": call.answer_started_ms - call.sent_ms
            if call.answer_started_ms >= call.sent_ms
            else -1,
            "longest_gap_ms": message.longest_gap_ms,
            "predicted_gap_ms": call.predicted_gap_ms,
            "gap_target_ms": call.route.gap_target_ms,
        },
    )
    if outcome is calls.AttemptOutcome.DELIVERED:
        yield from call_ends.end_call(gw, call, "delivered", now_ms)
    elif outcome in (
        calls.AttemptOutcome.TIMED_OUT,
        calls.AttemptOutcome.TRUNCATED,
    ):
        yield from call_ends.end_call(gw, call, "failed", now_ms)
    else:
        barrier = call_ends.retry_barrier(gw, call, outcome, now_ms)
        if barrier is None:
            yield from gateway_state.fire(gw, call, "repeatable", now_ms)
            yield from dispatch.try_dispatch(gw, now_ms, call)
        else:
            yield dispatch.trace_refused_retry(gw, call, barrier, now_ms)
            yield from call_ends.end_unserved(gw, call, outcome, now_ms)
    yield from call_queue.serve_queue(gw, now_ms)


def _take_back(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> Iterator:
    """Return a call of which nothing was sent to the queue.

    A retry that it was counted as stays counted, which errs on the safe side.
    """
    yield Trace(
        "call.withheld",
        {
            "request_id": call.request.request_id,
            "upstream": call.upstream_id,
            "send": call.send_count,
            "took_ms": now_ms - call.sent_ms,
        },
    )
    call.send_count -= 1
    call.attempt_count -= 1
    call.tried_upstreams.discard(call.upstream_id)
    yield from gateway_state.fire(gw, call, "repeatable", now_ms)
    # Calls before it in the queue may keep it from being dispatched.
    yield from call_queue.judge_waiting(gw, call, now_ms)
    yield from call_queue.serve_queue(gw, now_ms)


# Handlers by type of the message, each of which takes the gateway, the time
# in milliseconds and the message, and yields effects.
HANDLERS = {
    calls.CallArrived: _on_call_arrived,
    calls.AnswerStarted: _on_answer_started,
    calls.AttemptEnded: _on_attempt_ended,
    calls.ClientDisconnected: _on_client_disconnected,
}
