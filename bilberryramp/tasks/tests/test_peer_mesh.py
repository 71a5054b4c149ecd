"""Tests of the connections between nodes and agents, on loopback."""

import asyncio
import unittest

from bilberryramp.decisions.shared import peer_links
from bilberryramp.tasks import peer_listener, peer_mesh
from bilberryramp.tasks.tests import mesh_builders as builders
from bilberryramp.wire import frames


class PeerMeshTest(unittest.IsolatedAsyncioTestCase):
    async def test_messages_arrive_in_order_from_the_first_on(self):
        _, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        sent = [builders.pulse(number) for number in range(300)]
        for number, message in enumerate(sent):
            peer_mesh.send(mesh, address, message)
            if number % 7 == 0:
                await asyncio.sleep(0)
        await builders.until(lambda: len(received) == len(sent))
        self.assertEqual(received, sent)
        self.assertEqual(mesh.dropped, 0)

    async def test_queue_of_a_peer_is_bounded_in_bytes(self):
        _, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.pulse(0))
        await builders.until(lambda: received)
        sent = [builders.document(number, 2**17) for number in range(1, 51)]
        for message in sent:
            peer_mesh.send(mesh, address, message)
        self.assertGreaterEqual(mesh.dropped, 46)
        await builders.until(lambda: received[-1] == sent[-1])
        self.assertEqual(len(received) - 1, 50 - mesh.dropped)

    async def test_peer_that_reads_nothing_holds_few_bytes(self):
        address = builders.free_address()
        accepted = await builders.listen_once(self, address)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.pulse(0))
        await accepted
        link = mesh.senders[address].link
        for number in range(200):
            peer_mesh.send(mesh, address, builders.document(number, 2**16))
            await asyncio.sleep(0)
            self.assertLess(
                link.queued_bytes, peer_links.QUEUE_LIMIT_BYTES + 2**17
            )
        self.assertGreater(mesh.dropped, 50)

    async def test_message_of_the_largest_size_arrives_with_others(self):
        _, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        sent = [
            builders.pulse(1),
            builders.document(2, 31 * 2**20),
            builders.pulse(3),
        ]
        peer_mesh.send(mesh, address, sent[0])
        await builders.until(lambda: received)
        for message in sent[1:]:
            peer_mesh.send(mesh, address, message)
        await builders.until(lambda: len(received) == 3)
        self.assertEqual(received, sent)

    async def test_message_above_the_codecs_bound_is_dropped(self):
        _, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.document(1, 33 * 2**20))
        peer_mesh.send(mesh, address, builders.pulse(2))
        await builders.until(lambda: received)
        self.assertEqual(received, [builders.pulse(2)])
        self.assertEqual(mesh.dropped, 1)

    async def test_peer_replaced_at_its_address_receives_no_old_messages(self):
        first, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.pulse(1))
        await builders.until(lambda: received)
        await builders.close(first)
        await builders.until(
            lambda: mesh.senders[address].link.phase == "waiting"
        )
        peer_mesh.send(mesh, address, builders.pulse(2))
        self.assertEqual(mesh.dropped, 1)
        _, _, received = builders.open_mesh(self, address)
        await builders.until(lambda: mesh.senders[address].sock is not None)
        peer_mesh.send(mesh, address, builders.pulse(3))
        await builders.until(lambda: received)
        self.assertEqual(received, [builders.pulse(3)])

    async def test_peer_that_falls_silent_is_found_and_opened_again(self):
        address = builders.free_address()
        accepted = await builders.listen_once(self, address)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.pulse(1))
        await accepted
        sender = mesh.senders[address]
        await builders.until(lambda: sender.link.phase == "up")
        await builders.until(lambda: sender.link.phase == "waiting")
        await builders.until(lambda: sender.link.phase == "up")

    async def test_peer_that_ends_while_it_reads_slowly_is_opened_again(self):
        address = builders.free_address()
        accepted = await builders.listen_once(self, address)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.document(1, 2**24))
        reader, writer = await accepted
        sender = mesh.senders[address]
        await builders.until(lambda: sender.link.is_blocked)
        writer.write_eof()
        writer.transport.resume_reading()
        while sender.link.is_blocked:
            await reader.read(2**16)
        await builders.until(lambda: sender.link.phase != "up")
        await builders.until(lambda: sender.link.phase == "up")

    async def test_address_that_is_none_harms_no_other_peer(self):
        _, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        names = ["", "nowhere", "127.0.0.1:port", "127.0.0.1:99999", ":-1"]
        peer_mesh.broadcast(mesh, [*names, address], builders.pulse(1))
        await builders.until(lambda: received)
        await builders.until(lambda: mesh.dropped == len(names))
        tasks = [sender.task for sender in mesh.senders.values()]
        self.assertFalse(any(task.done() for task in tasks))

    async def test_idle_connection_stays_open(self):
        _, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.pulse(1))
        await builders.until(lambda: received)
        sock = mesh.senders[address].sock
        await asyncio.sleep(0.3 + 10 * peer_links.TICK_MS / 1000)
        self.assertIs(mesh.senders[address].sock, sock)

    async def test_nothing_is_sent_after_close(self):
        _, address, received = builders.open_mesh(self)
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.pulse(1))
        await builders.until(lambda: received)
        peer_mesh.send(mesh, address, builders.pulse(2))
        peer_mesh.close(mesh)
        peer_mesh.send(mesh, address, builders.pulse(3))
        peer_mesh.send(mesh, builders.free_address(), builders.pulse(3))
        await asyncio.sleep(0.3)
        self.assertEqual(received, [builders.pulse(1)])
        tasks = [sender.task for sender in mesh.senders.values()]
        self.assertTrue(all(task.done() for task in tasks))


class StrangersTest(unittest.IsolatedAsyncioTestCase):
    async def check_peers_are_served(self, address, received):
        mesh, _, _ = builders.open_mesh(self)
        peer_mesh.send(mesh, address, builders.pulse(9))
        await builders.until(lambda: received)
        self.assertEqual(received, [builders.pulse(9)])

    async def test_bytes_that_are_not_frames_end_their_connection(self):
        mesh, address, received = builders.open_mesh(self)
        for data in (
            builders.GARBAGE,
            b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            builders.ENDLESS_HEAD,
            frames.encode(b"no greeting"),
            frames.HELLO + builders.ENDLESS_HEAD,
            frames.HELLO + frames.HELLO,
        ):
            with self.subTest(data=data[:40]):
                reader, _ = await builders.connect(self, address, data)
                async with asyncio.timeout(10):
                    try:
                        await reader.read()
                    except ConnectionResetError:
                        pass
        self.assertEqual(mesh.listener.refused, 6)
        await self.check_peers_are_served(address, received)

    async def test_message_that_cannot_be_decoded_ends_nothing(self):
        mesh, address, received = builders.open_mesh(self)
        data = frames.HELLO + frames.encode(b"\x93") + frames.PING
        reader, _ = await builders.connect(self, address, data)
        async with asyncio.timeout(10):
            await reader.readexactly(len(frames.PONG))
        self.assertEqual(mesh.listener.refused, 1)
        await self.check_peers_are_served(address, received)

    async def test_connections_that_say_nothing_are_ended(self):
        mesh, address, received = builders.open_mesh(self)
        part = frames.encode(builders.GARBAGE)[:2000]
        for data in (b"", frames.HELLO[:9], frames.HELLO + part):
            with self.subTest(data=data[:20]):
                reader, _ = await builders.connect(self, address, data)
                async with asyncio.timeout(10):
                    await reader.read()
        self.assertEqual(mesh.listener.held_bytes, 0)
        await self.check_peers_are_served(address, received)

    async def test_incomplete_messages_hold_bounded_bytes(self):
        mesh, address, received = builders.open_mesh(self)
        data = frames.HELLO + frames.encode(bytes(20 * 2**20))[:-1]
        for _ in range(4):
            await builders.connect(self, address, data)
        highest = 0
        while not mesh.listener.refused:
            await asyncio.sleep(0.001)
            highest = max(highest, mesh.listener.held_bytes)
        limit = peer_listener.HELD_LIMIT_BYTES + peer_listener.READ_BYTES
        self.assertLessEqual(highest, limit)
        await self.check_peers_are_served(address, received)

    async def test_many_connections_end_those_of_strangers(self):
        mesh, address, received = builders.open_mesh(self)
        friend, _, _ = builders.open_mesh(self)
        peer_mesh.send(friend, address, builders.pulse(9))
        await builders.until(lambda: received)
        received.clear()
        sock = friend.senders[address].sock
        for _ in range(peer_listener.MAX_CONNECTIONS + 40):
            await builders.connect(self, address)
            self.assertLessEqual(
                len(mesh.listener.inbound), peer_listener.MAX_CONNECTIONS
            )
        self.assertIs(friend.senders[address].sock, sock)
        await self.check_peers_are_served(address, received)

    async def test_endless_pings_keep_nobody_waiting(self):
        _, address, received = builders.open_mesh(self)
        _, writer = await builders.connect(self, address, frames.HELLO)

        async def flood() -> None:
            while True:
                writer.write(frames.PING * 10_000)
                await asyncio.sleep(0)
                await writer.drain()

        task = asyncio.create_task(flood())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.1)
        await self.check_peers_are_served(address, received)


if __name__ == "__main__":
    unittest.main()
