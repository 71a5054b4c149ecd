"""Tests that each check of budgets and pauses reports what breaks a rule."""

import unittest

from bilberryramp.soak import (
    budget_checks,
    fault_periods,
    observations,
    repeats,
)
from bilberryramp.soak.tests import builders

NOW_MS = builders.DEFAULT_MS
Kind = observations.FaultKind


def failures(check, *observed):
    ordered = sorted(observed, key=_time_ms)
    return list(check(builders.make_history(*ordered)))


def _time_ms(observation):
    if isinstance(observation, observations.Fault):
        return observation.from_ms
    return observation.at_ms


class PauseTest(unittest.TestCase):
    PAUSED_MS = NOW_MS + 20
    LEAD_END_MS = PAUSED_MS + repeats.LEAD_MS

    def arrivals(self, first_ms, count, node="n1", upstream_id="e3-1"):
        for number in range(count):
            name, at_ms = f"late{number}", first_ms + 100 * number
            yield builders.sent(name, node, at_ms=at_ms)
            yield builders.arrived(name, upstream_id, at_ms)

    def late_arrivals(self, *observed, count=3, first_ms=None, **changes):
        first_ms = self.LEAD_END_MS if first_ms is None else first_ms
        return failures(
            budget_checks.pauses_are_obeyed,
            builders.sent(),
            builders.arrived(),
            builders.paused(),
            *self.arrivals(first_ms, count, **changes),
            *observed,
        )

    def test_a_third_request_in_a_pause_is_reported(self):
        self.assertEqual(len(self.late_arrivals()), 1)
        self.assertFalse(self.late_arrivals(count=2))

    def test_an_answer_that_extends_a_pause_hides_no_request(self):
        """Each answer has two requests of its own after it."""
        extensions = [
            observation
            for number in range(1, 4)
            for at_ms in (self.PAUSED_MS + 1500 * number,)
            for observation in (
                builders.sent(f"x{number}", at_ms=at_ms - 10),
                builders.arrived(f"x{number}", at_ms=at_ms - 5),
                builders.paused(f"x{number}", at_ms=at_ms, pause_ms=2500),
            )
        ]
        found = self.late_arrivals(*extensions, count=0)
        self.assertEqual(len(found), 1)
        stop = builders.fault(Kind.STOP, from_ms=NOW_MS + 5500)
        self.assertFalse(self.late_arrivals(stop, *extensions, count=0))
        self.assertTrue(self.late_arrivals(stop, *extensions, count=1))

    def test_requests_on_their_way_and_after_the_pause_are_not(self):
        self.assertFalse(self.late_arrivals(first_ms=self.LEAD_END_MS - 201))
        self.assertFalse(self.late_arrivals(first_ms=self.PAUSED_MS + 4000))

    def test_other_nodes_and_processes_of_the_engine_are_not(self):
        self.assertFalse(self.late_arrivals(node="n2"))
        self.assertFalse(self.late_arrivals(upstream_id="e3-2"))
        self.assertFalse(self.late_arrivals(upstream_id="e4-1"))

    def test_an_answer_without_a_valid_time_begins_no_pause(self):
        found = failures(
            budget_checks.pauses_are_obeyed,
            builders.sent(),
            builders.paused(pause_ms=0),
            *self.arrivals(self.LEAD_END_MS, 3),
        )
        self.assertFalse(found)

    def test_a_restart_suspension_or_cut_of_the_node_excuses_it(self):
        excuses = fault_periods.INTERRUPTIONS | fault_periods.CUTS
        for kind in excuses:
            with self.subTest(kind=kind):
                fault = builders.fault(kind, from_ms=NOW_MS + 800)
                self.assertFalse(self.late_arrivals(fault))
        for kind in set(Kind) - excuses - fault_periods.ENGINE_KINDS:
            with self.subTest(kind=kind):
                fault = builders.fault(kind, from_ms=NOW_MS + 800)
                self.assertTrue(self.late_arrivals(fault))
        other = builders.fault(Kind.KILL, "n2", from_ms=NOW_MS + 800)
        self.assertTrue(self.late_arrivals(other))

    def test_a_fault_before_the_answer_excuses_nothing(self):
        earlier = builders.fault(
            Kind.KILL, from_ms=NOW_MS - 3000, to_ms=NOW_MS - 1
        )
        self.assertTrue(self.late_arrivals(earlier))

    def test_an_answer_that_may_be_lost_begins_no_pause(self):
        for kind in (Kind.RESET, Kind.SILENT):
            lost = builders.fault(kind, "e3", from_ms=NOW_MS + 10)
            self.assertFalse(self.late_arrivals(lost))
            later = builders.fault(kind, "e3", from_ms=NOW_MS + 2000)
            self.assertTrue(self.late_arrivals(later))


class BudgetTest(unittest.TestCase):
    def history(self, count, services=("svc-app",)):
        """Make requests that reach two engines each."""
        for number in range(count):
            name, at_ms = f"q{number}", NOW_MS + 10 * number
            service = services[number % len(services)]
            yield builders.arrived(name, at_ms=at_ms + 5)
            yield builders.arrived(name, "e4-1", at_ms + 6)
            yield builders.sent(name, at_ms=at_ms, service=service)

    def found(self, *observed):
        return failures(budget_checks.repeats_stay_within_budget, *observed)

    def test_repeats_beyond_the_budget_are_reported(self):
        self.assertEqual(len(self.found(*self.history(76))), 1)
        self.assertFalse(self.found(*self.history(75)))

    def test_each_service_has_a_budget(self):
        services = ("svc-app", "svc-llm")
        self.assertFalse(self.found(*self.history(150, services)))
        self.assertEqual(len(self.found(*self.history(152, services))), 2)

    def test_no_fault_excuses_them(self):
        for kind in Kind:
            fault = builders.fault(kind)
            self.assertTrue(self.found(*self.history(76), fault))


class AttemptsTest(unittest.TestCase):
    def found(self, *observed, count=4, engines=("e3-1", "e4-1", "e5-1")):
        runs = [
            builders.ran(f"q{number}", upstream_id, NOW_MS + 100 * step)
            for number in range(count)
            for step, upstream_id in enumerate(engines)
        ]
        sent = [builders.sent(f"q{number}") for number in range(count)]
        return failures(
            budget_checks.attempts_stay_within_limit, *sent, *runs, *observed
        )

    def test_more_engines_than_allowed_are_reported(self):
        self.assertEqual(len(self.found()), 1)
        self.assertFalse(self.found(count=3))
        self.assertFalse(self.found(engines=("e3-1", "e4-1", "e3-1")))

    def test_engines_that_ended_or_were_cut_off_do_not_count(self):
        crash = builders.crashed(upstream_id="e3-1", at_ms=NOW_MS + 50)
        self.assertFalse(self.found(crash))
        for kind in (Kind.ENGINE_CRASH, Kind.SILENT, Kind.RESET):
            fault = builders.fault(kind, "e4", from_ms=NOW_MS + 120)
            self.assertFalse(self.found(fault))

    def test_engines_that_ended_later_count(self):
        crash = builders.crashed(upstream_id="e3-1", at_ms=NOW_MS + 250)
        self.assertTrue(self.found(crash))
        fault = builders.fault(Kind.ENGINE_CRASH, "e3", NOW_MS + 250)
        self.assertTrue(self.found(fault))
        self.assertTrue(self.found(builders.fault(Kind.KILL, "n1")))


class DeadlineTest(unittest.TestCase):
    def found(self, *observed, count=21, retried_ms=2000, **changes):
        """Make requests that are sent twice, the second time late."""
        made = []
        for number in range(count):
            name = f"q{number}"
            made += [
                builders.sent(name, may_repeat=True),
                builders.arrived(name),
                builders.arrived(name, "e4-1", NOW_MS + retried_ms, **changes),
            ]
        return failures(budget_checks.deadlines_shrink, *made, *observed)

    def test_the_same_time_once_more_is_reported(self):
        self.assertEqual(len(self.found(deadline_ms=2990)), 1)
        self.assertFalse(self.found(deadline_ms=1400))
        self.assertFalse(self.found(deadline_ms=2990, count=20))

    def test_requests_sent_once_more_soon_may_end_later(self):
        self.assertFalse(self.found(deadline_ms=3490, retried_ms=500))

    def test_more_time_than_the_caller_allows_is_reported(self):
        self.assertTrue(self.found(deadline_ms=3501, retried_ms=500))

    def test_an_engine_without_a_deadline_is_reported(self):
        self.assertTrue(self.found(deadline_ms=-1))

    def test_a_fifth_of_late_requests_may_be_handed_too_much(self):
        late = [
            builders.arrived(f"r{number}", at_ms=NOW_MS + at_ms)
            for number in range(90)
            for at_ms in (10, 1000)
        ]
        sound = [builders.sent(f"r{number}") for number in range(90)]
        self.assertTrue(self.found(deadline_ms=2990))
        late = [
            builders.arrived(a.request_id, a.upstream_id, a.at_ms, 1500)
            for a in late
        ]
        self.assertFalse(self.found(*sound, *late, deadline_ms=2990, count=22))
        self.assertTrue(self.found(*sound, *late, deadline_ms=2990, count=23))

    def test_faults_of_nodes_and_streams_excuse_it(self):
        fault = builders.fault(Kind.CUT, "n2", NOW_MS - 2000, NOW_MS - 900)
        self.assertFalse(self.found(fault, deadline_ms=2990))
        self.assertTrue(
            self.found(
                builders.fault(Kind.ENGINE_PAUSE, "e3"), deadline_ms=2990
            )
        )


class OtherEnginesTest(unittest.TestCase):
    def found(self, *observed, failed=13, count=20, pausing=("e3-1",)):
        made = [
            builders.paused(f"q{number}", upstream_id, NOW_MS + number)
            for number, upstream_id in enumerate(pausing)
        ]
        for number in range(count):
            name, at_ms = f"q{number}", NOW_MS + 10 * number
            status = 503 if number < failed else 200
            made += [
                builders.sent(name, at_ms=at_ms),
                builders.answer(name, status, at_ms=at_ms + 50),
            ]
        return failures(budget_checks.other_engines_serve, *made, *observed)

    def test_refusals_beside_sound_engines_are_reported(self):
        self.assertEqual(len(self.found()), 1)
        self.assertFalse(self.found(failed=12))
        self.assertFalse(self.found(count=19))

    def test_refusals_while_several_engines_pause_are_not(self):
        self.assertFalse(self.found(pausing=("e3-1", "e4-1")))
        self.assertFalse(self.found(pausing=()))

    def test_refusals_beside_other_faults_are_not(self):
        self.assertTrue(self.found(builders.fault(Kind.ENGINE_PAUSE, "e3")))
        self.assertFalse(self.found(builders.fault(Kind.KILL)))
        self.assertFalse(self.found(builders.fault(Kind.ENGINE_ERRORS, "e4")))
        self.assertFalse(self.found(builders.crashed(at_ms=NOW_MS - 100)))


if __name__ == "__main__":
    unittest.main()
