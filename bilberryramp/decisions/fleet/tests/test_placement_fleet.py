import unittest

from bilberryramp.decisions.fleet import keys, placement
from bilberryramp.decisions.fleet.tests import builders

NOW = 100_000


def asked(rates, now_ms=NOW):
    """Build demand in tokens a second by model, seen for a long time."""
    demand = placement.Demand(
        first_demand_ms=now_ms - 100 * placement.DEMAND_TIME_CONSTANT_MS
    )
    for model, tokens_per_s in rates.items():
        tokens = tokens_per_s * placement.DEMAND_TIME_CONSTANT_MS // 1000
        placement.record_demand(demand, keys.short_key(model), tokens, now_ms)
    return demand


def plan(
    sites, demand, awaited=(), store_loads=9, fill_free_memory=True, **engine
):
    moves = placement.plan_moves(
        builders.make_engine(**engine),
        sites,
        demand,
        frozenset(awaited),
        store_loads,
        NOW,
        fill_free_memory,
    )
    return builders.collect(moves)


class ShiftOfDemandTest(unittest.TestCase):
    """Replays demand that moves to a model with a single holder."""

    def sites(self):
        """Build six engines full of what was asked for before."""
        filling = ("m0", "m1", "m2")
        return [builders.make_engine_state("u0", ("m3", *filling))] + [
            builders.make_engine_state(f"u{i}", ("m4", *filling))
            for i in range(1, 6)
        ]

    def test_copies_come_at_once_at_several_engines(self):
        """One copy after another, each loaded for seconds, is too slow."""
        moves = plan(self.sites(), asked({"m3": 100_000}))
        self.assertEqual({move.model for move in moves}, {"m3"})
        self.assertGreaterEqual(len(moves), 3)
        self.assertEqual(len({move.upstream_id for move in moves}), len(moves))

    def test_demand_that_was_refused_counts_too(self):
        gw = builders.make_gateway()
        prompt = builders.make_prompt(tokens_in=9000, model="m3")
        for call_id in range(9):
            request = builders.make_request(prompt=prompt)
            builders.submit(gw, call_id, request)
        builders.tick(gw, 10_200)
        demand_rate = placement.demand_rate(gw.demand, "m3", 10_200)
        self.assertGreater(demand_rate, 9 * 9000 * 0.9 / 3)

    def test_demand_is_known_soon_after_a_start(self):
        demand = placement.Demand()
        key = keys.short_key("m3")
        for at_ms in range(NOW, NOW + 1000, 100):
            placement.record_demand(demand, key, 5000, at_ms)
        found = placement.demand_rate(demand, "m3", NOW + 1000)
        self.assertAlmostEqual(found, 50_000, delta=10_000)

    def test_old_demand_is_forgotten(self):
        """Replays a model that stayed crowded for ever once it was gone."""
        demand = asked({"m3": 100_000}, NOW - 20_000)
        self.assertEqual(plan(self.sites(), demand), [])

    def test_copies_that_are_on_their_way_count(self):
        sites = self.sites()
        demand = asked({"m3": 9000})
        first = plan(sites, demand)
        self.assertEqual(len(first), 1)
        moved = first[0].upstream_id
        sites = [
            builders.make_engine_state(
                s.upstream_id, tuple(s.models), loading="m3"
            )
            if s.upstream_id == moved
            else s
            for s in sites
        ]
        self.assertEqual(plan(sites, demand), [])

    def test_even_demand_leaves_all_as_it_is(self):
        models = ("m0", "m1", "m2", "m3", "m4")
        rates = dict.fromkeys(models, 20_000)
        sites = [
            builders.make_engine_state(f"u{i}", models[i % 2 : i % 2 + 4])
            for i in range(6)
        ]
        self.assertEqual(plan(sites, asked(rates)), [])

    def test_the_weight_store_bounds_new_copies(self):
        moves = plan(self.sites(), asked({"m3": 100_000}), store_loads=2)
        self.assertEqual(len(moves), 2)

    def test_copies_from_before_the_first_call_stay(self):
        """Replays a planner that had given them up when traffic began."""
        sites = [
            builders.make_engine_state(f"u{i}", ("m0", "m1", "m2", "m3"))
            for i in range(4)
        ]
        self.assertEqual(plan(sites, placement.Demand()), [])

    def test_a_copy_is_worth_more_where_the_others_have_too_much(self):
        """Twice what two engines can read outweighs four last copies."""
        sites = [
            builders.make_engine_state(f"u{i}", ("m3",)) for i in range(2)
        ]
        full = [f"m{i}" for i in range(10, 22)]
        sites += [
            builders.make_engine_state(f"v{i}", tuple(full[4 * i : 4 * i + 4]))
            for i in range(3)
        ]
        moves = plan(sites, asked({"m3": 150_000}), models=("m3", *full))
        self.assertGreaterEqual(
            len([m for m in moves if m.upstream_id.startswith("v")]), 2
        )


class RareModelTest(unittest.TestCase):
    """Replays models without a holder that are asked for."""

    def test_a_copy_at_hand_goes_before_the_weight_store(self):
        full = ("m0", "m1", "m2", "m3")
        at_hand = frozenset({*full, "m4"})
        sites = [
            builders.make_engine_state("u1", ("m0",)),
            builders.make_engine_state("u2", full, local_models=at_hand),
            builders.make_engine_state("u3", full),
        ]
        (move, *_) = plan(sites, placement.Demand(), {"m4"})
        self.assertEqual((move.upstream_id, move.from_store), ("u2", False))
        self.assertEqual(len(move.victims), 1)

    def test_a_surplus_copy_gives_way_before_a_last_one(self):
        full = ("m0", "m1", "m2", "m3")
        sites = [
            builders.make_engine_state("u1", full),
            builders.make_engine_state("u2", ("m0",), loading="m0"),
        ]
        (move,) = plan(sites, placement.Demand(), {"m4"})
        self.assertEqual(move.victims, ("m0",))

    def test_the_few_copies_of_busy_models_stay(self):
        full = ("m0", "m1", "m2", "m3")
        demand = asked(dict.fromkeys(full, 60_000))
        sites = [builders.make_engine_state("u1", full)]
        self.assertEqual(plan(sites, demand, {"m4"}), [])

    def test_an_absent_model_takes_free_memory_only(self):
        full = ("m0", "m1", "m2", "m3")
        sites = [builders.make_engine_state("u1", full)]
        self.assertEqual(plan(sites, placement.Demand()), [])
        sites.append(builders.make_engine_state("u2", ("m0",)))
        (move,) = plan(sites, placement.Demand())
        self.assertEqual((move.model, move.victims), ("m4", ()))

    def test_empty_engines_wait_for_demand_after_a_restart(self):
        """They took models for nobody while calls waited for others."""
        sites = [builders.make_engine_state(f"u{i}", ()) for i in range(3)]
        self.assertEqual(
            plan(sites, placement.Demand(), fill_free_memory=False), []
        )
        moves = plan(sites, placement.Demand(), {"m4"})
        self.assertEqual([move.model for move in moves], ["m4"])

    def test_several_give_way_to_a_large_one(self):
        small = ("m0", "m1", "m2")
        sites = [builders.make_engine_state("u1", small)]
        (move,) = plan(
            sites,
            placement.Demand(),
            {"m9"},
            models=small,
            specs={"m9": builders.make_model("m9", 120_000.0)},
        )
        self.assertEqual(len(move.victims), 2)


if __name__ == "__main__":
    unittest.main()
