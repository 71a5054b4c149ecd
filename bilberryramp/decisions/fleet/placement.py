"""Which engine holds which model and adapter.

Each function answers one load pattern: a model that no engine holds is asked
for (`make_room`, urgent), the holders of a model are crowded
(`crowded`, `make_room`), an adapter finds no place (`idle_adapters`).
"""

import collections
import dataclasses

from bilberryramp.decisions.fleet import documents, presence, sharing

__all__ = [
    "Demand",
    "Move",
    "Site",
    "crowded",
    "idle_adapters",
    "make_room",
    "memory_used_mb",
    "note_crowding",
    "note_use",
]

# A model not used this long at an engine is idle there.
IDLE_MODEL_MS = 3000
# The last copy of a model gives way to another only when nothing asked for
# it this long.
IDLE_LAST_COPY_MS = 5000
# An adapter not used this long may be unloaded.
IDLE_ADAPTER_MS = 2000
# Adapters that are named to an agent as ones that may give way.
MOST_SPARE = 4
# Unread prompt tokens at the least loaded holder of a model from which on
# another copy is worth a load, and the weight of the newest look.
CROWDED_TOKENS = 5000
NEWEST_WEIGHT = 0.4


# Stands for all engines together among the keys of `Demand.used_ms`.
ANYWHERE = -1


@dataclasses.dataclass(slots=True)
class Demand:
    """Uses of weights, as the entries report them.

    Attributes
    ----------
    used_ms
        Last use by engine and weights, and by model over all engines.
    crowding
        Moving average of the unread prompt tokens at the least loaded
        holder of each model.
    """

    used_ms: dict[tuple[int, str], int] = dataclasses.field(
        default_factory=dict
    )
    crowding: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """An engine as placement sees it.

    Attributes
    ----------
    models
        Adapters by model that it holds.
    copies
        Models that it can load without the weight store.
    free_mb
        Memory that nothing takes or is about to take.
    is_busy
        Whether it carries out an order on a model.
    coming
        Models and adapters on their way to it.
    is_emptying
        Whether something is on its way out.
    load
        Calls in flight over all entries.
    """

    upstream_id: str
    models: dict[str, set[str]]
    copies: frozenset[str]
    free_mb: float
    is_busy: bool
    coming: frozenset[tuple[str, str]]
    is_emptying: bool
    load: sharing.Load


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Load a model at an engine, or unload it."""

    upstream_id: str
    load: bool
    model: str


def note_use(
    demand: Demand, upstream_key: int, weights: str, now_ms: int
) -> None:
    """Note that a prompt was sent.

    Parameters
    ----------
    demand
        Changed in place.
    upstream_key, weights, now_ms
        Where it went, as of `sharing.short_key`, with which model and
        adapter, and when.
    """
    model = weights.partition("/")[0]
    demand.used_ms[(upstream_key, weights)] = now_ms
    demand.used_ms[(upstream_key, model)] = now_ms
    demand.used_ms[(ANYWHERE, model)] = now_ms


def note_crowding(demand: Demand, sites: list[Site]) -> None:
    """Take a look at how much waits at the holders of each model.

    Parameters
    ----------
    demand
        Changed in place.
    sites
        The engines of a service.
    """
    least: dict[str, int] = {}
    for site in sites:
        for model in site.models:
            unread = sum(site.load.unread)
            least[model] = min(least.get(model, unread), unread)
    for model, unread in least.items():
        before = demand.crowding.get(model, 0.0)
        demand.crowding[model] = before + NEWEST_WEIGHT * (unread - before)


def crowded(
    engine: documents.EngineSpec, demand: Demand, sites: list[Site]
) -> list[str]:
    """List models whose holders have much waiting, most crowded first.

    Parameters
    ----------
    engine, demand, sites
        What engines offer, uses, and the engines.

    Returns
    -------
    list of str
        Without those of which enough copies are on their way.
    """
    coming = collections.Counter(m for s in sites for m, _ in s.coming)
    short = [
        (crowd, model)
        for model, crowd in demand.crowding.items()
        if crowd > CROWDED_TOKENS * (1 + 2 * coming[model])
        and model in engine.models
    ]
    return [model for _, model in sorted(short, reverse=True)]


def memory_used_mb(
    engine: documents.EngineSpec, upstream: presence.Upstream
) -> float:
    """Return the weights' memory in use at an engine.

    Parameters
    ----------
    engine, upstream
        Sizes, and what the engine holds.

    Returns
    -------
    float
        Megabytes; a model of unknown size counts as the whole memory.
    """
    told = {held.model: set(held.adapters) for held in upstream.last.held}
    used = 0.0
    for name in set(told) | set(upstream.models):
        spec = engine.models.get(name)
        if spec is None:
            return engine.weights_mb
        adapters = told.get(name, set()) | upstream.models.get(name, set())
        used += spec.weights_mb + spec.adapter_mb * len(adapters)
    return used


def idle_adapters(
    demand: Demand, upstream: presence.Upstream, now_ms: int
) -> tuple[tuple[str, str], ...]:
    """List adapters of an engine that may give way.

    Parameters
    ----------
    demand, upstream, now_ms
        Uses, the engine and the present.

    Returns
    -------
    tuple of (str, str)
        Model and adapter, idle longest first.
    """
    upstream_key = sharing.short_key(upstream.last.upstream_id)
    idle = []
    for model, adapters in upstream.models.items():
        for adapter in adapters:
            key = (upstream_key, f"{model}/{adapter}")
            used = demand.used_ms.get(key, 0)
            if now_ms - used >= IDLE_ADAPTER_MS:
                idle.append((used, model, adapter))
    return tuple((m, a) for _, m, a in sorted(idle)[:MOST_SPARE])


def make_room(
    engine: documents.EngineSpec,
    sites: list[Site],
    model: str,
    demand: Demand,
    now_ms: int,
    is_urgent: bool,
) -> Move | None:
    """Plan the next step towards another copy of a model.

    An engine with room and a copy at hand comes first, then one with room;
    else the least used surplus copy of another model is unloaded, and the
    last copy of one only where calls wait for a model that no engine holds.

    Parameters
    ----------
    engine, sites, model, demand, now_ms
        What engines offer, the engines, the model, uses and the present.
    is_urgent
        Whether no engine holds the model.

    Returns
    -------
    Move or None
        None while nothing can be done.
    """
    size = engine.models[model].weights_mb
    hosts = [s for s in sites if model not in s.models and not s.is_busy]
    hosts.sort(key=lambda s: (model not in s.copies, sum(s.load.unread)))
    for site in hosts:
        if site.free_mb >= size:
            return Move(site.upstream_id, True, model)
    # Room is being made somewhere already.
    if any(site.is_emptying and site.is_busy for site in sites):
        return None
    copies = collections.Counter(name for s in sites for name in s.models)
    options = [
        (rank, index, site.upstream_id, victim)
        for index, site in enumerate(hosts)
        for victim in site.models
        if site.free_mb + engine.models[victim].weights_mb >= size
        for rank in _give_way_rank(
            site, victim, copies, demand, now_ms, is_urgent
        )
    ]
    if not options:
        return None
    _, _, upstream_id, victim = min(options)
    return Move(upstream_id, False, victim)


def _give_way_rank(site, victim, copies, demand, now_ms, is_urgent):
    """Yield a rank if a model may leave an engine; lower goes first."""
    used_here = demand.used_ms.get(
        (sharing.short_key(site.upstream_id), victim), 0
    )
    used_ever = demand.used_ms.get((ANYWHERE, victim), 0)
    if copies[victim] > 1 and now_ms - used_here >= IDLE_MODEL_MS:
        yield (0, used_here)
    elif (
        copies[victim] == 1
        and is_urgent
        and now_ms - used_ever >= IDLE_LAST_COPY_MS
    ):
        yield (1, used_ever)
