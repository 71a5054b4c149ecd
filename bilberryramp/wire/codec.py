"""MessagePack encoding of the decisions' message classes.

A dataclass becomes an array: the class's name, then its fields in order.
The name lets a field hold any registered class, as log entries do with
commands. Classes are registered once, below; others are refused. The large
table of idempotency keys holds no such field and is left to msgspec, which
is far faster.
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


_LEFT_TO_MSGSPEC = (idempotency.KeyTable,)


def encode(message) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message
        An instance of a registered class.

    Returns
    -------
    bytes
        MessagePack.
    """
    return msgspec.msgpack.encode(_pack(message))


def decode(data: bytes):
    """Decode a message.

    Parameters
    ----------
    data
        MessagePack as made by `encode`.

    Returns
    -------
    object
        An instance of a registered class.

    Raises
    ------
    MalformedMessageError
        When the bytes are not such a message.
    """
    try:
        return _unpack(msgspec.msgpack.decode(data))
    except (msgspec.MsgspecError, TypeError, ValueError) as exc:
        raise MalformedMessageError(str(exc)) from exc
    except (LookupError, AttributeError) as exc:
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
    raise MalformedMessageError(f"{cls.__name__} cannot be encoded")


def _pack_fields(cls: type, value):
    return (_pack(getattr(value, name)) for name in _field_names(cls))


def _unpack(raw):
    name, *values = raw
    cls = _registry()[name]
    if cls in _LEFT_TO_MSGSPEC:
        return msgspec.msgpack.decode(*values, type=cls)
    decoders = _field_decoders(cls)
    if len(values) != len(decoders):
        raise MalformedMessageError(f"{name} has {len(values)} fields")
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
        if type(raw) is not cls:
            seen = type(raw).__name__
            raise MalformedMessageError(f"{seen} in place of {cls.__name__}")
        return raw

    return check
