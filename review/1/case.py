"""Two contents under one version, the leader cut off, then joined again."""

import asyncio
import pathlib
import time

import aiohttp

from bilberryramp.platform import standins
from review.common import fleet as fleets

ROUNDS = 3
CUT_S = 4.0
STABLE_S = 3.0
APPLY_S = 2.0
PROBES = 3


def document(version: int, service: str) -> bytes:
    """Make a configuration whose route /file/ leads to a service."""
    names = ("svc-app", "svc-a", "svc-b")
    return standins.make_document_body(
        version,
        [standins.make_route_fields("/file/", service, kind="non_idempotent")],
        services=[
            {"name": name, "healthPath": "/h", "maxConns": 50}
            for name in names
        ],
    )


async def probe(fleet, node, version: int, turn: int) -> str:
    """Send a request to a node; return the service that ran it."""
    request_id = f"v{version}-{node.name}-{turn}"
    try:
        answer = await standins.send_request(
            fleet.session, node.front, "/file/1", request_id, 4000
        )
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        fleet.note(f"client {request_id}: {exc!r}")
        return ""
    ran = [
        engine.service
        for engine in fleet.engines
        if request_id in engine.executed_ids
    ]
    fleet.note(
        f"client sent {request_id} to {node.name}: {answer.status}, run by "
        f"{ran}"
    )
    return ran[0] if ran else ""


async def play_round(fleet, version: int, has_trouble: bool) -> bool:
    """Return whether a node obeys the content that is not in force."""
    leader = await fleets.find_leader(fleet)
    others = [node for node in fleet.nodes if node is not leader]
    first, second = document(version, "svc-a"), document(version, "svc-b")
    fleet.note(f"{leader.name} leads")
    if has_trouble:
        fleets.cut(fleet, leader)
        fleet.note(f"{leader.name} is cut off from the other nodes")
    began_s = time.monotonic()

    async def first_operator() -> int:
        await fleets.put(fleet, leader, first)
        return await fleets.put_until_clear(
            fleet, others, first, f"version {version} (svc-a)", 8
        )

    acks = await asyncio.gather(
        first_operator(),
        fleets.put_until_clear(
            fleet, others, second, f"version {version} (svc-b)", 8
        ),
    )
    if acks != [200, 200]:
        raise fleets.CannotRunError(f"the operators got {acks}")
    await asyncio.sleep(max(began_s + CUT_S - time.monotonic(), 0))
    fleets.heal(fleet)
    fleet.note("the cut has ended")
    await asyncio.sleep(STABLE_S + APPLY_S + 1)
    held = set()
    for node in fleet.nodes:
        status, doc = await fleets.read(fleet, node)
        service = doc["routes"][0]["service"] if doc else None
        fleet.note(f"{node.name} reads {status}, {service}")
        if doc is not None:
            if doc["version"] != version:
                raise fleets.CannotRunError("another version is held")
            held.add(service)
    if len(held) != 1:
        return len(held) > 1
    obeyed = set()
    for turn in range(PROBES):
        for node in fleet.nodes:
            obeyed.add(await probe(fleet, node, version, turn))
    obeyed.discard("")
    fleet.note(f"version {version}: held {held}, obeyed {obeyed}")
    return bool(obeyed - held)


async def case(fleet, has_trouble: bool) -> bool:
    """Play rounds until the rule is broken."""
    await fleets.put_first(fleet, document(10, "svc-app"))
    for number, service in enumerate(("svc-app", "svc-a", "svc-b"), 1):
        await fleets.add_service(fleet, service, number)
    await fleets.wait_ready(fleet)
    # Until the nodes have settled who orders engines.
    await asyncio.sleep(6)
    for turn in range(ROUNDS):
        if await play_round(fleet, 20 + 10 * turn, has_trouble):
            return True
    return False


if __name__ == "__main__":
    fleets.run(case, str(pathlib.Path(__file__).parent))
