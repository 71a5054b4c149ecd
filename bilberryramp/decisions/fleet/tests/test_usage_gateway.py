"""Tests of usage limits at a gateway, from the key to the refusal."""

import unittest

from bilberryramp.decisions.fleet.core import calls, traces
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.limits import usage_asks, usage_messages
from bilberryramp.decisions.fleet.tests import builders

NOW_MS = 10_000


def make_gateway(*rows):
    doc = builders.make_document(workspaces=rows)
    upstreams = [builders.make_plain_announcement(u) for u in ("p1", "p2")]
    return builders.make_gateway(doc, upstreams)


def step(gw, message, now_ms=NOW_MS + 5):
    return builders.collect(gateway.step(gw, now_ms, message))


def submit(gw, call_id, key="key-w1"):
    request = builders.make_request("/look/x", key=key)
    return builders.submit(gw, call_id, request)


def answer(gw, amount, now_ms=NOW_MS + 5, **changes):
    fields = {"reserve": 0.0, "short_ms": 500, "reserve_ms": 4000}
    row = usage_messages.Grant("w1", "token", amount, **(fields | changes))
    message = usage_messages.UsageAnswer(gw.usage.ask_id, (row,))
    return step(gw, message, now_ms)


def sent(effects):
    return [e.call_id for e in builders.of_type(effects, calls.SendCall)]


class UsageLimitTest(unittest.TestCase):
    def setUp(self):
        self.gw = make_gateway(
            builders.make_limited_workspace("w1"),
            builders.make_workspace("w2", ("key-w2",)),
        )

    def end(self, call_id, outcome, now_ms=NOW_MS + 9):
        return step(self.gw, calls.AttemptEnded(call_id, outcome), now_ms)

    def test_a_call_is_sent_once_the_leader_has_issued_credit(self):
        effects = submit(self.gw, 1)
        (ask,) = builders.of_type(effects, usage_asks.AskLeader)
        self.assertEqual(ask.ask.wants[0].needed, 100)
        self.assertFalse(sent(effects))
        self.assertEqual(sent(answer(self.gw, 100.0)), [1])

    def test_a_call_over_the_limit_is_refused_with_the_time_of_its_credit(
        self,
    ):
        submit(self.gw, 1)
        effects = answer(self.gw, 0.0, wait_ms=730, is_refused=True)
        (refusal,) = builders.of_type(effects, calls.Refuse)
        expected = calls.Refuse(1, calls.Refusal.USAGE_LIMIT, 730)
        self.assertEqual(refusal, expected)
        (trace,) = (
            effect
            for effect in builders.of_type(effects, traces.Trace)
            if effect.name == "call.refused"
        )
        self.assertEqual(trace.fields["workspace"], "w1")
        self.assertEqual(trace.fields["usage_needed"], 100)
        self.assertEqual(trace.fields["usage_answered_ms_ago"], 0)

    def test_other_workspaces_do_not_wait_behind_one_without_credit(self):
        submit(self.gw, 1)
        self.assertEqual(sent(submit(self.gw, 2, "key-w2")), [2])

    def test_what_did_not_run_pays_for_the_next_attempt(self):
        submit(self.gw, 1)
        answer(self.gw, 100.0)
        effects = self.end(1, calls.AttemptOutcome.NOT_RUN)
        self.assertEqual(sent(effects), [1])

    def test_what_may_have_run_does_not(self):
        submit(self.gw, 1)
        answer(self.gw, 100.0)
        effects = self.end(1, calls.AttemptOutcome.BROKEN)
        self.assertFalse(sent(effects))
        self.assertEqual(self.gw.active[1].phase, "waiting")

    def test_a_client_that_leaves_needs_no_credit(self):
        submit(self.gw, 1)
        step(self.gw, calls.ClientDisconnected(1))
        self.assertFalse(self.gw.usage.accounts["w1"].waiting)

    def test_without_limits_nothing_is_asked(self):
        for rows, key in (
            ((), ""),
            ((builders.make_workspace("w1", ("key-w1",)),), "key-w1"),
        ):
            gw = make_gateway(*rows)
            effects = submit(gw, 1, key) + builders.tick(gw, NOW_MS + 50)
            self.assertEqual(sent(effects), [1])
            self.assertFalse(builders.of_type(effects, usage_asks.AskLeader))
            self.assertFalse(gw.usage.accounts)


if __name__ == "__main__":
    unittest.main()
