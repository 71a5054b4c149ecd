"""Random histories of a simulated register with crashes and partitions."""

import unittest

from bilberryramp.decisions.fleet.tests import register_driver as driver

SEED_COUNT = 12
STEPS_PER_HISTORY = 40
RACES_PER_HISTORY = 4


def apply_random_event(cluster):
    """Apply a random fault or repair that the register must tolerate."""
    rng = cluster.rng
    names = sorted(cluster.instances)
    match rng.randrange(8):
        case 0:
            driver.stop(cluster, rng.choice(names))
        case 1 | 2:
            for name in names:
                if cluster.instances[name].node is None:
                    driver.start(cluster, name)
        case 3:
            driver.cut_links_of(cluster, rng.sample(names, rng.choice((1, 2))))
        case 4:
            driver.cut_links_of(cluster, [rng.choice(names)], one_way=True)
        case 5 | 6:
            driver.restore_links(cluster)
        case 7:
            for name in names:
                driver.stop(cluster, name)
            driver.run(cluster, 300)
            for name in names:
                driver.start(cluster, name)


def run_random_history(seed, durable_count):
    """Run random requests and faults, then repair all instances and links."""
    cluster = driver.make_cluster(seed, durable_count=durable_count)
    driver.run(cluster, 3000)
    for _ in range(STEPS_PER_HISTORY):
        for _ in range(cluster.rng.randrange(4)):
            name = cluster.rng.choice(sorted(cluster.instances))
            version = cluster.next_version
            cluster.next_version += cluster.rng.randrange(3)
            driver.propose(cluster, name, version, b"%d" % cluster.sequence)
            driver.run(cluster, cluster.rng.randrange(80))
            driver.read(cluster, cluster.rng.choice(sorted(cluster.instances)))
        if cluster.rng.random() < 0.5:
            apply_random_event(cluster)
        driver.run(cluster, cluster.rng.randrange(1200))
    driver.recover(cluster)
    return cluster


def run_races(seed):
    """Let operators race under one version, round after round."""
    cluster = driver.make_cluster(
        seed, durable_count=3 + 2 * (seed % 2), memory_only_count=seed % 3
    )
    driver.run(cluster, 3000)
    for _ in range(RACES_PER_HISTORY):
        driver.race_operators(cluster)
        for name in sorted(cluster.instances):
            if cluster.instances[name].node is None:
                driver.start(cluster, name)
        driver.run(cluster, cluster.rng.randrange(3000))
    driver.recover(cluster)
    return cluster


class RegisterFuzzTest(unittest.TestCase):
    def test_operators_that_race_across_a_cut_bring_one_content_in_force(
        self,
    ):
        # Guards against a node that led, was cut off and then obeyed its own
        # record of a version that the others committed with other content.
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                cluster = run_races(seed)
                bodies = {
                    cluster.instances[name].node.committed_document.body
                    for name in driver.running(cluster)
                }
                self.assertEqual(len(bodies), 1)

    def test_reads_never_miss_an_accepted_version(self):
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                cluster = run_random_history(seed, durable_count=3 + seed % 3)
                newest = driver.read_newest_version(cluster)
                if cluster.accepted_version >= 0:
                    self.assertIsNotNone(newest)
                    self.assertGreaterEqual(newest, cluster.accepted_version)

    def test_a_lost_disk_loses_no_accepted_version(self):
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                cluster = driver.make_cluster(seed, durable_count=3)
                cluster.crash_probability = 0.0
                driver.run(cluster, 4000)
                for version in range(1, 6):
                    for name in sorted(cluster.instances):
                        driver.propose(cluster, name, version)
                    while cluster.accepted_version < version:
                        driver.run(cluster, 20)
                        for name in driver.running(cluster):
                            driver.propose(cluster, name, version)
                    victim = cluster.rng.choice(["d0", "d1", "d2"])
                    driver.stop(cluster, victim, lose_disk=True)
                    if cluster.rng.random() < 0.5:
                        for name in list(driver.running(cluster)):
                            driver.stop(cluster, name)
                    driver.run(cluster, 400)
                    for name in sorted(cluster.instances):
                        if cluster.instances[name].node is None:
                            driver.start(cluster, name)
                    driver.run(cluster, 6000)
                    newest = driver.read_newest_version(cluster)
                    self.assertIsNotNone(newest)
                    self.assertGreaterEqual(newest, cluster.accepted_version)

    def test_successors_with_empty_stores_replace_the_voters(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                cluster = driver.make_cluster(seed, durable_count=3)
                cluster.crash_probability = 0.0
                driver.run(cluster, 4000)
                driver.propose(cluster, leader(cluster), 7)
                driver.run(cluster, 500)
                self.assertEqual(cluster.accepted_version, 7)
                for old, new in (("d0", "e0"), ("d1", "e1"), ("d2", "e2")):
                    driver.stop(cluster, old, lose_disk=True)
                    cluster.instances[new] = driver.Instance(new, True)
                    driver.start(cluster, new)
                    driver.run(cluster, 9000)
                for old_voter in ("d0", "d1", "d2"):
                    cluster.instances.pop(old_voter)
                for name in ("e0", "e1", "e2"):
                    driver.stop(cluster, name)
                driver.run(cluster, 500)
                for name in ("e0", "e1", "e2"):
                    driver.start(cluster, name)
                driver.run(cluster, 6000)
                self.assertEqual(driver.read_newest_version(cluster), 7)


def leader(cluster):
    """Return the address of a running node in the phase ``leader``."""
    return driver.leaders(cluster)[0]


class MutationTest(unittest.TestCase):
    """Tests that the simulation detects a register with a known fault."""

    def test_a_wiped_store_with_its_old_id_is_detected(self):
        """A wiped store that keeps its old id must lose a committed version.

        This checks that the simulation detects the fault that store ids
        prevent.
        """
        detected = 0
        for seed in range(SEED_COUNT):
            cluster = driver.make_cluster(
                seed, durable_count=3, memory_only_count=0
            )
            driver.run(cluster, 4000)
            old_leader = leader(cluster)
            isolated = next(
                n for n in sorted(cluster.instances) if n != old_leader
            )
            driver.cut_links_of(cluster, [isolated])
            driver.run(cluster, 100)
            driver.propose(cluster, old_leader, 5)
            driver.run(cluster, 600)
            if cluster.accepted_version != 5:
                continue
            (other,) = set(cluster.instances) - {old_leader, isolated}
            driver.restore_links(cluster)
            driver.stop(cluster, old_leader)
            driver.stop(cluster, other, lose_disk=True)
            # Mutation: the empty store gets the id of the lost one.
            driver.start(cluster, other, is_first_start=True)
            driver.run(cluster, 4000)
            driver.start(cluster, old_leader)
            newest = driver.read_newest_version(cluster)
            detected += newest is not None and newest < 5 or newest is None
        self.assertGreater(detected, 0)
