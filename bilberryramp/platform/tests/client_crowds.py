"""Crowds of clients that a system does not control, and what they cost it.

A form of a crowd is a function that makes the bytes which each of its clients
sends on one connection. The clients count what they sent; a process is
measured from outside.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import pathlib
import socket
from collections.abc import Callable, Iterable, Iterator

__all__ = [
    "Crowd",
    "Usage",
    "begun_heads",
    "bodies",
    "bodies_in_chunks",
    "bodies_in_pieces",
    "end",
    "endless_heads",
    "endless_trailers",
    "frames",
    "gather",
    "make_head",
    "measure",
    "questions_ahead",
    "requests_ahead",
    "settle",
    "silence",
]

# Bytes of each body that are never sent.
MISSING_BYTES = 10
PIECE_BYTES = 8 * 1024
# Receive buffer of a client that does not read.
RECEIVE_BUFFER_BYTES = 4096
SAMPLE_INTERVAL_S = 0.05
# A crowd has settled when it sent nothing for so long.
QUIET_S = 1.5
MAX_SETTLE_S = 30.0
# Length of each line of a head without end, below the limit of a line.
LINE_BYTES = 15_000
DEADLINE_MS = 30_000

_ids = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Crowd:
    """Clients of one port that send and do not stop.

    Attributes
    ----------
    port
        Port on the loopback address that they connect to.
    sent_bytes
        Bytes that they sent.
    opened_count
        Number of connections that they opened.
    tasks
        Tasks of the clients.
    """

    port: int
    sent_bytes: int = 0
    opened_count: int = 0
    tasks: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Usage:
    """Largest values of what a process held while it was measured.

    Attributes
    ----------
    resident_bytes
        Resident memory.
    held_bytes
        Resident memory, and the bytes that the kernel keeps for the process's
        TCP connections: unread ones and those that are not acknowledged.
    descriptors
        Number of open file descriptors.
    """

    resident_bytes: int = 0
    held_bytes: int = 0
    descriptors: int = 0


def make_head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Make the head of a request with an id of its own.

    Parameters
    ----------
    path
        Path of the request.
    *fields
        Further header lines.
    method
        Method of the request.

    Returns
    -------
    bytes
        Head, with its empty line.
    """
    lines = (
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"X-Bilberryramp-Request-Id: crowd-{next(_ids)}",
        f"X-Bilberryramp-Deadline-Ms: {DEADLINE_MS}",
        *fields,
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def bodies(path: str, size: int) -> Iterator[bytes]:
    """Make a body that is written whole but for its last bytes."""
    head = make_head(path, f"Content-Length: {size}")
    yield head + b"x" * (size - MISSING_BYTES)


def bodies_in_pieces(path: str, size: int) -> Iterator[bytes]:
    """Make a body that is written in pieces, without its last bytes."""
    yield make_head(path, f"Content-Length: {size}")
    yield from _pieces(size - MISSING_BYTES)


def bodies_in_chunks(path: str, size: int) -> Iterator[bytes]:
    """Make a body in chunks, without its last ones."""
    yield make_head(path, "Transfer-Encoding: chunked")
    for piece in _pieces(size - MISSING_BYTES):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


def requests_ahead(path: str, size: int, count: int) -> Iterator[bytes]:
    """Make whole requests that are sent without waiting for answers."""
    for _ in range(count):
        yield make_head(path, f"Content-Length: {size}") + b"x" * size


def questions_ahead(path: str, count: int) -> Iterator[bytes]:
    """Make GET requests that are sent without waiting for answers."""
    for _ in range(count):
        yield make_head(path, method="GET")


def frames(size: int) -> Iterator[bytes]:
    """Make a frame of ZeroMQ's protocol without its last bytes.

    The greeting of version 3.0 names the mechanism NULL; READY is the only
    command of that handshake.
    """
    yield b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(52, b"\0")
    name, kind = b"Socket-Type", b"DEALER"
    ready = b"\x05READY" + bytes([len(name)]) + name
    ready += len(kind).to_bytes(4, "big") + kind
    yield bytes([4, len(ready)]) + ready
    yield b"\x02" + size.to_bytes(8, "big")
    yield from _pieces(size - MISSING_BYTES)


def endless_heads(path: str, line_count: int) -> Iterator[bytes]:
    """Make the head of a request whose header lines go on."""
    yield make_head(path)[:-2]
    yield from _lines(line_count)


def endless_trailers(path: str, line_count: int) -> Iterator[bytes]:
    """Make a body in chunks whose trailer lines go on."""
    yield make_head(path, "Transfer-Encoding: chunked") + b"2\r\nit\r\n0\r\n"
    yield from _lines(line_count)


def begun_heads(path: str) -> Iterator[bytes]:
    """Make the begin of a head, which never goes on."""
    yield make_head(path)[:-4]


def silence() -> Iterator[bytes]:
    """Make nothing: the connection is only opened."""
    yield from ()


def _lines(count: int) -> Iterator[bytes]:
    for number in range(count):
        yield f"X-Filler-{number}: ".encode().ljust(LINE_BYTES, b"f") + b"\r\n"


def _pieces(size: int) -> Iterator[bytes]:
    for start in range(0, size, PIECE_BYTES):
        yield b"x" * min(PIECE_BYTES, size - start)


def gather(
    crowd: Crowd,
    count: int,
    form: Callable[[], Iterable[bytes]],
    reconnects: int = 0,
) -> None:
    """Add clients to a crowd, which send at once and stay.

    Parameters
    ----------
    crowd
        Crowd. Modified in place.
    count
        Number of clients.
    form
        Function that makes the bytes of one connection.
    reconnects
        Number of times that each client opens a new connection after the
        server closed its last one. Only with such a number do clients read
        what they are sent.
    """
    for _ in range(count):
        client = _run_client(crowd, form, reconnects)
        crowd.tasks.append(asyncio.create_task(client))


async def _run_client(crowd: Crowd, form: Callable, reconnects: int) -> None:
    for _ in range(1 + reconnects):
        with contextlib.suppress(OSError):
            await _use_connection(crowd, form, bool(reconnects))


async def _use_connection(crowd: Crowd, form: Callable, reads: bool) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        if not reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        await loop.sock_connect(sock, ("127.0.0.1", crowd.port))
        crowd.opened_count += 1
        for piece in form():
            await loop.sock_sendall(sock, piece)
            crowd.sent_bytes += len(piece)
            # A send that does not wait lets no other task run.
            await asyncio.sleep(0)
        if not reads:
            await loop.create_future()
        while await loop.sock_recv(sock, PIECE_BYTES):
            pass


async def settle(crowd: Crowd) -> None:
    """Wait until a crowd sends nothing any more, for a bounded time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + MAX_SETTLE_S
    seen, quiet_since_s = None, loop.time()
    while loop.time() < min(end_s, quiet_since_s + QUIET_S):
        sent = (crowd.sent_bytes, crowd.opened_count)
        if sent != seen:
            seen, quiet_since_s = sent, loop.time()
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def end(crowd: Crowd) -> None:
    """Close all connections of a crowd."""
    for task in crowd.tasks:
        task.cancel()
    await asyncio.gather(*crowd.tasks, return_exceptions=True)


async def measure(pid: int, ports: Iterable[int], usage: Usage) -> None:
    """Measure a process until the task is cancelled or the process has ended.

    Parameters
    ----------
    pid
        Id of the process.
    ports
        Ports at which it listens.
    usage
        Largest values so far. Modified in place.
    """
    ports = frozenset(ports)
    with contextlib.suppress(OSError, KeyError):
        while True:
            await asyncio.to_thread(_sample, pid, ports, usage)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _sample(pid: int, ports: frozenset[int], usage: Usage) -> None:
    folder = pathlib.Path("/proc", str(pid))
    rows = (folder / "status").read_text().splitlines()
    status = dict(row.split(":", 1) for row in rows)
    resident, peak = (
        1024 * int(status[name].split()[0]) for name in ("VmRSS", "VmHWM")
    )
    usage.resident_bytes = max(usage.resident_bytes, peak)
    held = resident + _queued_bytes(ports)
    usage.held_bytes = max(usage.held_bytes, peak, held)
    count = len(os.listdir(folder / "fd"))
    usage.descriptors = max(usage.descriptors, count)


def _queued_bytes(ports: frozenset[int]) -> int:
    """Return the bytes in the kernel of the connections to some ports."""
    total = 0
    for row in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = row.split()
        # For a listening socket, the queue counts connections.
        if state == "0A" or int(local.rpartition(":")[2], 16) not in ports:
            continue
        unsent, _, unread = queues.partition(":")
        total += int(unsent, 16) + int(unread, 16)
    return total
