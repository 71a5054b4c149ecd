"""Clients that send bodies in pieces on connections that they keep.

They connect to the node itself, not through its proxied links, and go on with
an open connection while the node stops, until the node has closed it.
"""

import asyncio
import dataclasses
import http.client
import io
import random
from collections.abc import Callable, Iterator

from bilberryramp.platform import standins
from bilberryramp.soak import local_fleet, observations

__all__ = ["Form", "draw_form", "make_writes", "run_sender"]

# Deadline of requests, the `timeoutMs` of their routes, and the time after
# which a client gives up.
DEADLINE_MS = 6000
CALL_TIMEOUT_S = 7.0
# Times in which slow bodies are sent; the pieces of others are 5 ms apart.
SPANS_S = (0.4, 1.0, 1.5)
FAST_PAUSE_S = 0.005
MAX_PIECES = 8
MAX_BODY_BYTES = 3000
# Longest pause between two requests, and the pause after a failed connection.
MAX_PAUSE_S = 0.06
RECONNECT_S = 0.1
# Share of the requests that engines take long for.
LONG_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Form:
    """How a client sends a body.

    Attributes
    ----------
    is_chunked
        Whether the body is sent in chunks; else its length is stated.
    piece_count
        Number of writes for the body, at least one.
    span_s
        Time from the head to the last of them in seconds.
    body_bytes
        Least size of the body.
    is_long
        Whether engines take long for the request.
    """

    is_chunked: bool
    piece_count: int
    span_s: float
    body_bytes: int
    is_long: bool


@dataclasses.dataclass(slots=True)
class _Sender:
    """A client and its connection.

    Attributes
    ----------
    node
        Node to connect to; another one is chosen once it does not listen.
    reader, writer
        Streams of the connection; None while there is none.
    """

    node: local_fleet.Host
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None


@dataclasses.dataclass(slots=True)
class _Reply:
    """Answer as far as it has come.

    Attributes
    ----------
    status
        HTTP status; 0 before the head is complete.
    headers
        Headers; None before the head is complete.
    body
        Body; None before it is complete.
    """

    status: int = 0
    headers: http.client.HTTPMessage | None = None
    body: bytes | None = None


def draw_form(rng: random.Random) -> Form:
    """Draw how a body is sent."""
    piece_count = rng.randint(2, MAX_PIECES)
    return Form(
        is_chunked=rng.random() < 0.5,
        piece_count=piece_count,
        span_s=rng.choice((FAST_PAUSE_S * piece_count, *SPANS_S)),
        body_bytes=rng.randint(0, MAX_BODY_BYTES),
        is_long=rng.random() < LONG_SHARE,
    )


def make_writes(
    form: Form, path: str, headers: dict[str, str], content: bytes
) -> Iterator[bytes]:
    """Make the writes of a request: its head, then the pieces of its body.

    Parameters
    ----------
    form
        How the body is sent.
    path
        Path of the request.
    headers
        Headers without those of the framing.
    content
        Body, at least one byte for each piece.

    Yields
    ------
    bytes
        Bytes of one write.
    """
    framing = (
        "Transfer-Encoding: chunked"
        if form.is_chunked
        else f"Content-Length: {len(content)}"
    )
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    yield f"POST {path} HTTP/1.1\r\n{rows}{framing}\r\n\r\n".encode()
    size = -(-len(content) // form.piece_count)
    for start in range(0, len(content), size):
        piece = content[start : start + size]
        is_last = start + size >= len(content)
        yield _frame(piece, is_last) if form.is_chunked else piece


def _frame(piece: bytes, is_last: bool) -> bytes:
    end = b"0\r\n\r\n" if is_last else b""
    return b"%x\r\n%s\r\n%s" % (len(piece), piece, end)


async def run_sender(
    fleet: local_fleet.Fleet, name: str, kinds: tuple, rng: random.Random
) -> None:
    """Send one request after another until the soak ends.

    Parameters
    ----------
    fleet
        Running fleet.
    name
        Start of the ids of the requests.
    kinds
        Kinds of the requests, as `run.CallKind`.
    rng
        Random generator of this client.
    """
    sender = _Sender(rng.choice(list(fleet.nodes.values())))
    count = 0
    while not fleet.is_finished:
        await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
        if _is_closed(sender):
            _close(sender)
            if not await _connect(sender):
                sender.node = rng.choice(list(fleet.nodes.values()))
                await asyncio.sleep(RECONNECT_S)
                continue
        count += 1
        await _send_recorded(
            sender,
            fleet.record,
            rng.choice(kinds),
            f"{name}-{count}",
            draw_form(rng),
        )
    _close(sender)


async def _connect(sender: _Sender) -> bool:
    try:
        sender.reader, sender.writer = await asyncio.open_connection(
            *local_fleet.front_address(sender.node)
        )
    except OSError:
        return False
    return True


def _is_closed(sender: _Sender) -> bool:
    """Return whether there is no connection, or the node has closed it."""
    reader = sender.reader
    return reader is None or reader.at_eof() or reader.exception() is not None


def _close(sender: _Sender) -> None:
    if sender.writer is not None:
        sender.writer.close()
    sender.reader = sender.writer = None


def _make_content(request_id: str, form: Form) -> bytes:
    prefix = standins.LONG_PREFIX if form.is_long else b""
    content = prefix + request_id.encode()
    return content.ljust(max(form.body_bytes, form.piece_count), b".")


async def _send_recorded(
    sender: _Sender, record: Callable, kind, request_id: str, form: Form
) -> None:
    """Send a request, read its answer and record both ends of it."""
    content = _make_content(request_id, form)
    headers = standins.make_request_headers(
        request_id, DEADLINE_MS, kind.model
    )
    writes = make_writes(form, kind.path, headers, content)
    began_ms = local_fleet.now_ms()
    record(
        observations.RequestSent(
            request_id,
            sender.node.name,
            kind.may_repeat,
            began_ms,
            kind.service,
            kind.max_attempts,
            DEADLINE_MS,
        )
    )
    reply = _Reply()
    written_ms, has_given_up = await _exchange(sender, writes, form, reply)
    answer = standins.ClientAnswer(0, False, "")
    if reply.body is not None:
        answer = standins.decode_answer(
            reply.status, reply.headers, reply.body, kind.model, content
        )
    is_whole = answer.is_whole or answer.status not in (0, 200)
    ended_ms = local_fleet.now_ms()
    record(
        observations.AnswerReceived(
            request_id,
            answer.status,
            answer.is_whole,
            answer.echoed_id,
            ended_ms,
            answer.error,
            answer.leaving_id,
        )
    )
    record(
        observations.PiecesSent(
            request_id,
            sender.node.name,
            kind.may_repeat,
            began_ms,
            written_ms,
            round(1000 * form.span_s),
            DEADLINE_MS,
            reply.status,
            is_whole,
            not is_whole and not has_given_up,
            ended_ms,
        )
    )
    if not is_whole or written_ms < 0 or _says_close(reply.headers):
        _close(sender)


def _says_close(headers) -> bool:
    return headers.get("Connection", "").lower() == "close"


async def _exchange(
    sender: _Sender, writes: Iterator[bytes], form: Form, reply: _Reply
) -> tuple[int, bool]:
    """Write a request and read its answer, both at the same time.

    Writing ends with the answer or the connection. Return when the last byte
    was written, -1 if it was not, and whether the client has given up.
    """
    pause_s = form.span_s / form.piece_count
    writing = asyncio.create_task(_write(sender.writer, writes, pause_s))
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await _read_reply(sender.reader, reply)
    except TimeoutError:
        return await _end_writing(writing), True
    except (OSError, EOFError):
        # The connection ended within the answer or before it.
        return await _end_writing(writing), False
    return await _end_writing(writing), False


async def _end_writing(writing: asyncio.Task) -> int:
    """Return when the last byte was written; -1 if it was not."""
    writing.cancel()
    (result,) = await asyncio.gather(writing, return_exceptions=True)
    return result if isinstance(result, int) else -1


async def _write(writer, writes: Iterator[bytes], pause_s: float) -> int:
    """Write pieces with pauses; return when the last was written."""
    writer.write(next(writes))
    for piece in writes:
        await asyncio.sleep(pause_s)
        writer.write(piece)
        await writer.drain()
    return local_fleet.now_ms()


async def _read_reply(reader: asyncio.StreamReader, reply: _Reply) -> None:
    """Read an answer to the end that its framing states."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, _, rows = head.partition(b"\r\n")
    reply.headers = http.client.parse_headers(io.BytesIO(rows))
    reply.status = int(line.split()[1])
    if "chunked" in reply.headers.get("Transfer-Encoding", ""):
        reply.body = b"".join([c async for c in _read_chunks(reader)])
    elif (length := reply.headers.get("Content-Length")) is not None:
        reply.body = await reader.readexactly(int(length))
    else:
        reply.body = await reader.read()


async def _read_chunks(reader: asyncio.StreamReader):
    while size := int(await reader.readuntil(b"\r\n"), 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
