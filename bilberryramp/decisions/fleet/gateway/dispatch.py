"""Dispatch of calls: sends them, requests models for them or queues them."""

import collections
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import (
    calls,
    documents,
    presence,
    sharing,
    workspaces,
)
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.gateway import admission, gateway_state
from bilberryramp.decisions.fleet.limits import (
    engine_memory,
    memory_use,
    retry_budget,
    usage_asks,
    usage_credits,
)
from bilberryramp.decisions.fleet.orders import agent, placement, planner
from bilberryramp.decisions.fleet.quarantine import suspect_trials, suspects
from bilberryramp.decisions.fleet.routing import (
    health,
    scheduling,
    upstream_pauses,
)

__all__ = [
    "holders",
    "trace_refused_retry",
    "try_dispatch",
    "unavailable_until_ms",
]

# Minimum interval between two requests of a call for the same model.
MODEL_REQUEST_INTERVAL_MS = 120
# Rank of calls that have missed their latency objective, after all others.
LATE_URGENCY = 9
# Time since its arrival after which a call no longer waits for its adapter to
# be loaded at a less busy engine.
MAX_ADAPTER_WAIT_MS = 200
# An agent that leaves a request unanswered for AGENT_TIMEOUT_MS gets no more
# requests until AGENT_RETRY_MS after the unanswered one.
AGENT_TIMEOUT_MS = 400
AGENT_RETRY_MS = 1500
# Reasons to wait for which a copy of the call's model should be loaded.
_MODEL_WANTED = (calls.Refusal.NO_MODEL, calls.Refusal.UPSTREAMS_PAUSED)


def try_dispatch(
    gw: gateway_state.Gateway, now_ms: int, call: calls.Call
) -> Iterator:
    """Send a waiting call to the upstream that can start it soonest.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    now_ms
        Current time in milliseconds.
    call
        A waiting call. Modified in place.

    Yields
    ------
    SendCall, SendResidencyRequest, WantModel, ToCoordinator, AskLeader,
    ToAgent, Trace
        No `SendCall` if the call should wait; `call.wait_reason` then names
        the resource that it waits for. A call whose request may not run now
        is held; one that waits in vain waits until the caller refuses it.
    """
    yield from admission.judge(gw, call)
    if not call.is_admitted:
        call.wait_reason = calls.Refusal.UNKNOWN_KEY
        return
    if call.deadline_ms <= now_ms:
        call.wait_reason = calls.Refusal.TOO_LATE
        return
    match suspects.admission_of(gw.suspect_state, call, now_ms):
        case suspects.Admission.REFUSE:
            call.wait_reason = calls.Refusal.QUARANTINED
            return
        case suspects.Admission.HOLD:
            call.wait_reason = calls.Refusal.SUSPECTED
            yield from gateway_state.fire(gw, call, "held", now_ms)
            yield from suspect_trials.due_trial_requests(
                gw.suspect_state, list(gw.held.values()), now_ms
            )
            return
    engine = gateway_state.engine_spec(gw, call.service)
    candidates = _candidates(gw, call, now_ms)
    if engine is not None and call.request.prompt is not None:
        yield from _dispatch_prompt(gw, now_ms, call, engine, candidates)
        return
    if not candidates:
        call.wait_reason = _wait_reason(gw, call, candidates, now_ms)
        return
    upstream = scheduling.pick_plain(
        candidates, gw.loads, gw.failure_domain, now_ms
    )
    if upstream is None:
        call.wait_reason = calls.Refusal.OVERLOADED
        return
    yield from _dispatch(gw, now_ms, call, upstream, None)


def _dispatch_prompt(gw, now_ms, call, engine, candidates) -> Iterator:
    prompt = call.request.prompt
    model_holders = holders(candidates, call)
    if not model_holders:
        call.wait_reason = _wait_reason(gw, call, candidates, now_ms)
        if call.wait_reason in _MODEL_WANTED:
            yield from _request_model(gw, call, now_ms)
        return
    adapter_holders = [
        candidate
        for candidate in model_holders
        if _has_adapter(candidate, prompt)
    ]
    room = memory_use.room_for(
        gw.engine_memory,
        scheduling.required_memory_tokens(prompt),
        engine.kv_tokens,
        now_ms - gw.started_ms,
        now_ms,
    )
    choice, should_dispatch = yield from _choose_engine(
        gw, call, engine, room, adapter_holders, now_ms
    )
    loading_candidates = _engines_for_adapter(
        gw, engine, model_holders, prompt, now_ms
    )
    alternative = _pick_engine(gw, call, engine, loading_candidates, now_ms)
    if alternative is not None and (
        not should_dispatch
        or _is_adapter_load_worthwhile(call, choice, alternative, now_ms)
    ):
        call.wait_reason = calls.Refusal.NO_MODEL
        yield from _request_adapter(
            gw, call, engine, alternative.upstream, now_ms
        )
    elif should_dispatch:
        is_secured = yield from engine_memory.secure(
            gw.engine_memory,
            call,
            room,
            choice.upstream.announcement,
            gw.loads,
            now_ms,
        )
        if is_secured:
            yield from _dispatch(gw, now_ms, call, choice.upstream, choice)
            if call.phase == "waiting":
                # Others may use the memory while it waits for something else.
                yield from memory_use.release(gw.engine_memory, call)
        elif call.wait_reason is not calls.Refusal.USAGE_LIMIT:
            call.wait_reason = calls.Refusal.OVERLOADED
    elif adapter_holders or loading_candidates:
        call.wait_reason = calls.Refusal.OVERLOADED
    else:
        call.wait_reason = calls.Refusal.NO_MODEL
        _record_adapter_demand(gw, call, now_ms)
        holder = gw.rng.choice(model_holders)
        yield from _request_adapter(gw, call, engine, holder, now_ms)


def _choose_engine(gw, call, engine, room, upstreams, now_ms) -> Iterator:
    """Choose the engine at which a call has memory, or else the best one.

    Returns
    -------
    tuple of EngineChoice and bool
        The choice, None if there is none, and whether to send the call now.
    """
    while True:
        choosable = engine_memory.candidates(
            gw.engine_memory, call, room, upstreams, gw.loads, now_ms
        )
        choice = _pick_engine(gw, call, engine, choosable, now_ms)
        should_dispatch = choice is not None and scheduling.should_dispatch(
            call, choice, now_ms
        )
        if should_dispatch or not engine_memory.is_granted(
            gw.engine_memory, call
        ):
            return choice, should_dispatch
        yield from memory_use.release(gw.engine_memory, call)


def holders(upstreams, call: calls.Call) -> list:
    """Return the upstreams that hold the model of a call's prompt.

    Parameters
    ----------
    upstreams
        Upstreams to choose from.
    call
        The call.

    Returns
    -------
    list of Upstream
        Empty for a call without a prompt.
    """
    prompt = call.request.prompt
    if prompt is None:
        return []
    return [u for u in upstreams if prompt.model in u.models]


def _wait_reason(
    gw: gateway_state.Gateway, call: calls.Call, candidates: list, now_ms: int
) -> calls.Refusal:
    """Return why a call without a suitable candidate cannot be sent."""
    usable = presence.usable_upstreams(gw.table, call.service, now_ms)
    reason = _unavailability(gw, call, holders(usable, call), now_ms)
    if reason in (calls.Refusal.UPSTREAMS_PAUSED, calls.Refusal.OVERLOADED):
        return reason
    if candidates:
        return calls.Refusal.NO_MODEL
    return _unavailability(gw, call, usable, now_ms)


def _unavailability(
    gw: gateway_state.Gateway, call: calls.Call, upstreams, now_ms: int
) -> calls.Refusal:
    """Return why a call can be sent to none of some upstreams.

    Those that it was already sent to matter only if there are no others.
    """
    untried = [
        u
        for u in upstreams
        if u.announcement.upstream_id not in call.tried_upstreams
    ]
    relevant = untried or upstreams
    if unavailable_until_ms(gw, relevant, now_ms) > now_ms:
        return (
            calls.Refusal.UPSTREAMS_PAUSED
            if any(_paused_until_ms(gw, u) > now_ms for u in relevant)
            else calls.Refusal.UPSTREAM_FAULTY
        )
    if any(
        not upstream_pauses.may_call(gw.pauses, u.announcement, now_ms)
        and _paused_until_ms(gw, u) <= now_ms
        for u in untried
    ):
        return calls.Refusal.OVERLOADED
    return calls.Refusal.NO_UPSTREAM


def _has_adapter(upstream, prompt: calls.Prompt) -> bool:
    return not prompt.adapter or prompt.adapter in upstream.models.get(
        prompt.model, ()
    )


def _engines_for_adapter(gw, engine, holders, prompt, now_ms) -> list:
    """List the engines that lack a prompt's adapter and can load it soon."""
    return [
        candidate
        for candidate in holders
        if not _has_adapter(candidate, prompt)
        and _is_agent_responsive(gw, candidate, now_ms)
        and placement.can_load_adapter(
            engine, gw.demand, gw.loads, candidate, now_ms
        )
    ]


def _record_adapter_demand(
    gw: gateway_state.Gateway, call, now_ms: int
) -> None:
    """Count the demand of a call again while all adapter slots are in use.

    The higher demand leads to more copies of the model, which provide more
    adapter slots.
    """
    if now_ms - call.last_model_request_ms >= MODEL_REQUEST_INTERVAL_MS:
        prompt = call.request.prompt
        work = scheduling.uncached_work_tokens(prompt)
        sharing.record_demand(gw.loads, prompt.model, work)


def _pick_engine(gw, call, engine, candidates, now_ms):
    return scheduling.pick_engine(
        call.request.prompt,
        engine,
        candidates,
        gw.loads,
        gw.speeds,
        gw.failure_domain,
        _urgency(call, now_ms),
        now_ms,
        gw.gap_policies.get(call.service),
        gw.read_bursts,
        scheduling.time_to_start_ms(call, now_ms),
    )


def _is_adapter_load_worthwhile(
    call: calls.Call,
    choice: scheduling.EngineChoice,
    alternative: scheduling.EngineChoice,
    now_ms: int,
) -> bool:
    """Return whether loading an adapter elsewhere saves enough time."""
    if now_ms - call.arrived_ms >= MAX_ADAPTER_WAIT_MS:
        return False
    gain_ms = choice.estimate_ms - alternative.estimate_ms
    return gain_ms > scheduling.MIN_ADAPTER_GAIN_MS


def _request_model(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> Iterator:
    if now_ms - call.last_model_request_ms >= MODEL_REQUEST_INTERVAL_MS:
        call.last_model_request_ms = now_ms
        yield planner.WantModel(call.service, call.request.prompt.model)


def _request_adapter(
    gw: gateway_state.Gateway, call: calls.Call, engine, upstream, now_ms: int
) -> Iterator:
    """Ask an engine's agent to load the adapter of a call."""
    if now_ms - call.last_model_request_ms < MODEL_REQUEST_INTERVAL_MS:
        return
    call.last_model_request_ms = now_ms
    prompt = call.request.prompt
    spec = engine.models.get(prompt.model)
    upstream_id = upstream.announcement.upstream_id
    gw.unanswered_since_ms.setdefault(upstream_id, now_ms)
    request = agent.ResidencyRequest(
        gw.address,
        upstream_id,
        True,
        prompt.model,
        prompt.adapter,
        spec.adapter_mb if spec is not None else 0.0,
        documents.capacity(engine, (prompt.model, *upstream.models)),
        placement.idle_adapters(gw.demand, gw.loads, upstream, now_ms),
    )
    yield planner.SendResidencyRequest(upstream.announcement.address, request)


def _is_agent_responsive(
    gw: gateway_state.Gateway, upstream, now_ms: int
) -> bool:
    """Return whether an engine's agent answers requests in time.

    After `AGENT_RETRY_MS` an unanswered request is ignored.
    """
    requested_ms = gw.unanswered_since_ms.get(
        upstream.announcement.upstream_id
    )
    if requested_ms is None or now_ms - requested_ms < AGENT_TIMEOUT_MS:
        return True
    if now_ms - requested_ms > AGENT_RETRY_MS:
        gw.unanswered_since_ms.pop(upstream.announcement.upstream_id)
        return True
    return False


def _candidates(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> list:
    """List the preferred group of a call's usable upstreams.

    An upstream that the call was already sent to is never used again, nor is
    one during a pause that it asked for. Among the other upstreams, those that
    are healthy and not full come first. Avoided and full upstreams are used
    only if there are no better ones, so that the last upstream of a service
    still receives calls. An avoided engine that holds the call's model is also
    used if no healthy engine holds it.
    A call under which upstreams were lost spares engines that are the last to
    hold some model, and in a trial also those with other calls.
    """
    candidates = _healthy_candidates(gw, call, now_ms)
    if not suspects.is_suspected(gw.suspect_state, call):
        return candidates
    spared = _without_last_copies(gw, call, candidates, now_ms)
    return _least_busy(gw, call, spared, now_ms) if call.trial_id else spared


def _least_busy(
    gw: gateway_state.Gateway, call: calls.Call, candidates: list, now_ms: int
) -> list:
    """Return the candidate for a trial whose end would break the fewest calls.

    It is one of those that hold the model and adapter of the call, if there
    are any.
    """
    prompt = call.request.prompt
    if prompt is not None:
        holders = [u for u in candidates if prompt.model in u.models]
        candidates = (
            [u for u in holders if _has_adapter(u, prompt)]
            or holders
            or candidates
        )
    return sorted(
        candidates,
        key=lambda upstream: (
            sharing.total_load(
                gw.loads, upstream.announcement.upstream_id, now_ms
            ).calls
        ),
    )[:1]


def _without_last_copies(
    gw: gateway_state.Gateway, call: calls.Call, candidates: list, now_ms: int
) -> list:
    """Leave out the last healthy holders of models, if others can serve."""
    copies = collections.Counter(
        model
        for upstream in presence.usable_upstreams(
            gw.table, call.service, now_ms
        )
        if not _is_avoided(gw, upstream, now_ms)
        for model in upstream.models
    )
    spared = [
        candidate
        for candidate in candidates
        if all(copies[model] > 1 for model in candidate.models)
    ]
    prompt = call.request.prompt
    can_serve = spared and (
        prompt is None or any(prompt.model in u.models for u in spared)
    )
    return spared if can_serve else candidates


def _healthy_candidates(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> list:
    untried = [
        u
        for u in presence.usable_upstreams(gw.table, call.service, now_ms)
        if not _is_barred(gw, u, now_ms)
        and upstream_pauses.may_call(gw.pauses, u.announcement, now_ms)
        and u.announcement.upstream_id not in call.tried_upstreams
    ]
    accepting = [
        u
        for u in untried
        if gw.full_until_ms.get(u.announcement.upstream_id, 0) <= now_ms
    ]
    healthy = [u for u in accepting if not _is_avoided(gw, u, now_ms)]
    prompt = call.request.prompt
    if prompt is not None:
        healthy_holders = [u for u in healthy if prompt.model in u.models]
        if not healthy_holders and any(
            prompt.model in u.models for u in accepting
        ):
            return accepting
    return healthy or accepting or untried


def unavailable_until_ms(
    gw: gateway_state.Gateway, upstreams, now_ms: int
) -> int:
    """Return until when none of some upstreams may receive calls.

    Parameters
    ----------
    gw
        State of the gateway.
    upstreams
        The upstreams.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        When the first one may receive calls that is barred for excessive
        answers or pauses; 0 if one does neither, or if there is none.
    """
    first_ms = min(
        (
            max(_barred_until_ms(gw, u), _paused_until_ms(gw, u))
            for u in upstreams
        ),
        default=0,
    )
    return first_ms if first_ms > now_ms else 0


def _barred_until_ms(gw: gateway_state.Gateway, upstream) -> int:
    breaker = gw.upstream_health.get(upstream.announcement.upstream_id)
    return breaker.barred_until_ms if breaker is not None else 0


def _paused_until_ms(gw: gateway_state.Gateway, upstream) -> int:
    announcement = upstream.announcement
    return upstream_pauses.until_ms(
        gw.pauses, announcement.upstream_id, announcement.born_ms
    )


def _is_barred(gw: gateway_state.Gateway, upstream, now_ms: int) -> bool:
    return health.is_barred(
        gw.upstream_health.get(upstream.announcement.upstream_id), now_ms
    )


def _is_avoided(gw: gateway_state.Gateway, upstream, now_ms: int) -> bool:
    return health.is_avoided(
        gw.upstream_health.get(upstream.announcement.upstream_id), now_ms
    )


def _dispatch(gw, now_ms, call, upstream, choice) -> Iterator:
    upstream_id = upstream.announcement.upstream_id
    prompt = call.request.prompt
    if call.may_have_arrived:
        state = gateway_state.retry_account(gw, call.service, now_ms)
        if not retry_budget.allows_retry(state):
            call.wait_reason = calls.Refusal.UPSTREAM_FULL
            barrier = retry_budget.Barrier.BUDGET
            yield trace_refused_retry(gw, call, barrier, now_ms)
            return
    if not usage_credits.charge(gw.usage, call, now_ms):
        call.wait_reason = calls.Refusal.USAGE_LIMIT
        yield from usage_asks.due_ask(gw.usage, gw.address, now_ms)
        return
    if call.may_have_arrived:
        budget = gateway_state.service_budget(gw, call.service)
        retry_budget.record_retry(budget, gw.budget_limits, now_ms)
    if call.send_count > 0:
        details = gateway_state.retry_details(gw, call, now_ms)
        yield Trace("call.retry", details)
    call.upstream_id = upstream_id
    call.target = upstream.announcement
    call.target_heard_ms = upstream.heard_ms
    call.sent_ms = now_ms
    call.has_survived = False
    call.last_outcome = None
    call.send_count += 1
    call.attempt_count += 1
    call.tried_upstreams.add(upstream_id)
    if choice is not None:
        call.work_tokens = choice.work_tokens
        call.reserved_tokens = scheduling.required_memory_tokens(prompt)
        call.unread_tokens = max(prompt.tokens_in - choice.cached_tokens, 0)
        call.predicted_gap_ms = round(choice.gap.predicted_ms)
        call.urgency_level = sharing.urgency_level(_urgency(call, now_ms))
        sharing.record_sent_prompt(
            gw.loads,
            upstream_id,
            prompt.weights,
            prompt.parts,
            gateway_state.cache_capacity_tokens(gw),
        )
    yield from gateway_state.fire(gw, call, "placed", now_ms)
    yield Trace(
        "call.placed",
        {
            "request_id": call.request.request_id,
            "fingerprint": call.request.fingerprint,
            "route": call.route.name,
            "weights": prompt.weights if prompt is not None else "",
            "document": gw.doc.version,
            "workspace": workspaces.name(call),
            "upstream": upstream_id,
            "heard_ms_ago": now_ms - upstream.heard_ms,
            "cached_tokens": choice.cached_tokens if choice else 0,
            "estimate_ms": round(choice.estimate_ms) if choice else 0,
            "gap_ms": round(choice.gap.predicted_ms) if choice else 0,
            "waited_ms": now_ms - call.arrived_ms,
            "waited_for": call.wait_reason.value if call.has_waited else "",
            "send": call.send_count,
        },
    )
    yield calls.SendCall(
        call.call_id,
        upstream_id,
        upstream.announcement.address,
        call.deadline_ms,
        _urgency(call, now_ms),
        call.send_count,
        upstream.announcement.born_ms,
        now_ms,
        workspaces.name(call),
        is_charged=bool(call.usage_parts),
    )


def trace_refused_retry(
    gw: gateway_state.Gateway,
    call: calls.Call,
    barrier: retry_budget.Barrier,
    now_ms: int,
) -> Trace:
    """Make the log line of a call that is not sent again.

    Parameters
    ----------
    gw
        State of the gateway.
    call
        Call whose last attempt has ended.
    barrier
        Why it is not sent again.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Trace
        Fields of `gateway_state.retry_details`, and the reason.
    """
    details = gateway_state.retry_details(gw, call, now_ms)
    return Trace("call.retry_refused", details | {"reason": barrier.value})


def _urgency(call: calls.Call, now_ms: int) -> int:
    """Return a call's rank in the engine's queue.

    Calls that have missed their latency objective come after all others.
    """
    if now_ms - call.arrived_ms >= call.route.target_ms:
        return LATE_URGENCY
    return min(workspaces.urgency(call), LATE_URGENCY - 1)
