"""The tables of routes and pools that operators submit, and their checks."""

import dataclasses
import enum
from collections.abc import Iterator

__all__ = [
    "Pool",
    "Priority",
    "Problem",
    "Route",
    "RouteKind",
    "StaleRule",
    "Tables",
    "TablesChange",
    "apply_change",
    "compare",
    "find_problems",
]


class RouteKind(enum.StrEnum):
    """Kind of server to which a route sends requests."""

    MODEL = "model"
    SERVICE = "service"


class Priority(enum.StrEnum):
    """Priority of requests within a pool, from first to last served."""

    URGENT = "urgent"
    NORMAL = "normal"
    CAREFUL = "careful"


class StaleRule(enum.StrEnum):
    """How a process treats a route after its freshness lease has expired."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """Accelerator capacity bought by a partner.

    Attributes
    ----------
    name
        Name of the pool.
    partner
        Name of the partner who pays for it.
    accelerators
        Number of accelerators bought, also the pool's weight in fair
        queueing.
    """

    name: str
    partner: str
    accelerators: int


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Mapping of requests to a model or service, and the pool charged.

    Attributes
    ----------
    name
        Name of the route, unique in the table.
    pool
        Name of the pool that its requests are charged to.
    service
        Name of the group of upstreams that serves its requests.
    kind
        Whether requests go to a model on engines or to a plain service.
    model
        Model name in the requests, for a model route.
    path_prefix
        Prefix of the requests' paths, for a service route.
    accelerators
        Number of accelerators that one replica of the model uses.
    memory_mib
        Memory that a replica uses on each accelerator, in MiB.
    replicas
        Minimum number of replicas of the model to keep resident.
    priority
        Priority of its requests within the pool.
    repeat_never
        Whether every request of the route must have an idempotency key.
    when_stale
        Whether to refuse or serve requests after the freshness lease has
        expired.
    deadline_ms
        Deadline of requests that do not set one, in milliseconds.
    first_token_ms
        Time from a request's arrival until its first token is due, in
        milliseconds.
    """

    name: str
    pool: str
    service: str
    kind: RouteKind = RouteKind.MODEL
    model: str = ""
    path_prefix: str = ""
    accelerators: int = 1
    memory_mib: int = 0
    replicas: int = 1
    priority: Priority = Priority.NORMAL
    repeat_never: bool = False
    when_stale: StaleRule = StaleRule.REFUSE
    deadline_ms: int = 120_000
    first_token_ms: int = 430


@dataclasses.dataclass(slots=True, frozen=True)
class Tables:
    """The tables of routes and of pools, which are submitted together.

    Attributes
    ----------
    routes
        The routes.
    pools
        The pools.
    """

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """An invalid value in submitted tables.

    Attributes
    ----------
    path
        Location of the value, such as ``routes[2].pool``.
    seen
        The invalid value.
    expected
        Description of valid values.
    """

    path: str
    seen: str
    expected: str


@dataclasses.dataclass(slots=True, frozen=True)
class TablesChange:
    """The difference between two versions of the tables.

    Attributes
    ----------
    removed
        Names of removed routes.
    routes
        Added and changed routes.
    pools
        All pools of the new version; their changes are not computed, since
        there are few pools.
    """

    removed: tuple[str, ...]
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]


def compare(old: Tables, new: Tables) -> TablesChange:
    """Return the difference between two versions of the tables.

    Parameters
    ----------
    old, new
        The two versions. Both must be valid, see `find_problems`.

    Returns
    -------
    TablesChange
        The change that `apply_change` applies to `old` to get `new`.
    """
    old_routes = {route.name: route for route in old.routes}
    new_names = {route.name for route in new.routes}
    changed = (r for r in new.routes if old_routes.get(r.name) != r)
    removed = tuple(name for name in old_routes if name not in new_names)
    return TablesChange(removed, tuple(changed), new.pools)


def apply_change(old: Tables, change: TablesChange) -> Tables:
    """Return the tables that result from a change.

    Parameters
    ----------
    old
        The tables that the change is based on.
    change
        The change, from `compare`.

    Returns
    -------
    Tables
        The new tables. Their routes may be in another order than in the
        tables that `compare` was given.
    """
    routes = {route.name: route for route in old.routes}
    for name in change.removed:
        routes.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    return Tables(tuple(routes.values()), change.pools)


def find_problems(tables: Tables) -> Iterator[Problem]:
    """Find the invalid values in submitted tables.

    Whether the models fit on the upstreams is not checked here.

    Parameters
    ----------
    tables
        The tables as submitted.

    Yields
    ------
    Problem
        One for each invalid value; none if the tables are valid.
    """
    yield from _find_pool_problems(tables.pools)
    yield from _find_duplicates(tables.routes)
    pools = {pool.name for pool in tables.pools}
    for index, route in enumerate(tables.routes):
        yield from _find_route_problems(f"routes[{index}]", route, pools)


def _find_pool_problems(pools: tuple[Pool, ...]) -> Iterator[Problem]:
    names = set()
    for index, pool in enumerate(pools):
        if pool.name in names or not pool.name:
            yield Problem(f"pools[{index}].name", pool.name, "a unique name")
        if pool.accelerators < 1:
            count = str(pool.accelerators)
            path = f"pools[{index}].accelerators"
            yield Problem(path, count, "a whole number above 0")
        names.add(pool.name)


def _find_duplicates(routes: tuple[Route, ...]) -> Iterator[Problem]:
    taken = set()
    for index, route in enumerate(routes):
        keys = (("name", route.name), ("match", _match_key(route)))
        for field, key in keys:
            if (field, key) in taken:
                yield Problem(
                    f"routes[{index}].{field}", key, "a unique value"
                )
            taken.add((field, key))


def _match_key(route: Route) -> str:
    if route.kind == RouteKind.MODEL:
        return f"model {route.model}"
    return f"path {route.path_prefix}"


def _find_route_problems(
    path: str, route: Route, pools: set
) -> Iterator[Problem]:
    if route.pool not in pools:
        yield Problem(f"{path}.pool", route.pool, "the name of a pool")
    if not route.service:
        yield Problem(f"{path}.service", "", "a group of upstreams")
    for field in ("deadline_ms", "first_token_ms"):
        number = getattr(route, field)
        if number < 1:
            seen = str(number)
            yield Problem(
                f"{path}.{field}",
                seen,
                "milliseconds above 0",
            )
    if route.kind == RouteKind.SERVICE:
        if not route.path_prefix.startswith("/services/"):
            expected = "a path below /services/"
            yield Problem(f"{path}.path_prefix", route.path_prefix, expected)
        return
    if not route.model:
        yield Problem(f"{path}.model", "", "a model name")
    numbers = (
        ("accelerators", route.accelerators),
        ("memory_mib", route.memory_mib),
        ("replicas", route.replicas),
    )
    for field, number in numbers:
        if number < 1:
            expected = "a whole number above 0"
            yield Problem(f"{path}.{field}", str(number), expected)
