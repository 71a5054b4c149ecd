"""What the coordinator of the quarantine concludes from losses and runs."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import identities
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_guilt,
    coordinator_publications,
    coordinator_state,
    upstream_ends,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.shared import quarantine

__all__ = [
    "add_loss",
    "fire",
    "on_lift_suspect",
    "on_loss_report",
    "on_run_report",
    "record_losses",
    "review_losses",
    "review_suspects",
]

# A loss that cannot be decided for this long accuses nobody.
UNDECIDED_TTL_MS = 15_000
# Time for which a loss under a silent upstream is withdrawn if the upstream
# is heard from again.
WITHDRAWAL_MS = 60_000
# Time after its last loss for which a request is remembered, if it is not
# quarantined.
RETENTION_MS = 600_000


def on_loss_report(
    coord: coordinator_state.Coordinator, now_ms: int, message: msgs.LossReport
) -> Iterator:
    """Record the losses of one node.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    message
        Its report.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish, Trace
        The changes of suspects.
    """
    losses = [
        upstream_ends.decode_loss(identity, service, reported, now_ms)
        for identity, service, reported in message.losses
    ]
    yield from record_losses(coord, losses, now_ms)
    yield from _limit_suspects(coord, now_ms)


def record_losses(
    coord: coordinator_state.Coordinator,
    losses: list[upstream_ends.LostAttempt],
    now_ms: int,
) -> Iterator:
    """Record losses, and decide them as far as possible.

    Suspects are judged once all losses are recorded: one that is innocent
    looks guilty while those of its rivals are missing.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    losses
        The lost attempts.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish, Trace
        The changes of their suspects.
    """
    recorded = [lost for lost in losses if _record_loss(coord, lost)]
    for lost in recorded:
        yield from _decide(coord, lost, now_ms)
    changed = {
        lost.identity: coord.suspects[lost.identity] for lost in recorded
    }
    for identity, suspect in changed.items():
        if coord.suspects.get(identity) is suspect:
            yield from fire(coord, suspect, "evidence_changed", now_ms)


def _record_loss(
    coord: coordinator_state.Coordinator, lost: upstream_ends.LostAttempt
) -> bool:
    """Add a loss to its suspect; return False if it tells nothing new."""
    upstream = coord.table.upstreams.get(lost.upstream_id)
    is_known = (
        upstream is not None and upstream.announcement.born_ms == lost.born_ms
    )
    if lost.is_unverified:
        if not is_known or upstream_ends.is_uncertain_at(
            coord.listening, coord.table.heartbeat_ms, lost.started_ms
        ):
            return False
        lost.heard_ms = upstream.heard_ms
    elif is_known:
        # The node may have learned of the process after its last heartbeat.
        lost.heard_ms = max(lost.answered_ms, upstream.heard_ms)
    suspect = coord.suspects.pop(
        lost.identity, None
    ) or coordinator_state.make_suspect(lost.identity)
    suspect.has_run |= lost.has_run
    suspect.depth = max(suspect.depth, lost.depth)
    coord.suspects[suspect.key] = suspect
    coord.services[suspect.key] = lost.service
    if lost.key in suspect.losses:
        return False
    add_loss(coord, suspect, lost, False)
    return True


def add_loss(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    lost: upstream_ends.LostAttempt,
    is_confirmed: bool,
) -> None:
    """Add a loss to a suspect.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    suspect
        The suspect. Modified in place.
    lost
        The lost attempt.
    is_confirmed
        Whether it is known that the upstream ended.
    """
    suspect.losses[lost.key] = quarantine.Loss(
        lost.key,
        lost.upstream_id,
        lost.started_ms,
        lost.ended_ms,
        is_confirmed,
        lost.trial_id > 0,
        trial_id=lost.trial_id,
    )
    coord.is_evidence_new = True
    coord.lost[(suspect.key, *lost.key)] = lost
    coord.identities_at.setdefault(lost.key, set()).add(suspect.key)
    first_ms = coord.first_breaks_ms.pop(lost.key, lost.ended_ms)
    if first_ms <= lost.heard_ms:
        first_ms = lost.ended_ms
    coord.first_breaks_ms[lost.key] = min(first_ms, lost.ended_ms)
    if len(coord.first_breaks_ms) > coordinator_state.MAX_SUSPECTS:
        del coord.first_breaks_ms[next(iter(coord.first_breaks_ms))]


def _remove_loss(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    key: tuple,
) -> None:
    coord.is_evidence_new = True
    del suspect.losses[key]
    coord.lost.pop((suspect.key, *key), None)
    _unlist(coord, suspect, key)


def _unlist(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    key: tuple,
) -> None:
    suspected = coord.identities_at.get(key, set())
    suspected.discard(suspect.key)
    if not suspected:
        coord.identities_at.pop(key, None)


def _others_at(
    coord: coordinator_state.Coordinator, suspect: quarantine.Suspect
) -> Iterator[quarantine.Suspect]:
    """Yield the other suspects with a loss at the same upstream process."""
    others = {
        identity
        for key in suspect.losses
        for identity in coord.identities_at.get(key, ())
    } - {suspect.key}
    yield from (coord.suspects[identity] for identity in others)


def _may_have_ended_before(
    coord: coordinator_state.Coordinator, lost: upstream_ends.LostAttempt
) -> bool:
    """Return whether an upstream may have ended before an attempt began.

    Without a sign of life since, it has if an earlier attempt at it broke
    off, or if it had missed heartbeats.
    """
    first_ms = coord.first_breaks_ms.get(lost.key, lost.ended_ms)
    is_after_break = (
        lost.heard_ms < first_ms
        and lost.started_ms > first_ms + quarantine.CLOCK_TOLERANCE_MS
    )
    return is_after_break or upstream_ends.was_silent_before(
        lost, coord.table.heartbeat_ms
    )


def _decide(
    coord: coordinator_state.Coordinator,
    lost: upstream_ends.LostAttempt,
    now_ms: int,
) -> Iterator:
    """Confirm or refute a loss, as far as this can be told by now."""
    suspect = coord.suspects[lost.identity]
    loss = suspect.losses[lost.key]
    was_confirmed = loss.is_confirmed
    fate = upstream_ends.fate_of(lost, coord.table, coord.listening, now_ms)
    age_ms = now_ms - lost.ended_ms
    is_innocent = not was_confirmed and _may_have_ended_before(coord, lost)
    is_undecided = fate is upstream_ends.Fate.UNDECIDED
    if is_undecided and age_ms < UNDECIDED_TTL_MS and not is_innocent:
        return
    has_ended = fate in (upstream_ends.Fate.ENDED, upstream_ends.Fate.SILENT)
    loss.is_confirmed = not is_innocent and (
        has_ended or (is_undecided and was_confirmed)
    )
    may_return = fate is upstream_ends.Fate.SILENT and age_ms < WITHDRAWAL_MS
    if not (loss.is_confirmed and may_return):
        del coord.lost[(lost.identity, *lost.key)]
    if not loss.is_confirmed:
        _remove_loss(coord, suspect, lost.key)
    if loss.is_confirmed and not was_confirmed:
        coord.is_evidence_new = True
        yield Trace(
            "request.loss_confirmed",
            {
                "fingerprint": lost.identity,
                "kind": identities.kind_of(lost.identity).value,
                "service": lost.service,
                "upstream": lost.upstream_id,
                "sign": fate.value,
                "ended_ms_ago": age_ms,
                "losses": quarantine.count_successive(
                    suspect.losses.values(), True
                ),
            },
        )


def on_run_report(
    coord: coordinator_state.Coordinator, now_ms: int, message: msgs.RunReport
) -> Iterator:
    """Remove the losses that a run refutes.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    message
        Report of the run.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish, Trace
        The changes of the suspect.
    """
    suspect = coord.suspects.get(message.fingerprint)
    if suspect is None:
        return
    suspect.has_run = True
    ended_ms = now_ms - message.ended_ms_ago
    for key, loss in list(suspect.losses.items()):
        if loss.ended_ms <= ended_ms:
            _remove_loss(coord, suspect, key)
    event = "evidence_changed" if suspect.losses else "ran"
    yield from fire(coord, suspect, event, now_ms)


def on_lift_suspect(
    coord: coordinator_state.Coordinator,
    now_ms: int,
    message: msgs.LiftSuspect,
) -> Iterator:
    """Free a suspect on behalf of an operator.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    message
        Names the suspect.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish, Trace
        The change of the suspect.
    """
    suspect = coord.suspects.get(message.fingerprint)
    if suspect is not None:
        yield from fire(coord, suspect, "lifted", now_ms)


def fire(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    event: str,
    now_ms: int,
) -> Iterator:
    """Fire an event of a suspect, and publish its state if that changed.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    suspect
        The suspect. Modified in place.
    event
        Event of the ``suspect`` chart.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish, Trace
        The change of the suspect.
    """
    phase = suspect.phase
    coordinator_guilt.assess(coord, suspect)
    for effect in quarantine.fire(coord.chart, suspect, event, now_ms):
        yield from coordinator_publications.publish(
            coord, effect.suspect, event, now_ms
        )
    others = list(_others_at(coord, suspect)) if phase == "observed" else ()
    is_over = suspect.phase == "cleared" or (
        suspect.phase == "observed" and not suspect.losses
    )
    if is_over:
        _forget(coord, suspect, now_ms)
    if suspect.phase in ("restricted", "quarantined"):
        # The losses of others are now shared with one more suspect.
        for other in others:
            if other.phase == "quarantined":
                yield from fire(coord, other, "evidence_changed", now_ms)


def _forget(
    coord: coordinator_state.Coordinator,
    suspect: quarantine.Suspect,
    now_ms: int,
) -> None:
    coord.is_evidence_new = True
    coord.suspects.pop(suspect.key, None)
    coord.services.pop(suspect.key, None)
    coord.cleared_ms[suspect.key] = now_ms
    for key in suspect.losses:
        coord.lost.pop((suspect.key, *key), None)
        _unlist(coord, suspect, key)


def review_losses(
    coord: coordinator_state.Coordinator, now_ms: int
) -> Iterator:
    """Decide the losses whose upstreams are known to have ended by now.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish, Trace
        The changes of suspects.
    """
    changed = {}
    for lost in list(coord.lost.values()):
        suspect = coord.suspects[lost.identity]
        before = suspect.losses[lost.key].is_confirmed
        yield from _decide(coord, lost, now_ms)
        loss = suspect.losses.get(lost.key)
        if loss is None or loss.is_confirmed != before:
            changed[suspect.key] = suspect
    for suspect in changed.values():
        yield from fire(coord, suspect, "evidence_changed", now_ms)


def review_suspects(
    coord: coordinator_state.Coordinator, now_ms: int
) -> Iterator:
    """End quarantines, and forget suspects without recent losses.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Publish, Trace
        The changes of suspects.
    """
    for suspect in list(coord.suspects.values()):
        if suspect.phase == "quarantined":
            if now_ms >= suspect.until_ms:
                yield from fire(coord, suspect, "quarantine_ended", now_ms)
            continue
        last_ms = max(
            (loss.ended_ms for loss in suspect.losses.values()), default=0
        )
        last_ms = max(last_ms, suspect.until_ms)
        if now_ms - last_ms > RETENTION_MS:
            yield from fire(coord, suspect, "expired", now_ms)


def _limit_suspects(
    coord: coordinator_state.Coordinator, now_ms: int
) -> Iterator:
    """Forget requests beyond the limit, in the order that it states."""
    while len(coord.suspects) > coordinator_state.MAX_SUSPECTS:
        oldest = next(
            (s for s in coord.suspects.values() if s.phase != "quarantined"),
            None,
        ) or min(coord.suspects.values(), key=lambda s: s.until_ms)
        yield from fire(coord, oldest, "lifted", now_ms)
