"""Start, signal and stop the soak's programs by their process ids."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import shutil
import signal
import sys

__all__ = [
    "Program",
    "block_writes",
    "kill",
    "signal_program",
    "start",
    "stop",
    "wipe_data",
]


@dataclasses.dataclass(slots=True)
class Program:
    """A program that can be restarted with the same settings.

    Attributes
    ----------
    name
        Name in observations.
    module
        Python module that is run as the program.
    args
        Command-line arguments.
    variable, settings
        Name of the environment variable with the path of the settings file,
        and that path.
    folder
        Data folder; None for a program without a disk.
    log
        File that standard output and standard error are appended to.
    proc
        Latest process; None before the first start.
    is_first_start
        Whether the next start is the first one.
    start_lock
        Lock held during a start, because overlapping faults may request two
        starts of one program.
    """

    name: str
    module: str
    args: tuple[str, ...]
    variable: str
    settings: pathlib.Path
    folder: pathlib.Path | None
    log: pathlib.Path
    proc: asyncio.subprocess.Process | None = None
    is_first_start: bool = True
    start_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


async def start(program: Program) -> None:
    """Start the program if it is not running.

    Before a second or later start, `bootstrap` is set to false in the
    settings file, because the fleet exists already.

    Parameters
    ----------
    program
        Program to start. Modified in place.
    """
    async with program.start_lock:
        if program.proc is None or program.proc.returncode is not None:
            await _start(program)


async def _start(program: Program) -> None:
    if not program.is_first_start:
        text = program.settings.read_text()
        program.settings.write_text(
            text.replace("bootstrap = true", "bootstrap = false")
        )
    program.is_first_start = False
    with program.log.open("ab") as log:
        program.proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            program.module,
            *program.args,
            env={**os.environ, program.variable: str(program.settings)},
            stdout=log,
            stderr=log,
        )


def signal_program(program: Program, number: signal.Signals) -> None:
    """Send a signal to the program if it is running.

    Parameters
    ----------
    program
        Program to signal.
    number
        Signal to send.
    """
    if program.proc is not None and program.proc.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            program.proc.send_signal(number)


async def kill(program: Program) -> None:
    """Kill the program and wait until it has exited.

    Parameters
    ----------
    program
        Program to kill; it may have exited already.
    """
    signal_program(program, signal.SIGKILL)
    if program.proc is not None:
        await program.proc.wait()


async def stop(program: Program) -> int:
    """Send SIGTERM to the program and wait until it has exited.

    Parameters
    ----------
    program
        Running program.

    Returns
    -------
    int
        Exit code.
    """
    signal_program(program, signal.SIGTERM)
    return await program.proc.wait()


def wipe_data(program: Program) -> None:
    """Empty the data folder of a stopped program.

    Parameters
    ----------
    program
        Stopped program with a data folder.
    """
    shutil.rmtree(program.folder, ignore_errors=True)
    program.folder.mkdir(parents=True)


def block_writes(program: Program, is_blocked: bool) -> None:
    """Make writes to the data folder fail, or let them succeed again.

    While writes are blocked, the folder has another name and an empty file
    takes its place.

    Parameters
    ----------
    program
        Program with a data folder.
    is_blocked
        Whether writes must fail.
    """
    moved_folder = program.folder.with_name(f"{program.folder.name}-away")
    if is_blocked and not moved_folder.exists():
        program.folder.rename(moved_folder)
        program.folder.touch()
    elif not is_blocked and moved_folder.exists():
        program.folder.unlink()
        moved_folder.rename(program.folder)
