"""The process's clocks in whole milliseconds."""

import time

__all__ = ["boot_ms", "now_ms", "wall_ms"]


def now_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return wall time since 1970 in milliseconds."""
    return time.time_ns() // 1_000_000


def boot_ms() -> int:
    """Return milliseconds since boot, counting suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
