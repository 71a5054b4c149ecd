"""State of a placement plan: placed replicas and free accelerator memory.

The engines of a service are sorted by the largest free memory of any one of
their accelerators, so that a search can stop at the first engine that has too
little.
"""

import bisect
import dataclasses
from collections.abc import Iterator, Mapping, Set

from bilberryramp.decisions.shared import tables, views

__all__ = [
    "PlanState",
    "Resident",
    "add_replica",
    "find_evictions",
    "find_place",
    "holders",
    "max_free_mib",
    "new_state",
    "remove_replica",
]

# Replicas that upstreams reported as resident, by upstream id and model.
Resident = Mapping[str, Mapping[str, views.ReplicaPlace]]


@dataclasses.dataclass(slots=True)
class PlanState:
    """Placement of replicas on upstreams while a plan is computed.

    Attributes
    ----------
    upstreams
        Upstreams of the view, by upstream id.
    resident
        Replicas that the upstreams reported as resident, by upstream id
        and model.
    places
        Placed replicas by upstream id and model.
    free_mib
        Unallocated MiB of each accelerator, by upstream id.
    holders_by_model
        Ids of the upstreams on which a model is placed, by model.
    engines_by_free
        For each service, a sorted list of its engines that are not
        leaving. An engine is a tuple of the largest free MiB of any of its
        accelerators, negated to sort it in descending order, and of its
        upstream id.
    resident_by_model
        Ids of the upstreams that reported a model as resident, by model.
    """

    upstreams: dict[str, views.Upstream]
    resident: Resident
    places: dict[str, dict[str, views.ReplicaPlace]]
    free_mib: dict[str, list[int]]
    holders_by_model: dict[str, set[str]]
    engines_by_free: dict[str, list[tuple[int, str]]]
    resident_by_model: dict[str, list[str]]


def new_state(view: views.View, resident: Resident) -> PlanState:
    """Create the state of a plan from the current placement.

    Parameters
    ----------
    view
        The current view.
    resident
        Replicas confirmed resident, by upstream id and model.

    Returns
    -------
    PlanState
        State to be modified by `add_replica` and `remove_replica`.
    """
    state = PlanState(view.upstreams, resident, {}, {}, {}, {}, {})
    for upstream_id, upstream in sorted(view.upstreams.items()):
        state.places[upstream_id] = {}
        state.free_mib[upstream_id] = [upstream.memory_mib] * (
            upstream.accelerators
        )
        placed = view.placements.get(upstream_id, views.Placement(0))
        for place in placed.replicas:
            add_replica(state, upstream_id, place)
        for model in resident.get(upstream_id, ()):
            state.resident_by_model.setdefault(model, []).append(upstream_id)
    for upstream_id, upstream in state.upstreams.items():
        if upstream.kind == views.UpstreamKind.ENGINE and (
            not upstream.leaving
        ):
            entries = state.engines_by_free.setdefault(upstream.service, [])
            entries.append(_free_entry(state, upstream_id))
    for entries in state.engines_by_free.values():
        entries.sort()
    return state


def add_replica(
    state: PlanState, upstream_id: str, place: views.ReplicaPlace
) -> None:
    """Place a replica on an upstream.

    Parameters
    ----------
    state
        Modified in place.
    upstream_id
        Id of the upstream.
    place
        The replica; its accelerators must have enough free memory.
    """
    state.places[upstream_id][place.model] = place
    state.holders_by_model.setdefault(place.model, set()).add(upstream_id)
    _adjust_free(state, upstream_id, place, -place.memory_mib)


def remove_replica(state: PlanState, upstream_id: str, model: str) -> None:
    """Remove a replica from an upstream.

    Parameters
    ----------
    state
        Modified in place.
    upstream_id
        Id of the upstream.
    model
        Model of the replica, which must be placed there.
    """
    place = state.places[upstream_id].pop(model)
    state.holders_by_model[model].discard(upstream_id)
    _adjust_free(state, upstream_id, place, place.memory_mib)


def holders(state: PlanState, route: tables.Route) -> list[str]:
    """Return the active upstreams on which a route's model is placed.

    An upstream is active if it is not leaving.

    Parameters
    ----------
    state
        State of the plan.
    route
        A model route.

    Returns
    -------
    list of str
        Ids of the upstreams of the route's service, sorted.
    """
    return [
        upstream_id
        for upstream_id in sorted(state.holders_by_model.get(route.model, ()))
        if not state.upstreams[upstream_id].leaving
        and state.upstreams[upstream_id].service == route.service
    ]


def find_place(state: PlanState, route: tables.Route):
    """Find the best place for one more replica.

    An upstream on which the model is already resident is preferred, then
    one in a failure domain without the model, then the one with the most
    free memory.

    Parameters
    ----------
    state
        State of the plan.
    route
        A model route.

    Returns
    -------
    tuple of (str, ReplicaPlace) or None
        Id of the upstream and the replica; None if no upstream has enough
        free memory.
    """
    for upstream_id in state.resident_by_model.get(route.model, ()):
        resident_place = state.resident[upstream_id][route.model]
        if _may_get_replica(state, upstream_id, route) and _fits_in_place(
            resident_place, route, state.free_mib[upstream_id]
        ):
            return upstream_id, resident_place
    occupied_domains = {
        state.upstreams[upstream_id].failure_domain
        for upstream_id in holders(state, route)
    }
    fallback = None
    for option in _free_places(state, route):
        if state.upstreams[option[0]].failure_domain not in occupied_domains:
            return option
        fallback = fallback or option
    return fallback


def find_evictions(
    state: PlanState,
    route: tables.Route,
    spare_counts: Mapping[str, int],
    candidates: Set[str],
) -> list[tuple[str, str]]:
    """Find spare replicas whose eviction frees enough memory for a replica.

    Parameters
    ----------
    state
        State of the plan.
    route
        Route of the model for which there is not enough free memory.
    spare_counts
        Number of replicas that may be evicted, by model.
    candidates
        Ids of the upstreams to search.

    Returns
    -------
    list of (str, str)
        Upstream id and model of each replica to evict, all on one upstream
        and as few as possible; empty if no eviction suffices.
    """
    best: list[tuple[str, str]] = []
    for _, upstream_id in state.engines_by_free.get(route.service, ()):
        if upstream_id not in candidates:
            continue
        if route.model in state.places[upstream_id]:
            continue
        evictions = _evictions_for(state, upstream_id, route, spare_counts)
        if evictions and (not best or len(evictions) < len(best)):
            best = evictions
        if len(best) == 1:
            break
    return best


def max_free_mib(state: PlanState, service: str) -> int:
    """Return the largest free MiB of any accelerator of a service."""
    entries = state.engines_by_free.get(service, ())
    return max(-entries[0][0], 0) if entries else 0


def _free_entry(state: PlanState, upstream_id: str) -> tuple[int, str]:
    return -max(state.free_mib[upstream_id], default=0), upstream_id


def _adjust_free(
    state: PlanState, upstream_id: str, place, change_mib: int
) -> None:
    old_entry = _free_entry(state, upstream_id)
    for number in place.accelerators:
        state.free_mib[upstream_id][number] += change_mib
    entries = state.engines_by_free.get(
        state.upstreams[upstream_id].service, []
    )
    position = bisect.bisect_left(entries, old_entry)
    if position < len(entries) and entries[position] == old_entry:
        del entries[position]
        bisect.insort(entries, _free_entry(state, upstream_id))


def _may_get_replica(
    state: PlanState, upstream_id: str, route: tables.Route
) -> bool:
    upstream = state.upstreams[upstream_id]
    return (
        upstream.service == route.service
        and not upstream.leaving
        and route.model not in state.places[upstream_id]
    )


def _fits_in_place(
    resident_place: views.ReplicaPlace, route, free_mib: list[int]
) -> bool:
    shape = (len(resident_place.accelerators), resident_place.memory_mib)
    if shape != (route.accelerators, route.memory_mib):
        return False
    return all(
        free_mib[n] >= resident_place.memory_mib
        for n in resident_place.accelerators
    )


def _free_places(state: PlanState, route: tables.Route) -> Iterator[tuple]:
    for negated_mib, upstream_id in state.engines_by_free.get(
        route.service, ()
    ):
        if -negated_mib < route.memory_mib:
            return
        if route.model in state.places[upstream_id]:
            continue
        numbers = _accelerators_for(state.free_mib[upstream_id], route)
        if numbers is not None:
            place = views.ReplicaPlace(route.model, numbers, route.memory_mib)
            yield upstream_id, place


def _accelerators_for(free_mib: list[int], route: tables.Route):
    by_free_mib = sorted(range(len(free_mib)), key=lambda n: (-free_mib[n], n))
    chosen = by_free_mib[: route.accelerators]
    if len(chosen) < route.accelerators:
        return None
    if any(free_mib[n] < route.memory_mib for n in chosen):
        return None
    return tuple(sorted(chosen))


def _evictions_for(
    state, upstream_id, route, spare_counts
) -> list[tuple[str, str]]:
    free_mib = list(state.free_mib[upstream_id])
    evictions: list[tuple[str, str]] = []
    places = state.places[upstream_id].values()
    for place in sorted(places, key=lambda p: -p.memory_mib):
        if spare_counts.get(place.model, 0) < 1:
            continue
        for number in place.accelerators:
            free_mib[number] += place.memory_mib
        evictions.append((upstream_id, place.model))
        if _accelerators_for(free_mib, route) is not None:
            return evictions
    return []
