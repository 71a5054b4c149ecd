"""Requests on the connections of clients: reading, answering, last answers."""

import asyncio
import contextlib
import enum
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import hdrs, web

from bilberryramp.decisions.shared import client_memory
from bilberryramp.tasks import client_connections, client_holdings

__all__ = [
    "ARRIVED_MS",
    "ReadingEnd",
    "ReadingEndedError",
    "began_in_drain",
    "is_last",
    "keep",
    "keep_answer",
    "make_server",
    "mark_last",
    "read_body",
    "release_body",
    "serve",
]

# Time since boot at which the head of a request was read, in milliseconds.
ARRIVED_MS = web.RequestKey("arrived_ms", int)


# Time for which a request waits for memory before it is refused.
WAIT_S = 0.7
# Time after which memory for an answer is asked for again if there is not even
# room to wait for it.
ASK_AGAIN_S = 0.1
# Memory for a byte of a body: it is kept for retries, and copied to be sent.
BODY_COPIES = 2
_Kind, _Reply = client_memory.Kind, client_memory.Reply


class ReadingEnd(enum.Enum):
    """Why a request is not read to its end."""

    STOPPING = "stopping"
    """The process stops."""
    TIMEOUT = "timeout"
    """The body stalls, or its time is over."""
    MEMORY = "memory"
    """There is no memory for it."""


class ReadingEndedError(Exception):
    """The rest of a request's body is not read.

    Attributes
    ----------
    cause
        Why.
    """

    def __init__(self, cause: ReadingEnd):
        super().__init__(cause.value)
        self.cause = cause


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
        request[ARRIVED_MS] = client_holdings.begin_request(protocol)
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
        client_holdings.end_request(conn, request)


async def read_body(
    request: web.BaseRequest,
    read: Callable[[web.BaseRequest], Awaitable],
    until_s: float | None = None,
):
    """Read the body of a request, unless the reading is ended.

    Memory for a body of a stated length is asked for before it is read.

    Parameters
    ----------
    request
        Request on a connection of a `client_connections.Listener`.
    read
        Coroutine function that takes the request and reads its body. It asks
        for the memory of a body without a length, see `keep`.
    until_s
        Time of the event loop until which the body is read; None for no end.

    Returns
    -------
    object
        Result of `read`.

    Raises
    ------
    ReadingEndedError
        When the body is not read to its end.
    aiohttp.web.HTTPRequestEntityTooLarge
        When the stated length exceeds the limit, if memory is bounded.
    """
    conn = request.protocol
    timeout = asyncio.timeout_at(until_s)
    try:
        async with timeout:
            conn.reading = timeout
            if conn.listener.ledger is not None:
                await _keep_stated(request)
            _ask_for_body(request)
            return await read(request)
    except TimeoutError:
        raise ReadingEndedError(_cause_of(conn)) from None
    finally:
        conn.reading = None


def _cause_of(conn) -> ReadingEnd:
    if conn.end_reason is None or conn.listener.phase == "running":
        return ReadingEnd.TIMEOUT
    return ReadingEnd.STOPPING


async def _keep_stated(request: web.BaseRequest) -> None:
    """Ask for the memory of a body whose length is stated."""
    stated_bytes = request.content_length or 0
    if stated_bytes > request.client_max_size:
        raise web.HTTPRequestEntityTooLarge(request.client_max_size)
    await keep(request, stated_bytes)


async def keep(request: web.BaseRequest, n_bytes: int) -> None:
    """Wait until more bytes of a body may be kept.

    Parameters
    ----------
    request
        Request on a connection of a `client_connections.Listener`.
    n_bytes
        Number of bytes that are read next.

    Raises
    ------
    ReadingEndedError
        When there is no memory for them.
    """
    conn = request.protocol
    ledger, holding = conn.listener.ledger, conn.holding
    if ledger is None:
        return
    reply = _Reply.REFUSED
    if holding is not None:
        reply = client_memory.ask(
            ledger, holding, _Kind.BODY, BODY_COPIES * n_bytes
        )
    if reply is _Reply.WAIT and not await _is_granted(conn, WAIT_S):
        reply = _Reply.REFUSED
    if reply is _Reply.REFUSED:
        conn.listener.refused_count += 1
        raise ReadingEndedError(ReadingEnd.MEMORY)


async def keep_answer(request: web.BaseRequest, n_bytes: int) -> None:
    """Wait until more bytes of an upstream's answer may be kept.

    Parameters
    ----------
    request
        Request on a connection of a `client_connections.Listener`.
    n_bytes
        Number of bytes.
    """
    conn = request.protocol
    ledger = conn.listener.ledger
    while conn.holding is not None:
        reply = client_memory.ask(ledger, conn.holding, _Kind.RELAY, n_bytes)
        if reply is _Reply.GRANTED:
            return
        if reply is _Reply.REFUSED:
            await asyncio.sleep(ASK_AGAIN_S)
        elif await _is_granted(conn, None):
            return


async def _is_granted(conn, wait_s: float | None) -> bool:
    """Wait for memory; return whether the connection got it."""
    conn.grant = asyncio.get_running_loop().create_future()
    try:
        await asyncio.wait([conn.grant], timeout=wait_s)
        return conn.grant.done()
    finally:
        conn.grant.cancel()
        if conn.holding is not None:
            client_memory.withdraw(conn.listener.ledger, conn.holding)


def release_body(request: web.BaseRequest) -> None:
    """Note that the body of a request is not kept any more."""
    client_holdings.release(request.protocol, _Kind.BODY)


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
