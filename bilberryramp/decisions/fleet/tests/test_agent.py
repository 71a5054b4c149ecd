import unittest

from bilberryramp.decisions.fleet import agent, presence
from bilberryramp.decisions.fleet.tests import builders

NOW = 20_000
FULL = (presence.ResidentModel("m0", 1, ("a1", "a2", "a3", "a4")),)


def send_request(state, req, now_ms=NOW):
    return builders.drain(agent.step(state, now_ms, req))


def send_answer(state, answer, now_ms=NOW + 5):
    message = agent.OrderEnded(answer)
    return builders.drain(agent.step(state, now_ms, message))


def send_report(state, count, resident, now_ms=NOW + 10, **fields):
    message = agent.EngineReport(count, resident, **fields)
    return builders.drain(agent.step(state, now_ms, message))


def orders(effects):
    return builders.only(effects, agent.SendOrder)


class AgentTest(unittest.TestCase):
    def test_nothing_is_ordered_before_the_engine_was_read(self):
        chart = builders.bound("engine_order", agent)
        state = agent.new_agent(chart, 1)
        self.assertFalse(orders(send_request(state, builders.a_hold())))

    def test_an_order_names_the_count_that_it_expects(self):
        resident = (presence.ResidentModel("m0", 1, ()),)
        state = builders.an_agent(resident, order_count=7, fence=40)
        (order,) = orders(send_request(state, builders.a_hold()))
        self.assertEqual((order.expected_count, order.fence), (7, 40))

    def test_one_order_at_a_time(self):
        state = builders.an_agent((presence.ResidentModel("m0", 1, ()),))
        self.assertTrue(orders(send_request(state, builders.a_hold("a1"))))
        self.assertFalse(orders(send_request(state, builders.a_hold("a2"))))

    def test_places_are_never_exceeded(self):
        state = builders.an_agent(FULL)
        self.assertFalse(orders(send_request(state, builders.a_hold("a9"))))

    def test_what_is_on_its_way_takes_a_place(self):
        resident = (presence.ResidentModel("m0", 1, ("a1", "a2", "a3")),)
        state = builders.an_agent(resident)
        send_report(state, 1, resident, loading=(("m0", "a4"),))
        self.assertFalse(orders(send_request(state, builders.a_hold("a9"))))

    def test_an_idle_adapter_gives_way_first(self):
        state = builders.an_agent(FULL)
        req = builders.a_hold("a9", spare=(("m0", "a2"),))
        (order,) = orders(send_request(state, req))
        self.assertEqual((order.load, order.adapter), (False, "a2"))
        send_answer(state, agent.OrderAnswer.DONE)
        remaining = (presence.ResidentModel("m0", 1, ("a1", "a3", "a4")),)
        (order,) = orders(send_report(state, 1, remaining))
        self.assertEqual((order.load, order.adapter), (True, "a9"))

    def test_a_refused_unload_is_not_taken_as_done(self):
        """Replays an engine that got a ninth adapter for eight places."""
        state = builders.an_agent(FULL)
        req = builders.a_hold("a9", spare=(("m0", "a2"),))
        send_request(state, req)
        send_answer(state, agent.OrderAnswer.BUSY)
        effects = send_report(state, 0, FULL, now_ms=NOW + 200)
        loads = [order for order in orders(effects) if order.load]
        self.assertFalse(loads)

    def test_after_an_unanswered_order_the_engine_is_read_first(self):
        resident = (presence.ResidentModel("m0", 1, ()),)
        state = builders.an_agent(resident)
        send_request(state, builders.a_hold("a1"))
        send_answer(state, agent.OrderAnswer.NONE)
        self.assertFalse(
            orders(send_request(state, builders.a_hold("a2"), NOW + 50))
        )
        (order,) = orders(send_report(state, 1, resident, now_ms=NOW + 700))
        self.assertEqual(order.expected_count, 1)

    def test_a_model_that_does_not_fit_is_not_ordered(self):
        resident = tuple(
            presence.ResidentModel(f"m{i}", 1, ()) for i in range(4)
        )
        state = builders.an_agent(resident)
        req = builders.a_hold("", model="m4")
        self.assertFalse(orders(send_request(state, req)))

    def test_a_model_gives_way_to_the_one_that_was_asked_for(self):
        resident = tuple(
            presence.ResidentModel(f"m{i}", 1, ()) for i in range(4)
        )
        state = builders.an_agent(resident)
        req = builders.a_hold("", model="m4", spare=(("m2", ""),))
        (order,) = orders(send_request(state, req))
        self.assertEqual((order.load, order.model), (False, "m2"))
        send_answer(state, agent.OrderAnswer.DONE)
        remaining = tuple(h for h in resident if h.model != "m2")
        (order,) = orders(send_report(state, 1, remaining))
        self.assertEqual((order.load, order.model), (True, "m4"))

    def test_the_asker_is_told_when_it_is_there(self):
        resident = (presence.ResidentModel("m0", 1, ()),)
        state = builders.an_agent(resident)
        send_request(state, builders.a_hold("a1"))
        send_answer(state, agent.OrderAnswer.ACCEPTED)
        remaining = (presence.ResidentModel("m0", 1, ("a1",)),)
        (notification,) = builders.only(
            send_report(state, 1, remaining), agent.Notify
        )
        self.assertEqual(notification.to, "n1:1")
        self.assertTrue(notification.message.held)

    def test_a_higher_token_at_the_engine_raises_the_own(self):
        state = builders.an_agent(
            (presence.ResidentModel("m0", 1, ()),), fence=5
        )
        send_request(state, builders.a_hold())
        send_answer(state, agent.OrderAnswer.FENCED)
        self.assertGreater(state.fence, 5)
