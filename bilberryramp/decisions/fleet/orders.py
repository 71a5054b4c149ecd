"""What engines are told to hold; decided by the register's leader alone.

A leader orders only while its lease holds and after earlier leaders' orders
can no longer count as taking turns with its own; its term is the fencing
token. Memory counts as taken from the moment of an order until the engine's
heartbeat shows otherwise, and an order without an answer counts as both
carried out and not until it can no longer arrive.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions import charting
from bilberryramp.decisions.fleet import (
    calls,
    documents,
    gateway,
    placement,
    presence,
    sharing,
)

__all__ = [
    "Order",
    "OrderAnswer",
    "OrderEnded",
    "Orderer",
    "SendOrder",
    "actions",
    "guards",
    "set_leading",
    "step",
]

# Longest time for which an order without an answer may still be carried out.
UNSURE_MS = 15_000
# How long an accepted model load may take beyond its nominal time.
LOAD_SLACK_MS = 20_000
# Time after which an accepted adapter order is taken as carried out.
ADAPTER_MS = 14
# How often placement is reviewed.
REVIEW_MS = 400
# Window of the weight store's ceiling, and the part of it that is used.
CEILING_WINDOW_MS = 5000
CEILING_SHARE = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Give an order to an engine; answered by `OrderEnded`."""

    order_id: int
    upstream_id: str
    address: str
    load: bool
    model: str
    adapter: str
    fence: int


class OrderAnswer:
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    NONE = "none"


@dataclasses.dataclass(slots=True, frozen=True)
class OrderEnded:
    """The answer to an order; one of `OrderAnswer`."""

    order_id: int
    answer: str


@dataclasses.dataclass(slots=True)
class Order:
    """Machine of one order.

    Attributes
    ----------
    expires_ms
        When it is taken as settled whatever is known.
    from_store
        Whether it counts against the weight store's ceiling.
    """

    what: SendOrder
    sent_ms: int
    expires_ms: int
    from_store: bool
    key: str = ""
    phase: str = "sent"
    timer: int = 0


@dataclasses.dataclass(slots=True)
class Orderer:
    """State of the leader's orders.

    Attributes
    ----------
    leading_since_ms
        -1 while this node does not lead.
    quiet_ms
        How long a new leader waits before its first order.
    used_ms
        When weights were last used, by engine and weights.
    held_before
        Weights that an engine held once, and so has copies of.
    """

    chart: charting.Chart
    table: presence.Table
    quiet_ms: int
    leading_since_ms: int = -1
    fence: int = 0
    next_id: int = 1
    doc: documents.Document | None = None
    orders: dict[int, Order] = dataclasses.field(default_factory=dict)
    loads_ms: list[int] = dataclasses.field(default_factory=list)
    wanted: dict[tuple[str, str, str, str], int] = dataclasses.field(
        default_factory=dict
    )
    demand: placement.Demand = dataclasses.field(
        default_factory=placement.Demand
    )
    held_before: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    reviewed_ms: int = 0


def set_leading(orderer: Orderer, leads: bool, term: int, now_ms: int):
    """Begin or end giving orders.

    Parameters
    ----------
    orderer
        Changed in place.
    leads, term
        Whether this node leads, and since which term.
    now_ms
        The present.
    """
    if not leads:
        orderer.leading_since_ms = -1
        orderer.orders.clear()
    elif orderer.leading_since_ms < 0:
        orderer.leading_since_ms = now_ms
        orderer.fence = term


def step(orderer: Orderer, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    orderer
        Changed in place.
    now_ms
        The present.
    message
        `Wanted`, `OrderEnded`, a `Report`, `DocumentInForce` or `Tick`.

    Yields
    ------
    effect
        `SendOrder`, `HoldingLearned` and `Trace`.
    """
    yield from _HANDLERS[type(message)](orderer, now_ms, message)


def _may_order(orderer: Orderer, now_ms: int) -> bool:
    since = orderer.leading_since_ms
    return since >= 0 and now_ms - since >= orderer.quiet_ms


def _on_document(orderer: Orderer, _now_ms: int, message) -> Iterator:
    orderer.doc = message.doc
    yield from ()


def _on_report(orderer: Orderer, now_ms: int, report) -> Iterator:
    for sent in report.sent:
        placement.note_use(
            orderer.demand, sent.upstream_id, sent.weights, now_ms
        )
    yield from ()


def _on_wanted(orderer: Orderer, now_ms: int, ask: calls.Wanted) -> Iterator:
    placement.note_want(orderer.demand, ask.service, ask.model, now_ms)
    if not _may_order(orderer, now_ms) or orderer.doc is None:
        return
    service = orderer.doc.services.get(ask.service)
    if service is None or service.engine is None:
        return
    if ask.adapter:
        yield from _load_adapter(orderer, now_ms, service.engine, ask)
    else:
        yield from _review(orderer, now_ms)


# Adapters.


def _load_adapter(orderer, now_ms, engine, ask) -> Iterator:
    upstream = orderer.table.upstreams.get(ask.upstream_id)
    model = engine.models.get(ask.model)
    usable = presence.is_usable(orderer.table, ask.upstream_id, now_ms)
    if upstream is None or model is None or not usable:
        return
    held = upstream.models.get(ask.model)
    if held is None:
        return
    if ask.adapter in held:
        yield gateway.HoldingLearned(
            ask.upstream_id, ask.model, ask.adapter, True
        )
        return
    pending = list(_orders_at(orderer, ask.upstream_id))
    if any(_is_for(order, ask.model, ask.adapter) for order in pending):
        return
    coming = [o for o in pending if o.what.load and o.what.adapter]
    places = sum(len(names) for names in upstream.models.values())
    unsure = [
        o
        for o in pending
        if not o.what.load and o.what.adapter and o.phase == "unsure"
    ]
    free = engine.adapter_slots - places - len(coming) - len(unsure)
    used_mb = placement.memory_used_mb(engine, upstream)
    used_mb += sum(_size_mb(engine, order) for order in pending)
    has_memory = used_mb + model.adapter_mb <= engine.weights_mb
    if free > 0 and has_memory:
        yield from _send(
            orderer, now_ms, upstream, True, ask.model, ask.adapter, engine
        )
        return
    if any(not o.what.load for o in pending):
        return
    victim = placement.idle_adapter(orderer.demand, upstream, now_ms)
    if victim is not None:
        yield from _send(orderer, now_ms, upstream, False, *victim, engine)


def _is_for(order: Order, model: str, adapter: str) -> bool:
    return order.what.model == model and order.what.adapter == adapter


def _size_mb(engine: documents.EngineSpec, order: Order) -> float:
    """Return the memory that an order under way may take."""
    model = engine.models.get(order.what.model)
    if model is None or not order.what.load:
        return 0.0
    return model.adapter_mb if order.what.adapter else model.weights_mb


# Models.


def _on_tick(orderer: Orderer, now_ms: int, _message) -> Iterator:
    yield from _settle(orderer, now_ms)
    if now_ms - orderer.reviewed_ms >= REVIEW_MS:
        yield from _review(orderer, now_ms)


def _review(orderer: Orderer, now_ms: int) -> Iterator:
    orderer.reviewed_ms = now_ms
    if not _may_order(orderer, now_ms) or orderer.doc is None:
        return
    placement.decay(orderer.demand, now_ms)
    for service in orderer.doc.services.values():
        if service.engine is not None:
            yield from _review_service(orderer, now_ms, service)


def _review_service(orderer, now_ms, service) -> Iterator:
    engine = service.engine
    upstreams = list(presence.usable(orderer.table, service.name, now_ms))
    for upstream in upstreams:
        for model in upstream.models:
            orderer.held_before.add((upstream.last.upstream_id, model))
    busy = {
        order.what.upstream_id
        for order in orderer.orders.values()
        if not order.what.adapter
    }
    moves = placement.plan(
        engine, service.name, upstreams, busy, orderer.demand, now_ms
    )
    for move in moves:
        from_store = (
            move.load
            and (move.upstream_id, move.model) not in orderer.held_before
        )
        if from_store and not _ceiling_allows(orderer, engine, now_ms):
            continue
        upstream = orderer.table.upstreams[move.upstream_id]
        yield from _send(
            orderer, now_ms, upstream, move.load, move.model, "", engine
        )


def _ceiling_allows(orderer, engine, now_ms: int) -> bool:
    oldest = now_ms - CEILING_WINDOW_MS
    orderer.loads_ms = [t for t in orderer.loads_ms if t >= oldest]
    most = engine.loads_per_s * CEILING_WINDOW_MS / 1000 * CEILING_SHARE
    return len(orderer.loads_ms) + 1 <= max(most, 1)


# Orders under way.


def _orders_at(orderer: Orderer, upstream_id: str) -> Iterator[Order]:
    for order in orderer.orders.values():
        if order.what.upstream_id == upstream_id:
            yield order


def _send(orderer, now_ms, upstream, load, model, adapter, engine) -> Iterator:
    upstream_id = upstream.last.upstream_id
    order_id = orderer.next_id
    orderer.next_id += 1
    what = SendOrder(
        order_id,
        upstream_id,
        upstream.last.address,
        load,
        model,
        adapter,
        orderer.fence,
    )
    from_store = (
        load
        and not adapter
        and (upstream_id, model) not in orderer.held_before
    )
    if from_store:
        orderer.loads_ms.append(now_ms)
    spec = engine.models.get(model)
    nominal_ms = int(1000 * spec.load_s) if spec is not None else 0
    slack = UNSURE_MS if adapter else LOAD_SLACK_MS
    orderer.orders[order_id] = Order(
        what, now_ms, now_ms + nominal_ms + slack, from_store
    )
    if not load:
        # No new call goes there from now on.
        yield gateway.HoldingLearned(upstream_id, model, adapter, False)
    yield gateway.Trace(
        "order.sent_to_engine",
        {
            "order": order_id,
            "upstream": upstream_id,
            "load": load,
            "model": model,
            "adapter": adapter,
            "fence": orderer.fence,
            "from_store": from_store,
        },
    )
    yield what


_EVENTS = {
    OrderAnswer.ACCEPTED: "accepted",
    OrderAnswer.DONE: "holding",
    OrderAnswer.BUSY: "refused",
    OrderAnswer.FENCED: "refused",
    OrderAnswer.REFUSED: "refused",
    OrderAnswer.NONE: "unanswered",
}


def _on_ended(orderer: Orderer, now_ms: int, ended: OrderEnded) -> Iterator:
    order = orderer.orders.get(ended.order_id)
    if order is None:
        return
    yield gateway.Trace(
        "order.answered",
        {
            "order": ended.order_id,
            "upstream": order.what.upstream_id,
            "answer": ended.answer,
            "took_ms": now_ms - order.sent_ms,
        },
    )
    what = order.what
    event = _EVENTS[ended.answer]
    if event == "unanswered":
        order.expires_ms = now_ms + UNSURE_MS
    elif event == "accepted" and what.adapter:
        order.expires_ms = now_ms + ADAPTER_MS
    yield from charting.fire(orderer.chart, order, event, now_ms, orderer)
    if event == "holding":
        yield from _tell_outcome(what)


def _settle(orderer: Orderer, now_ms: int) -> Iterator:
    for order in list(orderer.orders.values()):
        what = order.what
        upstream = orderer.table.upstreams.get(what.upstream_id)
        if upstream is None:
            yield from _fire(orderer, order, "expired", now_ms)
        elif now_ms >= order.expires_ms:
            is_done = order.phase == "running" and what.adapter
            yield from _fire(orderer, order, "expired", now_ms)
            if is_done:
                yield from _tell_outcome(what)
        elif not what.adapter and _is_carried_out(order, upstream):
            yield from _fire(orderer, order, "holding", now_ms)


def _is_carried_out(order: Order, upstream: presence.Upstream) -> bool:
    told = {held.model for held in upstream.last.held}
    newer = upstream.heard_ms > order.sent_ms
    return newer and (order.what.model in told) == order.what.load


def _tell_outcome(what: SendOrder) -> Iterator:
    yield gateway.HoldingLearned(
        what.upstream_id, what.model, what.adapter, what.load
    )


def _fire(orderer: Orderer, order: Order, event: str, now_ms: int):
    yield from charting.fire(orderer.chart, order, event, now_ms, orderer)


def _release(order: Order, _now_ms: int, orderer: Orderer) -> Iterator:
    orderer.orders.pop(order.what.order_id, None)
    yield from ()


guards: dict = {}
actions = {"release": _release}

_HANDLERS = {
    calls.Wanted: _on_wanted,
    OrderEnded: _on_ended,
    sharing.Report: _on_report,
    gateway.DocumentInForce: _on_document,
    gateway.Tick: _on_tick,
}
