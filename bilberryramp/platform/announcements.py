"""Decode the heartbeats and departures of upstreams."""

import ipaddress

import msgspec

from bilberryramp.decisions.fleet.core import departures, presence
from bilberryramp.decisions.shared import errors

__all__ = [
    "MalformedHeartbeatError",
    "decode_departure",
    "decode_heartbeat",
    "decode_resident_models",
]

# Upper bound of counters and times; larger ones cannot be encoded in messages
# to other nodes.
_MAX_NUMBER = 2**53
_MAX_PORT = 65_535
# Errors that decoding a body raises whose JSON is valid, or too deep.
_INVALID_FIELD_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class MalformedHeartbeatError(errors.BilberryError):
    """Raised when the body of a heartbeat is invalid.

    Such a heartbeat changes nothing in the table of upstreams.
    """


def decode_heartbeat(upstream_id: str, body: bytes) -> presence.Announcement:
    """Decode the body of a heartbeat.

    Parameters
    ----------
    upstream_id
        Id of the upstream, from the path of the call.
    body
        Body of the call, as JSON.

    Returns
    -------
    Announcement
        State that the upstream reports about itself.

    Raises
    ------
    MalformedHeartbeatError
        When the body is not JSON, a field is missing or has the wrong type,
        or the state is neither ``ready`` nor ``draining``.
    """
    try:
        raw = msgspec.json.decode(body)
        state = raw["state"]
        if state not in ("ready", "draining"):
            raise MalformedHeartbeatError(
                f"unknown state {state!r}, expected 'ready' or 'draining'"
            )
        return _decode_announcement(upstream_id, raw, state == "draining")
    except msgspec.MsgspecError as exc:
        raise MalformedHeartbeatError(str(exc)) from exc
    except _INVALID_FIELD_ERRORS as exc:
        raise MalformedHeartbeatError(f"invalid field: {exc!r}") from exc


def decode_departure(
    upstream_id: str, body: bytes, last: presence.Announcement | None
) -> presence.Announcement | None:
    """Decode the call with which an upstream departs without draining.

    Parameters
    ----------
    upstream_id
        Id of the upstream, from the path of the call.
    body
        Fields of a heartbeat as JSON; it may be empty.
    last
        Last announcement of the upstream, which is used if the body is empty
        or invalid; None if the upstream is unknown.

    Returns
    -------
    Announcement or None
        The announcement with which the upstream is gone; None if neither the
        body nor `last` describes the upstream, or if the body names the start
        of another process than `last`.
    """
    raw = {}
    try:
        raw = msgspec.json.decode(body) if body else {}
        return _decode_announcement(upstream_id, raw, True, gone=True)
    except (msgspec.MsgspecError, *_INVALID_FIELD_ERRORS):
        # The last announcement describes the upstream instead.
        pass
    if last is None or _names_other_process(raw, last):
        return None
    return departures.departure_of(last)


def _names_other_process(raw, last: presence.Announcement) -> bool:
    return isinstance(raw, dict) and raw.get("born", last.born_ms) != (
        last.born_ms
    )


def _decode_announcement(
    upstream_id: str, raw: dict, leaving: bool, gone: bool = False
) -> presence.Announcement:
    models = raw.get("models") or ()
    return presence.Announcement(
        upstream_id=upstream_id,
        service=_read_str(raw, "service"),
        address=_read_address(raw),
        failure_domain=_read_str(raw, "zone"),
        slots=_read_int(raw, "slots"),
        # Start of the process in wall-clock time. It distinguishes a restarted
        # process that kept its id.
        born_ms=_read_int(raw, "born") if "born" in raw else 0,
        seq=_read_int(raw, "seq"),
        leaving=leaving,
        gone=gone,
        remaining_ms=_bounded(int(raw.get("remainingMs", -1)), minimum=-1),
        held=decode_resident_models(models),
        copies=tuple(_decode_local_copies(raw.get("atHand"))),
    )


def _decode_local_copies(raw):
    """Yield the models that an engine has copies of in memory or on disk."""
    if isinstance(raw, dict):
        for field in ("inMemory", "onDisk"):
            for row in raw.get(field) or ():
                yield str(row["name"] if isinstance(row, dict) else row)


def decode_resident_models(raw_models) -> tuple[presence.ResidentModel, ...]:
    """Decode the list of an engine's resident models.

    Parameters
    ----------
    raw_models
        Objects of the decoded JSON, one for each model.

    Returns
    -------
    tuple of ResidentModel
        The models, in the order of `raw_models`.
    """
    return tuple(_decode_resident_model(raw) for raw in raw_models)


def _decode_resident_model(raw: dict) -> presence.ResidentModel:
    return presence.ResidentModel(
        model=_read_str(raw, "name"),
        version=_bounded(int(raw.get("version", 0))),
        adapters=tuple(_adapter_name(row) for row in raw.get("adapters", ())),
    )


def _adapter_name(raw) -> str:
    return str(raw["name"] if isinstance(raw, dict) else raw)


def _read_str(raw: dict, field: str) -> str:
    value = raw[field]
    if not isinstance(value, str):
        raise TypeError(f"{field} is not a string: {value!r}")
    return value


def _read_address(raw: dict) -> str:
    """Return the address of an upstream, which must be one of IPv4.

    A node connects to it without looking up names.
    """
    address = _read_str(raw, "address")
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    is_port = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_port or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f"invalid address {address[:60]!r}")
    return address


def _read_int(raw: dict, field: str) -> int:
    value = raw[field]
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{field} is not an integer: {value!r}")
    return _bounded(value)


def _bounded(value: int, minimum: int = 0) -> int:
    """Return the value if it is in the range that messages can carry."""
    if not minimum <= value <= _MAX_NUMBER:
        raise ValueError(f"{value} is not from {minimum} to {_MAX_NUMBER}")
    return value
