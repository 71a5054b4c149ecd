"""Index of a view: routes by model and path, and upstreams by route.

A scan of all routes and upstreams for each request would cost time in
proportion to the size of the system. The index is rebuilt at the first
lookup after a change of the view.
"""

import collections
import dataclasses

from bilberryramp.decisions.shared import tables, views

__all__ = ["RouteIndex", "candidates", "model_route", "service_route"]


@dataclasses.dataclass(slots=True)
class RouteIndex:
    """Lookup tables of a view's routes and upstreams.

    Attributes
    ----------
    view
        The view; its owner updates it in place.
    view_index
        Log index of the view that the tables were built from; -1 before
        the first build.
    models
        Model routes by model name.
    services
        Service routes, longest path prefix first.
    upstreams_by_route
        Upstreams that are not leaving, by service and model, in order of
        their ids; the model is empty for plain services.
    """

    view: views.View
    view_index: int = -1
    models: dict[str, tables.Route] = dataclasses.field(default_factory=dict)
    services: tuple[tables.Route, ...] = ()
    upstreams_by_route: dict[tuple[str, str], list[views.Upstream]] = (
        dataclasses.field(default_factory=dict)
    )


def model_route(index: RouteIndex, model: str) -> tables.Route | None:
    """Find the route of a model.

    Parameters
    ----------
    index
        The index; rebuilt if the view has changed.
    model
        Model name from a caller's request.

    Returns
    -------
    Route or None
        None if no route serves the model.
    """
    _refresh(index)
    return index.models.get(model)


def service_route(index: RouteIndex, path: str) -> tables.Route | None:
    """Find the service route with the longest prefix of a path.

    Parameters
    ----------
    index
        The index; rebuilt if the view has changed.
    path
        Path of a caller's request.

    Returns
    -------
    Route or None
        None if no path prefix matches.
    """
    _refresh(index)
    matches = (r for r in index.services if path.startswith(r.path_prefix))
    return next(matches, None)


def candidates(index: RouteIndex, route: tables.Route) -> list[views.Upstream]:
    """List the upstreams to which a route's requests may be dispatched.

    Parameters
    ----------
    index
        The index; rebuilt if the view has changed.
    route
        A route, possibly of an earlier view.

    Returns
    -------
    list of Upstream
        Upstreams that are not leaving and, for a route of a model, have the
        model placed on them. The caller must not modify the list.

    """
    _refresh(index)
    return index.upstreams_by_route.get((route.service, route.model), [])


def _refresh(index: RouteIndex) -> None:
    """Rebuild the tables if the view has changed since the last build."""
    view = index.view
    if index.view_index == view.index:
        return
    index.view_index = view.index
    routes = view.tables.routes
    index.models = {
        route.model: route
        for route in routes
        if route.kind == tables.RouteKind.MODEL
    }
    services = (r for r in routes if r.kind == tables.RouteKind.SERVICE)
    index.services = tuple(sorted(services, key=lambda r: -len(r.path_prefix)))
    index.upstreams_by_route = _upstreams_by_route(view)


def _upstreams_by_route(view: views.View) -> dict:
    upstreams_by_route = collections.defaultdict(list)
    for upstream_id in sorted(view.upstreams):
        upstream = view.upstreams[upstream_id]
        if upstream.leaving:
            continue
        for model in _models_of(view, upstream):
            upstreams_by_route[upstream.service, model].append(upstream)
    return dict(upstreams_by_route)


def _models_of(view: views.View, upstream: views.Upstream) -> list[str]:
    """Return the models placed on an upstream; "" for a plain service."""
    if upstream.kind == views.UpstreamKind.SERVICE:
        return [""]
    placed = view.placements.get(upstream.upstream_id)
    return [place.model for place in placed.replicas] if placed else []
