"""Which node may run a restricted request now."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.quarantine import (
    coordinator_losses,
    coordinator_publications,
    coordinator_state,
    upstream_ends,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.shared import effects, quarantine

__all__ = ["on_trial_ended", "on_trial_request"]

# Time beyond the deadline of its request after which a trial counts as over.
TRIAL_GRACE_MS = 1000


def on_trial_request(
    coord: coordinator_state.Coordinator,
    now_ms: int,
    message: msgs.TrialRequest,
) -> Iterator:
    """Grant a trial, or tell the node why it needs none.

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
    Send, Publish, Trace
        The answer, and the changes by the losses in the request.
    """
    cleared_ms = coord.cleared_ms.get(message.fingerprint, 0)
    losses = [
        upstream_ends.decode_loss(
            message.fingerprint, message.service, reported, now_ms
        )
        for reported in message.losses
    ]
    yield from coordinator_losses.record_losses(
        coord, [lost for lost in losses if lost.ended_ms > cleared_ms], now_ms
    )
    requested = message.identities or (message.fingerprint,)
    corrections = tuple(_corrections(coord, message, requested, now_ms))
    if corrections:
        # The node asks again if the request may still run only in a trial.
        yield effects.Send(
            message.sender,
            coordinator_publications.correction(coord, corrections),
        )
        return
    restricted = [coord.suspects[identity] for identity in requested]
    trial = coordinator_state.Trial(
        coord.next_trial_id,
        requested,
        message.service,
        any(_count_losses(s) >= s.limits.restrict_losses for s in restricted),
        message.sender,
        now_ms + message.remaining_ms + TRIAL_GRACE_MS,
    )
    if all(map(_may_lose_more, restricted)) and _is_free(coord, trial, now_ms):
        coord.next_trial_id += 1
        coord.trials[trial.trial_id] = trial
        yield effects.Send(
            message.sender,
            msgs.TrialGrant(requested[0], trial.trial_id, requested),
        )


def _corrections(
    coord: coordinator_state.Coordinator,
    message: msgs.TrialRequest,
    requested: tuple[str, ...],
    now_ms: int,
) -> Iterator[msgs.PublishedSuspect]:
    """Yield the identities of which the node missed the present state."""
    for identity in requested:
        suspect = coord.suspects.get(identity)
        if suspect is None:
            yield msgs.PublishedSuspect(
                identity, message.service, "cleared", 0, 0, ()
            )
        elif suspect.phase != "restricted":
            yield coordinator_publications.entry_of(coord, suspect, now_ms)


def _count_losses(suspect: quarantine.Suspect) -> int:
    return quarantine.count_successive(suspect.losses.values(), False)


def _may_lose_more(suspect: quarantine.Suspect) -> bool:
    """Return whether a trial could still tell something about a suspect.

    As long as a further loss would be the one that can prove it guilty, a
    trial need not wait until the earlier losses are decided, so an innocent
    one is soon cleared.
    """
    required = suspect.limits.quarantine_losses + suspect.quarantine_count
    is_undecided = not all(
        loss.is_confirmed for loss in suspect.losses.values()
    )
    return not is_undecided or _count_losses(suspect) < required


def _is_free(
    coord: coordinator_state.Coordinator,
    wanted: coordinator_state.Trial,
    now_ms: int,
) -> bool:
    """Return whether no other trial is in the way of a new one.

    A trial replaces an earlier one that the same node asked for, since the
    permission may have been lost.
    """
    for trial_id, trial in list(coord.trials.items()):
        is_repeated = (trial.identities, trial.sender) == (
            wanted.identities,
            wanted.sender,
        )
        if trial.expires_ms <= now_ms or is_repeated:
            del coord.trials[trial_id]
    return not any(
        set(trial.identities) & set(wanted.identities)
        or (
            trial.is_exclusive
            and wanted.is_exclusive
            and trial.service == wanted.service
        )
        for trial in coord.trials.values()
    )


def on_trial_ended(
    coord: coordinator_state.Coordinator,
    _now_ms: int,
    message: msgs.TrialEnded,
) -> Iterator:
    """Record that a trial is over.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    message
        Names the trial.

    Yields
    ------
    nothing
        A generator like all handlers of messages.
    """
    coord.trials.pop(message.trial_id, None)
    yield from ()
