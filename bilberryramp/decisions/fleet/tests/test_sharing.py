import unittest

from bilberryramp.decisions.fleet import sharing

PARTS = (sharing.Part("aa", 100), sharing.Part("bb", 50))


class SharingTest(unittest.TestCase):
    def test_a_report_adds_to_what_others_know(self):
        mine, theirs = sharing.Loads(), sharing.Loads()
        load = sharing.own_load(theirs, "u1")
        load.calls, load.tokens, load.unread[1] = 2, 900, 400
        sharing.note_sent(theirs, "u1", "m0", PARTS, 1000)
        report = sharing.report_due(theirs, "n2", 5000)
        sharing.note_report(mine, report, 1000, 5001)
        summed = sharing.total(mine, "u1", 5002)
        self.assertEqual((summed.calls, summed.tokens), (2, 900))
        self.assertEqual(summed.unread, [0, 400, 0, 0])
        cached = sharing.cached_tokens(mine, "u1", "m0", PARTS)
        self.assertEqual(cached, 150)

    def test_an_old_report_counts_no_longer(self):
        loads = sharing.Loads()
        key = sharing.short_key("u1")
        report = sharing.Report("n2", ((key, 2, 900, 0, 0, 0, 0),), ())
        sharing.note_report(loads, report, 1000, 0)
        late = sharing.REPORT_VALID_MS + 1
        self.assertEqual(sharing.total(loads, "u1", late).calls, 0)

    def test_a_cache_forgets_what_was_used_longest_ago(self):
        loads = sharing.Loads()
        sharing.note_sent(loads, "u1", "m0", PARTS, 160)
        newer = (sharing.Part("cc", 60),)
        sharing.note_sent(loads, "u1", "m0", newer, 160)
        self.assertEqual(sharing.cached_tokens(loads, "u1", "m0", PARTS), 0)
        self.assertEqual(sharing.cached_tokens(loads, "u1", "m0", newer), 60)

    def test_weights_do_not_share_a_cache(self):
        loads = sharing.Loads()
        sharing.note_sent(loads, "u1", "m0", PARTS, 1000)
        found = sharing.cached_tokens(loads, "u1", "m0/a1", PARTS)
        self.assertEqual(found, 0)
