"""Tests that each check reports a history that violates its guarantee."""

import unittest

from bilberryramp.soak import checks, fault_periods, observations
from bilberryramp.soak.tests import builders

NOW_MS = builders.DEFAULT_MS


def failed_checks(*observed):
    history = builders.make_history(*observed)
    all_checks = (*checks.SAFETY, *checks.TIMING)
    return {v.check for v in checks.find_violations(history, all_checks)}


class SafetyTest(unittest.TestCase):
    def test_ordinary_request_passes(self):
        self.assertFalse(
            failed_checks(builders.sent(), builders.ran(), builders.answer())
        )

    def test_second_run_is_reported(self):
        twice = (builders.ran(), builders.ran(upstream_id="e2-1"))
        self.assertEqual(
            failed_checks(builders.sent(), *twice), {"runs_at_most_once"}
        )
        self.assertFalse(failed_checks(builders.sent(may_repeat=True), *twice))

    def test_refusal_of_executed_request_is_reported(self):
        for status in (429, 503):
            failures = failed_checks(
                builders.sent(), builders.ran(), builders.answer(status=status)
            )
            self.assertEqual(failures, {"refused_requests_never_ran"})
        failures = failed_checks(
            builders.sent(), builders.ran(), builders.answer(status=502)
        )
        self.assertFalse(failures)

    def test_answer_of_another_request_is_reported(self):
        wrong = builders.answer(owner="q2")
        self.assertEqual(
            failed_checks(builders.ran(), wrong), {"answers_match_requests"}
        )

    def test_incomplete_answer_is_reported(self):
        part = builders.answer(is_whole=False)
        self.assertEqual(
            failed_checks(builders.ran(), part), {"answers_match_requests"}
        )

    def test_success_without_run_is_reported(self):
        self.assertEqual(
            failed_checks(builders.answer()), {"answers_match_requests"}
        )

    def test_lost_document_is_reported(self):
        last = builders.read_back(3, NOW_MS + 100, is_last=True)
        self.assertEqual(
            failed_checks(builders.accepted(4), last), {"documents_are_kept"}
        )

    def test_late_document_is_reported(self):
        old = builders.read_back(3, NOW_MS + checks.MAX_APPLY_DELAY_MS + 100)
        self.assertEqual(
            failed_checks(builders.accepted(4), old), {"documents_are_kept"}
        )
        soon = builders.read_back(3, NOW_MS + 100)
        self.assertFalse(failed_checks(builders.accepted(4), soon))

    def test_changed_content_of_a_version_is_reported(self):
        other = builders.read_back(4, NOW_MS + 100, body=b"y")
        self.assertEqual(
            failed_checks(builders.accepted(4), other), {"documents_are_kept"}
        )

    def test_decreasing_fencing_token_is_reported(self):
        failures = failed_checks(
            builders.ordered("a1", 5), builders.ordered("a1", 4)
        )
        self.assertEqual(failures, {"orders_come_from_one_holder"})

    def test_two_holders_of_a_token_are_reported(self):
        failures = failed_checks(
            builders.ordered("a1", 5), builders.ordered("a2", 5)
        )
        self.assertEqual(failures, {"orders_come_from_one_holder"})

    def test_unrequested_or_failed_exit_is_reported(self):
        for code, was_requested in ((139, False), (1, True), (0, False)):
            ended = observations.ProgramEnded(
                "n1", code, was_requested, NOW_MS
            )
            self.assertEqual(failed_checks(ended), {"programs_stay_up"})
        self.assertFalse(
            failed_checks(observations.ProgramEnded("n1", 0, True, NOW_MS))
        )

    def test_quarantine_of_a_sound_request_is_reported(self):
        refused = builders.answer(
            "7-f0-2", status=503, error=checks.QUARANTINED
        )
        self.assertEqual(failed_checks(refused), {"sound_requests_pass"})
        self.assertFalse(failed_checks(builders.crashed(), refused))


class LeavingTest(unittest.TestCase):
    LATE_MS = NOW_MS + 600 + checks.MAX_DRAIN_MS

    def late_run(self, *observed, node="n1", at_ms=LATE_MS):
        """Return the checks that fail for a request after such an answer."""
        return failed_checks(
            builders.sent(),
            builders.ran(),
            builders.answer(leaving_id="e1-1"),
            builders.sent("q2", node, at_ms=at_ms),
            builders.ran("q2", at_ms=at_ms + 10),
            *observed,
        )

    def test_a_late_request_is_reported(self):
        expected = {"leaving_answers_end_requests"}
        self.assertEqual(self.late_run(), expected)
        cut = builders.fault(observations.FaultKind.CUT)
        self.assertEqual(self.late_run(cut), expected)

    def test_other_nodes_and_early_requests_are_not(self):
        self.assertFalse(self.late_run(node="n2"))
        self.assertFalse(self.late_run(at_ms=NOW_MS + 600))

    def test_a_restart_or_suspension_of_the_node_excuses_it(self):
        for kind in fault_periods.INTERRUPTIONS:
            self.assertFalse(self.late_run(builders.fault(kind)))


class TimingTest(unittest.TestCase):
    def test_arrivals_of_a_fatal_request_are_reported(self):
        from_ms = NOW_MS + 10_000
        pause = builders.fault(observations.FaultKind.PAUSE, from_ms=from_ms)
        for is_part, max_crashes in (
            (False, checks.MAX_CRASHES),
            (True, checks.MAX_CRASHES_OF_PART),
        ):
            early = [
                builders.crashed(at_ms=NOW_MS + 400 * number, is_part=is_part)
                for number in range(max_crashes)
            ]
            late = [
                builders.crashed(at_ms=from_ms + 400 * number, is_part=is_part)
                for number in range(checks.MAX_LATE_ARRIVALS + 1)
            ]
            with self.subTest(is_part=is_part):
                self.assertEqual(
                    failed_checks(*early, *late),
                    {"fatal_requests_stop_arriving"},
                )
                self.assertFalse(failed_checks(*early, *late[1:]))
                self.assertFalse(failed_checks(*early, *late, pause))

    def test_run_after_a_drain_is_reported(self):
        acknowledged = observations.DrainAcknowledged("e1-1", NOW_MS)
        late = builders.ran(at_ms=NOW_MS + checks.MAX_DRAIN_MS + 50)
        self.assertEqual(
            failed_checks(acknowledged, late), {"drained_engines_stay_idle"}
        )
        pause = builders.fault(observations.FaultKind.PAUSE)
        self.assertFalse(failed_checks(acknowledged, late, pause))

    def test_request_aborted_by_a_stop_is_reported(self):
        stop = builders.fault(observations.FaultKind.STOP)
        cut = builders.answer(status=0)
        failures = failed_checks(stop, builders.sent(at_ms=NOW_MS - 100), cut)
        self.assertEqual(failures, {"stops_abort_no_request"})
        crashed = builders.crashed(at_ms=NOW_MS + 400)
        self.assertFalse(
            failed_checks(
                stop, builders.sent(at_ms=NOW_MS - 100), cut, crashed
            )
        )
        other = builders.sent(node="n2", at_ms=NOW_MS - 100)
        self.assertFalse(failed_checks(stop, other, cut))


if __name__ == "__main__":
    unittest.main()
