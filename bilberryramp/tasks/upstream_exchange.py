"""HTTP exchange of a node with an upstream for one attempt of a call."""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Awaitable, Callable

import aiohttp
import multidict
import yarl
from aiohttp import hdrs, web

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.shared import errors
from bilberryramp.tasks import (
    answer_framing,
    answer_limits,
    upstream_connections,
)

__all__ = [
    "Answer",
    "Exchange",
    "NotSentError",
    "Session",
    "send_request",
    "open_session",
    "read_chunk",
    "read_answer",
]

# Connecting to an upstream takes a few milliseconds; a longer time means that
# its machine is down.
CONNECT_TIMEOUT_S = 0.5
# Time without acknowledgement of sent bytes after which a connection fails,
# because the upstream is regarded as lost.
UNACKED_TIMEOUT_MS = 2000
# Time for which idle connections are kept open; shorter than that of the
# upstreams, so that no upstream closes one while a request is in transit.
KEEPALIVE_S = 0.9
# Bytes of an answer after which its connection is no longer read until they
# are taken; also bounds the number of chunks that are parsed ahead.
READ_BUFFER_BYTES = 64 * 1024


class NotSentError(errors.BilberryError):
    """Raised when a request may no longer be sent.

    Attributes
    ----------
    outcome
        How the attempt ends.
    """

    def __init__(self, outcome: calls.AttemptOutcome):
        super().__init__(outcome.value)
        self.outcome = outcome


@dataclasses.dataclass(slots=True)
class Session:
    """Client session for requests to upstreams.

    Attributes
    ----------
    http
        Session that keeps no cookies, decodes no bodies and does not retry
        requests.
    conns
        State of its connections, for `upstream_connections.confirm`.
    on_excess
        Called with the host and port of an upstream whose answer exceeds a
        bound.
    """

    http: aiohttp.ClientSession
    conns: upstream_connections.Connections
    on_excess: Callable[[str], None]


@dataclasses.dataclass(slots=True)
class Answer:
    """Complete answer of an upstream.

    Attributes
    ----------
    status
        HTTP status.
    raw_headers
        Pairs of header name and value, as bytes.
    headers
        Decoded headers.
    body
        Complete body.
    """

    status: int
    raw_headers: tuple
    headers: multidict.CIMultiDictProxy
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Exchange:
    """HTTP exchange whose response head has arrived.

    Attributes
    ----------
    resp
        Response, whose body has not been read.
    framing
        How the end of its body can be recognized.
    """

    resp: aiohttp.ClientResponse
    framing: answer_framing.Framing


def open_session(
    request_id_header: str,
    on_excess: Callable[[str], None] = lambda address: None,
) -> Session:
    """Open the client session that all attempts share.

    Parameters
    ----------
    request_id_header
        Header that names a request and that upstreams repeat in the answer.
    on_excess
        As in `Session`.

    Returns
    -------
    Session
        Session whose connections carry one exchange at a time.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=KEEPALIVE_S,
        socket_factory=_make_socket,
        use_dns_cache=False,
    )
    answer_limits.install(connector, on_excess)
    conns = upstream_connections.guard(connector, request_id_header)
    http = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        skip_auto_headers=(
            hdrs.USER_AGENT,
            hdrs.ACCEPT,
            hdrs.ACCEPT_ENCODING,
            hdrs.CONTENT_TYPE,
        ),
    )
    # By default, aiohttp retries a request whose connection was closed.
    # Whether a request may run twice is decided by the gateway instead.
    http._retry_connection = False
    return Session(http, conns, on_excess)


def _make_socket(addr_info) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS
        )
    return sock


async def send_request(
    session: Session,
    request: web.BaseRequest,
    body: bytes,
    send_call: calls.SendCall,
    headers: list,
    headers_at_write: Callable[[], list | calls.AttemptOutcome],
) -> Exchange | calls.AttemptOutcome:
    """Send a request and wait for the head of the response.

    Redirects are not followed.

    Parameters
    ----------
    session
        Session from `open_session`.
    request
        Request of the client.
    body
        Body of the request.
    send_call
        Decision that names the upstream's address.
    headers
        Pairs of header name and value to send.
    headers_at_write
        Called once there is a connection, immediately before the request is
        written. Returns the rest of the headers, or how the attempt ends if
        the request may no longer be sent.

    Returns
    -------
    Exchange or AttemptOutcome
        `UNREACHABLE` if no connection could be opened, the result of
        `headers_at_write` if that is an outcome, `BROKEN` if the request may
        have run.
    """
    url = yarl.URL(
        f"http://{send_call.address}{request.raw_path}", encoded=True
    )
    if not _is_valid(url):
        return calls.AttemptOutcome.UNREACHABLE
    try:
        resp = await session.http.request(
            request.method,
            url,
            headers=multidict.CIMultiDict(headers),
            data=body or None,
            allow_redirects=False,
            middlewares=(_make_completion(headers_at_write),),
        )
    except NotSentError as exc:
        return exc.outcome
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return calls.AttemptOutcome.UNREACHABLE
    except (aiohttp.ClientError, OSError, ValueError):
        return calls.AttemptOutcome.BROKEN
    return Exchange(resp, answer_framing.of_response(resp))


def _make_completion(headers_at_write: Callable) -> Callable:
    """Return a middleware that completes a request when it is written."""

    async def complete(req, handler):
        write = req.send

        async def write_completed(conn):
            headers = headers_at_write()
            if isinstance(headers, calls.AttemptOutcome):
                raise NotSentError(headers)
            req.headers.extend(headers)
            return await write(conn)

        req.send = write_completed
        try:
            return await handler(req)
        finally:
            del req.send

    return complete


def _is_valid(url: yarl.URL) -> bool:
    """Return whether a URL names a host and a port in their ranges."""
    try:
        return bool(url.host and url.port)
    except ValueError:
        return False


async def read_chunk(exchange: Exchange) -> bytes | calls.AttemptOutcome:
    """Read the bytes of the response body that have arrived.

    Wait for at least one byte or the end of the body.

    Parameters
    ----------
    exchange
        Exchange from `send_request`.

    Returns
    -------
    bytes or AttemptOutcome
        Empty at the end of a complete body; `BROKEN` if the body was
        truncated.
    """
    try:
        chunk = await exchange.resp.content.readany()
    except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError):
        return calls.AttemptOutcome.BROKEN
    if not chunk and answer_framing.was_reset(exchange.framing):
        return calls.AttemptOutcome.BROKEN
    return chunk


async def read_answer(
    exchange: Exchange,
    max_body_bytes: int,
    on_excess: Callable[[], None],
    keep: Callable[[int], Awaitable[None]],
) -> Answer | calls.AttemptOutcome:
    """Read the rest of the response.

    Parameters
    ----------
    exchange
        Exchange from `send_request`.
    max_body_bytes
        Maximum size of the body in bytes.
    on_excess
        Called if the body is larger.
    keep
        Coroutine function that waits until a number of bytes may be kept.

    Returns
    -------
    Answer or AttemptOutcome
        `BROKEN` if the body was truncated or is larger than
        `max_body_bytes`.
    """
    chunks, remaining_bytes = [], max_body_bytes
    stated_bytes = exchange.resp.content_length or 0
    if 0 < stated_bytes <= max_body_bytes:
        await keep(stated_bytes)
    while chunk := await read_chunk(exchange):
        if isinstance(chunk, calls.AttemptOutcome):
            return chunk
        remaining_bytes -= len(chunk)
        if remaining_bytes < 0:
            on_excess()
            return calls.AttemptOutcome.BROKEN
        if not stated_bytes:
            await keep(len(chunk))
        chunks.append(chunk)
    resp = exchange.resp
    return Answer(
        resp.status, resp.raw_headers, resp.headers, b"".join(chunks)
    )
