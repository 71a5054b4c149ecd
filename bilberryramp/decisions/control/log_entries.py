"""In-memory tail of the replicated log."""

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
    """Log entries after `base_index`; a snapshot covers those up to it.

    Attributes
    ----------
    base_index, base_term
        Index and term of the last entry that was discarded; 0 if none was.
    entries
        Entries with consecutive indices, from `base_index` + 1.
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[control_state.Entry] = dataclasses.field(
        default_factory=list
    )


def last_index(tail: LogTail) -> int:
    """Return the index of the last entry, or the base index if empty."""
    return tail.base_index + len(tail.entries)


def last_term(tail: LogTail) -> int:
    """Return the term of the last entry, or the base term if empty."""
    return tail.entries[-1].term if tail.entries else tail.base_term


def term_at(tail: LogTail, index: int) -> int | None:
    """Return the term of the entry at an index, or None if it is unknown."""
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
    """Return at most `max_entries` entries, starting at index `first`."""
    position = first - tail.base_index - 1
    return tuple(tail.entries[position : position + max_entries])


def append(tail: LogTail, entry: control_state.Entry) -> None:
    """Append an entry; its index must be `last_index` + 1."""
    tail.entries.append(entry)


def replace_from(
    tail: LogTail, entries: Sequence[control_state.Entry]
) -> tuple[control_state.Entry, ...]:
    """Merge a leader's entries, replacing conflicting ones and their tail.

    Parameters
    ----------
    tail
        Modified in place; the entry before the first of `entries` must be
        in it or be covered by the snapshot.
    entries
        Entries of the leader's log with consecutive indices.

    Returns
    -------
    tuple of Entry
        Entries that were added and must be written to disk.
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
    """Discard the entries up to `index`, which must be in the tail."""
    term = term_at(tail, index)
    del tail.entries[: index - tail.base_index]
    tail.base_index, tail.base_term = index, term
