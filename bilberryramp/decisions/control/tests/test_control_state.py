import unittest

from bilberryramp.decisions.control import demand, idempotency, membership
from bilberryramp.decisions.shared import commands, errors, tables
from bilberryramp.decisions.shared import feed_messages as msgs
from bilberryramp.decisions.tests import builders

CODE = errors.FailureCode


def reserve(request_id="r1", at_ms=0, key="k", fingerprint="f"):
    return commands.ReserveKey(key, request_id, fingerprint, at_ms, 1000)


class SubmissionTest(unittest.TestCase):
    def test_one_submission_wins_a_race_and_a_resend_repeats_its_result(self):
        state = builders.control_state_after(
            commands.JoinUpstream(builders.upstream())
        )
        first = builders.apply(state, builders.submit(0, "a", "ann"))
        conflict = builders.apply(state, builders.submit(0, "b", "bob"))
        resent = builders.apply(state, builders.submit(0, "a", "ann"))
        self.assertEqual(first, resent)
        self.assertEqual(conflict, commands.SubmitConflict(1, "ann"))

    def test_tables_are_refused_if_a_model_cannot_be_placed(self):
        state = builders.control_state_after(
            commands.JoinUpstream(builders.upstream(memory_mib=900))
        )
        refused = builders.apply(state, builders.submit())
        self.assertIn("900 MiB free", refused.problems[0].expected)
        self.assertEqual(state.view.version, 0)


class IdempotencyTest(unittest.TestCase):
    def test_key_lifecycle(self):
        state = builders.control_state_after()
        granted = builders.apply(state, reserve())
        self.assertIsInstance(granted, commands.KeyGranted)
        repeat = builders.apply(state, reserve())
        self.assertIsInstance(repeat, commands.KeyGranted)
        while_running = builders.apply(state, reserve("r2", 10))
        self.assertEqual(while_running.code, CODE.KEY_RUNNING)
        answer = commands.StoredAnswer(200, "text/plain", b"x")
        builders.apply(state, commands.FinishKey("k", "r1", True, answer))
        stored_answer = builders.apply(state, reserve("r2", 10))
        self.assertEqual(stored_answer, commands.KeyCompleted(answer))
        mismatch = builders.apply(state, reserve("r2", 10, fingerprint="g"))
        self.assertEqual(mismatch.code, CODE.KEY_MISMATCH)

    def test_outcome_is_unknown_after_the_lease_has_expired(self):
        state = builders.control_state_after(reserve())
        unknown = builders.apply(state, reserve("r2", 5000))
        self.assertEqual(unknown.code, CODE.KEY_UNKNOWN)

    def test_only_the_holder_can_release_a_key(self):
        state = builders.control_state_after(reserve())
        builders.apply(state, commands.ReleaseKey("k", "r2"))
        refused = builders.apply(state, reserve("r2", 10))
        self.assertEqual(refused.code, CODE.KEY_RUNNING)
        builders.apply(state, commands.ReleaseKey("k", "r1"))
        granted = builders.apply(state, reserve("r2", 10))
        self.assertIsInstance(granted, commands.KeyGranted)

    def test_expired_key_is_refused(self):
        state = builders.control_state_after(reserve())
        expired_ms = idempotency.RETENTION_MS + 1
        expired = builders.apply(state, reserve("r2", expired_ms))
        self.assertEqual(expired.code, CODE.KEY_EXPIRED)
        self.assertEqual(state.keys.records, {})


class MembershipTest(unittest.TestCase):
    def test_silent_upstream_is_removed_and_can_rejoin(self):
        view = builders.control_state_after().view
        members = membership.start_term(view, 0)
        report = msgs.UpstreamReport(builders.upstream())
        digest = msgs.Digest("c2", ("u1",), (report,))
        membership.on_digest(members, 1000, digest)
        joined = list(membership.on_tick(members, 1000, view, view.index))
        self.assertEqual(joined, [commands.JoinUpstream(report.upstream)])
        builders.apply_to_view(view, joined[0])
        silent_ms = 1000 + membership.SILENCE_TIMEOUT_MS + 1
        removals = []
        for now_ms in range(1100, silent_ms + 100, 100):
            proposals = membership.on_tick(members, now_ms, view, view.index)
            removals += proposals
        self.assertEqual(removals, [commands.RemoveUpstream("u1", "u1-a")])
        builders.apply_to_view(view, removals[0])
        membership.on_digest(members, silent_ms + 500, digest)
        rejoined = list(
            membership.on_tick(members, silent_ms + 500, view, view.index)
        )
        self.assertEqual(rejoined, joined)

    def test_leader_stall_does_not_count_as_silence(self):
        view = builders.view_with_replicas()
        members = membership.start_term(view, 0)
        report = msgs.UpstreamReport(view.upstreams["u1"])
        digest = msgs.Digest("c1", ("u1",), (report,))
        membership.on_digest(members, 1000, digest)
        list(membership.on_tick(members, 1000, view, view.index))
        proposals = list(membership.on_tick(members, 31_000, view, view.index))
        proposals += membership.on_tick(members, 31_100, view, view.index)
        removal = commands.RemoveUpstream("u1", "u1-a")
        self.assertNotIn(removal, proposals)
        timeout_ms = 31_000 + membership.SILENCE_TIMEOUT_MS
        proposals = []
        for now_ms in range(31_200, timeout_ms + 400, 100):
            proposals += membership.on_tick(members, now_ms, view, view.index)
        self.assertIn(removal, proposals)

    def test_new_leader_waits_before_removing_upstreams(self):
        view = builders.view_with_replicas()
        members = membership.start_term(view, 50_000)
        timeout_ms = 50_000 + membership.SILENCE_TIMEOUT_MS
        self.assertEqual(
            list(membership.on_tick(members, timeout_ms, view, view.index)), []
        )

    def test_reports_do_not_revert_an_operators_drain(self):
        view = builders.view_with_replicas()
        builders.apply_to_view(view, commands.DrainUpstream("u1"))
        members = membership.start_term(view, 0)
        report = msgs.UpstreamReport(builders.upstream())
        membership.on_digest(members, 0, msgs.Digest("c", (), (report,)))
        proposals = list(membership.on_tick(members, 1000, view, view.index))
        joins = [c for c in proposals if isinstance(c, commands.JoinUpstream)]
        self.assertEqual(joins, [])


class DemandTest(unittest.TestCase):
    cfg = demand.DemandSettings(
        busy_target=4.0, raise_after_ms=2000, lower_after_ms=60_000
    )

    def update(self, tracker, *samples):
        current_tables = builders.make_tables(builders.route())
        targets = {}
        for now_ms, busy in samples:
            targets = demand.update_targets(
                tracker, now_ms, current_tables, {"m1": busy}, 8
            )
        return targets["m1"]

    def test_replicas_are_added_only_for_sustained_demand(self):
        tracker = demand.DemandTracker(self.cfg)
        self.assertEqual(self.update(tracker, (0, 20), (1000, 20)), 1)
        self.assertEqual(self.update(tracker, (2000, 20)), 5)
        interrupted = demand.DemandTracker(self.cfg)
        samples = ((0, 20), (1000, 1), (2000, 20), (3000, 20))
        self.assertEqual(self.update(interrupted, *samples), 1)

    def test_replicas_are_removed_only_after_long_low_demand(self):
        tracker = demand.DemandTracker(self.cfg, {"m1": demand.ModelDemand(5)})
        self.assertEqual(self.update(tracker, (0, 1), (59_000, 1)), 5)
        self.assertEqual(self.update(tracker, (60_000, 1)), 1)

    def test_new_leader_keeps_the_placement(self):
        view = builders.view_with_replicas(("u1", "u2"))
        routes = builders.make_tables(builders.route())
        builders.apply_to_view(
            view,
            commands.ChangeTables("ann", tables.compare(view.tables, routes)),
        )
        members = membership.start_term(view, 0, self.cfg)
        replicas = (builders.place(),)
        reports = tuple(
            msgs.UpstreamReport(view.upstreams[u], replicas)
            for u in ("u1", "u2")
        )
        digest = msgs.Digest("c1", ("u1", "u2"), reports)
        proposals = []
        for now_ms in range(0, 30_000, 1000):
            membership.on_digest(members, now_ms, digest)
            proposals += membership.on_tick(members, now_ms, view, view.index)
        self.assertEqual(proposals, [])

    def test_busy_model_gets_another_replica(self):
        view = builders.view_with_replicas(("u1",))
        free_engine = builders.upstream("u2")
        builders.apply_to_view(view, commands.JoinUpstream(free_engine))
        members = membership.start_term(view, 0, self.cfg)
        replicas = (builders.place(),)
        reports = (
            msgs.UpstreamReport(view.upstreams["u1"], replicas),
            msgs.UpstreamReport(free_engine),
        )
        digest = msgs.Digest("c1", ("u1", "u2"), reports, {"m1": 9})
        proposals = []
        for now_ms in range(0, 12_000, 1000):
            membership.on_digest(members, now_ms, digest)
            proposals += membership.on_tick(members, now_ms, view, view.index)
        self.assertEqual(proposals[0].upstream_id, "u2")
