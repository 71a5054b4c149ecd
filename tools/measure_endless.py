"""Measure what requests feel beside an upstream that answers without end.

Three nodes serve two services. The upstream of one of them writes bytes
without end, at full speed, from a process of its own. For each fault the
table gives the requests of the other service before and beside it: the share
served, and the median and the 99th percentile of their durations. Further the
longest answer to a request of the faulty service, whose deadline is 3 s, how
often its upstream was asked, and the largest growth of a node's memory.

One fault alone: ``--fault=endless_chunks``.
"""

import asyncio
import pathlib
import re
import statistics
import sys
import tempfile
import time

import aiohttp
from absl import app, flags

from bilberryramp.platform import standins
from bilberryramp.platform.tests import builders
from bilberryramp.soak import processes
from bilberryramp.standins import faulty_server

FAULT_FLAG = flags.DEFINE_string("fault", "", "Only this fault; empty: all.")
SERVE_FLAG = flags.DEFINE_string("serve", "", "Serve this fault on a port.")
PEER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = range(7480, 7484)
NODE_COUNT = 3
PERIOD_S = 6.0
SOUND_COUNT = 200
FAULTY_COUNT = 48
DEADLINE_MS = 3000
HEARTBEAT_S = 0.5


def node_ip(number):
    return f"127.19.3.{number}"


def make_program(folder, number):
    """Make the program of a node with a disk."""
    ip, name = node_ip(number), f"n{number}"
    data = folder / f"{name}-data"
    data.mkdir()
    path = folder / f"{name}.toml"
    seeds = [f"{node_ip(k + 1)}:{CONTROL_PORT}" for k in range(NODE_COUNT)]
    path.write_text(
        standins.make_settings_text(
            name,
            ip,
            PEER_PORT,
            seeds,
            folder=data,
            front=f"{ip}:{FRONT_PORT}",
            ready=f"{ip}:{READY_PORT}",
            control=f"{ip}:{CONTROL_PORT}",
        )
    )
    return processes.Program(
        name,
        "bilberryramp.programs.node",
        (),
        standins.PATH_VARIABLE,
        path,
        data,
        folder / f"{name}.log",
    )


def make_document():
    def route(prefix, service, **changes):
        return standins.make_route_fields(prefix, service, **changes)

    services = [
        {"name": name, "healthPath": "/h", "maxConns": 50}
        for name in ("svc-bad", "svc-good")
    ]
    routes = [
        route("/once/", "svc-bad", kind="non_idempotent"),
        route("/again/", "svc-bad", kind="idempotent", maxAttempts=2),
        route("/good/", "svc-good", kind="idempotent"),
    ]
    return standins.make_document_body(5, routes, services=services)


async def announce(session, engine):
    """Send heartbeats of an upstream to all nodes in turn."""
    number = 0
    while True:
        number = number % NODE_COUNT + 1
        address = f"{node_ip(number)}:{CONTROL_PORT}"
        try:
            await standins.send_heartbeat(engine, session, address)
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(HEARTBEAT_S)


async def submit(session):
    """Submit the document until a node accepts it."""
    number = 0
    while True:
        number = number % NODE_COUNT + 1
        address = f"{node_ip(number)}:{CONTROL_PORT}"
        try:
            if (
                await standins.submit_document(
                    session, address, make_document()
                )
                == 200
            ):
                return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.2)


async def send(session, path, number):
    """Send a request to a node in turn; return status and seconds."""
    started_s = time.monotonic()
    address = f"{node_ip(number % NODE_COUNT + 1)}:{FRONT_PORT}"
    name = f"{path.strip('/x')}-{number}"
    status = 0
    try:
        answer = await standins.send_request(
            session, address, path, name, DEADLINE_MS
        )
        status = answer.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        # Counted as not served.
        pass
    return status, time.monotonic() - started_s


async def send_evenly(session, paths, count):
    """Send requests over `PERIOD_S`; return their results."""
    tasks = []
    for number in range(count):
        path = paths[number % len(paths)]
        tasks.append(asyncio.create_task(send(session, path, number)))
        await asyncio.sleep(PERIOD_S / count)
    return await asyncio.gather(*tasks)


def describe(results):
    """Return share served, and median and 99th percentile in ms."""
    served = [seconds for status, seconds in results if status == 200]
    share = len(served) / len(results)
    if len(served) < 2:
        return f"{share:5.3f}     -     -"
    p99 = statistics.quantiles(served, n=100)[98]
    p50 = statistics.median(served)
    return f"{share:5.3f} {1000 * p50:5.0f} {1000 * p99:5.0f}"


def memory_mb(program):
    status = pathlib.Path(f"/proc/{program.proc.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


async def measure(fault, folder):
    """Play one fault; return a row of the table."""
    programs = [make_program(folder, k + 1) for k in range(NODE_COUNT)]
    server = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        f"--serve={fault}",
        stdout=asyncio.subprocess.PIPE,
    )
    port = int(await server.stdout.readline())
    good = standins.Engine("i-good", "svc-good", service_time_s=0.02)
    bad = standins.Engine("i-bad", "svc-bad", f"127.0.0.1:{port}")
    await standins.start(good)
    beats = []
    try:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            for program in programs:
                await processes.start(program)
            beats += [
                asyncio.create_task(announce(session, engine))
                for engine in (good, bad)
            ]
            await submit(session)
            await asyncio.sleep(4)
            before = await send_evenly(session, ["/good/x"], SOUND_COUNT)
            before_mb = [memory_mb(p) for p in programs]
            beside, faulty = await asyncio.gather(
                send_evenly(session, ["/good/x"], SOUND_COUNT),
                send_evenly(session, ["/once/x", "/again/x"], FAULTY_COUNT),
            )
            growth_mb = max(
                memory_mb(p) - mb
                for p, mb in zip(programs, before_mb, strict=True)
            )
    finally:
        for beat in beats:
            beat.cancel()
        server.terminate()
        asked, _ = await server.communicate()
        for program in programs:
            await processes.kill(program)
        await standins.stop(good)
    longest_s = max(seconds for _, seconds in faulty)
    return (
        f"{fault:26} {describe(before)}  {describe(beside)}"
        f"  {longest_s:6.2f} {int(asked or 0):6} {growth_mb:6.0f}"
    )


async def serve(fault):
    """Serve a fault until SIGTERM; print the port, then the requests."""
    server = faulty_server.FaultyServer(builders.platform_answer, fault)
    await faulty_server.start(server)
    print(server.port, flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(15, stopped.set)
    await stopped.wait()
    print(len(server.requests), flush=True)


async def measure_all():
    faults = [FAULT_FLAG.value] if FAULT_FLAG.value else ["none"]
    if not FAULT_FLAG.value:
        faults += [n for n in faulty_server.FAULTS if n.startswith("endless")]
    print(f"{'':26}       before             beside  longest  asked growth")
    print(f"{'fault':26} share   p50   p99  share   p50   p99    s         MB")
    for fault in faults:
        with tempfile.TemporaryDirectory() as folder:
            print(await measure(fault, pathlib.Path(folder)), flush=True)


def main(_argv):
    asyncio.run(serve(SERVE_FLAG.value) if SERVE_FLAG.value else measure_all())


if __name__ == "__main__":
    app.run(main)
