"""The entry's decisions: from a request's arrival to its end.

The role is a function from (gateway, now, message) to effects. A call's
states come from ``charts/exchange.yaml``.
"""

import dataclasses
import random
from collections.abc import Iterator

from bilberryramp.decisions import charting
from bilberryramp.decisions.fleet import (
    agent,
    calls,
    documents,
    health,
    hosts,
    placement,
    planner,
    presence,
    retry_budget,
    scheduling,
    sharing,
)
from bilberryramp.decisions.fleet.traces import Trace

__all__ = [
    "DocumentInForce",
    "Gateway",
    "Tick",
    "actions",
    "guards",
    "is_idle",
    "is_ready",
    "step",
]

# How often one request may be sent in all, counting sends to upstreams that
# did not run it.
MAX_SENDS = 4
# A call waits at least this long between two asks for the same model.
ASK_AGAIN_MS = 120
# An upstream that said it is full gets no calls for this long.
FULL_PAUSE_MS = 300
# A call must have this much time left to be sent at all.
LEAST_TIME_MS = 60
# Bounds of what clients are told to wait before they come back.
LEAST_RETRY_AFTER_MS = 200
MOST_RETRY_AFTER_MS = 2000
# Rank of calls whose objective has passed, behind all others.
LATE_URGENCY = 9
# How long a call waits for an adapter to come to a better engine.
ADAPTER_PATIENCE_MS = 200
# An agent that has not answered for this long is passed over for a while.
AGENT_PATIENCE_MS = 400
AGENT_PAUSE_MS = 1500
# A node that holds no document yet usually gets one within this time.
START_RETRY_AFTER_MS = 700
# How many waiting calls are looked at when room may have come free.
QUEUE_SCAN = 64


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentInForce:
    """A newer document is in force."""

    doc: documents.Document


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(slots=True)
class Gateway:
    """State of one entry.

    Attributes
    ----------
    asked_ms
        When each agent was first asked for something it has not answered.
    node_count
        Entries that share the retry budget, this one included.
    """

    address: str
    exchange_chart: charting.Chart
    health_chart: charting.Chart
    rng: random.Random
    table: presence.Table
    budget_limits: retry_budget.Limits
    failure_domain: str = ""
    loads: sharing.Loads = dataclasses.field(default_factory=sharing.Loads)
    doc: documents.Document | None = None
    index: hosts.HostIndex | None = None
    active: dict[int, calls.Call] = dataclasses.field(default_factory=dict)
    queue: dict[int, calls.Call] = dataclasses.field(default_factory=dict)
    judged: dict[str, health.Health] = dataclasses.field(default_factory=dict)
    budgets: dict[str, retry_budget.Budget] = dataclasses.field(
        default_factory=dict
    )
    full_until: dict[str, int] = dataclasses.field(default_factory=dict)
    paces: dict[str, float] = dataclasses.field(default_factory=dict)
    demand: placement.Demand = dataclasses.field(
        default_factory=placement.Demand
    )
    asked_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    node_count: int = 1


def is_ready(gw: Gateway) -> bool:
    """Tell whether the entry holds a document and so can serve."""
    return gw.doc is not None


def is_idle(gw: Gateway) -> bool:
    """Tell whether no call is in progress."""
    return not gw.active


def step(gw: Gateway, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    gw
        Changed in place.
    now_ms
        The present.
    message
        One of this module's or of `calls`, an `Announcement` or a `Report`.

    Yields
    ------
    effect
        Effects of `calls`, `Trace` and `Report`.
    """
    yield from _HANDLERS[type(message)](gw, now_ms, message)


# What the entry knows.


def _on_document(gw: Gateway, now_ms: int, message) -> Iterator:
    if gw.doc is not None and message.doc.version <= gw.doc.version:
        return
    gw.doc = message.doc
    gw.index = hosts.build(message.doc)
    yield from _serve_queue(gw, now_ms)


def _on_announcement(gw: Gateway, now_ms: int, told) -> Iterator:
    known = gw.table.upstreams.get(told.upstream_id)
    was = known is not None and known.leaving_since_ms < 0
    if not presence.note(gw.table, told, now_ms):
        return
    known = gw.table.upstreams[told.upstream_id]
    leaving = known.leaving_since_ms >= 0
    if was == leaving or known.last.seq == 1:
        yield Trace(
            "upstream.leaving" if leaving else "upstream.seen",
            {
                "upstream": told.upstream_id,
                "service": told.service,
                "address": told.address,
                "seq": told.seq,
                "born_ms": told.born_ms,
            },
        )
    if gw.queue:
        yield from _serve_queue(gw, now_ms)


def _on_holding(gw: Gateway, now_ms: int, told: agent.Holding) -> Iterator:
    gw.asked_ms.pop(told.upstream_id, None)
    presence.note_held(
        gw.table,
        told.upstream_id,
        told.model,
        told.adapter,
        told.held,
        now_ms,
    )
    if told.held:
        yield from _serve_queue(gw, now_ms)


def _on_report(gw: Gateway, now_ms: int, report: sharing.Report) -> Iterator:
    sharing.note_report(gw.loads, report, _cache_tokens(gw), now_ms)
    _note_uses(gw, report, now_ms)
    if gw.queue:
        yield from _serve_queue(gw, now_ms)


def _on_tick(gw: Gateway, now_ms: int, _message) -> Iterator:
    presence.drop_gone(gw.table, now_ms)
    yield from _serve_queue(gw, now_ms)
    report = sharing.report_due(gw.loads, gw.address, now_ms)
    if report is not None:
        _note_uses(gw, report, now_ms)
        yield report


def _note_uses(gw: Gateway, report: sharing.Report, now_ms: int) -> None:
    for upstream_key, weights, _ in report.sent:
        placement.note_use(gw.demand, upstream_key, weights, now_ms)


def _cache_tokens(gw: Gateway) -> int:
    services = gw.doc.services.values() if gw.doc is not None else ()
    sizes = (s.engine.kv_tokens for s in services if s.engine is not None)
    return max(sizes, default=0)


# The life of a call.


def _on_arrived(gw: Gateway, now_ms: int, message: calls.Arrived) -> Iterator:
    req = message.request
    if gw.doc is None:
        yield from _refuse(
            message.call_id,
            req,
            calls.Refusal.NO_DOCUMENT,
            START_RETRY_AFTER_MS,
        )
        return
    route = hosts.find(gw.index, req.host, req.path)
    if route is None:
        yield from _refuse(message.call_id, req, calls.Refusal.NO_ROUTE, 0)
        return
    allowed_ms = route.timeout_ms
    if req.patience_ms >= 0:
        allowed_ms = min(allowed_ms, req.patience_ms)
    call = calls.Call(
        message.call_id,
        req,
        route,
        hosts.pick_service(route, gw.rng),
        now_ms,
        now_ms + allowed_ms,
    )
    gw.active[call.call_id] = call
    gw.queue[call.call_id] = call
    yield from _try_place(gw, now_ms, call)
    if call.phase == "waiting":
        yield from _refuse_if_hopeless(gw, now_ms, call)


def _on_answer_begun(gw: Gateway, now_ms: int, message) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is None:
        return
    prompt = call.request.prompt
    if prompt is not None and call.phase == "sent":
        took_ms = now_ms - call.sent_ms
        scheduling.note_pace(gw.paces, prompt.model, call.work, took_ms)
    yield from _fire(gw, call, "answering", now_ms)


def _on_call_left(gw: Gateway, now_ms: int, message) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is not None:
        yield Trace(
            "call.left",
            {
                "request_id": call.request.request_id,
                "route": call.route.name,
                "phase": call.phase,
                "why": call.why.value,
                "upstream": call.upstream_id,
                "after_ms": now_ms - call.arrived_ms,
            },
        )
        yield from _end(gw, call, "left", now_ms)
        yield from _serve_queue(gw, now_ms)


def _on_attempt_over(gw: Gateway, now_ms: int, message) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is None:
        return
    end = message.end
    _judge(gw, call, end, now_ms)
    yield Trace(
        "call.attempt",
        {
            "request_id": call.request.request_id,
            "upstream": call.upstream_id,
            "send": call.sends,
            "end": end.value,
            "took_ms": now_ms - call.sent_ms,
        },
    )
    if end is calls.End.DELIVERED:
        yield from _end(gw, call, "delivered", now_ms)
    elif end in (calls.End.LATE, calls.End.CUT):
        yield from _end(gw, call, "failed", now_ms)
    elif _may_repeat(gw, call, end, now_ms):
        yield from _fire(gw, call, "repeatable", now_ms)
        yield from _try_place(gw, now_ms, call)
    else:
        yield from _give_up(gw, call, end, now_ms)
    yield from _serve_queue(gw, now_ms)


def _refuse(
    call_id: int,
    req: calls.Request,
    reason: calls.Refusal,
    retry_after_ms: int,
    inputs: dict | None = None,
) -> Iterator:
    yield Trace(
        "call.refused",
        {
            "request_id": req.request_id,
            "reason": reason.value,
            "retry_after_ms": retry_after_ms,
            **(inputs or {}),
        },
    )
    yield calls.Refuse(call_id, reason, retry_after_ms)


def _fail(call: calls.Call, reason: calls.Failure) -> Iterator:
    yield Trace(
        "call.failed",
        {
            "request_id": call.request.request_id,
            "reason": reason.value,
            "upstream": call.upstream_id,
            "sends": call.sends,
        },
    )
    yield calls.Fail(call.call_id, reason)


def _judge(gw: Gateway, call: calls.Call, end: calls.End, now_ms: int):
    """Note what an attempt's end says of its upstream."""
    if end in (calls.End.LATE, calls.End.ABSENT):
        if end is calls.End.ABSENT and call.request.prompt is not None:
            prompt = call.request.prompt
            presence.note_held(
                gw.table,
                call.upstream_id,
                prompt.model,
                prompt.adapter,
                False,
                now_ms,
            )
        return
    if end is calls.End.NOT_RUN:
        gw.full_until[call.upstream_id] = now_ms + FULL_PAUSE_MS
        return
    machine = gw.judged.get(call.upstream_id)
    if machine is None:
        machine = health.Health(gw.health_chart, call.upstream_id)
        gw.judged[call.upstream_id] = machine
    good = end is calls.End.DELIVERED
    hard = end is calls.End.UNREACHABLE
    health.note_end(machine, good, hard, now_ms)


def _may_repeat(
    gw: Gateway, call: calls.Call, end: calls.End, now_ms: int
) -> bool:
    untouched = end in (
        calls.End.NOT_RUN,
        calls.End.ABSENT,
        calls.End.UNREACHABLE,
    )
    if untouched:
        call.attempts -= 1
    elif not call.route.repeatable or call.route.streaming:
        return False
    if call.attempts >= call.route.max_attempts or call.sends >= MAX_SENDS:
        return False
    if call.deadline_ms - now_ms < LEAST_TIME_MS:
        return False
    if end is calls.End.UNREACHABLE:
        return True
    budget = _budget(gw, call.service)
    return retry_budget.take(budget, gw.budget_limits, gw.node_count, now_ms)


def _give_up(gw: Gateway, call: calls.Call, end, now_ms: int) -> Iterator:
    yield from _end(gw, call, "failed", now_ms)
    if end is calls.End.FAILED:
        yield calls.PassOn(call.call_id)
    elif end is calls.End.BROKEN or call.attempts > 0:
        # An earlier attempt may have run, whatever the last one says.
        yield from _fail(call, calls.Failure.BROKEN)
    else:
        yield from _refuse(
            call.call_id,
            call.request,
            calls.Refusal.UPSTREAM_FULL,
            _retry_after(gw, call, now_ms),
        )


def _end(gw: Gateway, call: calls.Call, event: str, now_ms: int) -> Iterator:
    gw.active.pop(call.call_id, None)
    gw.queue.pop(call.call_id, None)
    yield from _fire(gw, call, event, now_ms)


def _fire(gw: Gateway, call: calls.Call, event: str, now_ms: int) -> Iterator:
    yield from charting.fire(gw.exchange_chart, call, event, now_ms, gw)


# Placement.


def _serve_queue(gw: Gateway, now_ms: int) -> Iterator:
    if not gw.queue:
        return
    waiting = sorted(
        gw.queue.values(),
        key=lambda call: scheduling.queue_order(call, now_ms),
    )
    stuck: set[tuple[str, str]] = set()
    for call in waiting[:QUEUE_SCAN]:
        kind = (call.service, _weights(call))
        if kind not in stuck:
            yield from _try_place(gw, now_ms, call)
            if call.phase == "waiting":
                stuck.add(kind)
    for call in waiting:
        if call.phase == "waiting":
            yield from _refuse_if_hopeless(gw, now_ms, call)


def _weights(call: calls.Call) -> str:
    prompt = call.request.prompt
    return prompt.weights if prompt is not None else ""


def _try_place(gw: Gateway, now_ms: int, call: calls.Call) -> Iterator:
    engine = _engine_spec(gw, call.service)
    candidates = _candidates(gw, call, now_ms)
    if not candidates:
        call.why = calls.Refusal.NO_UPSTREAM
        return
    if engine is None or call.request.prompt is None:
        upstream = scheduling.pick_plain(
            candidates, gw.loads, gw.failure_domain, now_ms
        )
        if upstream is None:
            call.why = calls.Refusal.OVERLOADED
            return
        yield from _place(gw, now_ms, call, upstream, None)
        return
    yield from _place_prompt(gw, now_ms, call, engine, candidates)


def _place_prompt(gw, now_ms, call, engine, candidates) -> Iterator:
    prompt = call.request.prompt
    holders = [up for up in candidates if prompt.model in up.models]
    if not holders:
        call.why = calls.Refusal.NO_MODEL
        yield from _want_model(gw, call, now_ms)
        return
    ready = holders
    if prompt.adapter:
        ready = [
            up for up in holders if prompt.adapter in up.models[prompt.model]
        ]
    choice = _pick_engine(gw, call, engine, ready, now_ms)
    if prompt.adapter and now_ms - call.arrived_ms < ADAPTER_PATIENCE_MS:
        able = [up for up in holders if _has_agent(gw, up, now_ms)]
        other = _pick_engine(gw, call, engine, able, now_ms)
        if other is not None and _is_worth_adapter(choice, other):
            call.why = calls.Refusal.NO_MODEL
            yield from _want_adapter(gw, call, engine, other.upstream, now_ms)
            return
    if choice is None:
        call.why = calls.Refusal.OVERLOADED
        if not ready:
            call.why = calls.Refusal.NO_MODEL
            able = [up for up in holders if _has_agent(gw, up, now_ms)]
            home = gw.rng.choice(able or holders)
            yield from _want_adapter(gw, call, engine, home, now_ms)
        return
    if not scheduling.may_begin(call, choice, now_ms):
        call.why = calls.Refusal.OVERLOADED
        return
    yield from _place(gw, now_ms, call, choice.upstream, choice)


def _pick_engine(gw, call, engine, candidates, now_ms):
    return scheduling.pick_engine(
        call.request.prompt,
        engine,
        candidates,
        gw.loads,
        gw.paces,
        gw.failure_domain,
        _urgency(call, now_ms),
        now_ms,
    )


def _is_worth_adapter(
    choice: scheduling.Choice | None, other: scheduling.Choice
) -> bool:
    """Tell whether to bring an adapter to an engine that lacks it."""
    if choice is None:
        return True
    gain_ms = choice.estimate_ms - other.estimate_ms
    return gain_ms > scheduling.ADAPTER_GAIN_MS


def _want_model(gw: Gateway, call: calls.Call, now_ms: int) -> Iterator:
    if now_ms - call.asked_ms >= ASK_AGAIN_MS:
        call.asked_ms = now_ms
        yield planner.WantModel(call.service, call.request.prompt.model)


def _want_adapter(
    gw: Gateway, call: calls.Call, engine, upstream, now_ms: int
) -> Iterator:
    """Ask the agent beside an engine for the adapter of a call."""
    if now_ms - call.asked_ms < ASK_AGAIN_MS:
        return
    call.asked_ms = now_ms
    prompt = call.request.prompt
    spec = engine.models.get(prompt.model)
    upstream_id = upstream.last.upstream_id
    gw.asked_ms.setdefault(upstream_id, now_ms)
    ask = agent.Hold(
        gw.address,
        upstream_id,
        True,
        prompt.model,
        prompt.adapter,
        spec.adapter_mb if spec is not None else 0.0,
        documents.capacity(engine),
        placement.idle_adapters(gw.demand, upstream, now_ms),
    )
    yield planner.SendPlan(upstream.last.address, ask)


def _has_agent(gw: Gateway, upstream, now_ms: int) -> bool:
    """Tell whether the agent beside an engine has not left asks open."""
    asked_ms = gw.asked_ms.get(upstream.last.upstream_id)
    if asked_ms is None or now_ms - asked_ms < AGENT_PATIENCE_MS:
        return True
    if now_ms - asked_ms > AGENT_PAUSE_MS:
        gw.asked_ms.pop(upstream.last.upstream_id)
        return True
    return False


def _candidates(gw: Gateway, call: calls.Call, now_ms: int) -> list:
    """List usable upstreams, the best group of them only.

    Sound ones before avoided ones, and untried ones before those that did
    not take the call; the last ones that are left are never given up.
    """
    everyone = list(presence.usable(gw.table, call.service, now_ms))
    untried = [u for u in everyone if u.last.upstream_id not in call.tried]
    open_ones = [
        u
        for u in untried
        if gw.full_until.get(u.last.upstream_id, 0) <= now_ms
    ]
    sound = [u for u in open_ones if not _is_avoided(gw, u, now_ms)]
    prompt = call.request.prompt
    if prompt is not None:
        sound_holders = [u for u in sound if prompt.model in u.models]
        if not sound_holders and any(
            prompt.model in u.models for u in open_ones
        ):
            return open_ones
    return sound or open_ones or untried


def _is_avoided(gw: Gateway, upstream, now_ms: int) -> bool:
    return health.is_avoided(gw.judged.get(upstream.last.upstream_id), now_ms)


def _place(gw, now_ms, call, upstream, choice) -> Iterator:
    upstream_id = upstream.last.upstream_id
    prompt = call.request.prompt
    call.upstream_id = upstream_id
    call.sent_ms = now_ms
    call.sends += 1
    call.attempts += 1
    call.tried.add(upstream_id)
    if choice is not None:
        call.work = choice.work
        call.need_tokens = scheduling.needed_tokens(prompt)
        call.unread_tokens = max(prompt.tokens_in - choice.cached, 0)
        call.level = sharing.level(_urgency(call, now_ms))
        sharing.note_sent(
            gw.loads,
            upstream_id,
            prompt.weights,
            prompt.parts,
            _cache_tokens(gw),
        )
    if call.sends == 1:
        budget = _budget(gw, call.service)
        retry_budget.count_call(budget, gw.budget_limits, now_ms)
    yield from _fire(gw, call, "placed", now_ms)
    yield Trace(
        "call.placed",
        {
            "request_id": call.request.request_id,
            "route": call.route.name,
            "document": gw.doc.version,
            "upstream": upstream_id,
            "heard_ms_ago": now_ms - upstream.heard_ms,
            "cached_tokens": choice.cached if choice else 0,
            "estimate_ms": round(choice.estimate_ms) if choice else 0,
            "waited_ms": now_ms - call.arrived_ms,
            "send": call.sends,
        },
    )
    yield calls.SendCall(
        call.call_id,
        upstream_id,
        upstream.last.address,
        max(call.deadline_ms - now_ms, 1),
        _urgency(call, now_ms),
        call.sends,
    )


def _urgency(call: calls.Call, now_ms: int) -> int:
    """Rank a call for the engine's own queue: late ones come last."""
    if now_ms - call.arrived_ms >= call.route.target_ms:
        return LATE_URGENCY
    return min(call.route.urgency, LATE_URGENCY - 1)


def _refuse_if_hopeless(gw: Gateway, now_ms: int, call) -> Iterator:
    left_ms = call.deadline_ms - now_ms
    if left_ms >= LEAST_TIME_MS and scheduling.may_wait(
        call, _load_time_ms(gw, call), now_ms
    ):
        return
    reason = call.why
    yield from _end(gw, call, "refused", now_ms)
    if call.attempts > 0:
        yield from _fail(call, calls.Failure.LATE)
        return
    waited = {"route": call.route.name, "waited_ms": now_ms - call.arrived_ms}
    yield from _refuse(
        call.call_id,
        call.request,
        reason,
        _retry_after(gw, call, now_ms),
        waited,
    )


def _load_time_ms(gw: Gateway, call: calls.Call) -> float:
    """Return how long a call's model takes to load, 0 if it waits for none."""
    engine = _engine_spec(gw, call.service)
    prompt = call.request.prompt
    if call.why is not calls.Refusal.NO_MODEL or engine is None:
        return 0.0
    spec = engine.models.get(prompt.model)
    return 1000 * spec.load_s if spec is not None else 0.0


def _retry_after(gw: Gateway, call: calls.Call, now_ms: int) -> int:
    backlogs = [
        sum(sharing.total(gw.loads, u.last.upstream_id, now_ms).unread)
        for u in presence.usable(gw.table, call.service, now_ms)
    ]
    wait_ms = min(backlogs, default=0) * scheduling.USUAL_PACE
    wait_ms = max(wait_ms, _load_time_ms(gw, call))
    return int(min(max(wait_ms, LEAST_RETRY_AFTER_MS), MOST_RETRY_AFTER_MS))


def _engine_spec(gw: Gateway, service: str) -> documents.EngineSpec | None:
    known = gw.doc.services.get(service)
    return known.engine if known is not None else None


def _budget(gw: Gateway, service: str) -> retry_budget.Budget:
    return gw.budgets.setdefault(service, retry_budget.Budget())


# Actions of the chart.


def _charge(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    gw.queue.pop(call.call_id, None)
    load = sharing.own_load(gw.loads, call.upstream_id)
    load.calls += 1
    load.tokens += call.need_tokens
    load.unread[call.level] += call.unread_tokens
    gw.loads.changed = True
    yield from ()


def _mark_read(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    load = sharing.own_load(gw.loads, call.upstream_id)
    load.unread[call.level] -= call.unread_tokens
    call.unread_tokens = 0
    gw.loads.changed = True
    yield from ()


def _discharge(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    load = sharing.own_load(gw.loads, call.upstream_id)
    load.calls -= 1
    load.tokens -= call.need_tokens
    load.unread[call.level] -= call.unread_tokens
    call.need_tokens = call.unread_tokens = 0
    gw.loads.changed = True
    yield from ()


def _join_queue(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    gw.queue[call.call_id] = call
    yield from ()


def _leave_queue(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    gw.queue.pop(call.call_id, None)
    yield from ()


guards: dict = {}
actions = {
    "charge": _charge,
    "mark_read": _mark_read,
    "discharge": _discharge,
    "join_queue": _join_queue,
    "leave_queue": _leave_queue,
}

_HANDLERS = {
    DocumentInForce: _on_document,
    agent.Holding: _on_holding,
    Tick: _on_tick,
    presence.Announcement: _on_announcement,
    sharing.Report: _on_report,
    calls.Arrived: _on_arrived,
    calls.AnswerBegun: _on_answer_begun,
    calls.AttemptOver: _on_attempt_over,
    calls.CallLeft: _on_call_left,
}
