"""Length-prefixed frames on the connections between nodes and agents.

A frame is its kind (one byte), the length of its payload (four bytes, big
endian) and the payload. The first frame of each side is a `HELLO`.
"""

import dataclasses
import enum
import struct
from collections.abc import Iterator

from bilberryramp.wire import errors, fleet_codec

__all__ = [
    "Decoder",
    "HELLO",
    "Kind",
    "MAX_MESSAGE_BYTES",
    "PING",
    "PONG",
    "encode",
    "feed",
]


class Kind(enum.IntEnum):
    """Kinds of frames."""

    HELLO = 0xB1
    PING = 0xB2
    PONG = 0xB3
    MESSAGE = 0xB4


_HEAD = struct.Struct(">BI")
# Compressed data that can't be made smaller is a little longer than before.
MAX_MESSAGE_BYTES = fleet_codec.MAX_INFLATED_BYTES + 2**16
_GREETING = b"bilberry-mesh/1"
_LIMITS = {
    Kind.HELLO: len(_GREETING),
    Kind.PING: 0,
    Kind.PONG: 0,
    Kind.MESSAGE: MAX_MESSAGE_BYTES,
}
HELLO = _HEAD.pack(Kind.HELLO, len(_GREETING)) + _GREETING
PING = _HEAD.pack(Kind.PING, 0)
PONG = _HEAD.pack(Kind.PONG, 0)


@dataclasses.dataclass(slots=True)
class Decoder:
    """Bytes of one connection that are not a whole frame yet.

    Attributes
    ----------
    buffer
        Bytes received, from the beginning of a frame.
    missing
        Number of further bytes before which no frame can be complete.
    is_introduced
        Whether the peer's `HELLO` has arrived.
    """

    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    missing: int = 0
    is_introduced: bool = False


def encode(data: bytes) -> bytes:
    """Return the frame of an encoded message.

    Parameters
    ----------
    data
        Message as encoded by `fleet_codec`, at most `MAX_MESSAGE_BYTES`.

    Returns
    -------
    bytes
        Head and payload.
    """
    return _HEAD.pack(Kind.MESSAGE, len(data)) + data


def feed(decoder: Decoder, data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the frames that are complete with the next bytes of a connection.

    Memory is held for bytes that arrived only, not for a length that a head
    claims.

    Parameters
    ----------
    decoder
        State of the connection. Modified in place; every frame must be taken
        before the next call.
    data
        Bytes received.

    Yields
    ------
    tuple of (int, bytes)
        Kind and payload.

    Raises
    ------
    MalformedMessageError
        If the bytes are not frames, a frame is too long, or the peer did not
        introduce itself first.
    """
    if decoder.buffer:
        decoder.buffer += data
        if len(data) < decoder.missing:
            decoder.missing -= len(data)
            return
        data, decoder.buffer = decoder.buffer, bytearray()
    view = memoryview(data)
    position = 0
    while len(data) - position >= _HEAD.size:
        kind, length = _HEAD.unpack_from(data, position)
        _check(decoder, kind, length)
        end = position + _HEAD.size + length
        if end > len(data):
            break
        payload = bytes(view[position + _HEAD.size : end])
        position = end
        if kind == Kind.HELLO:
            if payload != _GREETING:
                raise errors.MalformedMessageError("unknown greeting")
            decoder.is_introduced = True
        yield kind, payload
    else:
        end = position + _HEAD.size
    if position < len(data):
        decoder.buffer += view[position:]
        decoder.missing = end - len(data)


def _check(decoder: Decoder, kind: int, length: int) -> None:
    if length > _LIMITS.get(kind, -1):
        raise errors.MalformedMessageError(
            f"a frame of kind {kind} and {length} bytes"
        )
    if decoder.is_introduced == (kind == Kind.HELLO):
        raise errors.MalformedMessageError(
            f"a frame of kind {kind} out of order"
        )
