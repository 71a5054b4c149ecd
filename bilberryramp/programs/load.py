"""`bilberry-load`: generates open-loop load over HTTP or in virtual time.

Exit codes: 0 success; 2 invalid workload, report or command line.
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

_WORKLOAD = flags.DEFINE_string(
    "workload", "", "Path of the workload file, in YAML."
)
_URL = flags.DEFINE_string(
    "url", "http://127.0.0.1:8700", "URL of an entry, for HTTP runs."
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of the random requests. Default: 1."
)
_NAME = flags.DEFINE_string(
    "name", "", "Name of the run in reports. Default: the workload's name."
)
_REPORT = flags.DEFINE_string(
    "report", "", "Path of the report to write. Default: none."
)
_PLOT = flags.DEFINE_string(
    "plot", "", "Path of the PNG file to write. Default: none."
)
_TABLES = flags.DEFINE_string(
    "tables",
    "examples/guild",
    "Folder with routes.yaml and pools.yaml, for virtual runs.",
)
_DEPLOYMENT = flags.DEFINE_enum(
    "deployment",
    "guild",
    scenarios.DEPLOYMENTS,
    "Deployment to simulate in virtual runs. Default: guild.",
)
_POLICY = flags.DEFINE_enum(
    "policy",
    "affinity",
    sorted(routing.POLICIES),
    "Routing policy of virtual runs. Default: affinity.",
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
    spec = reader.read_or_raise(_WORKLOAD.value, workload.Workload)
    tally = asyncio.run(
        http_run.run(_URL.value, spec, _SEED.value, _print_progress)
    )
    _output_report(report.summarize(_NAME.value or spec.name, tally))


def _virtual(_args: list[str]) -> None:
    spec = reader.read_or_raise(_WORKLOAD.value, workload.Workload)
    folder = pathlib.Path(_TABLES.value)
    deployment = scenarios.read_deployment(_DEPLOYMENT.value, folder)
    policy = virtual.PolicySettings(_POLICY.value)
    virtual_run = virtual.new_run(deployment, policy, spec, _SEED.value)
    tally = virtual.run(virtual_run, spec, _SEED.value)
    print(f"{tally.moves} moves")
    _output_report(report.summarize(_NAME.value or spec.name, tally))


def _compare(args: list[str]) -> None:
    reports = [report.read(pathlib.Path(path)) for path in args]
    print(report.compare(reports), end="")
    if _PLOT.value:
        report.plot(reports, pathlib.Path(_PLOT.value))


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr)


def _output_report(result: report.Report) -> None:
    print(report.compare([result]), end="")
    if _REPORT.value:
        report.write(result, pathlib.Path(_REPORT.value))
    if _PLOT.value:
        report.plot([result], pathlib.Path(_PLOT.value))


_COMMANDS = {"http": _http, "virtual": _virtual, "compare": _compare}
