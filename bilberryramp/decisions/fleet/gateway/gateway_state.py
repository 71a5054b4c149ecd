"""State of a gateway, and the actions of the chart of a call."""

import dataclasses
import random
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import (
    calls,
    documents,
    hosts,
    keys,
    presence,
    sharing,
    workspaces,
)
from bilberryramp.decisions.fleet.limits import (
    memory_use,
    retry_budget,
    retry_shares,
    usage_credits,
)
from bilberryramp.decisions.fleet.orders import placement
from bilberryramp.decisions.fleet.quarantine import suspect_trials, suspects
from bilberryramp.decisions.fleet.queueing import lanes, turns
from bilberryramp.decisions.fleet.routing import (
    engine_speeds,
    health,
    scheduling,
    stream_gaps,
    upstream_pauses,
)
from bilberryramp.decisions.shared import charting

__all__ = [
    "Gateway",
    "actions",
    "cache_capacity_tokens",
    "engine_spec",
    "fire",
    "guards",
    "lane_key",
    "retry_account",
    "retry_details",
    "service_budget",
    "work_of",
]


@dataclasses.dataclass(slots=True)
class Gateway:
    """State of one gateway.

    Attributes
    ----------
    address
        Address of this node, which identifies it in reports.
    exchange_chart, health_chart
        Bound ``exchange`` chart of calls and ``upstream_health`` chart.
    rng
        Source of randomness for weighted and tie-breaking choices.
    table
        Known upstreams.
    budget_limits
        Limits of the retry budget.
    pauses
        Pauses that upstreams have asked this node for.
    failure_domain
        Failure domain of this node.
    loads
        Calls in flight by upstream, of this gateway and of its peers.
    doc
        Service document in force; None until one has arrived.
    index
        Routes of the document by host and path.
    active
        All calls that have not ended, by call identifier.
    queue
        Calls that wait for an upstream, by call identifier.
    engine_memory
        What this node's requests occupy at the engines.
    held
        Calls that wait for a trial because upstreams were lost under their
        requests, by call identifier.
    suspect_state
        Requests under which upstreams were lost.
    upstream_health
        Circuit breaker by upstream identifier.
    budgets
        Retry budget by service.
    full_until_ms
        Until when an upstream that reported that it is full gets no calls, by
        upstream identifier.
    speeds
        Measured reading speeds of the engines.
    gap_policies
        What the streams of the document's services need, by service; only
        services with an objective for pauses.
    read_bursts
        What each engine has read last, by `keys.short_key` of its id.
    demand
        Demand for models and recent uses, as all gateways report them.
    unanswered_since_ms
        For each engine, when its agent received the first request that it
        has not answered.
    discovery_deadline_ms
        Time by which every running upstream has announced itself to this
        node.
    retry_share
        This node's part of the slack of the retry budgets.
    usage
        This node's credits for the usage of workspaces.
    started_ms
        When this process started.
    queue_lanes
        Queues that waiting calls form, by service and weights.
    workspace_turns
        What the workspaces have used of late.
    is_shutting_down
        Whether the process is about to end, so that no call may wait.
    served_ms
        When the queue was last served.
    """

    address: str
    exchange_chart: charting.Chart
    health_chart: charting.Chart
    rng: random.Random
    table: presence.Table
    budget_limits: retry_budget.Limits
    pauses: upstream_pauses.Pauses
    failure_domain: str = ""
    loads: sharing.Loads = dataclasses.field(default_factory=sharing.Loads)
    doc: documents.Document | None = None
    index: hosts.HostIndex | None = None
    active: dict[int, calls.Call] = dataclasses.field(default_factory=dict)
    queue: dict[int, calls.Call] = dataclasses.field(default_factory=dict)
    held: dict[int, calls.Call] = dataclasses.field(default_factory=dict)
    engine_memory: memory_use.Memory = dataclasses.field(init=False)
    suspect_state: suspects.Suspects = dataclasses.field(init=False)
    upstream_health: dict[str, health.Health] = dataclasses.field(
        default_factory=dict
    )
    budgets: dict[str, retry_budget.Budget] = dataclasses.field(
        default_factory=dict
    )
    full_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    speeds: engine_speeds.Speeds = dataclasses.field(
        default_factory=engine_speeds.Speeds
    )
    gap_policies: dict[str, stream_gaps.Policy] = dataclasses.field(
        default_factory=dict
    )
    read_bursts: dict[int, stream_gaps.Burst] = dataclasses.field(
        default_factory=dict
    )
    demand: placement.Demand = dataclasses.field(
        default_factory=placement.Demand
    )
    unanswered_since_ms: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    discovery_deadline_ms: int = 0
    retry_share: retry_shares.Share = retry_shares.Share()
    usage: usage_credits.Credits = dataclasses.field(
        default_factory=usage_credits.Credits
    )
    started_ms: int = 0
    queue_lanes: dict[tuple[str, str], lanes.Lane] = dataclasses.field(
        default_factory=dict
    )
    workspace_turns: turns.Turns = dataclasses.field(
        default_factory=turns.Turns
    )
    is_shutting_down: bool = False
    served_ms: int = 0

    def __post_init__(self):
        """Make the state that shares the table of upstreams."""
        self.engine_memory = memory_use.Memory(self.address)
        self.suspect_state = suspects.Suspects(self.address, self.table)


def engine_spec(gw: Gateway, service: str) -> documents.EngineSpec | None:
    """Return the description of a service's engines.

    Parameters
    ----------
    gw
        State of the gateway, which must have a document.
    service
        Name of the service.

    Returns
    -------
    EngineSpec or None
        None for a plain or unknown service.
    """
    spec = gw.doc.services.get(service)
    return spec.engine if spec is not None else None


def service_budget(gw: Gateway, service: str) -> retry_budget.Budget:
    """Return a service's retry budget, creating it if it does not exist."""
    return gw.budgets.setdefault(service, retry_budget.Budget())


def retry_account(
    gw: Gateway, service: str, now_ms: int
) -> retry_budget.Account:
    """Return what this node has spent of a service's retry budget.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    service
        Name of the service.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Account
        The present numbers, with this node's share of the slack.
    """
    return retry_budget.account(
        service_budget(gw, service),
        gw.budget_limits,
        retry_shares.fleet_size_at(gw.retry_share, now_ms),
        now_ms,
    )


def retry_details(gw: Gateway, call: calls.Call, now_ms: int) -> dict:
    """Describe a retry of a call, and the budget of its service, for the log.

    Parameters
    ----------
    gw
        State of the gateway.
    call
        Call whose last attempt has ended.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    dict
        Fields of a `Trace`. ``counted`` is whether the retry counts toward
        the budget, and ``upstream`` the upstream of the last attempt.
    """
    state = retry_account(gw, call.service, now_ms)
    return {
        "request_id": call.request.request_id,
        "service": call.service,
        "after": call.last_outcome.value,
        "upstream": call.upstream_id,
        "send": call.send_count,
        "counted": call.may_have_arrived,
        "spent": state.spent,
        "earned": round(state.earned, 2),
        "share": round(state.share, 2),
        "fleet_size": retry_shares.fleet_size_at(gw.retry_share, now_ms),
        "started_ms": gw.started_ms,
        "window_ms": gw.budget_limits.window_ms,
        "waited_ms": now_ms - call.attempt_ended_ms,
    }


def lane_key(call: calls.Call) -> tuple[str, str]:
    """Return the service and weights of a call, which name its lane."""
    prompt = call.request.prompt
    return call.service, prompt.weights if prompt is not None else ""


def work_of(call: calls.Call) -> float:
    """Return the work of a call: prompt tokens, or 1 without a prompt."""
    prompt = call.request.prompt
    if prompt is None:
        return 1.0
    return scheduling.uncached_work_tokens(prompt)


def cache_capacity_tokens(gw: Gateway) -> int:
    """Return the largest key-value cache of all services' engines in tokens.

    It bounds the modeled prefix cache of each engine.
    """
    services = gw.doc.services.values() if gw.doc is not None else ()
    sizes = (s.engine.kv_tokens for s in services if s.engine is not None)
    return max(sizes, default=0)


def fire(gw: Gateway, call: calls.Call, event: str, now_ms: int) -> Iterator:
    """Fire an event of a call's chart and yield the effects."""
    yield from charting.fire(gw.exchange_chart, call, event, now_ms, gw)


# Actions of the chart of a call.


def _add_load(call: calls.Call, now_ms: int, gw: Gateway) -> Iterator:
    gw.queue.pop(call.call_id, None)
    if gw.doc.workspaces:
        work = work_of(call)
        lane = gw.queue_lanes.setdefault(lane_key(call), lanes.Lane())
        lanes.record_sent(lane, workspaces.urgency(call), work, now_ms)
        turns.record_sent(gw.workspace_turns, call.workspace, work, now_ms)
    load = sharing.own_load(gw.loads, call.upstream_id)
    load.calls += 1
    load.reserved_tokens += call.reserved_tokens
    load.unread_tokens[call.urgency_level] += call.unread_tokens
    _count_adapter_call(load, call, 1)
    sharing.record_load_change(gw.loads, call.upstream_id, call.unread_tokens)
    memory_use.start_use(gw.engine_memory, call)
    yield from ()


def _mark_prompt_read(call: calls.Call, now_ms: int, gw: Gateway) -> Iterator:
    load = sharing.own_load(gw.loads, call.upstream_id)
    load.unread_tokens[call.urgency_level] -= call.unread_tokens
    sharing.record_load_change(gw.loads, call.upstream_id, call.unread_tokens)
    if call.unread_tokens:
        stream_gaps.record_read(
            gw.read_bursts,
            keys.short_key(call.upstream_id),
            call.unread_tokens,
            now_ms,
        )
    call.unread_tokens = 0
    yield from ()


def _remove_load(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    load = sharing.own_load(gw.loads, call.upstream_id)
    load.calls -= 1
    held_tokens = yield from memory_use.end_use(gw.engine_memory, call)
    load.reserved_tokens -= call.reserved_tokens - held_tokens
    load.unread_tokens[call.urgency_level] -= call.unread_tokens
    _count_adapter_call(load, call, -1)
    sharing.record_load_change(gw.loads, call.upstream_id, call.unread_tokens)
    call.reserved_tokens = call.unread_tokens = 0


def _count_adapter_call(
    load: sharing.Load, call: calls.Call, change: int
) -> None:
    prompt = call.request.prompt
    if prompt is not None and prompt.adapter:
        sharing.count_adapter_call(load, prompt.weights, change)


def _join_queue(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    gw.queue[call.call_id] = call
    yield from ()


def _leave_queue(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    gw.queue.pop(call.call_id, None)
    yield from memory_use.release(gw.engine_memory, call)


def _join_held(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    gw.held[call.call_id] = call
    yield from ()


def _leave_held(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    gw.held.pop(call.call_id, None)
    yield from ()


def _count_sent(call: calls.Call, _now_ms: int, gw: Gateway) -> Iterator:
    upstream_pauses.record_sent(gw.pauses, call)
    yield from ()


def _count_served(call: calls.Call, now_ms: int, gw: Gateway) -> Iterator:
    yield from upstream_pauses.record_response(gw.pauses, call, True, now_ms)


def _count_unserved(call: calls.Call, now_ms: int, gw: Gateway) -> Iterator:
    yield from upstream_pauses.record_response(gw.pauses, call, False, now_ms)


def _end_trial(call: calls.Call, now_ms: int, gw: Gateway) -> Iterator:
    yield from suspect_trials.end_trial(gw.suspect_state, call, now_ms)


guards: dict = {}
actions = {
    "add_load": _add_load,
    "mark_prompt_read": _mark_prompt_read,
    "remove_load": _remove_load,
    "join_queue": _join_queue,
    "leave_queue": _leave_queue,
    "join_held": _join_held,
    "leave_held": _leave_held,
    "count_sent": _count_sent,
    "count_served": _count_served,
    "count_unserved": _count_unserved,
    "end_trial": _end_trial,
}
