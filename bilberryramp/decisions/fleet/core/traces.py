"""Effect that writes a decision to the event log."""

import dataclasses

__all__ = ["Trace"]


@dataclasses.dataclass(slots=True, frozen=True)
class Trace:
    """Log event that describes a decision and its inputs.

    Attributes
    ----------
    name
        Name of an event declared in ``telemetry.events``.
    fields
        JSON values by name; names of durations and sizes end with the unit.
    """

    name: str
    fields: dict
