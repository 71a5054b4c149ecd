"""Whether an upstream process that broke off an attempt has ended.

A broken answer alone does not tell: a reset or cut connection, a faulty
engine, a network partition and a suspension of this node break answers too.
The process has ended if another one has its address or its id, or if it sends
no more heartbeats while those of other upstreams arrive.
"""

import dataclasses
import enum

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.quarantine import quarantine_messages

__all__ = [
    "Fate",
    "Listening",
    "LostAttempt",
    "decode_loss",
    "encode_loss",
    "fate_of",
    "is_uncertain_at",
    "resumed_ms",
    "update_listening",
    "was_silent_before",
]

# Number of announcements after the last known one that prove that a process
# lives: one may have been on its way when the attempt broke off.
ALIVE_ANNOUNCEMENTS = 2
# Number of intervals without a heartbeat after which an upstream may already
# have ended before a request was sent to it.
MISSED_HEARTBEATS_BEFORE = 2
# Number of heartbeat intervals after a start or a suspension in which a node
# learns which upstreams have ended.
UNCERTAIN_HEARTBEATS = 2
# A process that handled no message for this long was suspended.
SUSPENSION_MS = 1000
# Number of intervals without a heartbeat after which an upstream no longer
# counts among those from which this node should hear.
FORGOTTEN_HEARTBEATS = 10
# Fraction of the upstreams from which this node must hear; if it hears from
# fewer, it has probably been cut off itself.
MIN_HEARD_RATIO = 0.5


class Fate(enum.Enum):
    """What is known of an upstream process after it broke off an attempt."""

    UNDECIDED = "undecided"
    """Too little time has passed to tell."""
    ENDED = "ended"
    """Another process has replaced it."""
    SILENT = "silent"
    """It sends no heartbeats; it may still return from a partition."""
    ALIVE = "alive"
    """It has sent heartbeats since."""
    LEFT = "left"
    """It had announced that it would stop."""


@dataclasses.dataclass(slots=True)
class LostAttempt:
    """An attempt that ended without an answer from its upstream.

    Attributes
    ----------
    identity, service
        Suspected identity of the request, and its service.
    upstream_id, address, born_ms
        Process of the upstream, as in `presence.Announcement`.
    seq
        Newest announcement of the process when the attempt broke off.
    started_ms, ended_ms
        When the attempt was sent, and when it broke off.
    heard_ms
        When the process was last known to live.
    answered_ms
        When the process last answered the node that made the attempt.
    trial_id
        As in `quarantine.Loss`.
    depth, has_run
        As in `quarantine.Suspect`, as far as the node knows.
    is_unverified
        Whether the node had just started or resumed, so that it could not
        tell if the process lived when the attempt was sent.
    """

    identity: str
    service: str
    upstream_id: str
    address: str
    born_ms: int
    seq: int
    started_ms: int
    ended_ms: int
    heard_ms: int
    answered_ms: int = 0
    trial_id: int = 0
    depth: int = 0
    has_run: bool = False
    is_unverified: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the upstream process."""
        return (self.upstream_id, self.born_ms)


@dataclasses.dataclass(slots=True)
class Listening:
    """Since when a node hears from the upstreams without interruption.

    Attributes
    ----------
    since_ms
        Start of the present period of undisturbed listening.
    resumed_ms
        When this node was last started, or resumed after a suspension.
    checked_ms
        When this was last checked.
    """

    since_ms: int = 0
    resumed_ms: int = 0
    checked_ms: int = 0


def update_listening(
    listening: Listening, table: presence.Table, now_ms: int
) -> None:
    """Restart the period of listening after a suspension or a partition.

    Parameters
    ----------
    listening
        Modified in place.
    table
        Known upstreams.
    now_ms
        Current time in milliseconds.
    """
    was_suspended = now_ms - listening.checked_ms > SUSPENSION_MS
    listening.resumed_ms = resumed_ms(listening, now_ms)
    listening.checked_ms = now_ms
    if was_suspended or not _hears_most(table, now_ms):
        listening.since_ms = now_ms


def is_uncertain_at(
    listening: Listening, heartbeat_ms: int, sent_ms: int
) -> bool:
    """Return whether a node did not know yet which upstreams have ended.

    Parameters
    ----------
    listening
        Since when the node hears from the upstreams.
    heartbeat_ms
        Interval between heartbeats in milliseconds.
    sent_ms
        When an attempt was sent.

    Returns
    -------
    bool
        True from before a suspension until `UNCERTAIN_HEARTBEATS` after it,
        and as long after a start.
    """
    return sent_ms < listening.resumed_ms + UNCERTAIN_HEARTBEATS * heartbeat_ms


def resumed_ms(listening: Listening, now_ms: int) -> int:
    """Return when a node was last started or resumed, as of now.

    Parameters
    ----------
    listening
        Since when the node hears from the upstreams.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        Time in milliseconds.
    """
    was_suspended = now_ms - listening.checked_ms > SUSPENSION_MS
    return now_ms if was_suspended else listening.resumed_ms


def _hears_most(table: presence.Table, now_ms: int) -> bool:
    silent_ms = [
        now_ms - upstream.heard_ms
        for upstream_id, upstream in table.upstreams.items()
        if upstream.leaving_since_ms < 0
        and table.by_address.get(upstream.announcement.address) == upstream_id
    ]
    known = sum(
        ms <= FORGOTTEN_HEARTBEATS * table.heartbeat_ms for ms in silent_ms
    )
    heard = sum(
        ms <= MISSED_HEARTBEATS_BEFORE * table.heartbeat_ms for ms in silent_ms
    )
    return heard >= MIN_HEARD_RATIO * known


def fate_of(
    lost: LostAttempt,
    table: presence.Table,
    listening: Listening,
    now_ms: int,
) -> Fate:
    """Decide whether the upstream process of an attempt has ended.

    Parameters
    ----------
    lost
        The attempt. Its `heard_ms` is updated.
    table
        Known upstreams.
    listening
        Since when this node hears from the upstreams.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Fate
        What is known of the process.
    """
    upstream = table.upstreams.get(lost.upstream_id)
    successor = table.upstreams.get(table.by_address.get(lost.address, ""))
    is_replaced = any(
        other is not None and other.announcement.born_ms > lost.born_ms
        for other in (upstream, successor)
    )
    is_known = (
        upstream is not None and upstream.announcement.born_ms == lost.born_ms
    )
    if is_known and upstream.leaving_since_ms >= 0:
        return Fate.LEFT
    if is_replaced:
        return Fate.ENDED
    if not is_known:
        return Fate.UNDECIDED
    lost.heard_ms = max(lost.heard_ms, upstream.heard_ms)
    silent_ms = now_ms - max(upstream.heard_ms, listening.since_ms)
    if silent_ms >= presence.MISSED_HEARTBEATS * table.heartbeat_ms:
        return Fate.SILENT
    if upstream.announcement.seq >= lost.seq + ALIVE_ANNOUNCEMENTS:
        return Fate.ALIVE
    return Fate.UNDECIDED


def was_silent_before(lost: LostAttempt, heartbeat_ms: int) -> bool:
    """Return whether the process may have ended before the attempt.

    Parameters
    ----------
    lost
        The attempt.
    heartbeat_ms
        Interval between heartbeats in milliseconds.

    Returns
    -------
    bool
        True if heartbeats were missing when the attempt was sent.
    """
    silent_ms = lost.started_ms - lost.heard_ms
    return silent_ms > MISSED_HEARTBEATS_BEFORE * heartbeat_ms


def encode_loss(
    lost: LostAttempt, is_confirmed: bool, now_ms: int
) -> quarantine_messages.ReportedLoss:
    """Return a lost attempt as it is sent to other nodes.

    Parameters
    ----------
    lost
        The attempt.
    is_confirmed
        Whether the process is known to have ended.
    now_ms
        Current time in milliseconds, when the message is sent.

    Returns
    -------
    ReportedLoss
        The loss with times relative to `now_ms`, since the clocks of nodes
        differ.
    """
    return quarantine_messages.ReportedLoss(
        lost.upstream_id,
        lost.address,
        lost.born_ms,
        lost.seq,
        max(now_ms - lost.started_ms, 0),
        max(now_ms - lost.ended_ms, 0),
        max(now_ms - lost.heard_ms, 0),
        max(now_ms - lost.answered_ms, 0),
        lost.trial_id > 0,
        is_confirmed,
        lost.trial_id,
        lost.depth,
        lost.has_run,
        lost.is_unverified,
    )


def decode_loss(
    identity: str,
    service: str,
    reported: quarantine_messages.ReportedLoss,
    now_ms: int,
) -> LostAttempt:
    """Return a lost attempt that another node has reported.

    Parameters
    ----------
    identity, service
        Suspected identity of the request, and its service.
    reported
        The reported loss.
    now_ms
        Current time in milliseconds, when the message arrived.

    Returns
    -------
    LostAttempt
        The attempt, with times on the clock of `now_ms`.
    """
    return LostAttempt(
        identity,
        service,
        reported.upstream_id,
        reported.address,
        reported.born_ms,
        reported.seq,
        now_ms - reported.started_ms_ago,
        now_ms - reported.ended_ms_ago,
        now_ms - reported.heard_ms_ago,
        now_ms - reported.answered_ms_ago,
        reported.trial_id or int(reported.is_trial),
        reported.depth,
        reported.has_run,
        reported.is_unverified,
    )
