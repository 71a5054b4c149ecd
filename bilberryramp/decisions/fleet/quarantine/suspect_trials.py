"""Trials: single attempts of restricted requests."""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import calls, identities
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.quarantine import (
    suspect_evidence,
    suspects,
    upstream_ends,
)

__all__ = [
    "accept_grant",
    "due_trial_requests",
    "end_trial",
    "end_trial_of_parts",
]

REQUEST_INTERVAL_MS = 200


def due_trial_requests(
    state: suspects.Suspects, held: list[calls.Call], now_ms: int
) -> Iterator:
    """Ask for a trial of each set of restricted identities that is held.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    held
        Calls that are held.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        One message for each set that is due.
    """
    wanted: dict[tuple[str, ...], calls.Call] = {}
    for call in held:
        restricted = suspects.restricted_identities(state, call)
        if restricted:
            wanted.setdefault(restricted, call)
    for restricted in state.asked_ms.keys() - wanted.keys():
        del state.asked_ms[restricted]
    on_trial = {identity for key in state.trials for identity in key}
    for restricted, call in wanted.items():
        asked_ms = state.asked_ms.get(restricted, -REQUEST_INTERVAL_MS)
        if (
            on_trial.isdisjoint(restricted)
            and now_ms - asked_ms >= REQUEST_INTERVAL_MS
        ):
            state.asked_ms[restricted] = now_ms
            yield suspects.ToCoordinator(
                _trial_request(state, call, restricted, now_ms)
            )


def _trial_request(
    state: suspects.Suspects,
    call: calls.Call,
    restricted: tuple[str, ...],
    now_ms: int,
) -> msgs.TrialRequest:
    first = restricted[0]
    return msgs.TrialRequest(
        state.address,
        first,
        call.service,
        max(call.deadline_ms - now_ms, 0),
        tuple(
            upstream_ends.encode_loss(kept.lost, False, now_ms)
            for kept in state.lost.get(first, {}).values()
            if kept.is_reported
        ),
        restricted,
    )


def accept_grant(
    state: suspects.Suspects,
    message: msgs.TrialGrant,
    held: list[calls.Call],
) -> Iterator:
    """Give a trial to the first call that waits for it, or return it.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    message
        The permission.
    held
        Calls that are held, in order of arrival. One is modified in place.

    Yields
    ------
    suspects.ToCoordinator
        That the trial is over, if no call waits for it.
    """
    granted = message.identities or (message.fingerprint,)
    # A permission that was granted twice replaces the first one, which the
    # coordinator has forgotten.
    call = state.trials.get(granted) or next(
        (c for c in held if _waits_for(state, c, granted)), None
    )
    if call is None:
        yield suspects.ToCoordinator(
            msgs.TrialEnded(message.fingerprint, message.trial_id)
        )
        return
    call.trial_id = message.trial_id
    call.trial_identities = granted
    state.trials[granted] = call


def _waits_for(
    state: suspects.Suspects, call: calls.Call, granted: tuple[str, ...]
) -> bool:
    """Return whether a trial of some identities lets a call run."""
    restricted = suspects.restricted_identities(state, call)
    return bool(restricted) and set(restricted) <= set(granted)


def end_trial_of_parts(
    state: suspects.Suspects, call: calls.Call, now_ms: int
) -> Iterator:
    """End the trial of a call whose parts have been cleared.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    call
        The call, which goes on. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        As `end_trial`; nothing if the trial is for its content as well.
    """
    kinds = {identities.kind_of(i) for i in call.trial_identities}
    if identities.Kind.CONTENT not in kinds:
        yield from end_trial(state, call, now_ms)


def end_trial(
    state: suspects.Suspects, call: calls.Call, now_ms: int
) -> Iterator:
    """End the trial of a call, if it has one.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    call
        The call. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        Reports of its losses, and then that the trial is over.
    """
    if call.trial_id:
        trial_id, call.trial_id = call.trial_id, 0
        state.trials.pop(call.trial_identities, None)
        yield from suspect_evidence.send_reports(state, now_ms)
        yield suspects.ToCoordinator(
            msgs.TrialEnded(call.trial_identities[0], trial_id)
        )
