"""Histories of the register in which as many disks are lost as may be."""

import unittest
from unittest import mock

from bilberryramp.decisions.fleet.register import electorate
from bilberryramp.decisions.fleet.tests import register_driver as driver

# Time after which a new instance counts as a full replacement.
CATCH_UP_MS = 4000
# Time for which instances are down whose disk is kept, and is lost.
DARK_MS = 7000
WIPED_MS = 1300
# Time within which a change is confirmed while no more instances are down
# than tolerated, and within which all is well after all are back.
CONFIRM_MS = 6000
RECOVERY_MS = 15_000
SEED_COUNT = 3
# Numbers of instances with a disk, and how many may be lost.
FLEETS = [
    (count, losses)
    for count in range(1, 10)
    for losses in range((count - 1) // 2 + 1)
]


def make_cluster(seed, count, losses, memory_only_count=0, **changes):
    """Build a cluster whose messages arrive, with a first version."""
    cluster = driver.make_cluster(
        seed, count, memory_only_count, losses, **changes
    )
    cluster.crash_probability = 0.0
    driver.run(cluster, 4000)
    confirm(cluster, 1)
    return cluster


def confirm(cluster, version):
    """Propose a version until it is confirmed, or `CONFIRM_MS` are over."""
    until_ms = cluster.now_ms + CONFIRM_MS
    while cluster.accepted_version < version and cluster.now_ms < until_ms:
        for name in driver.running(cluster):
            driver.propose(cluster, name, version)
        driver.run(cluster, 50)
    if cluster.accepted_version < version:
        raise driver.InvariantViolationError(
            f"version {version} is not confirmed"
        )


def durable_names(cluster):
    """Return the addresses of the running instances with a disk."""
    return [
        name
        for name in sorted(driver.running(cluster))
        if cluster.instances[name].durable
    ]


def lose_disks(cluster, names):
    """Let instances lose their disks and come back with empty ones."""
    for name in names:
        driver.stop(cluster, name, lose_disk=True)
    driver.run(cluster, WIPED_MS)
    for name in names:
        driver.start(cluster, name)


def check_recovered(cluster):
    """Check that nothing confirmed is lost, and that a change is possible."""
    driver.recover(cluster, RECOVERY_MS)
    newest = driver.read_newest_version(cluster)
    if newest is None or newest < cluster.accepted_version:
        raise driver.InvariantViolationError(
            f"read {newest} after {cluster.accepted_version} was confirmed"
        )
    confirm(cluster, cluster.accepted_version + 1)


def lose_disks_beside_dark(seed, count, losses):
    """Let instances go dark, confirm a change, and lose other disks."""
    cluster = make_cluster(seed, count, losses, memory_only_count=seed % 2)
    rng = cluster.rng
    dark = rng.sample(durable_names(cluster), rng.randrange(losses + 1))
    for name in dark:
        driver.stop(cluster, name)
    since_ms = cluster.now_ms
    driver.run(cluster, rng.randrange(DARK_MS - 1000))
    confirm(cluster, 2)
    lose_disks(cluster, rng.sample(durable_names(cluster), losses))
    driver.run(cluster, max(since_ms + DARK_MS - cluster.now_ms, 0))
    check_recovered(cluster)


def lose_seeds_without_disk(seed, count, losses):
    """Kill seeds without a disk at the first confirmation."""
    cluster = driver.make_cluster(
        seed, count, 3, losses, seeds=("x0", "x1", "d0")
    )
    cluster.crash_probability = 0.0
    driver.run(cluster, cluster.rng.randrange(1500))
    confirm(cluster, 1)
    for name in ("x0", "x1"):
        driver.stop(cluster, name)
    driver.run(cluster, 500)
    check_recovered(cluster)


def lose_disks_after_replacement(seed, count, losses):
    """Replace an instance as planned, confirm a change, and lose disks."""
    cluster = make_cluster(seed, count, losses, memory_only_count=seed % 2)
    rng = cluster.rng
    old = rng.choice(durable_names(cluster))
    add_instance(cluster, "e0")
    driver.run(cluster, CATCH_UP_MS)
    driver.stop_planned(cluster, old)
    cluster.instances.pop(old)
    if rng.random() < 0.5:
        confirm(cluster, 2)
    lose_disks(cluster, rng.sample(durable_names(cluster), losses))
    check_recovered(cluster)


def lose_disks_after_kill(seed, count, losses):
    """Kill an instance for good, add another one, and lose disks later."""
    cluster = make_cluster(seed, count, losses, memory_only_count=seed % 2)
    rng = cluster.rng
    old = rng.choice(durable_names(cluster))
    driver.stop(cluster, old, lose_disk=True)
    cluster.instances.pop(old)
    if losses:
        # With no tolerated loss, nothing may be removed without a notice.
        driver.run(cluster, rng.randrange(500))
        add_instance(cluster, "e0")
        driver.run(cluster, CATCH_UP_MS)
        confirm(cluster, 2)
        lose_disks(cluster, rng.sample(durable_names(cluster), losses))
        check_recovered(cluster)


def add_instance(cluster, name):
    """Start a further instance with an empty disk."""
    cluster.instances[name] = driver.Instance(name, True)
    driver.start(cluster, name)


def failures(play, fleets=FLEETS, seeds=range(SEED_COUNT)):
    """Return the seeds, with fleet and reason, in which a play fails."""
    failed = []
    for count, losses in fleets:
        for seed in seeds:
            try:
                play(seed, count, losses)
            except driver.InvariantViolationError as exc:
                failed.append((seed, count, losses, str(exc)))
    return failed


class DiskLossTest(unittest.TestCase):
    def test_disks_lost_beside_dark_instances_end_nothing(self):
        """The register had no leader again: too few voters were left."""
        self.assertEqual(failures(lose_disks_beside_dark), [])

    def test_disks_lost_after_a_planned_replacement_end_nothing(self):
        """The replaced instance was a voter until it was silent for long."""
        self.assertEqual(failures(lose_disks_after_replacement), [])

    def test_disks_lost_after_an_unplanned_replacement_end_nothing(self):
        """Guards the time after which a killed instance has no vote."""
        self.assertEqual(failures(lose_disks_after_kill), [])

    def test_seeds_without_a_disk_end_nothing_that_was_confirmed(self):
        """A change was confirmed on votes that a kill ended."""
        self.assertEqual(failures(lose_seeds_without_disk), [])


class MutantTest(unittest.TestCase):
    """Tests that these histories find registers with a known fault."""

    def test_voters_whose_number_ignores_the_losses_are_found(self):
        # One silent voter is enough to make five voters with two tolerated
        # losses too few.
        original = electorate.desired_voters

        def ignore_losses(members, seen):
            changed = electorate.Observation(
                seen.nodes,
                seen.silence_ms,
                seen.observed_ms,
                seen.leadership_ms,
                0,
            )
            return original(members, changed)

        with mock.patch.object(electorate, "desired_voters", ignore_losses):
            self.assertTrue(
                failures(lose_disks_beside_dark, [(5, 2)], range(8))
            )

    def test_votes_that_are_not_handed_over_are_found(self):
        with mock.patch.object(
            electorate, "_is_stopping", lambda member, seen: False
        ):
            self.assertTrue(
                failures(lose_disks_after_replacement, [(3, 1)], range(8))
            )

    def test_confirmations_by_any_voters_are_found(self):
        with mock.patch.object(
            electorate, "may_confirm", lambda record, seen: True
        ):
            self.assertTrue(
                failures(lose_seeds_without_disk, [(3, 1)], range(8))
            )


if __name__ == "__main__":
    unittest.main()
