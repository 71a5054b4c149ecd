"""Tests of keys that change while a request waits for its connection."""

import asyncio
import dataclasses
import unittest

import aiohttp

from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.tests import builders as fleet_builders
from bilberryramp.platform.tests import builders
from bilberryramp.tasks import mailbox
from bilberryramp.tasks.tests import builders as task_builders

TEST_TIMEOUT_S = 30


class KeyChangeTest(unittest.IsolatedAsyncioTestCase):
    async def apply(self, *rows):
        """Bring a document with these workspaces into force."""
        gw = self.front.gateway.gw
        while gw.doc is None:
            await asyncio.sleep(0.005)
        doc = dataclasses.replace(
            gw.doc, version=gw.doc.version + 1, workspaces=rows
        )
        mailbox.post_now(
            self.front.gateway.inbox, gateway.DocumentInForce(doc)
        )
        while gw.doc is not doc:
            await asyncio.sleep(0.005)

    async def change_while_connecting(self, *rows):
        """Return the status of a call whose key changes, and the upstream."""
        server = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        address = f"127.0.0.1:{server.port}"
        self.front, port = await builders.start_frontend(self, [address])
        gate = builders.hold_connections(self.front.session.http)
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            await self.apply(
                fleet_builders.make_workspace("w1", ("key-0001",))
            )
            call = asyncio.create_task(
                builders.call_frontend(
                    session, port, "q1", **{"X-Api-Key": "key-0001"}
                )
            )
            while not gate.waiting:
                await asyncio.sleep(0.005)
            await self.apply(*rows)
            gate.is_open = True
            for events in gate.waiting.values():
                for event in events:
                    event.set()
            status, _, _ = await call
        return status, server.requests

    async def test_without_its_key_it_is_not_sent(self):
        self.assertEqual(
            await self.change_while_connecting(
                fleet_builders.make_workspace("w1", ("key-0002",))
            ),
            (401, []),
        )

    async def test_it_is_sent_for_the_workspace_that_has_its_key(self):
        status, requests = await self.change_while_connecting(
            fleet_builders.make_workspace("w2", ("key-0001",))
        )
        names = [r.headers["x-bilberryramp-tenant"] for r in requests]
        self.assertEqual((status, names), (200, ["w2"]))


if __name__ == "__main__":
    unittest.main()
