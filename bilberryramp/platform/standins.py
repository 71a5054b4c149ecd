"""Stand-ins for the Guild platform's engine, client and operator.

Tests and the soak test with faults use them where the platform's own test
bench is not available. Each implements only the part of the protocol that the
programs need.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from bilberryramp.platform import settings
from bilberryramp.tasks import http_requests

__all__ = [
    "DEADLINE_HEADER",
    "DEADLY_PREFIX",
    "FATAL_PREFIX",
    "FIRST_PART",
    "LONG_PREFIX",
    "PATH_VARIABLE",
    "Engine",
    "ClientAnswer",
    "Trouble",
    "decode_answer",
    "make_request_headers",
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
# Chunks in each streamed answer.
CHUNK_COUNT = 3
# Interval, in seconds, at which an engine looks whether a connection closed.
CLOSE_CHECK_S = 0.005
# Largest body that an engine reads.
MAX_BODY_BYTES = 8 * 2**20
# Start of the body of requests that crash each engine that runs them.
FATAL_PREFIX = b"fatal"
# Start of the body of requests that take so many times the service time.
LONG_PREFIX = b"long"
LONG_FACTOR = 15
# Start of the id of a part that crashes each engine that reads it.
DEADLY_PREFIX = "deadly"
# Id of the part with which each prompt begins.
FIRST_PART = "aa"
DEADLINE_HEADER = "X-Bilberryramp-Deadline-Ms"
_REQUEST_ID_HEADER = "X-Bilberryramp-Request-Id"
_SIGNATURE_HEADER = "X-Bilberryramp-Server-Signature"
_SIGNATURE_PREFIX = "sig-"
_LEAVING_HEADER = "Server-Leaving"
_NOT_EXECUTED_HEADER = "X-Bilberryramp-Not-Executed"


@dataclasses.dataclass(slots=True, frozen=True)
class Trouble:
    """What an engine does instead of serving a request.

    Attributes
    ----------
    status
        HTTP status of the answer; 0 to reset the connection instead.
    is_executed
        Whether the engine counts the request as executed before.
    says_not_executed
        Whether the answer states that the request was not executed.
    retry_after
        Values of its ``Retry-After`` headers.
    """

    status: int
    is_executed: bool = False
    says_not_executed: bool = False
    retry_after: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Engine:
    """A running stand-in of a model engine or plain service.

    Attributes
    ----------
    upstream_id, service
        Id of the upstream and name of its service.
    address
        Address at which it listens, as ``host:port``; `start` sets it.
    advertised_address
        Address in its heartbeats; empty to send `address`.
    zone
        Failure domain.
    slots
        Number of requests that it serves at the same time, as its heartbeats
        say.
    models
        Resident models, as the JSON objects of reports and heartbeats: name,
        version and names of the resident adapters.
    executed_ids
        Ids of the requests that it ran, in order.
    last_headers
        Headers of the last request.
    break_after
        Number of chunks of a stream after which the connection is aborted; -1
        for never.
    unframed_every
        Of the streams, each one of this number is sent without length and
        chunks and ends with its connection, every second of them inside an
        event; 0 for none.
    streams_plain
        Whether plain requests are answered with streams, too.
    answer_bytes
        Minimum size of a plain answer, which is padded with spaces.
    service_time_s
        Duration of a plain request, or of each chunk of a stream, in seconds.
    born_ms
        Start of the process in milliseconds of wall-clock time.
    is_leaving
        Whether its answers say that it is leaving.
    heartbeat_count, order_count
        Number of heartbeats sent and of orders accepted.
    highest_fence
        Highest fencing token of an accepted order.
    choose_trouble
        Called with the id of each request that has been read, and returns
        its `Trouble`, or None if the engine serves it.
    on_arrival
        Called with the id and the headers of each request that has one, as
        soon as its head has been read.
    on_execute, on_order
        Called with the id of each request that starts to run, and with the
        fields of each accepted order.
    on_finish
        Called with the id of each such request once the engine does not work
        on it any more, and with whether the engine itself broke its answer
        off.
    on_crash
        Called when a request starts to run whose body starts with
        `FATAL_PREFIX`, or whose prompt has a part that starts with
        `DEADLY_PREFIX`, with the rest of that text and whether it is a part.
        The engine then answers nothing more on its connection.
    server, protocol_factory
        Listening server and its protocol factory, while it runs.
    """

    upstream_id: str
    service: str
    address: str = ""
    advertised_address: str = ""
    zone: str = "a"
    slots: int = 8
    models: list = dataclasses.field(default_factory=list)
    executed_ids: list = dataclasses.field(default_factory=list)
    last_headers: dict = dataclasses.field(default_factory=dict)
    break_after: int = -1
    unframed_every: int = 0
    streams_plain: bool = False
    answer_bytes: int = 0
    service_time_s: float = 0.0
    born_ms: int = 1000
    is_leaving: bool = False
    heartbeat_count: int = 0
    order_count: int = 0
    highest_fence: int = -1
    choose_trouble: Callable = lambda request_id: None
    on_arrival: Callable = lambda request_id, headers: None
    on_execute: Callable = lambda request_id: None
    on_order: Callable = lambda fields: None
    on_finish: Callable = lambda request_id, broke_off: None
    on_crash: Callable = lambda cause, is_part: None
    server: asyncio.Server | None = None
    protocol_factory: web.Server | None = None


async def start(
    engine: Engine, host: str = "127.0.0.1", port: int = 0
) -> None:
    """Start to listen for orders, report requests and client requests.

    Parameters
    ----------
    engine
        Stand-in to start. Modified in place.
    host, port
        Address to listen at; port 0 selects a free port.
    """
    loop = asyncio.get_running_loop()

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case "/report":
                response = _serve_report(engine)
            case "/order":
                response = _serve_order(engine, await request.read())
            case _:
                return await _serve_call(engine, request)
        if engine.is_leaving:
            response.headers[_LEAVING_HEADER] = "1"
        return response

    engine.protocol_factory = web.Server(
        serve,
        request_factory=http_requests.make_factory(lambda: MAX_BODY_BYTES),
        access_log=None,
    )
    engine.server = await loop.create_server(
        engine.protocol_factory, host, port
    )
    port = engine.server.sockets[0].getsockname()[1]
    engine.address = f"{host}:{port}"


async def stop(engine: Engine) -> None:
    """Stop listening and reset all connections.

    Parameters
    ----------
    engine
        Stand-in that `start` has started.
    """
    engine.server.close()
    for conn in engine.protocol_factory.connections:
        if conn.transport is not None:
            _reset(conn.transport)
    await engine.server.wait_closed()


def _reset(transport) -> None:
    """Reset a connection, so that no answer on it looks complete."""
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    transport.abort()


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
    if request_id:
        engine.on_arrival(request_id, request.headers)
    headers = {
        _REQUEST_ID_HEADER: request_id,
        _SIGNATURE_HEADER: f"{_SIGNATURE_PREFIX}{engine.upstream_id}",
    }
    if engine.is_leaving:
        headers[_LEAVING_HEADER] = "1"
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
    trouble = engine.choose_trouble(request_id)
    if trouble is not None and not trouble.is_executed:
        return _fail(request, trouble, headers)
    engine.executed_ids.append(request_id)
    engine.on_execute(request_id)
    broke_off = False
    try:
        if trouble is not None:
            broke_off = not trouble.status
            return _fail(request, trouble, headers)
        response, broke_off = await _run_call(engine, request, body, headers)
        return response
    finally:
        engine.on_finish(request_id, broke_off)


async def _run_call(
    engine, request, body: bytes, headers: dict
) -> tuple[web.StreamResponse, bool]:
    """Run a request; return its answer and whether the engine broke it off."""
    if body.startswith(FATAL_PREFIX):
        engine.on_crash(body.removeprefix(FATAL_PREFIX).decode(), False)
        _reset(request.transport)
        return web.Response(), True
    if deadly := _deadly_part(request):
        await asyncio.sleep(engine.service_time_s)
        engine.on_crash(deadly.removeprefix(DEADLY_PREFIX), True)
        _reset(request.transport)
        return web.Response(), True
    is_plain = "X-Bilberryramp-Model" not in request.headers
    if is_plain and not engine.streams_plain:
        await asyncio.sleep(_service_time_s(engine, body))
        answer = (b"did " + body).ljust(engine.answer_bytes)
        return web.Response(body=answer, headers=headers), False
    headers["Content-Type"] = "text/event-stream"
    number = len(engine.executed_ids)
    if engine.unframed_every and number % engine.unframed_every == 0:
        is_cut = number // engine.unframed_every % 2 == 0
        return await _write_unframed(
            engine, request, headers, body, is_cut
        ), is_cut
    response = web.StreamResponse(headers=headers)
    broke_off = False
    with contextlib.suppress(ConnectionError):
        broke_off = await _write_stream(engine, request, response, body)
    return response, broke_off


def _service_time_s(engine: Engine, body: bytes) -> float:
    """Return the duration of a plain request or of each chunk of a stream."""
    factor = LONG_FACTOR if body.startswith(LONG_PREFIX) else 1
    return engine.service_time_s * factor


def _fail(request, trouble: Trouble, headers: dict) -> web.Response:
    """Make the answer of a request that an engine does not serve."""
    if not trouble.status:
        _reset(request.transport)
        return web.Response()
    response = web.Response(status=trouble.status, headers=headers)
    if trouble.says_not_executed:
        response.headers[_NOT_EXECUTED_HEADER] = "1"
    for value in trouble.retry_after:
        response.headers.add("Retry-After", value)
    return response


def _deadly_part(request) -> str:
    """Return the id of the first deadly part of a prompt; empty if none."""
    prefix = request.headers.get("X-Bilberryramp-Prompt-Prefix", "")
    part_ids = (item.partition(":")[0] for item in prefix.split(","))
    return next((i for i in part_ids if i.startswith(DEADLY_PREFIX)), "")


async def _write_unframed(engine, request, headers, body: bytes, is_cut):
    """Write a stream that ends with its connection, if cut inside an event."""
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    transport = request.transport
    if transport is None:
        return web.Response()
    transport.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    for number in range(CHUNK_COUNT):
        event = _event(number, body)
        is_last = number == CHUNK_COUNT - 1
        transport.write(event[:-1] if is_cut and is_last else event)
        await asyncio.sleep(_service_time_s(engine, body))
    transport.close()
    while request.protocol.transport is not None:
        await asyncio.sleep(CLOSE_CHECK_S)
    return web.Response()


def _event(number: int, body: bytes) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, body)


async def _write_stream(engine, request, response, body: bytes) -> bool:
    """Write a stream; return whether the engine broke it off."""
    await response.prepare(request)
    for number in range(CHUNK_COUNT):
        if number == engine.break_after:
            _reset(request.transport)
            return True
        await response.write(_event(number, body))
        await asyncio.sleep(_service_time_s(engine, body))
    return False


async def send_heartbeat(
    engine: Engine,
    session: aiohttp.ClientSession,
    node: str,
    state: str = "ready",
) -> int:
    """Send one heartbeat to a node.

    Parameters
    ----------
    engine
        Stand-in that sends the heartbeat. Modified in place.
    session
        HTTP session.
    node
        Operator address of the node, as ``host:port``.
    state
        ``ready`` or ``draining``.

    Returns
    -------
    int
        HTTP status of the answer.
    """
    engine.heartbeat_count += 1
    body = msgspec.json.encode(
        {
            "service": engine.service,
            "address": engine.advertised_address or engine.address,
            "zone": engine.zone,
            "version": "v1",
            "slots": engine.slots,
            "state": state,
            "seq": engine.heartbeat_count,
            "coldLeftMs": 0,
            "born": engine.born_ms,
            "models": engine.models,
        }
    )
    url = f"http://{node}/instances/{engine.upstream_id}/heartbeat"
    async with session.post(url, data=body) as resp:
        return resp.status


async def send_departure(
    engine: Engine, session: aiohttp.ClientSession, node: str
) -> int:
    """Announce to a node that an engine departs without draining.

    Parameters
    ----------
    engine
        Stand-in that departs.
    session
        HTTP session.
    node
        Operator address of the node, as ``host:port``.

    Returns
    -------
    int
        HTTP status of the answer.
    """
    url = f"http://{node}/instances/{engine.upstream_id}/deregister"
    async with session.post(url) as resp:
        return resp.status


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAnswer:
    """Answer that a client received.

    Attributes
    ----------
    status
        HTTP status.
    is_whole
        Whether a plain body, or all chunks of a stream, arrived, the chunks
        with equal content.
    echoed_id
        Request id that the engine received as the body and sent back, or,
        for a request with another body, in the header; empty for an
        incomplete stream or another body.
    error
        Code of the failure that the node reports; empty for a success.
    leaving_id
        Id of the engine, if its answer says that it is leaving; else empty.
    """

    status: int
    is_whole: bool
    echoed_id: str
    error: str = ""
    leaving_id: str = ""


async def send_request(
    session: aiohttp.ClientSession,
    node: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    model: str = "",
    content: bytes = b"",
    parts: tuple[str, ...] = (FIRST_PART,),
) -> ClientAnswer:
    """Send a request as a client.

    Parameters
    ----------
    session
        HTTP session.
    node
        Client address of the node, as ``host:port``.
    path
        Path of the request.
    request_id
        Id of the request.
    deadline_ms
        Time that the client allows, in milliseconds.
    model
        Name of the model; empty for a request to a plain service.
    content
        Body of the request; by default, the request id.
    parts
        Ids of the parts of its prompt, before the one of its own.

    Returns
    -------
    ClientAnswer
        The answer.

    Raises
    ------
    aiohttp.ClientError
        When the connection fails or breaks off.
    """
    headers = make_request_headers(request_id, deadline_ms, model, parts)
    url = f"http://{node}{path}"
    async with session.post(
        url, data=content or request_id.encode(), headers=headers
    ) as resp:
        body = await resp.read()
    return decode_answer(resp.status, resp.headers, body, model, content)


def make_request_headers(
    request_id: str,
    deadline_ms: int,
    model: str = "",
    parts: tuple[str, ...] = (FIRST_PART,),
) -> dict[str, str]:
    """Make the headers of a client's request, without those of its framing.

    Parameters
    ----------
    request_id, deadline_ms, model, parts
        As for `send_request`.

    Returns
    -------
    dict
        Values by name.
    """
    headers = {
        "Host": "h.example",
        _REQUEST_ID_HEADER: request_id,
        DEADLINE_HEADER: str(deadline_ms),
    }
    if model:
        headers["X-Bilberryramp-Model"] = model
        headers["X-Bilberryramp-Token-Count"] = "100,20"
        headers["X-Bilberryramp-Prompt-Prefix"] = ",".join(
            f"{part_id}:20" for part_id in (*parts, request_id)
        )
    return headers


def decode_answer(
    status: int, headers, body: bytes, model: str, content: bytes
) -> ClientAnswer:
    """Decode the answer to a request, which its framing says is complete.

    Parameters
    ----------
    status
        HTTP status.
    headers
        Mapping of the headers that ignores the case of names.
    body
        Body of the answer.
    model, content
        As given to `send_request`.

    Returns
    -------
    ClientAnswer
        The answer.
    """
    leaving_id = _leaving_id(headers)
    if status != 200:
        error = _error_code(body)
        return ClientAnswer(status, False, "", error, leaving_id)
    answered_id = headers.get(_REQUEST_ID_HEADER, "")
    if not model:
        echo = body.removeprefix(b"did ")
        owner = _owner(echo, content, answered_id)
        return ClientAnswer(200, True, owner, leaving_id=leaving_id)
    echoes = {
        line.removeprefix(b"data: ")
        for line in body.splitlines()
        if line.startswith(b"data: ")
    }
    is_whole = body.count(b"data: ") == CHUNK_COUNT and len(echoes) == 1
    return ClientAnswer(
        200,
        is_whole,
        _owner(echoes.pop(), content, answered_id) if is_whole else "",
        leaving_id=leaving_id,
    )


def _leaving_id(headers) -> str:
    """Return the id of an engine whose answer says that it is leaving."""
    if _LEAVING_HEADER not in headers:
        return ""
    return headers.get(_SIGNATURE_HEADER, "").removeprefix(_SIGNATURE_PREFIX)


def _owner(echo: bytes, content: bytes, answered_id: str) -> str:
    """Return the id of the request that an answer belongs to."""
    if not content:
        return echo.decode()
    return answered_id if echo == content else ""


def _error_code(body: bytes) -> str:
    """Return the code in a failure's body; empty if it has none."""
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return ""


async def submit_document(session, node: str, body: bytes) -> int:
    """Submit a service document as an operator; return the HTTP status."""
    async with session.post(f"http://{node}/config/put", data=body) as resp:
        return resp.status


async def read_document(session, node: str) -> tuple[int, bytes]:
    """Read the service document; return the HTTP status and the body."""
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
memoryMb = {memory_mb}
maxFds = {max_descriptors}
linkMbps = 1000.0
[faultTolerance]
machines = {tolerated_losses}
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
    """Make the fields of a route, replacing or adding those in `changes`."""
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
    version: int = 3,
    routes: list | None = None,
    max_attempts: int = 2,
    **changes,
) -> bytes:
    """Make the body of a service document.

    Parameters
    ----------
    version
        Version of the document.
    routes
        Fields of the routes; None for one route of each kind.
    max_attempts
        Number of engines that may run a request of the default idempotent
        route.
    **changes
        Further fields of the document, replacing the defaults.

    Returns
    -------
    bytes
        Document as JSON, with an engine service and a plain service.
    """
    plain = {"name": "svc-app", "healthPath": "/h", "maxConns": 50}
    engine = {
        "slots": 8,
        "kvCapacity": 100_000,
        "stride": 4,
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
            "/look/",
            "svc-app",
            kind="idempotent",
            maxAttempts=max_attempts,
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
    name
        Name of the node.
    ip
        Address at which the other nodes reach it.
    peer_port
        Port for messages between nodes.
    seeds
        Operator addresses of the nodes to contact first, as ``host:port``.
    **fields
        Data folder as `folder`, addresses as `engine`, `front`, `ready` and
        `control`, all empty by default, the interval of heartbeats as
        `heartbeat_ms`, by default 1200 ms, and the instance's limits as
        `memory_mb`, by default 300 MB, and `max_descriptors`, by default 0,
        which means none, and `tolerated_losses`, by default 0.

    Returns
    -------
    str
        Settings as TOML.
    """
    defaults = dict.fromkeys(
        ("folder", "engine", "front", "ready", "control"), ""
    )
    defaults |= {
        "heartbeat_ms": 1200,
        "memory_mb": 300,
        "max_descriptors": 0,
        "tolerated_losses": 0,
    }
    return SETTINGS_TEMPLATE.format(
        name=name,
        ip=ip,
        peer=peer_port,
        seeds=", ".join(f'"{seed}"' for seed in seeds),
        **(defaults | fields),
    )
