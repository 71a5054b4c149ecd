"""Planning of model placement by the register's leader.

Only the leader plans, and only while its lease is valid. It sends each move
to the agent of the engine, which executes it. Moves that are lost or become
outdated are planned again from the models that the engines then report.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import documents, presence, sharing
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.orders import agent, order_holders, placement

__all__ = [
    "Planner",
    "Tick",
    "WantModel",
    "record_model_request",
    "review",
    "set_leading",
]

# Interval of placement reviews.
REVIEW_INTERVAL_MS = 300
# Time for which a model request is valid; calls repeat it while they wait.
MODEL_REQUEST_TTL_MS = 1500
# The request to the agent is sent again, with exponential backoff, until the
# model is resident. The first interval is short because the connection to the
# agent may not be open yet. The move is abandoned MOVE_GRACE_MS after its
# nominal load time.
RESEND_MS = 60
MAX_RESEND_MS = 800
MOVE_GRACE_MS = 4000
# A new leader does not fill free memory before this time: an engine that loads
# an unrequested model cannot load one that calls wait for, and after a restart
# of all nodes every engine is empty and demand is not known yet.
NEW_LEADER_FILL_DELAY_MS = 4000
# Window of the weight store's rate limit, and fraction of the limit that is
# used. A new leader, which does not know the loads of its predecessor, uses
# half of that.
STORE_LIMIT_WINDOW_MS = 5000
STORE_LIMIT_RATIO = 1.0
# Time for which an engine is assumed to keep a local copy of a model that it
# has unloaded; after that its heartbeats report whether it does.
LOCAL_COPY_ASSUMED_MS = 3000
# Stands for the time of an event that has not occurred.
NEVER_MS = -(10**9)


@dataclasses.dataclass(slots=True, frozen=True)
class WantModel:
    """Request for a model that calls wait for and that no engine holds.

    Attributes
    ----------
    service, model
        Names of the service and of the model.
    """

    service: str
    model: str


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Periodic message that lets the planner act on elapsed time."""


@dataclasses.dataclass(slots=True)
class PendingMove:
    """A move that was requested of an agent and is not completed.

    Attributes
    ----------
    move
        Model to load, engine, and models to evict.
    request
        Request to the engine's agent.
    address
        Address of the engine.
    sent_ms
        When the request was last sent.
    expires_ms
        When the planner abandons the move.
    resend_ms
        Interval after which the request is sent again, in milliseconds.
    """

    move: placement.Move
    request: agent.ResidencyRequest
    address: str
    sent_ms: int
    expires_ms: int
    resend_ms: int = RESEND_MS


@dataclasses.dataclass(slots=True, frozen=True)
class SendResidencyRequest:
    """Send a request to the agent of an engine.

    Attributes
    ----------
    address
        Address of the engine; its agent runs on the same host.
    request
        The request.
    """

    address: str
    request: agent.ResidencyRequest


@dataclasses.dataclass(slots=True)
class Planner:
    """State of the planner of one node.

    Attributes
    ----------
    address
        Address of this node.
    table
        Known upstreams.
    loads
        Known loads of all gateways.
    demand
        Demand for models and recent uses.
    leading_since_ms
        When this node became the leader; -1 while it is not.
    requested_models
        When a model was last requested, by service and model.
    pending_moves
        Moves that are not completed, by engine identifier.
    store_loads_ms
        Start times of recent loads from the weight store.
    evicted_ms
        When the eviction of a model was last requested, by engine identifier
        and model; the engine then keeps a local copy.
    reviewed_ms
        When placement was last reviewed.
    holders
        Addresses of the nodes that order engines; empty if agents do.
    """

    address: str
    table: presence.Table
    loads: sharing.Loads
    demand: placement.Demand
    leading_since_ms: int = -1
    requested_models: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    pending_moves: dict[str, PendingMove] = dataclasses.field(
        default_factory=dict
    )
    store_loads_ms: list[int] = dataclasses.field(default_factory=list)
    evicted_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    reviewed_ms: int = 0
    holders: tuple[str, ...] = ()


def set_leading(planner: Planner, leads: bool, now_ms: int) -> None:
    """Start or stop planning.

    Parameters
    ----------
    planner
        State of the planner. Modified in place.
    leads
        Whether this node is the leader.
    now_ms
        Current time in milliseconds.
    """
    if not leads:
        planner.leading_since_ms = -1
        planner.pending_moves.clear()
    elif planner.leading_since_ms < 0:
        planner.leading_since_ms = now_ms


def record_model_request(
    planner: Planner, request: WantModel, now_ms: int
) -> None:
    """Record that calls wait for a model.

    Parameters
    ----------
    planner
        State of the planner. Modified in place.
    request
        The service and the model.
    now_ms
        Current time in milliseconds.
    """
    key = (request.service, request.model)
    if (
        now_ms - planner.requested_models.get(key, NEVER_MS)
        > MODEL_REQUEST_TTL_MS
    ):
        # Review at once, so that the first call for a model is not delayed.
        planner.reviewed_ms = now_ms - REVIEW_INTERVAL_MS
    planner.requested_models[key] = now_ms


def review(planner: Planner, doc: documents.Document, now_ms: int) -> Iterator:
    """Send pending requests again, and plan moves if a review is due.

    Parameters
    ----------
    planner
        State of the planner. Modified in place.
    doc
        Service document in force.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    SendResidencyRequest, Trace
        Nothing on a node that is not the leader.
    """
    if planner.leading_since_ms < 0:
        return
    yield from _update_pending_moves(planner, now_ms)
    if now_ms - planner.reviewed_ms < REVIEW_INTERVAL_MS:
        return
    planner.reviewed_ms = now_ms
    for service in doc.services.values():
        if service.engine is not None:
            yield from _review_service(planner, service, now_ms)


def _review_service(planner, service, now_ms) -> Iterator:
    """Plan and start the moves of one service."""
    engine = service.engine
    upstreams = presence.usable_upstreams(planner.table, service.name, now_ms)
    states = [_engine_state(planner, engine, u, now_ms) for u in upstreams]
    moves = placement.plan_moves(
        engine,
        [
            dataclasses.replace(state, is_orderable=False)
            if not _has_live_holder(planner, state.upstream_id, now_ms)
            else state
            for state in states
        ],
        planner.demand,
        _awaited_models(planner, service, states, now_ms),
        _allowed_store_loads(planner, engine, now_ms),
        now_ms,
        now_ms - planner.leading_since_ms >= NEW_LEADER_FILL_DELAY_MS,
    )
    for move in moves:
        yield from _start_move(planner, engine, move, now_ms)


def _has_live_holder(planner: Planner, upstream_id: str, now_ms: int) -> bool:
    """Return whether the node that orders an engine seems to run."""
    holder = order_holders.assign(upstream_id, planner.holders)
    if holder in ("", planner.address):
        return True
    peer = planner.loads.peers.get(holder)
    return (
        peer is not None
        and now_ms - peer.heard_ms < planner.loads.report_ttl_ms
    )


def _awaited_models(planner, service, states, now_ms) -> frozenset[str]:
    """Return the requested models of a service that no engine holds."""
    resident = {model for state in states for model in state.models}
    return frozenset(
        model
        for (name, model), requested_ms in planner.requested_models.items()
        if name == service.name
        and now_ms - requested_ms <= MODEL_REQUEST_TTL_MS
        and model not in resident
    )


def _engine_state(planner, engine, upstream, now_ms) -> placement.EngineState:
    upstream_id = upstream.announcement.upstream_id
    pending = planner.pending_moves.get(upstream_id)
    free_mb = engine.weights_mb - placement.memory_used_mb(engine, upstream)
    return placement.EngineState(
        upstream_id=upstream_id,
        models=upstream.models,
        local_models=frozenset(upstream.announcement.copies)
        | frozenset(
            model
            for model in engine.models
            if now_ms - planner.evicted_ms.get((upstream_id, model), NEVER_MS)
            < LOCAL_COPY_ASSUMED_MS
        ),
        free_mb=free_mb,
        loading=pending.move.model if pending is not None else "",
        evicting=pending.move.victims if pending is not None else (),
    )


def _update_pending_moves(planner: Planner, now_ms: int) -> Iterator:
    """Remove completed and expired moves, and resend requests that are due."""
    for upstream_id, pending in list(planner.pending_moves.items()):
        upstream = planner.table.upstreams.get(upstream_id)
        is_resident = (
            upstream is not None and pending.move.model in upstream.models
        )
        if is_resident or now_ms >= pending.expires_ms:
            planner.pending_moves.pop(upstream_id)
        elif now_ms - pending.sent_ms >= pending.resend_ms:
            pending.sent_ms = now_ms
            pending.resend_ms = min(2 * pending.resend_ms, MAX_RESEND_MS)
            yield SendResidencyRequest(pending.address, pending.request)


def _allowed_store_loads(planner, engine, now_ms: int) -> int:
    """Return the number of loads that the weight store's limit permits now."""
    oldest_ms = now_ms - STORE_LIMIT_WINDOW_MS
    planner.store_loads_ms = [
        t for t in planner.store_loads_ms if t >= oldest_ms
    ]
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
    request = agent.ResidencyRequest(
        planner.address,
        move.upstream_id,
        True,
        move.model,
        "",
        spec.weights_mb,
        documents.capacity(engine, (move.model, *upstream.models)),
        tuple((victim, "") for victim in move.victims),
    )
    expires_ms = now_ms + int(1000 * spec.load_s) + MOVE_GRACE_MS
    pending = PendingMove(
        move, request, upstream.announcement.address, now_ms, expires_ms
    )
    planner.pending_moves[move.upstream_id] = pending
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
    yield SendResidencyRequest(pending.address, request)
