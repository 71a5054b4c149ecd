"""Ends of keyed runs, stored by the upstream process until recorded.

A run is keyed when its request carries an idempotency key. Its entry
reports the end of the run to control and, once control has recorded it,
sends `call_messages.EndRecorded` to the upstream process; the end is then
settled. If the entry fails before that, the upstream process reports the end
itself, so that a resend of the request gets the answer.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.shared import (
    call_messages,
    commands,
    effects,
    errors,
    role_messages,
    unconfirmed,
)
from bilberryramp.decisions.upstream import upstream_messages

__all__ = [
    "SETTLE_TIMER_PREFIX",
    "RunRecords",
    "are_settled",
    "record_end",
    "record_settled",
    "report_unsettled",
]

SETTLE_TIMER_PREFIX = "settle/"
# Shorter than the 5000 ms by which the lease of a key outlasts the deadline
# of its request, so that the end is reported before the lease expires.
SETTLE_TIMEOUT_MS = 3000
MAX_UNSETTLED = 256


@dataclasses.dataclass(slots=True)
class RunRecords:
    """Keyed runs that ended at this upstream.

    Attributes
    ----------
    unsettled
        For each end that its entry is expected to settle within
        `SETTLE_TIMEOUT_MS`, the command that reports it; by attempt id,
        oldest first.
    reported
        Commands that this process resends until control confirms them.
    """

    unsettled: dict[str, object] = dataclasses.field(default_factory=dict)
    reported: unconfirmed.UnconfirmedCommands = dataclasses.field(
        default_factory=unconfirmed.UnconfirmedCommands
    )


def record_end(
    records: RunRecords,
    now_ms: int,
    dispatch: call_messages.Dispatch,
    ended: upstream_messages.RunEnded,
) -> Iterator:
    """Record the end of a run, if the run is keyed.

    Parameters
    ----------
    records
        Modified in place.
    now_ms
        Current time in milliseconds.
    dispatch
        The dispatch of the attempt that ran.
    ended
        The end of the run.

    Yields
    ------
    SetTimer, SendCommand
        Timer after which this process reports the end; if there are more
        than `MAX_UNSETTLED` unsettled ends, also the command that reports
        the oldest of them at once.
    """
    if not dispatch.idempotency_key:
        return
    records.unsettled[dispatch.attempt_id] = _end_command(dispatch, ended)
    key = SETTLE_TIMER_PREFIX + dispatch.attempt_id
    yield effects.SetTimer(key, 0, now_ms + SETTLE_TIMEOUT_MS)
    if len(records.unsettled) > MAX_UNSETTLED:
        yield from _report(records, next(iter(records.unsettled)))


def record_settled(records: RunRecords, attempt_id: str) -> None:
    """Remove an end that control has recorded at the entry's request.

    Parameters
    ----------
    records
        Modified in place.
    attempt_id
        Id of the attempt that ran.
    """
    records.unsettled.pop(attempt_id, None)


def report_unsettled(
    records: RunRecords, key: str
) -> Iterator[role_messages.SendCommand]:
    """Report an end to control if it was not settled in time.

    Parameters
    ----------
    records
        Modified in place.
    key
        Key of the timer: `SETTLE_TIMER_PREFIX` and the attempt id.

    Yields
    ------
    SendCommand
        The command that reports the end; nothing if it was settled.
    """
    attempt_id = key.removeprefix(SETTLE_TIMER_PREFIX)
    if attempt_id in records.unsettled:
        yield from _report(records, attempt_id)


def are_settled(records: RunRecords) -> bool:
    """Return whether control has recorded every keyed run that ended."""
    return not records.unsettled and unconfirmed.is_empty(records.reported)


def _report(records: RunRecords, attempt_id: str) -> Iterator:
    command = records.unsettled.pop(attempt_id)
    yield unconfirmed.add(records.reported, f"{attempt_id}/end", command)


def _end_command(dispatch, ended):
    """Build the command that records the end of a run at control."""
    key = commands.idempotency_record_key(
        dispatch.route, dispatch.idempotency_key
    )
    failure = ended.failure
    if failure is None:
        return commands.FinishKey(key, dispatch.request_id, True, ended.answer)
    if failure.outcome == errors.Outcome.NOT_RUN:
        return commands.ReleaseKey(key, dispatch.request_id)
    return commands.FinishKey(key, dispatch.request_id, False)
