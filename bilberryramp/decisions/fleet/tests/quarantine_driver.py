"""Simulated fleet in virtual time for tests of the quarantine.

Real gateways and coordinators exchange encoded messages with delays. Plain and
model engines run requests, end under fatal ones, crash, restart and send
heartbeats; nodes restart, are suspended, lose their links and take over the
leadership. A model engine reads a prompt and then ends under a deadly part of
it, or answers.
"""

import dataclasses
import heapq
import itertools
import random

import msgspec

from bilberryramp.decisions.fleet.core import calls, presence
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.limits import retry_budget
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_state,
    quarantine_coordinator,
    suspect_memory,
    suspect_publications,
    suspects,
    upstream_ends,
)
from bilberryramp.decisions.fleet.routing import health, upstream_pauses
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.shared import effects, pauses, quarantine
from bilberryramp.wire import fleet_codec

HEARTBEAT_MS = 400
TICK_MS = 50
RUN_MS = 90
START_MS = 100_000
# Bounds of the delay of a message, and of the time until an engine is back.
DELAY_MS = (1, 6)
RESTART_MS = (1200, 3000)
# Bounds of the time in which a model engine reads a prompt, and answers it.
READ_MS = (20, 400)
ANSWER_MS = (200, 4000)
# Time after which an attempt at an engine that is dark breaks off.
DARK_MS = 2000
# Bounds of the time until a write to a disk is durable.
WRITE_MS = (2, 60)
# Time after a disturbance for which a node is not held to the bound.
STABLE_WINDOW_MS = 3000

EXCHANGE = builders.bind_chart("exchange", gateway_state)
HEALTH = builders.bind_chart("upstream_health", health)
PAUSE = builders.bind_chart("upstream_pause", pauses)
SUSPECT = builders.bind_chart("suspect", quarantine)


@dataclasses.dataclass(slots=True)
class Node:
    """A node: its gateway, its coordinator, and what happens to it.

    `disturbed_ms` is when it was last restarted, suspended or cut off. `disk`
    is what its disk holds; None without a disk.
    """

    address: str
    gw: gateway_state.Gateway
    coord: coordinator_state.Coordinator
    is_cut: bool = False
    thaw_ms: int = 0
    boot: int = 0
    disturbed_ms: int = -(10**9)
    disk: bytes | None = None


@dataclasses.dataclass(slots=True)
class Engine:
    """A place for engines, one process after the other."""

    name: str
    domain: str
    boot: int = 0
    born_ms: int = 0
    seq: int = 0
    is_up: bool = False
    is_dark: bool = False
    has_models: bool = False
    runs: dict = dataclasses.field(default_factory=dict)

    @property
    def upstream_id(self):
        return f"{self.name}-{self.boot}"


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller, and what became of it.

    `fatal_name` names its fingerprint or part that ends engines, if any;
    `engines` counts the engines that began to run it.
    """

    fingerprint: str
    fatal_name: str
    node: str
    sent_ms: int
    parts: tuple = ()
    outcome: str = ""
    engines: int = 0

    @property
    def is_fatal(self):
        return bool(self.fatal_name)


@dataclasses.dataclass(slots=True)
class Fleet:
    """The simulated fleet, its clock and its observations.

    `arrivals` holds time, fatal name, node and whether the node was in touch
    for each arrival of a fatal request at a running engine, and `crashes` the
    time and the fatal name of each engine that one ended. Requests with a part
    in `deadly_parts` are fatal.
    """

    rng: random.Random
    now_ms: int = START_MS
    nodes: dict = dataclasses.field(default_factory=dict)
    engines: dict = dataclasses.field(default_factory=dict)
    leader: str = ""
    events: list = dataclasses.field(default_factory=list)
    order: itertools.count = dataclasses.field(default_factory=itertools.count)
    requests: dict = dataclasses.field(default_factory=dict)
    arrivals: list = dataclasses.field(default_factory=list)
    crashes: list = dataclasses.field(default_factory=list)
    deadly_parts: set = dataclasses.field(default_factory=set)
    messages: int = 0
    leader_changed_ms: int = -(10**9)


def make_fleet(
    seed, node_count=5, engine_count=6, model_engine_count=0, disk_count=0
):
    """Build a fleet whose engines are up and whose leader is known.

    The first `disk_count` nodes have a disk.
    """
    fleet = Fleet(random.Random(seed))
    for number in range(node_count):
        address = f"n{number}:1"
        fleet.nodes[address] = node = _make_node(fleet, address)
        node.disk = b"" if number < disk_count else None
    names = [(f"p{number}", False) for number in range(engine_count)]
    names += [(f"m{number}", True) for number in range(model_engine_count)]
    for number, (name, has_models) in enumerate(names):
        engine = Engine(name, f"d{number % 3}", has_models=has_models)
        fleet.engines[engine.name] = engine
        start_engine(fleet, engine)
        at(fleet, fleet.rng.randrange(HEARTBEAT_MS), _beat, fleet, engine)
    for node in fleet.nodes.values():
        at(fleet, fleet.rng.randrange(TICK_MS), _tick, fleet, node)
    change_leader(fleet, "n0:1")
    run(fleet, 1500)
    return fleet


def _make_node(fleet, address):
    table = presence.Table(HEARTBEAT_MS)
    gw = gateway_state.Gateway(
        address,
        EXCHANGE,
        HEALTH,
        random.Random(fleet.rng.random()),
        table,
        retry_budget.Limits(0.2, 60.0, 10_000),
        upstream_pauses.Pauses(PAUSE),
        retry_share=builders.make_share(),
    )
    for _ in gateway.step(
        gw, fleet.now_ms, gateway.DocumentInForce(builders.make_document())
    ):
        pass
    numbers = fleet.rng.getrandbits(30), fleet.rng.getrandbits(30)
    coord = coordinator_state.Coordinator(
        address, SUSPECT, table, *numbers, node_count=5
    )
    return Node(address, gw, coord)


# Virtual time.


def at(fleet, delay_ms, function, *args):
    """Call a function after a delay."""
    item = (fleet.now_ms + delay_ms, next(fleet.order), function, args)
    heapq.heappush(fleet.events, item)


def run(fleet, duration_ms):
    """Advance the clock."""
    end_ms = fleet.now_ms + duration_ms
    while fleet.events and fleet.events[0][0] <= end_ms:
        fleet.now_ms, _, function, args = heapq.heappop(fleet.events)
        function(*args)
    fleet.now_ms = end_ms


def _delay(fleet):
    return fleet.rng.randint(*DELAY_MS)


# Nodes.


def _deliver(fleet, node, boot, message):
    """Let a node handle a message, once it is no longer suspended."""
    if node.boot != boot:
        return
    if node.thaw_ms > fleet.now_ms:
        delay_ms = node.thaw_ms - fleet.now_ms
        at(fleet, delay_ms, _deliver, fleet, node, boot, message)
        return
    to_coordinator = type(message).__name__ in (
        "KnownSuspects",
        "LiftSuspect",
        "ListRequest",
        "LossReport",
        "RunReport",
        "TrialEnded",
        "TrialRequest",
    )
    if to_coordinator:
        produced = quarantine_coordinator.step(
            node.coord, fleet.now_ms, message
        )
    elif isinstance(message, presence.Keepalive):
        presence.record_keepalive(node.gw.table, message, fleet.now_ms)
        return
    else:
        produced = gateway.step(node.gw, fleet.now_ms, message)
    _perform_all(fleet, node, produced)


def _perform_all(fleet, node, produced):
    for effect in produced:
        match effect:
            case calls.SendCall():
                _send_call(fleet, node, effect)
            case calls.Refuse():
                _finish(fleet, node, effect.call_id, effect.reason.value)
            case calls.Fail() | calls.ForwardFailure():
                _finish(fleet, node, effect.call_id, "failed")
            case calls.Recall():
                _recall(fleet, node, effect.call_id)
            case suspects.ToCoordinator():
                address = node.gw.suspect_state.coordinator
                send(fleet, node, address, effect.message)
            case effects.Send():
                send(fleet, node, effect.to, effect.message)
            case coordinator_state.Publish():
                for address in fleet.nodes:
                    send(fleet, node, address, effect.message)
            case coordinator_state.GatheredLosses():
                at(fleet, 0, _deliver, fleet, node, node.boot, effect)
            case suspect_memory.KeepSuspects():
                if node.disk is not None:
                    _write_later(fleet, node, effect)


def _write_later(fleet, node, kept):
    stored = suspect_memory.StoredSuspects(
        fleet.now_ms, kept.suspects, kept.gathered
    )
    data = msgspec.msgpack.encode(stored)
    delay_ms = fleet.rng.randint(*WRITE_MS)
    at(fleet, delay_ms, _write, node, node.boot, data)


def _write(node, boot, data):
    """Make a write durable unless the node was restarted meanwhile."""
    if node.boot == boot:
        node.disk = data


def _read_disk(fleet, node):
    if node.disk:
        stored = msgspec.msgpack.decode(
            node.disk, type=suspect_memory.StoredSuspects
        )
        now_ms = fleet.now_ms
        suspect_memory.restore(node.gw.suspect_state, stored, now_ms, now_ms)


def send(fleet, node, address, message):
    """Send a message from a node to another one, which may be cut off."""
    other = fleet.nodes.get(address)
    if other is None:
        return
    if other is not node:
        fleet.messages += 1
        if node.is_cut or other.is_cut:
            return
    message = fleet_codec.decode(fleet_codec.encode(message))
    at(fleet, _delay(fleet), _deliver, fleet, other, other.boot, message)


def _tick(fleet, node):
    at(fleet, TICK_MS, _tick, fleet, node)
    if node.thaw_ms <= fleet.now_ms:
        _perform_all(
            fleet, node, gateway.step(node.gw, fleet.now_ms, gateway.Tick())
        )
        _perform_all(
            fleet,
            node,
            quarantine_coordinator.step(
                node.coord, fleet.now_ms, quarantine_coordinator.Tick()
            ),
        )


def change_leader(fleet, address):
    """Make a node the leader, as far as its links reach."""
    fleet.leader, fleet.leader_changed_ms = address, fleet.now_ms
    for node in fleet.nodes.values():
        if node.address != address:
            quarantine_coordinator.resign(node.coord)
    leader = fleet.nodes[address]
    state = leader.gw.suspect_state
    known = suspect_publications.known_suspects(state, fleet.now_ms)
    known += suspect_publications.gathered_suspects(state, fleet.now_ms)
    _perform_all(
        fleet,
        leader,
        quarantine_coordinator.start_leading(
            leader.coord,
            known,
            fleet.now_ms,
            upstream_ends.resumed_ms(state.listening, fleet.now_ms),
        ),
    )
    for node in fleet.nodes.values():
        _tell_leader(fleet, node)


def _tell_leader(fleet, node):
    """Let a node learn of the leader unless it is cut off from it."""
    leader = fleet.nodes.get(fleet.leader)
    is_reached = node is leader or not (
        node.is_cut or leader is None or leader.is_cut
    )
    message = gateway.CoordinatorChanged(fleet.leader if is_reached else "")
    at(fleet, _delay(fleet), _deliver, fleet, node, node.boot, message)


def restart_node(fleet, node):
    """Restart a node; its callers get nothing."""
    if node.address == fleet.leader:
        others = [
            n.address
            for n in fleet.nodes.values()
            if n is not node and not n.is_cut
        ]
        if not others:
            return
        change_leader(fleet, fleet.rng.choice(others))
    _start_again(fleet, node)
    at(fleet, 100, _tell_leader, fleet, node)


def restart_all_nodes(fleet, leaderless_ms=500):
    """Restart all nodes at once; a node with a disk leads later."""
    fleet.leader = ""
    for node in fleet.nodes.values():
        _start_again(fleet, node)
    with_disk = [n for n in fleet.nodes.values() if n.disk is not None]
    leader = fleet.rng.choice(with_disk or list(fleet.nodes.values()))
    at(fleet, leaderless_ms, change_leader, fleet, leader.address)


def _start_again(fleet, node):
    """Start a new process of a node, which knows what is on its disk."""
    fresh = _make_node(fleet, node.address)
    node.gw, node.coord = fresh.gw, fresh.coord
    node.boot += 1
    node.thaw_ms, node.disturbed_ms = 0, fleet.now_ms
    for call_id, request in fleet.requests.items():
        if request.node == node.address and not request.outcome:
            _finish(fleet, node, call_id, "lost")
    for engine in fleet.engines.values():
        for key in [k for k in engine.runs if k[0] == node.address]:
            del engine.runs[key]
    _read_disk(fleet, node)


def suspend_node(fleet, node, duration_ms):
    """Suspend a node; a suspended leader loses the leadership."""
    node.thaw_ms = fleet.now_ms + duration_ms
    node.disturbed_ms = node.thaw_ms
    if node.address == fleet.leader:
        others = [
            n.address
            for n in fleet.nodes.values()
            if n is not node and not n.is_cut
        ]
        change_leader(fleet, fleet.rng.choice(others or [node.address]))


def cut_node(fleet, node, duration_ms):
    """Cut a node off from all other nodes, but not from engines."""
    if node.is_cut:
        return
    others = [n for n in fleet.nodes.values() if n is not node]
    if node.address == fleet.leader:
        reachable = [n.address for n in others if not n.is_cut]
        if not reachable:
            return
        change_leader(fleet, fleet.rng.choice(reachable))
    node.is_cut, node.disturbed_ms = True, fleet.now_ms + duration_ms
    _tell_leader(fleet, node)
    at(fleet, duration_ms, _rejoin, fleet, node)


def _rejoin(fleet, node):
    node.is_cut = False
    _tell_leader(fleet, node)


def is_in_touch(fleet, node):
    """Return whether the bound on arrivals holds for a node."""
    calm_ms = fleet.now_ms - STABLE_WINDOW_MS
    return max(node.disturbed_ms, fleet.leader_changed_ms) < calm_ms


# Engines.


def start_engine(fleet, engine):
    """Start a new process of an engine."""
    engine.boot += 1
    engine.born_ms, engine.seq = fleet.now_ms, 0
    engine.is_up, engine.is_dark = True, False


def end_engine(fleet, engine, is_dark=False):
    """End the process of an engine, which is back later."""
    if not engine.is_up:
        return
    engine.is_up, engine.is_dark = False, is_dark
    runs, engine.runs = engine.runs, {}
    delay_ms = DARK_MS if is_dark else 0
    for node_address, call_id in runs:
        at(fleet, delay_ms, _break_off, fleet, node_address, call_id)
    at(
        fleet,
        fleet.rng.randint(*RESTART_MS),
        start_engine,
        fleet,
        engine,
    )


def reset_connections(fleet, engine):
    """Break all attempts at an engine, which lives on."""
    runs, engine.runs = engine.runs, {}
    for node_address, call_id in runs:
        _break_off(fleet, node_address, call_id)


def _break_off(fleet, node_address, call_id):
    _end_attempt(fleet, node_address, call_id, calls.AttemptOutcome.BROKEN)


def _beat(fleet, engine):
    at(fleet, HEARTBEAT_MS, _beat, fleet, engine)
    if not engine.is_up:
        return
    engine.seq += 1
    make_announcement = (
        builders.make_announcement
        if engine.has_models
        else builders.make_plain_announcement
    )
    announcement = make_announcement(
        engine.upstream_id,
        address=f"{engine.name}:80",
        born_ms=engine.born_ms,
        seq=engine.seq,
        failure_domain=engine.domain,
    )
    reached = [n for n in fleet.nodes.values() if n.thaw_ms <= fleet.now_ms]
    receiver = fleet.rng.choice(reached)
    for node in fleet.nodes.values():
        is_told = node is receiver or not (receiver.is_cut or node.is_cut)
        if is_told:
            delay_ms = _delay(fleet)
            at(fleet, delay_ms, _deliver, fleet, node, node.boot, announcement)


def _send_call(fleet, node, effect):
    engine = fleet.engines[effect.address.partition(":")[0]]
    at(fleet, 1, _arrive, fleet, node, effect.call_id, engine, effect)


def _arrive(fleet, node, call_id, engine, effect):
    request = fleet.requests[call_id]
    if request.outcome:
        return
    if not engine.is_up or engine.upstream_id != effect.upstream_id:
        if request.parts and not engine.is_dark:
            outcome = calls.AttemptOutcome.UNREACHABLE
            _end_attempt(fleet, node.address, call_id, outcome)
            return
        delay_ms = DARK_MS if engine.is_dark else 1
        at(fleet, delay_ms, _break_off, fleet, node.address, call_id)
        return
    engine.runs[(node.address, call_id)] = None
    request.engines += 1
    if request.is_fatal:
        in_touch = is_in_touch(fleet, node)
        fleet.arrivals.append(
            (fleet.now_ms, request.fatal_name, node.address, in_touch)
        )
    run_id = node.address, call_id, engine, engine.boot
    if request.parts:
        delay_ms = fleet.rng.randint(*READ_MS)
        at(fleet, delay_ms, _begin_answer, fleet, *run_id)
    elif request.is_fatal:
        _crash(fleet, engine, request)
    else:
        at(fleet, RUN_MS, _complete, fleet, *run_id)


def _crash(fleet, engine, request):
    fleet.crashes.append((fleet.now_ms, request.fatal_name))
    end_engine(fleet, engine)


def _begin_answer(fleet, node_address, call_id, engine, boot):
    if engine.boot != boot or (node_address, call_id) not in engine.runs:
        return
    request, node = fleet.requests[call_id], fleet.nodes[node_address]
    if request.fatal_name in fleet.deadly_parts:
        _crash(fleet, engine, request)
        return
    message = calls.AnswerStarted(call_id)
    at(fleet, _delay(fleet), _deliver, fleet, node, node.boot, message)
    run_id = node_address, call_id, engine, boot
    at(fleet, fleet.rng.randint(*ANSWER_MS), _complete, fleet, *run_id)


def _recall(fleet, node, call_id):
    """End an attempt, of which its engine then drops the request."""
    for engine in fleet.engines.values():
        engine.runs.pop((node.address, call_id), None)
    outcome = calls.AttemptOutcome.TIMED_OUT
    _end_attempt(fleet, node.address, call_id, outcome)


def _complete(fleet, node_address, call_id, engine, boot):
    key = (node_address, call_id)
    if engine.boot == boot and key in engine.runs:
        del engine.runs[key]
        outcome = calls.AttemptOutcome.DELIVERED
        _end_attempt(fleet, node_address, call_id, outcome)


def _end_attempt(fleet, node_address, call_id, outcome):
    request, node = fleet.requests[call_id], fleet.nodes[node_address]
    if request.outcome:
        return
    if outcome is calls.AttemptOutcome.DELIVERED:
        request.outcome = "delivered"
    message = calls.AttemptEnded(call_id, outcome)
    at(fleet, _delay(fleet), _deliver, fleet, node, node.boot, message)


# Callers.


def submit(fleet, fingerprint, is_fatal=False, path="/look/x", node=None):
    """Send a request to a node, by default to a random one."""
    node = node or fleet.rng.choice(list(fleet.nodes.values()))
    call_id = len(fleet.requests) + 1
    fatal_name = fingerprint if is_fatal else ""
    fleet.requests[call_id] = Request(
        fingerprint, fatal_name, node.address, fleet.now_ms
    )
    req = calls.Request(
        f"q{call_id}", "a.example", path, 4000, None, fingerprint
    )
    at(fleet, 1, _read_request, fleet, node, node.boot, call_id, req)
    return fleet.requests[call_id]


def submit_prompt(fleet, parts, node=None):
    """Send a request with a prompt of its own to a node."""
    node = node or fleet.rng.choice(list(fleet.nodes.values()))
    call_id = len(fleet.requests) + 1
    fingerprint = f"prompt-{call_id}"
    deadly = [part for part in parts if part in fleet.deadly_parts]
    fleet.requests[call_id] = Request(
        fingerprint,
        deadly[0] if deadly else "",
        node.address,
        fleet.now_ms,
        tuple(parts),
    )
    sized = [(part, 100) for part in (*parts, f"own-{call_id}")]
    prompt = builders.make_prompt(100 * len(sized), parts=sized)
    req = calls.Request(
        f"q{call_id}", "a.example", "/chat/x", 6000, prompt, fingerprint
    )
    at(fleet, 1, _read_request, fleet, node, node.boot, call_id, req)
    return fleet.requests[call_id]


def _read_request(fleet, node, boot, call_id, req):
    """Let a node read a request, once it is no longer suspended."""
    if node.boot == boot and node.thaw_ms > fleet.now_ms:
        delay_ms = node.thaw_ms - fleet.now_ms
        at(fleet, delay_ms, _read_request, fleet, node, boot, call_id, req)
        return
    message = calls.CallArrived(call_id, req, fleet.now_ms)
    _deliver(fleet, node, boot, message)


def _finish(fleet, node, call_id, outcome):
    request = fleet.requests[call_id]
    if not request.outcome:
        request.outcome = outcome


# The oracle.


def late_arrivals(fleet, fatal_name, crash_count=3):
    """Return how often fatal requests reached engines in spite of the rule.

    Counted are arrivals later than `STABLE_WINDOW_MS` after the last of
    `crash_count` engines has ended, from nodes in touch.
    """
    crashes = [at_ms for at_ms, name in fleet.crashes if name == fatal_name]
    if len(crashes) < crash_count:
        return 0
    allowed_ms = crashes[crash_count - 1] + STABLE_WINDOW_MS
    return sum(
        in_touch and name == fatal_name and at_ms > allowed_ms
        for at_ms, name, _, in_touch in fleet.arrivals
    )


def wrongly_quarantined(fleet):
    """Return the innocent requests that were refused as quarantined."""
    return [
        r
        for r in fleet.requests.values()
        if not r.is_fatal and r.outcome == "quarantined"
    ]
