"""Tests of the bucket of the leader and of the credits of a node."""

import dataclasses
import unittest

from bilberryramp.decisions.fleet.core import documents
from bilberryramp.decisions.fleet.limits import (
    usage_asks,
    usage_credits,
    usage_issuer,
    usage_messages,
    usage_terms,
)
from bilberryramp.decisions.fleet.tests import builders

EXACTNESS = usage_terms.Exactness(8000, 0.1, 4000.0)
WORKSPACE = builders.make_limited_workspace(rate=10_000.0, burst=10_000.0)
TERMS = usage_terms.make_terms(WORKSPACE.usage_limit, EXACTNESS)
START_MS = 100_000
FULL_MS = START_MS + 60_000


def make_issuer(workspaces=(WORKSPACE,), since_ms=START_MS):
    issuer = usage_issuer.Issuer(EXACTNESS)
    doc = dataclasses.replace(builders.make_document(), workspaces=workspaces)
    usage_issuer.set_document(issuer, doc, since_ms)
    usage_issuer.set_leadership(
        issuer, usage_issuer.Leadership(1, 10**9), since_ms
    )
    return issuer


def ask(needed, least=None, ahead=0.0, reserve=0.0, ask_id=1):
    want = usage_messages.Want(
        "w1", "token", needed, needed if least is None else least, ahead,
        reserve,
    )  # fmt: skip
    return usage_messages.UsageAsk("n1", ask_id, (want,))


def answer(issuer, message, now_ms):
    effects = list(usage_issuer.answer(issuer, message, now_ms))
    return effects[-1].message if effects else None


def grant(issuer, message, now_ms):
    return answer(issuer, message, now_ms).grants[0]


class TermsTest(unittest.TestCase):
    def test_rate_depth_and_reserve_stay_within_the_limit(self):
        for rate, burst, exactness in (
            (230_000, 230_000, usage_terms.Exactness(8000, 0.1, 110_000)),
            (50, 0, usage_terms.Exactness(8000, 0.1, 0)),
            (1, 1, usage_terms.Exactness(1000, 0, 0)),
            (0, 5, usage_terms.Exactness(8000, 0.1, 0)),
            (0.1, 3, usage_terms.Exactness(2000, 0.05, 1)),
        ):
            limit = documents.UsageLimit(
                documents.UsageUnit.REQUEST, rate, burst, 0
            )
            terms = usage_terms.make_terms(limit, exactness)
            span_s = (exactness.window_ms + 1000 + terms.short_ms) / 1000
            most = terms.rate * span_s + terms.depth + terms.reserve
            bound = rate * exactness.window_ms / 1000 + burst
            bound = bound * (1 + exactness.overage) + exactness.slack
            self.assertLessEqual(most, bound + 1e-6)
            self.assertGreater(terms.rate, 0)
            self.assertGreaterEqual(terms.depth, 1)

    def test_the_slack_of_a_large_deployment_leaves_the_whole_rate(self):
        limit = builders.make_limited_workspace(
            rate=230e3, burst=230e3
        ).usage_limit
        exactness = usage_terms.Exactness(8000, 0.1, 110_000)
        self.assertEqual(usage_terms.make_terms(limit, exactness).rate, 230e3)


class IssuerTest(unittest.TestCase):
    def test_a_new_leader_begins_with_an_empty_bucket_that_fills(self):
        issuer = make_issuer()
        self.assertEqual(usage_issuer.level_of(issuer, "w1", START_MS), 0)
        level = usage_issuer.level_of(issuer, "w1", START_MS + 100)
        self.assertAlmostEqual(level, TERMS.rate / 10)
        level = usage_issuer.level_of(issuer, "w1", FULL_MS)
        self.assertAlmostEqual(level, TERMS.depth)

    def test_nothing_is_issued_without_a_proof_of_leading(self):
        issuer = make_issuer()
        past = usage_issuer.Leadership(1, FULL_MS - 1)
        usage_issuer.set_leadership(issuer, past, FULL_MS - 1000)
        self.assertIsNone(answer(issuer, ask(10.0), FULL_MS))

    def test_in_a_new_term_the_bucket_is_empty_and_after_a_gap_it_is_not(
        self,
    ):
        for term, level in ((1, TERMS.depth), (2, 0.0)):
            issuer = make_issuer()
            for proof, now_ms in (
                (usage_issuer.Leadership(1, FULL_MS), START_MS),
                (usage_issuer.Leadership(term, 10**9), FULL_MS + 1),
            ):
                usage_issuer.set_leadership(issuer, proof, now_ms)
            actual = usage_issuer.level_of(issuer, "w1", FULL_MS + 1)
            self.assertEqual(actual, level)

    def test_calls_wait_for_credit_that_comes_soon_and_others_are_refused(
        self,
    ):
        issuer = make_issuer()
        first = grant(issuer, ask(TERMS.depth), FULL_MS)
        self.assertEqual((first.amount, first.wait_ms), (TERMS.depth, 0))
        soon = grant(issuer, ask(500.0), FULL_MS)
        self.assertEqual((soon.amount, soon.is_refused), (0, False))
        self.assertEqual(soon.wait_ms, 51)
        refused = grant(issuer, ask(TERMS.depth), FULL_MS)
        self.assertTrue(refused.is_refused)
        later = FULL_MS + refused.wait_ms
        self.assertEqual(
            grant(issuer, ask(TERMS.depth), later).amount, TERMS.depth
        )

    def test_reserves_come_late_and_only_up_to_their_bound(self):
        issuer = make_issuer()
        wanted = ask(0.0, reserve=TERMS.reserve)
        early = grant(issuer, wanted, START_MS + TERMS.reserve_ms)
        self.assertEqual(early.reserve, 0)
        total = sum(
            grant(issuer, wanted, FULL_MS + delay_ms).reserve
            for delay_ms in range(0, TERMS.reserve_ms, 100)
        )
        self.assertAlmostEqual(total, TERMS.reserve)

    def test_a_lower_limit_shrinks_the_bucket_at_once(self):
        issuer = make_issuer()
        usage_issuer.level_of(issuer, "w1", FULL_MS)
        lower = builders.make_limited_workspace(rate=100.0, burst=100.0)
        doc = dataclasses.replace(
            builders.make_document(), workspaces=(lower,)
        )
        usage_issuer.set_document(issuer, doc, FULL_MS)
        terms = usage_terms.make_terms(lower.usage_limit, EXACTNESS)
        level = usage_issuer.level_of(issuer, "w1", FULL_MS)
        self.assertEqual(level, terms.depth)


class CreditsTest(unittest.TestCase):
    def setUp(self):
        self.credits = usage_credits.Credits(ask_id=7)

    def charge(self, call_id, tokens, now_ms):
        call = builders.make_limited_call(call_id, tokens, WORKSPACE)
        return call, usage_credits.charge(self.credits, call, now_ms)

    def due(self, now_ms):
        effects = usage_asks.due_ask(self.credits, "n1", now_ms)
        return [
            effect.ask
            for effect in effects
            if isinstance(effect, usage_asks.AskLeader)
        ]

    def accept(self, amount, now_ms, ask_id=None, **changes):
        fields = {"reserve": 0.0, "short_ms": 500, "reserve_ms": 4000}
        row = usage_messages.Grant("w1", "token", amount, **(fields | changes))
        ask_id = self.credits.ask_id if ask_id is None else ask_id
        message = usage_messages.UsageAnswer(ask_id, (row,))
        return usage_asks.accept_answer(self.credits, message, now_ms)

    def test_a_call_waits_for_credit_until_the_answer(self):
        call, charged = self.charge(1, 900, 0)
        self.assertFalse(charged)
        (message,) = self.due(0)
        self.assertEqual(message.wants[0].needed, 900)
        self.assertEqual(self.due(5), [])
        self.assertTrue(self.accept(900.0, 6))
        self.assertTrue(usage_credits.charge(self.credits, call, 6))
        self.assertFalse(self.charge(2, 1, 6)[1])

    def test_answers_to_other_asks_are_ignored(self):
        self.charge(1, 900, 0)
        self.due(0)
        self.assertFalse(self.accept(900.0, 5, ask_id=3))
        self.assertTrue(self.accept(900.0, 5))
        self.assertFalse(self.accept(900.0, 5))

    def test_credit_ends_a_time_after_it_was_asked_for(self):
        for end_ms, is_charged in ((500, True), (501, False)):
            self.credits = usage_credits.Credits()
            call, _ = self.charge(1, 900, 0)
            self.due(0)
            self.accept(900.0, 140)
            charged = usage_credits.charge(self.credits, call, end_ms)
            self.assertEqual(charged, is_charged)

    def test_what_did_not_run_is_given_back_once(self):
        call, _ = self.charge(1, 900, 0)
        self.due(0)
        self.accept(900.0, 5)
        usage_credits.charge(self.credits, call, 5)
        self.assertEqual(usage_credits.refund(self.credits, call, 9), 900)
        self.assertEqual(usage_credits.refund(self.credits, call, 9), 0)
        self.assertTrue(self.charge(2, 900, 9)[1])
        self.assertFalse(self.charge(3, 900, 9)[1])

    def test_reserves_are_spent_only_while_no_leader_answers(self):
        call, _ = self.charge(1, 900, 0)
        self.due(0)
        self.accept(0.0, 5, reserve=900.0, wait_ms=20)
        self.assertFalse(usage_credits.charge(self.credits, call, 30))
        self.due(30)
        self.due(30 + usage_asks.GAP_MS)
        self.assertTrue(usage_credits.charge(self.credits, call, 90))

    def test_refused_calls_are_told_when_to_return(self):
        call, _ = self.charge(1, 900, 0)
        self.due(0)
        later, _ = self.charge(2, 900, 1)
        self.accept(0.0, 5, wait_ms=700, is_refused=True)
        self.assertEqual(usage_credits.refusal_ms(self.credits, call), 700)
        self.assertEqual(usage_credits.refusal_ms(self.credits, later), 0)

    def test_steady_demand_is_asked_for_ahead(self):
        for number in range(50):
            self.charge(number, 100, 20 * number)
        call = builders.make_limited_call(49, 100, WORKSPACE)
        for number in range(50):
            call.call_id = number
            usage_credits.forget(self.credits, call)
        (message,) = self.due(1000)
        self.assertGreater(message.wants[0].ahead, 400)

    def test_without_limits_nothing_is_asked_or_kept(self):
        free = dataclasses.replace(WORKSPACE, usage_limit=None)
        for workspace in (None, free):
            call = builders.make_limited_call(1, 900, workspace)
            self.assertTrue(usage_credits.charge(self.credits, call, 0))
            self.assertEqual(self.due(0), [])
            self.assertEqual(usage_credits.refund(self.credits, call, 0), 0)
        self.assertEqual(self.credits, usage_credits.Credits(ask_id=7))


if __name__ == "__main__":
    unittest.main()
