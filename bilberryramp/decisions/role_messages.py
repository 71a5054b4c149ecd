"""Messages that several roles take."""

import dataclasses

__all__ = ["FreshnessNoted", "TimerFired"]


@dataclasses.dataclass(slots=True, frozen=True)
class FreshnessNoted:
    """The view's freshness lease was gained or ran out."""

    fresh: bool


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer of `SetTimer` came due."""

    key: str
    token: int
