"""Tests of the first seconds after all instances lost power and restarted."""

import random
import unittest

from bilberryramp.decisions.fleet.core import calls, presence
from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.orders import placement, planner
from bilberryramp.decisions.fleet.register import register, register_messages
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.shared import effects

NOW_MS = 50_000
VOTERS = ("v1", "v2", "v3")


def restarted_voter(seeds):
    """Build the node ``v1``, whose stored record names all `VOTERS`."""
    members = tuple(
        register_messages.Member(name, register.GENESIS) for name in VOTERS
    )
    stored = register_messages.PersistentState(
        register.GENESIS, 4, "", register_messages.Record(4, 7, members)
    )
    return register.new_node(
        builders.make_peer("v1"),
        seeds,
        builders.bind_chart("member", register),
        random.Random(1),
        NOW_MS,
        stored,
    )


def heartbeat_targets(node, now_ms):
    """Advance a node and return the addresses it sends heartbeats to."""
    sent = builders.collect(register.step(node, now_ms, register.Tick()))
    return {
        effect.to
        for effect in builders.of_type(sent, effects.Send)
        if isinstance(effect.message, register_messages.PeerHeartbeat)
    }


class RegisterTest(unittest.TestCase):
    def test_a_voter_sends_heartbeats_to_voters_that_are_not_seeds(self):
        """Its seeds may have been replaced by nodes that start later.

        The voter must then reach the other voters through its stored record.
        """
        node = restarted_voter(("x1", "x2"))
        self.assertEqual(
            heartbeat_targets(node, NOW_MS), {"x1", "x2", "v2", "v3"}
        )

    def test_heartbeats_are_frequent_until_a_leader_is_known(self):
        """The first message to a node is lost while its connection opens."""
        node = restarted_voter(("x1",))
        heartbeat_times_ms = [
            time_ms
            for time_ms in range(NOW_MS, NOW_MS + 600, 50)
            if heartbeat_targets(node, time_ms)
        ]
        self.assertGreaterEqual(len(heartbeat_times_ms), 4)
        node.leader = "v2"
        heartbeat_targets(node, NOW_MS + 600)
        self.assertFalse(heartbeat_targets(node, NOW_MS + 800))

    def test_a_pre_vote_without_a_majority_is_repeated_soon(self):
        """Voters that started 0.3 s later refused the first pre-vote.

        A node grants no vote until `ELECTION_MS` after its start.
        """
        node = restarted_voter(("x1",))
        request_times_ms = []
        for now_ms in range(NOW_MS, NOW_MS + 2000, 50):
            sent = builders.collect(
                register.step(node, now_ms, register.Tick())
            )
            if any(
                isinstance(effect.message, register_messages.RequestVote)
                for effect in builders.of_type(sent, effects.Send)
            ):
                request_times_ms.append(now_ms)
        self.assertGreaterEqual(
            request_times_ms[0] - NOW_MS, register.ELECTION_MS
        )
        self.assertLessEqual(request_times_ms[1] - request_times_ms[0], 350)


class ReadinessTest(unittest.TestCase):
    def starting_gateway(self, *upstreams):
        """Build a gateway that must be ready 1.3 s after its start."""
        gw = builders.make_gateway(upstreams=upstreams, now_ms=NOW_MS)
        gw.discovery_deadline_ms = NOW_MS + 1300
        return gw

    def test_a_node_is_ready_when_no_more_upstreams_join(self):
        gw = self.starting_gateway(
            builders.make_announcement(),
            builders.make_plain_announcement("p1"),
        )
        self.assertFalse(gateway.is_ready(gw, NOW_MS + 100))
        self.assertTrue(gateway.is_ready(gw, NOW_MS + 300))

    def test_a_service_without_upstreams_delays_readiness(self):
        gw = self.starting_gateway(builders.make_announcement())
        self.assertFalse(gateway.is_ready(gw, NOW_MS + 1000))
        self.assertTrue(gateway.is_ready(gw, NOW_MS + 1300))

    def test_a_node_without_a_document_is_never_ready(self):
        gw = self.starting_gateway(
            builders.make_announcement(),
            builders.make_plain_announcement("p1"),
        )
        gw.doc = None
        self.assertFalse(gateway.is_ready(gw, NOW_MS + 5000))


class EmptyEnginesTest(unittest.TestCase):
    def empty_engine(self, upstream_id):
        """Build an engine without models but with local copies of two."""
        return builders.make_announcement(
            upstream_id, held=(), copies=("m0", "m1")
        )

    def test_a_lost_plan_is_sent_again_soon(self):
        table = presence.Table(1200)
        presence.record_announcement(table, self.empty_engine("u1"), NOW_MS)
        state = planner.Planner(
            "n1:1", table, planner.sharing.Loads(), placement.Demand()
        )
        planner.set_leading(state, True, NOW_MS)
        planner.record_model_request(
            state, planner.WantModel("engines", "m0"), NOW_MS
        )
        doc = builders.make_document()
        send_times_ms = [
            time_ms
            for time_ms in range(NOW_MS, NOW_MS + 400, 50)
            for effect in planner.review(state, doc, time_ms)
            if isinstance(effect, planner.SendResidencyRequest)
        ]
        self.assertLessEqual(send_times_ms[1] - send_times_ms[0], 100)
        self.assertLess(len(send_times_ms), 6)

    def test_a_call_waits_for_a_model_with_a_local_copy(self):
        """A load from the weight store would exceed the call's deadline."""
        slow = builders.make_model("m0", load_s=4.5)
        engine = builders.make_engine(specs={"m0": slow})
        gw = builders.make_gateway(
            builders.make_document(engine=engine),
            [self.empty_engine("u1")],
            NOW_MS,
        )
        prompt = builders.make_prompt(model="m0")
        request = builders.make_request(prompt=prompt, client_timeout_ms=2500)
        builders.submit(gw, 1, request, NOW_MS)
        effects_ = builders.tick(gw, NOW_MS + 1200)
        self.assertFalse(builders.of_type(effects_, calls.Refuse))


if __name__ == "__main__":
    unittest.main()
