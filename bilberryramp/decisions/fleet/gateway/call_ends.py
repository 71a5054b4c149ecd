"""Ends of calls: refusals, failures, and what an attempt shows."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import (
    calls,
    presence,
)
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.gateway import (
    gateway_state,
    waiting_times,
)
from bilberryramp.decisions.fleet.limits import (
    retry_budget,
    usage_credits,
)
from bilberryramp.decisions.fleet.quarantine import (
    suspects,
)
from bilberryramp.decisions.fleet.routing import (
    health,
)

__all__ = [
    "MIN_ATTEMPT_TIME_MS",
    "breaker",
    "end_call",
    "end_unserved",
    "fail",
    "fail_after_run",
    "record_outcome",
    "refuse",
    "retry_barrier",
]

# Limit on the sends of one request, including sends to upstreams that did not
# run it.
MAX_SENDS = 4
# Time for which an upstream that reported that it is full gets no calls.
FULL_PAUSE_MS = 300
# A call with less time left than this is not sent.
MIN_ATTEMPT_TIME_MS = 60


def refuse(
    call_id: int,
    req: calls.Request,
    reason: calls.Refusal,
    retry_after_ms: int,
    details: dict | None = None,
) -> Iterator:
    """Refuse a request that was not run and will not be.

    Parameters
    ----------
    call_id
        Identifier of the call.
    req
        Its request.
    reason
        Why it is refused.
    retry_after_ms
        When the client may return, in milliseconds; 0 if that is useless.
    details
        Further fields of the log line.

    Yields
    ------
    Trace, Refuse
        The log line and the answer.
    """
    yield Trace(
        "call.refused",
        {
            "request_id": req.request_id,
            "reason": reason.value,
            "retry_after_ms": retry_after_ms,
            **(details or {}),
        },
    )
    yield calls.Refuse(call_id, reason, retry_after_ms)


def fail(call: calls.Call, reason: calls.Failure) -> Iterator:
    """Report to the client that its request may or may not have run.

    Parameters
    ----------
    call
        The call.
    reason
        Why there is no answer.

    Yields
    ------
    Trace, Fail
        The log line and the answer.
    """
    yield Trace(
        "call.failed",
        {
            "request_id": call.request.request_id,
            "reason": reason.value,
            "upstream": call.upstream_id,
            "sends": call.send_count,
        },
    )
    yield calls.Fail(call.call_id, reason)


def record_outcome(
    gw: gateway_state.Gateway,
    call: calls.Call,
    outcome: calls.AttemptOutcome,
    now_ms: int,
):
    """Update an upstream's health and resident models from an outcome.

    Timeouts, missing targets and requests that were not sent or that the
    upstream did not run do not count in its health.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    call
        Call whose attempt has ended.
    outcome
        How it ended.
    now_ms
        Current time in milliseconds.
    """
    if outcome in (
        calls.AttemptOutcome.NOT_SENT,
        calls.AttemptOutcome.TIMED_OUT,
        calls.AttemptOutcome.TARGET_MISSING,
    ):
        if (
            outcome is calls.AttemptOutcome.TARGET_MISSING
            and call.request.prompt is not None
        ):
            prompt = call.request.prompt
            presence.record_residency(
                gw.table,
                call.upstream_id,
                prompt.model,
                prompt.adapter,
                False,
                now_ms,
            )
        return
    if outcome is calls.AttemptOutcome.NOT_RUN:
        gw.full_until_ms[call.upstream_id] = now_ms + FULL_PAUSE_MS
        return
    succeeded = outcome is calls.AttemptOutcome.DELIVERED
    unreachable = outcome is calls.AttemptOutcome.UNREACHABLE
    health.record_call_end(
        breaker(gw, call.upstream_id), succeeded, unreachable, now_ms
    )


def breaker(gw: gateway_state.Gateway, upstream_id: str) -> health.Health:
    """Return the circuit breaker of an upstream, creating it if needed.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    upstream_id
        Identifier of the upstream.

    Returns
    -------
    Health
        The stored object, which the caller may modify.
    """
    breaker = gw.upstream_health.get(upstream_id)
    if breaker is None:
        breaker = health.Health(gw.health_chart, upstream_id)
        gw.upstream_health[upstream_id] = breaker
    return breaker


def retry_barrier(
    gw: gateway_state.Gateway,
    call: calls.Call,
    outcome: calls.AttemptOutcome,
    now_ms: int,
) -> retry_budget.Barrier | None:
    """Return why a call may not be sent again.

    Parameters
    ----------
    gw
        State of the gateway.
    call
        The call. Modified in place.
    outcome
        How its last attempt ended.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Barrier or None
        None if it may be sent again.
    """
    not_executed = outcome in (
        calls.AttemptOutcome.NOT_RUN,
        calls.AttemptOutcome.TARGET_MISSING,
        calls.AttemptOutcome.NOT_SENT,
        calls.AttemptOutcome.UNREACHABLE,
    )
    if not_executed:
        # An attempt that did not run does not count toward max_attempts.
        call.attempt_count -= 1
    elif not call.route.repeatable or call.route.streaming:
        return retry_budget.Barrier.NOT_REPEATABLE
    if (
        call.attempt_count >= call.route.max_attempts
        or call.send_count >= MAX_SENDS
    ):
        return retry_budget.Barrier.ATTEMPTS
    if call.deadline_ms - now_ms < MIN_ATTEMPT_TIME_MS:
        return retry_budget.Barrier.DEADLINE
    if outcome in calls.NOTHING_SENT:
        return None
    if outcome is calls.AttemptOutcome.BROKEN and suspects.has_suspected_part(
        gw.suspect_state, call
    ):
        return retry_budget.Barrier.DEADLY_PART
    state = gateway_state.retry_account(gw, call.service, now_ms)
    is_allowed = retry_budget.allows_retry(state)
    return None if is_allowed else retry_budget.Barrier.BUDGET


def end_unserved(
    gw: gateway_state.Gateway,
    call: calls.Call,
    outcome: calls.AttemptOutcome,
    now_ms: int,
) -> Iterator:
    """End a call that no attempt served and that may not be retried.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    call
        The call. Modified in place.
    outcome
        How its last attempt ended.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    effect
        The answer to the client, and effects of the end of the call.
    """
    yield from end_call(gw, call, "failed", now_ms)
    if outcome is calls.AttemptOutcome.NOT_SENT and call.attempt_count > 0:
        yield from fail(call, calls.Failure.TIMED_OUT)
    elif outcome is calls.AttemptOutcome.BROKEN or call.attempt_count > 0:
        # An earlier attempt may have run even if the last one did not.
        yield from fail_after_run(call)
    else:
        reason = (
            calls.Refusal.TOO_LATE
            if outcome is calls.AttemptOutcome.NOT_SENT
            else calls.Refusal.UPSTREAM_FULL
        )
        yield from refuse(
            call.call_id,
            call.request,
            reason,
            waiting_times.retry_after_ms(gw, call, now_ms),
        )


def fail_after_run(call: calls.Call) -> Iterator:
    """Forward the failure that an upstream answered with, if it is true.

    Parameters
    ----------
    call
        Call of which an attempt may have run.

    Yields
    ------
    ForwardFailure, Trace, Fail
        The failure, or that the request may have run.
    """
    # What an answer says about its own attempt is wrong for the call if
    # another attempt may have run.
    is_misleading = call.failure_denies_run and call.attempt_count > 1
    if call.failure_denies_run is None or is_misleading:
        yield from fail(call, calls.Failure.BROKEN)
    else:
        yield calls.ForwardFailure(call.call_id)


def end_call(
    gw: gateway_state.Gateway, call: calls.Call, event: str, now_ms: int
) -> Iterator:
    """Remove a call, with its load and what it waits for.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    call
        The call. Modified in place.
    event
        Event of ``charts/exchange.yaml`` that ends it.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    effect
        Effects of the chart's actions.
    """
    gw.active.pop(call.call_id, None)
    gw.queue.pop(call.call_id, None)
    usage_credits.forget(gw.usage, call)
    yield from gateway_state.fire(gw, call, event, now_ms)
