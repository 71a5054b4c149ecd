"""MessagePack encoding of control, entry and upstream messages.

A dataclass is encoded as an array: its outer name, then its field values in
order of declaration. The name makes the encoding self-describing, so that a
field may hold any registered class; a log entry, for example, holds any
command. `outer_names` registers the classes; all others are refused.
"""

import dataclasses
import enum
import functools
import types
import typing

import msgspec

from bilberryramp.decisions.control import idempotency
from bilberryramp.wire import outer_names
from bilberryramp.wire.errors import MalformedMessageError

__all__ = ["MalformedMessageError", "decode", "encode"]


# Classes that msgspec encodes directly, as maps, because this is far faster
# for the large table of idempotency keys. Their fields must not hold values
# of arbitrary registered classes, because no class names are written.
_LEFT_TO_MSGSPEC = (idempotency.KeyTable,)


def encode(message) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message
        Instance of a class in `outer_names.CODEC_NAMES`.

    Returns
    -------
    bytes
        The message in MessagePack.

    Raises
    ------
    MalformedMessageError
        When the message, or a value in it, has a type that is neither
        registered nor a basic type.
    """
    return msgspec.msgpack.encode(_pack(message))


def decode(data: bytes):
    """Decode a message.

    Parameters
    ----------
    data
        MessagePack as written by `encode`.

    Returns
    -------
    object
        Instance of a class in `outer_names.CODEC_NAMES`.

    Raises
    ------
    MalformedMessageError
        When the data is not valid MessagePack, names an unknown class, or
        has the wrong number or types of fields.
    """
    try:
        return _unpack(msgspec.msgpack.decode(data))
    except (msgspec.MsgspecError, TypeError, ValueError) as exc:
        raise MalformedMessageError(str(exc)) from exc
    except (
        LookupError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise MalformedMessageError(repr(exc)) from exc


@functools.cache
def _registry() -> dict[str, type]:
    return {name: cls for cls, name in outer_names.CODEC_NAMES.items()}


@functools.cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


def _pack(value):
    cls = type(value)
    outer_name = outer_names.CODEC_NAMES.get(cls)
    if cls in _LEFT_TO_MSGSPEC:
        return [outer_name, msgspec.msgpack.encode(value)]
    if outer_name is not None:
        return [outer_name, *_pack_fields(cls, value)]
    if cls in (str, int, bytes, bool, float, types.NoneType):
        return value
    if cls in (tuple, list):
        return [_pack(item) for item in value]
    if cls is dict:
        return {key: _pack(item) for key, item in value.items()}
    if cls is bytearray or isinstance(value, enum.StrEnum):
        return value
    raise MalformedMessageError(
        f"values of type {cls.__name__} cannot be encoded"
    )


def _pack_fields(cls: type, value):
    return (_pack(getattr(value, name)) for name in _field_names(cls))


def _unpack(raw):
    name, *values = raw
    cls = _registry()[name]
    if cls in _LEFT_TO_MSGSPEC:
        return msgspec.msgpack.decode(*values, type=cls)
    decoders = _field_decoders(cls)
    if len(values) != len(decoders):
        raise MalformedMessageError(
            f"{name} has {len(values)} fields, expected {len(decoders)}"
        )
    return cls(
        *(
            decode_field(v)
            for decode_field, v in zip(decoders, values, strict=True)
        )
    )


@functools.cache
def _field_decoders(cls: type) -> tuple:
    hints = typing.get_type_hints(cls)
    return tuple(_field_decoder(hints[name]) for name in _field_names(cls))


def _field_decoder(hint):
    """Return a function that decodes a field with this type annotation."""
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        decode_item = _field_decoder(
            next(a for a in args if a is not types.NoneType)
        )
        return lambda raw: None if raw is None else decode_item(raw)
    if origin is tuple:
        decode_item = _field_decoder(args[0])
        return lambda raw: tuple(decode_item(element) for element in raw)
    if origin is dict:
        decode_item = _field_decoder(args[1])
        return lambda raw: {
            key: decode_item(element) for key, element in raw.items()
        }
    if hint is object or dataclasses.is_dataclass(hint):
        return _unpack
    if issubclass(hint, enum.Enum):
        return hint
    return _exact_type_decoder(hint)


def _exact_type_decoder(cls: type):
    def check(raw):
        # Not isinstance: bool is a subclass of int.
        if type(raw) is not cls:
            type_name = type(raw).__name__
            raise MalformedMessageError(
                f"found a value of type {type_name}, expected {cls.__name__}"
            )
        return raw

    return check
