"""Runs a workload over HTTP against a running system, open loop.

Each request starts at its intended time whether or not earlier ones have
ended, and its latency counts from that time, so that a slow system cannot
hide by slowing its callers.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import aiohttp
import msgspec

from bilberryramp.loadgen import outcomes, workload

__all__ = ["run"]

PROGRESS_S = 1.0
WORD = "word "
TOKEN_CHARS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class _Body:
    """A completion request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = True


async def run(
    url: str,
    load: workload.Workload,
    seed: int,
    show: Callable[[str], None],
) -> outcomes.Outcomes:
    """Send a workload.

    Parameters
    ----------
    url
        Base URL of an entry.
    load, seed
        The workload and the seed of its requests.
    show
        Takes a progress line each second.

    Returns
    -------
    Outcomes
        What became of the requests.
    """
    tally = outcomes.new_outcomes(load)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        progress = asyncio.create_task(_progress(tally, show))
        began = time.perf_counter()
        async with asyncio.TaskGroup() as group:
            for arrival in workload.arrivals(load, seed):
                wait_s = began + arrival.at_s - time.perf_counter()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                outcomes.record_offered(tally, arrival.model)
                group.create_task(_send(session, url, arrival, began, tally))
        progress.cancel()
    return tally


async def _progress(tally: outcomes.Outcomes, show) -> None:
    began = time.perf_counter()
    while True:
        await asyncio.sleep(PROGRESS_S)
        elapsed_s = time.perf_counter() - began
        show(
            f"{elapsed_s:.0f} s: {tally.offered} sent, {tally.attained} "
            f"attained, {tally.refused} refused, {tally.failed} failed"
        )


async def _send(session, url, arrival, began, tally) -> None:
    words = max(arrival.prompt_tokens * TOKEN_CHARS // len(WORD), 1)
    body = _Body(
        arrival.model,
        f"{arrival.prefix} {WORD * words}",
        arrival.answer_tokens,
    )
    data = msgspec.json.encode(body)
    try:
        async with session.post(f"{url}/v1/completions", data=data) as resp:
            if resp.status != 200:
                tally.refused += 1
                return
            await _read(resp, arrival, began, tally)
    except (aiohttp.ClientError, TimeoutError):
        tally.failed += 1


async def _read(resp, arrival, began, tally) -> None:
    first_s = 0.0
    tokens = 0
    async for line in resp.content:
        if not line.startswith(b"data: {"):
            continue
        tokens += 1
        first_s = first_s or time.perf_counter()
    ended_s = time.perf_counter()
    first_ms = (first_s - began - arrival.at_s) * 1e3
    between_ms = (ended_s - first_s) * 1e3 / max(tokens, 1)
    outcomes.record_answered(tally, arrival.model, first_ms, between_ms)
