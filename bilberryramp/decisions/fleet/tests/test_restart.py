"""Replays the loss of power everywhere, from the first start on."""

import random
import unittest

from bilberryramp.decisions.fleet import (
    calls,
    gateway,
    placement,
    planner,
    presence,
    register,
    register_messages,
)
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.shared import effects

NOW = 50_000
VOTERS = ("v1", "v2", "v3")


def a_restarted_voter(seeds):
    members = tuple(
        register_messages.Member(name, register.GENESIS) for name in VOTERS
    )
    stored = register_messages.Stored(
        register.GENESIS, 4, "", register_messages.Record(4, 7, members)
    )
    return register.new_node(
        builders.make_peer("v1"),
        seeds,
        builders.bind_chart("member", register),
        random.Random(1),
        NOW,
        stored,
    )


def beats(node, now_ms):
    sent = builders.collect(register.step(node, now_ms, register.Tick()))
    return {
        effect.to
        for effect in builders.of_type(sent, effects.Send)
        if isinstance(effect.message, register_messages.Beat)
    }


class RegisterTest(unittest.TestCase):
    def test_a_voter_looks_for_the_others_though_the_seeds_are_new(self):
        """The seeds had been exchanged for nodes that start later."""
        node = a_restarted_voter(("x1", "x2"))
        self.assertEqual(beats(node, NOW), {"x1", "x2", "v2", "v3"})

    def test_it_goes_on_quickly_until_it_knows_a_leader(self):
        """A first message is lost while its connection is being made."""
        node = a_restarted_voter(("x1",))
        times = [t for t in range(NOW, NOW + 600, 50) if beats(node, t)]
        self.assertGreaterEqual(len(times), 4)
        node.leader = "v2"
        beats(node, NOW + 600)
        self.assertFalse(beats(node, NOW + 800))

    def test_a_canvass_without_a_majority_is_held_again_soon(self):
        """Voters that started 0.3 s later were bound by their start."""
        node = a_restarted_voter(("x1",))
        asked = []
        for now_ms in range(NOW, NOW + 2000, 50):
            sent = builders.collect(
                register.step(node, now_ms, register.Tick())
            )
            if any(
                isinstance(effect.message, register_messages.RequestVote)
                for effect in builders.of_type(sent, effects.Send)
            ):
                asked.append(now_ms)
        self.assertGreaterEqual(asked[0] - NOW, register.ELECTION_MS)
        self.assertLessEqual(asked[1] - asked[0], 350)


class ReadinessTest(unittest.TestCase):
    def node(self, *upstreams):
        gw = builders.make_gateway(upstreams=upstreams, now_ms=NOW)
        gw.discovery_deadline_ms = NOW + 1300
        return gw

    def test_a_node_is_ready_once_no_more_upstreams_appear(self):
        gw = self.node(
            builders.make_announcement(),
            builders.make_plain_announcement("p1"),
        )
        self.assertFalse(gateway.is_ready(gw, NOW + 100))
        self.assertTrue(gateway.is_ready(gw, NOW + 300))

    def test_a_service_without_upstreams_takes_the_whole_time(self):
        gw = self.node(builders.make_announcement())
        self.assertFalse(gateway.is_ready(gw, NOW + 1000))
        self.assertTrue(gateway.is_ready(gw, NOW + 1300))

    def test_a_node_without_a_document_is_never_ready(self):
        gw = self.node(
            builders.make_announcement(),
            builders.make_plain_announcement("p1"),
        )
        gw.doc = None
        self.assertFalse(gateway.is_ready(gw, NOW + 5000))


class EmptyEnginesTest(unittest.TestCase):
    def engine(self, upstream_id):
        return builders.make_announcement(
            upstream_id, held=(), copies=("m0", "m1")
        )

    def test_a_plan_whose_message_was_lost_is_sent_again_soon(self):
        table = presence.Table(1200)
        presence.note(table, self.engine("u1"), NOW)
        plans = planner.Planner(
            "n1:1", table, planner.sharing.Loads(), placement.Demand()
        )
        planner.set_leading(plans, True, NOW)
        planner.record_model_request(
            plans, planner.WantModel("engines", "m0"), NOW
        )
        doc = builders.make_document()
        sent = [
            t
            for t in range(NOW, NOW + 400, 50)
            for effect in planner.review(plans, doc, t)
            if isinstance(effect, planner.SendPlan)
        ]
        self.assertLessEqual(sent[1] - sent[0], 100)
        self.assertLess(len(sent), 6)

    def test_a_call_waits_for_a_copy_at_hand(self):
        """A load from the weight store would take too long for it."""
        slow = builders.make_model("m0", load_s=4.5)
        engine = builders.make_engine(specs={"m0": slow})
        gw = builders.make_gateway(
            builders.make_document(engine=engine), [self.engine("u1")], NOW
        )
        prompt = builders.make_prompt(model="m0")
        request = builders.make_request(prompt=prompt, client_timeout_ms=2500)
        builders.submit(gw, 1, request, NOW)
        effects_ = builders.tick(gw, NOW + 1200)
        self.assertFalse(builders.of_type(effects_, calls.Refuse))


if __name__ == "__main__":
    unittest.main()
