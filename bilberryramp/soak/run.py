"""Plays one soak: callers, an operator, heartbeats and faults at once."""

import asyncio
import dataclasses
import pathlib
import random
from collections.abc import Callable

import aiohttp
import msgspec

from bilberryramp.platform import standins
from bilberryramp.soak import fleet, observations, schedule

__all__ = ["Plan", "play"]

CALLERS = 6
CALL_PAUSE_S = 0.03
DEADLINE_MS = 3000
# A caller gives up this much after the deadline that it told.
CALL_TIMEOUT_S = 4.0
OPERATOR_PAUSE_S = 0.3
OPERATOR_TIMEOUT_S = 1.0
BEAT_TIMEOUT_S = 1.0
# How long the first start, and the end after all has healed, may take.
START_S = 90.0
SETTLE_S = 5.0
END_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What a soak plays.

    Attributes
    ----------
    slot
        Picks its addresses on the loopback.
    length_ms
        The time in which faults begin.
    """

    seed: int
    slot: int
    length_ms: int
    core: int = 3
    others: int = 2


async def play(plan: Plan, folder: pathlib.Path) -> observations.History:
    """Play a soak from the first start to the last stop.

    Parameters
    ----------
    plan
        Seed, addresses and size.
    folder
        An empty folder for settings, data and logs.

    Returns
    -------
    History
        All that was seen.
    """
    history = observations.History()
    rng = random.Random(plan.seed)
    made = fleet.make_fleet(
        plan.slot, folder, history.events.append, plan.core, plan.others
    )
    try:
        await _play_all(made, plan, rng)
    finally:
        await fleet.kill_programs(made)
    return history


async def _play_all(made: fleet.Fleet, plan: Plan, rng) -> None:
    await fleet.start_fleet(made)
    async with aiohttp.ClientSession() as session:
        world = [
            asyncio.create_task(_beat(made, host, session, rng))
            for host in made.engines.values()
        ]
        await _first_document(made, session)
        world.append(asyncio.create_task(_operate(made, session, rng)))
        world += [
            asyncio.create_task(_call(made, f"{plan.seed}-{number}", rng))
            for number in range(CALLERS)
        ]
        await _play_faults(made, plan)
        await fleet.clear_faults(made)
        await asyncio.sleep(SETTLE_S)
        made.is_finished = True
        await asyncio.gather(*world)
        await _read_last(made, session)
    await fleet.stop_fleet(made)


async def _play_faults(made: fleet.Fleet, plan: Plan) -> None:
    names = list(made.nodes)
    faults = schedule.draw(
        plan.seed,
        plan.length_ms,
        names[: plan.core],
        names,
        list(made.engines),
    )
    started_ms = fleet.now_ms()
    async with asyncio.TaskGroup() as group:
        for drawn in faults:
            fault = dataclasses.replace(
                drawn,
                from_ms=started_ms + drawn.from_ms,
                to_ms=started_ms + drawn.to_ms,
            )
            wait_ms = fault.from_ms - fleet.now_ms()
            await asyncio.sleep(max(wait_ms, 0) / 1000)
            group.create_task(fleet.inject(made, fault))


def _control(host: fleet.Host) -> str:
    return f"{host.address}:{fleet.CONTROL_PORT}"


async def _quietly(limit_s: float, ask: Callable):
    """Await a call; None when it fails, as calls do during faults."""
    try:
        async with asyncio.timeout(limit_s):
            return await ask()
    except (TimeoutError, aiohttp.ClientError, OSError):
        return None


# Engines.


async def _beat(made, host: fleet.Host, session, rng) -> None:
    """Announce an engine to any node, as often as the settings say."""
    told = ""
    while not made.is_finished:
        await asyncio.sleep(fleet.HEARTBEAT_INTERVAL_MS / 1000)
        engine = host.engine
        if engine is None:
            continue
        state = "draining" if host.is_leaving else "ready"
        node = rng.choice(list(made.nodes.values()))
        status = await _quietly(
            BEAT_TIMEOUT_S,
            lambda e=engine, n=node, s=state: standins.beat(
                e, session, _control(n), s
            ),
        )
        if (
            status == 200
            and state == "draining"
            and told != engine.upstream_id
        ):
            told = engine.upstream_id
            made.record(observations.DrainAcknowledged(told, fleet.now_ms()))


# The operator.


async def _first_document(made: fleet.Fleet, session) -> None:
    async with asyncio.timeout(START_S):
        while not await _submit(made, session, next(iter(made.nodes)), 1):
            await asyncio.sleep(OPERATOR_PAUSE_S)


async def _submit(made, session, name: str, version: int) -> bool:
    body = standins.make_config(version)
    status = await _quietly(
        OPERATOR_TIMEOUT_S,
        lambda: standins.put_config(session, _control(made.nodes[name]), body),
    )
    if status == 200:
        made.record(
            observations.DocumentAccepted(version, body, fleet.now_ms())
        )
    return status == 200


async def _operate(made: fleet.Fleet, session, rng) -> None:
    """Submit documents and read them back, each at any node."""
    version = 1
    names = list(made.nodes)
    while not made.is_finished:
        await asyncio.sleep(rng.uniform(0, 2 * OPERATOR_PAUSE_S))
        version += rng.randint(1, 3)
        for _ in range(rng.randint(1, 3)):
            if await _submit(made, session, rng.choice(names), version):
                break
        await _read(made, session, rng.choice(names), False)


async def _read(made, session, name: str, is_last: bool) -> bool:
    sent_ms = fleet.now_ms()
    found = await _quietly(
        OPERATOR_TIMEOUT_S,
        lambda: standins.read_config(session, _control(made.nodes[name])),
    )
    if found is None or found[0] != 200:
        return False
    version = msgspec.json.decode(found[1])["version"]
    made.record(observations.DocumentRead(version, found[1], sent_ms, is_last))
    return True


async def _read_last(made: fleet.Fleet, session) -> None:
    """Read the document at each node after all has healed."""
    async with asyncio.timeout(END_S):
        for name in made.nodes:
            while not await _read(made, session, name, True):
                await asyncio.sleep(OPERATOR_PAUSE_S)


# Callers.


async def _call(made: fleet.Fleet, name: str, rng) -> None:
    """Ask for one thing after the other, on connections that are kept."""
    kinds = (
        ("/talk/x", "m0", False),
        ("/file/x", "", False),
        ("/look/x", "", True),
    )
    async with aiohttp.ClientSession() as session:
        count = 0
        while not made.is_finished:
            count += 1
            path, model, may_repeat = rng.choice(kinds)
            node = rng.choice(list(made.nodes.values()))
            request_id = f"{name}-{count}"
            sent = observations.RequestSent(
                request_id, node.name, may_repeat, fleet.now_ms()
            )
            made.record(sent)
            made.record(
                await _one_call(session, node, path, request_id, model)
            )
            await asyncio.sleep(rng.uniform(0, 2 * CALL_PAUSE_S))


async def _one_call(
    session, node: fleet.Host, path: str, request_id: str, model: str
) -> observations.AnswerReceived:
    at = f"{node.address}:{fleet.FRONT_PORT}"
    status, is_whole, owner = 0, False, ""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reply = await standins.call(
                session, at, path, request_id, DEADLINE_MS, model
            )
        status, is_whole, owner = reply.status, reply.is_whole, reply.owner
    except (TimeoutError, aiohttp.ClientError, OSError):
        # A broken connection promises nothing; the checks look at the rest.
        pass
    return observations.AnswerReceived(
        request_id, status, is_whole, owner, fleet.now_ms()
    )
