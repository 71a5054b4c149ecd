"""Listening socket of a node or agent, and the connections of its peers.

Anyone can reach the port. Bytes that are not frames end their connection, and
the number of connections and the bytes that they hold are bounded.
"""

import asyncio
import collections
import dataclasses
import socket
from collections.abc import Callable

from bilberryramp.telemetry import events
from bilberryramp.wire import errors, fleet_codec, frames

__all__ = ["Listener", "Inbound", "close", "open_listener", "tick"]

READ_BYTES = 16 * 2**10
RECEIVE_BUFFER_BYTES = 128 * 2**10
# Limit without one by the process's descriptors.
MAX_CONNECTIONS = 1024
# Bytes of incomplete frames of all connections: one message of the largest
# size, and some of usual size.
HELD_LIMIT_BYTES = frames.MAX_MESSAGE_BYTES + 4 * 2**20
# Ticks in which a stranger must introduce itself and an incomplete frame must
# grow.
PROGRESS_TICKS = 6
# Ticks after which a connection is given up on which no ping arrives either;
# more than the longest interval of pings.
QUIET_TICKS = 40
# Ticks between two events about what was dropped.
EVENT_TICKS = 5
BACKLOG = 128
ACCEPT_RETRY_S = 0.2


@dataclasses.dataclass(slots=True)
class Inbound:
    """Connection of a peer, or of a stranger.

    Attributes
    ----------
    sock
        Socket, which the listener's task owns.
    host
        Address of the other end.
    decoder
        Bytes of an incomplete frame.
    held_bytes
        Their number, as counted for the listener.
    quiet_ticks
        Ticks since the last bytes.
    """

    sock: socket.socket
    host: str
    decoder: frames.Decoder = dataclasses.field(default_factory=frames.Decoder)
    held_bytes: int = 0
    quiet_ticks: int = 0


@dataclasses.dataclass(slots=True)
class Listener:
    """Listening socket and what arrives there.

    Attributes
    ----------
    sock
        Listening socket, which `task` owns.
    deliver
        Function that is called with each received message.
    inbound
        Connections by socket, oldest first.
    holders
        Connections with an incomplete frame by socket, that whose frame began
        first comes first.
    held_bytes
        Size of all incomplete frames.
    refused
        Number of messages dropped and connections ended for what was sent.
    event_ticks
        Ticks until the next event may be emitted.
    max_connections
        Number of connections that may be open.
    task
        Task that accepts connections.
    """

    sock: socket.socket
    deliver: Callable
    inbound: dict[socket.socket, Inbound] = dataclasses.field(
        default_factory=dict
    )
    holders: dict[socket.socket, Inbound] = dataclasses.field(
        default_factory=dict
    )
    held_bytes: int = 0
    refused: int = 0
    event_ticks: int = 0
    max_connections: int = MAX_CONNECTIONS
    task: asyncio.Task | None = None


def open_listener(address: str, deliver: Callable) -> Listener:
    """Listen for peers.

    Parameters
    ----------
    address
        Host and port to listen on, separated by a colon.
    deliver
        Function that is called with each received message, in the thread of
        the event loop.

    Returns
    -------
    Listener
        Listener that accepts connections while the event loop runs.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), backlog=BACKLOG)
    sock.setblocking(False)
    # Connections inherit it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener = Listener(sock, deliver)
    listener.task = asyncio.create_task(_accept_all(listener))
    listener.task.add_done_callback(lambda _: sock.close())
    return listener


def close(listener: Listener) -> None:
    """Stop listening and end all connections.

    Parameters
    ----------
    listener
        Open listener. Nothing is delivered afterwards; the listening socket
        is closed by its task.
    """
    listener.task.cancel()
    for conn in list(listener.inbound.values()):
        _end(listener, conn)


def tick(listener: Listener) -> None:
    """End the connections that make no progress.

    Parameters
    ----------
    listener
        Open listener. Modified in place.
    """
    listener.event_ticks = max(listener.event_ticks - 1, 0)
    for conn in list(listener.inbound.values()):
        conn.quiet_ticks += 1
        decoder = conn.decoder
        is_stuck = decoder.buffer or not decoder.is_introduced
        limit = PROGRESS_TICKS if is_stuck else QUIET_TICKS
        if conn.quiet_ticks >= limit:
            _end(listener, conn)


async def _accept_all(listener: Listener) -> None:
    loop = asyncio.get_running_loop()
    while True:
        try:
            sock, address = await loop.sock_accept(listener.sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # No descriptor is left, or the connection ended before.
            await asyncio.sleep(ACCEPT_RETRY_S)
            continue
        if len(listener.inbound) >= listener.max_connections:
            _note(listener, "too many connections")
            _end(listener, _choose_victim(listener))
        conn = Inbound(sock, address[0])
        listener.inbound[sock] = conn
        loop.add_reader(sock, _on_readable, listener, conn)
        # Other tasks run, also while connections arrive without end.
        await asyncio.sleep(0)


def _choose_victim(listener: Listener) -> Inbound:
    """Return the connection to end in favor of a new one.

    It is one of the host with most of them, so that a host that opens many
    connections ends its own.
    """
    conns = listener.inbound.values()
    counts = collections.Counter(conn.host for conn in conns)
    return max(
        conns,
        key=lambda conn: (
            counts[conn.host],
            not conn.decoder.is_introduced,
            conn.quiet_ticks,
        ),
    )


def _end(listener: Listener, conn: Inbound) -> None:
    """Close a connection and release what it holds."""
    if listener.inbound.pop(conn.sock, None) is not None:
        _count_held(listener, conn, 0)
        conn.decoder = frames.Decoder()
        asyncio.get_running_loop().remove_reader(conn.sock)
        conn.sock.close()


def _on_readable(listener: Listener, conn: Inbound) -> None:
    """Take some bytes of a connection; the event loop calls again for more."""
    try:
        data = conn.sock.recv(READ_BYTES)
    except BlockingIOError:
        return
    except OSError:
        data = b""
    if not data:
        _end(listener, conn)
        return
    conn.quiet_ticks = 0
    try:
        reply = _take(listener, conn, data)
    except errors.MalformedMessageError as exc:
        _note(listener, str(exc))
        _end(listener, conn)
        return
    # A message may have closed the mesh.
    if conn.sock not in listener.inbound:
        return
    _count_held(listener, conn, len(conn.decoder.buffer))
    if reply and not _reply(conn.sock, reply):
        _end(listener, conn)
    elif listener.held_bytes > HELD_LIMIT_BYTES:
        _note(listener, "too many bytes of incomplete messages")
        _end(listener, next(iter(listener.holders.values())))


def _take(listener: Listener, conn: Inbound, data: bytes) -> bytes:
    """Deliver the messages that are complete, and return what to answer."""
    reply = b""
    for kind, payload in frames.feed(conn.decoder, data):
        if kind == frames.Kind.MESSAGE:
            _deliver(listener, payload)
        elif kind == frames.Kind.PING:
            reply = frames.PONG
        elif kind == frames.Kind.HELLO:
            reply = frames.HELLO
    return reply


def _deliver(listener: Listener, payload: bytes) -> None:
    try:
        message = fleet_codec.decode(payload)
    except errors.MalformedMessageError as exc:
        _note(listener, str(exc))
        return
    listener.deliver(message)


def _reply(sock: socket.socket, data: bytes) -> bool:
    """Send an answer; return whether the connection is still whole."""
    try:
        return sock.send(data) == len(data)
    except BlockingIOError:
        # The peer reads no answers, and notices itself that it has none.
        return True
    except OSError:
        return False


def _count_held(listener: Listener, conn: Inbound, held_bytes: int) -> None:
    if held_bytes == conn.held_bytes:
        return
    listener.held_bytes += held_bytes - conn.held_bytes
    conn.held_bytes = held_bytes
    if held_bytes:
        listener.holders.setdefault(conn.sock, conn)
    else:
        listener.holders.pop(conn.sock, None)


def _note(listener: Listener, reason: str) -> None:
    listener.refused += 1
    if not listener.event_ticks:
        listener.event_ticks = EVENT_TICKS
        events.emit(
            events.FRAME_DROPPED, reason=reason, total=listener.refused
        )
