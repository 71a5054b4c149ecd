"""What is held for the connections of clients, entered in their ledger."""

from aiohttp import web

from bilberryramp.decisions.shared import client_memory
from bilberryramp.tasks import clock

__all__ = [
    "begin_request",
    "charge_input",
    "end_request",
    "forget",
    "head_bytes",
    "note_unsent",
    "release",
    "serve_waiting",
]

# Bytes and number of requests behind the current one from which no more are
# read.
AHEAD_BYTES = 32 * 1024
AHEAD_REQUESTS = 8
_Kind = client_memory.Kind


def charge_input(conn, n_bytes: int) -> None:
    """Charge bytes that were read and are not part of a body being read.

    Reading is held while much has arrived behind the current request, and
    once a head, or the trailer of a body, is longer than any proper one.

    Parameters
    ----------
    conn
        Connection with a holding. Modified in place.
    n_bytes
        Number of bytes.
    """
    ledger, held = conn.listener.ledger, conn.holding.held
    if conn.begun_count == conn.ended_count:
        if conn.has_partial_head:
            _charge_head(conn, n_bytes)
    elif conn.begun_count > conn.ended_count + 1 or conn.has_partial_head:
        ahead_bytes = held[_Kind.AHEAD] + n_bytes
        client_memory.set_held(ledger, conn.holding, _Kind.AHEAD, ahead_bytes)
        if (
            ahead_bytes >= AHEAD_BYTES
            or len(conn.arrivals_ms) >= AHEAD_REQUESTS
        ):
            conn.link.hold_reading()
    elif conn.current is not None:
        body_bytes = conn.current.content.total_bytes
        if body_bytes == conn.body_bytes:
            _charge_head(conn, n_bytes)
        else:
            client_memory.release(ledger, conn.holding, _Kind.HEAD)
        conn.body_bytes = body_bytes


def _charge_head(conn, n_bytes: int) -> None:
    total_bytes = conn.holding.held[_Kind.HEAD] + n_bytes
    client_memory.set_held(
        conn.listener.ledger, conn.holding, _Kind.HEAD, total_bytes
    )
    if total_bytes > conn.listener.max_head_bytes:
        conn.link.hold_reading()


def head_bytes(conn) -> int:
    """Return the number of bytes that are held of a connection's heads."""
    return conn.holding.held[_Kind.HEAD] if conn.holding is not None else 0


def note_unsent(conn) -> None:
    """Charge what has been written and not been sent."""
    if conn.holding is not None:
        n_bytes = conn.link.inner.get_write_buffer_size()
        if n_bytes != conn.holding.held[_Kind.ANSWER]:
            client_memory.set_held(
                conn.listener.ledger, conn.holding, _Kind.ANSWER, n_bytes
            )


def begin_request(conn) -> int:
    """Take the time of arrival of the request whose handling begins.

    Once no request waits behind it, bytes are read again.

    Parameters
    ----------
    conn
        Connection of the request. Modified in place.

    Returns
    -------
    int
        Time since boot in milliseconds.
    """
    arrived_ms = conn.arrivals_ms.popleft()
    if not conn.arrivals_ms and conn.holding is not None:
        client_memory.release(conn.listener.ledger, conn.holding, _Kind.AHEAD)
        if conn.link.is_held:
            conn.link.release_reading()
    return arrived_ms


def end_request(conn, request: web.BaseRequest) -> None:
    """Note that the handling of a request has ended.

    Parameters
    ----------
    conn
        Connection of the request. Modified in place.
    request
        The request.
    """
    conn.current = None
    conn.body_bytes = 0
    conn.last_body = request.content
    conn.ended_count += 1
    release(conn, _Kind.BODY, _Kind.HEAD, _Kind.RELAY)
    if conn.has_partial_head:
        conn.head_began_ms = clock.boot_ms()
        if conn.link.is_held:
            conn.link.release_reading()


def release(conn, *kinds: client_memory.Kind) -> None:
    """Release what is held for a connection, and serve who waits for it.

    Parameters
    ----------
    conn
        The connection. Modified in place.
    kinds
        What is released.
    """
    if conn.holding is not None:
        client_memory.release(conn.listener.ledger, conn.holding, *kinds)
        serve_waiting(conn.listener)


def forget(conn) -> None:
    """Release all that is held for a connection that ends."""
    if conn.holding is not None:
        client_memory.close(conn.listener.ledger, conn.holding)
        conn.holding = None
        serve_waiting(conn.listener)


def serve_waiting(listener) -> None:
    """Wake the connections that get memory for which they waited.

    Parameters
    ----------
    listener
        Listener with a ledger.
    """
    for holding in client_memory.grants(listener.ledger):
        if not holding.key.grant.done():
            holding.key.grant.set_result(None)
