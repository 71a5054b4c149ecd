"""Tests of departures of upstreams among nodes of which some restart."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from bilberryramp.decisions.fleet.core import departures, presence
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.register import operator_calls
from bilberryramp.platform import operator_calls as call_wire
from bilberryramp.tasks import clock, departure_relays, gateway_task, mailbox
from bilberryramp.tasks.tests import builders

ADDRESSES = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
UPSTREAM = "u0"
# Ticks within which each node asks another one.
TICKS = 4
TIMEOUT_S = 20


class DepartureTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.nodes, self.down = {}, set()
        patch = mock.patch.multiple(
            departure_relays.peer_mesh, send=self.send, broadcast=self.spread
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.now_ms = clock.boot_ms()
        self.clock = mock.patch.object(
            gateway_task.clock, "boot_ms", lambda: self.now_ms
        )
        self.clock.start()
        self.addCleanup(self.clock.stop)
        for address in ADDRESSES:
            await self.start(address)
        self.announce(ADDRESSES[0], self.heartbeat(seq=1))
        await self.settle()

    def send(self, _mesh, address, message, *_):
        if address in self.nodes and address not in self.down:
            mailbox.post_now(self.nodes[address].inbox, message)

    def spread(self, mesh, addresses, message):
        for address in addresses:
            self.send(mesh, address, message)

    async def start(self, address):
        """Start a node that knows no upstream, and let it find its peers."""
        task = builders.make_gateway_task([])
        task.gw.address = task.departures.address = address
        self.nodes[address] = task
        running = asyncio.create_task(gateway_task.run(task))
        self.addCleanup(running.cancel)
        peers = tuple(other for other in ADDRESSES if other != address)
        roster = operator_calls.Roster(peers, "")
        mailbox.post_now(task.inbox, roster)
        await self.settle()

    async def settle(self):
        """Let all nodes handle what was sent to them."""
        while True:
            for _ in range(3):
                await asyncio.sleep(0)
            if not any(task.inbox.messages for task in self.nodes.values()):
                return

    async def let_pass(self, duration_ms):
        for _ in range(TICKS):
            self.now_ms += duration_ms // TICKS
            for address, task in self.nodes.items():
                if address not in self.down:
                    mailbox.post_now(task.inbox, gateway.Tick())
            await self.settle()

    def heartbeat(self, **changes):
        announcement = builders.make_announcement(0, "127.0.0.1:9")
        return dataclasses.replace(announcement, **changes)

    def announce(self, address, announcement):
        return self.receive(address, lambda _last: announcement)

    def receive(self, address, make_announcement):
        fut = asyncio.get_running_loop().create_future()
        mailbox.post_now(
            self.nodes[address].inbox,
            gateway_task.AnnouncementReceived(
                UPSTREAM, make_announcement, fut
            ),
        )
        return fut

    async def depart(self, address):
        """Depart at a node, as an upstream does that sends no body."""
        call = operator_calls.Departure(UPSTREAM, b"")
        fut = self.receive(
            address, lambda last: call_wire.complete_departure(call, last)
        )
        await asyncio.wait_for(fut, TIMEOUT_S)

    def users(self):
        """Return the nodes that would send requests to the upstream."""
        return [
            address
            for address, task in self.nodes.items()
            if presence.is_usable(task.gw.table, UPSTREAM, self.now_ms)
        ]

    async def test_a_late_heartbeat_does_not_bring_it_back_after_a_restart(
        self,
    ):
        """A restarted node believed an outdated heartbeat that was relayed."""
        self.assertEqual(self.users(), list(ADDRESSES))
        await self.depart(ADDRESSES[0])
        for late_at in ADDRESSES:
            await self.start(ADDRESSES[2])
            self.announce(late_at, self.heartbeat(seq=1))
            await self.settle()
            with self.subTest(late_at=late_at):
                self.assertEqual(self.users(), [])

    async def test_an_outdated_heartbeat_is_not_relayed(self):
        await self.depart(ADDRESSES[0])
        with mock.patch.object(departure_relays, "answer"):
            await self.start(ADDRESSES[2])
            self.announce(ADDRESSES[0], self.heartbeat(seq=1))
            await self.settle()
            self.assertEqual(self.users(), [])

    async def test_a_node_that_missed_it_learns_of_it_without_its_confirmer(
        self,
    ):
        """A node that was cut off while it was relayed was never told."""
        self.down = {ADDRESSES[2]}
        await self.depart(ADDRESSES[0])
        self.down = {ADDRESSES[0]}
        await self.let_pass(TICKS * departure_relays.QUERY_INTERVAL_MS)
        self.assertNotIn(ADDRESSES[2], self.users())

    async def test_an_upstream_that_an_answer_said_leaves_is_told_so(self):
        notice = presence.LeavingNotice(UPSTREAM, 1)
        mailbox.post_now(
            self.nodes[ADDRESSES[0]].inbox, gateway.LeavingSeen(notice)
        )
        await self.settle()
        with mock.patch.object(departure_relays, "answer"):
            await self.start(ADDRESSES[2])
            self.announce(ADDRESSES[0], self.heartbeat(seq=5))
            await self.settle()
        self.assertEqual(self.users(), [])

    async def test_a_node_that_does_not_know_the_upstream_tells_the_others(
        self,
    ):
        """It confirmed the departure and told nobody."""
        await self.start(ADDRESSES[2])
        await self.depart(ADDRESSES[2])
        self.assertEqual(self.users(), [])
        self.announce(ADDRESSES[2], self.heartbeat(seq=1))
        await self.settle()
        self.assertEqual(self.users(), [])

    async def test_a_repeated_departure_is_confirmed_once_all_know_it(self):
        await self.depart(ADDRESSES[0])
        self.down = {ADDRESSES[0]}
        await self.start(ADDRESSES[2])
        self.announce(ADDRESSES[2], self.heartbeat(seq=1))
        self.down = set()
        await self.depart(ADDRESSES[0])
        await self.settle()
        self.assertEqual(self.users(), [])

    async def test_a_departure_of_an_earlier_process_changes_nothing(self):
        self.announce(ADDRESSES[0], self.heartbeat(born_ms=500, seq=1))
        await self.settle()
        call = operator_calls.Departure(UPSTREAM, b'{"born":1}')
        fut = self.receive(
            ADDRESSES[0], lambda last: call_wire.complete_departure(call, last)
        )
        await asyncio.wait_for(fut, TIMEOUT_S)
        self.assertEqual(self.users(), list(ADDRESSES))

    async def test_departures_are_forgotten_by_all_nodes(self):
        """Nodes that tell one another keep none alive for good."""
        await self.depart(ADDRESSES[0])
        expiry_ms = presence.UPSTREAM_EXPIRY_MS + departures.TOLD_FOR_MS
        for _ in range(expiry_ms // 1000):
            await self.let_pass(1000)
        for task in self.nodes.values():
            self.assertEqual(task.gw.table.upstreams, {})


if __name__ == "__main__":
    unittest.main()
