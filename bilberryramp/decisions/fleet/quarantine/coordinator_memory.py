"""What the coordinator keeps beyond its own process, and takes over.

All nodes know which suspects are restricted or quarantined, and the losses at
the time of that change. The coordinator alone knows those that are observed
and the newest losses, and keeps them through its own node and its disk.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.quarantine import (
    coordinator_losses,
    coordinator_publications,
    coordinator_state,
    upstream_ends,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.shared import quarantine

__all__ = ["on_known_suspects", "remember", "take_over"]

# Minimum time between two lists.
REMEMBER_INTERVAL_MS = 500
# Limits on the suspects in a list, and on the losses of an observed one.
# Restricted ones come first, then those that never ran well, then those with
# the newest losses.
MAX_REMEMBERED = 256
MAX_OBSERVED_LOSSES = 2


def remember(coord: coordinator_state.Coordinator, now_ms: int) -> Iterator:
    """Let the node of the coordinator remember which suspects have losses.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    GatheredLosses
        The list, if it changed and the last one is old enough.
    """
    if (
        not coord.is_evidence_new
        or now_ms - coord.remembered_ms < REMEMBER_INTERVAL_MS
    ):
        return
    coord.is_evidence_new = False
    coord.remembered_ms = now_ms
    ranked = sorted(
        (s for s in coord.suspects.values() if s.phase != "quarantined"),
        key=lambda s: (s.phase == "observed", s.has_run, -_last_loss_ms(s)),
    )
    yield coordinator_state.GatheredLosses(
        tuple(
            _shorten(coordinator_publications.entry_of(coord, s, now_ms))
            for s in ranked[:MAX_REMEMBERED]
        )
    )


def _shorten(entry: msgs.PublishedSuspect) -> msgs.PublishedSuspect:
    if entry.phase != "observed":
        return entry
    return dataclasses.replace(
        entry, losses=entry.losses[-MAX_OBSERVED_LOSSES:]
    )


def _last_loss_ms(suspect: quarantine.Suspect) -> int:
    return max((loss.ended_ms for loss in suspect.losses.values()), default=0)


def on_known_suspects(
    coord: coordinator_state.Coordinator,
    now_ms: int,
    message: msgs.KnownSuspects,
) -> Iterator:
    """Continue with the suspects of an earlier coordinator.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.
    message
        What a node knows.

    Yields
    ------
    Publish, Trace
        The changes of suspects.
    """
    changed = []
    for entry in message.suspects:
        if entry.fingerprint in coord.cleared_ms:
            continue
        is_adopted = entry.fingerprint not in coord.suspects
        if not take_over(coord, entry, now_ms):
            continue
        suspect = coord.suspects[entry.fingerprint]
        is_quarantined = suspect.phase == "quarantined"
        if is_quarantined or (is_adopted and suspect.phase != "observed"):
            yield from coordinator_publications.publish(
                coord, suspect, "adopted", now_ms
            )
        if not is_quarantined:
            changed.append(suspect)
    for suspect in changed:
        if coord.suspects.get(suspect.key) is suspect:
            yield from coordinator_losses.fire(
                coord, suspect, "evidence_changed", now_ms
            )


def take_over(
    coord: coordinator_state.Coordinator,
    entry: msgs.PublishedSuspect,
    now_ms: int,
) -> bool:
    """Continue with a suspect as another process knew it.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    entry
        The suspect.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether this was new to the coordinator.
    """
    suspect = coord.suspects.get(entry.fingerprint)
    if suspect is not None:
        return _merge(coord, suspect, entry, now_ms)
    suspect = coordinator_state.make_suspect(
        entry.fingerprint,
        phase=entry.phase,
        quarantine_count=entry.quarantine_count,
        until_ms=now_ms + entry.remaining_ms,
        has_run=entry.has_run,
        depth=entry.depth,
    )
    coord.suspects[suspect.key] = suspect
    coord.services[suspect.key] = entry.service
    _add_losses(coord, suspect, entry, now_ms)
    return True


def _merge(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    entry: msgs.PublishedSuspect,
    now_ms: int,
) -> bool:
    """Add what another process knew of a suspect; return whether it is new.

    A run since then may have refuted the losses of a suspect that has run.
    """
    if suspect.has_run:
        return False
    is_new = _add_losses(coord, suspect, entry, now_ms)
    if entry.remaining_ms and suspect.phase != "quarantined":
        suspect.phase = entry.phase
        suspect.quarantine_count = entry.quarantine_count
        suspect.until_ms = now_ms + entry.remaining_ms
        is_new = True
    return is_new


def _add_losses(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    entry: msgs.PublishedSuspect,
    now_ms: int,
) -> bool:
    is_new = False
    for reported in entry.losses:
        lost = upstream_ends.decode_loss(
            entry.fingerprint, entry.service, reported, now_ms
        )
        if lost.key in suspect.losses:
            continue
        is_new = True
        coordinator_losses.add_loss(
            coord, suspect, lost, reported.is_confirmed
        )
        if reported.is_confirmed and not reported.address:
            del coord.lost[(suspect.key, *lost.key)]
    return is_new
