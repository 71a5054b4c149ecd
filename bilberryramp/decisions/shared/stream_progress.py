"""Progress of a stream of server-sent events that is forwarded to a caller.

Events may have ids. After a broken connection the stream is requested again
from the last id received (WHATWG HTML, server-sent events), and the part
of an event that had already been forwarded is not forwarded again.
"""

import dataclasses

__all__ = [
    "TAIL_BYTES",
    "StreamProgress",
    "can_resume",
    "ends_after_event",
    "record",
    "start_resume",
]

MAX_EVENT_BYTES = 256 * 1024
# Number of bytes at the end of a stream that tell whether its last event is
# whole.
TAIL_BYTES = 3
_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
# An event ends with a blank line; lines end with CR, LF or both.
_BLANK_LINES = (b"\n\n", b"\r\r", b"\n\r\n")


@dataclasses.dataclass(slots=True)
class StreamProgress:
    """How far one stream has been forwarded.

    Attributes
    ----------
    last_id
        Id of the last complete event that has one; empty if there is none.
    partial
        Bytes received and forwarded after the last complete event.
    resent_bytes
        Number of bytes at the end of `partial` that the resumed stream is
        still expected to send a second time.
    event_too_long
        Whether an event exceeded `MAX_EVENT_BYTES`.
    diverged
        Whether the resumed stream differs from the bytes forwarded before.
    """

    last_id: str = ""
    partial: bytearray = dataclasses.field(default_factory=bytearray)
    resent_bytes: int = 0
    event_too_long: bool = False
    diverged: bool = False


def record(progress: StreamProgress, data: bytes) -> bytes:
    """Record the next bytes of a stream and return those to forward.

    Parameters
    ----------
    progress
        Progress of the stream. Modified in place.
    data
        Bytes received.

    Returns
    -------
    bytes
        The part of `data` that was not forwarded before the stream was
        resumed.
    """
    fresh = _skip_resent(progress, data)
    progress.partial += fresh
    events, end, rest = progress.partial.rpartition(_EVENT_END)
    if end:
        progress.last_id = _last_id(bytes(events)) or progress.last_id
        progress.partial = rest
    if len(progress.partial) > MAX_EVENT_BYTES:
        progress.event_too_long = True
        progress.partial.clear()
    return fresh


def start_resume(progress: StreamProgress) -> None:
    """Expect the stream to restart after its last complete event.

    Parameters
    ----------
    progress
        Progress of the stream. Modified in place.
    """
    progress.resent_bytes = len(progress.partial)


def can_resume(progress: StreamProgress) -> bool:
    """Return whether a broken stream can be resumed.

    Parameters
    ----------
    progress
        Progress of the stream.

    Returns
    -------
    bool
        Whether an event id is known, no event was too long and the stream
        has not diverged.
    """
    return bool(progress.last_id) and not (
        progress.event_too_long or progress.diverged
    )


def ends_after_event(data: bytes) -> bool:
    """Return whether a stream ends after a whole event, not inside one.

    Parameters
    ----------
    data
        The last bytes of the stream, at least `TAIL_BYTES` unless it is
        shorter.

    Returns
    -------
    bool
        False for a stream without any event.
    """
    return data.endswith(_BLANK_LINES)


def _skip_resent(progress: StreamProgress, data: bytes) -> bytes:
    resent = data[: progress.resent_bytes]
    start = len(progress.partial) - progress.resent_bytes
    if resent != progress.partial[start : start + len(resent)]:
        progress.diverged = True
    progress.resent_bytes -= len(resent)
    return data[len(resent) :]


def _last_id(events: bytes) -> str:
    ids = [
        line.removeprefix(_ID_FIELD).strip()
        for line in events.split(b"\n")
        if line.startswith(_ID_FIELD)
    ]
    return ids[-1].decode(errors="replace") if ids else ""
