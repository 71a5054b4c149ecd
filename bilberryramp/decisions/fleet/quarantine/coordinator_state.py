"""State of the coordinator of the quarantine, and its limits."""

import dataclasses

from bilberryramp.decisions.fleet.core import identities, presence
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.quarantine import upstream_ends
from bilberryramp.decisions.shared import charting, quarantine

__all__ = [
    "LIMITS",
    "MAX_SUSPECTS",
    "PUBLICATION_MEMORY_MS",
    "Coordinator",
    "GatheredLosses",
    "Publish",
    "Trial",
    "make_suspect",
]

# A suspect is refused once three upstreams have ended under it; a first
# quarantine is short, because each further one needs a further loss.
LIMITS = quarantine.Limits(
    restrict_losses=2,
    quarantine_losses=3,
    durations_ms=(60_000, 600_000, 3_600_000, 86_400_000),
)
# Requests with the same part follow one another more closely than those with
# the same content, so a part that never ran well is restricted sooner. One
# that did, such as the first part of many prompts, is hardly ever the cause.
_LIMITS_BY_KIND = {
    identities.Kind.CONTENT: LIMITS,
    identities.Kind.PART: dataclasses.replace(
        LIMITS, unproven_restrict_losses=1, proven_quarantine_losses=5
    ),
}
# Limit on the remembered requests. Beyond it, the one whose last loss is the
# oldest is forgotten, and a quarantined one only if no other is left.
MAX_SUSPECTS = 4096
# Time after the last publication for which reminders are sent although no
# request is restricted.
PUBLICATION_MEMORY_MS = 30_000


@dataclasses.dataclass(slots=True, frozen=True)
class Publish:
    """Effect that sends a message to all other nodes, and to this one.

    Attributes
    ----------
    message
        A `SuspectList` or `SuspectDigest`.
    """

    message: object


@dataclasses.dataclass(slots=True, frozen=True)
class GatheredLosses:
    """Effect: let this node remember the losses that are not published.

    Attributes
    ----------
    suspects
        Suspects that are not quarantined, with their newest losses.
    """

    suspects: tuple[msgs.PublishedSuspect, ...]


@dataclasses.dataclass(slots=True)
class Trial:
    """The attempt that a node may make although it is restricted.

    Attributes
    ----------
    trial_id
        Identifier of the trial.
    identities
        Restricted identities of the request.
    service
        Service of the request.
    is_exclusive
        Whether no other exclusive trial of the service may be in progress.
    sender
        Address of the node.
    expires_ms
        When it counts as over although the node has not said so.
    """

    trial_id: int
    identities: tuple[str, ...]
    service: str
    is_exclusive: bool
    sender: str
    expires_ms: int


@dataclasses.dataclass(slots=True)
class Coordinator:
    """State of the coordinator; idle on a node that does not lead.

    Attributes
    ----------
    address
        Address of this node.
    chart
        Bound ``suspect`` chart.
    table
        Known upstreams.
    revision, next_trial_id
        Number of the last publication and of the next trial. Both start with
        a random number, so that no coordinator repeats those of another.
    is_leading
        Whether this node leads.
    node_count
        Number of nodes, including this one.
    listening
        Since when this node hears from the upstreams.
    suspects, services
        Suspects, ordered by their last loss, and the services of these
        losses, by identity.
    lost
        Attempts whose fate may still change, by identity and key.
    identities_at
        Identities of the suspects with a loss at an upstream process, by its
        key.
    first_breaks_ms
        When the first attempt at an upstream process broke off since its last
        sign of life, by key of the process.
    trials
        Trials in progress, by number.
    cleared_ms
        When suspects were cleared, by identity.
    changed
        Suspects whose new state is not published yet, by identity.
    published_ms, digest_ms
        When something was last published, and the last reminder sent.
    is_evidence_new
        Whether losses changed since the last `GatheredLosses`.
    remembered_ms
        When the last `GatheredLosses` was made.
    reviewed_ms, expired_ms
        When the losses, and all suspects, were last reviewed.
    """

    address: str
    chart: charting.Chart
    table: presence.Table
    revision: int
    next_trial_id: int
    is_leading: bool = False
    node_count: int = 1
    listening: upstream_ends.Listening = dataclasses.field(
        default_factory=upstream_ends.Listening
    )
    suspects: dict[str, quarantine.Suspect] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, str] = dataclasses.field(default_factory=dict)
    lost: dict[tuple, upstream_ends.LostAttempt] = dataclasses.field(
        default_factory=dict
    )
    identities_at: dict[tuple, set[str]] = dataclasses.field(
        default_factory=dict
    )
    first_breaks_ms: dict[tuple, int] = dataclasses.field(default_factory=dict)
    trials: dict[int, Trial] = dataclasses.field(default_factory=dict)
    cleared_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    changed: dict[str, msgs.PublishedSuspect] = dataclasses.field(
        default_factory=dict
    )
    published_ms: int = -PUBLICATION_MEMORY_MS
    digest_ms: int = 0
    is_evidence_new: bool = False
    remembered_ms: int = 0
    reviewed_ms: int = 0
    expired_ms: int = 0


def make_suspect(identity: str, **fields) -> quarantine.Suspect:
    """Return a new suspect with the limits that apply to its kind.

    Parameters
    ----------
    identity
        Identity of the suspect.
    **fields
        Further attributes of the suspect.

    Returns
    -------
    Suspect
        The suspect.
    """
    limits = _LIMITS_BY_KIND[identities.kind_of(identity)]
    return quarantine.Suspect(identity, limits, **fields)
