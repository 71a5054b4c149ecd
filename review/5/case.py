"""A node cut off from the others goes on sending to an engine that leaves."""

import asyncio
import contextlib
import pathlib
import random
import time

import aiohttp
from aiohttp import web

from bilberryramp.platform import standins
from review.common import fleet as fleets

DRAIN_S = 2.0
# "A little longer" than `drainMs` after the confirmation.
LITTLE_LONGER_S = 0.5
# `node_cut`: a single machine is cut off from all others of the system.
CUT_S = 5.0
ROUNDS = 4
ENGINES = 3
WORK_S = 0.09
REQUESTS_PER_S = 25.0
ID_HEADER = "X-Bilberryramp-Request-Id"


class Engine:
    """A plain engine; once it leaves, all its answers say so."""

    def __init__(self, fleet, number: int):
        self.fleet = fleet
        self.standin = standins.Engine(
            f"i-app-{number}",
            "svc-app",
            f"127.{fleet.subnet}.4.{number}:{fleets.ENGINE_PORT}",
            born_ms=time.time_ns() // 1_000_000,
        )
        self.state = "ready"
        self.runs = []
        self.server = None
        self.task = None
        self.factory = None
        self.passed_at_s = None

    async def start(self) -> None:
        """Listen and send check-ins."""
        self.factory = web.Server(self._serve, access_log=None)
        host, _, port = self.standin.address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            self.factory, host, int(port)
        )
        self.task = asyncio.create_task(self._send_check_ins())

    async def _serve(self, request) -> web.Response:
        request_id = request.headers.get(ID_HEADER, "")
        headers = {
            ID_HEADER: request_id,
            "X-Bilberryramp-Server-Signature": f"sig-{self.name}",
        }
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        expected = request.headers.get("X-Bilberryramp-Expected-Instance")
        if expected != self.name:
            return web.Response(status=421, headers=headers)
        body = await request.read()
        self.runs.append((request_id, time.monotonic()))
        if self.state == "draining":
            self.fleet.note(f"{self.name}, leaving, runs {request_id}")
        await asyncio.sleep(WORK_S)
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        return web.Response(body=b"did " + body, headers=headers)

    async def _send_check_ins(self) -> None:
        """Send check-ins to the node that acknowledged the last one."""
        nodes = list(self.fleet.nodes[:-1])
        while True:
            for _ in nodes:
                if await self.check_in(nodes[0]):
                    break
                nodes.append(nodes.pop(0))
            await asyncio.sleep(fleets.HEARTBEAT_S)

    async def check_in(self, node) -> bool:
        """Send one check-in."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(1):
                status = await standins.send_heartbeat(
                    self.standin, self.fleet.session, node.control, self.state
                )
            return status == 200
        return False

    async def leave(self) -> None:
        """Drain: say so in a check-in, serve on, and exit."""
        self.state = "draining"
        if not await self.check_in(self.fleet.nodes[0]):
            raise fleets.CannotRunError("the engine was not acknowledged")
        self.fleet.note(f"n1 acknowledged that {self.name} is draining")
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        self.task.cancel()
        await self.stop()
        self.fleet.note(f"{self.name} exits")

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        for conn in self.factory.connections:
            if conn.transport is not None:
                conn.transport.abort()

    @property
    def name(self) -> str:
        """Id of the engine."""
        return self.standin.upstream_id


async def send_request(fleet, node, request_id, engines, lost) -> None:
    """Send a request; record when an answer said that its engine leaves."""
    headers = {
        "Host": "h.example",
        ID_HEADER: request_id,
        "X-Bilberryramp-Deadline-Ms": "4000",
    }
    url = f"http://{node.front}/file/1"
    status, leaving = 0, False
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with fleet.session.post(url, data=b"x", headers=headers) as resp:
            await resp.read()
            status = resp.status
            leaving = "Server-Leaving" in resp.headers
    ran_at = [e for e in engines if request_id in dict(e.runs)]
    if leaving and ran_at and ran_at[0].passed_at_s is None:
        ran_at[0].passed_at_s = time.monotonic()
        fleet.note(
            f"{node.name} passed on an answer of {ran_at[0].name} with "
            "Server-Leaving"
        )
    if ran_at and status != 200:
        names = [engine.name for engine in ran_at]
        fleet.note(f"{request_id}, run by {names}, was answered {status}")
        lost.append(request_id)


async def play_round(fleet, engines, has_trouble: bool) -> bool:
    """Cut a node off, and let an engine leave meanwhile."""
    node = fleet.nodes[-1]
    lost: list[str] = []
    tasks = set()
    sent_at_s = {}

    async def press() -> None:
        number = 0
        while True:
            number += 1
            request_id = f"q{number}-{random.randrange(16**6):06x}"
            sent_at_s[request_id] = time.monotonic()
            task = asyncio.create_task(
                send_request(fleet, node, request_id, engines, lost)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    traffic = asyncio.create_task(press())
    await asyncio.sleep(0.5)
    if has_trouble:
        fleets.cut(fleet, node)
        fleet.note(f"{node.name} is cut off from the other nodes")
    cut_at_s = time.monotonic()
    await asyncio.sleep(0.3)
    leaver = engines[0]
    await leaver.leave()
    await asyncio.sleep(max(cut_at_s + CUT_S - time.monotonic(), 0))
    fleets.heal(fleet)
    cut_s = time.monotonic() - cut_at_s
    fleet.note(f"the cut has ended, after {cut_s:.2f} s")
    traffic.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    late = [
        request_id
        for request_id, _ in leaver.runs
        if leaver.passed_at_s is not None
        and sent_at_s.get(request_id, 0) > leaver.passed_at_s + DRAIN_S
    ]
    fleet.note(
        f"{len(late)} requests reached {leaver.name} that were sent later "
        f"than drainMs after {node.name} had passed on its Server-Leaving: "
        f"{late}; of all that ran, {len(lost)} got no success"
    )
    return bool(late)


async def case(fleet, has_trouble: bool) -> bool:
    """Play rounds until the rule is broken."""
    document = standins.make_document_body(
        10,
        [
            standins.make_route_fields(
                "/file/", "svc-app", kind="non_idempotent", timeoutMs=4000
            )
        ],
    )
    await fleets.put_first(fleet, document)
    engines = []
    for number in range(1, ENGINES + 1):
        engines.append(Engine(fleet, number))
        await engines[-1].start()
    await fleets.wait_ready(fleet)
    await asyncio.sleep(5)
    broken = False
    for turn in range(ROUNDS):
        broken = await play_round(fleet, engines, has_trouble)
        if broken:
            break
        engines.pop(0)
        engines.append(Engine(fleet, ENGINES + 1 + turn))
        await engines[-1].start()
        await asyncio.sleep(6)
    for engine in engines:
        engine.task.cancel()
        await engine.stop()
    return broken


if __name__ == "__main__":
    fleets.run(case, str(pathlib.Path(__file__).parent), core=3, others=4)
