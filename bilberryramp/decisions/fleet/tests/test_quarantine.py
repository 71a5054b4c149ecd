"""Tests of the quarantine of requests that make upstreams end."""

import unittest

from bilberryramp.charts import loader
from bilberryramp.decisions.fleet.core import calls, presence
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_publications,
    coordinator_state,
    quarantine_coordinator,
    suspect_evidence,
    suspects,
    upstream_ends,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.fleet.tests import quarantine_driver as driver
from bilberryramp.decisions.shared import charting, effects, quarantine

HEARTBEAT_MS = 1200
NOW_MS = 100_000
CHART = builders.bind_chart("suspect", quarantine)


def make_loss(start_ms, end_ms, is_confirmed=True, key=None):
    """Build a loss; by default at an upstream of its own."""
    key = key or (start_ms, end_ms)
    return quarantine.Loss(key, "u", start_ms, end_ms, is_confirmed, True)


def make_coordinator(upstream_ids=("u1", "u2", "u3", "u4")):
    """Build a coordinator that leads and hears from some upstreams."""
    table = presence.Table(HEARTBEAT_MS)
    coord = coordinator_state.Coordinator("n1:1", CHART, table, 1, 1)
    list(quarantine_coordinator.start_leading(coord, (), NOW_MS - 60_000))
    for upstream_id in upstream_ids:
        beat(coord, upstream_id, NOW_MS - 100, seq=5)
    run_until(coord, NOW_MS - 1000, NOW_MS)
    return coord


def beat(coord, upstream_id, now_ms, **changes):
    """Record a heartbeat of an upstream."""
    fields = {"address": f"{upstream_id}:80", "born_ms": 1000} | changes
    presence.record_announcement(
        coord.table,
        builders.make_announcement(upstream_id, **fields),
        now_ms,
    )


def run_until(coord, from_ms, to_ms, beating=()):
    """Advance a coordinator, with heartbeats of some upstreams."""
    produced = []
    for now_ms in range(from_ms, to_ms + 1, 100):
        if now_ms % HEARTBEAT_MS == 0:
            seq = 5 + (now_ms - NOW_MS) // HEARTBEAT_MS
            for upstream_id in beating:
                beat(coord, upstream_id, now_ms, seq=seq)
        produced += quarantine_coordinator.step(
            coord, now_ms, quarantine_coordinator.Tick()
        )
    return produced


def report(
    coord,
    upstream_id,
    now_ms,
    fingerprint="f",
    started_ms_ago=20,
    heard_ms_ago=20,
    is_trial=True,
):
    """Report an attempt at an upstream that broke off just now."""
    upstream = coord.table.upstreams[upstream_id]
    loss = msgs.ReportedLoss(
        upstream_id,
        upstream.announcement.address,
        upstream.announcement.born_ms,
        upstream.announcement.seq,
        started_ms_ago,
        0,
        heard_ms_ago,
        10_000,
        is_trial,
    )
    message = msgs.LossReport(((fingerprint, "svc", loss),))
    return list(quarantine_coordinator.step(coord, now_ms, message))


def phase_of(coord, fingerprint="f"):
    suspect = coord.suspects.get(fingerprint)
    return suspect.phase if suspect else "unknown"


def confirmed_count(coord, fingerprint="f"):
    suspect = coord.suspects.get(fingerprint)
    losses = suspect.losses.values() if suspect else ()
    return quarantine.count_successive(losses, True)


class RulesTest(unittest.TestCase):
    def test_only_losses_that_follow_one_another_count(self):
        overlapping = [make_loss(0, 100), make_loss(20, 100, key="b")]
        self.assertEqual(quarantine.count_successive(overlapping, True), 1)
        later = [*overlapping, make_loss(100, 150), make_loss(160, 170, False)]
        self.assertEqual(quarantine.count_successive(later, True), 2)
        self.assertEqual(quarantine.count_successive(later, False), 3)

    def test_the_file_decides(self):
        """A chart without the proof never quarantines."""
        spec = loader.load("suspect")
        spec.states["restricted"].on["evidence_changed"] = (
            charting.TransitionSpec("restricted"),
        )
        lenient = charting.bind(spec, quarantine.guards, quarantine.actions)
        for chart, phase in ((CHART, "quarantined"), (lenient, "restricted")):
            suspect = quarantine.Suspect("f", coordinator_state.LIMITS)
            for number in range(3):
                loss = make_loss(100 * number, 100 * number + 50)
                suspect.losses[loss.key] = loss
                list(quarantine.fire(chart, suspect, "evidence_changed", 0))
            self.assertEqual(suspect.phase, phase)

    def test_each_quarantine_is_longer_and_needs_another_loss(self):
        limits = coordinator_state.LIMITS
        suspect = quarantine.Suspect("f", limits)
        durations_ms = []
        for number in range(6):
            loss = make_loss(100 * number, 100 * number + 50)
            suspect.losses[loss.key] = loss
            list(quarantine.fire(CHART, suspect, "evidence_changed", 0))
            if number >= limits.quarantine_losses - 1:
                self.assertEqual(suspect.phase, "quarantined")
                durations_ms.append(suspect.until_ms)
                list(quarantine.fire(CHART, suspect, "quarantine_ended", 0))
                list(quarantine.fire(CHART, suspect, "evidence_changed", 0))
                self.assertEqual(suspect.phase, "restricted")
        self.assertEqual(tuple(durations_ms), limits.durations_ms)


class EvidenceTest(unittest.TestCase):
    """An upstream's end accuses; a broken answer alone does not."""

    def lose_three(self, coord, end):
        """Lose three upstreams one after the other, in the way of `end`."""
        now_ms = NOW_MS
        for upstream_id in ("u1", "u2", "u3"):
            report(coord, upstream_id, now_ms)
            now_ms = end(coord, upstream_id, now_ms)
        return now_ms

    def test_other_processes_at_the_addresses_accuse(self):
        def end(coord, upstream_id, now_ms):
            beat(
                coord, f"{upstream_id}-new", now_ms + 1500,
                address=f"{upstream_id}:80", born_ms=2000,
            )  # fmt: skip
            run_until(coord, now_ms, now_ms + 2000, ("u2", "u3", "u4"))
            return now_ms + 2000

        coord = make_coordinator()
        self.lose_three(coord, end)
        self.assertEqual(phase_of(coord), "quarantined")

    def test_upstreams_that_live_on_do_not_accuse(self):
        """Resets, cut connections and faulty answers break attempts too."""

        def end(coord, upstream_id, now_ms):
            seq = coord.table.upstreams[upstream_id].announcement.seq
            beat(coord, upstream_id, now_ms + 1200, seq=seq + 1)
            beat(coord, upstream_id, now_ms + 2400, seq=seq + 2)
            run_until(coord, now_ms, now_ms + 2500)
            return now_ms + 2500

        coord = make_coordinator()
        self.lose_three(coord, end)
        self.assertEqual(phase_of(coord), "unknown")

    def test_upstreams_that_leave_do_not_accuse(self):
        def end(coord, upstream_id, now_ms):
            beat(coord, upstream_id, now_ms, seq=9, leaving=True)
            run_until(coord, now_ms, now_ms + 1000)
            return now_ms + 1000

        coord = make_coordinator()
        self.lose_three(coord, end)
        self.assertEqual(phase_of(coord), "unknown")

    def test_silence_accuses_until_the_upstream_is_heard_again(self):
        coord = make_coordinator()
        others = ("u2", "u3", "u4")
        report(coord, "u1", NOW_MS)
        run_until(coord, NOW_MS, NOW_MS + 5000, others)
        self.assertEqual(confirmed_count(coord), 1)
        beat(coord, "u1", NOW_MS + 5100, seq=8)
        run_until(coord, NOW_MS + 5100, NOW_MS + 5300, others)
        self.assertEqual(phase_of(coord), "unknown")

    def test_silence_of_most_upstreams_accuses_nobody(self):
        """The coordinator is then probably cut off itself."""
        coord = make_coordinator()
        report(coord, "u1", NOW_MS)
        run_until(coord, NOW_MS, NOW_MS + 10_000)
        self.assertEqual(confirmed_count(coord), 0)

    def test_a_suspended_coordinator_accuses_nobody(self):
        coord = make_coordinator()
        report(coord, "u1", NOW_MS)
        resumed_ms = NOW_MS + 20_000
        list(
            quarantine_coordinator.step(
                coord, resumed_ms, quarantine_coordinator.Tick()
            )
        )
        self.assertEqual(confirmed_count(coord), 0)

    def test_an_attempt_at_an_upstream_that_had_ended_does_not_count(self):
        coord = make_coordinator()
        report(coord, "u1", NOW_MS, "f")
        report(coord, "u1", NOW_MS + 60, "late", 5, heard_ms_ago=100)
        self.assertEqual(phase_of(coord, "f"), "observed")
        self.assertEqual(phase_of(coord, "late"), "unknown")

    def test_a_complete_run_refutes_earlier_losses_only(self):
        coord = make_coordinator()
        report(coord, "u1", NOW_MS)
        report(coord, "u2", NOW_MS + 100)
        self.assertEqual(phase_of(coord), "restricted")
        early = msgs.RunReport("f", ended_ms_ago=50)
        list(quarantine_coordinator.step(coord, NOW_MS + 100, early))
        self.assertEqual(phase_of(coord), "observed")
        list(
            quarantine_coordinator.step(
                coord, NOW_MS + 100, msgs.RunReport("f", 0)
            )
        )
        self.assertEqual(phase_of(coord), "unknown")

    def test_requests_beyond_the_limit_are_forgotten_oldest_first(self):
        coord = make_coordinator()
        for number in range(3):
            loss = make_loss(number, number)
            suspect = quarantine.Suspect(
                f"kept{number}", coordinator_state.LIMITS, "quarantined"
            )
            suspect.losses[loss.key] = loss
            coord.suspects[suspect.key] = suspect
        limit = coordinator_state.MAX_SUSPECTS
        for number in range(limit):
            report(coord, "u1", NOW_MS, f"f{number}")
        self.assertEqual(len(coord.suspects), limit)
        self.assertNotIn("f0", coord.suspects)
        self.assertIn("kept0", coord.suspects)
        self.assertIn(f"f{limit - 1}", coord.suspects)


class TrialTest(unittest.TestCase):
    def ask(self, coord, sender, now_ms, fingerprint="f"):
        message = msgs.TrialRequest(sender, fingerprint, "svc", 1000, ())
        produced = quarantine_coordinator.step(coord, now_ms, message)
        return [e for e in produced if isinstance(e, effects.Send)]

    def restricted(self):
        coord = make_coordinator()
        report(coord, "u1", NOW_MS)
        report(coord, "u2", NOW_MS + 100)
        return coord

    def test_one_node_at_a_time_may_run_a_restricted_request(self):
        coord = self.restricted()
        (grant,) = self.ask(coord, "n2:1", NOW_MS + 110)
        self.assertFalse(self.ask(coord, "n3:1", NOW_MS + 120))
        ended = msgs.TrialEnded("f", grant.message.trial_id)
        list(quarantine_coordinator.step(coord, NOW_MS + 200, ended))
        self.assertTrue(self.ask(coord, "n3:1", NOW_MS + 210))

    def test_a_third_loss_must_be_decided_before_the_next_trial(self):
        coord = self.restricted()
        report(coord, "u3", NOW_MS + 200)
        self.assertFalse(self.ask(coord, "n2:1", NOW_MS + 300))

    def test_a_trial_whose_node_is_lost_ends_by_itself(self):
        coord = self.restricted()
        self.ask(coord, "n2:1", NOW_MS + 110)
        self.assertTrue(self.ask(coord, "n3:1", NOW_MS + 3000))

    def test_a_node_that_missed_a_change_is_corrected(self):
        coord = make_coordinator()
        (answer,) = self.ask(coord, "n2:1", NOW_MS)
        self.assertEqual(answer.message.suspects[0].phase, "cleared")


class PublicationTest(unittest.TestCase):
    def test_nothing_is_sent_without_losses(self):
        coord = make_coordinator()
        others = ("u1", "u2", "u3", "u4")
        self.assertFalse(run_until(coord, NOW_MS, NOW_MS + 9000, others))
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        gw.suspect_state.coordinator = "n2:1"
        sent = []
        for call_id in range(20):
            sent += builders.submit(gw, call_id, builders.make_request())
            end = calls.AttemptEnded(call_id, calls.AttemptOutcome.DELIVERED)
            sent += builders.collect(gateway.step(gw, NOW_MS, end))
        self.assertFalse(builders.of_type(sent, suspects.ToCoordinator))

    def test_the_end_of_an_engine_costs_few_messages(self):
        """Each of 64 requests was lost at a node of its own, of 400."""
        coord = make_coordinator()
        coord.node_count = 400
        produced = [
            effect
            for number in range(64)
            for effect in report(coord, "u1", NOW_MS, f"f{number}")
        ]
        produced += run_until(coord, NOW_MS, NOW_MS + 9000, ("u2", "u3", "u4"))
        sent = [
            e
            for e in produced
            if isinstance(e, effects.Send | coordinator_state.Publish)
        ]
        self.assertEqual(sent, [])

    def test_reminders_of_a_large_fleet_are_rare(self):
        coord = make_coordinator()
        coord.node_count = 400
        report(coord, "u1", NOW_MS)
        report(coord, "u2", NOW_MS + 100)
        others = ("u1", "u2", "u3", "u4")
        produced = run_until(coord, NOW_MS + 100, NOW_MS + 10_100, others)
        digests = [
            e
            for e in builders.of_type(produced, coordinator_state.Publish)
            if isinstance(e.message, msgs.SuspectDigest)
        ]
        per_s = len(digests) * coord.node_count / 10
        self.assertLessEqual(
            per_s, 1.1 * coordinator_publications.MAX_MESSAGES_PER_S
        )

    def test_restarted_late_and_returning_nodes_learn_of_it(self):
        fleet = driver.make_fleet(3)
        for _ in range(12):
            driver.submit(fleet, "fatal", True)
            driver.run(fleet, 500)
        self.assertEqual(len(fleet.arrivals), 3)
        nodes = list(fleet.nodes.values())
        driver.restart_node(fleet, nodes[1])
        driver.cut_node(fleet, nodes[2], 4000)
        driver.restart_node(fleet, nodes[0])
        driver.run(fleet, 4000 + driver.STABLE_WINDOW_MS)
        for node in nodes:
            request = driver.submit(fleet, "fatal", True, node=node)
            driver.run(fleet, 50)
            self.assertEqual(request.outcome, "quarantined")

    def test_an_operator_frees_a_request(self):
        fleet = driver.make_fleet(4)
        for _ in range(12):
            driver.submit(fleet, "fatal", True)
            driver.run(fleet, 500)
        leader = fleet.nodes[fleet.leader]
        driver.send(fleet, leader, fleet.leader, msgs.LiftSuspect("fatal"))
        driver.run(fleet, 100)
        request = driver.submit(fleet, "fatal")
        driver.run(fleet, 300)
        self.assertEqual(request.outcome, "delivered")

    def test_a_node_without_a_coordinator_keeps_a_bounded_state(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        gw.suspect_state.listening.checked_ms = NOW_MS
        limit = suspect_evidence.MAX_IDENTITIES
        for call_id in range(limit + 50):
            request = calls.Request(
                "q", "a.example", "/chat/x", 900, None, f"f{call_id}"
            )
            call = calls.Call(call_id, request, None, "engines", 0, 0)
            call.target = builders.make_announcement()
            call.sent_ms = call.target_heard_ms = NOW_MS
            gw.table.upstreams["u1"].heard_ms = NOW_MS
            builders.collect(
                suspect_evidence.record_attempt_end(
                    gw.suspect_state,
                    call,
                    calls.AttemptOutcome.BROKEN,
                    NOW_MS,
                )
            )
            builders.collect(suspect_evidence.review(gw.suspect_state, NOW_MS))
        self.assertEqual(len(gw.suspect_state.lost), limit)
        self.assertEqual(gw.suspect_state.unsent, [])
        changed = gateway.CoordinatorChanged("n2:1")
        produced = builders.collect(gateway.step(gw, NOW_MS, changed))
        (report,) = [
            e.message
            for e in builders.of_type(produced, suspects.ToCoordinator)
            if isinstance(e.message, msgs.LossReport)
        ]
        self.assertEqual(len(report.losses), limit)


class CallerTest(unittest.TestCase):
    """What the caller of a suspected request gets."""

    def make_gateway(self, phase, remaining_ms=0):
        upstreams = [
            builders.make_plain_announcement("p1", address="p1:80"),
            builders.make_plain_announcement("p2", address="p2:80"),
        ]
        gw = builders.make_gateway(upstreams=upstreams, now_ms=NOW_MS)
        gw.suspect_state.coordinator = "n2:1"
        entry = msgs.PublishedSuspect("f", "plain", phase, remaining_ms, 1, ())
        published = msgs.SuspectList("n2:1", 1, True, (entry,))
        builders.collect(gateway.step(gw, NOW_MS, published))
        return gw

    def submit(self, gw, call_id=1):
        request = calls.Request(
            f"q{call_id}", "a.example", "/look/x", 4000, None, "f"
        )
        return builders.submit(gw, call_id, request, NOW_MS)

    def test_a_quarantined_request_is_refused_at_once(self):
        gw = self.make_gateway("quarantined", 42_000)
        (refusal,) = builders.of_type(self.submit(gw), calls.Refuse)
        self.assertIs(refusal.reason, calls.Refusal.QUARANTINED)
        self.assertEqual(refusal.retry_after_ms, 42_000)
        self.assertFalse(gw.active)

    def test_a_request_quarantined_after_an_attempt_fails_as_unknown(self):
        gw = builders.make_gateway(
            upstreams=[
                builders.make_plain_announcement("p1", address="p1:80"),
                builders.make_plain_announcement("p2", address="p2:80"),
            ],
            now_ms=NOW_MS,
        )
        self.submit(gw)
        gw.suspect_state.published["f"] = (
            msgs.PublishedSuspect("f", "plain", "quarantined", 9000, 1, ()),
            NOW_MS,
        )
        ended = calls.AttemptEnded(1, calls.AttemptOutcome.BROKEN)
        produced = builders.collect(gateway.step(gw, NOW_MS, ended))
        self.assertFalse(builders.of_type(produced, calls.SendCall))
        (failure,) = builders.of_type(produced, calls.Fail)
        self.assertIs(failure.reason, calls.Failure.BROKEN)

    def test_a_restricted_request_waits_for_its_trial(self):
        gw = self.make_gateway("restricted")
        produced = self.submit(gw, 1) + self.submit(gw, 2)
        self.assertFalse(builders.of_type(produced, calls.SendCall))
        asked = builders.of_type(produced, suspects.ToCoordinator)
        self.assertEqual(len(asked), 1)
        produced = builders.collect(
            gateway.step(gw, NOW_MS, msgs.TrialGrant("f", 7))
        )
        (sent,) = builders.of_type(produced, calls.SendCall)
        ended = calls.AttemptEnded(
            sent.call_id, calls.AttemptOutcome.DELIVERED
        )
        produced = builders.collect(gateway.step(gw, NOW_MS, ended))
        messages = [
            e.message
            for e in builders.of_type(produced, suspects.ToCoordinator)
        ]
        self.assertIn(msgs.RunReport("f", 0), messages)
        self.assertIn(msgs.TrialEnded("f", 7), messages)

    def test_waiting_for_a_trial_blocks_no_other_request(self):
        gw = self.make_gateway("restricted")
        self.submit(gw)
        other = calls.Request("q2", "a.example", "/look/y", 4000, None, "g")
        produced = builders.submit(gw, 2, other, NOW_MS)
        self.assertTrue(builders.of_type(produced, calls.SendCall))

    def test_a_suspected_request_spares_the_last_copy_of_a_model(self):
        only_copy = builders.make_announcement(
            "u1",
            address="u1:80",
            held=(
                presence.ResidentModel("m0", 1, ()),
                presence.ResidentModel("m1", 1, ()),
            ),
        )
        other = builders.make_announcement("u2", address="u2:80")
        gw = builders.make_gateway(upstreams=[only_copy, other], now_ms=NOW_MS)
        for number in range(8):
            fingerprint = f"f{number}"
            lost = upstream_ends.LostAttempt(
                fingerprint, "engines", "u9", "u9:80", 1, 1, 1, 2, 1
            )
            gw.suspect_state.lost[fingerprint] = {
                lost.key: suspects.KeptAttempt(lost, True)
            }
            request = calls.Request(
                f"q{number}",
                "a.example",
                "/chat/x",
                6000,
                builders.make_prompt(100),
                fingerprint,
            )
            produced = builders.submit(gw, number, request, NOW_MS)
            (sent,) = builders.of_type(produced, calls.SendCall)
            self.assertEqual(sent.upstream_id, "u2")


if __name__ == "__main__":
    unittest.main()
