"""Requests on the connections of clients: reading, answering, last answers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import hdrs, web

from bilberryramp.tasks import client_connections

__all__ = [
    "ARRIVED_MS",
    "ReadingEndedError",
    "began_in_drain",
    "is_last",
    "make_server",
    "mark_last",
    "read_body",
    "serve",
]

# Time since boot at which the head of a request was read, in milliseconds.
ARRIVED_MS = web.RequestKey("arrived_ms", int)


class ReadingEndedError(Exception):
    """A stopping process reads no more of a request's body."""


def make_server(
    name: str,
    handle: Callable,
    make_request: Callable,
    handler_cancellation: bool = False,
    **options,
) -> client_connections.Listener:
    """Return a listener whose requests have `ARRIVED_MS`.

    Parameters
    ----------
    name
        As in `Listener`.
    handle
        Coroutine function that takes a request and returns its response.
    make_request
        Request factory, as `web.Server` takes it.
    handler_cancellation
        Whether the handling of a request ends when its client leaves.
    options
        Options of `web.RequestHandler`.

    Returns
    -------
    Listener
        Listener that has no sockets yet.
    """

    def make_timed(message, payload, protocol, writer, task):
        request = make_request(message, payload, protocol, writer, task)
        request[ARRIVED_MS] = protocol.arrivals_ms.popleft()
        return request

    async def handle_to_end(request: web.BaseRequest) -> web.StreamResponse:
        return await serve(request, handle)

    manager = web.Server(
        handle_to_end,
        request_factory=make_timed,
        handler_cancellation=handler_cancellation,
    )
    return client_connections.new_listener(name, manager, **options)


async def serve(
    request: web.BaseRequest, handle: Callable
) -> web.StreamResponse:
    """Handle a request until its answer has been written.

    Parameters
    ----------
    request
        Request on a connection of a `client_connections.Listener`.
    handle
        Coroutine function that takes the request and returns its response.

    Returns
    -------
    web.StreamResponse
        Response, written to its end unless the client has left.
    """
    conn = request.protocol
    conn.current = request
    conn.written_before = conn.link.written_bytes
    try:
        response = await handle(request)
        with contextlib.suppress(ConnectionError):
            if not response.prepared:
                mark_last(request, response)
            await response.prepare(request)
            await response.write_eof()
        return response
    finally:
        conn.current = None
        conn.last_body = request.content
        conn.ended_count += 1


async def read_body(
    request: web.BaseRequest, read: Callable[[web.BaseRequest], Awaitable]
):
    """Read the body of a request, unless a planned stop ends the reading.

    Parameters
    ----------
    request
        Request on a connection of a `client_connections.Listener`.
    read
        Coroutine function that takes the request and reads its body.

    Returns
    -------
    object
        Result of `read`.

    Raises
    ------
    ReadingEndedError
        When the process stops, and reads no more of the body.
    """
    conn = request.protocol
    timeout = asyncio.timeout(None)
    try:
        async with timeout:
            conn.reading = timeout
            _ask_for_body(request)
            return await read(request)
    except TimeoutError:
        raise ReadingEndedError from None
    finally:
        conn.reading = None


def _ask_for_body(request: web.BaseRequest) -> None:
    """Tell a client that waits for it to send the body."""
    expected = request.headers.get(hdrs.EXPECT, "").lower()
    link = request.protocol.link
    if (
        expected == "100-continue"
        and request.version >= aiohttp.HttpVersion11
        and not request.content.is_eof()
        and not link.is_closing()
    ):
        link.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def is_last(request: web.BaseRequest) -> bool:
    """Return whether the answer to a request is its connection's last one.

    That is so in a planned stop, unless more requests, or a part of one, have
    arrived.
    """
    conn = request.protocol
    return (
        conn.listener.phase != "running"
        and conn.begun_count == conn.ended_count + 1
        and not conn.has_partial_head
    )


def began_in_drain(request: web.BaseRequest) -> bool:
    """Return whether a request began after its listener was closed."""
    return request[ARRIVED_MS] >= request.protocol.listener.drained_ms


def mark_last(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Let an answer say that it is the last one, if it is.

    Parameters
    ----------
    request
        Request on a connection of a `client_connections.Listener`.
    response
        Its response, whose head has not been sent. Modified in place.
    """
    if is_last(request):
        response.force_close()
