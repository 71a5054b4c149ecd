"""Which engine holds which model and adapter.

Each function answers one load pattern: demand moves to models with few
holders, or calls wait for one that no engine holds (`plan_moves`); an
adapter finds no place (`idle_adapters`).
"""

import collections
import dataclasses
import math
from collections.abc import Iterator

from bilberryramp.decisions.fleet import documents, keys, presence, sharing

__all__ = [
    "LOCAL_LOAD_TIME_RATIO",
    "Demand",
    "Move",
    "EngineState",
    "can_take_adapter",
    "idle_adapters",
    "memory_used_mb",
    "record_demand",
    "record_use",
    "plan_moves",
    "demand_rate",
]

# Time constant of the moving average of demand: short against the seconds in
# which demand moves to other models, long against the time between calls.
DEMAND_TIME_CONSTANT_MS = 2000
# Time of observation below which demand is not told: one call would pass for
# a stream of them.
MIN_OBSERVATION_MS = 1000
# What a load costs, in tokens a second for each copy that it must relieve:
# about a fifteenth of what an engine reads (38.7 prompt tokens in one
# millisecond, data sheet).
MIN_GAIN_TOKENS_PER_S = 2500.0
# What a model without a holder is worth, in the same unit: calls that wait
# for it outweigh all but the few copies of a busy model; without calls it
# only takes memory that is free.
AWAITED_BONUS_TOKENS_PER_S = 20_000.0
ABSENT_BONUS_TOKENS_PER_S = 5000.0
# What the last copy of a model is worth beyond its demand.
LAST_COPY_BONUS_TOKENS_PER_S = 2500.0
# What an engine reads at most, in tokens a second (data sheet), and how much
# more a copy is worth where the others have that much to do: calls wait the
# longer the less of an engine is idle.
ENGINE_TOKENS_PER_S = 38_700.0
UTILIZATION_WEIGHT = 3.0
# A copy in use may still run something, which its unloading waits for.
RECENT_USE_MS = 3000
RECENT_USE_COST_TOKENS_PER_S = 1000.0
# A copy that is taken away must be worth this much less than one that comes.
EVICTION_HYSTERESIS = 1.3
# Loads are compared over this time: a copy that comes late serves less of it.
PLANNING_HORIZON_S = 10.0
# Load time of a copy that the engine keeps at hand, against the weight store.
LOCAL_LOAD_TIME_RATIO = 0.2
# Weight of what an engine does already among places for a copy.
COLOCATION_WEIGHT = 0.1
# Part of the demand for a model with adapters that is held up by a load at
# its engine.
BLOCKED_ADAPTER_DEMAND_RATIO = 0.1
# Moves that are begun at one look.
MAX_MOVES_PER_REVIEW = 8
# An adapter to which no call was sent this long may be unloaded if none is in
# flight: reports of other entries are up to 0.1 s old, and one that was just
# loaded still waits for its first call.
ADAPTER_IDLE_MS = 300
# Adapters that are named to an agent as ones that may give way.
MAX_EVICTION_CANDIDATES = 4


@dataclasses.dataclass(slots=True)
class Demand:
    """Uses of weights, as the entries report them.

    Attributes
    ----------
    used_ms
        Last use by engine and weights.
    rates
        Work asked for by model, tokens a second, and when that was; models
        and engines are keyed as of `keys.short_key`.
    since_ms
        When the first work was noted; None before.
    """

    last_use_ms: dict[tuple[int, str], int] = dataclasses.field(
        default_factory=dict
    )
    rates: dict[int, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    first_demand_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """An engine as placement sees it.

    Attributes
    ----------
    models
        Adapters by model that it holds.
    copies
        Models that it can load without the weight store.
    free_mb
        Memory that nothing takes or is about to take.
    coming, leaving
        Model on its way to it and those that give way to it; a site with
        either takes no further move.
    """

    upstream_id: str
    models: dict[str, set[str]]
    local_models: frozenset[str]
    free_mb: float
    loading: str = ""
    evicting: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Load a model at an engine, after others have given way.

    Attributes
    ----------
    victims
        Models to unload before, as far as memory is short.
    from_store
        Whether it takes a load from the weight store.
    gain
        Worth less costs, in tokens a second for each copy.
    """

    upstream_id: str
    model: str
    victims: tuple[str, ...]
    from_store: bool
    gain: float


@dataclasses.dataclass(slots=True)
class _Plan:
    """What `plan_moves` works on; `local_models` counts those on their way."""

    engine: documents.EngineSpec
    demand: Demand
    awaited: frozenset[str]
    now_ms: int
    copies: collections.Counter
    rates: dict[str, float]
    fill_free_memory: bool


def record_use(
    demand: Demand, upstream_key: int, weights: str, now_ms: int
) -> None:
    """Note that a prompt was sent.

    Parameters
    ----------
    demand
        Changed in place.
    upstream_key, weights, now_ms
        Where it went, as of `keys.short_key`, with which model and
        adapter, and when.
    """
    model = weights.partition("/")[0]
    demand.last_use_ms[(upstream_key, weights)] = now_ms
    demand.last_use_ms[(upstream_key, model)] = now_ms


def record_demand(
    demand: Demand, model_key: int, tokens: int, now_ms: int
) -> None:
    """Note work that clients asked of a model, whether served or not.

    Parameters
    ----------
    demand
        Changed in place.
    model_key, tokens, now_ms
        The model, as of `keys.short_key`, the work and the present.
    """
    if demand.first_demand_ms is None:
        demand.first_demand_ms = now_ms
    previous = _decayed(demand, model_key, now_ms)
    added = 1000 * tokens / DEMAND_TIME_CONSTANT_MS
    demand.rates[model_key] = (previous + added, now_ms)


def demand_rate(demand: Demand, model: str, now_ms: int) -> float:
    """Return the demand for a model.

    Parameters
    ----------
    demand, model, now_ms
        Uses, the model and the present.

    Returns
    -------
    float
        Tokens a second, a moving average; while less than its time constant
        has been seen, over what was.
    """
    if demand.first_demand_ms is None:
        return 0.0
    age_ms = max(now_ms - demand.first_demand_ms, MIN_OBSERVATION_MS)
    observed = 1 - math.exp(-age_ms / DEMAND_TIME_CONSTANT_MS)
    return _decayed(demand, keys.short_key(model), now_ms) / observed


def _decayed(demand: Demand, model_key: int, now_ms: int) -> float:
    tokens, at_ms = demand.rates.get(model_key, (0.0, now_ms))
    return tokens * math.exp((at_ms - now_ms) / DEMAND_TIME_CONSTANT_MS)


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
    reported = {
        resident.model: set(resident.adapters)
        for resident in upstream.last.held
    }
    used = 0.0
    for name in set(reported) | set(upstream.models):
        spec = engine.models.get(name)
        if spec is None:
            return engine.weights_mb
        adapters = reported.get(name, set()) | upstream.models.get(name, set())
        used += spec.weights_mb + spec.adapter_mb * len(adapters)
    return used


def idle_adapters(
    demand: Demand,
    loads: sharing.Loads,
    upstream: presence.Upstream,
    now_ms: int,
) -> tuple[tuple[str, str], ...]:
    """List adapters of an engine that may give way.

    An engine unloads an adapter only once the calls that use it have ended,
    and carries out no other order meanwhile, so those in use are left out.

    Parameters
    ----------
    demand, loads, upstream, now_ms
        Uses, calls in flight, the engine and the present.

    Returns
    -------
    tuple of (str, str)
        Model and adapter, idle longest first.
    """
    upstream_id = upstream.last.upstream_id
    upstream_key = keys.short_key(upstream_id)
    idle = []
    for model, adapters in upstream.models.items():
        for adapter in adapters:
            weights = f"{model}/{adapter}"
            used = demand.last_use_ms.get((upstream_key, weights), 0)
            if now_ms - used < ADAPTER_IDLE_MS:
                continue
            if not sharing.is_adapter_in_use(
                loads, upstream_id, weights, now_ms
            ):
                idle.append((used, model, adapter))
    return tuple((m, a) for _, m, a in sorted(idle)[:MAX_EVICTION_CANDIDATES])


def can_take_adapter(
    engine: documents.EngineSpec,
    demand: Demand,
    loads: sharing.Loads,
    upstream: presence.Upstream,
    now_ms: int,
) -> bool:
    """Tell whether an engine can take one more adapter soon.

    Parameters
    ----------
    engine
        What each engine offers.
    demand, loads, upstream, now_ms
        As for `idle_adapters`.

    Returns
    -------
    bool
        Whether a place is free or can be freed.
    """
    taken = sum(len(adapters) for adapters in upstream.models.values())
    return taken < engine.adapter_slots or bool(
        idle_adapters(demand, loads, upstream, now_ms)
    )


def plan_moves(
    engine: documents.EngineSpec,
    states: list[EngineState],
    demand: Demand,
    awaited: frozenset[str],
    store_loads: int,
    now_ms: int,
    fill_free_memory: bool = True,
) -> Iterator[Move]:
    """Plan copies of models where demand for them has outgrown the others.

    A copy is worth what it takes off each other copy of its model: it spares
    a fraction of the demand that shrinks with each copy, so copies end up
    about in proportion to demand and the busiest models give copies up last.

    Parameters
    ----------
    engine, sites, demand
        What engines offer, the engines of one service, and uses.
    waited_for
        Models that calls wait for and no engine holds.
    store_loads
        Loads that the weight store still allows.
    now_ms
        The present.
    fills
        Whether free memory is filled with models that nobody asks for.

    Yields
    ------
    Move
        The most worthwhile first, one for an engine.
    """
    plan = _Plan(
        engine,
        demand,
        awaited,
        now_ms,
        _count_copies(states),
        {name: demand_rate(demand, name, now_ms) for name in engine.models},
        fill_free_memory and not awaited,
    )
    available = [s for s in states if not s.loading and not s.evicting]
    for _ in range(MAX_MOVES_PER_REVIEW):
        options = (
            move
            for model in plan.engine.models
            if _copy_value(plan, model) > MIN_GAIN_TOKENS_PER_S
            for state in available
            for move in _candidate_moves(plan, state, model, store_loads)
        )
        best = max(options, key=_preference, default=None)
        if best is None:
            return
        yield best
        store_loads -= best.from_store
        plan.copies[best.model] += 1
        plan.copies.subtract(best.victims)
        available = [s for s in available if s.upstream_id != best.upstream_id]


def _preference(move: Move) -> tuple:
    return (move.gain, -len(move.victims))


def _count_copies(states: list[EngineState]) -> collections.Counter:
    return collections.Counter(
        model
        for state in states
        for model in {*state.models, state.loading} - {"", *state.evicting}
    )


def _copy_value(plan: _Plan, model: str) -> float:
    """Return what one more copy of a model is worth."""
    copies, rate = plan.copies[model], plan.rates[model]
    if copies > 0:
        return _relieved_demand(rate, copies)
    return rate + (
        AWAITED_BONUS_TOKENS_PER_S
        if model in plan.awaited
        else ABSENT_BONUS_TOKENS_PER_S
    )


def _relieved_demand(rate: float, copies: int) -> float:
    """Return what one copy more takes off each of a model's copies."""
    utilization = rate / copies / ENGINE_TOKENS_PER_S
    return (
        rate
        / (copies * (copies + 1))
        * (1 + UTILIZATION_WEIGHT * utilization**2)
    )


def _eviction_cost(plan: _Plan, state: EngineState, model: str) -> float:
    """Return what is lost when an engine gives a copy up."""
    rate = plan.rates.get(model, 0.0)
    copies = plan.copies[model]
    cost = (
        _relieved_demand(rate, copies - 1)
        if copies > 1
        else rate + LAST_COPY_BONUS_TOKENS_PER_S
    )
    key = (keys.short_key(state.upstream_id), model)
    last_use_ms = plan.demand.last_use_ms.get(key)
    if last_use_ms is not None and plan.now_ms - last_use_ms < RECENT_USE_MS:
        cost += RECENT_USE_COST_TOKENS_PER_S
    return cost


def _candidate_moves(
    plan: _Plan, state: EngineState, model: str, store_loads: int
) -> Iterator[Move]:
    """Yield the move of a model to an engine if it pays."""
    from_store = model not in state.local_models
    if model in state.models or from_store and store_loads < 1:
        return
    spec = plan.engine.models[model]
    costs = sorted(
        (_eviction_cost(plan, state, resident), resident)
        for resident in state.models
        if resident in plan.engine.models
    )
    victims = _choose_victims(plan, costs, spec.weights_mb - state.free_mb)
    is_awaited = model in plan.awaited
    is_unrequested = not plan.copies[model] and not is_awaited
    if (
        victims is None
        or is_unrequested
        and (victims or not plan.fill_free_memory)
    ):
        return
    load_s = spec.load_s * (1.0 if from_store else LOCAL_LOAD_TIME_RATIO)
    cost = sum(cost for cost, resident in costs if resident in victims)
    gain = (
        _copy_value(plan, model) * max(1 - load_s / PLANNING_HORIZON_S, 0.1)
        - EVICTION_HYSTERESIS * cost
        - _interference_cost(plan, state, load_s)
    )
    if gain > (0 if is_awaited else MIN_GAIN_TOKENS_PER_S):
        yield Move(state.upstream_id, model, victims, from_store, gain)


def _interference_cost(
    plan: _Plan, state: EngineState, load_s: float
) -> float:
    """Return what a load takes from what an engine does already.

    Another model shares its batch, and no adapter can come while it loads.
    """
    cost = 0.0
    for resident in state.models:
        served = plan.rates.get(resident, 0.0) / max(plan.copies[resident], 1)
        cost += COLOCATION_WEIGHT * served
        if (
            resident in plan.engine.models
            and plan.engine.models[resident].adapters
        ):
            cost += (
                BLOCKED_ADAPTER_DEMAND_RATIO
                * served
                * load_s
                / PLANNING_HORIZON_S
            )
    return cost


def _choose_victims(
    plan: _Plan, costs: list[tuple[float, str]], short_mb: float
) -> tuple[str, ...] | None:
    """Pick the models that give way: one if that suffices, else several."""
    if short_mb <= 0:
        return ()
    models = plan.engine.models
    for _, resident in costs:
        if models[resident].weights_mb >= short_mb:
            return (resident,)
    chosen = []
    for _, resident in costs:
        chosen.append(resident)
        short_mb -= models[resident].weights_mb
        if short_mb <= 0:
            return tuple(chosen)
    return None
