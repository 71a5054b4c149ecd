import copy
import random
import unittest
from unittest import mock

from bilberryramp.decisions.control import control_state, feed
from bilberryramp.decisions.shared import commands, feed_messages, subscription
from bilberryramp.decisions.tests import builders

IN_FORCE_LIMIT_MS = 15_000


class Tree:
    """One branch of the tree, with a lossy network in virtual time."""

    def __init__(self, followers, seed, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0
        self.control = control_state.ControlState()
        self.branch = feed.Feed("c1")
        self.subs = {}
        self.wire = []
        for number in range(followers):
            self.restart(f"n{number}")

    def restart(self, name):
        self.subs[name] = builders.subscriber(name, now_ms=self.now)

    def commit(self, command):
        entry = control_state.Entry(1, self.control.view.index + 1, command)
        result = control_state.apply(self.control, entry)
        feed.note_applied(self.branch, entry, result)
        self.carry(feed.push(self.branch))

    def carry(self, told):
        for effect in told:
            if self.rng.random() >= self.loss:
                delay = self.rng.choice((1, 5, 40, 300, 2500))
                message = copy.deepcopy(effect.message)
                self.wire.append((self.now + delay, effect.to, message))

    def run(self, ms, until=lambda: False):
        end = self.now + ms
        while self.now < end and not until():
            self.now += 50
            self.step()

    def step(self):
        due = [row for row in self.wire if row[0] <= self.now]
        self.wire = [row for row in self.wire if row[0] > self.now]
        for _, to, message in due:
            self.deliver(to, message)
        for number, (_name, sub) in enumerate(self.subs.items()):
            if self.now % 1000 == number % 20 * 50:
                self.carry(subscription.on_heartbeat_due(sub, self.now))
        view = self.control.view
        self.carry(feed.on_tick(self.branch, self.now, view, lambda _: True))

    def deliver(self, to, message):
        if to == "c1":
            feed.on_heartbeat(self.branch, self.now, message, 1)
            return
        sub = self.subs.get(to)
        if sub is None:
            return
        before = sub.view.version
        if isinstance(message, feed_messages.Delta):
            told = subscription.on_delta(sub, self.now, message)
        else:
            told = subscription.on_full_view(sub, message)
        list(told)
        if sub.view.version < before:
            raise AssertionError(f"{to} went back")

    def all_at(self, version):
        return all(s.view.version == version for s in self.subs.values())


def change(version):
    wanted = builders.make_tables(builders.service_route(name=f"v{version}"))
    return builders.submit(version, f"s{version}", "ann", wanted)


class TreeTest(unittest.TestCase):
    def test_in_force_at_400_nodes_within_the_limit(self):
        """Each replica feeds its share; three of them feed 400 nodes."""
        tree = Tree(400 // 3 + 1, seed=3, loss=0.2)
        tree.run(3000)
        for version in range(5):
            tree.commit(change(version))
            began = tree.now
            tree.run(60_000, lambda v=version: tree.all_at(v + 1))
            self.assertTrue(tree.all_at(version + 1))
            self.assertLess(tree.now - began, IN_FORCE_LIMIT_MS)

    def test_nothing_goes_back_over_loss_delay_and_restart(self):
        tree = Tree(6, seed=4, loss=0.3)
        rng = random.Random(9)
        for version in range(60):
            tree.commit(change(version))
            tree.commit(commands.ReserveKey(f"k{version}", "r", "f", 0, 1))
            tree.run(rng.choice((50, 200, 1500)))
            if rng.random() < 0.2:
                tree.restart(f"n{rng.randrange(6)}")
        tree.run(60_000, lambda: tree.all_at(60))
        self.assertTrue(tree.all_at(60))
        views = [sub.view for sub in tree.subs.values()]
        for view in views:
            self.assertEqual(view.tables, tree.control.view.tables)

    def test_hundreds_of_changes_behind_gets_the_whole_view(self):
        with mock.patch.object(feed, "MAX_HISTORY", 100):
            tree = Tree(1, seed=5)
            tree.run(3000)
            sub = tree.subs.pop("n0")
            for version in range(300):
                tree.commit(change(version))
            tree.subs["n0"] = sub
            tree.run(5000)
        self.assertTrue(tree.all_at(300))

    def test_whole_view_is_one_message_for_all(self):
        """Else a region that starts anew is encoded for each process."""
        branch = feed.Feed("c1", history_after=5)
        for name in ("n1", "n2"):
            feed.on_heartbeat(
                branch, 0, feed_messages.Heartbeat(name, 0, -1), 1
            )
        view = builders.view_with_replicas()
        told = list(feed.on_tick(branch, 0, view, lambda _: True))
        whole = [
            send.message
            for send in told
            if isinstance(send.message, feed_messages.FullView)
        ]
        self.assertEqual(len(whole), 2)
        self.assertIs(whole[0], whole[1])

    def test_broken_versions_are_caught(self):
        def any_entry(view, entry):
            view.index = 0
            return APPLY(view, entry)

        def any_view(sub, message):
            sub.index = -1
            yield from TAKE_VIEW(sub, message)

        for owner, name, broken in (
            (control_state, "apply_to_view", any_entry),
            (subscription, "on_full_view", any_view),
        ):
            patched = mock.patch.object(owner, name, broken)
            short = mock.patch.object(feed, "MAX_HISTORY", 1)
            caught = self.assertRaisesRegex(AssertionError, "went back")
            with self.subTest(name), patched, short, caught:
                self.test_nothing_goes_back_over_loss_delay_and_restart()


APPLY = control_state.apply_to_view
TAKE_VIEW = subscription.on_full_view


class FreshnessTest(unittest.TestCase):
    def test_lease_runs_from_the_sending_of_the_beat(self):
        sub = builders.subscriber()
        view = builders.view_with_replicas()
        whole = feed_messages.FullView("c1", view)
        told = list(subscription.on_full_view(sub, whole))
        self.assertEqual(sub.phase, "unsynced")
        answer = feed_messages.Delta("c1", view.index, (), 1000)
        told = list(subscription.on_delta(sub, 3000, answer))
        self.assertIn(subscription.FreshnessChanged(True), told)
        timer = told[-1]
        self.assertEqual(timer.due_ms, 6000)
        told = list(subscription.on_timer(sub, 6000, timer.token))
        self.assertEqual(told, [subscription.FreshnessChanged(False)])

    def test_silent_replica_is_left_for_the_next(self):
        sub = builders.subscriber(controls=("c1", "c2"))
        asked = [
            list(subscription.on_heartbeat_due(sub, now))[0].to
            for now in (0, 1000, 2000)
        ]
        self.assertEqual(asked[0], asked[1])
        self.assertNotEqual(asked[1], asked[2])

    def test_gap_is_not_applied(self):
        sub = builders.subscriber()
        entry = control_state.Entry(1, 9, change(0))
        delta = feed_messages.Delta("c1", 7, (entry,))
        self.assertEqual(list(subscription.on_delta(sub, 0, delta)), [])
        self.assertEqual(sub.view.version, 0)

    def test_newer_peer_asks_for_one_beat(self):
        sub = builders.subscriber()
        sub.index = 5
        self.assertFalse(subscription.record_peer_index(sub, 5))
        self.assertTrue(subscription.record_peer_index(sub, 6))
        self.assertFalse(subscription.record_peer_index(sub, 6))
