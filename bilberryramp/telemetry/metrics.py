"""Latency histograms, counters and gauges, shown as Prometheus text."""

import dataclasses
from collections.abc import Iterator

from hdrh import histogram

__all__ = ["Metrics", "increment", "record_duration", "render", "set_gauge"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True)
class Metrics:
    """One process's metrics; a name may carry labels in braces."""

    histograms: dict[str, histogram.HdrHistogram] = dataclasses.field(
        default_factory=dict
    )
    counters: dict[str, int] = dataclasses.field(default_factory=dict)
    gauges: dict[str, int] = dataclasses.field(default_factory=dict)


def record_duration(metrics: Metrics, name: str, seconds: float) -> None:
    """Record a duration.

    Parameters
    ----------
    metrics
        Changed in place.
    name
        The histogram's name, without a unit.
    seconds
        The duration.
    """
    hist = metrics.histograms.get(name)
    if hist is None:
        hist = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        metrics.histograms[name] = hist
    hist.record_value(max(int(seconds * 1e6), _LOWEST_US))


def increment(metrics: Metrics, name: str, amount: int = 1) -> None:
    """Add to a counter.

    Parameters
    ----------
    metrics
        Changed in place.
    name
        The counter's name.
    by
        How much to add.
    """
    metrics.counters[name] = metrics.counters.get(name, 0) + amount


def set_gauge(metrics: Metrics, name: str, value: int) -> None:
    """Set a gauge.

    Parameters
    ----------
    metrics
        Changed in place.
    name, value
        The gauge's name and what it shows from now on.
    """
    metrics.gauges[name] = value


def render(metrics: Metrics) -> str:
    """Render all metrics.

    Parameters
    ----------
    metrics
        The metrics.

    Returns
    -------
    str
        Prometheus text format; durations in seconds.
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
