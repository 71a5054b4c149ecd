"""Placement of models and adapters on engines.

`plan_moves` adds copies of a model when its demand shifts or when calls wait
for a model that no engine holds. `idle_adapters` selects adapters to evict
when all adapter slots of an engine are taken.
"""

import collections
import dataclasses
import math
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import (
    documents,
    keys,
    presence,
    sharing,
)

__all__ = [
    "Demand",
    "EngineState",
    "LOCAL_LOAD_TIME_RATIO",
    "Move",
    "can_load_adapter",
    "demand_rate",
    "idle_adapters",
    "memory_used_mb",
    "plan_moves",
    "record_demand",
    "record_use",
]

# Time constant of the moving average of demand: shorter than the seconds in
# which demand shifts between models, longer than the time between calls.
DEMAND_TIME_CONSTANT_MS = 2000
# Minimum observation time in the estimate of demand. With a shorter one, a
# single call would look like a stream of calls.
MIN_OBSERVATION_MS = 1000
# Minimum gain of a move, which is the cost of a load: about a fifteenth of the
# read rate of an engine (38.7 prompt tokens per millisecond, data sheet).
MIN_GAIN_TOKENS_PER_S = 2500.0
# Added value of a model that no engine holds and that calls wait for; it
# outweighs all evictions except those of the few copies of a busy model.
AWAITED_BONUS_TOKENS_PER_S = 20_000.0
# Added value of a model that no engine holds and no call waits for; it is
# loaded into free memory only.
ABSENT_BONUS_TOKENS_PER_S = 5000.0
# Added cost of evicting the last copy of a model, besides its demand.
LAST_COPY_BONUS_TOKENS_PER_S = 2500.0
# Maximum read rate of an engine (data sheet).
ENGINE_TOKENS_PER_S = 38_700.0
# Weight of the squared utilization of existing copies in the value of a new
# one, because queueing delays grow as engines approach full utilization.
UTILIZATION_WEIGHT = 3.0
# A copy used within this time may still run calls, which its eviction must
# wait for.
RECENT_USE_MS = 3000
# Added cost of evicting a copy that was used within RECENT_USE_MS.
RECENT_USE_COST_TOKENS_PER_S = 1000.0
# Factor by which the value of a new copy must exceed the cost of evictions.
EVICTION_HYSTERESIS = 1.3
# Period over which moves are compared; load time reduces the part of it that
# a copy serves.
PLANNING_HORIZON_S = 10.0
# Load time from the engine's local copy, relative to the weight store.
LOCAL_LOAD_TIME_RATIO = 0.2
# Weight of an engine's current load in the choice of the engine for a copy.
COLOCATION_WEIGHT = 0.1
# Fraction of the demand for a model with adapters that a load at its engine
# delays.
BLOCKED_ADAPTER_DEMAND_RATIO = 0.1
# Limit on the moves that one placement review starts per service.
MAX_MOVES_PER_REVIEW = 8
# Minimum time since the last call for an adapter before it may be evicted;
# reports of other gateways are up to 0.1 s old, and an adapter that was just
# loaded has not received its first call.
ADAPTER_IDLE_MS = 300
# Limit on the eviction candidates that are listed in a request to an agent.
MAX_EVICTION_CANDIDATES = 4


@dataclasses.dataclass(slots=True)
class Demand:
    """Demand for models and recent uses of weights, from all load reports.

    Models and engines are keyed by `keys.short_key`.

    Attributes
    ----------
    last_use_ms
        When a prompt was last sent, by engine key and name of the weights.
    rates
        Moving average of requested work in tokens per second, and when it was
        last updated, by model key.
    first_demand_ms
        When the first work was recorded; None before.
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
    """State of an engine as input of placement.

    Attributes
    ----------
    upstream_id
        Identifier of the engine.
    models
        Names of resident adapters by model.
    local_models
        Models of which the engine has a local copy, so that it can load them
        without the weight store.
    free_mb
        Memory that is neither in use nor reserved, in megabytes.
    loading
        Model that is being loaded; empty if none is.
    evicting
        Models that are being evicted to free memory for `loading`. An engine
        that loads or evicts a model is not considered for another move.
    is_orderable
        Whether orders can reach the engine; if not, it gets no move.
    """

    upstream_id: str
    models: dict[str, set[str]]
    local_models: frozenset[str]
    free_mb: float
    loading: str = ""
    evicting: tuple[str, ...] = ()
    is_orderable: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """A decision to load a model at an engine.

    Attributes
    ----------
    upstream_id
        Identifier of the engine.
    model
        Name of the model to load.
    victims
        Models to evict first, if memory is short.
    from_store
        Whether the model must be loaded from the weight store.
    gain
        Value of the copy less all costs, in tokens per second per copy.
    """

    upstream_id: str
    model: str
    victims: tuple[str, ...]
    from_store: bool
    gain: float


@dataclasses.dataclass(slots=True)
class _Plan:
    """Working state of `plan_moves`.

    Attributes
    ----------
    engine, demand, awaited, now_ms
        Arguments of `plan_moves`.
    copies
        Number of copies by model, including those being loaded.
    rates
        Demand by model in tokens per second.
    fill_free_memory
        Whether to fill free memory with models that are neither resident nor
        requested; False while calls wait for a model.
    """

    engine: documents.EngineSpec
    demand: Demand
    awaited: frozenset[str]
    now_ms: int
    copies: collections.Counter
    rates: dict[str, float]
    fill_free_memory: bool


@dataclasses.dataclass(slots=True, frozen=True)
class _EngineCosts:
    """Costs of loading another model at an engine, in tokens per second.

    They are the same for each model that could be loaded, so they are
    computed once for all models. The new model shares the engine's batch, and
    the engine can load no adapter until the load has ended.

    Attributes
    ----------
    state
        State of the engine.
    evictions
        Cost of evicting each resident model, and its name, cheapest first.
    colocation
        Cost of sharing the engine's batch with the resident models.
    blocking_per_s
        Cost of a second of loading for calls that wait for adapters.
    """

    state: EngineState
    evictions: list[tuple[float, str]]
    colocation: float
    blocking_per_s: float


def record_use(
    demand: Demand, upstream_key: int, weights: str, now_ms: int
) -> None:
    """Record that a prompt was sent to an engine.

    Parameters
    ----------
    demand
        Demand and recent uses. Modified in place.
    upstream_key
        Short key of the engine's id; see `keys.short_key`.
    weights
        Model and adapter, as in `Prompt.weights`.
    now_ms
        Current time in milliseconds.
    """
    model = weights.partition("/")[0]
    demand.last_use_ms[(upstream_key, weights)] = now_ms
    demand.last_use_ms[(upstream_key, model)] = now_ms


def record_demand(
    demand: Demand, model_key: int, tokens: int, now_ms: int
) -> None:
    """Record work that clients requested, whether or not it is served.

    Parameters
    ----------
    demand
        Demand and recent uses. Modified in place.
    model_key
        Short key of the model's name; see `keys.short_key`.
    tokens
        The work, in prompt tokens.
    now_ms
        Current time in milliseconds.
    """
    if demand.first_demand_ms is None:
        demand.first_demand_ms = now_ms
    previous = _decayed_rate(demand, model_key, now_ms)
    added = 1000 * tokens / DEMAND_TIME_CONSTANT_MS
    demand.rates[model_key] = (previous + added, now_ms)


def demand_rate(demand: Demand, model: str, now_ms: int) -> float:
    """Return the demand for a model.

    Parameters
    ----------
    demand
        Demand and recent uses.
    model
        Name of the model.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Moving average in tokens per second, corrected for the observation time
        while that is short compared with the time constant.
    """
    if demand.first_demand_ms is None:
        return 0.0
    age_ms = max(now_ms - demand.first_demand_ms, MIN_OBSERVATION_MS)
    observed_ratio = 1 - math.exp(-age_ms / DEMAND_TIME_CONSTANT_MS)
    return (
        _decayed_rate(demand, keys.short_key(model), now_ms) / observed_ratio
    )


def _decayed_rate(demand: Demand, model_key: int, now_ms: int) -> float:
    """Return the moving average of a model's demand as of now."""
    tokens, updated_ms = demand.rates.get(model_key, (0.0, now_ms))
    return tokens * math.exp((updated_ms - now_ms) / DEMAND_TIME_CONSTANT_MS)


def memory_used_mb(
    engine: documents.EngineSpec, upstream: presence.Upstream
) -> float:
    """Return the memory that weights use at an engine.

    Parameters
    ----------
    engine
        Description of the service's engines.
    upstream
        The engine with its resident models.

    Returns
    -------
    float
        Size in megabytes; all of the engine's memory if the size of a resident
        model is unknown.
    """
    reported_adapters = {
        resident.model: set(resident.adapters)
        for resident in upstream.announcement.held
    }
    used_mb = 0.0
    for name in set(reported_adapters) | set(upstream.models):
        spec = engine.models.get(name)
        if spec is None:
            return engine.weights_mb
        adapters = reported_adapters.get(name, set()) | upstream.models.get(
            name, set()
        )
        used_mb += spec.weights_mb + spec.adapter_mb * len(adapters)
    return used_mb


def idle_adapters(
    demand: Demand,
    loads: sharing.Loads,
    upstream: presence.Upstream,
    now_ms: int,
) -> tuple[tuple[str, str], ...]:
    """List adapters of an engine that may be evicted.

    Adapters in use are excluded: an engine unloads an adapter only after the
    calls that use it have ended, and executes no other order until then.

    Parameters
    ----------
    demand
        Demand and recent uses.
    loads
        Known loads of this gateway and of its peers.
    upstream
        The engine.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    tuple of (str, str)
        Pairs of model and adapter, the longest idle first; at most
        `MAX_EVICTION_CANDIDATES`.
    """
    upstream_id = upstream.announcement.upstream_id
    upstream_key = keys.short_key(upstream_id)
    idle = []
    for model, adapters in upstream.models.items():
        for adapter in adapters:
            weights = f"{model}/{adapter}"
            used_ms = demand.last_use_ms.get((upstream_key, weights), 0)
            if now_ms - used_ms < ADAPTER_IDLE_MS:
                continue
            if not sharing.is_adapter_in_use(
                loads, upstream_id, weights, now_ms
            ):
                idle.append((used_ms, model, adapter))
    return tuple((m, a) for _, m, a in sorted(idle)[:MAX_EVICTION_CANDIDATES])


def can_load_adapter(
    engine: documents.EngineSpec,
    demand: Demand,
    loads: sharing.Loads,
    upstream: presence.Upstream,
    now_ms: int,
) -> bool:
    """Return whether an engine can soon load another adapter.

    Parameters
    ----------
    engine
        Description of the service's engines.
    demand, loads, upstream, now_ms
        As for `idle_adapters`.

    Returns
    -------
    bool
        Whether an adapter slot is free or occupied by an idle adapter.
    """
    used_slots = sum(len(adapters) for adapters in upstream.models.values())
    return used_slots < engine.adapter_slots or bool(
        idle_adapters(demand, loads, upstream, now_ms)
    )


def plan_moves(
    engine: documents.EngineSpec,
    states: list[EngineState],
    demand: Demand,
    awaited: frozenset[str],
    allowed_store_loads: int,
    now_ms: int,
    fill_free_memory: bool = True,
) -> Iterator[Move]:
    """Plan new copies of models for which demand exceeds the existing copies.

    The value of a copy is the demand that it takes off each other copy of its
    model. It shrinks with each copy, so the numbers of copies become about
    proportional to demand, and copies of the busiest models are evicted last.

    Parameters
    ----------
    engine
        Description of the service's engines.
    states
        States of the service's engines.
    demand
        Demand and recent uses.
    awaited
        Models that calls wait for and that no engine holds.
    allowed_store_loads
        Number of loads that the rate limit of the weight store still permits.
    now_ms
        Current time in milliseconds.
    fill_free_memory
        Whether to fill free memory with models that are neither resident nor
        requested.

    Yields
    ------
    Move
        Moves by decreasing gain, at most one per engine.
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
    available = [
        state
        for state in states
        if state.is_orderable and not state.loading and not state.evicting
    ]
    for _ in range(MAX_MOVES_PER_REVIEW):
        costs = [_engine_costs(plan, state) for state in available]
        options = (
            move
            for model in plan.engine.models
            if _is_worth_a_copy(plan, model)
            for engine_costs in costs
            for move in _candidate_moves(
                plan, engine_costs, model, allowed_store_loads
            )
        )
        best = max(options, key=_move_sort_key, default=None)
        if best is None:
            return
        yield best
        allowed_store_loads -= best.from_store
        plan.copies[best.model] += 1
        plan.copies.subtract(best.victims)
        available = [s for s in available if s.upstream_id != best.upstream_id]


def _is_worth_a_copy(plan: _Plan, model: str) -> bool:
    """Return whether any engine might load a copy of a model."""
    if _copy_value(plan, model) <= MIN_GAIN_TOKENS_PER_S:
        return False
    return (
        plan.copies[model] > 0
        or model in plan.awaited
        or plan.fill_free_memory
    )


def _move_sort_key(move: Move) -> tuple:
    """Return a key by which the move with the highest gain is the largest.

    Among moves of equal gain, fewer evictions are preferred.
    """
    return (move.gain, -len(move.victims))


def _count_copies(states: list[EngineState]) -> collections.Counter:
    """Count copies by model, with loading and without evicting ones."""
    return collections.Counter(
        model
        for state in states
        for model in {*state.models, state.loading} - {"", *state.evicting}
    )


def _copy_value(plan: _Plan, model: str) -> float:
    """Return the value of one more copy of a model, in tokens per second."""
    copies, rate = plan.copies[model], plan.rates[model]
    if copies > 0:
        return _relieved_demand(rate, copies)
    return rate + (
        AWAITED_BONUS_TOKENS_PER_S
        if model in plan.awaited
        else ABSENT_BONUS_TOKENS_PER_S
    )


def _relieved_demand(rate: float, copies: int) -> float:
    """Return the demand that another copy takes off each existing copy.

    It is weighted by the utilization of the existing copies.
    """
    utilization = rate / copies / ENGINE_TOKENS_PER_S
    return (
        rate
        / (copies * (copies + 1))
        * (1 + UTILIZATION_WEIGHT * utilization**2)
    )


def _eviction_cost(plan: _Plan, state: EngineState, model: str) -> float:
    """Return the cost of evicting a model, in tokens per second."""
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


def _engine_costs(plan: _Plan, state: EngineState) -> _EngineCosts:
    colocation, blocking = 0.0, 0.0
    for resident in state.models:
        served_rate = plan.rates.get(resident, 0.0) / max(
            plan.copies[resident], 1
        )
        colocation += COLOCATION_WEIGHT * served_rate
        spec = plan.engine.models.get(resident)
        if spec is not None and spec.adapters:
            blocking += BLOCKED_ADAPTER_DEMAND_RATIO * served_rate
    evictions = sorted(
        (_eviction_cost(plan, state, resident), resident)
        for resident in state.models
        if resident in plan.engine.models
    )
    return _EngineCosts(
        state, evictions, colocation, blocking / PLANNING_HORIZON_S
    )


def _candidate_moves(
    plan: _Plan, costs: _EngineCosts, model: str, allowed_store_loads: int
) -> Iterator[Move]:
    """Yield the move of a model to an engine if its gain is sufficient."""
    state = costs.state
    from_store = model not in state.local_models
    if model in state.models or from_store and allowed_store_loads < 1:
        return
    spec = plan.engine.models[model]
    victims = _choose_victims(
        plan, costs.evictions, spec.weights_mb - state.free_mb
    )
    is_awaited = model in plan.awaited
    is_unrequested = not plan.copies[model] and not is_awaited
    if (
        victims is None
        or is_unrequested
        and (victims or not plan.fill_free_memory)
    ):
        return
    load_s = spec.load_s * (1.0 if from_store else LOCAL_LOAD_TIME_RATIO)
    cost = sum(c for c, resident in costs.evictions if resident in victims)
    gain = (
        _copy_value(plan, model) * max(1 - load_s / PLANNING_HORIZON_S, 0.1)
        - EVICTION_HYSTERESIS * cost
        - costs.colocation
        - costs.blocking_per_s * load_s
    )
    if gain > (0 if is_awaited else MIN_GAIN_TOKENS_PER_S):
        yield Move(state.upstream_id, model, victims, from_store, gain)


def _choose_victims(
    plan: _Plan, costs: list[tuple[float, str]], missing_mb: float
) -> tuple[str, ...] | None:
    """Choose the models to evict: one if it is large enough, else several.

    Return None if evicting all of them does not free enough memory.
    """
    if missing_mb <= 0:
        return ()
    models = plan.engine.models
    for _, resident in costs:
        if models[resident].weights_mb >= missing_mb:
            return (resident,)
    victims = []
    for _, resident in costs:
        victims.append(resident)
        missing_mb -= models[resident].weights_mb
        if missing_mb <= 0:
            return tuple(victims)
    return None
