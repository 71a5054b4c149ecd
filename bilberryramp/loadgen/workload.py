"""Workloads: who asks for what, when, and how long it may take."""

import dataclasses
import enum
import heapq
import math
import random
from collections.abc import Iterator

__all__ = ["Arrival", "Shape", "Stream", "Workload", "arrivals"]

HOUR_S = 3600.0


class Shape(enum.StrEnum):
    """How a stream's rate changes over time."""

    STEADY = "steady"
    BURST = "burst"
    SHIFT = "shift"
    DIURNAL = "diurnal"


@dataclasses.dataclass(slots=True, frozen=True)
class Stream:
    """Requests for one model, arriving at random.

    Attributes
    ----------
    model
        The model asked for.
    requests_per_s
        Rate outside peaks.
    shape, factor
        How the rate changes, and by how much at the peak.
    start_s, length_s
        When the peak begins and how long it lasts; with `DIURNAL` the
        length is the period.
    prompt_tokens, answer_tokens
        Medians; sizes are log-normal.
    size_sigma
        Spread of both sizes.
    prefixes
        How many different beginnings the prompts have.
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
    """Streams that run together.

    Attributes
    ----------
    duration_s
        Length of the run.
    first_token_ms, between_tokens_ms
        Targets that a request must meet to count as attained.
    """

    name: str
    streams: tuple[Stream, ...]
    duration_s: float = 600.0
    first_token_ms: float = 430.0
    between_tokens_ms: float = 79.0


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a workload; `at_s` is its intended start."""

    at_s: float
    model: str
    prompt_tokens: int
    answer_tokens: int
    prefix: int


def arrivals(load: Workload, seed: int) -> Iterator[Arrival]:
    """Generate a workload's requests.

    Parameters
    ----------
    load
        The workload.
    seed
        The same seed gives the same requests.

    Yields
    ------
    Arrival
        In order of their start.
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
        if rng.random() * peak_per_s <= _rate_at(stream, at_s):
            yield _draw_arrival(stream, at_s, rng)


def _rate_at(stream: Stream, at_s: float) -> float:
    base_per_s, raised_per_s = (
        stream.requests_per_s,
        stream.requests_per_s * stream.factor,
    )
    elapsed_s = at_s - stream.start_s
    if stream.shape == Shape.BURST:
        return raised_per_s if 0 <= elapsed_s < stream.length_s else base_per_s
    if stream.shape == Shape.SHIFT:
        # Rises, or with a factor below one falls, and stays there.
        progress = min(max(elapsed_s / stream.length_s, 0.0), 1.0)
        return base_per_s * stream.factor**progress
    if stream.shape == Shape.DIURNAL:
        wave = math.sin(2 * math.pi * elapsed_s / stream.length_s)
        return base_per_s + (raised_per_s - base_per_s) * (wave + 1) / 2
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
    return max(int(median * rng.lognormvariate(0.0, sigma)), 1)
