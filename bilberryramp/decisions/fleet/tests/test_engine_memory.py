"""Tests that an engine never holds more than fits into its memory."""

import unittest

from bilberryramp.decisions.fleet.limits import memory_claims
from bilberryramp.decisions.fleet.tests import builders, memory_driver

# Routes whose calls are far from late keep engines full the longest.
PATIENT = {"target_ms": 8015, "timeout_ms": 12_023}
# A slow engine holds requests for longer than reports are valid.
SLOW = PATIENT | {"slowdown": 8.0}


class EngineMemoryTest(unittest.TestCase):
    def assert_fits(self, fleet):
        memory_driver.run(fleet, 13_000)
        self.assertGreater(len(fleet.waits_ms), 0)
        self.assertLessEqual(memory_driver.excess_tokens(fleet), 0)
        self.assertEqual(memory_driver.leftovers(fleet), [])

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

    def test_gateways_that_restart_again_and_again(self):
        fleet = memory_driver.make_fleet(1, 2, **SLOW)
        for _ in range(14):
            memory_driver.burst(fleet, size=2)
            memory_driver.run(fleet, 200)
            for name in fleet.nodes:
                memory_driver.kill(fleet, name)
                memory_driver.restart(fleet, name)
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

    def test_restarted_agents_know_no_claim(self):
        fleet = memory_driver.make_fleet(1, 17, **SLOW)
        memory_driver.burst(fleet)
        memory_driver.run(fleet, 1000)
        memory_driver.restart_agents(fleet)
        memory_driver.burst(fleet, size=2)
        self.assert_fits(fleet)

    def test_prompts_are_sent_without_agents(self):
        fleet = memory_driver.make_fleet(1, 17)
        memory_driver.lose_agents(fleet)
        memory_driver.load(fleet, 5.0, 5000)
        self.assert_fits(fleet)
        self.assertEqual(fleet.refused, 0)

    def test_random_losses(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.assert_fits(memory_driver.play_random(seed))

    def test_nothing_waits_while_engines_have_room(self):
        fleet = memory_driver.make_fleet(1, 29, 2)
        memory_driver.load(fleet, 16.0, 10_000)
        self.assert_fits(fleet)
        self.assertEqual(fleet.refused, 0)
        self.assertNotIn("engine.memory_awaited", fleet.traces)


class BookTest(unittest.TestCase):
    def setUp(self):
        self.book = memory_claims.Book(since_ms=0)

    def ask(self, number, tokens, now_ms=20_000, is_sole=True, **changes):
        claim = builders.make_memory_claim(number, tokens, **changes)
        return memory_claims.answer_claim(
            self.book, claim, is_sole, now_ms
        ).answer

    def test_claims_fill_the_capacity_once(self):
        self.assertEqual(self.ask(1, 60_000), "granted")
        self.assertEqual(self.ask(2, 50_000), "full")
        self.assertEqual(self.ask(1, 60_000), "granted")

    def test_memory_returns_by_release_or_in_time(self):
        self.ask(1, 60_000)
        release = memory_claims.MemoryRelease("n1:1", 7, 1, "u1")
        memory_claims.release_claim(self.book, release)
        self.assertEqual(self.ask(2, 50_000), "granted")
        self.assertEqual(self.ask(3, 60_000), "full")
        self.assertEqual(self.ask(3, 60_000, 26_001), "granted")

    def test_claims_end_with_the_process_of_the_engine(self):
        self.ask(1, 60_000)
        self.assertEqual(self.ask(2, 60_000, born_ms=2), "granted")
        self.assertEqual(self.ask(3, 10, born_ms=1), "full")

    def test_new_agent_adds_reports_and_what_they_lack(self):
        known = {"reported_tokens": 50_000}
        self.assertEqual(self.ask(1, 40_000, 10, **known), "granted")
        self.assertEqual(self.ask(2, 20_000, 20, **known), "full")
        self.assertEqual(self.ask(2, 20_000, 500, **known), "granted")

    def test_agent_with_a_possible_rival_grants_nothing(self):
        self.assertEqual(self.ask(1, 10, is_sole=False), "unknown")


if __name__ == "__main__":
    unittest.main()
