"""`bilberryctl`: command line for changing and inspecting the system.

Exit codes: 0 success; 2 invalid settings, table files or command line;
5 tables refused; 6 another submission was accepted first; 7 outcome unknown.
"""

import asyncio
import dataclasses
import getpass
import sys
import time
import uuid
from collections.abc import Iterator

import aiohttp
import msgspec
from absl import app, flags
from returns import result

from bilberryramp.decisions.shared import tables
from bilberryramp.settings import reader, schema
from bilberryramp.tasks import operator_api
from bilberryramp.telemetry import explain

__all__ = ["run"]

EXIT_USAGE = 2
EXIT_REFUSED = 5
EXIT_CONFLICT = 6
EXIT_UNKNOWN = 7
# Pause between two rounds of calls to all control replicas.
RETRY_INTERVAL_S = 0.2

_ROUTES = flags.DEFINE_string(
    "routes", "routes.yaml", "Path of the routes file."
)
_POOLS = flags.DEFINE_string("pools", "pools.yaml", "Path of the pools file.")
_SETTINGS = flags.DEFINE_string(
    "ctl_settings",
    "ctl.yaml",
    "Path of the settings file that lists the control replicas.",
)
_JSON = flags.DEFINE_boolean("json", False, "Print results as JSON.")
_BASE_VERSION = flags.DEFINE_integer(
    "base_version",
    -1,
    "Version that the new tables replace. Default: -1, the current version.",
)
_SUBMISSION_ID = flags.DEFINE_string(
    "submission_id",
    "",
    "Id of an earlier submission to repeat. Default: a new id.",
)
_SUBMITTER = flags.DEFINE_string(
    "submitter",
    "",
    "Name recorded with the submission. Default: the name of the user.",
)
_NODE = flags.DEFINE_string(
    "node",
    "",
    "Operator address of a fleet's node, as host:port, whose quarantine is "
    "listed or changed. Default: that of the control replicas.",
)
_WAIT_S = flags.DEFINE_float(
    "wait_s",
    10.0,
    "Time in seconds for which failed calls are repeated. Default: 10.",
)


@dataclasses.dataclass(slots=True, frozen=True)
class CallFailure:
    """Failure of a call to a control replica.

    Attributes
    ----------
    url
        URL of the call; empty if none was made.
    reason
        Type of the error, or body of the answer that reported it.
    """

    url: str
    reason: str

    def __str__(self) -> str:
        """Return a one-line description for the operator."""
        return f"{self.reason} from {self.url or 'no control replica'}"


USAGE = (
    "bilberryctl [flags] validate|submit|diff|status|watch|drain UPSTREAM"
    "|quarantine|lift FINGERPRINT|explain REQUEST_ID FILE..."
)


def run() -> None:
    """Run the program."""
    app.run(_main)


def _main(argv: list[str]) -> None:
    command = _COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(f"usage: {USAGE}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        sys.exit(command(argv[2:]))
    except reader.SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _explain(args: list[str]) -> int:
    if len(args) < 2:
        print(f"usage: {USAGE}", file=sys.stderr)
        return EXIT_USAGE
    request_id, *files = args
    timeline = []
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as lines:
                timeline += explain.read_events(lines, request_id)
        except OSError as exc:
            print(f"error: {exc}", file=sys.stderr)
            return EXIT_USAGE
    for line in explain.format_timeline(timeline):
        print(line)
    return 0


def _read_tables() -> tables.Tables:
    routes = reader.read_or_raise(_ROUTES.value, schema.RoutesFile)
    pools = reader.read_or_raise(_POOLS.value, schema.PoolsFile)
    return tables.Tables(routes.routes, pools.pools)


def _validate(_args: list[str]) -> int:
    problems = tuple(tables.find_problems(_read_tables()))
    if problems:
        return _print_problems(problems)
    print("valid")
    return 0


def _print_problems(problems: tuple[tables.Problem, ...]) -> int:
    for problem in problems:
        file = _POOLS if problem.path.startswith("pools") else _ROUTES
        line = reader.SettingsProblem(
            file.value, problem.path, repr(problem.seen), problem.expected
        )
        print(f"error: {line}", file=sys.stderr)
    return EXIT_REFUSED


def _submit(_args: list[str]) -> int:
    new_tables = _read_tables()
    problems = tuple(tables.find_problems(new_tables))
    if problems:
        return _print_problems(problems)
    base_version = _BASE_VERSION.value
    if base_version < 0:
        base_version = _fetch_status().version
    submission_id = _SUBMISSION_ID.value or uuid.uuid4().hex
    request = operator_api.SubmitRequest(
        submission_id=submission_id,
        submitter=_SUBMITTER.value or getpass.getuser(),
        base_version=base_version,
        routes=new_tables.routes,
        pools=new_tables.pools,
    )
    body = msgspec.json.encode(request)
    outcome = asyncio.run(_call_any_replica("POST", "/v1/tables", body))
    if isinstance(outcome, result.Failure):
        hint = f"--base_version {base_version} --submission_id {submission_id}"
        print(f"outcome unknown: {outcome.failure()}; resend with {hint}")
        return EXIT_UNKNOWN
    reply = msgspec.json.decode(
        outcome.unwrap(), type=operator_api.SubmitReply
    )
    return _print_submit_reply(reply)


def _print_submit_reply(reply: operator_api.SubmitReply) -> int:
    if _JSON.value:
        print(msgspec.json.encode(reply).decode())
    if reply.outcome == "accepted":
        _print_text(f"accepted as version {reply.version}")
        return 0
    if reply.outcome == "conflict":
        _print_text(
            f"conflict: version {reply.version} by {reply.submitted_by} "
            "was accepted first"
        )
        return EXIT_CONFLICT
    return _print_problems(reply.problems)


def _print_text(text: str) -> None:
    if not _JSON.value:
        print(text)


def _status(_args: list[str]) -> int:
    status = _fetch_status()
    if _JSON.value:
        print(msgspec.json.encode(status).decode())
        return 0
    for line in _status_lines(status):
        print(line)
    return 0


def _status_lines(status: operator_api.StatusReply) -> Iterator[str]:
    yield (
        f"replica {status.replica_id}: {status.phase}, term {status.term}, "
        f"leader {status.leader_id or 'none'}, index {status.index}"
    )
    submitter_text = (
        f" by {status.submitted_by}" if status.submitted_by else ""
    )
    yield (
        f"version {status.version}{submitter_text}: "
        f"{len(status.routes)} routes, {len(status.pools)} pools, "
        f"{status.idempotency_records} idempotency records"
    )
    free_mib = {row.upstream_id: row.free_mib for row in status.memory}
    for upstream in status.upstreams:
        placed = status.placements.get(upstream.upstream_id)
        models = [place.model for place in placed.replicas] if placed else []
        state = "leaving" if upstream.leaving else "in service"
        yield (
            f"upstream {upstream.upstream_id} ({upstream.service}): {state}, "
            f"models {', '.join(models) or 'none'}, "
            f"free MiB {list(free_mib[upstream.upstream_id])}"
        )
    yield from _quarantine_lines(status)
    for name in status.lagging:
        yield f"lagging: {name} at index {status.followers[name]}"


def _quarantine_lines(status: operator_api.StatusReply) -> Iterator[str]:
    for fingerprint, record in status.quarantine.items():
        yield f"struck request {fingerprint}: {len(record.strikes)} strikes"


def _watch(_args: list[str]) -> int:
    previous: list[str] = []
    while True:
        lines = list(_status_lines(_fetch_status()))
        for line in lines:
            if line not in previous:
                print(line, flush=True)
        previous = lines
        time.sleep(1)


def _diff(_args: list[str]) -> int:
    new_tables, status = _read_tables(), _fetch_status()
    pairs = (
        (new_tables.routes, status.routes),
        (new_tables.pools, status.pools),
    )
    for new, old in pairs:
        for line in _diff_rows(new, old):
            print(line)
    return 0


def _diff_rows(new: tuple, old: tuple) -> Iterator[str]:
    old_rows = {row.name: row for row in old}
    new_rows = {row.name: row for row in new}
    yield from (f"- {row}" for n, row in old_rows.items() if n not in new_rows)
    yield from (f"+ {row}" for n, row in new_rows.items() if n not in old_rows)
    for name, row in new_rows.items():
        if name in old_rows and old_rows[name] != row:
            yield f"- {old_rows[name]}"
            yield f"+ {row}"


def _drain(args: list[str]) -> int:
    if len(args) != 1:
        print(f"usage: {USAGE}", file=sys.stderr)
        return EXIT_USAGE
    path = f"/v1/upstreams/{args[0]}/drain"
    outcome = asyncio.run(_call_any_replica("POST", path, b""))
    if isinstance(outcome, result.Failure):
        print(f"outcome unknown: {outcome.failure()}")
        return EXIT_UNKNOWN
    print(f"draining {args[0]}")
    return 0


def _quarantine(_args: list[str]) -> int:
    """List the suspects that are restricted or quarantined."""
    if not _NODE.value:
        for line in _quarantine_lines(_fetch_status()):
            print(line)
        return 0
    outcome = asyncio.run(_call_node("GET", "/quarantine"))
    if isinstance(outcome, result.Failure):
        print(f"the node did not answer: {outcome.failure()}")
        return EXIT_UNKNOWN
    if _JSON.value:
        print(outcome.unwrap().decode())
        return 0
    for row in msgspec.json.decode(outcome.unwrap())["requests"]:
        print(
            f"{row.get('kind', 'content')} {row['fingerprint']} "
            f"({row['service']}): "
            f"{row['state']}, {row['remaining_ms'] // 1000} s left, lost "
            f"{', '.join(row['upstreams'])}"
        )
    return 0


def _lift(args: list[str]) -> int:
    """Free a suspect that is quarantined."""
    if len(args) != 1:
        print(f"usage: {USAGE}", file=sys.stderr)
        return EXIT_USAGE
    if _NODE.value:
        call = _call_node("DELETE", f"/quarantine/{args[0]}")
    else:
        call = _call_any_replica("DELETE", f"/v1/quarantine/{args[0]}", b"")
    outcome = asyncio.run(call)
    if isinstance(outcome, result.Failure):
        print(f"outcome unknown: {outcome.failure()}")
        return EXIT_UNKNOWN
    print(f"lifting the quarantine of {args[0]}")
    return 0


async def _call_node(method: str, path: str) -> result.Result:
    async with aiohttp.ClientSession() as session:
        url = f"http://{_NODE.value}{path}"
        return await _call_replica(session, method, url, b"")


def _fetch_status() -> operator_api.StatusReply:
    outcome = asyncio.run(_call_any_replica("GET", "/v1/status", b""))
    if isinstance(outcome, result.Failure):
        print(f"no control replica answered: {outcome.failure()}")
        sys.exit(EXIT_UNKNOWN)
    return msgspec.json.decode(outcome.unwrap(), type=operator_api.StatusReply)


async def _call_any_replica(
    method: str, path: str, body: bytes
) -> result.Result:
    cfg = reader.read_or_raise(_SETTINGS.value, schema.CtlSettings)
    deadline_s = time.monotonic() + _WAIT_S.value
    last_outcome: result.Result = result.Failure(CallFailure("", "no answer"))
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < deadline_s:
            for control in cfg.controls:
                url = f"http://{control.operator_address}{path}"
                last_outcome = await _call_replica(session, method, url, body)
                if isinstance(last_outcome, result.Success):
                    return last_outcome
            await asyncio.sleep(RETRY_INTERVAL_S)
    return last_outcome


async def _call_replica(session, method: str, url: str, body: bytes):
    timeout = aiohttp.ClientTimeout(total=6)
    try:
        async with session.request(
            method, url, data=body, timeout=timeout
        ) as resp:
            data = await resp.read()
    except (aiohttp.ClientError, TimeoutError) as exc:
        return result.Failure(CallFailure(url, type(exc).__name__))
    if resp.status >= 500 or resp.status == 400:
        text = data.decode(errors="replace")
        return result.Failure(CallFailure(url, text))
    return result.Success(data)


_COMMANDS = {
    "explain": _explain,
    "validate": _validate,
    "submit": _submit,
    "diff": _diff,
    "status": _status,
    "watch": _watch,
    "drain": _drain,
    "quarantine": _quarantine,
    "lift": _lift,
}
