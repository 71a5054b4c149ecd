"""TCP connections between the nodes and agents of a fleet.

Each process has one socket for listening and one connection for each peer that
it sends to. Sending never blocks: a message that a peer's queue cannot hold
displaces the oldest ones there, because every message is later repeated or
superseded by a newer one.
"""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Callable

from bilberryramp.charts import loader
from bilberryramp.decisions.shared import charting, peer_links
from bilberryramp.tasks import clock, peer_listener
from bilberryramp.wire import errors, fleet_codec, frames

__all__ = [
    "AGENT_PING_INTERVAL_MS",
    "Mesh",
    "broadcast",
    "close",
    "open_mesh",
    "send",
]

# Keep-alive of connections between nodes and agents. Each node has one to each
# agent, and most are idle, so pings at the shorter interval would be most of
# the traffic of a large fleet. Sent data still fails after USER_TIMEOUT_MS
# without an acknowledgement.
AGENT_PING_INTERVAL_MS = 5000
USER_TIMEOUT_MS = 1200
OPEN_TIMEOUT_S = 0.8
# Bound of what the kernel holds for a peer.
SEND_BUFFER_BYTES = 128 * 2**10
# Bytes that a peer that reads slowly must take at a time.
PIECE_BYTES = 64 * 2**10
READ_BYTES = 2**10


@dataclasses.dataclass(slots=True)
class Sender:
    """Connection to one peer and the task that owns it.

    Attributes
    ----------
    link
        State of the connection and its queue.
    is_in_outbox
        Whether the mesh's writer is to send what is queued.
    is_ping_due
        Whether it is to send a ping.
    rest
        Bytes that the peer has not taken in time, which `task` sends.
    has_rest
        Set while there are such bytes, or once the connection has ended.
    sock
        Socket; None while the connection is not up.
    task
        Task that opens the connection, and waits for a slow peer.
    """

    link: peer_links.Link
    is_in_outbox: bool = False
    is_ping_due: bool = False
    rest: bytes = b""
    has_rest: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    sock: socket.socket | None = None
    task: asyncio.Task | None = None


@dataclasses.dataclass(slots=True)
class Mesh:
    """Sockets of one node or agent.

    Attributes
    ----------
    listener
        Listening socket and the connections of peers.
    chart
        The chart ``peer_link``.
    ping_interval_ms
        Interval of the keep-alive of its connections, in milliseconds.
    senders
        Connections by address of the peer, opened with the first message to
        it.
    outbox
        Connections that have something to send.
    has_mail
        Set while there are such connections.
    too_long
        Number of messages dropped because no peer would accept their size.
    is_closed
        Whether `close` was called.
    writer
        Task that sends what is queued, as far as peers take it at once.
    ticker
        Task that lets time pass for all connections.
    """

    listener: peer_listener.Listener
    chart: charting.Chart
    ping_interval_ms: int = peer_links.PING_INTERVAL_MS
    senders: dict[str, Sender] = dataclasses.field(default_factory=dict)
    outbox: list[Sender] = dataclasses.field(default_factory=list)
    has_mail: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    too_long: int = 0
    is_closed: bool = False
    writer: asyncio.Task | None = None
    ticker: asyncio.Task | None = None

    @property
    def dropped(self) -> int:
        """Number of messages that were dropped instead of sent."""
        return self.too_long + sum(
            sender.link.dropped for sender in self.senders.values()
        )


def open_mesh(
    address: str,
    deliver: Callable,
    ping_interval_ms: int = peer_links.PING_INTERVAL_MS,
) -> Mesh:
    """Open the listening socket and accept peers.

    Parameters
    ----------
    address
        Host and port to listen on, separated by a colon.
    deliver
        Function that is called with each received message, in the thread of
        the event loop.
    ping_interval_ms
        As in `Mesh`.

    Returns
    -------
    Mesh
        Sockets that are read while the event loop runs.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    chart = charting.bind(
        loader.load("peer_link"), peer_links.guards, peer_links.actions
    )
    listener = peer_listener.open_listener(address, deliver)
    mesh = Mesh(listener, chart, ping_interval_ms)
    mesh.writer = asyncio.create_task(_write_all(mesh))
    mesh.ticker = asyncio.create_task(_tick_all(mesh))
    return mesh


def send(
    mesh: Mesh, address: str, message, ping_interval_ms: int | None = None
) -> None:
    """Send a message to a peer, or drop it while the peer is away.

    Parameters
    ----------
    mesh
        Sockets of this node. Modified in place.
    address
        Host and port of the peer, separated by a colon.
    message
        Message of a type that `fleet_codec` encodes.
    ping_interval_ms
        Interval of the keep-alive if the connection is opened by this call;
        None for that of `mesh`.
    """
    if address not in mesh.senders and not mesh.is_closed:
        _start_sender(mesh, address, ping_interval_ms or mesh.ping_interval_ms)
    _post(mesh, (address,), message)


def broadcast(mesh: Mesh, addresses, message) -> None:
    """Send a message to several peers.

    Parameters
    ----------
    mesh
        Sockets of this node. Modified in place.
    addresses
        Hosts and ports of the peers.
    message
        Message of a type that `fleet_codec` encodes.
    """
    _post(mesh, addresses, message)


def _post(mesh: Mesh, addresses, message) -> None:
    if mesh.is_closed:
        return
    data = fleet_codec.encode(message)
    if len(data) > frames.MAX_MESSAGE_BYTES:
        mesh.too_long += 1
        return
    frame = frames.encode(data)
    for address in addresses:
        sender = mesh.senders.get(address)
        if sender is None:
            sender = _start_sender(mesh, address, mesh.ping_interval_ms)
        if peer_links.push(sender.link, frame):
            _put_in_outbox(mesh, sender)


def _put_in_outbox(mesh: Mesh, sender: Sender) -> None:
    if not sender.is_in_outbox:
        sender.is_in_outbox = True
        mesh.outbox.append(sender)
        mesh.has_mail.set()


def _start_sender(mesh: Mesh, address: str, ping_interval_ms: int) -> Sender:
    link = peer_links.Link(address, mesh.chart, ping_interval_ms)
    sender = Sender(link)
    mesh.senders[address] = sender
    sender.task = asyncio.create_task(_run_sender(mesh, sender))
    return sender


async def _run_sender(mesh: Mesh, sender: Sender) -> None:
    """Open the connection to a peer again whenever it has ended."""
    while True:
        sock = None
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                sock = _make_socket()
                await _open(sock, sender.link.key)
            _report(sender, "opened")
            sender.sock, sender.is_ping_due = sock, False
            _put_in_outbox(mesh, sender)
            await _serve(mesh, sender)
        except (OSError, errors.MalformedMessageError):
            pass
        except (ValueError, OverflowError):
            # No address: names of peers come from other processes.
            pass
        finally:
            sender.sock, sender.rest = None, b""
            if sock is not None:
                sock.close()
        for effect in _report(sender, "ended"):
            await asyncio.sleep(effect.delay_ms / 1000)
        _report(sender, "delay_over")


def _report(sender: Sender, event: str) -> list:
    return list(peer_links.report(sender.link, event, clock.now_ms()))


def _make_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return sock


async def _open(sock: socket.socket, address: str) -> None:
    """Connect, and wait until the peer has introduced itself."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    await loop.sock_connect(sock, (host, int(port)))
    if sock.getsockname() == sock.getpeername():
        # TCP connects a free port of this host to itself now and then.
        raise ConnectionRefusedError
    await loop.sock_sendall(sock, frames.HELLO)
    decoder = frames.Decoder()
    while not decoder.is_introduced:
        data = await loop.sock_recv(sock, len(frames.HELLO))
        if not data:
            raise ConnectionResetError
        list(frames.feed(decoder, data))


async def _serve(mesh: Mesh, sender: Sender) -> None:
    """Wait for the peer whenever it is slow, until the connection ends."""
    sender.has_rest.clear()
    reading = asyncio.create_task(_read(sender.link, sender.sock))
    reading.add_done_callback(lambda _: sender.has_rest.set())
    try:
        while True:
            await sender.has_rest.wait()
            sender.has_rest.clear()
            if reading.done():
                return
            await _send_rest(sender)
            sender.rest = b""
            _put_in_outbox(mesh, sender)
    finally:
        reading.cancel()
        await asyncio.wait((reading,))
        # An error of the connection needs no report, but must be taken.
        _ = reading.cancelled() or reading.exception()


async def _read(link: peer_links.Link, sock: socket.socket) -> None:
    """Take what the peer sends, which is no more than answers to pings."""
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(sock, READ_BYTES):
        peer_links.hear(link)
        # Bytes that arrive without end must not keep others waiting.
        await asyncio.sleep(0)


async def _send_rest(sender: Sender) -> None:
    """Send bytes as the peer takes them."""
    loop = asyncio.get_running_loop()
    view = memoryview(sender.rest)
    sender.link.is_blocked = True
    try:
        for start in range(0, len(view), PIECE_BYTES):
            piece = view[start : start + PIECE_BYTES]
            await loop.sock_sendall(sender.sock, piece)
            peer_links.hear(sender.link)
    finally:
        sender.link.is_blocked = False


async def _write_all(mesh: Mesh) -> None:
    """Send what is queued for all peers, in the order of their messages."""
    while True:
        await mesh.has_mail.wait()
        mesh.has_mail.clear()
        senders, mesh.outbox = mesh.outbox, []
        for sender in senders:
            sender.is_in_outbox = False
            if sender.sock is not None and not sender.rest:
                _write(sender)


def _write(sender: Sender) -> None:
    """Send as much as the peer takes at once, and leave the rest to its task.

    A failed connection is left to the task, too, which reads its end.
    """
    try:
        while data := _take(sender):
            sent = 0
            with contextlib.suppress(BlockingIOError):
                sent = sender.sock.send(data)
            if sent < len(data):
                sender.rest = data[sent:]
                sender.has_rest.set()
                return
    except OSError:
        _shut_down(sender)


def _take(sender: Sender) -> bytes:
    if sender.is_ping_due:
        sender.is_ping_due = False
        return frames.PING
    return peer_links.take_batch(sender.link)


async def _tick_all(mesh: Mesh) -> None:
    while True:
        await asyncio.sleep(peer_links.TICK_MS / 1000)
        peer_listener.tick(mesh.listener)
        for sender in mesh.senders.values():
            if sender.sock is not None:
                _tick(mesh, sender)


def _tick(mesh: Mesh, sender: Sender) -> None:
    verdict = peer_links.tick(sender.link)
    if verdict is peer_links.Verdict.PING:
        sender.is_ping_due = True
        _put_in_outbox(mesh, sender)
    elif verdict is peer_links.Verdict.DEAD:
        _shut_down(sender)


def _shut_down(sender: Sender) -> None:
    """Let reads and writes of the task that owns the socket fail at once."""
    with contextlib.suppress(OSError):
        sender.sock.shutdown(socket.SHUT_RDWR)


def close(mesh: Mesh) -> None:
    """End all connections; their tasks close the sockets.

    Parameters
    ----------
    mesh
        Sockets of this node, which cannot be used afterwards.
    """
    mesh.is_closed = True
    mesh.writer.cancel()
    mesh.ticker.cancel()
    peer_listener.close(mesh.listener)
    for sender in mesh.senders.values():
        sender.task.cancel()
