"""Tests of the number of upstreams that one request reaches."""

import asyncio
import unittest

import aiohttp

from bilberryramp.platform.tests import builders
from bilberryramp.tasks.tests import builders as task_builders

# `max_attempts` of the route that allows repeats, and more upstreams than
# that.
MAX_ATTEMPTS = 2
SERVER_COUNT = 4
# Far longer than the deadline of the requests in these tests.
TEST_TIMEOUT_S = 60
# Statuses with which an upstream does not say that it did not run a request,
# whatever headers come with them.
STATUSES_OF_RUNS = (200, 201, 204, 302, 404, 408, 500, 502, 504, 507)
# Ways in which an answer that was begun breaks off.
BREAKS = (
    "close_after",
    "cut_in_half",
    "garbage_first",
    "silent",
    "unframed_reset",
)


def make_answer(status, **headers):
    """Return a function that answers any request with a status."""

    def answer(request):
        request_id = request.headers["x-bilberryramp-request-id"]
        return task_builders.answer_bytes(
            b"" if status == 204 else b"body",
            f"{status} Any",
            X_Bilberryramp_Request_Id=request_id,
            **headers,
        )

    return answer


class AttemptCountTest(unittest.IsolatedAsyncioTestCase):
    # Guards against requests that run at more upstreams than their route
    # allows, because an attempt that ran was taken for one that did not.

    async def asyncSetUp(self):
        self.client = aiohttp.ClientSession()
        self.addAsyncCleanup(self.client.close)

    async def start(self, answer, fault="none"):
        self.servers = [
            await task_builders.start_faulty_server(self, answer)
            for _ in range(SERVER_COUNT)
        ]
        for server in self.servers:
            server.fault = fault
        _, self.port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}" for server in self.servers]
        )

    async def call(self, request_id="q1", client_ms="600"):
        """Send a request; return the status, or 0 without an answer."""
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                status, _, _ = await builders.call_frontend(
                    self.client,
                    self.port,
                    request_id,
                    "/again/x",
                    **{"X-Bilberryramp-Deadline-Ms": client_ms},
                )
        except aiohttp.ClientError:
            return 0
        return status

    def count_reached(self, request_id="q1"):
        """Count the requests with an id that upstreams have read."""
        return sum(
            request.headers["x-bilberryramp-request-id"] == request_id
            for server in self.servers
            for request in server.requests
        )

    async def test_only_the_refusals_of_the_protocol_do_not_count(self):
        for status in STATUSES_OF_RUNS:
            for signature in ({}, {"X_Bilberryramp_Server_Signature": "s"}):
                answer = make_answer(
                    status, X_Bilberryramp_Not_Executed="1", **signature
                )
                with self.subTest(status=status, signature=signature):
                    await self.start(answer)
                    client_status = await self.call()
                    self.assertLessEqual(self.count_reached(), MAX_ATTEMPTS)
                    # The node must not promise that nothing ran.
                    self.assertNotIn(client_status, (421, 429, 503))

    async def test_refusals_are_tried_elsewhere_and_not_counted(self):
        for status in (421, 429, 503):
            with self.subTest(status=status):
                await self.start(
                    make_answer(status, X_Bilberryramp_Not_Executed="1")
                )
                self.assertEqual(await self.call(), 503)
                self.assertGreater(self.count_reached(), MAX_ATTEMPTS)

    async def test_each_answer_that_breaks_off_counts(self):
        answers = (
            builders.platform_answer,
            lambda request: builders.platform_answer(request)[:30],
            make_answer(503, X_Bilberryramp_Not_Executed="1"),
            make_answer(421),
        )
        for fault in BREAKS:
            for number, answer in enumerate(answers):
                if fault == "close_after" and number != 1:
                    continue
                with self.subTest(fault=fault, answer=number):
                    await self.start(answer, fault)
                    await self.call()
                    self.assertLessEqual(self.count_reached(), MAX_ATTEMPTS)

    async def test_a_reset_of_a_kept_connection_counts(self):
        await self.start(builders.platform_answer)
        for number in range(20):
            self.assertEqual(await self.call(f"warm{number}"), 200)
        kept = sum(server.connections for server in self.servers)
        for server in self.servers:
            server.fault = "close_after"
            server.answer = lambda request: b""
        self.assertEqual(await self.call(), 502)
        self.assertEqual(self.count_reached(), MAX_ATTEMPTS)
        # At least one attempt used a connection that had been kept.
        connections = sum(server.connections for server in self.servers)
        self.assertLess(connections, kept + MAX_ATTEMPTS)


if __name__ == "__main__":
    unittest.main()
