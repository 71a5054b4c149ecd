"""Tests of pauses that upstreams ask for, and of the return after them."""

import random
import unittest

from bilberryramp.decisions.shared import pauses
from bilberryramp.decisions.shared.tests import builders

NOW_MS = 10_000
PAUSE_MS = 4000
END_MS = NOW_MS + PAUSE_MS


def send_all(pause, now_ms):
    """Send calls until no more are allowed, at most 100; return the count."""
    count = 0
    while count < 100 and pauses.may_call(pause, now_ms):
        pauses.record_sent(pause)
        count += 1
    return count


class PauseTest(unittest.TestCase):
    def test_an_upstream_without_a_pause_may_be_called(self):
        for pause in (None, builders.make_pause()):
            self.assertTrue(pauses.may_call(pause, NOW_MS))
            self.assertEqual(pauses.remaining_ms(pause, NOW_MS), 0)

    def test_no_calls_until_the_end_of_the_pause(self):
        pause = builders.make_pause(PAUSE_MS, NOW_MS)
        for now_ms in (NOW_MS, NOW_MS + 1, END_MS - 1):
            self.assertFalse(pauses.may_call(pause, now_ms))
            self.assertEqual(
                pauses.remaining_ms(pause, now_ms), END_MS - now_ms
            )
        self.assertTrue(pauses.may_call(pause, END_MS))
        self.assertEqual(pauses.remaining_ms(pause, END_MS), 0)

    def test_a_shorter_request_does_not_shorten_a_pause(self):
        pause = builders.make_pause(PAUSE_MS, NOW_MS)
        self.assertFalse(pauses.request_pause(pause, 100, NOW_MS + 10))
        self.assertEqual(pause.until_ms, END_MS)

    def test_a_later_request_extends_a_pause(self):
        pause = builders.make_pause(PAUSE_MS, NOW_MS)
        self.assertTrue(pauses.request_pause(pause, PAUSE_MS, NOW_MS + 10))
        self.assertFalse(pauses.may_call(pause, END_MS + 9))
        self.assertTrue(pauses.may_call(pause, END_MS + 10))

    def test_no_time_or_a_negative_one_is_no_pause(self):
        for pause_ms in (0, -1, -PAUSE_MS):
            pause = builders.make_pause(pause_ms, NOW_MS)
            self.assertTrue(pauses.may_call(pause, NOW_MS))
            self.assertEqual(pause.phase, "open")

    def test_a_faulty_upstream_cannot_exclude_itself_for_ever(self):
        pause = builders.make_pause(10**21, NOW_MS)
        limit_ms = NOW_MS + pauses.MAX_PAUSE_MS
        self.assertFalse(pauses.may_call(pause, limit_ms - 1))
        self.assertTrue(pauses.may_call(pause, limit_ms))

    def test_responses_during_a_pause_do_not_end_it(self):
        pause = builders.make_pause(PAUSE_MS, NOW_MS)
        for _ in range(50):
            pauses.record_response(pause, NOW_MS - 10, True, NOW_MS + 10)
        self.assertFalse(pauses.may_call(pause, NOW_MS + 10))


class ReturnTest(unittest.TestCase):
    def setUp(self):
        self.pause = builders.make_pause(PAUSE_MS, NOW_MS)

    def respond(self, is_served=True, sent_ms=END_MS):
        pauses.record_response(self.pause, sent_ms, is_served, END_MS + 5)

    def test_an_upstream_returns_with_one_call(self):
        self.assertEqual(
            send_all(self.pause, END_MS), pauses.INITIAL_CALL_LIMIT
        )

    def test_each_served_call_admits_one_more_at_a_time(self):
        unanswered = send_all(self.pause, END_MS)
        for limit in range(2, pauses.FULL_CALL_LIMIT):
            self.respond()
            unanswered += send_all(self.pause, END_MS) - 1
            self.assertEqual(unanswered, limit)
        self.respond()
        self.assertEqual(self.pause.phase, "open")
        self.assertEqual(send_all(self.pause, END_MS), 100)

    def test_calls_that_take_long_admit_more_with_time(self):
        # Guards against callers that wait behind one call without an answer.
        unanswered = send_all(self.pause, END_MS)
        for number in range(1, 5):
            now_ms = END_MS + number * pauses.DOUBLING_MS
            unanswered += send_all(self.pause, now_ms)
            self.assertEqual(unanswered, 2**number)

    def test_a_failed_call_does_not_admit_more(self):
        for _ in range(pauses.FULL_CALL_LIMIT):
            self.assertEqual(send_all(self.pause, END_MS), 1)
            self.respond(is_served=False)

    def test_responses_to_calls_before_the_pause_do_not_count(self):
        send_all(self.pause, END_MS)
        for _ in range(pauses.FULL_CALL_LIMIT):
            self.respond(sent_ms=NOW_MS - 1)
        self.assertFalse(pauses.may_call(self.pause, END_MS))

    def test_a_pause_during_the_return_starts_it_anew(self):
        for _ in range(5):
            send_all(self.pause, END_MS)
            self.respond()
        pauses.request_pause(self.pause, PAUSE_MS, END_MS + 10)
        self.assertFalse(pauses.may_call(self.pause, END_MS + 10))
        later_ms = END_MS + 10 + PAUSE_MS
        self.assertEqual(send_all(self.pause, later_ms), 1)

    def test_the_return_begins_when_it_is_asked_for(self):
        # A pause that elapsed unobserved must not leave the upstream open.
        later_ms = END_MS + 100_000
        self.assertEqual(send_all(self.pause, later_ms), 1)
        self.assertEqual(self.pause.returned_ms, later_ms)


class FuzzTest(unittest.TestCase):
    def test_the_bounds_hold_over_any_history(self):
        for seed in range(200):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        pause = builders.make_pause()
        now_ms, paused_until_ms, sent = NOW_MS, 0, []
        has_paused = False
        for _ in range(300):
            now_ms += rng.choice((0, 1, 5, 60, 400))
            match rng.choice(("ask", "send", "send", "answer", "answer")):
                case "ask" if rng.random() < 0.2:
                    pause_ms = rng.choice((-5, 0, 1, 300, 2000))
                    pauses.request_pause(pause, pause_ms, now_ms)
                    if pause_ms > 0:
                        has_paused = True
                        paused_until_ms = max(
                            paused_until_ms, now_ms + pause_ms
                        )
                case "send" if pauses.may_call(pause, now_ms):
                    self.assertGreaterEqual(now_ms, paused_until_ms)
                    pauses.record_sent(pause)
                    sent.append(now_ms)
                case "answer" if sent:
                    sent_ms = sent.pop(rng.randrange(len(sent)))
                    pauses.record_response(
                        pause, sent_ms, rng.random() < 0.8, now_ms
                    )
            if pause.phase == "returning":
                self.assertLessEqual(
                    pause.unanswered, pauses.limit_at(pause, now_ms)
                )
                self.assertLess(pause.call_limit, pauses.FULL_CALL_LIMIT)
        if not has_paused:
            self.assertEqual(pause.phase, "open")


if __name__ == "__main__":
    unittest.main()
