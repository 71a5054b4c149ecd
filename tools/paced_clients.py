"""Clients that write requests in pieces and keep their connections.

`measure_stop` uses them. They work on sockets, because they need to know when
the last byte of a request was written and when its connection ended.
"""

import asyncio
import dataclasses
import functools
import itertools
import math
import random
import re
import signal
import socket
import time
from collections.abc import Callable

import msgspec

from bilberryramp.platform import standins

PIECES = 15
BODY_BYTES = 16_000
# Largest body that the configuration allows.
LIMIT_BYTES = 32_000
DEADLINE_MS = 10_000
# Time within which clients begin, about that of the slowest requests, so that
# they are out of step.
SPREAD_S = 3.5


@dataclasses.dataclass(slots=True, frozen=True)
class Form:
    """What clients send, by pauses in seconds and pieces, and its answer."""

    pieces: Callable
    is_stream: bool = False
    batch: int = 1
    read_pause_s: float = 0.0
    body_bytes: int = BODY_BYTES
    answer_bytes: int = 0
    signum: int = signal.SIGTERM
    submits: bool = False
    path: str = ""


@dataclasses.dataclass(slots=True)
class Sent:
    """A request that was sent, with times of the monotonic clock."""

    request_id: str
    node: int
    client_port: int
    begun_s: float
    written_s: float = math.inf
    ended_s: float = math.inf
    status: int = 0
    fate: str = ""


@dataclasses.dataclass(slots=True)
class Site:
    """Started programs, of which the first to be addressed gets the signal."""

    addresses: list
    pid: int
    wait: Callable
    submit: Callable
    list_executed: Callable
    until_s: float = math.inf
    sent: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Conn:
    """A client's connection, with bytes that have been received on it."""

    sock: socket.socket
    node: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


def split(data, count=PIECES):
    size = -(-len(data) // count)
    return (data[i : i + size] for i in range(0, len(data), size))


def framed(head, body):
    return head + b"Content-Length: %d\r\n\r\n" % len(body)


def in_chunks(head, body, over_s=1.5):
    yield 0, head + b"Transfer-Encoding: chunked\r\n\r\n"
    for piece in split(body):
        yield over_s / PIECES, b"%x\r\n%s\r\n" % (len(piece), piece)
    yield 0, b"0\r\n\r\n"


def with_length(head, body):
    yield 0, framed(head, body)
    for piece in split(body):
        yield 1.5 / PIECES, piece


def at_once(head, body):
    yield 0, framed(head, body) + body


def in_two(head, body):
    yield 0, framed(head, body)
    yield 0.005, body


def with_cut_head(head, body):
    yield 0, head[:40]
    yield 0.005, framed(head, body)[40:] + body


def with_slow_head(head, body):
    for piece in split(framed(head, body)):
        yield 1.5 / PIECES, piece
    yield 0, body


def stalling(head, body):
    yield from itertools.islice(in_chunks(head, body), PIECES // 2)
    yield math.inf, b""


IN_2_S = functools.partial(in_chunks, over_s=2.0)
# Forms by the names that `measure_stop` gives them.
FORMS = {
    "a": Form(in_chunks, is_stream=True),
    "b": Form(in_chunks),
    "c": Form(with_length),
    "d": Form(in_two),
    "e": Form(with_cut_head),
    "f": Form(at_once),
    "g": Form(at_once, is_stream=True),
    "h": Form(at_once, read_pause_s=0.06, answer_bytes=600_000),
    "i": Form(stalling),
    "j": Form(at_once, batch=2),
    "k": Form(with_slow_head),
    "l": Form(in_chunks, body_bytes=3 * LIMIT_BYTES),
    "m": Form(in_chunks, is_stream=True, signum=signal.SIGHUP),
    "n": Form(in_chunks, is_stream=True, submits=True),
    "n0": Form(in_chunks, is_stream=True, submits=True, signum=0),
    "o": Form(IN_2_S, path="/services/corrections/x"),
    "p": Form(IN_2_S, is_stream=True, path="/v1/chat/completions"),
}


def parse_answer(data):
    """Return status, whether it is the last, and size of a whole answer."""
    size = data.find(b"\r\n\r\n") + 4
    if size < 4:
        return None
    head = bytes(data[:size]).lower()
    if length := re.search(rb"\r\ncontent-length: *(\d+)", head):
        size += int(length[1])
    else:
        while row := re.compile(rb"([0-9a-fA-F]+)\r\n").match(data, size):
            size = row.end() + int(row[1], 16) + 2
            if not int(row[1], 16):
                break
        else:
            return None
    if len(data) < size:
        return None
    return int(head.split()[1]), b"\r\nconnection: close" in head, size


async def read_answers(form, conn, batch):
    """Read an answer to each request; return whether the connection stays."""
    loop = asyncio.get_running_loop()
    for sent in batch:
        while (answer := parse_answer(conn.data)) is None:
            try:
                received = await loop.sock_recv(conn.sock, 30_000)
            except OSError:
                received = b""
            if not received:
                return False
            conn.data += received
            await asyncio.sleep(form.read_pause_s)
        sent.status, is_last, size = answer
        sent.ended_s = time.monotonic()
        del conn.data[:size]
        if is_last:
            return False
    return True


async def send_batch(form, conn, batch):
    """Send requests on a connection; return whether it can be kept.

    A client goes on sending after an answer, unless the connection ended.
    """
    loop = asyncio.get_running_loop()
    answers = asyncio.create_task(read_answers(form, conn, batch))
    try:
        for pause_s, data in make_pieces(form, batch):
            limit_s = None if pause_s == math.inf else pause_s
            if batch[-1].status:
                await asyncio.sleep(pause_s)
            elif pause_s:
                await asyncio.wait({answers}, timeout=limit_s)
            if pause_s == math.inf or (
                answers.done() and not batch[-1].status
            ):
                return False
            await loop.sock_sendall(conn.sock, data)
        for sent in batch:
            sent.written_s = time.monotonic()
        return await answers
    except OSError:
        await answers
        return False
    finally:
        if answers.done():
            for sent in batch:
                sent.ended_s = min(sent.ended_s, time.monotonic())
        answers.cancel()


def make_pieces(form, batch):
    """Yield pauses and bytes of requests; several are written at once."""
    pieces = itertools.chain.from_iterable(
        form.pieces(make_head(form, sent.request_id), make_body(form))
        for sent in batch
    )
    if len(batch) == 1:
        yield from pieces
    else:
        yield 0, b"".join(data for _, data in pieces)


def make_head(form, request_id):
    return (
        f"POST {form.path or '/file/x'} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Bilberryramp-Request-Id: {request_id}\r\n"
        f"{standins.DEADLINE_HEADER}: {DEADLINE_MS}\r\n"
        f"Idempotency-Key: {request_id}\r\n"
    ).encode()


def make_body(form):
    if not form.path.startswith("/v1/"):
        return b"x" * form.body_bytes
    fields = {"model": "abay-passes-3b", "messages": [], "stream": True}
    # At 400 tokens a second, a stream of 1.8 s.
    body = msgspec.json.encode(fields | {"max_tokens": 720})
    return body.ljust(form.body_bytes)


def is_closed(conn):
    """Return whether the server has closed an idle connection."""
    try:
        return not conn.sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


async def connect(site, form, node):
    """Connect to a node, or to another one if it does not accept."""
    others = [n for n in range(len(site.addresses)) if n != node]
    for choice in (node, *random.sample(others, len(others))):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if form.read_pause_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, site.addresses[choice])
            return Conn(sock, choice)
        except OSError:
            sock.close()
    return None


async def run(site, form, name, node):
    """Send requests until the end of the play, or until no node accepts."""
    await asyncio.sleep(random.random() * SPREAD_S)
    conn = None
    try:
        for number in itertools.count():
            if conn is not None and is_closed(conn):
                conn.sock.close()
                conn = None
            conn = conn or await connect(site, form, node)
            if conn is None or time.monotonic() > site.until_s:
                return
            node, port = conn.node, conn.sock.getsockname()[1]
            batch = [
                Sent(f"{name}-{number}-{k}", node, port, time.monotonic())
                for k in range(form.batch)
            ]
            site.sent += batch
            if not await send_batch(form, conn, batch):
                conn.sock.close()
                conn = None
            await asyncio.sleep(random.random() * 0.02)
    finally:
        if conn is not None:
            conn.sock.close()
