"""Print the policy table of docs/POLICY.md, with fixed seeds."""

import concurrent.futures
import dataclasses
import itertools
import pathlib
import statistics

from absl import app, flags

from bilberryramp.decisions.control import demand
from bilberryramp.loadgen import outcomes, scenarios, virtual

_SEEDS = flags.DEFINE_integer("seeds", 3, "Number of seeds of each case.")
_POLICIES = flags.DEFINE_list(
    "policies", [], "Policies to run; all by default."
)
_SCENARIOS = flags.DEFINE_list(
    "scenarios", list(scenarios.SCENARIOS), "Scenarios to run."
)
_WORKERS = flags.DEFINE_integer("workers", 6, "Number of worker processes.")

EXAMPLES_DIR = pathlib.Path(__file__).parent.parent / "examples"
GREEDY_DEMAND = demand.DemandSettings(
    raise_margin=0.0, raise_after_ms=0, lower_after_ms=0
)
UNLIMITED_RETRIES = 1e9
# Rows of the table. "ours" is the default policy and "bound" an upper bound
# with unlimited memory. Each other row replaces one part of "ours", or uses a
# simple routing policy and a fixed placement.
POLICIES = {
    "random": virtual.PolicySettings("random", False),
    "round_robin": virtual.PolicySettings("round_robin", False),
    "least_loaded": virtual.PolicySettings("least_loaded", False),
    "static_placement": virtual.PolicySettings("affinity", False),
    "greedy_placement": virtual.PolicySettings(
        "affinity", demand_cfg=GREEDY_DEMAND
    ),
    "no_shares": virtual.PolicySettings("affinity", fair_queues=False),
    "late_in_order": virtual.PolicySettings("affinity", demote_late=False),
    "no_priority": virtual.PolicySettings("affinity", by_priority=False),
    "no_retry_budget": virtual.PolicySettings(
        "affinity",
        retry_ratio=UNLIMITED_RETRIES,
        retry_burst=UNLIMITED_RETRIES,
    ),
    "affinity_unbounded": virtual.PolicySettings("affinity_unbounded"),
    "no_affinity": virtual.PolicySettings("power_of_two"),
    "ours": virtual.PolicySettings("affinity"),
    "bound": virtual.PolicySettings("affinity", False, unbounded_memory=True),
}


@dataclasses.dataclass(slots=True, frozen=True)
class RunSummary:
    """Figures of one run.

    Attributes
    ----------
    attained
        Requests that met both latency targets, in percent.
    worst_group
        Lowest such percentage of a pool, without the flooded pool.
    urgent
        Such percentage of the requests on urgent routes.
    attained_per_s_per_accelerator
        Requests that met both targets, per second and accelerator.
    moves
        Number of model loads after the initial placement.
    p95_first_token_ms, p95_between_tokens_ms
        95th percentiles of the latencies, in milliseconds.
    refused
        Requests that were refused or failed, in percent.
    """

    attained: float
    worst_group: float
    urgent: float
    attained_per_s_per_accelerator: float
    moves: int
    p95_first_token_ms: float
    p95_between_tokens_ms: float
    refused: float


def run_one(seeded_case):
    """Run a tuple of deployment, scenario, policy and seed in virtual time."""
    name, scenario, policy, seed = seeded_case
    spec = scenarios.read_deployment(name, EXAMPLES_DIR / name)
    scenario_run = scenarios.make_scenario(spec, scenario, seed)
    run = virtual.new_run(spec, POLICIES[policy], scenario_run.load, seed)
    tally = virtual.run(run, scenario_run.load, seed, scenario_run.events)
    flooded = scenarios.FLOODED_POOLS[name] if scenario == "flood" else ""
    accelerators = sum(g.engines * g.accelerators for g in spec.groups)
    return RunSummary(
        attained=outcomes.attainment(tally) * 100,
        worst_group=outcomes.min_attainment(tally, flooded) * 100,
        urgent=outcomes.urgent_attainment(tally) * 100,
        attained_per_s_per_accelerator=tally.attained
        / accelerators
        / scenario_run.load.duration_s,
        moves=tally.moves,
        p95_first_token_ms=outcomes.p95_ms(tally.first_token),
        p95_between_tokens_ms=outcomes.p95_ms(tally.between_tokens),
        refused=(tally.refused + tally.failed) / tally.offered * 100,
    )


def format_row(case, summaries):
    """Return the table row of a deployment, scenario and policy.

    Its values are means over all seeds.
    """
    name, scenario, policy = case
    attained = [r.attained for r in summaries]
    worst_group = statistics.mean(r.worst_group for r in summaries)
    urgent = statistics.mean(r.urgent for r in summaries)
    attained_per_s = statistics.mean(
        r.attained_per_s_per_accelerator for r in summaries
    )
    moves = statistics.mean(r.moves for r in summaries)
    first_token_ms = statistics.mean(r.p95_first_token_ms for r in summaries)
    between_tokens_ms = statistics.mean(
        r.p95_between_tokens_ms for r in summaries
    )
    refused = statistics.mean(r.refused for r in summaries)
    spread = f"{min(attained):.1f}-{max(attained):.1f}"
    cells = (
        name,
        scenario,
        policy,
        f"{statistics.mean(attained):.1f} ({spread})",
        f"{worst_group:.1f}",
        f"{urgent:.1f}",
        f"{attained_per_s:.3f}",
        f"{moves:.1f}",
        f"{first_token_ms:.0f}",
        f"{between_tokens_ms:.1f}",
        f"{refused:.2f}",
    )
    return f"| {' | '.join(cells)} |"


def main(_argv):
    policies = _POLICIES.value or list(POLICIES)
    cases = list(
        itertools.product(scenarios.DEPLOYMENTS, _SCENARIOS.value, policies)
    )
    seeded_cases = [
        (*c, seed) for c in cases for seed in range(1, _SEEDS.value + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS.value) as pool:
        summaries = list(pool.map(run_one, seeded_cases))
    print(
        "| deployment | scenario | policy | attained % (least-most) | "
        "worst pool % | urgent % | "
        "attained/s per accelerator | moves | p95 first token ms | "
        "p95 between tokens ms | refused % |"
    )
    print("| --- " * 11 + "|")
    seed_count = _SEEDS.value
    for number, case in enumerate(cases):
        print(
            format_row(
                case,
                summaries[number * seed_count : (number + 1) * seed_count],
            )
        )


if __name__ == "__main__":
    app.run(main)
