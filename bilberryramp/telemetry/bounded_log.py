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
LINES_PER_S = 60
# Names of events that have the second budget.
_FAILURES = ("refused", "failed", "attempt")


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
        default_factory=lambda: [LINES_PER_S, LINES_PER_S]
    )
    filled_s: float = 0.0
    dropped: int = 0
    dropped_total: int = 0
    rest: bytes = b""


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
    urgent = name.endswith(_FAILURES) and message.get("end") != "delivered"
    if log.budgets[urgent] < 1 or not _flush(log):
        log.dropped += 1
        log.dropped_total += 1
        return
    log.budgets[urgent] -= 1
    if log.dropped:
        message = {**message, "lines_dropped_before": log.dropped}
        log.dropped = 0
    log.rest = json.dumps(message, default=str).encode() + b"\n"
    _flush(log)


def _refill(log: BoundedLog) -> None:
    now = time.monotonic()
    earned = (now - log.filled_s) * LINES_PER_S
    log.filled_s = now
    log.budgets = [min(b + earned, LINES_PER_S) for b in log.budgets]


def _flush(log: BoundedLog) -> bool:
    """Write what is left of a line; tell whether all of it went."""
    if not log.rest:
        return True
    try:
        log.rest = log.rest[os.write(log.fd, log.rest) :]
    except BlockingIOError:
        return False
    return not log.rest
