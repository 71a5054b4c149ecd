"""Tests of the division of the slack of the retry budgets."""

import unittest

from bilberryramp.decisions.fleet.limits import retry_shares
from bilberryramp.decisions.fleet.tests import builders

NOW_MS = 100_000
TIMES = retry_shares.make_times(11_000)
COUNTED_MS = TIMES.join_ms


def make_shares():
    chart = builders.bind_chart("retry_share", retry_shares)
    return retry_shares.new_shares(chart, TIMES)


def grant(shares, now_ms, size=3, counted_ms=COUNTED_MS):
    statement = retry_shares.Statement(size, counted_ms)
    retry_shares.accept_statement(shares, statement, now_ms, now_ms)


def make_leader(now_ms=NOW_MS, inherited_size=0):
    shares = make_shares()
    if inherited_size:
        grant(shares, now_ms - 1000, inherited_size)
    retry_shares.start_leading(shares, now_ms)
    return shares


def size_at(shares, now_ms):
    share = retry_shares.current_share(shares, now_ms)
    return retry_shares.fleet_size_at(share, now_ms)


class LeaseTest(unittest.TestCase):
    def test_a_node_spends_nothing_until_it_was_counted_for_long(self):
        shares = make_shares()
        grant(shares, NOW_MS, counted_ms=COUNTED_MS - 1)
        self.assertEqual(size_at(shares, NOW_MS), 0)
        self.assertEqual(shares.phase, "waiting")
        grant(shares, NOW_MS + 1)
        self.assertEqual(size_at(shares, NOW_MS + 1), 3)

    def test_a_share_ends_with_its_lease(self):
        shares = make_shares()
        grant(shares, NOW_MS)
        share = retry_shares.current_share(shares, NOW_MS)
        end_ms = NOW_MS + retry_shares.LEASE_MS
        self.assertEqual(retry_shares.fleet_size_at(share, end_ms), 3)
        self.assertEqual(retry_shares.fleet_size_at(share, end_ms + 1), 0)
        self.assertEqual(size_at(shares, end_ms + 1), 0)
        self.assertEqual(shares.phase, "expired")

    def test_a_lease_that_was_interrupted_for_long_needs_a_new_wait(self):
        end_ms = NOW_MS + retry_shares.LEASE_MS
        for gap_ms, expected in (
            (TIMES.memory_ms, 3),
            (TIMES.memory_ms + 1, 0),
        ):
            shares = make_shares()
            grant(shares, NOW_MS)
            grant(shares, end_ms + gap_ms, counted_ms=0)
            with self.subTest(gap_ms):
                self.assertEqual(size_at(shares, end_ms + gap_ms), expected)

    def test_a_statement_that_waited_renews_nothing(self):
        shares = make_shares()
        statement = retry_shares.Statement(3, COUNTED_MS)
        late_ms = NOW_MS + retry_shares.LEASE_MS + 1
        retry_shares.accept_statement(shares, statement, NOW_MS, late_ms)
        self.assertEqual(size_at(shares, late_ms), 0)

    def test_an_earlier_statement_does_not_replace_a_later_one(self):
        shares = make_shares()
        grant(shares, NOW_MS, 5)
        statement = retry_shares.Statement(2, COUNTED_MS)
        retry_shares.accept_statement(shares, statement, NOW_MS - 5, NOW_MS)
        self.assertEqual(size_at(shares, NOW_MS), 5)

    def test_a_leader_without_a_size_ends_no_lease(self):
        shares = make_shares()
        grant(shares, NOW_MS)
        grant(shares, NOW_MS + 10, size=0)
        self.assertEqual(size_at(shares, NOW_MS + 10), 3)


class LeaderTest(unittest.TestCase):
    def stated(self, shares, address, after_ms):
        """Return what a leader states some time after its election."""
        return retry_shares.state_size(shares, address, NOW_MS + after_ms)

    def test_the_first_leader_states_no_size_at_first(self):
        leader = make_leader()
        retry_shares.record_process(leader, "n2", 1, NOW_MS + 100)
        early = self.stated(leader, "n2", TIMES.join_ms - 1)
        self.assertEqual(early.fleet_size, 0)
        stated = self.stated(leader, "n2", TIMES.join_ms + 100)
        self.assertEqual(stated.fleet_size, 2)
        self.assertEqual(stated.counted_ms, TIMES.join_ms)

    def test_another_process_at_an_address_is_counted_anew(self):
        leader = make_leader()
        retry_shares.record_process(leader, "n2", 1, NOW_MS)
        retry_shares.record_process(leader, "n2", 2, NOW_MS + 20_000)
        stated = self.stated(leader, "n2", 20_500)
        self.assertEqual((stated.fleet_size, stated.counted_ms), (2, 500))

    def test_a_new_leader_keeps_the_size_of_its_predecessor(self):
        leader = make_leader(inherited_size=5)
        retry_shares.record_process(leader, "n2", 1, NOW_MS)
        self.assertEqual(self.stated(leader, "n2", 0).fleet_size, 5)
        late = self.stated(leader, "n2", TIMES.join_ms)
        self.assertEqual(late.fleet_size, 2)

    def test_the_wait_under_a_new_leader_begins_when_all_were_heard(self):
        leader = make_leader(inherited_size=5)
        retry_shares.record_process(leader, "n2", 1, NOW_MS)
        settled_ms = retry_shares.LEASE_MS + TIMES.memory_ms
        stated = self.stated(leader, "n2", settled_ms + TIMES.join_ms - 1)
        self.assertLess(stated.counted_ms, TIMES.join_ms)
        stated = self.stated(leader, "n2", settled_ms + TIMES.join_ms)
        self.assertEqual(stated.counted_ms, TIMES.join_ms)

    def test_a_size_that_is_older_than_a_span_is_not_kept(self):
        shares = make_shares()
        grant(shares, NOW_MS, 5)
        elected_ms = NOW_MS + retry_shares.LEASE_MS + TIMES.span_ms + 1
        retry_shares.start_leading(shares, elected_ms)
        stated = retry_shares.state_size(shares, "", elected_ms)
        self.assertEqual(stated.fleet_size, 0)

    def test_a_silent_process_is_counted_until_its_retries_are_old(self):
        leader = make_leader()
        retry_shares.record_process(leader, "n2", 1, NOW_MS)
        retry_shares.review(leader, NOW_MS + TIMES.forget_ms)
        self.assertIn("n2", leader.counted)
        retry_shares.review(leader, NOW_MS + TIMES.forget_ms + 1)
        self.assertNotIn("n2", leader.counted)


if __name__ == "__main__":
    unittest.main()
