"""`bilberry-load`: open-loop load over HTTP or in virtual time.

Exit codes: 0 done; 2 bad workload, report or command line.
"""

import asyncio
import pathlib
import sys

import msgspec
from absl import app, flags

from bilberryramp.decisions.entry import routing
from bilberryramp.loadgen import (
    http_run,
    report,
    scenarios,
    virtual,
    workload,
)
from bilberryramp.settings import reader

__all__ = ["run"]

EXIT_USAGE = 2

_WORKLOAD = flags.DEFINE_string("workload", "", "Workload file in YAML.")
_URL = flags.DEFINE_string("url", "http://127.0.0.1:8700", "An entry.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the requests.")
_NAME = flags.DEFINE_string("name", "", "The run's name in reports.")
_REPORT = flags.DEFINE_string("report", "", "Where to write the report.")
_PLOT = flags.DEFINE_string("plot", "", "Where to write a PNG.")
_TABLES = flags.DEFINE_string(
    "tables", "examples/guild", "Folder of tables, for virtual runs."
)
_DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "guild", scenarios.DEPLOYMENTS, "For virtual runs."
)
_POLICY = flags.DEFINE_enum(
    "policy", "affinity", sorted(routing.POLICIES), "For virtual runs."
)

USAGE = "bilberry-load [flags] http|virtual|compare REPORT..."


def run() -> None:
    """Run the program."""
    app.run(_main)


def _main(argv: list[str]) -> None:
    command = _COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(f"usage: {USAGE}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        command(argv[2:])
    except (reader.SettingsError, msgspec.DecodeError, OSError) as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _http(_args: list[str]) -> None:
    load = reader.read_or_raise(_WORKLOAD.value, workload.Workload)
    tally = asyncio.run(http_run.run(_URL.value, load, _SEED.value, _show))
    _finish(report.summarize(_NAME.value or load.name, tally))


def _virtual(_args: list[str]) -> None:
    load = reader.read_or_raise(_WORKLOAD.value, workload.Workload)
    folder = pathlib.Path(_TABLES.value)
    spec = scenarios.read_deployment(_DEPLOYMENT.value, folder)
    policy = virtual.PolicySettings(_POLICY.value)
    made = virtual.new_run(spec, policy, load, _SEED.value)
    tally = virtual.run(made, load, _SEED.value)
    print(f"{tally.moves} moves")
    _finish(report.summarize(_NAME.value or load.name, tally))


def _compare(args: list[str]) -> None:
    reports = [report.read(pathlib.Path(path)) for path in args]
    print(report.compare(reports), end="")
    if _PLOT.value:
        report.plot(reports, pathlib.Path(_PLOT.value))


def _show(line: str) -> None:
    print(line, file=sys.stderr)


def _finish(made: report.Report) -> None:
    print(report.compare([made]), end="")
    if _REPORT.value:
        report.write(made, pathlib.Path(_REPORT.value))
    if _PLOT.value:
        report.plot([made], pathlib.Path(_PLOT.value))


_COMMANDS = {"http": _http, "virtual": _virtual, "compare": _compare}
