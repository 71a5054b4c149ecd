"""Draw the faults of a soak from its seed."""

import random
from collections.abc import Iterator

from bilberryramp.soak import observations

__all__ = ["ALL_GROUPS", "ENGINE_FAULTS", "draw", "draw_departures"]

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
