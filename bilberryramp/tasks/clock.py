"""The process's clocks in whole milliseconds."""

import time

__all__ = ["now_ms", "wall_ms"]


def now_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return wall time since 1970 in milliseconds."""
    return time.time_ns() // 1_000_000
