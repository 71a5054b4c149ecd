"""Reports of runs: JSON to keep, a table and a plot to compare."""

import dataclasses
import pathlib
from collections.abc import Sequence

import msgspec
from matplotlib import figure

from bilberryramp.loadgen import outcomes

__all__ = ["Report", "compare", "make", "plot", "read", "write"]

PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Summary of one run.

    Attributes
    ----------
    first_token_ms, between_tokens_ms
        Values at `PERCENTILES`.
    """

    name: str
    offered: int
    attained: int
    refused: int
    failed: int
    first_token_ms: tuple[float, ...]
    between_tokens_ms: tuple[float, ...]


def make(name: str, tally: outcomes.Outcomes) -> Report:
    """Summarise a run.

    Parameters
    ----------
    name
        Shown in comparisons.
    tally
        What became of its requests.

    Returns
    -------
    Report
        For `write`.
    """
    return Report(
        name,
        tally.offered,
        tally.attained,
        tally.refused,
        tally.failed,
        _at_percentiles(tally.first_token),
        _at_percentiles(tally.between_tokens),
    )


def write(report: Report, path: pathlib.Path) -> None:
    """Write a report as JSON.

    Parameters
    ----------
    report
        The report.
    path
        The file.
    """
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


def read(path: pathlib.Path) -> Report:
    """Read a report.

    Parameters
    ----------
    path
        A file made by `write`.

    Returns
    -------
    Report
        As written.

    Raises
    ------
    msgspec.DecodeError
        When the file is not a report.
    """
    return msgspec.json.decode(path.read_bytes(), type=Report)


def compare(reports: Sequence[Report]) -> str:
    """Show runs side by side.

    Parameters
    ----------
    reports
        At least one.

    Returns
    -------
    str
        A Markdown table; latencies at the 95th percentile in ms.
    """
    at = PERCENTILES.index(95.0)
    rows = (
        f"| {r.name} | {r.offered} | {r.attained / max(r.offered, 1):.1%} | "
        f"{r.refused} | {r.failed} | {r.first_token_ms[at]:.1f} | "
        f"{r.between_tokens_ms[at]:.2f} |"
        for r in reports
    )
    head = (
        "| run | offered | attained | refused | failed | p95 first token ms "
        "| p95 between tokens ms |\n" + "| --- " * 7 + "|\n"
    )
    return head + "\n".join(rows) + "\n"


def plot(reports: Sequence[Report], path: pathlib.Path) -> None:
    """Plot both latencies of runs by percentile.

    Parameters
    ----------
    reports
        At least one.
    path
        A PNG file.
    """
    drawn = figure.Figure(figsize=(10, 4), layout="constrained")
    panels = drawn.subplots(1, 2)
    names = ("first_token_ms", "between_tokens_ms")
    titles = ("first token", "between tokens")
    for panel, name, title in zip(panels, names, titles, strict=True):
        for report in reports:
            values = getattr(report, name)
            places = range(len(PERCENTILES))
            panel.plot(places, values, marker="o", label=report.name)
        panel.set_xticks(range(len(PERCENTILES)))
        panel.set_xticklabels([f"{p:g}" for p in PERCENTILES])
        panel.set_title(title)
        panel.set_xlabel("percentile")
        panel.set_ylabel("ms")
        panel.set_yscale("log")
        panel.legend()
    drawn.savefig(path)


def _at_percentiles(latencies) -> tuple[float, ...]:
    return tuple(
        latencies.get_value_at_percentile(p) / 1e3 for p in PERCENTILES
    )
