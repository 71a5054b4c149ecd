"""Orders that load and unload the models of an engine.

Each model is a state machine of ``charts/order.yaml``. The placement in the
view lists the models to load. Each order carries a fencing token, a number
that increases from order to order and is derived from `Placement.fence`. An
engine can therefore refuse a delayed order as older than the orders that
followed it, and an order that was lost can be repeated.
"""

import dataclasses
import enum
from collections.abc import Iterator

from bilberryramp.decisions.shared import charting, errors, views
from bilberryramp.decisions.upstream import ledger

__all__ = [
    "BARRIER",
    "FENCING_TOKEN_STRIDE",
    "Adoption",
    "EngineOrder",
    "EngineReport",
    "ModelOrder",
    "OrderKind",
    "OrderOutcome",
    "Orders",
    "ResidencyChanged",
    "actions",
    "adoption_actions",
    "adoption_guards",
    "guards",
    "handle_timer",
    "is_resident",
    "new_orders",
    "reconcile",
    "record_answer",
    "record_engine_report",
    "record_idle",
    "resident_places",
]


# An order to unload this nonexistent model has only one effect: the engine
# receives a newer fencing token and refuses all older orders.
BARRIER = views.ReplicaPlace("", (), 0)


# Number of fencing tokens that are reserved for the orders of one placement.
FENCING_TOKEN_STRIDE = 1 << 20


class OrderKind(enum.StrEnum):
    """Operation of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.StrEnum):
    """Result of an order.

    After `REFUSED`, the engine did not carry out the order. After
    `UNANSWERED`, it may have done so or may still do so.
    """

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """Send an order to the engine.

    Attributes
    ----------
    kind
        Whether to load or to unload the model.
    fence
        Fencing token. It increases with each order, and from process to
        process, since the announcement of a process raises
        `Placement.fence`, from which it is derived.
    place
        The model with its accelerators, and its memory on each in MiB.
    """

    kind: OrderKind
    fence: int
    place: views.ReplicaPlace


@dataclasses.dataclass(slots=True, frozen=True)
class ResidencyChanged:
    """The set of models that accept requests has changed.

    An effect upon which the upstream process reports its models to control.
    """


@dataclasses.dataclass(slots=True)
class ModelOrder:
    """A model on the engine, a state machine of ``charts/order.yaml``.

    Attributes
    ----------
    orders
        The orders of the engine.
    place
        The model with its accelerators and memory.
    key, phase, timer
        State of the machine.
    unanswered
        Whether an order may have been carried out, or may still be,
        although no answer to it has arrived.
    """

    orders: "Orders"
    place: views.ReplicaPlace
    key: str
    phase: str
    timer: int = 0
    unanswered: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """State reported by an engine.

    Attributes
    ----------
    boot_id
        Id that the engine draws when it starts; a change of it shows a
        restart.
    resident_places
        The resident models with their accelerators and memory.
    requested_ms
        Monotonic time in milliseconds at which the report was requested.
    """

    boot_id: str
    resident_places: tuple[views.ReplicaPlace, ...]
    requested_ms: int


@dataclasses.dataclass(slots=True)
class Adoption:
    """Adoption of a running engine, a machine of ``charts/adoption.yaml``.

    An upstream process adopts the models that are resident on an engine that
    was running before the process started.

    Attributes
    ----------
    orders
        The orders of the engine.
    chart
        The bound chart ``adoption``.
    key, phase, timer
        State of the machine.
    reports_valid_from_ms
        Monotonic time in milliseconds from which no order of an earlier
        process can be carried out; reports requested before it are ignored.
    """

    orders: "Orders"
    chart: charting.Chart
    key: str = "adoption"
    phase: str = "unsettled"
    timer: int = 0
    reports_valid_from_ms: int = 0


@dataclasses.dataclass(slots=True)
class Orders:
    """State of one engine's orders.

    Attributes
    ----------
    chart
        The bound chart ``order``, of which each model is a machine.
    ledger
        Memory reservations on the engine's accelerators.
    fenced
        Whether the engine refuses an order with an old fencing token.
    adoption
        State machine of the engine's adoption. No memory is granted before
        it has reached the state "settled".
    boot_id
        Boot id of the engine; empty while it is unknown.
    placement
        The newest applied placement; None while there is none.
    orders_sent
        Number of orders sent since `placement.fence` last changed.
    last_answer_ms
        Monotonic time in milliseconds at which an order last ended; -1
        for never.
    models
        State machines by model name.
    running
        Number of running requests by model name.
    """

    chart: charting.Chart
    ledger: ledger.Ledger
    fenced: bool
    adoption: Adoption | None = None
    boot_id: str = ""
    placement: views.Placement | None = None
    orders_sent: int = 0
    last_answer_ms: int = -1
    models: dict[str, ModelOrder] = dataclasses.field(default_factory=dict)
    running: dict[str, int] = dataclasses.field(default_factory=dict)


class EngineMemoryExceededError(errors.BilberryError):
    """The models reported by an engine exceed its memory."""


def reconcile(
    orders: Orders, now_ms: int, placement: views.Placement | None
) -> Iterator:
    """Apply a placement, unless a newer one has already been applied.

    Parameters
    ----------
    orders
        Modified in place.
    now_ms
        Current time in milliseconds.
    placement
        Placement from the view; None or one with a lower
        `Placement.fence` than the applied one has no effect.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        Orders, changes and timers of models added or removed.
    """
    if placement is None or _is_outdated(orders, placement):
        return
    if orders.placement is None or orders.placement.fence < placement.fence:
        orders.orders_sent = 0
    orders.placement = placement
    if not orders.boot_id:
        return
    wanted = {place.model: place for place in placement.replicas}
    for model, machine in list(orders.models.items()):
        keep = wanted.get(model) == machine.place
        event = "wanted_again" if keep else "unwanted"
        yield from _fire(machine, event, now_ms)
    for model, place in wanted.items():
        if model not in orders.models:
            key = f"order/{model}"
            initial = orders.chart.spec.initial
            orders.models[model] = ModelOrder(orders, place, key, initial)
    yield from _grant_memory(orders, now_ms)


def new_orders(
    chart: charting.Chart,
    adoption_chart: charting.Chart,
    memory_ledger: ledger.Ledger,
    fenced: bool,
) -> Orders:
    """Create the state of an engine whose models are unknown.

    Parameters
    ----------
    chart, adoption_chart
        The bound charts ``order`` and ``adoption``.
    memory_ledger
        Ledger of the engine's accelerator memory.
    fenced
        Whether the engine refuses an order with an old fencing token.

    Returns
    -------
    Orders
        State without models and with an unsettled adoption.
    """
    orders = Orders(chart, memory_ledger, fenced)
    orders.adoption = Adoption(orders, adoption_chart)
    return orders


def record_engine_report(
    orders: Orders, now_ms: int, report: EngineReport
) -> Iterator:
    """Record the state that the engine reports.

    Parameters
    ----------
    orders
        Modified in place.
    now_ms
        Current time in milliseconds.
    report
        State of the engine.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        Orders of the adoption; after a restart of the engine, orders that
        load its models again.

    Raises
    ------
    EngineMemoryExceededError
        If the reported models exceed the memory.
    """
    if not orders.boot_id:
        orders.boot_id = report.boot_id
        yield from _adopt(orders, report.resident_places)
    elif report.boot_id != orders.boot_id:
        if report.requested_ms < orders.last_answer_ms:
            # The report predates the last answered order; await the next one.
            return
        orders.boot_id = report.boot_id
        yield from _handle_engine_restart(orders, now_ms, report)
    yield from _fire_adoption(orders, "report_received", now_ms, report)
    yield from reconcile(orders, now_ms, orders.placement)


def record_answer(
    orders: Orders, now_ms: int, order: EngineOrder, outcome: OrderOutcome
) -> Iterator:
    """Record the result of an order.

    Parameters
    ----------
    orders
        Modified in place.
    now_ms
        Current time in milliseconds.
    order, outcome
        The order and its result. A result has no effect if the model awaits
        none for an order of this kind, or is unknown.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        Effects of the charts' actions.
    """
    orders.last_answer_ms = now_ms
    if order.place == BARRIER:
        event = "confirmed" if outcome == OrderOutcome.CONFIRMED else "failed"
        yield from _fire_adoption(orders, event, now_ms, None)
        return
    machine = orders.models.get(order.place.model)
    if machine is None or _expected_kind(machine) != order.kind:
        return
    yield from _fire(machine, outcome.value, now_ms)
    yield from reconcile(orders, now_ms, orders.placement)


def record_idle(orders: Orders, now_ms: int, model: str) -> Iterator:
    """Fire the event "idle" of a model that has no running request.

    Parameters
    ----------
    orders
        Modified in place.
    now_ms
        Current time in milliseconds.
    model
        Name of the model.

    Yields
    ------
    EngineOrder, SetTimer
        The order to unload, if the model is idle and retiring.
    """
    machine = orders.models.get(model)
    if machine is not None and not orders.running.get(model):
        yield from _fire(machine, "idle", now_ms)


def handle_timer(
    orders: Orders, now_ms: int, key: str, token: int
) -> Iterator:
    """Handle a timer of a model's order or of the adoption.

    Parameters
    ----------
    orders
        Modified in place.
    now_ms
        Current time in milliseconds.
    key, token
        Key and token of the `SetTimer` that came due.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        Effects of the charts' actions.
    """
    adoption = orders.adoption
    machine = orders.models.get(key.partition("/")[2])
    if key == adoption.key:
        chart = adoption.chart
        yield from charting.fire_timer(chart, adoption, token, now_ms)
    elif machine is not None:
        chart = orders.chart
        yield from charting.fire_timer(chart, machine, token, now_ms)
        yield from reconcile(orders, now_ms, orders.placement)


def is_resident(orders: Orders, model: str) -> bool:
    """Return whether a model accepts requests."""
    machine = orders.models.get(model)
    return machine is not None and machine.phase == "resident"


def resident_places(orders: Orders) -> tuple[views.ReplicaPlace, ...]:
    """List the replicas that accept requests, in order of their models."""
    return tuple(
        orders.models[model].place
        for model in sorted(orders.models)
        if is_resident(orders, model)
    )


def _is_outdated(orders: Orders, placement: views.Placement) -> bool:
    applied = orders.placement
    return applied is not None and placement.fence < applied.fence


_LOADING_PHASES = frozenset(("loading",))
_UNLOADING_PHASES = frozenset(("unloading", "unloading_again"))


def _expected_kind(machine: ModelOrder) -> OrderKind | None:
    """Return the kind of order that a model awaits a result of, if any."""
    if machine.phase in _LOADING_PHASES:
        return OrderKind.LOAD
    if machine.phase in _UNLOADING_PHASES:
        return OrderKind.UNLOAD
    return None


def _handle_engine_restart(orders: Orders, now_ms: int, report) -> Iterator:
    """Load the models that the engine lacks after a restart.

    Orders sent before the restart was detected may have reached the
    restarted engine or may still reach it, so a later refusal does not
    prove that its model is not loaded.
    """
    for machine in list(orders.models.values()):
        machine.unanswered = True
        if machine.place not in report.resident_places:
            yield from _fire(machine, "engine_restarted", now_ms)
    yield from _fire_adoption(orders, "engine_restarted", now_ms, None)


def _adopt(orders: Orders, places) -> Iterator:
    """Record the reported models as resident and reserve their memory."""
    for place in places:
        if place.model in orders.models:
            continue
        if not ledger.reserve(orders.ledger, place):
            raise EngineMemoryExceededError(
                f"the engine reports {place.model!r} resident, but its "
                f"{place.memory_mib} MiB on accelerators "
                f"{place.accelerators} are not free"
            )
        key = f"order/{place.model}"
        machine = ModelOrder(orders, place, key, "resident")
        orders.models[place.model] = machine
    yield ResidencyChanged()


def _is_adoption_settled(orders: Orders) -> bool:
    adoption = orders.adoption
    return adoption.chart.spec.states[adoption.phase].final


def _grant_memory(orders: Orders, now_ms: int) -> Iterator:
    """Load each wanted model whose memory can be reserved."""
    if not _is_adoption_settled(orders):
        return
    for machine in list(orders.models.values()):
        waiting = machine.phase == "wanted"
        if waiting and ledger.reserve(orders.ledger, machine.place):
            yield from _fire(machine, "memory_granted", now_ms)


def _fire(machine: ModelOrder, event: str, now_ms: int) -> Iterator:
    chart = machine.orders.chart
    yield from charting.fire(chart, machine, event, now_ms, None)
    if chart.spec.states[machine.phase].final:
        machine.orders.models.pop(machine.place.model, None)


def _fire_adoption(orders: Orders, event: str, now_ms: int, payload):
    adoption = orders.adoption
    yield from charting.fire(adoption.chart, adoption, event, now_ms, payload)


def _next_fencing_token(orders: Orders) -> int:
    orders.orders_sent += 1
    return orders.placement.fence * FENCING_TOKEN_STRIDE + orders.orders_sent


def _send_barrier(adoption: Adoption, _now_ms: int, _payload) -> Iterator:
    fence = _next_fencing_token(adoption.orders)
    yield EngineOrder(OrderKind.UNLOAD, fence, BARRIER)


def _set_reports_valid_from(
    adoption: Adoption, now_ms: int, _payload
) -> Iterator:
    adoption.reports_valid_from_ms = now_ms
    yield from ()


def _adopt_resident(adoption: Adoption, _now_ms: int, report) -> Iterator:
    yield from _adopt(adoption.orders, report.resident_places)


def _can_fence(adoption: Adoption, _payload) -> bool:
    return adoption.orders.fenced and adoption.orders.placement is not None


def _ignores_fencing(adoption: Adoption, _payload) -> bool:
    return not adoption.orders.fenced


def _is_report_current(adoption: Adoption, report: EngineReport) -> bool:
    return report.requested_ms >= adoption.reports_valid_from_ms


def _send(kind: OrderKind):
    def action(machine: ModelOrder, _now_ms: int, _payload) -> Iterator:
        fence = _next_fencing_token(machine.orders)
        yield EngineOrder(kind, fence, machine.place)

    return action


def _release_memory(machine: ModelOrder, _now_ms: int, _payload) -> Iterator:
    ledger.release(machine.orders.ledger, machine.place.model)
    yield from ()


def _report_residency(_machine, _now_ms: int, _payload) -> Iterator:
    yield ResidencyChanged()


def _record_unanswered(
    machine: ModelOrder, _now_ms: int, _payload
) -> Iterator:
    machine.unanswered = True
    yield from ()


def _check_idle(machine: ModelOrder, now_ms: int, _payload) -> Iterator:
    yield from record_idle(machine.orders, now_ms, machine.place.model)


def _request_memory(machine: ModelOrder, now_ms: int, _payload) -> Iterator:
    yield from _grant_memory(machine.orders, now_ms)


def _late_order_possible(machine: ModelOrder, _payload) -> bool:
    """Return whether a load may reach the engine after the unload."""
    return machine.unanswered and not machine.orders.fenced


def _may_be_loaded(machine: ModelOrder, _payload) -> bool:
    """Return whether an earlier order may have loaded the model."""
    return machine.unanswered


def _is_placed(machine: ModelOrder, _payload) -> bool:
    placement = machine.orders.placement
    return placement is not None and machine.place in placement.replicas


adoption_guards = {
    "can_fence": _can_fence,
    "ignores_fencing": _ignores_fencing,
    "is_report_current": _is_report_current,
}
adoption_actions = {
    "send_barrier": _send_barrier,
    "set_reports_valid_from": _set_reports_valid_from,
    "adopt_resident": _adopt_resident,
}
guards = {
    "late_order_possible": _late_order_possible,
    "is_placed": _is_placed,
    "may_be_loaded": _may_be_loaded,
}
actions = {
    "send_load": _send(OrderKind.LOAD),
    "send_unload": _send(OrderKind.UNLOAD),
    "release_memory": _release_memory,
    "report_residency": _report_residency,
    "record_unanswered": _record_unanswered,
    "check_idle": _check_idle,
    "request_memory": _request_memory,
}
