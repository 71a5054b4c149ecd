"""Simulated gateways that share engines' memory, in virtual time.

Real gateways send long prompts to engines that read them one by one, and tell
each other their loads over links with delays. Each engine adds up the tokens
of all requests that it holds, whoever sent them.
"""

import dataclasses
import heapq
import itertools
import random
import statistics

from bilberryramp.decisions.fleet.core import calls, sharing, traces
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.limits import memory_use
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.decisions.fleet.tests import builders

START_MS = 100_000
HEARTBEAT_MS = 1000
TICK_MS = 50
CALL_DELAY_MS = (1, 4)
REPORT_DELAY_MS = {
    sharing.Audience.NEAR: (1, 3),
    sharing.Audience.FAR: (2, 12),
}
# Age of the processes at the start, longer than any request lasts.
AGE_MS = 60_000
DOMAINS = "abcd"
KV_TOKENS = 197_200
SHARED_TOKENS, OWN_TOKENS, ANSWER_TOKENS = 6300, 2890, 50
TOKENS_PER_MS = 38.7
DECODE_MS = 400


@dataclasses.dataclass(slots=True)
class Engine:
    """A simulated engine.

    Attributes
    ----------
    name
        Identifier.
    kv_tokens
        Its memory in tokens.
    slowdown
        Factor by which it is slower than the data sheet.
    seq
        Number of its last heartbeat.
    busy_until_ms
        When it has read all prompts that it holds.
    agent
        State of its agent; None while that is lost.
    held
        Tokens of the requests that it holds, by node, process and call.
    most_tokens
        Most tokens that it held at one time.
    """

    name: str
    agent: agent.Agent | None
    kv_tokens: int = KV_TOKENS
    slowdown: float = 1.0
    seq: int = 1
    busy_until_ms: float = 0.0
    held: dict = dataclasses.field(default_factory=dict)
    most_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Node:
    """A gateway and its failure domain."""

    name: str
    domain: str
    gw: gateway_state.Gateway
    process: int = 0
    is_up: bool = True


@dataclasses.dataclass(slots=True)
class Fleet:
    """State of a simulation.

    Attributes
    ----------
    rng
        Source of all choices.
    doc
        Document of all nodes.
    nodes, engines
        Nodes and engines by name.
    cut_off
        Failure domains whose nodes hear only each other.
    now_ms, events, numbers
        Virtual time, and the heap of events: time, number, function and
        arguments.
    waits_ms, answers_ms
        Times from the arrival of calls to their sending, and to their first
        token.
    refused, reports, claims
        Calls that were refused, and messages to peers and to agents.
    traces
        Numbers of log lines by name.
    """

    rng: random.Random
    doc: object
    nodes: dict = dataclasses.field(default_factory=dict)
    engines: dict = dataclasses.field(default_factory=dict)
    cut_off: str = ""
    now_ms: int = START_MS
    events: list = dataclasses.field(default_factory=list)
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    waits_ms: list = dataclasses.field(default_factory=list)
    answers_ms: list = dataclasses.field(default_factory=list)
    refused: int = 0
    reports: int = 0
    claims: int = 0
    traces: dict = dataclasses.field(default_factory=dict)


def make_fleet(
    seed, node_count=17, engine_count=1, slowdown=1.0, **route_changes
) -> Fleet:
    """Make a fleet whose nodes know each other and all engines."""
    doc = builders.make_document(
        routes=(builders.make_route(**route_changes),),
        engine=builders.make_engine(kv_tokens=KV_TOKENS),
    )
    fleet = Fleet(random.Random(seed), doc)
    for number in range(engine_count):
        engine = Engine(
            f"e{number}", _make_agent(START_MS - AGE_MS), slowdown=slowdown
        )
        fleet.engines[engine.name] = engine
        _after(fleet, (0, HEARTBEAT_MS), _beat, engine.name)
    for number in range(node_count):
        domain = DOMAINS[number % len(DOMAINS)]
        node = Node(f"n{number}:1", domain, None)
        fleet.nodes[node.name] = node
    for node in fleet.nodes.values():
        _start_process(fleet, node, START_MS - AGE_MS)
    run(fleet, 3000)
    return fleet


def run(fleet: Fleet, duration_ms: int) -> None:
    """Advance the simulation."""
    end_ms = fleet.now_ms + duration_ms
    while fleet.events and fleet.events[0][0] <= end_ms:
        fleet.now_ms, _, handle, args = heapq.heappop(fleet.events)
        handle(fleet, *args)
    fleet.now_ms = end_ms


def submit(fleet: Fleet, name: str, tokens_in=0, leaves_after_ms=None) -> None:
    """Give a node a call with a long prompt, whose client may leave."""
    number = next(fleet.numbers)
    own_tokens = (tokens_in or SHARED_TOKENS + OWN_TOKENS) - SHARED_TOKENS
    prompt = builders.make_prompt(
        SHARED_TOKENS + own_tokens,
        ANSWER_TOKENS,
        parts=(("shared", SHARED_TOKENS), (f"own-{number}", own_tokens)),
    )
    timeout_ms = fleet.doc.routes[0].timeout_ms
    request = builders.make_request(
        prompt=prompt, client_timeout_ms=timeout_ms, request_id=f"q{number}"
    )
    message = calls.CallArrived(number, request, fleet.now_ms)
    node = fleet.nodes[name]
    _step(fleet, name, node.process, message)
    if leaves_after_ms is not None:
        departure = calls.ClientDisconnected(number)
        delay_ms = (leaves_after_ms, leaves_after_ms)
        _after(fleet, delay_ms, _step, name, node.process, departure)


def burst(fleet: Fleet, names=(), size=1, **options) -> None:
    """Give each node calls at the same moment."""
    for name in names or list(fleet.nodes):
        for _ in range(size):
            submit(fleet, name, **options)


def load(fleet: Fleet, rate_per_s: float, duration_ms: int) -> None:
    """Give random nodes calls at random times."""
    rng = random.Random(fleet.rng.random())
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        run(fleet, max(1, int(rng.expovariate(rate_per_s / 1000))))
        up = [node.name for node in fleet.nodes.values() if node.is_up]
        submit(fleet, rng.choice(up))


def kill(fleet: Fleet, name: str) -> None:
    """End a node's process; its requests run on at the engines."""
    fleet.nodes[name].is_up = False


def restart(fleet: Fleet, name: str) -> None:
    """Start another process of a node."""
    node = fleet.nodes[name]
    node.process += 1
    _start_process(fleet, node, fleet.now_ms)


def lose_agents(fleet: Fleet) -> None:
    """End the agents of all engines."""
    for engine in fleet.engines.values():
        engine.agent = None


def restart_agents(fleet: Fleet) -> None:
    """Start new agents, which know of no claim."""
    for engine in fleet.engines.values():
        engine.agent = _make_agent(fleet.now_ms)


def _make_agent(now_ms) -> agent.Agent:
    return builders.make_agent(now_ms=now_ms)


def play_random(seed: int, loses_agents: bool = False) -> Fleet:
    """Play bursts beside losses of nodes, links, clients, maybe agents."""
    actions = ["burst", "sizes", "leave", "kill", "start", "cut"]
    if loses_agents:
        actions += ["lose agents", "restart agents"]
    rng = random.Random(seed)
    fleet = make_fleet(
        seed,
        rng.choice((5, 17, 29)),
        rng.choice((1, 2)),
        rng.choice((1.0, 4.0, 8.0)),
        target_ms=8015,
        timeout_ms=12_023,
    )
    for _ in range(25):
        up = [node.name for node in fleet.nodes.values() if node.is_up]
        some = rng.sample(up, rng.randint(1, len(up)))
        down = [name for name in fleet.nodes if name not in up]
        match rng.choice(actions):
            case "burst":
                burst(fleet, some, rng.randint(1, 3))
            case "sizes":
                burst(fleet, some, tokens_in=rng.choice((6400, 40_000)))
            case "leave":
                burst(fleet, some, leaves_after_ms=rng.choice((2, 200, 900)))
            case "kill" if len(up) > 1:
                kill(fleet, some[0])
            case "start" if down:
                restart(fleet, rng.choice(down))
            case "cut":
                fleet.cut_off = rng.choice(("", "a", "ab", "ac"))
            case "lose agents":
                lose_agents(fleet)
            case "restart agents":
                restart_agents(fleet)
        run(fleet, rng.choice((5, 50, 500, 2500)))
    return fleet


def excess_tokens(fleet: Fleet) -> int:
    """Return by how much an engine's requests exceeded its memory."""
    return max(e.most_tokens - e.kv_tokens for e in fleet.engines.values())


def leftovers(fleet: Fleet) -> list:
    """Return what idle nodes still count as occupied."""
    return [
        left
        for node in fleet.nodes.values()
        if node.is_up
        for left in (
            *node.gw.engine_memory.claims,
            *node.gw.engine_memory.remnants,
            *(+node.gw.engine_memory.unclaimed),
            *(-node.gw.engine_memory.unclaimed),
            *(
                load
                for load in node.gw.loads.own.values()
                if load.reserved_tokens
            ),
        )
    ]


def mean_wait_ms(fleet: Fleet) -> float:
    """Return the mean time from arrival to sending."""
    return statistics.fmean(fleet.waits_ms) if fleet.waits_ms else 0.0


def _after(fleet, delays_ms, handle, *args) -> None:
    at_ms = fleet.now_ms + fleet.rng.randint(*delays_ms)
    item = (at_ms, next(fleet.numbers), handle, args)
    heapq.heappush(fleet.events, item)


def _start_process(fleet, node, started_ms) -> None:
    node.is_up = True
    node.gw = builders.make_gateway(
        fleet.doc, map(_announcement, fleet.engines.values()), fleet.now_ms
    )
    node.gw.address, node.gw.failure_domain = node.name, node.domain
    node.gw.started_ms = started_ms
    node.gw.engine_memory.sender = node.name
    node.gw.engine_memory.is_binding = True
    node.gw.engine_memory.process = node.process
    memory_use.record_fleet_size(
        node.gw.engine_memory, len(fleet.nodes), fleet.now_ms
    )
    for audience in sharing.Audience:
        count = sum(1 for _ in _audience(fleet, node, audience))
        sharing.set_audience_size(node.gw.loads, audience, count)
    _after(fleet, (0, TICK_MS), _tick, node.name, node.process)


def _announcement(engine) -> object:
    number = int(engine.name[1:])
    return builders.make_announcement(
        engine.name,
        address=f"10.0.0.{number + 1}:80",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        seq=engine.seq,
    )


def _audience(fleet, node, audience):
    is_near = audience is sharing.Audience.NEAR
    for other in fleet.nodes.values():
        if other is not node and (other.domain == node.domain) is is_near:
            yield other


def _beat(fleet, name) -> None:
    engine = fleet.engines[name]
    engine.seq += 1
    for node in fleet.nodes.values():
        message = _announcement(engine)
        _after(fleet, (1, 5), _step, node.name, node.process, message)
    _after(fleet, (HEARTBEAT_MS, HEARTBEAT_MS), _beat, name)


def _tick(fleet, name, process) -> None:
    if _is_running(fleet, name, process):
        _step(fleet, name, process, gateway.Tick())
        _after(fleet, (TICK_MS, TICK_MS), _tick, name, process)


def _is_running(fleet, name, process) -> bool:
    node = fleet.nodes[name]
    return node.is_up and node.process == process


def _step(fleet, name, process, message) -> None:
    if not _is_running(fleet, name, process):
        return
    node = fleet.nodes[name]
    for effect in list(gateway.step(node.gw, fleet.now_ms, message)):
        match effect:
            case sharing.ReportTo():
                _report(fleet, node, effect)
            case memory_use.ToAgent():
                fleet.claims += 1
                _after(fleet, CALL_DELAY_MS, _step_agent, name, effect.message)
            case calls.SendCall():
                _send(fleet, node, effect)
            case calls.Refuse():
                fleet.refused += 1
            case traces.Trace():
                count = fleet.traces.get(effect.name, 0)
                fleet.traces[effect.name] = count + 1


def _step_agent(fleet, name, message) -> None:
    state = fleet.engines[message.upstream_id].agent
    process = fleet.nodes[name].process
    if state is not None:
        for effect in list(agent.step(state, fleet.now_ms, message)):
            answer = (name, process, effect.message)
            _after(fleet, CALL_DELAY_MS, _step, *answer)


def _report(fleet, node, effect) -> None:
    delays_ms = REPORT_DELAY_MS[effect.audience]
    for other in _audience(fleet, node, effect.audience):
        fleet.reports += 1
        if (node.domain in fleet.cut_off) is (other.domain in fleet.cut_off):
            _after(
                fleet,
                delays_ms,
                _step,
                other.name,
                other.process,
                effect.report,
            )


def _send(fleet, node, send) -> None:
    call = node.gw.active[send.call_id]
    fleet.waits_ms.append(fleet.now_ms - call.arrived_ms)
    owner = (node.name, node.process, send.call_id)
    prompt = call.request.prompt
    tokens = prompt.tokens_in + prompt.tokens_out
    args = (send.upstream_id, owner, tokens, call)
    _after(fleet, CALL_DELAY_MS, _arrive, *args)


def _arrive(fleet, engine_name, owner, tokens, call) -> None:
    """Hold a request until its end, or until its deadline.

    The engine does not notice that a client or a node has left.
    """
    engine = fleet.engines[engine_name]
    node_name, process, call_id = owner
    if tokens > engine.kv_tokens:
        full = calls.AttemptEnded(call_id, calls.AttemptOutcome.NOT_RUN)
        _after(fleet, CALL_DELAY_MS, _step, node_name, process, full)
        return
    engine.held[owner] = tokens
    engine.most_tokens = max(engine.most_tokens, sum(engine.held.values()))
    read_ms = call.unread_tokens / TOKENS_PER_MS * engine.slowdown
    start_ms = max(engine.busy_until_ms, fleet.now_ms)
    engine.busy_until_ms = start_ms + read_ms
    first_ms = int(engine.busy_until_ms) - fleet.now_ms
    end_ms = first_ms + int(DECODE_MS * engine.slowdown)
    rest_ms = max(call.deadline_ms - fleet.now_ms, 0)
    outcome = calls.AttemptOutcome.DELIVERED
    if end_ms > rest_ms:
        end_ms, outcome = rest_ms, calls.AttemptOutcome.TIMED_OUT
    if first_ms < end_ms:
        fleet.answers_ms.append(fleet.now_ms + first_ms - call.arrived_ms)
        started = calls.AnswerStarted(call_id)
        _after(fleet, (first_ms,) * 2, _step, node_name, process, started)
    ended = calls.AttemptEnded(call_id, outcome)
    # An engine lets go of a request at its deadline somewhat late.
    late_ms = 0 if outcome is calls.AttemptOutcome.DELIVERED else 100
    _after(fleet, (end_ms + late_ms,) * 2, _let_go, engine_name, owner)
    _after(fleet, (end_ms + 2,) * 2, _step, node_name, process, ended)


def _let_go(fleet, engine_name, owner) -> None:
    fleet.engines[engine_name].held.pop(owner)
