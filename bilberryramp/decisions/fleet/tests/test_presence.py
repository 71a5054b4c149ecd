import unittest

from bilberryramp.decisions.fleet import presence
from bilberryramp.decisions.fleet.tests import builders


class PulseTest(unittest.TestCase):
    def test_a_heartbeat_with_news_is_passed_on_whole(self):
        table = presence.Table(1200)
        first = builders.make_announcement(seq=1)
        self.assertIsNone(presence.pulse_of(table, first))
        presence.note(table, first, 0)
        second = builders.make_announcement(seq=2)
        pulse = presence.pulse_of(table, second)
        self.assertEqual(pulse.seq, 2)
        news = builders.make_announcement(seq=2, leaving=True)
        self.assertIsNone(presence.pulse_of(table, news))

    def test_a_pulse_keeps_an_upstream_in_use(self):
        table = presence.Table(1200)
        presence.note(table, builders.make_announcement(seq=1), 0)
        presence.note_pulse(table, presence.Pulse("u1", 1000, 2), 4000)
        self.assertTrue(presence.is_usable(table, "u1", 5000))

    def test_a_pulse_of_another_process_is_ignored(self):
        table = presence.Table(1200)
        presence.note(table, builders.make_announcement(seq=1), 0)
        presence.note_pulse(table, presence.Pulse("u1", 999, 9), 4000)
        self.assertFalse(presence.is_usable(table, "u1", 5000))

    def test_a_farewell_ends_it_whatever_its_counter(self):
        table = presence.Table(1200)
        presence.note(table, builders.make_announcement(seq=9), 0)
        gone = builders.make_announcement(seq=9, leaving=True, gone=True)
        self.assertTrue(presence.note(table, gone, 100))
        self.assertFalse(presence.is_usable(table, "u1", 100))
