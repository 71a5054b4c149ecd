"""Tests of a planned stop's phases, and of what it does with connections."""

import random
import unittest

from bilberryramp.decisions.shared import connection_stop, shutdown
from bilberryramp.decisions.shared.tests import builders

STATE, REASON = connection_stop.State, connection_stop.Reason
TIMES = connection_stop.Times(since_ms=2600, stall_ms=2000, read_until_ms=7200)


class ReviewTest(unittest.TestCase):
    def orders(self, state, last_read_ms, now_ms):
        conn = connection_stop.Connection("c", state, last_read_ms)
        return list(connection_stop.review([conn], TIMES, now_ms))

    def test_requests_in_progress_are_left_alone(self):
        for state in STATE:
            if state not in (STATE.IDLE, STATE.ANSWERED_EARLY):
                self.assertEqual(self.orders(state, 3000, 4999), [])

    def test_idle_connections_are_closed(self):
        self.assertEqual(
            self.orders(STATE.IDLE, 0, 1),
            [connection_stop.CloseConnection("c", REASON.IDLE)],
        )

    def test_connections_whose_request_was_refused_early_are_closed(self):
        self.assertEqual(
            self.orders(STATE.ANSWERED_EARLY, 0, 1),
            [connection_stop.CloseConnection("c", REASON.LAST_ANSWER)],
        )

    def test_stalled_requests_end(self):
        self.assertEqual(
            self.orders(STATE.READING_BODY, 3000, 5000),
            [connection_stop.EndReading("c", REASON.STALLED)],
        )
        self.assertEqual(
            self.orders(STATE.READING_HEAD, 3000, 5000),
            [connection_stop.CloseConnection("c", REASON.STALLED)],
        )

    def test_silence_counts_from_the_end_of_the_notice(self):
        self.assertEqual(self.orders(STATE.READING_BODY, 0, 4599), [])
        self.assertEqual(len(self.orders(STATE.READING_BODY, 0, 4600)), 1)

    def test_reading_ends_in_time(self):
        self.assertEqual(
            self.orders(STATE.READING_BODY, 7199, 7200),
            [connection_stop.EndReading("c", REASON.OUT_OF_TIME)],
        )

    def test_answers_are_never_cut_by_a_review(self):
        for state in (STATE.QUEUED, STATE.ANSWERING, STATE.CLOSING):
            self.assertEqual(self.orders(state, 0, 100_000), [])

    def test_only_idle_connections_let_the_process_end(self):
        free = {
            state
            for state in STATE
            if not connection_stop.holds_exit(
                connection_stop.Connection("c", state, 0)
            )
        }
        self.assertEqual(free, {STATE.IDLE})


class ShutdownTest(unittest.TestCase):
    def setUp(self):
        self.work = 1
        self.stop = builders.make_shutdown(
            lambda: not self.work, notice_ms=2600, grace_ms=7500
        )

    def test_work_is_accepted_until_the_notice_is_over(self):
        self.assertEqual(list(shutdown.request_stop(self.stop, 100)), [])
        self.work = 0
        self.assertEqual(list(shutdown.review(self.stop, 2699)), [])
        self.assertTrue(shutdown.is_stopping(self.stop))
        self.assertFalse(shutdown.is_draining(self.stop))
        self.assertEqual(
            list(shutdown.review(self.stop, 2700)),
            [shutdown.NewWorkRefused(), shutdown.Stopped()],
        )

    def test_the_process_ends_when_its_work_has_ended(self):
        list(shutdown.request_stop(self.stop, 0))
        self.assertEqual(
            list(shutdown.review(self.stop, 2600)), [shutdown.NewWorkRefused()]
        )
        self.assertEqual(list(shutdown.review(self.stop, 3000)), [])
        self.work = 0
        self.assertEqual(
            list(shutdown.review(self.stop, 3050)), [shutdown.Stopped()]
        )

    def test_the_process_ends_with_work_when_its_grace_is_over(self):
        list(shutdown.request_stop(self.stop, 0))
        list(shutdown.review(self.stop, 2600))
        self.assertEqual(
            list(shutdown.review(self.stop, 7500)), [shutdown.Stopped()]
        )

    def test_without_a_notice_work_is_refused_at_once(self):
        stop = builders.make_shutdown(lambda: True)
        self.assertEqual(
            list(shutdown.request_stop(stop, 0)),
            [shutdown.NewWorkRefused(), shutdown.Stopped()],
        )

    def test_a_second_signal_changes_nothing(self):
        list(shutdown.request_stop(self.stop, 0))
        self.assertEqual(list(shutdown.request_stop(self.stop, 2000)), [])
        self.assertEqual(
            list(shutdown.review(self.stop, 2600)), [shutdown.NewWorkRefused()]
        )

    def test_random_reviews_end_exactly_once(self):
        """At whatever times a stop is reviewed, it ends, and once."""
        rng = random.Random(40)
        for _ in range(500):
            stop = builders.make_shutdown(
                lambda: rng.random() < 0.05,
                notice_ms=rng.choice((0, 500, 2600)),
                grace_ms=rng.choice((1000, 7500)),
            )
            effects = list(shutdown.request_stop(stop, 0))
            now_ms = 0
            while now_ms <= stop.grace_ms:
                now_ms += rng.randint(1, 900)
                effects += shutdown.review(stop, now_ms)
            self.assertEqual(effects.count(shutdown.Stopped()), 1)
            self.assertLessEqual(effects.count(shutdown.NewWorkRefused()), 1)
