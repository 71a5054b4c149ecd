"""Sockets of an entry or upstream process to the control replicas."""

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
    """Sockets to the control replicas.

    Attributes
    ----------
    name
        Name of the process, to which control addresses its answers.
    sockets
        Socket to each control replica, by the replica's id.
    commands_sent
        Number of commands sent, from which the replica that receives the
        next command is chosen.
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
        Name of the process, to which control addresses its answers.
    controls
        Ids and addresses of the replicas.

    Returns
    -------
    ControlLink
        Sockets that connect in the background.
    """
    ctx = zmq.asyncio.Context.instance()
    sockets = {}
    for control in controls:
        sock = ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.IDENTITY, name.encode())
        sock.setsockopt(zmq.LINGER, 200)
        sock.setsockopt(zmq.SNDHWM, _SEND_LIMIT_MESSAGES)
        # Queue no messages for a replica that is down: it would receive
        # outdated ones when it returns.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.connect(control.address)
        sockets[control.replica_id] = sock
    return ControlLink(name, sockets)


async def send(link: ControlLink, replica_id: str, message) -> None:
    """Send a message, or drop it if the replica cannot be reached.

    Parameters
    ----------
    link
        Sockets to the replicas.
    replica_id
        Id of the replica.
    message
        Message of a type that `codec` encodes.
    """
    try:
        data = codec.encode(message)
        await link.sockets[replica_id].send(data, zmq.NOBLOCK)
    except zmq.Again:
        return


async def send_command(
    link: ControlLink,
    sub: subscription.Subscription,
    effect: role_messages.SendCommand,
) -> None:
    """Send a command to a replica, which forwards it to the leader.

    Each command goes to the replica after that of the previous command, so
    that a repeated command reaches another replica.

    Parameters
    ----------
    link
        Sockets to the replicas. Modified in place.
    sub
        Subscription of the process, which names the replicas and the one
        that is in use.
    effect
        Command to send, with its id.
    """
    replica_id = sub.controls[
        (sub.control_position + link.commands_sent) % len(sub.controls)
    ]
    link.commands_sent += 1
    message = feed_messages.CommandRequest(
        link.name, effect.command_id, effect.command
    )
    await send(link, replica_id, message)


async def receive(
    link: ControlLink, inbox: mailbox.Mailbox, make_message: Callable
) -> None:
    """Receive messages from control and post them until cancelled.

    Parameters
    ----------
    link
        Sockets to the replicas.
    inbox
        Mailbox of the role's task.
    make_message
        Function that takes a decoded message and returns the message to
        post.
    """
    readers = (
        _forward(sock, inbox, make_message) for sock in link.sockets.values()
    )
    await asyncio.gather(*readers)


async def _forward(sock, inbox, make_message) -> None:
    async for message in _receive_messages(sock):
        await mailbox.post(inbox, make_message(message))


async def _receive_messages(sock) -> AsyncIterator:
    while True:
        data = await sock.recv()
        try:
            yield codec.decode(data)
        except codec.MalformedMessageError as exc:
            events.emit(events.FRAME_DROPPED, reason=str(exc))
