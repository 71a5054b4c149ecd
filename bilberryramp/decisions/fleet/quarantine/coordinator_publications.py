"""What the coordinator of the quarantine tells the nodes."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import identities
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_state,
    upstream_ends,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.shared import effects, quarantine

__all__ = [
    "correction",
    "entry_of",
    "flush",
    "on_list_request",
    "publish",
    "remind",
    "whole_list",
]

# Number of losses of a request that are published with it.
MAX_PUBLISHED_LOSSES = 8
# Interval of the reminders, and limit on the messages per second with which
# the coordinator sends them, as in `sharing`.
DIGEST_INTERVAL_MS = 1000
MAX_MESSAGES_PER_S = 120


def publish(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    cause: str,
    now_ms: int,
) -> Iterator:
    """Note a suspect's new state for the next publication.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    suspect
        The suspect.
    cause
        Event that changed it, for the log.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Trace
        The log event of the change.
    """
    entry = entry_of(coord, suspect, now_ms)
    coord.changed[suspect.key] = entry
    yield Trace(
        "quarantine.changed",
        {
            "fingerprint": suspect.key,
            "kind": identities.kind_of(suspect.key).value,
            "service": entry.service,
            "state": suspect.phase,
            "cause": cause,
            "upstreams": [loss.upstream_id for loss in entry.losses],
            "remaining_ms": entry.remaining_ms,
        },
    )


def flush(coord: coordinator_state.Coordinator, now_ms: int) -> Iterator:
    """Publish the changes of all suspects since the last publication.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish
        At most one message.
    """
    if not coord.changed:
        return
    coord.revision += 1
    coord.published_ms = now_ms
    entries = tuple(coord.changed.values())
    coord.changed.clear()
    yield coordinator_state.Publish(
        msgs.SuspectList(coord.address, coord.revision, False, entries)
    )


def entry_of(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    now_ms: int,
) -> msgs.PublishedSuspect:
    """Return a suspect as it is published.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    suspect
        The suspect.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    PublishedSuspect
        The suspect, with times relative to `now_ms`.
    """
    newest = list(suspect.losses.values())[-MAX_PUBLISHED_LOSSES:]
    return msgs.PublishedSuspect(
        suspect.key,
        coord.services.get(suspect.key, ""),
        suspect.phase,
        max(suspect.until_ms - now_ms, 0),
        suspect.quarantine_count,
        tuple(_encode(coord, suspect, loss, now_ms) for loss in newest),
        suspect.has_run,
        suspect.depth,
    )


def _encode(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    loss: quarantine.Loss,
    now_ms: int,
) -> msgs.ReportedLoss:
    lost = coord.lost.get((suspect.key, *loss.key))
    if lost is not None:
        return upstream_ends.encode_loss(lost, loss.is_confirmed, now_ms)
    upstream_id, born_ms = loss.key
    return msgs.ReportedLoss(
        upstream_id,
        "",
        born_ms,
        0,
        max(now_ms - loss.started_ms, 0),
        max(now_ms - loss.ended_ms, 0),
        max(now_ms - loss.started_ms, 0),
        max(now_ms - loss.started_ms, 0),
        loss.is_trial,
        loss.is_confirmed,
        loss.trial_id,
        suspect.depth,
        suspect.has_run,
    )


def whole_list(
    coord: coordinator_state.Coordinator, now_ms: int
) -> msgs.SuspectList:
    """Return all suspects that may not run freely.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    SuspectList
        The list.
    """
    return msgs.SuspectList(
        coord.address,
        coord.revision,
        True,
        tuple(
            entry_of(coord, suspect, now_ms)
            for suspect in coord.suspects.values()
            if suspect.phase != "observed"
        ),
    )


def on_list_request(
    coord: coordinator_state.Coordinator,
    now_ms: int,
    message: msgs.ListRequest,
) -> Iterator:
    """Answer a node that asks for the whole list.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    message
        The request.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Send
        The list.
    """
    yield effects.Send(message.sender, whole_list(coord, now_ms))


def correction(
    coord: coordinator_state.Coordinator,
    entries: tuple[msgs.PublishedSuspect, ...],
) -> msgs.SuspectList:
    """Return a message that corrects what one node knows of suspects."""
    return msgs.SuspectList(coord.address, coord.revision, False, entries)


def remind(coord: coordinator_state.Coordinator, now_ms: int) -> Iterator:
    """Remind all nodes of the newest publication at intervals.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish
        At most one `SuspectDigest`.
    """
    interval_ms = max(
        DIGEST_INTERVAL_MS, 1000 * coord.node_count // MAX_MESSAGES_PER_S
    )
    is_published = any(
        suspect.phase != "observed" for suspect in coord.suspects.values()
    )
    is_recent = (
        now_ms - coord.published_ms < coordinator_state.PUBLICATION_MEMORY_MS
    )
    if (is_published or is_recent) and (
        now_ms - coord.digest_ms >= interval_ms
    ):
        coord.digest_ms = now_ms
        yield coordinator_state.Publish(
            msgs.SuspectDigest(coord.address, coord.revision)
        )
