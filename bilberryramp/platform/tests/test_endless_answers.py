"""Tests of upstreams that send a node bytes without end, at full speed."""

import asyncio
import unittest

import aiohttp

from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.decisions.fleet.routing import health
from bilberryramp.platform import engine_orders as order_wire
from bilberryramp.platform.tests import builders
from bilberryramp.tasks import answer_limits, engine_orders, fleet_frontend
from bilberryramp.tasks.tests import builders as task_builders

MAX_ANSWER_BYTES = 2**20
# What may be parsed beside a body: the bounds of heads and framing.
MAX_OTHER_BYTES = 4 * (
    answer_limits.MAX_HEAD_BYTES + answer_limits.FRAMING_ALLOWANCE_BYTES
)
# Buffers of the connections to the upstream and to the client.
BUFFER_BYTES = 2**20
BYSTANDER_COUNT = 20
# Faults that only the bounds on an answer end, not the parser.
EXCESSIVE_FAULTS = (
    "endless_informational",
    "endless_body",
    "endless_sized_body",
    "endless_chunks",
    "endless_chunk_extension",
)
# Far longer than the deadline of the requests in these tests.
TEST_TIMEOUT_S = 60


class FrontendTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an upstream whose bytes without end take the time of all
    # requests of a node.

    async def asyncSetUp(self):
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    async def start(self, fault, has_sound=True):
        """Start a faulty and a sound upstream and a front end."""
        self.servers = [
            await task_builders.start_faulty_server(
                self, builders.platform_answer
            )
            for _ in range(1 + has_sound)
        ]
        self.servers[0].fault = fault
        _, self.port = await builders.start_frontend(
            self,
            [f"127.0.0.1:{server.port}" for server in self.servers],
            max_answer_bytes=MAX_ANSWER_BYTES,
        )

    async def call(self, request_id, path="/again/x"):
        return await builders.call_frontend(
            self.client, self.port, request_id, path
        )

    async def test_an_answer_without_end_is_closed_after_few_bytes(self):
        for fault in task_builders.ENDLESS_FAULTS:
            is_body = fault in task_builders.ENDLESS_BODIES
            parsed = task_builders.count_parsed_bytes(self)
            await self.start(fault)
            with self.subTest(fault=fault):
                # Until the faulty upstream has been asked.
                number = 0
                while not self.servers[0].requests:
                    status, _, _ = await self.call(f"q{number}")
                    self.assertEqual(status, 200)
                    number += 1
                await self.wait_closed(self.servers[0])
                limit_bytes = MAX_OTHER_BYTES
                if is_body:
                    limit_bytes += MAX_ANSWER_BYTES + BUFFER_BYTES
                self.assertLess(parsed[0], limit_bytes)

    async def wait_closed(self, server):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not server.closed_by_client:
                await asyncio.sleep(0.01)

    async def test_an_upstream_that_does_so_is_not_asked_each_time(self):
        for fault in task_builders.ENDLESS_FAULTS:
            await self.start(fault)
            with self.subTest(fault=fault):
                statuses = [
                    (await self.call(f"q{number}"))[0]
                    for number in range(BYSTANDER_COUNT)
                ]
                self.assertEqual(statuses, [200] * BYSTANDER_COUNT)
                self.assertLess(
                    len(self.servers[0].requests), BYSTANDER_COUNT // 2
                )

    async def test_the_only_upstream_that_does_so_is_not_asked_each_time(
        self,
    ):
        for fault in EXCESSIVE_FAULTS:
            await self.start(fault, has_sound=False)
            with self.subTest(fault=fault):
                statuses = [
                    (await self.call(f"q{number}", "/once/x"))[0]
                    for number in range(health.BARRING_EXCESSES + 2)
                ]
                self.assertEqual(
                    statuses, [502] * health.BARRING_EXCESSES + [503] * 2
                )

    async def test_a_stream_without_end_is_forwarded_at_a_bounded_rate(self):
        parsed = task_builders.count_parsed_bytes(self)
        server = await task_builders.start_faulty_server(
            self, builders.platform_stream
        )
        server.fault = "endless_events"
        _, port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with self.assertRaises(aiohttp.ClientError):
            await builders.call_frontend(
                self.client,
                port,
                "q1",
                **{"X-Bilberryramp-Deadline-Ms": "1500"},
            )
        await self.wait_closed(server)
        elapsed_s = loop.time() - started_s
        rate_bytes_per_s = (
            fleet_frontend.STREAM_BYTES_PER_S
            + fleet_frontend.FAST_STREAMS_BYTES_PER_S
        )
        body_bytes = (
            fleet_frontend.STREAM_LEAD_BYTES + rate_bytes_per_s * elapsed_s
        )
        # The bytes are counted at the node and at the client, with framing.
        self.assertLess(parsed[0], 3 * body_bytes + 2 * BUFFER_BYTES)


class EngineCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_orders_and_reports_end_after_few_bytes(self):
        for fault in (
            *task_builders.ENDLESS_FAULTS,
            *task_builders.ENDLESS_BODIES,
        ):
            for call in (
                agent.ReadEngine(0),
                agent.SendOrder("u1", True, "m0", "", 0, 1),
            ):
                parsed = task_builders.count_parsed_bytes(self)
                server = await task_builders.start_faulty_server(
                    self, builders.platform_answer
                )
                server.fault = fault
                with self.subTest(fault=fault, call=call):
                    await self.perform(server.port, call)
                    self.assertLess(
                        parsed[0],
                        engine_orders.MAX_ANSWER_BYTES
                        + BUFFER_BYTES
                        + MAX_OTHER_BYTES,
                    )

    async def perform(self, port, call):
        ended = asyncio.get_running_loop().create_future()
        async with engine_orders.open_session() as session:
            start_call = engine_orders.make_engine_caller(
                session, order_wire, "n1"
            )
            start_call(f"127.0.0.1:{port}", call, ended.set_result)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await ended


if __name__ == "__main__":
    unittest.main()
