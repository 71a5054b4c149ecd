"""Measures processor time of entry and upstream process for each token.

Streams answers of several lengths through one entry and one engine and
fits processor time to the length: the base is the cost of a request, the
slope that of a token.
"""

import asyncio
import pathlib
import tempfile

import aiohttp
import numpy
from absl import app, flags
from capacity import cpu_s

from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders

_LENGTHS = flags.DEFINE_list("lengths", ["1", "50", "100", "200"], "Tokens.")
_CALLS = flags.DEFINE_integer("calls", 240, "Requests for each length.")
_WORKERS = flags.DEFINE_integer("workers", 8, "Callers.")


async def stream(session, url, tokens):
    body = builders.completion_body(tokens, stream=True)
    async with session.post(url, data=body) as resp:
        if resp.status != 200:
            raise SystemExit(await resp.text())
        async for _ in resp.content.iter_any():
            pass


async def run(url, tokens):
    async def worker(session):
        for _ in range(_CALLS.value // _WORKERS.value):
            await stream(session, url, tokens)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(worker(session) for _ in range(_WORKERS.value)))


def start(folder):
    cluster = local_cluster.new_cluster(folder, 1)
    local_cluster.start_controls(cluster)
    for name, service in (
        ("desk-1", "drafting-desk"),
        ("desk-2", "drafting-desk"),
        ("letters-1", "letter-llm"),
    ):
        # Slow enough that each token travels alone.
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
    cluster, url = start(pathlib.Path(tempfile.mkdtemp()))
    names = ("entry-1", "upstream-letters-1")
    lengths = [int(length) for length in _LENGTHS.value]
    rows = {name: [] for name in names}
    try:
        asyncio.run(run(url, 1))
        for tokens in lengths:
            pids = {n: cluster.processes[n].child.pid for n in names}
            before = {n: cpu_s(pid) for n, pid in pids.items()}
            asyncio.run(run(url, tokens))
            for name, pid in pids.items():
                spent = cpu_s(pid) - before[name]
                rows[name].append(spent / _CALLS.value * 1e3)
    finally:
        local_cluster.stop_all(cluster)
    for name, values in rows.items():
        slope, base = numpy.polyfit(lengths, values, 1)
        fitted = numpy.polyval((slope, base), lengths)
        error = max(abs(fitted - values))
        shown = ", ".join(f"{value:.2f}" for value in values)
        print(
            f"{name}: {shown} ms a request at {lengths} tokens; "
            f"{base:.2f} ms + {slope * 1e3:.0f} us a token, "
            f"largest residual {error:.2f} ms"
        )


if __name__ == "__main__":
    app.run(main)
