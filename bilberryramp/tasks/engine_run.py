"""HTTP exchange of an upstream process with its engine for one request."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import aiohttp

from bilberryramp.decisions.control import idempotency
from bilberryramp.decisions.shared import (
    call_messages,
    commands,
    errors,
    stream_progress,
)
from bilberryramp.decisions.upstream import upstream_messages
from bilberryramp.tasks import (
    answer_framing,
    answer_heads,
    answer_limits,
    mailbox,
    upstream_connections,
)
from bilberryramp.telemetry import events, tracing
from bilberryramp.wire import retry_after

__all__ = ["ATTEMPT_ID_HEADER", "EngineSession", "Run", "open_session", "run"]

# Names the attempt. An engine that repeats it, or the usual X-Request-Id, in
# its answers lets its connections be reused.
ATTEMPT_ID_HEADER = "Bilberry-Attempt-Id"
_COMMON_ID_HEADER = "X-Request-Id"
_DEFAULT_CONTENT_TYPE = "application/octet-stream"

MAX_CHUNK_BYTES = 64 * 1024
MAX_RESUMES = 3
_RUN_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=2)
_EVENT_STREAM = "text/event-stream"
# Statuses of answers by which an engine may ask for a pause.
_PAUSE_STATUSES = (429, 503)


class ForeignAnswerError(aiohttp.ClientError):
    """Raised when an answer names another attempt than the one sent."""


@dataclasses.dataclass(slots=True)
class EngineSession:
    """Client session for the runs of one engine.

    Attributes
    ----------
    http
        HTTP client session.
    conns
        State of its connections.
    """

    http: aiohttp.ClientSession
    conns: upstream_connections.Connections


def open_session() -> EngineSession:
    """Open the client session for the runs of an engine.

    Returns
    -------
    EngineSession
        Session that reuses a connection only after an answer that named its
        attempt.
    """
    connector = aiohttp.TCPConnector(limit=0)
    answer_limits.install(connector)
    conns = upstream_connections.guard(connector, ATTEMPT_ID_HEADER)
    http = aiohttp.ClientSession(connector=connector, auto_decompress=False)
    # By default, aiohttp repeats some requests whose connection was closed,
    # although they may have run.
    http._retry_connection = False
    return EngineSession(http, conns)


@dataclasses.dataclass(slots=True)
class Run:
    """Run of a request on the engine.

    Attributes
    ----------
    start
        Effect that started the run, with the dispatch and its sender.
    credit
        Number of chunks that may be sent before more credit arrives.
    credit_added
        Set when credit arrives.
    resume_granted
        Set when the run may resume its broken stream.
    chunks_sent
        Number of chunks of the answer sent to the entry.
    sent_bytes
        Number of bytes of the answer's body received for forwarding,
        without those that a resumed stream repeats.
    progress
        How far an event stream has been forwarded.
    status, content_type
        Status and media type of the answer.
    recorded_body
        Start of the answer's body, up to 1 byte more than a stored answer
        may have; empty for a request without an idempotency key.
    task
        Task that performs the exchange.
    started
        Whether the task has made its first step.
    cancel_requested
        Whether the run is to be cancelled. A task that is cancelled before
        its first step would never post `RunEnded`, so a run that has not
        started checks this flag instead.
    """

    start: upstream_messages.StartRun
    credit: int
    credit_added: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    resume_granted: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    chunks_sent: int = 0
    sent_bytes: int = 0
    progress: stream_progress.StreamProgress = dataclasses.field(
        default_factory=stream_progress.StreamProgress
    )
    status: int = 0
    content_type: str = ""
    recorded_body: bytearray = dataclasses.field(default_factory=bytearray)
    task: asyncio.Task | None = None
    started: bool = False
    cancel_requested: bool = False


async def run(
    session: EngineSession,
    url: str,
    job: Run,
    max_answer_bytes: int,
    send: Callable[[str, object], Awaitable],
    inbox: mailbox.Mailbox,
) -> None:
    """Run one request on the engine and forward its answer to the entry.

    Parameters
    ----------
    session
        Session from `open_session`.
    url
        Base URL of the engine.
    job
        State of the run, including its credit. Modified in place.
    max_answer_bytes
        Maximum size of the answer's body in bytes; the run of a larger one
        fails.
    send
        Function that takes the name of an entry and a frame and sends the
        frame.
    inbox
        Mailbox that receives a `HeadArrived` for each answer of the engine,
        a `ResumeRequested` for each resumption of a stream, and at the end
        exactly one `RunEnded`.
    """
    dispatch = job.start.dispatch
    failure, crashed = None, False
    job.started = True
    try:
        if job.cancel_requested:
            raise asyncio.CancelledError
        with tracing.span(
            "upstream.run",
            dispatch.traceparent,
            request_id=dispatch.request_id,
            route=dispatch.route,
        ) as traceparent:
            headers = _request_headers(dispatch, traceparent)
            failure = await _exchange(
                session, url, job, max_answer_bytes, send, headers, inbox
            )
    except aiohttp.ClientConnectorError:
        code = errors.FailureCode.NO_UPSTREAM
        failure = errors.call_failure(code, "the engine cannot be reached")
    except ForeignAnswerError as exc:
        events.emit(
            events.ENGINE_ANSWER_FOREIGN,
            attempt_id=dispatch.attempt_id,
            reason=str(exc),
        )
        failure = _unknown_outcome(
            errors.FailureCode.ENGINE_CRASHED, "the engine sent a wrong answer"
        )
    except answer_heads.MalformedHeadError as exc:
        failure = _unknown_outcome(errors.FailureCode.ENGINE_CRASHED, str(exc))
    except (aiohttp.ClientError, TimeoutError):
        failure = _unknown_outcome(
            errors.FailureCode.ENGINE_CRASHED, "the engine went down"
        )
        crashed = True
    except asyncio.CancelledError:
        failure = _unknown_outcome(errors.FailureCode.CALLER_LEFT, "cancelled")
    except Exception as exc:
        # An unforeseen answer ends this run only.
        events.emit(
            events.RUN_FAILED,
            attempt_id=dispatch.attempt_id,
            reason=repr(exc),
        )
        failure = _unknown_outcome(
            errors.FailureCode.ENGINE_CRASHED, "the answer cannot be handled"
        )
    ended = upstream_messages.RunEnded(
        dispatch.attempt_id,
        job.chunks_sent,
        failure,
        crashed,
        _recorded_answer(job),
    )
    mailbox.post_now(inbox, ended)


async def _exchange(session, url, job, max_answer_bytes, send, headers, inbox):
    dispatch = job.start.dispatch
    async with session.http.request(
        dispatch.method,
        url + dispatch.path,
        data=dispatch.body,
        headers=headers,
        timeout=_RUN_TIMEOUT,
    ) as resp:
        _check_answer_id(session, dispatch.attempt_id, resp)
        _report_head(dispatch.attempt_id, resp, inbox)
        await _send_head(job, resp, send)
        try:
            return await _relay_body(job, resp, max_answer_bytes, send)
        except aiohttp.ClientError:
            if not stream_progress.can_resume(job.progress):
                raise
    return await _resume(
        session, url, job, max_answer_bytes, send, headers, inbox
    )


async def _resume(session, url, job, max_answer_bytes, send, headers, inbox):
    """Resume a broken stream after its last complete event.

    Reading the rest of a stream does not run the request a second time.
    """
    dispatch = job.start.dispatch
    for _ in range(MAX_RESUMES):
        job.resume_granted.clear()
        requested = upstream_messages.ResumeRequested(dispatch.attempt_id)
        mailbox.post_now(inbox, requested)
        await job.resume_granted.wait()
        stream_progress.start_resume(job.progress)
        events.emit(
            events.STREAM_RESUMED,
            attempt_id=dispatch.attempt_id,
            last_id=job.progress.last_id,
        )
        try:
            async with session.http.get(
                f"{url}{dispatch.path}/{dispatch.attempt_id}",
                headers=headers | {"Last-Event-ID": job.progress.last_id},
                timeout=_RUN_TIMEOUT,
            ) as resp:
                _check_answer_id(session, dispatch.attempt_id, resp)
                if _report_head(dispatch.attempt_id, resp, inbox):
                    continue
                if resp.status != 200 or not _is_event_stream(resp):
                    break
                return await _relay_body(job, resp, max_answer_bytes, send)
        except aiohttp.ClientError:
            if not stream_progress.can_resume(job.progress):
                break
    raise aiohttp.ClientPayloadError(
        f"the stream of attempt {dispatch.attempt_id!r} could not be resumed"
    )


def _check_answer_id(session: EngineSession, attempt_id: str, resp) -> None:
    """Confirm the connection if the answer names the attempt.

    An answer without an id is accepted only on a connection that has carried
    no other request. As it is not confirmed, its connection is not reused.
    """
    answered_id = resp.headers.get(
        ATTEMPT_ID_HEADER, resp.headers.get(_COMMON_ID_HEADER)
    )
    if answered_id == attempt_id:
        upstream_connections.confirm(session.conns, attempt_id)
    elif (
        ATTEMPT_ID_HEADER in resp.headers
        or not upstream_connections.is_first_request(session.conns, attempt_id)
    ):
        raise ForeignAnswerError(
            f"the answer names attempt {answered_id!r}, expected "
            f"{attempt_id!r}"
        )


def _report_head(attempt_id: str, resp, inbox: mailbox.Mailbox) -> int:
    """Post the head of an answer; return the pause it asks for in ms."""
    pause_ms = 0
    if resp.status in _PAUSE_STATUSES:
        pause_ms = retry_after.decode(resp.headers)
    head = upstream_messages.HeadArrived(attempt_id, resp.status, pause_ms)
    mailbox.post_now(inbox, head)
    return pause_ms


async def _send_head(job: Run, resp, send) -> None:
    job.status = resp.status
    job.content_type = resp.headers.get("Content-Type", _DEFAULT_CONTENT_TYPE)
    head = call_messages.AnswerHead(
        job.start.dispatch.attempt_id, job.status, job.content_type
    )
    await send(job.start.sender, head)


async def _relay_body(job: Run, resp, max_answer_bytes: int, send):
    is_event_stream = _is_event_stream(resp)
    framing = answer_framing.of_response(resp)
    async for received in resp.content.iter_any():
        data = received
        if is_event_stream:
            data = stream_progress.record(job.progress, received)
            if job.progress.diverged:
                code = errors.FailureCode.ENGINE_CRASHED
                return _unknown_outcome(
                    code, "the resumed stream is another one"
                )
        job.sent_bytes += len(data)
        if job.sent_bytes > max_answer_bytes:
            code = errors.FailureCode.ANSWER_TOO_LARGE
            return _unknown_outcome(code, "the answer is too large")
        _record_body(job, data)
        await _send_chunk(job, job.start.sender, send, data)
    if answer_framing.was_reset(framing):
        raise aiohttp.ClientPayloadError("the connection was reset")
    if is_event_stream and _is_inside_event(job):
        raise aiohttp.ClientPayloadError("the stream ended inside an event")
    return None


def _is_inside_event(job: Run) -> bool:
    """Return whether a stream that has ended lacks the end of an event."""
    partial = job.progress.partial
    return not job.sent_bytes or (
        bool(partial) and not stream_progress.ends_after_event(bytes(partial))
    )


def _is_event_stream(resp) -> bool:
    return answer_heads.media_type(resp.headers) == _EVENT_STREAM


def _record_body(job: Run, data: bytes) -> None:
    if job.start.dispatch.idempotency_key:
        remaining_bytes = (
            idempotency.MAX_ANSWER_BYTES + 1 - len(job.recorded_body)
        )
        job.recorded_body += data[: max(remaining_bytes, 0)]


def _recorded_answer(job: Run) -> commands.StoredAnswer | None:
    has_key = bool(job.start.dispatch.idempotency_key)
    if not has_key or len(job.recorded_body) > idempotency.MAX_ANSWER_BYTES:
        return None
    return commands.StoredAnswer(
        job.status, job.content_type, bytes(job.recorded_body)
    )


async def _send_chunk(job: Run, sender: str, send, data: bytes) -> None:
    for offset in range(0, len(data), MAX_CHUNK_BYTES):
        while job.credit < 1:
            job.credit_added.clear()
            await job.credit_added.wait()
        job.credit -= 1
        part = data[offset : offset + MAX_CHUNK_BYTES]
        attempt_id = job.start.dispatch.attempt_id
        chunk = call_messages.AnswerChunk(attempt_id, job.chunks_sent, part)
        job.chunks_sent += 1
        await send(sender, chunk)


def _request_headers(dispatch, traceparent: str) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        "Bilberry-Request-Id": dispatch.request_id,
        ATTEMPT_ID_HEADER: dispatch.attempt_id,
        _COMMON_ID_HEADER: dispatch.attempt_id,
    }
    if traceparent:
        headers["traceparent"] = traceparent
    if dispatch.idempotency_key:
        headers["Idempotency-Key"] = dispatch.idempotency_key
    return headers


def _unknown_outcome(
    code: errors.FailureCode, message: str
) -> errors.CallFailure:
    return errors.call_failure(code, message, errors.Outcome.UNKNOWN)
