"""Task of one control replica: replicated log, view feed and membership.

The feed sends changes of the view to entries and upstream processes. At
intervals each replica sends the leader a digest, a summary of the heartbeats
that the replica has received.
"""

import asyncio
import dataclasses
import random
from collections.abc import Iterator

import zmq
import zmq.asyncio

from bilberryramp.decisions.control import (
    control_state,
    feed,
    membership,
    replica_state,
    replication,
)
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.shared import commands, effects, feed_messages
from bilberryramp.settings import schema
from bilberryramp.storage import journal
from bilberryramp.tasks import clock, mailbox
from bilberryramp.telemetry import events
from bilberryramp.wire import codec

__all__ = [
    "ControlNode",
    "OperatorCommand",
    "StatusRequest",
    "StopNode",
    "new_node",
    "run",
]

TICK_INTERVAL_MS = 20
DIGEST_INTERVAL_MS = 500
MEMBERSHIP_INTERVAL_MS = 100
# Time from the request to stop until the task ends.
STOP_DELAY_MS = 300
# Delay before a failed write is retried.
WRITE_RETRY_DELAY_S = 0.2
_PERSIST_EFFECTS = (
    msgs.PersistEntries | msgs.PersistHardState | msgs.PersistSnapshot
)


@dataclasses.dataclass(slots=True, frozen=True)
class PeerMessage:
    """Message received from another process.

    Attributes
    ----------
    sender
        Socket identity of the process.
    message
        Decoded message.
    """

    sender: str
    message: object


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorCommand:
    """Command of an operator.

    Attributes
    ----------
    command_id
        Id of the command, which its result repeats.
    command
        Command to append to the log.
    reply
        Future that is resolved with the command's result.
    """

    command_id: str
    command: object
    reply: asyncio.Future


@dataclasses.dataclass(slots=True, frozen=True)
class StatusRequest:
    """Request of an operator for the state of the replica.

    Attributes
    ----------
    reply
        Future that is resolved with the `ControlNode`.
    """

    reply: asyncio.Future


@dataclasses.dataclass(slots=True, frozen=True)
class StopNode:
    """Request to begin the planned stop."""


@dataclasses.dataclass(slots=True)
class ControlNode:
    """State of a control replica's task.

    Attributes
    ----------
    cfg
        Settings of the replica.
    replica
        State of the replicated log.
    feed
        State of the feed that sends the view to its subscribers.
    disk
        Journal in the data folder.
    inbox
        Mailbox of the task.
    router
        Socket that receives messages from all processes and sends messages
        to the feed's subscribers.
    peers
        Sockets to the other replicas, by replica id.
    members
        Liveness of the upstreams, which the leader tracks; None on a
        follower.
    operator_futures
        Futures of operators' commands without a result, by command id.
    membership_due_ms, digest_due_ms
        When the membership is next reviewed and when the next digest is
        due, in milliseconds of the monotonic clock.
    full_digest_due
        Whether the next digest must contain the reports of all upstreams
        instead of the changed ones only, because the leader has changed.
    stop_at_ms
        When the task ends, in milliseconds of the monotonic clock; 0 until a
        stop was requested.
    """

    cfg: schema.ControlSettings
    replica: replica_state.Replica
    feed: feed.Feed
    disk: journal.Journal
    inbox: mailbox.Mailbox
    router: zmq.asyncio.Socket
    peers: dict[str, zmq.asyncio.Socket]
    members: membership.Membership | None = None
    operator_futures: dict[str, asyncio.Future] = dataclasses.field(
        default_factory=dict
    )
    membership_due_ms: int = 0
    digest_due_ms: int = 0
    full_digest_due: bool = True
    stop_at_ms: int = 0


def new_node(
    cfg: schema.ControlSettings,
    chart,
    suspect_chart,
    disk: journal.Journal,
    recovered: journal.Recovered,
    rng: random.Random,
) -> ControlNode:
    """Return the task's state, with open sockets.

    Parameters
    ----------
    cfg
        Settings of the replica.
    chart
        Bound ``replica`` chart.
    suspect_chart
        Bound ``suspect`` chart, for entries of the log.
    disk
        Open journal.
    recovered
        State read from the journal.
    rng
        Random number generator for election jitter.

    Returns
    -------
    ControlNode
        State for `run`.
    """
    replica_cfg = replica_state.ReplicaSettings(
        replica_id=cfg.replica_id,
        replica_ids=tuple(peer.replica_id for peer in cfg.replicas),
        heartbeat_ms=cfg.heartbeat_ms,
        election_ms=cfg.election_ms,
        lease_ms=cfg.lease_ms,
        snapshot_entries=cfg.snapshot_entries,
    )
    replica = replication.new_replica(
        replica_cfg,
        chart,
        suspect_chart,
        rng,
        recovered.identity.incarnation,
        clock.now_ms(),
        recovered.hard_state,
        recovered.snapshot,
        recovered.entries,
    )
    view_feed = feed.Feed(cfg.replica_id)
    feed.reset_history(view_feed, replica.state.view)
    router, peers = _open_sockets(cfg)
    inbox = mailbox.Mailbox(limit=8192)
    return ControlNode(cfg, replica, view_feed, disk, inbox, router, peers)


async def run(node: ControlNode) -> None:
    """Handle messages until a planned stop has completed.

    Parameters
    ----------
    node
        State of the task, from `new_node`. Modified in place.
    """
    async with asyncio.TaskGroup() as group:
        background = (
            group.create_task(_receive(node)),
            group.create_task(_post_ticks(node)),
        )
        while not _has_stopped(node):
            batch = await mailbox.receive_all(node.inbox)
            await _perform(node, list(_handle_all(node, batch)))
        for background_task in background:
            background_task.cancel()
    _close(node)


def _has_stopped(node: ControlNode) -> bool:
    return 0 < node.stop_at_ms <= clock.now_ms()


def _handle_all(node: ControlNode, batch: list) -> Iterator:
    now_ms = clock.now_ms()
    for message in batch:
        yield from _handle(node, now_ms, message)
    yield from feed.push(node.feed)


def _handle(node: ControlNode, now_ms: int, message) -> Iterator:
    if isinstance(message, PeerMessage):
        yield from _on_peer(node, now_ms, message)
    elif isinstance(message, OperatorCommand):
        node.operator_futures[message.command_id] = message.reply
        proposal = msgs.Propose("", message.command_id, message.command)
        yield from _step(node, now_ms, proposal)
    elif isinstance(message, StatusRequest):
        if not message.reply.done():
            message.reply.set_result(node)
    elif isinstance(message, StopNode):
        if not node.stop_at_ms:
            node.stop_at_ms = now_ms + STOP_DELAY_MS
            yield from _step(node, now_ms, msgs.StopReplica())
    else:
        yield from _on_tick(node, now_ms, message)


def _on_peer(
    node: ControlNode, now_ms: int, received: PeerMessage
) -> Iterator:
    message = received.message
    if isinstance(message, feed_messages.Heartbeat):
        probe = replica_state.next_probe(node.replica)
        feed.on_heartbeat(node.feed, now_ms, message, probe)
    elif isinstance(message, feed_messages.CommandRequest):
        proposal = msgs.Propose(
            message.sender, message.command_id, message.command
        )
        yield from _step(node, now_ms, proposal)
    elif isinstance(message, feed_messages.Digest):
        if node.members is not None:
            membership.on_digest(node.members, now_ms, message)
    else:
        yield from _step(node, now_ms, message)


def _on_tick(node: ControlNode, now_ms: int, tick: msgs.Tick) -> Iterator:
    yield from _step(node, now_ms, tick)
    if node.members is not None and now_ms >= node.membership_due_ms:
        node.membership_due_ms = now_ms + MEMBERSHIP_INTERVAL_MS
        membership_commands = membership.on_tick(
            node.members,
            now_ms,
            node.replica.state.view,
            node.feed.last_change_index,
        )
        for command in list(membership_commands):
            yield from _step(node, now_ms, msgs.Propose("", "", command))
    yield from feed.on_tick(
        node.feed,
        now_ms,
        node.replica.state.view,
        lambda probe: replica_state.is_fresh(node.replica, probe, now_ms),
    )
    if now_ms >= node.digest_due_ms:
        node.digest_due_ms = now_ms + DIGEST_INTERVAL_MS
        yield from _send_digest(node, now_ms)


def _send_digest(node: ControlNode, now_ms: int) -> Iterator:
    leader_id = node.replica.leader_id
    if not leader_id:
        node.full_digest_due = True
        return
    digest = feed.collect_digest(node.feed, node.full_digest_due)
    node.full_digest_due = False
    if node.members is not None:
        membership.on_digest(node.members, now_ms, digest)
    elif leader_id != node.cfg.replica_id:
        yield effects.Send(leader_id, digest)


def _step(node: ControlNode, now_ms: int, message) -> Iterator:
    for effect in replication.step(node.replica, now_ms, message):
        if isinstance(effect, msgs.Applied):
            feed.record_applied(node.feed, effect.entry, effect.result)
            _log_applied(effect)
        elif isinstance(effect, msgs.Restored):
            feed.reset_history(node.feed, node.replica.state.view)
        elif isinstance(effect, msgs.LeaderChanged):
            _on_leader_changed(node, now_ms, effect)
        else:
            yield effect


def _on_leader_changed(node: ControlNode, now_ms: int, change) -> None:
    is_leader = change.phase == "leader"
    view = node.replica.state.view
    node.members = None
    if is_leader:
        node.members = membership.start_term(view, now_ms, node.cfg.demand)
    node.full_digest_due = True
    events.emit(
        events.ROLE_CHANGED,
        phase=change.phase,
        term=change.term,
        leader=change.leader_id,
    )


async def _perform(node: ControlNode, produced: list) -> None:
    persisted = [e for e in produced if isinstance(e, _PERSIST_EFFECTS)]
    if persisted:
        await _write(node, persisted)
        _log_snapshots(persisted)
    # The same message is sent to all subscribers, so it is encoded once.
    encoded: dict[int, bytes] = {}
    for effect in produced:
        if isinstance(effect, effects.Send):
            message = effect.message
            data = encoded.get(id(message))
            if data is None:
                data = encoded[id(message)] = codec.encode(message)
            await _send(node, effect.to, data)
        elif isinstance(effect, msgs.Answer):
            await _answer(node, effect)


async def _write(node: ControlNode, persisted: list) -> None:
    while True:
        try:
            await asyncio.to_thread(journal.write, node.disk, persisted)
            return
        except OSError as exc:
            # No message may leave before the state is durable.
            events.emit(events.STORE_WRITE_FAILED, reason=str(exc))
            await asyncio.sleep(WRITE_RETRY_DELAY_S)


async def _send(node: ControlNode, to: str, data: bytes) -> None:
    peer = node.peers.get(to)
    try:
        if peer is not None:
            await peer.send(data, zmq.NOBLOCK)
        else:
            parts = [to.encode(), data]
            await node.router.send_multipart(parts, zmq.NOBLOCK)
    except zmq.Again:
        return


async def _answer(node: ControlNode, answer: msgs.Answer) -> None:
    if answer.origin:
        reply = feed_messages.CommandReply(answer.command_id, answer.result)
        await _send(node, answer.origin, codec.encode(reply))
        return
    fut = node.operator_futures.pop(answer.command_id, None)
    if fut is not None and not fut.done():
        fut.set_result(answer.result)


async def _receive(node: ControlNode) -> None:
    while True:
        parts = await node.router.recv_multipart()
        try:
            message = codec.decode(parts[-1])
        except codec.MalformedMessageError as exc:
            events.emit(events.FRAME_DROPPED, reason=str(exc))
            continue
        peer = PeerMessage(parts[0].decode(errors="replace"), message)
        await mailbox.post(node.inbox, peer)


async def _post_ticks(node: ControlNode) -> None:
    while True:
        await asyncio.sleep(TICK_INTERVAL_MS / 1000)
        mailbox.post_now(node.inbox, msgs.Tick())


def _open_sockets(cfg: schema.ControlSettings):
    ctx = zmq.asyncio.Context.instance()
    router = ctx.socket(zmq.ROUTER)
    router.setsockopt(zmq.ROUTER_HANDOVER, 1)
    router.setsockopt(zmq.LINGER, 200)
    peers = {}
    for peer in cfg.replicas:
        if peer.replica_id == cfg.replica_id:
            router.bind(peer.address)
            continue
        sock = ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.IDENTITY, f"peer/{cfg.replica_id}".encode())
        sock.setsockopt(zmq.LINGER, 200)
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.connect(peer.address)
        peers[peer.replica_id] = sock
    return router, peers


def _close(node: ControlNode) -> None:
    for sock in (node.router, *node.peers.values()):
        sock.close()
    journal.close(node.disk)


def _log_snapshots(persisted: list) -> None:
    for effect in persisted:
        if isinstance(effect, msgs.PersistSnapshot):
            events.emit(events.SNAPSHOT_TAKEN, index=effect.snapshot.index)


def _log_applied(applied: msgs.Applied) -> None:
    event = _APPLIED_EVENTS.get(type(applied.entry.command))
    if event is None:
        return
    entry: control_state.Entry = applied.entry
    if isinstance(entry.command, commands.SubmitTables):
        accepted = isinstance(applied.result, commands.SubmitAccepted)
        event = events.TABLES_ACCEPTED if accepted else events.TABLES_REFUSED
    detail = getattr(entry.command, "upstream_id", "")
    events.emit(event, index=entry.index, term=entry.term, detail=detail)


_APPLIED_EVENTS = {
    commands.SubmitTables: events.TABLES_ACCEPTED,
    commands.JoinUpstream: events.UPSTREAM_JOINED,
    commands.RemoveUpstream: events.UPSTREAM_REMOVED,
    commands.PlaceReplicas: events.REPLICAS_PLACED,
    commands.ReadmitReplica: events.REPLICA_READMITTED,
}
