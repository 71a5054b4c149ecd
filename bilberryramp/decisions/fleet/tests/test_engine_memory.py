"""Tests that an engine never holds more than fits into its memory."""

import unittest

from bilberryramp.decisions.fleet.tests import memory_driver

# Routes whose calls are far from late keep engines full the longest.
PATIENT = {"target_ms": 8015, "timeout_ms": 12_023}
# A slow engine holds requests for longer than reports are valid.
SLOW = PATIENT | {"slowdown": 8.0}


class EngineMemoryTest(unittest.TestCase):
    def assert_fits(self, fleet):
        memory_driver.run(fleet, 13_000)
        self.assertGreater(len(fleet.waits_ms), 0)
        self.assertLessEqual(memory_driver.excess_tokens(fleet), 0)

    def test_prompts_at_all_gateways_at_once(self):
        fleet = memory_driver.make_fleet(1, 29)
        memory_driver.burst(fleet)
        self.assert_fits(fleet)

    def test_killed_gateways_whose_requests_run_on(self):
        fleet = memory_driver.make_fleet(1, 29, **SLOW)
        memory_driver.burst(fleet)
        memory_driver.run(fleet, 300)
        killed = list(fleet.nodes)[::2]
        for name in killed:
            memory_driver.kill(fleet, name)
        memory_driver.run(fleet, 2500)
        survivors = [name for name in fleet.nodes if name not in killed]
        memory_driver.burst(fleet, survivors, size=4)
        self.assert_fits(fleet)

    def test_restarted_gateways_whose_requests_run_on(self):
        fleet = memory_driver.make_fleet(1, 17, **SLOW)
        memory_driver.burst(fleet)
        memory_driver.run(fleet, 300)
        for name in list(fleet.nodes)[::2]:
            memory_driver.kill(fleet, name)
            memory_driver.restart(fleet, name)
        memory_driver.run(fleet, 2500)
        memory_driver.burst(fleet, size=4)
        self.assert_fits(fleet)

    def test_gateways_that_do_not_hear_each_other(self):
        fleet = memory_driver.make_fleet(1, 17, **SLOW)
        fleet.cut_off = "ab"
        memory_driver.burst(fleet)
        memory_driver.run(fleet, 2500)
        memory_driver.burst(fleet, size=2)
        self.assert_fits(fleet)

    def test_requests_that_run_on_after_their_clients_left(self):
        fleet = memory_driver.make_fleet(1, 17, **SLOW)
        for _ in range(6):
            memory_driver.burst(fleet, leaves_after_ms=150)
            memory_driver.run(fleet, 500)
        self.assert_fits(fleet)


if __name__ == "__main__":
    unittest.main()
