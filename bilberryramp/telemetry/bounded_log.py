"""Writes log lines to standard output within a budget, never waiting.

Lines on failures have a budget of their own, so that many successes cannot
crowd them out. What does not fit is counted, and the count is logged.
"""

import dataclasses
import json
import os
import time

__all__ = ["BoundedLog", "write"]

# Lines a second for ordinary events, and the same again for failures; each
# costs some tens of microseconds of processor time.
MAX_LINES_PER_S = 60
# Names of events that have the second budget.
_FAILURE_SUFFIXES = ("refused", "failed", "attempt")


@dataclasses.dataclass(slots=True)
class BoundedLog:
    """A destination of log lines.

    Attributes
    ----------
    budgets
        Lines that may still be written now, ordinary ones and failures.
    dropped
        Lines left out since the last count was logged.
    rest
        Bytes of a line that the pipe has not taken yet.
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
    """Write one line, or count it as dropped.

    Parameters
    ----------
    log
        Changed in place.
    message
        JSON values.
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
    """Write what is left of a line; tell whether all of it went."""
    if not log.unwritten:
        return True
    try:
        log.unwritten = log.unwritten[os.write(log.fd, log.unwritten) :]
    except BlockingIOError:
        return False
    return not log.unwritten
