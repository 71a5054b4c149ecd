import unittest

from bilberryramp.decisions.fleet import (
    agent,
    calls,
    documents,
    gateway,
    placement,
    planner,
    presence,
    sharing,
)
from bilberryramp.decisions.fleet.tests import builders

NOW = 10_000


def over(gw, call_id, end, now_ms=NOW + 50):
    message = calls.AttemptEnded(call_id, end)
    return builders.collect(gateway.step(gw, now_ms, message))


class ArrivalTest(unittest.TestCase):
    def test_a_node_without_a_document_refuses_and_knows_no_404(self):
        gw = builders.make_gateway()
        gw.doc = None
        (refusal,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request()), calls.Refuse
        )
        self.assertIs(refusal.reason, calls.Refusal.NO_DOCUMENT)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_an_unknown_path_has_no_route(self):
        gw = builders.make_gateway()
        (refusal,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request("/none/x")),
            calls.Refuse,
        )
        self.assertIs(refusal.reason, calls.Refusal.NO_ROUTE)

    def test_a_call_goes_out_with_the_time_that_is_left(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        (sent,) = builders.of_type(
            builders.submit(
                gw, 1, builders.make_request(client_timeout_ms=900)
            ),
            calls.SendCall,
        )
        self.assertEqual((sent.upstream_id, sent.allowed_ms), ("u1", 900))

    def test_the_routes_time_bounds_a_patient_client(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        (sent,) = builders.of_type(
            builders.submit(
                gw, 1, builders.make_request(client_timeout_ms=60_000)
            ),
            calls.SendCall,
        )
        self.assertEqual(sent.allowed_ms, 6000)


class RetryTest(unittest.TestCase):
    def test_a_call_that_may_have_run_is_not_sent_again(self):
        ups = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=ups)
        builders.submit(gw, 1, builders.make_request("/file/x"))
        effects = over(gw, 1, calls.AttemptOutcome.BROKEN)
        self.assertFalse(builders.of_type(effects, calls.SendCall))
        (failure,) = builders.of_type(effects, calls.Fail)
        self.assertIs(failure.reason, calls.Failure.BROKEN)

    def test_a_repeatable_call_goes_to_another_upstream(self):
        ups = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=ups)
        (first,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request("/look/x")),
            calls.SendCall,
        )
        (second,) = builders.of_type(
            over(gw, 1, calls.AttemptOutcome.BROKEN), calls.SendCall
        )
        self.assertNotEqual(first.upstream_id, second.upstream_id)
        self.assertTrue(
            builders.of_type(
                over(gw, 1, calls.AttemptOutcome.FAILED), calls.ForwardFailure
            )
        )

    def test_a_refused_call_goes_on_even_if_it_may_not_repeat(self):
        ups = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=ups)
        builders.submit(gw, 1, builders.make_request("/file/x"))
        self.assertTrue(
            builders.of_type(
                over(gw, 1, calls.AttemptOutcome.NOT_RUN), calls.SendCall
            )
        )

    def test_not_run_is_said_only_if_no_attempt_may_have_run(self):
        """An unknown first attempt forbids a refusal after the second."""
        ups = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=ups)
        builders.submit(gw, 1, builders.make_request("/look/x"))
        over(gw, 1, calls.AttemptOutcome.BROKEN)
        gw.budget_limits = builders.retry_budget.Limits(0.0, 0.0, 10_000)
        effects = over(gw, 1, calls.AttemptOutcome.NOT_RUN)
        self.assertFalse(builders.of_type(effects, calls.Refuse))
        self.assertTrue(builders.of_type(effects, calls.Fail))

    def test_the_budget_ends_repeats(self):
        ups = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=ups)
        gw.node_count = 30
        repeats = 0
        for call_id in range(20):
            builders.submit(gw, call_id, builders.make_request("/look/x"))
            effects = over(gw, call_id, calls.AttemptOutcome.NOT_RUN)
            repeats += len(builders.of_type(effects, calls.SendCall))
            over(gw, call_id, calls.AttemptOutcome.DELIVERED)
        self.assertLessEqual(repeats, 0.2 * 20 + 2)


class LeavingTest(unittest.TestCase):
    def test_nothing_goes_to_an_upstream_that_drains(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        leaving = builders.make_announcement(seq=2, leaving=True)
        builders.collect(gateway.step(gw, NOW, leaving))
        effects = builders.submit(gw, 1, builders.make_request())
        self.assertFalse(builders.of_type(effects, calls.SendCall))

    def test_a_late_heartbeat_does_not_bring_it_back(self):
        gw = builders.make_gateway(
            upstreams=[builders.make_announcement(seq=3)]
        )
        leaving = builders.make_announcement(seq=5, leaving=True)
        builders.collect(gateway.step(gw, NOW, leaving))
        late = builders.make_announcement(seq=4)
        builders.collect(gateway.step(gw, NOW, late))
        self.assertFalse(presence.is_usable(gw.table, "u1", NOW))

    def test_a_dead_process_does_not_take_its_address_back(self):
        new = builders.make_announcement("new", address="x:1", born_ms=9000)
        old = builders.make_announcement("old", address="x:1", born_ms=1000)
        gw = builders.make_gateway(upstreams=[new, old])
        self.assertTrue(presence.is_usable(gw.table, "new", NOW))
        self.assertFalse(presence.is_usable(gw.table, "old", NOW))


class OverloadTest(unittest.TestCase):
    """Replays more work than an engine can begin in time."""

    def test_work_waits_here_and_is_refused_when_it_cannot_be_served(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        big = builders.make_prompt(tokens_in=20_000)
        sent = 0
        for call_id in range(10):
            effects = builders.submit(
                gw, call_id, builders.make_request(prompt=big)
            )
            sent += len(builders.of_type(effects, calls.SendCall))
        # One second of reading is some 38,000 tokens.
        self.assertLessEqual(sent, 2)
        refused = builders.of_type(builders.tick(gw, NOW + 2300), calls.Refuse)
        self.assertEqual(len(refused), 10 - sent)
        self.assertTrue(all(r.retry_after_ms >= 200 for r in refused))

    def test_urgent_work_goes_ahead_of_what_waits(self):
        quick = builders.make_route("/quick/", target_ms=1000, urgency=0)
        doc = builders.make_document(routes=[builders.make_route(), quick])
        gw = builders.make_gateway(doc, [builders.make_announcement()])
        big = builders.make_prompt(tokens_in=30_000)
        for call_id in range(4):
            builders.submit(gw, call_id, builders.make_request(prompt=big))
        effects = builders.submit(
            gw, 9, builders.make_request("/quick/x", builders.make_prompt(500))
        )
        (sent,) = builders.of_type(effects, calls.SendCall)
        self.assertEqual(sent.call_id, 9)

    def test_memory_is_never_promised_beyond_an_engines_own(self):
        engine = builders.make_engine(kv_tokens=10_000)
        doc = builders.make_document(engine=engine)
        gw = builders.make_gateway(doc, [builders.make_announcement()])
        for call_id in range(30):
            builders.submit(gw, call_id, builders.make_request())
            load = sharing.total_load(gw.loads, "u1", NOW)
            self.assertLessEqual(load.reserved_tokens, 10_000)


class AdapterTest(unittest.TestCase):
    def test_an_adapter_is_asked_for_and_the_call_follows_it(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        prompt = builders.make_prompt(adapter="a1")
        effects = builders.submit(gw, 1, builders.make_request(prompt=prompt))
        (plan,) = builders.of_type(effects, planner.SendPlan)
        self.assertEqual(
            (plan.request.model, plan.request.adapter), ("m0", "a1")
        )
        told = agent.Holding("u1", "m0", "a1", True)
        effects = builders.collect(gateway.step(gw, NOW + 20, told))
        self.assertTrue(builders.of_type(effects, calls.SendCall))

    def test_an_old_heartbeat_does_not_hide_what_an_order_brought(self):
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        told = agent.Holding("u1", "m0", "a1", True)
        builders.collect(gateway.step(gw, NOW, told))
        stale = builders.make_announcement(seq=2)
        builders.collect(gateway.step(gw, NOW + 100, stale))
        self.assertIn("a1", gw.table.upstreams["u1"].models["m0"])


class AdapterPlacesTest(unittest.TestCase):
    """Replays many adapters at engines with few places."""

    FULL = (presence.Held("m0", 1, ("a1", "a2", "a3", "a4")),)

    def asked(self, gw, call_id, adapter, now_ms):
        prompt = builders.make_prompt(tokens_in=100, adapter=adapter)
        effects = builders.submit(
            gw, call_id, builders.make_request(prompt=prompt), now_ms
        )
        return builders.of_type(effects, planner.SendPlan)

    def test_an_adapter_that_no_call_uses_gives_way(self):
        full = builders.make_announcement(held=self.FULL)
        gw = builders.make_gateway(upstreams=[full])
        for call_id, adapter in enumerate(("a1", "a2", "a3", "a4")):
            self.asked(gw, call_id, adapter, NOW)
        over(gw, 2, calls.AttemptOutcome.DELIVERED, NOW + 100)
        (plan,) = self.asked(gw, 9, "a9", NOW + 500)
        self.assertEqual(plan.request.spare, (("m0", "a3"),))

    def test_an_engine_with_a_place_is_asked_rather_than_a_full_one(self):
        ups = [
            builders.make_announcement("u1", held=self.FULL),
            builders.make_announcement("u2"),
        ]
        gw = builders.make_gateway(upstreams=ups)
        for call_id, adapter in enumerate(("a1", "a2", "a3", "a4")):
            self.asked(gw, call_id, adapter, NOW)
        asks = self.asked(gw, 9, "a9", NOW + 500)
        self.assertEqual([a.request.upstream_id for a in asks], ["u2"])

    def test_while_all_places_are_in_use_demand_grows(self):
        """More copies of the model bring more places."""
        full = builders.make_announcement(held=self.FULL)
        gw = builders.make_gateway(upstreams=[full])
        for call_id, adapter in enumerate(("a1", "a2", "a3", "a4")):
            self.asked(gw, call_id, adapter, NOW)
        builders.tick(gw, NOW + 200)
        before = placement.demand_rate(gw.demand, "m0", NOW + 200)
        self.asked(gw, 9, "a9", NOW + 300)
        for wait_ms in range(400, 1000, 50):
            builders.tick(gw, NOW + wait_ms)
        self.assertGreater(
            placement.demand_rate(gw.demand, "m0", NOW + 900), before
        )


class TurnTest(unittest.TestCase):
    """Replays long prompts that come at the same time."""

    def gateway(self, **route):
        doc = builders.make_document(routes=[builders.make_route(**route)])
        return builders.make_gateway(doc, [builders.make_announcement()])

    def sent(self, gw, call_id, tokens, now_ms=NOW):
        prompt = builders.make_prompt(tokens_in=tokens)
        effects = builders.submit(
            gw, call_id, builders.make_request(prompt=prompt), now_ms
        )
        return builders.of_type(effects, calls.SendCall)

    def test_a_long_prompt_waits_for_the_one_before_it(self):
        gw = self.gateway(target_ms=1500)
        self.assertTrue(self.sent(gw, 1, 9000))
        self.assertFalse(self.sent(gw, 2, 9000, NOW + 10))
        begun = calls.AnswerStarted(1)
        builders.collect(gateway.step(gw, NOW + 240, begun))
        effects = builders.tick(gw, NOW + 250)
        self.assertTrue(builders.of_type(effects, calls.SendCall))

    def test_a_short_prompt_does_not_wait(self):
        gw = self.gateway(target_ms=1500)
        self.sent(gw, 1, 9000)
        self.assertTrue(self.sent(gw, 2, 800, NOW + 10))

    def test_one_without_time_to_spare_does_not_wait(self):
        gw = self.gateway(target_ms=1500)
        self.sent(gw, 1, 9000)
        self.sent(gw, 2, 9000, NOW + 10)
        effects = builders.tick(gw, NOW + 960)
        self.assertTrue(builders.of_type(effects, calls.SendCall))


class ClosingTest(unittest.TestCase):
    def test_what_waits_is_refused_before_the_process_ends(self):
        """Replays a call that waited for a model until its node exited."""
        gw = builders.make_gateway(upstreams=[builders.make_announcement()])
        prompt = builders.make_prompt(model="m3")
        effects = builders.submit(gw, 1, builders.make_request(prompt=prompt))
        self.assertFalse(builders.of_type(effects, calls.Refuse))
        effects = builders.collect(
            gateway.step(gw, NOW + 100, gateway.ShutdownStarted())
        )
        (refusal,) = builders.of_type(effects, calls.Refuse)
        self.assertIs(refusal.reason, calls.Refusal.STOPPING)
        self.assertTrue(gateway.is_idle(gw))


class DocumentTest(unittest.TestCase):
    def test_an_older_document_changes_nothing(self):
        gw = builders.make_gateway(builders.make_document(version=5))
        older = gateway.DocumentInForce(builders.make_document(version=4))
        builders.collect(gateway.step(gw, NOW, older))
        self.assertEqual(gw.doc.version, 5)

    def test_a_split_follows_its_weights(self):
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
    def test_an_upstream_that_cannot_be_reached_is_left_alone(self):
        ups = [
            builders.make_plain_announcement("p1"),
            builders.make_plain_announcement("p2"),
        ]
        gw = builders.make_gateway(upstreams=ups)
        (first,) = builders.of_type(
            builders.submit(gw, 1, builders.make_request("/file/x")),
            calls.SendCall,
        )
        over(gw, 1, calls.AttemptOutcome.UNREACHABLE)
        for call_id in range(2, 6):
            (sent,) = builders.of_type(
                builders.submit(gw, call_id, builders.make_request("/file/x")),
                calls.SendCall,
            )
            self.assertNotEqual(sent.upstream_id, first.upstream_id)

    def test_the_last_upstream_is_never_given_up(self):
        gw = builders.make_gateway(
            upstreams=[builders.make_plain_announcement("p1")]
        )
        for call_id in range(6):
            builders.submit(gw, call_id, builders.make_request("/file/x"))
            over(gw, call_id, calls.AttemptOutcome.BROKEN)
        effects = builders.submit(gw, 9, builders.make_request("/file/x"))
        self.assertTrue(builders.of_type(effects, calls.SendCall))
