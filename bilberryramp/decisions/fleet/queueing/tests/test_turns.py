import unittest

from bilberryramp.decisions.fleet.core import documents
from bilberryramp.decisions.fleet.queueing import turns
from bilberryramp.decisions.fleet.queueing.tests import builders
from bilberryramp.decisions.fleet.routing import scheduling


def order(state, waiting, now_ms=100):
    """Return the numbers of calls in turn, all with equal work."""
    ordered = turns.in_turn(
        state,
        waiting,
        lambda _call: 10.0,
        lambda call: scheduling.queue_sort_key(call, now_ms),
        now_ms,
    )
    return [call.call_id for call in ordered]


class TurnsTest(unittest.TestCase):
    def test_a_workspace_waits_behind_its_own_work(self):
        busy, other = map(builders.make_workspace, ("busy", "other"))
        waiting = [
            *(builders.make_call(n, busy, n) for n in range(4)),
            builders.make_call(9, other, 50),
        ]
        self.assertEqual(order(turns.Turns(), waiting), [0, 9, 1, 2, 3])

    def test_what_was_sent_of_late_counts_and_is_forgotten(self):
        busy, other = map(builders.make_workspace, ("busy", "other"))
        state = turns.Turns()
        turns.record_sent(state, busy, 1000.0, 0)
        waiting = [
            builders.make_call(1, busy, 0),
            builders.make_call(2, other, 50),
        ]
        self.assertEqual(order(state, waiting), [2, 1])
        turns.record_sent(state, other, 100.0, 30 * turns.HALF_LIFE_MS)
        later_ms = 30 * turns.HALF_LIFE_MS
        self.assertEqual(order(state, waiting, later_ms), [1, 2])

    def test_a_larger_limit_is_a_larger_part(self):
        large, small = (
            builders.make_workspace("large", 300.0),
            builders.make_workspace("small", 100.0),
        )
        state = turns.Turns(weights=turns.make_weights((large, small)))
        waiting = [
            *(builders.make_call(n, large, n) for n in range(3)),
            *(builders.make_call(10 + n, small, n) for n in range(2)),
        ]
        self.assertEqual(order(state, waiting), [0, 10, 1, 2, 11])

    def test_limits_in_different_units_are_not_compared(self):
        spaces = (
            builders.make_workspace("a", 300.0),
            builders.make_workspace("b", 2.0, documents.UsageUnit.REQUEST),
        )
        self.assertEqual(turns.make_weights(spaces), {"a": 1.0, "b": 1.0})

    def test_urgency_goes_before_turns(self):
        busy, other = map(builders.make_workspace, ("busy", "other"))
        state = turns.Turns()
        turns.record_sent(state, busy, 1000.0, 0)
        waiting = [
            builders.make_call(1, busy, 0, urgency=0),
            builders.make_call(2, other, 0, urgency=1),
        ]
        self.assertEqual(order(state, waiting), [1, 2])
