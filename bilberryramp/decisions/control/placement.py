"""Which replicas each upstream should hold.

`plan` compares the view with tables and demand and yields the changes
still needed. It keeps what is placed, makes a new replica before it breaks
an old one, and never exceeds an accelerator's memory. Memory that nobody
needs holds spare replicas, which give way when it is needed.
"""

import dataclasses
import types
from collections.abc import Iterator, Mapping

from bilberryramp.decisions.control import placement_board, placement_surplus
from bilberryramp.decisions.shared import commands, tables, views

__all__ = ["Shortfall", "plan", "shortfalls"]


@dataclasses.dataclass(slots=True, frozen=True)
class Shortfall:
    """A replica that fits nowhere.

    Attributes
    ----------
    route
        The route whose model lacks a place.
    accelerators, memory_mib
        How many accelerators it needs, and MiB on each.
    free_mib
        The most memory any accelerator of the service has free, in MiB.
    """

    route: tables.Route
    accelerators: int
    memory_mib: int
    free_mib: int


def plan(
    view: views.View,
    resident: placement_board.Resident,
    targets: Mapping[str, int] = types.MappingProxyType({}),
    spares: int = 0,
) -> Iterator[commands.PlaceReplicas]:
    """Yield the placement changes that tables and demand call for.

    Parameters
    ----------
    view
        The view in force.
    resident
        Replicas confirmed resident, by upstream id and model; a replica
        on an upstream that leaves, or a spare one, is given up only while
        enough others are resident elsewhere.
    targets
        Replicas wanted by model, where that is more than the route's.
    spares
        Most spare replicas that one plan adds to memory left over.

    Yields
    ------
    PlaceReplicas
        At most one for each upstream.
    """
    board = placement_board.make(view, resident)
    _drop_unrouted(board, view.tables)
    routes = _largest_first(view.tables)
    wanted = {
        r.model: max(r.replicas, targets.get(r.model, 0)) for r in routes
    }
    for route in routes:
        _leave(board, route, wanted[route.model])
    surplus = placement_surplus.start(board, routes, wanted)
    # Every model gets its least before demand gets more.
    for route in routes:
        _fill(surplus, route, route.replicas)
    for route in routes:
        _fill(surplus, route, wanted[route.model])
    _add_spares(board, routes, wanted, spares)
    yield from _changes(board, view)


def shortfalls(view: views.View, wanted: tables.Tables) -> Iterator[Shortfall]:
    """Find the routes of new tables whose model would have no place.

    Parameters
    ----------
    view
        The view in force, with its upstreams and placements.
    wanted
        The tables being submitted.

    Yields
    ------
    Shortfall
        One for each model without room for a single replica.
    """
    board = placement_board.make(view, {})
    _drop_unrouted(board, wanted)
    routes = _largest_first(wanted)
    least = {route.model: 1 for route in routes}
    surplus = placement_surplus.start(board, routes, least)
    for route in routes:
        _fill(surplus, route, 1)
        if not placement_board.holders(board, route):
            free_mib = placement_board.most_free_mib(board, route.service)
            yield Shortfall(
                route, route.accelerators, route.memory_mib, free_mib
            )


def _drop_unrouted(board, wanted: tables.Tables) -> None:
    routed = {
        (route.service, route.model, route.memory_mib, route.accelerators)
        for route in wanted.routes
    }
    for upstream_id, places in board.places.items():
        service = board.upstreams[upstream_id].service
        for place in list(places.values()):
            shape = (place.memory_mib, len(place.accelerators))
            if (service, place.model, *shape) not in routed:
                placement_board.take(board, upstream_id, place.model)


def _largest_first(wanted: tables.Tables) -> list[tables.Route]:
    routes = (r for r in wanted.routes if r.kind == tables.RouteKind.MODEL)
    return sorted(
        routes, key=lambda r: (-r.accelerators * r.memory_mib, r.name)
    )


def _leave(board, route: tables.Route, wanted: int) -> None:
    """Give up replicas on leaving upstreams once others are resident."""
    leaving = [
        upstream_id
        for upstream_id in board.held_by.get(route.model, ())
        if board.upstreams[upstream_id].leaving
    ]
    if leaving and len(placement_surplus.ready(board, route)) >= wanted:
        for upstream_id in leaving:
            placement_board.take(board, upstream_id, route.model)


def _fill(surplus, route: tables.Route, target: int) -> None:
    board = surplus.board
    while len(placement_board.holders(board, route)) < target:
        place = placement_board.room_for(board, route)
        if place is not None:
            placement_surplus.put(surplus, *place)
        elif not placement_surplus.make_room(surplus, route):
            return


def _add_spares(board, routes, wanted, most: int) -> None:
    """Fill memory left over, the models with the fewest replicas first."""
    while most > 0:
        before = most
        counts = {
            r.name: len(placement_board.holders(board, r)) / wanted[r.model]
            for r in routes
        }
        fewest = min(counts.values(), default=0)
        for route in routes:
            if most > 0 and counts[route.name] <= fewest + 1:
                place = placement_board.room_for(board, route)
                if place is not None:
                    placement_board.put(board, *place)
                    most -= 1
        if most == before:
            return


def _changes(board, view: views.View) -> Iterator[commands.PlaceReplicas]:
    for upstream_id, places in sorted(board.places.items()):
        wanted = tuple(places[model] for model in sorted(places))
        current = view.placements.get(upstream_id, views.Placement(0))
        if set(wanted) != set(current.replicas):
            yield commands.PlaceReplicas(upstream_id, wanted)
