"""What one node knows of requests under which upstreams were lost.

The node reports its own lost attempts to the coordinator of the quarantine,
and keeps the list of restricted and quarantined suspects that the coordinator
publishes. Without a coordinator it goes by its own losses. A suspect is an
identity of requests, from `identities.of_request`.
"""

import collections
import dataclasses
import enum

from bilberryramp.decisions.fleet.core import calls, identities, presence
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_state,
    upstream_ends,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.shared import quarantine

__all__ = [
    "REVIEW_INTERVAL_MS",
    "Admission",
    "KeptAttempt",
    "Suspects",
    "ToCoordinator",
    "admission_of",
    "has_suspected_part",
    "is_suspected",
    "remaining_quarantine_ms",
    "restricted_identities",
]

_LIMITS = coordinator_state.LIMITS
# Interval of the review of lost attempts, and interval after which a node asks
# again for a trial or for the coordinator's list.
REVIEW_INTERVAL_MS = 200


class Admission(enum.Enum):
    """Whether a request may be sent to an upstream now."""

    RUN = "run"
    """It may be sent."""
    HOLD = "hold"
    """It must wait until the coordinator grants a trial or clears it."""
    REFUSE = "refuse"
    """It is quarantined."""


@dataclasses.dataclass(slots=True, frozen=True)
class ToCoordinator:
    """Effect that sends a message to the coordinator of the quarantine.

    Attributes
    ----------
    message
        Message of `quarantine_messages`.
    """

    message: object


@dataclasses.dataclass(slots=True)
class KeptAttempt:
    """A lost attempt of this node.

    Attributes
    ----------
    lost
        The attempt.
    is_reported
        Whether it was reported to a coordinator, or is to be reported.
    is_ended
        Whether the upstream is known to have ended.
    """

    lost: upstream_ends.LostAttempt
    is_reported: bool
    is_ended: bool = False


@dataclasses.dataclass(slots=True)
class Suspects:
    """Requests under which upstreams were lost, as one node knows them.

    Attributes
    ----------
    address
        Address of this node.
    table
        Known upstreams.
    coordinator
        Address of the coordinator; empty if unknown.
    source, revision
        Coordinator and number of the last publication that was applied.
    published
        Suspects that the coordinator has published, with the time of
        arrival, by identity.
    gathered
        Suspects with losses that may not be published, with the time of
        arrival, by identity: those of this node as the coordinator, or of
        an earlier process until they are reported.
    lost
        Lost attempts by identity and by key, the oldest first.
    runs_ms
        When each identity last ran well, the oldest first, by kind.
    answering
        Calls with parts whose answers have begun: the time, the call's id
        and the number of its attempt, the oldest first.
    answered_ms
        When upstream processes last answered this node, by key.
    unsent
        Reports for the next message to the coordinator.
    listening
        Since when this node hears from the upstreams.
    trials
        Calls with a trial in progress, by the identities that it is for.
    asked_ms
        When a trial was last requested, by the identities that it is for.
    list_asked_ms, reviewed_ms
        When the list was last requested, and the attempts last reviewed.
    """

    address: str
    table: presence.Table
    coordinator: str = ""
    source: str = ""
    revision: int = -1
    published: dict[str, tuple[msgs.PublishedSuspect, int]] = (
        dataclasses.field(default_factory=dict)
    )
    gathered: dict[str, tuple[msgs.PublishedSuspect, int]] = dataclasses.field(
        default_factory=dict
    )
    lost: dict[str, dict[tuple, KeptAttempt]] = dataclasses.field(
        default_factory=dict
    )
    runs_ms: dict[identities.Kind, dict[str, int]] = dataclasses.field(
        default_factory=lambda: {kind: {} for kind in identities.Kind}
    )
    answering: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    answered_ms: dict[tuple, int] = dataclasses.field(default_factory=dict)
    unsent: list = dataclasses.field(default_factory=list)
    listening: upstream_ends.Listening = dataclasses.field(
        default_factory=upstream_ends.Listening
    )
    trials: dict[tuple, calls.Call] = dataclasses.field(default_factory=dict)
    asked_ms: dict[tuple, int] = dataclasses.field(default_factory=dict)
    list_asked_ms: int = 0
    reviewed_ms: int = 0


def admission_of(
    suspects: Suspects, call: calls.Call, now_ms: int
) -> Admission:
    """Decide whether a call may be sent to an upstream.

    Parameters
    ----------
    suspects
        State of this node.
    call
        A waiting call.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Admission
        `RUN` for all requests without lost attempts.
    """
    if not suspects.published and not suspects.lost:
        return Admission.RUN
    if remaining_quarantine_ms(suspects, call, now_ms) > 0:
        return Admission.REFUSE
    if call.trial_id or not restricted_identities(suspects, call):
        return Admission.RUN
    return Admission.HOLD


def restricted_identities(
    suspects: Suspects, call: calls.Call
) -> tuple[str, ...]:
    """Return the identities of a call that may run only in a trial.

    Parameters
    ----------
    suspects
        State of this node.
    call
        The call.

    Returns
    -------
    tuple of str
        In the order of `call.identities`.
    """
    return tuple(
        identity
        for identity in call.identities
        if _is_restricted(suspects, identity)
    )


def _is_restricted(suspects: Suspects, identity: str) -> bool:
    published = suspects.published.get(identity)
    # Without a coordinator nobody grants trials, and a single loss proves
    # little.
    if published is not None and (
        suspects.coordinator
        or len(published[0].losses) >= _LIMITS.restrict_losses
    ):
        return True
    kept = suspects.lost.get(identity)
    if not kept:
        return False
    losses = [
        quarantine.Loss(
            key, key[0], k.lost.started_ms, k.lost.ended_ms, k.is_ended
        )
        for key, k in kept.items()
        if _is_evidence(k)
    ]
    count = quarantine.count_successive(losses, False)
    return count >= _LIMITS.restrict_losses


def is_suspected(suspects: Suspects, call: calls.Call) -> bool:
    """Return whether upstreams were lost under the request of a call.

    Parameters
    ----------
    suspects
        State of this node.
    call
        The call.

    Returns
    -------
    bool
        False as well if such losses have been refuted, or only concern parts
        that have run well at this node before.
    """
    return any(
        _is_suspected(suspects, identity) for identity in call.identities
    )


def has_suspected_part(suspects: Suspects, call: calls.Call) -> bool:
    """Return whether upstreams were lost under a part of a call's prompt.

    Parameters
    ----------
    suspects
        State of this node.
    call
        The call.

    Returns
    -------
    bool
        As for `is_suspected`.
    """
    return any(
        _is_suspected(suspects, identity)
        for identity in call.identities
        if identities.kind_of(identity) is identities.Kind.PART
    )


def _is_suspected(suspects: Suspects, identity: str) -> bool:
    if identity in suspects.published:
        return True
    kept = suspects.lost.get(identity)
    if not kept or identity in suspects.runs_ms[identities.Kind.PART]:
        return False
    return any(_is_evidence(attempt) for attempt in kept.values())


def _is_evidence(attempt: KeptAttempt) -> bool:
    """Return whether an attempt counts for this node by itself."""
    return attempt.is_reported and not attempt.lost.is_unverified


def remaining_quarantine_ms(
    suspects: Suspects, call: calls.Call, now_ms: int
) -> int:
    """Return the time until a call's request may be sent again.

    Parameters
    ----------
    suspects
        State of this node.
    call
        The call.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        Time in milliseconds; 0 if no identity of it is quarantined.
    """
    entries = (
        suspects.published[identity]
        for identity in call.identities
        if identity in suspects.published
    )
    return max(
        (
            entry.remaining_ms - (now_ms - heard_ms)
            for entry, heard_ms in entries
            if entry.phase == "quarantined"
        ),
        default=0,
    )
