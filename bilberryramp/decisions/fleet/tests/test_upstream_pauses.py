"""Tests of a gateway's decisions about upstreams that ask for pauses."""

import dataclasses
import unittest

from bilberryramp.decisions.fleet.core import calls, presence
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.orders import planner
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.routing import health, upstream_pauses
from bilberryramp.decisions.fleet.tests import builders

NOW_MS = 10_000
PAUSE_MS = 4000
END_MS = NOW_MS + PAUSE_MS
PLAIN_IDS = ("p1", "p2", "p3")
Outcome = calls.AttemptOutcome


def announce(upstream_id, **changes):
    """Build an announcement of an upstream with an address of its own."""
    address = f"10.0.0.{int(upstream_id[1:])}:80"
    if upstream_id.startswith("p"):
        return builders.make_plain_announcement(
            upstream_id, address=address, **changes
        )
    return builders.make_announcement(upstream_id, address=address, **changes)


def hold(*models):
    return tuple(presence.ResidentModel(model, 1, ()) for model in models)


class PauseCase(unittest.TestCase):
    """Case with one gateway and plain upstreams."""

    UPSTREAMS = PLAIN_IDS

    def setUp(self):
        self.gw = builders.make_gateway(
            upstreams=[announce(i) for i in self.UPSTREAMS]
        )
        self.next_call_id = 1

    def step(self, message, now_ms=NOW_MS):
        return builders.collect(gateway.step(self.gw, now_ms, message))

    def pause(self, upstream_id, pause_ms=PAUSE_MS, now_ms=NOW_MS, born=1000):
        announcement = announce(upstream_id)
        notice = upstream_pauses.PauseNotice(
            upstream_id, announcement.address, born, pause_ms, "turned-away"
        )
        return self.step(gateway.PauseSeen(notice), now_ms)

    def submit(self, now_ms=NOW_MS, path="/look/x", **changes):
        """Submit a request; return its call id and the effects."""
        call_id = self.next_call_id
        self.next_call_id += 1
        req = builders.make_request(path, request_id=f"q{call_id}", **changes)
        return call_id, builders.submit(self.gw, call_id, req, now_ms)

    def end(self, call_id, outcome=Outcome.DELIVERED, now_ms=NOW_MS):
        return self.step(calls.AttemptEnded(call_id, outcome), now_ms)

    def receivers(self, effects):
        """Return the upstreams of the effects' sends."""
        return [
            e.upstream_id for e in builders.of_type(effects, calls.SendCall)
        ]

    def refusal(self, effects):
        (refusal,) = builders.of_type(effects, calls.Refuse)
        return refusal

    def traces(self, effects, name):
        return [
            e.fields
            for e in builders.of_type(effects, Trace)
            if e.name == name
        ]

    def serve_many(self, now_ms, count=9):
        """Serve requests at once; return the upstreams that got them."""
        sent = [self.submit(now_ms) for _ in range(count)]
        for call_id, _ in sent:
            self.end(call_id, now_ms=now_ms)
        return {i for _, effects in sent for i in self.receivers(effects)}


class PausedUpstreamTest(PauseCase):
    def test_failure_of_an_upstream_was_replaced_while_the_others_paused(self):
        call_id, effects = self.submit()
        (receiver,) = self.receivers(effects)
        for upstream_id in set(PLAIN_IDS) - {receiver}:
            self.pause(upstream_id)
        for denies_run in (False, True):
            with self.subTest(denies_run=denies_run):
                ended = calls.AttemptEnded(
                    call_id, Outcome.FAILED, denies_run=denies_run
                )
                forwarded = builders.of_type(
                    self.step(ended), calls.ForwardFailure
                )
                self.assertEqual(forwarded, [calls.ForwardFailure(call_id)])
                call_id, _ = self.submit()

    def test_requests_go_to_the_others(self):
        self.pause("p1")
        self.assertEqual(self.serve_many(NOW_MS), {"p2", "p3"})
        self.assertEqual(self.serve_many(END_MS - 1), {"p2", "p3"})

    def test_it_is_logged_with_its_end_and_the_request(self):
        (fields,) = self.traces(self.pause("p1"), "upstream.paused")
        self.assertEqual(
            fields,
            {
                "upstream": "p1",
                "address": "10.0.0.1:80",
                "born_ms": 1000,
                "request_id": "turned-away",
                "pause_ms": PAUSE_MS,
                "remaining_ms": PAUSE_MS,
                "is_extension": False,
                "is_taken_over": False,
            },
        )
        (fields,) = self.traces(
            self.pause("p1", now_ms=NOW_MS + 5), "upstream.paused"
        )
        self.assertTrue(fields["is_extension"])
        # One that does not change the end is not logged.
        self.assertFalse(self.traces(self.pause("p1", 10), "upstream.paused"))

    def test_a_heartbeat_does_not_end_it(self):
        self.pause("p1")
        self.step(announce("p1", seq=2))
        self.assertEqual(self.serve_many(NOW_MS), {"p2", "p3"})

    def test_successes_of_earlier_calls_do_not_end_it(self):
        earlier = [self.submit()[0] for _ in range(9)]
        self.pause("p1")
        for call_id in earlier:
            self.end(call_id)
        self.assertEqual(self.serve_many(NOW_MS), {"p2", "p3"})

    def test_the_end_of_the_breakers_pause_does_not_end_it(self):
        self.pause("p1")
        breaker = health.Health(self.gw.health_chart, "p1")
        self.gw.upstream_health["p1"] = breaker
        health.record_call_end(breaker, False, True, NOW_MS)
        later_ms = breaker.retry_due_ms
        self.assertLess(later_ms, END_MS)
        self.assertEqual(self.serve_many(later_ms), {"p2", "p3"})

    def test_it_gets_no_retry(self):
        self.pause("p1")
        self.pause("p2")
        call_id, effects = self.submit()
        self.assertEqual(self.receivers(effects), ["p3"])
        effects = self.end(call_id, Outcome.NOT_RUN)
        self.assertFalse(self.receivers(effects))
        self.assertIs(
            self.refusal(effects).reason, calls.Refusal.UPSTREAMS_PAUSED
        )

    def test_a_later_start_under_the_same_id_is_free(self):
        self.pause("p1")
        later_ms = NOW_MS + upstream_pauses.START_KNOWN_MS + 1
        self.step(announce("p1", born_ms=2000), later_ms)
        self.assertIn("p1", self.serve_many(later_ms))

    def test_a_later_start_at_another_address_is_free(self):
        self.pause("p1")
        moved = dataclasses.replace(
            announce("p1", born_ms=2000), address="10.0.0.9:80"
        )
        self.step(moved)
        self.assertIn("p1", self.serve_many(NOW_MS))
        # An answer of the earlier process that arrives late.
        self.assertFalse(self.pause("p1", born=1000))
        self.assertIn("p1", self.serve_many(NOW_MS))

    def test_a_process_that_pauses_before_its_first_heartbeat(self):
        # Its answer is taken for one of its predecessor.
        self.pause("p1")
        heard_ms = NOW_MS + upstream_pauses.START_KNOWN_MS
        effects = self.step(announce("p1", born_ms=2000), heard_ms)
        (fields,) = self.traces(effects, "upstream.paused")
        self.assertTrue(fields["is_taken_over"])
        self.assertEqual(fields["remaining_ms"], END_MS - heard_ms)
        self.assertEqual(self.serve_many(heard_ms), {"p2", "p3"})
        self.step(announce("p1", born_ms=2000, seq=2), END_MS)
        self.assertIn("p1", self.serve_many(END_MS))

    def test_a_pause_that_is_taken_over_is_short(self):
        # Guards against a long pause that a new process did not ask for.
        self.pause("p1", 10**9)
        self.step(announce("p1", born_ms=2000))
        end_ms = NOW_MS + upstream_pauses.MAX_TAKEN_OVER_MS
        for upstream_id in PLAIN_IDS:
            heartbeat = announce(upstream_id, born_ms=2000, seq=9)
            self.step(heartbeat, end_ms - 1)
        self.assertEqual(self.serve_many(end_ms - 1), {"p2", "p3"})
        self.assertIn("p1", self.serve_many(end_ms))

    def test_a_process_whose_answer_arrives_after_its_first_heartbeat(self):
        # The request was meant for its predecessor.
        self.step(announce("p1", born_ms=2000))
        self.pause("p1", born=1000)
        self.assertEqual(self.serve_many(NOW_MS), {"p2", "p3"})

    def test_another_upstream_that_took_over_the_address(self):
        for is_heard_first in (True, False):
            with self.subTest(is_heard_first=is_heard_first):
                self.setUp()
                address = announce("p1").address
                other = announce("p9", born_ms=2000)
                other = dataclasses.replace(other, address=address)
                if is_heard_first:
                    self.step(other)
                self.pause("p1")
                if not is_heard_first:
                    self.step(other)
                self.assertEqual(self.serve_many(NOW_MS), {"p2", "p3"})

    def test_a_pause_outlasts_the_entry_of_the_table(self):
        silent_ms = NOW_MS + presence.UPSTREAM_EXPIRY_MS + 100
        self.pause("p1", 10**9)
        builders.tick(self.gw, silent_ms)
        self.assertNotIn("p1", self.gw.table.upstreams)
        for upstream_id in PLAIN_IDS:
            self.step(announce(upstream_id, seq=9), silent_ms)
        self.assertEqual(self.serve_many(silent_ms), {"p2", "p3"})

    def test_states_of_processes_that_have_gone_are_dropped(self):
        self.pause("p1")
        self.pause("p2", 10)
        later_ms = NOW_MS + upstream_pauses.START_KNOWN_MS + 1
        self.step(announce("p1", born_ms=2000), later_ms)
        self.gw.table.upstreams.pop("p2")
        builders.tick(self.gw, later_ms)
        self.assertFalse(self.gw.pauses.by_process)


class AllPausedTest(PauseCase):
    UPSTREAMS = ("p1", "p2")

    def test_requests_are_refused_until_the_earliest_end(self):
        self.pause("p1", PAUSE_MS)
        self.pause("p2", 2500)
        _, effects = self.submit()
        refusal = self.refusal(effects)
        self.assertIs(refusal.reason, calls.Refusal.UPSTREAMS_PAUSED)
        self.assertEqual(refusal.retry_after_ms, 2500)
        (fields,) = self.traces(effects, "call.refused")
        self.assertEqual(fields["paused_upstreams"], 2)
        self.assertEqual(fields["first_pause_ends_in_ms"], 2500)
        _, effects = self.submit(NOW_MS + 2500)
        self.assertEqual(self.receivers(effects), ["p2"])

    def test_waiting_requests_are_refused_at_once(self):
        self.pause("p1")
        while True:
            _, effects = self.submit()
            if not self.receivers(effects):
                break
        self.assertFalse(builders.of_type(effects, calls.Refuse))
        effects = self.pause("p2")
        self.assertIs(
            self.refusal(effects).reason, calls.Refusal.UPSTREAMS_PAUSED
        )

    def test_a_request_that_may_have_run_is_not_refused(self):
        self.pause("p1")
        call_id, _ = self.submit()
        self.pause("p2")
        effects = self.end(call_id, Outcome.BROKEN)
        self.assertFalse(builders.of_type(effects, calls.Refuse))
        (failure,) = builders.of_type(effects, calls.Fail)
        self.assertIs(failure.reason, calls.Failure.BROKEN)

    def test_pauses_and_barred_upstreams_are_combined(self):
        self.pause("p1")
        address = announce("p2").address
        for _ in range(health.BARRING_EXCESSES):
            self.step(gateway.ExcessSeen(address))
        refusal = self.refusal(self.submit()[1])
        self.assertIs(refusal.reason, calls.Refusal.UPSTREAMS_PAUSED)
        self.assertEqual(
            refusal.retry_after_ms, min(PAUSE_MS, health.MAX_PAUSE_MS)
        )


class ReturnTest(PauseCase):
    UPSTREAMS = ("p1",)

    def setUp(self):
        super().setUp()
        self.pause("p1")
        self.step(announce("p1", seq=2), END_MS)

    def submit_many(self, count=8):
        effects = [e for _ in range(count) for e in self.submit(END_MS)[1]]
        self.assertFalse(builders.of_type(effects, calls.Refuse))
        return self.sent(effects)

    def sent(self, effects):
        return [e.call_id for e in builders.of_type(effects, calls.SendCall)]

    def test_calls_that_waited_are_sent_step_by_step(self):
        unanswered = self.submit_many()
        self.assertEqual(len(unanswered), 1)
        for limit in (2, 3, 4):
            effects = self.end(unanswered.pop(0), now_ms=END_MS + limit)
            unanswered += self.sent(effects)
            self.assertEqual(len(unanswered), limit)

    def test_a_failed_call_admits_no_more(self):
        (call_id,) = self.submit_many()
        effects = self.end(call_id, Outcome.FAILED, END_MS + 5)
        self.assertEqual(len(self.sent(effects)), 1)

    def test_an_abandoned_call_makes_room(self):
        (call_id,) = self.submit_many()
        effects = self.step(calls.ClientDisconnected(call_id), END_MS + 5)
        self.assertEqual(len(self.sent(effects)), 1)

    def test_the_return_is_logged_when_it_ends(self):
        unanswered = self.submit_many(20)
        returned = []
        now_ms = END_MS
        while not returned:
            now_ms += 1
            effects = self.end(unanswered.pop(0), now_ms=now_ms)
            unanswered += self.sent(effects)
            returned = self.traces(effects, "upstream.returned")
        self.assertEqual(returned[0]["upstream"], "p1")
        self.assertEqual(returned[0]["after_ms"], now_ms - END_MS)


class WithheldTest(PauseCase):
    UPSTREAMS = ("p1", "p2")

    def withhold(self, path):
        """Submit a request that is withheld from its first upstream."""
        call_id, effects = self.submit(path=path)
        (receiver,) = self.receivers(effects)
        self.pause(receiver)
        return receiver, call_id, self.end(call_id, Outcome.WITHHELD)

    def test_it_is_sent_to_another_upstream_without_a_retry(self):
        for path in ("/look/x", "/file/x"):
            with self.subTest(path=path):
                self.setUp()
                receiver, call_id, effects = self.withhold(path)
                (other,) = self.receivers(effects)
                self.assertNotEqual(other, receiver)
                call = self.gw.active[call_id]
                self.assertEqual(call.attempt_count, 1)
                self.assertEqual(call.send_count, 1)
                self.assertEqual(call.tried_upstreams, {other})
                self.assertFalse(call.may_have_arrived)
                self.assertFalse(self.gw.budgets["plain"].retries)
                self.assertNotIn(receiver, self.gw.upstream_health)
                self.assertTrue(self.traces(effects, "call.withheld"))
                self.assertFalse(self.traces(effects, "call.attempt"))

    def test_its_load_is_removed(self):
        receiver, _, _ = self.withhold("/look/x")
        self.assertEqual(self.gw.loads.own[receiver].calls, 0)

    def test_it_is_refused_if_the_other_upstream_pauses(self):
        for upstream_id in self.UPSTREAMS:
            self.pause(upstream_id, 10)
        call_id, effects = self.submit(NOW_MS + 10, path="/file/x")
        for upstream_id in self.UPSTREAMS:
            self.pause(upstream_id, now_ms=NOW_MS + 11)
        effects = self.end(call_id, Outcome.WITHHELD, NOW_MS + 12)
        self.assertIs(
            self.refusal(effects).reason, calls.Refusal.UPSTREAMS_PAUSED
        )


class LastCheckTest(PauseCase):
    # Guards against requests that were decided before a pause and are sent
    # during it.

    def setUp(self):
        super().setUp()
        (self.decision,) = builders.of_type(self.submit()[1], calls.SendCall)

    def may_send(self):
        return upstream_pauses.may_send(
            self.gw.pauses, self.gw.table, self.decision, NOW_MS
        )

    def test_a_decision_holds_without_a_pause(self):
        self.assertTrue(self.may_send())

    def test_a_pause_revokes_it(self):
        self.pause(self.decision.upstream_id)
        self.assertFalse(self.may_send())

    def test_a_later_start_of_the_upstream_revokes_it(self):
        # The later process may have asked for a pause.
        self.step(announce(self.decision.upstream_id, born_ms=2000))
        self.assertFalse(self.may_send())

    def test_another_upstream_at_the_address_revokes_it(self):
        other = announce("p9", born_ms=2000)
        address = self.decision.address
        self.step(dataclasses.replace(other, address=address))
        self.assertFalse(self.may_send())

    def test_it_holds_if_the_upstream_is_no_longer_known(self):
        self.gw.table.upstreams.clear()
        self.assertTrue(self.may_send())


class PausedHolderTest(PauseCase):
    UPSTREAMS = ()

    def setUp(self):
        super().setUp()
        self.step(announce("u1", held=hold("m0")))
        self.step(announce("u2", held=hold("m1")))

    def ask(self, now_ms=NOW_MS):
        return self.submit(now_ms, "/chat/x")

    def test_requests_for_its_model_are_refused(self):
        # The model takes 2 s to load.
        for pause_ms, expected_ms in ((PAUSE_MS, 2000), (900, 900)):
            with self.subTest(pause_ms=pause_ms):
                self.setUp()
                self.pause("u1", pause_ms)
                _, effects = self.ask()
                refusal = self.refusal(effects)
                self.assertIs(refusal.reason, calls.Refusal.UPSTREAMS_PAUSED)
                self.assertEqual(refusal.retry_after_ms, expected_ms)

    def test_the_model_is_asked_for(self):
        self.pause("u1")
        _, effects = self.ask()
        self.assertEqual(
            builders.of_type(effects, planner.WantModel),
            [planner.WantModel("engines", "m0")],
        )

    def test_another_holder_is_used(self):
        self.step(announce("u3", held=hold("m0")))
        self.pause("u1")
        for _ in range(10):
            self.assertEqual(self.receivers(self.ask()[1]), ["u3"])

    def test_a_stream_that_begins_counts_as_a_response(self):
        self.pause("u1", 500)
        later_ms = NOW_MS + 500
        call_id, effects = self.ask(later_ms)
        self.assertEqual(self.receivers(effects), ["u1"])
        waiting = [self.ask(later_ms) for _ in range(3)]
        for _, effects in waiting:
            self.assertFalse(self.receivers(effects))
            self.assertFalse(builders.of_type(effects, calls.Refuse))
        effects = self.step(calls.AnswerStarted(call_id), later_ms + 20)
        self.assertEqual(self.receivers(effects), ["u1", "u1"])

    def test_a_trial_does_not_spare_the_other_holder_of_its_models(self):
        # Guards against taking a copy that pauses for lost, so that the other
        # one would be spared as the last.
        self.step(announce("u3", held=hold("m0", "m1")))
        self.gw.suspect_state.coordinator = "n2:1"
        suspect = msgs.PublishedSuspect("f", "engines", "restricted", 0, 1, ())
        self.step(msgs.SuspectList("n2:1", 1, True, (suspect,)))
        self.pause("u2")
        self.pause("u3", 1)
        _, effects = self.ask()
        self.assertEqual(self.receivers(effects), ["u1"])
        req = dataclasses.replace(builders.make_request(), fingerprint="f")
        builders.submit(self.gw, 99, req, NOW_MS + 1)
        effects = self.step(msgs.TrialGrant("f", 7), NOW_MS + 1)
        self.assertEqual(self.receivers(effects), ["u3"])

    def test_placement_does_not_take_its_copies_for_lost(self):
        leader = planner.Planner(
            "n1:1", self.gw.table, self.gw.loads, self.gw.demand
        )
        planner.set_leading(leader, True, NOW_MS)
        self.pause("u1")
        for model, is_loaded in (("m0", False), ("m3", True)):
            with self.subTest(model=model):
                request = planner.WantModel("engines", model)
                planner.record_model_request(leader, request, NOW_MS)
                effects = builders.collect(
                    planner.review(leader, self.gw.doc, NOW_MS)
                )
                moves = builders.of_type(effects, planner.SendResidencyRequest)
                loaded = [move.request.model for move in moves]
                self.assertEqual(loaded, [model] * is_loaded)


if __name__ == "__main__":
    unittest.main()
