"""Idempotency keys: each request with a key runs at most once.

A record is committed before its request is dispatched. Records older than
the retention period are reduced to tombstones, and their keys are refused.
A key that is a version 7 UUID (RFC 9562) contains its creation time, so it
needs no tombstone once it is older than the retention period.
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
# A UUID with a later timestamp is treated as a key without a timestamp.
MAX_CLOCK_SKEW_MS = 3600 * 1000
_UUID_TIMESTAMP_SHIFT_BITS = 80


class KeyState(enum.StrEnum):
    """State of the request that holds a key.

    The request may still run while the key is RESERVED. It is FINISHED if it
    ran to its end, and UNKNOWN if it ended but may not have run to its end.
    """

    RESERVED = "reserved"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """Record of a reserved key.

    Attributes
    ----------
    request_id
        The request that holds the key.
    fingerprint
        Digest of the request; a different request with the same key is
        refused.
    state
        Whether the request has ended, and how.
    reserved_at_ms
        Wall-clock time of the reservation in milliseconds.
    lease_until_ms
        Wall-clock time in milliseconds until which the request is assumed
        to be running; after it, the outcome is unknown.
    answer
        Stored answer of a finished request; None before the end, or if the
        answer was too large to store.
    """

    request_id: str
    fingerprint: str
    state: KeyState
    reserved_at_ms: int
    lease_until_ms: int
    answer: commands.StoredAnswer | None = None


@dataclasses.dataclass(slots=True)
class KeyTable:
    """Records and tombstones of reserved keys.

    Attributes
    ----------
    records
        Records by key, in order of reservation. A key is a result of
        `commands.idempotency_record_key`.
    tombstones
        Expired keys, each with the wall-clock time of its reservation in
        milliseconds, in order of reservation.
    floor_ms
        Keys with a creation time before this wall-clock time in
        milliseconds are refused, because records or tombstones of such
        keys have been discarded.
    """

    records: dict[str, KeyRecord] = dataclasses.field(default_factory=dict)
    tombstones: dict[str, int] = dataclasses.field(default_factory=dict)
    floor_ms: int = 0


def reserve(table: KeyTable, index: int, command: commands.ReserveKey):
    """Reserve a key, or return the outcome of the request that holds it.

    Parameters
    ----------
    table
        Modified in place: expired records are removed, and a record is
        added if the key is new.
    index
        Log index of the command.
    command
        The reservation; a repeat by the same request is granted again as
        long as the request has not ended.

    Returns
    -------
    KeyGranted, KeyCompleted or KeyRefused
        Permission to run, the stored answer, or the reason for refusal.
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
    """Record the end of a request that holds a key.

    Parameters
    ----------
    table
        Modified in place; unchanged if another request holds the key or
        the request is already finished.
    command
        The key, the request, whether it ran to its end, and its answer.
    """
    record = table.records.get(command.key)
    if record is None or record.request_id != command.request_id:
        return
    if record.state == KeyState.FINISHED:
        return
    record.state = KeyState.FINISHED if command.ran else KeyState.UNKNOWN
    record.answer = command.answer


def release(table: KeyTable, command: commands.ReleaseKey) -> None:
    """Release a key whose request did not run.

    Parameters
    ----------
    table
        Modified in place; unchanged if another request holds the key or
        the request's end has been recorded.
    command
        The key and the request that holds it.
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
        return _finished_result(record)
    same_request = record.request_id == command.request_id
    if same_request and record.state == KeyState.RESERVED:
        return commands.KeyGranted(index)
    leased = command.at_ms < record.lease_until_ms
    if record.state == KeyState.RESERVED and leased:
        return commands.KeyRefused(errors.FailureCode.KEY_RUNNING)
    return commands.KeyRefused(errors.FailureCode.KEY_UNKNOWN)


def _finished_result(record: KeyRecord):
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
    """Refuse every key created at this key's creation time or earlier.

    Reservations carry the times of different clocks, so a key that has
    expired by one of them could still be valid by the next one.
    """
    created_ms = _created_at_ms(key, now_ms)
    if created_ms is not None:
        table.floor_ms = max(table.floor_ms, created_ms + 1)


def _is_too_old(table: KeyTable, key: str, now_ms: int) -> bool:
    created_ms = _created_at_ms(key, now_ms)
    if created_ms is None:
        return False
    return created_ms < max(table.floor_ms, now_ms - RETENTION_MS)


def _created_at_ms(key: str, now_ms: int) -> int | None:
    """Return the wall-clock time in milliseconds at which a key was created.

    Return None if the caller's key is not a version 7 UUID, or if its
    timestamp is more than `MAX_CLOCK_SKEW_MS` ahead of `now_ms`.
    """
    _, _, caller_key = key.partition("/")
    try:
        key_uuid = uuid.UUID(caller_key)
    except ValueError:
        return None
    if key_uuid.version != 7:
        return None
    created_ms = key_uuid.int >> _UUID_TIMESTAMP_SHIFT_BITS
    return created_ms if created_ms <= now_ms + MAX_CLOCK_SKEW_MS else None


def _expired_keys(table: KeyTable, now_ms: int) -> Iterator[str]:
    excess = len(table.records) - MAX_RECORDS
    for position, (key, record) in enumerate(table.records.items()):
        too_old = now_ms - record.reserved_at_ms > RETENTION_MS
        if position >= excess and not too_old:
            return
        yield key
