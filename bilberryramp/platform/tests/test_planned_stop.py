"""Tests of requests that are in progress when a node is told to stop."""

import asyncio
import signal
import socket

from bilberryramp.platform import standins
from bilberryramp.platform.tests import builders, node_process
from bilberryramp.tasks import lingering_transport

TIMEOUT_S = 60
HEAD = (
    "POST {path} HTTP/1.1\r\nHost: h.example\r\n"
    "X-Bilberryramp-Request-Id: {request_id}\r\n"
    "X-Bilberryramp-Deadline-Ms: 30000\r\n{framing}\r\n\r\n"
)
CHUNKED = "Transfer-Encoding: chunked"
SIZED = "Content-Length: 4"


def head_bytes(request_id, framing=SIZED, path="/file/x"):
    return HEAD.format(
        path=path, request_id=request_id, framing=framing
    ).encode()


async def read_answer(reader):
    """Read an answer; return its status, its headers and its body."""
    async with asyncio.timeout(TIMEOUT_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        line, *rows = head.split("\r\n")
        headers = dict(row.split(": ", 1) for row in rows if row)
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.readuntil(b"0\r\n\r\n")
    return int(line.split()[1]), headers, body


class PlannedStopTest(node_process.NodeProcessCase):
    """A request that was begun before the listener closed has an answer."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        node = await self.prepare_node()
        heartbeats = asyncio.create_task(self.send_heartbeats(node))
        self.addCleanup(heartbeats.cancel)

    async def send_heartbeats(self, node):
        while True:
            for engine in (self.engine_upstream, self.plain_upstream):
                await standins.send_heartbeat(engine, self.session, node)
            await asyncio.sleep(0.3)

    async def connect(self, name="front"):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[name]
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def begin_stop(self):
        """Send SIGTERM, and wait until the node says that it stops."""
        self.node_process.send_signal(signal.SIGTERM)

        async def is_unready():
            return not await self.is_ready()

        await self.wait_until(is_unready)

    async def until_refused(self):
        """Wait until the node accepts no connections of clients."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    _, writer = await self.connect()
                except ConnectionError:
                    return
                writer.close()
                await asyncio.sleep(0.02)

    async def assert_exits(self):
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await self.node_process.wait(), 0)

    async def send_across_the_close(self, before, after, name="front"):
        """Send a part before the listener closes, and the rest after it."""
        reader, writer = await self.connect(name)
        await self.begin_stop()
        writer.write(before)
        await self.until_refused()
        writer.write(after)
        return await read_answer(reader)

    async def test_body_in_chunks_across_a_stop_had_no_answer(self):
        status, headers, body = await self.send_across_the_close(
            head_bytes("q1", CHUNKED) + b"2\r\nbo\r\n", b"2\r\ndy\r\n0\r\n\r\n"
        )
        self.assertEqual((status, body), (200, b"did body"))
        self.assertEqual(headers["connection"], "close")
        await self.assert_exits()

    async def test_body_with_a_length_across_a_stop_had_no_answer(self):
        status, headers, body = await self.send_across_the_close(
            head_bytes("q1") + b"bo", b"dy"
        )
        self.assertEqual((status, body), (200, b"did body"))
        self.assertEqual(headers["connection"], "close")
        await self.assert_exits()

    async def test_body_beside_a_held_answer_was_read_and_dropped(self):
        """The rest of a body was read, and its request waited for the exit."""
        self.plain_upstream.service_time_s = 4
        _, held = await self.connect()
        held.write(head_bytes("q0") + b"body")

        async def is_held():
            return "q0" in self.plain_upstream.executed_ids

        await self.wait_until(is_held)
        self.plain_upstream.service_time_s = 0
        status, _, body = await self.send_across_the_close(
            head_bytes("q1", CHUNKED) + b"2\r\nbo\r\n", b"2\r\ndy\r\n0\r\n\r\n"
        )
        self.assertEqual((status, body), (200, b"did body"))
        await self.assert_exits()

    async def test_head_in_pieces_across_a_stop_was_closed_as_idle(self):
        request = head_bytes("q1")
        status, _, _ = await self.send_across_the_close(
            request[:20], request[20:] + b"body"
        )
        self.assertIn(status, (200, 503))
        await self.assert_exits()

    async def test_body_that_stalls_in_a_stop_had_no_answer(self):
        reader, writer = await self.connect()
        await self.begin_stop()
        writer.write(head_bytes("q1") + b"bo")
        status, headers, _ = await read_answer(reader)
        self.assertEqual((status, headers["connection"]), (503, "close"))
        await self.assert_exits()
        self.assertEqual(self.plain_upstream.executed_ids, [])

    async def test_request_behind_another_one_was_dropped_in_a_stop(self):
        """Two requests without a pause between them."""
        reader, writer = await self.connect()
        await self.begin_stop()
        writer.write(head_bytes("q1") + b"one.")
        writer.write(head_bytes("q2") + b"two.")
        for body in (b"did one.", b"did two."):
            status, headers, answered = await read_answer(reader)
            self.assertEqual((status, answered), (200, body))
        self.assertEqual(headers["connection"], "close")
        await self.assert_exits()

    async def send_large_request(self, request_id, size):
        """Send a request with a large answer from a host that buffers little.

        Return the reader and the writer of the connection.
        """
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", self.ports["front"]))
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        self.addCleanup(writer.close)
        request = head_bytes(request_id, f"Content-Length: {size}")
        writer.write(request + b"x" * size)
        return reader, writer

    async def allow_large_bodies(self, size):
        limits = {"maxBodyBytes": size}
        body = builders.make_document_body(version=4, limits=limits)
        self.assertEqual(await self.submit_document(body), 200)

    async def test_answer_on_the_wire_was_reset_by_the_next_request(self):
        """The rest of an answer was in the kernel, its connection closed."""
        size = 900_000
        await self.allow_large_bodies(size)
        reader, writer = await self.send_large_request("q1", size)
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
        await self.begin_stop()
        await self.until_refused()
        # Longer than the interval at which connections are examined.
        await asyncio.sleep(0.3)
        writer.write(head_bytes("q2") + b"body")
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readexactly(size + 4)
        await self.assert_exits()

    async def test_last_answer_on_the_wire_was_reset_by_a_request(self):
        """The rest of an answer was in the kernel after the linger time."""
        size = 900_000
        await self.allow_large_bodies(size)
        await self.begin_stop()
        reader, writer = await self.send_large_request("q1", size)
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        await asyncio.sleep(lingering_transport.LINGER_S + 0.5)
        writer.write(head_bytes("q2") + b"body")
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readexactly(size + 4)
        await self.assert_exits()

    async def test_part_of_a_head_behind_a_request_was_closed_as_idle(self):
        self.plain_upstream.service_time_s = 0.5
        reader, writer = await self.connect()
        second = head_bytes("q2")
        writer.write(head_bytes("q1") + b"one.")

        async def is_run():
            return "q1" in self.plain_upstream.executed_ids

        await self.wait_until(is_run)
        writer.write(second[:25])
        status, _, _ = await read_answer(reader)
        self.assertEqual(status, 200)
        await self.begin_stop()
        await self.until_refused()
        await asyncio.sleep(0.3)
        writer.write(second[25:] + b"two.")
        status, _, _ = await read_answer(reader)
        self.assertIn(status, (200, 503))
        await self.assert_exits()

    async def test_request_begun_behind_another_in_a_stop_was_dropped(self):
        """The answer before said that it was the last one."""
        self.plain_upstream.service_time_s = 1
        reader, writer = await self.connect()
        await self.begin_stop()
        second = head_bytes("q2")
        writer.write(head_bytes("q1") + b"one.")

        async def is_run():
            return "q1" in self.plain_upstream.executed_ids

        await self.wait_until(is_run)
        writer.write(second[:25])
        status, _, _ = await read_answer(reader)
        self.assertEqual(status, 200)
        writer.write(second[25:] + b"two.")
        status, headers, _ = await read_answer(reader)
        self.assertEqual((status, headers["connection"]), (200, "close"))
        await self.assert_exits()

    async def test_part_of_a_head_in_one_segment_was_closed_as_idle(self):
        """It came with the end of the request before."""
        reader, writer = await self.connect()
        second = head_bytes("q2")
        writer.write(head_bytes("q1") + b"one." + second[:25])
        status, _, _ = await read_answer(reader)
        self.assertEqual(status, 200)
        await self.begin_stop()
        await self.until_refused()
        await asyncio.sleep(0.3)
        writer.write(second[25:] + b"two.")
        status, _, _ = await read_answer(reader)
        self.assertIn(status, (200, 503))
        await self.assert_exits()

    async def test_body_that_waits_for_100_continue_was_not_asked_for(self):
        """The node waited for the body, and the client for the node."""
        reader, writer = await self.connect()
        writer.write(head_bytes("q1", f"Expect: 100-continue\r\n{SIZED}"))
        async with asyncio.timeout(10):
            line = await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(line, b"HTTP/1.1 100 Continue\r\n\r\n")
        writer.write(b"body")
        status, _, body = await read_answer(reader)
        self.assertEqual((status, body), (200, b"did body"))

    async def test_refusal_of_a_large_body_was_reset_in_a_stop(self):
        size = 3_000_000
        reader, writer = await self.connect()
        await self.begin_stop()
        writer.write(head_bytes("q1", f"Content-Length: {size}"))
        writer.write(b"x" * (size // 2))
        await self.until_refused()
        writer.write(b"x" * (size // 2))
        await writer.drain()
        status, _, _ = await read_answer(reader)
        self.assertEqual(status, 413)
        await self.assert_exits()

    async def test_document_in_pieces_across_a_stop_had_no_answer(self):
        body = builders.make_document_body(version=4)
        head = (
            "POST /config/put HTTP/1.1\r\nHost: x\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        status, _, _ = await self.send_across_the_close(
            head.encode() + body[:40], body[40:], "control"
        )
        self.assertIn(status, (200, 503))
        await self.assert_exits()
