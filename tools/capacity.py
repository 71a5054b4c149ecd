"""Measure the cost of each role by the number of engines, with linear fits.

A control replica, an entry and an upstream process run on loopback. All other
entries and upstream processes are stubs, which only keep a socket open, send
heartbeats and receive updates of the view.
"""

import asyncio
import dataclasses
import functools
import os
import pathlib
import random
import tempfile
import time

import aiohttp
import msgspec
import numpy
import zmq
import zmq.asyncio
from absl import app, flags

from bilberryramp.decisions.shared import feed_messages, tables, views
from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders
from bilberryramp.tasks import operator_api
from bilberryramp.wire import codec

_SIZES = flags.DEFINE_list(
    "sizes", ["150", "300", "600"], "Numbers of engines to measure, as a list."
)
_SECONDS = flags.DEFINE_float(
    "seconds", 15.0, "Duration of each usage sample in seconds."
)
_CHANGES = flags.DEFINE_integer(
    "changes", 10, "Number of table changes to time."
)

PROJECTED_ENGINES = 600
MODEL_MIB = 9000
ENGINE_MIB = 80_000
STABLE_S = 4  # time without a change after which the view is stable


@dataclasses.dataclass(slots=True)
class StubProcess:
    """A stub of an entry or an upstream process.

    Attributes
    ----------
    name
        Name of the process; also the identity of its socket.
    sock
        Socket connected to control.
    upstream
        The upstream that an upstream process reports; None for an entry.
    index, version
        Index of the last log entry in the received view, and version of its
        tables.
    report_requested
        Whether the next heartbeat reports the upstream.
    sent_bytes, received_bytes
        Total sizes of the messages sent and received, in bytes.
    """

    name: str
    sock: zmq.asyncio.Socket
    upstream: views.Upstream | None
    index: int = -1
    version: int = 0
    report_requested: bool = True
    sent_bytes: int = 0
    received_bytes: int = 0


def connect_stubs(address, engines):
    """Yield a stub for each engine, and two entries per three engines."""
    ctx = zmq.asyncio.Context.instance()
    entries = engines * 2 // 3
    for i in range(engines + entries):
        upstream = None
        if i < engines:
            upstream = views.Upstream(
                f"s{i:04}", "a", "tcp://127.0.0.1:9", "drafting-desk",
                views.UpstreamKind.ENGINE, f"d{i % 4}", 4, ENGINE_MIB,
            )  # fmt: skip
        name = f"stub/{i}"
        sock = ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.IDENTITY, name.encode())
        sock.connect(address)
        yield StubProcess(name, sock, upstream)


async def send_heartbeats(stub):
    """Send a heartbeat every second, starting at a random time."""
    await asyncio.sleep(random.random())
    while True:
        report = None
        if stub.upstream is not None and stub.report_requested:
            report = feed_messages.UpstreamReport(stub.upstream)
        now_ms = time.monotonic_ns() // 1_000_000
        message = feed_messages.Heartbeat(
            stub.name, now_ms, stub.index, report
        )
        data = codec.encode(message)
        stub.sent_bytes += len(data)
        await stub.sock.send(data)
        await asyncio.sleep(1)


@functools.lru_cache(maxsize=64)
def decode_frame(data):
    """Decode a message; cached because all stubs receive the same ones."""
    return msgspec.msgpack.decode(data)


async def receive_updates(stub):
    """Receive views and deltas and update the stub's index and version."""
    while True:
        data = await stub.sock.recv()
        stub.received_bytes += len(data)
        kind, *fields = decode_frame(data)
        if kind == "WholeView":
            view = fields[1]
            stub.index, stub.version = view[2], view[3]
        elif kind == "Delta" and fields[1] <= stub.index:
            for entry in fields[2]:
                if entry[2] > stub.index:
                    stub.index = entry[2]
                    stub.version += entry[3][0] == "ChangeTables"
            stub.report_requested = fields[4]


def read_cpu_s(pid):
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def read_rss_mb(pid):
    """Return the resident memory of a process, in megabytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def make_tables(models, version):
    """Return routes and pools; each version changes one route's deadline."""
    routes = tuple(
        tables.Route(
            f"r{i}", "guild-drafting", "drafting-desk",
            model=f"model-{i:04}", memory_mib=MODEL_MIB, replicas=2,
            deadline_ms=60_000 + (version if i == 0 else 0),
        )
        for i in range(models)
    )  # fmt: skip
    return routes, (tables.Pool("guild-drafting", "guild", 2400),)


async def submit(session, control, models, version):
    """Submit tables that are based on a version to a control replica."""
    routes, pools = make_tables(models, version)
    body = operator_api.SubmitRequest(
        f"cap-{version}", "capacity", version, routes, pools
    )
    url = f"http://{control.operator_address}/v1/tables"
    async with session.post(url, data=msgspec.json.encode(body)) as resp:
        if resp.status != 200:
            text = await resp.text()
            raise SystemExit(f"{url}: status {resp.status}: {text}")


async def wait_for_version(stubs, version):
    """Return the seconds until every stub has received a version."""
    started_s = time.perf_counter()
    while any(stub.version < version for stub in stubs):
        await asyncio.sleep(0.02)
    return time.perf_counter() - started_s


async def wait_until_stable(stubs, min_index):
    """Wait until all stubs have reached an index and the view is stable."""
    while min(stub.index for stub in stubs) < min_index:
        await asyncio.sleep(0.2)
    last_index, unchanged_since_s = None, time.monotonic()
    while time.monotonic() - unchanged_since_s < STABLE_S:
        index = max(stub.index for stub in stubs)
        if index != last_index:
            last_index, unchanged_since_s = index, time.monotonic()
        await asyncio.sleep(0.2)


async def sample_usage(pids, stubs):
    """Return the traffic per stub, and the CPU usage and memory by process."""
    cpu_before = {name: read_cpu_s(pid) for name, pid in pids.items()}
    bytes_before = sum(stub.sent_bytes + stub.received_bytes for stub in stubs)
    await asyncio.sleep(_SECONDS.value)
    bytes_moved = (
        sum(stub.sent_bytes + stub.received_bytes for stub in stubs)
        - bytes_before
    )
    row = {"bytes/s": bytes_moved / _SECONDS.value / len(stubs)}
    for name, pid in pids.items():
        cpu_percent = (
            (read_cpu_s(pid) - cpu_before[name]) / _SECONDS.value * 100
        )
        row[f"{name} % core"] = cpu_percent
        row[f"{name} MB"] = read_rss_mb(pid)
    return row


async def measure(cluster, engines):
    """Return the readings of a cluster with stubs for all other engines."""
    control = cluster.controls[0]
    stubs = list(connect_stubs(control.address, engines))
    stub_tasks = [
        asyncio.create_task(run(stub))
        for stub in stubs
        for run in (send_heartbeats, receive_updates)
    ]
    pids = {
        name: cluster.processes[process].child.pid
        for name, process in (
            ("control", "control-1"),
            ("entry", "entry-1"),
            ("upstream", "upstream-real"),
        )
    }
    models = 2 * engines
    async with aiohttp.ClientSession() as session:
        await wait_until_stable(stubs, engines)
        await submit(session, control, models, 0)
        await wait_for_version(stubs, 1)
        await wait_until_stable(stubs, engines + 1)
        row = await sample_usage(pids, stubs)
        row["view index with replicas placed"] = min(
            stub.index for stub in stubs
        )
        cpu_before = read_cpu_s(pids["control"]), read_cpu_s(pids["entry"])
        received_before = sum(stub.received_bytes for stub in stubs)
        change_times_s = []
        for version in range(1, _CHANGES.value + 1):
            await submit(session, control, models, version)
            change_times_s.append(await wait_for_version(stubs, version + 1))
        row["change in force s"] = max(change_times_s)
        row["bytes/change"] = (
            (sum(stub.received_bytes for stub in stubs) - received_before)
            / _CHANGES.value
            / len(stubs)
        )
        for name, before_s in zip(
            ("control", "entry"), cpu_before, strict=True
        ):
            cpu_used_s = read_cpu_s(pids[name]) - before_s
            row[f"{name} ms/change"] = cpu_used_s / _CHANGES.value * 1e3
    for task in stub_tasks:
        task.cancel()
    await asyncio.gather(*stub_tasks, return_exceptions=True)
    for stub in stubs:
        stub.sock.close(0)
    return row


def run_size(folder, engines):
    """Start a cluster, measure it with a number of engines, and stop it."""
    cluster = local_cluster.new_cluster(folder / str(engines), 1)
    try:
        local_cluster.start_controls(cluster)
        standin_settings = builders.standin_settings(
            "real", accelerators=4, memory_mib=ENGINE_MIB
        )
        local_cluster.add_upstream(cluster, standin_settings, "drafting-desk")
        local_cluster.add_entry(cluster, "entry-1")
        local_cluster.wait_for_upstreams(cluster, 1)
        return asyncio.run(measure(cluster, engines))
    finally:
        local_cluster.stop_all(cluster)


def main(_argv):
    folder = pathlib.Path(tempfile.mkdtemp())
    sizes = [int(size) for size in _SIZES.value]
    rows = []
    for engines in sizes:
        rows.append(run_size(folder, engines))
        print(
            engines,
            {reading: round(value, 3) for reading, value in rows[-1].items()},
        )
    print(f"| reading | {' | '.join(map(str, sizes))} | slope for 100 engines "
          f"| at {PROJECTED_ENGINES} | largest residual |")  # fmt: skip
    print("| --- " * (len(sizes) + 4) + "|")
    for name in rows[0]:
        values = [row[name] for row in rows]
        slope, intercept = numpy.polyfit(sizes, values, 1)
        fitted_values = numpy.polyval((slope, intercept), sizes)
        largest_residual = float(max(abs(fitted_values - values)))
        cells = " | ".join(f"{value:.2f}" for value in values)
        print(f"| {name} | {cells} | {slope * 100:.3f} | "
              f"{slope * PROJECTED_ENGINES + intercept:.2f} | "
              f"{largest_residual:.2f} |")  # fmt: skip


if __name__ == "__main__":
    app.run(main)
