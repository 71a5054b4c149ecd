import unittest

from bilberryramp.decisions.control import demand, idempotency, membership
from bilberryramp.decisions.shared import commands, errors, tables
from bilberryramp.decisions.shared import feed_messages as msgs
from bilberryramp.decisions.tests import builders

CODE = errors.FailureCode


def reserve(request_id="r1", at_ms=0, key="k", fingerprint="f"):
    return commands.ReserveKey(key, request_id, fingerprint, at_ms, 1000)


class SubmissionTest(unittest.TestCase):
    def test_race_has_one_winner_and_resend_gets_the_first_answer(self):
        state = builders.control_state_after(
            commands.JoinUpstream(builders.upstream())
        )
        first = builders.apply(state, builders.submit(0, "a", "ann"))
        lost = builders.apply(state, builders.submit(0, "b", "bob"))
        again = builders.apply(state, builders.submit(0, "a", "ann"))
        self.assertEqual(first, again)
        self.assertEqual(lost, commands.SubmitConflict(1, "ann"))

    def test_model_without_a_place_is_refused_with_the_shortfall(self):
        state = builders.control_state_after(
            commands.JoinUpstream(builders.upstream(memory_mib=900))
        )
        refused = builders.apply(state, builders.submit())
        self.assertIn("900 MiB free", refused.problems[0].expected)
        self.assertEqual(state.view.version, 0)


class IdempotencyTest(unittest.TestCase):
    def test_life_of_a_key(self):
        state = builders.control_state_after()
        granted = builders.apply(state, reserve())
        self.assertIsInstance(granted, commands.KeyGranted)
        repeat = builders.apply(state, reserve())
        self.assertIsInstance(repeat, commands.KeyGranted)
        other = builders.apply(state, reserve("r2", 10))
        self.assertEqual(other.code, CODE.KEY_RUNNING)
        answer = commands.StoredAnswer(200, "text/plain", b"x")
        builders.apply(state, commands.FinishKey("k", "r1", True, answer))
        kept = builders.apply(state, reserve("r2", 10))
        self.assertEqual(kept, commands.KeyCompleted(answer))
        wrong = builders.apply(state, reserve("r2", 10, fingerprint="g"))
        self.assertEqual(wrong.code, CODE.KEY_MISMATCH)

    def test_lease_that_ran_out_leaves_it_unknown_for_good(self):
        state = builders.control_state_after(reserve())
        late = builders.apply(state, reserve("r2", 5000))
        self.assertEqual(late.code, CODE.KEY_UNKNOWN)

    def test_release_frees_only_for_its_own_request(self):
        state = builders.control_state_after(reserve())
        builders.apply(state, commands.ReleaseKey("k", "r2"))
        refused = builders.apply(state, reserve("r2", 10))
        self.assertEqual(refused.code, CODE.KEY_RUNNING)
        builders.apply(state, commands.ReleaseKey("k", "r1"))
        granted = builders.apply(state, reserve("r2", 10))
        self.assertIsInstance(granted, commands.KeyGranted)

    def test_key_beyond_retention_is_refused_never_run(self):
        state = builders.control_state_after(reserve())
        late = idempotency.RETENTION_MS + 1
        expired = builders.apply(state, reserve("r2", late))
        self.assertEqual(expired.code, CODE.KEY_EXPIRED)
        self.assertEqual(state.keys.records, {})


class MembershipTest(unittest.TestCase):
    def test_silent_upstream_is_removed_and_may_return(self):
        view = builders.control_state_after().view
        members = membership.start_term(view, 0)
        report = msgs.UpstreamReport(builders.upstream())
        digest = msgs.Digest("c2", ("u1",), (report,))
        membership.on_digest(members, 1000, digest)
        joined = list(membership.on_tick(members, 1000, view, view.index))
        self.assertEqual(joined, [commands.JoinUpstream(report.upstream)])
        builders.apply_to_view(view, joined[0])
        silent = 1000 + membership.FORGET_MS + 1
        gone = []
        for now_ms in range(1100, silent + 100, 100):
            told = membership.on_tick(members, now_ms, view, view.index)
            gone += told
        self.assertEqual(gone, [commands.RemoveUpstream("u1", "u1-a")])
        builders.apply_to_view(view, gone[0])
        membership.on_digest(members, silent + 500, digest)
        back = list(
            membership.on_tick(members, silent + 500, view, view.index)
        )
        self.assertEqual(back, joined)

    def test_own_stall_does_not_count_as_silence(self):
        view = builders.view_with_replicas()
        members = membership.start_term(view, 0)
        report = msgs.UpstreamReport(view.upstreams["u1"])
        digest = msgs.Digest("c1", ("u1",), (report,))
        membership.on_digest(members, 1000, digest)
        list(membership.on_tick(members, 1000, view, view.index))
        told = list(membership.on_tick(members, 31_000, view, view.index))
        told += membership.on_tick(members, 31_100, view, view.index)
        gone = commands.RemoveUpstream("u1", "u1-a")
        self.assertNotIn(gone, told)
        late = 31_000 + membership.FORGET_MS
        told = []
        for now_ms in range(31_200, late + 400, 100):
            told += membership.on_tick(members, now_ms, view, view.index)
        self.assertIn(gone, told)

    def test_new_leader_waits_before_it_forgets(self):
        view = builders.view_with_replicas()
        members = membership.start_term(view, 50_000)
        early = 50_000 + membership.FORGET_MS
        self.assertEqual(
            list(membership.on_tick(members, early, view, view.index)), []
        )

    def test_operators_drain_holds_against_reports(self):
        view = builders.view_with_replicas()
        builders.apply_to_view(view, commands.DrainUpstream("u1"))
        members = membership.start_term(view, 0)
        report = msgs.UpstreamReport(builders.upstream())
        membership.on_digest(members, 0, msgs.Digest("c", (), (report,)))
        told = list(membership.on_tick(members, 1000, view, view.index))
        joins = [c for c in told if isinstance(c, commands.JoinUpstream)]
        self.assertEqual(joins, [])


class DemandTest(unittest.TestCase):
    cfg = demand.DemandSettings(
        busy_target=4.0, raise_after_ms=2000, lower_after_ms=60_000
    )

    def follow(self, watch, *samples):
        wanted = builders.make_tables(builders.route())
        told = {}
        for now_ms, busy in samples:
            told = demand.observe(watch, now_ms, wanted, {"m1": busy}, 8)
        return told["m1"]

    def test_a_peak_must_last_before_a_replica_is_added(self):
        watch = demand.Watch(self.cfg)
        self.assertEqual(self.follow(watch, (0, 20), (1000, 20)), 1)
        self.assertEqual(self.follow(watch, (2000, 20)), 5)
        short = demand.Watch(self.cfg)
        peaks = ((0, 20), (1000, 1), (2000, 20), (3000, 20))
        self.assertEqual(self.follow(short, *peaks), 1)

    def test_replicas_are_given_up_only_after_long_quiet(self):
        watch = demand.Watch(self.cfg, {"m1": demand.ModelDemand(5)})
        self.assertEqual(self.follow(watch, (0, 1), (59_000, 1)), 5)
        self.assertEqual(self.follow(watch, (60_000, 1)), 1)

    def test_new_leader_moves_nothing_at_once(self):
        view = builders.view_with_replicas(("u1", "u2"))
        routes = builders.make_tables(builders.route())
        builders.apply_to_view(
            view,
            commands.ChangeTables("ann", tables.compare(view.tables, routes)),
        )
        members = membership.start_term(view, 0, self.cfg)
        held = (builders.place(),)
        reports = tuple(
            msgs.UpstreamReport(view.upstreams[u], held) for u in ("u1", "u2")
        )
        digest = msgs.Digest("c1", ("u1", "u2"), reports)
        told = []
        for now_ms in range(0, 30_000, 1000):
            membership.on_digest(members, now_ms, digest)
            told += membership.on_tick(members, now_ms, view, view.index)
        self.assertEqual(told, [])

    def test_busy_model_gets_another_replica(self):
        view = builders.view_with_replicas(("u1",))
        free = builders.upstream("u2")
        builders.apply_to_view(view, commands.JoinUpstream(free))
        members = membership.start_term(view, 0, self.cfg)
        held = (builders.place(),)
        reports = (
            msgs.UpstreamReport(view.upstreams["u1"], held),
            msgs.UpstreamReport(free),
        )
        digest = msgs.Digest("c1", ("u1", "u2"), reports, {"m1": 9})
        told = []
        for now_ms in range(0, 12_000, 1000):
            membership.on_digest(members, now_ms, digest)
            told += membership.on_tick(members, now_ms, view, view.index)
        self.assertEqual(told[0].upstream_id, "u2")
