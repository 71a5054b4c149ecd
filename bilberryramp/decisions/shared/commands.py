"""Commands of control's replicated log and the results of applying them."""

import dataclasses
import enum

from bilberryramp.decisions.shared import errors, tables, views

__all__ = [
    "ChangeTables",
    "Done",
    "DrainUpstream",
    "FinishKey",
    "JoinUpstream",
    "StoredAnswer",
    "Noop",
    "KeyGranted",
    "KeyCompleted",
    "KeyRefused",
    "PlaceReplicas",
    "ReadmitReplica",
    "ReleaseKey",
    "RemoveUpstream",
    "LiftQuarantine",
    "ReportStrike",
    "ReserveKey",
    "SubmitAccepted",
    "SubmitConflict",
    "SubmitRefused",
    "SubmitTables",
    "Unavailable",
    "UnavailableReason",
    "idempotency_record_key",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Noop:
    """An entry without effect that a new leader appends.

    Committing it commits the entries of earlier terms as well.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitTables:
    """Replace both tables if the current version is the expected one.

    Attributes
    ----------
    submission_id
        Identifies the submission. A resend has the same id and gets the
        result of the first.
    submitter
        Who submits, reported to others whose submission conflicts with it.
    base_version
        Version of the tables that the submission is based on.
    tables
        The new tables.
    """

    submission_id: str
    submitter: str
    base_version: int
    tables: tables.Tables


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeTables:
    """An accepted submission, sent to subscribers of the view as a change.

    Attributes
    ----------
    submitter
        Who submitted the tables.
    change
        Difference between the previous and the submitted tables.
    """

    submitter: str
    change: tables.TablesChange


@dataclasses.dataclass(slots=True, frozen=True)
class JoinUpstream:
    """Add an upstream to the view, or replace its earlier announcement."""

    upstream: views.Upstream


@dataclasses.dataclass(slots=True, frozen=True)
class RemoveUpstream:
    """Remove an upstream that stopped sending heartbeats or has left.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    incarnation
        Incarnation of the process that was lost or has left. If the
        upstream now has another incarnation, it has restarted and is not
        removed.
    """

    upstream_id: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class DrainUpstream:
    """Mark an upstream as leaving, so that it gets no new requests."""

    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class PlaceReplicas:
    """Set the replicas placed on an upstream.

    The index of the log entry becomes `Placement.fence`, from which the
    fencing tokens of orders to the engine are derived.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    replicas
        All replicas that should be resident on it.
    """

    upstream_id: str
    replicas: tuple[views.ReplicaPlace, ...]


def idempotency_record_key(route: str, idempotency_key: str) -> str:
    """Return the key under which a caller's idempotency key is recorded.

    Parameters
    ----------
    route
        Name of the request's route. Equal idempotency keys of different
        routes do not conflict.
    idempotency_key
        The caller's key.

    Returns
    -------
    str
        Key of the record.
    """
    return f"{route}/{idempotency_key}"


@dataclasses.dataclass(slots=True, frozen=True)
class ReserveKey:
    """Reserve an idempotency key before its request is dispatched.

    Attributes
    ----------
    key
        From `idempotency_record_key`.
    request_id
        Id of the request that reserves the key.
    fingerprint
        Digest of the request. The key is refused to a request with another
        fingerprint.
    at_ms
        Wall-clock time of the reservation in milliseconds.
    lease_ms
        Time for which the request may run, in milliseconds; if its end has
        not been recorded by then, its outcome is unknown.
    """

    key: str
    request_id: str
    fingerprint: str
    at_ms: int
    lease_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoredAnswer:
    """A complete answer, stored to be returned when its request is resent.

    Attributes
    ----------
    status
        HTTP status.
    content_type
        Media type of the body.
    body
        Bytes of the body.
    """

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class FinishKey:
    """Record the end of a request that reserved an idempotency key.

    Attributes
    ----------
    key
        From `idempotency_record_key`.
    request_id
        Id of the request; the command has no effect if another request has
        reserved the key.
    ran
        Whether the request is known to have run to completion.
    answer
        The answer to store; None if it is unknown or too large.
    """

    key: str
    request_id: str
    ran: bool
    answer: StoredAnswer | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseKey:
    """Release an idempotency key whose request is known not to have run."""

    key: str
    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class LiftQuarantine:
    """Free a request that is quarantined, and forget its strikes.

    Attributes
    ----------
    fingerprint
        Digest of the request.
    """

    fingerprint: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReportStrike:
    """Record that an upstream was lost while it ran a request.

    Attributes
    ----------
    fingerprint
        Digest of the request.
    upstream_id
        Id of the upstream that was lost.
    attempt_id
        Id of the attempt. Repeated reports of one attempt count once.
    at_ms
        Wall-clock time of the loss in milliseconds.
    """

    fingerprint: str
    upstream_id: str
    attempt_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReadmitReplica:
    """Let a control replica vote again after its disk was replaced.

    Until then it neither votes nor has its acknowledgements counted.

    Attributes
    ----------
    replica_id
        Id of the control replica.
    incarnation
        Incarnation of the new disk.
    """

    replica_id: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class Done:
    """Result of a command that was applied and returns no value.

    Attributes
    ----------
    index
        Log index of the command.
    """

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitAccepted:
    """The submitted tables were accepted.

    Attributes
    ----------
    version
        Version of the tables.
    term, index
        Term and log index of the submission.
    """

    version: int
    term: int
    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitConflict:
    """The submission is based on an outdated version of the tables.

    Attributes
    ----------
    current_version
        The current version of the tables.
    submitted_by
        Who submitted that version.
    """

    current_version: int
    submitted_by: str


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitRefused:
    """The submitted tables are invalid or do not fit on the upstreams."""

    problems: tuple[tables.Problem, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class KeyGranted:
    """The key is reserved and the request may be dispatched.

    Attributes
    ----------
    index
        Log index of the reservation.
    """

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class KeyCompleted:
    """A request with the same key has already run and returned `answer`."""

    answer: StoredAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class KeyRefused:
    """The key was not reserved and the request may not be dispatched.

    Attributes
    ----------
    code
        `KEY_RUNNING`, `KEY_UNKNOWN`, `KEY_EXPIRED`, `KEY_MISMATCH`, or
        `ANSWER_TOO_LARGE` if the request ran but its answer is not stored.
    """

    code: errors.FailureCode


class UnavailableReason(enum.StrEnum):
    """Why a control replica did not return the result of a command."""

    NOT_LEADER = "not_leader"
    LEASE_EXPIRED = "lease_expired"
    STOPPING = "stopping"
    TOO_MANY_PENDING = "too_many_pending"


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """The result is unknown: the command may still be committed or not.

    Attributes
    ----------
    reason
        Why the replica returned no result.
    leader_id
        Id of the replica's current leader; empty if unknown.
    """

    reason: UnavailableReason
    leader_id: str = ""
