"""Commands that are told to control until it has confirmed them."""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.shared import commands, effects, role_messages

__all__ = ["UnconfirmedCommands", "confirm", "is_empty", "resend", "add"]

MAX_UNCONFIRMED = 10_000


@dataclasses.dataclass(slots=True)
class UnconfirmedCommands:
    """Commands not confirmed yet, oldest first.

    Attributes
    ----------
    asks
        The questions by ask id.
    afterwards
        What to send once a question's command is confirmed.
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
    """Keep a command and make the question that carries it.

    Parameters
    ----------
    waiting
        Changed in place; the oldest command gives way beyond the limit.
    ask_id
        Unique to the command.
    command
        An idempotent command of `commands`.
    afterwards
        Sent once control has confirmed the command.

    Returns
    -------
    AskControl
        To be performed at once.
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
    """Take in an answer of control.

    Parameters
    ----------
    waiting
        Changed in place.
    answer
        Of control; `Unavailable` confirms nothing.

    Yields
    ------
    Send
        What was to follow the command.
    """
    if isinstance(reply.result, commands.Unavailable):
        return
    follow_ups = unconfirmed.follow_ups.get(reply.command_id)
    _remove(unconfirmed, reply.command_id)
    if follow_ups is not None:
        yield follow_ups


def resend(
    unconfirmed: UnconfirmedCommands,
) -> Iterator[role_messages.SendCommand]:
    """Ask again whatever control has not confirmed.

    Parameters
    ----------
    waiting
        The commands.

    Yields
    ------
    AskControl
        Oldest first.
    """
    yield from list(unconfirmed.pending.values())


def is_empty(unconfirmed: UnconfirmedCommands) -> bool:
    """Tell whether control has confirmed every command."""
    return not unconfirmed.pending


def _remove(unconfirmed: UnconfirmedCommands, command_id: str) -> None:
    unconfirmed.pending.pop(command_id, None)
    unconfirmed.follow_ups.pop(command_id, None)
