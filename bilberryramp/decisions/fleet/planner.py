"""The register's leader plans which engine should hold which model.

Only the leader plans, while its lease holds. It sends its plans to the
agents beside the engines, which carry them out; a plan that is lost or
overtaken is made again from what the engines then say they hold.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet import (
    agent,
    documents,
    placement,
    presence,
    sharing,
)
from bilberryramp.decisions.fleet.traces import Trace

__all__ = [
    "Planner",
    "Tick",
    "WantModel",
    "review",
    "set_leading",
    "record_model_request",
]

# How often placement is reviewed.
REVIEW_MS = 300
# A want counts this long after it was last asked for.
MODEL_REQUEST_VALID_MS = 1500
# A plan is sent again until it is seen to be carried out, soon at first, for
# a connection to the agent may still have to come about. It is given up
# after its nominal time and GIVE_UP_MS more.
RESEND_MS = 60
MAX_RESEND_MS = 800
PLAN_GRACE_MS = 4000
# A new leader fills free memory only after this long: an engine that loads
# a model for nobody cannot take one that calls wait for, and after a restart
# of everything all engines are empty and demand is not yet known.
NEW_LEADER_FILL_DELAY_MS = 4000
# Window of the weight store's ceiling and the part of it that is used; a
# new leader, who does not know its predecessor's loads, uses half of that.
STORE_LIMIT_WINDOW_MS = 5000
STORE_LIMIT_RATIO = 1.0
# An engine keeps a copy of what it has just unloaded; after this long its
# own heartbeats tell whether it still does.
LOCAL_COPY_ASSUMED_MS = 3000
NEVER_MS = -(10**9)


@dataclasses.dataclass(slots=True, frozen=True)
class WantModel:
    """Calls wait for a model that no engine holds."""

    service: str
    model: str


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(slots=True)
class Plan:
    """A move under way."""

    move: placement.Move
    request: agent.Hold
    address: str
    sent_ms: int
    expires_ms: int
    resend_ms: int = RESEND_MS


@dataclasses.dataclass(slots=True, frozen=True)
class SendPlan:
    """Send a plan to the agent beside an engine."""

    address: str
    request: agent.Hold


@dataclasses.dataclass(slots=True)
class Planner:
    """State of the leader's plans.

    Attributes
    ----------
    leading_since_ms
        -1 while this node does not lead.
    wanted
        Service and model that calls wait for, and when last asked.
    plans
        The move under way at each engine.
    dropped_ms
        Engine and model: when that was last told to give way, and so left a
        copy at hand.
    """

    address: str
    table: presence.Table
    loads: sharing.Loads
    demand: placement.Demand
    leading_since_ms: int = -1
    requested_models: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    plans: dict[str, Plan] = dataclasses.field(default_factory=dict)
    store_loads_ms: list[int] = dataclasses.field(default_factory=list)
    evicted_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    reviewed_ms: int = 0


def set_leading(planner: Planner, leads: bool, now_ms: int) -> None:
    """Begin or end planning.

    Parameters
    ----------
    planner
        Changed in place.
    leads, now_ms
        Whether this node leads, and the present.
    """
    if not leads:
        planner.leading_since_ms = -1
        planner.plans.clear()
    elif planner.leading_since_ms < 0:
        planner.leading_since_ms = now_ms


def record_model_request(
    planner: Planner, request: WantModel, now_ms: int
) -> None:
    """Note that calls wait for a model.

    Parameters
    ----------
    planner, ask, now_ms
        Changed in place; what is wanted, and the present.
    """
    key = (request.service, request.model)
    if (
        now_ms - planner.requested_models.get(key, NEVER_MS)
        > MODEL_REQUEST_VALID_MS
    ):
        # The first call that waits for a model need not wait for a review.
        planner.reviewed_ms = now_ms - REVIEW_MS
    planner.requested_models[key] = now_ms


def review(planner: Planner, doc: documents.Document, now_ms: int) -> Iterator:
    """Look at all services and send what is to be done.

    Parameters
    ----------
    planner
        Changed in place.
    doc, now_ms
        The document in force and the present.

    Yields
    ------
    SendPlan, Trace
        Nothing on a node that does not lead.
    """
    if planner.leading_since_ms < 0:
        return
    yield from _follow_up(planner, now_ms)
    if now_ms - planner.reviewed_ms < REVIEW_MS:
        return
    planner.reviewed_ms = now_ms
    for service in doc.services.values():
        if service.engine is not None:
            yield from _review_service(planner, service, now_ms)


def _review_service(planner, service, now_ms) -> Iterator:
    engine = service.engine
    upstreams = list(presence.usable(planner.table, service.name, now_ms))
    states = [_engine_state(planner, engine, u, now_ms) for u in upstreams]
    moves = placement.plan_moves(
        engine,
        states,
        planner.demand,
        _awaited_models(planner, service, states, now_ms),
        _store_loads(planner, engine, now_ms),
        now_ms,
        now_ms - planner.leading_since_ms >= NEW_LEADER_FILL_DELAY_MS,
    )
    for move in moves:
        yield from _start_move(planner, engine, move, now_ms)


def _awaited_models(planner, service, states, now_ms) -> frozenset[str]:
    resident = {model for state in states for model in state.models}
    return frozenset(
        model
        for (name, model), asked_ms in planner.requested_models.items()
        if name == service.name
        and now_ms - asked_ms <= MODEL_REQUEST_VALID_MS
        and model not in resident
    )


def _engine_state(planner, engine, upstream, now_ms) -> placement.EngineState:
    upstream_id = upstream.last.upstream_id
    plan = planner.plans.get(upstream_id)
    free_mb = engine.weights_mb - placement.memory_used_mb(engine, upstream)
    return placement.EngineState(
        upstream_id=upstream_id,
        models=upstream.models,
        local_models=frozenset(upstream.last.copies)
        | frozenset(
            model
            for model in engine.models
            if now_ms - planner.evicted_ms.get((upstream_id, model), NEVER_MS)
            < LOCAL_COPY_ASSUMED_MS
        ),
        free_mb=free_mb,
        loading=plan.move.model if plan is not None else "",
        evicting=plan.move.victims if plan is not None else (),
    )


def _follow_up(planner: Planner, now_ms: int) -> Iterator:
    """Drop plans that are carried out or given up; repeat the others."""
    for upstream_id, plan in list(planner.plans.items()):
        upstream = planner.table.upstreams.get(upstream_id)
        resident = upstream is not None and plan.move.model in upstream.models
        if resident or now_ms >= plan.expires_ms:
            planner.plans.pop(upstream_id)
        elif now_ms - plan.sent_ms >= plan.resend_ms:
            plan.sent_ms = now_ms
            plan.resend_ms = min(2 * plan.resend_ms, MAX_RESEND_MS)
            yield SendPlan(plan.address, plan.request)


def _store_loads(planner, engine, now_ms: int) -> int:
    """Return how many loads the weight store's ceiling allows now."""
    oldest = now_ms - STORE_LIMIT_WINDOW_MS
    planner.store_loads_ms = [t for t in planner.store_loads_ms if t >= oldest]
    limit = (
        engine.loads_per_s * STORE_LIMIT_WINDOW_MS / 1000 * STORE_LIMIT_RATIO
    )
    if now_ms - planner.leading_since_ms < STORE_LIMIT_WINDOW_MS:
        limit /= 2
    return int(max(limit, 1)) - len(planner.store_loads_ms)


def _start_move(planner, engine, move, now_ms: int) -> Iterator:
    upstream = planner.table.upstreams[move.upstream_id]
    spec = engine.models[move.model]
    if move.from_store:
        planner.store_loads_ms.append(now_ms)
    for victim in move.victims:
        planner.evicted_ms[(move.upstream_id, victim)] = now_ms
    request = agent.Hold(
        planner.address,
        move.upstream_id,
        True,
        move.model,
        "",
        spec.weights_mb,
        documents.capacity(engine),
        tuple((victim, "") for victim in move.victims),
    )
    expires_ms = now_ms + int(1000 * spec.load_s) + PLAN_GRACE_MS
    plan = Plan(move, request, upstream.last.address, now_ms, expires_ms)
    planner.plans[move.upstream_id] = plan
    yield Trace(
        "placement.planned",
        {
            "upstream": move.upstream_id,
            "model": move.model,
            "instead_of": list(move.victims),
            "from_store": move.from_store,
            "tokens_per_s": round(
                placement.demand_rate(planner.demand, move.model, now_ms)
            ),
            "gain": round(move.gain),
        },
    )
    yield SendPlan(plan.address, request)
