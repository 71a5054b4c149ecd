"""Commands that are told to control until it has confirmed them."""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.shared import commands, effects, role_messages

__all__ = ["Unconfirmed", "confirm", "is_empty", "remind", "tell"]

MAX_UNCONFIRMED = 10_000


@dataclasses.dataclass(slots=True)
class Unconfirmed:
    """Commands not confirmed yet, oldest first.

    Attributes
    ----------
    asks
        The questions by ask id.
    afterwards
        What to send once a question's command is confirmed.
    """

    asks: dict[str, role_messages.SendCommand] = dataclasses.field(
        default_factory=dict
    )
    afterwards: dict[str, effects.Send] = dataclasses.field(
        default_factory=dict
    )


def tell(
    waiting: Unconfirmed,
    command_id: str,
    command,
    afterwards: effects.Send | None = None,
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
    ask = role_messages.SendCommand(command_id, command)
    waiting.asks[command_id] = ask
    if afterwards is not None:
        waiting.afterwards[command_id] = afterwards
    if len(waiting.asks) > MAX_UNCONFIRMED:
        _forget(waiting, next(iter(waiting.asks)))
    return ask


def confirm(
    waiting: Unconfirmed, answer: role_messages.CommandAnswered
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
    if isinstance(answer.result, commands.Unavailable):
        return
    afterwards = waiting.afterwards.get(answer.command_id)
    _forget(waiting, answer.command_id)
    if afterwards is not None:
        yield afterwards


def remind(waiting: Unconfirmed) -> Iterator[role_messages.SendCommand]:
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
    yield from list(waiting.asks.values())


def is_empty(waiting: Unconfirmed) -> bool:
    """Tell whether control has confirmed every command."""
    return not waiting.asks


def _forget(waiting: Unconfirmed, command_id: str) -> None:
    waiting.asks.pop(command_id, None)
    waiting.afterwards.pop(command_id, None)
