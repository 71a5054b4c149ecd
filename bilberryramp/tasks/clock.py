"""Clocks of the operating system, in whole milliseconds."""

import time

__all__ = ["boot_ms", "now_ms", "wall_ms"]


def now_ms() -> int:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return the wall-clock time since the Unix epoch in milliseconds."""
    return time.time_ns() // 1_000_000


def boot_ms() -> int:
    """Return the time since boot in milliseconds, including time suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
