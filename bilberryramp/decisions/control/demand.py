"""How many replicas each model's demand calls for.

Demand is counted in busy requests, running or waiting, as upstreams report
them with a lag. Replicas are added when those a model has stay too busy,
and given up only after a long quiet time, since each move disturbs work.
"""

import dataclasses
import math
from collections.abc import Mapping

from bilberryramp.decisions.shared import tables

__all__ = ["DemandSettings", "ModelDemand", "DemandTracker", "update_targets"]


@dataclasses.dataclass(slots=True, frozen=True)
class DemandSettings:
    """How eagerly replicas follow demand.

    Attributes
    ----------
    busy_target
        Busy requests that one replica should carry.
    raise_margin
        Relative excess over the target before a replica is added.
    raise_after_ms, lower_after_ms
        How long demand must stay above or below, in milliseconds.
    loads_at_once
        Loads that the weight store carries at full speed; spare replicas
        are added only while fewer are under way.
    """

    busy_target: float = 8.0
    raise_margin: float = 0.25
    raise_after_ms: int = 2000
    lower_after_ms: int = 120_000
    loads_at_once: int = 7


@dataclasses.dataclass(slots=True)
class ModelDemand:
    """One model's replicas; times in milliseconds, -1 while not running.

    Attributes
    ----------
    replicas
        How many are wanted now.
    above_ms, below_ms
        Since when demand has been above or below what they carry.
    """

    replicas: int
    above_since_ms: int = -1
    below_since_ms: int = -1


@dataclasses.dataclass(slots=True)
class DemandTracker:
    """Demand of every model by name."""

    cfg: DemandSettings
    models: dict[str, ModelDemand] = dataclasses.field(default_factory=dict)


def update_targets(
    tracker: DemandTracker,
    now_ms: int,
    wanted: tables.Tables,
    busy: Mapping[str, float],
    max_replicas: int,
) -> dict[str, int]:
    """Take in the busy requests of each model.

    Parameters
    ----------
    watch
        Changed in place.
    now_ms
        The observer's clock in milliseconds.
    wanted
        The tables in force; a route's `replicas` are the least.
    busy
        Requests running or waiting, by model.
    most
        Most replicas of one model.

    Returns
    -------
    dict
        Replicas wanted by model, for `placement.plan`.
    """
    routes = (r for r in wanted.routes if r.kind == tables.RouteKind.MODEL)
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
