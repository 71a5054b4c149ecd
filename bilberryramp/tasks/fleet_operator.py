"""A node's HTTP interface for operators and upstreams, and its readiness."""

import asyncio
import dataclasses
from collections.abc import Callable
from types import ModuleType

from aiohttp import web

from bilberryramp.decisions.fleet import operator_calls as asked
from bilberryramp.decisions.fleet import register
from bilberryramp.tasks import (
    gateway_task,
    http_requests,
    mailbox,
    register_task,
)
from bilberryramp.telemetry import events

__all__ = [
    "OperatorApi",
    "make_metrics_server",
    "make_readiness_server",
    "make_server",
]

# Largest document that is read; one with thousands of routes is smaller.
MAX_BODY_BYTES = 8 * 2**20
# An announcement is answered within a second or goes to another node.
ANNOUNCE_TIMEOUT_S = 0.85


@dataclasses.dataclass(slots=True)
class OperatorApi:
    """What the calls share.

    Attributes
    ----------
    wire
        Decodes calls.
    """

    register: register_task.RegisterTask
    gateway: gateway_task.GatewayTask
    wire: ModuleType


def make_server(api: OperatorApi) -> web.Server:
    """Make the protocol factory for operators' connections.

    Parameters
    ----------
    api
        Shared by all calls.

    Returns
    -------
    web.Server
        For `loop.create_server`.
    """

    async def serve(request: web.BaseRequest) -> web.Response:
        body = await request.read()
        call = api.wire.decode(request.method, request.path, body)
        match call:
            case asked.Submit():
                return await _submit(api, request, call)
            case asked.ReadDocument():
                return await _read(api, request)
            case asked.Heartbeat():
                upstream_id = call.announcement.upstream_id
                return await _announce(
                    api, upstream_id, lambda _: call.announcement
                )
            case asked.Departure():
                return await _announce(
                    api,
                    call.upstream_id,
                    lambda last: api.wire.complete_departure(call, last),
                )
            case asked.MalformedCall():
                events.emit(events.OPERATOR_CALL_MALFORMED, reason=call.reason)
                return _plain(400, call.reason)
        return _plain(404, "no such call")

    make_request = http_requests.make_factory(lambda: MAX_BODY_BYTES)
    return web.Server(serve, request_factory=make_request, access_log=None)


def make_readiness_server(is_ready: Callable[[], bool]) -> web.Server:
    """Make the protocol factory for the balancer's status checks.

    Parameters
    ----------
    is_ready
        Tells whether new connections are wanted.

    Returns
    -------
    web.Server
        For `loop.create_server`.
    """

    async def serve(_request: web.BaseRequest) -> web.Response:
        ready = is_ready()
        return web.Response(status=200 if ready else 503)

    return web.Server(serve, access_log=None)


def make_metrics_server(show: Callable[[], str]) -> web.Server:
    """Make the protocol factory for the metrics address.

    Parameters
    ----------
    show
        Renders all metrics.

    Returns
    -------
    web.Server
        For `loop.create_server`.
    """

    async def serve(_request: web.BaseRequest) -> web.Response:
        return web.Response(text=show())

    return web.Server(serve, access_log=None)


async def _submit(api, request, call: asked.Submit) -> web.Response:
    answer = await register_task.ask(
        api.register,
        lambda number: register.Propose(number, call.doc.version, call.body),
    )
    outcome = "unknown"
    if answer is not None and answer.done:
        outcome = "accepted"
    elif answer is not None and answer.leader:
        outcome = "redirected"
    events.emit(
        events.DOCUMENT_SUBMITTED, version=call.doc.version, outcome=outcome
    )
    if outcome == "accepted":
        return _plain(200, "accepted")
    if outcome == "redirected":
        return _redirect(answer.leader, request)
    return _plain(503, "no leader")


async def _read(api, request) -> web.Response:
    answer = await register_task.ask(api.register, register.Read)
    if answer is not None and answer.body:
        return web.Response(body=answer.body, content_type="application/json")
    if answer is not None and answer.leader:
        return _redirect(answer.leader, request)
    return _plain(503, "the newest document is not known")


async def _announce(api, upstream_id: str, make: Callable) -> web.Response:
    done = asyncio.get_running_loop().create_future()
    message = gateway_task.Announce(upstream_id, make, done)
    mailbox.post_now(api.gateway.box, message)
    try:
        await asyncio.wait_for(done, ANNOUNCE_TIMEOUT_S)
    except TimeoutError:
        return _plain(503, "busy")
    return web.Response(
        body=api.wire.encode_heartbeat_answer(),
        content_type="application/json",
    )


def _redirect(leader: str, request) -> web.Response:
    target = f"http://{leader}{request.raw_path}"
    return web.Response(status=307, headers={"Location": target})


def _plain(status: int, text: str) -> web.Response:
    return web.json_response({"message": text}, status=status)
