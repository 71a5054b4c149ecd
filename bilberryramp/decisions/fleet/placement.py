"""Which engine holds which model, planned from the demand just seen."""

import collections
import dataclasses
from collections.abc import Collection, Iterator

from bilberryramp.decisions.fleet import documents, presence

__all__ = [
    "Demand",
    "Move",
    "decay",
    "idle_adapter",
    "memory_used_mb",
    "note_use",
    "note_want",
    "plan",
]

# A model not asked for this long may give way to one that is.
IDLE_MODEL_MS = 4000
# An adapter not used this long may be unloaded.
IDLE_ADAPTER_MS = 1500
# A want counts this long, since its callers wait or come back.
WANT_MS = 5000
# Half-life of the use of a model, as the demand that is planned for.
HALF_LIFE_MS = 4000
# Another copy is made when the calls at a model's holders, each counted
# with its half-life, exceed this many for each holder.
USES_PER_COPY = 14.0


@dataclasses.dataclass(slots=True)
class Demand:
    """Uses of weights, as the entries report them.

    Attributes
    ----------
    used_ms
        Last use by engine and weights, and by model over all engines.
    uses
        Uses of each model, halved every `HALF_LIFE_MS`.
    wants_ms
        When a model that no engine holds was last asked for.
    """

    used_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    uses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    wants_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    decayed_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Load a model at an engine, or unload it."""

    upstream_id: str
    load: bool
    model: str


def note_use(
    demand: Demand, upstream_id: str, weights: str, now_ms: int
) -> None:
    """Count a prompt that was sent.

    Parameters
    ----------
    demand
        Changed in place.
    upstream_id, weights, now_ms
        Where it went, with which model and adapter, and when.
    """
    model = weights.partition("/")[0]
    demand.used_ms[(upstream_id, weights)] = now_ms
    demand.used_ms[(upstream_id, model)] = now_ms
    demand.used_ms[("", model)] = now_ms
    demand.uses[model] += 1


def note_want(demand: Demand, service: str, model: str, now_ms: int) -> None:
    """Record that a call waits for a model or one of its adapters.

    Parameters
    ----------
    demand
        Changed in place.
    service, model, now_ms
        What is wanted, and when.
    """
    demand.wants_ms[(service, model)] = now_ms


def decay(demand: Demand, now_ms: int) -> None:
    """Let old demand fade.

    Parameters
    ----------
    demand, now_ms
        Changed in place, and the present.
    """
    passed = max(now_ms - demand.decayed_ms, 0)
    factor = 0.5 ** (passed / HALF_LIFE_MS)
    for model in list(demand.uses):
        demand.uses[model] *= factor
    demand.decayed_ms = now_ms


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
    names = {held.model for held in upstream.last.held} | set(upstream.models)
    used = 0.0
    for name in names:
        spec = engine.models.get(name)
        if spec is None:
            return engine.weights_mb
        adapters = upstream.models.get(name, ())
        used += spec.weights_mb + spec.adapter_mb * len(adapters)
    return used


def idle_adapter(
    demand: Demand, upstream: presence.Upstream, now_ms: int
) -> tuple[str, str] | None:
    """Pick the adapter of an engine that was used least recently.

    Parameters
    ----------
    demand, upstream, now_ms
        Uses, the engine and the present.

    Returns
    -------
    tuple or None
        Model and adapter; None while all were used just now.
    """
    upstream_id = upstream.last.upstream_id
    oldest, victim = now_ms - IDLE_ADAPTER_MS, None
    for model, adapters in upstream.models.items():
        for adapter in adapters:
            key = (upstream_id, f"{model}/{adapter}")
            used = demand.used_ms.get(key, 0)
            if used < oldest:
                oldest, victim = used, (model, adapter)
    return victim


def plan(
    engine: documents.EngineSpec,
    service: str,
    upstreams: list[presence.Upstream],
    busy: Collection[str],
    demand: Demand,
    now_ms: int,
) -> Iterator[Move]:
    """Plan the next moves of a service's models.

    A model that calls wait for comes first, then another copy of one whose
    holders are crowded. An engine without room first unloads an idle model,
    never the last copy of one that was asked for lately.

    Parameters
    ----------
    engine, service
        What the service's engines offer.
    upstreams
        The engines in use.
    busy
        Engines with an order under way.
    demand, now_ms
        Uses and wants, and the present.

    Yields
    ------
    Move
        At most one for each engine.
    """
    free = [u for u in upstreams if u.last.upstream_id not in busy]
    copies = collections.Counter(m for u in upstreams for m in u.models)
    for model in _short_models(engine, service, copies, demand, now_ms):
        move = _make_room(engine, free, copies, model, demand, now_ms)
        if move is not None:
            free = [u for u in free if u.last.upstream_id != move.upstream_id]
            yield move


def _short_models(engine, service, copies, demand, now_ms) -> list[str]:
    wanted = [
        name
        for name in engine.models
        if copies[name] == 0
        and now_ms - demand.wants_ms.get((service, name), -WANT_MS) < WANT_MS
    ]
    crowded = [
        name
        for name in engine.models
        if copies[name] and demand.uses[name] / copies[name] > USES_PER_COPY
    ]
    crowded.sort(key=lambda name: -demand.uses[name] / copies[name])
    return wanted + crowded


def _make_room(engine, free, copies, model, demand, now_ms) -> Move | None:
    size = engine.models[model].weights_mb
    hosts = [u for u in free if model not in u.models]
    hosts.sort(key=lambda u: _recent_uses(demand, u))
    for upstream in hosts:
        left = engine.weights_mb - memory_used_mb(engine, upstream)
        if left >= size:
            return Move(upstream.last.upstream_id, True, model)
    for upstream in hosts:
        victim = _idle_model(upstream, copies, demand, now_ms)
        if victim is not None:
            copies[victim] -= 1
            return Move(upstream.last.upstream_id, False, victim)
    return None


def _recent_uses(demand: Demand, upstream: presence.Upstream) -> float:
    return sum(demand.uses[model] for model in upstream.models)


def _idle_model(upstream, copies, demand, now_ms) -> str | None:
    upstream_id = upstream.last.upstream_id
    best, least = None, 0.0
    for model in upstream.models:
        used_here = demand.used_ms.get((upstream_id, model), -IDLE_MODEL_MS)
        used_ever = demand.used_ms.get(("", model), -IDLE_MODEL_MS)
        idle_here = now_ms - used_here >= IDLE_MODEL_MS
        idle_all = now_ms - used_ever >= IDLE_MODEL_MS
        spare = copies[model] > 1
        if not (idle_all or (spare and idle_here)):
            continue
        cost = demand.uses[model] / max(copies[model], 1)
        if best is None or cost < least:
            best, least = model, cost
    return best
