import unittest

from bilberryramp.decisions.fleet.queueing import lanes


def make_lane(sent, blocked_since_ms=0):
    """Build a lane from times, ranks and work."""
    lane = lanes.Lane(blocked_since_ms=blocked_since_ms)
    for at_ms, urgency, work in sent:
        lanes.record_sent(lane, urgency, work, at_ms)
    return lane


class ExpectedWaitTest(unittest.TestCase):
    def test_wait_is_unknown_until_the_lane_was_blocked_for_a_window(self):
        lane = make_lane([(1000, 1, 10.0)], blocked_since_ms=500)
        wait_ms = lanes.expected_wait_ms(lane, {1: 1000.0}, 1, 10.0, 2000)
        self.assertEqual(wait_ms, 0.0)

    def test_wait_is_the_work_ahead_at_the_measured_speed(self):
        lane = make_lane([(2000, 1, 90.0)])
        wait_ms = lanes.expected_wait_ms(lane, {1: 200.0}, 1, 10.0, 3000)
        self.assertAlmostEqual(wait_ms, lanes.SPEED_WINDOW_MS * 200 / 100)

    def test_less_urgent_calls_wait_at_the_speed_that_is_left_for_them(self):
        lane = make_lane([(2000, 1, 90.0), (2000, 2, 10.0)])
        wait_ms = lanes.expected_wait_ms(
            lane, {1: 100.0, 2: 50.0}, 2, 10.0, 3000
        )
        expected = lanes.SPEED_WINDOW_MS * (100 / 110 + 50 / 20)
        self.assertAlmostEqual(wait_ms, expected)

    def test_wait_is_finite_in_a_lane_that_does_not_move(self):
        lane = make_lane([])
        wait_ms = lanes.expected_wait_ms(lane, {1: 30.0}, 1, 10.0, 9000)
        self.assertEqual(wait_ms, 3 * lanes.SPEED_WINDOW_MS)

    def test_what_was_sent_long_ago_does_not_count(self):
        lane = make_lane([(1000, 1, 90.0), (9000, 1, 10.0)])
        self.assertEqual(lane.sent_by_rank.total(), 10.0)


class PromiseTest(unittest.TestCase):
    def test_returns_are_spread_at_the_speed_of_the_lane(self):
        lane = make_lane([(2000, 1, 90.0)])
        times_ms = [
            lanes.promise_return(lane, 500.0, 1, 10.0, 3000) for _ in range(3)
        ]
        self.assertEqual(times_ms, [500.0, 700.0, 900.0])

    def test_a_lane_is_unused_once_its_promises_are_over(self):
        lane = make_lane([(2000, 1, 90.0)], blocked_since_ms=-1)
        lanes.promise_return(lane, 5000.0, 1, 10.0, 3000)
        self.assertFalse(lanes.is_unused(lane, 7900))
        self.assertTrue(lanes.is_unused(lane, 8300))
