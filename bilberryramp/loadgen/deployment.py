"""Hardware and tables of a deployment that is run in virtual time."""

import dataclasses

from bilberryramp.decisions.control import demand
from bilberryramp.decisions.shared import tables

__all__ = ["Deployment", "EngineGroup", "EngineSpeed"]


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpeed:
    """Speed and concurrency of a simulated engine.

    Attributes
    ----------
    prefill_tokens_per_s
        Prompt tokens processed per second while one request runs.
    between_tokens_ms
        Time between two answer tokens while one request runs, in
        milliseconds.
    slowdown_per_request
        Amount that each concurrent request beyond the first adds to the
        slowdown factor of all requests. The factor of one request is 1.
    slots
        Maximum number of requests that run concurrently.
    prefix_cache_entries
        Number of prompt prefixes in the engine's prefix cache.
    cached_prefill_fraction
        Fraction of the prefill time that is still needed after a hit in the
        prefix cache, from 0 to 1.
    """

    prefill_tokens_per_s: float = 8000.0
    between_tokens_ms: float = 16.0
    slowdown_per_request: float = 0.12
    slots: int = 24
    prefix_cache_entries: int = 60
    cached_prefill_fraction: float = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class EngineGroup:
    """Engines of one service, all of the same size.

    Attributes
    ----------
    service
        Name of the service.
    engines
        Number of engines.
    failure_domains
        Names of the failure domains; engines are assigned to them in
        round-robin order.
    accelerators
        Number of accelerators of each engine.
    memory_mib
        Memory of each engine for models, in MiB.
    """

    service: str
    engines: int
    failure_domains: tuple[str, ...]
    accelerators: int = 1
    memory_mib: int = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A partner's hardware, tables and weight store limits.

    Attributes
    ----------
    name
        Name of the deployment.
    groups
        Engines of each service.
    tables
        Routes and pools that are in force when a run starts.
    loads_at_once
        Number of concurrent model loads that the weight store serves at
        full speed.
    load_s
        Duration of one load at full speed, in seconds.
    speed
        Speed of every engine.
    demand_cfg
        Settings of the demand tracker; they trade replica moves against the
        fraction of requests that meet their latency targets.
    queue_limit
        Maximum number of queued requests of each engine.
    """

    name: str
    groups: tuple[EngineGroup, ...]
    tables: tables.Tables
    loads_at_once: int
    load_s: float
    speed: EngineSpeed = EngineSpeed()
    demand_cfg: demand.DemandSettings = demand.DemandSettings()
    queue_limit: int = 48
