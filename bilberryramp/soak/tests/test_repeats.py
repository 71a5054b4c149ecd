"""Tests of the counts of repeats and of requests to pausing engines."""

import unittest

from bilberryramp.soak import repeats

LIMITS = repeats.Limits(ratio=0.2, slack=3, window_ms=1000)


class FindRepeatsTest(unittest.TestCase):
    def test_arrivals_beyond_the_first_of_each_request(self):
        arrivals = [("a", 1), ("b", 2), ("a", 3), ("a", 4), ("b", 9)]
        self.assertEqual(list(repeats.find_repeats(arrivals)), [3, 4, 9])


class WorstWindowTest(unittest.TestCase):
    def worst(self, sent_ms, repeats_ms):
        return repeats.worst_window(sent_ms, repeats_ms, LIMITS)

    def test_there_is_none_without_repeats(self):
        self.assertIsNone(self.worst([1, 2], []))

    def test_windows_slide(self):
        """Guard against windows that begin at multiples of their length."""
        worst = self.worst([], [600, 700, 1400, 1599, 1600])
        self.assertEqual(worst.repeats, 4)
        self.assertLessEqual(worst.from_ms, 600)

    def test_the_end_of_a_window_is_outside(self):
        self.assertEqual(self.worst([], [0, 1000]).repeats, 1)
        self.assertEqual(self.worst([], [0, 999]).repeats, 2)

    def test_the_highest_of_three_counts_of_requests_is_the_base(self):
        repeats_ms = [5000] * 10 + [5999] * 10
        for first_ms in (5000, 4500, 4000):
            sent_ms = list(range(first_ms, first_ms + 1000, 100))
            worst = self.worst(sent_ms, repeats_ms)
            with self.subTest(first_ms=first_ms):
                self.assertEqual(worst, repeats.Window(5000, 20, 5.0))
        for first_ms in (2000, 7000):
            sent_ms = list(range(first_ms, first_ms + 1000, 100))
            self.assertEqual(self.worst(sent_ms, repeats_ms).bound, 3.0)

    def test_the_window_that_exceeds_its_bound_by_most_is_the_worst(self):
        """Six repeats of 20 requests are within bounds, five of none not."""
        sent_ms = list(range(0, 1000, 50))
        busy_ms = list(range(400, 1000, 100))
        idle_ms = list(range(9000, 9500, 100))
        worst = self.worst(sent_ms, busy_ms + idle_ms)
        self.assertEqual((worst.repeats, worst.bound), (5, 3.0))

    def test_all_windows_are_those_of_a_plain_count(self):
        sent_ms = [0, 30, 400, 900, 1500, 1501, 2200]
        repeats_ms = [50, 450, 460, 1400, 1449, 1450, 2300]

        def count(times_ms, from_ms):
            return sum(from_ms <= t < from_ms + 1000 for t in times_ms)

        excess = max(
            count(repeats_ms, start)
            - 0.2
            * max(count(sent_ms, start - back) for back in (0, 500, 1000))
            - 3
            for start in range(-2000, 4000)
        )
        worst = self.worst(sent_ms, repeats_ms)
        self.assertAlmostEqual(worst.repeats - worst.bound, excess)


class PauseTest(unittest.TestCase):
    def test_only_requests_from_the_lead_time_to_the_end_count(self):
        arrivals_ms = [1000, 1499, 1500, 4999, 5000]
        self.assertEqual(repeats.count_in_pause((1000, 5000), arrivals_ms), 2)

    def test_a_pause_within_the_lead_time_has_no_requests(self):
        arrivals_ms = [1100, 1350, 1450]
        self.assertEqual(repeats.count_in_pause((1000, 1300), arrivals_ms), 0)

    def test_an_answer_within_a_pause_extends_it(self):
        pauses = [(1000, 5000), (2000, 3000), (4999, 6000), (6000, 7000)]
        joined = list(repeats.join_pauses(pauses))
        self.assertEqual(joined, [pauses[:3], pauses[3:]])
        self.assertEqual(repeats.whole_pause(joined[0]), (1000, 6000))

    def test_there_is_nothing_to_join_without_pauses(self):
        self.assertEqual(list(repeats.join_pauses([])), [])


if __name__ == "__main__":
    unittest.main()
