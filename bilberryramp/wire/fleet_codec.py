"""MessagePack encoding of the messages between fleet nodes.

A message is its class's name and its fields; msgspec checks their types.
"""

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
        register_messages.Beat,
        register_messages.RequestVote,
        register_messages.VoteReply,
        register_messages.Settled,
        register_messages.Append,
        register_messages.AppendReply,
        operator_calls.Relay,
        operator_calls.RelayAck,
        sharing.Report,
        presence.Pulse,
        operator_calls.Passed,
        planner.WantModel,
        agent.Hold,
        agent.Holding,
    )
}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in _CLASSES.items()
}


def encode(message) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message
        An instance of one of the classes above.

    Returns
    -------
    bytes
        MessagePack.
    """
    return msgspec.msgpack.encode((type(message).__name__, message))


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
        name, body = _ENVELOPE.decode(data)
        return _DECODERS[name].decode(body)
    except (msgspec.MsgspecError, KeyError) as exc:
        raise errors.MalformedMessageError(repr(exc)) from exc
