"""Index of a document: routes by host and path prefix, workspaces by key."""

import dataclasses
import random

from bilberryramp.decisions.fleet.core import documents

__all__ = ["HostIndex", "build_index", "find_route", "pick_service"]


@dataclasses.dataclass(slots=True)
class HostIndex:
    """Index of the routes and workspaces of a document.

    Attributes
    ----------
    by_host
        Routes by host name, then by path prefix.
    by_key
        Workspaces by key.
    version
        Version of the document.
    needs_key
        Whether requests on routes that are not public need a key.
    """

    by_host: dict[str, dict[str, documents.Route]]
    by_key: dict[str, documents.Workspace] = dataclasses.field(repr=False)
    version: int
    needs_key: bool


def build_index(doc: documents.Document) -> HostIndex:
    """Build the index of a document's routes and workspaces.

    Parameters
    ----------
    doc
        Document in force.

    Returns
    -------
    HostIndex
        Index for `find_route` and `workspaces.find`.
    """
    by_host: dict[str, dict[str, documents.Route]] = {}
    for route in doc.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    by_key = {
        key: workspace
        for workspace in doc.workspaces
        for key in workspace.keys
    }
    return HostIndex(by_host, by_key, doc.version, bool(doc.workspaces))


def find_route(
    index: HostIndex, host: str, path: str
) -> documents.Route | None:
    """Return the route with the longest prefix that matches the path.

    Parameters
    ----------
    index
        Index returned by `build_index`.
    host
        Host name without a port.
    path
        Request path; a query string is ignored.

    Returns
    -------
    Route or None
        None if no route matches.
    """
    prefixes = index.by_host.get(host, {})
    path = path.partition("?")[0]
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
    return None


def pick_service(route: documents.Route, rng: random.Random) -> str:
    """Select one of a route's services at random by weight.

    Parameters
    ----------
    route
        Route with at least one share of positive weight.
    rng
        Random number generator.

    Returns
    -------
    str
        Name of the service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
