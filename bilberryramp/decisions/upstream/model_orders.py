"""Which models an engine holds, and the orders that change it.

Each model follows ``charts/order.yaml``. What is wanted comes from the
placement in the view, whose log index is the fencing number, so a lost or
late order is repeated or refused and never mistaken for a newer one.
"""

import dataclasses
import enum
from collections.abc import Iterator

from bilberryramp.decisions.shared import charting, errors, views
from bilberryramp.decisions.upstream import ledger

__all__ = [
    "EngineOrder",
    "Adoption",
    "BARRIER",
    "EngineReport",
    "ModelOrder",
    "ORDERS_PER_FENCE",
    "OrderKind",
    "OrderOutcome",
    "Orders",
    "ResidencyChanged",
    "actions",
    "adoption_actions",
    "adoption_guards",
    "guards",
    "is_resident",
    "new_orders",
    "note_answer",
    "note_engine",
    "stop_if_idle",
    "note_timer",
    "reconcile",
    "resident_places",
]


# Unloading a model that no engine holds changes nothing but the engine's
# newest fencing number.
BARRIER = views.ReplicaPlace("", (), 0)


ORDERS_PER_FENCE = 1 << 20


class OrderKind(enum.StrEnum):
    """What an engine is told to do with a model."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.StrEnum):
    """How an order ended, as far as is known."""

    CONFIRMED = "confirmed"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """Send an order to the engine.

    Attributes
    ----------
    fence
        Fencing number: grows with each order, and with each process,
        since a process that announces itself raises its placement's fence.
    place
        The model with its accelerators and memory.
    """

    kind: OrderKind
    fence: int
    place: views.ReplicaPlace


@dataclasses.dataclass(slots=True, frozen=True)
class ResidencyChanged:
    """The set of models that may take requests has changed."""


@dataclasses.dataclass(slots=True)
class ModelOrder:
    """One model; `key`, `phase`, `timer` are its machine's."""

    orders: "Orders"
    place: views.ReplicaPlace
    key: str
    phase: str
    timer: int = 0
    unanswered: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """What an engine said of itself.

    Attributes
    ----------
    boot_id
        Changes when the engine restarts.
    held
        A `views.ReplicaPlace` for each model it holds.
    asked_ms
        When it was asked, on the process's clock.
    """

    boot_id: str
    held: tuple[views.ReplicaPlace, ...]
    asked_ms: int


@dataclasses.dataclass(slots=True)
class Adoption:
    """Machine of the first contact with a running engine.

    Attributes
    ----------
    known_ms
        From when on no order of an earlier process can arrive.
    """

    orders: "Orders"
    chart: charting.Chart
    key: str = "adoption"
    phase: str = "unsettled"
    timer: int = 0
    known_ms: int = 0


@dataclasses.dataclass(slots=True)
class Orders:
    """State of one engine's orders.

    Attributes
    ----------
    adoption
        No memory is granted until it has settled.
    fenced
        Whether the engine refuses an order with an old fencing number.
    boot_id
        Changes when the engine restarts; empty while it is not known.
    placement
        The newest one followed; None until one is known.
    sent
        Orders sent under the placement's fence.
    answered_ms
        When an order was last answered, on the process's clock.
    running
        Requests running by model.
    """

    chart: charting.Chart
    ledger: ledger.Ledger
    fenced: bool
    adoption: Adoption | None = None
    boot_id: str = ""
    placement: views.Placement | None = None
    sent: int = 0
    answered_ms: int = -1
    models: dict[str, ModelOrder] = dataclasses.field(default_factory=dict)
    running: dict[str, int] = dataclasses.field(default_factory=dict)


class EngineHoldsMoreError(errors.BilberryError):
    """An engine reports models that its memory cannot hold."""


def reconcile(
    orders: Orders, now_ms: int, placement: views.Placement | None
) -> Iterator:
    """Follow a placement, unless a newer one was followed already.

    Parameters
    ----------
    orders
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    placement
        From the view; None or one with an older fence changes nothing.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        What follows from it.
    """
    if placement is None or _is_outdated(orders, placement):
        return
    if orders.placement is None or orders.placement.fence < placement.fence:
        orders.sent = 0
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
    granted: ledger.Ledger,
    fenced: bool,
) -> Orders:
    """Start with an engine of which nothing is known.

    Parameters
    ----------
    chart, adoption_chart
        The bound charts ``order`` and ``adoption``.
    granted
        The ledger of the engine's memory.
    fenced
        Whether the engine refuses old fencing numbers.

    Returns
    -------
    Orders
        Without models.
    """
    orders = Orders(chart, granted, fenced)
    orders.adoption = Adoption(orders, adoption_chart)
    return orders


def note_engine(orders: Orders, now_ms: int, report: EngineReport) -> Iterator:
    """Take in what the engine says it holds.

    Parameters
    ----------
    orders
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    report
        What it said.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        What follows; models of an earlier boot are loaded anew.

    Raises
    ------
    EngineHoldsMoreError
        When what it holds exceeds its memory.
    """
    if not orders.boot_id:
        orders.boot_id = report.boot_id
        yield from _adopt(orders, report.held)
    elif report.boot_id != orders.boot_id:
        if report.asked_ms < orders.answered_ms:
            # An order was carried out since; the next report shows it.
            return
        orders.boot_id = report.boot_id
        yield from _forget_boot(orders, now_ms, report)
    yield from _fire_adoption(orders, "found", now_ms, report)
    yield from reconcile(orders, now_ms, orders.placement)


def note_answer(
    orders: Orders, now_ms: int, order: EngineOrder, outcome: OrderOutcome
) -> Iterator:
    """Take in how an order ended.

    Parameters
    ----------
    orders
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    order, outcome
        The order and its end.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        What follows from it.
    """
    orders.answered_ms = now_ms
    if order.place == BARRIER:
        event = "confirmed" if outcome == OrderOutcome.CONFIRMED else "failed"
        yield from _fire_adoption(orders, event, now_ms, None)
        return
    machine = orders.models.get(order.place.model)
    if machine is None or _expected_kind(machine) != order.kind:
        return
    yield from _fire(machine, outcome.value, now_ms)
    yield from reconcile(orders, now_ms, orders.placement)


def stop_if_idle(orders: Orders, now_ms: int, model: str) -> Iterator:
    """Tell that no request of a model runs any more.

    Parameters
    ----------
    orders
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    model
        The model's name.

    Yields
    ------
    EngineOrder, SetTimer
        The unload, when the model is retiring.
    """
    machine = orders.models.get(model)
    if machine is not None and not orders.running.get(model):
        yield from _fire(machine, "idle", now_ms)


def note_timer(orders: Orders, now_ms: int, key: str, token: int) -> Iterator:
    """Handle a timer of a model's machine.

    Parameters
    ----------
    orders
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    key, token
        From the `SetTimer`.

    Yields
    ------
    EngineOrder, ResidencyChanged, SetTimer
        What follows from it.
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
    """Tell whether a model may take requests."""
    machine = orders.models.get(model)
    return machine is not None and machine.phase == "resident"


def resident_places(orders: Orders) -> tuple[views.ReplicaPlace, ...]:
    """List the replicas that may take requests, in order of their models."""
    return tuple(
        orders.models[model].place
        for model in sorted(orders.models)
        if is_resident(orders, model)
    )


def _is_outdated(orders: Orders, placement: views.Placement) -> bool:
    known = orders.placement
    return known is not None and placement.fence < known.fence


_LOADING_PHASES = frozenset(("loading",))
_UNLOADING_PHASES = frozenset(("unloading", "unloading_again"))


def _expected_kind(machine: ModelOrder) -> OrderKind | None:
    if machine.phase in _LOADING_PHASES:
        return OrderKind.LOAD
    if machine.phase in _UNLOADING_PHASES:
        return OrderKind.UNLOAD
    return None


def _forget_boot(orders: Orders, now_ms: int, report) -> Iterator:
    """Load anew what the new boot lacks.

    Orders sent before the restart was noticed may have reached the new
    boot or may still, so no refusal is taken as proof for now.
    """
    for machine in list(orders.models.values()):
        machine.unanswered = True
        if machine.place not in report.held:
            yield from _fire(machine, "engine_restarted", now_ms)
    yield from _fire_adoption(orders, "rebooted", now_ms, None)


def _adopt(orders: Orders, held) -> Iterator:
    for place in held:
        if place.model in orders.models:
            continue
        if not ledger.reserve(orders.ledger, place):
            raise EngineHoldsMoreError(place.model)
        key = f"order/{place.model}"
        machine = ModelOrder(orders, place, key, "resident")
        orders.models[place.model] = machine
    yield ResidencyChanged()


def _is_settled(orders: Orders) -> bool:
    adoption = orders.adoption
    return adoption.chart.spec.states[adoption.phase].final


def _grant_memory(orders: Orders, now_ms: int) -> Iterator:
    if not _is_settled(orders):
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


def _next_fence(orders: Orders) -> int:
    orders.sent += 1
    return orders.placement.fence * ORDERS_PER_FENCE + orders.sent


def _send_barrier(adoption: Adoption, _now_ms: int, _payload) -> Iterator:
    fence = _next_fence(adoption.orders)
    yield EngineOrder(OrderKind.UNLOAD, fence, BARRIER)


def _note_time(adoption: Adoption, now_ms: int, _payload) -> Iterator:
    adoption.known_ms = now_ms
    yield from ()


def _adopt_held(adoption: Adoption, _now_ms: int, report) -> Iterator:
    yield from _adopt(adoption.orders, report.held)


def _can_fence(adoption: Adoption, _payload) -> bool:
    return adoption.orders.fenced and adoption.orders.placement is not None


def _ignores_fencing(adoption: Adoption, _payload) -> bool:
    return not adoption.orders.fenced


def _read_since(adoption: Adoption, report: EngineReport) -> bool:
    return report.asked_ms >= adoption.known_ms


def _send(kind: OrderKind):
    def action(machine: ModelOrder, _now_ms: int, _payload) -> Iterator:
        fence = _next_fence(machine.orders)
        yield EngineOrder(kind, fence, machine.place)

    return action


def _release_memory(machine: ModelOrder, _now_ms: int, _payload) -> Iterator:
    ledger.release(machine.orders.ledger, machine.place.model)
    yield from ()


def _report(_machine, _now_ms: int, _payload) -> Iterator:
    yield ResidencyChanged()


def _note_unanswered(machine: ModelOrder, _now_ms: int, _payload) -> Iterator:
    machine.unanswered = True
    yield from ()


def _check_idle(machine: ModelOrder, now_ms: int, _payload) -> Iterator:
    yield from stop_if_idle(machine.orders, now_ms, machine.place.model)


def _seek_memory(machine: ModelOrder, now_ms: int, _payload) -> Iterator:
    yield from _grant_memory(machine.orders, now_ms)


def _late_order_possible(machine: ModelOrder, _payload) -> bool:
    return machine.unanswered and not machine.orders.fenced


def _may_be_loaded(machine: ModelOrder, _payload) -> bool:
    """Tell whether an earlier try may have been carried out."""
    return machine.unanswered


def _is_placed(machine: ModelOrder, _payload) -> bool:
    placement = machine.orders.placement
    return placement is not None and machine.place in placement.replicas


adoption_guards = {
    "can_fence": _can_fence,
    "ignores_fencing": _ignores_fencing,
    "read_since": _read_since,
}
adoption_actions = {
    "send_barrier": _send_barrier,
    "note_time": _note_time,
    "adopt_held": _adopt_held,
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
    "report": _report,
    "note_unanswered": _note_unanswered,
    "check_idle": _check_idle,
    "seek_memory": _seek_memory,
}
