"""Which clients' connections a process ends, and why.

In calm these are connections that take longer than any proper client. While
memory or descriptors run short, they are those that make no progress; never
one whose request is being answered to a client that reads.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable, Iterator

from bilberryramp.decisions.shared import connection_stop

__all__ = ["Client", "End", "Reason", "Limits", "overdue", "spare", "unused"]

_State = connection_stop.State


class Reason(enum.Enum):
    """Why a connection, or the reading of a request, is ended."""

    HEAD_TIMEOUT = "head_timeout"
    """The head of a request was not complete in time."""
    HEAD_SIZE = "head_size"
    """A head, or the trailer of a body, is longer than any proper one."""
    BODY_TIMEOUT = "body_timeout"
    """The body stalled, or was not complete by the request's deadline."""
    UNREAD = "unread"
    """The client has not read what was written for too long."""
    MEMORY = "memory"
    """Memory runs short, and the client makes no progress."""
    CONNECTIONS = "connections"
    """Too many connections are open."""


@dataclasses.dataclass(slots=True, frozen=True)
class Client:
    """A connection as the review sees it.

    Attributes
    ----------
    key
        Identifies the connection in effects.
    state
        What it is doing.
    held_bytes, head_bytes
        What is held for it, and which part of it for a head or trailer.
    began_ms
        Time at which the head that is being read began; infinite if none is.
    last_read_ms
        Time at which the last byte was read.
    unread_since_ms
        Time since which the client has read nothing of what was written for
        it; infinite if it has read all.
    waits_for_memory
        Whether this process has stopped reading until it has memory.
    """

    key: object
    state: connection_stop.State
    held_bytes: int
    head_bytes: int
    began_ms: float
    last_read_ms: float
    unread_since_ms: float
    waits_for_memory: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Longest times without progress in milliseconds, and longest head.

    Attributes
    ----------
    head_bytes
        Largest head, in bytes.
    head_ms
        From the first byte of a head to its last.
    body_ms
        Between two reads of a body.
    unread_ms
        Between two reads by the client of what was written for it.
    short_read_ms, short_unread_ms
        Time without a read from and by the client after which its connection
        may be ended while memory or descriptors run short.
    """

    head_bytes: int = 64 * 1024
    head_ms: int = 3000
    body_ms: int = 10_000
    unread_ms: int = 30_000
    short_read_ms: int = 1000
    short_unread_ms: int = 3000


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """Order to end a connection, or the reading of its request."""

    client: Client
    reason: Reason


def overdue(
    clients: Iterable[Client], limits: Limits, now_ms: float
) -> Iterator[End]:
    """Decide which connections have taken too long.

    Parameters
    ----------
    clients
        Connections of a listener.
    limits
        Longest times and head.
    now_ms
        Current time in milliseconds, of the same clock as all others.

    Yields
    ------
    End
        For each connection that is ended.
    """
    for client in clients:
        if now_ms - client.unread_since_ms >= limits.unread_ms:
            yield End(client, Reason.UNREAD)
        elif (
            client.state in (_State.READING_HEAD, _State.READING_BODY)
            and client.head_bytes > limits.head_bytes
        ):
            yield End(client, Reason.HEAD_SIZE)
        elif client.state is _State.READING_HEAD:
            if now_ms - client.began_ms >= limits.head_ms:
                yield End(client, Reason.HEAD_TIMEOUT)
        elif (
            client.state is _State.READING_BODY
            and not client.waits_for_memory
            and now_ms - client.last_read_ms >= limits.body_ms
        ):
            yield End(client, Reason.BODY_TIMEOUT)


def spare(
    clients: Iterable[Client], limits: Limits, now_ms: float, n_bytes: int
) -> Iterator[End]:
    """Decide whom to end so that memory becomes free.

    Parameters
    ----------
    clients, limits, now_ms
        As in `overdue`.
    n_bytes
        Bytes that are needed.

    Yields
    ------
    End
        For connections that make no progress, from the one that holds most,
        until enough is freed.
    """
    quiet = [
        client for client in clients if _quiet_ms(client, limits, now_ms) >= 0
    ]
    for client in sorted(quiet, key=lambda c: c.held_bytes, reverse=True):
        if n_bytes <= 0:
            return
        n_bytes -= client.held_bytes
        yield End(client, Reason.MEMORY)


def unused(
    clients: Iterable[Client], limits: Limits, now_ms: float
) -> Iterator[End]:
    """Decide whom to end so that new connections may be opened.

    Parameters
    ----------
    clients, limits, now_ms
        As in `overdue`.

    Yields
    ------
    End
        For connections without a request, from the one that has been idle
        for longest, and then for those that make no progress.
    """
    quiet = [
        client for client in clients if _quiet_ms(client, limits, now_ms) >= 0
    ]
    quiet.sort(
        key=lambda client: (
            client.state is not _State.IDLE,
            -_quiet_ms(client, limits, now_ms),
        )
    )
    for client in quiet:
        yield End(client, Reason.CONNECTIONS)


def _quiet_ms(client: Client, limits: Limits, now_ms: float) -> float:
    """Return for how long a connection may have been ended.

    It is negative if it may not be ended.
    """
    unread_ms = now_ms - client.unread_since_ms - limits.short_unread_ms
    if client.state in (_State.ANSWERING, _State.QUEUED):
        return unread_ms
    if client.waits_for_memory:
        return -math.inf
    silent_ms = now_ms - client.last_read_ms
    if client.state is _State.IDLE:
        return silent_ms
    return max(silent_ms - limits.short_read_ms, unread_ms)
