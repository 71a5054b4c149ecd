"""Tests of the decisions of a gateway, from a call's arrival to its end."""

import unittest

from bilberryramp.decisions.fleet.core import (
    calls,
    documents,
    presence,
    sharing,
    traces,
)
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
from bilberryramp.decisions.fleet.limits import retry_budget
from bilberryramp.decisions.fleet.orders import agent, placement, planner
from bilberryramp.decisions.fleet.routing import health
from bilberryramp.decisions.fleet.tests import builders

NOW_MS = 10_000


def end_attempt(gw, call_id, outcome, now_ms=NOW_MS + 50):
    """Report the outcome of a call's attempt and return the effects."""
    message = calls.AttemptEnded(call_id, outcome)
    return builders.collect(gateway.step(gw, now_ms, message))


class LeavingAnswerTest(unittest.TestCase):
    def see(self, gw, upstream_id, born_ms=1000):
        notice = presence.LeavingNotice(upstream_id, born_ms)
        message = gateway.LeavingSeen(notice)
        return builders.collect(gateway.step(gw, NOW_MS, message))

    def test_peers_are_told_once(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        notice = presence.LeavingNotice("u1", 1000)
        told = builders.of_type(self.see(gw, "u1"), gateway.TellPeers)
        self.assertEqual(told, [gateway.TellPeers(notice)])
        told = builders.of_type(self.see(gw, "u1"), gateway.TellPeers)
        self.assertEqual(told, [])

    def test_a_notice_of_a_peer_is_not_passed_on(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        notice = presence.LeavingNotice("u1", 1000)
        effects = builders.collect(gateway.step(gw, NOW_MS, notice))
        self.assertFalse(builders.of_type(effects, gateway.TellPeers))
        self.assertFalse(presence.is_usable(gw.table, "u1", NOW_MS))

    def test_a_call_names_the_process_that_it_is_sent_to(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        (sent,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request()), calls.SendCall
        )
        self.assertEqual(sent.born_ms, 1000)


class ExcessTest(unittest.TestCase):
    """Tests of an upstream whose answers exceed the bounds."""

    def setUp(self):
        self.upstream = builders.make_plain_announcement("p1")
        self.gw = builders.make_gateway(upstreams=[self.upstream])

    def see(self, count):
        message = gateway.ExcessSeen(self.upstream.address)
        for _ in range(count):
            builders.collect(gateway.step(self.gw, NOW_MS, message))

    def submit(self, call_id, now_ms=NOW_MS):
        request = builders.make_request("/file/x")
        return builders.submit(self.gw, call_id, request, now_ms)

    def test_calls_are_refused_at_once_after_several(self):
        self.see(health.BARRING_EXCESSES - 1)
        self.assertTrue(builders.of_type(self.submit(1), calls.SendCall))
        self.see(1)
        (refusal,) = builders.of_type(self.submit(2), calls.Refuse)
        self.assertIs(refusal.reason, calls.Refusal.UPSTREAM_FAULTY)
        self.assertEqual(refusal.retry_after_ms, health.MAX_PAUSE_MS)

    def test_the_upstream_is_tried_again(self):
        self.see(health.BARRING_EXCESSES)
        later_ms = NOW_MS + health.MAX_PAUSE_MS
        effects = self.submit(1, later_ms)
        self.assertTrue(builders.of_type(effects, calls.SendCall))

    def test_a_success_between_them_is_counted(self):
        self.see(health.BARRING_EXCESSES - 1)
        self.submit(1)
        end_attempt(self.gw, 1, calls.AttemptOutcome.DELIVERED)
        self.see(1)
        self.assertTrue(builders.of_type(self.submit(2), calls.SendCall))


class ArrivalTest(unittest.TestCase):
    def test_request_without_document_is_refused_for_retry(self):
        gw = builders.make_gateway()
        gw.doc = None
        (refusal,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request()), calls.Refuse
        )
        self.assertIs(refusal.reason, calls.Refusal.NO_DOCUMENT)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_unknown_path_is_refused_with_no_route(self):
        gw = builders.make_gateway()
        (refusal,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request("/none/x")),
            calls.Refuse,
        )
        self.assertIs(refusal.reason, calls.Refusal.NO_ROUTE)

    def test_client_timeout_limits_time_allowed(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        (sent,) = builders.of_type(
            builders.submit(
                gw, 1, builders.make_request(client_timeout_ms=900)
            ),
            calls.SendCall,
        )
        self.assertEqual(
            (sent.upstream_id, sent.deadline_ms), ("u1", NOW_MS + 900)
        )

    def test_route_timeout_limits_longer_client_timeout(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        (sent,) = builders.of_type(
            builders.submit(
                gw, 1, builders.make_request(client_timeout_ms=60_000)
            ),
            calls.SendCall,
        )
        self.assertEqual(sent.deadline_ms, NOW_MS + 6000)


class RetryTest(unittest.TestCase):
    def test_call_that_may_have_run_is_not_retried(self):
        upstreams = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=upstreams)
        builders.submit(gw, 1, builders.make_request("/file/x"))
        effects = end_attempt(gw, 1, calls.AttemptOutcome.BROKEN)
        self.assertFalse(builders.of_type(effects, calls.SendCall))
        (failure,) = builders.of_type(effects, calls.Fail)
        self.assertIs(failure.reason, calls.Failure.BROKEN)

    def test_repeatable_call_is_retried_at_another_upstream(self):
        upstreams = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=upstreams)
        (first,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request("/look/x")),
            calls.SendCall,
        )
        (second,) = builders.of_type(
            end_attempt(gw, 1, calls.AttemptOutcome.BROKEN), calls.SendCall
        )
        self.assertNotEqual(first.upstream_id, second.upstream_id)
        self.assertTrue(
            builders.of_type(
                end_attempt(gw, 1, calls.AttemptOutcome.FAILED),
                calls.ForwardFailure,
            )
        )

    def test_a_denial_is_not_forwarded_if_an_earlier_attempt_may_have_run(
        self,
    ):
        # Guards against a 503 of one upstream after a run at another one.
        upstreams = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        denial = calls.AttemptEnded(
            1, calls.AttemptOutcome.FAILED, denies_run=True
        )
        for first, expected in (
            (calls.AttemptOutcome.BROKEN, calls.Fail),
            (calls.AttemptOutcome.NOT_RUN, calls.ForwardFailure),
        ):
            with self.subTest(first=first):
                gw = builders.make_gateway(upstreams=upstreams)
                builders.submit(gw, 1, builders.make_request("/look/x"))
                end_attempt(gw, 1, first)
                gw.budget_limits = builders.retry_budget.Limits(0, 0, 10_000)
                effects = builders.collect(gateway.step(gw, 10_000, denial))
                self.assertTrue(builders.of_type(effects, expected))

    def test_call_that_did_not_run_is_retried_if_not_repeatable(self):
        upstreams = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=upstreams)
        builders.submit(gw, 1, builders.make_request("/file/x"))
        self.assertTrue(
            builders.of_type(
                end_attempt(gw, 1, calls.AttemptOutcome.NOT_RUN),
                calls.SendCall,
            )
        )

    def test_call_is_refused_only_if_no_attempt_may_have_run(self):
        """The refusal would be wrong if an earlier attempt may have run.

        The outcome of the first attempt is unknown, and the second did not
        run.
        """
        upstreams = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=upstreams)
        builders.submit(gw, 1, builders.make_request("/look/x"))
        end_attempt(gw, 1, calls.AttemptOutcome.BROKEN)
        gw.budget_limits = builders.retry_budget.Limits(0.0, 0.0, 10_000)
        effects = end_attempt(gw, 1, calls.AttemptOutcome.NOT_RUN)
        self.assertFalse(builders.of_type(effects, calls.Refuse))
        self.assertTrue(builders.of_type(effects, calls.Fail))

    def test_retry_budget_limits_retries(self):
        upstreams = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=upstreams)
        gw.retry_share = builders.make_share(30)
        retries = 0
        for call_id in range(20):
            builders.submit(gw, call_id, builders.make_request("/look/x"))
            effects = end_attempt(gw, call_id, calls.AttemptOutcome.NOT_RUN)
            retries += len(builders.of_type(effects, calls.SendCall))
            end_attempt(gw, call_id, calls.AttemptOutcome.DELIVERED)
        self.assertLessEqual(retries, 0.2 * 20 + 2)


class RetryLogTest(unittest.TestCase):
    """On-call must see which limit ended or admitted each retry."""

    def setUp(self):
        self.gw = builders.make_gateway(
            upstreams=[
                builders.make_plain_announcement("p1"),
                builders.make_plain_announcement("p2"),
            ]
        )
        self.gw.started_ms = 7000

    def end(self, outcome, path="/look/x", now_ms=NOW_MS + 30):
        """Submit a request and return the log lines of its attempt's end."""
        builders.submit(self.gw, 1, builders.make_request(path), NOW_MS)
        effects = end_attempt(self.gw, 1, outcome, now_ms)
        return {
            trace.name: trace.fields
            for trace in builders.of_type(effects, traces.Trace)
        }

    def test_a_retry_is_logged_with_its_budget(self):
        fields = self.end(calls.AttemptOutcome.BROKEN)["call.retry"]
        self.assertEqual(fields["service"], "plain")
        self.assertEqual(fields["after"], "broken")
        self.assertTrue(fields["counted"])
        self.assertEqual(fields["started_ms"], 7000)
        self.assertEqual(fields["window_ms"], 10_000)
        self.assertEqual(fields["waited_ms"], 0)
        self.assertGreater(fields["earned"] + fields["share"], 1)

    def test_a_retry_of_an_attempt_that_sent_nothing_does_not_count(self):
        fields = self.end(calls.AttemptOutcome.UNREACHABLE)["call.retry"]
        self.assertFalse(fields["counted"])

    def test_a_refused_retry_is_logged_with_its_reason(self):
        broken = calls.AttemptOutcome.BROKEN
        late_ms = NOW_MS + 5980
        for expected, path, now_ms in (
            ("not_repeatable", "/file/x", NOW_MS),
            ("deadline", "/look/x", late_ms),
        ):
            with self.subTest(expected):
                fields = self.end(broken, path, now_ms)["call.retry_refused"]
                self.assertEqual(fields["reason"], expected)
        self.gw.budget_limits = builders.retry_budget.Limits(0.0, 0.0, 10_000)
        fields = self.end(broken)["call.retry_refused"]
        self.assertEqual(fields["reason"], "budget")

    def test_a_last_attempt_is_logged(self):
        self.end(calls.AttemptOutcome.BROKEN)
        effects = end_attempt(self.gw, 1, calls.AttemptOutcome.BROKEN)
        refused = [
            trace.fields
            for trace in builders.of_type(effects, traces.Trace)
            if trace.name == "call.retry_refused"
        ]
        self.assertEqual([f["reason"] for f in refused], ["attempts"])


class RetryChargeTest(unittest.TestCase):
    """Tests of when retries count toward the budget of their service."""

    def setUp(self):
        self.gw = builders.make_gateway(
            upstreams=[builders.make_plain_announcement("p1")]
        )
        # The slack allows one retry, and requests earn none.
        self.gw.budget_limits = builders.retry_budget.Limits(0.0, 1.2, 10_000)

    def spent(self, now_ms):
        return gateway_state.retry_account(self.gw, "plain", now_ms).spent

    def test_a_retry_that_waited_is_charged_when_it_is_sent(self):
        """Retries were charged when they were decided, and sent together."""
        for call_id in (1, 2):
            builders.submit(self.gw, call_id, builders.make_request("/look/x"))
            effects = end_attempt(
                self.gw, call_id, calls.AttemptOutcome.BROKEN
            )
            # No other upstream can serve it, so it waits.
            self.assertFalse(builders.of_type(effects, calls.SendCall))
        self.assertEqual(self.spent(NOW_MS + 50), 0)
        other = builders.make_plain_announcement("p2")
        effects = builders.collect(gateway.step(self.gw, NOW_MS + 900, other))
        self.assertEqual(len(builders.of_type(effects, calls.SendCall)), 1)
        self.assertEqual(self.spent(NOW_MS + 900), 1)
        (failed,) = builders.of_type(effects, calls.Fail)
        self.assertEqual(failed.reason, calls.Failure.BROKEN)
        (refused,) = [
            trace.fields
            for trace in builders.of_type(effects, traces.Trace)
            if trace.name == "call.retry_refused"
        ]
        self.assertEqual(refused["reason"], "budget")
        self.assertEqual(refused["waited_ms"], 850)

    def test_a_retry_that_waits_for_its_connection_is_judged_anew(self):
        # Guards against retries that arrive with those of a later window.
        self.gw = builders.make_gateway(
            upstreams=[
                builders.make_plain_announcement("p1"),
                builders.make_plain_announcement("p2"),
            ]
        )
        first = builders.submit(self.gw, 1, builders.make_request("/look/x"))
        effects = end_attempt(self.gw, 1, calls.AttemptOutcome.BROKEN)
        sends = builders.of_type((*first, *effects), calls.SendCall)
        late_ms = NOW_MS + 50 + retry_budget.ARRIVAL_DELAY_MS
        self.assertEqual(
            [retry_budget.is_outdated(s, late_ms) for s in sends],
            [False, True],
        )
        self.assertFalse(retry_budget.is_outdated(sends[1], late_ms - 1))

    def test_a_request_that_was_read_late_earns_no_retry(self):
        # Guards against retries earned from requests of an earlier window.
        for call_id, age_ms in ((1, 0), (2, 5000)):
            message = calls.CallArrived(
                call_id, builders.make_request("/look/x"), NOW_MS - age_ms
            )
            builders.collect(gateway.step(self.gw, NOW_MS, message))
        self.assertEqual(len(self.gw.budgets["plain"].requests), 1)

    def test_a_call_that_never_ran_is_refused_if_the_budget_is_spent(self):
        for call_id in (1, 2):
            builders.submit(self.gw, call_id, builders.make_request("/file/x"))
            end_attempt(self.gw, call_id, calls.AttemptOutcome.NOT_RUN)
        other = builders.make_plain_announcement("p2")
        effects = builders.collect(gateway.step(self.gw, NOW_MS + 900, other))
        self.assertEqual(len(builders.of_type(effects, calls.SendCall)), 1)
        (refused,) = builders.of_type(effects, calls.Refuse)
        self.assertEqual(refused.reason, calls.Refusal.UPSTREAM_FULL)

    def test_an_attempt_that_sent_nothing_is_not_charged(self):
        other = builders.make_plain_announcement("p2")
        builders.collect(gateway.step(self.gw, NOW_MS, other))
        for call_id in (1, 2, 3):
            builders.submit(self.gw, call_id, builders.make_request("/look/x"))
            effects = end_attempt(
                self.gw, call_id, calls.AttemptOutcome.UNREACHABLE
            )
            self.assertTrue(builders.of_type(effects, calls.SendCall))
        self.assertEqual(self.spent(NOW_MS + 50), 0)

    def test_a_lease_that_has_ended_grants_no_share(self):
        self.gw.retry_share = builders.make_share(1, NOW_MS + 40)
        other = builders.make_plain_announcement("p2")
        builders.collect(gateway.step(self.gw, NOW_MS, other))
        builders.submit(self.gw, 1, builders.make_request("/look/x"))
        effects = end_attempt(self.gw, 1, calls.AttemptOutcome.BROKEN)
        self.assertFalse(builders.of_type(effects, calls.SendCall))

    def test_requests_that_are_refused_earn_retries(self):
        self.gw.budget_limits = builders.retry_budget.Limits(0.2, 0.0, 10_000)
        self.gw.is_shutting_down = True
        for call_id in range(20):
            path = "/look/x" if call_id else "/nowhere/x"
            builders.submit(self.gw, call_id, builders.make_request(path))
        state = gateway_state.retry_account(self.gw, "plain", NOW_MS)
        self.assertAlmostEqual(state.earned, 0.5 * 0.2 * 19)

    def test_a_change_of_the_share_is_logged(self):
        for share, expected in (
            (builders.make_share(3), (0.36, 3, "granted")),
            (builders.make_share(3, 10**12 + 1), None),
            (builders.make_share(0, -1, state="expired"), (0, 0, "expired")),
        ):
            effects = builders.collect(gateway.step(self.gw, NOW_MS, share))
            logged = [
                tuple(
                    t.fields[key] for key in ("share", "fleet_size", "state")
                )
                for t in builders.of_type(effects, traces.Trace)
            ]
            self.assertEqual(logged, [expected] if expected else [])


class LeavingTest(unittest.TestCase):
    def test_leaving_upstream_receives_no_calls(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        leaving = builders.make_announcement(seq=2, leaving=True)
        builders.collect(gateway.step(gw, NOW_MS, leaving))
        effects = builders.submit(gw, 1, builders.make_request())
        self.assertFalse(builders.of_type(effects, calls.SendCall))

    def test_delayed_heartbeat_does_not_undo_leaving(self):
        gw = builders.make_gateway(
            upstreams=[builders.make_announcement(seq=3)]
        )
        leaving = builders.make_announcement(seq=5, leaving=True)
        builders.collect(gateway.step(gw, NOW_MS, leaving))
        delayed = builders.make_announcement(seq=4)
        builders.collect(gateway.step(gw, NOW_MS, delayed))
        self.assertFalse(presence.is_usable(gw.table, "u1", NOW_MS))

    def test_older_process_does_not_regain_its_address(self):
        new = builders.make_announcement("new", address="x:1", born_ms=9000)
        old = builders.make_announcement("old", address="x:1", born_ms=1000)
        gw = builders.make_gateway(upstreams=[new, old])
        self.assertTrue(presence.is_usable(gw.table, "new", NOW_MS))
        self.assertFalse(presence.is_usable(gw.table, "old", NOW_MS))


class OverloadTest(unittest.TestCase):
    """Tests with more work than an engine can start in time."""

    def test_excess_calls_wait_and_are_refused_when_late(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        long_prompt = builders.make_prompt(tokens_in=20_000)
        sent = 0
        for call_id in range(10):
            effects = builders.submit(
                gw, call_id, builders.make_request(prompt=long_prompt)
            )
            sent += len(builders.of_type(effects, calls.SendCall))
        # An engine reads about 38,000 tokens per second.
        self.assertLessEqual(sent, 2)
        refused = builders.of_type(
            builders.tick(gw, NOW_MS + 2300), calls.Refuse
        )
        self.assertEqual(len(refused), 10 - sent)
        self.assertTrue(all(r.retry_after_ms >= 200 for r in refused))

    def test_urgent_call_is_sent_before_waiting_calls(self):
        urgent_route = builders.make_route(
            "/quick/", target_ms=1000, urgency=0
        )
        doc = builders.make_document(
            routes=[builders.make_route(), urgent_route]
        )
        gw = builders.make_gateway(doc, [builders.make_announcement()])
        long_prompt = builders.make_prompt(tokens_in=30_000)
        for call_id in range(4):
            builders.submit(
                gw, call_id, builders.make_request(prompt=long_prompt)
            )
        effects = builders.submit(
            gw, 9, builders.make_request("/quick/x", builders.make_prompt(500))
        )
        (sent,) = builders.of_type(effects, calls.SendCall)
        self.assertEqual(sent.call_id, 9)

    def test_reserved_memory_does_not_exceed_engine_memory(self):
        engine = builders.make_engine(kv_tokens=10_000)
        doc = builders.make_document(engine=engine)
        gw = builders.make_gateway(doc, [builders.make_announcement()])
        for call_id in range(30):
            builders.submit(gw, call_id, builders.make_request())
            load = sharing.total_load(gw.loads, "u1", NOW_MS)
            self.assertLessEqual(load.reserved_tokens, 10_000)


class AdapterTest(unittest.TestCase):
    def test_missing_adapter_is_requested_before_call_is_sent(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        prompt = builders.make_prompt(adapter="a1")
        effects = builders.submit(gw, 1, builders.make_request(prompt=prompt))
        (request_effect,) = builders.of_type(
            effects, planner.SendResidencyRequest
        )
        self.assertEqual(
            (request_effect.request.model, request_effect.request.adapter),
            ("m0", "a1"),
        )
        report = agent.ResidencyReport("u1", "m0", "a1", True)
        effects = builders.collect(gateway.step(gw, NOW_MS + 20, report))
        self.assertTrue(builders.of_type(effects, calls.SendCall))

    def test_outdated_announcement_does_not_hide_loaded_adapter(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        report = agent.ResidencyReport("u1", "m0", "a1", True)
        builders.collect(gateway.step(gw, NOW_MS, report))
        stale = builders.make_announcement(seq=2)
        builders.collect(gateway.step(gw, NOW_MS + 100, stale))
        self.assertIn("a1", gw.table.upstreams["u1"].models["m0"])


class AdapterCapacityTest(unittest.TestCase):
    """Tests with more adapters than the engines have slots for."""

    FULL = (presence.ResidentModel("m0", 1, ("a1", "a2", "a3", "a4")),)

    def submit_for_adapter(self, gw, call_id, adapter, now_ms):
        """Submit a call for an adapter and return the requests to agents."""
        prompt = builders.make_prompt(tokens_in=100, adapter=adapter)
        effects = builders.submit(
            gw, call_id, builders.make_request(prompt=prompt), now_ms
        )
        return builders.of_type(effects, planner.SendResidencyRequest)

    def test_idle_adapter_is_offered_for_eviction(self):
        full = builders.make_announcement(held=self.FULL)
        gw = builders.make_gateway(upstreams=[full])
        for call_id, adapter in enumerate(("a1", "a2", "a3", "a4")):
            self.submit_for_adapter(gw, call_id, adapter, NOW_MS)
        end_attempt(gw, 2, calls.AttemptOutcome.DELIVERED, NOW_MS + 100)
        (request_effect,) = self.submit_for_adapter(gw, 9, "a9", NOW_MS + 500)
        self.assertEqual(request_effect.request.spare, (("m0", "a3"),))

    def test_adapter_is_requested_at_engine_with_free_slot(self):
        upstreams = [
            builders.make_announcement("u1", held=self.FULL),
            builders.make_announcement("u2"),
        ]
        gw = builders.make_gateway(upstreams=upstreams)
        for call_id, adapter in enumerate(("a1", "a2", "a3", "a4")):
            self.submit_for_adapter(gw, call_id, adapter, NOW_MS)
        request_effects = self.submit_for_adapter(gw, 9, "a9", NOW_MS + 500)
        self.assertEqual(
            [p.request.upstream_id for p in request_effects], ["u2"]
        )

    def test_waiting_for_adapter_slot_increases_demand(self):
        """More copies of the model would provide more adapter slots."""
        full = builders.make_announcement(held=self.FULL)
        gw = builders.make_gateway(upstreams=[full])
        for call_id, adapter in enumerate(("a1", "a2", "a3", "a4")):
            self.submit_for_adapter(gw, call_id, adapter, NOW_MS)
        builders.tick(gw, NOW_MS + 200)
        before = placement.demand_rate(gw.demand, "m0", NOW_MS + 200)
        self.submit_for_adapter(gw, 9, "a9", NOW_MS + 300)
        for wait_ms in range(400, 1000, 50):
            builders.tick(gw, NOW_MS + wait_ms)
        self.assertGreater(
            placement.demand_rate(gw.demand, "m0", NOW_MS + 900), before
        )


class LongPromptOrderTest(unittest.TestCase):
    """Tests with long prompts that arrive at the same time."""

    def gateway(self, **route):
        doc = builders.make_document(routes=[builders.make_route(**route)])
        return builders.make_gateway(doc, [builders.make_announcement()])

    def submit_prompt(self, gw, call_id, tokens, now_ms=NOW_MS):
        """Submit a prompt and return the sends to engines."""
        prompt = builders.make_prompt(tokens_in=tokens)
        effects = builders.submit(
            gw, call_id, builders.make_request(prompt=prompt), now_ms
        )
        return builders.of_type(effects, calls.SendCall)

    def test_long_prompt_waits_until_previous_one_is_read(self):
        gw = self.gateway(target_ms=1500)
        self.assertTrue(self.submit_prompt(gw, 1, 9000))
        self.assertFalse(self.submit_prompt(gw, 2, 9000, NOW_MS + 10))
        started = calls.AnswerStarted(1)
        builders.collect(gateway.step(gw, NOW_MS + 240, started))
        effects = builders.tick(gw, NOW_MS + 250)
        self.assertTrue(builders.of_type(effects, calls.SendCall))

    def test_short_prompt_does_not_wait_for_long_one(self):
        gw = self.gateway(target_ms=1500)
        self.submit_prompt(gw, 1, 9000)
        self.assertTrue(self.submit_prompt(gw, 2, 800, NOW_MS + 10))

    def test_long_prompt_without_slack_does_not_wait(self):
        gw = self.gateway(target_ms=1500)
        self.submit_prompt(gw, 1, 9000)
        self.submit_prompt(gw, 2, 9000, NOW_MS + 10)
        effects = builders.tick(gw, NOW_MS + 960)
        self.assertTrue(builders.of_type(effects, calls.SendCall))


class ShutdownTest(unittest.TestCase):
    def test_waiting_call_is_refused_at_shutdown(self):
        """Guard against calls that wait for a model until the node exits."""
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        prompt = builders.make_prompt(model="m3")
        effects = builders.submit(gw, 1, builders.make_request(prompt=prompt))
        self.assertFalse(builders.of_type(effects, calls.Refuse))
        effects = builders.collect(
            gateway.step(gw, NOW_MS + 100, gateway.ShutdownStarted())
        )
        (refusal,) = builders.of_type(effects, calls.Refuse)
        self.assertIs(refusal.reason, calls.Refusal.STOPPING)
        self.assertTrue(gateway.is_idle(gw))


class DocumentTest(unittest.TestCase):
    def test_older_document_is_ignored(self):
        gw = builders.make_gateway(builders.make_document(version=5))
        older = gateway.DocumentInForce(builders.make_document(version=4))
        builders.collect(gateway.step(gw, NOW_MS, older))
        self.assertEqual(gw.doc.version, 5)

    def test_service_is_chosen_by_share_weights(self):
        shares = (
            documents.Share("engines", 0.0),
            documents.Share("plain", 1.0),
        )
        split = builders.make_route("/s/", shares=shares, streaming=False)
        gw = builders.make_gateway(
            builders.make_document(routes=[split]),
            [builders.make_plain_announcement("p1")],
        )
        (sent,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request("/s/x")),
            calls.SendCall,
        )
        self.assertEqual(sent.upstream_id, "p1")


class HealthTest(unittest.TestCase):
    def test_unreachable_upstream_is_avoided(self):
        upstreams = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=upstreams)
        (first,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request("/file/x")),
            calls.SendCall,
        )
        end_attempt(gw, 1, calls.AttemptOutcome.UNREACHABLE)
        for call_id in range(2, 6):
            (sent,) = builders.of_type(
                builders.submit(gw, call_id, builders.make_request("/file/x")),
                calls.SendCall,
            )
            self.assertNotEqual(sent.upstream_id, first.upstream_id)

    def test_last_upstream_is_used_despite_failures(self):
        gw = builders.make_gateway(
            upstreams=[builders.make_plain_announcement("p1")]
        )
        for call_id in range(6):
            builders.submit(gw, call_id, builders.make_request("/file/x"))
            end_attempt(gw, call_id, calls.AttemptOutcome.BROKEN)
        effects = builders.submit(gw, 9, builders.make_request("/file/x"))
        self.assertTrue(builders.of_type(effects, calls.SendCall))
