"""Property test of the number of upstreams that run one request."""

import random
import unittest

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.fleet.gateway import call_ends, gateway
from bilberryramp.decisions.fleet.tests import builders

SEEDS = range(300)
UPSTREAM_COUNT = 8
CALLS_PER_SEED = 12
OUTCOMES = calls.AttemptOutcome
# Outcomes after which the upstream certainly did not begin the request.
NOT_BEGUN = (
    OUTCOMES.NOT_RUN,
    OUTCOMES.TARGET_MISSING,
    OUTCOMES.NOT_SENT,
    OUTCOMES.UNREACHABLE,
    OUTCOMES.WITHHELD,
)
FAILURES = (calls.Fail, calls.ForwardFailure, calls.Refuse)
BROKEN = calls.Failure.BROKEN
TICK_MS = 50


def make_gateway(rng):
    """Build a gateway whose route allows 1 to 3 attempts."""
    route = builders.make_route(
        "/look/",
        "plain",
        streaming=False,
        repeatable=rng.random() < 0.8,
        max_attempts=rng.randint(1, 3),
        timeout_ms=rng.choice((300, 6000)),
    )
    upstreams = [
        builders.make_plain_announcement(f"p{number}")
        for number in range(UPSTREAM_COUNT)
    ]
    doc = builders.make_document(routes=(route,))
    return builders.make_gateway(doc, upstreams), route


def play(seed):
    """Play calls whose attempts end at random.

    Return the route, the outcomes of each call's attempts, its sends with
    their times, and the failure that it ended with.
    """
    rng = random.Random(seed)
    gw, route = make_gateway(rng)
    gw.budget_limits = builders.retry_budget.Limits(1.0, 1000.0, 10_000)
    weights = [rng.random() ** 2 for _ in OUTCOMES]
    now_ms, running, outcomes, sends, ends = 10_000, [], {}, {}, {}
    for number in range(CALLS_PER_SEED * 10):
        now_ms += rng.randint(0, TICK_MS)
        if number % 10 == 0:
            call_id = number // 10 + 1
            arrived_ms = now_ms - rng.choice((0, 0, 40, 400))
            request = builders.make_request("/look/x", client_timeout_ms=2000)
            message = calls.CallArrived(call_id, request, arrived_ms)
            outcomes[call_id], sends[call_id] = [], []
        elif running:
            call_id = running.pop(rng.randrange(len(running)))
            (outcome,) = rng.choices(list(OUTCOMES), weights)
            outcomes[call_id].append(outcome)
            message = calls.AttemptEnded(call_id, outcome)
        else:
            message = gateway.Tick()
        for effect in gateway.step(gw, now_ms, message):
            if isinstance(effect, calls.SendCall):
                running.append(effect.call_id)
                sends[effect.call_id].append((now_ms, effect))
            elif isinstance(effect, FAILURES):
                ends[effect.call_id] = effect
    return route, outcomes, sends, ends


def _count_sends(sent, outcomes) -> int:
    """Return the number of sends of a call that were not withheld."""
    return len(sent) - outcomes.count(OUTCOMES.WITHHELD)


class AttemptFuzzTest(unittest.TestCase):
    def test_no_more_upstreams_begin_a_request_than_its_route_allows(self):
        for seed in SEEDS:
            route, outcomes, sends, _ = play(seed)
            for call_id, sent in sends.items():
                begun = [o for o in outcomes[call_id] if o not in NOT_BEGUN]
                # An attempt that has not ended may have begun.
                open_count = len(sent) - len(outcomes[call_id])
                allowed = route.max_attempts if route.repeatable else 1
                with self.subTest(seed=seed, call_id=call_id):
                    self.assertLessEqual(len(begun) + open_count, allowed)
                    self.assertLessEqual(
                        _count_sends(sent, outcomes[call_id]),
                        call_ends.MAX_SENDS,
                    )

    def test_all_attempts_of_a_call_end_at_the_same_time(self):
        for seed in SEEDS:
            _, _, sends, _ = play(seed)
            for call_id, sent in sends.items():
                with self.subTest(seed=seed, call_id=call_id):
                    deadlines = {effect.deadline_ms for _, effect in sent}
                    self.assertLessEqual(len(deadlines), 1)
                    for at_ms, effect in sent:
                        self.assertLess(at_ms, effect.deadline_ms)

    def test_an_answered_failure_is_forwarded(self):
        """A call fails as broken only if its last run did not answer."""
        reported = set()
        for seed in SEEDS:
            _, outcomes, _, ends = play(seed)
            for call_id, end in ends.items():
                begun = [o for o in outcomes[call_id] if o not in NOT_BEGUN]
                if not begun:
                    continue
                is_broken = end == calls.Fail(call_id, BROKEN)
                is_forwarded = isinstance(end, calls.ForwardFailure)
                reported.add((begun[-1], is_broken, is_forwarded))
        failed, broken = OUTCOMES.FAILED, OUTCOMES.BROKEN
        self.assertNotIn((failed, True, False), reported)
        self.assertNotIn((broken, False, True), reported)
        self.assertIn((failed, False, True), reported)
        self.assertIn((broken, True, False), reported)

    def test_the_histories_reach_the_bounds(self):
        """The properties would hold if nothing were ever repeated."""
        begun_counts, send_counts = set(), set()
        for seed in SEEDS:
            _, outcomes, sends, _ = play(seed)
            for call_id, sent in sends.items():
                begun = [o for o in outcomes[call_id] if o not in NOT_BEGUN]
                begun_counts.add(len(begun))
                send_counts.add(_count_sends(sent, outcomes[call_id]))
        self.assertEqual(begun_counts, {0, 1, 2, 3})
        self.assertEqual(max(send_counts), call_ends.MAX_SENDS)


if __name__ == "__main__":
    unittest.main()
