"""Tests of keepalives and departures in the presence table."""

import unittest

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.tests import builders


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.table = presence.Table(1200)
        self.announce(seq=1)

    def announce(self, **changes):
        announcement = builders.make_announcement(**changes)
        presence.record_announcement(self.table, announcement, 0)

    def leave(self, born_ms=1000):
        notice = presence.LeavingNotice("u1", born_ms)
        return presence.record_leaving(self.table, notice, 100)

    def test_a_later_announcement_does_not_undo_it(self):
        self.assertTrue(self.leave())
        self.assertFalse(self.leave())
        self.announce(seq=2)
        self.assertFalse(presence.is_usable(self.table, "u1", 200))
        self.assertEqual(
            presence.usable_upstreams(self.table, "engines", 200), ()
        )

    def test_it_concerns_one_process(self):
        self.assertFalse(self.leave(born_ms=999))
        self.assertTrue(presence.is_usable(self.table, "u1", 200))
        self.leave()
        self.announce(born_ms=2000, seq=1)
        self.assertTrue(presence.is_usable(self.table, "u1", 200))
        self.assertFalse(self.leave())

    def test_a_node_that_starts_is_told(self):
        self.leave()
        (told,) = presence.recent_announcements(self.table, 200)
        self.assertTrue(told.leaving)


class KeepaliveTest(unittest.TestCase):
    def test_a_changed_announcement_is_relayed_in_full(self):
        table = presence.Table(1200)
        first = builders.make_announcement(seq=1)
        self.assertIsNone(presence.keepalive_for(table, first))
        presence.record_announcement(table, first, 0)
        second = builders.make_announcement(seq=2)
        keepalive = presence.keepalive_for(table, second)
        self.assertEqual(keepalive.seq, 2)
        changed = builders.make_announcement(seq=2, leaving=True)
        self.assertIsNone(presence.keepalive_for(table, changed))

    def test_a_keepalive_keeps_an_upstream_usable(self):
        table = presence.Table(1200)
        presence.record_announcement(
            table, builders.make_announcement(seq=1), 0
        )
        presence.record_keepalive(
            table, presence.Keepalive("u1", 1000, 2), 4000
        )
        self.assertTrue(presence.is_usable(table, "u1", 5000))

    def test_a_keepalive_of_another_process_is_ignored(self):
        table = presence.Table(1200)
        presence.record_announcement(
            table, builders.make_announcement(seq=1), 0
        )
        presence.record_keepalive(
            table, presence.Keepalive("u1", 999, 9), 4000
        )
        self.assertFalse(presence.is_usable(table, "u1", 5000))

    def test_a_departure_with_a_used_counter_is_applied(self):
        table = presence.Table(1200)
        presence.record_announcement(
            table, builders.make_announcement(seq=9), 0
        )
        departure = builders.make_announcement(seq=9, leaving=True, gone=True)
        self.assertTrue(presence.record_announcement(table, departure, 100))
        self.assertFalse(presence.is_usable(table, "u1", 100))
