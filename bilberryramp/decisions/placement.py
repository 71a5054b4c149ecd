"""Which replicas each upstream should hold.

`plan` compares the view with the tables and yields the changes still
needed. It keeps what is placed, makes a new replica before it breaks an
old one, and never exceeds an accelerator's memory.
"""

import dataclasses
from collections.abc import Iterator, Mapping

from bilberryramp.decisions import commands, ledger, tables, views

__all__ = ["Resident", "Shortfall", "plan", "shortfalls"]

Resident = Mapping[str, Mapping[str, views.ReplicaPlace]]


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


@dataclasses.dataclass(slots=True)
class _Board:
    """Replicas by upstream while a plan is being made."""

    upstreams: dict[str, views.Upstream]
    places: dict[str, dict[str, views.ReplicaPlace]]
    resident: Resident


def plan(
    view: views.View,
    resident: Resident,
) -> Iterator[commands.PlaceReplicas]:
    """Yield the placement changes that the tables call for.

    Parameters
    ----------
    view
        The view in force.
    resident
        Replicas confirmed resident, by upstream id and model; a replica
        on an upstream that leaves is given up only once enough others are
        resident elsewhere.

    Yields
    ------
    PlaceReplicas
        At most one for each upstream.
    """
    board = _board_of(view, resident)
    _drop_unrouted(board, view.tables)
    for route in _largest_first(view.tables):
        _fill(board, route)
        _retire_surplus(board, route)
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
    board = _board_of(view, {})
    _drop_unrouted(board, wanted)
    for route in _largest_first(wanted):
        _fill(board, route, most=1)
        if not _holders(board, route):
            yield _shortfall(board, route)


def _board_of(view: views.View, resident: Resident) -> _Board:
    places = {
        upstream_id: {
            replica.model: replica
            for replica in view.placements.get(
                upstream_id, views.Placement(0)
            ).replicas
        }
        for upstream_id in view.upstreams
    }
    return _Board(view.upstreams, places, resident)


def _drop_unrouted(board: _Board, wanted: tables.Tables) -> None:
    routed = {
        (route.service, route.model, route.memory_mib, route.accelerators)
        for route in wanted.routes
    }
    for upstream_id, places in board.places.items():
        service = board.upstreams[upstream_id].service
        for place in list(places.values()):
            shape = (place.memory_mib, len(place.accelerators))
            if (service, place.model, *shape) not in routed:
                del places[place.model]


def _largest_first(wanted: tables.Tables) -> list[tables.Route]:
    routes = (r for r in wanted.routes if r.kind == tables.RouteKind.MODEL)
    return sorted(
        routes, key=lambda r: (-r.accelerators * r.memory_mib, r.name)
    )


def _holders(board: _Board, route: tables.Route) -> list[str]:
    return [
        upstream_id
        for upstream_id, places in sorted(board.places.items())
        if route.model in places and not board.upstreams[upstream_id].leaving
    ]


def _fill(board: _Board, route: tables.Route, most: int = 0) -> None:
    target = most or route.replicas
    while len(_holders(board, route)) < target:
        place = _best_place(board, route)
        if place is None:
            return
        upstream_id, replica = place
        board.places[upstream_id][route.model] = replica


def _best_place(board: _Board, route: tables.Route):
    taken = {
        board.upstreams[upstream_id].failure_domain
        for upstream_id in _holders(board, route)
    }
    options = [
        option
        for upstream_id in sorted(board.upstreams)
        if (option := _room_on(board, upstream_id, route)) is not None
    ]

    def rank(option):
        upstream_id, replica, free = option
        domain = board.upstreams[upstream_id].failure_domain
        moves = replica != board.resident.get(upstream_id, {}).get(route.model)
        return (moves, domain in taken, -free, upstream_id)

    if not options:
        return None
    upstream_id, replica, _ = min(options, key=rank)
    return upstream_id, replica


def _room_on(board: _Board, upstream_id: str, route: tables.Route):
    upstream = board.upstreams[upstream_id]
    places = board.places[upstream_id]
    usable = (
        upstream.service == route.service
        and upstream.kind == views.UpstreamKind.ENGINE
        and not upstream.leaving
        and route.model not in places
    )
    if not usable:
        return None
    free = ledger.free_mib(
        upstream.accelerators, upstream.memory_mib, places.values()
    )
    held = board.resident.get(upstream_id, {}).get(route.model)
    if held is not None and _still_fits(held, route, free):
        return upstream_id, held, sum(free)
    order = sorted(range(len(free)), key=lambda n: (-free[n], n))
    chosen = order[: route.accelerators]
    if len(chosen) < route.accelerators:
        return None
    if any(free[n] < route.memory_mib for n in chosen):
        return None
    numbers = tuple(sorted(chosen))
    replica = views.ReplicaPlace(route.model, numbers, route.memory_mib)
    return upstream_id, replica, sum(free)


def _still_fits(held: views.ReplicaPlace, route, free: list[int]) -> bool:
    shape = (len(held.accelerators), held.memory_mib)
    if shape != (route.accelerators, route.memory_mib):
        return False
    return all(free[n] >= held.memory_mib for n in held.accelerators)


def _retire_surplus(board: _Board, route) -> None:
    leaving = [
        upstream_id
        for upstream_id, places in board.places.items()
        if route.model in places and board.upstreams[upstream_id].leaving
    ]
    staying = _holders(board, route)
    ready = [u for u in staying if route.model in board.resident.get(u, ())]
    if len(ready) >= route.replicas:
        for upstream_id in leaving:
            del board.places[upstream_id][route.model]
    spare = len(staying) - route.replicas
    for upstream_id in reversed(ready[route.replicas :]):
        if spare > 0:
            del board.places[upstream_id][route.model]
            spare -= 1


def _shortfall(board: _Board, route: tables.Route) -> Shortfall:
    free = [
        amount
        for upstream_id, upstream in board.upstreams.items()
        if upstream.service == route.service and not upstream.leaving
        for amount in ledger.free_mib(
            upstream.accelerators,
            upstream.memory_mib,
            board.places[upstream_id].values(),
        )
    ]
    most = max(free, default=0)
    return Shortfall(route, route.accelerators, route.memory_mib, most)


def _changes(board: _Board, view) -> Iterator[commands.PlaceReplicas]:
    for upstream_id, places in sorted(board.places.items()):
        wanted = tuple(places[model] for model in sorted(places))
        current = view.placements.get(upstream_id, views.Placement(0))
        if set(wanted) != set(current.replicas):
            yield commands.PlaceReplicas(upstream_id, wanted)
