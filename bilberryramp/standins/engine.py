"""Simulated model engine with an OpenAI-compatible HTTP interface.

The engine generates numbered words at a configured speed, which drops in
proportion once more requests run than `batch_slots`. Orders load and unload
models. Settings make the engine refuse outdated fencing tokens, lose answers
to orders, break streams or crash on a request. A client resumes a broken
stream by ``GET`` of the path and attempt id with ``Last-Event-ID``.
"""

import asyncio
import dataclasses
import os
import random
import uuid

import msgspec
from aiohttp import web

from bilberryramp.decisions.shared import views
from bilberryramp.decisions.upstream import model_orders
from bilberryramp.settings import schema
from bilberryramp.standins import engine_streams
from bilberryramp.tasks import upstream_engine
from bilberryramp.telemetry import tracing

__all__ = ["Engine", "make_app", "new_engine"]

CRASH_EXIT_CODE = 70


@dataclasses.dataclass(slots=True)
class Engine:
    """State of a simulated engine.

    Attributes
    ----------
    cfg
        Settings of the engine.
    rng
        Random generator that selects the orders whose answers are lost.
    boot_id
        Unique id of this start of the engine.
    resident
        Loaded models by name.
    fence
        Highest fencing token of the orders received so far.
    active_requests
        Number of requests being generated.
    streams
        Streamed answers that clients may resume.
    """

    cfg: schema.StandinSettings
    rng: random.Random
    boot_id: str
    resident: dict[str, views.ReplicaPlace] = dataclasses.field(
        default_factory=dict
    )
    fence: int = 0
    active_requests: int = 0
    streams: engine_streams.Streams = dataclasses.field(
        default_factory=engine_streams.Streams
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _CompletionRequest:
    """A completion request, reduced to the fields that the engine uses."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


def new_engine(cfg: schema.StandinSettings) -> Engine:
    """Create an engine without loaded models.

    Parameters
    ----------
    cfg
        Settings of the engine; the seed selects which answers are lost.

    Returns
    -------
    Engine
        Engine with a new boot id.
    """
    return Engine(cfg, random.Random(cfg.seed), uuid.uuid4().hex)


def make_app(engine: Engine) -> web.Application:
    """Create the HTTP application of an engine.

    Parameters
    ----------
    engine
        State of the engine, which requests modify in place.

    Returns
    -------
    aiohttp.web.Application
        Application that is not listening yet.
    """
    app = web.Application(client_max_size=64 * 1024 * 1024)

    async def state(_request: web.Request) -> web.Response:
        resident = tuple(engine.resident.values())
        return _json_response(
            upstream_engine.EngineState(engine.boot_id, resident)
        )

    async def orders(request: web.Request) -> web.Response:
        return await _execute_order(engine, request)

    async def chat(request: web.Request) -> web.StreamResponse:
        return await _handle_completion(engine, request, "chat.completion")

    async def text(request: web.Request) -> web.StreamResponse:
        return await _handle_completion(engine, request, "text_completion")

    async def resume(request: web.Request) -> web.StreamResponse:
        return await _resume_stream(engine, request)

    app.router.add_get("/engine/state", state)
    app.router.add_post("/engine/orders", orders)
    app.router.add_post("/v1/chat/completions", chat)
    app.router.add_post("/v1/completions", text)
    app.router.add_get("/v1/chat/completions/{attempt_id}", resume)
    app.router.add_get("/v1/completions/{attempt_id}", resume)
    return app


async def _execute_order(engine: Engine, request: web.Request) -> web.Response:
    order = msgspec.json.decode(
        await request.read(), type=upstream_engine.OrderBody
    )
    if engine.cfg.fenced and order.fence < engine.fence:
        return web.Response(status=409, text="outdated fencing token")
    engine.fence = max(engine.fence, order.fence)
    if order.kind == model_orders.OrderKind.LOAD:
        await asyncio.sleep(engine.cfg.load_ms / 1000)
        place = views.ReplicaPlace(
            order.model, order.accelerators, order.memory_mib
        )
        engine.resident[order.model] = place
    else:
        engine.resident.pop(order.model, None)
    if engine.rng.random() < engine.cfg.fault_rate:
        request.transport.abort()
    return web.Response(text="done")


async def _handle_completion(engine: Engine, request: web.Request, kind: str):
    body = await request.read()
    completion = msgspec.json.decode(body, type=_CompletionRequest)
    _crash_if_requested(engine, body)
    if completion.model not in engine.resident:
        return web.Response(status=404, text="model not loaded")
    traceparent = request.headers.get("traceparent", "")
    with tracing.span("engine.generate", traceparent):
        if completion.stream:
            return await _stream(engine, request, completion, kind)
        words = [word async for word in _generate_words(engine, completion)]
        return _json_response(_full_response(completion, kind, words))


def _crash_if_requested(engine: Engine, body: bytes) -> None:
    trigger = engine.cfg.crash_on.encode()
    if trigger and trigger in body:
        os._exit(CRASH_EXIT_CODE)


async def _generate_words(engine: Engine, completion: _CompletionRequest):
    count = completion.max_completion_tokens or completion.max_tokens or 16
    engine.active_requests += 1
    try:
        await asyncio.sleep(engine.cfg.first_token_ms / 1000)
        for number in range(count):
            slowdown = max(
                engine.active_requests / engine.cfg.batch_slots, 1.0
            )
            await asyncio.sleep(slowdown / engine.cfg.tokens_per_s)
            yield f"w{number} "
    finally:
        engine.active_requests -= 1


async def _stream(engine, request, completion, kind) -> web.StreamResponse:
    attempt_id = request.headers.get("Bilberry-Attempt-Id", uuid.uuid4().hex)
    events = _stream_events(engine, completion, kind)
    engine_streams.start_generation(engine.streams, attempt_id, events)
    return await engine_streams.send_events(
        engine.streams, attempt_id, request, 0, engine.cfg.break_after
    )


async def _stream_events(
    engine: Engine, completion: _CompletionRequest, kind: str
):
    async for word in _generate_words(engine, completion):
        yield _stream_event(completion, kind, word)
    yield b"[DONE]"


async def _resume_stream(engine: Engine, request: web.Request):
    attempt_id = request.match_info["attempt_id"]
    last_id = request.headers.get("Last-Event-ID", "")
    stream = engine_streams.find(engine.streams, attempt_id)
    if stream is None or not last_id.isdigit():
        return web.Response(status=404, text="no such stream")
    first = int(last_id) + 1
    return await engine_streams.send_events(
        engine.streams, attempt_id, request, first, 0
    )


def _stream_event(
    completion: _CompletionRequest, kind: str, word: str
) -> bytes:
    if kind == "chat.completion":
        choice = {"index": 0, "delta": {"content": word}}
        kind = "chat.completion.chunk"
    else:
        choice = {"index": 0, "text": word}
    return msgspec.json.encode(_completion_body(completion, kind, choice))


def _full_response(
    completion: _CompletionRequest, kind: str, words: list
) -> dict:
    text = "".join(words)
    choice = {"index": 0, "finish_reason": "stop"}
    if kind == "chat.completion":
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": 0,
        "completion_tokens": len(words),
        "total_tokens": len(words),
    }
    return _completion_body(completion, kind, choice) | {"usage": usage}


def _completion_body(
    completion: _CompletionRequest, kind: str, choice: dict
) -> dict:
    return {
        "id": f"cmpl-{uuid.uuid4().hex}",
        "object": kind,
        "created": 0,
        "model": completion.model,
        "choices": [choice],
    }


def _json_response(body) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
