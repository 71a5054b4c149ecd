"""Simulate holders of engines on the nodes of a simulated register.

Each node of a `register_driver.Cluster` has a holder, whose messages are
delivered between the steps of the register. Simulated engines check that two
holders never order the same engine within the order lease.
"""

import dataclasses

from bilberryramp.decisions.fleet.core import documents, presence
from bilberryramp.decisions.fleet.orders import agent, order_holders
from bilberryramp.decisions.fleet.register import register
from bilberryramp.decisions.fleet.tests import builders, register_driver

LEASE_MS = 3000
STEP_MS = 50
ENGINE_IDS = tuple(f"u{number}" for number in range(12))
MODELS = ("m0", "m1", "m2", "m3")
# All models and the adapters fit into an engine, whose slots are scarce.
MODEL_MB, ADAPTER_MB = 45_000.0, 40.0
CAPACITY = documents.EngineCapacity(
    200_000.0,
    4,
    dict.fromkeys(MODELS, MODEL_MB),
    dict.fromkeys(MODELS, ADAPTER_MB),
)


@dataclasses.dataclass(slots=True)
class SimulatedEngine:
    """An engine that carries out each order when it accepts it.

    Attributes
    ----------
    order_count, highest_fence
        Number of accepted orders, and highest token seen.
    resident
        Adapters by resident model.
    last_holder, last_order_ms
        Node that sent the last order, and when it arrived.
    """

    order_count: int = 0
    highest_fence: int = -1
    resident: dict = dataclasses.field(default_factory=lambda: {"m0": set()})
    last_holder: str = ""
    last_order_ms: int = -(10**9)


@dataclasses.dataclass(slots=True)
class Fleet:
    """Simulated nodes, engines and calls to the engines.

    Attributes
    ----------
    cluster
        Nodes with their registers.
    holders
        Holder of each running node with the incarnation of its process.
    engines
        Engines by id.
    calls
        Calls on their way: time of arrival, node, incarnation and call.
    frozen
        Nodes whose process does not run for now.
    orders
        Every order that an engine received: time, node and engine.
    """

    cluster: register_driver.Cluster
    holders: dict = dataclasses.field(default_factory=dict)
    engines: dict = dataclasses.field(
        default_factory=lambda: {i: SimulatedEngine() for i in ENGINE_IDS}
    )
    calls: list = dataclasses.field(default_factory=list)
    frozen: set = dataclasses.field(default_factory=set)
    orders: list = dataclasses.field(default_factory=list)


def make_fleet(seed, durable_count=3, memory_only_count=4) -> Fleet:
    cluster = register_driver.make_cluster(
        seed, durable_count, memory_only_count
    )
    fleet = Fleet(cluster)
    for name in cluster.instances:
        _adopt_process(fleet, name)
    return fleet


def start(fleet: Fleet, name) -> None:
    """Start the process of a node whose process is stopped."""
    register_driver.start(fleet.cluster, name)
    _adopt_process(fleet, name)


def _adopt_process(fleet: Fleet, name) -> None:
    instance = fleet.cluster.instances[name]
    instance.node.chooses_holders = True
    instance.node.process_number = instance.incarnation
    chart = builders.bind_chart("engine_order", agent)
    holder = order_holders.new_holder(name, chart, LEASE_MS)
    holder.standing = instance.node.standing
    fleet.holders[name] = (instance.incarnation, holder)


def run(fleet: Fleet, duration_ms: int) -> None:
    """Advance the simulation, with requests for every engine throughout."""
    end_ms = fleet.cluster.now_ms + duration_ms
    while fleet.cluster.now_ms < end_ms:
        register_driver.run(fleet.cluster, STEP_MS)
        for name in register_driver.running(fleet.cluster):
            if name not in fleet.frozen:
                _step_node(fleet, name)
        _deliver_calls(fleet)


def _step_node(fleet: Fleet, name) -> None:
    cluster = fleet.cluster
    instance = cluster.instances[name]
    incarnation, holder = fleet.holders[name]
    if incarnation != instance.incarnation:
        return
    now_ms = cluster.now_ms
    messages = [register.standing(instance.node, now_ms)]
    messages += [
        order_holders.EngineSeen(make_announcement(i, fleet.engines[i]))
        for i in ENGINE_IDS
    ]
    messages += [_make_request(fleet, name, i) for i in ENGINE_IDS]
    messages.append(order_holders.Tick())
    for message in messages:
        _step_holder(fleet, name, holder, message)


def _step_holder(fleet: Fleet, name, holder, message) -> None:
    cluster = fleet.cluster
    incarnation = cluster.instances[name].incarnation
    for effect in order_holders.step(holder, cluster.now_ms, message):
        if isinstance(effect, order_holders.EngineCall):
            delay_ms = cluster.rng.choice((1, 5, 40, 200))
            due_ms = cluster.now_ms + delay_ms
            fleet.calls.append((due_ms, name, incarnation, effect))


def _make_request(fleet: Fleet, name, upstream_id):
    """Ask for an adapter that is not resident, or for a missing model."""
    engine = fleet.engines[upstream_id]
    model = fleet.cluster.rng.choice(MODELS)
    if model not in engine.resident:
        return agent.ResidencyRequest(
            name, upstream_id, True, model, "", MODEL_MB, CAPACITY
        )
    adapter = fleet.cluster.rng.choice(("a1", "a2", "a3", "a4", "a5", "a6"))
    spare = tuple(
        (held, a) for held, names in engine.resident.items() for a in names
    )
    return agent.ResidencyRequest(
        name, upstream_id, True, model, adapter, ADAPTER_MB, CAPACITY, spare
    )


def make_announcement(upstream_id, engine: SimulatedEngine):
    held = tuple(
        presence.ResidentModel(model, 1, tuple(sorted(adapters)))
        for model, adapters in engine.resident.items()
    )
    return presence.Announcement(
        upstream_id, "engines", "10.0.0.9:80", "", 64, 1, 1,
        False, False, -1, held,
    )  # fmt: skip


def _deliver_calls(fleet: Fleet) -> None:
    now_ms = fleet.cluster.now_ms
    due = [call for call in fleet.calls if call[0] <= now_ms]
    fleet.calls = [call for call in fleet.calls if call[0] > now_ms]
    for _, name, incarnation, call in due:
        engine = fleet.engines[call.upstream_id]
        if isinstance(call.call, agent.ReadEngine):
            answer = make_report(engine)
        else:
            answer = agent.OrderEnded(_accept(fleet, engine, name, call.call))
        is_same = fleet.cluster.instances[name].incarnation == incarnation
        is_lost = fleet.cluster.rng.random() < 0.02
        if is_lost and isinstance(answer, agent.OrderEnded):
            answer = agent.OrderEnded(agent.OrderAnswer.NONE)
        if is_same and name not in fleet.frozen:
            message = order_holders.EngineMessage(call.upstream_id, 1, answer)
            _step_holder(fleet, name, fleet.holders[name][1], message)


def make_report(engine: SimulatedEngine) -> agent.EngineReport:
    held = tuple(
        presence.ResidentModel(model, 1, tuple(sorted(adapters)))
        for model, adapters in engine.resident.items()
    )
    return agent.EngineReport(engine.order_count, held)


def _accept(fleet: Fleet, engine: SimulatedEngine, name, order) -> str:
    """Carry out an order, and check who sent the one before it."""
    now_ms = fleet.cluster.now_ms
    if order.fence < engine.highest_fence:
        return agent.OrderAnswer.FENCED
    fleet.orders.append((now_ms, name, order.upstream_id))
    is_turn = engine.last_holder not in ("", name)
    if is_turn and now_ms - engine.last_order_ms < LEASE_MS:
        raise register_driver.InvariantViolationError(
            f"{name} ordered {order.upstream_id} "
            f"{now_ms - engine.last_order_ms} ms after {engine.last_holder}"
        )
    engine.highest_fence = order.fence
    engine.last_holder, engine.last_order_ms = name, now_ms
    if order.expected_count != engine.order_count:
        return agent.OrderAnswer.BUSY
    engine.order_count += 1
    if not order.adapter:
        if order.load:
            engine.resident[order.model] = set()
        else:
            engine.resident.pop(order.model, None)
        return agent.OrderAnswer.ACCEPTED
    adapters = engine.resident.setdefault(order.model, set())
    if order.load:
        adapters.add(order.adapter)
    else:
        adapters.discard(order.adapter)
    used = sum(len(names) for names in engine.resident.values())
    if used > CAPACITY.adapter_slots:
        raise register_driver.InvariantViolationError(
            f"{order.upstream_id} was ordered to load {used} adapters"
        )
    return agent.OrderAnswer.ACCEPTED if order.load else agent.OrderAnswer.DONE


def longest_pause_ms(fleet: Fleet, upstream_id, from_ms, to_ms) -> int:
    """Return the longest time without an order to an engine."""
    times = [
        now_ms
        for now_ms, _, ordered_id in fleet.orders
        if ordered_id == upstream_id and from_ms <= now_ms <= to_ms
    ]
    edges = [from_ms, *times, to_ms]
    return max(b - a for a, b in zip(edges, edges[1:], strict=False))
