"""Makes the policy table of docs/POLICY.md again, with fixed seeds."""

import concurrent.futures
import dataclasses
import itertools
import pathlib
import statistics

from absl import app, flags

from bilberryramp.decisions.control import demand
from bilberryramp.loadgen import outcomes, scenarios, virtual

_SEEDS = flags.DEFINE_integer("seeds", 3, "How many seeds.")
_ONLY = flags.DEFINE_list("policies", [], "Only these policies.")
_SCENARIOS = flags.DEFINE_list(
    "scenarios", list(scenarios.SCENARIOS), "Only these scenarios."
)
_WORKERS = flags.DEFINE_integer("workers", 6, "Processes.")

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
GREEDY = demand.DemandSettings(
    raise_margin=0.0, raise_after_ms=0, lower_after_ms=0
)
UNLIMITED = 1e9
POLICIES = {
    "random": virtual.PolicySettings("random", False),
    "round_robin": virtual.PolicySettings("round_robin", False),
    "least_loaded": virtual.PolicySettings("least_loaded", False),
    "static_placement": virtual.PolicySettings("affinity", False),
    "greedy_placement": virtual.PolicySettings("affinity", demand_cfg=GREEDY),
    "no_shares": virtual.PolicySettings("affinity", fair_queues=False),
    "late_in_order": virtual.PolicySettings("affinity", demote_late=False),
    "no_priority": virtual.PolicySettings("affinity", by_priority=False),
    "no_retry_budget": virtual.PolicySettings(
        "affinity", retry_ratio=UNLIMITED, retry_burst=UNLIMITED
    ),
    "affinity_unbounded": virtual.PolicySettings("affinity_unbounded"),
    "no_affinity": virtual.PolicySettings("power_of_two"),
    "ours": virtual.PolicySettings("affinity"),
    "bound": virtual.PolicySettings("affinity", False, unbounded_memory=True),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Reading:
    attained: float
    least: float
    urgent: float
    per_accelerator: float
    moves: int
    first_ms: float
    between_ms: float
    refused: float


def run_one(case):
    name, scenario, policy, seed = case
    spec = scenarios.read_deployment(name, EXAMPLES / name)
    made = scenarios.make_scenario(spec, scenario, seed)
    run = virtual.new_run(spec, POLICIES[policy], made.load, seed)
    tally = virtual.run(run, made.load, seed, made.events)
    flooded = scenarios.FLOODED_POOLS[name] if scenario == "flood" else ""
    accelerators = sum(g.engines * g.accelerators for g in spec.groups)
    return Reading(
        attained=outcomes.attainment(tally) * 100,
        least=outcomes.min_attainment(tally, flooded) * 100,
        urgent=outcomes.urgent_attainment(tally) * 100,
        per_accelerator=tally.attained / accelerators / made.load.duration_s,
        moves=tally.moves,
        first_ms=outcomes.p95_ms(tally.first_token),
        between_ms=outcomes.p95_ms(tally.between_tokens),
        refused=(tally.refused + tally.failed) / tally.offered * 100,
    )


def row(case, readings):
    name, scenario, policy = case
    shares = [r.attained for r in readings]
    least = statistics.mean(r.least for r in readings)
    urgent = statistics.mean(r.urgent for r in readings)
    per = statistics.mean(r.per_accelerator for r in readings)
    moves = statistics.mean(r.moves for r in readings)
    first = statistics.mean(r.first_ms for r in readings)
    between = statistics.mean(r.between_ms for r in readings)
    refused = statistics.mean(r.refused for r in readings)
    spread = f"{min(shares):.1f}-{max(shares):.1f}"
    cells = (
        name,
        scenario,
        policy,
        f"{statistics.mean(shares):.1f} ({spread})",
        f"{least:.1f}",
        f"{urgent:.1f}",
        f"{per:.3f}",
        f"{moves:.1f}",
        f"{first:.0f}",
        f"{between:.1f}",
        f"{refused:.2f}",
    )
    return f"| {' | '.join(cells)} |"


def main(_argv):
    policies = _ONLY.value or list(POLICIES)
    cases = list(
        itertools.product(scenarios.DEPLOYMENTS, _SCENARIOS.value, policies)
    )
    jobs = [(*c, seed) for c in cases for seed in range(1, _SEEDS.value + 1)]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS.value) as pool:
        readings = list(pool.map(run_one, jobs))
    print(
        "| deployment | scenario | policy | attained % (least-most) | "
        "worst pool % | urgent % | "
        "attained/s per accelerator | moves | p95 first token ms | "
        "p95 between tokens ms | refused % |"
    )
    print("| --- " * 11 + "|")
    count = _SEEDS.value
    for number, case in enumerate(cases):
        print(row(case, readings[number * count : (number + 1) * count]))


if __name__ == "__main__":
    app.run(main)
