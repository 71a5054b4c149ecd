"""Simulate the usage of workspaces in virtual time, with injected faults.

Each node of a `register_driver.Cluster` gets calls of two workspaces, asks the
leader for credits and sends the calls that it may. `worst_excess` compares
what arrives at upstreams with the limit. It sees arrivals and limits only.
"""

import dataclasses
import heapq
import itertools

from bilberryramp.decisions.fleet.core import documents
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.limits import (
    retry_budget,
    usage_asks,
    usage_credits,
    usage_issuer,
    usage_messages,
    usage_terms,
)
from bilberryramp.decisions.fleet.register import register
from bilberryramp.decisions.fleet.tests import builders, register_driver
from bilberryramp.decisions.shared import effects

EXACTNESS = usage_terms.Exactness(8000, 0.1, 110_000.0)
# Limits that workspaces may have: tokens per second, and burst.
LIMITS = ((230e3, 230e3), (230e3, 230e3), (60e3, 500e3), (600e3, 100e3))
STEP_MS = 10
# Sizes of requests in tokens, and the times in which they arrive.
SIZES = (300, 900, 9200, 9200)
DELAYS_MS = (0, 1, 5, 100, 500, retry_budget.ARRIVAL_DELAY_MS)
# Times in which a gateway learns of a renewed lease, and of a new document.
PROOF_LAG_MS = 60
DOCUMENT_LAG_MS = 500
# Time for which a call waits for credit.
PATIENCE_MS = 1000


@dataclasses.dataclass(slots=True)
class Process:
    """What one process of a node knows.

    Attributes
    ----------
    incarnation
        Number of the process at its address.
    offset_ms
        Difference of its clock from that of the simulation.
    credits, issuer
        Its credits, and its part as a leader.
    version
        Number of the limits that it knows.
    waiting
        Calls that wait for credit, by identifier.
    """

    incarnation: int
    offset_ms: int
    credits: usage_credits.Credits
    issuer: usage_issuer.Issuer
    version: int = -1
    waiting: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Fleet:
    """Simulated nodes, and the calls of the workspaces.

    Attributes
    ----------
    cluster
        Nodes with their registers.
    demand_per_s
        Tokens per second that clients ask for, by workspace.
    receivers
        Nodes that get the calls.
    not_run
        Probability that an upstream surely does not run a call.
    refunds
        Number of times that such a call is given back.
    limits
        Times from which the workspaces have limits, and the limits.
    processes
        Newest process of each node.
    messages
        Heap of messages between nodes: time, number, receiver and message.
    returns
        Heap of calls that did not run: time, number, node, incarnation, call.
    arrivals
        Times and tokens of what upstreams ran, by workspace.
    asked, refused, sent
        Tokens that clients asked for, that were refused and that were sent.
    owed
        Part of the next call that is due, by workspace.
    message_count
        Number of messages that nodes sent.
    numbers
        Counter of calls and messages.
    """

    cluster: register_driver.Cluster
    demand_per_s: dict
    receivers: list
    not_run: float = 0.1
    refunds: int = 1
    limits: list = dataclasses.field(default_factory=list)
    processes: dict = dataclasses.field(default_factory=dict)
    messages: list = dataclasses.field(default_factory=list)
    returns: list = dataclasses.field(default_factory=list)
    arrivals: dict = dataclasses.field(default_factory=dict)
    asked: float = 0.0
    refused: float = 0.0
    sent: float = 0.0
    owed: dict = dataclasses.field(default_factory=dict)
    message_count: int = 0
    numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )


def make_fleet(seed, durable_count=3, memory_only_count=2, **options) -> Fleet:
    """Build a fleet whose nodes all get calls of two workspaces."""
    cluster = register_driver.make_cluster(
        seed, durable_count, memory_only_count
    )
    names = sorted(cluster.instances)
    options = {"demand_per_s": {"w1": 400e3, "w2": 50e3}} | options
    fleet = Fleet(cluster, receivers=names, **options)
    fleet.arrivals = {name: [] for name in fleet.demand_per_s}
    fleet.owed = dict.fromkeys(fleet.demand_per_s, 0.0)
    set_limit(fleet, LIMITS[0])
    for name in names:
        _adopt_process(fleet, name)
    return fleet


def set_limit(fleet, limit) -> None:
    """Give all workspaces a limit, which nodes learn of one by one."""
    fleet.limits.append((fleet.cluster.now_ms, limit))


def start(fleet, name) -> None:
    """Start the process of a node whose process is stopped."""
    register_driver.start(fleet.cluster, name)
    _adopt_process(fleet, name)


def join(fleet, name) -> None:
    """Start a node without a disk at a new address."""
    instance = register_driver.Instance(name, False)
    fleet.cluster.instances[name] = instance
    start(fleet, name)


def kill(fleet, name, lose_disk=False) -> None:
    """Stop the process of a node; its calls under way still arrive."""
    register_driver.stop(fleet.cluster, name, lose_disk)


def _adopt_process(fleet, name) -> None:
    rng = fleet.cluster.rng
    fleet.processes[name] = Process(
        fleet.cluster.instances[name].incarnation,
        rng.randrange(10**6),
        usage_credits.Credits(ask_id=rng.getrandbits(40)),
        usage_issuer.Issuer(EXACTNESS),
    )


def workspace(fleet, name, version=-1) -> documents.Workspace:
    """Return a workspace with the limit of a version."""
    _, limit = fleet.limits[version]
    return builders.make_limited_workspace(name, *limit)


# Virtual time.


def run(fleet, duration_ms) -> None:
    """Advance the simulation."""
    end_ms = fleet.cluster.now_ms + duration_ms
    while fleet.cluster.now_ms < end_ms:
        register_driver.run(fleet.cluster, STEP_MS)
        for name in sorted(active(fleet)):
            _step_node(fleet, name, fleet.processes[name])
        _deliver(fleet)
        _give_back(fleet)
        _make_calls(fleet)


def active(fleet) -> list:
    """Return the nodes whose process runs and is not suspended."""
    cluster = fleet.cluster
    return [
        name
        for name, process in fleet.processes.items()
        if cluster.instances[name].incarnation == process.incarnation
        and cluster.instances[name].node is not None
        and name not in cluster.frozen
    ]


def _step_node(fleet, name, process) -> None:
    cluster = fleet.cluster
    now_ms = cluster.now_ms + process.offset_ms
    node = cluster.instances[name].node
    if cluster.rng.randrange(PROOF_LAG_MS) < STEP_MS:
        proof = register.leadership(node, cluster.now_ms)
        if proof.until_ms >= 0:
            until_ms = proof.until_ms + process.offset_ms
            proof = usage_issuer.Leadership(proof.term, until_ms)
            usage_issuer.set_leadership(process.issuer, proof, now_ms)
    newest = len(fleet.limits) - 1
    is_late = cluster.now_ms - fleet.limits[newest][0] >= DOCUMENT_LAG_MS
    if process.version != newest and (is_late or cluster.rng.random() < 0.1):
        process.version = newest
        workspaces = tuple(workspace(fleet, w) for w in fleet.demand_per_s)
        doc = dataclasses.replace(
            builders.make_document(), workspaces=workspaces
        )
        usage_issuer.set_document(process.issuer, doc, now_ms)
        usage_credits.set_document(process.credits, doc)
    _serve(fleet, name, process)
    _ask(fleet, name, process)


def _serve(fleet, name, process) -> None:
    now_ms = fleet.cluster.now_ms + process.offset_ms
    for call in list(process.waiting.values()):
        if usage_credits.charge(process.credits, call, now_ms):
            del process.waiting[call.call_id]
            _send_call(fleet, name, process, call)
        elif (
            usage_credits.refusal_ms(process.credits, call)
            or now_ms - call.arrived_ms > PATIENCE_MS
        ):
            del process.waiting[call.call_id]
            usage_credits.forget(process.credits, call)
            fleet.refused += call.request.prompt.tokens_in


def _ask(fleet, name, process) -> None:
    now_ms = fleet.cluster.now_ms + process.offset_ms
    leader = fleet.cluster.instances[name].node.leader
    for effect in usage_asks.due_ask(process.credits, name, now_ms):
        if leader and not isinstance(effect, Trace):
            _post(fleet, name, leader, effect.ask)


def _post(fleet, sender, receiver, message) -> None:
    cluster = fleet.cluster
    fleet.message_count += 1
    is_lost = cluster.rng.random() < cluster.loss_probability
    if sender != receiver and (
        is_lost or (sender, receiver) in cluster.cut_links
    ):
        return
    delay_ms = 0 if sender == receiver else cluster.rng.choice(
        cluster.delays_ms
    )  # fmt: skip
    due_ms = cluster.now_ms + delay_ms
    item = (due_ms, next(fleet.numbers), receiver, message)
    heapq.heappush(fleet.messages, item)


def _deliver(fleet) -> None:
    running = set(active(fleet))
    held = []
    while fleet.messages and fleet.messages[0][0] <= fleet.cluster.now_ms:
        item = heapq.heappop(fleet.messages)
        name, message = item[2:]
        if name in fleet.cluster.frozen:
            held.append((fleet.cluster.now_ms + 1, *item[1:]))
        elif name in running:
            _receive(fleet, name, fleet.processes[name], message)
    for item in held:
        heapq.heappush(fleet.messages, item)


def _receive(fleet, name, process, message) -> None:
    now_ms = fleet.cluster.now_ms + process.offset_ms
    match message:
        case usage_messages.UsageAsk():
            for effect in usage_issuer.answer(process.issuer, message, now_ms):
                if isinstance(effect, effects.Send):
                    _post(fleet, name, effect.to, effect.message)
        case usage_messages.UsageAnswer():
            if usage_asks.accept_answer(process.credits, message, now_ms):
                _serve(fleet, name, process)
                _ask(fleet, name, process)


def _make_calls(fleet) -> None:
    rng, running = fleet.cluster.rng, set(active(fleet))
    for name, demand_per_s in fleet.demand_per_s.items():
        fleet.owed[name] += demand_per_s * STEP_MS / 1000
        while fleet.owed[name] > 0:
            tokens = rng.choice(SIZES)
            fleet.owed[name] -= tokens
            node = rng.choice(fleet.receivers)
            if node not in running:
                continue
            process = fleet.processes[node]
            if process.version < 0:
                continue
            call = builders.make_limited_call(
                next(fleet.numbers),
                tokens,
                workspace(fleet, name, process.version),
                fleet.cluster.now_ms + process.offset_ms,
            )
            fleet.asked += tokens
            process.waiting[call.call_id] = call
            _serve_one(fleet, node, process, call)


def _serve_one(fleet, name, process, call) -> None:
    now_ms = fleet.cluster.now_ms + process.offset_ms
    if usage_credits.charge(process.credits, call, now_ms):
        del process.waiting[call.call_id]
        _send_call(fleet, name, process, call)
    else:
        _ask(fleet, name, process)


def _send_call(fleet, name, process, call) -> None:
    rng, now_ms = fleet.cluster.rng, fleet.cluster.now_ms
    if rng.random() < fleet.not_run:
        due_ms = now_ms + rng.choice((1, 5, 40, 700))
        item = (due_ms, next(fleet.numbers), name, process.incarnation, call)
        heapq.heappush(fleet.returns, item)
        return
    tokens = call.request.prompt.tokens_in
    fleet.sent += tokens
    fleet.arrivals[call.workspace.name].append(
        (now_ms + rng.choice(DELAYS_MS), tokens)
    )


def _give_back(fleet) -> None:
    running = set(active(fleet))
    while fleet.returns and fleet.returns[0][0] <= fleet.cluster.now_ms:
        _, _, name, incarnation, call = heapq.heappop(fleet.returns)
        process = fleet.processes[name]
        if name in running and process.incarnation == incarnation:
            parts = call.usage_parts
            for _ in range(fleet.refunds):
                call.usage_parts = parts
                now_ms = fleet.cluster.now_ms + process.offset_ms
                usage_credits.refund(process.credits, call, now_ms)


# What the upstreams see.


def bound(limit) -> float:
    """Return what may arrive in a window under a limit."""
    rate, burst = limit
    amount = rate * EXACTNESS.window_ms / 1000 + burst
    return amount * (1 + EXACTNESS.overage) + EXACTNESS.slack


def worst_excess(fleet) -> float:
    """Return by how much some window exceeds its bound.

    Parameters
    ----------
    fleet
        Fleet after a run.

    Returns
    -------
    float
        Tokens beyond the bound in the worst window of any workspace; negative
        if all windows hold. A limit binds until one window after the nodes
        know a lower one.
    """
    worst = -float("inf")
    for arrivals in fleet.arrivals.values():
        arrivals = sorted(arrivals)
        total, first = 0.0, 0
        for time_ms, tokens in arrivals:
            total += tokens
            while arrivals[first][0] < time_ms - EXACTNESS.window_ms:
                total -= arrivals[first][1]
                first += 1
            worst = max(worst, total - _highest_bound(fleet, time_ms))
    return worst


def _highest_bound(fleet, end_ms) -> float:
    """Return the highest bound of a window that ends at a time."""
    start_ms = end_ms - 2 * EXACTNESS.window_ms - DOCUMENT_LAG_MS
    ends_ms = [ms for ms, _ in fleet.limits[1:]] + [float("inf")]
    return max(
        bound(limit)
        for (since_ms, limit), until_ms in zip(
            fleet.limits, ends_ms, strict=True
        )
        if since_ms <= end_ms and until_ms >= start_ms
    )


def used_per_s(fleet, name, start_ms, end_ms) -> float:
    """Return the tokens per second that arrived in a time."""
    tokens = sum(
        t for ms, t in fleet.arrivals[name] if start_ms <= ms < end_ms
    )
    return 1000 * tokens / (end_ms - start_ms)
