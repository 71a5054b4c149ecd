"""Simulated nodes and upstreams that ask for pauses, in virtual time.

Real gateways send calls to upstreams that turn some of them away, restart and
send heartbeats. Connections take long at times, and so do the nodes' event
loops. Each upstream counts the requests that reach it from a node in a pause,
later than `GRACE_MS` after the answer that asked for it.
"""

import dataclasses
import heapq
import itertools
import random

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.routing import upstream_pauses
from bilberryramp.decisions.fleet.tests import builders

START_MS = 100_000
GRACE_MS = 500
HEARTBEAT_MS = 400
TICK_MS = 50
DELAY_MS = (1, 30)
SLOW_CONNECT_MS = (20, 900)
RUN_MS = (10, 120)
REQUEST_INTERVAL_MS = (5, 35)
PAUSES_MS = (0, 250, 700, 1500, 4000)
MODE_MS = (500, 4000)
DOWN_MS = (600, 2000)
SHED_RATIOS = (0.0, 0.45, 1.0)
STALL_MS = (200, 1500)
PATHS = ("/look/x", "/file/x")
_TURNED_AWAY = (
    calls.AttemptOutcome.NOT_RUN,
    calls.AttemptOutcome.FAILED,
    calls.AttemptOutcome.BROKEN,
)


@dataclasses.dataclass(slots=True)
class Upstream:
    """A simulated upstream.

    Attributes
    ----------
    name, address
        Id and address.
    born_ms, seq
        Start of its process, and number of its last heartbeat.
    is_up
        Whether the process runs.
    shed_ratio
        Part of the requests that it turns away.
    connect_ms
        Bounds of the time until a connection to it is open.
    pauses
        By node, the periods in which it wants no requests.
    late
        By node and period, the requests that reached it in it.
    arrivals
        Times at which requests reached it, with the node.
    """

    name: str
    address: str
    born_ms: int = START_MS
    seq: int = 0
    is_up: bool = True
    shed_ratio: float = 0.0
    connect_ms: tuple[int, int] = DELAY_MS
    pauses: dict = dataclasses.field(default_factory=dict)
    late: dict = dataclasses.field(default_factory=dict)
    arrivals: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Node:
    """A gateway, with the messages that wait while its loop is late."""

    gw: gateway_state.Gateway
    late_until_ms: int = 0
    outcomes: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Fleet:
    """State of a simulation.

    Attributes
    ----------
    rng
        Source of all choices.
    nodes, upstreams
        The nodes by name, and the upstreams by id.
    now_ms
        Virtual time.
    events
        Heap of events: time, number, function and arguments.
    is_calm
        Whether no more faults begin.
    """

    rng: random.Random
    nodes: dict = dataclasses.field(default_factory=dict)
    upstreams: dict = dataclasses.field(default_factory=dict)
    now_ms: int = START_MS
    events: list = dataclasses.field(default_factory=list)
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    is_calm: bool = False


def make_fleet(seed, node_count=3, upstream_count=3) -> Fleet:
    """Make a fleet that runs, with upstreams of the plain service."""
    fleet = Fleet(random.Random(seed))
    for number in range(node_count):
        name = f"n{number}"
        gw = builders.make_gateway(now_ms=START_MS, seed=seed + number)
        gw.address = f"{name}:1"
        gw.retry_share = builders.make_share(node_count)
        fleet.nodes[name] = Node(gw)
        _after(fleet, (0, TICK_MS), _tick, name)
        _after(fleet, (0, TICK_MS), _submit, name)
        _after(fleet, (0, 3000), _stall, name)
    for number in range(upstream_count):
        upstream = Upstream(f"p{number}", f"10.0.0.{number + 1}:80")
        fleet.upstreams[upstream.name] = upstream
        _after(fleet, (0, 1), _beat, upstream, upstream.born_ms)
        _after(fleet, MODE_MS, _change_mode, upstream)
        _after(fleet, (3000, 20_000), _end_process, upstream)
    return fleet


def run(fleet: Fleet, duration_ms: int) -> None:
    """Advance the simulation."""
    end_ms = fleet.now_ms + duration_ms
    while fleet.events and fleet.events[0][0] <= end_ms:
        fleet.now_ms, _, handle, args = heapq.heappop(fleet.events)
        handle(fleet, *args)
    fleet.now_ms = end_ms


def calm_down(fleet: Fleet) -> None:
    """End all faults but the pauses that were asked for."""
    fleet.is_calm = True
    for upstream in fleet.upstreams.values():
        upstream.shed_ratio, upstream.connect_ms = 0.0, DELAY_MS


def _after(fleet, bounds_ms, handle, *args) -> None:
    due_ms = fleet.now_ms + fleet.rng.randint(*bounds_ms)
    heapq.heappush(fleet.events, (due_ms, next(fleet.numbers), handle, args))


# Nodes.


def _deliver(fleet, name, message) -> None:
    """Let a node handle a message once its loop is no longer late."""
    node = fleet.nodes[name]
    if fleet.now_ms < node.late_until_ms:
        wait_ms = node.late_until_ms - fleet.now_ms
        _after(fleet, (wait_ms, wait_ms), _deliver, name, message)
        return
    for effect in gateway.step(node.gw, fleet.now_ms, message):
        match effect:
            case calls.SendCall():
                upstream = fleet.upstreams[effect.upstream_id]
                _after(fleet, upstream.connect_ms, _connect, name, effect)
            case calls.Refuse():
                node.outcomes.append((fleet.now_ms, effect.reason))
            case calls.Fail() | calls.ForwardFailure():
                node.outcomes.append((fleet.now_ms, "failed"))


def _tick(fleet, name) -> None:
    _deliver(fleet, name, gateway.Tick())
    _after(fleet, (TICK_MS, TICK_MS), _tick, name)


def _submit(fleet, name) -> None:
    call_id = next(fleet.numbers)
    path = fleet.rng.choice(PATHS)
    req = builders.make_request(path, request_id=f"q{call_id}")
    _deliver(fleet, name, calls.CallArrived(call_id, req, fleet.now_ms))
    _after(fleet, REQUEST_INTERVAL_MS, _submit, name)


def _stall(fleet, name) -> None:
    if not fleet.is_calm:
        stall_ms = fleet.rng.randint(*STALL_MS)
        fleet.nodes[name].late_until_ms = fleet.now_ms + stall_ms
    _after(fleet, (2000, 12_000), _stall, name)


def _connect(fleet, name, send_call) -> None:
    node = fleet.nodes[name]
    if fleet.now_ms < node.late_until_ms:
        wait_ms = node.late_until_ms - fleet.now_ms + 1
        _after(fleet, (wait_ms, wait_ms), _connect, name, send_call)
        return
    if not upstream_pauses.may_send(
        node.gw.pauses, node.gw.table, send_call, fleet.now_ms
    ):
        outcome = calls.AttemptOutcome.WITHHELD
        _deliver(fleet, name, calls.AttemptEnded(send_call.call_id, outcome))
        return
    _after(fleet, DELAY_MS, _arrive, name, send_call)


# Upstreams.


def _arrive(fleet, name, send_call) -> None:
    upstream = fleet.upstreams[send_call.upstream_id]
    if not upstream.is_up:
        _answer(fleet, name, send_call, calls.AttemptOutcome.UNREACHABLE)
        return
    now_ms = fleet.now_ms
    upstream.arrivals.append((now_ms, name))
    for period in upstream.pauses.get(name, ()):
        if period[0] + GRACE_MS <= now_ms < period[1]:
            key = (name, *period)
            upstream.late[key] = upstream.late.get(key, 0) + 1
    if fleet.rng.random() < upstream.shed_ratio:
        pause_ms = fleet.rng.choice(PAUSES_MS)
        upstream.pauses.setdefault(name, []).append(
            (now_ms, now_ms + pause_ms)
        )
        outcome = fleet.rng.choice(_TURNED_AWAY)
        _answer(fleet, name, send_call, outcome, pause_ms)
        return
    _after(fleet, RUN_MS, _finish, name, send_call, upstream.born_ms)


def _finish(fleet, name, send_call, born_ms) -> None:
    upstream = fleet.upstreams[send_call.upstream_id]
    is_lost = not upstream.is_up or upstream.born_ms != born_ms
    outcome = (
        calls.AttemptOutcome.BROKEN
        if is_lost
        else calls.AttemptOutcome.DELIVERED
    )
    _answer(fleet, name, send_call, outcome)


def _answer(fleet, name, send_call, outcome, pause_ms=0) -> None:
    _after(fleet, DELAY_MS, _receive, name, send_call, outcome, pause_ms)


def _receive(fleet, name, send_call, outcome, pause_ms) -> None:
    if pause_ms:
        notice = upstream_pauses.PauseNotice(
            send_call.upstream_id,
            send_call.address,
            send_call.born_ms,
            pause_ms,
        )
        _deliver(fleet, name, gateway.PauseSeen(notice))
    if outcome is calls.AttemptOutcome.DELIVERED:
        fleet.nodes[name].outcomes.append((fleet.now_ms, "served"))
    _deliver(fleet, name, calls.AttemptEnded(send_call.call_id, outcome))


def _beat(fleet, upstream, born_ms) -> None:
    if not upstream.is_up or upstream.born_ms != born_ms:
        return
    upstream.seq += 1
    announcement = builders.make_plain_announcement(
        upstream.name,
        address=upstream.address,
        born_ms=born_ms,
        seq=upstream.seq,
    )
    for name in fleet.nodes:
        _after(fleet, DELAY_MS, _deliver, name, announcement)
    _after(fleet, (HEARTBEAT_MS, HEARTBEAT_MS), _beat, upstream, born_ms)


def _change_mode(fleet, upstream) -> None:
    if not fleet.is_calm:
        upstream.shed_ratio = fleet.rng.choice(SHED_RATIOS)
        upstream.connect_ms = fleet.rng.choice((DELAY_MS, SLOW_CONNECT_MS))
    _after(fleet, MODE_MS, _change_mode, upstream)


def _end_process(fleet, upstream) -> None:
    if not fleet.is_calm:
        upstream.is_up = False
        _after(fleet, DOWN_MS, _start_process, upstream)
    _after(fleet, (5000, 20_000), _end_process, upstream)


def _start_process(fleet, upstream) -> None:
    upstream.is_up = True
    upstream.born_ms, upstream.seq = fleet.now_ms, 0
    if not fleet.is_calm:
        upstream.shed_ratio = fleet.rng.choice(SHED_RATIOS)
    # The new process has asked for no pause.
    upstream.pauses.clear()
    _beat(fleet, upstream, upstream.born_ms)
