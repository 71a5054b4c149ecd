import asyncio
import types
import unittest

import zmq
import zmq.asyncio

from bilberryramp.decisions import call_messages, links
from bilberryramp.tasks import entry_router, mailbox
from bilberryramp.tasks.tests import builders
from bilberryramp.wire import codec

FRAMES = 500


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_frames_sent_before_an_exit_come_before_the_loss(self):
        """An upstream process may exit right after its last frame."""
        for _ in range(5):
            events = await self.exchange()
            arrived = sum(
                isinstance(event, call_messages.AnswerChunk)
                for event in events
            )
            self.assertEqual(arrived, FRAMES)

    async def exchange(self):
        ctx = zmq.asyncio.Context()
        listener = ctx.socket(zmq.ROUTER)
        port = listener.bind_to_random_port("tcp://127.0.0.1")
        outbox, box = mailbox.Mailbox(), mailbox.Mailbox(limit=100_000)
        router = types.SimpleNamespace(name="e1", box=box)
        address = f"tcp://127.0.0.1:{port}"
        task = asyncio.create_task(
            entry_router._own_socket(router, address, "u1", 1, outbox)
        )
        mailbox.post_now(outbox, call_messages.Ping(1))
        sender, _ = await listener.recv_multipart()
        for number in range(FRAMES):
            frame = codec.encode(builders.chunk(number))
            await listener.send_multipart([sender, frame])
        await asyncio.to_thread(ctx.destroy, 1000)
        events = []
        while not any(isinstance(e, links.LinkBroke) for e in events):
            events += [m.event for m in await mailbox.take_all(box)]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return events
