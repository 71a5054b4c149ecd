"""Tests of the time that upstreams are told they may take."""

import asyncio
import time
import unittest
from unittest import mock

import aiohttp

from bilberryramp.platform.tests import builders
from bilberryramp.tasks import http_requests
from bilberryramp.tasks.tests import builders as task_builders

# Time that clients state, and time by which the tests delay their requests.
CLIENT_MS = 3000
DELAY_S = 0.7
DELAY_MS = 700
# Far longer than the deadline of the requests in these tests.
TEST_TIMEOUT_S = 60
HEAD = (
    "POST {path} HTTP/1.1\r\n"
    f"Host: {task_builders.HOST}\r\n"
    "X-Bilberryramp-Request-Id: {request_id}\r\n"
    "X-Bilberryramp-Deadline-Ms: {client_ms}\r\n"
    "Content-Length: 4\r\n\r\n"
)


def head_bytes(request_id, client_ms=CLIENT_MS, path="/once/x"):
    return HEAD.format(
        path=path, request_id=request_id, client_ms=client_ms
    ).encode()


def failing_answer(request):
    """Answer with a failure after a time in which nothing else runs."""
    time.sleep(DELAY_S)
    request_id = request.headers["x-bilberryramp-request-id"]
    return task_builders.answer_bytes(
        b"",
        "500 Failed",
        X_Bilberryramp_Request_Id=request_id,
        X_Bilberryramp_Server_Signature="sig",
    )


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    # Guards against upstreams that are handed more time than a client still
    # waits, and against requests that are sent when no time is left.

    async def start(self, answer=builders.platform_answer, server_count=1):
        """Start upstreams and a node, and connect to the node."""
        self.servers = [
            await task_builders.start_faulty_server(self, answer)
            for _ in range(server_count)
        ]
        self.front, self.port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}" for server in self.servers]
        )
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        self.addCleanup(self.writer.close)

    def delay_connections(self, delay):
        """Await a function before each request gets its connection."""
        connector = self.front.session.http.connector
        connect = connector.connect

        async def connect_late(req, traces, timeout):
            conn = await connect(req, traces, timeout)
            try:
                await delay()
            except asyncio.CancelledError:
                conn.close()
                raise
            return conn

        connector.connect = connect_late

    async def read_status(self):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            fields = head.decode().lower().split("content-length: ")
            await self.reader.readexactly(int(fields[1].split("\r\n")[0]))
        return int(head.split()[1])

    async def until_reading(self):
        """Wait until the node has read the head of a request."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not builders.is_reading_body(self.front):
                await asyncio.sleep(0.005)

    def handed_ms(self):
        return [
            int(request.headers["x-bilberryramp-deadline-ms"])
            for server in self.servers
            for request in server.requests
        ]

    async def test_the_time_in_which_a_body_arrives_is_not_handed_on(self):
        await self.start()
        self.writer.write(head_bytes("q1") + b"bo")
        await self.until_reading()
        await asyncio.sleep(DELAY_S)
        self.writer.write(b"dy")
        self.assertEqual(await self.read_status(), 200)
        (handed_ms,) = self.handed_ms()
        self.assertLessEqual(handed_ms, CLIENT_MS - DELAY_MS)

    async def test_a_request_whose_body_comes_too_late_is_not_sent(self):
        await self.start()
        self.writer.write(head_bytes("q1", DELAY_MS // 2) + b"bo")
        await self.until_reading()
        await asyncio.sleep(DELAY_S)
        self.writer.write(b"dy")
        self.assertEqual(await self.read_status(), 503)
        self.assertEqual(self.handed_ms(), [])

    async def test_the_time_in_which_the_node_was_busy_is_not_handed_on(self):
        read = http_requests.read_fingerprinted

        async def read_late(request):
            time.sleep(DELAY_S)
            return await read(request)

        await self.start()
        with mock.patch.object(http_requests, "read_fingerprinted", read_late):
            self.writer.write(head_bytes("q1") + b"body")
            self.assertEqual(await self.read_status(), 200)
        (handed_ms,) = self.handed_ms()
        self.assertLessEqual(handed_ms, CLIENT_MS - DELAY_MS)

    async def test_the_time_of_the_request_before_is_not_handed_on(self):
        def answer(request):
            time.sleep(DELAY_S)
            return builders.platform_answer(request)

        await self.start(answer)
        requests = (head_bytes(name) + b"body" for name in ("q1", "q2"))
        self.writer.write(b"".join(requests))
        for _ in range(2):
            self.assertEqual(await self.read_status(), 200)
        self.assertLessEqual(self.handed_ms()[1], CLIENT_MS - DELAY_MS)

    async def test_the_time_of_connecting_is_not_handed_on(self):
        await self.start()
        self.delay_connections(lambda: asyncio.sleep(DELAY_S))
        self.writer.write(head_bytes("q1") + b"body")
        self.assertEqual(await self.read_status(), 200)
        (handed_ms,) = self.handed_ms()
        self.assertLessEqual(handed_ms, CLIENT_MS - DELAY_MS)

    async def test_a_request_whose_connection_comes_too_late_is_not_sent(self):
        async def freeze():
            time.sleep(DELAY_S)

        for delay in (freeze, lambda: asyncio.sleep(DELAY_S)):
            for path in ("/once/x", "/again/x"):
                await self.start(server_count=2)
                self.delay_connections(delay)
                head = head_bytes("q1", DELAY_MS // 2, path)
                self.writer.write(head + b"body")
                # 503 promises that the request was not run.
                self.assertEqual(await self.read_status(), 503)
                self.assertEqual(self.handed_ms(), [])

    async def test_a_repeat_ends_with_the_first_attempt(self):
        for delay_s in (0, DELAY_S):
            await self.start(failing_answer, server_count=2)

            async def delay(delay_s=delay_s):
                if any(self.handed_ms()):
                    await asyncio.sleep(delay_s)

            self.delay_connections(delay)
            self.writer.write(head_bytes("q1", path="/again/x") + b"body")
            self.assertEqual(await self.read_status(), 500)
            repeat_ms, first_ms = sorted(self.handed_ms())
            late_ms = DELAY_MS + 1000 * delay_s
            # Both times are rounded down to whole milliseconds.
            self.assertLessEqual(repeat_ms, first_ms - late_ms + 1)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_that_states_no_time_gets_that_of_the_route(self):
        server = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        _, port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        async with aiohttp.ClientSession() as client:
            for stated in ("", "x", "-5", "1e300", "nan"):
                headers = {"X-Bilberryramp-Deadline-Ms": stated}
                status, _, _ = await builders.call_frontend(
                    client, port, "q1", **headers
                )
                self.assertEqual(status, 200)
        route = task_builders.make_fleet_route("/once/")
        for request in server.requests:
            handed_ms = int(request.headers["x-bilberryramp-deadline-ms"])
            self.assertLessEqual(handed_ms, route.timeout_ms)


if __name__ == "__main__":
    unittest.main()
