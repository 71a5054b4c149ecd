"""HTTP server of a node for clients; each request runs in its own task."""

import asyncio
import dataclasses
import math
from types import ModuleType

import aiohttp
from aiohttp import hdrs, web

from bilberryramp.decisions.fleet.core import calls, documents, presence
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.routing import upstream_pauses
from bilberryramp.decisions.shared import stream_progress
from bilberryramp.tasks import (
    answer_heads,
    client_connections,
    client_requests,
    clock,
    gateway_task,
    http_requests,
    mailbox,
    upstream_connections,
    upstream_exchange,
)
from bilberryramp.telemetry import events

__all__ = [
    "Frontend",
    "begin_stop",
    "handle",
    "make_server",
]

# Time added to the documented idle timeout of client connections, so that the
# server does not close a connection before that timeout.
IDLE_SLACK_S = 2.0
# Time that a draining node must have left to send a request to an upstream.
MIN_SERVE_S = 2.0
# Maximum length of the request line and of one header, and maximum number of
# headers.
MAX_HEADER_LINE_BYTES = 16384
MAX_HEADERS = 128
# Longest time in which a body arrives if its client states none, and time
# beyond the one that it states.
MAX_BODY_MS = 60_000
BODY_SLACK_S = 1.0
# Time after which a request that found no memory may come again: by then the
# connections that make no progress have been ended.
BODY_RETRY_MS = 1500
# Bytes of a body after twice which no more are read until they are taken.
READ_BUFFER_BYTES = 32 * 1024
# Time for which the rest of a refused body is read.
DROP_BODY_S = 2.0
# Default of the largest answer that is not a stream.
MAX_ANSWER_BYTES = 8 * 2**20
# A stream is fast if it has forwarded more than a lead and this many bytes a
# second since its start. Streams of tokens stay far below. All fast streams of
# a node share a rate, because one that an upstream writes without end would
# take the time of all other requests.
STREAM_LEAD_BYTES = 64 * 1024
STREAM_BYTES_PER_S = 32 * 1024
FAST_STREAMS_BYTES_PER_S = 512 * 1024

_STATUS = {
    calls.Refusal.NO_ROUTE: 404,
    calls.Refusal.UNKNOWN_KEY: 401,
    calls.Refusal.USAGE_LIMIT: 429,
    calls.Failure.BROKEN: 502,
    calls.Failure.TIMED_OUT: 504,
}
_REFUSED_STATUS = 503


@dataclasses.dataclass(slots=True)
class Frontend:
    """State that all client requests of a node share.

    Attributes
    ----------
    gateway
        State of the gateway's task.
    session
        Client session for requests to upstreams.
    wire
        Module that decodes requests' headers and makes the headers of
        forwarded requests and answers.
    max_answer_bytes
        Maximum size of the body of an answer that is not a stream, in bytes;
        the attempt of a larger one fails.
    listener
        Listener that accepts the clients' connections; None before it was
        made.
    stop_by_s
        Time of the event loop by which a stopping node answers all requests;
        infinite until a planned stop has begun.
    fast_until_s
        Time of the event loop until which the fast streams have used their
        rate.
    """

    gateway: gateway_task.GatewayTask
    session: upstream_exchange.Session
    wire: ModuleType
    max_answer_bytes: int = MAX_ANSWER_BYTES
    listener: client_connections.Listener | None = None
    stop_by_s: float = math.inf
    fast_until_s: float = -math.inf


def make_server(front: Frontend) -> client_connections.Listener:
    """Return the listener for client connections.

    Parameters
    ----------
    front
        State that all requests share. Its listener is set.

    Returns
    -------
    Listener
        Listener that has no sockets yet.
    """

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        return await handle(front, request)

    make_request = http_requests.make_factory(
        lambda: _limits(front).body_bytes
    )
    idle_s = documents.CallLimits().idle_timeout_ms / 1000 + IDLE_SLACK_S
    front.listener = client_requests.make_server(
        "clients",
        serve,
        make_request,
        handler_cancellation=True,
        keepalive_timeout=idle_s,
        lingering_time=DROP_BODY_S,
        read_bufsize=READ_BUFFER_BYTES,
        access_log=None,
        auto_decompress=False,
        max_line_size=MAX_HEADER_LINE_BYTES,
        max_field_size=MAX_HEADER_LINE_BYTES,
        max_headers=MAX_HEADERS,
    )
    return front.listener


def _limits(front: Frontend) -> documents.CallLimits:
    doc = front.gateway.gw.doc
    return doc.limits if doc is not None else documents.CallLimits()


def begin_stop(front: Frontend, stop_by_s: float) -> None:
    """End attempts in time for their answers to be written.

    A request that an upstream still runs at the end of a planned stop is
    answered as timed out.

    Parameters
    ----------
    front
        State that all requests share. Modified in place.
    stop_by_s
        As in `Frontend`.
    """
    front.stop_by_s = stop_by_s
    for call_id in front.gateway.attempts:
        gateway_task.end_attempt(front.gateway, call_id, stop_by_s)


async def handle(
    front: Frontend, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve one request until its answer has been sent.

    Parameters
    ----------
    front
        State that all requests share. Modified in place.
    request
        Request to serve.

    Returns
    -------
    web.StreamResponse
        Complete response, or a truncated one whose connection was closed.
    """
    try:
        upload = _Upload()
        upload.body, fingerprint = await client_requests.read_body(
            request,
            http_requests.read_fingerprinted,
            _read_until_s(front, request),
        )
    except web.HTTPRequestEntityTooLarge:
        return _error_response(413, "the body exceeds the limit", 0)
    except client_requests.ReadingEndedError as exc:
        return _unread_response(exc.cause)
    task = front.gateway
    call_id = task.next_call_id
    task.next_call_id += 1
    req = front.wire.decode_request(
        request.headers.get(hdrs.HOST, ""),
        request.raw_path,
        request.headers,
        fingerprint,
    )
    if _is_too_late(front, request):
        return _refusal_response(
            calls.Refuse(call_id, calls.Refusal.STOPPING, 0)
        )
    fut = gateway_task.next_decision(task, call_id)
    arrived = calls.CallArrived(
        call_id, req, request[client_requests.ARRIVED_MS]
    )
    mailbox.post_now(task.inbox, arrived)
    has_ended = False
    try:
        response = await _run_attempts(
            front, request, upload, req, call_id, fut
        )
        has_ended = True
        return response
    finally:
        if not has_ended:
            task.decisions.pop(call_id, None)
            mailbox.post_now(task.inbox, calls.ClientDisconnected(call_id))
            _close_connection(request)


def _read_until_s(front: Frontend, request: web.BaseRequest) -> float:
    """Return the time of the event loop until which a body is read."""
    allowed_ms = front.wire.client_timeout_ms(request.headers)
    if allowed_ms < 0:
        allowed_ms = MAX_BODY_MS
    age_ms = clock.boot_ms() - request[client_requests.ARRIVED_MS]
    left_s = (allowed_ms - age_ms) / 1000 + BODY_SLACK_S
    return asyncio.get_running_loop().time() + left_s


def _unread_response(cause: client_requests.ReadingEnd) -> web.Response:
    """Return the answer to a request that was not read to its end."""
    if cause is client_requests.ReadingEnd.STOPPING:
        return _error_response(
            _REFUSED_STATUS, calls.Refusal.STOPPING.value, 0
        )
    if cause is client_requests.ReadingEnd.TIMEOUT:
        response = _error_response(408, "the body was not complete in time", 0)
    else:
        response = _error_response(
            _REFUSED_STATUS, "no memory for the body", BODY_RETRY_MS
        )
    response.force_close()
    return response


def _is_too_late(front: Frontend, request: web.BaseRequest) -> bool:
    """Return whether a draining node refuses a request that it has read.

    It refuses those that began after its listener was closed, and those that
    are complete so late that an upstream might not end them in time.
    """
    if front.listener.phase != "draining":
        return False
    left_s = front.stop_by_s - asyncio.get_running_loop().time()
    return client_requests.began_in_drain(request) or left_s < MIN_SERVE_S


async def _run_attempts(
    front, request, upload, req, call_id, fut
) -> web.StreamResponse:
    """Perform the gateway's decisions on a call until the call ends."""
    task = front.gateway
    failed_answer: upstream_exchange.Answer | None = None
    while True:
        decision = await fut
        match decision:
            case calls.Refuse():
                return _refusal_response(decision)
            case calls.Fail():
                return _failure_response(decision.reason)
            case calls.ForwardFailure():
                return _full_response(front, failed_answer)
        fut = gateway_task.next_decision(task, call_id)
        attempt = _Attempt(front, request, upload, req, decision)
        outcome = await _run_attempt(attempt)
        failed_answer = attempt.failed_answer or failed_answer
        mailbox.post_now(
            task.inbox,
            calls.AttemptEnded(
                call_id,
                outcome,
                round(1000 * attempt.longest_gap_s),
                attempt.failed_answer is not None
                and front.wire.denies_run(attempt.failed_answer.status),
            ),
        )
        if outcome in (
            calls.AttemptOutcome.DELIVERED,
            calls.AttemptOutcome.TRUNCATED,
        ):
            task.decisions.pop(call_id, None)
            return attempt.response
        if outcome is calls.AttemptOutcome.TIMED_OUT:
            task.decisions.pop(call_id, None)
            return attempt.response or _failure_response(
                calls.Failure.TIMED_OUT
            )


@dataclasses.dataclass(slots=True)
class _Upload:
    """Body of a request, kept as long as it may be sent once more.

    Attributes
    ----------
    body
        The body; empty once it is not needed any more.
    """

    body: bytes = b""


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt to run a request at an upstream.

    Attributes
    ----------
    front
        State that all requests share.
    request, upload
        Request of the client and its body.
    req
        Decoded headers of the request.
    send_call
        Decision that started the attempt.
    response
        Response to the client; None if the attempt has produced none.
    failed_answer
        Failure reported by the upstream, which the client receives if no
        later attempt succeeds.
    longest_gap_s
        Longest time between two chunks of a stream, in seconds.
    is_written
        Whether the request may have been written to the upstream.
    """

    front: Frontend
    request: web.BaseRequest
    upload: _Upload
    req: calls.Request
    send_call: calls.SendCall
    response: web.StreamResponse | None = None
    failed_answer: upstream_exchange.Answer | None = None
    longest_gap_s: float = 0.0
    is_written: bool = False


async def _run_attempt(attempt: _Attempt) -> calls.AttemptOutcome:
    exchange = None
    front, send_call = attempt.front, attempt.send_call
    timeout = asyncio.timeout(_left_ms(attempt) / 1000)
    front.gateway.attempts[send_call.call_id] = timeout
    try:
        async with timeout:
            exchange = await upstream_exchange.send_request(
                front.session,
                attempt.request,
                attempt.upload.body,
                send_call,
                front.wire.upstream_request_headers(
                    attempt.request.raw_headers, send_call
                ),
                lambda: _headers_at_write(attempt),
            )
            if isinstance(exchange, calls.AttemptOutcome):
                return exchange
            return await _relay_answer(attempt, exchange)
    except TimeoutError:
        if not attempt.is_written:
            return calls.AttemptOutcome.NOT_SENT
        if attempt.response is not None:
            _abort_response(attempt)
        return calls.AttemptOutcome.TIMED_OUT
    except ConnectionError:
        # Failures of the upstream's connection are outcomes, so this is the
        # client's, which `handle` ends.
        raise
    except Exception as exc:
        return _outcome_of_exception(attempt, exc)
    finally:
        del front.gateway.attempts[send_call.call_id]
        if exchange is not None and not isinstance(
            exchange, calls.AttemptOutcome
        ):
            exchange.resp.close()


def _outcome_of_exception(
    attempt: _Attempt, exc: Exception
) -> calls.AttemptOutcome:
    """End an attempt that raised unexpectedly; other requests go on."""
    events.emit(
        events.RELAY_FAILED,
        request_id=attempt.req.request_id,
        upstream=attempt.send_call.upstream_id,
        reason=repr(exc),
    )
    if attempt.response is None:
        return calls.AttemptOutcome.BROKEN
    _abort_response(attempt)
    return calls.AttemptOutcome.TRUNCATED


def _left_ms(attempt: _Attempt) -> int:
    """Return the time that an attempt may take from now on."""
    stop_in_s = attempt.front.stop_by_s - asyncio.get_running_loop().time()
    left_ms = attempt.send_call.deadline_ms - clock.boot_ms()
    return max(int(min(left_ms, 1000 * stop_in_s)), 0)


def _headers_at_write(attempt: _Attempt) -> list | calls.AttemptOutcome:
    """Return the headers that depend on the time, if the request may be sent.

    The attempt ends with the time that its upstream is told. If the upstream
    has asked for a pause meanwhile, or no time is left, the result is how the
    attempt ends instead.
    """
    if not gateway_task.may_send(attempt.front.gateway, attempt.send_call):
        return calls.AttemptOutcome.WITHHELD
    left_ms = _left_ms(attempt)
    if not left_ms:
        return calls.AttemptOutcome.NOT_SENT
    attempt.is_written = True
    end_s = asyncio.get_running_loop().time() + left_ms / 1000
    gateway_task.end_attempt(
        attempt.front.gateway, attempt.send_call.call_id, end_s
    )
    return [attempt.front.wire.deadline_header(left_ms)]


async def _relay_answer(attempt: _Attempt, exchange) -> calls.AttemptOutcome:
    wire = attempt.front.wire
    resp = exchange.resp
    if wire.is_leaving(resp.headers):
        _note_leaving(attempt)
    request_id = attempt.req.request_id
    echoed_id = resp.headers.get(wire.REQUEST_ID_HEADER, "")
    # An answer without the id of this request may belong to another one, so
    # even a refusal does not tell whether this request runs.
    if echoed_id != request_id:
        events.emit(
            events.ANSWER_UNMATCHED,
            request_id=request_id,
            upstream=attempt.send_call.upstream_id,
            answered_id=echoed_id,
            status=resp.status,
        )
        return calls.AttemptOutcome.BROKEN
    upstream_connections.confirm(attempt.front.session.conns, request_id)
    _note_pause(attempt, wire.pause_ms(resp.status, resp.headers))
    # Without a signature, an answer counts only if it says that the request
    # was not run.
    if (
        not wire.has_upstream_signature(resp.headers)
        and wire.decode_run_state(resp.status, resp.headers)
        is wire.RunState.RAN
    ):
        return calls.AttemptOutcome.BROKEN
    if resp.status < 300 and _is_stream(resp):
        return await _relay_stream(attempt, exchange)
    answer = await upstream_exchange.read_answer(
        exchange,
        attempt.front.max_answer_bytes,
        lambda: attempt.front.session.on_excess(attempt.send_call.address),
        lambda n_bytes: client_requests.keep_answer(attempt.request, n_bytes),
    )
    if isinstance(answer, calls.AttemptOutcome):
        return answer
    resp.release()
    return _outcome_of_answer(attempt, answer)


def _note_leaving(attempt: _Attempt) -> None:
    """Tell the gateway that the upstream of an attempt is leaving.

    The connection belongs to the process that the attempt was sent to, so
    this holds even if the answer belongs to an earlier request.
    """
    send_call = attempt.send_call
    notice = presence.LeavingNotice(send_call.upstream_id, send_call.born_ms)
    mailbox.post_now(attempt.front.gateway.inbox, gateway.LeavingSeen(notice))


def _note_pause(attempt: _Attempt, pause_ms: int) -> None:
    """Tell the gateway for how long the upstream wants no requests."""
    if not pause_ms:
        return
    send_call = attempt.send_call
    notice = upstream_pauses.PauseNotice(
        send_call.upstream_id,
        send_call.address,
        send_call.born_ms,
        pause_ms,
        attempt.req.request_id,
    )
    mailbox.post_now(attempt.front.gateway.inbox, gateway.PauseSeen(notice))


def _is_stream(resp: aiohttp.ClientResponse) -> bool:
    return answer_heads.media_type(resp.headers) == "text/event-stream"


def _outcome_of_answer(attempt: _Attempt, answer) -> calls.AttemptOutcome:
    wire = attempt.front.wire
    match wire.decode_run_state(answer.status, answer.headers):
        case wire.RunState.TARGET_MISSING:
            return calls.AttemptOutcome.TARGET_MISSING
        case wire.RunState.NOT_RUN:
            return calls.AttemptOutcome.NOT_RUN
    if answer.status >= 500:
        attempt.failed_answer = answer
        return calls.AttemptOutcome.FAILED
    attempt.response = _full_response(attempt.front, answer)
    return calls.AttemptOutcome.DELIVERED


async def _relay_stream(attempt: _Attempt, exchange) -> calls.AttemptOutcome:
    """Forward a stream's bytes to the client as they arrive.

    A stream that ends inside an event has been broken off, even if its
    framing says that it is complete.
    """
    chunk = await upstream_exchange.read_chunk(exchange)
    if isinstance(chunk, calls.AttemptOutcome):
        return chunk
    if not chunk:
        return calls.AttemptOutcome.BROKEN
    inbox = attempt.front.gateway.inbox
    mailbox.post_now(inbox, calls.AnswerStarted(attempt.send_call.call_id))
    attempt.upload.body = b""
    client_requests.release_body(attempt.request)
    response = _stream_response(
        attempt.front, exchange.resp.status, exchange.resp.raw_headers
    )
    client_requests.mark_last(attempt.request, response)
    attempt.response = response
    await response.prepare(attempt.request)
    loop = asyncio.get_running_loop()
    started_s = last_chunk_s = loop.time()
    sent_bytes, tail = 0, b""
    while chunk:
        tail = (tail + chunk)[-stream_progress.TAIL_BYTES :]
        await response.write(chunk)
        sent_bytes += len(chunk)
        if sent_bytes > STREAM_LEAD_BYTES + STREAM_BYTES_PER_S * (
            loop.time() - started_s
        ):
            await _slow_down(attempt.front, len(chunk))
        chunk = await upstream_exchange.read_chunk(exchange)
        now_s = loop.time()
        attempt.longest_gap_s = max(
            attempt.longest_gap_s, now_s - last_chunk_s
        )
        last_chunk_s = now_s
        if isinstance(chunk, calls.AttemptOutcome):
            _abort_response(attempt)
            return calls.AttemptOutcome.TRUNCATED
    if not stream_progress.ends_after_event(tail):
        _abort_response(attempt)
        return calls.AttemptOutcome.TRUNCATED
    await response.write_eof()
    exchange.resp.release()
    return calls.AttemptOutcome.DELIVERED


async def _slow_down(front: Frontend, sent_bytes: int) -> None:
    """Wait until the fast streams' rate allows bytes that were sent.

    Meanwhile no more bytes of the stream are read.
    """
    now_s = asyncio.get_running_loop().time()
    front.fast_until_s = (
        max(front.fast_until_s, now_s) + sent_bytes / FAST_STREAMS_BYTES_PER_S
    )
    await asyncio.sleep(front.fast_until_s - now_s)


def _abort_response(attempt: _Attempt) -> None:
    """Close the client's connection so that the answer is truncated."""
    attempt.response.force_close()
    _close_connection(attempt.request)


def _close_connection(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.close()


def _stream_response(
    front: Frontend, status: int, raw_headers
) -> web.StreamResponse:
    response = web.StreamResponse(status=status)
    for name, value in front.wire.client_answer_headers(raw_headers):
        response.headers.add(name, value)
    return response


def _full_response(front: Frontend, answer) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.pop(hdrs.CONTENT_TYPE, None)
    for name, value in front.wire.client_answer_headers(answer.raw_headers):
        response.headers.add(name, value)
    return response


def _refusal_response(refusal: calls.Refuse) -> web.Response:
    status = _STATUS.get(refusal.reason, _REFUSED_STATUS)
    return _error_response(
        status, refusal.reason.value, refusal.retry_after_ms
    )


def _failure_response(reason: calls.Failure) -> web.Response:
    return _error_response(_STATUS[reason], reason.value, 0)


def _error_response(
    status: int, reason: str, retry_after_ms: int
) -> web.Response:
    response = web.json_response({"error": {"code": reason}}, status=status)
    if retry_after_ms:
        response.headers[hdrs.RETRY_AFTER] = f"{retry_after_ms / 1000:.3f}"
    return response
