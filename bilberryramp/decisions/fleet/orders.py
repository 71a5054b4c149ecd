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
    "EngineRead",
    "EngineView",
    "ReadEngine",
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
# An engine's report lags behind its orders by some hundred milliseconds, so
# it is read again only after this long.
READ_AGAIN_MS = 500
# How long an engine gets no order after it said that it is busy.
BUSY_PAUSE_MS = 80
# Adapters on their way to an engine at once.
ADAPTERS_AT_ONCE = 4
# How long an engine may take to give up an adapter that is in use.
ADAPTER_UNLOAD_MS = 4000
# How often placement is reviewed.
REVIEW_MS = 400
# A want counts this long after it was last asked for.
WANT_MS = 1500
# Window of the weight store's ceiling, and the part of it that is used.
CEILING_WINDOW_MS = 5000
CEILING_SHARE = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Give an order to an engine; answered by `OrderEnded`.

    Attributes
    ----------
    expected_count
        Orders that the engine must have accepted before, so that an order
        that arrives late is refused once a newer one was accepted.
    """

    order_id: int
    upstream_id: str
    address: str
    load: bool
    model: str
    adapter: str
    fence: int
    expected_count: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReadEngine:
    """Ask an engine what it holds; answered by `EngineRead`."""

    upstream_id: str
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class EngineRead:
    """What an engine says of itself.

    Attributes
    ----------
    order_count
        How many orders it has accepted; -1 when it did not answer.
    held
        What it holds.
    coming
        Models and adapters on their way to it.
    is_busy
        Whether it carries out an order on a model.
    """

    upstream_id: str
    order_count: int
    held: tuple[presence.Held, ...] = ()
    coming: tuple[tuple[str, str], ...] = ()
    is_busy: bool = False


@dataclasses.dataclass(slots=True)
class EngineView:
    """How far the leader knows the orders of one engine.

    Attributes
    ----------
    born_ms
        The process that this is about.
    order_count
        Orders that it has accepted; -1 while that is not known.
    read_at_ms
        When it was, or is to be, asked.
    is_asked
        Whether an answer is awaited.
    """

    born_ms: int
    order_count: int = -1
    read_at_ms: int = 0
    is_asked: bool = False


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
    wanted
        Service, model, adapter and perhaps engine that calls wait for, and
        when last asked.
    held_before
        Weights that an engine held once, and so has copies of.
    views
        What is known of each engine's orders.
    paused_until
        Engines that were busy, and until when they get no order.
    """

    chart: charting.Chart
    table: presence.Table
    loads: sharing.Loads
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
    views: dict[str, EngineView] = dataclasses.field(default_factory=dict)
    paused_until: dict[str, int] = dataclasses.field(default_factory=dict)
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
        orderer.views.clear()
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
    want = (ask.service, ask.model, ask.adapter, ask.upstream_id)
    orderer.wanted[want] = now_ms
    yield from _serve_wants(orderer, now_ms)


def _serve_wants(orderer: Orderer, now_ms: int) -> Iterator:
    """Bring wanted adapters and models to engines, oldest wants last."""
    if not _may_order(orderer, now_ms) or orderer.doc is None:
        return
    for want, asked_ms in list(orderer.wanted.items()):
        name, model, adapter, _ = want
        service = orderer.doc.services.get(name)
        stale = now_ms - asked_ms > WANT_MS
        if stale or service is None or service.engine is None:
            orderer.wanted.pop(want, None)
            continue
        sites = list(_sites(orderer, service, now_ms))
        if adapter and any(model in site.models for site in sites):
            yield from _bring_adapter(
                orderer, now_ms, service.engine, sites, want
            )
        elif not any(model in site.models for site in sites):
            yield from _bring_model(
                orderer, now_ms, service.engine, sites, want
            )
        else:
            orderer.wanted.pop(want, None)


def _sites(
    orderer: Orderer, service: documents.Service, now_ms: int
) -> Iterator[placement.Site]:
    """Describe a service's engines with what is under way at each."""
    for upstream in presence.usable(orderer.table, service.name, now_ms):
        upstream_id = upstream.last.upstream_id
        pending = [
            order
            for order in orderer.orders.values()
            if order.what.upstream_id == upstream_id
        ]
        coming_mb = sum(_size_mb(service.engine, order) for order in pending)
        used_mb = placement.memory_used_mb(service.engine, upstream)
        adapters = sum(len(names) for names in upstream.models.values())
        yield placement.Site(
            upstream_id=upstream_id,
            models=upstream.models,
            copies=frozenset(upstream.last.copies),
            free_mb=service.engine.weights_mb - used_mb - coming_mb,
            free_places=service.engine.adapter_slots
            - adapters
            - sum(_takes_place(order) for order in pending),
            is_busy=orderer.paused_until.get(upstream_id, 0) > now_ms
            or not _is_known(orderer, upstream)
            or any(order.phase in ("sent", "unsure") for order in pending)
            or any(not order.what.adapter for order in pending)
            or sum(_takes_place(order) for order in pending)
            >= ADAPTERS_AT_ONCE,
            coming=frozenset(
                (order.what.model, order.what.adapter)
                for order in pending
                if order.what.load
            ),
            is_emptying=any(not order.what.load for order in pending),
            load=sharing.total(orderer.loads, upstream_id, now_ms),
        )


def _is_known(orderer: Orderer, upstream: presence.Upstream) -> bool:
    view = orderer.views.get(upstream.last.upstream_id)
    return (
        view is not None
        and view.born_ms == upstream.last.born_ms
        and view.order_count >= 0
    )


def _read_engines(
    orderer: Orderer, service: documents.Service, now_ms: int
) -> Iterator:
    """Ask the engines whose orders are not known."""
    for upstream in presence.usable(orderer.table, service.name, now_ms):
        last = upstream.last
        view = orderer.views.get(last.upstream_id)
        if view is None or view.born_ms != last.born_ms:
            view = EngineView(last.born_ms)
            orderer.views[last.upstream_id] = view
        due = now_ms >= view.read_at_ms
        if view.order_count < 0 and not view.is_asked and due:
            view.is_asked = True
            yield ReadEngine(last.upstream_id, last.address)


def _on_engine_read(orderer: Orderer, now_ms: int, read) -> Iterator:
    view = orderer.views.get(read.upstream_id)
    if view is None:
        return
    view.is_asked = False
    if read.order_count < 0 or read.is_busy:
        view.read_at_ms = now_ms + READ_AGAIN_MS
        return
    view.order_count = read.order_count
    for order in list(orderer.orders.values()):
        # Whatever was on its way before is in what the engine now says, or
        # will be refused for its count.
        if order.what.upstream_id == read.upstream_id:
            yield from _fire(orderer, order, "expired", now_ms)
    yield from _take_in(orderer, now_ms, read)
    yield from _serve_wants(orderer, now_ms)


def _take_in(orderer: Orderer, now_ms: int, read: EngineRead) -> Iterator:
    upstream = orderer.table.upstreams.get(read.upstream_id)
    if upstream is None:
        return
    told = {(held.model, "") for held in read.held}
    told |= {(h.model, name) for h in read.held for name in h.adapters}
    told |= set(read.coming)
    known = {(model, "") for model in upstream.models}
    known |= {(m, a) for m, names in upstream.models.items() for a in names}
    for key in told ^ known:
        held = key in told
        yield gateway.HoldingLearned(read.upstream_id, *key, held)


def _takes_place(order: Order) -> bool:
    """Tell whether an order may yet take, or still holds, a place."""
    return bool(order.what.adapter)


def _size_mb(engine: documents.EngineSpec, order: Order) -> float:
    """Return the memory that an order under way may take or not yet free."""
    model = engine.models.get(order.what.model)
    if model is None:
        return 0.0
    return model.adapter_mb if order.what.adapter else model.weights_mb


# Adapters.


def _bring_adapter(orderer, now_ms, engine, sites, want) -> Iterator:
    _, model, adapter, upstream_id = want
    if upstream_id:
        sites = [s for s in sites if s.upstream_id == upstream_id]
    if any((model, adapter) in site.coming for site in sites):
        return
    held = [s for s in sites if adapter in s.models.get(model, ())]
    if held:
        orderer.wanted.pop(want, None)
        yield gateway.HoldingLearned(held[0].upstream_id, model, adapter, True)
        return
    size_mb = engine.models[model].adapter_mb if model in engine.models else 0
    found = placement.adapter_home(
        model, size_mb, sites, orderer.demand, now_ms
    )
    if found is None:
        return
    site, victim = found
    upstream = orderer.table.upstreams[site.upstream_id]
    if victim is None:
        yield from _send(
            orderer, now_ms, upstream, True, model, adapter, engine
        )
    else:
        yield from _send(orderer, now_ms, upstream, False, *victim, engine)


# Models.


def _bring_model(orderer, now_ms, engine, sites, want) -> Iterator:
    _, model, _, _ = want
    if model not in engine.models:
        return
    if any((model, "") in site.coming for site in sites):
        return
    move = placement.make_room(
        engine, sites, model, orderer.demand, now_ms, is_urgent=True
    )
    yield from _carry_out(orderer, now_ms, engine, move)


def _carry_out(orderer, now_ms, engine, move) -> Iterator:
    if move is None:
        return
    if (
        move.load
        and not _has_copy(orderer, move.upstream_id, move.model)
        and not _ceiling_allows(orderer, engine, now_ms)
    ):
        return
    upstream = orderer.table.upstreams[move.upstream_id]
    yield from _send(
        orderer, now_ms, upstream, move.load, move.model, "", engine
    )


def _has_copy(orderer: Orderer, upstream_id: str, model: str) -> bool:
    upstream = orderer.table.upstreams.get(upstream_id)
    told = upstream is not None and model in upstream.last.copies
    return told or (upstream_id, model) in orderer.held_before


def _on_tick(orderer: Orderer, now_ms: int, _message) -> Iterator:
    yield from _settle(orderer, now_ms)
    if not _may_order(orderer, now_ms):
        return
    for service in orderer.doc.services.values() if orderer.doc else ():
        if service.engine is not None:
            yield from _read_engines(orderer, service, now_ms)
    yield from _serve_wants(orderer, now_ms)
    if now_ms - orderer.reviewed_ms >= REVIEW_MS:
        yield from _review(orderer, now_ms)


def _review(orderer: Orderer, now_ms: int) -> Iterator:
    """Add a copy of the most crowded model."""
    orderer.reviewed_ms = now_ms
    services = orderer.doc.services.values() if orderer.doc else ()
    for service in services:
        if service.engine is None:
            continue
        sites = list(_sites(orderer, service, now_ms))
        for site in sites:
            for model in site.models:
                orderer.held_before.add((site.upstream_id, model))
        placement.note_crowding(orderer.demand, sites)
        model = placement.most_crowded(service.engine, orderer.demand, sites)
        if model is not None:
            move = placement.make_room(
                service.engine,
                sites,
                model,
                orderer.demand,
                now_ms,
                is_urgent=False,
            )
            yield from _carry_out(orderer, now_ms, service.engine, move)


def _ceiling_allows(orderer, engine, now_ms: int) -> bool:
    oldest = now_ms - CEILING_WINDOW_MS
    orderer.loads_ms = [t for t in orderer.loads_ms if t >= oldest]
    most = engine.loads_per_s * CEILING_WINDOW_MS / 1000 * CEILING_SHARE
    return len(orderer.loads_ms) + 1 <= max(most, 1)


# Orders under way.


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
        orderer.views[upstream_id].order_count,
    )
    from_store = (
        load and not adapter and not _has_copy(orderer, upstream_id, model)
    )
    if from_store:
        orderer.loads_ms.append(now_ms)
    spec = engine.models.get(model)
    nominal_ms = int(1000 * spec.load_s) if spec is not None else 0
    slack = UNSURE_MS if adapter else LOAD_SLACK_MS
    orderer.orders[order_id] = Order(
        what, now_ms, now_ms + nominal_ms + slack, from_store
    )
    if load:
        weights = f"{model}/{adapter}" if adapter else model
        placement.note_use(orderer.demand, upstream_id, weights, now_ms)
    else:
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
    view = orderer.views.get(what.upstream_id)
    if view is not None and event == "unanswered":
        view.order_count = -1
        view.read_at_ms = now_ms + READ_AGAIN_MS
    elif view is not None and ended.answer == OrderAnswer.ACCEPTED:
        view.order_count += 1
    elif view is not None and ended.answer == OrderAnswer.DONE:
        # An order that holds already may or may not be counted.
        view.order_count = -1
        view.read_at_ms = now_ms
    elif view is not None and ended.answer == OrderAnswer.BUSY:
        view.order_count = -1
        view.read_at_ms = now_ms + BUSY_PAUSE_MS
    if event == "unanswered":
        order.expires_ms = now_ms + UNSURE_MS
    elif event == "accepted" and what.adapter:
        took_ms = ADAPTER_MS if what.load else ADAPTER_UNLOAD_MS
        order.expires_ms = now_ms + took_ms
    elif ended.answer == OrderAnswer.BUSY:
        orderer.paused_until[what.upstream_id] = now_ms + BUSY_PAUSE_MS
    yield from charting.fire(orderer.chart, order, event, now_ms, orderer)
    if event == "holding":
        yield from _tell_outcome(what)
    elif event == "refused" and not what.load:
        yield gateway.HoldingLearned(
            what.upstream_id, what.model, what.adapter, True
        )
    yield from _serve_wants(orderer, now_ms)


def _settle(orderer: Orderer, now_ms: int) -> Iterator:
    for order in list(orderer.orders.values()):
        what = order.what
        upstream = orderer.table.upstreams.get(what.upstream_id)
        if upstream is None:
            yield from _fire(orderer, order, "expired", now_ms)
        elif now_ms >= order.expires_ms:
            is_done = order.phase == "running" and what.adapter and what.load
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
    EngineRead: _on_engine_read,
    sharing.Report: _on_report,
    gateway.DocumentInForce: _on_document,
    gateway.Tick: _on_tick,
}
