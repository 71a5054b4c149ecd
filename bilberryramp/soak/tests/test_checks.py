"""Each check is shown failing on a history that breaks its promise."""

import unittest

from bilberryramp.soak import checks, observations
from bilberryramp.soak.tests import builders as made

NOW = made.DEFAULT_MS


def broken(*seen):
    history = made.a_history(*seen)
    every = (*checks.SAFETY, *checks.TIMED)
    return {v.check for v in checks.find_violations(history, every)}


class SafetyTest(unittest.TestCase):
    def test_an_ordinary_request_breaks_nothing(self):
        self.assertFalse(broken(made.sent(), made.ran(), made.answer()))

    def test_a_second_run(self):
        twice = (made.ran(), made.ran(upstream_id="e2-1"))
        self.assertEqual(broken(made.sent(), *twice), {"runs_at_most_once"})
        self.assertFalse(broken(made.sent(may_repeat=True), *twice))

    def test_a_refusal_of_what_ran(self):
        for status in (429, 503):
            found = broken(made.sent(), made.ran(), made.answer(status=status))
            self.assertEqual(found, {"refusals_are_true"})
        found = broken(made.sent(), made.ran(), made.answer(status=502))
        self.assertFalse(found)

    def test_an_answer_of_another_request(self):
        wrong = made.answer(owner="q2")
        self.assertEqual(broken(made.ran(), wrong), {"answers_are_rightful"})

    def test_a_part_that_looks_complete(self):
        part = made.answer(is_whole=False)
        self.assertEqual(broken(made.ran(), part), {"answers_are_rightful"})

    def test_a_success_that_never_ran(self):
        self.assertEqual(broken(made.answer()), {"answers_are_rightful"})

    def test_a_document_that_was_lost(self):
        last = made.read_back(3, NOW + 100, is_last=True)
        self.assertEqual(
            broken(made.accepted(4), last), {"documents_are_kept"}
        )

    def test_a_document_that_is_late(self):
        old = made.read_back(3, NOW + checks.APPLY_MS + 100)
        self.assertEqual(broken(made.accepted(4), old), {"documents_are_kept"})
        soon = made.read_back(3, NOW + 100)
        self.assertFalse(broken(made.accepted(4), soon))

    def test_other_content_under_a_version(self):
        other = made.read_back(4, NOW + 100, body=b"y")
        self.assertEqual(
            broken(made.accepted(4), other), {"documents_are_kept"}
        )

    def test_a_fence_that_goes_back(self):
        found = broken(made.ordered("a1", 5), made.ordered("a1", 4))
        self.assertEqual(found, {"orders_come_from_one_holder"})

    def test_two_holders(self):
        found = broken(made.ordered("a1", 5), made.ordered("a2", 5))
        self.assertEqual(found, {"orders_come_from_one_holder"})

    def test_a_program_that_ends_by_itself(self):
        for code, was_asked in ((139, False), (1, True), (0, False)):
            ended = observations.ProgramEnded("n1", code, was_asked, NOW)
            self.assertEqual(broken(ended), {"programs_stay_up"})
        self.assertFalse(broken(observations.ProgramEnded("n1", 0, True, NOW)))


class TimedTest(unittest.TestCase):
    def test_a_run_long_after_a_drain(self):
        acked = observations.DrainAcknowledged("e1-1", NOW)
        late = made.ran(at_ms=NOW + checks.DRAIN_MS + 50)
        self.assertEqual(broken(acked, late), {"drains_are_kept"})
        trouble = made.fault(observations.FaultKind.PAUSE)
        self.assertFalse(broken(acked, late, trouble))

    def test_a_request_cut_by_a_stop(self):
        stop = made.fault(observations.FaultKind.STOP)
        cut = made.answer(status=0)
        found = broken(stop, made.sent(at_ms=NOW - 100), cut)
        self.assertEqual(found, {"stops_cut_nothing"})
        other = made.sent(node="n2", at_ms=NOW - 100)
        self.assertFalse(broken(stop, other, cut))


if __name__ == "__main__":
    unittest.main()
