"""Bounded mailboxes, through which tasks send messages to each other."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from bilberryramp.decisions.shared import effects
from bilberryramp.tasks import clock

__all__ = [
    "Mailbox",
    "post",
    "post_now",
    "receive_all",
    "start_timer",
    "wait_for_room",
]


@dataclasses.dataclass(slots=True)
class Mailbox:
    """Queue of messages for one task.

    Attributes
    ----------
    limit
        Number of queued messages from which on `post` waits.
    messages
        Queued messages, oldest first.
    not_empty
        Set while at least one message is queued.
    not_full
        Set when the receiver has removed all messages; cleared by a sender
        that finds the mailbox full.
    """

    limit: int = 1024
    messages: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    not_empty: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    not_full: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


async def post(mailbox: Mailbox, message) -> None:
    """Queue a message, waiting while the mailbox is full.

    Parameters
    ----------
    mailbox
        Mailbox of the receiver. Modified in place.
    message
        Message to queue.
    """
    await wait_for_room(mailbox)
    post_now(mailbox, message)


async def wait_for_room(mailbox: Mailbox) -> None:
    """Wait while a mailbox is full.

    Parameters
    ----------
    mailbox
        Mailbox of the receiver. Modified in place.
    """
    while len(mailbox.messages) >= mailbox.limit:
        mailbox.not_full.clear()
        await mailbox.not_full.wait()


def post_now(mailbox: Mailbox, message) -> None:
    """Queue a message without waiting, even if the mailbox is full.

    This is for timers and for results of work, whose number is bounded by
    the amount of admitted work.

    Parameters
    ----------
    mailbox
        Mailbox of the receiver. Modified in place.
    message
        Message to queue.
    """
    mailbox.messages.append(message)
    mailbox.not_empty.set()


async def receive_all(mailbox: Mailbox) -> list:
    """Wait until a message is queued, then remove and return all messages.

    Parameters
    ----------
    mailbox
        Mailbox of the calling task. Modified in place.

    Returns
    -------
    list
        One or more messages, oldest first.
    """
    await mailbox.not_empty.wait()
    messages = list(mailbox.messages)
    mailbox.messages.clear()
    mailbox.not_empty.clear()
    mailbox.not_full.set()
    return messages


def start_timer(
    mailbox: Mailbox, timer: effects.SetTimer, make_message: Callable
) -> None:
    """Start a timer that queues a message when it expires.

    Parameters
    ----------
    mailbox
        Mailbox that receives the message.
    timer
        Key and token of the timer, and when it is due in milliseconds of
        the monotonic clock.
    make_message
        Function that takes the timer's key and token and returns the
        message.
    """
    delay_s = max(timer.due_ms - clock.now_ms(), 0) / 1000
    message = make_message(timer.key, timer.token)
    asyncio.get_running_loop().call_later(delay_s, post_now, mailbox, message)
