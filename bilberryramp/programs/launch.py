"""Start, signal handling and exit codes of the long-running programs."""

import asyncio
import pathlib
import resource
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
from bilberryramp.decisions.shared import (
    charting,
    client_memory,
    client_review,
    errors,
    shutdown,
)
from bilberryramp.settings import reader, schema
from bilberryramp.tasks import (
    client_connections,
    client_guard,
    client_holdings,
    client_requests,
    connection_drain,
    process_memory,
)
from bilberryramp.telemetry import events, metrics, tracing

__all__ = [
    "EXIT_BAD_SETTINGS",
    "EXIT_CANNOT_LISTEN",
    "EXIT_DATA_FOLDER",
    "EXIT_DEFECT",
    "SETTINGS_FLAG",
    "bind_chart",
    "drain",
    "guard",
    "listen",
    "make_listener",
    "new_stop",
    "on_stop_signal",
    "open_listener",
    "run_app",
    "start_telemetry",
    "write_yaml",
]

# Time for which closing sockets may still send their queued frames.
LINGER_MS = 1000
# Part of the time for a planned stop that is reserved for the last answers.
ANSWER_MS = 500
# Bytes of a body after twice which no more are read until they are taken, and
# the time for which the rest of a refused one is read.
READ_BUFFER_BYTES = 32 * 1024
DROP_BODY_S = 2.0
# A head is refused beyond this multiple of the longest line.
HEAD_MARGIN = 4
BYTES_PER_MB = 1_000_000
EXIT_DEFECT = 1
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
EXIT_DATA_FOLDER = 4

SETTINGS_FLAG = flags.DEFINE_string(
    "settings", None, "Path of the program's settings file, in YAML."
)


def run_app(main: Callable[[], Awaitable[int]]) -> None:
    """Parse the flags, run a program and exit with its exit code.

    Parameters
    ----------
    main
        Coroutine function that runs the program and returns its exit code.
    """

    def run_with_flags(_argv: list[str]) -> None:
        sys.exit(asyncio.run(_run_to_exit_code(main)))

    flags.mark_flag_as_required("settings")
    app.run(run_with_flags)


def bind_chart(name: str, module) -> charting.Chart:
    """Load a state chart and bind it to the functions of a module.

    Parameters
    ----------
    name
        Name of the chart.
    module
        Module with the tables `guards` and `actions`.

    Returns
    -------
    Chart
        The checked chart, bound to the functions.
    """
    return charting.bind(loader.load(name), module.guards, module.actions)


def start_telemetry(
    program: str, name: str, cfg: schema.TelemetrySettings
) -> None:
    """Start logging and tracing.

    Parameters
    ----------
    program, name
        Names of the program and of this process, for log lines and spans.
    cfg
        Destinations of log lines and spans.
    """
    events.start_logging(program, name, cfg.log_file)
    tracing.start_tracing(program, cfg.trace_exporter, cfg.trace_file)


def on_stop_signal(callback: Callable[[], None]) -> None:
    """Call a function on SIGTERM or SIGINT.

    Parameters
    ----------
    callback
        Function that starts the planned stop of the process.
    """

    def on_signal() -> None:
        events.emit(events.STOPPING)
        callback()

    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, on_signal)


async def make_listener(
    application: web.Application, name: str, max_header_bytes: int = 8190
) -> client_connections.Listener:
    """Return the listener of an HTTP server, which has no sockets yet.

    Parameters
    ----------
    application
        Application that handles the requests. A middleware is added to it.
    name
        Name of the listener in logs and metrics.
    max_header_bytes
        Maximum length of the request line and of a header field, in bytes.

    Returns
    -------
    Listener
        Listener for `open_listener`.
    """
    application.middlewares.append(_serve_to_end)
    runner = web.AppRunner(application, handler_cancellation=True)
    await runner.setup()
    return client_connections.new_listener(
        name,
        runner.server,
        access_log=None,
        lingering_time=DROP_BODY_S,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=max_header_bytes,
        max_field_size=max_header_bytes,
    )


def guard(
    listener: client_connections.Listener,
    memory_mb: int,
    process_metrics: metrics.Metrics,
    unread_ms: int = 0,
) -> client_guard.Guard:
    """Bound what a process holds for the clients of its only listener.

    The process's own need of memory is measured now.

    Parameters
    ----------
    listener
        Listener without sockets. Modified in place.
    memory_mb
        Memory that the process may take, in MB.
    process_metrics
        Metrics that count the connections that are ended.
    unread_ms
        Time that clients may take to read a part of an answer, in
        milliseconds, if that is longer than the default.

    Returns
    -------
    Guard
        State of the task that has to run.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = sys.maxsize
    budget = client_memory.whole_budget(
        BYTES_PER_MB * memory_mb,
        process_memory.resident_bytes(),
        descriptors,
    )
    defaults = client_review.Limits()
    line_bytes = listener.options["max_line_size"]
    limits = client_review.Limits(
        head_bytes=max(defaults.head_bytes, HEAD_MARGIN * line_bytes),
        unread_ms=max(defaults.unread_ms, unread_ms),
    )
    return client_guard.guard_listener(
        listener, lambda: budget, lambda: limits, process_metrics
    )


async def open_listener(
    listener: client_connections.Listener, host: str, port: int
) -> int:
    """Start to listen.

    Parameters
    ----------
    listener
        Listener from `make_listener`. Modified in place.
    host, port
        Address to listen at; port 0 selects a free port.

    Returns
    -------
    int
        Port in use.

    Raises
    ------
    OSError
        When the server cannot listen at the address.
    """
    listener.server = await asyncio.get_running_loop().create_server(
        client_connections.protocol_factory(listener), host, port
    )
    if listener.ledger is not None:
        client_guard.bound_buffers(listener.server.sockets)
    return listener.server.sockets[0].getsockname()[1]


async def listen(
    application: web.Application, name: str, host: str, port: int
) -> tuple[client_connections.Listener, int]:
    """Start an HTTP server whose clients are trusted with its memory.

    Parameters
    ----------
    application, name
        As for `make_listener`.
    host, port
        As for `open_listener`.

    Returns
    -------
    tuple of (Listener, int)
        Listener, for `drain`, and the port in use.

    Raises
    ------
    OSError
        When the server cannot listen at the address.
    """
    listener = await make_listener(application, name)
    return listener, await open_listener(listener, host, port)


@web.middleware
async def _serve_to_end(request: web.Request, handler) -> web.StreamResponse:
    request[client_requests.ARRIVED_MS] = client_holdings.begin_request(
        request.protocol
    )
    return await client_requests.serve(request, handler)


def new_stop(
    is_idle: Callable[[], bool], notice_ms: int, grace_ms: int
) -> shutdown.Shutdown:
    """Return the planned stop of a process that has an HTTP server.

    Parameters
    ----------
    is_idle, notice_ms, grace_ms
        As in `shutdown.Shutdown`.

    Returns
    -------
    Shutdown
        Stop that was not requested yet.
    """
    chart = bind_chart("shutdown", shutdown)
    return shutdown.Shutdown(chart, is_idle, notice_ms, grace_ms)


async def drain(
    stop: shutdown.Shutdown,
    listener: client_connections.Listener,
    process_metrics: metrics.Metrics,
    end_work: Callable[[], None] = lambda: None,
) -> None:
    """Request a planned stop, and wait until it is complete.

    Parameters
    ----------
    stop
        Stop of the process. Modified in place.
    listener
        Listener from `listen`.
    process_metrics
        Metrics that count the connections that end.
    end_work
        Called if work is left when only `ANSWER_MS` are left. It ends the
        work, so that the answers to it are written.
    """

    def on_time_over() -> None:
        if not stop.is_idle():
            events.emit(events.GRACE_OVER, grace_ms=stop.grace_ms)
            end_work()

    loop = asyncio.get_running_loop()
    work_s = max(stop.grace_ms - ANSWER_MS, 0) / 1000
    timer = loop.call_later(work_s, on_time_over)
    await connection_drain.run(
        connection_drain.Drain(
            stop, [listener], ANSWER_MS, lambda: None, process_metrics
        )
    )
    timer.cancel()


async def _run_to_exit_code(main: Callable[[], Awaitable[int]]) -> int:
    try:
        code = await main()
        # Otherwise the exit of the process would drop frames still queued.
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
    """Write a settings file, for tools that start several programs.

    Parameters
    ----------
    path
        Path of the file.
    settings
        Instance of a class of `schema`.
    """
    fields = msgspec.to_builtins(settings)
    path.write_text(yaml.safe_dump(fields, sort_keys=False), encoding="utf-8")
