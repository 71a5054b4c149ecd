"""Latency histograms, counters and gauges in Prometheus text format."""

import dataclasses
from collections.abc import Iterator

from hdrh import histogram

__all__ = ["Metrics", "increment", "record_duration", "render", "set_gauge"]

# Durations are recorded in microseconds, from 1 us to 1 hour.
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True)
class Metrics:
    """Metrics of one process.

    Names of counters and gauges may include labels in braces.

    Attributes
    ----------
    histograms
        Distributions of durations in microseconds, by name.
    counters
        Totals that only increase, by name.
    gauges
        Values that may rise and fall, by name.
    """

    histograms: dict[str, histogram.HdrHistogram] = dataclasses.field(
        default_factory=dict
    )
    counters: dict[str, int] = dataclasses.field(default_factory=dict)
    gauges: dict[str, int] = dataclasses.field(default_factory=dict)


def record_duration(metrics: Metrics, name: str, seconds: float) -> None:
    """Record a duration in a histogram, creating it if it does not exist.

    Parameters
    ----------
    metrics
        Metrics of the process; modified in place.
    name
        Name of the histogram, without a unit; ``_seconds`` is appended when
        it is rendered.
    seconds
        Duration in seconds. Less than a microsecond counts as one.
    """
    hist = metrics.histograms.get(name)
    if hist is None:
        hist = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        metrics.histograms[name] = hist
    hist.record_value(max(int(seconds * 1e6), _LOWEST_US))


def increment(metrics: Metrics, name: str, amount: int = 1) -> None:
    """Add to a counter, creating it if it does not exist.

    Parameters
    ----------
    metrics
        Metrics of the process; modified in place.
    name
        Name of the counter, with its labels.
    amount
        Amount to add; not negative.
    """
    metrics.counters[name] = metrics.counters.get(name, 0) + amount


def set_gauge(metrics: Metrics, name: str, value: int) -> None:
    """Set a gauge, creating it if it does not exist.

    Parameters
    ----------
    metrics
        Metrics of the process; modified in place.
    name
        Name of the gauge, with its labels.
    value
        New value.
    """
    metrics.gauges[name] = value


def render(metrics: Metrics) -> str:
    """Render all metrics.

    Parameters
    ----------
    metrics
        Metrics of the process.

    Returns
    -------
    str
        Prometheus text format: counters and gauges, then the quantiles of
        each histogram in seconds and its number of observations.
    """
    return "".join(_lines(metrics))


def _lines(metrics: Metrics) -> Iterator[str]:
    numbers = metrics.counters | metrics.gauges
    for name, value in sorted(numbers.items()):
        yield f"{name} {value}\n"
    for name, hist in sorted(metrics.histograms.items()):
        for percentile in _PERCENTILES:
            seconds = hist.get_value_at_percentile(percentile) / 1e6
            label = f'{{quantile="{percentile / 100:g}"}}'
            yield f"{name}_seconds{label} {seconds:.6f}\n"
        yield f"{name}_seconds_count {hist.get_total_count()}\n"
