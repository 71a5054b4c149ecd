"""What a deployment has, for runs in virtual time."""

import dataclasses

from bilberryramp.decisions.control import demand
from bilberryramp.decisions.shared import tables

__all__ = ["Deployment", "EngineGroup", "EngineSpeed"]


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpeed:
    """How fast the stand-in engine generates.

    Attributes
    ----------
    prefill_tokens_per_s, between_tokens_ms
        Speed with one request running.
    crowding
        By how much each further request slows all of them.
    slots
        Requests run at once.
    cached_prefixes, cached_prefill
        Beginnings kept, and the part of prefill left on a hit.
    """

    prefill_tokens_per_s: float = 8000.0
    between_tokens_ms: float = 16.0
    slowdown_per_request: float = 0.12
    slots: int = 24
    prefix_cache_entries: int = 60
    cached_prefill_fraction: float = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class EngineGroup:
    """Engines of one service; failure domains are taken in turn."""

    service: str
    engines: int
    failure_domains: tuple[str, ...]
    accelerators: int = 1
    memory_mib: int = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A partner's hardware and the limits of the weight store.

    Attributes
    ----------
    loads_at_once, load_s
        Loads that the store carries at full speed, and the time of each.
    demand_cfg
        How eagerly replicas follow demand: fewer moves or more attainment.
    """

    name: str
    groups: tuple[EngineGroup, ...]
    tables: tables.Tables
    loads_at_once: int
    load_s: float
    speed: EngineSpeed = EngineSpeed()
    demand_cfg: demand.DemandSettings = demand.DemandSettings()
    queue_limit: int = 48
