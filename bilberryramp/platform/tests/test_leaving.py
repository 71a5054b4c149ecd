"""Tests of upstreams that say in an answer that they are leaving."""

import asyncio
import dataclasses
import unittest

import aiohttp

from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.platform import engine_orders as order_wire
from bilberryramp.platform.tests import builders
from bilberryramp.tasks import engine_orders, mailbox
from bilberryramp.tasks.tests import builders as task_builders

REQUEST_COUNT = 30
# Far longer than the deadline of the requests in these tests.
TEST_TIMEOUT_S = 60


class LeavingAnswerTest(unittest.IsolatedAsyncioTestCase):
    # Guards against requests to an upstream whose answers have said that it
    # is leaving, while its heartbeats say so late or never.

    async def asyncSetUp(self):
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    async def start(self, answer, leaver_count=1):
        """Start three upstreams, the first of which leave."""
        self.servers = [
            await task_builders.start_faulty_server(
                self,
                answer if number < leaver_count else builders.platform_answer,
            )
            for number in range(3)
        ]
        self.addresses = [f"127.0.0.1:{s.port}" for s in self.servers]
        self.front, self.port = await builders.start_frontend(
            self, self.addresses
        )

    async def call(self, number):
        request_id = f"q{number}"
        return await builders.call_frontend(
            self.client, self.port, request_id, "/again/x"
        )

    async def call_until_seen(self, server):
        """Send requests until one reaches a server; return its number."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            number = 0
            while not server.requests:
                await self.call(number)
                number += 1
        return number

    def announce(self, **changes):
        announcement = task_builders.make_announcement(0, self.addresses[0])
        mailbox.post_now(
            self.front.gateway.inbox,
            dataclasses.replace(announcement, **changes),
        )

    async def test_any_answer_that_says_so_ends_the_requests(self):
        for answer in builders.LEAVING_ANSWERS:
            with self.subTest(answer=answer.__name__):
                await self.start(answer)
                leaver = self.servers[0]
                number = await self.call_until_seen(leaver)
                for later in range(number, number + REQUEST_COUNT):
                    status, _, _ = await self.call(later)
                    self.assertEqual(status, 200)
                self.assertEqual(len(leaver.requests), 1)

    async def test_saying_it_once_is_enough(self):
        def answer(request):
            leaver = self.servers[0]
            if len(leaver.requests) == 1:
                return builders.leaving_answer(request)
            return builders.platform_answer(request)

        await self.start(answer)
        number = await self.call_until_seen(self.servers[0])
        # A heartbeat that still says that the upstream is ready.
        self.announce(seq=2)
        for later in range(number, number + REQUEST_COUNT):
            await self.call(later)
        self.assertEqual(len(self.servers[0].requests), 1)

    async def test_a_later_start_under_the_same_id_gets_requests(self):
        await self.start(builders.leaving_answer)
        leaver = self.servers[0]
        number = await self.call_until_seen(leaver)
        leaver.answer = builders.platform_answer
        self.announce(born_ms=2)
        for later in range(number, number + REQUEST_COUNT):
            await self.call(later)
        self.assertGreater(len(leaver.requests), 1)

    async def test_requests_are_refused_once_all_upstreams_leave(self):
        await self.start(builders.leaving_answer, leaver_count=3)
        statuses = [(await self.call(number))[0] for number in range(6)]
        self.assertEqual(statuses, [200, 200, 200, 503, 503, 503])


class EngineCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_to_orders_and_reports_are_read_for_it(self):
        for answer, expected in (
            (builders.leaving_answer, 1),
            (builders.platform_answer, 0),
        ):
            server = await task_builders.start_faulty_server(self, answer)
            for call in (
                agent.ReadEngine(0),
                agent.SendOrder("u1", True, "m0", "", 0, 1),
            ):
                with self.subTest(call=call, expected=expected):
                    notices = await self.perform(server.port, call)
                    self.assertEqual(len(notices), expected)

    async def perform(self, port, call):
        notices = []
        ended = asyncio.get_running_loop().create_future()
        async with engine_orders.open_session() as session:
            start_call = engine_orders.make_engine_caller(
                session, order_wire, "n1"
            )
            start_call(
                f"127.0.0.1:{port}",
                call,
                ended.set_result,
                lambda: notices.append(True),
            )
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await ended
        return notices


if __name__ == "__main__":
    unittest.main()
