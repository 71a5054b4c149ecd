"""Tests of load reports between gateways and of estimated prefix caches."""

import unittest

from bilberryramp.decisions.fleet.core import keys, prefix_cache, sharing

PARTS = (prefix_cache.PromptPart("aa", 100), prefix_cache.PromptPart("bb", 50))


class SharingTest(unittest.TestCase):
    def test_report_updates_load_and_cache_of_peer(self):
        loads, peer_loads = sharing.Loads(), sharing.Loads()
        load = sharing.own_load(peer_loads, "u1")
        load.calls, load.reserved_tokens, load.unread_tokens[1] = 2, 900, 400
        sharing.record_sent_prompt(peer_loads, "u1", "m0", PARTS, 1000)
        report = sharing.build_due_report(peer_loads, "n2", 5000)
        sharing.apply_report(loads, report, 1000, 5001)
        summed = sharing.total_load(loads, "u1", 5002)
        self.assertEqual((summed.calls, summed.reserved_tokens), (2, 900))
        self.assertEqual(summed.unread_tokens, [0, 400, 0, 0])
        cached = prefix_cache.cached_tokens(loads.caches, "u1", "m0", PARTS)
        self.assertEqual(cached, 150)

    def test_outdated_report_is_ignored(self):
        loads = sharing.Loads()
        key = keys.short_key("u1")
        report = sharing.Report("n2", ((key, 2, 900, 0, 0, 0, 0),), ())
        sharing.apply_report(loads, report, 1000, 0)
        expired_ms = sharing.REPORT_TTL_MS + 1
        self.assertEqual(sharing.total_load(loads, "u1", expired_ms).calls, 0)

    def test_cache_evicts_least_recently_used_parts(self):
        loads = sharing.Loads()
        sharing.record_sent_prompt(loads, "u1", "m0", PARTS, 160)
        newer = (prefix_cache.PromptPart("cc", 60),)
        sharing.record_sent_prompt(loads, "u1", "m0", newer, 160)
        self.assertEqual(
            prefix_cache.cached_tokens(loads.caches, "u1", "m0", PARTS), 0
        )
        self.assertEqual(
            prefix_cache.cached_tokens(loads.caches, "u1", "m0", newer), 60
        )

    def test_cache_is_separate_for_each_weights(self):
        loads = sharing.Loads()
        sharing.record_sent_prompt(loads, "u1", "m0", PARTS, 1000)
        cached_count = prefix_cache.cached_tokens(
            loads.caches, "u1", "m0/a1", PARTS
        )
        self.assertEqual(cached_count, 0)


class ReportTest(unittest.TestCase):
    """Tests of gateways that balance load by each other's reports."""

    def setUp(self):
        self.loads = sharing.Loads()
        self.peer_loads = sharing.Loads()
        self.report(5000)

    def add_call(self, upstream_id, tokens):
        load = sharing.own_load(self.loads, upstream_id)
        load.calls += 1
        load.unread_tokens[1] += tokens
        sharing.record_load_change(self.loads, upstream_id, tokens)

    def report(self, now_ms):
        """Build the report that is due, if any, and apply it at the peer."""
        report = sharing.build_due_report(self.loads, "n2", now_ms)
        if report is not None:
            sharing.apply_report(self.peer_loads, report, 1000, now_ms)
        return report

    def test_long_prompt_is_reported_at_once(self):
        """Two long prompts within 0.1 s made an engine's streams pause."""
        self.add_call("u1", 9000)
        self.assertIsNotNone(self.report(5020))
        self.assertEqual(
            sharing.total_load(self.peer_loads, "u1", 5020).calls, 1
        )

    def test_short_prompt_is_reported_at_regular_interval(self):
        self.add_call("u1", 400)
        self.assertIsNone(self.report(5020))
        self.assertIsNotNone(self.report(5200))

    def test_long_prompt_is_reported_at_once_in_a_large_fleet(self):
        """Reports every 158 ms let two gateways send to one engine."""
        sharing.set_audience_size(self.loads, sharing.Audience.NEAR, 19)
        self.add_call("u1", 400)
        self.assertIsNotNone(self.report(7000))
        self.add_call("u1", 9000)
        self.assertIsNotNone(self.report(7020))

    def test_reports_do_not_exceed_their_limit_in_the_long_run(self):
        sharing.set_audience_size(self.loads, sharing.Audience.NEAR, 19)
        count = 0
        for now_ms in range(6000, 16_000, 5):
            self.add_call("u1", 9000)
            count += self.report(now_ms) is not None
        burst = sharing.MAX_CREDIT_MS * sharing.MAX_MESSAGES_PER_S / 1000
        limit = 10 * sharing.MAX_MESSAGES_PER_S + burst
        self.assertLess(19 * count, limit + 19)
        self.assertGreater(19 * count, 0.9 * limit)

    def test_incremental_report_keeps_other_rows(self):
        self.add_call("u1", 9000)
        self.report(5020)
        self.add_call("u2", 9000)
        report = self.report(5040)
        self.assertEqual(len(report.rows), 1)
        for upstream_id in ("u1", "u2"):
            load = sharing.total_load(self.peer_loads, upstream_id, 5040)
            self.assertEqual(load.calls, 1)

    def test_end_of_last_call_is_reported(self):
        self.add_call("u1", 9000)
        self.report(5020)
        load = sharing.own_load(self.loads, "u1")
        load.calls, load.unread_tokens[1] = 0, 0
        sharing.record_load_change(self.loads, "u1", 9000)
        self.report(5040)
        self.assertEqual(
            sharing.total_load(self.peer_loads, "u1", 5040).calls, 0
        )

    def test_full_report_repairs_lost_report(self):
        self.add_call("u1", 9000)
        sharing.build_due_report(self.loads, "n2", 5020)
        self.report(6000)
        self.assertEqual(
            sharing.total_load(self.peer_loads, "u1", 6000).calls, 1
        )

    def test_adapters_in_use_are_reported(self):
        load = sharing.own_load(self.loads, "u1")
        sharing.count_adapter_call(load, "m0/a1", 1)
        self.add_call("u1", 400)
        self.report(5200)
        for loads in (self.loads, self.peer_loads):
            for adapter, used in (("a1", True), ("a2", False)):
                is_in_use = sharing.is_adapter_in_use(
                    loads, "u1", f"m0/{adapter}", 5200
                )
                self.assertIs(is_in_use, used)


if __name__ == "__main__":
    unittest.main()
