"""Deployments of the partners and scenarios to measure policies in."""

import dataclasses
import pathlib
import random
from collections.abc import Iterator

from bilberryramp.decisions.control import demand
from bilberryramp.decisions.shared import tables
from bilberryramp.loadgen import deployment, virtual, workload
from bilberryramp.settings import reader, schema

__all__ = [
    "DEPLOYMENTS",
    "FLOODED_POOLS",
    "SCENARIOS",
    "Scenario",
    "make_scenario",
    "read_deployment",
]

SCENARIOS = (
    "calm",  # constant rates
    "burst",  # tenfold rate of one model for 120 s
    "shift",  # reversal of the popularity ranking within 300 s
    "domain_lost",  # crash of a failure domain for 200 s
    "renegotiated",  # higher rates, and accelerators exchanged between pools
    "flood",  # fourfold rates of one pool for 300 s
)
DEPLOYMENTS = ("guild", "abay")
DURATION_S = 600.0
REQUESTS_PER_S_PER_ENGINE = 1.1
ZIPF_EXPONENT = 0.9
# Pool of each deployment whose requests far exceed its share in the scenario
# "flood".
FLOODED_POOLS = {"guild": "guild-night-desk", "abay": "abay-donors"}


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """A workload with the events that occur during the run.

    Attributes
    ----------
    load
        The workload.
    events
        Faults and changes of the tables.
    """

    load: workload.Workload
    events: tuple[virtual.Event, ...] = ()


# Engines of each deployment, one group for each service.
_GROUPS = {
    "guild": (
        deployment.EngineGroup(
            "drafting-desk", 9, ("isles-a", "isles-b", "isles-c")
        ),
        deployment.EngineGroup(
            "corrections-ledger", 3, ("isles-a", "isles-b", "isles-c")
        ),
    ),
    "abay": (
        deployment.EngineGroup(
            "letter-llm",
            5,
            ("addis-bole", "addis-kality", "addis-ayat", "addis-merkato"),
        ),
        deployment.EngineGroup(
            "renewals-app",
            4,
            ("addis-bole", "addis-kality", "addis-ayat", "addis-merkato"),
        ),
    ),
}
# Total loads per second of the weight store, and the number of concurrent
# loads that it serves at full speed, from the partners' requirements.
_WEIGHT_STORES = {"guild": (2.0, 7), "abay": (1.0, 5)}
# The Guild gives more weight to few replica moves, Abay to the fraction of
# requests that meet their targets.
_DEMAND_SETTINGS = {
    "guild": demand.DemandSettings(
        raise_margin=0.5, raise_after_ms=4000, lower_after_ms=240_000
    ),
    "abay": demand.DemandSettings(
        raise_margin=0.25, raise_after_ms=2000, lower_after_ms=120_000
    ),
}


def read_deployment(name: str, folder: pathlib.Path) -> deployment.Deployment:
    """Read the tables of a deployment and add its hardware.

    Parameters
    ----------
    name
        Name of the deployment, one of `DEPLOYMENTS`.
    folder
        Folder with the files ``routes.yaml`` and ``pools.yaml``.

    Returns
    -------
    Deployment
        The hardware, tables and limits of the deployment.

    Raises
    ------
    reader.SettingsError
        If a file cannot be read or is not valid.
    """
    routes = reader.read_or_raise(folder / "routes.yaml", schema.RoutesFile)
    pools = reader.read_or_raise(folder / "pools.yaml", schema.PoolsFile)
    loads_per_s, concurrent_loads = _WEIGHT_STORES[name]
    return deployment.Deployment(
        name=name,
        groups=_GROUPS[name],
        tables=tables.Tables(routes.routes, pools.pools),
        loads_at_once=concurrent_loads,
        load_s=concurrent_loads / loads_per_s,
        demand_cfg=_DEMAND_SETTINGS[name],
    )


def make_scenario(
    spec: deployment.Deployment, scenario: str, seed: int
) -> Scenario:
    """Create the workload and events of a scenario for a deployment.

    Parameters
    ----------
    spec
        The deployment.
    scenario
        Name of the scenario, one of `SCENARIOS`.
    seed
        Seed of the random popularity ranking of the models.

    Returns
    -------
    Scenario
        The workload and events; they do not depend on the policy.
    """
    streams = tuple(_streams(spec, scenario, seed))
    load = workload.Workload(scenario, streams, DURATION_S)
    return Scenario(load, tuple(_events(spec, scenario)))


def _streams(spec, scenario: str, seed: int) -> Iterator[workload.Stream]:
    """Yield a stream for each model, with Zipf rates within each service."""
    rng = random.Random(f"{seed}/{spec.name}")
    pools = {route.model: route.pool for route in spec.tables.routes}
    for group in spec.groups:
        models = [
            r.model for r in spec.tables.routes if r.service == group.service
        ]
        rng.shuffle(models)
        total_requests_per_s = group.engines * REQUESTS_PER_S_PER_ENGINE
        weights = [(n + 1) ** -ZIPF_EXPONENT for n in range(len(models))]
        rates = [
            total_requests_per_s * weight / sum(weights) for weight in weights
        ]
        for rank, model in enumerate(models):
            requests_per_s = rates[rank]
            pool = pools[model]
            yield _scenario_stream(
                spec.name, scenario, rank, model, pool, requests_per_s, rates
            )


def _scenario_stream(
    deployment_name, scenario, rank, model, pool, requests_per_s, rates
) -> workload.Stream:
    """Return the stream of a model, whose rate changes by the scenario."""
    steady = workload.Stream(model, requests_per_s)
    if scenario == "burst" and rank == len(rates) // 2:
        return dataclasses.replace(
            steady, shape=workload.Shape.BURST, start_s=200.0, length_s=120.0
        )
    if scenario == "shift":
        # The popularity ranking is reversed during the run; the rate of each
        # model changes by at most a factor of ten.
        mirrored_rank = len(rates) - 1 - rank
        factor = min(max(rates[mirrored_rank] / requests_per_s, 0.1), 10.0)
        return dataclasses.replace(
            steady,
            shape=workload.Shape.SHIFT,
            factor=factor,
            start_s=150.0,
            length_s=300.0,
        )
    if scenario == "flood" and pool == FLOODED_POOLS[deployment_name]:
        return dataclasses.replace(
            steady,
            shape=workload.Shape.BURST,
            factor=4.0,
            start_s=150.0,
            length_s=300.0,
        )
    if scenario == "renegotiated":
        return workload.Stream(model, requests_per_s * 1.5)
    return steady


def _events(spec, scenario: str) -> Iterator[virtual.Event]:
    """Yield the faults and table changes of a scenario."""
    domain = spec.groups[0].failure_domains[0]
    if scenario == "domain_lost":
        yield virtual.Event(200, lambda r: virtual.crash_domain(r, domain))
        yield virtual.Event(400, lambda r: virtual.restore_domain(r, domain))
    if scenario == "renegotiated":
        pools = spec.tables.pools
        exchanged_pools = tuple(
            dataclasses.replace(pool, accelerators=other.accelerators)
            for pool, other in zip(pools, reversed(pools), strict=True)
        )
        submitted = tables.Tables(spec.tables.routes, exchanged_pools)
        yield virtual.Event(300, lambda r: virtual.submit(r, submitted))
