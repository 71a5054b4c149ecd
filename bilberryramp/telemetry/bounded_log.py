"""Rate-limited, non-blocking log output.

A token bucket limits the lines written per second. Failures have a bucket of
their own, so that a flood of ordinary lines cannot displace them. Lines over
the limit, and lines written while the pipe is full, are dropped; the next line
that is written carries their number as ``lines_dropped_before``.
"""

import dataclasses
import json
import os
import time

__all__ = ["BoundedLog", "write"]

# Limit for the lines of ordinary events, and another limit of this size for
# failures. A line costs some tens of microseconds of processor time.
MAX_LINES_PER_S = 60
# Events whose names end in one of these words use the budget for failures,
# unless they report a delivered answer.
_FAILURE_SUFFIXES = ("refused", "failed", "attempt")


@dataclasses.dataclass(slots=True)
class BoundedLog:
    """State of a rate-limited log destination.

    Attributes
    ----------
    fd
        Non-blocking file descriptor that receives the lines.
    budgets
        Lines that may be written now, at most `MAX_LINES_PER_S` each: those
        of ordinary events (index 0) and of failures (index 1).
    refilled_s
        Time of the last refill of the budgets, in seconds (monotonic).
    dropped
        Number of lines dropped since the last line was written.
    dropped_total
        Number of lines dropped since the process started.
    unwritten
        Remaining bytes of a line of which only a part could be written.
    """

    fd: int
    budgets: list[float] = dataclasses.field(
        default_factory=lambda: [MAX_LINES_PER_S, MAX_LINES_PER_S]
    )
    refilled_s: float = 0.0
    dropped: int = 0
    dropped_total: int = 0
    unwritten: bytes = b""


def write(log: BoundedLog, message: dict) -> None:
    """Write a message as one line of JSON, or drop and count it.

    Parameters
    ----------
    log
        Destination; modified in place.
    message
        Fields of the line. Values that JSON cannot represent are written as
        strings.
    """
    _refill(log)
    name = message.get("message_type", "")
    is_failure = (
        name.endswith(_FAILURE_SUFFIXES) and message.get("end") != "delivered"
    )
    if log.budgets[is_failure] < 1 or not _flush(log):
        log.dropped += 1
        log.dropped_total += 1
        return
    log.budgets[is_failure] -= 1
    if log.dropped:
        message = {**message, "lines_dropped_before": log.dropped}
        log.dropped = 0
    log.unwritten = json.dumps(message, default=str).encode() + b"\n"
    _flush(log)


def _refill(log: BoundedLog) -> None:
    now_s = time.monotonic()
    refill = (now_s - log.refilled_s) * MAX_LINES_PER_S
    log.refilled_s = now_s
    log.budgets = [min(b + refill, MAX_LINES_PER_S) for b in log.budgets]


def _flush(log: BoundedLog) -> bool:
    """Write the pending bytes and return whether none remain."""
    if not log.unwritten:
        return True
    try:
        log.unwritten = log.unwritten[os.write(log.fd, log.unwritten) :]
    except BlockingIOError:
        return False
    return not log.unwritten
