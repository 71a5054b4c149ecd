"""Which replicas each upstream should hold.

`plan` compares the view with the tables and yields the changes still
needed. It keeps what is placed, makes a new replica before it breaks an
old one, and never exceeds an accelerator's memory.
"""

import bisect
import dataclasses
import types
from collections.abc import Iterator, Mapping

from bilberryramp.decisions import commands, tables, views

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
    """Replicas by upstream while a plan is being made.

    Attributes
    ----------
    places
        Replicas by upstream id and model.
    free
        Unpromised MiB of each accelerator, by upstream id.
    holders
        Ids of the upstreams that hold a model.
    emptiest
        For each service its engines in service, as negated total of free
        MiB and id, in ascending order: the emptiest come first.
    resident_at
        Ids of the upstreams where a model is resident already.
    """

    upstreams: dict[str, views.Upstream]
    resident: Resident
    places: dict[str, dict[str, views.ReplicaPlace]]
    free: dict[str, list[int]]
    holders: dict[str, set[str]]
    emptiest: dict[str, list[tuple[int, str]]]
    resident_at: dict[str, list[str]]


def plan(
    view: views.View,
    resident: Resident,
    targets: Mapping[str, int] = types.MappingProxyType({}),
) -> Iterator[commands.PlaceReplicas]:
    """Yield the placement changes that tables and demand call for.

    Parameters
    ----------
    view
        The view in force.
    resident
        Replicas confirmed resident, by upstream id and model; a replica
        on an upstream that leaves is given up only once enough others are
        resident elsewhere.
    targets
        Replicas wanted by model, where that is more than the route's.

    Yields
    ------
    PlaceReplicas
        At most one for each upstream.
    """
    board = _board_of(view, resident)
    _drop_unrouted(board, view.tables)
    routes = _largest_first(view.tables)
    for route in routes:
        _retire_surplus(board, route, targets.get(route.model, 0))
    # Every model gets its least before demand gets more.
    for route in routes:
        _fill(board, route, route.replicas)
    for route in routes:
        _fill(board, route, targets.get(route.model, 0))
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
        _fill(board, route, 1)
        if not _holders(board, route):
            yield _shortfall(board, route)


def _board_of(view: views.View, resident: Resident) -> _Board:
    board = _Board(view.upstreams, resident, {}, {}, {}, {}, {})
    for upstream_id, upstream in sorted(view.upstreams.items()):
        board.places[upstream_id] = {}
        board.free[upstream_id] = [upstream.memory_mib] * (
            upstream.accelerators
        )
        placed = view.placements.get(upstream_id, views.Placement(0))
        for place in placed.replicas:
            _put(board, upstream_id, place)
        for model in resident.get(upstream_id, ()):
            board.resident_at.setdefault(model, []).append(upstream_id)
    for upstream_id, upstream in board.upstreams.items():
        if upstream.kind == views.UpstreamKind.ENGINE and (
            not upstream.leaving
        ):
            row = (-sum(board.free[upstream_id]), upstream_id)
            board.emptiest.setdefault(upstream.service, []).append(row)
    for rows in board.emptiest.values():
        rows.sort()
    return board


def _put(board: _Board, upstream_id: str, place: views.ReplicaPlace) -> None:
    board.places[upstream_id][place.model] = place
    board.holders.setdefault(place.model, set()).add(upstream_id)
    _change_free(board, upstream_id, place, -place.memory_mib)


def _take(board: _Board, upstream_id: str, model: str) -> None:
    place = board.places[upstream_id].pop(model)
    board.holders[model].discard(upstream_id)
    _change_free(board, upstream_id, place, place.memory_mib)


def _change_free(board: _Board, upstream_id: str, place, mib: int) -> None:
    free = board.free[upstream_id]
    before = (-sum(free), upstream_id)
    for number in place.accelerators:
        free[number] += mib
    rows = board.emptiest.get(board.upstreams[upstream_id].service, [])
    at = bisect.bisect_left(rows, before)
    if at < len(rows) and rows[at] == before:
        del rows[at]
        bisect.insort(rows, (-sum(free), upstream_id))


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
                _take(board, upstream_id, place.model)


def _largest_first(wanted: tables.Tables) -> list[tables.Route]:
    routes = (r for r in wanted.routes if r.kind == tables.RouteKind.MODEL)
    return sorted(
        routes, key=lambda r: (-r.accelerators * r.memory_mib, r.name)
    )


def _holders(board: _Board, route: tables.Route) -> list[str]:
    return [
        upstream_id
        for upstream_id in sorted(board.holders.get(route.model, ()))
        if not board.upstreams[upstream_id].leaving
        and board.upstreams[upstream_id].service == route.service
    ]


def _fill(board: _Board, route: tables.Route, target: int) -> None:
    while len(_holders(board, route)) < target:
        place = _best_place(board, route)
        if place is None:
            return
        _put(board, *place)


def _best_place(board: _Board, route: tables.Route):
    """Prefer a resident replica, then a new failure domain, then room."""
    resident = (
        (upstream_id, board.resident[upstream_id][route.model])
        for upstream_id in board.resident_at.get(route.model, ())
        if _is_open(board, upstream_id, route)
    )
    for upstream_id, held in resident:
        if _still_fits(held, route, board.free[upstream_id]):
            return upstream_id, held
    taken = {
        board.upstreams[upstream_id].failure_domain
        for upstream_id in _holders(board, route)
    }
    fallback = None
    for option in _rooms(board, route):
        domain = board.upstreams[option[0]].failure_domain
        if domain not in taken:
            return option
        fallback = fallback or option
    return fallback


def _is_open(board: _Board, upstream_id: str, route: tables.Route) -> bool:
    upstream = board.upstreams[upstream_id]
    return (
        upstream.service == route.service
        and not upstream.leaving
        and route.model not in board.places[upstream_id]
    )


def _rooms(board: _Board, route: tables.Route) -> Iterator[tuple]:
    needed = route.accelerators * route.memory_mib
    for negated, upstream_id in board.emptiest.get(route.service, ()):
        if -negated < needed:
            return
        numbers = _room_on(board, upstream_id, route)
        if numbers is not None:
            place = views.ReplicaPlace(route.model, numbers, route.memory_mib)
            yield upstream_id, place


def _room_on(board: _Board, upstream_id: str, route: tables.Route):
    if route.model in board.places[upstream_id]:
        return None
    free = board.free[upstream_id]
    order = sorted(range(len(free)), key=lambda n: (-free[n], n))
    chosen = order[: route.accelerators]
    if len(chosen) < route.accelerators:
        return None
    if any(free[n] < route.memory_mib for n in chosen):
        return None
    return tuple(sorted(chosen))


def _still_fits(held: views.ReplicaPlace, route, free: list[int]) -> bool:
    shape = (len(held.accelerators), held.memory_mib)
    if shape != (route.accelerators, route.memory_mib):
        return False
    return all(free[n] >= held.memory_mib for n in held.accelerators)


def _retire_surplus(board: _Board, route, target: int) -> None:
    target = max(target, route.replicas)
    leaving = [
        upstream_id
        for upstream_id in board.holders.get(route.model, ())
        if board.upstreams[upstream_id].leaving
    ]
    staying = _holders(board, route)
    ready = [u for u in staying if route.model in board.resident.get(u, ())]
    if len(ready) >= target:
        for upstream_id in leaving:
            _take(board, upstream_id, route.model)
    spare = len(staying) - target
    for upstream_id in reversed(ready[target:]):
        if spare > 0:
            _take(board, upstream_id, route.model)
            spare -= 1


def _shortfall(board: _Board, route: tables.Route) -> Shortfall:
    free = (
        amount
        for _, upstream_id in board.emptiest.get(route.service, ())
        for amount in board.free[upstream_id]
    )
    most = max(free, default=0)
    return Shortfall(route, route.accelerators, route.memory_mib, most)


def _changes(board: _Board, view) -> Iterator[commands.PlaceReplicas]:
    for upstream_id, places in sorted(board.places.items()):
        wanted = tuple(places[model] for model in sorted(places))
        current = view.placements.get(upstream_id, views.Placement(0))
        if set(wanted) != set(current.replicas):
            yield commands.PlaceReplicas(upstream_id, wanted)
