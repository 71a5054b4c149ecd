"""Tests of the orders that an agent sends to its engine."""

import unittest

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.decisions.fleet.tests import builders

NOW_MS = 20_000
ALL_SLOTS_USED = (presence.ResidentModel("m0", 1, ("a1", "a2", "a3", "a4")),)


def send_request(state, req, now_ms=NOW_MS):
    """Send a residency request to an agent and return the effects."""
    return builders.collect(agent.step(state, now_ms, req))


def send_answer(state, answer, now_ms=NOW_MS + 5):
    """Send an engine's answer to an agent and return the effects."""
    message = agent.OrderEnded(answer)
    return builders.collect(agent.step(state, now_ms, message))


def send_report(state, count, resident, now_ms=NOW_MS + 10, **fields):
    """Send an engine's report to an agent and return the effects."""
    message = agent.EngineReport(count, resident, **fields)
    return builders.collect(agent.step(state, now_ms, message))


def orders(effects):
    """Return the orders among the effects."""
    return builders.of_type(effects, agent.SendOrder)


class AgentTest(unittest.TestCase):
    def test_no_order_is_sent_before_the_first_report(self):
        chart = builders.bind_chart("engine_order", agent)
        state = agent.new_agent(chart, 1)
        self.assertFalse(
            orders(send_request(state, builders.make_residency_request()))
        )

    def test_an_order_states_the_expected_order_count(self):
        resident = (presence.ResidentModel("m0", 1, ()),)
        state = builders.make_agent(resident, order_count=7, fence=40)
        (order,) = orders(
            send_request(state, builders.make_residency_request())
        )
        self.assertEqual((order.expected_count, order.fence), (7, 40))

    def test_only_one_order_is_in_flight(self):
        state = builders.make_agent((presence.ResidentModel("m0", 1, ()),))
        self.assertTrue(
            orders(send_request(state, builders.make_residency_request("a1")))
        )
        self.assertFalse(
            orders(send_request(state, builders.make_residency_request("a2")))
        )

    def test_adapter_slots_are_never_exceeded(self):
        state = builders.make_agent(ALL_SLOTS_USED)
        self.assertFalse(
            orders(send_request(state, builders.make_residency_request("a9")))
        )

    def test_a_loading_adapter_occupies_a_slot(self):
        resident = (presence.ResidentModel("m0", 1, ("a1", "a2", "a3")),)
        state = builders.make_agent(resident)
        send_report(state, 1, resident, loading=(("m0", "a4"),))
        self.assertFalse(
            orders(send_request(state, builders.make_residency_request("a9")))
        )

    def test_a_spare_adapter_is_evicted_before_a_load(self):
        state = builders.make_agent(ALL_SLOTS_USED)
        req = builders.make_residency_request("a9", spare=(("m0", "a2"),))
        (order,) = orders(send_request(state, req))
        self.assertEqual((order.load, order.adapter), (False, "a2"))
        send_answer(state, agent.OrderAnswer.DONE)
        remaining = (presence.ResidentModel("m0", 1, ("a1", "a3", "a4")),)
        (order,) = orders(send_report(state, 1, remaining))
        self.assertEqual((order.load, order.adapter), (True, "a9"))

    def test_a_refused_unload_does_not_free_a_slot(self):
        """An engine with eight adapter slots was ordered to load a ninth.

        The agent had counted a refused unload as carried out.
        """
        state = builders.make_agent(ALL_SLOTS_USED)
        req = builders.make_residency_request("a9", spare=(("m0", "a2"),))
        send_request(state, req)
        send_answer(state, agent.OrderAnswer.BUSY)
        effects = send_report(state, 0, ALL_SLOTS_USED, now_ms=NOW_MS + 200)
        loads = [order for order in orders(effects) if order.load]
        self.assertFalse(loads)

    def test_an_unanswered_order_requires_a_new_report(self):
        resident = (presence.ResidentModel("m0", 1, ()),)
        state = builders.make_agent(resident)
        send_request(state, builders.make_residency_request("a1"))
        send_answer(state, agent.OrderAnswer.NONE)
        self.assertFalse(
            orders(
                send_request(
                    state, builders.make_residency_request("a2"), NOW_MS + 50
                )
            )
        )
        (order,) = orders(send_report(state, 1, resident, now_ms=NOW_MS + 700))
        self.assertEqual(order.expected_count, 1)

    def test_a_model_that_does_not_fit_is_not_loaded(self):
        resident = tuple(
            presence.ResidentModel(f"m{i}", 1, ()) for i in range(4)
        )
        state = builders.make_agent(resident)
        req = builders.make_residency_request("", model="m4")
        self.assertFalse(orders(send_request(state, req)))

    def test_a_spare_model_is_evicted_before_a_load(self):
        resident = tuple(
            presence.ResidentModel(f"m{i}", 1, ()) for i in range(4)
        )
        state = builders.make_agent(resident)
        req = builders.make_residency_request(
            "", model="m4", spare=(("m2", ""),)
        )
        (order,) = orders(send_request(state, req))
        self.assertEqual((order.load, order.model), (False, "m2"))
        send_answer(state, agent.OrderAnswer.DONE)
        remaining = tuple(m for m in resident if m.model != "m2")
        (order,) = orders(send_report(state, 1, remaining))
        self.assertEqual((order.load, order.model), (True, "m4"))

    def test_the_requester_is_notified_when_the_adapter_is_resident(self):
        resident = (presence.ResidentModel("m0", 1, ()),)
        state = builders.make_agent(resident)
        send_request(state, builders.make_residency_request("a1"))
        send_answer(state, agent.OrderAnswer.ACCEPTED)
        loaded = (presence.ResidentModel("m0", 1, ("a1",)),)
        (notification,) = builders.of_type(
            send_report(state, 1, loaded), agent.Notify
        )
        self.assertEqual(notification.to, "n1:1")
        self.assertTrue(notification.message.held)

    def test_a_fenced_order_raises_the_token(self):
        state = builders.make_agent(
            (presence.ResidentModel("m0", 1, ()),), fence=5
        )
        send_request(state, builders.make_residency_request())
        send_answer(state, agent.OrderAnswer.FENCED)
        self.assertGreater(state.fence, 5)
