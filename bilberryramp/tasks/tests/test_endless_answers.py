"""Tests of engines that send an upstream process bytes without end."""

import asyncio
import unittest

from bilberryramp.decisions.shared import errors, views
from bilberryramp.decisions.upstream import model_orders, upstream_messages
from bilberryramp.tasks import (
    answer_limits,
    engine_run,
    mailbox,
    upstream_engine,
)
from bilberryramp.tasks.tests import builders

MAX_ANSWER_BYTES = 2**20
# What may be parsed: a body up to its limit, the bounds of heads and framing,
# and the buffer of the connection.
MAX_PARSED_BYTES = (
    MAX_ANSWER_BYTES
    + 4
    * (answer_limits.MAX_HEAD_BYTES + answer_limits.FRAMING_ALLOWANCE_BYTES)
    + 2**20
)
TEST_TIMEOUT_S = 60


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an engine whose bytes without end fill the memory of the
    # process that called it, or take the time of its other requests.

    async def start(self, fault):
        self.parsed = builders.count_parsed_bytes(self)
        self.server = await builders.start_faulty_server(
            self, builders.echoing_answer
        )
        self.server.fault = fault
        return f"http://127.0.0.1:{self.server.port}"

    async def check_bounded(self):
        """Check what was parsed until the connection was closed."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not self.server.closed_by_client:
                await asyncio.sleep(0.01)
        self.assertLess(self.parsed[0], MAX_PARSED_BYTES)

    async def test_a_run(self):
        for fault in (*builders.ENDLESS_FAULTS, "endless_events"):
            await self.start(fault)
            session = engine_run.open_session()
            self.addAsyncCleanup(session.http.close)
            with self.subTest(fault=fault):
                _, ended = await builders.run_dispatch(
                    session,
                    self.server.port,
                    builders.make_dispatch("a1"),
                    MAX_ANSWER_BYTES,
                )
                self.assertIs(ended.failure.outcome, errors.Outcome.UNKNOWN)
                await self.check_bounded()

    async def test_a_poll_of_the_engines_state(self):
        for fault in builders.ENDLESS_FAULTS:
            url = await self.start(fault)
            inbox = mailbox.Mailbox()
            with self.subTest(fault=fault):
                async with upstream_engine.open_session() as session:
                    poll = asyncio.create_task(
                        upstream_engine.poll_state(session, url, inbox)
                    )
                    (message,) = await mailbox.receive_all(inbox)
                    poll.cancel()
                self.assertIsInstance(message, upstream_messages.EngineLost)
                await self.check_bounded()

    async def test_an_order(self):
        place = views.ReplicaPlace("m", (0,), 1)
        order = model_orders.EngineOrder(model_orders.OrderKind.LOAD, 1, place)
        for fault in builders.ENDLESS_FAULTS:
            url = await self.start(fault)
            inbox = mailbox.Mailbox()
            with self.subTest(fault=fault):
                async with upstream_engine.open_session() as session:
                    await upstream_engine.send_order(
                        session, url, order, inbox
                    )
                (message,) = await mailbox.receive_all(inbox)
                self.assertIs(
                    message.outcome, model_orders.OrderOutcome.UNANSWERED
                )
                await self.check_bounded()


if __name__ == "__main__":
    unittest.main()
