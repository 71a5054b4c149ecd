"""An entry's connection to one upstream process.

Follows ``charts/connection.yaml``. Frames wait here until the transport
reports a finished handshake, so that a connection that never opened is
evidence that its requests were not run.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.entry import entry_messages
from bilberryramp.decisions.shared import call_messages, charting

__all__ = [
    "Link",
    "LinkDisconnected",
    "LinkOpened",
    "LinkIdle",
    "Transmit",
    "actions",
    "guards",
    "is_closed",
    "on_event",
    "on_frame",
    "on_timer",
    "send",
    "start",
]


@dataclasses.dataclass(slots=True, frozen=True)
class LinkOpened:
    """The transport finished its handshake."""


@dataclasses.dataclass(slots=True, frozen=True)
class LinkDisconnected:
    """The transport lost the connection or could not open it."""


@dataclasses.dataclass(slots=True, frozen=True)
class LinkIdle:
    """Nothing was sent for a long time."""


@dataclasses.dataclass(slots=True, frozen=True)
class Transmit:
    """Hand a frame to the transport."""

    frame: object


@dataclasses.dataclass(slots=True)
class Link:
    """State of one connection; `key`, `phase`, `timer` are its machine's.

    Attributes
    ----------
    view_index
        Log index of the entry's view, shown in pings.
    waiting
        Frames not yet handed to the transport.
    """

    upstream_id: str
    chart: charting.Chart
    key: str = "connection"
    phase: str = "opening"
    timer: int = 0
    view_index: int = 0
    pending_frames: list[object] = dataclasses.field(default_factory=list)


_EVENTS = {
    LinkOpened: "opened",
    LinkDisconnected: "disconnected",
    LinkIdle: "idle",
}


def start(link: Link, now_ms: int) -> Iterator:
    """Begin to wait for the handshake.

    Parameters
    ----------
    link
        Changed in place.
    now_ms
        The entry's clock in milliseconds.

    Yields
    ------
    SetTimer
        For giving up.
    """
    yield from charting.start(link.chart, link, now_ms)


def on_event(link: Link, now_ms: int, message) -> Iterator:
    """Handle `LinkOpened`, `LinkDisconnected` or `LinkIdle`.

    Parameters
    ----------
    link
        Changed in place.
    now_ms
        The entry's clock in milliseconds.
    message
        What happened to the transport.

    Yields
    ------
    Transmit, SetTimer, entry_messages.LinkLost, entry_messages.LinkFailed
        What follows from it.
    """
    event = _EVENTS[type(message)]
    yield from charting.fire(link.chart, link, event, now_ms, None)


def on_frame(link: Link, now_ms: int, frame) -> Iterator:
    """Note that the upstream process is alive.

    Parameters
    ----------
    link
        Changed in place.
    now_ms
        The entry's clock in milliseconds.
    frame
        A frame that arrived.

    Yields
    ------
    SetTimer
        For the next ping.
    """
    if isinstance(frame, call_messages.Pong):
        yield from charting.fire(link.chart, link, "pong", now_ms, None)


def on_timer(link: Link, now_ms: int, token: int) -> Iterator:
    """Handle a timer of the chart.

    Parameters
    ----------
    link
        Changed in place.
    now_ms
        The entry's clock in milliseconds.
    token
        From the `SetTimer`.

    Yields
    ------
    Transmit, SetTimer, entry_messages.LinkLost, entry_messages.LinkFailed
        What follows from it.
    """
    yield from charting.fire_timer(link.chart, link, token, now_ms)


def send(link: Link, frame) -> Iterator:
    """Send a frame, or keep it until the connection is open.

    Parameters
    ----------
    link
        Changed in place.
    frame
        One of `call_messages`.

    Yields
    ------
    Transmit
        At once when the connection is open.
    """
    if link.phase == link.chart.spec.initial:
        link.pending_frames.append(frame)
    else:
        yield Transmit(frame)


def is_closed(link: Link) -> bool:
    """Tell whether the connection has ended."""
    return link.chart.spec.states[link.phase].final


def _flush(link: Link, _now_ms: int, _payload) -> Iterator:
    yield from (Transmit(frame) for frame in link.pending_frames)
    link.pending_frames.clear()


def _ping(link: Link, _now_ms: int, _payload) -> Iterator:
    yield Transmit(call_messages.Ping(link.view_index))


def _report_failed(link: Link, _now_ms: int, _payload) -> Iterator:
    yield entry_messages.LinkFailed(link.upstream_id)


def _report_lost(link: Link, _now_ms: int, _payload) -> Iterator:
    yield entry_messages.LinkLost(link.upstream_id)


guards: dict = {}
actions = {
    "flush": _flush,
    "ping": _ping,
    "report_failed": _report_failed,
    "report_lost": _report_lost,
}
