"""Tests of an upstream process that is stopped while entries send requests."""

import asyncio
import time
import unittest

from bilberryramp.decisions.shared import call_messages, errors
from bilberryramp.decisions.upstream import upstream_messages
from bilberryramp.programs.tests import builders
from bilberryramp.tasks import mailbox
from bilberryramp.tasks.tests import builders as task_builders
from bilberryramp.wire import codec

# Time in which a frame reaches the other process's socket on the loopback.
TRANSFER_S = 0.3
TIMEOUT_S = 60
ENDS = (
    call_messages.Refused,
    call_messages.AnswerEnd,
    call_messages.AnswerBroken,
)


class UpstreamStopTest(unittest.IsolatedAsyncioTestCase):
    """A lost request counted as one that had taken the upstream down."""

    async def asyncSetUp(self):
        self.server = await task_builders.start_faulty_server(
            self, self.answer
        )
        self.node = await builders.start_upstream(self, self.server.port)
        self.sock = builders.connect_entry(self, self.node)
        self.assertIsInstance(
            await self.end_of("before"), call_messages.AnswerEnd
        )

    def answer(self, request):
        if builders.is_state_request(request):
            return builders.state_answer()
        return task_builders.echoing_answer(request)

    async def receive_end(self):
        async with asyncio.timeout(TIMEOUT_S):
            return await builders.receive_until(self.sock, *ENDS)

    async def end_of(self, attempt_id):
        await builders.dispatch(self.sock, self.node, attempt_id)
        return await self.receive_end()

    def request_stop(self):
        mailbox.post_now(self.node.inbox, upstream_messages.StopRequested())

    def assert_leaving(self, end):
        self.assertIsInstance(end, call_messages.Refused)
        self.assertEqual(end.failure.code, errors.FailureCode.LEAVING)
        self.assertEqual(end.failure.outcome, errors.Outcome.NOT_RUN)

    async def test_a_request_that_an_idle_process_has_not_read_is_refused(
        self,
    ):
        self.node.state.stop.notice_ms = 0
        await builders.dispatch(self.sock, self.node, "unread")
        # Blocks the event loop, so that the process does not read the frame.
        time.sleep(TRANSFER_S)
        self.request_stop()
        self.assert_leaving(await self.receive_end())

    async def test_an_idle_process_refuses_until_entries_know(self):
        self.request_stop()
        for number in range(3):
            self.assert_leaving(await self.end_of(f"late-{number}"))
        await self.sock.send(codec.encode(call_messages.Ping(0)))
        async with asyncio.timeout(TIMEOUT_S):
            pong = await builders.receive_until(self.sock, call_messages.Pong)
        self.assertTrue(pong.leaving)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.node.stopped:
                await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
