"""Builders of meshes, peers and messages for the tests of the mesh."""

import asyncio
import contextlib
import random
import socket

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.register import register_messages
from bilberryramp.tasks import peer_mesh
from bilberryramp.wire import frames

GARBAGE = random.Random(45).randbytes(4096)
ENDLESS_HEAD = frames.encode(b"")[:1] + (2**32 - 1).to_bytes(4, "big")


def free_address() -> str:
    """Return an address of the loopback interface that nobody listens to."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def pulse(number: int) -> presence.Keepalive:
    """Return a small message with a number."""
    return presence.Keepalive("u1", 1000, number)


def document(number: int, size: int) -> register_messages.CommittedDocument:
    """Return a message that compression does not make smaller."""
    body = random.Random(number).randbytes(size)
    return register_messages.CommittedDocument(number, body)


def open_mesh(case, address: str | None = None):
    """Open a mesh; return it, its address and the messages that arrive."""
    address = address or free_address()
    received = []
    mesh = peer_mesh.open_mesh(address, received.append)
    case.addAsyncCleanup(close, mesh)
    return mesh, address, received


async def until(condition, seconds: float = 10.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def close(mesh) -> None:
    """Close a mesh and let its tasks end."""
    peer_mesh.close(mesh)
    await asyncio.sleep(0.05)


async def _abort(writer) -> None:
    writer.transport.abort()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


async def connect(case, address: str, data: bytes = b""):
    """Connect as a stranger, send bytes, and return reader and writer."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    case.addAsyncCleanup(_abort, writer)
    writer.write(data)
    return reader, writer


async def listen_once(case, address: str):
    """Listen as a peer that introduces itself and then reads nothing."""
    accepted = asyncio.get_running_loop().create_future()

    def accept(reader, writer) -> None:
        case.addAsyncCleanup(_abort, writer)
        writer.transport.pause_reading()
        writer.write(frames.HELLO)
        if not accepted.done():
            accepted.set_result((reader, writer))

    server = await asyncio.start_server(accept, *address.split(":"))
    case.addCleanup(server.close)
    return accepted
