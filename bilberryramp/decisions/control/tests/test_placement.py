import unittest
from unittest import mock

from bilberryramp.decisions.control import placement, placement_board
from bilberryramp.decisions.shared import commands
from bilberryramp.decisions.tests import builders


class PlacementTest(unittest.TestCase):
    def view(self, *upstreams, **route_changes):
        joins = [commands.JoinUpstream(u) for u in upstreams]
        wanted = builders.make_tables(builders.route(**route_changes))
        return builders.control_state_after(
            *joins, builders.submit(wanted=wanted)
        ).view

    def follow(self, view, resident=None):
        for change in list(placement.plan(view, resident or {})):
            builders.apply_to_view(view, change)
        return {
            upstream_id: [p.model for p in placed.replicas]
            for upstream_id, placed in view.placements.items()
        }

    def test_replicas_are_spread_over_failure_domains(self):
        ups = [
            builders.upstream("u1", failure_domain="a"),
            builders.upstream("u2", failure_domain="a", memory_mib=9000),
            builders.upstream("u3", failure_domain="b"),
        ]
        placed = self.follow(self.view(*ups, replicas=2))
        self.assertEqual(placed, {"u2": ["m1"], "u3": ["m1"]})

    def test_plan_is_stable(self):
        view = self.view(builders.upstream("u1"), builders.upstream("u2"))
        self.follow(view)
        self.assertEqual(list(placement.plan(view, {})), [])

    def test_make_before_break_on_a_leaving_upstream(self):
        view = self.view(builders.upstream("u1"))
        self.follow(view)
        builders.apply_to_view(
            view, commands.JoinUpstream(builders.upstream("u2"))
        )
        builders.apply_to_view(view, commands.DrainUpstream("u1"))
        both = self.follow(view)
        self.assertEqual(both, {"u1": ["m1"], "u2": ["m1"]})
        resident = {"u2": {"m1": builders.place()}}
        moved = self.follow(view, resident)
        self.assertEqual(moved, {"u1": [], "u2": ["m1"]})

    def test_returning_upstream_keeps_what_it_holds(self):
        ups = [builders.upstream("u1"), builders.upstream("u2")]
        held = builders.place(accelerators=(1,))
        placed = self.view(*ups)
        self.follow(placed, {"u2": {"m1": held}})
        self.assertEqual(placed.placements["u2"].replicas, (held,))

    def test_demand_beyond_the_memory_searches_each_engine_once(self):
        """Models that all want more must not hold up the leader."""
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
            *joins, builders.submit(wanted=wanted)
        ).view
        targets = {route.model: engines for route in routes}
        for change in list(placement.plan(view, {}, targets)):
            builders.apply_to_view(view, change)
        with mock.patch.object(
            placement_board,
            "_evictions_on",
            wraps=placement_board._evictions_on,
        ) as searched:
            self.assertEqual(list(placement.plan(view, {}, targets)), [])
        self.assertLessEqual(searched.call_count, 2 * engines)
