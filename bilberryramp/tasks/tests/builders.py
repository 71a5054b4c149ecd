"""Builders of frames, servers and tasks for tests."""

import asyncio
import random
from unittest import mock

from aiohttp import client_proto

from bilberryramp.charts import loader
from bilberryramp.decisions.fleet.core import documents, presence
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.limits import retry_budget, retry_shares
from bilberryramp.decisions.fleet.orders import placement, planner
from bilberryramp.decisions.fleet.quarantine import coordinator_state
from bilberryramp.decisions.fleet.routing import health, upstream_pauses
from bilberryramp.decisions.shared import (
    call_messages,
    charting,
    pauses,
    quarantine,
    tables,
)
from bilberryramp.decisions.upstream import upstream_messages
from bilberryramp.standins import faulty_server
from bilberryramp.tasks import (
    departure_relays,
    engine_run,
    gateway_task,
    mailbox,
)

SERVICE = "svc"
HOST = "h.example"
# Faults that write without end, but for a stream of events, and those of them
# that write a body, which ends at its limit.
ENDLESS_FAULTS = tuple(
    name
    for name in faulty_server.FAULTS
    if name.startswith("endless") and name != "endless_events"
)
ENDLESS_BODIES = ("endless_body", "endless_sized_body")
# A stream of three events, and the length of each.
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(3))
EVENT_BYTES = len(EVENTS) // 3


def chunk(number: int) -> call_messages.AnswerChunk:
    return call_messages.AnswerChunk("r1.1", number, b"x" * 200)


def answer_bytes(body, status="200 OK", **headers) -> bytes:
    """Build an HTTP answer; underscores in header names become hyphens."""
    rows = {"Content-Length": str(len(body)), "Content-Type": "text/plain"}
    rows |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + body


def plain_answer(request: faulty_server.Request) -> bytes:
    """Answer like a service that knows no request ids."""
    return answer_bytes(request.body)


def echoing_answer(request: faulty_server.Request) -> bytes:
    """Answer like an engine that repeats the attempt's id."""
    attempt_id = request.headers.get("bilberry-attempt-id", "")
    return answer_bytes(request.body, Bilberry_Attempt_Id=attempt_id)


def echoing_stream(
    request: faulty_server.Request, events: bytes = EVENTS
) -> bytes:
    """Answer like `echoing_answer`, with a stream of events."""
    return answer_bytes(
        events,
        Content_Type="text/event-stream",
        Bilberry_Attempt_Id=request.headers.get("bilberry-attempt-id", ""),
    )


def count_parsed_bytes(case) -> list[int]:
    """Count what HTTP clients parse until the end of a test.

    The result is a list with the number of bytes.
    """
    counts = [0]
    parse = client_proto.ResponseHandler.data_received

    def count_and_parse(protocol, data):
        counts[0] += len(data)
        parse(protocol, data)

    patch = mock.patch.object(
        client_proto.ResponseHandler, "data_received", count_and_parse
    )
    patch.start()
    case.addCleanup(patch.stop)
    return counts


async def start_faulty_server(case, answer) -> faulty_server.FaultyServer:
    """Start a faulty server that is stopped after the test."""
    server = faulty_server.FaultyServer(answer)
    await faulty_server.start(server)
    case.addAsyncCleanup(faulty_server.stop, server)
    return server


def bind_chart(name, module):
    return charting.bind(loader.load(name), module.guards, module.actions)


def make_dispatch(attempt_id, body=b"body", **changes):
    fields = {
        "attempt_id": attempt_id,
        "request_id": f"req-{attempt_id}",
        "incarnation": "i1",
        "view_index": 0,
        "route": "r1",
        "pool": "p1",
        "weight": 1,
        "priority": tables.Priority.NORMAL,
        "model": "",
        "method": "POST",
        "path": "/call",
        "body": body,
        "idempotency_key": "",
        "suspect": False,
        "budget_ms": 60_000,
        "first_token_in_ms": 1000,
        "tokens": 10,
        "credit": 1_000_000,
        "traceparent": "",
    }
    return call_messages.Dispatch(**(fields | changes))


async def run_dispatch(
    session,
    port,
    dispatch,
    max_answer_bytes=2**20,
    messages=None,
    entry_delay_s=0,
):
    """Run a dispatch at a server; return its frames and the `RunEnded`.

    Broken streams may resume at once. All messages of the run are appended
    to `messages`. The entry takes `entry_delay_s` for each frame.
    """
    frames, inbox = [], mailbox.Mailbox()

    async def send(_entry, frame):
        await asyncio.sleep(entry_delay_s)
        frames.append(frame)

    job = engine_run.Run(
        upstream_messages.StartRun("entry", dispatch), dispatch.credit
    )
    url = f"http://127.0.0.1:{port}"
    running = asyncio.create_task(
        engine_run.run(session, url, job, max_answer_bytes, send, inbox)
    )
    ends = []
    try:
        while not ends:
            for message in await mailbox.receive_all(inbox):
                if messages is not None:
                    messages.append(message)
                if isinstance(message, upstream_messages.RunEnded):
                    ends.append(message)
                elif isinstance(message, upstream_messages.ResumeRequested):
                    job.resume_granted.set()
        await running
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    (ended,) = (*ends, *inbox.messages)
    return frames, ended


def body_of(frames) -> bytes:
    return b"".join(
        frame.data
        for frame in frames
        if isinstance(frame, call_messages.AnswerChunk)
    )


def make_fleet_route(prefix, **changes):
    fields = {
        "name": f"r{prefix}",
        "host": HOST,
        "prefix": prefix,
        "shares": (documents.Share(SERVICE, 1.0),),
        "repeatable": False,
        "streaming": False,
        "resumable": False,
        "timeout_ms": 20_000,
        "target_ms": 20_000,
        "urgency": 1,
        "max_attempts": 1,
    }
    return documents.Route(**(fields | changes))


def make_gateway_task(addresses) -> gateway_task.GatewayTask:
    """Make the task of a gateway that knows plain upstreams and has routes.

    Requests to ``/once/`` may not be repeated, those to ``/again/`` may.
    """
    routes = (
        make_fleet_route("/once/"),
        make_fleet_route("/again/", repeatable=True, max_attempts=2),
    )
    services = {SERVICE: documents.Service(SERVICE, 100, None)}
    doc = documents.Document(1, routes, services, documents.CallLimits())
    table = presence.Table(60_000)
    gw = gateway_state.Gateway(
        "127.0.0.1:1",
        bind_chart("exchange", gateway_state),
        bind_chart("upstream_health", health),
        random.Random(1),
        table,
        retry_budget.Limits(0.2, 60, 10_000),
        upstream_pauses.Pauses(bind_chart("upstream_pause", pauses)),
        retry_share=retry_shares.Share(1, 10**12, "granted"),
    )
    node_planner = planner.Planner(
        gw.address, table, gw.loads, placement.Demand()
    )
    coordinator = coordinator_state.Coordinator(
        gw.address, bind_chart("suspect", quarantine), table, 1, 1
    )
    task = gateway_task.GatewayTask(
        gw,
        node_planner,
        coordinator,
        mailbox.Mailbox(),
        None,
        lambda _: doc,
        1,
        departure_relays.DepartureRelays(gw.address, None, gw.rng),
    )
    mailbox.post_now(task.inbox, gateway.DocumentInForce(doc))
    for number, address in enumerate(addresses):
        mailbox.post_now(task.inbox, make_announcement(number, address))
    return task


def make_announcement(number, address):
    return presence.Announcement(
        f"u{number}", SERVICE, address, "", 6, 1, 1, False, False, -1, ()
    )
