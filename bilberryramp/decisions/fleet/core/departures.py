"""What a node tells others of upstreams that are leaving or gone.

A departure that a node has confirmed must stay known to all nodes that serve,
also to one that was restarted, suspended or cut off meanwhile. Nodes therefore
compare what they know of recent departures.
"""

import dataclasses
import zlib

from bilberryramp.decisions.fleet.core import presence

__all__ = [
    "announcement_to_relay",
    "as_leaving",
    "departure_of",
    "digest",
    "recent_departures",
]

# Time for which a departure is told to nodes that may have missed it. Delayed
# announcements arrive within seconds. It is less than half of
# `presence.UPSTREAM_EXPIRY_MS`, so that a departure told at the end of this
# time expires at all nodes before the node that was told stops telling it.
TOLD_FOR_MS = 45_000


def announcement_to_relay(
    table: presence.Table, received: presence.Announcement
) -> presence.Announcement | None:
    """Return what peers are to be told after an announcement was recorded.

    Parameters
    ----------
    table
        Table of upstreams in which the announcement was recorded, or refused
        as outdated.
    received
        The announcement.

    Returns
    -------
    Announcement or None
        The announcement, marked as leaving if its process is known to be; the
        recorded departure if that of the same process comes once more; None
        for another one that the table refused, since a node that has
        forgotten the newer one would believe it.
    """
    known = table.upstreams.get(received.upstream_id)
    if known is None:
        return None
    is_leaving = known.leaving_since_ms >= 0
    if known.announcement is not received:
        is_repeated = (
            is_leaving
            and (received.leaving or received.gone)
            and received.born_ms == known.announcement.born_ms
        )
        return as_leaving(known) if is_repeated else None
    return as_leaving(known) if is_leaving else received


def recent_departures(
    table: presence.Table, now_ms: int
) -> tuple[presence.Announcement, ...]:
    """Return the departures that nodes may have missed.

    Parameters
    ----------
    table
        Table of upstreams.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    tuple of Announcement
        Last announcements of the upstreams that began to leave within
        `TOLD_FOR_MS`, each marked as leaving.
    """
    return tuple(
        as_leaving(upstream)
        for upstream in table.upstreams.values()
        if upstream.leaving_since_ms >= 0
        and now_ms - upstream.leaving_since_ms < TOLD_FOR_MS
    )


def digest(departures: tuple[presence.Announcement, ...]) -> int:
    """Return a checksum by which two nodes compare what they know.

    Parameters
    ----------
    departures
        Departures in any order.

    Returns
    -------
    int
        CRC-32 of the ids and start times; 0 for no departures.
    """
    names = sorted(f"{d.upstream_id}@{d.born_ms}" for d in departures)
    return zlib.crc32("\n".join(names).encode("utf-8", "surrogatepass"))


def departure_of(last: presence.Announcement) -> presence.Announcement:
    """Return the announcement with which an upstream is gone.

    Parameters
    ----------
    last
        Last announcement of the upstream.

    Returns
    -------
    Announcement
        Announcement of the same process that replaces it.
    """
    return dataclasses.replace(
        last, seq=last.seq + 1, leaving=True, gone=True, remaining_ms=-1
    )


def as_leaving(upstream: presence.Upstream) -> presence.Announcement:
    """Return the last announcement of an upstream that is leaving.

    Parameters
    ----------
    upstream
        Entry of the upstream, which an announcement or an answer marked.

    Returns
    -------
    Announcement
        The announcement, which says that the upstream is leaving.
    """
    announcement = upstream.announcement
    if announcement.leaving:
        return announcement
    return dataclasses.replace(announcement, leaving=True)
