"""Write, read and compare reports of load runs."""

import dataclasses
import pathlib
from collections.abc import Sequence

import msgspec
from matplotlib import figure

from bilberryramp.loadgen import outcomes

__all__ = ["Report", "compare", "summarize", "plot", "read", "write"]

PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Summary of one run.

    Attributes
    ----------
    name
        Name of the run in comparisons.
    offered, attained, refused, failed
        Numbers of requests, as in `outcomes.Outcomes`.
    first_token_ms
        Percentiles of the time to the first token, in milliseconds, in the
        order of `PERCENTILES`.
    between_tokens_ms
        Percentiles of the mean time between tokens, in milliseconds, in the
        order of `PERCENTILES`.
    """

    name: str
    offered: int
    attained: int
    refused: int
    failed: int
    first_token_ms: tuple[float, ...]
    between_tokens_ms: tuple[float, ...]


def summarize(name: str, tally: outcomes.Outcomes) -> Report:
    """Summarize the outcomes of a run.

    Parameters
    ----------
    name
        Name of the run in comparisons.
    tally
        Counts and latencies of the run.

    Returns
    -------
    Report
        Counts of the run and percentiles of its latencies.
    """
    return Report(
        name,
        tally.offered,
        tally.attained,
        tally.refused,
        tally.failed,
        _percentiles_ms(tally.first_token),
        _percentiles_ms(tally.between_tokens),
    )


def write(report: Report, path: pathlib.Path) -> None:
    """Write a report to a JSON file.

    Parameters
    ----------
    report
        The report.
    path
        The file, which is replaced if it exists.
    """
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


def read(path: pathlib.Path) -> Report:
    """Read a report from a JSON file.

    Parameters
    ----------
    path
        A file written by `write`.

    Returns
    -------
    Report
        The report in the file.

    Raises
    ------
    msgspec.DecodeError
        If the file is not valid JSON or not a report.
    """
    return msgspec.json.decode(path.read_bytes(), type=Report)


def compare(reports: Sequence[Report]) -> str:
    """Format reports as a table with one row per run.

    Parameters
    ----------
    reports
        The reports, in the order of the rows.

    Returns
    -------
    str
        A Markdown table, with the 95th percentiles of the latencies in
        milliseconds.
    """
    p95_index = PERCENTILES.index(95.0)
    rows = (
        f"| {r.name} | {r.offered} | {r.attained / max(r.offered, 1):.1%} | "
        f"{r.refused} | {r.failed} | {r.first_token_ms[p95_index]:.1f} | "
        f"{r.between_tokens_ms[p95_index]:.2f} |"
        for r in reports
    )
    header = (
        "| run | offered | attained | refused | failed | p95 first token ms "
        "| p95 between tokens ms |\n" + "| --- " * 7 + "|\n"
    )
    return header + "\n".join(rows) + "\n"


def plot(reports: Sequence[Report], path: pathlib.Path) -> None:
    """Plot the percentiles of both latencies for one or more runs.

    Parameters
    ----------
    reports
        The reports; each is a line in both plots.
    path
        The PNG file, which is replaced if it exists.
    """
    fig = figure.Figure(figsize=(10, 4), layout="constrained")
    axes = fig.subplots(1, 2)
    fields = ("first_token_ms", "between_tokens_ms")
    titles = ("first token", "between tokens")
    for ax, field, title in zip(axes, fields, titles, strict=True):
        for report in reports:
            values = getattr(report, field)
            positions = range(len(PERCENTILES))
            ax.plot(positions, values, marker="o", label=report.name)
        ax.set_xticks(range(len(PERCENTILES)))
        ax.set_xticklabels([f"{p:g}" for p in PERCENTILES])
        ax.set_title(title)
        ax.set_xlabel("percentile")
        ax.set_ylabel("ms")
        ax.set_yscale("log")
        ax.legend()
    fig.savefig(path)


def _percentiles_ms(latencies) -> tuple[float, ...]:
    return tuple(
        latencies.get_value_at_percentile(p) / 1e3 for p in PERCENTILES
    )
