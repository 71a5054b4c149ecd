"""Tests of the clients that send bodies in pieces."""

import asyncio
import contextlib
import random
import unittest
from unittest import mock

from bilberryramp.soak import (
    local_fleet,
    observations,
    proxy,
    run,
    slow_senders,
)

CONTENT = b"0123456789"


def form(is_chunked=False, piece_count=4, span_s=0.4):
    return slow_senders.Form(is_chunked, piece_count, span_s, 10, False)


class WritesTest(unittest.TestCase):
    def make_writes(self, **changes):
        return list(
            slow_senders.make_writes(
                form(**changes), "/x", {"Host": "h.example"}, CONTENT
            )
        )

    def test_a_body_with_a_length_comes_in_pieces(self):
        self.assertEqual(
            self.make_writes(),
            [
                b"POST /x HTTP/1.1\r\nHost: h.example\r\n"
                b"Content-Length: 10\r\n\r\n",
                b"012",
                b"345",
                b"678",
                b"9",
            ],
        )

    def test_a_body_comes_in_chunks(self):
        self.assertEqual(
            self.make_writes(is_chunked=True, piece_count=2),
            [
                b"POST /x HTTP/1.1\r\nHost: h.example\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"5\r\n01234\r\n",
                b"5\r\n56789\r\n0\r\n\r\n",
            ],
        )

    def test_both_framings_and_pieces_5_ms_apart_are_drawn(self):
        rng = random.Random(1)
        forms = [slow_senders.draw_form(rng) for _ in range(200)]
        self.assertEqual({f.is_chunked for f in forms}, {False, True})
        self.assertEqual({f.is_long for f in forms}, {False, True})
        pauses = {f.span_s / f.piece_count for f in forms}
        self.assertIn(slow_senders.FAST_PAUSE_S, pauses)
        self.assertTrue({f.span_s for f in forms} >= set(slow_senders.SPANS_S))


class SenderTest(unittest.IsolatedAsyncioTestCase):
    """Lets a client send to a server in place of a node."""

    WAIT_S = 30.0

    async def asyncSetUp(self):
        self.history = observations.History()
        self.answers = []
        self.connection_count = 0
        self.has_enough = asyncio.Event()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.form = form(span_s=0.01)
        drawing = mock.patch.object(
            slow_senders, "draw_form", lambda rng: self.form
        )
        drawing.start()
        self.addCleanup(drawing.stop)

    async def serve(self, reader, writer):
        """Answer each request with the next of the answers, then close."""
        self.connection_count += 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            while self.answers:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"chunked" in head:
                    await reader.readuntil(b"0\r\n\r\n")
                else:
                    rows = head.decode().split("Content-Length: ")
                    await reader.readexactly(int(rows[1].split()[0]))
                writer.write(self.answers.pop(0))
        writer.close()

    def record(self, observed):
        self.history.events.append(observed)
        if isinstance(observed, observations.PiecesSent):
            self.has_enough.set()

    async def send(self, count):
        """Return the ends of the first requests of a client."""
        address = self.server.sockets[0].getsockname()[:2]
        link = proxy.Link(("127.0.0.1", local_fleet.FRONT_PORT), address)
        host = local_fleet.Host("n1", "127.0.0.1", None, [link])
        fleet = local_fleet.Fleet({"n1": host}, {}, self.record)
        sending = asyncio.create_task(
            slow_senders.run_sender(
                fleet, "1-s0", (run.FILE,), random.Random(1)
            )
        )
        async with asyncio.timeout(self.WAIT_S):
            while len(self.history.of_class(observations.PiecesSent)) < count:
                self.has_enough.clear()
                await self.has_enough.wait()
            fleet.is_finished = True
            await sending
        return self.history.of_class(observations.PiecesSent)[:count]

    async def test_a_connection_is_kept_until_it_is_closed(self):
        refusal = b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno"
        self.answers = [refusal] * 50
        ends = await self.send(3)
        self.assertEqual([e.status for e in ends], [503, 503, 503])
        self.assertTrue(all(e.is_whole and e.written_ms >= 0 for e in ends))
        self.assertFalse(any(e.has_closed for e in ends))
        self.assertEqual(self.connection_count, 1)

    async def test_connection_close_is_honoured(self):
        refusal = (
            b"HTTP/1.1 503 X\r\nConnection: close\r\n"
            b"Content-Length: 2\r\n\r\nno"
        )
        self.answers = [refusal] * 3
        await self.send(2)
        self.assertGreaterEqual(self.connection_count, 2)

    async def test_an_answer_that_breaks_off_is_not_whole(self):
        for answer in (
            b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nno",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n",
        ):
            self.history.events.clear()
            self.answers = [answer]
            (end,) = await self.send(1)
            self.assertEqual(end.status, 200)
            self.assertTrue(end.has_closed)
            self.assertFalse(end.is_whole)
            received = self.history.of_class(observations.AnswerReceived)
            self.assertEqual(received[0].status, 0)

    async def test_a_body_that_is_cut_was_not_written(self):
        self.form = form(span_s=4 * self.WAIT_S)
        (end,) = await self.send(1)
        self.assertTrue(end.has_closed)
        self.assertEqual((end.written_ms, end.status), (-1, 0))


if __name__ == "__main__":
    unittest.main()
