"""Workloads: random request streams and their latency targets."""

import dataclasses
import enum
import heapq
import math
import random
from collections.abc import Iterator

__all__ = ["Arrival", "Shape", "Stream", "Workload", "arrivals"]

HOUR_S = 3600.0


class Shape(enum.StrEnum):
    """How the request rate of a stream changes over time."""

    STEADY = "steady"
    BURST = "burst"
    SHIFT = "shift"
    DIURNAL = "diurnal"


@dataclasses.dataclass(slots=True, frozen=True)
class Stream:
    """A Poisson process of requests for one model.

    Attributes
    ----------
    model
        Name of the requested model.
    requests_per_s
        Base rate, in requests per second.
    shape
        How the rate changes over time. ``steady`` keeps the base rate,
        ``burst`` raises it for a time, ``shift`` changes it exponentially
        and stays at the new rate, and ``diurnal`` follows a sine wave
        between the base rate and the changed rate.
    factor
        Ratio of the changed rate to the base rate.
    start_s
        Start of the change, in seconds from the start of the run.
    length_s
        Duration of a burst or a shift, or the period of the sine wave, in
        seconds.
    prompt_tokens, answer_tokens
        Medians of the log-normal sizes, in tokens.
    size_sigma
        Standard deviation of the logarithm of both sizes.
    prefixes
        Number of distinct prompt prefixes.
    """

    model: str
    requests_per_s: float
    shape: Shape = Shape.STEADY
    factor: float = 10.0
    start_s: float = 0.0
    length_s: float = 60.0
    prompt_tokens: int = 600
    answer_tokens: int = 150
    size_sigma: float = 0.5
    prefixes: int = 50


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """Request streams that run concurrently, with latency targets.

    Attributes
    ----------
    name
        Name of the workload.
    streams
        The request streams.
    duration_s
        Length of the run, in seconds.
    first_token_ms
        Target for the time to the first token, in milliseconds.
    between_tokens_ms
        Target for the mean time between tokens, in milliseconds. A request
        is attained if it meets both targets.
    """

    name: str
    streams: tuple[Stream, ...]
    duration_s: float = 600.0
    first_token_ms: float = 430.0
    between_tokens_ms: float = 79.0


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a workload.

    Attributes
    ----------
    at_s
        Intended start, in seconds from the start of the run.
    model
        Name of the requested model.
    prompt_tokens, answer_tokens
        Sizes of the prompt and the answer, in tokens.
    prefix
        Number of the prompt prefix, from 0; requests for a model with the
        same number share the prefix.
    """

    at_s: float
    model: str
    prompt_tokens: int
    answer_tokens: int
    prefix: int


def arrivals(load: Workload, seed: int) -> Iterator[Arrival]:
    """Generate the requests of a workload.

    Parameters
    ----------
    load
        The workload.
    seed
        Seed of the random arrivals and sizes. Equal seeds give equal
        requests.

    Yields
    ------
    Arrival
        The requests, in the order of their intended start.
    """
    streams = (
        _stream_arrivals(
            stream, load.duration_s, random.Random(f"{seed}/{number}")
        )
        for number, stream in enumerate(load.streams)
    )
    return heapq.merge(*streams, key=lambda arrival: arrival.at_s)


def _stream_arrivals(
    stream: Stream, duration_s: float, rng: random.Random
) -> Iterator[Arrival]:
    peak_per_s = stream.requests_per_s * max(stream.factor, 1.0)
    if stream.shape == Shape.STEADY:
        peak_per_s = stream.requests_per_s
    at_s = 0.0
    while peak_per_s > 0:
        at_s += rng.expovariate(peak_per_s)
        if at_s >= duration_s:
            return
        # Thinning: keep an arrival with the probability current rate / peak
        # rate.
        if rng.random() * peak_per_s <= _rate_at(stream, at_s):
            yield _draw_arrival(stream, at_s, rng)


def _rate_at(stream: Stream, at_s: float) -> float:
    """Return the request rate at a time, in requests per second."""
    base_per_s, changed_per_s = (
        stream.requests_per_s,
        stream.requests_per_s * stream.factor,
    )
    elapsed_s = at_s - stream.start_s
    if stream.shape == Shape.BURST:
        return (
            changed_per_s if 0 <= elapsed_s < stream.length_s else base_per_s
        )
    if stream.shape == Shape.SHIFT:
        # A factor below one lowers the rate, which stays changed afterwards.
        progress = min(max(elapsed_s / stream.length_s, 0.0), 1.0)
        return base_per_s * stream.factor**progress
    if stream.shape == Shape.DIURNAL:
        wave = math.sin(2 * math.pi * elapsed_s / stream.length_s)
        return base_per_s + (changed_per_s - base_per_s) * (wave + 1) / 2
    return base_per_s


def _draw_arrival(stream: Stream, at_s: float, rng: random.Random) -> Arrival:
    return Arrival(
        at_s=at_s,
        model=stream.model,
        prompt_tokens=_draw_tokens(
            stream.prompt_tokens, stream.size_sigma, rng
        ),
        answer_tokens=_draw_tokens(
            stream.answer_tokens, stream.size_sigma, rng
        ),
        prefix=rng.randrange(stream.prefixes),
    )


def _draw_tokens(median: int, sigma: float, rng: random.Random) -> int:
    """Draw a log-normal number of tokens, at least 1."""
    return max(int(median * rng.lognormvariate(0.0, sigma)), 1)
