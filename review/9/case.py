"""A machine confirms the departure of an engine that it doesn't know."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import engines, local  # noqa: E402

# Time for which the machine is down.
DOWN_S = 0.2
# The engine says that it leaves after its third check-in since the kill. That
# is more than three seconds (`stableWindowMs`) after the machine was started.
BEATS = 3
# The engine ends so long after the confirmation: `drainMs` and a little more.
ENGINE_ENDS_S = 3.5
REQUESTS_PER_S = 6.0


class Run:
    """Times and counts of one run."""

    def __init__(self):
        self.confirmed = None
        self.sent_to = {}
        self.answers = {}
        self.late = []


async def _ask(record, machine, request_id, run):
    headers = engines.consumer_headers(request_id, 4000)
    run.sent_to[request_id] = machine.name
    record.note(f"sent {request_id} to {machine.name}")
    status, _, _ = await engines.exchange(
        machine.front, "POST", "/file/a", headers, b"notice", 4
    )
    record.note(f"answered {request_id} {status}")
    run.answers[request_id] = status


async def _load(record, machines, run, for_s):
    tasks, number = [], 0
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        for machine in machines:
            number += 1
            request = _ask(record, machine, f"f{number:05d}", run)
            tasks.append(asyncio.create_task(request))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


def _note_run(record, run, name):
    def note(request_id):
        record.note(f"run {request_id} by {name}")
        if name == "i-1" and run.confirmed is not None:
            after_s = time.monotonic() - run.confirmed
            if after_s > local.SMALL["drain_ms"] / 1000:
                run.late.append((request_id, after_s))

    return note


async def _leave(record, machine, name):
    """Send the departure as the pages show it, without a body."""
    path = f"/instances/{name}/deregister"
    status, _, _ = await engines.exchange(machine.control, "POST", path, {})
    record(f"{name} says at {machine.name} that it leaves: {status}")
    return status


async def _wait_for_beat(engine, number):
    """Wait until an engine has sent a check-in of this number, modulo 5."""
    while engine.seq % 5 != number:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)


async def _play(record, trouble, fleet):
    machines, run = fleet.machines, Run()
    first, second, restarted = machines
    served = []
    for number in (1, 2, 3):
        name = f"i-{number}"
        engine = engines.Engine(record, name, "svc-app", slots=6)
        engine.work_s = 0.6
        engine.on_run = _note_run(record, run, name)
        await engine.start(f"{fleet.net}.{100 + number}")
        engine.beat_to([first.control])
        served.append(engine)
    route = local.make_route(
        "/file/", "svc-app", "non_idempotent", timeoutMs=4000
    )
    body = local.make_document(3, [route])
    if await asyncio.to_thread(local.put, record, machines, body, 12) is None:
        raise local.NotRunError("the first configuration was refused")
    await asyncio.sleep(7)
    leaving = served[0]
    await _wait_for_beat(leaving, 4)
    await _wait_for_beat(leaving, 0)
    # These machines run undisturbed all the while.
    load = asyncio.create_task(_load(record, [first, second], run, 11))
    if trouble:
        restarted.send(signal.SIGKILL)
        await asyncio.to_thread(restarted.proc.wait)
        await asyncio.sleep(DOWN_S)
        restarted.start()
    started = time.monotonic()
    await _wait_for_beat(leaving, BEATS)
    if time.monotonic() - started < local.SMALL["stable_ms"] / 1000:
        raise local.NotRunError("the machine is not in touch yet")
    leaving.tasks.pop().cancel()
    if await _leave(record, restarted, leaving.name) != 200:
        raise local.NotRunError("the departure got no confirmation")
    run.confirmed = time.monotonic()
    await asyncio.sleep(ENGINE_ENDS_S)
    record(f"{leaving.name} ends")
    await leaving.stop()
    await load
    for engine in served[1:]:
        await engine.stop()
    for request_id, after_s in run.late:
        record(
            f"{request_id}, sent to {run.sent_to[request_id]}, reached "
            f"{leaving.name} {after_s:.2f} s after the confirmation; "
            f"answered {run.answers.get(request_id)}"
        )
    lost = [i for i, _ in run.late if run.answers.get(i) not in (200, 503)]
    record(f"of these it had not answered {lost} when it ended")
    return not run.late


def play(record, trouble):
    """Return whether no request reached the engine that is gone."""
    fleet = local.Fleet(record, local.SMALL, durable=3)
    try:
        fleet.start()
        return asyncio.run(_play(record, trouble, fleet))
    finally:
        fleet.end()


local.run_case(FOLDER, play)
