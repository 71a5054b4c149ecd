"""Tests of upstreams that send a node wrong, repeated or endless answers."""

import asyncio
import tracemalloc
import unittest

import aiohttp

from bilberryramp.platform.tests import builders
from bilberryramp.tasks import fleet_frontend
from bilberryramp.tasks.tests import builders as task_builders

COPY_FAULTS = ("copy_late", "copy_at_once", "half_copy", "longer_than_said")
# Growth of memory that an answer without end may cause: the limit of a body in
# these tests, twice, and the buffers of one connection.
MAX_ANSWER_BYTES = 2**20
MAX_GROWTH_BYTES = 8 * 2**20
# Far longer than the deadline of the requests in these tests.
TEST_TIMEOUT_S = 60


class FrontendTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the path from a fleet's node to an upstream."""

    async def asyncSetUp(self):
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    async def start(self, answer=builders.platform_answer, fault="none"):
        self.server = await task_builders.start_faulty_server(self, answer)
        self.server.fault = fault
        self.front, self.port = await builders.start_frontend(
            self,
            [f"127.0.0.1:{self.server.port}"],
            max_answer_bytes=MAX_ANSWER_BYTES,
        )

    async def call(self, request_id, path="/once/x", **headers):
        return await builders.call_frontend(
            self.client, self.port, request_id, path, **headers
        )

    async def test_no_client_gets_an_answer_written_once_more(self):
        for fault in COPY_FAULTS:
            await self.start(fault=fault)
            for number in range(40):
                request_id = f"q{number}"
                with self.subTest(fault=fault, number=number):
                    status, body, answered_id = await self.call(request_id)
                    if status == 200:
                        self.assertEqual(
                            (body, answered_id),
                            (request_id.encode(), request_id),
                        )
                    await asyncio.sleep(0.003)

    async def test_connections_are_kept(self):
        await self.start()
        for number in range(20):
            self.assertEqual((await self.call(f"q{number}"))[0], 200)
        self.assertEqual(self.server.connections, 1)

    async def test_an_answer_without_the_requests_id_is_not_delivered(self):
        def answer(request):
            return task_builders.answer_bytes(
                request.body, X_Bilberryramp_Server_Signature="sig"
            )

        await self.start(answer)
        status, body, _ = await self.call("q1")
        self.assertEqual(status, 502)
        self.assertNotIn(b"q1", body)

    async def test_a_refusal_written_once_more_is_no_promise(self):
        """A refusal of `q0` is repeated while later requests run.

        Whatever the client is told, it is told 503, which promises that the
        request was not run, only if the engine did not run it.
        """
        ran = []

        def answer(request):
            request_id = request.headers["x-bilberryramp-request-id"]
            if len(self.server.requests) % 3 == 1:
                return task_builders.answer_bytes(
                    b"",
                    "503 Busy",
                    X_Bilberryramp_Request_Id=request_id,
                    X_Bilberryramp_Not_Executed="1",
                )
            ran.append(request_id)
            return builders.platform_answer(request)

        for fault in COPY_FAULTS:
            await self.start(answer, fault)
            for path in ("/once/x", "/again/x"):
                for number in range(20):
                    # Ids repeat, so a repeated refusal may name the id of
                    # the request that runs.
                    request_id = f"q{number % 4}"
                    ran.clear()
                    status, _, _ = await self.call(
                        request_id,
                        path,
                        **{"X-Bilberryramp-Deadline-Ms": "300"},
                    )
                    with self.subTest(fault=fault, path=path, number=number):
                        if status in (408, 421, 429, 503):
                            self.assertEqual(ran, [])
                        if path == "/once/x":
                            self.assertLessEqual(len(ran), 1)
                    await asyncio.sleep(0.003)

    async def test_an_endless_answer_is_bounded_in_time_and_memory(self):
        for fault in task_builders.ENDLESS_FAULTS:
            await self.start(fault=fault)
            with self.subTest(fault=fault):
                tracemalloc.start()
                before, _ = tracemalloc.get_traced_memory()
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    status, _, _ = await self.call(
                        "q1", **{"X-Bilberryramp-Deadline-Ms": "1500"}
                    )
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertIn(status, (502, 504))
                self.assertLess(peak - before, MAX_GROWTH_BYTES)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while not self.server.closed_by_client:
                        await asyncio.sleep(0.01)

    async def test_garbage_before_an_answer_is_not_delivered(self):
        await self.start(fault="garbage_first")
        self.assertEqual((await self.call("q1"))[0], 502)

    async def test_a_cut_answer_is_not_delivered(self):
        await self.start(fault="cut_in_half")
        self.assertEqual((await self.call("q1234"))[0], 502)

    async def test_an_impossible_address_is_unreachable(self):
        front, port = await builders.start_frontend(self, ["127.0.0.1:99999"])
        status, _, _ = await builders.call_frontend(
            self.client, port, "q1", **{"X-Bilberryramp-Deadline-Ms": "300"}
        )
        self.assertEqual(status, 503)

    async def test_an_answer_cut_at_any_byte_is_not_delivered(self):
        """Clients of other systems got a 200 with an empty or short body."""
        whole = [b""]

        def answer(request):
            whole[0] = builders.platform_answer(request)
            return whole[0][:cut_bytes]

        await self.start(answer, "close_after")
        cut_bytes = 0
        while cut_bytes < len(whole[0]) or not cut_bytes:
            request_id = f"q{cut_bytes:04}"
            with self.subTest(cut_bytes=cut_bytes):
                self.assertEqual((await self.call(request_id))[0], 502)
            cut_bytes += 1
        status, body, _ = await self.call("q9999")
        self.assertEqual((status, body), (200, b"q9999"))

    async def test_an_answer_without_length_ends_with_its_connection(self):
        """No stream or body without length and chunks was delivered."""
        for answer, body in (
            (builders.platform_answer, b"q1"),
            (builders.platform_stream, builders.EVENTS),
        ):
            await self.start(answer, "unframed_close")
            with self.subTest(answer=answer.__name__):
                status, received, _ = await self.call("q1")
                self.assertEqual((status, received), (200, body))

    async def test_an_answer_without_length_that_is_reset_is_broken(self):
        await self.start(fault="unframed_reset")
        self.assertEqual((await self.call("q1"))[0], 502)
        await self.start(builders.platform_stream, "unframed_reset")
        with self.assertRaises(aiohttp.ClientError):
            await self.call("q1")

    async def test_a_stream_that_ends_inside_an_event_is_broken(self):
        """With a length or chunks too, it looked complete to the client."""
        for fault in ("unframed_close", "none"):
            for cut_bytes in range(1, builders.EVENT_BYTES):

                def answer(request, cut_bytes=cut_bytes):
                    events = builders.EVENTS[:-cut_bytes]
                    return builders.platform_stream(request, events)

                await self.start(answer, fault)
                with (
                    self.subTest(fault=fault, cut_bytes=cut_bytes),
                    self.assertRaises(aiohttp.ClientError),
                ):
                    await self.call("q1")

    async def test_a_planned_stop_answers_what_upstreams_still_run(self):
        """Requests were cut off with no answer at the end of the grace."""
        await self.start(fault="silent")
        early = asyncio.create_task(self.call("q1"))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not self.server.requests:
                await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        fleet_frontend.begin_stop(self.front, loop.time() + 0.3)
        late = asyncio.create_task(self.call("q2", "/again/x"))
        for answered in (early, late):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                self.assertEqual((await answered)[0], 504)
        allowed_ms = self.server.requests[-1].headers[
            "x-bilberryramp-deadline-ms"
        ]
        self.assertLessEqual(int(allowed_ms), 300)

    async def test_a_stream_without_events_is_not_delivered(self):
        def answer(request):
            return builders.platform_stream(request, b"")

        for fault in ("unframed_close", "none"):
            await self.start(answer, fault)
            with self.subTest(fault=fault):
                self.assertEqual((await self.call("q1"))[0], 502)


if __name__ == "__main__":
    unittest.main()
