"""Tests of the quarantine when all nodes restart at the same moment."""

import dataclasses
import unittest

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_losses,
    coordinator_memory,
    coordinator_state,
    suspect_memory,
    suspect_publications,
    suspects,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.fleet.tests import quarantine_driver as driver
from bilberryramp.decisions.fleet.tests import test_quarantine as quarantine
from bilberryramp.decisions.fleet.tests import test_quarantine_fuzz as fuzz

SEEDS = range(3)
RESTARTS = 4
# Time between two restarts of all nodes, and between two fatal requests.
RESTART_INTERVAL_MS = 14_500
FATAL_PAUSE_MS = 2500
# Arrivals that the platform's rules allow after the third or fifth crash.
MAX_LATE_ARRIVALS = 3
# Restarts of all nodes between losses, and the times from a restart to the
# next loss and from there to the next restart.
SERIES_RESTARTS = 12
SETTLING_MS = 3700
SERIES_PAUSE_MS = 1300
# Ends after which a request is refused, the time from a start or suspension
# to the next of them, and a time after which a node is no longer disturbed.
CRASHES = 3
UNCERTAIN_MS = 500
STABLE_MS = 3500
RANDOM_LENGTH_MS = 60_000
NOW_MS = 100_000


def send_fatal(fleet):
    driver.submit(fleet, "fatal", True)
    driver.at(fleet, FATAL_PAUSE_MS, send_fatal, fleet)


def send_deadly(fleet):
    driver.submit_prompt(fleet, ("first", "deadly"))
    driver.at(fleet, FATAL_PAUSE_MS, send_deadly, fleet)


def send_sound(fleet):
    driver.submit_prompt(fleet, ("first",))
    driver.at(fleet, 40, send_sound, fleet)


def play(seed, disk_count, send, first_restart_ms=RESTART_INTERVAL_MS):
    """Send fatal requests while all nodes restart four times."""
    fleet = driver.make_fleet(
        seed, node_count=3, model_engine_count=4, disk_count=disk_count
    )
    fleet.deadly_parts.add("deadly")
    send(fleet)
    fuzz.send_innocent(fleet)
    send_sound(fleet)
    driver.run(fleet, first_restart_ms)
    for _ in range(RESTARTS):
        driver.restart_all_nodes(fleet)
        driver.run(fleet, RESTART_INTERVAL_MS)
    return fleet


def restart_again(fleet):
    """Restart all nodes, and plan the next time."""
    driver.restart_all_nodes(fleet, fleet.rng.randint(200, 2500))
    pause_ms = fleet.rng.randint(6000, 15_000)
    driver.at(fleet, pause_ms, restart_again, fleet)


def play_random(seed, disk_count=3, has_faults=True):
    """Play two fatal requests, random restarts of all nodes, and faults."""
    fleet = driver.make_fleet(seed, disk_count=disk_count)
    fuzz.send_fatal(fleet, "fatal-a", "/look/x")
    fuzz.send_fatal(fleet, "fatal-b", "/file/x")
    fuzz.send_innocent(fleet)
    if has_faults:
        driver.at(fleet, 1000, fuzz.apply_random_fault, fleet)
    driver.at(fleet, 6000, restart_again, fleet)
    driver.run(fleet, RANDOM_LENGTH_MS)
    return fleet


def play_between_losses(seed, send):
    """Restart all nodes after each loss of a request that is not repeated."""
    fleet = driver.make_fleet(seed, model_engine_count=6, disk_count=3)
    fleet.deadly_parts.add("deadly")
    fuzz.send_innocent(fleet)
    send_sound(fleet)
    for _ in range(SERIES_RESTARTS):
        driver.run(fleet, SETTLING_MS)
        send(fleet)
        driver.run(fleet, SERIES_PAUSE_MS)
        driver.restart_all_nodes(fleet)
    return fleet


def play_losses_at_an_uncertain_node(seed, disturb):
    """Lose three upstreams through a node that was disturbed just before."""
    fleet = driver.make_fleet(seed)
    fuzz.send_innocent(fleet)
    node = fleet.nodes["n4:1"]
    driver.run(fleet, STABLE_MS)
    for _ in range(CRASHES):
        disturb(fleet, node)
        driver.run(fleet, max(node.thaw_ms - fleet.now_ms, 0) + UNCERTAIN_MS)
        driver.submit(fleet, "fatal", True, "/file/x", node)
        driver.run(fleet, STABLE_MS)
    return fleet


class UncertainNodeTest(unittest.TestCase):
    """Losses just after a start or a suspension of their node were dropped."""

    def check(self, disturb):
        for seed in SEEDS:
            fleet = play_losses_at_an_uncertain_node(seed, disturb)
            request = driver.submit(fleet, "fatal", True, "/file/x")
            driver.run(fleet, 100)
            with self.subTest(seed=seed):
                self.assertEqual(len(fleet.crashes), CRASHES)
                self.assertEqual(
                    request.outcome, calls.Refusal.QUARANTINED.value
                )
                self.assertEqual(driver.wrongly_quarantined(fleet), [])

    def test_losses_just_after_a_start_count(self):
        self.check(driver.restart_node)

    def test_losses_just_after_a_suspension_count(self):
        self.check(lambda fleet, node: driver.suspend_node(fleet, node, 2000))

    def test_they_count_only_if_the_coordinator_had_heard_the_upstream(self):
        for name, born_ms, silent_ms, resumed_ms_ago, phase in (
            ("heard", 1000, 0, 10_000, "observed"),
            ("another process", 999, 0, 10_000, "unknown"),
            ("silent", 1000, 3 * quarantine.HEARTBEAT_MS, 10_000, "unknown"),
            ("coordinator resumed", 1000, 0, 100, "unknown"),
        ):
            coord = quarantine.make_coordinator()
            now_ms = NOW_MS + silent_ms
            coord.listening.resumed_ms = now_ms - resumed_ms_ago
            loss = msgs.ReportedLoss(
                "u1", "u1:80", born_ms, 5, 20, 0, 20, 20, True
            )
            loss = dataclasses.replace(loss, is_unverified=True)
            report = msgs.LossReport((("f", "svc", loss),))
            step = quarantine.quarantine_coordinator.step
            list(step(coord, now_ms, report))
            with self.subTest(name):
                self.assertEqual(quarantine.phase_of(coord), phase)


class RestartOfAllTest(unittest.TestCase):
    # Guards against a quarantine that is forgotten when no node stays up.

    def check(self, send, name, crash_count, disk_count):
        for seed in SEEDS:
            for first_restart_ms in (5000, RESTART_INTERVAL_MS):
                fleet = play(seed, disk_count, send, first_restart_ms)
                with self.subTest(seed=seed, restart_ms=first_restart_ms):
                    self.assertLessEqual(
                        driver.late_arrivals(fleet, name, crash_count),
                        MAX_LATE_ARRIVALS,
                    )
                    self.assertEqual(driver.wrongly_quarantined(fleet), [])

    def test_a_fatal_request_stays_quarantined(self):
        for disk_count in (1, 3):
            with self.subTest(disk_count=disk_count):
                self.check(send_fatal, "fatal", 3, disk_count)

    def test_a_deadly_part_stays_quarantined(self):
        self.check(send_deadly, "deadly", 5, 3)

    def test_restarts_between_losses_forgot_each_of_them(self):
        for send, name, crash_count in (
            (lambda f: driver.submit(f, "fatal", True, "/file/x"), "fatal", 3),
            (
                lambda f: driver.submit_prompt(f, ("first", "deadly")),
                "deadly",
                5,
            ),
        ):
            for seed in SEEDS:
                fleet = play_between_losses(seed, send)
                with self.subTest(name=name, seed=seed):
                    self.assertLessEqual(
                        driver.late_arrivals(fleet, name, crash_count),
                        MAX_LATE_ARRIVALS,
                    )
                    self.assertEqual(driver.wrongly_quarantined(fleet), [])

    def test_fatal_requests_stop_beside_other_faults(self):
        for seed in SEEDS:
            for has_faults in (False, True):
                fleet = play_random(seed, has_faults=has_faults)
                with self.subTest(seed=seed, has_faults=has_faults):
                    for name in ("fatal-a", "fatal-b"):
                        self.assertLessEqual(
                            driver.late_arrivals(fleet, name),
                            MAX_LATE_ARRIVALS,
                        )
                    self.assertEqual(driver.wrongly_quarantined(fleet), [])

    def test_a_node_refuses_before_it_knows_a_coordinator(self):
        fleet = play(1, 3, send_fatal)
        driver.restart_all_nodes(fleet)
        request = driver.submit(fleet, "fatal", True)
        driver.run(fleet, 100)
        self.assertEqual(fleet.leader, "")
        self.assertEqual(request.outcome, calls.Refusal.QUARANTINED.value)


def make_entry(identity="f", phase="quarantined", remaining_ms=60_000):
    loss = msgs.ReportedLoss("u1", "", 1, 0, 300, 200, 300, 300, True, True)
    return msgs.PublishedSuspect(
        identity, "svc", phase, remaining_ms, 1, (loss,)
    )


class StoredListTest(unittest.TestCase):
    def setUp(self):
        table = builders.presence.Table(1200)
        self.state = suspects.Suspects("n1:1", table)

    def restore(self, entries, elapsed_ms):
        stored = suspect_memory.StoredSuspects(5_000_000, tuple(entries))
        wall_ms = stored.wall_ms + elapsed_ms
        suspect_memory.restore(self.state, stored, wall_ms, NOW_MS)
        return suspect_publications.known_suspects(self.state, NOW_MS)

    def test_the_time_without_a_process_counts(self):
        (known,) = self.restore([make_entry()], 20_000)
        self.assertEqual(known.remaining_ms, 40_000)
        self.assertEqual(known.losses[0].ended_ms_ago, 20_200)

    def test_a_wall_clock_that_was_set_back_ends_no_quarantine(self):
        (known,) = self.restore([make_entry()], -3_600_000)
        self.assertEqual(known.remaining_ms, 60_000)

    def test_old_suspects_are_forgotten(self):
        entries = [
            make_entry("a", "restricted", 0),
            make_entry("b", "quarantined", 60_000),
            make_entry("c", "quarantined", 3_600_000),
        ]
        elapsed_ms = coordinator_losses.RETENTION_MS + 1
        known = self.restore(entries, elapsed_ms)
        self.assertEqual([entry.fingerprint for entry in known], ["c"])

    def test_losses_that_were_not_published_are_restored_by_age(self):
        stored = suspect_memory.StoredSuspects(
            0, (), (make_entry(phase="observed", remaining_ms=0),)
        )
        retention_ms = coordinator_losses.RETENTION_MS
        for elapsed_ms, count in ((20_000, 1), (retention_ms, 0)):
            suspect_memory.restore(self.state, stored, elapsed_ms, NOW_MS)
            known = suspect_publications.gathered_suspects(self.state, NOW_MS)
            self.assertEqual(len(known), count)
            for entry in known:
                (loss,) = entry.losses
                self.assertEqual(
                    (loss.ended_ms_ago, loss.heard_ms_ago), (20_200, 20_300)
                )
        self.assertFalse(self.state.published)

    def test_the_coordinator_keeps_a_bounded_number_of_losses(self):
        limit = coordinator_memory.MAX_REMEMBERED
        coord = quarantine.make_coordinator()
        for number in range(limit + 5):
            quarantine.report(coord, "u1", NOW_MS, f"f{number}")
        quarantine.report(coord, "u2", NOW_MS + 500, "f0")
        produced = quarantine.run_until(
            coord, NOW_MS + 500, NOW_MS + 3000, ("u1", "u2", "u3", "u4")
        )
        lists = builders.of_type(produced, coordinator_state.GatheredLosses)
        self.assertLessEqual(len(lists), 5)
        names = [entry.fingerprint for entry in lists[0].suspects]
        self.assertEqual(len(names), limit)
        self.assertEqual(names[0], "f0")

    def test_a_new_loss_hid_a_quarantine_from_a_disk(self):
        """A node without a disk lost an upstream before one with a disk."""
        coord = quarantine.make_coordinator()
        quarantine.report(coord, "u1", NOW_MS, "f")
        message = msgs.KnownSuspects((make_entry(),))
        step = quarantine.quarantine_coordinator.step
        list(step(coord, NOW_MS, message))
        self.assertEqual(quarantine.phase_of(coord, "f"), "quarantined")
        self.assertEqual(len(coord.suspects["f"].losses), 2)

    def test_a_bounded_number_is_kept_and_quarantined_ones_first(self):
        limit = suspect_memory.MAX_STORED_SUSPECTS
        for number in range(limit):
            entry = make_entry(f"r{number}", "restricted", 0)
            self.state.published[entry.fingerprint] = (entry, NOW_MS)
        entry = make_entry("q")
        self.state.published["q"] = (entry, NOW_MS)
        (kept,) = suspect_memory.keep(self.state, NOW_MS)
        self.assertEqual(len(kept.suspects), limit)
        self.assertEqual(kept.suspects[0].fingerprint, "q")

    def test_a_cleared_suspect_is_removed_from_the_disk(self):
        gw = builders.make_gateway()
        builders.collect(
            driver.gateway.step(
                gw, NOW_MS, driver.gateway.CoordinatorChanged("n2:1")
            )
        )
        kept = []
        for revision, phase in ((1, "quarantined"), (2, "cleared")):
            message = msgs.SuspectList(
                "n2:1", revision, revision == 1, (make_entry(phase=phase),)
            )
            effects = builders.collect(
                driver.gateway.step(gw, NOW_MS, message)
            )
            (effect,) = builders.of_type(effects, suspect_memory.KeepSuspects)
            kept.append(len(effect.suspects))
        self.assertEqual(kept, [1, 0])


if __name__ == "__main__":
    unittest.main()
