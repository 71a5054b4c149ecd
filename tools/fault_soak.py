"""Run the real programs under injected faults, seed by seed.

For each seed, print the requests by status, the faults by kind and the
violations. The exit code is 1 if there was a violation or a soak did not end.
Settings, logs and data are kept in ``var/soak/SEED``.
"""

import asyncio
import collections
import pathlib
import shutil
import sys

from absl import app, flags

from bilberryramp.soak import (
    budget_checks,
    checks,
    observations,
    run,
    stop_checks,
)

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the first soak.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of seeds.")
_AT_ONCE = flags.DEFINE_integer("at_once", 3, "Number of concurrent soaks.")
_MINUTES = flags.DEFINE_float("minutes", 0.4, "Minutes of faults.")
_CORE = flags.DEFINE_integer("core", 3, "Number of nodes with a disk.")
_OTHERS = flags.DEFINE_integer("others", 2, "Nodes without a disk.")
_DEPARTURES = flags.DEFINE_bool(
    "departures", True, "Let engines leave by their answers alone, too."
)
_PAUSES = flags.DEFINE_bool(
    "pauses", True, "Let engines pause and fail requests, too."
)
_STOPS = flags.DEFINE_bool(
    "stops",
    True,
    "Stop nodes, reload their settings and change the document in series, "
    "too, with clients that send bodies in pieces.",
)
_FIRST_SLOT = flags.DEFINE_integer(
    "first_slot", 0, "First number that selects loopback addresses."
)

SENDER_COUNT = 16
# One in so many seeds has no streams among the bodies sent in pieces.
PLAIN_EVERY = 3
SOAKS_DIR = pathlib.Path(__file__).parent.parent / "var" / "soak"


async def run_soak(seed: int, free_slots: asyncio.Queue) -> bool:
    """Run a soak once a slot is free and return whether it passed."""
    slot = await free_slots.get()
    folder = SOAKS_DIR / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    duration_ms = int(60_000 * _MINUTES.value)
    kinds = run.PLAIN_KINDS if seed % PLAIN_EVERY == 0 else run.ALL_KINDS
    plan = run.Plan(
        seed,
        slot,
        duration_ms,
        _CORE.value,
        _OTHERS.value,
        has_departures=_DEPARTURES.value,
        has_pauses=_PAUSES.value,
        has_stops=_STOPS.value,
        sender_count=SENDER_COUNT * _STOPS.value,
        sender_kinds=kinds,
    )
    try:
        history = await run.execute(plan, folder)
    except (OSError, TimeoutError, ExceptionGroup) as exc:
        print(f"seed {seed}: the soak did not end: {exc!r}", flush=True)
        return False
    finally:
        free_slots.put_nowait(slot)
    return print_result(seed, history)


def print_result(seed: int, history: observations.History) -> bool:
    """Print the result of a soak and return whether it has no violations."""
    statuses = collections.Counter(
        a.status for a in history.of_class(observations.AnswerReceived)
    )
    fault_counts = collections.Counter(
        str(f.kind) for f in history.of_class(observations.Fault)
    )
    violations = list(
        checks.find_violations(history, (*checks.SAFETY, *checks.TIMING))
    )
    documents = len(history.of_class(observations.DocumentAccepted))
    print(
        f"seed {seed}: answers {dict(sorted(statuses.items()))}, "
        f"{documents} documents, faults {dict(sorted(fault_counts.items()))}, "
        f"{len(violations)} violations",
        flush=True,
    )
    print(f"  in pieces: {stop_checks.summary(history)}")
    for service, worst in budget_checks.worst_windows(history):
        print(
            f"  {service}: {worst.repeats} repeats in the worst window, "
            f"{worst.bound:.0f} allowed"
        )
    counts = collections.Counter(v.check for v in violations)
    for check, count in counts.items():
        print(f"  {check}: {count} violations", flush=True)
    for check in counts:
        for violation in [v for v in violations if v.check == check][:20]:
            print(f"  {check}: {violation.detail}", flush=True)
    return not violations


async def run_all_soaks() -> bool:
    """Run a soak for each seed and return whether all of them passed."""
    free_slots: asyncio.Queue = asyncio.Queue()
    for number in range(_AT_ONCE.value):
        free_slots.put_nowait(_FIRST_SLOT.value + number)
    seeds = range(_SEED.value, _SEED.value + _SEEDS.value)
    return all(
        await asyncio.gather(*(run_soak(seed, free_slots) for seed in seeds))
    )


def main(_argv: list[str]) -> None:
    sys.exit(0 if asyncio.run(run_all_soaks()) else 1)


if __name__ == "__main__":
    app.run(main)
