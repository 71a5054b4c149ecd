"""Simulated plain service that counts the runs of each idempotency key."""

import asyncio
import collections
import dataclasses
import os
import uuid

import msgspec
from aiohttp import web

from bilberryramp.settings import schema
from bilberryramp.tasks import upstream_engine
from bilberryramp.telemetry import tracing

__all__ = ["PlainService", "Receipt", "make_app", "new_service"]

CRASH_EXIT_CODE = 70


@dataclasses.dataclass(slots=True, frozen=True)
class Receipt:
    """Answer to a call.

    Attributes
    ----------
    key
        Idempotency key of the call; empty if it has none.
    runs
        Number of calls with this key so far.
    """

    key: str
    runs: int


@dataclasses.dataclass(slots=True)
class PlainService:
    """State of a simulated plain service.

    Attributes
    ----------
    cfg
        Settings of the service.
    boot_id
        Unique id of this start of the service.
    runs
        Number of calls by idempotency key.
    """

    cfg: schema.StandinSettings
    boot_id: str
    runs: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def new_service(cfg: schema.StandinSettings) -> PlainService:
    """Create a service that has received no calls.

    Parameters
    ----------
    cfg
        Settings of the service.

    Returns
    -------
    PlainService
        Service with a new boot id.
    """
    return PlainService(cfg, uuid.uuid4().hex)


def make_app(service: PlainService) -> web.Application:
    """Create the HTTP application of a service.

    Parameters
    ----------
    service
        State of the service, which requests modify in place.

    Returns
    -------
    aiohttp.web.Application
        Application that is not listening yet.
    """
    app = web.Application()

    async def state(_request: web.Request) -> web.Response:
        return _json_response(upstream_engine.EngineState(service.boot_id))

    async def counts(_request: web.Request) -> web.Response:
        return _json_response(dict(service.runs))

    async def call(request: web.Request) -> web.Response:
        return await _call(service, request)

    app.router.add_get("/engine/state", state)
    app.router.add_get("/runs", counts)
    app.router.add_route("*", "/services/{path:.*}", call)
    return app


async def _call(service: PlainService, request: web.Request) -> web.Response:
    body = await request.read()
    key = request.headers.get("Idempotency-Key", "")
    with tracing.span("service.call", request.headers.get("traceparent", "")):
        service.runs[key] += 1
        trigger = service.cfg.crash_on.encode()
        if trigger and trigger in body:
            os._exit(CRASH_EXIT_CODE)
        await asyncio.sleep(service.cfg.first_token_ms / 1000)
        return _json_response(Receipt(key, service.runs[key]))


def _json_response(body) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
