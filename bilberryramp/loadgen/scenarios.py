"""The partners' deployments and the scenarios they are measured in."""

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
    "FLOODED",
    "SCENARIOS",
    "Scenario",
    "make",
    "read_deployment",
]

SCENARIOS = (
    "calm",
    "burst",
    "shift",
    "domain_lost",
    "renegotiated",
    "flood",
)
DEPLOYMENTS = ("guild", "abay")
DURATION_S = 600.0
REQUESTS_PER_ENGINE_S = 1.1
POPULARITY = 0.9
# The pool whose callers ask far beyond its share.
FLOODED = {"guild": "guild-night-desk", "abay": "abay-donors"}


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """A workload and what happens during it."""

    load: workload.Workload
    events: tuple[virtual.Event, ...] = ()


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
# Loads a second and at once at full speed, from the partners' brief.
_STORES = {"guild": (2.0, 7), "abay": (1.0, 5)}
# The Guild weighs moves more, Abay attainment.
_DEMANDS = {
    "guild": demand.DemandSettings(
        raise_margin=0.5, raise_after_ms=4000, lower_after_ms=240_000
    ),
    "abay": demand.DemandSettings(
        raise_margin=0.25, raise_after_ms=2000, lower_after_ms=120_000
    ),
}


def read_deployment(name: str, folder: pathlib.Path) -> deployment.Deployment:
    """Read a partner's tables and add its hardware.

    Parameters
    ----------
    name
        One of `DEPLOYMENTS`.
    folder
        Holds ``routes.yaml`` and ``pools.yaml``.

    Returns
    -------
    Deployment
        For `virtual.new_run`.

    Raises
    ------
    reader.SettingsError
        When a table cannot be read.
    """
    routes = reader.read_or_raise(folder / "routes.yaml", schema.RoutesFile)
    pools = reader.read_or_raise(folder / "pools.yaml", schema.PoolsFile)
    per_s, at_once = _STORES[name]
    return deployment.Deployment(
        name=name,
        groups=_GROUPS[name],
        tables=tables.Tables(routes.routes, pools.pools),
        loads_at_once=at_once,
        load_s=at_once / per_s,
        demand_cfg=_DEMANDS[name],
    )


def make(plan: deployment.Deployment, scenario: str, seed: int) -> Scenario:
    """Make a scenario for a deployment.

    Parameters
    ----------
    plan
        The deployment.
    scenario
        One of `SCENARIOS`.
    seed
        Decides which models are popular.

    Returns
    -------
    Scenario
        The same for each policy.
    """
    streams = tuple(_streams(plan, scenario, seed))
    load = workload.Workload(scenario, streams, DURATION_S)
    return Scenario(load, tuple(_events(plan, scenario)))


def _streams(plan, scenario: str, seed: int) -> Iterator[workload.Stream]:
    rng = random.Random(f"{seed}/{plan.name}")
    pools = {route.model: route.pool for route in plan.tables.routes}
    for group in plan.groups:
        models = [
            r.model for r in plan.tables.routes if r.service == group.service
        ]
        rng.shuffle(models)
        total = group.engines * REQUESTS_PER_ENGINE_S
        weights = [(n + 1) ** -POPULARITY for n in range(len(models))]
        rates = [total * weight / sum(weights) for weight in weights]
        for number, model in enumerate(models):
            rate = rates[number]
            pool = pools[model]
            yield _shaped(
                plan.name, scenario, number, model, pool, rate, rates
            )


def _shaped(
    plan_name, scenario, number, model, pool, rate, rates
) -> workload.Stream:
    steady = workload.Stream(model, rate)
    if scenario == "burst" and number == len(rates) // 2:
        return dataclasses.replace(
            steady, shape=workload.Shape.BURST, start_s=200.0, length_s=120.0
        )
    if scenario == "shift":
        # Demand moves tenfold from the most to the least popular models.
        last = len(rates) - 1 - number
        factor = min(max(rates[last] / rate, 0.1), 10.0)
        return dataclasses.replace(
            steady,
            shape=workload.Shape.SHIFT,
            factor=factor,
            start_s=150.0,
            length_s=300.0,
        )
    if scenario == "flood" and pool == FLOODED[plan_name]:
        return dataclasses.replace(
            steady,
            shape=workload.Shape.BURST,
            factor=4.0,
            start_s=150.0,
            length_s=300.0,
        )
    if scenario == "renegotiated":
        return workload.Stream(model, rate * 1.5)
    return steady


def _events(plan, scenario: str) -> Iterator[virtual.Event]:
    domain = plan.groups[0].failure_domains[0]
    if scenario == "domain_lost":
        yield virtual.Event(200, lambda r: virtual.lose_domain(r, domain))
        yield virtual.Event(400, lambda r: virtual.return_domain(r, domain))
    if scenario == "renegotiated":
        pools = plan.tables.pools
        turned = tuple(
            dataclasses.replace(pool, accelerators=other.accelerators)
            for pool, other in zip(pools, reversed(pools), strict=True)
        )
        wanted = tables.Tables(plan.tables.routes, turned)
        yield virtual.Event(300, lambda r: virtual.submit(r, wanted))
