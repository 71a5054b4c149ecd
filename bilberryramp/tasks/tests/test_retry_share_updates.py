"""Tests of what the gateway is told of its share of the retry budgets."""

import types
import unittest
from unittest import mock

from bilberryramp.decisions.fleet.gateway import gateway_state
from bilberryramp.decisions.fleet.limits import retry_budget, retry_shares
from bilberryramp.decisions.fleet.register import register
from bilberryramp.tasks import gateway_task, mailbox, register_task
from bilberryramp.tasks.tests import builders


class RetryShareUpdatesTest(unittest.TestCase):
    def test_renewals_are_posted_at_intervals_and_changes_at_once(self):
        gateway_inbox = mailbox.Mailbox()
        task = register_task.RegisterTask(
            None, "", 0, mailbox.Mailbox(), gateway_inbox, None
        )
        granted = retry_shares.Share(3, 10_000, "granted")
        renewed = retry_shares.Share(3, 10_000 + 50, "granted")
        later = retry_shares.Share(3, 10_400, "granted")
        smaller = retry_shares.Share(4, 10_410, "granted")
        expired = retry_shares.Share(0, -1, "expired")
        shares = [granted, renewed, later, smaller, expired, expired]
        with mock.patch.object(register, "retry_share", side_effect=shares):
            for _ in shares:
                register_task.publish_share(task)
        self.assertEqual(
            list(gateway_inbox.messages), [granted, later, smaller, expired]
        )

    def test_metrics_show_each_budget(self):
        task = builders.make_gateway_task([])
        task.mesh = types.SimpleNamespace(dropped=0)
        budget = gateway_state.service_budget(task.gw, "s1")
        retry_budget.record_retry(budget, task.gw.budget_limits, 10**12)
        text = gateway_task.render_metrics(task)
        self.assertIn('retry_budget_spent{service="s1"} 1\n', text)
        self.assertIn('retry_budget_allowance{service="s1"} 54\n', text)


if __name__ == "__main__":
    unittest.main()
