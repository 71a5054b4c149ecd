"""Task that keeps the memory and descriptors of a listener's clients bounded.

`client_memory` decides who may hold more, and `client_review` whose connection
is ended; this module does it.
"""

import asyncio
import contextlib
import dataclasses
import math
import socket
from collections.abc import Callable, Iterable, Iterator

from bilberryramp.decisions.shared import (
    client_memory,
    client_review,
    connection_stop,
)
from bilberryramp.tasks import (
    client_connections,
    client_holdings,
    clock,
    lingering_transport,
)
from bilberryramp.telemetry import events, metrics

__all__ = [
    "Guard",
    "bound_buffers",
    "guard_listener",
    "run",
    "set_gauges",
]

# Interval at which connections are examined.
REVIEW_S = 0.25
# Interval at which connections are looked for that may give way to new ones.
MAKE_ROOM_MS = 100
# Sizes of the kernel's buffers of a connection, which it doubles.
RECEIVE_BUFFER_BYTES = 32 * 1024
SEND_BUFFER_BYTES = 64 * 1024
# Maximum number of events on clients that were ended, per review.
MAX_EVENTS = 2
# Answers without a body to clients whose request is not handled.
_ANSWERS = {
    client_review.Reason.HEAD_SIZE: b"431 Request Header Fields Too Large",
}
_TIMEOUT_ANSWER = b"408 Request Timeout"
_Reason, _State = client_review.Reason, connection_stop.State


@dataclasses.dataclass(slots=True)
class Guard:
    """State of the task.

    Attributes
    ----------
    listener
        Listener whose connections are guarded.
    make_budget
        Function that returns the budget of its ledger.
    make_limits
        Function that returns the longest times without progress.
    task_metrics
        Metrics of the process, which count the connections that are ended.
    leaving
        Connections that may give way to new ones, last one first.
    looked_ms
        Time since boot at which they were looked for, in milliseconds.
    events_left
        Number of events that may be written until the next review.
    """

    listener: client_connections.Listener
    make_budget: Callable[[], client_memory.Budget]
    make_limits: Callable[[], client_review.Limits]
    task_metrics: metrics.Metrics
    leaving: list[client_review.End] = dataclasses.field(default_factory=list)
    looked_ms: float = -math.inf
    events_left: int = MAX_EVENTS


def guard_listener(
    listener: client_connections.Listener,
    make_budget: Callable[[], client_memory.Budget],
    make_limits: Callable[[], client_review.Limits],
    task_metrics: metrics.Metrics,
) -> Guard:
    """Give a listener a ledger, before it accepts connections.

    Parameters
    ----------
    listener
        Listener without connections. Modified in place.
    make_budget, make_limits, task_metrics
        As in `Guard`.

    Returns
    -------
    Guard
        State for `run`.
    """
    guard = Guard(listener, make_budget, make_limits, task_metrics)
    listener.max_head_bytes = make_limits().head_bytes
    listener.ledger = client_memory.new_ledger(make_budget())
    listener.make_room = lambda: _make_room(guard)
    return guard


def bound_buffers(socks: Iterable[socket.socket]) -> None:
    """Bound the kernel's buffers of the connections that sockets accept.

    Parameters
    ----------
    socks
        Listening sockets.
    """
    for sock in socks:
        for option, n_bytes in (
            (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
        ):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, option, n_bytes)


async def run(guard: Guard) -> None:
    """Examine the connections of a listener again and again.

    Parameters
    ----------
    guard
        State of the task. Modified in place.
    """
    while True:
        await asyncio.sleep(REVIEW_S)
        review(guard)


def review(guard: Guard) -> None:
    """End the connections that take too long, or hold what others need.

    Parameters
    ----------
    guard
        State of the task. Modified in place.
    """
    listener, now_ms = guard.listener, clock.boot_ms()
    guard.events_left = MAX_EVENTS
    listener.ledger.budget = guard.make_budget()
    limits = guard.make_limits()
    listener.max_head_bytes = limits.head_bytes
    for end in list(
        client_review.overdue(_busy_clients(guard, now_ms), limits, now_ms)
    ):
        _end(guard, end)
    short_bytes = client_memory.short_bytes(listener.ledger)
    if short_bytes > 0:
        clients = _clients(guard, now_ms)
        for end in list(
            client_review.spare(clients, limits, now_ms, short_bytes)
        ):
            _end(guard, end)
    client_holdings.serve_waiting(listener)


def set_gauges(guard: Guard) -> None:
    """Set the metrics on what is held for the clients of a listener.

    Parameters
    ----------
    guard
        State of the task. Its metrics are modified in place.
    """
    ledger, name = guard.listener.ledger, guard.listener.name
    if guard.listener.refused_count:
        _count(guard, "no_memory", guard.listener.refused_count)
        guard.listener.refused_count = 0
    for kind, n_bytes in ledger.held.items():
        label = f'{{listener="{name}",kind="{kind.value}"}}'
        metrics.set_gauge(
            guard.task_metrics, f"client_held_bytes{label}", n_bytes
        )
    for gauge, value in (
        ("client_budget_bytes", ledger.budget.total_bytes),
        ("client_connections", ledger.connection_count),
        ("client_connections_max", ledger.budget.max_connections),
        ("client_waiting", len(ledger.waiting)),
    ):
        metrics.set_gauge(
            guard.task_metrics, f'{gauge}{{listener="{name}"}}', value
        )


def _count(guard: Guard, reason: str, amount: int = 1) -> None:
    """Count requests or connections that were refused or ended."""
    name = guard.listener.name
    metrics.increment(
        guard.task_metrics,
        f'client_refusals_total{{listener="{name}",reason="{reason}"}}',
        amount,
    )


def _make_room(guard: Guard) -> None:
    """Close a connection that may give way to a new one, if there is one."""
    now_ms = clock.boot_ms()
    if not guard.leaving and now_ms - guard.looked_ms >= MAKE_ROOM_MS:
        guard.looked_ms = now_ms
        ends = client_review.unused(
            _clients(guard, now_ms), guard.make_limits(), now_ms
        )
        guard.leaving = list(ends)[::-1]
    while guard.leaving:
        end = guard.leaving.pop()
        conn = end.client.key
        # It may have got a request, or progress, since it was looked for.
        if conn.holding is not None and _is_same(conn, end.client):
            _end(guard, end)
            return
    _count(guard, "not_accepted")


def _is_same(conn, client: client_review.Client) -> bool:
    return (
        conn.last_read_ms == client.last_read_ms
        and conn.unread_since_ms == client.unread_since_ms
        and client_connections.state_of(conn) is client.state
    )


def _busy_clients(
    guard: Guard, now_ms: float
) -> Iterator[client_review.Client]:
    """Yield the connections that are reading or being read."""
    for conn in client_connections.open_connections(guard.listener):
        _note_progress(conn, now_ms)
        if (
            conn.begun_count > conn.ended_count
            or conn.has_partial_head
            or conn.unread_since_ms < math.inf
        ):
            yield _describe(conn)


def _clients(guard: Guard, now_ms: float) -> Iterator[client_review.Client]:
    for conn in client_connections.open_connections(guard.listener):
        _note_progress(conn, now_ms)
        if conn.holding is not None:
            yield _describe(conn)


def _note_progress(conn, now_ms: float) -> None:
    """Note since when a client has not read what was written for it."""
    link = conn.link
    if conn.acked_bytes == link.written_bytes:
        return
    acked_bytes = link.written_bytes - lingering_transport.unsent_bytes(link)
    if acked_bytes == link.written_bytes:
        conn.unread_since_ms = math.inf
    elif acked_bytes > conn.acked_bytes or conn.unread_since_ms == math.inf:
        conn.unread_since_ms = now_ms
    conn.acked_bytes = acked_bytes


def _describe(conn) -> client_review.Client:
    return client_review.Client(
        conn,
        client_connections.state_of(conn),
        conn.holding.total_bytes if conn.holding is not None else 0,
        client_holdings.head_bytes(conn),
        conn.head_began_ms,
        conn.last_read_ms,
        conn.unread_since_ms,
        conn.holding is not None and conn.holding.asked_bytes > 0,
    )


def _end(guard: Guard, end: client_review.End) -> None:
    """End a connection, or the reading of its request."""
    conn, state = end.client.key, end.client.state
    _count(guard, end.reason.value)
    _log(guard, end)
    if state is _State.READING_BODY and end.reason is not _Reason.UNREAD:
        client_connections.end_reading(conn, connection_stop.Reason.STALLED)
        return
    conn.end_reason = connection_stop.Reason.STALLED
    if state is _State.READING_HEAD and end.reason is not _Reason.UNREAD:
        _answer(conn, _ANSWERS.get(end.reason, _TIMEOUT_ANSWER))
    elif state in (_State.IDLE, _State.NEW, _State.ANSWERED_EARLY):
        conn.link.inner.close()
        client_holdings.forget(conn)
    else:
        conn.link.inner.abort()
        client_holdings.forget(conn)


def _answer(conn, status: bytes) -> None:
    """Answer a request whose head has not been read, and close."""
    conn.link.write(
        b"HTTP/1.1 %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        % status
    )
    conn.link.close()


def _log(guard: Guard, end: client_review.End) -> None:
    """Write an event on a client that is ended, unless there are many."""
    if guard.events_left <= 0:
        return
    guard.events_left -= 1
    client = end.client
    events.emit(
        events.CLIENT_ENDED,
        listener=guard.listener.name,
        reason=end.reason.value,
        state=client.state.value,
        held_bytes=client.held_bytes,
        silent_ms=round(clock.boot_ms() - client.last_read_ms),
    )
