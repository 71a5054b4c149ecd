"""Tests of what accuses and clears the parts of prompts."""

import unittest

from bilberryramp.decisions.fleet.core import calls, identities
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_state,
    suspect_evidence,
    suspects,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.fleet.tests import test_quarantine as content
from bilberryramp.decisions.shared import effects

NOW_MS = content.NOW_MS
DEADLY = "part:deadly"
FIRST = "part:first"


def make_request(call_id, parts=("first", "deadly")):
    """Build a request with a prompt and content of its own."""
    sized = [(part, 100) for part in (*parts, f"own-{call_id}")]
    return calls.Request(
        f"q{call_id}",
        "a.example",
        "/chat/x",
        6000,
        builders.make_prompt(300, parts=sized),
        f"f{call_id}",
    )


def make_gateway():
    """Build a gateway with two engines and a coordinator elsewhere."""
    gw = builders.make_gateway(
        upstreams=[
            builders.make_announcement("u1", address="u1:80"),
            builders.make_announcement("u2", address="u2:80"),
        ],
        now_ms=NOW_MS,
    )
    gw.suspect_state.coordinator = "n2:1"
    gw.suspect_state.listening.checked_ms = NOW_MS
    return gw


def step(gw, message, now_ms=NOW_MS):
    return builders.collect(gateway.step(gw, now_ms, message))


def publish(gw, identity, phase, has_run=False):
    """Let the coordinator publish the state of one suspect."""
    loss = msgs.ReportedLoss("u9", "u9:80", 1, 1, 50, 1, 1, 1, False)
    entry = msgs.PublishedSuspect(
        identity, "engines", phase, 60_000, 1, (loss,), has_run
    )
    return step(gw, msgs.SuspectList("n2:1", 1, False, (entry,)))


def reported(produced):
    """Return the identities of all losses that were reported."""
    reports = (
        e.message
        for e in builders.of_type(produced, suspects.ToCoordinator)
        if isinstance(e.message, msgs.LossReport)
    )
    return {loss[0] for report in reports for loss in report.losses}


class IdentityTest(unittest.TestCase):
    def test_parts_come_first_and_once(self):
        self.assertEqual(
            identities.of_request("f", ("a", "b", "a")),
            ("part:a", "part:b", "f"),
        )

    def test_odd_part_ids_are_hashed(self):
        odd = ("x" * 1000, 'a"b\n', "\ud800", "")
        made = identities.of_request("", odd)
        self.assertEqual(len(set(made)), len(odd))
        for identity in made:
            self.assertRegex(identity, r"\Apart:~[0-9a-f]{32}\Z")


class NodeTest(unittest.TestCase):
    def break_after(self, answered_ms):
        """Break an attempt that was answered for some time, if at all."""
        gw = make_gateway()
        builders.submit(gw, 1, make_request(1), NOW_MS)
        end_ms = NOW_MS
        if answered_ms >= 0:
            step(gw, calls.AnswerStarted(1))
            end_ms = NOW_MS + answered_ms
        outcome = calls.AttemptOutcome.BROKEN
        produced = step(gw, calls.AttemptEnded(1, outcome), end_ms)
        return reported(produced + step(gw, gateway.Tick(), end_ms + 1))

    def test_only_early_breaks_accuse_parts(self):
        self.assertEqual(self.break_after(-1), {FIRST, DEADLY, "f1"})
        late_ms = suspect_evidence.SURVIVAL_MS
        self.assertEqual(self.break_after(late_ms), {"f1"})

    def test_an_answer_that_goes_on_clears_the_parts(self):
        gw = make_gateway()
        publish(gw, DEADLY, "restricted")
        builders.submit(gw, 1, make_request(1), NOW_MS)
        step(gw, msgs.TrialGrant(DEADLY, 7, (DEADLY,)))
        step(gw, calls.AnswerStarted(1))
        later_ms = NOW_MS + suspect_evidence.SURVIVAL_MS
        sent = [
            e.message
            for e in builders.of_type(
                step(gw, gateway.Tick(), later_ms), suspects.ToCoordinator
            )
        ]
        self.assertIn(msgs.RunReport(DEADLY, 0), sent)
        self.assertIn(msgs.TrialEnded(DEADLY, 7), sent)
        self.assertIn(1, gw.active)

    def test_a_failure_that_an_engine_reports_clears_no_part(self):
        gw = make_gateway()
        builders.submit(gw, 1, make_request(1), NOW_MS)
        step(gw, calls.AttemptEnded(1, calls.AttemptOutcome.FAILED))
        self.assertFalse(gw.suspect_state.runs_ms[identities.Kind.PART])

    def test_a_failure_lifted_a_quarantine(self):
        """A node without a disk learned of the quarantine after it."""
        gw = make_gateway()
        builders.submit(gw, 1, make_request(1), NOW_MS)
        step(gw, calls.AttemptEnded(1, calls.AttemptOutcome.FAILED))
        produced = publish(gw, "f1", "quarantined")
        sent = [
            e.message
            for e in builders.of_type(produced, suspects.ToCoordinator)
        ]
        self.assertNotIn(msgs.RunReport("f1", 0), sent)

    def test_attempts_with_a_part_that_never_ran_are_recalled(self):
        for answered, has_run, count in ((0, 0, 1), (1, 0, 0), (0, 1, 0)):
            gw = make_gateway()
            builders.submit(gw, 1, make_request(1), NOW_MS)
            if answered:
                step(gw, calls.AnswerStarted(1))
            produced = publish(gw, DEADLY, "restricted", bool(has_run))
            with self.subTest(answered=answered, has_run=has_run):
                recalls = builders.of_type(produced, calls.Recall)
                self.assertEqual(len(recalls), count)

    def test_a_node_reports_an_earlier_run_of_a_published_part(self):
        gw = make_gateway()
        builders.submit(gw, 1, make_request(1, ("first",)), NOW_MS)
        step(gw, calls.AttemptEnded(1, calls.AttemptOutcome.DELIVERED))
        produced = publish(gw, FIRST, "restricted")
        sent = [
            e.message
            for e in builders.of_type(produced, suspects.ToCoordinator)
        ]
        self.assertIn(msgs.RunReport(FIRST, 0), sent)

    def test_an_engine_with_64_requests_costs_a_node_one_message(self):
        gw = make_gateway()
        del gw.table.upstreams["u2"]
        produced = []
        for call_id in range(64):
            parts = (f"a{call_id}", f"b{call_id}", "c", "d", "e")
            request = make_request(call_id, parts)
            builders.submit(gw, call_id, request, NOW_MS)
        for call_id in range(64):
            ended = calls.AttemptEnded(call_id, calls.AttemptOutcome.BROKEN)
            produced += step(gw, ended)
        produced += step(gw, gateway.Tick(), NOW_MS + 1)
        sent = builders.of_type(produced, suspects.ToCoordinator)
        self.assertEqual(len(sent), 1)
        self.assertEqual(len(sent[0].message.losses), 64 * 3 + 3)


class CoordinatorTest(unittest.TestCase):
    def report(self, coord, upstream_id, now_ms, losses, trial_id=0):
        """Report one attempt's loss for identities with depth and run."""
        upstream = coord.table.upstreams[upstream_id].announcement
        rows = tuple(
            (
                identity,
                "svc",
                msgs.ReportedLoss(
                    upstream_id,
                    upstream.address,
                    upstream.born_ms,
                    upstream.seq,
                    20,
                    0,
                    20,
                    10_000,
                    trial_id > 0,
                    False,
                    trial_id,
                    depth,
                    has_run,
                ),
            )
            for identity, depth, has_run in losses
        )
        step_ = content.quarantine_coordinator.step
        return list(step_(coord, now_ms, msgs.LossReport(rows)))

    def report_again(self, coord, now_ms, identities_with_depth):
        """Report trials at three upstreams, all losses of one identity first.

        A node does so when it hears from a coordinator again.
        """
        attempts = (("u1", 3000), ("u2", 2700), ("u3", 2400))
        rows = tuple(
            (
                identity,
                "svc",
                msgs.ReportedLoss(
                    upstream_id,
                    f"{upstream_id}:80",
                    1000,
                    5,
                    ended_ms_ago + 20,
                    ended_ms_ago,
                    ended_ms_ago + 20,
                    10_000,
                    True,
                    trial_id=ended_ms_ago,
                    depth=depth,
                ),
            )
            for identity, depth in identities_with_depth
            for upstream_id, ended_ms_ago in attempts
        )
        step_ = content.quarantine_coordinator.step
        return list(step_(coord, now_ms, msgs.LossReport(rows)))

    def end(self, coord, upstream_id, now_ms):
        """Replace an upstream, which confirms losses at it."""
        content.beat(
            coord,
            f"{upstream_id}-new",
            now_ms + 500,
            address=f"{upstream_id}:80",
            born_ms=2000,
        )
        content.run_until(coord, now_ms, now_ms + 1000, ("u4",))

    def lose_three(self, losses):
        coord = content.make_coordinator()
        for number, upstream_id in enumerate(("u1", "u2", "u3")):
            now_ms = NOW_MS + 1100 * number
            self.report(coord, upstream_id, now_ms, losses, number)
            self.end(coord, upstream_id, now_ms)
        return {i: content.phase_of(coord, i) for i, _, _ in losses}

    def test_a_part_without_a_run_is_restricted_from_its_first_loss(self):
        coord = content.make_coordinator()
        losses = ((DEADLY, 1, False), (FIRST, 0, True), ("f1", 1000, False))
        produced = self.report(coord, "u1", NOW_MS, losses)
        phases = [content.phase_of(coord, i) for i, _, _ in losses]
        self.assertEqual(phases, ["restricted", "observed", "observed"])
        (published,) = builders.of_type(produced, coordinator_state.Publish)
        self.assertEqual(len(published.message.suspects), 1)

    def test_a_part_that_ran_well_is_not_guilty_beside_one_that_did_not(self):
        phases = self.lose_three(((DEADLY, 0, False), (FIRST, 1, True)))
        self.assertEqual(phases, {DEADLY: "quarantined", FIRST: "restricted"})

    def test_of_two_new_parts_the_later_one_is_guilty(self):
        phases = self.lose_three(((FIRST, 0, False), (DEADLY, 1, False)))
        self.assertEqual(phases, {DEADLY: "quarantined", FIRST: "restricted"})

    def test_the_earlier_part_is_guilty_once_it_ends_engines_alone(self):
        coord = content.make_coordinator()
        both = ((FIRST, 0, False), (DEADLY, 1, False))
        for number, upstream_id in enumerate(("u1", "u2", "u3", "u4")):
            now_ms = NOW_MS + 1100 * number
            losses = both if number < 3 else both[:1]
            self.report(coord, upstream_id, now_ms, losses, number)
            self.end(coord, upstream_id, now_ms)
        self.assertEqual(content.phase_of(coord, FIRST), "quarantined")

    def test_a_part_beside_several_guilty_ones_is_not_taken_for_them(self):
        """A fatal body and a deadly part ended all engines in turn."""
        coord = content.make_coordinator()
        body, deadly = ("f1", 1000, False), (DEADLY, 1, False)
        for number, other in enumerate((body, body, deadly)):
            now_ms = NOW_MS + 1100 * number
            losses = ((FIRST, 0, False), other)
            upstream_id = f"u{number + 1}"
            self.report(coord, upstream_id, now_ms, losses, number + 1)
            self.end(coord, upstream_id, now_ms)
        self.assertEqual(content.phase_of(coord, FIRST), "restricted")

    def test_a_part_was_judged_before_the_losses_of_its_rival_were_known(self):
        coord = content.make_coordinator()
        for upstream_id in ("u1", "u2", "u3"):
            self.end(coord, upstream_id, NOW_MS)
        self.report_again(coord, NOW_MS + 3500, ((FIRST, 0), (DEADLY, 1)))
        phases = [content.phase_of(coord, i) for i in (FIRST, DEADLY)]
        self.assertEqual(phases, ["restricted", "quarantined"])

    def test_a_part_that_ran_well_needs_more_losses(self):
        coord = content.make_coordinator()
        for number, upstream_id in enumerate(("u1", "u2", "u3")):
            now_ms = NOW_MS + 1100 * number
            losses = ((FIRST, 0, True),)
            self.report(coord, upstream_id, now_ms, losses, number + 1)
            self.end(coord, upstream_id, now_ms)
        self.assertEqual(content.phase_of(coord, FIRST), "restricted")

    def test_an_earlier_run_frees_a_part_after_one_loss(self):
        coord = content.make_coordinator()
        self.report(coord, "u1", NOW_MS, ((FIRST, 0, False),))
        run = msgs.RunReport(FIRST, ended_ms_ago=5000)
        list(content.quarantine_coordinator.step(coord, NOW_MS, run))
        self.assertEqual(content.phase_of(coord, FIRST), "observed")

    def test_suspects_with_one_loss_are_tried_side_by_side(self):
        coord = content.make_coordinator()
        for number in range(2):
            losses = ((f"part:p{number}", 0, False),)
            self.report(coord, "u1", NOW_MS, losses)
        granted = [
            effect
            for number in range(2)
            for effect in content.quarantine_coordinator.step(
                coord,
                NOW_MS + 10,
                msgs.TrialRequest("n2:1", f"part:p{number}", "svc", 1000, ()),
            )
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, msgs.TrialGrant)
        ]
        self.assertEqual(len(granted), 2)

    def test_engines_that_end_together_prove_nothing(self):
        """All engines of a domain ended while one part was tried there."""
        coord = content.make_coordinator()
        for number, upstream_id in enumerate(("u1", "u2", "u3")):
            now_ms = NOW_MS + 1100 * number
            losses = ((DEADLY, 0, False),)
            trial_id = number if number < 2 else 9
            is_last = number == 2
            self.report(
                coord, upstream_id, now_ms, losses, trial_id if is_last else 0
            )
            if is_last:
                other = (("part:other", 0, True),)
                self.report(coord, "u4", now_ms, other)
                self.end(coord, "u4", now_ms)
            self.end(coord, upstream_id, now_ms)
        self.assertEqual(content.phase_of(coord, DEADLY), "restricted")


if __name__ == "__main__":
    unittest.main()
