"""Finds the route of a request by host and longest path prefix."""

import dataclasses
import random

from bilberryramp.decisions.fleet import documents

__all__ = ["HostIndex", "build_index", "find_route", "pick_service"]


@dataclasses.dataclass(slots=True)
class HostIndex:
    """Routes by host, then by prefix."""

    by_host: dict[str, dict[str, documents.Route]]


def build_index(doc: documents.Document) -> HostIndex:
    """Index a document's routes.

    Parameters
    ----------
    doc
        The document in force.

    Returns
    -------
    HostIndex
        For `find_route`.
    """
    by_host: dict[str, dict[str, documents.Route]] = {}
    for route in doc.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return HostIndex(by_host)


def find_route(
    index: HostIndex, host: str, path: str
) -> documents.Route | None:
    """Return the route with the longest prefix that begins the path.

    Parameters
    ----------
    index
        From `build_index`.
    host
        The host name, without a port.
    path
        The path; a query after it is ignored.

    Returns
    -------
    Route or None
        None when no route matches.
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
    """Draw one of the route's services by weight.

    Parameters
    ----------
    route
        Has at least one share with a weight above zero.
    rng
        Source of the draw.

    Returns
    -------
    str
        The service's name.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
