"""Tests of control's operator interface beside the end of its replica."""

import asyncio
import unittest

import aiohttp

from bilberryramp.programs import launch
from bilberryramp.standins.tests import builders as standin_builders
from bilberryramp.tasks import control_node, mailbox, operator_api

TIMEOUT_S = 60


class EndedReplicaTest(unittest.IsolatedAsyncioTestCase):
    """Operators whose requests the replica's task does not answer any more."""

    async def asyncSetUp(self):
        self.inbox, self.ended = mailbox.Mailbox(), asyncio.Event()
        listener, port = await launch.listen(
            operator_api.make_app(self.inbox, self.ended),
            "operators",
            "127.0.0.1",
            0,
        )
        self.addCleanup(listener.server.close)
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(self.session.close)

    async def call(self, method, path, body=None):
        async with asyncio.timeout(TIMEOUT_S):
            async with self.session.request(method, path, data=body) as resp:
                return resp.status, await resp.json()

    async def test_status_of_an_ended_replica_is_refused(self):
        """The request for the status waited for ever."""
        self.ended.set()
        status, body = await self.call("GET", "/v1/status")
        self.assertEqual((status, list(body)), (503, ["error"]))

    async def test_a_request_that_the_replica_leaves_unanswered_is_refused(
        self,
    ):
        call = asyncio.create_task(self.call("GET", "/v1/status"))
        async with asyncio.timeout(TIMEOUT_S):
            (message,) = await mailbox.receive_all(self.inbox)
        self.assertIsInstance(message, control_node.StatusRequest)
        self.ended.set()
        self.assertEqual((await call)[0], 503)

    async def test_a_submission_to_an_ended_replica_is_unknown(self):
        self.ended.set()
        body = standin_builders.submission_body()
        status, reply = await self.call("POST", "/v1/tables", body)
        self.assertEqual((status, reply["outcome"]), (503, "unknown"))


if __name__ == "__main__":
    unittest.main()
