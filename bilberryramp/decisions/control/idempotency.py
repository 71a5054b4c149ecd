"""Records that keep a request with an idempotency key to one run.

A record is committed before its request is dispatched. Records older than
the retention shrink to tombstones, whose keys are refused. A key that is a
UUID of version 7 (RFC 9562) tells when it was made and needs no tombstone
once it is older than the retention.
"""

import dataclasses
import enum
import uuid
from collections.abc import Iterator

from bilberryramp.decisions.shared import commands, errors

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_RECORDS",
    "MAX_TOMBSTONES",
    "RETENTION_MS",
    "KeyRecord",
    "KeyState",
    "KeyTable",
    "finish",
    "release",
    "reserve",
]

RETENTION_MS = 24 * 3600 * 1000
MAX_RECORDS = 100_000
MAX_TOMBSTONES = 400_000
MAX_ANSWER_BYTES = 64 * 1024
# A key from further in the future does not count as telling its time.
MAX_CLOCK_SKEW_MS = 3600 * 1000
_UUID_TIME_SHIFT = 80


class KeyState(enum.StrEnum):
    """What is known of a claimed request."""

    RESERVED = "reserved"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """One claimed key; times are wall time in milliseconds."""

    request_id: str
    fingerprint: str
    state: KeyState
    reserved_at_ms: int
    lease_until_ms: int
    answer: commands.StoredAnswer | None = None


@dataclasses.dataclass(slots=True)
class KeyTable:
    """What is known of claimed keys, in the order of their claims.

    Attributes
    ----------
    records
        Requests by key.
    tombstones
        Wall time of the claim in milliseconds, by key.
    floor_ms
        Keys that tell an earlier time than this are refused: tombstones of
        such keys had to give way.
    """

    records: dict[str, KeyRecord] = dataclasses.field(default_factory=dict)
    tombstones: dict[str, int] = dataclasses.field(default_factory=dict)
    floor_ms: int = 0


def reserve(table: KeyTable, index: int, command: commands.ReserveKey):
    """Claim a key, or tell what became of the request that holds it.

    Parameters
    ----------
    table
        Changed when the key is granted.
    index
        Log index of the command.
    command
        The claim; a repeat of the same request is granted again.

    Returns
    -------
    KeyGranted, KeyKept or KeyRefused
        The answer for the entry.
    """
    _expire(table, command.at_ms)
    if command.key in table.tombstones:
        return commands.KeyRefused(errors.FailureCode.KEY_EXPIRED)
    record = table.records.get(command.key)
    if record is not None:
        return _answer_repeat(record, index, command)
    if _is_too_old(table, command.key, command.at_ms):
        return commands.KeyRefused(errors.FailureCode.KEY_EXPIRED)
    table.records[command.key] = KeyRecord(
        request_id=command.request_id,
        fingerprint=command.fingerprint,
        state=KeyState.RESERVED,
        reserved_at_ms=command.at_ms,
        lease_until_ms=command.at_ms + command.lease_ms,
    )
    return commands.KeyGranted(index)


def finish(table: KeyTable, command: commands.FinishKey) -> None:
    """Record the end of a claimed request; a later claim keeps its own.

    Parameters
    ----------
    table
        Changed when the request still holds the key.
    command
        The key, the request and its answer.
    """
    record = table.records.get(command.key)
    if record is None or record.request_id != command.request_id:
        return
    if record.state == KeyState.FINISHED:
        return
    record.state = KeyState.FINISHED if command.ran else KeyState.UNKNOWN
    record.answer = command.answer


def release(table: KeyTable, command: commands.ReleaseKey) -> None:
    """Give a key back, unless its request is known to have ended.

    Parameters
    ----------
    table
        Changed when the request still holds the key.
    command
        The key and the request that did not run.
    """
    record = table.records.get(command.key)
    if record is None or record.request_id != command.request_id:
        return
    if record.state == KeyState.RESERVED:
        del table.records[command.key]


def _answer_repeat(record: KeyRecord, index: int, command):
    if record.fingerprint != command.fingerprint:
        return commands.KeyRefused(errors.FailureCode.KEY_MISMATCH)
    if record.state == KeyState.FINISHED:
        return _completed_result(record)
    same_request = record.request_id == command.request_id
    if same_request and record.state == KeyState.RESERVED:
        return commands.KeyGranted(index)
    leased = command.at_ms < record.lease_until_ms
    if record.state == KeyState.RESERVED and leased:
        return commands.KeyRefused(errors.FailureCode.KEY_RUNNING)
    return commands.KeyRefused(errors.FailureCode.KEY_UNKNOWN)


def _completed_result(record: KeyRecord):
    if record.answer is None:
        return commands.KeyRefused(errors.FailureCode.ANSWER_TOO_LARGE)
    return commands.KeyCompleted(record.answer)


def _expire(table: KeyTable, now_ms: int) -> None:
    for key in list(_expired_keys(table, now_ms)):
        record = table.records.pop(key)
        if _is_too_old(table, key, now_ms):
            _raise_floor(table, key, now_ms)
        else:
            table.tombstones[key] = record.reserved_at_ms
    while len(table.tombstones) > MAX_TOMBSTONES:
        oldest = next(iter(table.tombstones))
        del table.tombstones[oldest]
        _raise_floor(table, oldest, now_ms)


def _raise_floor(table: KeyTable, key: str, now_ms: int) -> None:
    """Refuse every key that tells this key's time or an earlier one.

    The claims' clocks differ, so a key that is too old by one clock could
    be young enough by the next one.
    """
    made_ms = _made_at_ms(key, now_ms)
    if made_ms is not None:
        table.floor_ms = max(table.floor_ms, made_ms + 1)


def _is_too_old(table: KeyTable, key: str, now_ms: int) -> bool:
    made_ms = _made_at_ms(key, now_ms)
    if made_ms is None:
        return False
    return made_ms < max(table.floor_ms, now_ms - RETENTION_MS)


def _made_at_ms(key: str, now_ms: int) -> int | None:
    """Read the wall time, in milliseconds, that a key tells."""
    _, _, caller_key = key.partition("/")
    try:
        known = uuid.UUID(caller_key)
    except ValueError:
        return None
    if known.version != 7:
        return None
    made_ms = known.int >> _UUID_TIME_SHIFT
    return made_ms if made_ms <= now_ms + MAX_CLOCK_SKEW_MS else None


def _expired_keys(table: KeyTable, now_ms: int) -> Iterator[str]:
    surplus = len(table.records) - MAX_RECORDS
    for at, (key, record) in enumerate(table.records.items()):
        too_old = now_ms - record.reserved_at_ms > RETENTION_MS
        if at >= surplus and not too_old:
            return
        yield key
