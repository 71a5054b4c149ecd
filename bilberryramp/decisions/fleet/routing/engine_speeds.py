"""Reading speed of each engine, learnt from the times to first tokens.

Load pattern: some engines of a service run at half the speed of the others,
and engines of any speed turn slow for single moments. With one speed for all
engines of a model, a slow engine gets as much work as the others, and short
urgent prompts queue there behind long ones.

Each measured call gives a sample for its engine, which all gateways share in
their load reports. The median of an engine's recent samples ignores moments
of slowness. A new process of the engine starts without samples, and an engine
that has few samples, or none for a while, is assumed to run at the typical
speed of the fleet. So is an engine whose median is near that speed, so that
noise doesn't tell apart engines that are alike.
"""

import collections
import dataclasses
import statistics

from bilberryramp.decisions.fleet.core import keys, presence, sharing

__all__ = [
    "DEFAULT_MS_PER_TOKEN",
    "Speeds",
    "ms_per_token",
    "measure_first_token",
    "record_sample",
    "typical_ms_per_token",
]

# Time to read a prompt token before any measurement, and bounds of samples.
DEFAULT_MS_PER_TOKEN = 1 / 38.7
MIN_MS_PER_TOKEN = DEFAULT_MS_PER_TOKEN / 4
MAX_MS_PER_TOKEN = DEFAULT_MS_PER_TOKEN * 4
# Minimum work of a call from which the time per token can be measured.
MIN_SAMPLE_TOKENS = 1500
# Samples kept of each engine, and the time after which they are forgotten.
MAX_SAMPLES = 15
SAMPLE_TTL_MS = 20_000
# Samples without which an engine's speed is unknown, and number of samples
# that the typical speed counts as.
MIN_SAMPLES = 3
PRIOR_SAMPLES = 2
# Interval at which the typical speed is computed anew.
TYPICAL_INTERVAL_MS = 250
# Ratio to the typical speed up to which an engine is like the others.
ALIKE_RATIO = 1.25


@dataclasses.dataclass(slots=True)
class EngineSamples:
    """Recent samples of one process of an engine.

    Attributes
    ----------
    born_ms
        Start of the process, as in `presence.Announcement`.
    samples
        Time of recording in milliseconds, and milliseconds per token of work,
        oldest first.
    median
        Median of the milliseconds per token; 0 without samples.
    """

    born_ms: int
    samples: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    median: float = 0.0


@dataclasses.dataclass(slots=True)
class Speeds:
    """What a gateway knows of the engines' reading speeds.

    Attributes
    ----------
    engines
        Recent samples of each engine, by `keys.short_key` of its id.
    typical
        Milliseconds per token of work of the median engine.
    computed_ms
        When `typical` was computed.
    """

    engines: dict[int, EngineSamples] = dataclasses.field(default_factory=dict)
    typical: float = DEFAULT_MS_PER_TOKEN
    computed_ms: int = 0


def measure_first_token(
    announcement: presence.Announcement,
    work_tokens: int,
    took_ms: int,
) -> sharing.SpeedSample | None:
    """Return the sample of an engine's speed that a call gives.

    Parameters
    ----------
    announcement
        Announcement of the engine when the call was sent.
    work_tokens
        Work of the call, as returned by `scheduling.first_token_work_tokens`.
    took_ms
        Time from the send to the first token in milliseconds.

    Returns
    -------
    SpeedSample or None
        None if the work is too small to measure the speed.
    """
    if work_tokens < MIN_SAMPLE_TOKENS:
        return None
    value = min(max(took_ms / work_tokens, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN)
    return sharing.SpeedSample(
        keys.short_key(announcement.upstream_id),
        announcement.born_ms,
        round(1e6 * value),
    )


def record_sample(
    speeds: Speeds, sample: sharing.SpeedSample, now_ms: int
) -> None:
    """Update an engine's speed from a sample of any gateway.

    Parameters
    ----------
    speeds
        Known speeds. Modified in place.
    sample
        The sample. One of an older process than the known one is ignored.
    now_ms
        Current time in milliseconds.
    """
    engine = speeds.engines.get(sample.upstream_key)
    if engine is None or engine.born_ms < sample.born_ms:
        engine = EngineSamples(sample.born_ms)
        speeds.engines[sample.upstream_key] = engine
    elif engine.born_ms > sample.born_ms:
        return
    engine.samples.append((now_ms, sample.ns_per_token / 1e6))
    while engine.samples[0][0] <= now_ms - SAMPLE_TTL_MS:
        engine.samples.popleft()
    engine.median = statistics.median(value for _, value in engine.samples)


def typical_ms_per_token(speeds: Speeds, now_ms: int) -> float:
    """Return the time per token of work of the median engine.

    Parameters
    ----------
    speeds
        Known speeds. Modified in place.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Milliseconds per token; the default before enough samples.
    """
    if now_ms - speeds.computed_ms >= TYPICAL_INTERVAL_MS:
        speeds.computed_ms = now_ms
        speeds.typical = statistics.median(
            [
                engine.median
                for engine in speeds.engines.values()
                if _is_known(engine, now_ms)
            ]
            or [DEFAULT_MS_PER_TOKEN]
        )
    return speeds.typical


def ms_per_token(
    speeds: Speeds, announcement: presence.Announcement, now_ms: int
) -> float:
    """Return the time per token of work of an engine.

    Parameters
    ----------
    speeds
        Known speeds. Modified in place.
    announcement
        The engine's last announcement.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Milliseconds per token. The typical time unless recent samples of the
        engine's present process differ from it.
    """
    typical = typical_ms_per_token(speeds, now_ms)
    engine = speeds.engines.get(keys.short_key(announcement.upstream_id))
    if (
        engine is None
        or engine.born_ms != announcement.born_ms
        or not _is_known(engine, now_ms)
    ):
        return typical
    count = len(engine.samples)
    value = (PRIOR_SAMPLES * typical + count * engine.median) / (
        PRIOR_SAMPLES + count
    )
    is_alike = typical / ALIKE_RATIO <= value <= typical * ALIKE_RATIO
    return typical if is_alike else value


def _is_known(engine: EngineSamples, now_ms: int) -> bool:
    """Return whether an engine has enough samples of the last time."""
    return (
        len(engine.samples) >= MIN_SAMPLES
        and engine.samples[-1][0] > now_ms - SAMPLE_TTL_MS
    )
