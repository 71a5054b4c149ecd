"""Choose upstreams for a request and dispatch its attempts to them."""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.control import quarantine
from bilberryramp.decisions.entry import (
    entry_refusals,
    entry_state,
    route_index,
    routing,
)
from bilberryramp.decisions.shared import call_messages, effects, errors, views

__all__ = ["actions", "choose", "end_attempt", "record_refusal"]

# Time after which an entry dispatches to an upstream again whose engine
# pauses for longer.
PAUSE_RECHECK_MS = 1000


def choose(call: entry_state.Call, now_ms: int) -> str:
    """Choose the upstream of a request's next attempt.

    Parameters
    ----------
    call
        Modified in place: `upstream_id` is set to the choice, or `failure`
        to the reason for which the request fails.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    str
        The event of ``charts/request.yaml`` to fire: "chosen";
        "none_available" if no upstream can be chosen now; "unservable" if
        the request must not be attempted again.
    """
    entry, request = call.entry, call.request
    upstreams = _available_upstreams(call)
    usable = _usable_upstreams(call, upstreams, now_ms)
    failure = _final_failure(call, upstreams, usable, now_ms)
    if failure is not None:
        call.failure = failure
        return "unservable"
    if not usable:
        return "none_available"
    options = [_make_candidate(entry, upstream) for upstream in usable]
    chosen = entry.policy(options, request.affinity_key, entry.rng)
    call.upstream_id = chosen.upstream_id
    return "chosen"


def _available_upstreams(call: entry_state.Call) -> list[views.Upstream]:
    """Return the upstreams of a call's route that are not shutting down."""
    leaving = call.entry.leaving
    return [
        upstream
        for upstream in route_index.candidates(call.entry.index, call.route)
        if leaving.get(upstream.upstream_id) != upstream.incarnation
    ]


def record_refusal(
    entry: entry_state.Entry,
    upstream_id: str,
    failure: errors.CallFailure,
    now_ms: int,
) -> None:
    """Record whether an upstream refused an attempt as its engine pauses.

    Parameters
    ----------
    entry
        Modified in place.
    upstream_id
        Id of the upstream.
    failure
        Reason of the refusal.
    now_ms
        Current time in milliseconds.
    """
    if failure.code != errors.FailureCode.ENGINE_PAUSED:
        return
    until_ms = now_ms + failure.retry_after_ms
    recheck_ms = min(until_ms, now_ms + PAUSE_RECHECK_MS)
    entry.engine_pauses[upstream_id] = entry_state.EnginePause(
        until_ms, recheck_ms
    )


def _usable_upstreams(
    call: entry_state.Call, upstreams, now_ms: int
) -> list[views.Upstream]:
    """Return the upstreams that the next attempt may be dispatched to.

    An upstream whose engine pauses is used if there is no other, and only
    if the pause ends before the first token of the answer is due.
    """
    untried = [
        upstream
        for upstream in upstreams
        if upstream.upstream_id not in call.excluded_upstreams
    ]
    pauses_ms = {
        upstream.upstream_id: _pause_ms(call.entry, upstream, now_ms)
        for upstream in untried
    }
    running = [u for u in untried if not pauses_ms[u.upstream_id]]
    start_by_ms = call.arrived_ms + call.route.first_token_ms
    start_in_ms = min(start_by_ms, call.deadline_ms) - now_ms
    return running or [
        u for u in untried if pauses_ms[u.upstream_id] < start_in_ms
    ]


def _pause_ms(entry: entry_state.Entry, upstream, now_ms: int) -> int:
    """Return for how long an upstream's engine pauses; 0 if it may not."""
    pause = entry.engine_pauses.get(upstream.upstream_id)
    if pause is None or now_ms >= pause.recheck_ms:
        return 0
    return pause.until_ms - now_ms


def _final_failure(
    call: entry_state.Call, upstreams, usable, now_ms: int
) -> errors.CallFailure | None:
    """Return the failure of a call that must not be attempted again.

    None if the call may be attempted.
    """
    code = errors.FailureCode
    wall_ms = call.wall_ms + now_ms - call.arrived_ms
    view, fingerprint = call.entry.view, call.request.fingerprint
    if quarantine.is_quarantined(view, fingerprint, wall_ms):
        return entry_refusals.quarantine_failure()
    if _endangers_last_upstream(view, fingerprint, upstreams, wall_ms):
        return call.failure or entry_refusals.quarantine_failure()
    if call.attempts_since_wait >= call.entry.cfg.max_attempts:
        message = f"gave up after {call.attempts_since_wait} attempts"
        return call.failure or errors.call_failure(code.NO_UPSTREAM, message)
    if not upstreams or usable:
        return None
    pauses_ms = [
        pause_ms
        for upstream in upstreams
        if (pause_ms := _pause_ms(call.entry, upstream, now_ms))
    ]
    if len(pauses_ms) == len(upstreams):
        return errors.CallFailure(
            code.ENGINE_PAUSED,
            errors.Outcome.NOT_RUN,
            "all engines asked for a pause",
            min(pauses_ms),
        )
    last = call.failure
    if last is None or last.code not in (code.OVERLOADED, code.ENGINE_PAUSED):
        return None
    retry_after_ms = min((last.retry_after_ms, *pauses_ms))
    return dataclasses.replace(last, retry_after_ms=retry_after_ms)


def _endangers_last_upstream(
    view, fingerprint: str, upstreams, wall_ms: int
) -> bool:
    """Return whether a suspect request could crash the last upstream.

    A request is suspect if an upstream was lost while it ran the request.
    It only runs while at least two upstreams of its route have not been
    lost to it recently.

    """
    record = view.quarantine.get(fingerprint)
    if record is None:
        return False
    lost = quarantine.recently_lost_upstreams(record, wall_ms)
    return sum(u.upstream_id not in lost for u in upstreams) < 2


def _make_candidate(
    entry: entry_state.Entry, upstream: views.Upstream
) -> routing.Candidate:
    upstream_id = upstream.upstream_id
    report = entry.loads.get(upstream_id)
    load = routing.estimate_load(report, entry.in_flight.get(upstream_id, 0))
    return routing.Candidate(upstream_id, load)


def _dispatch(call: entry_state.Call, now_ms: int, _payload) -> Iterator:
    entry, request, route = call.entry, call.request, call.route
    upstream = entry.view.upstreams[call.upstream_id]
    call.attempts += 1
    call.attempts_since_wait += 1
    call.attempt_id = f"{call.key}.{call.attempts}"
    call.next_chunk = 0
    entry.in_flight[call.upstream_id] = (
        entry.in_flight.get(call.upstream_id, 0) + 1
    )
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
        first_token_in_ms=call.arrived_ms + route.first_token_ms - now_ms,
        tokens=request.tokens,
        credit=entry.cfg.credit_chunks,
        traceparent=request.traceparent,
    )
    yield effects.Send(call.upstream_id, frame)


def _exclude_upstream(
    call: entry_state.Call, _now_ms: int, _payload
) -> Iterator:
    call.excluded_upstreams.add(call.upstream_id)
    yield from end_attempt(call)


def _clear_exclusions(
    call: entry_state.Call, _now_ms: int, _payload
) -> Iterator:
    call.excluded_upstreams.clear()
    call.attempts_since_wait = 0
    yield from ()


def end_attempt(call: entry_state.Call) -> Iterator:
    """Stop counting a request's attempt, if any, as in flight.

    Parameters
    ----------
    call
        Modified in place: `attempt_id` is cleared, and `Entry.in_flight`
        is lowered if the request had an attempt in progress.


    Yields
    ------
    effect
        No effect; a generator so that actions can delegate to it.
    """
    in_flight = call.entry.in_flight
    if call.attempt_id:
        in_flight[call.upstream_id] = in_flight.get(call.upstream_id, 1) - 1
    call.attempt_id = ""
    yield from ()


def _cancel(call: entry_state.Call, _now_ms: int, _payload) -> Iterator:
    yield effects.Send(call.upstream_id, call_messages.Cancel(call.attempt_id))


actions = {
    "dispatch": _dispatch,
    "exclude_upstream": _exclude_upstream,
    "clear_exclusions": _clear_exclusions,
    "cancel": _cancel,
}
