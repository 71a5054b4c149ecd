"""States of a connection, and reasons for its end in a planned stop."""

import dataclasses
import enum

__all__ = ["Connection", "Reason", "State"]


class State(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    """No request is in progress."""
    READING_HEAD = "reading_head"
    """A part of a request's head has been read."""
    READING_BODY = "reading_body"
    """A head has been read, and its body not yet to the end."""
    QUEUED = "queued"
    """A request has been read whose handling has not begun."""
    ANSWERING = "answering"
    """A whole request has no whole answer on the wire yet."""
    CLOSING = "closing"
    """The last answer was written, and the client has not closed yet."""


class Reason(enum.Enum):
    """Why a stopping process ended a connection, or the reading of it."""

    LAST_ANSWER = "last_answer"
    """The connection ended with an answer."""
    IDLE = "idle"
    """No request was in progress."""
    GRACE_OVER = "grace_over"
    """The time for the stop was over."""
    CLIENT = "client"
    """The client closed the connection, or it was reset."""


@dataclasses.dataclass(slots=True, frozen=True)
class Connection:
    """A connection as a stop sees it.

    Attributes
    ----------
    key
        Identifies the connection in effects.
    state
        What the connection is doing.
    last_read_ms
        Time at which the last byte was read, in milliseconds.
    """

    key: object
    state: State
    last_read_ms: int
