"""Starts, signals and ends the soak's programs, by their own ids only."""

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
    "stop",
    "kill",
    "block_writes",
    "signal_program",
    "start",
    "wipe_data",
]


@dataclasses.dataclass(slots=True)
class Program:
    """A program that is started again and again with the same settings.

    Attributes
    ----------
    module
        Module of the program.
    variable, settings
        Environment variable that names the settings file, and the file.
    folder
        Its data folder; None without a disk.
    log
        File that gets its standard output.
    starting
        Held during a start, since faults that overlap may ask for two.
    """

    name: str
    module: str
    args: tuple[str, ...]
    variable: str
    settings: pathlib.Path
    folder: pathlib.Path | None
    log: pathlib.Path
    proc: asyncio.subprocess.Process | None = None
    is_first: bool = True
    start_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


async def start(program: Program) -> None:
    """Start the program unless it runs.

    Parameters
    ----------
    program
        From the second start on its settings say that the system exists.
    """
    async with program.start_lock:
        if program.proc is None or program.proc.returncode is not None:
            await _start(program)


async def _start(program: Program) -> None:
    if not program.is_first:
        text = program.settings.read_text()
        program.settings.write_text(
            text.replace("bootstrap = true", "bootstrap = false")
        )
    program.is_first = False
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
    """Send a signal to the program if it runs.

    Parameters
    ----------
    program, number
        Which program and signal.
    """
    if program.proc is not None and program.proc.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            program.proc.send_signal(number)


async def kill(program: Program) -> None:
    """Kill the program and wait for its end.

    Parameters
    ----------
    program
        May be stopped already.
    """
    signal_program(program, signal.SIGKILL)
    if program.proc is not None:
        await program.proc.wait()


async def stop(program: Program) -> int:
    """Ask the program to stop and wait for its end.

    Parameters
    ----------
    program
        A running program.

    Returns
    -------
    int
        Its exit code.
    """
    signal_program(program, signal.SIGTERM)
    return await program.proc.wait()


def wipe_data(program: Program) -> None:
    """Empty the data folder of a program that does not run.

    Parameters
    ----------
    program
        One with a data folder.
    """
    shutil.rmtree(program.folder, ignore_errors=True)
    program.folder.mkdir(parents=True)


def block_writes(program: Program, is_blocked: bool) -> None:
    """Make writes to the data folder fail, or work again.

    Parameters
    ----------
    program, refused
        A file takes the folder's place meanwhile.
    """
    away = program.folder.with_name(f"{program.folder.name}-away")
    if is_blocked and not away.exists():
        program.folder.rename(away)
        program.folder.touch()
    elif not is_blocked and away.exists():
        program.folder.unlink()
        away.rename(program.folder)
