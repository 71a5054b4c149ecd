"""How much of an event stream has passed, so that it can be resumed.

Server-sent events may carry ids; a reader that lost its connection asks
for what follows the last id it saw (WHATWG HTML, server-sent events).
"""

import dataclasses

__all__ = ["StreamProgress", "can_resume", "record", "start_resume"]

MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


@dataclasses.dataclass(slots=True)
class StreamProgress:
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
    resent_bytes: int = 0
    event_too_long: bool = False
    diverged: bool = False


def record(progress: StreamProgress, data: bytes) -> bytes:
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
    fresh = _skip_repeated(progress, data)
    progress.partial += fresh
    whole, end, rest = progress.partial.rpartition(_EVENT_END)
    if end:
        progress.last_id = _last_id(bytes(whole)) or progress.last_id
        progress.partial = rest
    if len(progress.partial) > MAX_EVENT_BYTES:
        progress.event_too_long = True
        progress.partial.clear()
    return fresh


def start_resume(progress: StreamProgress) -> None:
    """Begin again after the last whole event.

    Parameters
    ----------
    trail
        Changed in place.
    """
    progress.resent_bytes = len(progress.partial)


def can_resume(progress: StreamProgress) -> bool:
    """Tell whether the stream can be resumed where it broke."""
    return bool(progress.last_id) and not (
        progress.event_too_long or progress.diverged
    )


def _skip_repeated(progress: StreamProgress, data: bytes) -> bytes:
    again = data[: progress.resent_bytes]
    at = len(progress.partial) - progress.resent_bytes
    if again != progress.partial[at : at + len(again)]:
        progress.diverged = True
    progress.resent_bytes -= len(again)
    return data[len(again) :]


def _last_id(events: bytes) -> str:
    ids = [
        line.removeprefix(_ID_FIELD).strip()
        for line in events.split(b"\n")
        if line.startswith(_ID_FIELD)
    ]
    return ids[-1].decode(errors="replace") if ids else ""
