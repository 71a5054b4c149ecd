"""A late check-in brings an engine that is gone back at a machine."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import engines, local  # noqa: E402

# Times in seconds after the confirmation of the departure: a machine is
# killed and started again, and a check-in arrives late that the engine sent
# before its departure.
KILL_S, START_S, LATE_S = 0.3, 0.8, 4.0
# The engine ends some seconds after the time for which it must serve.
ENGINE_ENDS_S = 6.0
REQUESTS_PER_S = 6.0


class Run:
    """Times and counts of one run."""

    def __init__(self):
        self.confirmed = None
        self.sent_to = {}
        self.sent_at = {}
        self.answers = {}
        self.late = []


async def _ask(record, machine, request_id, run):
    headers = engines.consumer_headers(request_id, 4000)
    run.sent_to[request_id] = machine.name
    run.sent_at[request_id] = time.monotonic()
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
            if machine.proc.poll() is None:
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


async def _call(address, name, call, body):
    path = f"/instances/{name}/{call}"
    status, _, _ = await engines.exchange(address, "POST", path, {}, body)
    return status


async def _play(record, trouble, fleet):
    machines, run = fleet.machines, Run()
    first, _, restarted = machines
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
    await asyncio.sleep(6)
    load = asyncio.create_task(_load(record, machines, run, 13))
    await asyncio.sleep(1)
    leaving = served[0]
    leaving.tasks.pop().cancel()
    late_body = leaving.check_in()
    status = await _call(first.control, leaving.name, "deregister", b"")
    record(f"{leaving.name} says that it leaves: {status}")
    if status != 200:
        raise local.NotRunError("the departure got no confirmation")
    run.confirmed = time.monotonic()
    started = run.confirmed
    if trouble:
        await asyncio.sleep(KILL_S)
        restarted.send(signal.SIGKILL)
        await asyncio.to_thread(restarted.proc.wait)
        await asyncio.sleep(START_S - KILL_S)
        restarted.start()
        started = time.monotonic()
    await asyncio.sleep(run.confirmed + LATE_S - time.monotonic())
    status = await _call(first.control, leaving.name, "heartbeat", late_body)
    record(f"its check-in of before arrives late: {status}")
    await asyncio.sleep(run.confirmed + ENGINE_ENDS_S - time.monotonic())
    record(f"{leaving.name} ends")
    await leaving.stop()
    await load
    for engine in served[1:]:
        await engine.stop()
    in_touch = started + local.SMALL["stable_ms"] / 1000
    broken = [
        (request_id, after_s)
        for request_id, after_s in run.late
        if run.sent_to[request_id] != restarted.name
        or run.sent_at[request_id] > in_touch
    ]
    for request_id, after_s in broken:
        record(
            f"{request_id}, sent to {run.sent_to[request_id]}, reached "
            f"{leaving.name} {after_s:.2f} s after the confirmation; "
            f"answered {run.answers.get(request_id)}"
        )
    lost = [
        request_id
        for request_id, _ in run.late
        if run.answers.get(request_id) not in (200, 503)
    ]
    record(f"of these it had not answered {lost} when it ended")
    return not broken


def play(record, trouble):
    """Return whether no request reached the engine that is gone."""
    fleet = local.Fleet(record, local.SMALL, durable=3)
    try:
        fleet.start()
        return asyncio.run(_play(record, trouble, fleet))
    finally:
        fleet.end()


local.run_case(FOLDER, play)
