"""Simulated HTTP server that breaks the protocol in one of several ways.

Each fault is a function by name in `FAULTS`. It takes the connection, the
request and the well-formed answer to it, and writes what the faulty server
sends. Endless faults write until the client closes the connection.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Callable

__all__ = ["FAULTS", "FaultyServer", "Request", "start", "stop"]

# Time after which a late copy of an answer is written.
LATE_S = 0.02
# Size of the pieces of an endless answer.
PIECE_BYTES = 16 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A request that the server has read.

    Attributes
    ----------
    line
        Request line.
    headers
        Values by name in lower case.
    body
        Body.
    """

    line: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class FaultyServer:
    """A running faulty server.

    Attributes
    ----------
    answer
        Function that takes a `Request` and returns the bytes of the
        well-formed answer.
    fault
        Name of the current fault, a key of `FAULTS`.
    answers_early
        Whether it answers when it has read the head of a request. The body
        is not read then.
    requests
        Requests that it has read.
    connections
        Number of connections that it has accepted.
    closed_by_client
        Number of connections that the client has closed.
    port
        Port on loopback; `start` sets it.
    server, writers
        Listening server, and open connections.
    """

    answer: Callable[[Request], bytes]
    fault: str = "none"
    answers_early: bool = False
    requests: list[Request] = dataclasses.field(default_factory=list)
    connections: int = 0
    closed_by_client: int = 0
    port: int = 0
    server: asyncio.Server | None = None
    writers: set = dataclasses.field(default_factory=set)


async def start(server: FaultyServer) -> None:
    """Start to listen on a free port of the loopback interface.

    Parameters
    ----------
    server
        Server to start. Modified in place.
    """

    async def serve(reader, writer) -> None:
        server.connections += 1
        server.writers.add(writer)
        try:
            while (
                request := await _read_request(reader, server.answers_early)
            ) is not None:
                server.requests.append(request)
                fault = FAULTS[server.fault]
                await fault(reader, writer, request, server.answer(request))
                await writer.drain()
            server.closed_by_client += 1
        except (ConnectionError, TimeoutError):
            server.closed_by_client += 1
        finally:
            server.writers.discard(writer)
            writer.close()

    server.server = await asyncio.start_server(serve, "127.0.0.1", 0)
    server.port = server.server.sockets[0].getsockname()[1]


async def stop(server: FaultyServer) -> None:
    """Stop listening and abort all connections.

    Parameters
    ----------
    server
        Server that `start` has started.
    """
    server.server.close()
    for writer in list(server.writers):
        writer.transport.abort()
    await server.server.wait_closed()


async def _read_request(reader, head_only: bool) -> Request | None:
    """Read a request; None if the client has closed the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    line, *rows = head.split("\r\n")
    pairs = (row.partition(":") for row in rows if row)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if head_only:
        return Request(line, headers, b"")
    length = int(headers.get("content-length", "0"))
    return Request(line, headers, await reader.readexactly(length))


async def _write(writer, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


async def _write_endlessly(writer, head: bytes, piece: bytes) -> None:
    await _write(writer, head)
    piece *= max(PIECE_BYTES // len(piece), 1)
    while True:
        await _write(writer, piece)
        # A drained writer does not let other tasks run.
        await asyncio.sleep(0)


async def _none(_reader, writer, _request, answer) -> None:
    await _write(writer, answer)


async def _copy_late(_reader, writer, _request, answer) -> None:
    """Write the answer once more on the idle or reused connection."""
    await _write(writer, answer)
    loop = asyncio.get_running_loop()
    loop.call_later(LATE_S, _write_if_open, writer, answer)


def _write_if_open(writer, data: bytes) -> None:
    if not writer.is_closing():
        with contextlib.suppress(ConnectionError):
            writer.write(data)


async def _copy_at_once(_reader, writer, _request, answer) -> None:
    await _write(writer, answer + answer)


async def _half_copy(_reader, writer, _request, answer) -> None:
    """Write the first half of the answer's head once more."""
    head_bytes = answer.index(b"\r\n\r\n")
    await _write(writer, answer + answer[: head_bytes // 2])


async def _longer_than_said(_reader, writer, _request, answer) -> None:
    await _write(writer, answer + b"x" * PIECE_BYTES)


async def _garbage_first(_reader, writer, _request, answer) -> None:
    await _write(writer, b"\x00\xff garbage\r\n" + answer)


async def _endless_head(_reader, writer, _request, _answer) -> None:
    await _write_endlessly(writer, b"HTTP/1.1 200 OK\r\n", b"x-filler: y\r\n")


async def _endless_line(_reader, writer, _request, _answer) -> None:
    await _write_endlessly(
        writer, b"HTTP/1.1 200 OK\r\nx-filler: ", b"y" * PIECE_BYTES
    )


async def _endless_name(_reader, writer, _request, _answer) -> None:
    await _write_endlessly(
        writer, b"HTTP/1.1 200 OK\r\nx-", b"y" * PIECE_BYTES
    )


async def _endless_reason(_reader, writer, _request, _answer) -> None:
    await _write_endlessly(writer, b"HTTP/1.1 200 ", b"y" * PIECE_BYTES)


async def _endless_garbage(_reader, writer, _request, _answer) -> None:
    await _write_endlessly(writer, b"", b"\x00\xff garbage\r\n")


async def _endless_informational(_reader, writer, _request, _answer) -> None:
    await _write_endlessly(writer, b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")


def _head_without_length(answer: bytes) -> bytes:
    head = answer.partition(b"\r\n\r\n")[0]
    rows = head.split(b"\r\n")
    return b"\r\n".join(
        row for row in rows if not row.lower().startswith(b"content-length")
    )


async def _endless_body(_reader, writer, _request, answer) -> None:
    """Write a body that only the end of the connection would end."""
    head = _head_without_length(answer) + b"\r\n\r\n"
    await _write_endlessly(writer, head, b"x" * PIECE_BYTES)


async def _endless_sized_body(_reader, writer, _request, answer) -> None:
    """Write a body with a length that is never reached."""
    head = _head_without_length(answer)
    head += b"\r\nContent-Length: %d\r\n\r\n" % 2**62
    await _write_endlessly(writer, head, b"x" * PIECE_BYTES)


async def _endless_events(_reader, writer, _request, answer) -> None:
    head = _head_without_length(answer).replace(
        b"text/plain", b"text/event-stream"
    )
    head += b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    await _write_endlessly(writer, head, b"11\r\nid: 1\ndata: abc\n\n\r\n")


async def _endless_chunks(_reader, writer, _request, answer) -> None:
    head = _head_without_length(answer)
    head += b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    await _write_endlessly(writer, head, b"1\r\nx\r\n")


async def _endless_chunk_extension(_reader, writer, _request, answer) -> None:
    head = _head_without_length(answer)
    head += b"\r\nTransfer-Encoding: chunked\r\n\r\n1;"
    await _write_endlessly(writer, head, b"x" * PIECE_BYTES)


async def _endless_trailers(_reader, writer, _request, answer) -> None:
    head = _head_without_length(answer)
    head += b"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    await _write_endlessly(writer, head, b"x-filler: y\r\n")


async def _cut_in_half(_reader, writer, _request, answer) -> None:
    await _write(writer, answer[: len(answer) - 2])
    writer.close()


async def _close_after(_reader, writer, _request, answer) -> None:
    """Write the answer, which may be a part of one, and close."""
    await _write(writer, answer)
    writer.close()


async def _silent(reader, _writer, _request, _answer) -> None:
    """Answer nothing until the client closes the connection."""
    await reader.read()


async def _unframed_close(_reader, writer, _request, answer) -> None:
    """Write the answer without its length, and close."""
    await _write(writer, _without_length(answer))
    writer.close()


async def _unframed_reset(_reader, writer, _request, answer) -> None:
    """Write the answer without its length, and reset the connection."""
    await _write(writer, _without_length(answer))
    await asyncio.sleep(LATE_S)
    _reset(writer)


async def _unframed_reset_at_once(_reader, writer, _request, answer) -> None:
    await _write(writer, _without_length(answer))
    _reset(writer)


async def _unframed_reset_amid(reader, writer, request, answer) -> None:
    """Reset the connection while the rest of the request arrives."""
    await _write(writer, _without_length(answer))
    if not request.line.startswith("GET"):
        await reader.read(PIECE_BYTES)
    _reset(writer)


async def _unframed_unread_close(_reader, writer, _request, answer) -> None:
    """Close the connection, which resets it if bytes are unread."""
    await _write(writer, _without_length(answer))
    await asyncio.sleep(LATE_S)
    writer.close()


def _reset(writer) -> None:
    sock = writer.get_extra_info("socket")
    # Closing a socket without lingering sends a reset.
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def _without_length(answer: bytes) -> bytes:
    body = answer.partition(b"\r\n\r\n")[2]
    return _head_without_length(answer) + b"\r\n\r\n" + body


FAULTS: dict[str, Callable] = {
    "none": _none,
    "copy_late": _copy_late,
    "copy_at_once": _copy_at_once,
    "half_copy": _half_copy,
    "longer_than_said": _longer_than_said,
    "garbage_first": _garbage_first,
    "endless_head": _endless_head,
    "endless_line": _endless_line,
    "endless_name": _endless_name,
    "endless_reason": _endless_reason,
    "endless_garbage": _endless_garbage,
    "endless_informational": _endless_informational,
    "endless_body": _endless_body,
    "endless_sized_body": _endless_sized_body,
    "endless_events": _endless_events,
    "endless_chunks": _endless_chunks,
    "endless_chunk_extension": _endless_chunk_extension,
    "endless_trailers": _endless_trailers,
    "cut_in_half": _cut_in_half,
    "close_after": _close_after,
    "silent": _silent,
    "unframed_close": _unframed_close,
    "unframed_reset": _unframed_reset,
    "unframed_reset_at_once": _unframed_reset_at_once,
    "unframed_reset_amid": _unframed_reset_amid,
    "unframed_unread_close": _unframed_unread_close,
}
