"""Tests that the checks of planned work report what breaks their rules."""

import unittest

from bilberryramp.soak import fault_periods, observations, stop_checks
from bilberryramp.soak.tests import builders

NOW_MS = builders.DEFAULT_MS


def found(check, *observed):
    return list(check(builders.make_history(*observed)))


class LostTest(unittest.TestCase):
    def lost(self, *observed, **changes):
        """Return what is reported for a request beside a stop of its node."""
        return found(
            stop_checks.stops_lose_no_request,
            builders.signalled(),
            *observed,
            builders.in_pieces(**changes),
        )

    def test_a_request_that_was_read_and_not_answered_is_reported(self):
        self.assertEqual(
            self.lost(),
            [
                "q1 to n1, begun 1000 ms after SIGTERM: lost 1500 ms after "
                "its last byte, did not run"
            ],
        )

    def test_an_answered_request_is_not(self):
        self.assertFalse(
            self.lost(is_whole=True, has_closed=False, status=503)
        )

    def test_an_answer_that_breaks_off_is_reported(self):
        self.assertTrue(self.lost(status=200))

    def test_a_request_that_was_not_written_whole_is_not(self):
        self.assertFalse(self.lost(written_ms=-1))

    def test_a_request_that_crosses_the_close_is_not(self):
        crossing = {"ended_ms": NOW_MS + 2500 + stop_checks.LOSS_SLACK_MS}
        self.assertFalse(self.lost(**crossing))
        arrived = builders.arrived()
        self.assertTrue(self.lost(arrived, **crossing))

    def test_only_the_stopped_node_counts(self):
        self.assertFalse(self.lost(node="n2"))

    def test_an_end_before_the_signal_or_long_after_it_is_not_reported(self):
        for ended_ms in (
            NOW_MS,
            NOW_MS + stop_checks.GRACE_MS + stop_checks.AFTER_GRACE_MS + 1,
        ):
            times = {
                "began_ms": ended_ms - 2000,
                "written_ms": ended_ms - 1000,
                "ended_ms": ended_ms,
            }
            self.assertFalse(self.lost(**times))
            times["ended_ms"] = min(ended_ms + 1, NOW_MS + 9000)
            self.assertTrue(self.lost(**times))

    def test_a_client_that_gave_up_is_not_reported(self):
        self.assertFalse(self.lost(has_closed=False))

    def test_a_reached_deadline_is_not_reported(self):
        self.assertFalse(self.lost(deadline_ms=3000))
        self.assertFalse(
            self.lost(began_ms=NOW_MS - 2000, deadline_ms=9000, span_ms=4500)
        )

    def test_an_unplanned_disturbance_of_the_node_excuses_it(self):
        for kind in fault_periods.UNPLANNED_KINDS:
            with self.subTest(kind=kind):
                before = builders.fault(
                    kind, from_ms=NOW_MS - 5000, to_ms=NOW_MS - 1900
                )
                self.assertFalse(self.lost(before))
                earlier = builders.fault(
                    kind, from_ms=NOW_MS - 5000, to_ms=NOW_MS - 2000
                )
                self.assertTrue(self.lost(earlier))

    def test_planned_work_does_not(self):
        for kind in (
            *fault_periods.PLANNED_KINDS,
            observations.FaultKind.STOP,
        ):
            self.assertTrue(self.lost(builders.fault(kind)))

    def test_an_engine_that_broke_off_excuses_it(self):
        run = builders.arrived(), builders.ran(upstream_id="e3-1")
        broken = builders.run_ended(upstream_id="e3-1", broke_off=True)
        left = builders.run_ended(upstream_id="e3-1")
        crashed = builders.crashed(upstream_id="e3-1", at_ms=NOW_MS + 3000)
        cut = builders.fault(observations.FaultKind.RESET, "e3")
        self.assertFalse(self.lost(*run, broken))
        self.assertFalse(self.lost(*run, left, crashed))
        self.assertFalse(self.lost(*run, left, cut))
        cleared = observations.FaultsCleared(NOW_MS + 3000)
        self.assertFalse(self.lost(*run, left, cleared))
        self.assertTrue(self.lost(cleared))
        self.assertTrue(self.lost(*run, left))
        self.assertTrue(self.lost(broken, crashed, cut))

    def test_an_engine_at_work_at_the_end_of_the_grace_excuses_it(self):
        ended_ms = NOW_MS + stop_checks.GRACE_MS
        late = {"ended_ms": ended_ms, "began_ms": NOW_MS + 2500}
        run = builders.arrived(), builders.ran()
        self.assertFalse(self.lost(*run, **late))
        still = builders.run_ended(
            at_ms=NOW_MS + stop_checks.LAST_SIXTH_MS + 1
        )
        self.assertFalse(self.lost(*run, still, **late))
        done = builders.run_ended(at_ms=NOW_MS + stop_checks.LAST_SIXTH_MS)
        self.assertTrue(self.lost(*run, done, **late))
        late["began_ms"] = NOW_MS + stop_checks.LATE_REQUEST_MS + 1
        self.assertTrue(self.lost(*run, **late))


class ReloadTest(unittest.TestCase):
    def lost(self, *observed, **changes):
        return found(
            stop_checks.reloads_lose_no_request,
            builders.signalled(signal="SIGHUP"),
            *observed,
            builders.in_pieces(**changes),
        )

    def test_a_lost_request_is_reported(self):
        self.assertTrue(self.lost())
        self.assertTrue(self.lost(began_ms=NOW_MS - 1000))

    def test_a_later_request_or_one_cut_before_is_not(self):
        self.assertFalse(self.lost(began_ms=NOW_MS + stop_checks.APPLY_MS + 1))
        self.assertFalse(
            self.lost(
                began_ms=NOW_MS - 3000,
                written_ms=NOW_MS - 2000,
                ended_ms=NOW_MS - 100,
            )
        )

    def test_a_stop_is_judged_by_its_own_check(self):
        self.assertFalse(self.lost(builders.signalled(at_ms=NOW_MS + 1500)))

    def test_a_cut_body_is_reported(self):
        reload = builders.signalled(signal="SIGHUP")
        cut = builders.in_pieces(written_ms=-1)
        check = stop_checks.reloads_cut_no_request
        self.assertEqual(
            found(check, reload, cut),
            [
                "q1 to n1, begun 1000 ms after SIGHUP: cut after 3000 ms of "
                "its body"
            ],
        )
        self.assertFalse(found(check, reload, cut, builders.signalled()))
        late = builders.in_pieces(
            written_ms=-1, began_ms=NOW_MS + stop_checks.APPLY_MS + 1
        )
        self.assertFalse(found(check, reload, late))


class CutTest(unittest.TestCase):
    def cut(self, *observed, **changes):
        fields = {"written_ms": -1, "ended_ms": NOW_MS + 2000}
        return found(
            stop_checks.stops_cut_no_request,
            builders.signalled(),
            *observed,
            builders.in_pieces(**(fields | changes)),
        )

    def test_a_cut_body_is_reported(self):
        self.assertEqual(
            self.cut(),
            [
                "q1 to n1, begun 1000 ms after SIGTERM: cut after 1000 ms of "
                "its body"
            ],
        )
        self.assertTrue(self.cut(began_ms=NOW_MS - 500))

    def test_an_early_answer_is_no_cut(self):
        self.assertFalse(self.cut(status=503, is_whole=True, has_closed=False))

    def test_a_whole_request_is_no_cut(self):
        self.assertFalse(self.cut(written_ms=NOW_MS + 1900))

    def test_a_request_that_crosses_the_close_is_no_cut(self):
        self.assertFalse(
            self.cut(ended_ms=NOW_MS + 1000 + stop_checks.LOSS_SLACK_MS)
        )

    def test_late_or_slow_bodies_may_be_cut(self):
        began_ms = NOW_MS + stop_checks.READ_AFTER_STOP_MS + 1
        self.assertFalse(self.cut(began_ms=began_ms, ended_ms=began_ms + 1000))
        self.assertFalse(self.cut(span_ms=stop_checks.MAX_SPAN_MS + 1))

    def test_a_cut_at_the_end_of_the_grace_is_not_reported(self):
        self.assertFalse(self.cut(ended_ms=NOW_MS + stop_checks.LAST_SIXTH_MS))

    def test_a_disturbance_excuses_it(self):
        pause = builders.fault(observations.FaultKind.PAUSE)
        self.assertFalse(self.cut(pause))
        self.assertTrue(
            self.cut(builders.fault(observations.FaultKind.PAUSE, "n2"))
        )


class EndTest(unittest.TestCase):
    def late(self, *observed, **changes):
        return found(
            stop_checks.stops_end_in_time,
            builders.signalled(),
            *observed,
            builders.ended(**changes),
        )

    def test_a_late_or_failed_end_is_reported(self):
        self.assertFalse(self.late())
        self.assertFalse(self.late(at_ms=NOW_MS + stop_checks.GRACE_MS))
        self.assertTrue(self.late(at_ms=NOW_MS + stop_checks.GRACE_MS + 1))
        self.assertTrue(self.late(code=-15))

    def test_a_disturbance_excuses_it(self):
        pause = builders.fault(observations.FaultKind.PAUSE)
        self.assertFalse(self.late(pause, at_ms=NOW_MS + 20_000))


if __name__ == "__main__":
    unittest.main()
