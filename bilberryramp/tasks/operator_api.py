"""HTTP interface of control for operators, used by `bilberryctl`."""

import asyncio
import dataclasses
import uuid

import msgspec
from aiohttp import web

from bilberryramp.decisions.shared import commands, tables, views
from bilberryramp.decisions.upstream import ledger
from bilberryramp.tasks import (
    client_requests,
    control_node,
    http_requests,
    mailbox,
)

__all__ = [
    "DrainReply",
    "ErrorReply",
    "MemoryStatus",
    "StatusReply",
    "SubmitReply",
    "SubmitRequest",
    "make_app",
]

# Time for which an operator's command waits for its result.
RESULT_TIMEOUT_S = 5.0
# Longest time in which the body of a submission arrives.
MAX_BODY_S = 30.0
_STOPPED = commands.Unavailable(commands.UnavailableReason.STOPPING)
_EXPIRED = commands.Unavailable(commands.UnavailableReason.LEASE_EXPIRED)


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitRequest:
    """Body of ``POST /v1/tables``, with the fields of `SubmitTables`."""

    submission_id: str
    submitter: str
    base_version: int
    routes: tuple[tables.Route, ...]
    pools: tuple[tables.Pool, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitReply:
    """Result of a submission.

    Attributes
    ----------
    outcome
        ``accepted``, ``conflict``, ``refused`` or ``unknown``.
    version
        Version of the accepted tables or, on a conflict, of those in force.
    submitted_by
        On a conflict, submitter of the tables in force.
    leader_id
        If the outcome is unknown, id of the leader known to this replica.
    problems
        If the submission was refused, problems found in the tables.
    """

    outcome: str
    version: int = 0
    submitted_by: str = ""
    leader_id: str = ""
    problems: tuple[tables.Problem, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class DrainReply:
    """Result of a drain.

    Attributes
    ----------
    outcome
        ``accepted`` or ``unknown``.
    leader_id
        If the outcome is unknown, id of the leader known to this replica.
    """

    outcome: str
    leader_id: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorReply:
    """Answer to a request whose body cannot be decoded.

    Attributes
    ----------
    error
        Text of the decoding error.
    """

    error: str


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryStatus:
    """Unreserved memory of one upstream.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    free_mib
        Unreserved memory of each accelerator, in MiB.
    """

    upstream_id: str
    free_mib: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class StatusReply:
    """Body of the answer to ``GET /v1/status``.

    Attributes
    ----------
    replica_id
        Id of the replica that answers.
    phase, term, leader_id
        Role of the replica, its term and the leader that it knows.
    index
        Log index of the last applied entry.
    version, submitted_by
        Version and submitter of the tables in force.
    idempotency_records
        Number of records of idempotency keys.
    upstreams
        Upstreams that have joined.
    placements
        Placement of replicas by upstream id.
    quarantine
        Quarantine records by fingerprint of the request.
    memory
        Unreserved memory of each upstream.
    followers
        Log index that the view of each subscriber of this replica has after
        the messages sent to it, by the subscriber's name.
    lagging
        Names of the subscribers that lack the last change of the view.
    routes, pools
        Tables in force.
    """

    replica_id: str
    phase: str
    term: int
    leader_id: str
    index: int
    version: int
    submitted_by: str
    idempotency_records: int
    upstreams: tuple[views.Upstream, ...]
    placements: dict[str, views.Placement]
    quarantine: dict[str, views.QuarantineRecord]
    memory: tuple[MemoryStatus, ...]
    followers: dict[str, int]
    lagging: tuple[str, ...]
    routes: tuple[tables.Route, ...]
    pools: tuple[tables.Pool, ...]


def make_app(
    inbox: mailbox.Mailbox, node_ended: asyncio.Event
) -> web.Application:
    """Return the HTTP application.

    Parameters
    ----------
    inbox
        Mailbox of the control replica's task.
    node_ended
        Set when that task has ended, and answers nothing any more.

    Returns
    -------
    aiohttp.web.Application
        Application that is not listening yet.
    """
    app = web.Application(client_max_size=16 * 1024 * 1024)

    async def ask(make_message):
        return await _ask(inbox, node_ended, make_message)

    async def run_command(command):
        def make_message(reply):
            return control_node.OperatorCommand(
                uuid.uuid4().hex, command, reply
            )

        result = await ask(make_message)
        if result is not None:
            return result
        return _STOPPED if node_ended.is_set() else _EXPIRED

    async def submit(request: web.Request) -> web.Response:
        return await _submit(run_command, request)

    async def status(_request: web.Request) -> web.Response:
        node = await ask(control_node.StatusRequest)
        if node is None:
            return _json_response(
                ErrorReply("the replica does not answer"), 503
            )
        return _json_response(_status_of(node))

    async def drain(request: web.Request) -> web.Response:
        command = commands.DrainUpstream(request.match_info["upstream_id"])
        result = await run_command(command)
        if isinstance(result, commands.Done):
            return _json_response(DrainReply("accepted"))
        return _json_response(DrainReply("unknown", result.leader_id), 503)

    async def lift(request: web.Request) -> web.Response:
        command = commands.LiftQuarantine(request.match_info["fingerprint"])
        result = await run_command(command)
        if isinstance(result, commands.Done):
            return _json_response(DrainReply("accepted"))
        return _json_response(DrainReply("unknown", result.leader_id), 503)

    options = {"expect_handler": http_requests.accept_expectation}
    app.router.add_post("/v1/tables", submit, **options)
    app.router.add_get("/v1/status", status, **options)
    app.router.add_post("/v1/upstreams/{upstream_id}/drain", drain, **options)
    app.router.add_delete("/v1/quarantine/{fingerprint}", lift, **options)
    return app


async def _submit(run_command, request: web.Request) -> web.Response:
    try:
        data = await client_requests.read_body(
            request,
            http_requests.read_kept,
            asyncio.get_running_loop().time() + MAX_BODY_S,
        )
        body = msgspec.json.decode(data, type=SubmitRequest)
    except client_requests.ReadingEndedError as exc:
        return _unread_reply(exc.cause)
    except msgspec.DecodeError as exc:
        return _json_response(ErrorReply(str(exc)), 400)
    command = commands.SubmitTables(
        submission_id=body.submission_id,
        submitter=body.submitter,
        base_version=body.base_version,
        tables=tables.Tables(body.routes, body.pools),
    )
    return _submit_reply(await run_command(command))


def _unread_reply(cause: client_requests.ReadingEnd) -> web.Response:
    """Return the answer to a submission that was not read to its end."""
    if cause is client_requests.ReadingEnd.STOPPING:
        return _submit_reply(_STOPPED)
    if cause is client_requests.ReadingEnd.TIMEOUT:
        reply = ErrorReply("the body was not complete in time")
        response = _json_response(reply, 408)
    else:
        response = _json_response(SubmitReply("unknown"), 503)
    response.force_close()
    return response


def _submit_reply(result) -> web.Response:
    if isinstance(result, commands.SubmitAccepted):
        return _json_response(SubmitReply("accepted", result.version))
    if isinstance(result, commands.SubmitConflict):
        reply = SubmitReply(
            "conflict", result.current_version, result.submitted_by
        )
        return _json_response(reply, 409)
    if isinstance(result, commands.SubmitRefused):
        return _json_response(
            SubmitReply("refused", problems=result.problems), 422
        )
    return _json_response(
        SubmitReply("unknown", leader_id=result.leader_id), 503
    )


async def _ask(inbox: mailbox.Mailbox, node_ended, make_message):
    """Return the replica's reply to a message; None if it sends none."""
    if node_ended.is_set():
        return None
    reply = asyncio.get_running_loop().create_future()
    await mailbox.post(inbox, make_message(reply))
    ended = asyncio.create_task(node_ended.wait())
    try:
        await asyncio.wait(
            (reply, ended),
            timeout=RESULT_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        ended.cancel()
    return reply.result() if reply.done() else None


def _status_of(node: control_node.ControlNode) -> StatusReply:
    replica, view = node.replica, node.replica.state.view
    followers = {n: s.index for n, s in node.feed.subscribers.items()}
    last_change_index = node.feed.last_change_index
    return StatusReply(
        replica_id=node.cfg.replica_id,
        phase=replica.phase,
        term=replica.term,
        leader_id=replica.leader_id,
        index=replica.applied_index,
        version=view.version,
        submitted_by=view.submitted_by,
        idempotency_records=len(replica.state.keys.records),
        upstreams=tuple(view.upstreams.values()),
        placements=view.placements,
        quarantine=view.quarantine,
        memory=tuple(_memory_of(view)),
        followers=followers,
        lagging=tuple(
            n for n, index in followers.items() if index < last_change_index
        ),
        routes=view.tables.routes,
        pools=view.tables.pools,
    )


def _memory_of(view: views.View):
    for upstream in view.upstreams.values():
        placed = view.placements.get(upstream.upstream_id, views.Placement(0))
        free = ledger.free_mib(
            upstream.accelerators, upstream.memory_mib, placed.replicas
        )
        yield MemoryStatus(upstream.upstream_id, tuple(free))


def _json_response(reply, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(reply),
        status=status,
        content_type="application/json",
    )
