"""Placement of model replicas on upstreams.

`plan` compares the current placement with the tables and the demand and
yields the changes that are still needed. It keeps existing replicas where
they are, adds a replacement before it removes a replica, and never exceeds
an accelerator's memory. Unused memory is filled with spare replicas, which
exceed the wanted number and are evicted when the memory is needed.
"""

import dataclasses
import types
from collections.abc import Iterator, Mapping

from bilberryramp.decisions.control import placement_state, placement_surplus
from bilberryramp.decisions.shared import commands, tables, views

__all__ = ["Shortfall", "plan", "shortfalls"]


@dataclasses.dataclass(slots=True, frozen=True)
class Shortfall:
    """A replica for which no upstream has enough memory.

    Attributes
    ----------
    route
        The route whose model cannot be placed.
    accelerators, memory_mib
        Number of accelerators that a replica needs, and MiB on each.
    free_mib
        Largest free memory of any accelerator of the service, in MiB.
    """

    route: tables.Route
    accelerators: int
    memory_mib: int
    free_mib: int


def plan(
    view: views.View,
    resident: placement_state.Resident,
    targets: Mapping[str, int] = types.MappingProxyType({}),
    max_spares: int = 0,
) -> Iterator[commands.PlaceReplicas]:
    """Yield the placement changes that the tables and the demand require.

    Parameters
    ----------
    view
        The leader's current view.
    resident
        Replicas confirmed resident, by upstream id and model. A spare
        replica, or one on a leaving upstream, is removed only while enough
        replicas are resident elsewhere.
    targets
        Target number of replicas by model; the route's number applies if
        it is larger.
    max_spares
        Maximum number of spare replicas that one plan adds in unused
        memory.

    Yields
    ------
    PlaceReplicas
        The new set of replicas of an upstream; at most one per upstream.
    """
    state = placement_state.new_state(view, resident)
    _remove_unrouted(state, view.tables)
    routes = _largest_first(view.tables)
    wanted_counts = {
        r.model: max(r.replicas, targets.get(r.model, 0)) for r in routes
    }
    for route in routes:
        _vacate_leaving(state, route, wanted_counts[route.model])
    surplus = placement_surplus.new_surplus(state, routes, wanted_counts)
    # Every model gets the minimum of its route before any gets more.
    for route in routes:
        _add_replicas(surplus, route, route.replicas)
    for route in routes:
        _add_replicas(surplus, route, wanted_counts[route.model])
    _add_spares(state, routes, wanted_counts, max_spares)
    yield from _placement_changes(state, view)


def shortfalls(
    view: views.View, new_tables: tables.Tables
) -> Iterator[Shortfall]:
    """Yield the routes of submitted tables whose model cannot be placed.

    Parameters
    ----------
    view
        The current view, with its upstreams and placements.
    new_tables
        The tables being submitted.

    Yields
    ------
    Shortfall
        One for each model for which not even one replica fits.
    """
    state = placement_state.new_state(view, {})
    _remove_unrouted(state, new_tables)
    routes = _largest_first(new_tables)
    minimum_counts = {route.model: 1 for route in routes}
    surplus = placement_surplus.new_surplus(state, routes, minimum_counts)
    for route in routes:
        _add_replicas(surplus, route, 1)
        if not placement_state.holders(state, route):
            free_mib = placement_state.max_free_mib(state, route.service)
            yield Shortfall(
                route, route.accelerators, route.memory_mib, free_mib
            )


def _remove_unrouted(state, target_tables: tables.Tables) -> None:
    """Remove replicas whose model, accelerators and memory match no route."""
    routed = {
        (route.service, route.model, route.memory_mib, route.accelerators)
        for route in target_tables.routes
    }
    for upstream_id, places in state.places.items():
        service = state.upstreams[upstream_id].service
        for place in list(places.values()):
            shape = (place.memory_mib, len(place.accelerators))
            if (service, place.model, *shape) not in routed:
                placement_state.remove_replica(state, upstream_id, place.model)


def _largest_first(target_tables: tables.Tables) -> list[tables.Route]:
    """Return the model routes by memory of a replica, largest first."""
    routes = (
        r for r in target_tables.routes if r.kind == tables.RouteKind.MODEL
    )
    return sorted(
        routes, key=lambda r: (-r.accelerators * r.memory_mib, r.name)
    )


def _vacate_leaving(state, route: tables.Route, wanted_count: int) -> None:
    """Remove replicas from leaving upstreams if enough others are resident."""
    leaving = [
        upstream_id
        for upstream_id in state.holders_by_model.get(route.model, ())
        if state.upstreams[upstream_id].leaving
    ]
    if (
        leaving
        and len(placement_surplus.resident_holders(state, route))
        >= wanted_count
    ):
        for upstream_id in leaving:
            placement_state.remove_replica(state, upstream_id, route.model)


def _add_replicas(surplus, route: tables.Route, target: int) -> None:
    state = surplus.state
    while len(placement_state.holders(state, route)) < target:
        place = placement_state.find_place(state, route)
        if place is not None:
            placement_surplus.add_replica(surplus, *place)
        elif not placement_surplus.evict_for(surplus, route):
            return


def _add_spares(state, routes, wanted_counts, remaining: int) -> None:
    """Add up to `remaining` spare replicas in unused memory.

    Models with the fewest replicas in proportion to the wanted number come
    first.
    """
    while remaining > 0:
        remaining_before = remaining
        counts = {
            r.name: len(placement_state.holders(state, r))
            / wanted_counts[r.model]
            for r in routes
        }
        fewest = min(counts.values(), default=0)
        for route in routes:
            if remaining > 0 and counts[route.name] <= fewest + 1:
                place = placement_state.find_place(state, route)
                if place is not None:
                    placement_state.add_replica(state, *place)
                    remaining -= 1
        if remaining == remaining_before:
            return


def _placement_changes(
    state, view: views.View
) -> Iterator[commands.PlaceReplicas]:
    for upstream_id, places in sorted(state.places.items()):
        planned = tuple(places[model] for model in sorted(places))
        current = view.placements.get(upstream_id, views.Placement(0))
        if set(planned) != set(current.replicas):
            yield commands.PlaceReplicas(upstream_id, planned)
