"""A node's HTTP interface for clients; each request is a task of its own."""

import asyncio
import dataclasses
from types import ModuleType

import aiohttp
from aiohttp import hdrs, web

from bilberryramp.decisions.fleet import calls, documents
from bilberryramp.tasks import (
    gateway_task,
    http_requests,
    mailbox,
    upstream_exchange,
)

__all__ = ["Frontend", "close_idle", "handle", "make_server"]

# A connection that a client keeps idle is closed a little after the limit
# that clients are told.
IDLE_SLACK_S = 2.0
# Longest request line and header that is read.
MAX_LINE_BYTES = 16384
MAX_HEADERS = 128

_STATUS = {
    calls.Refusal.NO_ROUTE: 404,
    calls.Failure.BROKEN: 502,
    calls.Failure.TIMED_OUT: 504,
}
_REFUSED = 503


@dataclasses.dataclass(slots=True)
class Frontend:
    """What all requests of a node share.

    Attributes
    ----------
    wire
        Reads requests' headers and makes those that are sent on.
    is_stopping
        From then on each answer ends its connection.
    is_closing
        From then on requests are refused.
    busy
        Connections with a request in progress.
    """

    gateway: gateway_task.GatewayTask
    session: aiohttp.ClientSession
    wire: ModuleType
    is_stopping: bool = False
    is_closing: bool = False
    busy: set = dataclasses.field(default_factory=set)


def make_server(front: Frontend) -> web.Server:
    """Make the protocol factory for client connections.

    Parameters
    ----------
    front
        Shared by all requests.

    Returns
    -------
    web.Server
        For `loop.create_server`.
    """

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        conn = request.protocol
        front.busy.add(conn)
        try:
            return await handle(front, request)
        finally:
            front.busy.discard(conn)

    make_request = http_requests.make_factory(
        lambda: _limits(front).body_bytes
    )
    idle_s = documents.CallLimits().idle_timeout_ms / 1000 + IDLE_SLACK_S
    return web.Server(
        serve,
        request_factory=make_request,
        handler_cancellation=True,
        keepalive_timeout=idle_s,
        access_log=None,
        auto_decompress=False,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        max_headers=MAX_HEADERS,
    )


def _limits(front: Frontend) -> documents.CallLimits:
    doc = front.gateway.gw.doc
    return doc.limits if doc is not None else documents.CallLimits()


def close_idle(front: Frontend, server: web.Server) -> None:
    """Close connections without a request, the others after their answer.

    Parameters
    ----------
    front, server
        What requests share, and their server.
    """
    for conn in server.connections:
        if conn in front.busy:
            conn.close()
        elif conn.transport is not None:
            conn.transport.close()


async def handle(
    front: Frontend, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve one request from its arrival to its last byte.

    Parameters
    ----------
    front, request
        What requests share, and this one.

    Returns
    -------
    web.StreamResponse
        Complete, or with its connection closed where it broke off.
    """
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return _plain(front, 413, "the body exceeds the limit", 0)
    task = front.gateway
    call_id = task.next_call
    task.next_call += 1
    asked = front.wire.decode_request(
        request.headers.get(hdrs.HOST, ""), request.raw_path, request.headers
    )
    if front.is_closing:
        return _refusal(
            front, calls.Refuse(call_id, calls.Refusal.STOPPING, 0)
        )
    fut = gateway_task.decision(task, call_id)
    mailbox.post_now(task.box, calls.CallArrived(call_id, asked))
    try:
        return await _follow(front, request, body, asked, call_id, fut)
    except asyncio.CancelledError:
        task.decisions.pop(call_id, None)
        mailbox.post_now(task.box, calls.ClientDisconnected(call_id))
        raise


async def _follow(
    front, request, body, asked, call_id, fut
) -> web.StreamResponse:
    """Carry out decisions on a call until one ends it."""
    task = front.gateway
    failed: upstream_exchange.Answer | None = None
    while True:
        step = await fut
        match step:
            case calls.Refuse():
                return _refusal(front, step)
            case calls.Fail():
                return _failure(front, step.reason)
            case calls.ForwardFailure():
                return _whole(front, failed)
        fut = gateway_task.decision(task, call_id)
        attempt = _Attempt(front, request, body, asked, step)
        end = await _try_once(attempt)
        failed = attempt.failed or failed
        gap_ms = round(1000 * attempt.longest_gap_s)
        mailbox.post_now(task.box, calls.AttemptEnded(call_id, end, gap_ms))
        if end in (
            calls.AttemptOutcome.DELIVERED,
            calls.AttemptOutcome.TRUNCATED,
        ):
            task.decisions.pop(call_id, None)
            return attempt.response
        if end is calls.AttemptOutcome.TIMED_OUT:
            task.decisions.pop(call_id, None)
            return attempt.response or _failure(front, calls.Failure.TIMED_OUT)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One sending of a request.

    Attributes
    ----------
    response
        What the client got or gets; None until it is known.
    failed
        The upstream's own failure, to be passed on if nothing better comes.
    longest_gap_s
        Longest pause between two pieces of a stream.
    """

    front: Frontend
    request: web.BaseRequest
    body: bytes
    asked: calls.Request
    sending: calls.SendCall
    response: web.StreamResponse | None = None
    failed: upstream_exchange.Answer | None = None
    longest_gap_s: float = 0.0


async def _try_once(attempt: _Attempt) -> calls.AttemptOutcome:
    begun = None
    try:
        async with asyncio.timeout(attempt.sending.allowed_ms / 1000):
            wire = attempt.front.wire
            begun = await upstream_exchange.begin(
                attempt.front.session,
                attempt.request,
                attempt.body,
                attempt.sending,
                wire.upstream_request_headers(
                    attempt.request.raw_headers, attempt.sending
                ),
            )
            if isinstance(begun, calls.AttemptOutcome):
                return begun
            return await _take_answer(attempt, begun)
    except TimeoutError:
        if attempt.response is not None:
            _break_off(attempt)
        return calls.AttemptOutcome.TIMED_OUT
    finally:
        if begun is not None and not isinstance(begun, calls.AttemptOutcome):
            begun.resp.close()


async def _take_answer(attempt: _Attempt, begun) -> calls.AttemptOutcome:
    wire = attempt.front.wire
    resp = begun.resp
    echoed = resp.headers.get(wire.REQUEST_ID_HEADER, attempt.asked.request_id)
    if echoed != attempt.asked.request_id or not wire.has_upstream_signature(
        resp.headers
    ):
        state = wire.decode_run_state(resp.status, resp.headers)
        if echoed != attempt.asked.request_id or state is wire.RunState.RAN:
            return calls.AttemptOutcome.BROKEN
    if resp.status < 300 and _is_stream(resp):
        return await _pass_stream(attempt, begun)
    answer = await upstream_exchange.read_whole(begun)
    if isinstance(answer, calls.AttemptOutcome):
        return answer
    resp.release()
    return _classify(attempt, answer)


def _is_stream(resp: aiohttp.ClientResponse) -> bool:
    return resp.content_type == "text/event-stream"


def _classify(attempt: _Attempt, answer) -> calls.AttemptOutcome:
    wire = attempt.front.wire
    match wire.decode_run_state(answer.status, answer.headers):
        case wire.RunState.TARGET_MISSING:
            return calls.AttemptOutcome.TARGET_MISSING
        case wire.RunState.NOT_RUN:
            return calls.AttemptOutcome.NOT_RUN
    if answer.status >= 500:
        attempt.failed = answer
        return calls.AttemptOutcome.FAILED
    attempt.response = _whole(attempt.front, answer)
    return calls.AttemptOutcome.DELIVERED


async def _pass_stream(attempt: _Attempt, begun) -> calls.AttemptOutcome:
    """Pass a stream's bytes on as they come."""
    chunk = await upstream_exchange.read_some(begun)
    if isinstance(chunk, calls.AttemptOutcome):
        return chunk
    box = attempt.front.gateway.box
    mailbox.post_now(box, calls.AnswerStarted(attempt.sending.call_id))
    out = _head(attempt.front, begun.resp.status, begun.resp.raw_headers)
    attempt.response = out
    await out.prepare(attempt.request)
    loop = asyncio.get_running_loop()
    seen = loop.time()
    while chunk:
        await out.write(chunk)
        chunk = await upstream_exchange.read_some(begun)
        now = loop.time()
        attempt.longest_gap_s = max(attempt.longest_gap_s, now - seen)
        seen = now
        if isinstance(chunk, calls.AttemptOutcome):
            _break_off(attempt)
            return calls.AttemptOutcome.TRUNCATED
    await out.write_eof()
    begun.resp.release()
    return calls.AttemptOutcome.DELIVERED


def _break_off(attempt: _Attempt) -> None:
    """End the client's connection so that the answer looks incomplete."""
    attempt.response.force_close()
    transport = attempt.request.transport
    if transport is not None:
        transport.close()


def _head(front: Frontend, status: int, raw_headers) -> web.StreamResponse:
    out = web.StreamResponse(status=status)
    for name, value in front.wire.client_answer_headers(raw_headers):
        out.headers.add(name, value)
    if front.is_stopping:
        out.force_close()
    return out


def _whole(front: Frontend, answer) -> web.Response:
    out = web.Response(status=answer.status, body=answer.body)
    out.headers.pop(hdrs.CONTENT_TYPE, None)
    for name, value in front.wire.client_answer_headers(answer.raw_headers):
        out.headers.add(name, value)
    if front.is_stopping:
        out.force_close()
    return out


def _refusal(front: Frontend, refusal: calls.Refuse) -> web.Response:
    status = _STATUS.get(refusal.reason, _REFUSED)
    return _plain(front, status, refusal.reason.value, refusal.retry_after_ms)


def _failure(front: Frontend, reason: calls.Failure) -> web.Response:
    return _plain(front, _STATUS[reason], reason.value, 0)


def _plain(
    front: Frontend, status: int, reason: str, retry_after_ms: int
) -> web.Response:
    out = web.json_response({"error": {"code": reason}}, status=status)
    if retry_after_ms:
        out.headers[hdrs.RETRY_AFTER] = f"{retry_after_ms / 1000:.3f}"
    if front.is_stopping:
        out.force_close()
    return out
