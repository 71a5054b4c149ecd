"""MessagePack encoding of the messages between fleet nodes.

A message is its class's name and its fields; msgspec checks their types.
"""

import zlib

import msgspec

from bilberryramp.wire import errors, outer_names

__all__ = ["decode", "encode"]

_CLASSES = {name: cls for cls, name in outer_names.FLEET_CODEC_NAMES.items()}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in _CLASSES.items()
}


# Messages from this size on are compressed. Most are far smaller; documents
# with hundreds of routes shrink to a tenth.
COMPRESSION_THRESHOLD_BYTES = 1500
# The fastest level; a large document takes about a millisecond.
COMPRESSION_LEVEL = 1
# First byte of a compressed message; MessagePack never uses it.
_COMPRESSED_MARKER = b"\xc1"
# Largest message after it was inflated; above the largest document.
MAX_INFLATED_BYTES = 32 * 2**20


def encode(message) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message
        An instance of one of the classes above.

    Returns
    -------
    bytes
        MessagePack, compressed if it is large.
    """
    cls = type(message)
    # Receivers refuse the name of a class that is not registered.
    outer_name = outer_names.FLEET_CODEC_NAMES.get(cls, cls.__name__)
    data = msgspec.msgpack.encode((outer_name, message))
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return data
    return _COMPRESSED_MARKER + zlib.compress(data, COMPRESSION_LEVEL)


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    inflated = inflater.decompress(
        data[len(_COMPRESSED_MARKER) :], MAX_INFLATED_BYTES
    )
    if not inflater.eof:
        raise errors.MalformedMessageError("the message ends early")
    return inflated


def decode(data: bytes):
    """Decode a message.

    Parameters
    ----------
    data
        MessagePack as made by `encode`.

    Returns
    -------
    object
        An instance of one of the classes above.

    Raises
    ------
    MalformedMessageError
        When the bytes are not such a message.
    """
    try:
        if data.startswith(_COMPRESSED_MARKER):
            data = _inflate(data)
        name, body = _ENVELOPE.decode(data)
        return _DECODERS[name].decode(body)
    except (msgspec.MsgspecError, KeyError, zlib.error) as exc:
        raise errors.MalformedMessageError(repr(exc)) from exc
