"""Task of one upstream process, which passes requests to its engine."""

import asyncio
import dataclasses
from collections.abc import Iterator

import aiohttp
import zmq
import zmq.asyncio

from bilberryramp.decisions.shared import (
    effects,
    feed_messages,
    role_messages,
    shutdown,
    subscription,
)
from bilberryramp.decisions.upstream import (
    model_orders,
    upstream_messages,
    upstream_work,
)
from bilberryramp.settings import schema
from bilberryramp.tasks import (
    clock,
    control_link,
    engine_run,
    mailbox,
    upstream_engine,
)
from bilberryramp.telemetry import events
from bilberryramp.wire import codec

__all__ = ["UpstreamNode", "run"]

# Time without a frame from an entry after which the entry is lost.
SENDER_TIMEOUT_MS = 5000
HOUSEKEEPING_MS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class FromControl:
    """Message received from control.

    Attributes
    ----------
    message
        Decoded message.
    """

    message: object


@dataclasses.dataclass(slots=True, frozen=True)
class HeartbeatDue:
    """Message that a heartbeat to control is due."""


@dataclasses.dataclass(slots=True)
class UpstreamNode:
    """State of an upstream process's task.

    Attributes
    ----------
    cfg
        Settings of the process.
    state
        State of the upstream's decisions.
    sub
        Subscription to control's view.
    inbox
        Mailbox of the task.
    listener
        Socket that receives frames from entries and sends frames to them.
    control
        Sockets to the control replicas.
    session
        Client session for the engine's runs.
    order_session
        Client session for orders and for the engine's state. It keeps no
        connection open, because these answers name no request.
    group
        Group of the background tasks and runs; None until `run` starts.
    runs
        Requests that run on the engine, by attempt id.
    last_heard_ms
        When the last frame of each entry arrived, by name of the entry, in
        milliseconds of the monotonic clock.
    stopped
        Whether a planned stop has completed.
    """

    cfg: schema.UpstreamSettings
    state: upstream_work.UpstreamState
    sub: subscription.Subscription
    inbox: mailbox.Mailbox
    listener: zmq.asyncio.Socket
    control: control_link.ControlLink
    session: engine_run.EngineSession
    order_session: aiohttp.ClientSession
    group: asyncio.TaskGroup | None = None
    runs: dict[str, engine_run.Run] = dataclasses.field(default_factory=dict)
    last_heard_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    stopped: bool = False


async def run(node: UpstreamNode) -> None:
    """Handle messages until a planned stop has completed.

    Parameters
    ----------
    node
        State of the task, with open sockets. Modified in place.
    """
    async with asyncio.TaskGroup() as group:
        node.group = group
        background = (
            group.create_task(_receive(node)),
            group.create_task(_send_heartbeats(node)),
            group.create_task(
                control_link.receive(node.control, node.inbox, FromControl)
            ),
            group.create_task(_poll_engine(node)),
        )
        while not node.stopped:
            batch = await mailbox.receive_all(node.inbox)
            for effect in list(_handle_all(node, batch)):
                await _perform(node, effect)
        await _send_last_heartbeat(node)
        for background_task in background:
            background_task.cancel()
        await _answer_unread(node)
        # Orders that are still unanswered must not keep entries waiting.
        node.listener.close()
    await node.session.http.close()
    await node.order_session.close()


def _handle_all(node: UpstreamNode, batch: list) -> Iterator:
    now_ms = clock.now_ms()
    for message in batch:
        yield from _handle(node, now_ms, message)


def _handle(node: UpstreamNode, now_ms: int, message) -> Iterator:
    if isinstance(message, FromControl):
        yield from _on_control(node, now_ms, message.message)
    elif isinstance(message, HeartbeatDue):
        yield from _on_heartbeat(node, now_ms)
    elif (
        isinstance(message, role_messages.TimerFired)
        and message.key == node.sub.key
    ):
        yield from subscription.on_timer(node.sub, now_ms, message.token)
    else:
        _record_message(node, now_ms, message)
        yield from upstream_work.step(node.state, now_ms, message)


def _log_engine_change(node: UpstreamNode, message) -> None:
    if isinstance(message, upstream_messages.EngineReported):
        if not node.state.engine_up:
            events.emit(
                events.ENGINE_FOUND, models=len(message.report.resident_places)
            )
    elif node.state.engine_up:
        events.emit(events.ENGINE_LOST)


def _record_message(node: UpstreamNode, now_ms: int, message) -> None:
    if isinstance(message, upstream_messages.FrameArrived):
        node.last_heard_ms[message.sender] = now_ms
    elif isinstance(
        message,
        upstream_messages.EngineReported | upstream_messages.EngineLost,
    ):
        _log_engine_change(node, message)
    elif isinstance(message, upstream_messages.RunEnded):
        node.runs.pop(message.attempt_id, None)
    elif isinstance(message, upstream_messages.EngineAnswered):
        events.emit(
            events.ORDER_ENDED,
            kind=message.order.kind,
            model=message.order.place.model,
            outcome=message.outcome,
        )


def _on_control(node: UpstreamNode, now_ms: int, message) -> Iterator:
    if isinstance(message, feed_messages.Delta):
        yield from subscription.on_delta(node.sub, now_ms, message)
    elif isinstance(message, feed_messages.FullView):
        yield from subscription.on_full_view(node.sub, message)
    elif isinstance(message, feed_messages.CommandReply):
        answered = role_messages.CommandAnswered(
            message.command_id, message.result
        )
        yield from upstream_work.step(node.state, now_ms, answered)


def _on_heartbeat(node: UpstreamNode, now_ms: int) -> Iterator:
    _refresh_report(node)
    yield from subscription.on_heartbeat_due(node.sub, now_ms)
    resend = role_messages.ResendCommands()
    yield from upstream_work.step(node.state, now_ms, resend)
    for sender, last_heard_ms in list(node.last_heard_ms.items()):
        if now_ms - last_heard_ms > SENDER_TIMEOUT_MS:
            del node.last_heard_ms[sender]
            lost = upstream_messages.SenderLost(sender)
            yield from upstream_work.step(node.state, now_ms, lost)


def _refresh_report(node: UpstreamNode) -> None:
    report = feed_messages.UpstreamReport(
        *upstream_work.build_report(node.state)
    )
    if report != node.sub.report:
        node.sub.report = report
        node.sub.report_due = True
    node.sub.busy = upstream_work.busy_by_model(node.state)


async def _perform(node: UpstreamNode, effect) -> None:
    if isinstance(effect, effects.Send):
        if isinstance(effect.message, feed_messages.Heartbeat):
            await control_link.send(node.control, effect.to, effect.message)
        else:
            await _send_frame(node, effect.to, effect.message)
    elif isinstance(effect, role_messages.SendCommand):
        await control_link.send_command(node.control, node.sub, effect)
    elif isinstance(effect, upstream_messages.StartRun):
        _start_run(node, effect)
    elif isinstance(effect, upstream_messages.CancelRun):
        _cancel_run(node, effect.attempt_id)
    elif isinstance(effect, upstream_messages.GrantCredit):
        _grant_credit(node, effect)
    elif isinstance(effect, upstream_messages.GrantResume):
        _grant_resume(node, effect.attempt_id)
    elif isinstance(effect, model_orders.EngineOrder):
        _send_order(node, effect)
    elif isinstance(effect, effects.SetTimer):
        mailbox.start_timer(node.inbox, effect, role_messages.TimerFired)
    elif isinstance(effect, shutdown.Stopped):
        node.stopped = True
    else:
        _post_follow_up(node, effect)


def _post_follow_up(node: UpstreamNode, effect) -> None:
    if isinstance(effect, subscription.ViewChanged):
        mailbox.post_now(node.inbox, upstream_messages.ViewUpdated())
    elif isinstance(effect, subscription.FreshnessChanged):
        events.emit(events.FRESHNESS_CHANGED, fresh=effect.fresh)
        changed = role_messages.FreshnessUpdate(effect.fresh)
        mailbox.post_now(node.inbox, changed)
    elif isinstance(
        effect, upstream_messages.ReportDue | model_orders.ResidencyChanged
    ):
        mailbox.post_now(node.inbox, HeartbeatDue())
    else:
        _log_pause(effect)


def _log_pause(effect) -> None:
    if isinstance(effect, upstream_messages.PauseBegan):
        events.emit(
            events.ENGINE_PAUSED,
            attempt_id=effect.attempt_id,
            status=effect.status,
            pause_ms=effect.pause_ms,
            refused=effect.refused,
        )
    elif isinstance(effect, upstream_messages.PauseEnded):
        events.emit(
            events.ENGINE_RETURNED,
            restarted=effect.restarted,
            refused=effect.refused,
        )


async def _send_frame(node: UpstreamNode, entry: str, frame) -> None:
    await node.listener.send_multipart([entry.encode(), codec.encode(frame)])


def _start_run(node: UpstreamNode, start: upstream_messages.StartRun) -> None:
    job = engine_run.Run(start, start.dispatch.credit)
    node.runs[start.dispatch.attempt_id] = job

    async def send(entry: str, frame) -> None:
        await _send_frame(node, entry, frame)

    job.task = node.group.create_task(
        engine_run.run(
            node.session,
            node.cfg.engine_url,
            job,
            node.cfg.max_answer_bytes,
            send,
            node.inbox,
        )
    )


def _cancel_run(node: UpstreamNode, attempt_id: str) -> None:
    job = node.runs.get(attempt_id)
    if job is None:
        return
    job.cancel_requested = True
    if job.started:
        job.task.cancel()


def _grant_credit(node: UpstreamNode, grant) -> None:
    job = node.runs.get(grant.attempt_id)
    if job is not None:
        job.credit += grant.chunks
        job.credit_added.set()


def _grant_resume(node: UpstreamNode, attempt_id: str) -> None:
    job = node.runs.get(attempt_id)
    if job is not None:
        job.resume_granted.set()


def _send_order(node: UpstreamNode, order: model_orders.EngineOrder) -> None:
    events.emit(
        events.ORDER_SENT,
        kind=order.kind,
        model=order.place.model,
        fence=order.fence,
    )
    node.group.create_task(
        upstream_engine.send_order(
            node.order_session, node.cfg.engine_url, order, node.inbox
        )
    )


async def _receive(node: UpstreamNode) -> None:
    while True:
        sender, data = await node.listener.recv_multipart()
        await mailbox.wait_for_room(node.inbox)
        _post_frame(node, sender, data)


def _post_frame(node: UpstreamNode, sender: bytes, data: bytes) -> None:
    try:
        frame = codec.decode(data)
    except codec.MalformedMessageError as exc:
        events.emit(events.FRAME_DROPPED, reason=str(exc))
        return
    name = sender.decode(errors="replace")
    arrived = upstream_messages.FrameArrived(name, frame)
    mailbox.post_now(node.inbox, arrived)
    index = getattr(frame, "view_index", 0)
    if subscription.record_peer_index(node.sub, index):
        mailbox.post_now(node.inbox, HeartbeatDue())


async def _answer_unread(node: UpstreamNode) -> None:
    """Refuse the requests that arrived but were not read.

    A request that an entry sent on a connection that then breaks may have run,
    so that its entry reports the loss of the upstream under it.
    """
    await asyncio.sleep(0)
    plain = zmq.Socket(shadow=node.listener)
    while True:
        try:
            sender, data = plain.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            break
        _post_frame(node, sender, data)
    if node.inbox.messages:
        batch = await mailbox.receive_all(node.inbox)
        for effect in list(_handle_all(node, batch)):
            await _perform(node, effect)


async def _send_heartbeats(node: UpstreamNode) -> None:
    while True:
        mailbox.post_now(node.inbox, HeartbeatDue())
        await asyncio.sleep(subscription.HEARTBEAT_MS / 1000)


async def _poll_engine(node: UpstreamNode) -> None:
    await upstream_engine.poll_state(
        node.order_session, node.cfg.engine_url, node.inbox
    )


async def _send_last_heartbeat(node: UpstreamNode) -> None:
    _refresh_report(node)
    node.sub.report_due = True
    for effect in subscription.on_heartbeat_due(node.sub, clock.now_ms()):
        await control_link.send(node.control, effect.to, effect.message)
