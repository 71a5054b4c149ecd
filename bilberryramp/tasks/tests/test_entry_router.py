import asyncio
import types
import unittest

import zmq
import zmq.asyncio

from bilberryramp.decisions.entry import links
from bilberryramp.decisions.shared import call_messages
from bilberryramp.tasks import entry_router, mailbox
from bilberryramp.tasks.tests import builders
from bilberryramp.wire import codec

FRAME_COUNT = 500
LINGER_MS = 10_000
TIMEOUT_S = 60


async def cancel_task(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Frames sent right before an upstream process exits must not be lost."""

    async def asyncSetUp(self):
        self.ctx = zmq.asyncio.Context()
        self.addAsyncCleanup(self.close)
        self.listener = self.ctx.socket(zmq.ROUTER)
        port = self.listener.bind_to_random_port("tcp://127.0.0.1")
        self.address = f"tcp://127.0.0.1:{port}"

    async def test_frames_sent_before_exit_precede_disconnect(self):
        outbox, inbox = mailbox.Mailbox(), mailbox.Mailbox(limit=100_000)
        router = types.SimpleNamespace(name="e1", inbox=inbox)
        task = asyncio.create_task(
            entry_router._run_link(router, self.address, "u1", 1, outbox)
        )
        self.addAsyncCleanup(cancel_task, task)
        mailbox.post_now(outbox, call_messages.Ping(1))
        await self.answer_and_exit()
        posted = []
        async with asyncio.timeout(TIMEOUT_S):
            while links.LinkDisconnected() not in posted:
                posted += [m.event for m in await mailbox.receive_all(inbox)]
        self.assert_all_frames_precede_disconnect(posted)

    async def test_disconnect_is_posted_when_receiver_is_not_woken(self):
        """Guard against frames that no signal announces.

        libzmq signals a socket once; if another access clears the signal, the
        receiver is not woken for the remaining frames.
        """
        sock = self.ctx.socket(zmq.DEALER)
        reconnect_ms = entry_router.RECONNECT_INTERVAL_MS
        sock.setsockopt(zmq.RECONNECT_IVL, reconnect_ms)
        monitor = sock.get_monitor_socket()
        sock.connect(self.address)
        await sock.send(codec.encode(call_messages.Ping(1)))
        posted = []
        task = asyncio.create_task(
            entry_router._watch_transport(monitor, sock, posted.append)
        )
        self.addAsyncCleanup(cancel_task, task)
        await self.answer_and_exit()
        async with asyncio.timeout(TIMEOUT_S):
            while links.LinkDisconnected() not in posted:
                await asyncio.sleep(0.01)
        self.assert_all_frames_precede_disconnect(posted)

    async def close(self):
        self.ctx.destroy(linger=0)

    async def answer_and_exit(self):
        sender, _ = await self.listener.recv_multipart()
        for number in range(FRAME_COUNT):
            frame = codec.encode(builders.chunk(number))
            await self.listener.send_multipart([sender, frame])
        self.listener.close(linger=LINGER_MS)

    def assert_all_frames_precede_disconnect(self, posted):
        before = posted[: posted.index(links.LinkDisconnected())]
        chunks = [
            e for e in before if isinstance(e, call_messages.AnswerChunk)
        ]
        self.assertEqual(
            chunks, [builders.chunk(number) for number in range(FRAME_COUNT)]
        )
