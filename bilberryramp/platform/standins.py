"""Stand-ins for the Guild platform's engine, client and operator.

For tests and the fault soak, which run without the platform's bench. Each
speaks the least that the programs need.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from bilberryramp.platform import settings

__all__ = [
    "PATH_VARIABLE",
    "Engine",
    "ClientAnswer",
    "send_heartbeat",
    "send_request",
    "send_departure",
    "make_document_body",
    "make_route_fields",
    "make_settings_text",
    "submit_document",
    "read_document",
    "start",
    "stop",
]

PATH_VARIABLE = settings.PATH_VARIABLE
CHUNK_COUNT = 3
_REQUEST_ID_HEADER = "X-Bilberryramp-Request-Id"


@dataclasses.dataclass(slots=True)
class Engine:
    """A running stand-in of a model engine or plain service.

    Attributes
    ----------
    advertised
        Address that its heartbeats name; by default where it listens.
    ran
        Ids of the requests that it ran.
    headers
        Headers of the last request.
    break_after
        Pieces of a stream after which the connection is cut; -1 for never.
    work_s
        Time that a plain request, or each piece of a stream, takes.
    on_run, on_order
        Called with the id of a request that begins to run, and with the
        fields of an order that is accepted.
    """

    upstream_id: str
    service: str
    address: str = ""
    advertised_address: str = ""
    zone: str = "a"
    models: list = dataclasses.field(default_factory=list)
    executed_ids: list = dataclasses.field(default_factory=list)
    last_headers: dict = dataclasses.field(default_factory=dict)
    break_after: int = -1
    service_time_s: float = 0.0
    born_ms: int = 1000
    heartbeat_count: int = 0
    order_count: int = 0
    highest_fence: int = -1
    on_execute: Callable = lambda request_id: None
    on_order: Callable = lambda fields: None
    server: asyncio.Server | None = None
    protocol_factory: web.Server | None = None


async def start(
    engine: Engine, host: str = "127.0.0.1", port: int = 0
) -> None:
    """Listen on the loopback.

    Parameters
    ----------
    engine
        Its address is set.
    host, port
        By default a free port.
    """
    loop = asyncio.get_running_loop()

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case "/report":
                return _serve_report(engine)
            case "/order":
                return _serve_order(engine, await request.read())
        return await _serve_call(engine, request)

    engine.protocol_factory = web.Server(serve, access_log=None)
    engine.server = await loop.create_server(
        engine.protocol_factory, host, port
    )
    port = engine.server.sockets[0].getsockname()[1]
    engine.address = f"{host}:{port}"


async def stop(engine: Engine) -> None:
    """Stop listening and cut all connections.

    Parameters
    ----------
    engine
        Started before.
    """
    engine.server.close()
    for conn in engine.protocol_factory.connections:
        if conn.transport is not None:
            conn.transport.abort()
    await engine.server.wait_closed()


def _serve_report(engine: Engine) -> web.Response:
    fields = {
        "seq": engine.order_count,
        "models": engine.models,
        "busy": False,
    }
    return web.Response(body=msgspec.json.encode(fields))


def _serve_order(engine: Engine, body: bytes) -> web.Response:
    fields = msgspec.json.decode(body)
    if fields["fence"] < engine.highest_fence:
        return web.Response(status=412)
    if fields.get("precondition", engine.order_count) != engine.order_count:
        return web.Response(status=409)
    engine.highest_fence = fields["fence"]
    engine.order_count += 1
    engine.on_order(fields)
    resident = {row["name"]: row for row in engine.models}
    if fields["op"] == "unload" and "adapter" not in fields:
        resident.pop(fields["model"], None)
    elif fields["op"] == "load" and "adapter" not in fields:
        resident[fields["model"]] = {
            "name": fields["model"],
            "version": 1,
            "adapters": [],
        }
    elif fields["model"] in resident:
        names = set(resident[fields["model"]]["adapters"])
        change = names.add if fields["op"] == "load" else names.discard
        change(fields["adapter"])
        resident[fields["model"]]["adapters"] = sorted(names)
    engine.models = list(resident.values())
    return web.Response(status=202)


async def _serve_call(engine, request) -> web.StreamResponse:
    request_id = request.headers.get(_REQUEST_ID_HEADER, "")
    engine.last_headers = dict(request.headers)
    headers = {
        _REQUEST_ID_HEADER: request_id,
        "X-Bilberryramp-Server-Signature": f"sig-{engine.upstream_id}",
    }
    expected = request.headers.get("X-Bilberryramp-Expected-Instance")
    model = request.headers.get("X-Bilberryramp-Model")
    resident = {row["name"] for row in engine.models}
    if (
        expected != engine.upstream_id
        or model is not None
        and model not in resident
    ):
        return web.Response(status=421, headers=headers)
    body = await request.read()
    engine.executed_ids.append(request_id)
    engine.on_execute(request_id)
    if model is None:
        await asyncio.sleep(engine.service_time_s)
        return web.Response(body=b"did " + body, headers=headers)
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    with contextlib.suppress(ConnectionError):
        await _write_stream(engine, request, response, body)
    return response


async def _write_stream(engine, request, response, body: bytes) -> None:
    await response.prepare(request)
    for number in range(CHUNK_COUNT):
        if number == engine.break_after:
            request.transport.abort()
            return
        await response.write(b"id: %d\ndata: %s\n\n" % (number, body))
        await asyncio.sleep(engine.service_time_s)


async def send_heartbeat(
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
    engine.heartbeat_count += 1
    body = msgspec.json.encode(
        {
            "service": engine.service,
            "address": engine.advertised_address or engine.address,
            "zone": engine.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "seq": engine.heartbeat_count,
            "coldLeftMs": 0,
            "born": engine.born_ms,
            "models": engine.models,
        }
    )
    path = f"http://{node}/instances/{engine.upstream_id}/heartbeat"
    async with session.post(path, data=body) as resp:
        return resp.status


async def send_departure(
    engine: Engine, session: aiohttp.ClientSession, node: str
) -> int:
    """Tell a node that an engine is gone.

    Parameters
    ----------
    engine, session, node
        The engine, and how and where to send.

    Returns
    -------
    int
        The status of the answer.
    """
    path = f"http://{node}/instances/{engine.upstream_id}/deregister"
    async with session.post(path) as resp:
        return resp.status


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAnswer:
    """What a client got.

    Attributes
    ----------
    is_whole
        Whether all pieces of a stream, or a plain body, were there.
    owner
        The content that the engine was sent, as its answer names it.
    """

    status: int
    is_whole: bool
    echoed_id: str


async def send_request(
    session: aiohttp.ClientSession,
    node: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    model: str = "",
) -> ClientAnswer:
    """Send a request as a client does, with its id as the body.

    Parameters
    ----------
    session, node, path
        How, where and what to ask.
    request_id, deadline_ms
        Of the request.
    model
        Empty for a request to a plain service.

    Returns
    -------
    Reply
        Raises what the HTTP library raises when the connection breaks.
    """
    headers = {
        "Host": "h.example",
        _REQUEST_ID_HEADER: request_id,
        "X-Bilberryramp-Deadline-Ms": str(deadline_ms),
    }
    if model:
        headers["X-Bilberryramp-Model"] = model
        headers["X-Bilberryramp-Token-Count"] = "100,20"
        headers["X-Bilberryramp-Prompt-Prefix"] = "aa:80,bb:20"
    url = f"http://{node}{path}"
    async with session.post(
        url, data=request_id.encode(), headers=headers
    ) as resp:
        body = await resp.read()
    if not model:
        return ClientAnswer(
            resp.status, True, body.removeprefix(b"did ").decode()
        )
    chunks = [
        line.removeprefix(b"data: ").decode()
        for line in body.splitlines()
        if line.startswith(b"data: ")
    ]
    echoed_ids = set(chunks)
    is_whole = len(chunks) == CHUNK_COUNT and len(echoed_ids) == 1
    return ClientAnswer(
        resp.status, is_whole, echoed_ids.pop() if is_whole else ""
    )


async def submit_document(session, node: str, body: bytes) -> int:
    """Submit a configuration as the operator does; return the status."""
    async with session.post(f"http://{node}/config/put", data=body) as resp:
        return resp.status


async def read_document(session, node: str) -> tuple[int, bytes]:
    """Read the configuration; return the status and the body."""
    async with session.get(f"http://{node}/config/get") as resp:
        return resp.status, await resp.read()


SETTINGS_TEMPLATE = """
nodeName = "{name}"
ip = "{ip}"
zone = "a"
internalPorts = [{peer}, {peer}]
seeds = [{seeds}]
bootstrap = true
dataDir = "{folder}"
heartbeatMs = {heartbeat_ms}
app = "{engine}"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
memoryMb = 300
linkMbps = 1000.0
[bounds]
graceS = 8
drainMs = 2000
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 60
"""


def make_route_fields(
    prefix: str = "/talk/", service: str = "svc-llm", **changes
) -> dict:
    """Make a route of the configuration, with some fields changed."""
    fields = {
        "name": f"r{prefix}",
        "host": "h.example",
        "pathPrefix": prefix,
        "kind": "streaming",
        "timeoutMs": 6000,
        "latencyTargetMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
    }
    return fields | changes


def make_document_body(
    version: int = 3, routes: list | None = None, **changes
) -> bytes:
    """Make a small configuration with a route of each kind."""
    plain = {"name": "svc-app", "healthPath": "/h", "maxConns": 50}
    engine = {
        "slots": 8,
        "kvCapacity": 100_000,
        "models": [
            {
                "name": "m0",
                "weightsMb": 1000.0,
                "loadS": 1.0,
                "adapters": 2,
                "adapterMb": 10.0,
            }
        ],
        "weightsMb": 4000.0,
        "adapterSlots": 2,
        "loadsPerS": 1.0,
    }
    llm = {"name": "svc-llm", "maxConns": 50, "engine": engine}
    default_routes = [
        make_route_fields(),
        make_route_fields("/file/", "svc-app", kind="non_idempotent"),
        make_route_fields(
            "/look/", "svc-app", kind="idempotent", maxAttempts=2
        ),
    ]
    fields = {
        "version": version,
        "routes": default_routes if routes is None else routes,
        "services": [llm, plain],
        "limits": {"maxBodyBytes": 4096},
    }
    return msgspec.json.encode(fields | changes)


def make_settings_text(
    name: str, ip: str, peer_port: int, seeds: list[str], **fields
) -> str:
    """Make the text of a process's settings file.

    Parameters
    ----------
    name, ip, peer_port
        Who and where the process is.
    seeds
        Control addresses of the first nodes.
    **fields
        `folder`, `engine`, `front`, `ready`, `control` and `heartbeat_ms`
        where they are not empty.

    Returns
    -------
    str
        TOML.
    """
    defaults = dict.fromkeys(
        ("folder", "engine", "front", "ready", "control"), ""
    )
    defaults |= {"heartbeat_ms": 1200}
    return SETTINGS_TEMPLATE.format(
        name=name,
        ip=ip,
        peer=peer_port,
        seeds=", ".join(f'"{seed}"' for seed in seeds),
        **(defaults | fields),
    )
