"""Tests of the task that runs a gateway."""

import asyncio
import dataclasses
import threading
import unittest

from bilberryramp.decisions.fleet.core import calls, documents
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.orders import order_holders
from bilberryramp.decisions.fleet.register import register
from bilberryramp.decisions.fleet.routing import upstream_pauses
from bilberryramp.tasks import clock, gateway_task, mailbox
from bilberryramp.tasks.tests import builders

TIMEOUT_S = 20


def make_request(path):
    return calls.Request("q1", builders.HOST, path, 1000, None)


class GatewayTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.task = builders.make_gateway_task(["127.0.0.1:9"])
        running = asyncio.create_task(gateway_task.run(self.task))
        self.addCleanup(running.cancel)

    async def decide(self, call_id, req):
        fut = gateway_task.next_decision(self.task, call_id)
        arrived = calls.CallArrived(call_id, req, clock.boot_ms())
        mailbox.post_now(self.task.inbox, arrived)
        return await asyncio.wait_for(fut, TIMEOUT_S)

    async def test_an_unexpected_error_ends_one_call_only(self):
        """An error in a call's handling ended the process of the node."""
        decision = await self.decide(1, make_request(path=None))
        self.assertEqual(decision, calls.Fail(1, calls.Failure.BROKEN))
        decision = await self.decide(2, make_request("/once/x"))
        self.assertIsInstance(decision, calls.SendCall)

    async def test_an_unexpected_error_leaves_no_load_behind(self):
        await self.decide(1, make_request("/once/x"))
        fut = gateway_task.next_decision(self.task, 1)
        broken = calls.AttemptEnded(1, outcome=None)
        mailbox.post_now(self.task.inbox, broken)
        decision = await asyncio.wait_for(fut, TIMEOUT_S)
        self.assertIsInstance(decision, calls.Fail)
        self.assertEqual(self.task.gw.loads.own["u0"].calls, 0)
        self.assertFalse(self.task.gw.active)


class DocumentTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.task = builders.make_gateway_task([])
        self.task.decode_document = self.decode
        self.threads = {}
        running = asyncio.create_task(gateway_task.run(self.task))
        self.addCleanup(running.cancel)

    def decode(self, body):
        self.threads[len(body)] = threading.current_thread()
        version = int(body)
        return documents.Document(version, (), {}, documents.CallLimits())

    async def commit(self, version, size, in_force=None):
        body = str(version).rjust(size).encode()
        mailbox.post_now(
            self.task.inbox, register.Committed(version, body, (1, version))
        )
        async with asyncio.timeout(TIMEOUT_S):
            while self.task.gw.doc.version != (in_force or version):
                await asyncio.sleep(0.005)

    async def test_a_large_document_is_decoded_beside_the_loop(self):
        mailbox.post_now(self.task.inbox, gateway.Tick())
        while self.task.gw.doc is None:
            await asyncio.sleep(0.005)
        await self.commit(5, 100)
        await self.commit(6, 100_000)
        self.assertIs(self.threads[100], threading.current_thread())
        self.assertIsNot(self.threads[100_000], threading.current_thread())

    async def test_a_document_that_cannot_be_decoded_ends_nothing(self):
        while self.task.gw.doc is None:
            await asyncio.sleep(0.005)
        await self.commit("x", 100_000, in_force=1)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.task.task_metrics.counters:
                await asyncio.sleep(0.005)
        await self.commit(7, 100_000)


class HolderReportTest(unittest.TestCase):
    def test_a_holder_knows_a_new_process_before_its_pause(self):
        # Guards against orders during a pause that a new process took over.
        address = "127.0.0.1:9"
        task = builders.make_gateway_task([address])
        task.holder_inbox = mailbox.Mailbox()
        first = builders.make_announcement(0, address)
        notice = upstream_pauses.PauseNotice(
            first.upstream_id, address, first.born_ms, 4000
        )
        later = dataclasses.replace(first, born_ms=first.born_ms + 1)
        now_ms = clock.boot_ms()
        for message in (first, gateway.PauseSeen(notice), later):
            gateway_task._step(task, now_ms, message)
        reports = [
            (type(report), getattr(report, "born_ms", None))
            for report in task.holder_inbox.messages
        ]
        self.assertEqual(
            reports[-2:],
            [
                (order_holders.EngineSeen, None),
                (order_holders.EnginePaused, later.born_ms),
            ],
        )


if __name__ == "__main__":
    unittest.main()
