"""Connections of clients: what each one is doing, and how it is closed.

The HTTP library parses requests and writes answers. What it does not tell is
kept here: when a request arrived, whether it is still being read, whether it
waits for its turn, and what has not been sent yet.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
from collections.abc import Callable, Iterator

from aiohttp import web

from bilberryramp.decisions.shared import client_memory, connection_stop
from bilberryramp.tasks import client_holdings, clock, lingering_transport

__all__ = [
    "ConnectionEnd",
    "Listener",
    "close",
    "connections",
    "end_reading",
    "new_listener",
    "open_connections",
    "protocol_factory",
    "state_of",
    "stop_accepting",
]

# Time from the acceptance of a connection for which its first request may be
# on its way.
FIRST_REQUEST_MS = 200
_State = connection_stop.State


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionEnd:
    """How a connection of a stopping process ended.

    Attributes
    ----------
    listener
        Name of the listener.
    phase
        Phase of the stop.
    state
        What the connection was doing.
    reason
        Why it ended.
    request_bytes
        Bytes read of the last request, and of those that wait behind it.
    answer_bytes
        Bytes written of its answer.
    unsent_bytes
        Bytes that were written but not sent.
    dropped_bytes
        Bytes of the client that were read and dropped after the last answer.
    silent_ms
        Time since the last byte was read, in milliseconds.
    """

    listener: str
    phase: str
    state: connection_stop.State
    reason: connection_stop.Reason
    request_bytes: int
    answer_bytes: int
    unsent_bytes: int
    dropped_bytes: int
    silent_ms: int


@dataclasses.dataclass(slots=True)
class Listener:
    """A listening server and what its connections share.

    Attributes
    ----------
    name
        Name of the listener in logs and metrics.
    manager
        The library's server, which hands requests to their handlers.
    options
        Options of the library's connections.
    accepts_to_end
        Whether connections are accepted until the process ends.
    server
        Listening sockets; None before they are open.
    phase
        Phase of the process's planned stop, see ``charts/shutdown.yaml``.
    drained_ms
        Time since boot from which requests that begin are refused, in
        milliseconds; infinite while there is none.
    on_end
        Called with a `ConnectionEnd` for each connection that ends while the
        process is stopping.
    ledger
        What is held for its connections; None if that is not bounded.
    refused_count
        Number of requests for whose bodies there was no memory.
    max_head_bytes
        Bytes of a head from which no more are read, if there is a ledger.
    make_room
        Called when a connection can not be accepted; may close others.
    """

    name: str
    manager: web.Server
    options: dict
    accepts_to_end: bool = False
    server: asyncio.Server | None = None
    phase: str = "running"
    drained_ms: float = math.inf
    on_end: Callable = lambda _end: None
    ledger: client_memory.Ledger | None = None
    refused_count: int = 0
    max_head_bytes: float = math.inf
    make_room: Callable[[], None] = lambda: None


class _Connection(web.RequestHandler):
    """Connection of a client.

    Attributes
    ----------
    listener
        Listener that accepted the connection.
    arrivals_ms
        Times since boot at which the heads of the requests that wait for
        their turn were read, in milliseconds and oldest first.
    link
        Transport; None before the connection is open.
    accepted_ms, last_read_ms
        Times since boot at which the connection was accepted and the last
        byte was read, in milliseconds.
    read_bytes
        Bytes read since the connection was idle.
    written_before
        Number of bytes written before the last answer.
    begun_count, ended_count
        Numbers of requests whose head was read, and whose answer was written.
    has_partial_head
        Whether bytes came that are not part of a request whose head was read.
    reading
        Timeout of the body that is being read; None if there is none.
    current
        Request that is being handled; None if there is none.
    last_body
        Body of the last request that was handled; None if there is none.
    end_reason
        Why this process ended the connection; None if it did not.
    holding
        What is held for the connection; None if that is not counted.
    grant
        Future that ends when the connection gets memory for which it waits.
    head_began_ms
        Time since boot at which the head that is being read began, in
        milliseconds.
    body_bytes
        Bytes of the body that is being read at the last read.
    acked_bytes, unread_since_ms
        Number of bytes that the client had received at the last review, and
        time since which it has received none of those that were written, in
        milliseconds; infinite if it has all.
    """

    __slots__ = (
        "accepted_ms",
        "acked_bytes",
        "arrivals_ms",
        "begun_count",
        "body_bytes",
        "current",
        "end_reason",
        "ended_count",
        "grant",
        "has_partial_head",
        "head_began_ms",
        "holding",
        "last_body",
        "last_read_ms",
        "link",
        "listener",
        "read_bytes",
        "reading",
        "unread_since_ms",
        "written_before",
    )

    def __init__(self, listener: Listener, **options):
        super().__init__(listener.manager, **options)
        self.listener = listener
        self.arrivals_ms = collections.deque()
        self.link = None
        self.accepted_ms = self.last_read_ms = clock.boot_ms()
        self.read_bytes = self.written_before = 0
        self.begun_count = self.ended_count = 0
        self.has_partial_head = False
        self.reading = self.current = self.last_body = None
        self.end_reason = self.holding = self.grant = None
        self.head_began_ms = self.unread_since_ms = math.inf
        self.acked_bytes = self.body_bytes = 0

    def connection_made(self, transport) -> None:
        """Wrap the transport of a new connection, if it may be open."""
        ledger = self.listener.ledger
        if ledger is not None:
            if not client_memory.may_open(ledger):
                self.listener.make_room()
            if not client_memory.may_open(ledger):
                transport.abort()
                return
            self.holding = client_memory.open_holding(ledger, self)
        self.link = lingering_transport.Transport(
            transport, lambda: client_holdings.note_unsent(self)
        )
        super().connection_made(self.link)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the client, and note the requests that begin."""
        self.last_read_ms = clock.boot_ms()
        if self.link.is_closed:
            self.link.dropped_bytes += len(data)
            return
        if self.begun_count == self.ended_count and not self.has_partial_head:
            self.read_bytes = 0
        self.read_bytes += len(data)
        known_count = self._request_count
        is_between = _is_between_requests(self)
        super().data_received(data)
        if begun_count := self._request_count - known_count:
            self.arrivals_ms.extend([self.last_read_ms] * begun_count)
            self.begun_count += begun_count
            self.has_partial_head = False
        # The library calls this method without bytes when it reads on.
        elif is_between and data:
            if not self.has_partial_head:
                self.head_began_ms = self.last_read_ms
            self.has_partial_head = True
        if self.holding is not None and data:
            client_holdings.charge_input(self, len(data))

    def resume_writing(self) -> None:
        """Note that the client has read, and write on."""
        client_holdings.note_unsent(self)
        super().resume_writing()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end of the connection if the process is stopping."""
        if self.listener.phase != "running" and self.link is not None:
            self.listener.on_end(_describe_end(self))
        client_holdings.forget(self)
        super().connection_lost(exc)


def _has_unread_body(conn: _Connection) -> bool:
    """Return whether an answer was given before the end of its request."""
    return conn.last_body is not None and not conn.last_body.is_eof()


def _is_between_requests(conn: _Connection) -> bool:
    """Return whether the next byte is known to be part of a new request."""
    if conn.begun_count == conn.ended_count:
        return not _has_unread_body(conn)
    return (
        conn.begun_count == conn.ended_count + 1
        and conn.current is not None
        and conn.current.content.is_eof()
    )


def _describe_end(conn: _Connection) -> ConnectionEnd:
    return ConnectionEnd(
        conn.listener.name,
        conn.listener.phase,
        state_of(conn),
        _end_reason(conn),
        conn.read_bytes,
        conn.link.written_bytes - conn.written_before,
        conn.link.inner.get_write_buffer_size(),
        conn.link.dropped_bytes,
        clock.boot_ms() - conn.last_read_ms,
    )


def _end_reason(conn: _Connection) -> connection_stop.Reason:
    if conn.end_reason is not None:
        return conn.end_reason
    if conn.link.is_closed:
        return connection_stop.Reason.LAST_ANSWER
    return connection_stop.Reason.CLIENT


def state_of(conn: _Connection) -> connection_stop.State:
    """Return what a connection is doing."""
    if conn.link.is_closed:
        return _State.CLOSING
    if conn.begun_count > conn.ended_count:
        if conn.reading is not None:
            return _State.READING_BODY
        return _State.QUEUED if conn.current is None else _State.ANSWERING
    if _has_unread_body(conn):
        return _State.ANSWERED_EARLY
    if conn.has_partial_head:
        return _State.READING_HEAD
    if lingering_transport.has_unsent_bytes(conn.link):
        return _State.ANSWERING
    if not conn.begun_count:
        age_ms = clock.boot_ms() - conn.accepted_ms
        return _State.NEW if age_ms < FIRST_REQUEST_MS else _State.IDLE
    return _State.IDLE


def new_listener(name: str, manager: web.Server, **options) -> Listener:
    """Create a listener that has no sockets yet.

    Parameters
    ----------
    name
        As in `Listener`.
    manager
        The library's server, for example `web.AppRunner.server`. Its handlers
        must go through `client_requests.serve`.
    options
        Options of `web.RequestHandler`.

    Returns
    -------
    Listener
        The listener.
    """
    return Listener(name, manager, options)


def protocol_factory(listener: Listener) -> Callable:
    """Return the protocol factory of a listener for `loop.create_server`."""
    loop = asyncio.get_running_loop()
    return lambda: _Connection(listener, loop=loop, **listener.options)


async def stop_accepting(listener: Listener) -> None:
    """Close the sockets of a listener.

    Clients that have connected, and of which the event loop has not heard,
    are accepted; otherwise their connections would be reset.

    Parameters
    ----------
    listener
        Listener with open sockets.
    """
    loop = asyncio.get_running_loop()
    socks = [sock.dup() for sock in listener.server.sockets]
    listener.server.close()
    accepted = []
    for sock in socks:
        with sock, contextlib.suppress(OSError):
            while True:
                conn, _ = sock.accept()
                conn.setblocking(False)
                accepted.append(conn)
    factory = protocol_factory(listener)
    for conn in accepted:
        await loop.connect_accepted_socket(factory, conn)


def connections(listener: Listener) -> Iterator[connection_stop.Connection]:
    """Yield what each connection of a listener is doing."""
    for conn in open_connections(listener):
        yield connection_stop.Connection(
            conn, state_of(conn), conn.last_read_ms
        )


def open_connections(listener: Listener) -> Iterator[_Connection]:
    """Yield the connections of a listener."""
    for conn in listener.manager.connections:
        if conn.link is not None:
            yield conn


def end_reading(conn: _Connection, reason: connection_stop.Reason) -> None:
    """Let `client_requests.read_body` end before the end of the body."""
    if conn.reading is not None:
        conn.end_reason = reason
        conn.reading.reschedule(asyncio.get_running_loop().time())


def close(conn: _Connection, reason: connection_stop.Reason) -> None:
    """Close a connection that owes no answer.

    Parameters
    ----------
    conn
        Key of a `connection_stop.Connection`.
    reason
        Reason to report.
    """
    conn.end_reason = reason
    if reason is connection_stop.Reason.GRACE_OVER:
        conn.link.inner.abort()
    elif reason is connection_stop.Reason.IDLE:
        # Requests that come later are reset, so that the client knows at
        # once that they were not read.
        conn.link.inner.close()
    else:
        conn.link.close()
