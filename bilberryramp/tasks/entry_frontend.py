"""HTTP interface of an entry for callers, compatible with OpenAI clients."""

import asyncio
import dataclasses
import hashlib
import re
import uuid

import msgspec
from aiohttp import web
from returns import result

from bilberryramp.decisions.entry import entry_messages, entry_refusals
from bilberryramp.decisions.shared import errors, tables, views
from bilberryramp.settings import schema
from bilberryramp.tasks import (
    answer_heads,
    client_requests,
    clock,
    entry_router,
    http_requests,
    mailbox,
)
from bilberryramp.telemetry import metrics, tracing

__all__ = ["ErrorBody", "ErrorDetail", "ModelCard", "ModelList", "make_app"]

# Length of the start of a body that, with the model, determines the request's
# affinity key.
AFFINITY_PREFIX_BYTES = 256
# Assumptions for estimating the tokens of a request: the size of a token, and
# the length of an answer that the request does not limit.
BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 128
MAX_KEY_CHARS = 200
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorDetail:
    """Description of a failure, in the format that OpenAI clients expect.

    Attributes
    ----------
    type
        ``invalid_request_error`` or ``server_error``.
    code
        One of `errors.FailureCode`.
    message
        Text for the caller.
    outcome
        Whether the request ran, as one of `errors.Outcome`.
    request_id
        Id of the request.
    """

    type: str
    code: str
    message: str
    outcome: str
    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorBody:
    """Body of the answer to a request that failed."""

    error: ErrorDetail


@dataclasses.dataclass(slots=True, frozen=True)
class ModelCard:
    """Entry of the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "bilberryramp"


@dataclasses.dataclass(slots=True, frozen=True)
class ModelList:
    """Body of the answer to ``GET /v1/models``."""

    data: tuple[ModelCard, ...]
    object: str = "list"


@dataclasses.dataclass(slots=True, frozen=True)
class _CompletionRequest:
    """Fields of a completion request that routing needs.

    Attributes
    ----------
    model
        Name of the model; empty for a request to a plain service.
    max_tokens, max_completion_tokens
        Maximum length of the answer in tokens, by its older and its newer
        name; None if the request does not limit it.
    """

    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_STATUS = {
    errors.FailureCode.BAD_REQUEST: 400,
    errors.FailureCode.KEY_REQUIRED: 400,
    errors.FailureCode.BODY_TIMEOUT: 408,
    errors.FailureCode.BODY_TOO_LARGE: 413,
    errors.FailureCode.MODEL_NOT_FOUND: 404,
    errors.FailureCode.ROUTE_NOT_FOUND: 404,
    errors.FailureCode.OVERLOADED: 429,
    errors.FailureCode.QUARANTINED: 422,
    errors.FailureCode.KEY_MISMATCH: 422,
    errors.FailureCode.KEY_RUNNING: 409,
    errors.FailureCode.KEY_UNKNOWN: 409,
    errors.FailureCode.KEY_EXPIRED: 409,
    errors.FailureCode.ANSWER_TOO_LARGE: 502,
    errors.FailureCode.UPSTREAM_LOST: 502,
    errors.FailureCode.ENGINE_CRASHED: 502,
    errors.FailureCode.DEADLINE_EXCEEDED: 504,
}


_MALFORMED_ANSWER = errors.call_failure(
    errors.FailureCode.ENGINE_CRASHED,
    "the head of the answer is invalid",
    errors.Outcome.UNKNOWN,
)
_UNREAD = {
    client_requests.ReadingEnd.STOPPING: (
        errors.FailureCode.SHUTTING_DOWN,
        "entry is stopping",
    ),
    client_requests.ReadingEnd.TIMEOUT: (
        errors.FailureCode.BODY_TIMEOUT,
        "the body was not complete in time",
    ),
    client_requests.ReadingEnd.MEMORY: (
        errors.FailureCode.OVERLOADED,
        "no memory for the body",
    ),
}


def make_app(
    cfg: schema.EntryProgramSettings,
    inbox: mailbox.Mailbox,
    view: views.View,
    process_metrics: metrics.Metrics,
    is_ready,
    refresh_metrics=lambda: None,
) -> web.Application:
    """Return the HTTP application.

    Parameters
    ----------
    cfg
        Settings of the entry.
    inbox
        Mailbox of the router's task.
    view
        Tables and upstreams as received from control; the list of models is
        made from its routes.
    process_metrics
        Metrics to show at ``/metrics``.
    is_ready
        Function that returns whether the entry accepts new requests.
    refresh_metrics
        Called before the metrics are shown.

    Returns
    -------
    aiohttp.web.Application
        Application that is not listening yet.
    """
    app = web.Application(client_max_size=cfg.max_body_bytes)

    async def call(request: web.Request) -> web.StreamResponse:
        return await _handle_call(cfg, inbox, request)

    async def models(_request: web.Request) -> web.Response:
        return _json_response(_model_list(view))

    async def health(_request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def ready(_request: web.Request) -> web.Response:
        status = 200 if is_ready() else 503
        return web.Response(text=f"{status == 200}\n".lower(), status=status)

    async def show_metrics(_request: web.Request) -> web.Response:
        refresh_metrics()
        return web.Response(text=metrics.render(process_metrics))

    options = {"expect_handler": http_requests.accept_expectation}
    app.router.add_get("/v1/models", models, **options)
    app.router.add_get("/healthz", health, **options)
    app.router.add_get("/readyz", ready, **options)
    app.router.add_get("/metrics", show_metrics, **options)
    app.router.add_post("/v1/chat/completions", call, **options)
    app.router.add_post("/v1/completions", call, **options)
    app.router.add_route("*", "/{path:.*}", call, **options)
    return app


async def _handle_call(cfg, inbox, request: web.Request) -> web.StreamResponse:
    request_id = f"req-{uuid.uuid4().hex}"
    with tracing.span(
        "entry.call",
        request.headers.get("traceparent", ""),
        request_id=request_id,
        path=request.path,
    ) as traceparent:
        parsed = await _read_request(cfg, request, request_id, traceparent)
        if isinstance(parsed, result.Failure):
            response = _failure_response(request_id, parsed.failure())
            if not request.content.is_eof():
                response.force_close()
            return response
        reply_mailbox = mailbox.Mailbox()
        arrived = entry_messages.CallArrived(parsed.unwrap(), clock.wall_ms())
        await mailbox.post(inbox, entry_router.NewCall(arrived, reply_mailbox))
        has_ended = False
        try:
            response = await _relay_reply(
                cfg, inbox, request, request_id, reply_mailbox
            )
            has_ended = True
            return response
        finally:
            if not has_ended:
                mailbox.post_now(inbox, entry_messages.CallerLeft(request_id))
                _abort(request)


async def _relay_reply(cfg, inbox, request, request_id, reply_mailbox):
    response = None
    while True:
        for effect in await mailbox.receive_all(reply_mailbox):
            if isinstance(effect, entry_messages.ReplyHead):
                if _is_malformed(effect):
                    mailbox.post_now(
                        inbox, entry_messages.CallerLeft(request_id)
                    )
                    return _failure_response(request_id, _MALFORMED_ANSWER)
                response = _start_response(effect, request_id)
                client_requests.mark_last(request, response)
                await response.prepare(request)
            elif isinstance(effect, entry_messages.ReplyChunk):
                await _write_chunk(cfg, inbox, response, effect)
            elif isinstance(effect, entry_messages.ReplyEnd):
                await response.write_eof()
                return response
            elif response is None:
                return _failure_response(request_id, effect.failure)
            else:
                _abort(request)
                return response


def _is_malformed(head: entry_messages.ReplyHead) -> bool:
    """Return whether a head from an upstream process breaks the protocol.

    Such processes check the heads of their engines, but not before the
    version that introduced the check.
    """
    fields = [(b"Content-Type", head.content_type.encode("utf-8", "replace"))]
    return bool(answer_heads.find_problem(head.status, "", fields))


async def _write_chunk(cfg, inbox, response, chunk: entry_messages.ReplyChunk):
    write_timeout_s = cfg.slow_reader_ms / 1000
    await asyncio.wait_for(response.write(chunk.data), write_timeout_s)
    written = entry_router.ChunkWritten(chunk.upstream_id, chunk.attempt_id)
    mailbox.post_now(inbox, written)


def _start_response(head: entry_messages.ReplyHead, request_id: str):
    headers = {
        "Content-Type": head.content_type,
        "Bilberry-Request-Id": request_id,
    }
    return web.StreamResponse(status=head.status, headers=headers)


def _abort(request: web.Request) -> None:
    # Closing the connection before the last chunk makes the transfer
    # incomplete, so that the caller detects the failure.
    if request.transport is not None:
        request.transport.abort()


# Reading the request.


async def _read_request(cfg, request, request_id: str, traceparent: str):
    outcome = await _read_body(request)
    return outcome.bind(
        lambda body: _parse_request(request, body, request_id, traceparent)
    )


async def _read_body(request: web.Request) -> result.Result:
    try:
        body = await client_requests.read_body(
            request, http_requests.read_kept
        )
    except client_requests.ReadingEndedError as exc:
        return _refuse_unread(request, exc.cause)
    except web.HTTPRequestEntityTooLarge:
        code = errors.FailureCode.BODY_TOO_LARGE
        return _invalid_request(
            "the body is larger than this entry accepts", code
        )
    if client_requests.began_in_drain(request):
        return _refuse_unread(request, client_requests.ReadingEnd.STOPPING)
    return result.Success(body)


def _refuse_unread(
    request: web.Request, cause: client_requests.ReadingEnd
) -> result.Result:
    failure = errors.call_failure(*_UNREAD[cause])
    if request.headers.get("Idempotency-Key"):
        # An earlier request with this key may have run.
        failure = entry_refusals.with_unknown_outcome(failure)
    return result.Failure(failure)


def _parse_request(request, body: bytes, request_id: str, traceparent: str):
    parsed = _parse_completion(request.path, body)
    return parsed.bind(
        lambda completion: _build_caller_request(
            request, body, request_id, traceparent, completion
        )
    )


def _parse_completion(path: str, body: bytes) -> result.Result:
    if not path.startswith("/v1/"):
        return result.Success(_CompletionRequest(model=""))
    if path not in ("/v1/chat/completions", "/v1/completions"):
        code = errors.FailureCode.ROUTE_NOT_FOUND
        return _invalid_request(f"no route leads to {path!r}", code)
    try:
        completion = msgspec.json.decode(body, type=_CompletionRequest)
    except msgspec.DecodeError as exc:
        return _invalid_request(f"the body is not a completion request: {exc}")
    if not completion.model:
        return _invalid_request("the field `model` is empty")
    return result.Success(completion)


def _build_caller_request(request, body, request_id, traceparent, completion):
    headers = request.headers
    deadline = headers.get("Bilberry-Deadline-Ms", "0")
    if not deadline.isdigit() or len(deadline) > 9:
        return _invalid_request(
            "Bilberry-Deadline-Ms is not a number of milliseconds"
        )
    repeat = headers.get("Bilberry-Repeat", "")
    if repeat not in ("", "never"):
        return _invalid_request("Bilberry-Repeat has a value other than never")
    key = headers.get("Idempotency-Key", "")
    if repeat and not key:
        code = errors.FailureCode.KEY_REQUIRED
        return _invalid_request(
            "Bilberry-Repeat: never needs an Idempotency-Key", code
        )
    if key and not _KEY_PATTERN.fullmatch(key):
        return _invalid_request(
            f"Idempotency-Key is not 1 to {MAX_KEY_CHARS} visible "
            "ASCII characters"
        )
    return result.Success(
        entry_messages.CallerRequest(
            request_id=request_id,
            model=completion.model,
            method=request.method,
            path=request.path_qs,
            body=body,
            idempotency_key=key,
            repeat_never=bool(repeat),
            deadline_ms=int(deadline),
            fingerprint=_hex_digest(request.path_qs.encode() + b"\0" + body),
            affinity_key=_affinity_key(completion.model, body),
            tokens=_estimate_tokens(completion, body),
            traceparent=traceparent,
        )
    )


def _affinity_key(model: str, body: bytes) -> str:
    return (
        _hex_digest(model.encode() + body[:AFFINITY_PREFIX_BYTES])
        if model
        else ""
    )


def _estimate_tokens(completion: _CompletionRequest, body: bytes) -> int:
    answer_tokens = completion.max_completion_tokens or completion.max_tokens
    return len(body) // BYTES_PER_TOKEN + (
        answer_tokens or DEFAULT_ANSWER_TOKENS
    )


def _hex_digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def _invalid_request(
    message: str, code=errors.FailureCode.BAD_REQUEST
) -> result.Result:
    return result.Failure(errors.call_failure(code, message))


# Answers that the entry makes itself.


def _failure_response(
    request_id: str, failure: errors.CallFailure
) -> web.Response:
    status = _STATUS.get(failure.code, 503)
    error_type = "invalid_request_error" if status < 429 else "server_error"
    detail = ErrorDetail(
        type=error_type,
        code=failure.code,
        message=failure.message,
        outcome=failure.outcome,
        request_id=request_id,
    )
    response = _json_response(ErrorBody(detail), status)
    response.headers["Bilberry-Request-Id"] = request_id
    if failure.retry_after_ms:
        seconds = -(-failure.retry_after_ms // 1000)
        response.headers["Retry-After"] = str(seconds)
    return response


def _model_list(view: views.View) -> ModelList:
    routed = (
        route.model
        for route in view.tables.routes
        if route.kind == tables.RouteKind.MODEL
    )
    return ModelList(tuple(ModelCard(model) for model in sorted(routed)))


def _json_response(body, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )
