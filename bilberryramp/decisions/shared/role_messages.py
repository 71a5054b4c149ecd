"""Messages and effects that several roles use within a process."""

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
    """Effect that sends a command to control, without guaranteed delivery.

    Attributes
    ----------
    command_id
        Identifies the command, repeated in `CommandAnswered`.
    command
        One of the commands in `commands`.
    """

    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class CommandAnswered:
    """Control's reply to a `SendCommand`.

    Attributes
    ----------
    command_id
        Id of the command.
    result
        One of the results in `commands`.
    """

    command_id: str
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class FreshnessUpdate:
    """The freshness lease of the view was obtained or has expired.

    Attributes
    ----------
    fresh
        Whether the lease is now valid.
    """

    fresh: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ResendCommands:
    """Request to resend the commands that control has not confirmed.

    The message is delivered once per second, with each heartbeat.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `effects.SetTimer` expired.

    Attributes
    ----------
    key, token
        As in `effects.SetTimer`.
    """

    key: str
    token: int
