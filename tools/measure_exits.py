"""Count exits by a signal while real nodes and agents start, stop and fail.

Four nodes and two agents run on loopback. Each is stopped, killed or suspended
again and again at random times, or its links are reset or silent. Print the
number of processes started and how each one ended that nobody had killed. The
programs write the stacks of all threads to their logs if a library crashes,
which stay in ``--logs``.
"""

import asyncio
import collections
import pathlib
import random
import signal

from absl import app, flags

from bilberryramp.soak import local_fleet, observations, processes

_SECONDS = flags.DEFINE_float("seconds", 120.0, "Duration.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults.")
_SLOT = flags.DEFINE_integer("slot", 60, "Selects the loopback addresses.")
_LOGS = flags.DEFINE_string("logs", None, "Folder for logs.", required=True)

_Kind = observations.FaultKind
NODE_FAULTS = (
    _Kind.STOP,
    _Kind.KILL,
    _Kind.PAUSE,
    _Kind.RESET,
    _Kind.SILENT,
    _Kind.CUT,
)
AGENT_FAULTS = (_Kind.STOP, _Kind.KILL)
STOP_TIMEOUT_S = 20.0
# Time between two faults of one program, and the length of a fault.
PAUSE_S = (0.2, 2.5)
FAULT_MS = (100, 2500)


async def trouble(fleet, host, kinds, rng, ends, pids):
    """Inject faults into a program, and start it again if it has ended."""
    program = host.program
    while not fleet.is_finished:
        pids.add(program.proc.pid)
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        if program.proc.returncode is not None:
            ends[program.proc.returncode, "by itself"] += 1
            await processes.start(program)
            continue
        kind = rng.choice(kinds)
        if kind is _Kind.STOP:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    code = await processes.stop(program)
                ends[code, "stopped"] += 1
            except TimeoutError:
                await processes.kill(program)
                ends[program.proc.returncode, "did not stop"] += 1
            await processes.start(program)
        elif kind is _Kind.KILL:
            await processes.kill(program)
            code = program.proc.returncode
            how = "killed" if code == -signal.SIGKILL else "by itself"
            ends[code, how] += 1
            await asyncio.sleep(rng.uniform(*FAULT_MS) / 1000)
            await processes.start(program)
        else:
            now_ms = local_fleet.now_ms()
            end_ms = now_ms + rng.randint(*FAULT_MS)
            fault = observations.Fault(kind, host.name, now_ms, end_ms)
            await local_fleet.inject(fleet, fault)


async def play(folder):
    ends, pids = collections.Counter(), set()
    fleet = local_fleet.make_fleet(
        _SLOT.value, folder, lambda _seen: None, 3, 1, 2, 0
    )
    rng = random.Random(_SEED.value)
    try:
        await local_fleet.start_fleet(fleet)
        async with asyncio.TaskGroup() as group:
            for hosts, kinds in (
                (fleet.nodes, NODE_FAULTS),
                (fleet.engines, AGENT_FAULTS),
            ):
                for host in hosts.values():
                    own_rng = random.Random(rng.random())
                    group.create_task(
                        trouble(fleet, host, kinds, own_rng, ends, pids)
                    )
            await asyncio.sleep(_SECONDS.value)
            fleet.is_finished = True
    finally:
        await local_fleet.kill_programs(fleet)
    return ends, len(pids)


def main(_):
    folder = pathlib.Path(_LOGS.value)
    folder.mkdir(parents=True, exist_ok=True)
    ends, started = asyncio.run(play(folder))
    print(f"seed {_SEED.value}: {started} processes started")
    for (code, how), count in sorted(ends.items()):
        print(f"  code {code} ({how}): {count}")
    for log in sorted(folder.glob("*.log")):
        stacks = log.read_text(errors="replace").count("Fatal Python error")
        if stacks:
            print(f"  {log.name}: {stacks} stacks")


if __name__ == "__main__":
    app.run(main)
