"""Fault soaks of the real programs, by seed.

Prints for each seed its requests by status, its faults by kind and its
violations, and exits with 1 when there was a violation. Settings, logs and
data stay in ``var/soak/SEED``.
"""

import asyncio
import collections
import pathlib
import shutil
import sys

from absl import app, flags

from bilberryramp.soak import checks, observations, run

_SEED = flags.DEFINE_integer("seed", 1, "The first soak's seed.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "How many seeds to play.")
_AT_ONCE = flags.DEFINE_integer("at_once", 3, "Soaks that run at once.")
_MINUTES = flags.DEFINE_float("minutes", 0.4, "Time of faults for a seed.")
_CORE = flags.DEFINE_integer("core", 3, "Nodes with a disk.")
_OTHERS = flags.DEFINE_integer("others", 2, "Nodes without a disk.")

FOLDER = pathlib.Path(__file__).parent.parent / "var" / "soak"


async def play(seed: int, slots: asyncio.Queue) -> bool:
    slot = await slots.get()
    folder = FOLDER / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    length_ms = int(60_000 * _MINUTES.value)
    plan = run.Plan(seed, slot, length_ms, _CORE.value, _OTHERS.value)
    try:
        history = await run.play(plan, folder)
    except (OSError, TimeoutError, ExceptionGroup) as exc:
        print(f"seed {seed}: the soak did not end: {exc!r}", flush=True)
        return False
    finally:
        slots.put_nowait(slot)
    return report(seed, history)


def report(seed: int, history: observations.History) -> bool:
    statuses = collections.Counter(
        a.status for a in history.of(observations.AnswerReceived)
    )
    kinds = collections.Counter(
        str(f.kind) for f in history.of(observations.Fault)
    )
    found = list(
        checks.find_violations(history, (*checks.SAFETY, *checks.TIMING))
    )
    documents = len(history.of(observations.DocumentAccepted))
    print(
        f"seed {seed}: answers {dict(sorted(statuses.items()))}, "
        f"{documents} documents, faults {dict(sorted(kinds.items()))}, "
        f"{len(found)} violations",
        flush=True,
    )
    for violation in found[:20]:
        print(f"  {violation.check}: {violation.detail}", flush=True)
    return not found


async def play_all() -> bool:
    slots: asyncio.Queue = asyncio.Queue()
    for slot in range(_AT_ONCE.value):
        slots.put_nowait(slot)
    seeds = range(_SEED.value, _SEED.value + _SEEDS.value)
    return all(await asyncio.gather(*(play(seed, slots) for seed in seeds)))


def main(_argv: list[str]) -> None:
    sys.exit(0 if asyncio.run(play_all()) else 1)


if __name__ == "__main__":
    app.run(main)
