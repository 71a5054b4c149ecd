"""Connection of an entry to one upstream process.

A connection is a state machine of ``charts/connection.yaml``. Frames are
queued until the transport has completed its handshake, so requests on a
connection that never opened are known not to have run.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.entry import entry_messages
from bilberryramp.decisions.shared import call_messages, charting

__all__ = [
    "Link",
    "LinkDisconnected",
    "LinkIdle",
    "LinkOpened",
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
    """The transport completed its handshake."""


@dataclasses.dataclass(slots=True, frozen=True)
class LinkDisconnected:
    """The transport lost the connection or could not open it."""


@dataclasses.dataclass(slots=True, frozen=True)
class LinkIdle:
    """No frame was sent on the connection for a long time."""


@dataclasses.dataclass(slots=True, frozen=True)
class Transmit:
    """Send a frame on the transport."""

    frame: object


@dataclasses.dataclass(slots=True)
class Link:
    """State of a connection.

    Attributes
    ----------
    upstream_id
        Id of the upstream that the connection leads to.
    key, phase, timer

        State of the machine of ``charts/connection.yaml``.
    view_index
        Log index of the entry's view, sent in pings.
    pending_frames
        Frames to be sent after the handshake.
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
    """Start the timeout of the handshake.

    Parameters
    ----------
    link
        Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    SetTimer
        Timeout of the handshake.
    """
    yield from charting.start(link.chart, link, now_ms)


def on_event(link: Link, now_ms: int, message) -> Iterator:
    """Handle `LinkOpened`, `LinkDisconnected` or `LinkIdle`.

    Parameters
    ----------
    link
        Modified in place.
    now_ms
        Current time in milliseconds.
    message
        The event of the transport.

    Yields
    ------
    Transmit, SetTimer, entry_messages.LinkLost, entry_messages.LinkFailed
        Effects of the chart's actions.
    """
    event = _EVENTS[type(message)]
    yield from charting.fire(link.chart, link, event, now_ms, None)


def on_frame(link: Link, now_ms: int, frame) -> Iterator:
    """Handle a frame from the upstream; a pong shows that it is alive.

    Parameters
    ----------
    link
        Modified in place.
    now_ms
        Current time in milliseconds.
    frame
        The received frame; frames other than `Pong` have no effect.

    Yields
    ------
    SetTimer
        Timer of the next ping.
    """
    if isinstance(frame, call_messages.Pong):
        yield from charting.fire(link.chart, link, "pong", now_ms, None)


def on_timer(link: Link, now_ms: int, token: int) -> Iterator:
    """Handle a timer of the connection's chart.

    Parameters
    ----------
    link
        Modified in place.
    now_ms
        Current time in milliseconds.
    token
        Token of the `SetTimer` that came due.

    Yields
    ------
    Transmit, SetTimer, entry_messages.LinkLost, entry_messages.LinkFailed
        Effects of the chart's actions.
    """
    yield from charting.fire_timer(link.chart, link, token, now_ms)


def send(link: Link, frame) -> Iterator:
    """Send a frame, or queue it until the connection is open.

    Parameters
    ----------
    link
        Modified in place.
    frame
        A message of `call_messages`.

    Yields
    ------
    Transmit
        The frame, if the connection is open.
    """
    if link.phase == link.chart.spec.initial:
        link.pending_frames.append(frame)
    else:
        yield Transmit(frame)


def is_closed(link: Link) -> bool:
    """Return whether the connection has ended."""
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
