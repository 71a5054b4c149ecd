"""Messages about requests under which upstreams were lost.

Nodes report losses to the coordinator, which is the node that leads the
register. It publishes the requests that are restricted or quarantined to all
nodes. On a day without losses, no message is sent.
"""

import dataclasses

__all__ = [
    "KnownSuspects",
    "LiftSuspect",
    "ListRequest",
    "LossReport",
    "PublishedSuspect",
    "ReportedLoss",
    "RunReport",
    "SuspectDigest",
    "SuspectList",
    "TrialEnded",
    "TrialGrant",
    "TrialRequest",
]


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoss:
    """An attempt that ended without an answer from its upstream.

    Attributes
    ----------
    upstream_id, address, born_ms
        Process of the upstream, as in `presence.Announcement`.
    seq
        Newest announcement of the process that the node had received.
    started_ms_ago, ended_ms_ago
        Time since the attempt was sent and since it broke off, when the
        message was sent.
    heard_ms_ago, answered_ms_ago
        Time since the process was last heard of, and since it last answered
        the node, when the message was sent.
    is_trial
        Whether the attempt was made with a `TrialGrant`.
    is_confirmed
        Whether the sender knows that the process has ended.
    trial_id
        Number of the `TrialGrant`; 0 if there was none.
    depth
        From `identities.depth_of`.
    has_run
        Whether the sender knows a complete run of the suspect.
    is_unverified
        Whether the sender could not tell if the process still lived when the
        attempt was sent.
    """

    upstream_id: str
    address: str
    born_ms: int
    seq: int
    started_ms_ago: int
    ended_ms_ago: int
    heard_ms_ago: int
    answered_ms_ago: int
    is_trial: bool
    is_confirmed: bool = False
    trial_id: int = 0
    depth: int = 0
    has_run: bool = False
    is_unverified: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class LossReport:
    """Losses under requests of one node.

    Attributes
    ----------
    losses
        Identity of a suspect, its service, and the loss.
    """

    losses: tuple[tuple[str, str, ReportedLoss], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class RunReport:
    """A suspect ran until its upstream had answered.

    Attributes
    ----------
    fingerprint
        Identity of the suspect.
    ended_ms_ago
        Time since the end of the run, when the message was sent.
    """

    fingerprint: str
    ended_ms_ago: int


@dataclasses.dataclass(slots=True, frozen=True)
class TrialRequest:
    """A node asks whether it may run a restricted request.

    Attributes
    ----------
    sender
        Address of the node.
    fingerprint, service
        Restricted identity of the request, and its service.
    remaining_ms
        Time until the request's deadline in milliseconds.
    losses
        Losses under the request that the node has reported, since reports
        may be lost or arrive later.
    identities
        All restricted identities of the request, of which `fingerprint` is
        the first; empty if there is no other.
    """

    sender: str
    fingerprint: str
    service: str
    remaining_ms: int
    losses: tuple[ReportedLoss, ...]
    identities: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class TrialGrant:
    """Permission for one attempt to run a restricted request.

    Attributes
    ----------
    fingerprint, identities
        As in `TrialRequest`.
    trial_id
        Identifier that `TrialEnded` repeats.
    """

    fingerprint: str
    trial_id: int
    identities: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class TrialEnded:
    """The attempt that was granted has ended, or will not be made.

    Attributes
    ----------
    fingerprint, trial_id
        As in `TrialGrant`.
    """

    fingerprint: str
    trial_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class PublishedSuspect:
    """A suspect that is restricted or quarantined, or no longer is.

    Attributes
    ----------
    fingerprint, service
        Identity of the suspect, and the service of its last loss.
    phase
        State of ``charts/suspect.yaml``.
    remaining_ms
        Time until its quarantine ends in milliseconds; 0 if it is not
        quarantined.
    quarantine_count
        As in `quarantine.Suspect`.
    losses
        Its newest losses, with which another node can continue as the
        coordinator.
    has_run, depth
        As in `quarantine.Suspect`.
    """

    fingerprint: str
    service: str
    phase: str
    remaining_ms: int
    quarantine_count: int
    losses: tuple[ReportedLoss, ...]
    has_run: bool = False
    depth: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectList:
    """Requests whose state the coordinator publishes.

    Attributes
    ----------
    sender
        Address of the coordinator.
    revision
        Number of its publications.
    is_whole
        Whether requests that are not in the list are neither restricted nor
        quarantined. If not, the list contains the changes of one revision.
    suspects
        The requests.
    """

    sender: str
    revision: int
    is_whole: bool
    suspects: tuple[PublishedSuspect, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectDigest:
    """Reminder of the coordinator's newest publication.

    Attributes
    ----------
    sender, revision
        As in `SuspectList`.
    """

    sender: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class ListRequest:
    """A node asks the coordinator for its whole list.

    Attributes
    ----------
    sender
        Address of the node.
    """

    sender: str


@dataclasses.dataclass(slots=True, frozen=True)
class KnownSuspects:
    """Requests of the previous coordinator that the present one may lack.

    Attributes
    ----------
    suspects
        The requests.
    """

    suspects: tuple[PublishedSuspect, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class LiftSuspect:
    """An operator frees a suspect.

    Attributes
    ----------
    fingerprint
        Identity of the suspect.
    """

    fingerprint: str
