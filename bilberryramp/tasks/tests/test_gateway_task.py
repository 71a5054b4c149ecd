"""Tests of the task that runs a gateway."""

import asyncio
import dataclasses
import unittest

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.orders import order_holders
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
