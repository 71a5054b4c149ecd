import unittest

from bilberryramp.decisions.fleet import keys, prefix_cache, sharing

PARTS = (prefix_cache.Part("aa", 100), prefix_cache.Part("bb", 50))


class SharingTest(unittest.TestCase):
    def test_a_report_adds_to_what_others_know(self):
        mine, theirs = sharing.Loads(), sharing.Loads()
        load = sharing.own_load(theirs, "u1")
        load.calls, load.reserved_tokens, load.unread_tokens[1] = 2, 900, 400
        sharing.record_sent_prompt(theirs, "u1", "m0", PARTS, 1000)
        report = sharing.build_due_report(theirs, "n2", 5000)
        sharing.apply_report(mine, report, 1000, 5001)
        summed = sharing.total_load(mine, "u1", 5002)
        self.assertEqual((summed.calls, summed.reserved_tokens), (2, 900))
        self.assertEqual(summed.unread_tokens, [0, 400, 0, 0])
        cached = prefix_cache.cached_tokens(mine.caches, "u1", "m0", PARTS)
        self.assertEqual(cached, 150)

    def test_an_old_report_counts_no_longer(self):
        loads = sharing.Loads()
        key = keys.short_key("u1")
        report = sharing.Report("n2", ((key, 2, 900, 0, 0, 0, 0),), ())
        sharing.apply_report(loads, report, 1000, 0)
        late = sharing.REPORT_VALID_MS + 1
        self.assertEqual(sharing.total_load(loads, "u1", late).calls, 0)

    def test_a_cache_forgets_what_was_used_longest_ago(self):
        loads = sharing.Loads()
        sharing.record_sent_prompt(loads, "u1", "m0", PARTS, 160)
        newer = (prefix_cache.Part("cc", 60),)
        sharing.record_sent_prompt(loads, "u1", "m0", newer, 160)
        self.assertEqual(
            prefix_cache.cached_tokens(loads.caches, "u1", "m0", PARTS), 0
        )
        self.assertEqual(
            prefix_cache.cached_tokens(loads.caches, "u1", "m0", newer), 60
        )

    def test_weights_do_not_share_a_cache(self):
        loads = sharing.Loads()
        sharing.record_sent_prompt(loads, "u1", "m0", PARTS, 1000)
        found = prefix_cache.cached_tokens(loads.caches, "u1", "m0/a1", PARTS)
        self.assertEqual(found, 0)


class ReportTest(unittest.TestCase):
    """Replays entries that place calls by what they know of each other."""

    def setUp(self):
        self.loads = sharing.Loads()
        self.heard = sharing.Loads()
        self.tell(5000)

    def change(self, upstream_id, tokens):
        load = sharing.own_load(self.loads, upstream_id)
        load.calls += 1
        load.unread_tokens[1] += tokens
        sharing.record_load_change(self.loads, upstream_id, tokens)

    def tell(self, now_ms):
        report = sharing.build_due_report(self.loads, "n2", now_ms)
        if report is not None:
            sharing.apply_report(self.heard, report, 1000, now_ms)
        return report

    def test_a_long_prompt_is_told_at_once(self):
        """Two long prompts in a tenth of a second held up an engine."""
        self.change("u1", 9000)
        self.assertIsNotNone(self.tell(5020))
        self.assertEqual(sharing.total_load(self.heard, "u1", 5020).calls, 1)

    def test_a_short_one_is_told_with_others(self):
        self.change("u1", 400)
        self.assertIsNone(self.tell(5020))
        self.assertIsNotNone(self.tell(5200))

    def test_a_report_of_changes_leaves_the_rest_as_it_was(self):
        self.change("u1", 9000)
        self.tell(5020)
        self.change("u2", 9000)
        report = self.tell(5040)
        self.assertEqual(len(report.rows), 1)
        for upstream_id in ("u1", "u2"):
            told = sharing.total_load(self.heard, upstream_id, 5040)
            self.assertEqual(told.calls, 1)

    def test_the_end_of_the_last_call_is_told(self):
        self.change("u1", 9000)
        self.tell(5020)
        load = sharing.own_load(self.loads, "u1")
        load.calls, load.unread_tokens[1] = 0, 0
        sharing.record_load_change(self.loads, "u1", 9000)
        self.tell(5040)
        self.assertEqual(sharing.total_load(self.heard, "u1", 5040).calls, 0)

    def test_a_whole_report_heals_what_was_missed(self):
        self.change("u1", 9000)
        sharing.build_due_report(self.loads, "n2", 5020)
        self.tell(6000)
        self.assertEqual(sharing.total_load(self.heard, "u1", 6000).calls, 1)

    def test_adapters_in_use_are_told(self):
        load = sharing.own_load(self.loads, "u1")
        sharing.count_adapter_call(load, "m0/a1", 1)
        self.change("u1", 400)
        self.tell(5200)
        for loads in (self.loads, self.heard):
            for adapter, used in (("a1", True), ("a2", False)):
                found = sharing.is_adapter_in_use(
                    loads, "u1", f"m0/{adapter}", 5200
                )
                self.assertIs(found, used)


if __name__ == "__main__":
    unittest.main()
