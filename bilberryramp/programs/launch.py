"""What all long-running programs share: start, signals, exit codes."""

import asyncio
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable

import msgspec
import yaml
import zmq
import zmq.asyncio
from absl import app, flags
from aiohttp import web

from bilberryramp.charts import loader
from bilberryramp.decisions.shared import charting, errors
from bilberryramp.settings import reader, schema
from bilberryramp.telemetry import events, tracing

__all__ = [
    "EXIT_BAD_SETTINGS",
    "EXIT_CANNOT_LISTEN",
    "EXIT_DATA_FOLDER",
    "EXIT_DEFECT",
    "SETTINGS_FLAG",
    "bind_chart",
    "listen",
    "on_stop_signal",
    "run_app",
    "start_telemetry",
    "write_yaml",
]

LINGER_MS = 1000
EXIT_DEFECT = 1
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
EXIT_DATA_FOLDER = 4

SETTINGS_FLAG = flags.DEFINE_string(
    "settings", None, "The program's settings file in YAML."
)


def run_app(main: Callable[[], Awaitable[int]]) -> None:
    """Parse flags, run a program to its end and exit with its code.

    Parameters
    ----------
    main
        Coroutine function that returns the exit code.
    """

    def run_with_flags(_argv: list[str]) -> None:
        sys.exit(asyncio.run(_run_to_exit_code(main)))

    flags.mark_flag_as_required("settings")
    app.run(run_with_flags)


def bind_chart(name: str, module) -> charting.Chart:
    """Bind one of the package's charts to a role's functions.

    Parameters
    ----------
    name
        The chart's name.
    module
        The role's module, with `guards` and `actions`.

    Returns
    -------
    Chart
        Checked and bound.
    """
    return charting.bind(loader.load(name), module.guards, module.actions)


def start_telemetry(
    program: str, name: str, cfg: schema.TelemetrySettings
) -> None:
    """Start logs and traces.

    Parameters
    ----------
    program, name
        Shown on every line and span.
    cfg
        Where they go.
    """
    events.start_logging(program, name, cfg.log_file)
    tracing.start_tracing(program, cfg.trace_exporter, cfg.trace_file)


def on_stop_signal(callback: Callable[[], None]) -> None:
    """Call a function on SIGTERM or SIGINT.

    Parameters
    ----------
    callback
        Begins the planned stop.
    """

    def begin() -> None:
        events.emit(events.STOPPING)
        callback()

    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, begin)


async def listen(
    application: web.Application,
    host: str,
    port: int,
    max_header_bytes: int = 8190,
) -> tuple[web.AppRunner, int]:
    """Listen for HTTP.

    Parameters
    ----------
    app_
        The application.
    host, port
        Where; port 0 takes a free one.
    max_header_bytes
        Longer header fields are refused.

    Returns
    -------
    tuple of (AppRunner, int)
        To be cleaned up at the end, and the port.

    Raises
    ------
    OSError
        When the address cannot be used.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        max_line_size=max_header_bytes,
        max_field_size=max_header_bytes,
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    return runner, runner.addresses[0][1]


async def _run_to_exit_code(main: Callable[[], Awaitable[int]]) -> int:
    try:
        code = await main()
        # Without this, frames not yet on the wire are lost with the process.
        ctx = zmq.asyncio.Context.instance()
        await asyncio.to_thread(ctx.destroy, LINGER_MS)
        return code
    except reader.SettingsError as exc:
        return _print_error(exc, EXIT_BAD_SETTINGS)
    except OSError as exc:
        return _print_error(exc, EXIT_CANNOT_LISTEN)
    except errors.BilberryError as exc:
        return _print_error(exc, EXIT_DATA_FOLDER)
    except BaseExceptionGroup as exc:
        events.emit(events.TASK_FAILED, reason=repr(exc.exceptions))
        raise


def _print_error(exc: Exception, code: int) -> int:
    print(f"error: {type(exc).__name__}: {exc}", file=sys.stderr)
    return code


def write_yaml(path: pathlib.Path, settings) -> None:
    """Write settings as YAML, for tools that start several programs.

    Parameters
    ----------
    path
        The file.
    settings
        An instance of a class of `schema`.
    """
    built = msgspec.to_builtins(settings)
    path.write_text(yaml.safe_dump(built, sort_keys=False), encoding="utf-8")
