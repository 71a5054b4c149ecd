"""The in-memory tail of the replicated log."""

import dataclasses
from collections.abc import Sequence

from bilberryramp.decisions.control import control_state

__all__ = [
    "LogTail",
    "append",
    "compact",
    "last_index",
    "last_term",
    "replace_from",
    "slice_from",
    "term_at",
]


@dataclasses.dataclass(slots=True)
class LogTail:
    """Entries after `base_index`, which the snapshot covers.

    Attributes
    ----------
    base_index, base_term
        Index and term of the entry before the first one kept.
    entries
        Consecutive entries.
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[control_state.Entry] = dataclasses.field(
        default_factory=list
    )


def last_index(tail: LogTail) -> int:
    """Return the index of the last entry, or of the base."""
    return tail.base_index + len(tail.entries)


def last_term(tail: LogTail) -> int:
    """Return the term of the last entry, or of the base."""
    return tail.entries[-1].term if tail.entries else tail.base_term


def term_at(tail: LogTail, index: int) -> int | None:
    """Return the term at an index, or None when it is not held."""
    if index == tail.base_index:
        return tail.base_term
    position = index - tail.base_index - 1
    return (
        tail.entries[position].term
        if 0 <= position < len(tail.entries)
        else None
    )


def slice_from(
    tail: LogTail, first: int, max_entries: int
) -> tuple[control_state.Entry, ...]:
    """Return up to `max_entries` entries from index `first` on."""
    position = first - tail.base_index - 1
    return tuple(tail.entries[position : position + max_entries])


def append(tail: LogTail, entry: control_state.Entry) -> None:
    """Add the next entry."""
    tail.entries.append(entry)


def replace_from(
    tail: LogTail, entries: Sequence[control_state.Entry]
) -> tuple[control_state.Entry, ...]:
    """Take over entries of a leader, dropping any that conflict.

    Parameters
    ----------
    tail
        Changed; it holds the entry before the first of `entries`.
    entries
        Consecutive entries of the leader's log.

    Returns
    -------
    tuple of Entry
        Those that were new and must be written to disk.
    """
    for position, entry in enumerate(entries):
        if term_at(tail, entry.index) == entry.term:
            continue
        if entry.index <= tail.base_index:
            continue
        del tail.entries[entry.index - tail.base_index - 1 :]
        tail.entries.extend(entries[position:])
        return tuple(entries[position:])
    return ()


def compact(tail: LogTail, index: int) -> None:
    """Drop the entries up to an index that is held."""
    term = term_at(tail, index)
    del tail.entries[: index - tail.base_index]
    tail.base_index, tail.base_term = index, term
