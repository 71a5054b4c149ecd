"""Builders of running programs for tests inside one process."""

import asyncio
import json

import zmq
import zmq.asyncio

from bilberryramp.decisions.shared import tables, views
from bilberryramp.decisions.tests import builders as decision_builders
from bilberryramp.programs import upstream
from bilberryramp.settings import schema
from bilberryramp.standins import local_cluster
from bilberryramp.tasks import upstream_node
from bilberryramp.tasks.tests import builders as task_builders
from bilberryramp.wire import codec

ROUTE = "corrections"


def state_answer(boot_id="b1") -> bytes:
    """Build the answer of a plain service to a request for its state."""
    body = json.dumps({"boot_id": boot_id}).encode()
    return task_builders.answer_bytes(body, Content_Type="application/json")


def is_state_request(request) -> bool:
    return request.line.startswith("GET /engine/state ")


def calls_of(server) -> list:
    """Return the requests that a server received, without state requests."""
    return [r for r in server.requests if not is_state_request(r)]


async def start_upstream(case, port) -> upstream_node.UpstreamNode:
    """Start the task of an upstream process before a plain service.

    It has no control, and serves the route `ROUTE` with its view out of date.
    """
    listener, address = upstream._open_listener("tcp://127.0.0.1:0")
    control_port, operator_port = local_cluster.free_ports(2)
    cfg = schema.UpstreamSettings(
        name="u1",
        controls=(
            schema.ControlReplica(
                "c1",
                f"tcp://127.0.0.1:{control_port}",
                f"127.0.0.1:{operator_port}",
            ),
        ),
        address=address,
        service="corrections-ledger",
        kind=views.UpstreamKind.SERVICE,
        engine_url=f"http://127.0.0.1:{port}",
    )
    node = upstream._new_node(cfg, listener, address)
    route = decision_builders.service_route(when_stale=tables.StaleRule.SERVE)
    node.sub.view.tables = decision_builders.make_tables(route)
    task = asyncio.create_task(upstream_node.run(node))
    case.addAsyncCleanup(_stop, node, task)
    while not node.state.engine_up:
        await asyncio.sleep(0.01)
    return node


async def _stop(node, task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await node.session.http.close()
    await node.order_session.close()
    node.listener.close()
    for sock in node.control.sockets.values():
        sock.close(linger=0)


def connect_entry(case, node) -> zmq.asyncio.Socket:
    """Connect to an upstream process as an entry does."""
    sock = zmq.asyncio.Context.instance().socket(zmq.DEALER)
    sock.setsockopt(zmq.IDENTITY, b"e1/1")
    sock.setsockopt(zmq.LINGER, 0)
    sock.connect(node.cfg.address)
    case.addCleanup(sock.close)
    return sock


async def dispatch(sock, node, attempt_id, **changes) -> None:
    """Send an attempt to an upstream process."""
    frame = task_builders.make_dispatch(
        attempt_id,
        incarnation=node.state.upstream.incarnation,
        route=ROUTE,
        **changes,
    )
    await sock.send(codec.encode(frame))


async def receive_until(sock, *classes):
    """Return the next frame of one of these classes."""
    while True:
        frame = codec.decode(await sock.recv())
        if isinstance(frame, classes):
            return frame
