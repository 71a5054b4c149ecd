"""Run long randomized tests of the decision state machines, seed by seed.

For each scenario, print the number of steps, the faults by kind and the number
of violations. The exit code is 1 if there was a violation.
"""

import collections
import dataclasses
import sys
import time
import traceback

from absl import app, flags

from bilberryramp.decisions.control.tests import control_driver
from bilberryramp.decisions.tests import path_driver

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the first run.")
_MINUTES = flags.DEFINE_float("minutes", 1.0, "Duration in minutes.")

CONTROL_MOVES = 8000
PATH_MOVES = 3000


@dataclasses.dataclass(slots=True)
class RunStats:
    """Counts over all runs of one scenario.

    Attributes
    ----------
    runs, steps
        Number of runs, and of messages processed by state machines in them.
    violations
        Number of runs that failed a check.
    faults
        Number of injected faults by kind.
    """

    runs: int = 0
    steps: int = 0
    violations: int = 0
    faults: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def run_control(seed, replicas):
    """Yield a driver of control replicas, then run it and check the logs."""
    driver = control_driver.ControlDriver(seed, replicas)
    yield driver
    for _ in range(CONTROL_MOVES):
        driver.random_move()
    driver.settle_down()
    driver.check_agreement()


def run_path(seed, fenced, pausing=False):
    """Yield a driver of the request path, then run it and check its end."""
    driver = path_driver.PathDriver(seed, fenced=fenced, pausing=pausing)
    yield driver
    for _ in range(PATH_MOVES):
        driver.random_move()
    driver.settle_down()
    driver.check_reachable()


SCENARIOS = {
    "control, 3 replicas": lambda seed: run_control(seed, 3),
    "control, 5 replicas": lambda seed: run_control(seed, 5),
    "path, fenced engines": lambda seed: run_path(seed, (True,)),
    "path, unfenced engines": lambda seed: run_path(seed, (False,)),
    "path, both": lambda seed: run_path(seed, (True, False)),
    "path, pausing engines": lambda seed: run_path(seed, (True, False), True),
}


def run_once(name, seed, stats):
    """Run a scenario and add its counts, also those of a failed run."""
    run = SCENARIOS[name](seed)
    driver = None
    stats.runs += 1
    try:
        driver = next(run)
        for _ in run:
            pass
    except Exception:
        stats.violations += 1
        print(f"VIOLATION: {name}, seed {seed}")
        traceback.print_exc(limit=3, file=sys.stdout)
    if driver is not None:
        stats.steps += driver.steps
        stats.faults += driver.faults


def main(_argv):
    stats_by_scenario = {name: RunStats() for name in SCENARIOS}
    deadline_s = time.monotonic() + _MINUTES.value * 60
    seed = _SEED.value
    print(f"seed {seed}, {_MINUTES.value:g} minutes")
    while time.monotonic() < deadline_s:
        for name, stats in stats_by_scenario.items():
            run_once(name, seed, stats)
        seed += 1
    for name, stats in stats_by_scenario.items():
        print(
            f"{name}: {stats.runs} runs, {stats.steps} steps, "
            f"{stats.violations} violations"
        )
        fault_counts = sorted(stats.faults.items())
        print("  " + ", ".join(f"{kind} {n}" for kind, n in fault_counts))
    total_steps = sum(stats.steps for stats in stats_by_scenario.values())
    violations = sum(stats.violations for stats in stats_by_scenario.values())
    print(
        f"seeds {_SEED.value} to {seed - 1}, {total_steps} steps, "
        f"{violations} found"
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    app.run(main)
