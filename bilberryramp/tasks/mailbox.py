"""Bounded mailboxes, the only way tasks talk to each other."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from bilberryramp.decisions.shared import effects
from bilberryramp.tasks import clock

__all__ = ["Mailbox", "start_timer", "post", "post_now", "receive_all"]


@dataclasses.dataclass(slots=True)
class Mailbox:
    """Messages waiting for one task.

    Attributes
    ----------
    limit
        How many may wait before `post` makes the sender wait.
    """

    limit: int = 1024
    items: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    not_empty: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    not_full: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


async def post(mailbox: Mailbox, item) -> None:
    """Leave a message, waiting while the mailbox is full.

    Parameters
    ----------
    box
        The receiver's mailbox.
    item
        The message.
    """
    while len(mailbox.items) >= mailbox.limit:
        mailbox.not_full.clear()
        await mailbox.not_full.wait()
    post_now(mailbox, item)


def post_now(mailbox: Mailbox, item) -> None:
    """Leave a message past the limit.

    For timers and ends of work, whose number is bounded by the work that
    was admitted.

    Parameters
    ----------
    box
        The receiver's mailbox.
    item
        The message.
    """
    mailbox.items.append(item)
    mailbox.not_empty.set()


async def receive_all(mailbox: Mailbox) -> list:
    """Wait for messages and take all that are there.

    Parameters
    ----------
    box
        The own mailbox.

    Returns
    -------
    list
        At least one message, oldest first.
    """
    await mailbox.not_empty.wait()
    items = list(mailbox.items)
    mailbox.items.clear()
    mailbox.not_empty.clear()
    mailbox.not_full.set()
    return items


def start_timer(
    mailbox: Mailbox, timer: effects.SetTimer, make_message: Callable
) -> None:
    """Post a message when a timer comes due.

    Parameters
    ----------
    box
        The own mailbox.
    timer
        The effect to perform.
    make_message
        Makes the message from the timer's key and token.
    """
    delay_s = max(timer.due_ms - clock.now_ms(), 0) / 1000
    message = make_message(timer.key, timer.token)
    asyncio.get_running_loop().call_later(delay_s, post_now, mailbox, message)
