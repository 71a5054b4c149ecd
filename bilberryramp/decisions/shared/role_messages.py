"""Messages that several roles take."""

import dataclasses

__all__ = [
    "SendCommand",
    "CommandAnswered",
    "FreshnessUpdate",
    "ResendCommands",
    "TimerFired",
]


@dataclasses.dataclass(slots=True, frozen=True)
class SendCommand:
    """Have control commit a command; the answer may get lost."""

    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class CommandAnswered:
    """Control answered an `SendCommand`."""

    command_id: str
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class FreshnessUpdate:
    """The view's freshness lease was gained or ran out."""

    fresh: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ResendCommands:
    """Ask again what control has not confirmed; sent each second."""


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer of `SetTimer` came due."""

    key: str
    token: int
