"""Tests that the retries of a fleet stay within the budget of a service.

The fleet is simulated with injected faults; every node retries as often as it
may. ``python -m unittest`` plays a few seeds; `play` takes any.
"""

import unittest

from bilberryramp.decisions.fleet.limits import retry_budget
from bilberryramp.decisions.fleet.tests import register_driver, retry_driver

LIMITS = retry_driver.LIMITS
# Time from the start of a fleet until its nodes spend the slack.
JOINED_MS = retry_driver.TIMES.join_ms + 3000
ACTIONS = 24


def play(seed, **options) -> retry_driver.Fleet:
    """Play random faults, and requests that move between the nodes."""
    fleet = retry_driver.make_fleet(seed, **options)
    rng = fleet.cluster.rng
    retry_driver.run(fleet, rng.choice((2000, JOINED_MS)))
    for _ in range(ACTIONS):
        rng.choice(FAULTS)(fleet)
        _vary_load(fleet)
        retry_driver.run(fleet, rng.choice((200, 1500, 4000, 9000)))
    return fleet


def _vary_load(fleet) -> None:
    rng = fleet.cluster.rng
    names = sorted(fleet.cluster.instances)
    fleet.rate_per_s = rng.choice((0.0, 3.0, 30.0, 200.0))
    fleet.receivers = rng.choice((names, [rng.choice(names)]))
    count = rng.choice((0, 1, len(names), len(names)))
    fleet.spenders = set(rng.sample(names, count))


def _kill_some(fleet) -> None:
    rng = fleet.cluster.rng
    running = register_driver.running(fleet.cluster)
    for name in rng.sample(running, min(len(running), rng.randrange(1, 3))):
        retry_driver.kill(fleet, name)


def _kill_leader(fleet) -> None:
    for name in register_driver.leaders(fleet.cluster):
        retry_driver.kill(fleet, name)


def _kill_all(fleet) -> None:
    for name in register_driver.running(fleet.cluster):
        retry_driver.kill(fleet, name)
    retry_driver.run(fleet, fleet.cluster.rng.choice((50, 1000, 6000)))
    _start_all(fleet)


def _start_all(fleet) -> None:
    for name, instance in list(fleet.cluster.instances.items()):
        if instance.node is None:
            retry_driver.start(fleet, name)


def _restart_in_turn(fleet) -> None:
    """Kill and start each node, with little time between them."""
    for name in sorted(register_driver.running(fleet.cluster)):
        retry_driver.kill(fleet, name)
        retry_driver.run(fleet, 100)
        retry_driver.start(fleet, name)
        retry_driver.run(fleet, fleet.cluster.rng.choice((100, 1000, 2500)))


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


def _restore_links(fleet) -> None:
    register_driver.restore_links(fleet.cluster)


def _join(fleet) -> None:
    """Add nodes at new addresses, in place of others or beside them."""
    rng = fleet.cluster.rng
    count = len(fleet.cluster.instances)
    for number in range(rng.randrange(1, 4)):
        retry_driver.join(fleet, f"y{count + number}")


def _replace_some(fleet) -> None:
    """Cut some nodes off, and start others in their place."""
    rng = fleet.cluster.rng
    names = sorted(fleet.cluster.instances)
    some = rng.sample(names, rng.randrange(1, 1 + len(names) // 2))
    for number in range(len(some)):
        retry_driver.join(fleet, f"y{len(names) + number}")
    register_driver.cut_links_of(fleet.cluster, some)
    fleet.spenders = set(fleet.cluster.instances)
    retry_driver.run(fleet, JOINED_MS + rng.choice((0, 2000, 6000)))


def _calm(fleet) -> None:
    _restore_links(fleet)
    _thaw_all(fleet)
    _start_all(fleet)
    fleet.cluster.delays_ms = (1, 2, 5, 40)
    fleet.cluster.loss_probability = 0.02
    retry_driver.run(fleet, fleet.cluster.rng.choice((3000, JOINED_MS)))


FAULTS = (
    _calm,
    _calm,
    _calm,
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
    _replace_some,
    _replace_some,
    _restart_in_turn,
    _restore_links,
    _start_all,
    _start_all,
    _thaw_all,
)


def excess(fleet) -> float:
    return retry_driver.worst_excess(fleet.requests_ms, fleet.arrivals_ms)[0]


def _kill_each_twice(fleet) -> None:
    retry_driver.run(fleet, JOINED_MS)
    for _ in range(2):
        for name in sorted(fleet.cluster.instances):
            retry_driver.kill(fleet, name)
            retry_driver.run(fleet, 200)
            retry_driver.start(fleet, name)
            retry_driver.run(fleet, 800)
    retry_driver.run(fleet, 12_000)


def _cut_all_apart(fleet) -> None:
    retry_driver.run(fleet, JOINED_MS)
    _cut_all(fleet)
    retry_driver.run(fleet, 30_000)


def _wait_in_queues(fleet) -> None:
    fleet.spenders = set()
    retry_driver.run(fleet, JOINED_MS)
    for wait_ms in (9000, 0):
        fleet.wait_ms = wait_ms
        fleet.spenders = set(fleet.cluster.instances)
        retry_driver.run(fleet, 1000)
        fleet.spenders = set()
        retry_driver.run(fleet, LIMITS.window_ms + 1000)


def _move_requests(fleet) -> None:
    """Send requests to one node and then to another.

    Each spends what it has earned at the end.
    """
    fleet.rate_per_s = 400.0
    names = sorted(fleet.cluster.instances)[:2]
    for name, duration_ms in zip(names, (10_000, 8500), strict=True):
        fleet.receivers = [name]
        fleet.spenders = set()
        retry_driver.run(fleet, duration_ms)
        fleet.spenders = {name}
        retry_driver.run(fleet, STEP_MS)
    retry_driver.run(fleet, 2000)


STEP_MS = retry_driver.STEP_MS


def _make_small_fleet(**options) -> retry_driver.Fleet:
    return retry_driver.make_fleet(1, 3, 0, **options)


class RetryBudgetTest(unittest.TestCase):
    def test_no_window_exceeds_the_budget_around_faults(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.assertLessEqual(excess(play(seed)), 0)

    def test_a_restarted_node_has_no_new_share_of_the_slack(self):
        fleet = _make_small_fleet()
        _kill_each_twice(fleet)
        self.assertLessEqual(excess(fleet), 0)

    def test_a_node_that_is_cut_off_takes_no_larger_share(self):
        fleet = _make_small_fleet()
        _cut_all_apart(fleet)
        self.assertLessEqual(excess(fleet), 0)

    def test_requests_that_move_between_nodes_are_not_earned_from_twice(self):
        fleet = _make_small_fleet()
        _move_requests(fleet)
        self.assertLessEqual(excess(fleet), 0)

    def test_nodes_in_calm_may_spend_most_of_the_budget(self):
        fleet = retry_driver.make_fleet(1, rate_per_s=100.0)
        window_ms, span_ms = LIMITS.window_ms, retry_budget.span_ms(LIMITS)
        retry_driver.run(fleet, JOINED_MS + 2 * span_ms)
        end_ms = fleet.cluster.now_ms
        earning_ms = window_ms - retry_budget.ARRIVAL_DELAY_MS
        requests = fleet.rate_per_s * window_ms / 1000
        possible = 0.5 * LIMITS.ratio * requests * earning_ms / span_ms
        possible += 0.9 * LIMITS.slack
        # What is spent at once may be spent again after a span.
        retries = retry_driver.retries_within(
            fleet, end_ms - 2 * span_ms, end_ms
        )
        per_window = retries / (2 * span_ms) * window_ms
        self.assertGreaterEqual(per_window, 0.8 * possible)


class CheckTest(unittest.TestCase):
    """The check sees each fault of a rule that it was written for."""

    def test_shares_by_roster_are_spent_anew_after_a_restart(self):
        rule = retry_driver.make_rule_by_roster()
        fleet = _make_small_fleet(may_retry=rule)
        _kill_each_twice(fleet)
        self.assertGreater(excess(fleet), 0)

    def test_shares_by_roster_grow_during_a_cut(self):
        rule = retry_driver.make_rule_by_roster()
        fleet = _make_small_fleet(may_retry=rule)
        _cut_all_apart(fleet)
        self.assertGreater(excess(fleet), 0)

    def test_retries_that_are_charged_before_they_wait_pile_up(self):
        fleet = _make_small_fleet()
        _wait_in_queues(fleet)
        self.assertGreater(excess(fleet), 0)

    def test_requests_that_move_between_nodes_earn_too_much_by_roster(self):
        rule = retry_driver.make_rule_by_roster()
        fleet = _make_small_fleet(may_retry=rule)
        _move_requests(fleet)
        self.assertGreater(excess(fleet), 0)

    def test_one_retry_beyond_the_bound_is_seen(self):
        requests = [1000 * second for second in range(30)]
        # A window of 10 s holds at most 11 of these requests.
        arrivals = [15_000] * 62
        worst, retries, bound = retry_driver.worst_excess(requests, arrivals)
        self.assertEqual((worst <= 0, retries), (True, 62))
        arrivals.append(25_000)
        worst, *_ = retry_driver.worst_excess(requests, arrivals)
        self.assertGreater(worst, 0)
        arrivals[-1] = 25_001
        worst, *_ = retry_driver.worst_excess(requests, arrivals)
        self.assertLessEqual(worst, 0)
