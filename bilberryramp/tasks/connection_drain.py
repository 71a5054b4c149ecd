"""Task that ends the connections of a process in a planned stop.

The phases follow ``charts/shutdown.yaml``; `connection_stop` decides what
happens with each connection, and this module does it.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterator

from bilberryramp.decisions.shared import connection_stop, shutdown
from bilberryramp.tasks import (
    client_connections,
    clock,
    connection_report,
)
from bilberryramp.telemetry import metrics

__all__ = ["Drain", "holds_exit", "run"]

# Interval at which a stopping process examines its connections.
POLL_S = 0.05
# Time without a byte after which a request is not read on.
STALL_MS = 2000
# Rounds of the event loop in which what has arrived is read.
READ_ROUNDS = 2


@dataclasses.dataclass(slots=True)
class Drain:
    """State of the task.

    Attributes
    ----------
    stop
        The process's planned stop.
    listeners
        Listeners of the process. They are closed once new work is refused,
        but for those that accept connections to the end.
    answer_ms
        Part of the stop's grace period in which no request is read and no
        answer awaited, but what was written is sent, in milliseconds.
    on_draining
        Called once new work is refused.
    task_metrics
        Metrics of the process, which count the connections that end.
    """

    stop: shutdown.Shutdown
    listeners: list[client_connections.Listener]
    answer_ms: int
    on_draining: Callable[[], None]
    task_metrics: metrics.Metrics


def holds_exit(listeners: list[client_connections.Listener]) -> bool:
    """Return whether a connection of any listener holds the exit."""
    return any(
        connection_stop.holds_exit(conn, listener.accepts_to_end)
        for listener in listeners
        for conn in client_connections.connections(listener)
    )


async def run(drain: Drain) -> None:
    """Stop accepting work, and end when nothing is held or time is over.

    Parameters
    ----------
    drain
        State of the task. Modified in place.
    """
    now_ms = clock.boot_ms()
    for listener in drain.listeners:
        listener.phase = "announced"
        listener.on_end = lambda end: connection_report.report(
            end, drain.task_metrics
        )
    effects = shutdown.request_stop(drain.stop, now_ms)
    while not await _perform(drain, effects):
        await asyncio.sleep(POLL_S)
        effects = shutdown.review(drain.stop, clock.boot_ms())
    await _close_all(drain)


async def _perform(drain: Drain, effects: Iterator) -> bool:
    """Perform the effects of a review; return whether the stop is complete.

    Whether work is left is asked after the listeners have been closed.
    """
    for effect in effects:
        if isinstance(effect, shutdown.NewWorkRefused):
            await _close_listeners(drain)
        elif isinstance(effect, shutdown.Stopped):
            return True
    if shutdown.is_draining(drain.stop):
        _review_connections(drain)
    return False


async def _close_listeners(drain: Drain) -> None:
    closing = [item for item in drain.listeners if not item.accepts_to_end]
    for listener in closing:
        if listener.server is not None:
            await client_connections.stop_accepting(listener)
    # What clients sent before must not be unread when connections are closed.
    for _ in range(READ_ROUNDS):
        await asyncio.sleep(0)
    for listener in drain.listeners:
        listener.phase = "draining"
    for listener in closing:
        listener.drained_ms = clock.boot_ms()
    drain.on_draining()


def _review_connections(drain: Drain) -> None:
    stop = drain.stop
    times = connection_stop.Times(
        stop.asked_ms + stop.notice_ms,
        STALL_MS,
        stop.asked_ms + stop.grace_ms - drain.answer_ms,
    )
    conns = (
        conn
        for listener in drain.listeners
        for conn in client_connections.connections(listener)
        if connection_stop.holds_exit(conn) or not listener.accepts_to_end
    )
    orders = connection_stop.review(conns, times, clock.boot_ms())
    for order in list(orders):
        match order:
            case connection_stop.CloseConnection():
                client_connections.close(order.key, order.reason)
            case connection_stop.EndReading():
                client_connections.end_reading(order.key, order.reason)


async def _close_all(drain: Drain) -> None:
    """Close the connections that are left, so that each is reported."""
    for listener in drain.listeners:
        listener.phase = "stopped"
        if listener.server is not None:
            listener.server.close()
        for conn in list(client_connections.connections(listener)):
            client_connections.close(
                conn.key,
                connection_stop.Reason.GRACE_OVER
                if connection_stop.holds_exit(conn)
                else connection_stop.Reason.IDLE,
            )
    for _ in range(READ_ROUNDS):
        await asyncio.sleep(0)
