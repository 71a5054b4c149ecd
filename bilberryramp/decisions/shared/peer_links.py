"""Connection to a peer: its queue, keep-alive and reopening.

The phases follow ``charts/peer_link.yaml``. Time is counted in ticks of
`TICK_MS`, so that the time during which this process itself stood still is
not taken for a silence of the peer.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from bilberryramp.decisions.shared import charting

__all__ = [
    "Link",
    "PING_INTERVAL_MS",
    "QUEUE_LIMIT_BYTES",
    "QUEUE_LIMIT_MESSAGES",
    "REOPEN_MAX_MS",
    "REOPEN_MIN_MS",
    "Reopen",
    "TICK_MS",
    "Verdict",
    "actions",
    "guards",
    "hear",
    "push",
    "report",
    "take_batch",
    "tick",
]

TICK_MS = 200
# A dead connection is found within the interval and the time for an answer,
# 1.2 s, which is well below the time after which a node that was cut off is
# regarded as connected again.
PING_INTERVAL_MS = 400
ANSWER_TICKS = 4
# Time in which a peer that reads slowly must take some bytes.
STALL_TICKS = 6
QUEUE_LIMIT_MESSAGES = 400
# The queue holds at most this and one message more, so that a message of any
# size can be sent.
QUEUE_LIMIT_BYTES = 256 * 2**10
# Frames that are written together.
BATCH_BYTES = 64 * 2**10
REOPEN_MIN_MS = 80
REOPEN_MAX_MS = 500
_ACCEPTING_PHASES = frozenset(("first_opening", "up"))


class Verdict(enum.Enum):
    """What a tick asks for."""

    NONE = enum.auto()
    PING = enum.auto()
    DEAD = enum.auto()


@dataclasses.dataclass(slots=True, frozen=True)
class Reopen:
    """Effect: open the connection again after a delay in milliseconds."""

    delay_ms: int


@dataclasses.dataclass(slots=True)
class Link:
    """State of the connection to one peer.

    Attributes
    ----------
    key
        Address of the peer.
    chart
        The chart ``peer_link``, bound to this module's functions.
    ping_interval_ms
        Interval of the keep-alive in milliseconds.
    queue, queued_bytes
        Frames to be written, oldest first, and their size.
    dropped
        Number of messages that were not sent.
    reopen_delay_ms
        Delay of the next opening in milliseconds.
    is_blocked
        Whether a write waits for the peer to take bytes.
    quiet_ticks
        Ticks since the last sign of life, or since the last ping.
    awaits_pong
        Whether the last ping has no answer yet.
    phase, timer
        See `charting.Chart`.
    """

    key: str
    chart: charting.Chart
    ping_interval_ms: int = PING_INTERVAL_MS
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    queued_bytes: int = 0
    dropped: int = 0
    reopen_delay_ms: int = REOPEN_MIN_MS
    is_blocked: bool = False
    quiet_ticks: int = 0
    awaits_pong: bool = False
    phase: str = "first_opening"
    timer: int = 0


def push(link: Link, data: bytes) -> bool:
    """Queue a frame; the oldest ones make room for it.

    Every message is later repeated or superseded by a newer one, so the
    oldest are worth least.

    Parameters
    ----------
    link
        Connection to the peer. Modified in place.
    data
        Frame to send.

    Returns
    -------
    bool
        Whether the frame was queued; False while there is no connection,
        unless it is opened for the first time.
    """
    if link.phase not in _ACCEPTING_PHASES:
        link.dropped += 1
        return False
    queue = link.queue
    queue.append(data)
    link.queued_bytes += len(data)
    while len(queue) > QUEUE_LIMIT_MESSAGES or (
        len(queue) > 1
        and link.queued_bytes - len(queue[0]) >= QUEUE_LIMIT_BYTES
    ):
        link.queued_bytes -= len(queue.popleft())
        link.dropped += 1
    return True


def take_batch(link: Link) -> bytes:
    """Remove the oldest frames from the queue.

    Parameters
    ----------
    link
        Connection to the peer. Modified in place.

    Returns
    -------
    bytes
        At most `BATCH_BYTES`, or one longer frame; empty if none is queued.
    """
    queue = link.queue
    if not queue:
        return b""
    batch = [queue.popleft()]
    size = len(batch[0])
    while queue and size + len(queue[0]) <= BATCH_BYTES:
        size += len(queue[0])
        batch.append(queue.popleft())
    link.queued_bytes -= size
    return batch[0] if len(batch) == 1 else b"".join(batch)


def hear(link: Link) -> None:
    """Note a sign of life: bytes of the peer, or that it took some.

    Parameters
    ----------
    link
        Connection to the peer. Modified in place.
    """
    link.quiet_ticks = 0
    link.awaits_pong = False


def tick(link: Link) -> Verdict:
    """Judge a connection that is up; to be called each `TICK_MS`.

    Parameters
    ----------
    link
        Connection to the peer. Modified in place.

    Returns
    -------
    Verdict
        Whether to ping the peer, or to end the connection.
    """
    link.quiet_ticks += 1
    if link.is_blocked:
        is_dead = link.quiet_ticks >= STALL_TICKS
    elif link.awaits_pong:
        is_dead = link.quiet_ticks >= ANSWER_TICKS
    elif link.quiet_ticks * TICK_MS >= link.ping_interval_ms:
        link.quiet_ticks = 0
        link.awaits_pong = True
        return Verdict.PING
    else:
        return Verdict.NONE
    return Verdict.DEAD if is_dead else Verdict.NONE


def report(link: Link, event: str, now_ms: int) -> Iterator:
    """Process an event of the chart.

    Parameters
    ----------
    link
        Connection to the peer. Modified in place.
    event
        Event of the chart.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Reopen
        When the connection has ended.
    """
    yield from charting.fire(link.chart, link, event, now_ms, None)


def _begin_keepalive(link: Link, _now_ms: int, _payload) -> Iterator:
    hear(link)
    link.is_blocked = False
    link.reopen_delay_ms = REOPEN_MIN_MS
    yield from ()


def _drop_queue(link: Link, _now_ms: int, _payload) -> Iterator:
    link.dropped += len(link.queue)
    link.queue.clear()
    link.queued_bytes = 0
    yield from ()


def _delay_reopening(link: Link, _now_ms: int, _payload) -> Iterator:
    yield Reopen(link.reopen_delay_ms)
    link.reopen_delay_ms = min(2 * link.reopen_delay_ms, REOPEN_MAX_MS)


guards = {}
actions = {
    "begin_keepalive": _begin_keepalive,
    "drop_queue": _drop_queue,
    "delay_reopening": _delay_reopening,
}
