"""Ends of marked runs, kept by the upstream process until recorded.

The entry of a request with an idempotency key tells control how it ended
and then tells the upstream process that this is settled. An entry may die
before that; then the upstream process tells control itself, so that the
caller's resend finds the answer.
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
    "SETTLE_KEY",
    "RunRecords",
    "are_settled",
    "note_end",
    "note_settled",
    "note_timer",
]

SETTLE_KEY = "settle/"
# Less than what a reservation outlasts its deadline by, so that a resend
# does not find it expired before the answer is told.
SETTLE_MS = 3000
MAX_UNSETTLED = 256


@dataclasses.dataclass(slots=True)
class RunRecords:
    """Marked runs that ended here.

    Attributes
    ----------
    unsettled
        Commands by attempt id, left to the entry for `SETTLE_MS`.
    told
        Commands told to control by this process.
    """

    unsettled: dict[str, object] = dataclasses.field(default_factory=dict)
    told: unconfirmed.UnconfirmedCommands = dataclasses.field(
        default_factory=unconfirmed.UnconfirmedCommands
    )


def note_end(
    records: RunRecords,
    now_ms: int,
    dispatch: call_messages.Dispatch,
    ended: upstream_messages.RunEnded,
) -> Iterator:
    """Keep the end of a run, if its request is marked.

    Parameters
    ----------
    records
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    dispatch
        The attempt that ran.
    ended
        How it ended.

    Yields
    ------
    SetTimer, AskControl
        The wait for the entry; beyond `MAX_UNSETTLED` the oldest end is
        told to control at once.
    """
    if not dispatch.idempotency_key:
        return
    records.unsettled[dispatch.attempt_id] = _command(dispatch, ended)
    key = SETTLE_KEY + dispatch.attempt_id
    yield effects.SetTimer(key, 0, now_ms + SETTLE_MS)
    if len(records.unsettled) > MAX_UNSETTLED:
        yield from _tell(records, next(iter(records.unsettled)))


def note_settled(records: RunRecords, attempt_id: str) -> None:
    """Forget an end that the entry has had recorded.

    Parameters
    ----------
    records
        Changed in place.
    attempt_id
        The attempt that ran.
    """
    records.unsettled.pop(attempt_id, None)


def note_timer(
    records: RunRecords, key: str
) -> Iterator[role_messages.SendCommand]:
    """Tell control of an end that its entry left unsettled.

    Parameters
    ----------
    records
        Changed in place.
    key
        `SETTLE_KEY` and the attempt id.

    Yields
    ------
    AskControl
        None if the end has been settled.
    """
    attempt_id = key.removeprefix(SETTLE_KEY)
    if attempt_id in records.unsettled:
        yield from _tell(records, attempt_id)


def are_settled(records: RunRecords) -> bool:
    """Tell whether control knows of every marked run that ended here."""
    return not records.unsettled and unconfirmed.is_empty(records.told)


def _tell(records: RunRecords, attempt_id: str) -> Iterator:
    command = records.unsettled.pop(attempt_id)
    yield unconfirmed.add(records.told, f"{attempt_id}/end", command)


def _command(dispatch, ended):
    key = commands.idempotency_record_key(
        dispatch.route, dispatch.idempotency_key
    )
    failure = ended.failure
    if failure is None:
        return commands.FinishKey(key, dispatch.request_id, True, ended.answer)
    if failure.outcome == errors.Outcome.NOT_RUN:
        return commands.ReleaseKey(key, dispatch.request_id)
    return commands.FinishKey(key, dispatch.request_id, False)
