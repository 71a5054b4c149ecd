"""Tests of upstreams that turn requests away and ask for a pause."""

import asyncio
import dataclasses
import itertools
import random
import unittest

import aiohttp
import multidict

from bilberryramp.decisions.fleet.gateway import call_ends
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.platform import engine_orders as order_wire
from bilberryramp.platform import exchanges
from bilberryramp.platform.tests import builders
from bilberryramp.tasks import engine_orders, mailbox
from bilberryramp.tasks.tests import builders as task_builders

REQUEST_COUNT = 30
# Far longer than the deadline of the requests in these tests.
TEST_TIMEOUT_S = 60
UPSTREAM_COUNT = 3


class PauseCase(unittest.IsolatedAsyncioTestCase):
    """Case with one gateway and plain upstreams, of which the first pauses."""

    async def asyncSetUp(self):
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)
        self.next_number = 0

    async def start(self, *answers):
        """Start upstreams; those without an answer of their own are sound."""
        answers += (builders.platform_answer,) * (
            UPSTREAM_COUNT - len(answers)
        )
        self.servers = [
            await task_builders.start_faulty_server(self, answer)
            for answer in answers
        ]
        self.addresses = [f"127.0.0.1:{s.port}" for s in self.servers]
        self.front, self.port = await builders.start_frontend(
            self, self.addresses
        )

    async def call(self, path="/again/x"):
        """Send a request; return the status and ``Retry-After``."""
        self.next_number += 1
        async with builders.open_call(
            self.client, self.port, f"q{self.next_number}", path
        ) as resp:
            await resp.read()
            return resp.status, resp.headers.get("Retry-After")

    async def call_until_requests(self, count):
        """Send requests until some number has reached the first upstream."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(self.servers[0].requests) < count:
                await self.call()
                await asyncio.sleep(0.005)

    async def call_many(self):
        """Send requests in turn; return their statuses.

        Without a pause, an upstream that was full is used again by then.
        """
        await asyncio.sleep(call_ends.FULL_PAUSE_MS / 1000)
        return [(await self.call())[0] for _ in range(REQUEST_COUNT)]

    def request_count(self):
        return sum(len(server.requests) for server in self.servers)

    def announce(self, **changes):
        announcement = task_builders.make_announcement(0, self.addresses[0])
        mailbox.post_now(
            self.front.gateway.inbox,
            dataclasses.replace(announcement, **changes),
        )


class PausingUpstreamTest(PauseCase):
    # Guards against requests to an upstream during the pause that it asked
    # for, because nothing read the time it stated.

    async def test_it_gets_no_more_requests(self):
        forms = {
            "not executed": builders.NOT_EXECUTED,
            "signed": builders.SIGNED,
            "bare": {},
        }
        for name, headers in forms.items():
            with self.subTest(form=name):
                await self.start(builders.pausing_answer(**headers))
                await self.call_until_requests(1)
                statuses = await self.call_many()
                self.assertEqual(statuses, [200] * REQUEST_COUNT)
                self.assertEqual(len(self.servers[0].requests), 1)

    async def test_pausing_now_and_then_is_enough(self):
        rng = random.Random(1)
        turn_away = builders.pausing_answer(**builders.NOT_EXECUTED)
        turned_away = []

        def answer(request):
            if turned_away or rng.random() > 0.45:
                return builders.platform_answer(request)
            turned_away.append(len(self.servers[0].requests))
            return turn_away(request)

        await self.start(answer)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not turned_away:
                await self.call()
        await self.call_many()
        self.assertEqual(len(self.servers[0].requests), turned_away[0])

    async def test_requests_at_once_end_when_the_first_is_turned_away(self):
        await self.start(builders.pausing_answer(**builders.NOT_EXECUTED))
        await self.call_until_requests(1)
        await asyncio.sleep(call_ends.FULL_PAUSE_MS / 1000)
        results = await asyncio.gather(*(self.call() for _ in range(12)))
        self.assertEqual([status for status, _ in results], [200] * 12)
        self.assertEqual(len(self.servers[0].requests), 1)

    async def test_a_fraction_of_a_second_counts(self):
        await self.start(
            builders.pausing_answer("59.875", **builders.NOT_EXECUTED)
        )
        await self.call_until_requests(1)
        await self.call_many()
        self.assertEqual(len(self.servers[0].requests), 1)

    async def test_it_gets_requests_after_the_pause(self):
        await self.start(
            builders.pausing_answer("0.2", **builders.NOT_EXECUTED)
        )
        await self.call_until_requests(2)

    async def test_heartbeats_do_not_end_the_pause(self):
        await self.start(builders.pausing_answer(**builders.NOT_EXECUTED))
        await self.call_until_requests(1)
        for seq in range(2, 8):
            self.announce(seq=seq)
            await self.call()
        await self.call_many()
        self.assertEqual(len(self.servers[0].requests), 1)

    async def test_a_later_start_under_the_same_id_gets_requests(self):
        await self.start(builders.pausing_answer(**builders.NOT_EXECUTED))
        await self.call_until_requests(1)
        self.servers[0] = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        address = f"127.0.0.1:{self.servers[0].port}"
        self.announce(born_ms=2, address=address)
        await self.call_until_requests(3)

    async def test_a_request_on_its_way_is_not_sent(self):
        await self.start(builders.pausing_answer(**builders.NOT_EXECUTED))
        gate = builders.hold_connections(self.front.session.http)
        count = 4 * UPSTREAM_COUNT
        tasks = [
            asyncio.create_task(self.call("/once/x")) for _ in range(count)
        ]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while sum(map(len, gate.waiting.values())) < count:
                await asyncio.sleep(0.005)
            first, *late = gate.waiting.pop(self.servers[0].port)
            self.assertTrue(late)
            gate.is_open = True
            for event in (first, *itertools.chain(*gate.waiting.values())):
                event.set()
            # The first request was turned away and sent once more.
            while self.request_count() < count - len(late) + 1:
                await asyncio.sleep(0.005)
            for event in late:
                event.set()
            results = await asyncio.gather(*tasks)
        self.assertEqual({status for status, _ in results}, {200})
        self.assertEqual(len(self.servers[0].requests), 1)


class AllPauseTest(PauseCase):
    async def test_requests_are_refused_at_once(self):
        await self.start(
            *(
                builders.pausing_answer(seconds, **builders.NOT_EXECUTED)
                for seconds in ("600", "600", str(builders.PAUSE_S))
            )
        )
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not all(server.requests for server in self.servers):
                await self.call()
        for _ in range(REQUEST_COUNT):
            status, retry_after = await self.call()
            self.assertEqual(status, 503)
            self.assertGreater(float(retry_after), 0)
            self.assertLessEqual(float(retry_after), builders.PAUSE_S)
        self.assertEqual([len(s.requests) for s in self.servers], [1, 1, 1])


class OtherAnswerTest(PauseCase):
    # Guards against upstreams that get no requests though they asked for no
    # pause.

    async def test_values_without_a_time_ask_for_none(self):
        for value in (
            "0",
            "-5",
            "nan",
            "inf",
            "soon",
            "Fri, 31 Dec 2999 23:59:59 GMT",
        ):
            with self.subTest(value=value):
                await self.start(
                    builders.pausing_answer(value, **builders.NOT_EXECUTED)
                )
                await self.call_until_requests(3)

    async def test_other_statuses_ask_for_none(self):
        for status, headers in (
            ("200 OK", builders.SIGNED),
            ("429 Too Many Requests", builders.NOT_EXECUTED),
            ("500 Failed", builders.SIGNED),
            ("502 Bad Gateway", builders.SIGNED),
        ):
            with self.subTest(status=status):
                await self.start(
                    builders.pausing_answer(status=status, **headers)
                )
                await self.call_until_requests(3)

    async def test_an_answer_to_another_request_asks_for_none(self):
        await self.start(builders.pausing_answer(echoed_id="other"))
        await self.call_until_requests(3)


class PauseHeaderTest(unittest.TestCase):
    def test_only_a_503_asks_for_a_pause(self):
        headers = multidict.CIMultiDict({"retry-after": "1.5"})
        for module in (exchanges, order_wire):
            self.assertEqual(module.pause_ms(503, headers), 1500)
            for status in (200, 429, 500, 502, 504):
                self.assertEqual(module.pause_ms(status, headers), 0)


class EngineCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_to_orders_and_reports_are_read_for_it(self):
        for answer, expected in (
            (builders.pausing_answer("7"), [7000]),
            (builders.pausing_answer("7", "200 OK"), []),
            (builders.platform_answer, []),
        ):
            server = await task_builders.start_faulty_server(self, answer)
            for call in (
                agent.ReadEngine(0),
                agent.SendOrder("u1", True, "m0", "", 0, 1),
            ):
                with self.subTest(call=call, expected=expected):
                    noted = await self.perform(server.port, call)
                    self.assertEqual(noted, expected)

    async def perform(self, port, call):
        noted = []
        ended = asyncio.get_running_loop().create_future()
        async with engine_orders.open_session() as session:
            start_call = engine_orders.make_engine_caller(
                session, order_wire, "n1"
            )
            start_call(
                f"127.0.0.1:{port}",
                call,
                ended.set_result,
                note_pause=noted.append,
            )
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await ended
        return noted


if __name__ == "__main__":
    unittest.main()
