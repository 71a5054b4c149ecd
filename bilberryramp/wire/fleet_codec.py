"""MessagePack encoding of the messages between fleet nodes.

A message is its class's name and its fields; msgspec checks their types.
"""

import zlib

import msgspec

from bilberryramp.decisions.fleet import (
    agent,
    operator_calls,
    planner,
    presence,
    register_messages,
    sharing,
)
from bilberryramp.wire import errors

__all__ = ["decode", "encode"]

_CLASSES = {
    cls.__name__: cls
    for cls in (
        register_messages.PeerHeartbeat,
        register_messages.RequestVote,
        register_messages.VoteReply,
        register_messages.CommittedDocument,
        register_messages.Append,
        register_messages.AppendReply,
        operator_calls.Relay,
        operator_calls.RelayAck,
        sharing.Report,
        presence.Keepalive,
        operator_calls.RelayedResidency,
        planner.WantModel,
        agent.ResidencyRequest,
        agent.ResidencyReport,
    )
}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in _CLASSES.items()
}


# Messages from this size on are compressed. Most are far smaller; documents
# with hundreds of routes shrink to a tenth.
COMPRESS_BYTES = 1500
# The fastest level; a large document takes about a millisecond.
COMPRESS_LEVEL = 1
# First byte of a compressed message; MessagePack never uses it.
_COMPRESSED = b"\xc1"
# Largest message after it was inflated; above the largest document.
MOST_BYTES = 32 * 2**20


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
    data = msgspec.msgpack.encode((type(message).__name__, message))
    if len(data) < COMPRESS_BYTES:
        return data
    return _COMPRESSED + zlib.compress(data, COMPRESS_LEVEL)


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    whole = inflater.decompress(data[len(_COMPRESSED) :], MOST_BYTES)
    if not inflater.eof:
        raise errors.MalformedMessageError("the message ends early")
    return whole


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
        if data.startswith(_COMPRESSED):
            data = _inflate(data)
        name, body = _ENVELOPE.decode(data)
        return _DECODERS[name].decode(body)
    except (msgspec.MsgspecError, KeyError, zlib.error) as exc:
        raise errors.MalformedMessageError(repr(exc)) from exc
