"""Run one soak: callers, an operator, heartbeats and faults in parallel."""

import asyncio
import dataclasses
import functools
import itertools
import pathlib
import random
from collections.abc import Callable

import aiohttp
import msgspec

from bilberryramp.platform import standins
from bilberryramp.soak import (
    local_fleet,
    observations,
    schedule,
    slow_senders,
)

__all__ = [
    "ALL_KINDS",
    "PLAIN_KINDS",
    "CallKind",
    "Plan",
    "execute",
    "send_evenly",
    "send_heartbeats",
    "send_recorded",
    "submit_first_document",
]

CALLER_COUNT = 6
CALL_PAUSE_S = 0.03
# Beside engines that pause or fail: interval of requests that may be repeated,
# and the pause of other callers after a connection that failed.
EAGER_INTERVAL_S = 0.025
BACKOFF_S = 0.3
# Engines of the plain service that are added then, and the number of engines
# that may run such a request, so that one engine more can be seen.
EXTRA_PLAIN_COUNT = 2
MAX_ATTEMPTS_WITH_PAUSES = 3
# Pause of a caller that sends the same fatal request again and again.
FATAL_PAUSE_S = 0.4
# Parts with which the prompts of several callers begin.
SOUND_PARTS = (
    (standins.FIRST_PART,),
    (standins.FIRST_PART, "cc"),
    ("dd", "cc"),
)
# Body that several callers send for as long as the soak runs.
POPULAR_BODY = b"popular"
DEADLINE_MS = 3000
# Limit for a caller's request; longer than `DEADLINE_MS`, the deadline that
# callers send with it.
CALL_TIMEOUT_S = 4.0
OPERATOR_PAUSE_S = 0.3
OPERATOR_TIMEOUT_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.0
# Limit for the fleet to accept a document after the first start.
START_TIMEOUT_S = 90.0
# Time for which callers and operator continue after the last fault has ended.
SETTLE_TIME_S = 5.0
# Limits for the final document to be accepted, and to be read at all nodes.
FINAL_TIMEOUT_S = 60.0
# Version of the final document, higher than all before it.
FINAL_VERSION = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class CallKind:
    """Kind of the requests that a caller sends.

    Attributes
    ----------
    path
        Path, which selects the route.
    service
        Service of the route.
    model
        Model; empty for a request to a plain service.
    may_repeat
        Whether a request may run more than once.
    max_attempts
        Number of engines that may run it, as the route says.
    """

    path: str
    service: str
    model: str = ""
    may_repeat: bool = False
    max_attempts: int = 1


TALK = CallKind("/talk/x", "svc-llm", "m0")
FILE = CallKind("/file/x", "svc-app")
LOOK = CallKind("/look/x", "svc-app", may_repeat=True, max_attempts=2)
ALL_KINDS = (TALK, FILE, LOOK)
# Kinds whose answers are no streams.
PLAIN_KINDS = (FILE, LOOK)


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Parameters of a soak.

    Attributes
    ----------
    seed
        Seed of the faults, and of the actions of callers and operator.
    slot
        Number that selects the loopback addresses of the fleet.
    length_ms
        Period in which faults begin, in milliseconds.
    core, others
        Number of nodes with and without a data folder.
    fatal_count
        Number of callers that each send one request that crashes engines,
        in turn to the plain service and to the model engines.
    deadly_count
        Number of callers that each send prompts with a part that crashes
        model engines, no two alike.
    fault_groups
        Groups of faults to draw from, as in `schedule.draw`.
    faults
        Further faults, with times from the start of the schedule.
    has_departures
        Whether engines leave by their answers alone, besides the faults.
    has_pauses
        Whether engines pause or fail requests, besides the faults. The plain
        service then has more engines, which have no other faults, and further
        requests that may be repeated are sent at a fixed rate. Other callers
        pause after a connection that failed, so that requests for nodes that
        are down do not raise the budget.
    has_stops
        Whether nodes are stopped, reload their settings and get changed
        documents, besides the faults.
    sender_count
        Number of clients that send bodies in pieces.
    sender_kinds
        Kinds of their requests. Streams hold a stopping node for longer than
        other requests do.
    """

    seed: int
    slot: int
    length_ms: int
    core: int = 3
    others: int = 2
    fatal_count: int = 2
    deadly_count: int = 1
    fault_groups: tuple = schedule.ALL_GROUPS
    faults: tuple[observations.Fault, ...] = ()
    has_departures: bool = False
    has_pauses: bool = False
    has_stops: bool = False
    sender_count: int = 0
    sender_kinds: tuple[CallKind, ...] = ALL_KINDS


async def execute(plan: Plan, folder: pathlib.Path) -> observations.History:
    """Run a soak from the start of the fleet to its stop.

    Parameters
    ----------
    plan
        Parameters of the soak.
    folder
        Empty folder for settings, data and logs.

    Returns
    -------
    History
        Observations of the soak.
    """
    history = observations.History()
    rng = random.Random(plan.seed)
    fleet = local_fleet.make_fleet(
        plan.slot,
        folder,
        history.events.append,
        plan.core,
        plan.others,
        plain_count=local_fleet.PLAIN_COUNT
        + EXTRA_PLAIN_COUNT * plan.has_pauses,
    )
    if plan.has_pauses:
        fleet.make_body = functools.partial(
            standins.make_document_body,
            max_attempts=MAX_ATTEMPTS_WITH_PAUSES,
        )
    try:
        await _execute_phases(fleet, plan, rng)
    finally:
        await local_fleet.kill_programs(fleet)
    return history


async def _execute_phases(fleet: local_fleet.Fleet, plan: Plan, rng) -> None:
    look = LOOK
    if plan.has_pauses:
        look = dataclasses.replace(LOOK, max_attempts=MAX_ATTEMPTS_WITH_PAUSES)
    await local_fleet.start_fleet(fleet)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        actors = [
            asyncio.create_task(send_heartbeats(fleet, host, session, rng))
            for host in fleet.engines.values()
        ]
        await submit_first_document(fleet, session)
        fleet.submit_change = functools.partial(_submit_change, fleet, session)
        actors.append(asyncio.create_task(_run_operator(fleet, session, rng)))
        actors += [
            asyncio.create_task(
                _run_caller(
                    fleet,
                    f"{plan.seed}-{number}",
                    rng,
                    (TALK, FILE, look),
                    BACKOFF_S * plan.has_pauses,
                )
            )
            for number in range(CALLER_COUNT)
        ]
        actors += [
            asyncio.create_task(
                _run_fatal_caller(
                    fleet,
                    f"{plan.seed}-f{number}",
                    (look, TALK)[number % 2],
                    rng,
                )
            )
            for number in range(plan.fatal_count)
        ]
        actors += [
            asyncio.create_task(
                _run_deadly_caller(fleet, f"{plan.seed}-d{number}", rng)
            )
            for number in range(plan.deadly_count)
        ]
        actors += [
            asyncio.create_task(
                slow_senders.run_sender(
                    fleet,
                    f"{plan.seed}-s{number}",
                    tuple(look if k is LOOK else k for k in plan.sender_kinds),
                    random.Random(f"sender {number} {plan.seed}"),
                )
            )
            for number in range(plan.sender_count)
        ]
        if plan.has_pauses:
            actors.append(
                asyncio.create_task(
                    send_evenly(
                        fleet,
                        session,
                        rng,
                        look,
                        f"{plan.seed}-e",
                        EAGER_INTERVAL_S,
                    )
                )
            )
        await _inject_faults(fleet, plan)
        await local_fleet.clear_faults(fleet)
        await asyncio.sleep(SETTLE_TIME_S)
        fleet.is_finished = True
        await asyncio.gather(*actors)
        await _submit_final(fleet, session)
        await _read_final(fleet, session)
    await local_fleet.stop_fleet(fleet)


def _draw_faults(
    fleet: local_fleet.Fleet, plan: Plan
) -> list[observations.Fault]:
    nodes, engines = list(fleet.nodes), list(fleet.engines)
    core = nodes[: plan.core]
    # The schedule of a seed does not depend on engines added for pauses.
    usual = engines[: local_fleet.MODEL_COUNT + local_fleet.PLAIN_COUNT]
    faults = [
        *schedule.draw(
            plan.seed, plan.length_ms, core, nodes, usual, plan.fault_groups
        ),
        *plan.faults,
    ]
    if plan.has_departures:
        faults += schedule.draw_departures(plan.seed, plan.length_ms, usual)
    if plan.has_pauses:
        services = [
            engines[: local_fleet.MODEL_COUNT],
            engines[local_fleet.MODEL_COUNT :],
        ]
        faults += schedule.draw_troubles(
            plan.seed, plan.length_ms, services, core, nodes, faults
        )
    if plan.has_stops:
        faults += schedule.draw_planned_work(
            plan.seed, plan.length_ms, core, nodes, faults
        )
    return faults


async def _inject_faults(fleet: local_fleet.Fleet, plan: Plan) -> None:
    faults = sorted(_draw_faults(fleet, plan), key=lambda f: f.from_ms)
    started_ms = local_fleet.now_ms()
    async with asyncio.TaskGroup() as group:
        for drawn in faults:
            fault = dataclasses.replace(
                drawn,
                from_ms=started_ms + drawn.from_ms,
                to_ms=started_ms + drawn.to_ms,
            )
            wait_ms = fault.from_ms - local_fleet.now_ms()
            await asyncio.sleep(max(wait_ms, 0) / 1000)
            group.create_task(local_fleet.inject(fleet, fault))
        remaining_ms = started_ms + plan.length_ms - local_fleet.now_ms()
        await asyncio.sleep(max(remaining_ms, 0) / 1000)


def _control_address(host: local_fleet.Host) -> str:
    return f"{host.address}:{local_fleet.CONTROL_PORT}"


async def _call_or_none(limit_s: float, operation: Callable):
    """Return the result of an HTTP call, or None if it fails or times out.

    Calls are expected to fail while faults are active.
    """
    try:
        async with asyncio.timeout(limit_s):
            return await operation()
    except (TimeoutError, aiohttp.ClientError, OSError):
        return None


async def send_heartbeats(
    fleet: local_fleet.Fleet,
    host: local_fleet.Host,
    session: aiohttp.ClientSession,
    rng: random.Random,
) -> None:
    """Send an engine's heartbeats, each to a random node, until the soak ends.

    Record the first heartbeat of a draining engine that a node acknowledges.

    Parameters
    ----------
    fleet
        Running fleet.
    host
        Engine.
    session
        HTTP session.
    rng
        Random generator.
    """
    acknowledged_id = ""
    while not fleet.is_finished:
        await asyncio.sleep(local_fleet.HEARTBEAT_INTERVAL_MS / 1000)
        engine = host.engine
        if engine is None:
            continue
        state = "draining" if host.is_leaving else "ready"
        node = rng.choice(list(fleet.nodes.values()))
        status = await _call_or_none(
            HEARTBEAT_TIMEOUT_S,
            lambda e=engine, n=node, s=state: standins.send_heartbeat(
                e, session, _control_address(n), s
            ),
        )
        if (
            status == 200
            and state == "draining"
            and acknowledged_id != engine.upstream_id
        ):
            acknowledged_id = engine.upstream_id
            fleet.record(
                observations.DrainAcknowledged(
                    acknowledged_id, local_fleet.now_ms()
                )
            )


async def submit_first_document(
    fleet: local_fleet.Fleet, session: aiohttp.ClientSession
) -> None:
    """Submit a document until the first node accepts it.

    Parameters
    ----------
    fleet
        Fleet that has been started.
    session
        HTTP session.

    Raises
    ------
    TimeoutError
        When the fleet accepts none within `START_TIMEOUT_S`.
    """
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await _submit_document(
            fleet, session, next(iter(fleet.nodes)), 1
        ):
            await asyncio.sleep(OPERATOR_PAUSE_S)


async def _submit_change(fleet, session, name: str) -> None:
    """Submit a document with one more route."""
    fleet.last_version += 1
    version = fleet.last_version
    body = fleet.make_body(version)
    fields = msgspec.json.decode(body)
    fields["routes"].append(
        standins.make_route_fields(f"/added-{version}/", "svc-app")
    )
    await _submit_body(
        fleet, session, name, version, msgspec.json.encode(fields)
    )


async def _submit_document(fleet, session, name: str, version: int) -> bool:
    body = fleet.make_body(version)
    return await _submit_body(fleet, session, name, version, body)


async def _submit_body(
    fleet, session, name: str, version: int, body: bytes
) -> bool:
    status = await _call_or_none(
        OPERATOR_TIMEOUT_S,
        lambda: standins.submit_document(
            session, _control_address(fleet.nodes[name]), body
        ),
    )
    if status == 200:
        fleet.record(
            observations.DocumentAccepted(version, body, local_fleet.now_ms())
        )
    return status == 200


async def _run_operator(fleet: local_fleet.Fleet, session, rng) -> None:
    """Submit documents and read them back, each at a random node."""
    names = list(fleet.nodes)
    while not fleet.is_finished:
        await asyncio.sleep(rng.uniform(0, 2 * OPERATOR_PAUSE_S))
        fleet.last_version += rng.randint(1, 3)
        version = fleet.last_version
        for _ in range(rng.randint(1, 3)):
            if await _submit_document(
                fleet, session, rng.choice(names), version
            ):
                break
        await _read_document(fleet, session, rng.choice(names), False)


async def _read_document(fleet, session, name: str, is_last: bool) -> bool:
    sent_ms = local_fleet.now_ms()
    response = await _call_or_none(
        OPERATOR_TIMEOUT_S,
        lambda: standins.read_document(
            session, _control_address(fleet.nodes[name])
        ),
    )
    if response is None or response[0] != 200:
        return False
    version = msgspec.json.decode(response[1])["version"]
    fleet.record(
        observations.DocumentRead(version, response[1], sent_ms, is_last)
    )
    return True


async def _submit_final(fleet: local_fleet.Fleet, session) -> None:
    """Submit a document until it is accepted, at one node after the other."""
    names = itertools.cycle(fleet.nodes)
    async with asyncio.timeout(FINAL_TIMEOUT_S):
        while not await _submit_document(
            fleet, session, next(names), FINAL_VERSION
        ):
            await asyncio.sleep(OPERATOR_PAUSE_S)


async def _read_final(fleet: local_fleet.Fleet, session) -> None:
    """Read the document at each node after all faults have been cleared."""
    async with asyncio.timeout(FINAL_TIMEOUT_S):
        for name in fleet.nodes:
            while not await _read_document(fleet, session, name, True):
                await asyncio.sleep(OPERATOR_PAUSE_S)


async def send_evenly(
    fleet: local_fleet.Fleet,
    session: aiohttp.ClientSession,
    rng: random.Random,
    kind: CallKind,
    prefix: str,
    interval_s: float,
) -> None:
    """Send requests at a fixed rate until the soak ends.

    Parameters
    ----------
    fleet, session, rng, kind
        As for `send_recorded`.
    prefix
        Start of the ids of the requests.
    interval_s
        Time from one request to the next in seconds.
    """
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if fleet.is_finished:
                return
            group.create_task(
                send_recorded(fleet, session, rng, kind, f"{prefix}{number}")
            )
            await asyncio.sleep(interval_s)


async def _run_caller(
    fleet: local_fleet.Fleet,
    name: str,
    rng,
    kinds: tuple[CallKind, ...],
    backoff_s: float,
) -> None:
    """Send one request after another to random nodes, reusing connections."""
    async with aiohttp.ClientSession() as session:
        count = 0
        while not fleet.is_finished:
            count += 1
            kind = rng.choice(kinds)
            content = rng.choice((b"", POPULAR_BODY))
            parts = rng.choice(SOUND_PARTS)
            status = await send_recorded(
                fleet, session, rng, kind, f"{name}-{count}", content, parts
            )
            pause_s = rng.uniform(0, 2 * CALL_PAUSE_S)
            await asyncio.sleep(pause_s if status else pause_s + backoff_s)


async def _run_fatal_caller(fleet, name: str, kind: CallKind, rng) -> None:
    """Send the same fatal request to random nodes until the soak is over."""
    content = standins.FATAL_PREFIX + name.encode()
    async with aiohttp.ClientSession() as session:
        count = 0
        while not fleet.is_finished:
            count += 1
            await send_recorded(
                fleet, session, rng, kind, f"{name}-{count}", content
            )
            await asyncio.sleep(FATAL_PAUSE_S)


async def _run_deadly_caller(fleet, name: str, rng) -> None:
    """Send prompts of which one part crashes engines until the soak is over.

    Sound prompts share their other parts.
    """
    deadly = standins.DEADLY_PREFIX + name
    async with aiohttp.ClientSession() as session:
        count = 0
        while not fleet.is_finished:
            count += 1
            parts = (*rng.choice(SOUND_PARTS), deadly)
            await send_recorded(
                fleet, session, rng, TALK, f"{name}-{count}", b"", parts
            )
            await asyncio.sleep(FATAL_PAUSE_S)


async def send_recorded(
    fleet: local_fleet.Fleet,
    session: aiohttp.ClientSession,
    rng: random.Random,
    kind: CallKind,
    request_id: str,
    content: bytes = b"",
    parts: tuple = (standins.FIRST_PART,),
) -> int:
    """Send a request to a random node and record both ends of it.

    Parameters
    ----------
    fleet
        Running fleet.
    session
        HTTP session.
    rng
        Random generator.
    kind
        Kind of the request.
    request_id, content, parts
        As for `standins.send_request`.

    Returns
    -------
    int
        As `AnswerReceived.status`.
    """
    node = rng.choice(list(fleet.nodes.values()))
    fleet.record(
        observations.RequestSent(
            request_id,
            node.name,
            kind.may_repeat,
            local_fleet.now_ms(),
            kind.service,
            kind.max_attempts,
            DEADLINE_MS,
        )
    )
    answer = await _send_request(
        session, node, kind.path, request_id, kind.model, content, parts
    )
    fleet.record(answer)
    return answer.status


async def _send_request(
    session, node: local_fleet.Host, path, request_id, model, content, parts
) -> observations.AnswerReceived:
    endpoint = f"{node.address}:{local_fleet.FRONT_PORT}"
    status, is_whole, owner, error, leaving_id = 0, False, "", "", ""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reply = await standins.send_request(
                session,
                endpoint,
                path,
                request_id,
                DEADLINE_MS,
                model,
                content,
                parts,
            )
        status, is_whole = reply.status, reply.is_whole
        owner, error = reply.echoed_id, reply.error
        leaving_id = reply.leaving_id
    except (TimeoutError, aiohttp.ClientError, OSError):
        # Recorded with status 0: after a broken connection or a timeout the
        # request may have run or not, and the checks allow both.
        pass
    return observations.AnswerReceived(
        request_id,
        status,
        is_whole,
        owner,
        local_fleet.now_ms(),
        error,
        leaving_id,
    )
