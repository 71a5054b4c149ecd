"""MessagePack encoding of the messages between fleet nodes.

A message is encoded as a pair: the outer name of its class, and a map of its
fields. msgspec checks the fields' types when it decodes them.
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

# Messages of at least this size are compressed. Most are far smaller;
# documents with hundreds of routes shrink to a tenth.
COMPRESSION_THRESHOLD_BYTES = 1500
# zlib's fastest level; it compresses a large document in about 1 ms.
COMPRESSION_LEVEL = 1
# First byte of a compressed message; MessagePack leaves 0xc1 unused.
_COMPRESSED_MARKER = b"\xc1"
# Upper bound on the size of a decompressed message, above that of the
# largest document.
MAX_INFLATED_BYTES = 32 * 2**20


def encode(message) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message
        Instance of a class in `outer_names.FLEET_CODEC_NAMES`.

    Returns
    -------
    bytes
        MessagePack, compressed from `COMPRESSION_THRESHOLD_BYTES` on.
    """
    cls = type(message)
    # An unregistered class is not refused here but by the receiver.
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
        raise errors.MalformedMessageError(
            "the compressed message is truncated, or exceeds "
            f"{MAX_INFLATED_BYTES} bytes when decompressed"
        )
    return inflated


def decode(data: bytes):
    """Decode a message.

    Parameters
    ----------
    data
        Message as written by `encode`.

    Returns
    -------
    object
        Instance of a class in `outer_names.FLEET_CODEC_NAMES`.

    Raises
    ------
    MalformedMessageError
        When the data is not valid MessagePack, cannot be decompressed,
        names an unknown class, or has missing or mistyped fields.
    """
    try:
        if data.startswith(_COMPRESSED_MARKER):
            data = _inflate(data)
        name, body = _ENVELOPE.decode(data)
        return _DECODERS[name].decode(body)
    except (
        msgspec.MsgspecError,
        KeyError,
        RecursionError,
        UnicodeDecodeError,
        zlib.error,
    ) as exc:
        raise errors.MalformedMessageError(repr(exc)) from exc
