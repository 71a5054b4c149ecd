"""The two tables operators submit, and the checks they must pass."""

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
    "find_problems",
    "compare",
    "apply_change",
]


class RouteKind(enum.StrEnum):
    """What a route leads to."""

    MODEL = "model"
    SERVICE = "service"


class Priority(enum.StrEnum):
    """The order of requests inside one pool's share."""

    URGENT = "urgent"
    NORMAL = "normal"
    CAREFUL = "careful"


class StaleRule(enum.StrEnum):
    """What a process with an expired freshness lease does with a route."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """The accelerator capacity one partner bought.

    Attributes
    ----------
    name, partner
        The pool's name and the partner who pays for it.
    accelerators
        How many accelerators were bought; also the weight of its share.
    """

    name: str
    partner: str
    accelerators: int


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Which requests go to which model, and which pool carries them.

    Attributes
    ----------
    name
        The route's name, unique in the table.
    pool
        Name of the pool that carries it.
    service
        The group of upstreams that serves it.
    kind
        A model on engines, or a plain service.
    model
        The model name callers send, for a model route.
    path_prefix
        The path callers use, for a service route.
    accelerators
        How many accelerators one replica of the model is spread over.
    memory_mib
        Memory that a replica takes on each of them, in MiB.
    replicas
        How many replicas to keep resident.
    priority
        Order inside the pool's share.
    repeat_never
        Whether every request of the route needs an idempotency key.
    when_stale
        What to do once the freshness lease has expired.
    deadline_ms
        Deadline for requests that name none, in milliseconds.
    first_token_ms
        Time in which an answer should begin, in milliseconds.
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
    """Both tables as one unit of submission."""

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One reason to refuse tables.

    Attributes
    ----------
    path
        Where in the tables, such as ``routes[2].pool``.
    seen, expected
        The value found and what would have been right.
    """

    path: str
    seen: str
    expected: str


@dataclasses.dataclass(slots=True, frozen=True)
class TablesChange:
    """What leads from one pair of tables to the next.

    Attributes
    ----------
    removed
        Names of routes that are gone.
    routes
        Routes that are new or have changed.
    pools
        All pools, since there are few.
    """

    removed: tuple[str, ...]
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]


def compare(old: Tables, new: Tables) -> TablesChange:
    """Find what changed between two pairs of tables.

    Parameters
    ----------
    old, new
        Sound tables.

    Returns
    -------
    TablesChange
        For `apply_change`.
    """
    before = {route.name: route for route in old.routes}
    after = {route.name for route in new.routes}
    changed = (r for r in new.routes if before.get(r.name) != r)
    removed = tuple(name for name in before if name not in after)
    return TablesChange(removed, tuple(changed), new.pools)


def apply_change(old: Tables, change: TablesChange) -> Tables:
    """Apply a change.

    Parameters
    ----------
    old
        The tables it was made against.
    change
        From `compare`.

    Returns
    -------
    Tables
        The new tables; the order of routes may differ.
    """
    routes = {route.name: route for route in old.routes}
    for name in change.removed:
        routes.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    return Tables(tuple(routes.values()), change.pools)


def find_problems(tables: Tables) -> Iterator[Problem]:
    """Find what is wrong with tables, without looking at upstreams.

    Parameters
    ----------
    tables
        The tables as submitted.

    Yields
    ------
    Problem
        One for each fault; none when the tables are sound.
    """
    yield from _check_pools(tables.pools)
    yield from _check_unique(tables.routes)
    pools = {pool.name for pool in tables.pools}
    for at, route in enumerate(tables.routes):
        yield from _check_route(f"routes[{at}]", route, pools)


def _check_pools(pools: tuple[Pool, ...]) -> Iterator[Problem]:
    seen = set()
    for at, pool in enumerate(pools):
        if pool.name in seen or not pool.name:
            yield Problem(f"pools[{at}].name", pool.name, "a unique name")
        if pool.accelerators < 1:
            count = str(pool.accelerators)
            path = f"pools[{at}].accelerators"
            yield Problem(path, count, "a whole number above 0")
        seen.add(pool.name)


def _check_unique(routes: tuple[Route, ...]) -> Iterator[Problem]:
    taken = set()
    for at, route in enumerate(routes):
        keys = (("name", route.name), ("match", _match_key(route)))
        for field, key in keys:
            if (field, key) in taken:
                yield Problem(f"routes[{at}].{field}", key, "a unique value")
            taken.add((field, key))


def _match_key(route: Route) -> str:
    if route.kind == RouteKind.MODEL:
        return f"model {route.model}"
    return f"path {route.path_prefix}"


def _check_route(path: str, route: Route, pools: set) -> Iterator[Problem]:
    if route.pool not in pools:
        yield Problem(f"{path}.pool", route.pool, "the name of a pool")
    if not route.service:
        yield Problem(f"{path}.service", "", "a group of upstreams")
    for field in ("deadline_ms", "first_token_ms"):
        number = getattr(route, field)
        if number < 1:
            seen = str(number)
            yield Problem(f"{path}.{field}", seen, "milliseconds above 0")
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
