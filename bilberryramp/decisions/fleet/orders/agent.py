"""Order an engine to load and unload models and adapters.

The agent is the only one that sends orders to its engine. Gateways request
adapters, and the planner requests models. The agent sends one order at a time.

A local agent runs on the instance of its engine. It reads the engine's own
report, which is current and cheap to obtain locally, between any two orders.
A remote agent runs on another instance, where reports are old and cost more.
It counts the accepted orders itself, assumes what they change, and reads the
engine only if it does not know the count or while a model changes.

Each order states how many orders the engine must have accepted before, so the
engine refuses an order that arrives late. Each order also carries a fencing
token, which increases across restarts of the agent.
"""

import dataclasses
import enum
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import documents, presence
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.limits import memory_claims
from bilberryramp.decisions.shared import charting

__all__ = [
    "Agent",
    "AgentPresent",
    "EngineReport",
    "Notify",
    "OrderAnswer",
    "OrderEnded",
    "OrderInFlight",
    "ReadEngine",
    "ResidencyAnnounced",
    "ResidencyReport",
    "ResidencyRequest",
    "SendOrder",
    "Tick",
    "actions",
    "guards",
    "needs_tick",
    "new_agent",
    "step",
]

# Time after which a residency request expires unless it is repeated.
REQUEST_TTL_MS = 1500
# Interval between reports while an order or a load is in progress, and
# otherwise.
READ_INTERVAL_BUSY_MS = 40
READ_INTERVAL_IDLE_MS = 1000
# Delay before the next report while an adapter is loading, which takes a few
# milliseconds.
READ_DELAY_LOADING_MS = 6
# Time after loading during which an adapter is not evicted.
MIN_RESIDENCY_MS = 400
# Number of adapters that an engine may load at the same time.
MAX_LOADING_ADAPTERS = 4
# Pause before the next order after the engine refused one.
REFUSED_PAUSE_MS = 60
# Delay before the engine is read after an order without an answer; a report
# read earlier might describe the state before the order.
UNANSWERED_PAUSE_MS = 500
# Interval between a remote agent's reports while a model is loaded or
# unloaded, and its delay before a report that must show its last order:
# remote reports are some hundred milliseconds old.
REMOTE_READ_INTERVAL_MS = 200
REMOTE_READ_DELAY_MS = 700
# Pause of a remote agent before the next order after an unload was accepted,
# or was found to be still in progress. The engine refuses the next order until
# the unload has ended, so trying is safe.
UNLOAD_PAUSE_MS = 100
# Time after which a remote agent assumes that an adapter is loaded. A load
# takes up to ten milliseconds.
ADAPTER_LOAD_MS = 15
# Time after its last order for which a remote agent ignores the adapters in
# announcements, which may describe the state before the order.
ANNOUNCEMENT_AGE_MS = 3000
# Increment of the fencing token when the engine has seen a higher one.
FENCING_TOKEN_STEP = 1_000_000
# The same for a remote agent, whose tokens grow by this with each term of the
# register, and the pause before the next order. Tokens start anew if all nodes
# lose their state.
REMOTE_FENCING_TOKEN_STEP = 2**31
REMOTE_FENCED_PAUSE_MS = 5000
# Minimum age of an adapter's load, and interval, for a remote agent to read
# the engine because a node asks for what it assumes to be resident.
DOUBT_AGE_MS = 500
DOUBT_INTERVAL_MS = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class ResidencyRequest:
    """Request to an agent to make a model or adapter resident, or absent.

    Attributes
    ----------
    sender
        Address of the requesting node, which is notified of the outcome.
    upstream_id
        Id of the engine process.
    load
        True to load, False to unload.
    model
        Name of the model.
    adapter
        Name of the adapter; empty for the model itself.
    size_mb
        Memory that the model or adapter occupies, in megabytes.
    capacity
        Capacity of the engine.
    spare
        Pairs of model and adapter that may be evicted, in order of
        preference; the adapter is empty for a model.
    """

    sender: str
    upstream_id: str
    load: bool
    model: str
    adapter: str
    size_mb: float
    capacity: documents.EngineCapacity
    spare: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class AgentPresent:
    """Periodic message of an agent to the seeds of its fleet.

    Attributes
    ----------
    address
        Address of the agent.
    """

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class ResidencyReport:
    """Report of an agent that a model or adapter is resident or absent.

    Attributes
    ----------
    upstream_id
        Id of the engine process.
    model
        Name of the model.
    adapter
        Name of the adapter; empty for the model itself.
    held
        Whether it is resident.
    """

    upstream_id: str
    model: str
    adapter: str
    held: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ResidencyAnnounced:
    """The engine announced its resident models, for a remote agent.

    Attributes
    ----------
    resident
        Resident models with their adapters.
    """

    resident: tuple[presence.ResidentModel, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Periodic message that lets the agent act on elapsed time."""


@dataclasses.dataclass(slots=True, frozen=True)
class ReadEngine:
    """Request the engine's report; answered by `EngineReport`.

    Attributes
    ----------
    delay_ms
        Time in milliseconds to wait before the request.
    """

    delay_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Report of an engine about its own state.

    Attributes
    ----------
    order_count
        Number of orders that the engine has accepted; -1 if it did not
        answer.
    resident
        Resident models with their adapters.
    loading
        Pairs of model and adapter that are being loaded.
    is_changing_model
        Whether the engine is loading or unloading a model.
    """

    order_count: int
    resident: tuple[presence.ResidentModel, ...] = ()
    loading: tuple[tuple[str, str], ...] = ()
    is_changing_model: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Send an order to the engine; answered by `OrderEnded`.

    Attributes
    ----------
    upstream_id
        Id of the engine process for which the order is meant.
    load
        True to load, False to unload.
    model
        Name of the model.
    adapter
        Name of the adapter; empty for the model itself.
    fence
        Fencing token; the engine refuses one that is lower than a token that
        it has seen.
    expected_count
        Number of orders that the engine must have accepted before.
    """

    upstream_id: str
    load: bool
    model: str
    adapter: str
    fence: int
    expected_count: int


class OrderAnswer(enum.StrEnum):
    """Answer of an engine to an order."""

    ACCEPTED = "accepted"
    """The engine has accepted the order."""
    DONE = "done"
    """The engine has already executed the order."""
    BUSY = "busy"
    """The engine refused the order for now; the request stays pending."""
    FENCED = "fenced"
    """The engine has seen a higher fencing token."""
    REFUSED = "refused"
    """The engine refused the order; its request is dropped."""
    NONE = "none"
    """No answer arrived; the engine may or may not have accepted the order."""


@dataclasses.dataclass(slots=True, frozen=True)
class OrderEnded:
    """Notification that the order in flight was answered or timed out.

    Attributes
    ----------
    answer
        Answer of the engine, one of `OrderAnswer`.
    """

    answer: str


@dataclasses.dataclass(slots=True, frozen=True)
class Notify:
    """Send a message to a node.

    Attributes
    ----------
    to
        Address of the node.
    message
        A report, or the answer to a claim.
    """

    to: str
    message: ResidencyReport | memory_claims.MemoryAnswer


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A residency request that is not satisfied yet.

    Attributes
    ----------
    req
        Newest request for the model or adapter.
    requesters
        Addresses of the nodes to notify.
    expires_ms
        When the request expires.
    """

    req: ResidencyRequest
    requesters: set[str]
    expires_ms: int


@dataclasses.dataclass(slots=True)
class OrderInFlight:
    """An order that was sent and not yet answered.

    Attributes
    ----------
    order
        The order.
    sent_ms
        When it was sent.
    """

    order: SendOrder
    sent_ms: int


@dataclasses.dataclass(slots=True)
class Agent:
    """State of one agent; its phases are those of ``engine_order.yaml``.

    Attributes
    ----------
    chart
        Bound ``engine_order`` chart.
    fence
        Fencing token of the next order.
    in_flight
        The order that awaits an answer, if any.
    order_count
        Number of orders that the engine has accepted, as of its last report;
        -1 if unknown.
    resident
        Names of resident adapters by model, as of the last report.
    loading
        Pairs of model and adapter that are being loaded.
    is_changing_model
        Whether the engine is loading or unloading a model.
    pending
        Unsatisfied requests by model and adapter.
    loaded_ms
        When each adapter was loaded, by model and adapter.
    read_due_ms
        When the next report is due.
    is_reading
        Whether a report was requested and has not arrived.
    paused_until_ms
        Time before which no order is sent.
    is_remote
        Whether the agent runs on another instance than the engine.
    may_order
        Whether the agent may send orders, and if remote read the engine, now.
    changing
        Model that the last order loads or unloads, and whether it loads;
        None if no such order is in progress. Used by a remote agent only.
    ordered_ms
        When the last order ended.
    verified_ms
        When the engine was last read because of a doubtful assumption.
    key, phase, timer
        State of the chart: key of its timers, current state, and token of
        the current timer.
    """

    chart: charting.Chart
    fence: int
    key: str = "engine_order"
    phase: str = "unread"
    timer: int = 0
    in_flight: OrderInFlight | None = None
    order_count: int = -1
    resident: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    loading: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    is_changing_model: bool = False
    pending: dict[tuple[str, str], PendingRequest] = dataclasses.field(
        default_factory=dict
    )
    loaded_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    read_due_ms: int = 0
    is_reading: bool = False
    paused_until_ms: int = 0
    is_remote: bool = False
    may_order: bool = True
    changing: tuple[str, bool] | None = None
    ordered_ms: int = -(10**9)
    verified_ms: int = -(10**9)
    memory: memory_claims.Book = dataclasses.field(
        default_factory=memory_claims.Book
    )


def new_agent(
    chart: charting.Chart, fence: int, is_remote: bool = False
) -> Agent:
    """Create an agent.

    Parameters
    ----------
    chart
        Bound ``engine_order`` chart.
    fence
        First fencing token, which must exceed those of earlier processes.
    is_remote
        Whether the agent runs on another instance than the engine.

    Returns
    -------
    Agent
        Agent in the initial state; it sends no order before it has received
        a report of its engine.
    """
    return Agent(chart, fence, phase=chart.spec.initial, is_remote=is_remote)


def needs_tick(agent: Agent) -> bool:
    """Return whether a tick can have an effect on an agent.

    Parameters
    ----------
    agent
        State of the agent.

    Returns
    -------
    bool
        False for a remote agent without work.
    """
    return bool(
        not agent.is_remote
        or agent.pending
        or agent.loading
        or agent.changing
        or agent.phase != "idle"
    )


def step(agent: Agent, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    agent
        State of the agent. Modified in place.
    now_ms
        Current time in milliseconds.
    message
        `ResidencyRequest`, `EngineReport`, `OrderEnded`,
        `ResidencyAnnounced`, `MemoryClaim`, `MemoryRelease` or `Tick`.

    Yields
    ------
    effect
        `SendOrder`, `ReadEngine`, `Notify` or `Trace`.
    """
    memory_claims.note_time(agent.memory, now_ms)
    yield from _HANDLERS[type(message)](agent, now_ms, message)


def _on_memory_claim(
    agent: Agent, now_ms: int, claim: memory_claims.MemoryClaim
) -> Iterator:
    # Only a remote agent can have a successor.
    is_sole = agent.may_order or not agent.is_remote
    yield Notify(
        claim.sender,
        memory_claims.answer_claim(agent.memory, claim, is_sole, now_ms),
    )


def _on_memory_release(
    agent: Agent, _now_ms: int, release: memory_claims.MemoryRelease
) -> Iterator:
    memory_claims.release_claim(agent.memory, release)
    yield from ()


def _on_request(agent: Agent, now_ms: int, req: ResidencyRequest) -> Iterator:
    key = (req.model, req.adapter)
    if _is_satisfied(agent, req):
        yield Notify(req.sender, _report_for(req))
        yield from _verify_assumption(agent, now_ms, key)
        return
    pending = agent.pending.get(key)
    if pending is None or pending.req.load != req.load:
        pending = agent.pending[key] = PendingRequest(req, set(), 0)
    pending.req = req
    pending.requesters.add(req.sender)
    pending.expires_ms = now_ms + REQUEST_TTL_MS
    yield from _send_next_order(agent, now_ms)


def _verify_assumption(
    agent: Agent, now_ms: int, key: tuple[str, str]
) -> Iterator:
    """Read the engine if a node misses what a remote agent assumes."""
    loaded_ms = agent.loaded_ms.get(key, -DOUBT_AGE_MS)
    if (
        agent.is_remote
        and agent.may_order
        and agent.phase == "idle"
        and agent.changing is None
        and now_ms - max(loaded_ms, agent.ordered_ms) >= DOUBT_AGE_MS
        and now_ms - agent.verified_ms >= DOUBT_INTERVAL_MS
    ):
        agent.verified_ms = now_ms
        agent.is_reading = True
        yield ReadEngine()


def _on_tick(agent: Agent, now_ms: int, _message) -> Iterator:
    for key, pending in list(agent.pending.items()):
        if now_ms >= pending.expires_ms:
            agent.pending.pop(key)
    if agent.is_remote:
        yield from _assume_adapters_loaded(agent, now_ms)
    if _is_report_due(agent, now_ms):
        agent.is_reading = True
        yield ReadEngine()
    yield from _send_next_order(agent, now_ms)


def _is_report_due(agent: Agent, now_ms: int) -> bool:
    if agent.is_reading or now_ms < agent.read_due_ms:
        return False
    # A remote agent that may not order yet would read in vain.
    return not agent.is_remote or (
        agent.may_order
        and (agent.phase == "unread" or agent.changing is not None)
    )


def _assume_adapters_loaded(agent: Agent, now_ms: int) -> Iterator:
    if agent.loading and now_ms - agent.ordered_ms >= ADAPTER_LOAD_MS:
        for model, adapter in agent.loading:
            agent.resident.setdefault(model, set()).add(adapter)
        agent.loading = set()
        yield from _notify_satisfied(agent)


def _on_residency_announced(
    agent: Agent, now_ms: int, announced: ResidencyAnnounced
) -> Iterator:
    """Take the end of a model's load or unload from an announcement.

    Adapters, and models that no order concerned, are taken from it only if
    the last order is long past.
    """
    if agent.phase != "idle":
        return
    resident = {
        entry.model: set(entry.adapters) for entry in announced.resident
    }
    if agent.changing is not None:
        model, is_load = agent.changing
        if (model in resident) != is_load:
            return
        _end_model_change(agent, resident.get(model, set()))
    elif now_ms - agent.ordered_ms >= ANNOUNCEMENT_AGE_MS:
        agent.resident = resident
    yield from _notify_satisfied(agent)
    yield from _send_next_order(agent, now_ms)


def _end_model_change(agent: Agent, adapters: set[str]) -> None:
    model, is_load = agent.changing
    agent.changing, agent.is_changing_model = None, False
    if is_load:
        agent.resident[model] = adapters
    else:
        agent.resident.pop(model, None)


def _on_engine_report(
    agent: Agent, now_ms: int, report: EngineReport
) -> Iterator:
    agent.is_reading = False
    if agent.is_remote:
        agent.read_due_ms = now_ms + REMOTE_READ_INTERVAL_MS
        if -1 < report.order_count < agent.order_count:
            # The report describes the engine before its last order.
            return
        yield from _adopt_report(agent, now_ms, report)
        return
    is_read_often = (
        agent.phase != "idle" or agent.is_changing_model or agent.loading
    )
    agent.read_due_ms = now_ms + (
        READ_INTERVAL_BUSY_MS if is_read_often else READ_INTERVAL_IDLE_MS
    )
    yield from _adopt_report(agent, now_ms, report)
    if agent.loading and agent.phase != "sent" and not agent.is_reading:
        agent.is_reading = True
        yield ReadEngine(READ_DELAY_LOADING_MS)


def _adopt_report(agent: Agent, now_ms: int, report: EngineReport) -> Iterator:
    """Replace what is known of the engine, unless an order is in flight."""
    if agent.phase == "sent":
        return
    if report.order_count < 0:
        yield from _fire_event(agent, "silent", now_ms)
        return
    agent.order_count = report.order_count
    agent.resident = {
        entry.model: set(entry.adapters) for entry in report.resident
    }
    agent.loading = set(report.loading)
    agent.is_changing_model = report.is_changing_model
    if not report.is_changing_model:
        agent.changing = None
    yield from _fire_event(agent, "report_received", now_ms)
    yield from _notify_satisfied(agent)
    yield from _send_next_order(agent, now_ms)


def _notify_satisfied(agent: Agent) -> Iterator:
    for key, pending in list(agent.pending.items()):
        if _is_satisfied(agent, pending.req):
            agent.pending.pop(key)
            for requester in pending.requesters:
                yield Notify(requester, _report_for(pending.req))


def _report_for(req: ResidencyRequest) -> ResidencyReport:
    """Return the report that a request is satisfied."""
    return ResidencyReport(req.upstream_id, req.model, req.adapter, req.load)


def _is_satisfied(agent: Agent, req: ResidencyRequest) -> bool:
    if agent.order_count < 0:
        return False
    if req.adapter:
        is_resident = req.adapter in agent.resident.get(req.model, ())
    else:
        is_resident = req.model in agent.resident
    return is_resident == req.load


# Orders.


def _send_next_order(agent: Agent, now_ms: int) -> Iterator:
    """Send the first order that a pending request needs and allows."""
    if agent.phase != "idle" or now_ms < agent.paused_until_ms:
        return
    if not agent.may_order:
        return
    if agent.is_changing_model:
        return
    for pending in agent.pending.values():
        req = pending.req
        if (req.model, req.adapter) in agent.loading:
            continue
        next_order = _next_order(agent, req, now_ms)
        if next_order is not None:
            yield from _send_order(agent, now_ms, req, *next_order)
            return


def _next_order(
    agent: Agent, req: ResidencyRequest, now_ms: int
) -> tuple[bool, str, str] | None:
    """Return the next order toward a request as (load, model, adapter).

    The result is None if no order can be sent now. If memory or slots are
    missing, the order unloads one of the request's spare items.
    """
    if not req.adapter:
        return _next_model_order(agent, req)
    if req.model not in agent.resident:
        return None
    if len(agent.loading) >= MAX_LOADING_ADAPTERS:
        return None
    used_slots = sum(len(names) for names in agent.resident.values())
    used_slots += len(agent.loading)
    has_slot = used_slots < req.capacity.adapter_slots
    if has_slot and _free_mb(agent, req) >= req.size_mb:
        return (True, req.model, req.adapter)
    for model, adapter in req.spare:
        loaded_ms = agent.loaded_ms.get((model, adapter), -MIN_RESIDENCY_MS)
        is_resident = adapter in agent.resident.get(model, ())
        if is_resident and now_ms - loaded_ms >= MIN_RESIDENCY_MS:
            return (False, model, adapter)
    return None


def _next_model_order(
    agent: Agent, req: ResidencyRequest
) -> tuple[bool, str, str] | None:
    """Return the next order toward a request for a model itself."""
    if not req.load:
        return (False, req.model, "")
    if agent.loading:
        return None
    if _free_mb(agent, req) >= req.size_mb:
        return (True, req.model, "")
    for model, _ in req.spare:
        if model in agent.resident and model != req.model:
            return (False, model, "")
    return None


def _free_mb(agent: Agent, req: ResidencyRequest) -> float:
    capacity = req.capacity
    used_mb = 0.0
    for model, adapters in agent.resident.items():
        size_mb = capacity.model_mb.get(model, capacity.weights_mb)
        used_mb += size_mb + capacity.adapter_mb.get(model, 0.0) * len(
            adapters
        )
    for model, _ in agent.loading:
        used_mb += capacity.adapter_mb.get(model, 0.0)
    return capacity.weights_mb - used_mb


def _send_order(
    agent, now_ms, req: ResidencyRequest, load, model, adapter
) -> Iterator:
    order = SendOrder(
        req.upstream_id,
        load,
        model,
        adapter,
        agent.fence,
        agent.order_count,
    )
    agent.in_flight = OrderInFlight(order, now_ms)
    yield from _fire_event(agent, "order_sent", now_ms)
    if not load:
        for requester in _requesters(agent):
            yield Notify(
                requester,
                ResidencyReport(req.upstream_id, model, adapter, False),
            )
    yield Trace(
        "order.sent_to_engine",
        {
            "upstream": req.upstream_id,
            "load": load,
            "model": model,
            "adapter": adapter,
            "fence": agent.fence,
            "expected_count": agent.order_count,
        },
    )
    yield order


def _requesters(agent: Agent) -> set[str]:
    """Return the addresses of all nodes with pending requests."""
    return {
        requester
        for pending in agent.pending.values()
        for requester in pending.requesters
    }


def _on_order_ended(
    agent: Agent, now_ms: int, order_end: OrderEnded
) -> Iterator:
    in_flight = agent.in_flight
    if in_flight is None or agent.phase != "sent":
        return
    order = in_flight.order
    yield Trace(
        "order.answered",
        {
            "upstream": order.upstream_id,
            "load": order.load,
            "model": order.model,
            "adapter": order.adapter,
            "answer": order_end.answer,
            "took_ms": now_ms - in_flight.sent_ms,
        },
    )
    agent.ordered_ms = now_ms
    if order_end.answer in (OrderAnswer.ACCEPTED, OrderAnswer.DONE):
        if order.load and order.adapter:
            agent.loaded_ms[(order.model, order.adapter)] = now_ms
        if agent.is_remote and _assume_order(agent, order, order_end.answer):
            yield from _fire_event(agent, "order_assumed", now_ms)
            yield from _notify_satisfied(agent)
            yield from _send_next_order(agent, now_ms)
        else:
            yield from _fire_event(agent, "order_accepted", now_ms)
    elif order_end.answer == OrderAnswer.NONE:
        yield from _fire_event(agent, "unanswered", now_ms)
    elif _is_still_unloading(agent, order_end.answer):
        agent.paused_until_ms = now_ms + UNLOAD_PAUSE_MS
        yield from _fire_event(agent, "order_deferred", now_ms)
    else:
        if order_end.answer == OrderAnswer.FENCED:
            _raise_fence(agent, now_ms)
        elif order_end.answer == OrderAnswer.REFUSED:
            agent.pending.pop((order.model, order.adapter), None)
        yield from _fire_event(agent, "order_refused", now_ms)


def _is_still_unloading(agent: Agent, answer: str) -> bool:
    """Return whether an order was refused because a model is unloaded."""
    return (
        agent.is_remote
        and answer == OrderAnswer.BUSY
        and agent.changing is not None
        and not agent.changing[1]
    )


def _raise_fence(agent: Agent, now_ms: int) -> None:
    """Use a higher token after the engine has seen one that exceeds it.

    A remote agent first waits until it would know of a successor.
    """
    if agent.is_remote:
        agent.fence += REMOTE_FENCING_TOKEN_STEP
        agent.paused_until_ms = now_ms + REMOTE_FENCED_PAUSE_MS
    else:
        agent.fence += FENCING_TOKEN_STEP


def _assume_order(agent: Agent, order: SendOrder, answer: str) -> bool:
    """Update what is known of the engine after a successful order.

    Return False if only a report can show the effect of the order.
    """
    is_accepted = answer == OrderAnswer.ACCEPTED
    if order.adapter:
        return _assume_adapter_order(agent, order, is_accepted)
    if is_accepted:
        agent.order_count += 1
        agent.changing = (order.model, order.load)
        agent.is_changing_model = order.load
        agent.read_due_ms = agent.ordered_ms + REMOTE_READ_INTERVAL_MS
        if not order.load:
            agent.resident.pop(order.model, None)
            agent.paused_until_ms = agent.ordered_ms + UNLOAD_PAUSE_MS
    elif order.load:
        agent.resident.setdefault(order.model, set())
    else:
        agent.resident.pop(order.model, None)
    return True


def _assume_adapter_order(
    agent: Agent, order: SendOrder, is_accepted: bool
) -> bool:
    adapters = agent.resident.setdefault(order.model, set())
    if order.load and is_accepted:
        agent.order_count += 1
        agent.loading.add((order.model, order.adapter))
    elif order.load:
        adapters.add(order.adapter)
    elif is_accepted:
        # The engine unloads it after the last call that uses it.
        return False
    else:
        agent.order_count += 1
        adapters.discard(order.adapter)
    return True


def _fire_event(agent: Agent, event: str, now_ms: int) -> Iterator:
    yield from charting.fire(agent.chart, agent, event, now_ms, None)


# Actions of the chart.


def _read_engine_now(agent: Agent, now_ms: int, _payload) -> Iterator:
    agent.in_flight = None
    if agent.is_remote:
        agent.order_count = -1
        agent.read_due_ms = now_ms + REMOTE_READ_DELAY_MS
    elif not agent.is_reading:
        agent.is_reading = True
        yield ReadEngine()


def _end_flight(agent: Agent, _now_ms: int, _payload) -> Iterator:
    agent.in_flight = None
    yield from ()


def _pause_orders(agent: Agent, now_ms: int, _payload) -> Iterator:
    agent.in_flight = None
    agent.paused_until_ms = max(
        agent.paused_until_ms, now_ms + REFUSED_PAUSE_MS
    )
    agent.read_due_ms = now_ms + READ_INTERVAL_BUSY_MS
    if agent.is_remote:
        # The count of orders may be wrong.
        agent.order_count = -1
        agent.read_due_ms = now_ms + REMOTE_READ_DELAY_MS // 2
    yield from ()


def _pause_reading(agent: Agent, now_ms: int, _payload) -> Iterator:
    agent.in_flight = None
    agent.order_count = -1
    agent.read_due_ms = now_ms + (
        UNANSWERED_PAUSE_MS
        if not agent.is_remote
        else UNANSWERED_PAUSE_MS + REMOTE_READ_DELAY_MS
    )
    yield from ()


def _clear_report(agent: Agent, _now_ms: int, _payload) -> Iterator:
    agent.order_count = -1
    agent.resident = {}
    agent.loading = set()
    agent.changing = None
    yield from ()


guards: dict = {}
actions = {
    "end_flight": _end_flight,
    "read_engine_now": _read_engine_now,
    "pause_orders": _pause_orders,
    "pause_reading": _pause_reading,
    "clear_report": _clear_report,
}

_HANDLERS = {
    memory_claims.MemoryClaim: _on_memory_claim,
    memory_claims.MemoryRelease: _on_memory_release,
    ResidencyRequest: _on_request,
    Tick: _on_tick,
    EngineReport: _on_engine_report,
    ResidencyAnnounced: _on_residency_announced,
    OrderEnded: _on_order_ended,
}
