"""A stand-in model engine with OpenAI-compatible HTTP.

It generates numbered words at a set speed that falls as more requests run
at once. Orders change which models it holds; it can refuse old fencing
numbers, lose answers to orders, break streams, and crash on a request, all
by settings. A broken stream is read on by ``GET`` of the path and attempt id
with ``Last-Event-ID``.
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
    """State of the engine.

    Attributes
    ----------
    held
        Models in memory.
    fence
        Highest fencing number seen.
    running
        Requests being generated.
    streams
        Streamed answers that may be read on.
    """

    cfg: schema.StandinSettings
    rng: random.Random
    boot_id: str
    held: dict[str, views.ReplicaPlace] = dataclasses.field(
        default_factory=dict
    )
    fence: int = 0
    running: int = 0
    streams: engine_streams.Streams = dataclasses.field(
        default_factory=engine_streams.Streams
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _Request:
    """The fields of a completion request that matter here."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


def new_engine(cfg: schema.StandinSettings) -> Engine:
    """Make an engine that holds no models.

    Parameters
    ----------
    cfg
        Its settings; the seed decides which answers are lost.

    Returns
    -------
    Engine
        With a new boot id.
    """
    return Engine(cfg, random.Random(cfg.seed), uuid.uuid4().hex)


def make_app(engine: Engine) -> web.Application:
    """Make the HTTP application.

    Parameters
    ----------
    engine
        Its state.

    Returns
    -------
    aiohttp.web.Application
        Not yet listening.
    """
    app = web.Application(client_max_size=64 * 1024 * 1024)

    async def state(_request: web.Request) -> web.Response:
        held = tuple(engine.held.values())
        return _json(upstream_engine.EngineState(engine.boot_id, held))

    async def orders(request: web.Request) -> web.Response:
        return await _order(engine, request)

    async def chat(request: web.Request) -> web.StreamResponse:
        return await _complete(engine, request, "chat.completion")

    async def text(request: web.Request) -> web.StreamResponse:
        return await _complete(engine, request, "text_completion")

    async def read_on(request: web.Request) -> web.StreamResponse:
        return await _read_on(engine, request)

    app.router.add_get("/engine/state", state)
    app.router.add_post("/engine/orders", orders)
    app.router.add_post("/v1/chat/completions", chat)
    app.router.add_post("/v1/completions", text)
    app.router.add_get("/v1/chat/completions/{attempt_id}", read_on)
    app.router.add_get("/v1/completions/{attempt_id}", read_on)
    return app


async def _order(engine: Engine, request: web.Request) -> web.Response:
    order = msgspec.json.decode(
        await request.read(), type=upstream_engine.OrderBody
    )
    if engine.cfg.fenced and order.fence < engine.fence:
        return web.Response(status=409, text="old fencing number")
    engine.fence = max(engine.fence, order.fence)
    if order.kind == model_orders.OrderKind.LOAD:
        await asyncio.sleep(engine.cfg.load_ms / 1000)
        place = views.ReplicaPlace(
            order.model, order.accelerators, order.memory_mib
        )
        engine.held[order.model] = place
    else:
        engine.held.pop(order.model, None)
    if engine.rng.random() < engine.cfg.fault_rate:
        request.transport.abort()
    return web.Response(text="done")


async def _complete(engine: Engine, request: web.Request, kind: str):
    body = await request.read()
    asked = msgspec.json.decode(body, type=_Request)
    _crash_if_told(engine, body)
    if asked.model not in engine.held:
        return web.Response(status=404, text="model not loaded")
    traceparent = request.headers.get("traceparent", "")
    with tracing.span("engine.generate", traceparent):
        if asked.stream:
            return await _stream(engine, request, asked, kind)
        words = [word async for word in _words(engine, asked)]
        return _json(_whole(asked, kind, words))


def _crash_if_told(engine: Engine, body: bytes) -> None:
    told = engine.cfg.crash_on.encode()
    if told and told in body:
        os._exit(CRASH_EXIT_CODE)


async def _words(engine: Engine, asked: _Request):
    count = asked.max_completion_tokens or asked.max_tokens or 16
    engine.running += 1
    try:
        await asyncio.sleep(engine.cfg.first_token_ms / 1000)
        for number in range(count):
            crowd = max(engine.running / engine.cfg.batch_slots, 1.0)
            await asyncio.sleep(crowd / engine.cfg.tokens_per_s)
            yield f"w{number} "
    finally:
        engine.running -= 1


async def _stream(engine, request, asked, kind) -> web.StreamResponse:
    attempt_id = request.headers.get("Bilberry-Attempt-Id", uuid.uuid4().hex)
    parts = _parts(engine, asked, kind)
    engine_streams.begin(engine.streams, attempt_id, parts)
    return await engine_streams.serve(
        engine.streams, attempt_id, request, 0, engine.cfg.break_after
    )


async def _parts(engine: Engine, asked: _Request, kind: str):
    async for word in _words(engine, asked):
        yield _part(asked, kind, word)
    yield b"[DONE]"


async def _read_on(engine: Engine, request: web.Request):
    attempt_id = request.match_info["attempt_id"]
    last_id = request.headers.get("Last-Event-ID", "")
    stream = engine_streams.find(engine.streams, attempt_id)
    if stream is None or not last_id.isdigit():
        return web.Response(status=404, text="no such stream")
    first = int(last_id) + 1
    return await engine_streams.serve(
        engine.streams, attempt_id, request, first, 0
    )


def _part(asked: _Request, kind: str, word: str) -> bytes:
    if kind == "chat.completion":
        choice = {"index": 0, "delta": {"content": word}}
        kind = "chat.completion.chunk"
    else:
        choice = {"index": 0, "text": word}
    return msgspec.json.encode(_envelope(asked, kind, choice))


def _whole(asked: _Request, kind: str, words: list) -> dict:
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
    return _envelope(asked, kind, choice) | {"usage": usage}


def _envelope(asked: _Request, kind: str, choice: dict) -> dict:
    return {
        "id": f"cmpl-{uuid.uuid4().hex}",
        "object": kind,
        "created": 0,
        "model": asked.model,
        "choices": [choice],
    }


def _json(body) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
