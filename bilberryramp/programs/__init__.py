"""Entry points of the programs, as listed in ``pyproject.toml``.

Importing this package is the first thing that a program does, before the
slower imports of its own module. Until a service installs its own handlers, a
stop signal ends it with exit code 0, since it has accepted no work, and one
that reloads its settings on SIGHUP ignores this signal.
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
_RELOADING_SERVICES = ("agent", "node")
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _was_started(services: tuple[str, ...]) -> bool:
    """Return whether Python was started to run one of the programs."""
    names = {
        name
        for service in services
        for name in (f"{__name__}.{service}", f"bilberry-{service}")
    }
    return any(
        pathlib.PurePath(argument).name in names
        for argument in sys.orig_argv[1:]
    )


def _exit_before_start(_signum, _frame) -> None:
    sys.exit(0)


if _was_started(_SERVICES):
    for _signum in _STOP_SIGNALS:
        signal.signal(_signum, _exit_before_start)
if _was_started(_RELOADING_SERVICES):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
