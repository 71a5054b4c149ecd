"""Tests of a node's process with crowds of clients that nobody controls."""

import asyncio
import contextlib
import functools

import aiohttp

from bilberryramp.platform import standins
from bilberryramp.platform.tests import (
    builders,
    client_crowds,
    node_process,
)

# Limits of the machine, and of a body, far below those of a real fleet.
MEMORY_MB = 160
MAX_DESCRIPTORS = 300
MAX_BODY_BYTES = 1_000_000
LARGE_BODY_BYTES = 4 * 2**20
# Clients whose bodies together exceed the memory, and whose connections
# together exceed the descriptors.
BODY_CLIENTS = 200
CONNECTION_CLIENTS = 400
# A caller follows a refusal with a new request, on a new connection.
CALLER_ATTEMPTS = 20
CALLER_PAUSE_S = 0.25
CALLER_TIMEOUT_S = 10


class CrowdCase(node_process.NodeProcessCase):
    """Starts a node with small limits, and keeps its engines known to it."""

    settings = {"memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS}
    max_body_bytes = MAX_BODY_BYTES

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.node = await self.prepare_node()
        body = builders.make_document_body(
            version=4, limits={"maxBodyBytes": self.max_body_bytes}
        )
        self.assertEqual(await self.submit_document(body), 200)
        heartbeats = asyncio.create_task(self.send_heartbeats())
        self.addCleanup(heartbeats.cancel)
        self.usage = client_crowds.Usage()
        measuring = asyncio.create_task(
            client_crowds.measure(
                self.node_process.pid, self.ports.values(), self.usage
            )
        )
        self.addCleanup(measuring.cancel)

    async def send_heartbeats(self):
        while True:
            for engine in (self.engine_upstream, self.plain_upstream):
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await standins.send_heartbeat(
                        engine, self.session, self.node
                    )
            await asyncio.sleep(0.3)

    async def call(self, request_id, body=b"it"):
        """Send a request on a new connection; return status and answer."""
        async with (
            asyncio.timeout(CALLER_TIMEOUT_S),
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            ) as session,
            session.post(
                self.url_of("front", "/look/x"),
                data=body,
                headers={
                    "Host": "h.example",
                    "X-Bilberryramp-Request-Id": request_id,
                    "X-Bilberryramp-Deadline-Ms": "5000",
                },
            ) as resp,
        ):
            return resp.status, await resp.read()

    async def assert_answered(self, name):
        """Check that an ordinary caller, who retries, has its answer."""
        seen = []
        for number in range(CALLER_ATTEMPTS):
            try:
                status, answer = await self.call(f"{name}-{number}")
            except (aiohttp.ClientError, TimeoutError) as exc:
                status, answer = repr(exc), b""
            if status == 200:
                self.assertEqual(answer.rstrip(), b"did it")
                return
            seen.append(status)
            await asyncio.sleep(CALLER_PAUSE_S)
        self.fail(f"no answer {name}: {seen}")

    def assert_alive(self):
        self.assertIsNone(self.node_process.returncode)

    def assert_within_limits(self):
        with self.subTest("memory"):
            self.assertLessEqual(self.usage.held_bytes, MEMORY_MB * 10**6)
        with self.subTest("descriptors"):
            self.assertLessEqual(self.usage.descriptors, MAX_DESCRIPTORS)


class ClientCrowdTest(CrowdCase):
    """A crowd costs a bounded amount, and ordinary callers are answered."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.crowd = client_crowds.Crowd(self.ports["front"])
        self.addAsyncCleanup(client_crowds.end, self.crowd)

    def gather(self, count, form, *args, reconnects=0):
        client_crowds.gather(
            self.crowd,
            count,
            functools.partial(form, *args),
            reconnects,
        )

    async def check(self):
        """Let the crowd settle, and check what is promised meanwhile."""
        await client_crowds.settle(self.crowd)
        self.assert_alive()
        with self.subTest("ordinary request beside the crowd"):
            await self.assert_answered("beside")
        self.assert_alive()
        await client_crowds.end(self.crowd)
        with self.subTest("ordinary request after the crowd"):
            await self.assert_answered("after")
        self.assert_alive()
        self.assert_within_limits()

    async def test_bodies_short_of_their_end(self):
        self.gather(
            BODY_CLIENTS, client_crowds.bodies, "/look/x", MAX_BODY_BYTES
        )
        await self.check()

    async def test_bodies_in_pieces_short_of_their_end(self):
        self.gather(
            BODY_CLIENTS,
            client_crowds.bodies_in_pieces,
            "/look/x",
            MAX_BODY_BYTES,
        )
        await self.check()

    async def test_bodies_in_chunks_short_of_their_end(self):
        self.gather(
            BODY_CLIENTS,
            client_crowds.bodies_in_chunks,
            "/look/x",
            MAX_BODY_BYTES,
        )
        await self.check()

    async def test_new_connections_for_those_that_were_closed(self):
        self.gather(
            BODY_CLIENTS,
            client_crowds.bodies_in_pieces,
            "/look/x",
            MAX_BODY_BYTES,
            reconnects=3,
        )
        await self.check()

    async def test_whole_bodies_at_once(self):
        """All are legal requests, and their engine takes its time."""
        self.plain_upstream.service_time_s = 2
        self.gather(
            BODY_CLIENTS,
            client_crowds.requests_ahead,
            "/look/x",
            MAX_BODY_BYTES,
            1,
        )
        await client_crowds.settle(self.crowd)
        self.plain_upstream.service_time_s = 0
        await self.check()

    async def test_small_requests_sent_ahead(self):
        self.plain_upstream.answer_bytes = 64_000
        self.gather(10, client_crowds.requests_ahead, "/look/x", 2, 6000)
        await self.check()

    async def test_requests_without_bodies_sent_ahead(self):
        self.gather(10, client_crowds.requests_ahead, "/look/x", 0, 6000)
        await self.check()

    async def test_larger_requests_sent_ahead(self):
        self.gather(20, client_crowds.requests_ahead, "/look/x", 200_000, 100)
        await self.check()

    async def test_largest_requests_sent_ahead(self):
        self.gather(
            60, client_crowds.requests_ahead, "/look/x", MAX_BODY_BYTES, 4
        )
        await self.check()

    async def test_large_answers_never_read(self):
        self.plain_upstream.answer_bytes = MAX_BODY_BYTES
        self.gather(
            BODY_CLIENTS, client_crowds.requests_ahead, "/look/x", 2, 1
        )
        await self.check()

    async def test_streams_never_read(self):
        """Each event holds the request's body."""
        self.plain_upstream.streams_plain = True
        self.gather(
            BODY_CLIENTS, client_crowds.requests_ahead, "/file/x", 600_000, 1
        )
        await client_crowds.settle(self.crowd)
        self.plain_upstream.streams_plain = False
        await self.check()

    async def test_heads_without_end(self):
        self.gather(BODY_CLIENTS, client_crowds.endless_heads, "/look/x", 100)
        await self.check()

    async def test_trailers_without_end(self):
        self.gather(
            BODY_CLIENTS, client_crowds.endless_trailers, "/look/x", 100
        )
        await self.check()

    async def test_begun_heads_on_many_connections(self):
        self.gather(CONNECTION_CLIENTS, client_crowds.begun_heads, "/look/x")
        await self.check()

    async def test_silence_on_many_connections(self):
        self.gather(CONNECTION_CLIENTS, client_crowds.silence)
        await self.check()

    async def test_all_forms_at_once(self):
        for form, *args in (
            (client_crowds.bodies, MAX_BODY_BYTES),
            (client_crowds.bodies_in_pieces, MAX_BODY_BYTES),
            (client_crowds.bodies_in_chunks, MAX_BODY_BYTES),
            (client_crowds.requests_ahead, 200_000, 20),
            (client_crowds.endless_heads, 100),
            (client_crowds.begun_heads,),
        ):
            self.gather(50, form, "/look/x", *args, reconnects=2)
        self.gather(4, client_crowds.requests_ahead, "/look/x", 2, 3000)
        self.gather(50, client_crowds.silence)
        await self.check()


class CalmTest(CrowdCase):
    """A single request inside the limits is served without a crowd."""

    max_body_bytes = LARGE_BODY_BYTES

    async def test_largest_request(self):
        body = b"y" * LARGE_BODY_BYTES
        status, answer = await self.call("calm", body)
        self.assertEqual((status, answer), (200, b"did " + body))
        self.assert_alive()
        self.assert_within_limits()

    async def test_largest_request_in_chunks(self):
        async def pieces():
            for _ in range(64):
                yield b"y" * (LARGE_BODY_BYTES // 64)

        status, answer = await self.call("calm", pieces())
        self.assertEqual(status, 200)
        self.assertEqual(len(answer), len(b"did ") + LARGE_BODY_BYTES)
        self.assert_alive()
        self.assert_within_limits()
