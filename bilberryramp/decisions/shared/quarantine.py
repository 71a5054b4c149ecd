"""Quarantine of requests that make the upstreams that run them end.

A suspect is what requests under which upstreams were lost have in common: the
content, known by its fingerprint, or a part of a prompt. Its states are those
of ``charts/suspect.yaml``. A suspect that ends each upstream that runs it
never runs to its end, so one complete run clears it.

Losses count only if they followed one another: an innocent request of which
many copies run, at upstreams that all lose power, has lost them at the same
moment. They prove a request guilty only if one of them was in a trial, at an
upstream where no other suspect ran: an innocent request may have run beside a
guilty one each time, and both may have been sent again to the same upstream.

The identities of one request are lost together. Of those that were lost at
the same upstreams, the one that never ran well is guilty, and of several such
the most specific one; the others are explained by it. If several others
explain all losses only together, more losses are required.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.shared import charting

__all__ = [
    "CLOCK_TOLERANCE_MS",
    "Limits",
    "Loss",
    "PhaseChanged",
    "Suspect",
    "actions",
    "count_successive",
    "fire",
    "guards",
]

# Tolerance of the comparison of times that different processes measured.
CLOCK_TOLERANCE_MS = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """When requests are restricted and quarantined, and for how long.

    Attributes
    ----------
    restrict_losses
        Number of successive losses, confirmed or not, from which on a
        request runs one attempt at a time.
    quarantine_losses
        Number of successive confirmed losses from which on it is refused.
    durations_ms
        Durations of the first and of each later quarantine in milliseconds;
        the last one also applies to all that follow.
    unproven_restrict_losses
        As `restrict_losses`, for a suspect that is not known to have ever
        run well; 0 for the same number.
    proven_quarantine_losses
        As `quarantine_losses`, for a suspect that is known to have run well
        before its losses; 0 for the same number.
    """

    restrict_losses: int
    quarantine_losses: int
    durations_ms: tuple[int, ...]
    unproven_restrict_losses: int = 0
    proven_quarantine_losses: int = 0


@dataclasses.dataclass(slots=True)
class Loss:
    """An attempt that ended without an answer from its upstream.

    Attributes
    ----------
    key
        Identity of the loss. Reports with the same key are reports of the
        same loss.
    upstream_id
        Identifier of the upstream.
    started_ms, ended_ms
        When the attempt was sent, and when it broke off.
    is_confirmed
        Whether it is known that the upstream ended; if not, the request may
        still be innocent of it.
    is_trial
        Whether the attempt was the only one of its request at that time.
    is_shared
        Whether the upstream was also lost under another request that may
        have ended it.
    trial_id
        Number of the trial, which the identities of one request share; 0 if
        the attempt was none.
    """

    key: tuple
    upstream_id: str
    started_ms: int
    ended_ms: int
    is_confirmed: bool
    is_trial: bool = False
    is_shared: bool = False
    trial_id: int = 0


@dataclasses.dataclass(slots=True)
class Suspect:
    """What requests under which upstreams were lost have in common.

    Attributes
    ----------
    key, phase, timer
        State of the chart: identity of the suspect, current state, and
        number of transitions.
    limits
        Limits that apply to it.
    losses
        Losses that have not been refuted, by their keys.
    quarantine_count
        Number of its quarantines so far.
    until_ms
        When its latest quarantine ends.
    has_run
        Whether it is known to have run well, even if before its losses.
    depth
        How specific it is among the identities of its requests.
    rival_count
        Smallest known number of more likely suspects of which one was lost
        at each of the same upstreams; 0 if there are no such suspects.
    has_lasting_rivals
        Whether one of them comes again in requests with other contents.
    """

    key: str
    limits: Limits
    phase: str = "observed"
    timer: int = 0
    losses: dict[tuple, Loss] = dataclasses.field(default_factory=dict)
    quarantine_count: int = 0
    until_ms: int = 0
    has_run: bool = False
    depth: int = 0
    rival_count: int = 0
    has_lasting_rivals: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class PhaseChanged:
    """Effect that all processes must learn of a suspect's new state.

    Attributes
    ----------
    suspect
        The suspect, in its new state.
    """

    suspect: Suspect


def count_successive(losses, confirmed_only: bool) -> int:
    """Return the largest number of losses of which each followed the last.

    Parameters
    ----------
    losses
        Losses of one request.
    confirmed_only
        Whether to ignore losses that are not confirmed.

    Returns
    -------
    int
        Number of losses whose attempts did not overlap.
    """
    count, last_ended_ms = 0, None
    # Taking the earliest end first yields the largest number of intervals
    # that do not overlap.
    for loss in sorted(losses, key=lambda loss: loss.ended_ms):
        if confirmed_only and not loss.is_confirmed:
            continue
        if (
            last_ended_ms is None
            or loss.started_ms >= last_ended_ms - CLOCK_TOLERANCE_MS
        ):
            count += 1
            last_ended_ms = loss.ended_ms
    return count


def fire(
    chart: charting.Chart, suspect: Suspect, event: str, now_ms: int
) -> Iterator:
    """Fire an event of a suspect's chart.

    Parameters
    ----------
    chart
        Bound ``suspect`` chart.
    suspect
        The suspect. Modified in place.
    event
        Event of the chart.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    PhaseChanged
        If the new state matters to other processes.
    """
    yield from charting.fire(chart, suspect, event, now_ms, None)


def _has_new_proof(suspect: Suspect, _payload) -> bool:
    """Return whether a loss beyond those of earlier quarantines is proved."""
    if suspect.rival_count == 1:
        return False
    required = _required_losses(suspect) + suspect.quarantine_count
    confirmed = sum(loss.is_confirmed for loss in suspect.losses.values())
    if 1 < suspect.rival_count < confirmed:
        required = max(required, _losses_beyond_rivals(suspect))
    return _proves(suspect, required)


def _losses_beyond_rivals(suspect: Suspect) -> int:
    """Return a number of losses that rivals alone hardly explain.

    Each request that is sent again is a rival of what it has in common with
    others, so contents alone must not protect that for long. Parts are
    quarantined before they are lost more often.
    """
    if suspect.has_lasting_rivals:
        limits = suspect.limits
        return suspect.rival_count * limits.quarantine_losses + 1
    return suspect.rival_count + 2


def _required_losses(suspect: Suspect) -> int:
    limits = suspect.limits
    proven = limits.proven_quarantine_losses if suspect.has_run else 0
    return proven or limits.quarantine_losses


def _has_proof(suspect: Suspect, _payload) -> bool:
    """Return whether the losses still justify the current quarantine."""
    required = _required_losses(suspect) + suspect.quarantine_count - 1
    return _proves(suspect, required)


def _proves(suspect: Suspect, required: int) -> bool:
    losses = suspect.losses.values()
    is_alone = any(
        loss.is_confirmed and loss.is_trial and not loss.is_shared
        for loss in losses
    )
    return is_alone and count_successive(losses, True) >= required


def _needs_trial(suspect: Suspect, _payload) -> bool:
    limits = suspect.limits
    required = limits.restrict_losses
    if not suspect.has_run:
        required = limits.unproven_restrict_losses or required
    return count_successive(suspect.losses.values(), False) >= required


def _begin_quarantine(suspect: Suspect, now_ms: int, _payload) -> Iterator:
    durations_ms = suspect.limits.durations_ms
    index = min(suspect.quarantine_count, len(durations_ms) - 1)
    suspect.quarantine_count += 1
    suspect.until_ms = now_ms + durations_ms[index]
    yield from ()


def _publish(suspect: Suspect, _now_ms: int, _payload) -> Iterator:
    yield PhaseChanged(suspect)


guards = {
    "has_new_proof": _has_new_proof,
    "has_proof": _has_proof,
    "needs_trial": _needs_trial,
}
actions = {"begin_quarantine": _begin_quarantine, "publish": _publish}
