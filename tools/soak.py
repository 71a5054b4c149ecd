"""Long random runs of the decisions' machines, by seed.

Prints for each machine its steps, faults by kind and violations, and exits
with 1 when there was a violation.
"""

import collections
import dataclasses
import sys
import time
import traceback

from absl import app, flags

from bilberryramp.decisions.control.tests import control_driver
from bilberryramp.decisions.tests import path_driver

_SEED = flags.DEFINE_integer("seed", 1, "The first run's seed.")
_MINUTES = flags.DEFINE_float("minutes", 1.0, "Time for all machines.")

CONTROL_MOVES = 8000
PATH_MOVES = 3000


@dataclasses.dataclass(slots=True)
class Tally:
    runs: int = 0
    steps: int = 0
    violations: int = 0
    faults: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def control_run(seed, size):
    driver = control_driver.ControlDriver(seed, size)
    yield driver
    for _ in range(CONTROL_MOVES):
        driver.random_move()
    driver.settle_down()
    driver.check_agreement()


def path_run(seed, fenced):
    driver = path_driver.PathDriver(seed, fenced=fenced)
    yield driver
    for _ in range(PATH_MOVES):
        driver.random_move()
    driver.settle_down()
    driver.check_reachable()


MACHINES = {
    "control, 3 replicas": lambda seed: control_run(seed, 3),
    "control, 5 replicas": lambda seed: control_run(seed, 5),
    "path, fenced engines": lambda seed: path_run(seed, (True,)),
    "path, unfenced engines": lambda seed: path_run(seed, (False,)),
    "path, both": lambda seed: path_run(seed, (True, False)),
}


def run_once(name, seed, tally):
    run = MACHINES[name](seed)
    driver = None
    tally.runs += 1
    try:
        driver = next(run)
        for _ in run:
            pass
    except Exception:
        tally.violations += 1
        print(f"VIOLATION: {name}, seed {seed}")
        traceback.print_exc(limit=3, file=sys.stdout)
    if driver is not None:
        tally.steps += driver.steps
        tally.faults += driver.faults


def main(_argv):
    tallies = {name: Tally() for name in MACHINES}
    until = time.monotonic() + _MINUTES.value * 60
    seed = _SEED.value
    print(f"seed {seed}, {_MINUTES.value:g} minutes")
    while time.monotonic() < until:
        for name, tally in tallies.items():
            run_once(name, seed, tally)
        seed += 1
    for name, tally in tallies.items():
        print(
            f"{name}: {tally.runs} runs, {tally.steps} steps, "
            f"{tally.violations} violations"
        )
        kinds = sorted(tally.faults.items())
        print("  " + ", ".join(f"{kind} {n}" for kind, n in kinds))
    total = sum(tally.steps for tally in tallies.values())
    found = sum(tally.violations for tally in tallies.values())
    print(f"seeds {_SEED.value} to {seed - 1}, {total} steps, {found} found")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    app.run(main)
