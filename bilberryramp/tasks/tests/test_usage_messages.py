"""Tests of usage credits in the gateway's task: the leader's own asks."""

import dataclasses
import types
import unittest
from unittest import mock

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.limits import usage_issuer
from bilberryramp.decisions.fleet.register import register
from bilberryramp.decisions.fleet.tests import builders as fleet_builders
from bilberryramp.tasks import clock, gateway_task, mailbox, register_task
from bilberryramp.tasks.tests import builders


def handle_all(task):
    while task.inbox.messages:
        message = task.inbox.messages.popleft()
        gateway_task._handle(task, clock.boot_ms(), message)


class UsageMessagesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.task = task = builders.make_gateway_task([])
        task.mesh = types.SimpleNamespace(dropped=0)
        task.leader = task.gw.address
        workspaces = (fleet_builders.make_limited_workspace("w1"),)
        self.doc = fleet_builders.make_document(
            version=100, workspaces=workspaces
        )
        now_ms = clock.boot_ms()
        gateway_task._step(task, now_ms, gateway.DocumentInForce(self.doc))
        announcement = fleet_builders.make_plain_announcement("p1")
        gateway_task._step(task, now_ms, announcement)
        usage_issuer.set_document(task.issuer, self.doc, now_ms)

    def submit(self):
        request = fleet_builders.make_request("/look/x", key="key-w1")
        fut = gateway_task.next_decision(self.task, 1)
        arrived = calls.CallArrived(1, request, clock.boot_ms())
        mailbox.post_now(self.task.inbox, arrived)
        handle_all(self.task)
        return fut

    async def test_the_leader_issues_credit_to_its_own_calls(self):
        issuer = self.task.issuer
        proof = usage_issuer.Leadership(1, clock.boot_ms() + 10**6)
        mailbox.post_now(self.task.inbox, proof)
        handle_all(self.task)
        issuer.led_since_ms -= 60_000
        fut = self.submit()
        self.assertIsInstance(fut.result(), calls.SendCall)
        text = gateway_task.render_metrics(self.task)
        self.assertIn('usage_bucket_depth{workspace="w1"}', text)
        self.assertIn('usage_calls_waiting{workspace="w1"} 0\n', text)

    async def test_a_call_waits_while_no_leader_answers(self):
        fut = self.submit()
        self.assertFalse(fut.done())
        self.assertEqual(len(self.task.gw.usage.accounts["w1"].waiting), 1)

    async def test_a_charged_send_that_waited_is_judged_anew(self):
        send = calls.SendCall(1, "p1", "a:1", 0, 0, 1, is_charged=True)
        self.assertFalse(gateway_task.may_send(self.task, send))

    async def test_newer_proofs_of_leading_are_published(self):
        inbox = mailbox.Mailbox()
        task = register_task.RegisterTask(
            None, "", 0, mailbox.Mailbox(), inbox, None
        )
        first = usage_issuer.Leadership(1, 500)
        proofs = [first, first, usage_issuer.Leadership()]
        proofs.append(dataclasses.replace(first, until_ms=600))
        with mock.patch.object(register, "leadership", side_effect=proofs):
            for _ in proofs:
                register_task.publish_leadership(task)
        self.assertEqual(list(inbox.messages), [first, proofs[-1]])


if __name__ == "__main__":
    unittest.main()
