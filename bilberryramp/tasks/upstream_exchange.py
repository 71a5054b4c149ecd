"""One attempt of a call at an upstream, over HTTP."""

import asyncio
import contextlib
import dataclasses
import socket

import aiohttp
import multidict
import yarl
from aiohttp import hdrs, web

from bilberryramp.decisions.fleet import calls

__all__ = [
    "Answer",
    "Attempt",
    "send_request",
    "open_session",
    "read_chunk",
    "read_answer",
]

# A connection to an upstream takes a few milliseconds; one that takes this
# long goes to a machine that is down.
CONNECT_TIMEOUT_S = 0.5
# An upstream that does not acknowledge bytes for this long is gone.
UNACKED_TIMEOUT_MS = 2000
# Idle connections are kept for less than upstreams keep them, so that none
# is closed while a request is on its way.
KEEPALIVE_S = 0.9
READ_BYTES = 2**16


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer of an upstream, with its body unless it is a stream."""

    status: int
    raw_headers: tuple
    headers: multidict.CIMultiDictProxy
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt whose answer has begun."""

    resp: aiohttp.ClientResponse
    protocol: object
    has_framing: bool


def open_session() -> aiohttp.ClientSession:
    """Open the session that all attempts share.

    Returns
    -------
    aiohttp.ClientSession
        It neither follows redirects nor decodes bodies nor repeats.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=KEEPALIVE_S,
        socket_factory=_make_socket,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
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
    # The library would send a request again on a connection that was
    # closed; whether it may run twice is not its decision.
    session._retry_connection = False
    return session


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
    session: aiohttp.ClientSession,
    request: web.BaseRequest,
    body: bytes,
    send_call: calls.SendCall,
    headers: list,
) -> Attempt | calls.AttemptOutcome:
    """Send a request and wait for the head of its answer.

    Parameters
    ----------
    session, request, body
        The session, and the client's request with its body.
    sending, headers
        Where it goes, and with which headers.

    Returns
    -------
    Attempt or End
        `UNREACHABLE` when nothing was sent, `BROKEN` when the request may
        have run.
    """
    url = yarl.URL(
        f"http://{send_call.address}{request.raw_path}", encoded=True
    )
    try:
        resp = await session.request(
            request.method,
            url,
            headers=multidict.CIMultiDict(headers),
            data=body or None,
            allow_redirects=False,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return calls.AttemptOutcome.UNREACHABLE
    except (aiohttp.ClientError, OSError, ValueError):
        return calls.AttemptOutcome.BROKEN
    protocol = resp.connection.protocol if resp.connection else None
    has_framing = (
        hdrs.CONTENT_LENGTH in resp.headers
        or "chunked" in resp.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
        or resp.status in (204, 304)
        or request.method == hdrs.METH_HEAD
    )
    return Attempt(resp, protocol, has_framing)


async def read_chunk(attempt: Attempt) -> bytes | calls.AttemptOutcome:
    """Read what has arrived of an answer's body.

    Parameters
    ----------
    attempt
        A begun attempt.

    Returns
    -------
    bytes or End
        Empty at the end of a whole body; `BROKEN` when it broke off.
    """
    try:
        chunk = await attempt.resp.content.readany()
    except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError):
        return calls.AttemptOutcome.BROKEN
    if not chunk and not attempt.has_framing and _was_reset(attempt):
        return calls.AttemptOutcome.BROKEN
    return chunk


def _was_reset(attempt: Attempt) -> bool:
    """Tell whether a body that ends with its connection was cut short."""
    protocol = attempt.protocol
    return protocol is not None and protocol.exception() is not None


async def read_answer(attempt: Attempt) -> Answer | calls.AttemptOutcome:
    """Read an answer's whole body.

    Parameters
    ----------
    attempt
        A begun attempt.

    Returns
    -------
    Answer or End
        `BROKEN` when the body is not whole.
    """
    chunks = []
    while chunk := await read_chunk(attempt):
        if isinstance(chunk, calls.AttemptOutcome):
            return chunk
        chunks.append(chunk)
    resp = attempt.resp
    return Answer(
        resp.status, resp.raw_headers, resp.headers, b"".join(chunks)
    )
