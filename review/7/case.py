"""Consumers leave streams; the machines keep their places for ever."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import engines, local  # noqa: E402

BASE_S, LEAVE_S, CALM_S, LATER_S = 8.0, 68.0, 7.0, 8.0
STREAMS_PER_S, BASE_PER_S = 100.0, 50.0
LEAVE_SHARE = 0.3
# The consumers leave within this time of their first event, and so within
# 1.5 s of their request.
LEAVE_WITHIN_S = 0.1
DEADLINE_MS = 6000
EVENTS = 6


class Counts:
    """What became of the requests of a phase."""

    def __init__(self):
        self.sent = self.served = self.left = self.refused = self.failed = 0

    def __str__(self):
        """Return all counts."""
        return (
            f"sent {self.sent} served {self.served} left {self.left} "
            f"refused {self.refused} failed {self.failed}"
        )


async def _ask(record, machine, path, request_id, counts, leaves):
    counts.sent += 1
    headers = engines.consumer_headers(request_id, DEADLINE_MS, "m0")
    record.note(f"sent {request_id} {path} to {machine.name}")
    if leaves:
        await _ask_and_leave(record, machine, path, headers, counts)
        return
    status, _, body = await engines.exchange(
        machine.front, "POST", path, headers, b"b" * 600, DEADLINE_MS / 1000
    )
    pieces = body.count(b"data: ")
    record.note(f"answered {request_id} {status}, pieces {pieces}")
    if status == 200 and pieces == EVENTS:
        counts.served += 1
    elif status in (429, 503):
        counts.refused += 1
    else:
        counts.failed += 1


async def _ask_and_leave(record, machine, path, headers, counts):
    """Read the head and the first event of an answer, and close."""
    host, _, port = machine.front.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            request = engines.encode_request("POST", path, headers, b"b" * 600)
            writer.write(request)
            start, _ = await engines.read_head(reader)
            if start[1] != "200":
                counts.refused += 1
                return
            await reader.readuntil(b"data: ")
            until = time.monotonic() + random.uniform(0, LEAVE_WITHIN_S)
            while (left_s := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(reader.read(4096), left_s)
                except TimeoutError:
                    break
            counts.left += 1
            record.note(f"left {headers[engines.PREFIX + 'Request-Id']}")
    except (OSError, TimeoutError, TypeError, asyncio.IncompleteReadError):
        counts.failed += 1
    finally:
        if writer is not None:
            writer.close()


async def _load(record, machines, path, prefix, for_s, per_s, share):
    """Send requests at random times; return what became of them."""
    counts, tasks = Counts(), []
    until = time.monotonic() + for_s
    number = 0
    while time.monotonic() < until:
        number += 1
        tasks.append(
            asyncio.create_task(
                _ask(
                    record,
                    random.choice(machines),
                    path,
                    f"{prefix}{number:05d}",
                    counts,
                    random.random() < share,
                )
            )
        )
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)
    return counts


async def _metric(machine, name):
    address = f"{machine.ip}:{local.METRICS_PORT}"
    _, _, body = await engines.exchange(address, "GET", "/metrics", {})
    for line in body.decode().splitlines():
        if line.startswith(f"{name} "):
            return line.split()[1]
    return "?"


async def _play(record, trouble, fleet):
    machines = fleet.machines
    served = []
    for number in (1,):
        engine = engines.Engine(
            record, f"i-{number}", "svc-llm", engines.MODELS
        )
        engine.event_count = EVENTS
        engine.on_run = lambda request_id, name=engine.name: record.note(
            f"run {request_id} by {name}"
        )
        await engine.start(f"{fleet.net}.{100 + number}")
        engine.beat_to([machine.control for machine in machines])
        served.append(engine)
    first = local.make_route("/first/", "svc-llm", "streaming")
    body = local.make_document(3, [first])
    if await asyncio.to_thread(local.put, record, machines, body, 12) is None:
        raise local.NotRunError("the first configuration was refused")
    await asyncio.sleep(4)
    base = await _load(
        record, machines, "/first/a", "b", BASE_S, BASE_PER_S, 0.0
    )
    record(f"before, on the first route: {base}")
    share = LEAVE_SHARE if trouble else 0.0
    early = await _load(
        record, machines, "/first/a", "e", LEAVE_S, STREAMS_PER_S, share
    )
    record(f"while consumers leave: {early}")
    await asyncio.sleep(CALM_S)
    for machine in machines:
        active = await _metric(machine, "calls_active")
        record(f"{machine.name} says that {active} calls are active")
    for engine in served:
        record(f"{engine.name} is at work on {engine.running}")
    later = local.make_route("/later/", "svc-llm", "streaming")
    body = local.make_document(7, [first, later])
    if await asyncio.to_thread(local.put, record, machines, body, 4) is None:
        raise local.NotRunError("the change got no confirmation")
    await asyncio.sleep(local.SMALL["apply_ms"] / 1000)
    late, calm = await asyncio.gather(
        _load(record, machines, "/later/a", "l", LATER_S, BASE_PER_S, 0.0),
        _load(record, machines, "/first/a", "c", LATER_S, 4.0, 0.0),
    )
    record(f"afterwards, on the first route: {calm}")
    record(f"afterwards, on the later route: {late}")
    for engine in served:
        await engine.stop()
    if late.sent < 20 or base.served < 20:
        raise local.NotRunError("too few requests")
    # Steady state: without the time in which consumers leave.
    first_rate = (base.served + calm.served) / (base.sent + calm.sent)
    later_rate = late.served / late.sent
    record(f"served: first {first_rate:.3f}, later {later_rate:.3f}")
    return later_rate >= first_rate / 4


def play(record, trouble):
    """Return whether the later route is served like the first one."""
    fleet = local.Fleet(record, local.SMALL, durable=3)
    try:
        fleet.start()
        return asyncio.run(_play(record, trouble, fleet))
    finally:
        fleet.end()


local.run_case(FOLDER, play)
