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
# A plan is sent again until it is seen to be carried out, and given up
# after its nominal time and this much more.
RESEND_MS = 400
GIVE_UP_MS = 4000
# Window of the weight store's ceiling and the part of it that is used; a
# new leader, who does not know its predecessor's loads, uses half of that.
CEILING_WINDOW_MS = 5000
CEILING_SHARE = 0.9


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
    held_before
        Engine and model, for models that it has held and so has a copy of.
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
    held_before: set[tuple[str, str]] = dataclasses.field(default_factory=set)
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
    planner.wanted[(ask.service, ask.model)] = now_ms


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
    if now_ms - planner.reviewed_ms < REVIEW_MS:
        return
    planner.reviewed_ms = now_ms
    for service in doc.services.values():
        if service.engine is not None:
            yield from _review_service(planner, service, now_ms)


def _review_service(planner, service, now_ms) -> Iterator:
    engine = service.engine
    upstreams = list(presence.usable(planner.table, service.name, now_ms))
    for upstream in upstreams:
        for model in upstream.models:
            planner.held_before.add((upstream.last.upstream_id, model))
    yield from _follow_up(planner, now_ms)
    sites = [_site(planner, engine, u, now_ms) for u in upstreams]
    placement.note_crowding(planner.demand, sites)
    for model in _short_models(planner, service, sites, now_ms):
        is_urgent = not any(model in site.models for site in sites)
        move = placement.make_room(
            engine, sites, model, planner.demand, now_ms, is_urgent
        )
        if move is not None and _allows(planner, engine, move, now_ms):
            yield from _begin(planner, engine, move, now_ms)
            sites = [_site(planner, engine, u, now_ms) for u in upstreams]


def _short_models(planner, service, sites, now_ms) -> list[str]:
    held = {model for site in sites for model in site.models}
    coming = {model for site in sites for model, _ in site.coming}
    wanted = [
        model
        for (name, model), asked_ms in planner.wanted.items()
        if name == service.name
        and now_ms - asked_ms <= WANT_MS
        and model in service.engine.models
        and model not in held | coming
    ]
    crowded = placement.crowded(service.engine, planner.demand, sites)
    return wanted + [m for m in crowded if m not in wanted]


def _site(planner, engine, upstream, now_ms) -> placement.Site:
    upstream_id = upstream.last.upstream_id
    plan = planner.plans.get(upstream_id)
    used_mb = placement.memory_used_mb(engine, upstream)
    coming = frozenset()
    if plan is not None and plan.move.load:
        coming = frozenset({(plan.move.model, "")})
        if plan.move.model not in upstream.models:
            used_mb += plan.ask.size_mb
    return placement.Site(
        upstream_id=upstream_id,
        models=upstream.models,
        copies=frozenset(upstream.last.copies),
        free_mb=engine.weights_mb - used_mb,
        is_busy=plan is not None,
        coming=coming,
        is_emptying=plan is not None and not plan.move.load,
        load=sharing.total(planner.loads, upstream_id, now_ms),
    )


def _follow_up(planner: Planner, now_ms: int) -> Iterator:
    """Drop plans that are carried out or given up; repeat the others."""
    for upstream_id, plan in list(planner.plans.items()):
        upstream = planner.table.upstreams.get(upstream_id)
        held = upstream is not None and plan.move.model in upstream.models
        if held == plan.move.load or now_ms >= plan.expires_ms:
            planner.plans.pop(upstream_id)
        elif now_ms - plan.sent_ms >= RESEND_MS:
            plan.sent_ms = now_ms
            yield SendPlan(plan.address, plan.ask)


def _has_copy(planner: Planner, move: placement.Move) -> bool:
    upstream = planner.table.upstreams.get(move.upstream_id)
    told = upstream is not None and move.model in upstream.last.copies
    return told or (move.upstream_id, move.model) in planner.held_before


def _allows(planner, engine, move, now_ms: int) -> bool:
    """Tell whether the weight store's ceiling allows a move."""
    if not move.load or _has_copy(planner, move):
        return True
    oldest = now_ms - CEILING_WINDOW_MS
    planner.loads_ms = [t for t in planner.loads_ms if t >= oldest]
    most = engine.loads_per_s * CEILING_WINDOW_MS / 1000 * CEILING_SHARE
    if now_ms - planner.leading_since_ms < CEILING_WINDOW_MS:
        most /= 2
    return len(planner.loads_ms) + 1 <= max(most, 1)


def _begin(planner, engine, move, now_ms: int) -> Iterator:
    upstream = planner.table.upstreams[move.upstream_id]
    spec = engine.models[move.model]
    from_store = move.load and not _has_copy(planner, move)
    if from_store:
        planner.loads_ms.append(now_ms)
    ask = agent.Hold(
        planner.address,
        move.upstream_id,
        move.load,
        move.model,
        "",
        spec.weights_mb,
        documents.capacity(engine),
    )
    expires_ms = now_ms + int(1000 * spec.load_s) + GIVE_UP_MS
    plan = Plan(move, ask, upstream.last.address, now_ms, expires_ms)
    planner.plans[move.upstream_id] = plan
    yield Trace(
        "placement.planned",
        {
            "upstream": move.upstream_id,
            "load": move.load,
            "model": move.model,
            "from_store": from_store,
            "crowding": round(planner.demand.crowding.get(move.model, 0)),
        },
    )
    yield SendPlan(plan.address, ask)
