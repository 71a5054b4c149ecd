"""Tests of engines that send wrong, repeated or endless answers."""

import asyncio
import unittest

from bilberryramp.decisions.shared import errors
from bilberryramp.decisions.upstream import upstream_messages
from bilberryramp.tasks import engine_run
from bilberryramp.tasks.tests import builders

COPY_FAULTS = ("copy_late", "copy_at_once", "half_copy", "longer_than_said")
MAX_ANSWER_BYTES = 2**20
# Far longer than the deadline of the requests in these tests.
TEST_TIMEOUT_S = 60


class EngineRunTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the path from an upstream process to its engine."""

    async def asyncSetUp(self):
        self.session = engine_run.open_session()
        self.addAsyncCleanup(self.session.http.close)

    async def start(self, answer, fault="none"):
        server = await builders.start_faulty_server(self, answer)
        server.fault = fault
        return server

    async def run_one(self, server, number):
        dispatch = builders.make_dispatch(f"a{number}", b"%d" % number)
        return await builders.run_dispatch(
            self.session, server.port, dispatch, MAX_ANSWER_BYTES
        )

    async def test_no_caller_gets_an_answer_written_once_more(self):
        """Of 60 callers of such a service, 19 got the one before theirs."""
        for answer in (builders.plain_answer, builders.echoing_answer):
            for fault in COPY_FAULTS:
                server = await self.start(answer, fault)
                for number in range(60):
                    with self.subTest(fault=fault, number=number):
                        frames, ended = await self.run_one(server, number)
                        if ended.failure is None:
                            self.assertEqual(
                                builders.body_of(frames), b"%d" % number
                            )
                        await asyncio.sleep(0.003)

    async def test_a_connection_is_kept_if_the_engine_names_the_attempt(self):
        server = await self.start(builders.echoing_answer)
        for number in range(20):
            await self.run_one(server, number)
        self.assertEqual(server.connections, 1)

    async def test_a_connection_is_not_kept_without_the_attempts_id(self):
        server = await self.start(builders.plain_answer)
        for number in range(5):
            frames, ended = await self.run_one(server, number)
            self.assertIsNone(ended.failure)
        self.assertEqual(server.connections, 5)

    async def test_an_answer_to_another_attempt_is_not_forwarded(self):
        def answer(request):
            return builders.answer_bytes(
                request.body, Bilberry_Attempt_Id="another"
            )

        server = await self.start(answer)
        frames, ended = await self.run_one(server, 1)
        self.assertEqual(frames, [])
        self.assertIs(ended.failure.outcome, errors.Outcome.UNKNOWN)

    async def test_an_answer_without_length_ends_with_its_connection(self):
        for answer, body in (
            (builders.echoing_answer, b"1"),
            (builders.echoing_stream, builders.EVENTS),
        ):
            server = await self.start(answer, "unframed_close")
            with self.subTest(answer=answer.__name__):
                frames, ended = await self.run_one(server, 1)
                self.assertIsNone(ended.failure)
                self.assertEqual(builders.body_of(frames), body)

    async def test_an_answer_without_length_that_is_reset_is_broken(self):
        for answer in (builders.echoing_answer, builders.echoing_stream):
            server = await self.start(answer, "unframed_reset")
            with self.subTest(answer=answer.__name__):
                _, ended = await self.run_one(server, 1)
                self.assertIs(ended.failure.outcome, errors.Outcome.UNKNOWN)

    async def test_a_stream_that_ends_inside_an_event_is_broken(self):
        """It looked complete to the caller."""
        for fault in ("unframed_close", "none"):
            for cut_bytes in range(1, builders.EVENT_BYTES + 1):
                last = cut_bytes == builders.EVENT_BYTES
                events = builders.EVENTS[:-cut_bytes] if not last else b""

                def answer(request, events=events):
                    return builders.echoing_stream(request, events)

                server = await self.start(answer, fault)
                with self.subTest(fault=fault, cut_bytes=cut_bytes):
                    _, ended = await self.run_one(server, 1)
                    self.assertIsNotNone(ended.failure)

    async def test_an_answer_without_a_content_type_is_forwarded(self):
        """Such an answer ended the task of the run without a `RunEnded`."""

        def answer(request):
            return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        server = await self.start(answer)
        frames, ended = await self.run_one(server, 1)
        self.assertIsNone(ended.failure)
        self.assertEqual(builders.body_of(frames), b"ok")

    async def test_odd_statuses_are_no_answers(self):
        """A caller got an answer with the status 000."""
        for make_answer in (builders.echoing_answer, builders.echoing_stream):
            for odd in ("000", "099", "101", "600", "999", "0200"):

                def answer(request, make=make_answer, odd=odd):
                    return make(request).replace(b"200 OK", odd.encode(), 1)

                server = await self.start(answer)
                with self.subTest(answer=make_answer.__name__, odd=odd):
                    frames, ended = await self.run_one(server, 1)
                    self.assertEqual(frames, [])
                    self.assertIs(
                        ended.failure.outcome, errors.Outcome.UNKNOWN
                    )

    async def test_no_control_character_of_a_head_is_forwarded(self):
        """It raised in the entry once the framing was chosen."""

        def answer(request):
            whole = builders.echoing_stream(request)
            return whole.replace(b"text/", b"text\x01", 1)

        server = await self.start(answer)
        frames, ended = await self.run_one(server, 1)
        self.assertEqual(frames, [])
        self.assertIs(ended.failure.outcome, errors.Outcome.UNKNOWN)

    async def test_a_part_of_an_early_answer_is_no_complete_one(self):
        """A reset before the entry had the head looked like the end."""

        def partial_stream(request):
            # A broken stream is resumed after its second event.
            is_resumed = request.line.startswith("GET")
            start, end = builders.EVENTS[:-size], builders.EVENTS[-size:]
            return builders.echoing_stream(
                request, end if is_resumed else start
            )

        size = builders.EVENT_BYTES
        for make_answer in (builders.echoing_answer, partial_stream):
            for fault in (
                "unframed_reset",
                "unframed_reset_at_once",
                "unframed_reset_amid",
                "unframed_unread_close",
            ):
                for entry_delay_s in (0, 0.1):
                    server = await self.start(make_answer, fault)
                    server.answers_early = True
                    dispatch = builders.make_dispatch("a1", b"x" * 3_000_000)
                    with self.subTest(
                        answer=make_answer.__name__,
                        fault=fault,
                        entry_delay_s=entry_delay_s,
                    ):
                        async with asyncio.timeout(TEST_TIMEOUT_S):
                            frames, ended = await builders.run_dispatch(
                                self.session,
                                server.port,
                                dispatch,
                                MAX_ANSWER_BYTES,
                                entry_delay_s=entry_delay_s,
                            )
                        if builders.body_of(frames) != builders.EVENTS:
                            self.assertIsNotNone(ended.failure)

    async def test_a_broken_stream_is_resumed_only_with_permission(self):
        """It was read on while the engine wanted no requests."""
        last_event = builders.EVENTS[-builders.EVENT_BYTES :]

        def answer(request):
            server.fault = "none"
            attempt_id = request.headers["bilberry-attempt-id"]
            if len(server.requests) == 2:
                return builders.answer_bytes(
                    b"later",
                    "503 Unavailable",
                    Retry_After="1.5",
                    Bilberry_Attempt_Id=attempt_id,
                )
            rest = builders.EVENTS if not server.requests[1:] else last_event
            return builders.echoing_stream(request, rest)

        server = await self.start(answer, "cut_in_half")
        messages = []
        frames, ended = await builders.run_dispatch(
            self.session,
            server.port,
            builders.make_dispatch("a1"),
            messages=messages,
        )
        self.assertIsNone(ended.failure)
        self.assertEqual(builders.body_of(frames), builders.EVENTS)
        resume = upstream_messages.ResumeRequested("a1")
        self.assertEqual(
            messages,
            [
                upstream_messages.HeadArrived("a1", 200, 0),
                resume,
                upstream_messages.HeadArrived("a1", 503, 1500),
                resume,
                upstream_messages.HeadArrived("a1", 200, 0),
                ended,
            ],
        )

    async def test_a_cut_answer_is_not_complete(self):
        server = await self.start(builders.plain_answer, "cut_in_half")
        _, ended = await self.run_one(server, 123456)
        self.assertIs(ended.failure.outcome, errors.Outcome.UNKNOWN)

    async def test_an_answer_cut_at_any_byte_is_not_complete(self):
        whole = builders.answer_bytes(b"body")
        for cut_bytes in range(len(whole)):
            server = await self.start(
                lambda _, n=cut_bytes: whole[:n], "close_after"
            )
            with self.subTest(cut_bytes=cut_bytes):
                _, ended = await self.run_one(server, 1)
                self.assertIsNotNone(ended.failure)

    async def test_an_endless_body_ends_at_the_limit(self):
        for fault in ("endless_body", "endless_chunks", "endless_head"):
            server = await self.start(builders.plain_answer, fault)
            with self.subTest(fault=fault):
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    _, ended = await self.run_one(server, 1)
                self.assertIs(ended.failure.outcome, errors.Outcome.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
