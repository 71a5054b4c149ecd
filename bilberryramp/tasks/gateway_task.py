"""Task that runs a node's gateway and, on the leader, its planner."""

import asyncio
import dataclasses
import hashlib
import itertools
from collections.abc import Callable

from bilberryramp.decisions.fleet.core import (
    calls,
    departures,
    documents,
    identities,
    presence,
    sharing,
    workspaces,
)
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.limits import (
    memory_use,
    retry_budget,
    usage_asks,
    usage_issuer,
    usage_messages,
)
from bilberryramp.decisions.fleet.orders import agent, order_holders, planner
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_state,
    quarantine_coordinator,
    quarantine_messages,
    suspect_memory,
    suspect_publications,
    suspects,
    upstream_ends,
)
from bilberryramp.decisions.fleet.register import operator_calls, register
from bilberryramp.decisions.fleet.routing import upstream_pauses
from bilberryramp.decisions.shared import effects
from bilberryramp.tasks import (
    clock,
    departure_relays,
    large_bodies,
    mailbox,
    peer_mesh,
    usage_gauges,
)
from bilberryramp.telemetry import events, metrics

__all__ = [
    "AnnouncementReceived",
    "GatewayTask",
    "end_attempt",
    "may_send",
    "next_decision",
    "run",
    "render_metrics",
]

# Fields of traces that become a label of their counters.
OUTCOME_FIELDS = ("reason", "end", "state")
# Gauge of the time until a quarantine ends, one for each suspect, and limit on
# the suspects that have one.
QUARANTINE_GAUGE = "request_quarantine_remaining_seconds"
MAX_QUARANTINE_GAUGES = 64
# Length of the digests by which the log names documents.
DIGEST_CHARS = 12
# Messages to the coordinator of the quarantine.
_TO_COORDINATOR = (
    quarantine_messages.KnownSuspects,
    quarantine_messages.LiftSuspect,
    quarantine_messages.ListRequest,
    quarantine_messages.LossReport,
    quarantine_messages.RunReport,
    quarantine_messages.TrialEnded,
    quarantine_messages.TrialRequest,
)


@dataclasses.dataclass(slots=True)
class AnnouncementReceived:
    """Message that this node received an announcement from an upstream.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    make_announcement
        Function that takes the last known announcement of the upstream, or
        None, and returns the new one; None if there is none to record. A
        departure that does not describe the upstream is completed from the
        last announcement.
    done
        Future that is resolved when the announcement has been recorded; for
        a departure, when the peers have also recorded it or
        `departure_relays.RELAY_TIMEOUT_S` has passed.
    """

    upstream_id: str
    make_announcement: Callable
    done: asyncio.Future


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentDecoded:
    """Message that a committed document has been decoded.

    Attributes
    ----------
    committed
        The `register.Committed` of the document.
    doc
        The decoded document.
    """

    committed: register.Committed
    doc: documents.Document


@dataclasses.dataclass(slots=True)
class GatewayTask:
    """State of a gateway's task.

    Attributes
    ----------
    gw
        State of the gateway.
    planner
        State of the planner, which places models on engines; active on the
        leader only.
    coordinator
        State of the coordinator of the quarantine; active on the leader only.
    issuer
        Issue of usage credits; active on the leader only.
    inbox
        Mailbox of the task.
    mesh
        Sockets to the peers and agents.
    decode_document
        Function that decodes a document stored in the register.
    agent_port
        Port on which agents listen, on the instances of their engines.
    departures
        Relays and queries of departures.
    peers
        Addresses of the other nodes.
    audiences
        Addresses of the peers that get the same load reports.
    leader
        Address of the leader; empty if unknown.
    holders
        Addresses of the nodes that order engines; empty if agents do.
    holder_inbox
        Mailbox of this node's holder task; None if it orders no engines.
    suspect_inbox
        Mailbox of the task that keeps the list of suspects; None without a
        disk.
    decisions
        Futures of the calls that wait for a decision, by call id.
    attempts
        Timeouts of the attempts in progress, by call id.
    decoding
        Tasks that decode large documents.
    task_metrics
        Metrics of the gateway's decisions and state.
    next_call_id
        Id of the next call.
    """

    gw: gateway_state.Gateway
    planner: planner.Planner
    coordinator: coordinator_state.Coordinator
    inbox: mailbox.Mailbox
    mesh: peer_mesh.Mesh
    decode_document: Callable
    agent_port: int
    departures: departure_relays.DepartureRelays
    peers: tuple[str, ...] = ()
    audiences: dict[sharing.Audience, tuple[str, ...]] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(sharing.Audience, ())
    )
    leader: str = ""
    holders: tuple[str, ...] = ()
    holder_inbox: mailbox.Mailbox | None = None
    suspect_inbox: mailbox.Mailbox | None = None
    decisions: dict[int, asyncio.Future] = dataclasses.field(
        default_factory=dict
    )
    attempts: dict[int, asyncio.Timeout] = dataclasses.field(
        default_factory=dict
    )
    decoding: set[asyncio.Task] = dataclasses.field(default_factory=set)
    task_metrics: metrics.Metrics = dataclasses.field(
        default_factory=metrics.Metrics
    )
    next_call_id: int = 1
    issuer: usage_issuer.Issuer = dataclasses.field(
        default_factory=usage_issuer.Issuer
    )


async def run(task: GatewayTask) -> None:
    """Handle messages until the task is cancelled.

    Parameters
    ----------
    task
        State of the task. Modified in place.
    """
    while True:
        for message in await mailbox.receive_all(task.inbox):
            now_ms = clock.boot_ms()
            try:
                _handle(task, now_ms, message)
            except Exception as exc:
                _abandon_message(task, now_ms, message, exc)


def _abandon_message(task: GatewayTask, now_ms: int, message, exc) -> None:
    """Log a failed message, and fail the call that it belongs to.

    The gateway's state is rebuilt from later messages, so the failure of one
    message need not end the process. The sender of an announcement gets no
    acknowledgement and turns to another node.
    """
    events.emit(
        events.GATEWAY_MESSAGE_FAILED,
        message=type(message).__name__,
        reason=repr(exc),
    )
    metrics.increment(task.task_metrics, "gateway_messages_failed_total")
    call_id = getattr(message, "call_id", None)
    if call_id is None:
        return
    gateway.abandon_call(task.gw, call_id, now_ms)
    _perform(task, now_ms, calls.Fail(call_id, calls.Failure.BROKEN))


def next_decision(task: GatewayTask, call_id: int) -> asyncio.Future:
    """Return a future for the next decision on a call.

    Parameters
    ----------
    task
        State of the task. Modified in place.
    call_id
        Id of the call.

    Returns
    -------
    asyncio.Future
        Future that is resolved with a `SendCall`, `Refuse`, `Fail` or
        `ForwardFailure`.
    """
    fut = asyncio.get_running_loop().create_future()
    task.decisions[call_id] = fut
    return fut


def _handle(task: GatewayTask, now_ms: int, message) -> None:
    match message:
        case register.Committed():
            _decode_document(task, now_ms, message)
        case DocumentDecoded():
            _apply_document(task, now_ms, message)
        case register.LeaderChanged():
            planner.set_leading(task.planner, message.leads, now_ms)
            _set_coordinating(task, now_ms, message.leads)
        case operator_calls.Roster():
            new_peers = set(message.addresses) - set(task.peers)
            _send_known_upstreams(task, now_ms, new_peers)
            departure_relays.query(
                task.departures, new_peers, task.gw.table, now_ms
            )
            _apply_roster(task, message)
            _step(task, now_ms, gateway.CoordinatorChanged(message.leader))
        case AnnouncementReceived():
            _handle_announcement(task, now_ms, message)
        case operator_calls.Relay():
            _step(task, now_ms, message.told)
            if message.relay_id:
                ack = operator_calls.RelayAck(
                    task.gw.address, message.relay_id
                )
                peer_mesh.send(task.mesh, message.sender, ack)
        case presence.Keepalive():
            presence.record_keepalive(task.gw.table, message, now_ms)
        case operator_calls.RelayAck():
            departure_relays.record_ack(task.departures, message)
        case operator_calls.UnknownDeparture():
            _handle_unknown_departure(task, now_ms, message)
        case operator_calls.DepartureQuery():
            departure_relays.answer(
                task.departures, message, task.gw.table, now_ms
            )
        case planner.WantModel():
            planner.record_model_request(task.planner, message, now_ms)
            _plan_placement(task, now_ms)
        case agent.ResidencyReport():
            # An agent reports only to the node that sent the request.
            peer_mesh.broadcast(
                task.mesh, task.peers, operator_calls.RelayedResidency(message)
            )
            _step(task, now_ms, message)
        case operator_calls.RelayedResidency():
            _step(task, now_ms, message.holding)
        case gateway.Tick():
            _step(task, now_ms, message)
            _plan_placement(task, now_ms)
            _coordinate(task, now_ms, quarantine_coordinator.Tick())
            departure_relays.query_in_turn(
                task.departures, task.peers, task.gw.table, now_ms
            )
        case suspects.ToCoordinator():
            _perform(task, now_ms, message)
        case usage_issuer.Leadership():
            usage_issuer.set_leadership(task.issuer, message, now_ms)
        case usage_messages.UsageAsk():
            for effect in usage_issuer.answer(task.issuer, message, now_ms):
                _perform(task, now_ms, effect)
        case _ if isinstance(message, _TO_COORDINATOR):
            _coordinate(task, now_ms, message)
        case _:
            _step(task, now_ms, message)


def _apply_roster(task: GatewayTask, roster: operator_calls.Roster) -> None:
    task.peers, task.leader = roster.addresses, roster.leader
    task.holders = task.planner.holders = roster.holders
    task.coordinator.node_count = len(roster.addresses) + 1
    own_domain = task.gw.failure_domain
    domains = dict(zip(roster.addresses, roster.domains, strict=False))
    near = tuple(a for a in task.peers if domains.get(a) == own_domain)
    far = tuple(a for a in task.peers if domains.get(a) != own_domain)
    task.audiences = {
        sharing.Audience.NEAR: near,
        sharing.Audience.FAR: far,
    }
    memory_use.record_fleet_size(
        task.gw.engine_memory, len(task.peers) + 1, clock.boot_ms()
    )
    for audience, peers in task.audiences.items():
        sharing.set_audience_size(task.gw.loads, audience, len(peers))


def _send_known_upstreams(
    task: GatewayTask, now_ms: int, new_peers: set[str]
) -> None:
    """Send the recent announcements to peers that were just discovered."""
    if new_peers:
        for announcement in presence.recent_announcements(
            task.gw.table, now_ms
        ):
            relay = operator_calls.Relay(task.gw.address, 0, announcement)
            peer_mesh.broadcast(task.mesh, new_peers, relay)


def _step(task: GatewayTask, now_ms: int, message) -> None:
    effects_of_step = list(gateway.step(task.gw, now_ms, message))
    # The holder must know a process before it hears of the process's pause.
    if task.holder_inbox is not None and isinstance(
        message, presence.Announcement
    ):
        _report_engine(task, message)
    for effect in effects_of_step:
        _perform(task, now_ms, effect)


def _report_engine(
    task: GatewayTask, announcement: presence.Announcement
) -> None:
    """Pass an engine's newest announcement to the holder's task."""
    known = task.gw.table.upstreams.get(announcement.upstream_id)
    if known is not None and known.announcement is announcement:
        mailbox.post_now(
            task.holder_inbox, order_holders.EngineSeen(announcement)
        )


def _set_coordinating(task: GatewayTask, now_ms: int, leads: bool) -> None:
    if not leads:
        quarantine_coordinator.resign(task.coordinator)
        return
    state = task.gw.suspect_state
    known = suspect_publications.known_suspects(state, now_ms)
    known += suspect_publications.gathered_suspects(state, now_ms)
    for effect in quarantine_coordinator.start_leading(
        task.coordinator,
        known,
        now_ms,
        upstream_ends.resumed_ms(state.listening, now_ms),
    ):
        _perform(task, now_ms, effect)


def _coordinate(task: GatewayTask, now_ms: int, message) -> None:
    for effect in quarantine_coordinator.step(
        task.coordinator, now_ms, message
    ):
        _perform(task, now_ms, effect)


def _send(task: GatewayTask, address: str, message) -> None:
    """Send a message to a node, which may be this one.

    This node handles it after the present message, since a step of the
    gateway may be in progress.
    """
    if address == task.gw.address:
        mailbox.post_now(task.inbox, message)
    elif address:
        peer_mesh.send(task.mesh, address, message)


def _plan_placement(task: GatewayTask, now_ms: int) -> None:
    if gateway.is_ready(task.gw, now_ms):
        for effect in planner.review(task.planner, task.gw.doc, now_ms):
            _perform(task, now_ms, effect)


def _perform(task: GatewayTask, now_ms: int, effect) -> None:
    match effect:
        case (
            calls.SendCall()
            | calls.Refuse()
            | calls.Fail()
            | calls.ForwardFailure()
        ):
            fut = task.decisions.pop(effect.call_id, None)
            if fut is not None and not fut.done():
                fut.set_result(effect)
        case calls.Recall():
            end_attempt(
                task, effect.call_id, asyncio.get_running_loop().time()
            )
        case sharing.ReportTo():
            peer_mesh.broadcast(
                task.mesh, task.audiences[effect.audience], effect.report
            )
        case suspects.ToCoordinator():
            _send(task, task.gw.suspect_state.coordinator, effect.message)
        case effects.Send():
            _send(task, effect.to, effect.message)
        case coordinator_state.Publish():
            peer_mesh.broadcast(task.mesh, task.peers, effect.message)
            _send(task, task.gw.address, effect.message)
        case coordinator_state.GatheredLosses():
            _send(task, task.gw.address, effect)
        case suspect_memory.KeepSuspects():
            _keep_suspects(task, effect)
        case usage_asks.AskLeader():
            _send(task, task.leader, effect.ask)
        case gateway.TellPeers():
            peer_mesh.broadcast(task.mesh, task.peers, effect.message)
        case order_holders.EnginePaused():
            if task.holder_inbox is not None:
                mailbox.post_now(task.holder_inbox, effect)
        case planner.WantModel():
            _route_model_request(task, now_ms, effect)
        case memory_use.ToAgent():
            _send_to_agent(task, effect.address, effect.message)
        case planner.SendResidencyRequest():
            _send_to_agent(task, effect.address, effect.request)
        case Trace():
            _record_metrics(task, effect)
            events.trace(effect.name, effect.fields)


def _keep_suspects(
    task: GatewayTask, effect: suspect_memory.KeepSuspects
) -> None:
    if task.suspect_inbox is not None:
        stored = suspect_memory.StoredSuspects(
            clock.wall_ms(), effect.suspects, effect.gathered
        )
        mailbox.post_now(task.suspect_inbox, stored)


def end_attempt(task: GatewayTask, call_id: int, end_s: float) -> None:
    """Let the attempt of a call time out by a given time.

    Parameters
    ----------
    task
        State of the task.
    call_id
        Id of the call; ignored without an attempt in progress.
    end_s
        Time of the event loop.
    """
    timeout = task.attempts.get(call_id)
    if timeout is not None and not timeout.expired():
        timeout.reschedule(min(timeout.when(), end_s))


def may_send(task: GatewayTask, send_call: calls.SendCall) -> bool:
    """Return whether a decision to send a call still holds.

    Parameters
    ----------
    task
        State of the task. Not modified.
    send_call
        The decision.

    Returns
    -------
    bool
        As `upstream_pauses.may_send`; False also for a retry that has become
        outdated, and if a document has taken away or moved the key.
    """
    gw, now_ms = task.gw, clock.boot_ms()
    if retry_budget.is_outdated(send_call, now_ms):
        return False
    call = gw.active.get(send_call.call_id)
    if call is not None and not workspaces.is_current(
        gw.index, call, send_call
    ):
        return False
    return upstream_pauses.may_send(gw.pauses, gw.table, send_call, now_ms)


def _send_to_agent(task: GatewayTask, engine_address: str, message) -> None:
    """Send a message to the node that holds an engine, or to its agent."""
    holder = order_holders.assign(message.upstream_id, task.holders)
    if holder and holder == task.gw.address:
        mailbox.post_now(task.holder_inbox, message)
        return
    if holder:
        peer_mesh.send(task.mesh, holder, message)
        return
    agent_host = engine_address.rpartition(":")[0]
    peer_mesh.send(
        task.mesh,
        f"{agent_host}:{task.agent_port}",
        message,
        peer_mesh.AGENT_PING_INTERVAL_MS,
    )


def _record_metrics(task: GatewayTask, trace: Trace) -> None:
    """Record the count of a trace, and its durations if it has any."""
    fields = trace.fields
    outcome = next(
        (fields[name] for name in OUTCOME_FIELDS if fields.get(name)), ""
    )
    name = trace.name.replace(".", "_")
    label = f'{{outcome="{outcome}"}}' if outcome else ""
    metrics.increment(task.task_metrics, f"{name}_total{label}")
    for field in ("took_ms", "waited_ms"):
        if field in fields:
            seconds = fields[field] / 1000
            metrics.record_duration(
                task.task_metrics, f"{name}_{field[:-3]}", seconds
            )
    for field in ("longest_gap_ms", "predicted_gap_ms"):
        if fields.get(field):
            seconds = fields[field] / 1000
            metrics.record_duration(
                task.task_metrics, f"{name}_{field[:-3]}", seconds
            )


def render_metrics(task: GatewayTask) -> str:
    """Update the gauges and render all metrics of the gateway.

    Parameters
    ----------
    task
        State of the task. Its metrics are modified in place.

    Returns
    -------
    str
        Metrics in the Prometheus text format.
    """
    gw = task.gw
    gauges = {
        "calls_active": len(gw.active),
        "calls_waiting": len(gw.queue),
        "calls_held": len(gw.held),
        "requests_suspected": len(gw.suspect_state.published),
        "identities_lost": len(gw.suspect_state.lost),
        "upstreams_known": len(gw.table.upstreams),
        "nodes_heard": len(task.peers),
        "document_version": gw.doc.version if gw.doc is not None else -1,
        "workspaces": len(gw.doc.workspaces) if gw.doc is not None else 0,
        "workspace_keys": len(gw.index.by_key) if gw.index is not None else 0,
        "peer_messages_dropped": task.mesh.dropped,
    }
    for name, value in gauges.items():
        metrics.set_gauge(task.task_metrics, name, value)
    usage_gauges.set_gauges(
        task.task_metrics, gw.usage, task.issuer, clock.boot_ms()
    )
    _set_retry_gauges(task)
    _set_quarantine_gauges(task)
    return metrics.render(task.task_metrics)


def _set_retry_gauges(task: GatewayTask) -> None:
    """Set what this node has spent and may spend of each retry budget."""
    gw, now_ms = task.gw, clock.boot_ms()
    for service in gw.budgets:
        state = gateway_state.retry_account(gw, service, now_ms)
        label = f'{{service="{service}"}}'
        for name, value in (
            ("spent", state.spent),
            ("allowance", int(state.earned + state.share)),
        ):
            metrics.set_gauge(
                task.task_metrics, f"retry_budget_{name}{label}", value
            )


def _set_quarantine_gauges(task: GatewayTask) -> None:
    """Set a gauge for each quarantined suspect, up to a limit."""
    gauges = task.task_metrics.gauges
    for name in [n for n in gauges if n.startswith(QUARANTINE_GAUGE)]:
        del gauges[name]
    now_ms = clock.boot_ms()
    known = suspect_publications.known_suspects(task.gw.suspect_state, now_ms)
    quarantined = (e for e in known if e.phase == "quarantined")
    for entry in itertools.islice(quarantined, MAX_QUARANTINE_GAUGES):
        kind = identities.kind_of(entry.fingerprint).value
        label = f'{{fingerprint="{entry.fingerprint}",kind="{kind}"}}'
        metrics.set_gauge(
            task.task_metrics,
            QUARANTINE_GAUGE + label,
            entry.remaining_ms // 1000,
        )


def _route_model_request(
    task: GatewayTask, now_ms: int, request: planner.WantModel
) -> None:
    """Record a placement request on the leader, or send it to the leader."""
    if task.planner.leading_since_ms >= 0:
        planner.record_model_request(task.planner, request, now_ms)
    elif task.leader:
        peer_mesh.send(task.mesh, task.leader, request)


def _decode_document(task: GatewayTask, now_ms: int, committed) -> None:
    """Decode a committed document; a large one arrives by a message."""
    if large_bodies.is_large(committed.body):
        decoding = asyncio.create_task(_decode_apart(task, committed))
        task.decoding.add(decoding)
        decoding.add_done_callback(task.decoding.discard)
        return
    decoded = DocumentDecoded(committed, task.decode_document(committed.body))
    _apply_document(task, now_ms, decoded)


async def _decode_apart(task: GatewayTask, committed) -> None:
    try:
        doc = await large_bodies.decode(task.decode_document, committed.body)
    except Exception as exc:
        _abandon_message(task, clock.boot_ms(), committed, exc)
        return
    mailbox.post_now(task.inbox, DocumentDecoded(committed, doc))


def _apply_document(
    task: GatewayTask, now_ms: int, decoded: DocumentDecoded
) -> None:
    committed = decoded.committed
    events.emit(
        events.DOCUMENT_IN_FORCE,
        version=committed.version,
        digest=hashlib.sha256(committed.body).hexdigest()[:DIGEST_CHARS],
        record=list(committed.record_id),
    )
    _step(task, now_ms, gateway.DocumentInForce(decoded.doc))
    usage_issuer.set_document(task.issuer, task.gw.doc, now_ms)


# Announcements that upstreams sent to this node.


def _handle_announcement(
    task: GatewayTask, now_ms: int, received: AnnouncementReceived
) -> None:
    known = task.gw.table.upstreams.get(received.upstream_id)
    announcement = received.make_announcement(
        known.announcement if known is not None else None
    )
    if announcement is None:
        _handle_unplaced_departure(task, received, known is not None)
        return
    # Peers receive an unchanged announcement as a keepalive, which is shorter.
    # The step changes the table, so the keepalive is determined before it.
    keepalive = presence.keepalive_for(task.gw.table, announcement)
    _step(task, now_ms, announcement)
    told = departures.announcement_to_relay(task.gw.table, announcement)
    if told is None or not task.peers:
        _resolve(received.done)
    elif announcement.leaving or announcement.gone:
        departure_relays.relay(
            task.departures, task.peers, told, received.done
        )
    else:
        relay = keepalive or operator_calls.Relay(task.gw.address, 0, told)
        peer_mesh.broadcast(task.mesh, task.peers, relay)
        _resolve(received.done)


def _handle_unplaced_departure(
    task: GatewayTask, received: AnnouncementReceived, is_outdated: bool
) -> None:
    """Pass on a departure that does not describe its upstream.

    A departure of an earlier process of a known upstream changes nothing. One
    of an unknown upstream concerns the nodes that know it.
    """
    if is_outdated or not task.peers:
        _resolve(received.done)
        return
    departure_relays.relay_unknown(
        task.departures, task.peers, received.upstream_id, received.done
    )


def _handle_unknown_departure(
    task: GatewayTask, now_ms: int, message: operator_calls.UnknownDeparture
) -> None:
    """Record the departure of an upstream that another node does not know."""
    known = task.gw.table.upstreams.get(message.upstream_id)
    if known is not None:
        _step(task, now_ms, departures.departure_of(known.announcement))
        told = operator_calls.Relay(
            task.gw.address, 0, departures.as_leaving(known)
        )
        peer_mesh.send(task.mesh, message.sender, told)
    ack = operator_calls.RelayAck(task.gw.address, message.relay_id)
    peer_mesh.send(task.mesh, message.sender, ack)


def _resolve(done: asyncio.Future) -> None:
    if not done.done():
        done.set_result(None)
