"""The sockets of an entry or upstream process towards control."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable

import zmq
import zmq.asyncio

from bilberryramp.decisions.shared import (
    feed_messages,
    role_messages,
    subscription,
)
from bilberryramp.settings import schema
from bilberryramp.tasks import mailbox
from bilberryramp.telemetry import events
from bilberryramp.wire import codec

__all__ = ["ControlLink", "send_command", "open_link", "receive", "send"]

_SEND_LIMIT_MESSAGES = 1000


@dataclasses.dataclass(slots=True)
class ControlLink:
    """The sockets to control.

    Attributes
    ----------
    name
        The process's name, which control answers to.
    sockets
        One for each control replica, by its name.
    asks
        How many questions were sent.
    """

    name: str
    sockets: dict[str, zmq.asyncio.Socket]
    commands_sent: int = 0


def open_link(
    name: str, controls: tuple[schema.ControlReplica, ...]
) -> ControlLink:
    """Open sockets to all control replicas.

    Parameters
    ----------
    name
        The process's name, which control answers to.
    controls
        The replicas.

    Returns
    -------
    ControlLink
        Connecting in the background.
    """
    ctx = zmq.asyncio.Context.instance()
    sockets = {}
    for control in controls:
        sock = ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.IDENTITY, name.encode())
        sock.setsockopt(zmq.LINGER, 200)
        sock.setsockopt(zmq.SNDHWM, _SEND_LIMIT_MESSAGES)
        # Nothing is queued for a replica that is down, or it would receive
        # messages long out of date when it returns.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.connect(control.address)
        sockets[control.replica_id] = sock
    return ControlLink(name, sockets)


async def send(link: ControlLink, replica_id: str, message) -> None:
    """Send a message; it is lost when the replica cannot be reached.

    Parameters
    ----------
    link
        The sockets.
    replica_id
        The replica's name.
    message
        A registered message.
    """
    try:
        data = codec.encode(message)
        await link.sockets[replica_id].send(data, zmq.NOBLOCK)
    except zmq.Again:
        return


async def send_command(
    link: ControlLink,
    sub: subscription.Subscription,
    effect: role_messages.AskControl,
) -> None:
    """Send a question; one repeated goes to the next replica.

    Any replica passes it on to the leader.

    Parameters
    ----------
    link
        The sockets.
    sub
        Tells which replica answers heartbeats.
    wanted
        The question.
    """
    replica_id = sub.controls[
        (sub.at + link.commands_sent) % len(sub.controls)
    ]
    link.commands_sent += 1
    message = feed_messages.Ask(link.name, effect.ask_id, effect.command)
    await send(link, replica_id, message)


async def receive(
    link: ControlLink, inbox: mailbox.Mailbox, wrap: Callable
) -> None:
    """Post each message from control, for as long as the task lives.

    Parameters
    ----------
    link
        The sockets.
    inbox
        The role's mailbox.
    wrap
        Makes the posted message from the decoded one.
    """
    readers = (_forward(sock, inbox, wrap) for sock in link.sockets.values())
    await asyncio.gather(*readers)


async def _forward(sock, inbox, wrap) -> None:
    async for message in _messages(sock):
        await mailbox.post(inbox, wrap(message))


async def _messages(sock) -> AsyncIterator:
    while True:
        data = await sock.recv()
        try:
            yield codec.decode(data)
        except codec.MalformedMessageError as exc:
            events.emit(events.FRAME_DROPPED, reason=str(exc))
