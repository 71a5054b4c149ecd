"""Tests that each check reports a history that violates its guarantee."""

import unittest

from bilberryramp.soak import checks, observations
from bilberryramp.soak.tests import builders

NOW = builders.DEFAULT_MS


def failed_checks(*seen):
    history = builders.make_history(*seen)
    every = (*checks.SAFETY, *checks.TIMING)
    return {v.check for v in checks.find_violations(history, every)}


class SafetyTest(unittest.TestCase):
    def test_an_ordinary_request_breaks_nothing(self):
        self.assertFalse(
            failed_checks(builders.sent(), builders.ran(), builders.answer())
        )

    def test_a_second_run(self):
        twice = (builders.ran(), builders.ran(upstream_id="e2-1"))
        self.assertEqual(
            failed_checks(builders.sent(), *twice), {"runs_at_most_once"}
        )
        self.assertFalse(failed_checks(builders.sent(may_repeat=True), *twice))

    def test_a_refusal_of_what_ran(self):
        for status in (429, 503):
            found = failed_checks(
                builders.sent(), builders.ran(), builders.answer(status=status)
            )
            self.assertEqual(found, {"refused_requests_never_ran"})
        found = failed_checks(
            builders.sent(), builders.ran(), builders.answer(status=502)
        )
        self.assertFalse(found)

    def test_an_answer_of_another_request(self):
        wrong = builders.answer(owner="q2")
        self.assertEqual(
            failed_checks(builders.ran(), wrong), {"answers_match_requests"}
        )

    def test_a_part_that_looks_complete(self):
        part = builders.answer(is_whole=False)
        self.assertEqual(
            failed_checks(builders.ran(), part), {"answers_match_requests"}
        )

    def test_a_success_that_never_ran(self):
        self.assertEqual(
            failed_checks(builders.answer()), {"answers_match_requests"}
        )

    def test_a_document_that_was_lost(self):
        last = builders.read_back(3, NOW + 100, is_last=True)
        self.assertEqual(
            failed_checks(builders.accepted(4), last), {"documents_are_kept"}
        )

    def test_a_document_that_is_late(self):
        old = builders.read_back(3, NOW + checks.MAX_APPLY_DELAY_MS + 100)
        self.assertEqual(
            failed_checks(builders.accepted(4), old), {"documents_are_kept"}
        )
        soon = builders.read_back(3, NOW + 100)
        self.assertFalse(failed_checks(builders.accepted(4), soon))

    def test_other_content_under_a_version(self):
        other = builders.read_back(4, NOW + 100, body=b"y")
        self.assertEqual(
            failed_checks(builders.accepted(4), other), {"documents_are_kept"}
        )

    def test_a_fence_that_goes_back(self):
        found = failed_checks(
            builders.ordered("a1", 5), builders.ordered("a1", 4)
        )
        self.assertEqual(found, {"orders_come_from_one_holder"})

    def test_two_holders(self):
        found = failed_checks(
            builders.ordered("a1", 5), builders.ordered("a2", 5)
        )
        self.assertEqual(found, {"orders_come_from_one_holder"})

    def test_a_program_that_ends_by_itself(self):
        for code, was_requested in ((139, False), (1, True), (0, False)):
            ended = observations.ProgramEnded("n1", code, was_requested, NOW)
            self.assertEqual(failed_checks(ended), {"programs_stay_up"})
        self.assertFalse(
            failed_checks(observations.ProgramEnded("n1", 0, True, NOW))
        )


class TimedTest(unittest.TestCase):
    def test_a_run_long_after_a_drain(self):
        acknowledged = observations.DrainAcknowledged("e1-1", NOW)
        late = builders.ran(at_ms=NOW + checks.MAX_DRAIN_MS + 50)
        self.assertEqual(
            failed_checks(acknowledged, late), {"drained_engines_stay_idle"}
        )
        trouble = builders.fault(observations.FaultKind.PAUSE)
        self.assertFalse(failed_checks(acknowledged, late, trouble))

    def test_a_request_cut_by_a_stop(self):
        stop = builders.fault(observations.FaultKind.STOP)
        cut = builders.answer(status=0)
        found = failed_checks(stop, builders.sent(at_ms=NOW - 100), cut)
        self.assertEqual(found, {"stops_abort_no_request"})
        other = builders.sent(node="n2", at_ms=NOW - 100)
        self.assertFalse(failed_checks(stop, other, cut))


if __name__ == "__main__":
    unittest.main()
