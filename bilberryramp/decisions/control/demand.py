"""Number of replicas of each model, derived from its demand.

Demand is the number of busy requests, which run or wait; entry and upstream
processes report it with a delay. Replicas are added when the demand stays
above the capacity of a model's replicas, and removed only after it has been
low for a long time, because each change of placement disturbs requests.
"""

import dataclasses
import math
from collections.abc import Mapping

from bilberryramp.decisions.shared import tables

__all__ = ["DemandSettings", "ModelDemand", "DemandTracker", "update_targets"]


@dataclasses.dataclass(slots=True, frozen=True)
class DemandSettings:
    """Thresholds and delays of scaling replicas with demand.

    Attributes
    ----------
    busy_target
        Busy requests (running or waiting) that one replica should serve.
    raise_margin
        Fraction by which demand must exceed the target of the current
        replicas before replicas are added.
    raise_after_ms, lower_after_ms
        Time in milliseconds for which demand must stay above or below the
        current replicas before replicas are added or removed.
    loads_at_once
        Concurrent loads that the weight store serves at full speed; spare
        replicas are added only while fewer loads are in progress.
    """

    busy_target: float = 8.0
    raise_margin: float = 0.25
    raise_after_ms: int = 2000
    lower_after_ms: int = 120_000
    loads_at_once: int = 7


@dataclasses.dataclass(slots=True)
class ModelDemand:
    """Replica target of one model and how long demand has differed from it.

    Attributes
    ----------
    replicas
        Current target number of replicas.
    above_since_ms, below_since_ms
        Time in milliseconds since when demand has been above or below the
        target; -1 while it is not.
    """

    replicas: int
    above_since_ms: int = -1
    below_since_ms: int = -1


@dataclasses.dataclass(slots=True)
class DemandTracker:
    """Replica targets of all models, and the settings to update them.

    Attributes
    ----------
    cfg
        Thresholds and delays.
    models
        Replica target and its timers by model name.
    """

    cfg: DemandSettings
    models: dict[str, ModelDemand] = dataclasses.field(default_factory=dict)


def update_targets(
    tracker: DemandTracker,
    now_ms: int,
    current_tables: tables.Tables,
    busy: Mapping[str, float],
    max_replicas: int,
) -> dict[str, int]:
    """Update the replica target of each routed model.

    Parameters
    ----------
    tracker
        Modified in place.
    now_ms
        Current time in milliseconds.
    current_tables
        The current tables; a route's `replicas` is the minimum target.
    busy
        Number of busy requests, by model.
    max_replicas
        Maximum number of replicas of one model.

    Returns
    -------
    dict
        Target number of replicas by model, for `placement.plan`.
    """
    routes = (
        r for r in current_tables.routes if r.kind == tables.RouteKind.MODEL
    )
    return {
        route.model: _update_model(
            tracker, now_ms, route, busy.get(route.model, 0.0), max_replicas
        )
        for route in routes
    }


def _update_model(
    tracker: DemandTracker, now_ms: int, route, busy: float, max_replicas: int
) -> int:
    cfg = tracker.cfg
    model = tracker.models.setdefault(route.model, ModelDemand(route.replicas))
    needed = max(math.ceil(busy / cfg.busy_target), route.replicas)
    needed = min(needed, max_replicas)
    is_overloaded = busy > model.replicas * cfg.busy_target * (
        1 + cfg.raise_margin
    )
    if needed > model.replicas and is_overloaded:
        model.below_since_ms = -1
        model.above_since_ms = (
            now_ms if model.above_since_ms < 0 else model.above_since_ms
        )
        if now_ms - model.above_since_ms >= cfg.raise_after_ms:
            model.replicas, model.above_since_ms = needed, -1
    elif needed < model.replicas:
        model.above_since_ms = -1
        model.below_since_ms = (
            now_ms if model.below_since_ms < 0 else model.below_since_ms
        )
        if now_ms - model.below_since_ms >= cfg.lower_after_ms:
            model.replicas, model.below_since_ms = needed, -1
    else:
        model.above_since_ms = model.below_since_ms = -1
    return model.replicas
