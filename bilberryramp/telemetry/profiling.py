"""Profile of a running process, written to its log."""

import asyncio
import cProfile
import pathlib
import pstats

from bilberryramp.telemetry import events

__all__ = ["log_profile"]

# Number of functions in a log line.
FUNCTION_COUNT = 30


async def log_profile(interval_s: float) -> None:
    """Profile the process and log the most expensive functions at intervals.

    Profiling about doubles the processor time of Python code.

    Parameters
    ----------
    interval_s
        Interval between two log lines in seconds; each covers the time since
        the one before.
    """
    while True:
        profile = cProfile.Profile()
        profile.enable()
        await asyncio.sleep(interval_s)
        profile.disable()
        stats = pstats.Stats(profile)
        events.emit(
            events.PROFILE,
            total_s=round(stats.total_tt, 3),
            functions=_most_expensive(stats),
        )


def _most_expensive(stats: pstats.Stats) -> list[str]:
    """Return the functions with the most time of their own, and the time."""
    rows = sorted(
        (
            (own_s, total_s, count, function)
            for function, (_, count, own_s, total_s, _) in stats.stats.items()
        ),
        reverse=True,
    )
    return [
        f"{pathlib.PurePath(path).name}:{line}({name}) own {own_s:.3f} s, "
        f"total {total_s:.3f} s, {count} calls"
        for own_s, total_s, count, (path, line, name) in rows[:FUNCTION_COUNT]
    ]
