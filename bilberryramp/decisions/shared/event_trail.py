"""How much of an event stream has passed, so that it can be resumed.

Server-sent events may carry ids; a reader that lost its connection asks
for what follows the last id it saw (WHATWG HTML, server-sent events).
"""

import dataclasses

__all__ = ["Trail", "can_resume", "note", "note_resumed"]

MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


@dataclasses.dataclass(slots=True)
class Trail:
    """What has passed of one stream.

    Attributes
    ----------
    last_id
        Id of the last whole event; empty before the first.
    partial
        Bytes after the last whole event, which were passed on, too.
    repeated
        Bytes of `partial` that the resumed stream sends a second time.
    too_long
        Whether an event was too long to be followed.
    changed
        Whether a resumed stream sent other bytes than before.
    """

    last_id: str = ""
    partial: bytearray = dataclasses.field(default_factory=bytearray)
    repeated: int = 0
    too_long: bool = False
    changed: bool = False


def note(trail: Trail, data: bytes) -> bytes:
    """Follow bytes of the stream.

    Parameters
    ----------
    trail
        Changed in place.
    data
        The bytes that came next.

    Returns
    -------
    bytes
        Those that were not passed on before a resume.
    """
    fresh = _skip_repeated(trail, data)
    trail.partial += fresh
    whole, end, rest = trail.partial.rpartition(_EVENT_END)
    if end:
        trail.last_id = _last_id(bytes(whole)) or trail.last_id
        trail.partial = rest
    if len(trail.partial) > MAX_EVENT_BYTES:
        trail.too_long = True
        trail.partial.clear()
    return fresh


def note_resumed(trail: Trail) -> None:
    """Begin again after the last whole event.

    Parameters
    ----------
    trail
        Changed in place.
    """
    trail.repeated = len(trail.partial)


def can_resume(trail: Trail) -> bool:
    """Tell whether the stream can be resumed where it broke."""
    return bool(trail.last_id) and not (trail.too_long or trail.changed)


def _skip_repeated(trail: Trail, data: bytes) -> bytes:
    again = data[: trail.repeated]
    at = len(trail.partial) - trail.repeated
    if again != trail.partial[at : at + len(again)]:
        trail.changed = True
    trail.repeated -= len(again)
    return data[len(again) :]


def _last_id(events: bytes) -> str:
    ids = [
        line.removeprefix(_ID_FIELD).strip()
        for line in events.split(b"\n")
        if line.startswith(_ID_FIELD)
    ]
    return ids[-1].decode(errors="replace") if ids else ""
