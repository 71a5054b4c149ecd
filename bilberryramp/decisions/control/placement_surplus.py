"""Eviction of spare replicas while a placement plan is computed.

Failed searches are recorded: an engine on which no eviction frees enough
memory for a shape is not searched for that shape again until it changes.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from bilberryramp.decisions.control import placement_state
from bilberryramp.decisions.shared import tables, views

__all__ = [
    "Surplus",
    "add_replica",
    "evict_for",
    "new_surplus",
    "resident_holders",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """Resources that a replica needs.

    Attributes
    ----------
    service
        Service whose engines are suitable.
    accelerators, memory_mib
        Number of accelerators, and MiB on each of them.
    """

    service: str
    accelerators: int
    memory_mib: int


@dataclasses.dataclass(slots=True)
class Surplus:
    """Spare replicas of a placement plan, which may be evicted.

    A replica is spare if its model has more than the wanted number.

    Attributes
    ----------
    state
        State of the plan.
    routes
        Model routes by model.
    wanted_counts
        Wanted number of replicas by model.
    spare_counts
        Number of replicas that may be evicted, by model; empty until the
        first eviction is needed.
    unsearched
        Ids of the upstreams that may be able to free memory, by shape; the
        others have been searched without success.
    """

    state: placement_state.PlanState
    routes: dict[str, tables.Route]
    wanted_counts: Mapping[str, int]
    spare_counts: dict[str, int]
    unsearched: dict[Shape, set[str]]


def new_surplus(
    state: placement_state.PlanState,
    routes: Iterable[tables.Route],
    wanted_counts: Mapping[str, int],
) -> Surplus:
    """Create the record of spare replicas of a plan.

    Parameters
    ----------
    state
        State of the plan; later changes must be made through this module.
    routes
        The model routes.
    wanted_counts
        Wanted number of replicas by model.

    Returns
    -------
    Surplus
        Record in which nothing has been counted or searched.
    """
    by_model = {route.model: route for route in routes}
    return Surplus(state, by_model, wanted_counts, {}, {})


def add_replica(
    surplus: Surplus, upstream_id: str, place: views.ReplicaPlace
) -> None:
    """Place a replica on an upstream.

    Parameters
    ----------
    surplus
        Modified in place, with its state.
    upstream_id
        Id of the upstream.
    place
        The replica; its accelerators must have enough free memory.
    """
    placement_state.add_replica(surplus.state, upstream_id, place)
    _record_change(surplus, upstream_id, place.model)


def evict_for(surplus: Surplus, route: tables.Route) -> bool:
    """Evict spare replicas so that a replica of a route's model fits.

    Parameters
    ----------
    surplus
        Modified in place, with its state.
    route
        Route of the model for which there is not enough free memory.

    Returns
    -------
    bool
        False if no eviction frees enough memory.
    """
    if not surplus.spare_counts:
        surplus.spare_counts = {
            m: _count_spare(surplus, m) for m in surplus.routes
        }
    state = surplus.state
    shape = Shape(route.service, route.accelerators, route.memory_mib)
    unsearched = _unsearched_for(surplus, shape)
    evictions = placement_state.find_evictions(
        state, route, surplus.spare_counts, unsearched
    )
    if not evictions:
        # Engines on which the model is placed were skipped, so they remain
        # to be searched for other models of this shape.
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
    """Return the active upstreams on which a route's model is resident.

    Parameters
    ----------
    state
        State of the plan.
    route
        A model route.

    Returns
    -------
    list of str
        Ids of the upstreams, sorted.
    """
    return [
        upstream_id
        for upstream_id in placement_state.holders(state, route)
        if route.model in state.resident.get(upstream_id, ())
    ]


def _count_spare(surplus: Surplus, model: str) -> int:
    """Return how many replicas of a model exceed the wanted number.

    Only resident replicas count if any residency has been reported, so
    that none is evicted before enough others are resident.
    """
    state, route = surplus.state, surplus.routes[model]
    placed_count = len(placement_state.holders(state, route))
    resident_count = (
        len(resident_holders(state, route)) if state.resident else placed_count
    )
    return min(placed_count, resident_count) - surplus.wanted_counts[model]


def _unsearched_for(surplus: Surplus, shape: Shape) -> set[str]:
    if shape not in surplus.unsearched:
        surplus.unsearched[shape] = set(surplus.state.upstreams)
    return surplus.unsearched[shape]


def _record_change(surplus: Surplus, upstream_id: str, model: str) -> None:
    """Mark upstreams for a new search after a replica was added or removed.

    They are the changed upstream and, if the model now has spare replicas,
    all upstreams that hold the model.
    """
    to_search = {upstream_id}
    if model in surplus.spare_counts:
        previous_count = surplus.spare_counts[model]
        surplus.spare_counts[model] = _count_spare(surplus, model)
        if previous_count < 1 <= surplus.spare_counts[model]:
            to_search |= surplus.state.holders_by_model[model]
    for unsearched in surplus.unsearched.values():
        unsearched |= to_search
