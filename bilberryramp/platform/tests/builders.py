"""Builders of messages in the platform's formats."""

import asyncio
import collections
import dataclasses
import json

import aiohttp
import h11

from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.shared import connection_stop
from bilberryramp.decisions.shared.tests import builders as shutdown_builders
from bilberryramp.platform import exchanges, standins
from bilberryramp.standins import faulty_server
from bilberryramp.tasks import (
    client_connections,
    connection_drain,
    fleet_frontend,
    gateway_task,
    mailbox,
    register_task,
    upstream_exchange,
)
from bilberryramp.tasks.tests import builders as task_builders
from bilberryramp.telemetry import metrics

make_route_fields = standins.make_route_fields
make_document_body = standins.make_document_body
EVENTS = task_builders.EVENTS
EVENT_BYTES = task_builders.EVENT_BYTES


def make_workspace_fields(**changes):
    """Build the row of a workspace with one key."""
    return {"name": "w1", "apiKeys": ["asnmgkcuyj8pjbvk9m68"]} | changes


def make_heartbeat_body(**changes):
    fields = {
        "service": "svc-llm",
        "address": "127.0.0.1:1",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 4,
        "coldLeftMs": 0,
        "born": 1783455595500,
        "models": [{"name": "m0", "version": 1, "adapters": ["a1"]}],
        "atHand": {"inMemory": ["m1"], "onDisk": ["m2"]},
    }
    return json.dumps(fields | changes).encode()


def platform_answer(request: faulty_server.Request) -> bytes:
    """Answer like an upstream of the platform, with the request's id."""
    request_id = request.headers.get("x-bilberryramp-request-id", "")
    return task_builders.answer_bytes(
        request.body,
        X_Bilberryramp_Request_Id=request_id,
        X_Bilberryramp_Server_Signature="sig",
    )


def platform_stream(
    request: faulty_server.Request, events: bytes = EVENTS
) -> bytes:
    """Answer like `platform_answer`, with a stream of events."""
    request_id = request.headers.get("x-bilberryramp-request-id", "")
    return task_builders.answer_bytes(
        events,
        Content_Type="text/event-stream",
        X_Bilberryramp_Request_Id=request_id,
        X_Bilberryramp_Server_Signature="sig",
    )


def _with_leaving(answer: bytes) -> bytes:
    """Add the header of an upstream that is leaving to an answer."""
    line, _, rest = answer.partition(b"\r\n")
    return line + b"\r\nServer-Leaving: 1\r\n" + rest


def leaving_answer(request: faulty_server.Request) -> bytes:
    return _with_leaving(platform_answer(request))


def leaving_stream(request: faulty_server.Request) -> bytes:
    return _with_leaving(platform_stream(request))


def _leaving_refusal(request, status: str, **headers) -> bytes:
    request_id = request.headers.get("x-bilberryramp-request-id", "")
    return _with_leaving(
        task_builders.answer_bytes(
            b"", status, X_Bilberryramp_Request_Id=request_id, **headers
        )
    )


def leaving_full(request: faulty_server.Request) -> bytes:
    return _leaving_refusal(
        request, "503 Busy", X_Bilberryramp_Not_Executed="1"
    )


def leaving_other(request: faulty_server.Request) -> bytes:
    return _leaving_refusal(request, "421 Misdirected Request")


def leaving_failure(request: faulty_server.Request) -> bytes:
    return _leaving_refusal(
        request, "500 Failed", X_Bilberryramp_Server_Signature="sig"
    )


LEAVING_ANSWERS = (
    leaving_answer,
    leaving_stream,
    leaving_full,
    leaving_other,
    leaving_failure,
)


PAUSE_S = 60
NOT_EXECUTED = {"X_Bilberryramp_Not_Executed": "1"}
SIGNED = {"X_Bilberryramp_Server_Signature": "sig"}


def pausing_answer(
    retry_after=str(PAUSE_S), status="503 Busy", echoed_id=None, **headers
):
    """Make a function that answers with a pause.

    Unless `echoed_id` is given, the answer carries the id of the request.
    """

    def answer(request: faulty_server.Request) -> bytes:
        request_id = request.headers.get("x-bilberryramp-request-id", "")
        return task_builders.answer_bytes(
            b"",
            status,
            X_Bilberryramp_Request_Id=echoed_id or request_id,
            Retry_After=retry_after,
            **headers,
        )

    return answer


@dataclasses.dataclass(slots=True)
class ConnectGate:
    """Holds back the connections that a session opens.

    Attributes
    ----------
    waiting
        Events that let the held connections to each port proceed, in order.
    is_open
        Whether further connections are not held back.
    """

    waiting: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    is_open: bool = False


def hold_connections(session: aiohttp.ClientSession) -> ConnectGate:
    """Hold back all connections that a session opens from now on."""
    gate = ConnectGate()

    async def note_port(_session, context, params) -> None:
        context.port = params.url.port

    async def wait(_session, context, _params) -> None:
        if not gate.is_open:
            event = asyncio.Event()
            gate.waiting[context.port].append(event)
            await event.wait()

    hooks = aiohttp.TraceConfig()
    hooks.on_request_start.append(note_port)
    hooks.on_connection_create_start.append(wait)
    hooks.freeze()
    session.trace_configs.append(hooks)
    return gate


async def start_frontend(case, addresses, **changes):
    """Start a gateway and its HTTP server; return the front end and port."""
    task = task_builders.make_gateway_task(addresses)
    ticks = register_task.post_ticks(task.inbox, gateway.Tick())
    for coroutine in (gateway_task.run(task), ticks):
        case.addCleanup(asyncio.create_task(coroutine).cancel)
    session = upstream_exchange.open_session(
        exchanges.REQUEST_ID_HEADER,
        lambda address: mailbox.post_now(
            task.inbox, gateway.ExcessSeen(address)
        ),
    )
    case.addAsyncCleanup(session.http.close)
    front = fleet_frontend.Frontend(task, session, exchanges, **changes)
    loop = asyncio.get_running_loop()
    listener = fleet_frontend.make_server(front)
    listener.server = await loop.create_server(
        client_connections.protocol_factory(listener), "127.0.0.1", 0
    )
    case.addCleanup(listener.server.close)
    return front, listener.server.sockets[0].getsockname()[1]


def is_reading_body(front) -> bool:
    """Return whether a request's head has been read, but not its body."""
    return any(
        conn.state is connection_stop.State.READING_BODY
        for conn in client_connections.connections(front.listener)
    )


def make_drain(listener, on_draining) -> connection_drain.Drain:
    """Make the drain of one listener, without a notice."""
    stop = shutdown_builders.make_shutdown(
        lambda: not connection_drain.holds_exit([listener]), grace_ms=60_000
    )
    return connection_drain.Drain(
        stop, [listener], 0, on_draining, metrics.Metrics()
    )


def request_bytes(request_id: str, path="/once/x") -> bytes:
    """Encode a request whose body is its id."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {task_builders.HOST}\r\n"
        f"X-Bilberryramp-Request-Id: {request_id}\r\n"
        "X-Bilberryramp-Deadline-Ms: 3000\r\n"
        f"Content-Length: {len(request_id)}\r\n\r\n{request_id}"
    ).encode()


def open_call(session, port, request_id, path="/once/x", **headers):
    """Return a context manager that sends a request and has the response."""
    defaults = {
        "Host": task_builders.HOST,
        "X-Bilberryramp-Request-Id": request_id,
        "X-Bilberryramp-Deadline-Ms": "3000",
    }
    return session.post(
        f"http://127.0.0.1:{port}{path}",
        data=request_id.encode(),
        headers=defaults | headers,
    )


async def call_frontend(session, port, request_id, path="/once/x", **headers):
    """Send a request; return the status, the body and the answered id."""
    async with open_call(session, port, request_id, path, **headers) as resp:
        body = await resp.read()
        answered_id = resp.headers.get("X-Bilberryramp-Request-Id", "")
        return resp.status, body, answered_id


async def exchange_bytes(port: int, request_id: str, path="/once/x") -> bytes:
    """Send a request on a new connection; return all bytes that come back.

    The request asks the server to close the connection after the answer.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    line, _, rest = request_bytes(request_id, path).partition(b"\r\n")
    writer.write(line + b"\r\nConnection: close\r\n" + rest)
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


async def upload_bytes(
    port: int, request_id: str, body: bytes, in_chunks: bool
) -> bytes:
    """Send a request with a long body; return all bytes that come back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    framing = f"Content-Length: {len(body)}"
    if in_chunks:
        framing = "Transfer-Encoding: chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    head = (
        f"POST /once/x HTTP/1.1\r\nHost: {task_builders.HOST}\r\n"
        f"Connection: close\r\nX-Bilberryramp-Request-Id: {request_id}\r\n"
        f"X-Bilberryramp-Deadline-Ms: 3000\r\n{framing}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def parse_answer(received: bytes) -> tuple[int, bytes, bool]:
    """Parse what a connection carried as one answer.

    The result is its status, its body and whether it is complete. An answer
    that was cut off has at least the status 0. Raises
    `h11.RemoteProtocolError` if the bytes are no answer, and ValueError if
    others follow it.
    """
    if not received:
        return 0, b"", False
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    conn.send(h11.EndOfMessage())
    conn.receive_data(received)
    status, body = 0, b""
    while True:
        match conn.next_event():
            case h11.Response() as head:
                status = head.status_code
            case h11.Data() as piece:
                body += piece.data
            case h11.EndOfMessage():
                if conn.trailing_data[0]:
                    raise ValueError(f"{conn.trailing_data[0]!r} follows")
                return status, body, True
            case h11.NEED_DATA:
                return status, body, False
