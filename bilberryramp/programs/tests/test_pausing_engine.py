"""Tests of an upstream process whose engine asks for pauses."""

import asyncio
import time
import unittest

from bilberryramp.decisions.shared import call_messages, errors
from bilberryramp.programs.tests import builders
from bilberryramp.tasks.tests import builders as task_builders

ENDS = (call_messages.AnswerEnd, call_messages.AnswerBroken)
# Far longer than any of these tests takes.
LONG_S = "900"
TIMEOUT_S = 60


class PausingEngineTest(unittest.IsolatedAsyncioTestCase):
    """An engine wants no requests for the time that it states."""

    async def asyncSetUp(self):
        self.boot_id = "b1"
        self.headers = {}
        self.status = "200 OK"
        self.answered_s = []
        self.server = await task_builders.start_faulty_server(
            self, self.answer
        )
        self.node = await builders.start_upstream(self, self.server.port)
        self.sock = builders.connect_entry(self, self.node)

    def answer(self, request):
        if builders.is_state_request(request):
            return builders.state_answer(self.boot_id)
        self.answered_s.append(time.monotonic())
        headers = {
            "Bilberry_Attempt_Id": request.headers["bilberry-attempt-id"]
        }
        return task_builders.answer_bytes(
            request.body, self.status, **(headers | self.headers)
        )

    async def end_of(self, attempt_id, **changes):
        """Dispatch an attempt; return its last frame."""
        await builders.dispatch(self.sock, self.node, attempt_id, **changes)
        async with asyncio.timeout(TIMEOUT_S):
            return await builders.receive_until(
                self.sock, call_messages.Refused, *ENDS
            )

    async def ask_for_pause(self, retry_after, status="503 Unavailable"):
        self.status, self.headers = status, {"Retry_After": retry_after}
        end = await self.end_of(f"pause-{retry_after}-{status[:3]}")
        self.assertIsInstance(end, call_messages.AnswerEnd)
        self.status, self.headers = "200 OK", {}

    async def test_paused_engine_got_every_further_request(self):
        """An engine that wanted no requests got 117 in one pause."""
        await self.ask_for_pause(LONG_S)
        for number in range(20):
            end = await self.end_of(f"a{number}")
            self.assertIsInstance(end, call_messages.Refused)
            self.assertIs(end.failure.outcome, errors.Outcome.NOT_RUN)
            self.assertGreater(end.failure.retry_after_ms, 1000)
        self.assertEqual(len(builders.calls_of(self.server)), 1)

    async def test_too_many_requests_got_every_further_request(self):
        """A limit of the engine's own rate asks for a pause as well."""
        await self.ask_for_pause(LONG_S, "429 Too Many Requests")
        end = await self.end_of("a1")
        self.assertIsInstance(end, call_messages.Refused)

    async def test_queued_request_reached_the_engine_in_a_pause(self):
        """A pause shorter than the wait of a request delays the request."""
        await self.ask_for_pause("0.3")
        end = await self.end_of("a1", first_token_in_ms=60_000)
        self.assertIsInstance(end, call_messages.AnswerEnd)
        asked_s, served_s = self.answered_s
        self.assertGreaterEqual(served_s - asked_s, 0.298)

    async def test_value_that_states_no_time_pauses_nothing(self):
        """A pause without a sound length must not exclude an engine."""
        for value in (
            "0", "-5", "nan", "inf", "1e9", "soon", "",
            "Sun, 06 Nov 2044 08:49:37 GMT",
        ):  # fmt: skip
            with self.subTest(value=value):
                await self.ask_for_pause(value)
                end = await self.end_of(f"a-{value}")
                self.assertIsInstance(end, call_messages.AnswerEnd)

    async def test_success_or_another_status_pauses_nothing(self):
        """Only an engine that turns a request away asks for a pause."""
        for status in ("200 OK", "404 Not Found", "500 Error"):
            with self.subTest(status=status):
                await self.ask_for_pause(LONG_S, status)
                end = await self.end_of(f"a-{status[:3]}")
                self.assertIsInstance(end, call_messages.AnswerEnd)

    async def test_answer_to_another_attempt_pauses_nothing(self):
        """A copy of an earlier refusal says nothing about this request."""
        self.status = "503 Unavailable"
        self.headers = {
            "Retry_After": LONG_S,
            "Bilberry_Attempt_Id": "another",
        }
        end = await self.end_of("a1")
        self.assertIsInstance(end, call_messages.AnswerBroken)
        self.status, self.headers = "200 OK", {}
        end = await self.end_of("a2")
        self.assertIsInstance(end, call_messages.AnswerEnd)

    async def test_restarted_engine_is_free(self):
        """The pause of an ended process must not hold for the next one."""
        await self.ask_for_pause(LONG_S)
        reported_ms = self.node.state.pause.reported_ms
        async with asyncio.timeout(TIMEOUT_S):
            while self.node.state.pause.reported_ms == reported_ms:
                await asyncio.sleep(0.01)
            self.boot_id = "b2"
            while self.node.state.pause.boot_id != "b2":
                await asyncio.sleep(0.01)
        end = await self.end_of("a1")
        self.assertIsInstance(end, call_messages.AnswerEnd)


if __name__ == "__main__":
    unittest.main()
