"""Replays of overload through the real decisions of a gateway."""

import unittest

from bilberryramp.decisions.fleet.queueing.tests import builders

START_MS = 10_000
# Time in which the one engine of the replays reads a prompt.
READ_MS = builders.READ_MS
# Latency objective of the route that the replays use.
OBJECTIVE_MS = 1000


class BusyWorkspaceTest(unittest.TestCase):
    # A workspace at many times its usual took the room of all others.
    def test_others_are_served_while_one_workspace_sends_far_too_much(self):
        busy, other = map(builders.make_workspace, ("busy", "other"))
        gw = builders.make_shared_gateway([busy, other])
        of_busy = [(START_MS + 10 * n, 2 * n) for n in range(400)]
        of_other = [(START_MS + 200 * n, 2 * n + 1) for n in range(20)]
        ended, _ = builders.replay(
            gw,
            of_busy + of_other,
            lambda number: other if number % 2 else busy,
            START_MS + 12_000,
        )
        served = [ended[n] for _, n in of_other if ended[n][0] == "served"]
        self.assertEqual(len(served), len(of_other))
        self.assertTrue(all(took < 1000 for _, took in served))


def play_burst(workspaces):
    """Play six seconds in which three times as many calls come as fit."""
    gw = builders.make_shared_gateway(workspaces)
    arrivals = [
        (START_MS + n * READ_MS // 3, n) for n in range(6000 * 3 // READ_MS)
    ]
    ended, returns = builders.replay(
        gw,
        arrivals,
        lambda _number: builders.make_workspace("w"),
        START_MS + 16_000,
    )
    return gw, ended, returns


def count_served(ended, within_ms):
    """Return how many requests were sent within a time of their arrival."""
    return sum(
        end == "served" and took_ms <= within_ms
        for end, took_ms in ended.values()
    )


class BurstTest(unittest.TestCase):
    # All waited until their objective was missed, and were served late.
    def test_as_many_are_served_and_more_of_them_in_time(self):
        _, before, _ = play_burst([])
        _, ended, _ = play_burst([builders.make_workspace("w")])
        self.assertGreaterEqual(
            count_served(ended, 6000), count_served(before, 6000)
        )
        self.assertGreater(
            count_served(ended, OBJECTIVE_MS),
            1.5 * count_served(before, OBJECTIVE_MS),
        )

    def test_nobody_is_held_to_the_end_untried(self):
        _, ended, _ = play_burst([builders.make_workspace("w")])
        held_ms = [took for end, took in ended.values() if end == "refused"]
        self.assertTrue(held_ms)
        self.assertLess(max(held_ms), 0.75 * 6000)

    def test_lanes_are_forgotten_after_the_burst(self):
        gw, _, _ = play_burst([builders.make_workspace("w")])
        builders.replay(gw, [], None, START_MS + 40_000)
        self.assertFalse(gw.queue_lanes)
        self.assertFalse(gw.queue)
