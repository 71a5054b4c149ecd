"""Tests in virtual time that pauses hold over any history of faults."""

import collections
import unittest

from bilberryramp.decisions.fleet.tests import pause_driver as driver

SEEDS = range(8)
FAULTS_MS = 30_000
# Longer than the longest pause.
CALM_MS = 8000
# Requests that may reach an upstream late in a pause, from one node.
MAX_LATE = 2


class PauseFuzzTest(unittest.TestCase):
    # Guards against requests during a pause, and against upstreams that get
    # none after it.

    def test_pauses_hold_and_end(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = driver.make_fleet(seed)
                driver.run(fleet, FAULTS_MS)
                driver.calm_down(fleet)
                driver.run(fleet, CALM_MS)
                self.check_pauses(fleet)
                self.check_return(fleet)

    def check_pauses(self, fleet):
        late = [
            (upstream.name, *key, count)
            for upstream in fleet.upstreams.values()
            for key, count in upstream.late.items()
            if count > MAX_LATE
        ]
        self.assertEqual(late, [])

    def check_return(self, fleet):
        """Check that all upstreams serve all nodes, and none is refused."""
        calm_ms = fleet.now_ms - CALM_MS // 4
        for upstream in fleet.upstreams.values():
            nodes = {n for at_ms, n in upstream.arrivals if at_ms > calm_ms}
            self.assertEqual(nodes, set(fleet.nodes))
        for node in fleet.nodes.values():
            ends = collections.Counter(
                end for at_ms, end in node.outcomes if at_ms > calm_ms
            )
            self.assertEqual(set(ends), {"served"})


if __name__ == "__main__":
    unittest.main()
