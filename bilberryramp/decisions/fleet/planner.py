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

__all__ = ["Planner", "Tick", "WantModel", "review", "set_leading", "want"]

# How often placement is reviewed.
REVIEW_MS = 300
# A want counts this long after it was last asked for.
WANT_MS = 1500
# A plan is sent again until it is seen to be carried out, soon at first, for
# a connection to the agent may still have to come about. It is given up
# after its nominal time and GIVE_UP_MS more.
RESEND_MS = 60
MOST_RESEND_MS = 800
GIVE_UP_MS = 4000
# A new leader fills free memory only after this long: an engine that loads
# a model for nobody cannot take one that calls wait for, and after a restart
# of everything all engines are empty and demand is not yet known.
LEARN_MS = 4000
# Window of the weight store's ceiling and the part of it that is used; a
# new leader, who does not know its predecessor's loads, uses half of that.
CEILING_WINDOW_MS = 5000
CEILING_SHARE = 1.0
# An engine keeps a copy of what it has just unloaded; after this long its
# own heartbeats tell whether it still does.
DROPPED_MS = 3000
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
    ask: agent.Hold
    address: str
    sent_ms: int
    expires_ms: int
    resend_ms: int = RESEND_MS


@dataclasses.dataclass(slots=True, frozen=True)
class SendPlan:
    """Send a plan to the agent beside an engine."""

    address: str
    ask: agent.Hold


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
    wanted: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    plans: dict[str, Plan] = dataclasses.field(default_factory=dict)
    loads_ms: list[int] = dataclasses.field(default_factory=list)
    dropped_ms: dict[tuple[str, str], int] = dataclasses.field(
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


def want(planner: Planner, ask: WantModel, now_ms: int) -> None:
    """Note that calls wait for a model.

    Parameters
    ----------
    planner, ask, now_ms
        Changed in place; what is wanted, and the present.
    """
    key = (ask.service, ask.model)
    if now_ms - planner.wanted.get(key, NEVER_MS) > WANT_MS:
        # The first call that waits for a model need not wait for a review.
        planner.reviewed_ms = now_ms - REVIEW_MS
    planner.wanted[key] = now_ms


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
    sites = [_site(planner, engine, u, now_ms) for u in upstreams]
    moves = placement.plan_moves(
        engine,
        sites,
        planner.demand,
        _waited_for(planner, service, sites, now_ms),
        _store_loads(planner, engine, now_ms),
        now_ms,
        now_ms - planner.leading_since_ms >= LEARN_MS,
    )
    for move in moves:
        yield from _begin(planner, engine, move, now_ms)


def _waited_for(planner, service, sites, now_ms) -> frozenset[str]:
    held = {model for site in sites for model in site.models}
    return frozenset(
        model
        for (name, model), asked_ms in planner.wanted.items()
        if name == service.name
        and now_ms - asked_ms <= WANT_MS
        and model not in held
    )


def _site(planner, engine, upstream, now_ms) -> placement.EngineState:
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
            if now_ms - planner.dropped_ms.get((upstream_id, model), NEVER_MS)
            < DROPPED_MS
        ),
        free_mb=free_mb,
        loading=plan.move.model if plan is not None else "",
        evicting=plan.move.victims if plan is not None else (),
    )


def _follow_up(planner: Planner, now_ms: int) -> Iterator:
    """Drop plans that are carried out or given up; repeat the others."""
    for upstream_id, plan in list(planner.plans.items()):
        upstream = planner.table.upstreams.get(upstream_id)
        held = upstream is not None and plan.move.model in upstream.models
        if held or now_ms >= plan.expires_ms:
            planner.plans.pop(upstream_id)
        elif now_ms - plan.sent_ms >= plan.resend_ms:
            plan.sent_ms = now_ms
            plan.resend_ms = min(2 * plan.resend_ms, MOST_RESEND_MS)
            yield SendPlan(plan.address, plan.ask)


def _store_loads(planner, engine, now_ms: int) -> int:
    """Return how many loads the weight store's ceiling allows now."""
    oldest = now_ms - CEILING_WINDOW_MS
    planner.loads_ms = [t for t in planner.loads_ms if t >= oldest]
    most = engine.loads_per_s * CEILING_WINDOW_MS / 1000 * CEILING_SHARE
    if now_ms - planner.leading_since_ms < CEILING_WINDOW_MS:
        most /= 2
    return int(max(most, 1)) - len(planner.loads_ms)


def _begin(planner, engine, move, now_ms: int) -> Iterator:
    upstream = planner.table.upstreams[move.upstream_id]
    spec = engine.models[move.model]
    if move.from_store:
        planner.loads_ms.append(now_ms)
    for victim in move.victims:
        planner.dropped_ms[(move.upstream_id, victim)] = now_ms
    ask = agent.Hold(
        planner.address,
        move.upstream_id,
        True,
        move.model,
        "",
        spec.weights_mb,
        documents.capacity(engine),
        tuple((victim, "") for victim in move.victims),
    )
    expires_ms = now_ms + int(1000 * spec.load_s) + GIVE_UP_MS
    plan = Plan(move, ask, upstream.last.address, now_ms, expires_ms)
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
    yield SendPlan(plan.address, ask)
