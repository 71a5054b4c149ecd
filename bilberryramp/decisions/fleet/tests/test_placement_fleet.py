"""Tests of the placement of models on engines."""

import dataclasses
import unittest

from bilberryramp.decisions.fleet.core import keys
from bilberryramp.decisions.fleet.orders import placement
from bilberryramp.decisions.fleet.tests import builders

NOW_MS = 100_000


def make_demand(rates, now_ms=NOW_MS):
    """Build demand in tokens per second by model, observed for a long time."""
    demand = placement.Demand(
        first_demand_ms=now_ms - 100 * placement.DEMAND_TIME_CONSTANT_MS
    )
    for model, tokens_per_s in rates.items():
        tokens = tokens_per_s * placement.DEMAND_TIME_CONSTANT_MS // 1000
        placement.record_demand(demand, keys.short_key(model), tokens, now_ms)
    return demand


def plan(
    states,
    demand,
    awaited=(),
    allowed_store_loads=9,
    fill_free_memory=True,
    **engine,
):
    moves = placement.plan_moves(
        builders.make_engine(**engine),
        states,
        demand,
        frozenset(awaited),
        allowed_store_loads,
        NOW_MS,
        fill_free_memory,
    )
    return builders.collect(moves)


class DemandShiftTest(unittest.TestCase):
    """Tests with demand that shifts to a model with a single copy."""

    def engine_states(self):
        """Build six engines with full memory, one of which holds ``m3``."""
        filling = ("m0", "m1", "m2")
        return [builders.make_engine_state("u0", ("m3", *filling))] + [
            builders.make_engine_state(f"u{i}", ("m4", *filling))
            for i in range(1, 6)
        ]

    def test_an_engine_whose_orders_cannot_arrive_gets_no_move(self):
        """A move to such an engine stayed pending for seconds."""
        states = [
            dataclasses.replace(state, is_orderable=False)
            for state in self.engine_states()
        ]
        self.assertEqual(plan(states, make_demand({"m3": 60_000})), [])

    def test_copies_are_loaded_at_several_engines_at_once(self):
        """Loading copies one by one, seconds each, would take too long."""
        moves = plan(self.engine_states(), make_demand({"m3": 100_000}))
        self.assertEqual({move.model for move in moves}, {"m3"})
        self.assertGreaterEqual(len(moves), 3)
        self.assertEqual(len({move.upstream_id for move in moves}), len(moves))

    def test_refused_calls_count_as_demand(self):
        gw = builders.make_gateway()
        prompt = builders.make_prompt(tokens_in=9000, model="m3")
        for call_id in range(9):
            request = builders.make_request(prompt=prompt)
            builders.submit(gw, call_id, request)
        builders.tick(gw, 10_200)
        demand_rate = placement.demand_rate(gw.demand, "m3", 10_200)
        self.assertGreater(demand_rate, 9 * 9000 * 0.9 / 3)

    def test_demand_is_estimated_within_a_second(self):
        demand = placement.Demand()
        key = keys.short_key("m3")
        for at_ms in range(NOW_MS, NOW_MS + 1000, 100):
            placement.record_demand(demand, key, 5000, at_ms)
        rate = placement.demand_rate(demand, "m3", NOW_MS + 1000)
        self.assertAlmostEqual(rate, 50_000, delta=10_000)

    def test_old_demand_causes_no_moves(self):
        """Guard against demand that never decays.

        A model stayed overloaded in the plan after its traffic had ended.
        """
        demand = make_demand({"m3": 100_000}, NOW_MS - 20_000)
        self.assertEqual(plan(self.engine_states(), demand), [])

    def test_copies_being_loaded_are_counted(self):
        states = self.engine_states()
        demand = make_demand({"m3": 9000})
        first = plan(states, demand)
        self.assertEqual(len(first), 1)
        loading_id = first[0].upstream_id
        states = [
            builders.make_engine_state(
                s.upstream_id, tuple(s.models), loading="m3"
            )
            if s.upstream_id == loading_id
            else s
            for s in states
        ]
        self.assertEqual(plan(states, demand), [])

    def test_uniform_demand_causes_no_moves(self):
        models = ("m0", "m1", "m2", "m3", "m4")
        rates = dict.fromkeys(models, 20_000)
        states = [
            builders.make_engine_state(f"u{i}", models[i % 2 : i % 2 + 4])
            for i in range(6)
        ]
        self.assertEqual(plan(states, make_demand(rates)), [])

    def test_weight_store_limit_bounds_moves(self):
        moves = plan(
            self.engine_states(),
            make_demand({"m3": 100_000}),
            allowed_store_loads=2,
        )
        self.assertEqual(len(moves), 2)

    def test_copies_are_kept_without_demand(self):
        """Guard against evictions before the first call.

        The planner evicted copies that were needed when traffic started.
        """
        states = [
            builders.make_engine_state(f"u{i}", ("m0", "m1", "m2", "m3"))
            for i in range(4)
        ]
        self.assertEqual(plan(states, placement.Demand()), [])

    def test_overloaded_copies_raise_value_of_another_copy(self):
        """Demand of twice what two engines can read outweighs last copies.

        Each of the other engines holds the last copies of four models.
        """
        states = [
            builders.make_engine_state(f"u{i}", ("m3",)) for i in range(2)
        ]
        full = [f"m{i}" for i in range(10, 22)]
        states += [
            builders.make_engine_state(f"v{i}", tuple(full[4 * i : 4 * i + 4]))
            for i in range(3)
        ]
        moves = plan(
            states, make_demand({"m3": 150_000}), models=("m3", *full)
        )
        self.assertGreaterEqual(
            len([m for m in moves if m.upstream_id.startswith("v")]), 2
        )


class AbsentModelTest(unittest.TestCase):
    """Tests with requested models that no engine holds."""

    def test_local_copy_is_preferred_to_weight_store(self):
        full = ("m0", "m1", "m2", "m3")
        stored_locally = frozenset({*full, "m4"})
        states = [
            builders.make_engine_state("u1", ("m0",)),
            builders.make_engine_state(
                "u2", full, local_models=stored_locally
            ),
            builders.make_engine_state("u3", full),
        ]
        (move, *_) = plan(states, placement.Demand(), {"m4"})
        self.assertEqual((move.upstream_id, move.from_store), ("u2", False))
        self.assertEqual(len(move.victims), 1)

    def test_surplus_copy_is_evicted_before_last_copy(self):
        full = ("m0", "m1", "m2", "m3")
        states = [
            builders.make_engine_state("u1", full),
            builders.make_engine_state("u2", ("m0",), loading="m0"),
        ]
        (move,) = plan(states, placement.Demand(), {"m4"})
        self.assertEqual(move.victims, ("m0",))

    def test_last_copies_of_busy_models_are_kept(self):
        full = ("m0", "m1", "m2", "m3")
        demand = make_demand(dict.fromkeys(full, 60_000))
        states = [builders.make_engine_state("u1", full)]
        self.assertEqual(plan(states, demand, {"m4"}), [])

    def test_unrequested_model_is_loaded_into_free_memory_only(self):
        full = ("m0", "m1", "m2", "m3")
        states = [builders.make_engine_state("u1", full)]
        self.assertEqual(plan(states, placement.Demand()), [])
        states.append(builders.make_engine_state("u2", ("m0",)))
        (move,) = plan(states, placement.Demand())
        self.assertEqual((move.model, move.victims), ("m4", ()))

    def test_empty_engines_stay_empty_until_demand_is_known(self):
        """Guard against unrequested loads after a restart of all nodes.

        Engines loaded unrequested models while calls waited for others.
        """
        states = [builders.make_engine_state(f"u{i}", ()) for i in range(3)]
        self.assertEqual(
            plan(states, placement.Demand(), fill_free_memory=False), []
        )
        moves = plan(states, placement.Demand(), {"m4"})
        self.assertEqual([move.model for move in moves], ["m4"])

    def test_several_models_are_evicted_for_a_large_one(self):
        small = ("m0", "m1", "m2")
        states = [builders.make_engine_state("u1", small)]
        (move,) = plan(
            states,
            placement.Demand(),
            {"m9"},
            models=small,
            specs={"m9": builders.make_model("m9", 120_000.0)},
        )
        self.assertEqual(len(move.victims), 2)


if __name__ == "__main__":
    unittest.main()
