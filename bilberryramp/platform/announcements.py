"""Decodes the heartbeats of upstreams."""

import msgspec

from bilberryramp.decisions.fleet import presence
from bilberryramp.decisions.shared import errors

__all__ = [
    "MalformedHeartbeatError",
    "decode_departure",
    "decode_heartbeat",
    "decode_resident_models",
]


class MalformedHeartbeatError(errors.BilberryError):
    """A heartbeat that cannot be read; it names no upstream to use."""


def decode_heartbeat(upstream_id: str, body: bytes) -> presence.Announcement:
    """Decode a heartbeat.

    Parameters
    ----------
    upstream_id
        From the call's path.
    body
        JSON.

    Returns
    -------
    Announcement
        In the project's own terms.

    Raises
    ------
    MalformedHeartbeatError
        When a field is missing or of another type, or the state is one
        that is not known.
    """
    try:
        raw = msgspec.json.decode(body)
        state = raw["state"]
        if state not in ("ready", "draining"):
            raise MalformedHeartbeatError(f"state {state!r} is unknown")
        return _decode_announcement(upstream_id, raw, state == "draining")
    except msgspec.MsgspecError as exc:
        raise MalformedHeartbeatError(str(exc)) from exc
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise MalformedHeartbeatError(f"field {exc!r}") from exc


def decode_departure(
    upstream_id: str, body: bytes, last: presence.Announcement | None
) -> presence.Announcement | None:
    """Decode the call by which an upstream leaves at once.

    Parameters
    ----------
    upstream_id, body
        As for `decode_heartbeat`; the body may be empty.
    last
        The last heartbeat known, for what the body leaves out.

    Returns
    -------
    Announcement or None
        None when the upstream is not known and the body says nothing.
    """
    try:
        raw = msgspec.json.decode(body) if body else {}
        return _decode_announcement(upstream_id, raw, True, gone=True)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        pass
    if last is None:
        return None
    return _mark_gone(last)


def _mark_gone(last: presence.Announcement) -> presence.Announcement:
    return presence.Announcement(
        upstream_id=last.upstream_id,
        service=last.service,
        address=last.address,
        failure_domain=last.failure_domain,
        slots=last.slots,
        born_ms=last.born_ms,
        seq=last.seq + 1,
        leaving=True,
        gone=True,
        remaining_ms=-1,
        held=last.held,
        copies=last.copies,
    )


def _decode_announcement(
    upstream_id: str, raw: dict, leaving: bool, gone: bool = False
) -> presence.Announcement:
    models = raw.get("models") or ()
    return presence.Announcement(
        upstream_id=upstream_id,
        service=_read_str(raw, "service"),
        address=_read_str(raw, "address"),
        failure_domain=_read_str(raw, "zone"),
        slots=_read_int(raw, "slots"),
        # Wall time of the process's start; tells restarts apart.
        born_ms=_read_int(raw, "born") if "born" in raw else 0,
        seq=_read_int(raw, "seq"),
        leaving=leaving,
        gone=gone,
        remaining_ms=int(raw.get("remainingMs", -1)),
        held=decode_resident_models(models),
        copies=tuple(_decode_local_copies(raw.get("atHand"))),
    )


def _decode_local_copies(raw):
    """List the models of which an engine keeps copies near at hand."""
    if isinstance(raw, dict):
        for field in ("inMemory", "onDisk"):
            for row in raw.get(field) or ():
                yield str(row["name"] if isinstance(row, dict) else row)


def decode_resident_models(rows) -> tuple[presence.ResidentModel, ...]:
    """Decode the models that an engine lists.

    Parameters
    ----------
    rows
        Decoded JSON.

    Returns
    -------
    tuple of Held
        In the engine's order.
    """
    return tuple(_decode_resident_model(row) for row in rows)


def _decode_resident_model(raw: dict) -> presence.ResidentModel:
    return presence.ResidentModel(
        model=_read_str(raw, "name"),
        version=int(raw.get("version", 0)),
        adapters=tuple(_adapter_name(row) for row in raw.get("adapters", ())),
    )


def _adapter_name(raw) -> str:
    return str(raw["name"] if isinstance(raw, dict) else raw)


def _read_str(raw: dict, field: str) -> str:
    value = raw[field]
    if not isinstance(value, str):
        raise TypeError(field)
    return value


def _read_int(raw: dict, field: str) -> int:
    value = raw[field]
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(field)
    return value
