"""HTTP servers of a node for operators, upstreams, readiness and metrics."""

import asyncio
import dataclasses
from collections.abc import Callable
from types import ModuleType

from aiohttp import web

from bilberryramp.decisions.fleet.core import identities
from bilberryramp.decisions.fleet.quarantine import (
    quarantine_messages,
    suspect_publications,
    suspects,
)
from bilberryramp.decisions.fleet.register import operator_calls, register
from bilberryramp.tasks import (
    client_connections,
    client_requests,
    clock,
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

# Maximum size of a document; one with thousands of routes is smaller.
MAX_BODY_BYTES = 8 * 2**20
# Longest idle time of connections for readiness checks and metrics.
IDLE_S = 60.0
# Longest time in which the body of a call arrives.
MAX_BODY_S = 30.0
# Timeout of an announcement; less than the 1 s after which the upstream
# sends it to another node.
ANNOUNCE_TIMEOUT_S = 0.85
# Path of the list of restricted and quarantined requests. A DELETE of a
# fingerprint below it frees a request.
QUARANTINE_PATH = "/quarantine"


@dataclasses.dataclass(slots=True)
class OperatorApi:
    """State that all calls of operators and upstreams share.

    Attributes
    ----------
    register
        State of the register's task.
    gateway
        State of the gateway's task.
    wire
        Module that decodes calls and encodes answers.
    """

    register: register_task.RegisterTask
    gateway: gateway_task.GatewayTask
    wire: ModuleType


def make_server(api: OperatorApi) -> client_connections.Listener:
    """Return the listener for operators' and upstreams' connections.

    Parameters
    ----------
    api
        State that all calls share.

    Returns
    -------
    Listener
        Listener that has no sockets yet.
    """

    async def serve(request: web.BaseRequest) -> web.Response:
        try:
            body = await client_requests.read_body(
                request, http_requests.read_kept, _read_until_s()
            )
        except client_requests.ReadingEndedError as exc:
            return _unread_response(exc.cause)
        if f"{request.path}/".startswith(f"{QUARANTINE_PATH}/"):
            return _serve_quarantine(api, request)
        call = api.wire.decode(request.method, request.path, body)
        match call:
            case operator_calls.Submit():
                return await _submit(api, request, call)
            case operator_calls.ReadDocument():
                return await _read_document(api, request)
            case operator_calls.Heartbeat():
                upstream_id = call.announcement.upstream_id
                return await _announce(
                    api, upstream_id, lambda _: call.announcement
                )
            case operator_calls.Departure():
                return await _announce(
                    api,
                    call.upstream_id,
                    lambda last: api.wire.complete_departure(call, last),
                )
            case operator_calls.MalformedCall():
                events.emit(events.OPERATOR_CALL_MALFORMED, reason=call.reason)
                return _message_response(400, call.reason)
        return _message_response(404, "no such call")

    make_request = http_requests.make_factory(lambda: MAX_BODY_BYTES)
    listener = client_requests.make_server(
        "operators", serve, make_request, access_log=None
    )
    # Other nodes redirect operators to the leader until it has gone.
    listener.accepts_to_end = True
    return listener


def _read_until_s() -> float:
    return asyncio.get_running_loop().time() + MAX_BODY_S


def _unread_response(cause: client_requests.ReadingEnd) -> web.Response:
    """Return the answer to a call that was not read to its end."""
    if cause is client_requests.ReadingEnd.STOPPING:
        return _message_response(503, "the node is stopping")
    if cause is client_requests.ReadingEnd.TIMEOUT:
        response = _message_response(408, "the body was not complete in time")
    else:
        response = _message_response(503, "no memory for the body")
    response.force_close()
    return response


def make_readiness_server(
    is_ready: Callable[[], bool],
) -> client_connections.Listener:
    """Return the listener for the load balancer's health checks.

    Parameters
    ----------
    is_ready
        Function that returns whether the node accepts new connections.

    Returns
    -------
    Listener
        Listener that has no sockets yet.
    """

    async def serve(_request: web.BaseRequest) -> web.Response:
        ready = is_ready()
        return web.Response(status=200 if ready else 503)

    return _make_plain_server("readiness", serve)


def make_metrics_server(
    render: Callable[[], str],
) -> client_connections.Listener:
    """Return the listener for the metrics endpoint.

    Parameters
    ----------
    render
        Function that returns all metrics as text.

    Returns
    -------
    Listener
        Listener that has no sockets yet.
    """

    async def serve(_request: web.BaseRequest) -> web.Response:
        return web.Response(text=render())

    return _make_plain_server("metrics", serve)


def _make_plain_server(name: str, serve) -> client_connections.Listener:
    """Return a listener for requests whose bodies are not read."""
    return client_requests.make_server(
        name,
        serve,
        http_requests.make_factory(lambda: MAX_BODY_BYTES),
        keepalive_timeout=IDLE_S,
        lingering_time=0,
        access_log=None,
    )


def _serve_quarantine(api: OperatorApi, request) -> web.Response:
    """List the suspects that may not run freely, or free one of them."""
    state = api.gateway.gw.suspect_state
    fingerprint = request.path.removeprefix(QUARANTINE_PATH).strip("/")
    if request.method == "DELETE" and fingerprint:
        if not state.coordinator:
            return _message_response(503, "no coordinator is known")
        lift = quarantine_messages.LiftSuspect(fingerprint)
        mailbox.post_now(api.gateway.inbox, suspects.ToCoordinator(lift))
        return _message_response(202, "sent to the coordinator")
    if request.method != "GET" or fingerprint:
        return _message_response(404, "no such call")
    rows = [
        {
            "fingerprint": entry.fingerprint,
            "kind": identities.kind_of(entry.fingerprint).value,
            "service": entry.service,
            "state": entry.phase,
            "remaining_ms": entry.remaining_ms,
            "upstreams": [loss.upstream_id for loss in entry.losses],
        }
        for entry in suspect_publications.known_suspects(
            state, clock.boot_ms()
        )
    ]
    return web.json_response({"requests": rows})


async def _submit(api, request, call: operator_calls.Submit) -> web.Response:
    answer = await register_task.request(
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
        return _message_response(200, "accepted")
    if outcome == "redirected":
        return _redirect(answer.leader, request)
    return _message_response(503, "no leader")


async def _read_document(api, request) -> web.Response:
    answer = await register_task.request(api.register, register.Read)
    if answer is not None and answer.body:
        return web.Response(body=answer.body, content_type="application/json")
    if answer is not None and answer.leader:
        return _redirect(answer.leader, request)
    return _message_response(503, "the newest document is not known")


async def _announce(
    api, upstream_id: str, make_announcement: Callable
) -> web.Response:
    done = asyncio.get_running_loop().create_future()
    message = gateway_task.AnnouncementReceived(
        upstream_id, make_announcement, done
    )
    mailbox.post_now(api.gateway.inbox, message)
    try:
        await asyncio.wait_for(done, ANNOUNCE_TIMEOUT_S)
    except TimeoutError:
        return _message_response(503, "busy")
    return web.Response(
        body=api.wire.encode_heartbeat_answer(),
        content_type="application/json",
    )


def _redirect(leader: str, request) -> web.Response:
    target = f"http://{leader}{request.raw_path}"
    return web.Response(status=307, headers={"Location": target})


def _message_response(status: int, text: str) -> web.Response:
    return web.json_response({"message": text}, status=status)
