"""Measure the overhead of the request path on loopback.

Print the latency through entry and upstream process and of direct requests to
the stand-in engine, the throughput of one entry, and the memory and idle CPU
usage of each process.
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

_CALLS = flags.DEFINE_integer("calls", 1500, "Requests per latency row.")
_WORKERS = flags.DEFINE_integer("workers", 32, "Number of concurrent callers.")
_SECONDS = flags.DEFINE_float("seconds", 5.0, "Seconds at full load.")

EXAMPLES_DIR = pathlib.Path(__file__).parent.parent / "examples"
COMPLETION_BODY = b'{"model": "abay-passes-3b", "max_tokens": 1}'
SERVICE_PATH = "/services/corrections"
IDLE_SAMPLE_S = 10


async def time_post_ms(session, url, body, headers):
    """Return the duration of a request in milliseconds."""
    started_s = time.perf_counter()
    async with session.post(url, data=body, headers=headers) as resp:
        await resp.read()
        if resp.status != 200:
            raise SystemExit(f"{url}: status {resp.status}")
    return (time.perf_counter() - started_s) * 1e3


async def measure_latencies_ms(url, body, make_headers=lambda i: {}):
    """Return the latencies of sequential requests in milliseconds."""
    async with aiohttp.ClientSession() as session:
        return [
            await time_post_ms(session, url, body, make_headers(i))
            for i in range(_CALLS.value)
        ]


async def measure_throughput(url):
    """Return the requests per second that concurrent callers achieve."""
    completed = 0
    deadline_s = time.perf_counter() + _SECONDS.value

    async def worker(session):
        nonlocal completed
        while time.perf_counter() < deadline_s:
            await time_post_ms(session, url, COMPLETION_BODY, {})
            completed += 1

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(worker(session) for _ in range(_WORKERS.value)))
    return completed / _SECONDS.value


def print_percentiles(name, latencies_ms):
    percentiles = statistics.quantiles(latencies_ms, n=100)
    print(
        f"{name}: p50 {percentiles[49]:.2f} ms, p99 {percentiles[98]:.2f} ms"
    )


def read_cpu_s(pid):
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def read_rss_mb(pid):
    """Return the resident memory of a process, in megabytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def print_idle_usage(cluster):
    """Print the memory and the CPU usage of each process without load."""
    pids = {
        name: process.child.pid for name, process in cluster.processes.items()
    }
    cpu_before = {name: read_cpu_s(pid) for name, pid in pids.items()}
    time.sleep(IDLE_SAMPLE_S)
    for name, pid in pids.items():
        cpu_used_s = read_cpu_s(pid) - cpu_before[name]
        cpu_percent = cpu_used_s / IDLE_SAMPLE_S * 100
        print(
            f"{name}: {read_rss_mb(pid):.0f} MB, "
            f"{cpu_percent:.1f}% of a core idle"
        )


def start_cluster(cluster):
    """Start a cluster with fast engines and return the URL of its entry."""
    local_cluster.start_controls(cluster)
    fast_settings = {"first_token_ms": 0.0, "tokens_per_s": 1e6}
    for name, service in (
        ("desk-1", "drafting-desk"),
        ("desk-2", "drafting-desk"),
        ("letters-1", "letter-llm"),
    ):
        engine = schema.StandinSettings(
            name, views.UpstreamKind.ENGINE, **fast_settings
        )
        local_cluster.add_upstream(cluster, engine, service, slots=64)
    ledger = schema.StandinSettings(
        "ledger-1", views.UpstreamKind.SERVICE, first_token_ms=0.0
    )
    local_cluster.add_upstream(cluster, ledger, "corrections-ledger")
    port = local_cluster.add_entry(cluster, "entry-1")
    local_cluster.wait_for_upstreams(cluster, 4)
    local_cluster.ctl(
        cluster,
        f"--routes={EXAMPLES_DIR / 'routes.yaml'}",
        f"--pools={EXAMPLES_DIR / 'pools.yaml'}",
        "submit",
    )
    local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
    time.sleep(2)
    return f"http://127.0.0.1:{port}"


def standin_url(cluster, name):
    """Return the base URL of a stand-in, from its settings file."""
    text = (cluster.folder / f"standin-{name}.yaml").read_text()
    port = next(line for line in text.splitlines() if line.startswith("port:"))
    return f"http://127.0.0.1:{port.split()[1]}"


def main(_argv):
    folder = pathlib.Path(tempfile.mkdtemp())
    for controls in (1, 3):
        print(f"{controls} control replicas")
        cluster = local_cluster.new_cluster(folder / str(controls), controls)
        try:
            measure(cluster, start_cluster(cluster))
        finally:
            local_cluster.stop_all(cluster)


def measure(cluster, base_url):
    """Measure a cluster through the entry at a URL and print the figures."""
    direct_engine_url = standin_url(cluster, "letters-1") + "/v1/completions"
    entry_url = base_url + "/v1/completions"
    print_percentiles(
        "direct to the engine",
        asyncio.run(measure_latencies_ms(direct_engine_url, COMPLETION_BODY)),
    )
    print_percentiles(
        "through the system",
        asyncio.run(measure_latencies_ms(entry_url, COMPLETION_BODY)),
    )
    direct_service_url = standin_url(cluster, "ledger-1") + SERVICE_PATH
    print_percentiles(
        "direct to the service",
        asyncio.run(measure_latencies_ms(direct_service_url, b"x")),
    )
    print_percentiles(
        "with idempotency key, through the system",
        asyncio.run(
            measure_latencies_ms(
                base_url + SERVICE_PATH,
                b"x",
                lambda i: {"Idempotency-Key": f"k{i}"},
            )
        ),
    )
    requests_per_s = asyncio.run(measure_throughput(entry_url))
    print(f"one entry: {requests_per_s:.0f} requests a second")
    print_idle_usage(cluster)


if __name__ == "__main__":
    app.run(main)
