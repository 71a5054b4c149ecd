"""Run a workload over HTTP against a running system, as an open loop.

Each request is sent at its intended start time, whether or not earlier
requests have ended, and its latency is measured from that time. Otherwise a
slow system would delay its callers and the delay would be missing from the
latencies (coordinated omission).
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import aiohttp
import msgspec

from bilberryramp.loadgen import outcomes, workload

__all__ = ["run"]

PROGRESS_INTERVAL_S = 1.0
FILLER_WORD = "word "
CHARS_PER_TOKEN = 4


@dataclasses.dataclass(slots=True, frozen=True)
class _CompletionRequest:
    """JSON body of a streamed completion request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = True


async def run(
    url: str,
    load: workload.Workload,
    seed: int,
    print_line: Callable[[str], None],
) -> outcomes.Outcomes:
    """Send all requests of a workload and wait until they have ended.

    Parameters
    ----------
    url
        Base URL of an entry, without a trailing slash.
    load
        The workload.
    seed
        Seed of the random arrivals and sizes.
    print_line
        Callback that gets a progress line every second.

    Returns
    -------
    Outcomes
        Counts and latencies of the requests, grouped by model.
    """
    tally = outcomes.new_outcomes(load)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        progress_task = asyncio.create_task(_print_progress(tally, print_line))
        started_s = time.perf_counter()
        async with asyncio.TaskGroup() as group:
            for arrival in workload.arrivals(load, seed):
                wait_s = started_s + arrival.at_s - time.perf_counter()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                outcomes.record_offered(tally, arrival.model)
                group.create_task(
                    _send_request(session, url, arrival, started_s, tally)
                )
        progress_task.cancel()
    return tally


async def _print_progress(tally: outcomes.Outcomes, print_line) -> None:
    started_s = time.perf_counter()
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        elapsed_s = time.perf_counter() - started_s
        print_line(
            f"{elapsed_s:.0f} s: {tally.offered} sent, {tally.attained} "
            f"attained, {tally.refused} refused, {tally.failed} failed"
        )


async def _send_request(session, url, arrival, started_s, tally) -> None:
    """Send a request and record its outcome."""
    word_count = max(
        arrival.prompt_tokens * CHARS_PER_TOKEN // len(FILLER_WORD), 1
    )
    body = _CompletionRequest(
        arrival.model,
        f"{arrival.prefix} {FILLER_WORD * word_count}",
        arrival.answer_tokens,
    )
    data = msgspec.json.encode(body)
    try:
        async with session.post(
            f"{url}/v1/completions", data=data
        ) as response:
            if response.status != 200:
                tally.refused += 1
                return
            await _read_stream(response, arrival, started_s, tally)
    except (aiohttp.ClientError, TimeoutError):
        tally.failed += 1


async def _read_stream(response, arrival, started_s, tally) -> None:
    """Read a server-sent event stream to its end and record the latencies."""
    first_token_s = 0.0
    chunks = 0
    async for line in response.content:
        if not line.startswith(b"data: {"):
            continue
        chunks += 1
        first_token_s = first_token_s or time.perf_counter()
    last_token_s = time.perf_counter()
    first_token_ms = (first_token_s - started_s - arrival.at_s) * 1e3
    between_tokens_ms = (last_token_s - first_token_s) * 1e3 / max(chunks, 1)
    outcomes.record_answered(
        tally, arrival.model, first_token_ms, between_tokens_ms
    )
