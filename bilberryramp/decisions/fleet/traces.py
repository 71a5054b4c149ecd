"""Decisions told for the log."""

import dataclasses

__all__ = ["Trace"]


@dataclasses.dataclass(slots=True, frozen=True)
class Trace:
    """A decision, with the inputs that led to it.

    Attributes
    ----------
    name
        Name of a declared event.
    fields
        JSON values; durations and sizes carry their unit in the name.
    """

    name: str
    fields: dict
