"""What a planned stop does with each connection of a listener.

The phases of the stop follow ``charts/shutdown.yaml``, see `shutdown`.
"""

import dataclasses
import enum
from collections.abc import Iterable, Iterator

__all__ = [
    "CloseConnection",
    "Connection",
    "EndReading",
    "Reason",
    "Times",
    "State",
    "holds_exit",
    "review",
]


class State(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    """No request is in progress."""
    NEW = "new"
    """Just accepted; the first request may be on its way."""
    READING_HEAD = "reading_head"
    """A part of a request's head has been read."""
    READING_BODY = "reading_body"
    """A head has been read, and its body not yet to the end."""
    QUEUED = "queued"
    """A request has been read whose handling has not begun."""
    ANSWERING = "answering"
    """A whole request has no whole answer on the wire yet."""
    ANSWERED_EARLY = "answered_early"
    """An answer was written before the end of its request was read."""
    CLOSING = "closing"
    """The last answer was written, and the client has not closed yet."""


class Reason(enum.Enum):
    """Why a stopping process ended a connection, or the reading of it."""

    LAST_ANSWER = "last_answer"
    """The answer before said that it is the last one."""
    IDLE = "idle"
    """No request was in progress."""
    STALLED = "stalled"
    """The client sent no byte of its request for `Times.stall_ms`."""
    OUT_OF_TIME = "out_of_time"
    """The request was not complete when reading had to end."""
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


@dataclasses.dataclass(slots=True, frozen=True)
class Times:
    """Times by which a listener's connections end.

    Attributes
    ----------
    since_ms
        Time from which silence of clients counts, in milliseconds.
    stall_ms
        Longest time without a byte of a request that is being read, in
        milliseconds.
    read_until_ms
        Time at which the reading of requests ends, in milliseconds.
    """

    since_ms: int
    stall_ms: int
    read_until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class CloseConnection:
    """Order to close a connection that owes no answer."""

    key: object
    reason: Reason


@dataclasses.dataclass(slots=True, frozen=True)
class EndReading:
    """Order to read no more of a request's body, and to refuse the request."""

    key: object
    reason: Reason


def holds_exit(conn: Connection) -> bool:
    """Return whether the process must not end for the sake of a connection."""
    return conn.state is not State.IDLE


def review(
    conns: Iterable[Connection], times: Times, now_ms: int
) -> Iterator[CloseConnection | EndReading]:
    """Decide what to do with the connections of a draining listener.

    Parameters
    ----------
    conns
        Connections of the listener.
    times
        Times of the stop.
    now_ms
        Current time in milliseconds, of the same clock as all others.

    Yields
    ------
    CloseConnection, EndReading
        For each connection that is idle, or whose request is not read on.
    """
    for conn in conns:
        if conn.state is State.IDLE:
            yield CloseConnection(conn.key, Reason.IDLE)
        elif conn.state is State.ANSWERED_EARLY:
            yield CloseConnection(conn.key, Reason.LAST_ANSWER)
        elif reason := _reading_end(conn, times, now_ms):
            order = (
                EndReading
                if conn.state is State.READING_BODY
                else CloseConnection
            )
            yield order(conn.key, reason)


def _reading_end(conn: Connection, times: Times, now_ms: int) -> Reason | None:
    """Return why a request is not read on; None if it is."""
    if conn.state not in (State.READING_HEAD, State.READING_BODY):
        return None
    if now_ms >= times.read_until_ms:
        return Reason.OUT_OF_TIME
    silent_ms = now_ms - max(conn.last_read_ms, times.since_ms)
    if silent_ms >= times.stall_ms:
        return Reason.STALLED
    return None
