import unittest

from bilberryramp.decisions.fleet import agent, presence
from bilberryramp.decisions.fleet.tests import builders

NOW = 20_000
FULL = (presence.Held("m0", 1, ("a1", "a2", "a3", "a4")),)


def hold(made, ask, now_ms=NOW):
    return builders.collect(agent.step(made, now_ms, ask))


def ended(made, answer, now_ms=NOW + 5):
    message = agent.OrderEnded(answer)
    return builders.collect(agent.step(made, now_ms, message))


def read(made, count, held, now_ms=NOW + 10, **fields):
    message = agent.EngineRead(count, held, **fields)
    return builders.collect(agent.step(made, now_ms, message))


def orders(effects):
    return builders.of_type(effects, agent.SendOrder)


class AgentTest(unittest.TestCase):
    def test_nothing_is_ordered_before_the_engine_was_read(self):
        chart = builders.bind_chart("engine_order", agent)
        made = agent.new_agent(chart, 1)
        self.assertFalse(orders(hold(made, builders.make_hold())))

    def test_an_order_names_the_count_that_it_expects(self):
        held = (presence.Held("m0", 1, ()),)
        made = builders.make_agent(held, order_count=7, fence=40)
        (order,) = orders(hold(made, builders.make_hold()))
        self.assertEqual((order.expected_count, order.fence), (7, 40))

    def test_one_order_at_a_time(self):
        made = builders.make_agent((presence.Held("m0", 1, ()),))
        self.assertTrue(orders(hold(made, builders.make_hold("a1"))))
        self.assertFalse(orders(hold(made, builders.make_hold("a2"))))

    def test_places_are_never_exceeded(self):
        made = builders.make_agent(FULL)
        self.assertFalse(orders(hold(made, builders.make_hold("a9"))))

    def test_what_is_on_its_way_takes_a_place(self):
        held = (presence.Held("m0", 1, ("a1", "a2", "a3")),)
        made = builders.make_agent(held)
        read(made, 1, held, coming=(("m0", "a4"),))
        self.assertFalse(orders(hold(made, builders.make_hold("a9"))))

    def test_an_idle_adapter_gives_way_first(self):
        made = builders.make_agent(FULL)
        ask = builders.make_hold("a9", spare=(("m0", "a2"),))
        (order,) = orders(hold(made, ask))
        self.assertEqual((order.load, order.adapter), (False, "a2"))
        ended(made, agent.OrderAnswer.DONE)
        left = (presence.Held("m0", 1, ("a1", "a3", "a4")),)
        (order,) = orders(read(made, 1, left))
        self.assertEqual((order.load, order.adapter), (True, "a9"))

    def test_a_refused_unload_is_not_taken_as_done(self):
        """Replays an engine that got a ninth adapter for eight places."""
        made = builders.make_agent(FULL)
        ask = builders.make_hold("a9", spare=(("m0", "a2"),))
        hold(made, ask)
        ended(made, agent.OrderAnswer.BUSY)
        effects = read(made, 0, FULL, now_ms=NOW + 200)
        loads = [order for order in orders(effects) if order.load]
        self.assertFalse(loads)

    def test_after_an_unanswered_order_the_engine_is_read_first(self):
        held = (presence.Held("m0", 1, ()),)
        made = builders.make_agent(held)
        hold(made, builders.make_hold("a1"))
        ended(made, agent.OrderAnswer.NONE)
        self.assertFalse(
            orders(hold(made, builders.make_hold("a2"), NOW + 50))
        )
        (order,) = orders(read(made, 1, held, now_ms=NOW + 700))
        self.assertEqual(order.expected_count, 1)

    def test_a_model_that_does_not_fit_is_not_ordered(self):
        held = tuple(presence.Held(f"m{i}", 1, ()) for i in range(4))
        made = builders.make_agent(held)
        ask = builders.make_hold("", model="m4")
        self.assertFalse(orders(hold(made, ask)))

    def test_a_model_gives_way_to_the_one_that_was_asked_for(self):
        held = tuple(presence.Held(f"m{i}", 1, ()) for i in range(4))
        made = builders.make_agent(held)
        ask = builders.make_hold("", model="m4", spare=(("m2", ""),))
        (order,) = orders(hold(made, ask))
        self.assertEqual((order.load, order.model), (False, "m2"))
        ended(made, agent.OrderAnswer.DONE)
        left = tuple(h for h in held if h.model != "m2")
        (order,) = orders(read(made, 1, left))
        self.assertEqual((order.load, order.model), (True, "m4"))

    def test_the_asker_is_told_when_it_is_there(self):
        held = (presence.Held("m0", 1, ()),)
        made = builders.make_agent(held)
        hold(made, builders.make_hold("a1"))
        ended(made, agent.OrderAnswer.ACCEPTED)
        there = (presence.Held("m0", 1, ("a1",)),)
        (tell,) = builders.of_type(read(made, 1, there), agent.Tell)
        self.assertEqual(tell.to, "n1:1")
        self.assertTrue(tell.message.held)

    def test_a_higher_token_at_the_engine_raises_the_own(self):
        made = builders.make_agent((presence.Held("m0", 1, ()),), fence=5)
        hold(made, builders.make_hold())
        ended(made, agent.OrderAnswer.FENCED)
        self.assertGreater(made.fence, 5)
