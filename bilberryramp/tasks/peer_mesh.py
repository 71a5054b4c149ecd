"""The sockets between fleet nodes.

One receiving socket, and one sending socket for each other node. Sending
never waits: what a peer cannot take now is dropped, since every message is
repeated or replaced by a newer one.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import zmq

from bilberryramp.telemetry import events
from bilberryramp.wire import errors, fleet_codec

__all__ = ["Mesh", "broadcast", "close", "open_mesh", "send"]

# Messages that may wait for a peer that is slow to read.
SEND_LIMIT_MESSAGES = 400
# A connection that is silent is found within this time, in milliseconds,
# well inside the span after which a node counts as in touch again.
PING_INTERVAL_MS = 400
PING_TIMEOUT_MS = 1200
CONNECT_TIMEOUT_MS = 800
RECONNECT_MIN_MS = 80
RECONNECT_MAX_MS = 500


@dataclasses.dataclass(slots=True)
class Mesh:
    """A node's sockets.

    Attributes
    ----------
    deliver
        Called with each message that arrives.
    """

    ctx: zmq.Context
    receiver: zmq.Socket
    deliver: Callable
    senders: dict[str, zmq.Socket] = dataclasses.field(default_factory=dict)
    dropped: int = 0


def open_mesh(address: str, deliver: Callable) -> Mesh:
    """Listen for other nodes.

    Parameters
    ----------
    address
        Host and port.
    deliver
        Called with each message in the event loop's thread.

    Returns
    -------
    Mesh
        Reading as long as the event loop runs.
    """
    ctx = zmq.Context(io_threads=1)
    receiver = ctx.socket(zmq.ROUTER)
    _set_options(receiver)
    receiver.setsockopt(zmq.RCVHWM, 4 * SEND_LIMIT_MESSAGES)
    receiver.bind(f"tcp://{address}")
    mesh = Mesh(ctx, receiver, deliver)
    loop = asyncio.get_running_loop()
    loop.add_reader(receiver.getsockopt(zmq.FD), _receive_all, mesh)
    loop.call_soon(_receive_all, mesh)
    return mesh


def _set_options(sock: zmq.Socket) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
    sock.setsockopt(zmq.TCP_MAXRT, PING_TIMEOUT_MS)


def _receive_all(mesh: Mesh) -> None:
    if mesh.receiver.closed:
        return
    # The descriptor signals only changes, so everything is read at once.
    while mesh.receiver.getsockopt(zmq.EVENTS) & zmq.POLLIN:
        try:
            frames = mesh.receiver.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
        try:
            message = fleet_codec.decode(frames[-1])
        except errors.MalformedMessageError as exc:
            events.emit(events.FRAME_DROPPED, reason=str(exc))
            continue
        mesh.deliver(message)


def send(mesh: Mesh, address: str, message) -> None:
    """Send a message to one node, or drop it.

    Parameters
    ----------
    mesh, address, message
        Where to, and a registered message.
    """
    _send_bytes(mesh, address, fleet_codec.encode(message))


def broadcast(mesh: Mesh, addresses, message) -> None:
    """Send a message to several nodes.

    Parameters
    ----------
    mesh, addresses, message
        Where to, and a registered message.
    """
    data = fleet_codec.encode(message)
    for address in addresses:
        _send_bytes(mesh, address, data)


def _send_bytes(mesh: Mesh, address: str, data: bytes) -> None:
    sock = mesh.senders.get(address) or _connect(mesh, address)
    try:
        sock.send(data, zmq.NOBLOCK)
    except zmq.Again:
        mesh.dropped += 1


def _connect(mesh: Mesh, address: str) -> zmq.Socket:
    sock = mesh.ctx.socket(zmq.DEALER)
    _set_options(sock)
    sock.setsockopt(zmq.SNDHWM, SEND_LIMIT_MESSAGES)
    # Queued only for a peer that is connected, so none gets stale messages.
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    sock.connect(f"tcp://{address}")
    mesh.senders[address] = sock
    return sock


def close(mesh: Mesh) -> None:
    """Close all sockets.

    Parameters
    ----------
    mesh
        Not used afterwards.
    """
    fd = mesh.receiver.getsockopt(zmq.FD)
    asyncio.get_running_loop().remove_reader(fd)
    for sock in (mesh.receiver, *mesh.senders.values()):
        sock.close(0)
