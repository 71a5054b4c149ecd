"""Measure the CPU time that entry and upstream process spend on each token.

Stream answers of several lengths through one entry and one engine, and fit
the CPU time of a request to the length linearly. The intercept is the cost of
a request without tokens, the slope is the cost of a token.
"""

import asyncio
import pathlib
import tempfile

import aiohttp
import numpy
from absl import app, flags
from capacity import read_cpu_s

from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders

_LENGTHS = flags.DEFINE_list(
    "lengths", ["1", "50", "100", "200"], "Answer lengths in tokens."
)
_CALLS = flags.DEFINE_integer(
    "calls", 240, "Number of requests of each length."
)
_WORKERS = flags.DEFINE_integer("workers", 8, "Number of concurrent callers.")


async def stream_answer(session, url, tokens):
    """Request a streamed answer of a given length and read it to its end."""
    body = builders.completion_body(tokens, stream=True)
    async with session.post(url, data=body) as resp:
        if resp.status != 200:
            text = await resp.text()
            raise SystemExit(f"{url}: status {resp.status}: {text}")
        async for _ in resp.content.iter_any():
            pass


async def send_requests(url, tokens):
    """Send requests from concurrent callers and wait for their answers."""

    async def worker(session):
        for _ in range(_CALLS.value // _WORKERS.value):
            await stream_answer(session, url, tokens)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(worker(session) for _ in range(_WORKERS.value)))


def start_cluster(folder):
    cluster = local_cluster.new_cluster(folder, 1)
    local_cluster.start_controls(cluster)
    for name, service in (
        ("desk-1", "drafting-desk"),
        ("desk-2", "drafting-desk"),
        ("letters-1", "letter-llm"),
    ):
        # At this speed, each token is sent in a message of its own.
        engine = builders.standin_settings(
            name, tokens_per_s=200.0, first_token_ms=0
        )
        local_cluster.add_upstream(cluster, engine, service, slots=16)
    port = local_cluster.add_entry(cluster, "entry-1")
    local_cluster.wait_for_upstreams(cluster, 3)
    builders.submit(cluster)
    local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
    return cluster, f"http://127.0.0.1:{port}/v1/completions"


def main(_argv):
    cluster, url = start_cluster(pathlib.Path(tempfile.mkdtemp()))
    process_names = ("entry-1", "upstream-letters-1")
    lengths = [int(length) for length in _LENGTHS.value]
    cpu_ms = {name: [] for name in process_names}
    try:
        asyncio.run(send_requests(url, 1))
        for tokens in lengths:
            pids = {n: cluster.processes[n].child.pid for n in process_names}
            cpu_before = {n: read_cpu_s(pid) for n, pid in pids.items()}
            asyncio.run(send_requests(url, tokens))
            for name, pid in pids.items():
                cpu_used_s = read_cpu_s(pid) - cpu_before[name]
                cpu_ms[name].append(cpu_used_s / _CALLS.value * 1e3)
    finally:
        local_cluster.stop_all(cluster)
    for name, cpu_ms_per_request in cpu_ms.items():
        slope_ms, base_ms = numpy.polyfit(lengths, cpu_ms_per_request, 1)
        fitted_ms = numpy.polyval((slope_ms, base_ms), lengths)
        max_residual_ms = max(abs(fitted_ms - cpu_ms_per_request))
        formatted = ", ".join(f"{value:.2f}" for value in cpu_ms_per_request)
        print(
            f"{name}: {formatted} ms a request at {lengths} tokens; "
            f"{base_ms:.2f} ms + {slope_ms * 1e3:.0f} us a token, "
            f"largest residual {max_residual_ms:.2f} ms"
        )


if __name__ == "__main__":
    app.run(main)
