"""A stand-in for the Guild platform's engine, for tests without its bench.

It answers a stream or a plain request, takes orders, reports on itself and
sends heartbeats, each in the least form that the node needs.
"""

import asyncio
import dataclasses

import aiohttp
import msgspec
from aiohttp import web

__all__ = ["Engine", "beat", "start", "stop"]

PIECES = 3


@dataclasses.dataclass(slots=True)
class Engine:
    """A running stand-in.

    Attributes
    ----------
    ran
        Ids of the requests that it ran.
    headers
        Headers of the last request.
    break_after
        Pieces of a stream after which the connection is cut; -1 for never.
    """

    upstream_id: str
    service: str
    address: str = ""
    models: list = dataclasses.field(default_factory=list)
    ran: list = dataclasses.field(default_factory=list)
    headers: dict = dataclasses.field(default_factory=dict)
    break_after: int = -1
    beats: int = 0
    server: asyncio.Server | None = None


async def start(engine: Engine) -> None:
    """Listen on a free port of the loopback.

    Parameters
    ----------
    engine
        Its address is set.
    """
    loop = asyncio.get_running_loop()

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        return await _answer(engine, request)

    factory = web.Server(serve, access_log=None)
    engine.server = await loop.create_server(factory, "127.0.0.1", 0)
    port = engine.server.sockets[0].getsockname()[1]
    engine.address = f"127.0.0.1:{port}"


async def stop(engine: Engine) -> None:
    """Stop listening.

    Parameters
    ----------
    engine
        Started before.
    """
    engine.server.close()
    await engine.server.wait_closed()


async def _answer(engine, request) -> web.StreamResponse:
    request_id = request.headers.get("X-Bilberryramp-Request-Id", "")
    engine.headers = dict(request.headers)
    headers = {
        "X-Bilberryramp-Request-Id": request_id,
        "X-Bilberryramp-Server-Signature": f"sig-{engine.upstream_id}",
    }
    expected = request.headers.get("X-Bilberryramp-Expected-Instance")
    if expected != engine.upstream_id:
        return web.Response(status=421, headers=headers)
    body = await request.read()
    engine.ran.append(request_id)
    if "X-Bilberryramp-Model" not in request.headers:
        return web.Response(body=b"did " + body, headers=headers)
    out = web.StreamResponse(headers=headers)
    out.content_type = "text/event-stream"
    await out.prepare(request)
    for number in range(PIECES):
        if number == engine.break_after:
            request.transport.abort()
            return out
        await out.write(b"id: %d\ndata: x\n\n" % number)
    return out


async def beat(
    engine: Engine,
    session: aiohttp.ClientSession,
    node: str,
    state: str = "ready",
) -> int:
    """Send one heartbeat to a node.

    Parameters
    ----------
    engine, session, node, state
        The engine, how and where to send, and `ready` or `draining`.

    Returns
    -------
    int
        The status of the answer.
    """
    engine.beats += 1
    body = msgspec.json.encode(
        {
            "service": engine.service,
            "address": engine.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "seq": engine.beats,
            "coldLeftMs": 0,
            "born": 1000,
            "models": engine.models,
        }
    )
    path = f"http://{node}/instances/{engine.upstream_id}/heartbeat"
    async with session.post(path, data=body) as resp:
        return resp.status
