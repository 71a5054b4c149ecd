"""Task of one entry: routes callers' requests and owns the links."""

import asyncio
import collections
import dataclasses
from collections.abc import Iterator

import zmq
import zmq.asyncio
import zmq.utils.monitor

from bilberryramp.decisions.entry import (
    entry_calls,
    entry_messages,
    entry_state,
    links,
)
from bilberryramp.decisions.shared import (
    call_messages,
    charting,
    effects,
    feed_messages,
    role_messages,
    subscription,
)
from bilberryramp.tasks import clock, control_link, mailbox
from bilberryramp.telemetry import events, metrics
from bilberryramp.wire import codec

__all__ = ["ChunkWritten", "EndCalls", "NewCall", "Router", "run"]

# Number of written chunks after which the upstream receives credit, the
# permission to send as many more chunks of an answer.
CREDIT_BATCH_CHUNKS = 16
VERSION_GAUGE_NAME = "bilberry_configuration_version"
# Time without a dispatched request after which a link is closed.
LINK_IDLE_MS = 60_000
RECONNECT_INTERVAL_MS = 3_600_000


@dataclasses.dataclass(slots=True, frozen=True)
class NewCall:
    """Message that the front end has received a request.

    Attributes
    ----------
    arrived
        Request of the caller.
    reply_mailbox
        Mailbox that receives the parts of the answer.
    """

    arrived: entry_messages.CallArrived
    reply_mailbox: mailbox.Mailbox


@dataclasses.dataclass(slots=True, frozen=True)
class ChunkWritten:
    """Message that a chunk of an answer was written to the caller.

    Attributes
    ----------
    upstream_id
        Id of the upstream that sent the chunk and may now send another.
    attempt_id
        Id of the attempt that the answer belongs to.
    """

    upstream_id: str
    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class EndCalls:
    """Request to end all calls, as a planned stop is almost out of time."""


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


@dataclasses.dataclass(slots=True, frozen=True)
class LinkEvent:
    """Change of a link's transport, or a frame received on the link.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    number
        Number of the link; events of earlier links to the same upstream are
        ignored.
    event
        `LinkOpened`, `LinkDisconnected`, `LinkIdle` or a decoded frame.
    """

    upstream_id: str
    number: int
    event: object


@dataclasses.dataclass(slots=True, frozen=True)
class LinkTimer:
    """Message that a timer of a link's chart has expired.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    number
        Number of the link; timers of earlier links to the same upstream are
        ignored.
    token
        Token of the timer; the chart ignores a timer that it has replaced.
    """

    upstream_id: str
    number: int
    token: int


@dataclasses.dataclass(slots=True)
class OpenLink:
    """Link with the task that owns its socket.

    Attributes
    ----------
    number
        Number of the link, unique in this process.
    link
        State of the link's decisions.
    incarnation
        Incarnation of the upstream process that the link leads to.
    outbox
        Mailbox of the link's task, for the frames to send.
    task
        Task that owns the socket.
    last_used_ms
        When a request was last dispatched over the link, in milliseconds of
        the monotonic clock.
    """

    number: int
    link: links.Link
    incarnation: str
    outbox: mailbox.Mailbox
    task: asyncio.Task
    last_used_ms: int


@dataclasses.dataclass(slots=True)
class Router:
    """State of an entry's task.

    Attributes
    ----------
    name
        Name of the entry.
    entry
        State of the entry's decisions.
    sub
        Subscription to control's view.
    link_chart
        Bound chart of the links.
    inbox
        Mailbox of the task.
    control
        Sockets to the control replicas.
    metrics
        Metrics of the process.
    group
        Group of the background tasks and links; None until `run` starts.
    reply_mailboxes
        Mailboxes that receive the parts of an answer, by request id.
    open_links
        Links by upstream id.
    credits
        Number of chunks written to the caller since the upstream last
        received credit, by attempt id.
    last_link_number
        Number of the link that was opened last.
    """

    name: str
    entry: entry_state.Entry
    sub: subscription.Subscription
    link_chart: charting.Chart
    inbox: mailbox.Mailbox
    control: control_link.ControlLink
    metrics: metrics.Metrics
    group: asyncio.TaskGroup | None = None
    reply_mailboxes: dict[str, mailbox.Mailbox] = dataclasses.field(
        default_factory=dict
    )
    open_links: dict[str, OpenLink] = dataclasses.field(default_factory=dict)
    credits: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    last_link_number: int = 0


async def run(router: Router) -> None:
    """Handle messages until the task is cancelled.

    Parameters
    ----------
    router
        State of the task. Modified in place.
    """
    async with asyncio.TaskGroup() as group:
        router.group = group
        group.create_task(_send_heartbeats(router))
        group.create_task(
            control_link.receive(router.control, router.inbox, FromControl)
        )
        while True:
            batch = await mailbox.receive_all(router.inbox)
            for effect in list(_handle_all(router, batch)):
                await _perform(router, effect)


def _handle_all(router: Router, batch: list) -> Iterator:
    now_ms = clock.now_ms()
    for message in batch:
        yield from _HANDLERS.get(type(message), _on_call_message)(
            router, now_ms, message
        )


def _on_call_message(router: Router, now_ms: int, message) -> Iterator:
    yield from entry_calls.step(router.entry, now_ms, message)


def _on_new_call(router: Router, now_ms: int, call: NewCall) -> Iterator:
    request_id = call.arrived.request.request_id
    router.reply_mailboxes[request_id] = call.reply_mailbox
    yield from entry_calls.step(router.entry, now_ms, call.arrived)


def _on_chunk_written(router: Router, _now_ms: int, written) -> Iterator:
    router.credits[written.attempt_id] += 1
    if router.credits[written.attempt_id] >= CREDIT_BATCH_CHUNKS:
        chunks = router.credits.pop(written.attempt_id)
        credit = call_messages.Credit(written.attempt_id, chunks)
        yield effects.Send(written.upstream_id, credit)


def _on_control(router: Router, now_ms: int, received) -> Iterator:
    message = received.message
    if isinstance(message, feed_messages.Delta):
        yield from subscription.on_delta(router.sub, now_ms, message)
    elif isinstance(message, feed_messages.FullView):
        yield from subscription.on_full_view(router.sub, message)
    elif isinstance(message, feed_messages.CommandReply):
        answered = role_messages.CommandAnswered(
            message.command_id, message.result
        )
        yield from entry_calls.step(router.entry, now_ms, answered)


def _on_heartbeat(router: Router, now_ms: int, _message) -> Iterator:
    router.sub.busy = entry_calls.waiting_by_model(router.entry)
    yield from subscription.on_heartbeat_due(router.sub, now_ms)
    resend = role_messages.ResendCommands()
    yield from entry_calls.step(router.entry, now_ms, resend)
    for upstream_id, opened in list(router.open_links.items()):
        if now_ms - opened.last_used_ms > LINK_IDLE_MS:
            yield from _on_link_event(
                router,
                now_ms,
                LinkEvent(upstream_id, opened.number, links.LinkIdle()),
            )


def _on_timer(router: Router, now_ms: int, fired) -> Iterator:
    if fired.key == router.sub.key:
        yield from subscription.on_timer(router.sub, now_ms, fired.token)
    else:
        yield from entry_calls.step(router.entry, now_ms, fired)


def _on_end_calls(router: Router, now_ms: int, _message) -> Iterator:
    router.entry.stopping = True
    yield from entry_calls.end_all(router.entry, now_ms)


# Links.


def _on_link_event(router: Router, now_ms: int, message) -> Iterator:
    opened = router.open_links.get(message.upstream_id)
    if opened is None or opened.number != message.number:
        return
    event = message.event
    if isinstance(
        event, links.LinkOpened | links.LinkDisconnected | links.LinkIdle
    ):
        produced = links.on_event(opened.link, now_ms, event)
        yield from _on_link_effects(router, now_ms, opened, produced)
        return
    produced = links.on_frame(opened.link, now_ms, event)
    yield from _on_link_effects(router, now_ms, opened, produced)
    index = getattr(event, "view_index", 0)
    if subscription.record_peer_index(router.sub, index):
        mailbox.post_now(router.inbox, HeartbeatDue())
    arrived = entry_messages.FrameArrived(message.upstream_id, event)
    yield from entry_calls.step(router.entry, now_ms, arrived)


def _on_link_timer(router: Router, now_ms: int, timer) -> Iterator:
    opened = router.open_links.get(timer.upstream_id)
    if opened is not None and opened.number == timer.number:
        produced = links.on_timer(opened.link, now_ms, timer.token)
        yield from _on_link_effects(router, now_ms, opened, produced)


def _on_link_effects(
    router, now_ms: int, opened: OpenLink, produced
) -> Iterator:
    for effect in list(produced):
        if isinstance(effect, links.Transmit):
            mailbox.post_now(opened.outbox, effect.frame)
        elif isinstance(effect, effects.SetTimer):
            _start_link_timer(router, opened, effect)
        else:
            _drop_link(router, opened)
            events.emit(
                events.LINK_LOST,
                upstream_id=effect.upstream_id,
                opened=isinstance(effect, entry_messages.LinkLost),
            )
            yield from entry_calls.step(router.entry, now_ms, effect)
    if links.is_closed(opened.link):
        _drop_link(router, opened)


def _start_link_timer(router: Router, opened: OpenLink, timer) -> None:
    def make_message(_key: str, token: int) -> LinkTimer:
        return LinkTimer(opened.link.upstream_id, opened.number, token)

    mailbox.start_timer(router.inbox, timer, make_message)


def _drop_link(router: Router, opened: OpenLink) -> None:
    opened.task.cancel()
    upstream_id = opened.link.upstream_id
    if router.open_links.get(upstream_id) is opened:
        del router.open_links[upstream_id]


def _get_or_open_link(
    router: Router, upstream_id: str, now_ms: int
) -> OpenLink:
    upstream = router.entry.view.upstreams[upstream_id]
    opened = router.open_links.get(upstream_id)
    if opened is not None and opened.incarnation == upstream.incarnation:
        opened.last_used_ms = now_ms
        return opened
    router.last_link_number += 1
    number = router.last_link_number
    outbox = mailbox.Mailbox()
    link = links.Link(upstream_id, router.link_chart)
    task = router.group.create_task(
        _run_link(router, upstream.address, upstream_id, number, outbox)
    )
    opened = OpenLink(number, link, upstream.incarnation, outbox, task, now_ms)
    router.open_links[upstream_id] = opened
    for effect in links.start(link, now_ms):
        _start_link_timer(router, opened, effect)
    return opened


async def _run_link(router, address, upstream_id, number, outbox) -> None:
    ctx = zmq.asyncio.Context.instance()
    sock = ctx.socket(zmq.DEALER)
    sock.setsockopt(zmq.IDENTITY, f"{router.name}/{number}".encode())
    sock.setsockopt(zmq.LINGER, 0)
    # A socket must not reconnect, or frames queued for one process could
    # reach its successor at the same address; a new link is opened instead.
    # Disabling reconnection would drop frames that have arrived but were not
    # read, so the reconnect interval exceeds the lifetime of any
    # disconnected link.
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    monitor = sock.get_monitor_socket()
    sock.connect(address)

    def post_event(event) -> None:
        mailbox.post_now(router.inbox, LinkEvent(upstream_id, number, event))

    try:
        await asyncio.gather(
            _watch_transport(monitor, sock, post_event),
            _receive(sock, post_event),
            _transmit(sock, outbox),
        )
    finally:
        sock.disable_monitor()
        monitor.close()
        sock.close()


async def _watch_transport(monitor, sock, post_event) -> None:
    broken_events = (
        zmq.EVENT_DISCONNECTED
        | zmq.EVENT_CLOSED
        | zmq.EVENT_CONNECT_RETRIED
        | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    )
    while True:
        parts = await monitor.recv_multipart()
        event = zmq.utils.monitor.parse_monitor_message(parts)["event"]
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            post_event(links.LinkOpened())
        elif event & broken_events:
            # Let `_receive` post a frame that it has already read, so that
            # frames stay in order.
            await asyncio.sleep(0)
            _receive_pending(sock, post_event)
            post_event(links.LinkDisconnected())


async def _receive(sock, post_event) -> None:
    while True:
        _post_frame(await sock.recv(), post_event)


def _receive_pending(sock, post_event) -> None:
    """Post all frames that have arrived, without waiting.

    `_receive` may never wake up for them: libzmq signals a socket once, and
    any other access to the socket clears the signal.
    """
    plain = zmq.Socket(shadow=sock)
    while True:
        try:
            data = plain.recv(zmq.NOBLOCK)
        except zmq.Again:
            return
        _post_frame(data, post_event)


def _post_frame(data: bytes, post_event) -> None:
    try:
        post_event(codec.decode(data))
    except codec.MalformedMessageError as exc:
        events.emit(events.FRAME_DROPPED, reason=str(exc))


async def _transmit(sock, outbox: mailbox.Mailbox) -> None:
    while True:
        for frame in await mailbox.receive_all(outbox):
            await sock.send(codec.encode(frame))


# Effects.


async def _perform(router: Router, effect) -> None:
    if isinstance(effect, effects.Send):
        await _send(router, effect)
    elif isinstance(effect, effects.SetTimer):
        mailbox.start_timer(router.inbox, effect, role_messages.TimerFired)
    elif isinstance(effect, role_messages.SendCommand):
        await control_link.send_command(router.control, router.sub, effect)
    elif isinstance(effect, entry_messages.CallEnded):
        _on_call_ended(router, effect)
    elif isinstance(effect, subscription.ViewChanged):
        version = router.sub.view.version
        metrics.set_gauge(router.metrics, VERSION_GAUGE_NAME, version)
    elif isinstance(effect, subscription.FreshnessChanged):
        events.emit(events.FRESHNESS_CHANGED, fresh=effect.fresh)
        changed = role_messages.FreshnessUpdate(effect.fresh)
        mailbox.post_now(router.inbox, changed)
    elif isinstance(effect, _REPLIES):
        _reply(router, effect)


_REPLIES = (
    entry_messages.ReplyHead
    | entry_messages.ReplyChunk
    | entry_messages.ReplyEnd
    | entry_messages.ReplyFailure
)


async def _send(router: Router, effect: effects.Send) -> None:
    if isinstance(effect.message, feed_messages.Heartbeat):
        await control_link.send(router.control, effect.to, effect.message)
        return
    now_ms = clock.now_ms()
    if isinstance(effect.message, call_messages.Dispatch):
        opened = _get_or_open_link(router, effect.to, now_ms)
    else:
        opened = router.open_links.get(effect.to)
    if opened is not None:
        opened.link.view_index = router.entry.view.index
        for transmit in links.send(opened.link, effect.message):
            mailbox.post_now(opened.outbox, transmit.frame)


def _reply(router: Router, effect) -> None:
    inbox = router.reply_mailboxes.get(effect.request_id)
    if inbox is None:
        return
    mailbox.post_now(inbox, effect)
    if isinstance(
        effect, entry_messages.ReplyEnd | entry_messages.ReplyFailure
    ):
        del router.reply_mailboxes[effect.request_id]


def _on_call_ended(router: Router, ended: entry_messages.CallEnded) -> None:
    router.reply_mailboxes.pop(ended.request_id, None)
    code = ended.failure.code if ended.failure else "ok"
    counter_name = f'bilberry_calls{{route="{ended.route}",code="{code}"}}'
    metrics.increment(router.metrics, counter_name)
    metrics.record_duration(
        router.metrics, "bilberry_call", ended.took_ms / 1000
    )
    if ended.failure is not None:
        events.emit(
            events.CALL_ENDED,
            request_id=ended.request_id,
            route=ended.route,
            code=ended.failure.code,
            outcome=ended.failure.outcome,
            attempts=ended.attempts,
            took_ms=ended.took_ms,
        )


async def _send_heartbeats(router: Router) -> None:
    while True:
        mailbox.post_now(router.inbox, HeartbeatDue())
        await asyncio.sleep(subscription.HEARTBEAT_MS / 1000)


_HANDLERS = {
    NewCall: _on_new_call,
    ChunkWritten: _on_chunk_written,
    FromControl: _on_control,
    HeartbeatDue: _on_heartbeat,
    LinkEvent: _on_link_event,
    LinkTimer: _on_link_timer,
    EndCalls: _on_end_calls,
    role_messages.TimerFired: _on_timer,
}
