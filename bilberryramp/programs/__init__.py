"""Entry points of the programs, as listed in ``pyproject.toml``.

Importing this package is the first thing that a program does, before the
slower imports of its own module. Until a service installs its own handlers, a
stop signal ends it with exit code 0, since it has accepted no work.
"""

import pathlib
import signal
import sys

__all__ = [
    "control",
    "ctl",
    "entry",
    "launch",
    "load",
    "standin",
    "upstream",
]

_SERVICES = ("agent", "control", "entry", "node", "standin", "upstream")
_SERVICE_NAMES = frozenset(
    name
    for service in _SERVICES
    for name in (f"{__name__}.{service}", f"bilberry-{service}")
)
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _is_service(arguments: list[str]) -> bool:
    """Return whether Python was started to run a long-running program."""
    return any(
        pathlib.PurePath(argument).name in _SERVICE_NAMES
        for argument in arguments[1:]
    )


def _exit_before_start(_signum, _frame) -> None:
    sys.exit(0)


if _is_service(sys.orig_argv):
    for _signum in _STOP_SIGNALS:
        signal.signal(_signum, _exit_before_start)
