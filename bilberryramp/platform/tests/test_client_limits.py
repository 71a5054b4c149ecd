"""Tests of what single clients get that hold too much, within this process."""

import asyncio
import unittest

from bilberryramp.decisions.shared import client_memory, client_review
from bilberryramp.platform.tests import builders
from bilberryramp.tasks import client_guard
from bilberryramp.tasks.tests import builders as task_builders
from bilberryramp.telemetry import metrics

TIMEOUT_S = 60
# Room for small requests, and for no other.
SMALL = client_memory.Budget(200_000, 100_000, 10)
# Nobody may be without progress for any time.
NO_TIME = client_review.Limits(head_ms=0, body_ms=0, unread_ms=0)


def head_bytes(length, deadline_ms=10_000):
    return (
        f"POST /once/x HTTP/1.1\r\nHost: {task_builders.HOST}\r\n"
        "X-Bilberryramp-Request-Id: q1\r\n"
        f"X-Bilberryramp-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


class ClientLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, budget, limits=None):
        server = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        self.front, self.port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        self.guard = client_guard.guard_listener(
            self.front.listener,
            lambda: budget,
            lambda: limits or client_review.Limits(),
            metrics.Metrics(),
        )
        self.ledger = self.front.listener.ledger

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_head(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return (await reader.readuntil(b"\r\n\r\n")).decode().lower()

    async def until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_body_that_stalls_had_no_timeout(self):
        await self.start(SMALL)
        reader, writer = await self.connect()
        writer.write(head_bytes(4, deadline_ms=1) + b"bo")
        head = await self.read_head(reader)
        self.assertIn(" 408 ", head)
        self.assertIn("connection: close", head)

    async def test_body_without_room_is_refused_before_it_is_read(self):
        await self.start(SMALL)
        reader, writer = await self.connect()
        writer.write(head_bytes(150_000))
        head = await self.read_head(reader)
        self.assertIn(" 503 ", head)
        self.assertIn("retry-after: ", head)
        reader, writer = await self.connect()
        writer.write(head_bytes(4) + b"body")
        self.assertIn(" 200 ", await self.read_head(reader))

    async def test_head_that_does_not_end_is_ended(self):
        await self.start(SMALL, NO_TIME)
        reader, writer = await self.connect()
        writer.write(head_bytes(4)[:30])
        await self.until(lambda: self.ledger.held[client_memory.Kind.HEAD])
        client_guard.review(self.guard)
        self.assertIn(" 408 ", await self.read_head(reader))

    async def test_idle_connection_gives_way_to_a_new_one(self):
        await self.start(client_memory.Budget(200_000, 100_000, 1))
        first, writer = await self.connect()
        writer.write(head_bytes(4) + b"body")
        self.assertIn(" 200 ", await self.read_head(first))
        second, writer = await self.connect()
        writer.write(head_bytes(4) + b"body")
        self.assertIn(" 200 ", await self.read_head(second))
        async with asyncio.timeout(TIMEOUT_S):
            await first.read()

    async def test_second_body_of_the_same_size_is_not_taken_for_a_head(self):
        limits = client_review.Limits(head_bytes=3)
        await self.start(SMALL, limits)
        reader, writer = await self.connect()
        for _ in range(2):
            writer.write(head_bytes(4))
            await self.until(lambda: builders.is_reading_body(self.front))
            writer.write(b"body")
            await asyncio.sleep(0.05)
            client_guard.review(self.guard)
            head = await self.read_head(reader)
            self.assertIn(" 200 ", head)
            length = head.split("content-length: ")[1].split("\r\n")[0]
            await reader.readexactly(int(length))

    async def test_connections_that_end_hold_nothing(self):
        await self.start(SMALL)
        for data in (
            b"",
            b"POST",
            head_bytes(4) + b"bo",
            head_bytes(4) + b"body",
            2 * (head_bytes(4) + b"body"),
            head_bytes(150_000) + b"body",
        ):
            _, writer = await self.connect()
            writer.write(data)
            await self.until(lambda: self.ledger.connection_count)
            await asyncio.sleep(0.05)
            writer.close()
            await self.until(lambda: not self.ledger.connection_count)
        self.assertEqual(set(self.ledger.held.values()), {0})
        self.assertEqual(self.ledger.total_bytes, 0)
