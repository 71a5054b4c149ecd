"""Measures what each role costs as the system grows, and fits slopes.

Real processes of each role run on loopback; the other engines and entries
are stand-ins that only hold a socket and send heartbeats.
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

_SIZES = flags.DEFINE_list("sizes", ["150", "300", "600"], "Engines.")
_SECONDS = flags.DEFINE_float("seconds", 15.0, "Time of each reading.")
_CHANGES = flags.DEFINE_integer("changes", 10, "Changes timed.")

FULL = 600
MODEL_MIB = 9000
ENGINE_MIB = 80_000


@dataclasses.dataclass(slots=True)
class Follower:
    """A stand-in entry or upstream process: a socket and an index."""

    name: str
    sock: zmq.asyncio.Socket
    upstream: views.Upstream | None
    index: int = -1
    version: int = 0
    want_report: bool = True
    sent_bytes: int = 0
    got_bytes: int = 0


def new_followers(address, engines):
    ctx = zmq.asyncio.Context.instance()
    entries = engines * 2 // 3
    for number in range(engines + entries):
        upstream = None
        if number < engines:
            upstream = views.Upstream(
                f"s{number:04}", "a", "tcp://127.0.0.1:9", "drafting-desk",
                views.UpstreamKind.ENGINE, f"d{number % 4}", 4, ENGINE_MIB,
            )  # fmt: skip
        name = f"stub/{number}"
        sock = ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.IDENTITY, name.encode())
        sock.connect(address)
        yield Follower(name, sock, upstream)


async def beat(follower):
    await asyncio.sleep(random.random())
    while True:
        report = None
        if follower.upstream is not None and follower.want_report:
            report = feed_messages.UpstreamReport(follower.upstream)
        now_ms = time.monotonic_ns() // 1_000_000
        message = feed_messages.Heartbeat(
            follower.name, now_ms, follower.index, report
        )
        data = codec.encode(message)
        follower.sent_bytes += len(data)
        await follower.sock.send(data)
        await asyncio.sleep(1)


@functools.lru_cache(maxsize=64)
def decoded(data):
    """Decode once what many stand-ins of this process receive."""
    return msgspec.msgpack.decode(data)


async def listen(follower):
    while True:
        data = await follower.sock.recv()
        follower.got_bytes += len(data)
        kind, *fields = decoded(data)
        if kind == "WholeView":
            view = fields[1]
            follower.index, follower.version = view[2], view[3]
        elif kind == "Delta" and fields[1] <= follower.index:
            for entry in fields[2]:
                if entry[2] > follower.index:
                    follower.index = entry[2]
                    follower.version += entry[3][0] == "ChangeTables"
            follower.want_report = fields[4]


def cpu_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def wanted_tables(models, version):
    routes = tuple(
        tables.Route(
            f"r{number}", "guild-drafting", "drafting-desk",
            model=f"model-{number:04}", memory_mib=MODEL_MIB, replicas=2,
            deadline_ms=60_000 + (version if number == 0 else 0),
        )
        for number in range(models)
    )  # fmt: skip
    return routes, (tables.Pool("guild-drafting", "guild", 2400),)


async def submit(session, control, models, version):
    routes, pools = wanted_tables(models, version)
    body = operator_api.SubmitRequest(
        f"cap-{version}", "capacity", version, routes, pools
    )
    url = f"http://{control.operator_address}/v1/tables"
    async with session.post(url, data=msgspec.json.encode(body)) as resp:
        if resp.status != 200:
            raise SystemExit(await resp.text())


async def all_at(followers, version):
    """Seconds until each follower has a version."""
    began = time.perf_counter()
    while any(f.version < version for f in followers):
        await asyncio.sleep(0.02)
    return time.perf_counter() - began


async def steady(followers, least):
    """Wait until the view is past an index and has stopped changing."""
    while min(f.index for f in followers) < least:
        await asyncio.sleep(0.2)
    last, since = None, time.monotonic()
    while time.monotonic() - since < 4:
        index = max(f.index for f in followers)
        if index != last:
            last, since = index, time.monotonic()
        await asyncio.sleep(0.2)


async def reading(pids, followers):
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    sent = sum(f.sent_bytes + f.got_bytes for f in followers)
    await asyncio.sleep(_SECONDS.value)
    moved = sum(f.sent_bytes + f.got_bytes for f in followers) - sent
    row = {"bytes/s": moved / _SECONDS.value / len(followers)}
    for name, pid in pids.items():
        share = (cpu_s(pid) - before[name]) / _SECONDS.value * 100
        row[f"{name} % core"] = share
        row[f"{name} MB"] = rss_mb(pid)
    return row


async def measure(cluster, engines):
    control = cluster.controls[0]
    followers = list(new_followers(control.address, engines))
    helpers = [
        asyncio.create_task(run(f))
        for f in followers
        for run in (beat, listen)
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
        await steady(followers, engines)
        await submit(session, control, models, 0)
        await all_at(followers, 1)
        await steady(followers, engines + 1)
        row = await reading(pids, followers)
        row["placed in force"] = min(f.index for f in followers)
        before = cpu_s(pids["control"]), cpu_s(pids["entry"])
        moved = sum(f.got_bytes for f in followers)
        took = []
        for version in range(1, _CHANGES.value + 1):
            await submit(session, control, models, version)
            took.append(await all_at(followers, version + 1))
        row["change in force s"] = max(took)
        row["bytes/change"] = (
            (sum(f.got_bytes for f in followers) - moved)
            / _CHANGES.value
            / len(followers)
        )
        for name, was in zip(("control", "entry"), before, strict=True):
            spent = cpu_s(pids[name]) - was
            row[f"{name} ms/change"] = spent / _CHANGES.value * 1e3
    for helper in helpers:
        helper.cancel()
    await asyncio.gather(*helpers, return_exceptions=True)
    for follower in followers:
        follower.sock.close(0)
    return row


def run_size(folder, engines):
    cluster = local_cluster.new_cluster(folder / str(engines), 1)
    try:
        local_cluster.start_controls(cluster)
        real = builders.standin_settings(
            "real", accelerators=4, memory_mib=ENGINE_MIB
        )
        local_cluster.add_upstream(cluster, real, "drafting-desk")
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
        print(engines, {k: round(v, 3) for k, v in rows[-1].items()})
    print(f"| reading | {' | '.join(map(str, sizes))} | slope for 100 engines "
          f"| at {FULL} | largest residual |")  # fmt: skip
    print("| --- " * (len(sizes) + 4) + "|")
    for name in rows[0]:
        values = [row[name] for row in rows]
        slope, base = numpy.polyfit(sizes, values, 1)
        fitted = numpy.polyval((slope, base), sizes)
        error = float(max(abs(fitted - values)))
        shown = " | ".join(f"{value:.2f}" for value in values)
        print(f"| {name} | {shown} | {slope * 100:.3f} | "
              f"{slope * FULL + base:.2f} | {error:.2f} |")  # fmt: skip


if __name__ == "__main__":
    app.run(main)
