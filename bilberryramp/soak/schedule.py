"""Draw the faults of a soak from its seed."""

import itertools
import random
from collections.abc import Iterator

from bilberryramp.soak import observations

__all__ = [
    "ALL_GROUPS",
    "ENGINE_FAULTS",
    "draw",
    "draw_departures",
    "draw_planned_work",
    "draw_troubles",
]

# Mean time between the starts of two faults. Most faults last longer, so that
# they overlap.
MEAN_INTERVAL_MS = 1300
# No core node gets a fault for this long after a wiped node was restarted,
# which needs the time to start and to catch up.
CATCH_UP_MS = 7000
_Kind = observations.FaultKind
# Each row is a kind, its weight, and its shortest and longest duration in
# milliseconds.
NODE_FAULTS = (
    (_Kind.KILL, 4, 300, 2500),
    (_Kind.PAUSE, 4, 400, 5000),
    (_Kind.STOP, 4, 0, 0),
    (_Kind.WIPE, 2, 500, 2000),
    (_Kind.KILL_ALL, 1, 300, 1500),
    (_Kind.DISK, 2, 500, 4000),
)
NEEDS_DISK = frozenset({_Kind.WIPE, _Kind.DISK})
LINK_FAULTS = (
    (_Kind.DELAY, 3, 500, 4000),
    (_Kind.RESET, 3, 0, 0),
    (_Kind.SILENT, 3, 500, 5000),
    (_Kind.ONE_WAY, 3, 500, 4000),
    (_Kind.CUT, 4, 2500, 6000),
)
ENGINE_FAULTS = (
    (_Kind.ENGINE_CRASH, 4, 500, 3000),
    (_Kind.ENGINE_DRAIN, 2, 2500, 4000),
)
# Mean time between two engines that leave by their answers alone, and the
# shortest and longest time for which they serve on.
MEAN_DEPARTURE_INTERVAL_MS = 5000
DEPARTURE_MS = (2500, 4500)
# Mean time between two times of trouble at engines, and their shortest and
# longest duration where engines pause and where they fail requests.
MEAN_TROUBLE_INTERVAL_MS = 6000
PAUSE_MS = (2000, 6000)
ERRORS_MS = (8000, 13_000)
# Shares of the requests that a pausing engine turns away, and a failing one
# fails.
PAUSE_SHARES = (1.0, 1.0, 0.45)
ERROR_SHARES = (0.5, 0.8)
ERROR_NAMES = ("500", "reset", "refusal")
# Kills of nodes beside failing engines: the time between two in a series, and
# the time until the restart.
KILL_EACH_INTERVAL_MS = 1000
KILL_ALL_INTERVAL_MS = 3500
KILL_MS = 300
# Mean time between the starts of two series of planned work, and the shortest
# and longest time from one node to the next in a series. A stopped node needs
# some seconds to end and to start, so that stops overlap too.
MEAN_SERIES_INTERVAL_MS = 4000
PLANNED_WORK = (
    (_Kind.STOP, 1500, 6000),
    (_Kind.RELOAD, 50, 1500),
    (_Kind.CHANGE, 50, 1500),
)
# A graceful stop takes at most the grace period, `NodeSettings.grace_ms` in
# the soak.
MAX_STOP_MS = 8000


# Groups of faults, of which the target and the kind are drawn.
ALL_GROUPS = (NODE_FAULTS, LINK_FAULTS, ENGINE_FAULTS)


def draw_departures(
    seed: int, length_ms: int, engines: list
) -> Iterator[observations.Fault]:
    """Draw engines that leave by their answers alone, in order of time.

    They do not change the faults that `draw` yields for the same seed.

    Parameters
    ----------
    seed
        Seed of the random generator.
    length_ms
        Period in which departures begin, in milliseconds.
    engines
        Names of the engines.

    Yields
    ------
    Fault
        Departures, with times from the start of the schedule.
    """
    rng = random.Random(f"departures {seed}")
    now_ms = 0
    while True:
        now_ms += int(rng.expovariate(1 / MEAN_DEPARTURE_INTERVAL_MS))
        if now_ms >= length_ms:
            return
        yield observations.Fault(
            _Kind.ENGINE_LEAVE,
            rng.choice(engines),
            now_ms,
            now_ms + rng.randint(*DEPARTURE_MS),
        )


def draw(
    seed: int,
    length_ms: int,
    core: list,
    nodes: list,
    engines: list,
    groups: tuple = ALL_GROUPS,
) -> Iterator[observations.Fault]:
    """Draw faults in order of time.

    Parameters
    ----------
    seed
        Seed of the random generator.
    length_ms
        Period in which faults begin, in milliseconds.
    core, nodes, engines
        Names of the nodes with a data folder, of all nodes and of the
        engines.
    groups
        Groups of faults to draw from; empty for no faults.

    Yields
    ------
    Fault
        Faults, which may overlap. At most one core node at a time lacks its
        data. Times are in milliseconds from the start of the schedule.
    """
    rng = random.Random(seed)
    now_ms = 0
    protected_until_ms = 0
    while groups:
        now_ms += int(rng.expovariate(1 / MEAN_INTERVAL_MS))
        if now_ms >= length_ms:
            return
        rows = rng.choice(groups)
        kind, _, min_ms, max_ms = rng.choices(rows, [r[1] for r in rows])[0]
        to_ms = now_ms + rng.randint(min_ms, max_ms)
        if rows is ENGINE_FAULTS:
            target = rng.choice(engines)
        elif rows is LINK_FAULTS:
            target = rng.choice(
                nodes if kind is _Kind.CUT else [*nodes, *engines]
            )
        else:
            target = rng.choice(core if kind in NEEDS_DISK else nodes)
        affects_core = target in core or kind is _Kind.KILL_ALL
        if affects_core and now_ms < protected_until_ms:
            continue
        if kind is _Kind.WIPE:
            protected_until_ms = to_ms + CATCH_UP_MS
        if kind is _Kind.STOP:
            to_ms = now_ms + MAX_STOP_MS
        yield observations.Fault(kind, target, now_ms, to_ms)


def draw_troubles(
    seed: int,
    length_ms: int,
    services: list,
    core: list,
    nodes: list,
    faults: list,
) -> Iterator[observations.Fault]:
    """Draw engines that pause or fail requests, and kills of nodes beside.

    They do not change the faults that `draw` yields for the same seed.

    Parameters
    ----------
    seed
        Seed of the random generator.
    length_ms
        Period in which troubles begin, in milliseconds.
    services
        For each service, the names of its engines.
    core, nodes
        Names of the nodes with a data folder and of all nodes.
    faults
        Faults that `draw` has drawn. As there, no core node is killed while
        one recovers its data.

    Yields
    ------
    Fault
        Faults, with times from the start of the schedule. One engine, several
        or all of a service begin to pause at the same time; those of all
        services fail requests at the same time.
    """
    rng = random.Random(f"troubles {seed}")
    recoveries = _recoveries(faults)
    now_ms = 0
    while True:
        now_ms += int(rng.expovariate(1 / MEAN_TROUBLE_INTERVAL_MS))
        if now_ms >= length_ms:
            return
        if rng.random() < 0.6:
            yield from _draw_pauses(rng, now_ms, rng.choice(services))
            continue
        yield from _draw_errors(rng, now_ms, itertools.chain(*services))
        for kill in _draw_kills(rng, now_ms, nodes):
            affects_core = kill.target in core or kill.kind is _Kind.KILL_ALL
            if kill.from_ms < length_ms and not (
                affects_core and _is_in(recoveries, kill.to_ms)
            ):
                yield kill


def draw_planned_work(
    seed: int, length_ms: int, core: list, nodes: list, faults: list
) -> Iterator[observations.Fault]:
    """Draw stops, reloads and changes, each in series over all nodes.

    They do not change the faults that `draw` yields for the same seed.

    Parameters
    ----------
    seed
        Seed of the random generator.
    length_ms
        Period in which planned work begins, in milliseconds.
    core, nodes
        Names of the nodes with a data folder and of all nodes.
    faults
        Faults that `draw` has drawn. As there, no core node is stopped while
        one recovers its data.

    Yields
    ------
    Fault
        Planned work, with times from the start of the schedule. Series of
        different kinds overlap.
    """
    rng = random.Random(f"planned {seed}")
    recoveries = _recoveries(faults)
    for kind, min_ms, max_ms in PLANNED_WORK:
        now_ms = 0
        while True:
            now_ms += int(rng.expovariate(1 / MEAN_SERIES_INTERVAL_MS))
            if now_ms >= length_ms:
                break
            for target in rng.sample(nodes, len(nodes)):
                if now_ms < length_ms and not (
                    kind is _Kind.STOP
                    and target in core
                    and _is_in(recoveries, now_ms)
                ):
                    yield _plan(kind, target, now_ms)
                now_ms += rng.randint(min_ms, max_ms)


def _plan(kind, target: str, now_ms: int) -> observations.Fault:
    length_ms = MAX_STOP_MS if kind is _Kind.STOP else 0
    return observations.Fault(kind, target, now_ms, now_ms + length_ms)


def _recoveries(faults) -> list[tuple[int, int]]:
    """Return the periods in which a core node recovers its data."""
    return [
        (fault.from_ms, fault.to_ms + CATCH_UP_MS)
        for fault in faults
        if fault.kind is _Kind.WIPE
    ]


def _is_in(periods: list[tuple[int, int]], at_ms: int) -> bool:
    return any(start <= at_ms < end for start, end in periods)


def _draw_pauses(rng, now_ms, engines) -> Iterator[observations.Fault]:
    count = rng.choice((1, 1, rng.randint(1, len(engines)), len(engines)))
    share = rng.choice(PAUSE_SHARES)
    says_not_executed = rng.random() < 0.75
    for target in rng.sample(engines, count):
        yield observations.Fault(
            _Kind.ENGINE_PAUSE,
            target,
            now_ms,
            now_ms + rng.randint(*PAUSE_MS),
            share=share,
            says_not_executed=says_not_executed,
        )


def _draw_errors(rng, now_ms, engines) -> Iterator[observations.Fault]:
    error, share = rng.choice(ERROR_NAMES), rng.choice(ERROR_SHARES)
    to_ms = now_ms + rng.randint(*ERRORS_MS)
    for target in engines:
        yield observations.Fault(
            _Kind.ENGINE_ERRORS,
            target,
            now_ms,
            to_ms,
            share=share,
            error=error,
        )


def _draw_kills(rng, now_ms, nodes) -> Iterator[observations.Fault]:
    """Draw no kills, two of each node in turn, or three of all at once."""
    kind, targets, interval_ms = rng.choice(
        (
            (_Kind.KILL, [], 0),
            (_Kind.KILL, [*nodes, *nodes], KILL_EACH_INTERVAL_MS),
            (_Kind.KILL_ALL, nodes[:1] * 3, KILL_ALL_INTERVAL_MS),
        )
    )
    for number, target in enumerate(targets, 1):
        from_ms = now_ms + number * interval_ms
        yield observations.Fault(kind, target, from_ms, from_ms + KILL_MS)
