"""Commands that are resent to control until it confirms them."""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.shared import commands, effects, role_messages

__all__ = ["UnconfirmedCommands", "add", "confirm", "is_empty", "resend"]

MAX_UNCONFIRMED = 10_000


@dataclasses.dataclass(slots=True)
class UnconfirmedCommands:
    """Commands that control has not confirmed yet.

    Attributes
    ----------
    pending
        The commands by command id, oldest first.
    follow_ups
        Messages to send once a command is confirmed, by command id.
    """

    pending: dict[str, role_messages.SendCommand] = dataclasses.field(
        default_factory=dict
    )
    follow_ups: dict[str, effects.Send] = dataclasses.field(
        default_factory=dict
    )


def add(
    unconfirmed: UnconfirmedCommands,
    command_id: str,
    command,
    follow_up: effects.Send | None = None,
) -> role_messages.SendCommand:
    """Add a command and return the effect that sends it.

    Parameters
    ----------
    unconfirmed
        The unconfirmed commands. Modified in place; the oldest command is
        dropped if there are more than `MAX_UNCONFIRMED`.
    command_id
        Id that is unique to the command.
    command
        A command of `commands`. It must be idempotent, since it may be
        committed more than once.
    follow_up
        Message to send once control has confirmed the command, if any.

    Returns
    -------
    SendCommand
        Effect that sends the command for the first time.
    """
    message = role_messages.SendCommand(command_id, command)
    unconfirmed.pending[command_id] = message
    if follow_up is not None:
        unconfirmed.follow_ups[command_id] = follow_up
    if len(unconfirmed.pending) > MAX_UNCONFIRMED:
        _remove(unconfirmed, next(iter(unconfirmed.pending)))
    return message


def confirm(
    unconfirmed: UnconfirmedCommands, reply: role_messages.CommandAnswered
) -> Iterator[effects.Send]:
    """Remove a command that control has confirmed.

    Parameters
    ----------
    unconfirmed
        The unconfirmed commands. Modified in place.
    reply
        Control's reply; a result of `Unavailable` does not confirm the
        command.

    Yields
    ------
    Send
        The command's follow-up message, if it has one.
    """
    if isinstance(reply.result, commands.Unavailable):
        return
    follow_up = unconfirmed.follow_ups.get(reply.command_id)
    _remove(unconfirmed, reply.command_id)
    if follow_up is not None:
        yield follow_up


def resend(
    unconfirmed: UnconfirmedCommands,
) -> Iterator[role_messages.SendCommand]:
    """Send every unconfirmed command again.

    Parameters
    ----------
    unconfirmed
        The unconfirmed commands.

    Yields
    ------
    SendCommand
        One for each command, oldest first.
    """
    yield from list(unconfirmed.pending.values())


def is_empty(unconfirmed: UnconfirmedCommands) -> bool:
    """Return whether control has confirmed every command."""
    return not unconfirmed.pending


def _remove(unconfirmed: UnconfirmedCommands, command_id: str) -> None:
    unconfirmed.pending.pop(command_id, None)
    unconfirmed.follow_ups.pop(command_id, None)
