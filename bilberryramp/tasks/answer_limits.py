"""Bounds on what an upstream may send, and the check of its answers' heads.

A faulty upstream may send bytes that never become an answer: informational
responses, header lines, chunk extensions or chunks of one byte, without end.
Even if they are not kept, parsing them takes the event loop's time from all
other exchanges of the process. `install` therefore counts what arrives on each
connection, hands it to the parser in pieces, and closes the connection once
it holds more than an answer can need. It also ends an exchange whose head
`answer_heads` finds invalid, before the head reaches the exchange.
"""

import dataclasses
import weakref
from collections.abc import Callable, Iterator

import aiohttp

from bilberryramp.tasks import answer_heads
from bilberryramp.telemetry import events

__all__ = [
    "FRAMING_ALLOWANCE_BYTES",
    "FRAMING_BYTES_PER_BODY_BYTE",
    "MAX_HEAD_BYTES",
    "MAX_INFORMATIONAL",
    "ExcessiveAnswerError",
    "install",
]

# Bytes of all heads of one answer, informational responses included; four
# times the longest header line that this system accepts itself.
MAX_HEAD_BYTES = 64 * 1024
# Informational responses before an answer. Servers send one or two; those that
# report progress with status 102 do so every few seconds.
MAX_INFORMATIONAL = 64
# Chunk sizes, chunk extensions, line ends and trailers are the framing of a
# body. A chunk needs at least five bytes of it, so that chunks of three bytes
# or more are never cut off, and shorter ones only in long bodies.
FRAMING_BYTES_PER_BODY_BYTE = 2
FRAMING_ALLOWANCE_BYTES = 64 * 1024
# Sizes of the pieces that are parsed at once, before and after the end of the
# head. They bound the time until the counts are checked.
HEAD_PIECE_BYTES = 1024
BODY_PIECE_BYTES = 16 * 1024
# Bytes that the event loop reads from a connection before it turns to others.
READ_BYTES = 32 * 1024


class ExcessiveAnswerError(aiohttp.ClientPayloadError):
    """Raised when an answer exceeds a bound of this module."""


@dataclasses.dataclass(slots=True)
class _Received:
    """What a connection has received of its present answer.

    Attributes
    ----------
    head_bytes
        Number of bytes until the end of the final head.
    informational
        Number of informational responses.
    later_bytes
        Number of bytes after the end of the final head, framing included.
    payload
        Body of the answer; None until the final head is complete.
    """

    head_bytes: int = 0
    informational: int = 0
    later_bytes: int = 0
    payload: aiohttp.StreamReader | None = None


def install(
    connector: aiohttp.BaseConnector,
    on_excess: Callable[[str], None] = lambda address: None,
) -> None:
    """Make a connector's connections close on excessive or invalid answers.

    The request then fails with `ExcessiveAnswerError` or
    `answer_heads.MalformedHeadError`, or with another `aiohttp.ClientError`
    if its answer had begun to be read.

    Parameters
    ----------
    connector
        Connector of a client session. Its method ``connect`` is replaced.
    on_excess
        Called with the host and port of the upstream of an excessive answer.
    """
    take = connector.connect

    async def connect(req, traces, timeout):
        conn = await take(req, traces, timeout)
        if conn.transport is not None:
            conn.transport.max_size = READ_BYTES
        _count_from_here(conn.protocol, on_excess)
        return conn

    connector.connect = connect


def _count_from_here(protocol, on_excess) -> None:
    """Count the bytes of the next answer on a connection.

    The methods of the protocol's class are wrapped anew for each answer.
    """
    cls = type(protocol)
    received = _Received()
    # A strong reference would keep the protocol in a cycle with its methods.
    ref = weakref.ref(protocol)

    def feed_data(item, size=0) -> None:
        message, payload = item
        if 100 <= message.code < 200 and message.code != 101:
            received.informational += 1
        elif received.payload is None:
            received.payload = payload
            problem = answer_heads.find_problem(
                message.code, message.reason, message.raw_headers
            )
            if problem:
                _refuse_head(ref(), received, problem)
                return
        cls.feed_data(ref(), item, size)

    def data_received(data: bytes) -> None:
        protocol = ref()
        for piece in _pieces(protocol, received, data):
            cls.data_received(protocol, piece)
            reason = _excess(protocol, received)
            if reason and _is_open(protocol):
                on_excess(_break_off(protocol, received, reason))

    protocol.feed_data = feed_data
    protocol.data_received = data_received


def _pieces(protocol, received: _Received, data: bytes) -> Iterator[bytes]:
    """Split received bytes, and count each piece before it is parsed.

    Bytes after the end of the answer belong to no request. They end the
    connection and are not parsed.
    """
    if not data:
        # The parser goes on with what it has kept while reading was paused.
        yield data
        return
    start = 0
    while start < len(data) and _is_open(protocol):
        if received.payload is not None and received.payload.is_eof():
            protocol.force_close()
            protocol.transport.abort()
            return
        if not protocol.transport.is_reading():
            # The parser keeps the rest until reading is resumed.
            end = len(data)
        elif received.payload is None:
            end = start + HEAD_PIECE_BYTES
        else:
            end = start + BODY_PIECE_BYTES
        piece = data[start:end]
        start = end
        if received.payload is None:
            received.head_bytes += len(piece)
        else:
            received.later_bytes += len(piece)
        yield piece


def _is_open(protocol) -> bool:
    transport = protocol.transport
    return transport is not None and not transport.is_closing()


def _excess(protocol, received: _Received) -> str:
    """Return the bound that an answer exceeds; empty if there is none."""
    if received.payload is None:
        if received.informational > MAX_INFORMATIONAL:
            return "informational responses"
        return "head" if received.head_bytes > MAX_HEAD_BYTES else ""
    if (
        received.payload.is_eof()
        or not _is_open(protocol)
        # The parser may keep bytes of the body, which are not counted yet.
        or not protocol.transport.is_reading()
    ):
        return ""
    body_bytes = received.payload.total_raw_bytes
    allowed_bytes = (
        FRAMING_ALLOWANCE_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body_bytes
    )
    is_excessive = received.later_bytes - body_bytes > allowed_bytes
    return "framing" if is_excessive else ""


def _break_off(protocol, received: _Received, reason: str) -> str:
    """Close a connection; return the host and port of the upstream."""
    address = _peer_address(protocol)
    events.emit(events.ANSWER_EXCESSIVE, upstream=address, part=reason)
    exc = ExcessiveAnswerError(f"the answer has too much {reason}")
    _end_with(protocol, received, exc)
    return address


def _refuse_head(protocol, received: _Received, part: str) -> None:
    """Close a connection whose answer has an invalid head."""
    events.emit(
        events.ANSWER_MALFORMED, upstream=_peer_address(protocol), part=part
    )
    exc = answer_heads.MalformedHeadError(f"the answer has an invalid {part}")
    _end_with(protocol, received, exc)


def _peer_address(protocol) -> str:
    peer = protocol.transport.get_extra_info("peername") or ("", 0)
    host, port = peer[:2]
    return f"{host}:{port}"


def _end_with(protocol, received: _Received, exc: Exception) -> None:
    if received.payload is not None:
        received.payload.set_exception(exc)
    protocol.set_exception(exc)
    protocol.transport.abort()
