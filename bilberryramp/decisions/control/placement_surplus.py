"""Spare replicas that may give way to others while a plan is made.

A search that fails is remembered: an engine that could not make room for
one shape is not searched for that shape again until it changes.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from bilberryramp.decisions.control import placement_state
from bilberryramp.decisions.shared import tables, views

__all__ = [
    "Surplus",
    "evict_for",
    "add_replica",
    "resident_holders",
    "new_surplus",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """What a replica needs: accelerators, and MiB on each of them."""

    service: str
    accelerators: int
    memory_mib: int


@dataclasses.dataclass(slots=True)
class Surplus:
    """Spare replicas of a board.

    Attributes
    ----------
    routes
        The route of each model.
    wanted
        Replicas wanted by model.
    spare
        Replicas that each model can give up; empty until they matter.
    untried
        Ids of the engines that may be able to make room, by shape; those
        left out have been searched in vain.
    """

    state: placement_state.PlanState
    routes: dict[str, tables.Route]
    wanted: Mapping[str, int]
    spare: dict[str, int]
    unsearched: dict[Shape, set[str]]


def new_surplus(
    state: placement_state.PlanState,
    routes: Iterable[tables.Route],
    wanted: Mapping[str, int],
) -> Surplus:
    """Begin to follow the spare replicas of a board.

    Parameters
    ----------
    board
        From now on changed only through this module.
    routes
        The model routes.
    wanted
        Replicas wanted by model.

    Returns
    -------
    Surplus
        With nothing counted or searched yet.
    """
    by_model = {route.model: route for route in routes}
    return Surplus(state, by_model, wanted, {}, {})


def add_replica(
    surplus: Surplus, upstream_id: str, place: views.ReplicaPlace
) -> None:
    """Place a replica.

    Parameters
    ----------
    surplus
        Its board is changed.
    upstream_id, place
        Where, and the replica; there must be room.
    """
    placement_state.add_replica(surplus.state, upstream_id, place)
    _record_change(surplus, upstream_id, place.model)


def evict_for(surplus: Surplus, route: tables.Route) -> bool:
    """Give up spare replicas so that one of a route's model fits.

    Parameters
    ----------
    surplus
        Its board is changed.
    route
        The model route that lacks room.

    Returns
    -------
    bool
        False when no spare replicas make room.
    """
    if not surplus.spare:
        surplus.spare = {m: _count_spare(surplus, m) for m in surplus.routes}
    state = surplus.state
    shape = Shape(route.service, route.accelerators, route.memory_mib)
    unsearched = _unsearched_for(surplus, shape)
    evictions = placement_state.find_evictions(
        state, route, surplus.spare, unsearched
    )
    if not evictions:
        surplus.unsearched[shape] = {
            upstream_id
            for upstream_id in unsearched
            if route.model in state.places[upstream_id]
        }
    for upstream_id, model in evictions:
        placement_state.remove_replica(state, upstream_id, model)
        _record_change(surplus, upstream_id, model)
    return bool(evictions)


def resident_holders(
    state: placement_state.PlanState, route: tables.Route
) -> list[str]:
    """List the upstreams in service where a route's model is resident.

    Parameters
    ----------
    board
        The board.
    route
        A model route.

    Returns
    -------
    list of str
        Their ids, in alphabetical order.
    """
    return [
        upstream_id
        for upstream_id in placement_state.holders(state, route)
        if route.model in state.resident.get(upstream_id, ())
    ]


def _count_spare(surplus: Surplus, model: str) -> int:
    """Count replicas beyond the wanted ones, unless they are needed."""
    state, route = surplus.state, surplus.routes[model]
    held_count = len(placement_state.holders(state, route))
    resident_count = (
        len(resident_holders(state, route)) if state.resident else held_count
    )
    return min(held_count, resident_count) - surplus.wanted[model]


def _unsearched_for(surplus: Surplus, shape: Shape) -> set[str]:
    if shape not in surplus.unsearched:
        surplus.unsearched[shape] = set(surplus.state.upstreams)
    return surplus.unsearched[shape]


def _record_change(surplus: Surplus, upstream_id: str, model: str) -> None:
    """Search again where room or spare replicas may have appeared."""
    changed = {upstream_id}
    if model in surplus.spare:
        before = surplus.spare[model]
        surplus.spare[model] = _count_spare(surplus, model)
        if before < 1 <= surplus.spare[model]:
            changed |= surplus.state.holders_by_model[model]
    for unsearched in surplus.unsearched.values():
        unsearched |= changed
