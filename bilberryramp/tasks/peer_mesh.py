"""ZeroMQ sockets between the nodes and agents of a fleet.

Each process has one socket for receiving and one sending socket for each peer.
Sending never blocks: a message that a peer's queue cannot hold is dropped,
because every message is later repeated or superseded by a newer one.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import zmq

from bilberryramp.telemetry import events
from bilberryramp.wire import errors, fleet_codec

__all__ = [
    "AGENT_PING_INTERVAL_MS",
    "Mesh",
    "broadcast",
    "close",
    "open_mesh",
    "send",
]

# Number of messages that are queued for a peer that reads slowly.
SEND_LIMIT_MESSAGES = 400
# Keep-alive of a connection. A dead connection is detected within the
# timeout, which is well below the time after which a node that was cut off
# is regarded as connected again.
PING_INTERVAL_MS = 400
PING_TIMEOUT_MS = 1200
# Keep-alive of connections between nodes and agents. Each node has one to each
# agent, and most are idle, so pings at the shorter interval would be most of
# the traffic of a large fleet. Sent data still fails after PING_TIMEOUT_MS
# without an acknowledgement.
AGENT_PING_INTERVAL_MS = 5000
CONNECT_TIMEOUT_MS = 800
RECONNECT_MIN_MS = 80
RECONNECT_MAX_MS = 500


@dataclasses.dataclass(slots=True)
class Mesh:
    """Sockets of one node or agent.

    Attributes
    ----------
    ctx
        Context of all sockets.
    receiver
        Socket that receives the messages of all peers.
    deliver
        Function that is called with each received message.
    ping_interval_ms
        Interval of the keep-alive of its connections, in milliseconds.
    senders
        Sending sockets by address of the peer, opened with the first
        message to it.
    dropped
        Number of messages dropped because a peer's queue was full.
    """

    ctx: zmq.Context
    receiver: zmq.Socket
    deliver: Callable
    ping_interval_ms: int = PING_INTERVAL_MS
    senders: dict[str, zmq.Socket] = dataclasses.field(default_factory=dict)
    dropped: int = 0


def open_mesh(
    address: str, deliver: Callable, ping_interval_ms: int = PING_INTERVAL_MS
) -> Mesh:
    """Open the receiving socket and listen for peers.

    Parameters
    ----------
    address
        Host and port to listen on, separated by a colon.
    deliver
        Function that is called with each received message, in the thread of
        the event loop.
    ping_interval_ms
        As in `Mesh`.

    Returns
    -------
    Mesh
        Sockets that are read while the event loop runs.
    """
    ctx = zmq.Context(io_threads=1)
    receiver = ctx.socket(zmq.ROUTER)
    _set_options(receiver, ping_interval_ms)
    receiver.setsockopt(zmq.RCVHWM, 4 * SEND_LIMIT_MESSAGES)
    receiver.bind(f"tcp://{address}")
    mesh = Mesh(ctx, receiver, deliver, ping_interval_ms)
    loop = asyncio.get_running_loop()
    loop.add_reader(receiver.getsockopt(zmq.FD), _receive_all, mesh)
    loop.call_soon(_receive_all, mesh)
    return mesh


def _set_options(sock: zmq.Socket, ping_interval_ms: int) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.HEARTBEAT_IVL, ping_interval_ms)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
    sock.setsockopt(zmq.TCP_MAXRT, PING_TIMEOUT_MS)


def _receive_all(mesh: Mesh) -> None:
    if mesh.receiver.closed:
        return
    # The descriptor is edge-triggered, so all messages are read at once.
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


def send(
    mesh: Mesh, address: str, message, ping_interval_ms: int | None = None
) -> None:
    """Send a message to a peer, or drop it if the peer's queue is full.

    Parameters
    ----------
    mesh
        Sockets of this node. Modified in place.
    address
        Host and port of the peer, separated by a colon.
    message
        Message of a type that `fleet_codec` encodes.
    ping_interval_ms
        Interval of the keep-alive if the connection is opened by this call;
        None for that of `mesh`.
    """
    if address not in mesh.senders:
        _connect(mesh, address, ping_interval_ms or mesh.ping_interval_ms)
    _send_bytes(mesh, address, fleet_codec.encode(message))


def broadcast(mesh: Mesh, addresses, message) -> None:
    """Send a message to several peers.

    Parameters
    ----------
    mesh
        Sockets of this node. Modified in place.
    addresses
        Hosts and ports of the peers.
    message
        Message of a type that `fleet_codec` encodes.
    """
    data = fleet_codec.encode(message)
    for address in addresses:
        _send_bytes(mesh, address, data)


def _send_bytes(mesh: Mesh, address: str, data: bytes) -> None:
    sock = mesh.senders.get(address)
    if sock is None:
        sock = _connect(mesh, address, mesh.ping_interval_ms)
    try:
        sock.send(data, zmq.NOBLOCK)
    except zmq.Again:
        mesh.dropped += 1


def _connect(mesh: Mesh, address: str, ping_interval_ms: int) -> zmq.Socket:
    sock = mesh.ctx.socket(zmq.DEALER)
    _set_options(sock, ping_interval_ms)
    sock.setsockopt(zmq.SNDHWM, SEND_LIMIT_MESSAGES)
    # Queue messages only for a connected peer, so that a peer that
    # reconnects receives no outdated ones.
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    sock.connect(f"tcp://{address}")
    mesh.senders[address] = sock
    return sock


def close(mesh: Mesh) -> None:
    """Stop reading and close all sockets.

    Parameters
    ----------
    mesh
        Sockets of this node, which cannot be used afterwards.
    """
    fd = mesh.receiver.getsockopt(zmq.FD)
    asyncio.get_running_loop().remove_reader(fd)
    for sock in (mesh.receiver, *mesh.senders.values()):
        sock.close(0)
