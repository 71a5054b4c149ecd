"""Tests that the usage of workspaces stays within their limits.

The fleet is simulated with injected faults; clients ask for more than the
limits. ``python -m unittest`` plays a few seeds; `play` takes any.
"""

import unittest
from unittest import mock

from bilberryramp.decisions.fleet.limits import (
    usage_issuer,
    usage_terms,
)
from bilberryramp.decisions.fleet.tests import register_driver, usage_driver

ACTIONS = 20
RATE = usage_driver.LIMITS[0][0]
LARGE_BURST = (10e3, 500e3)
SETTLED_MS = 6000
PAUSES_MS = (200, 700, 1500, 4000, 9000)


def play(seed, **options) -> usage_driver.Fleet:
    """Play random faults, limits, and demand that moves between the nodes."""
    fleet = usage_driver.make_fleet(seed, **options)
    rng = fleet.cluster.rng
    usage_driver.run(fleet, rng.choice((1000, SETTLED_MS)))
    for _ in range(ACTIONS):
        rng.choice(FAULTS)(fleet)
        _vary_demand(fleet)
        usage_driver.run(fleet, rng.choice(PAUSES_MS))
    return fleet


def excess(fleet) -> float:
    return usage_driver.worst_excess(fleet)


def _vary_demand(fleet) -> None:
    rng = fleet.cluster.rng
    names = sorted(fleet.cluster.instances)
    some = rng.sample(names, rng.randrange(1, len(names) + 1))
    fleet.receivers = rng.choice((names, some, some[:1]))
    for name in fleet.demand_per_s:
        fleet.demand_per_s[name] = rng.choice((0.0, 50e3, 200e3, 800e3))
    fleet.not_run = rng.choice((0.0, 0.1, 0.6))


def _change_limit(fleet) -> None:
    rng = fleet.cluster.rng
    usage_driver.set_limit(fleet, rng.choice(usage_driver.LIMITS))


def _kill_some(fleet) -> None:
    rng = fleet.cluster.rng
    names = register_driver.running(fleet.cluster)
    for name in rng.sample(names, min(len(names), rng.randrange(1, 3))):
        usage_driver.kill(fleet, name, lose_disk=rng.random() < 0.2)


def _kill_leader(fleet) -> None:
    for name in register_driver.leaders(fleet.cluster):
        usage_driver.kill(fleet, name)


def _kill_all(fleet) -> None:
    for name in register_driver.running(fleet.cluster):
        usage_driver.kill(fleet, name)
    usage_driver.run(fleet, fleet.cluster.rng.choice((50, 1000)))
    _start_all(fleet)


def _start_all(fleet) -> None:
    for name, instance in list(fleet.cluster.instances.items()):
        if instance.node is None:
            usage_driver.start(fleet, name)


def _change_leader_often(fleet) -> None:
    """Cut off or kill each new leader a little after it was elected."""
    for _ in range(4):
        for name in register_driver.leaders(fleet.cluster):
            if fleet.cluster.rng.random() < 0.5:
                register_driver.restore_links(fleet.cluster)
                register_driver.cut_links_of(fleet.cluster, [name])
            else:
                usage_driver.kill(fleet, name)
                usage_driver.start(fleet, name)
        usage_driver.run(fleet, 2000)


def _freeze_some(fleet) -> None:
    rng = fleet.cluster.rng
    names = register_driver.running(fleet.cluster)
    for name in rng.sample(names, min(len(names), rng.randrange(1, 4))):
        register_driver.freeze(fleet.cluster, name)


def _freeze_leader(fleet) -> None:
    for name in register_driver.leaders(fleet.cluster):
        register_driver.freeze(fleet.cluster, name)


def _thaw_all(fleet) -> None:
    for name in sorted(fleet.cluster.frozen):
        register_driver.thaw(fleet.cluster, name)


def _cut(fleet) -> None:
    rng = fleet.cluster.rng
    names = sorted(fleet.cluster.instances)
    some = rng.sample(names, rng.randrange(1, len(names)))
    register_driver.cut_links_of(fleet.cluster, some, rng.random() < 0.3)


def _cut_leader(fleet) -> None:
    leaders = register_driver.leaders(fleet.cluster)
    register_driver.cut_links_of(fleet.cluster, leaders)


def _cut_all(fleet) -> None:
    for name in fleet.cluster.instances:
        register_driver.cut_links_of(fleet.cluster, [name])


def _harm_links(fleet) -> None:
    rng = fleet.cluster.rng
    fleet.cluster.delays_ms = rng.choice(
        ((1, 2, 5, 40), (1, 40, 400, 1500), (1, 3000))
    )
    fleet.cluster.loss_probability = rng.choice((0.02, 0.02, 0.3))


def _join(fleet) -> None:
    count = len(fleet.cluster.instances)
    usage_driver.join(fleet, f"y{count}")


def _calm(fleet) -> None:
    register_driver.restore_links(fleet.cluster)
    _thaw_all(fleet)
    _start_all(fleet)
    fleet.cluster.delays_ms = (1, 2, 5, 40)
    fleet.cluster.loss_probability = 0.02
    usage_driver.run(fleet, fleet.cluster.rng.choice((2000, SETTLED_MS)))


FAULTS = (
    *3 * (_calm,),
    *2 * (_change_leader_often,),
    *2 * (_change_limit,),
    _cut,
    _cut_all,
    _cut_leader,
    _freeze_leader,
    _freeze_some,
    _harm_links,
    _join,
    _kill_all,
    _kill_leader,
    _kill_some,
    *2 * (_start_all,),
    _thaw_all,
)


def _hot_fleet(**options) -> usage_driver.Fleet:
    """Build a fleet without losses whose first workspace is over its limit."""
    demand = {"w1": 6 * RATE, "w2": 50e3}
    options = {"demand_per_s": demand, "not_run": 0.0} | options
    fleet = usage_driver.make_fleet(1, 3, 4, **options)
    fleet.cluster.loss_probability = fleet.cluster.crash_probability = 0.0
    return fleet


def _change_leaders(fleet) -> None:
    """Kill each leader after its bucket has had time to fill."""
    demand = dict(fleet.demand_per_s)
    usage_driver.run(fleet, 10_000)
    for _ in range(8):
        (leader,) = register_driver.leaders(fleet.cluster)
        usage_driver.kill(fleet, leader)
        usage_driver.start(fleet, leader)
        fleet.demand_per_s = demand
        usage_driver.run(fleet, 3000)
        _wait_for_leader(fleet)
    usage_driver.run(fleet, 10_000)


def _wait_for_leader(fleet) -> None:
    while not register_driver.leaders(fleet.cluster):
        usage_driver.run(fleet, 100)


class UsageLimitTest(unittest.TestCase):
    def test_no_window_exceeds_a_limit_around_faults(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.assertLessEqual(excess(play(seed)), 0)

    def test_changes_of_the_leader_stay_within_the_limit(self):
        for limit in (usage_driver.LIMITS[0], LARGE_BURST):
            fleet = _hot_fleet()
            fleet.limits = [(0, limit)]
            _change_leaders(fleet)
            self.assertLessEqual(excess(fleet), 0)

    def test_a_workspace_over_its_limit_uses_most_of_it(self):
        for receivers in (slice(0, None), slice(1, 2)):
            fleet = _hot_fleet()
            fleet.receivers = fleet.receivers[receivers]
            usage_driver.run(fleet, SETTLED_MS)
            start_ms = fleet.cluster.now_ms
            usage_driver.run(fleet, 16_000)
            end_ms = fleet.cluster.now_ms
            used = usage_driver.used_per_s(fleet, "w1", start_ms, end_ms)
            self.assertGreaterEqual(used, 0.95 * RATE)

    def test_a_workspace_below_its_limit_is_not_refused(self):
        fleet = _hot_fleet(demand_per_s={"w1": 0.6 * RATE, "w2": 20e3})
        usage_driver.run(fleet, SETTLED_MS)
        fleet.refused = 0
        usage_driver.run(fleet, 16_000)
        self.assertEqual(fleet.refused, 0)


class CheckTest(unittest.TestCase):
    """The check sees each fault of a rule that it was written for."""

    def test_a_new_leader_with_a_full_bucket(self):
        def full(issuer, name, limit):
            if name not in issuer.buckets:
                terms = usage_terms.make_terms(limit, issuer.exactness)
                issuer.buckets[name] = usage_issuer.Bucket(
                    limit.unit, terms, terms.depth, issuer.led_since_ms
                )
            return issuer.buckets[name]

        fleet = _hot_fleet()
        fleet.limits = [(0, LARGE_BURST)]
        with mock.patch.object(usage_issuer, "_bucket", full):
            _change_leaders(fleet)
        self.assertGreater(excess(fleet), 0)

    def test_credit_that_is_given_back_more_than_once(self):
        fleet = _hot_fleet(not_run=0.5, refunds=3)
        usage_driver.run(fleet, 20_000)
        self.assertGreater(excess(fleet), 0)

    def test_a_leader_that_does_not_know_that_its_lease_has_ended(self):
        def ever(issuer, _now_ms):
            return issuer.leadership.until_ms >= 0

        fleet = _hot_fleet()
        with mock.patch.object(usage_issuer, "leads", ever):
            usage_driver.run(fleet, SETTLED_MS)
            leaders = register_driver.leaders(fleet.cluster)
            near = [*leaders, "x0", "x1"]
            register_driver.cut_links_of(fleet.cluster, near)
            usage_driver.run(fleet, 14_000)
        self.assertGreater(excess(fleet), 0)


if __name__ == "__main__":
    unittest.main()
