import unittest
from unittest import mock

from bilberryramp.decisions.control import placement, placement_state
from bilberryramp.decisions.shared import commands
from bilberryramp.decisions.tests import builders


class PlacementTest(unittest.TestCase):
    def view(self, *upstreams, **route_changes):
        joins = [commands.JoinUpstream(u) for u in upstreams]
        wanted = builders.make_tables(builders.route(**route_changes))
        return builders.control_state_after(
            *joins, builders.submit(new_tables=wanted)
        ).view

    def apply_plan(self, view, resident=None):
        for change in list(placement.plan(view, resident or {})):
            builders.apply_to_view(view, change)
        return {
            upstream_id: [p.model for p in placed.replicas]
            for upstream_id, placed in view.placements.items()
        }

    def test_replicas_are_spread_over_failure_domains(self):
        upstreams = [
            builders.upstream("u1", failure_domain="a"),
            builders.upstream("u2", failure_domain="a", memory_mib=9000),
            builders.upstream("u3", failure_domain="b"),
        ]
        placed = self.apply_plan(self.view(*upstreams, replicas=2))
        self.assertEqual(placed, {"u2": ["m1"], "u3": ["m1"]})

    def test_repeated_plan_changes_nothing(self):
        view = self.view(builders.upstream("u1"), builders.upstream("u2"))
        self.apply_plan(view)
        self.assertEqual(list(placement.plan(view, {})), [])

    def test_replica_leaves_a_draining_upstream_after_its_replacement_loads(
        self,
    ):
        view = self.view(builders.upstream("u1"))
        self.apply_plan(view)
        builders.apply_to_view(
            view, commands.JoinUpstream(builders.upstream("u2"))
        )
        builders.apply_to_view(view, commands.DrainUpstream("u1"))
        placed_on_both = self.apply_plan(view)
        self.assertEqual(placed_on_both, {"u1": ["m1"], "u2": ["m1"]})
        resident = {"u2": {"m1": builders.place()}}
        moved = self.apply_plan(view, resident)
        self.assertEqual(moved, {"u1": [], "u2": ["m1"]})

    def test_resident_replica_is_kept_in_place(self):
        upstreams = [builders.upstream("u1"), builders.upstream("u2")]
        resident_replica = builders.place(accelerators=(1,))
        view = self.view(*upstreams)
        self.apply_plan(view, {"u2": {"m1": resident_replica}})
        self.assertEqual(view.placements["u2"].replicas, (resident_replica,))

    def test_excess_demand_searches_each_engine_once_per_shape(self):
        """Guard against a plan that blocks the leader for too long.

        The number of searches for replicas to evict must stay limited when
        the targets of all models exceed the memory.
        """
        engines, models = 10, 20
        joins = [
            commands.JoinUpstream(builders.upstream(f"u{n}", memory_mib=8000))
            for n in range(engines)
        ]
        routes = [
            builders.route(f"m{n}", memory_mib=1000, replicas=1)
            for n in range(models)
        ]
        wanted = builders.make_tables(*routes)
        view = builders.control_state_after(
            *joins, builders.submit(new_tables=wanted)
        ).view
        targets = {route.model: engines for route in routes}
        for change in list(placement.plan(view, {}, targets)):
            builders.apply_to_view(view, change)
        with mock.patch.object(
            placement_state,
            "_evictions_for",
            wraps=placement_state._evictions_for,
        ) as search:
            self.assertEqual(list(placement.plan(view, {}, targets)), [])
        self.assertLessEqual(search.call_count, 2 * engines)
