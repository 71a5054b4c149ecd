import unittest

from bilberryramp.decisions.fleet import placement, sharing
from bilberryramp.decisions.fleet.tests import builders

NOW = 100_000


def use(demand, site, model, now_ms):
    key = sharing.short_key(site.upstream_id)
    placement.note_use(demand, key, model, now_ms)


class MakeRoomTest(unittest.TestCase):
    def test_a_copy_at_hand_goes_before_the_weight_store(self):
        sites = [
            builders.a_site("u1", ("m0",), copies=frozenset({"m0"})),
            builders.a_site("u2", ("m0",), copies=frozenset({"m0", "m1"})),
        ]
        demand = placement.Demand()
        move = placement.make_room(
            builders.an_engine(), sites, "m1", demand, NOW, True
        )
        self.assertEqual(move, placement.Move("u2", True, "m1"))

    def test_a_surplus_copy_gives_way_before_a_last_one(self):
        full = ("m0", "m1", "m2", "m3")
        sites = [builders.a_site("u1", full), builders.a_site("u2", ("m0",))]
        sites[1] = builders.a_site("u2", ("m0",), is_busy=True)
        demand = placement.Demand()
        move = placement.make_room(
            builders.an_engine(), sites, "m4", demand, NOW, True
        )
        self.assertEqual(move, placement.Move("u1", False, "m0"))

    def test_the_last_copy_of_a_model_in_use_stays(self):
        full = ("m0", "m1", "m2", "m3")
        site = builders.a_site("u1", full)
        demand = placement.Demand()
        for model in full:
            use(demand, site, model, NOW - 100)
        move = placement.make_room(
            builders.an_engine(), [site], "m4", demand, NOW, True
        )
        self.assertIsNone(move)

    def test_crowding_alone_never_takes_a_last_copy(self):
        full = ("m0", "m1", "m2", "m3")
        move = placement.make_room(
            builders.an_engine(),
            [builders.a_site("u1", full)],
            "m4",
            placement.Demand(),
            NOW,
            False,
        )
        self.assertIsNone(move)


class CrowdedTest(unittest.TestCase):
    def test_a_model_is_crowded_if_all_its_holders_are(self):
        busy = sharing.Load("u1", 5, 50_000, [0, 40_000, 0, 0])
        sites = [
            builders.a_site("u1", ("m0",), load=busy),
            builders.a_site("u2", ("m0", "m1")),
        ]
        demand = placement.Demand()
        for _ in range(5):
            placement.note_crowding(demand, sites)
        engine = builders.an_engine()
        self.assertEqual(placement.crowded(engine, demand, sites), [])
        for _ in range(5):
            placement.note_crowding(demand, sites[:1])
        self.assertEqual(placement.crowded(engine, demand, sites), ["m0"])
