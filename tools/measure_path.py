"""Measures the path of a request on loopback.

One run gives: latency through entry and upstream process against calling
the stand-in engine directly, requests a second for one entry, and memory
and idle processor share of each process.
"""

import asyncio
import os
import pathlib
import statistics
import tempfile
import time

import aiohttp
from absl import app, flags

from bilberryramp.decisions.shared import views
from bilberryramp.settings import schema
from bilberryramp.standins import local_cluster

_CALLS = flags.DEFINE_integer("calls", 1500, "Calls for each latency row.")
_WORKERS = flags.DEFINE_integer("workers", 32, "Callers at full load.")
_SECONDS = flags.DEFINE_float("seconds", 5.0, "Time at full load.")

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
BODY = b'{"model": "abay-passes-3b", "max_tokens": 1}'
SERVICE = "/services/corrections"


async def timed_ms(session, url, body, headers):
    began = time.perf_counter()
    async with session.post(url, data=body, headers=headers) as resp:
        await resp.read()
        if resp.status != 200:
            raise SystemExit(f"{url}: status {resp.status}")
    return (time.perf_counter() - began) * 1e3


async def latencies(url, body, headers=lambda n: {}):
    async with aiohttp.ClientSession() as session:
        return [
            await timed_ms(session, url, body, headers(n))
            for n in range(_CALLS.value)
        ]


async def throughput(url):
    done = 0
    until = time.perf_counter() + _SECONDS.value

    async def worker(session):
        nonlocal done
        while time.perf_counter() < until:
            await timed_ms(session, url, BODY, {})
            done += 1

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(worker(session) for _ in range(_WORKERS.value)))
    return done / _SECONDS.value


def show(name, values):
    cuts = statistics.quantiles(values, n=100)
    print(f"{name}: p50 {cuts[49]:.2f} ms, p99 {cuts[98]:.2f} ms")


def cpu_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def idle(cluster):
    pids = {n: p.child.pid for n, p in cluster.processes.items()}
    before = {n: cpu_s(pid) for n, pid in pids.items()}
    time.sleep(10)
    for name, pid in pids.items():
        share = (cpu_s(pid) - before[name]) / 10 * 100
        print(f"{name}: {rss_mb(pid):.0f} MB, {share:.1f}% of a core idle")


def start(cluster):
    local_cluster.start_controls(cluster)
    fast = {"first_token_ms": 0.0, "tokens_per_s": 1e6}
    for name, service in (
        ("desk-1", "drafting-desk"),
        ("desk-2", "drafting-desk"),
        ("letters-1", "letter-llm"),
    ):
        engine = schema.StandinSettings(
            name, views.UpstreamKind.ENGINE, **fast
        )
        local_cluster.add_upstream(cluster, engine, service, slots=64)
    plain = schema.StandinSettings(
        "ledger-1", views.UpstreamKind.SERVICE, first_token_ms=0.0
    )
    local_cluster.add_upstream(cluster, plain, "corrections-ledger")
    port = local_cluster.add_entry(cluster, "entry-1")
    local_cluster.wait_for_upstreams(cluster, 4)
    local_cluster.ctl(
        cluster,
        f"--routes={EXAMPLES / 'routes.yaml'}",
        f"--pools={EXAMPLES / 'pools.yaml'}",
        "submit",
    )
    local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
    time.sleep(2)
    return f"http://127.0.0.1:{port}"


def engine_url(cluster, name):
    text = (cluster.folder / f"standin-{name}.yaml").read_text()
    port = next(x for x in text.splitlines() if x.startswith("port:"))
    return f"http://127.0.0.1:{port.split()[1]}"


def main(_argv):
    folder = pathlib.Path(tempfile.mkdtemp())
    for controls in (1, 3):
        print(f"{controls} control replicas")
        cluster = local_cluster.new_cluster(folder / str(controls), controls)
        try:
            measure(cluster, start(cluster))
        finally:
            local_cluster.stop_all(cluster)


def measure(cluster, entry):
    direct = engine_url(cluster, "letters-1") + "/v1/completions"
    through = entry + "/v1/completions"
    show("direct to the engine", asyncio.run(latencies(direct, BODY)))
    show("through the system", asyncio.run(latencies(through, BODY)))
    plain = engine_url(cluster, "ledger-1") + SERVICE
    show("direct to the service", asyncio.run(latencies(plain, b"x")))
    show(
        "marked, through the system",
        asyncio.run(
            latencies(
                entry + SERVICE, b"x", lambda n: {"Idempotency-Key": f"k{n}"}
            )
        ),
    )
    rate = asyncio.run(throughput(through))
    print(f"one entry: {rate:.0f} requests a second")
    idle(cluster)


if __name__ == "__main__":
    app.run(main)
