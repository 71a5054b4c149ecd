"""Simulate the retries of a fleet in virtual time, with injected faults.

Each node of a `register_driver.Cluster` gets requests for one service and
retries as often as a rule lets it. `worst_excess` compares what arrives at the
service with the bound on its retries. It sees requests and arrivals only.
"""

import bisect
import dataclasses
import heapq
import itertools
from collections.abc import Callable

from bilberryramp.decisions.fleet.limits import retry_budget, retry_shares
from bilberryramp.decisions.fleet.register import register
from bilberryramp.decisions.fleet.tests import builders, register_driver

LIMITS = retry_budget.Limits(0.2, 60.0, 10_000)
TIMES = retry_shares.make_times(retry_budget.span_ms(LIMITS))
STEP_MS = 50
# Times in which requests and retries arrive after they were sent.
DELAYS_MS = (0, 1, 5, 100, 500, retry_budget.ARRIVAL_DELAY_MS)


@dataclasses.dataclass(slots=True)
class Process:
    """What one process of a node knows of the service.

    Attributes
    ----------
    incarnation
        Number of the process at its address.
    budget
        Its retry budget.
    share
        Its share of the slack, as last published.
    requests_ms, retries_ms
        Times of all requests and retries of the process.
    waiting_until_ms
        When each retry is sent that was charged before.
    """

    incarnation: int
    budget: retry_budget.Budget = dataclasses.field(
        default_factory=retry_budget.Budget
    )
    share: retry_shares.Share = retry_shares.Share()
    requests_ms: list = dataclasses.field(default_factory=list)
    retries_ms: list = dataclasses.field(default_factory=list)
    waiting_until_ms: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Fleet:
    """Simulated nodes, and the requests and arrivals of one service.

    Attributes
    ----------
    cluster
        Nodes with their registers.
    may_retry
        Function that takes the fleet, an address and its process, and returns
        whether the process may retry now.
    wait_ms
        Time that retries wait between their charge and their sending.
    rate_per_s
        Requests per second, over all nodes.
    receivers
        Nodes that get the requests.
    spenders
        Nodes that retry now.
    processes
        Newest process of each node.
    in_flight
        Heap of requests on their way: arrival time, number, sending time and
        node.
    requests_ms, arrivals_ms
        When each request was sent, and when each retry arrived.
    owed_requests
        Part of the next request that is due.
    """

    cluster: register_driver.Cluster
    may_retry: Callable
    wait_ms: int = 0
    rate_per_s: float = 10.0
    receivers: list = dataclasses.field(default_factory=list)
    spenders: set = dataclasses.field(default_factory=set)
    processes: dict = dataclasses.field(default_factory=dict)
    in_flight: list = dataclasses.field(default_factory=list)
    requests_ms: list = dataclasses.field(default_factory=list)
    arrivals_ms: list = dataclasses.field(default_factory=list)
    owed_requests: float = 0.0


# Rules.


def by_lease(fleet, _name, process) -> bool:
    """Retry as the product does."""
    now_ms = fleet.cluster.now_ms
    size = retry_shares.fleet_size_at(process.share, now_ms)
    state = retry_budget.account(process.budget, LIMITS, size, now_ms)
    return retry_budget.allows_retry(state)


def make_rule_by_roster(fraction=0.7) -> Callable:
    """Make a rule that shares the slack among the nodes that are heard."""

    def may_retry(fleet, name, process) -> bool:
        node_count = len(fleet.cluster.instances[name].node.peers) + 1
        oldest_ms = fleet.cluster.now_ms - LIMITS.window_ms
        requests = _count_since(process.requests_ms, oldest_ms)
        allowance = LIMITS.ratio * requests + LIMITS.slack / node_count
        spent = _count_since(process.retries_ms, oldest_ms)
        return spent + 1 <= fraction * allowance

    return may_retry


def _count_since(times_ms, oldest_ms) -> int:
    return len(times_ms) - bisect.bisect_left(times_ms, oldest_ms)


# Faults.


def make_fleet(seed, durable_count=3, memory_only_count=2, **options) -> Fleet:
    """Build a fleet whose nodes all get requests and retry."""
    cluster = register_driver.make_cluster(
        seed, durable_count, memory_only_count
    )
    options = {"may_retry": by_lease} | options
    fleet = Fleet(cluster, **options)
    for name in cluster.instances:
        _adopt_process(fleet, name)
    fleet.receivers = sorted(cluster.instances)
    fleet.spenders = set(cluster.instances)
    return fleet


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
    """Stop the process of a node; its retries under way still arrive."""
    register_driver.stop(fleet.cluster, name, lose_disk)


def _adopt_process(fleet, name) -> None:
    instance = fleet.cluster.instances[name]
    instance.node.process_number = instance.incarnation
    instance.node.shares = retry_shares.new_shares(
        builders.bind_chart("retry_share", retry_shares), TIMES
    )
    fleet.processes[name] = Process(instance.incarnation)


# Virtual time.


def run(fleet, duration_ms) -> None:
    """Advance the simulation."""
    end_ms = fleet.cluster.now_ms + duration_ms
    while fleet.cluster.now_ms < end_ms:
        register_driver.run(fleet.cluster, STEP_MS)
        _send_requests(fleet)
        _receive_requests(fleet)
        for name in sorted(active(fleet)):
            _step_node(fleet, name, fleet.processes[name])


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


def _send_requests(fleet) -> None:
    rng, now_ms = fleet.cluster.rng, fleet.cluster.now_ms
    fleet.owed_requests += fleet.rate_per_s * STEP_MS / 1000
    while fleet.owed_requests >= 1:
        fleet.owed_requests -= 1
        fleet.requests_ms.append(now_ms)
        item = (
            now_ms + rng.choice(DELAYS_MS),
            len(fleet.requests_ms),
            now_ms,
            rng.choice(fleet.receivers),
        )
        heapq.heappush(fleet.in_flight, item)


def _receive_requests(fleet) -> None:
    now_ms = fleet.cluster.now_ms
    receiving = set(active(fleet))
    later = []
    while fleet.in_flight and fleet.in_flight[0][0] <= now_ms:
        item = heapq.heappop(fleet.in_flight)
        _, _, sent_ms, name = item
        if name in receiving:
            process = fleet.processes[name]
            process.requests_ms.append(now_ms)
            retry_budget.record_request(process.budget, LIMITS, now_ms)
        elif (
            name in fleet.cluster.frozen
            and now_ms - sent_ms < retry_budget.ARRIVAL_DELAY_MS
        ):
            later.append((now_ms + 1, *item[1:]))
    for item in later:
        heapq.heappush(fleet.in_flight, item)


def _step_node(fleet, name, process) -> None:
    now_ms, rng = fleet.cluster.now_ms, fleet.cluster.rng
    # The gateway learns of renewals later than the register.
    if rng.random() < 0.3:
        node = fleet.cluster.instances[name].node
        process.share = register.retry_share(node, now_ms)
    due = [ms for ms in process.waiting_until_ms if ms <= now_ms]
    process.waiting_until_ms = [
        ms for ms in process.waiting_until_ms if ms > now_ms
    ]
    for _ in due:
        fleet.arrivals_ms.append(now_ms + rng.choice(DELAYS_MS))
    while name in fleet.spenders and fleet.may_retry(fleet, name, process):
        process.retries_ms.append(now_ms)
        retry_budget.record_retry(process.budget, LIMITS, now_ms)
        if fleet.wait_ms:
            process.waiting_until_ms.append(now_ms + fleet.wait_ms)
        else:
            fleet.arrivals_ms.append(now_ms + rng.choice(DELAYS_MS))


# What the service sees.


def worst_excess(requests_ms, arrivals_ms) -> tuple[float, int, float]:
    """Return by how much the retries of some window exceed their bound.

    Parameters
    ----------
    requests_ms
        Times at which clients sent requests for the service.
    arrivals_ms
        Times at which retries arrived.

    Returns
    -------
    tuple
        Retries beyond the bound in the worst window (negative if all windows
        hold), the retries in it and their bound.
    """
    window_ms = LIMITS.window_ms
    if not arrivals_ms:
        return (-LIMITS.slack, 0, LIMITS.slack)
    first_ms = min(arrivals_ms) - 2 * window_ms
    length = max(arrivals_ms) - first_ms + 2 * window_ms
    arrived = _cumulate(arrivals_ms, first_ms, length)
    sent = _cumulate(requests_ms, first_ms, length)

    def requests(start) -> int:
        return sent[start + window_ms + 1] - sent[start]

    worst = (-float("inf"), 0, 0.0)
    for start in range(window_ms, length - window_ms - 1):
        retries = arrived[start + window_ms + 1] - arrived[start]
        counts = (start, start - window_ms, start - window_ms // 2)
        bound = LIMITS.ratio * max(map(requests, counts)) + LIMITS.slack
        if retries - bound > worst[0]:
            worst = (retries - bound, retries, bound)
    return worst


def _cumulate(times_ms, first_ms, length) -> list:
    """Return the number of times before each millisecond."""
    counts = [0] * length
    for time_ms in times_ms:
        if 0 <= time_ms - first_ms < length:
            counts[time_ms - first_ms] += 1
    return [0, *itertools.accumulate(counts)]


def retries_within(fleet, start_ms, end_ms) -> int:
    """Count the retries that arrived in a time."""
    return sum(start_ms <= ms < end_ms for ms in fleet.arrivals_ms)
