"""Commands of the replicated log and the results of applying them."""

import dataclasses
import enum

from bilberryramp.decisions.shared import errors, tables, views

__all__ = [
    "ChangeTables",
    "Done",
    "DrainUpstream",
    "FinishKey",
    "JoinUpstream",
    "KeptAnswer",
    "Noop",
    "KeyGranted",
    "KeyKept",
    "KeyRefused",
    "PlaceReplicas",
    "ReadmitReplica",
    "ReleaseKey",
    "RemoveUpstream",
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
    """Starts a leader's term, so that earlier entries commit."""


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitTables:
    """Replace both tables, if the version in force is the one expected.

    Attributes
    ----------
    submission_id
        The same on each resend; a resend gets the first answer.
    submitter
        Who submits, told to the loser of a race.
    base_version
        The version the submitter saw.
    """

    submission_id: str
    submitter: str
    base_version: int
    tables: tables.Tables


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeTables:
    """An accepted submission as followers of the view receive it."""

    submitter: str
    change: tables.TablesChange


@dataclasses.dataclass(slots=True, frozen=True)
class JoinUpstream:
    """Record an upstream that announced itself, or announced anew."""

    upstream: views.Upstream


@dataclasses.dataclass(slots=True, frozen=True)
class RemoveUpstream:
    """Forget an upstream that stopped sending heartbeats or has left."""

    upstream_id: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class DrainUpstream:
    """Mark an upstream as leaving."""

    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class PlaceReplicas:
    """Set which replicas an upstream holds; the index is the fence."""

    upstream_id: str
    replicas: tuple[views.ReplicaPlace, ...]


def idempotency_record_key(route: str, idempotency_key: str) -> str:
    """Name the record of a caller's key; routes do not share keys."""
    return f"{route}/{idempotency_key}"


@dataclasses.dataclass(slots=True, frozen=True)
class ReserveKey:
    """Claim an idempotency key before its request is dispatched.

    Attributes
    ----------
    key
        The caller's key, prefixed with its route's name.
    request_id
        The request that claims it.
    fingerprint
        Digest of the request; a key reused for another is refused.
    at_ms, lease_ms
        Wall time of the claim and how long it may run, in milliseconds.
    """

    key: str
    request_id: str
    fingerprint: str
    at_ms: int
    lease_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class KeptAnswer:
    """A whole answer as kept for resends.

    Attributes
    ----------
    status
        HTTP status.
    content_type
        Media type of the body.
    body
        The bytes of the answer.
    """

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class FinishKey:
    """Record how a claimed request ended.

    Attributes
    ----------
    ran
        Whether it is known to have run to its end.
    answer
        The answer to keep; None when it is unknown or too large.
    """

    key: str
    request_id: str
    ran: bool
    answer: KeptAnswer | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseKey:
    """Give a key back after evidence that its request did not run."""

    key: str
    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReportStrike:
    """Record that an upstream was lost while it ran a request.

    Attributes
    ----------
    fingerprint
        Digest of the request.
    attempt_id
        The attempt that ended; a repeated report counts once.
    at_ms
        Wall time in milliseconds.
    """

    fingerprint: str
    upstream_id: str
    attempt_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReadmitReplica:
    """Let a control replica with a new disk vote and acknowledge again."""

    replica_id: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class Done:
    """The command was applied and has nothing to tell."""

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitAccepted:
    """The tables are in force from this version on."""

    version: int
    term: int
    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitConflict:
    """Another submission was accepted first."""

    current_version: int
    submitted_by: str


@dataclasses.dataclass(slots=True, frozen=True)
class SubmitRefused:
    """The tables are not sound or do not fit the upstreams."""

    problems: tuple[tables.Problem, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class KeyGranted:
    """The request may be dispatched."""

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class KeyKept:
    """The request already ran and this was its answer."""

    answer: KeptAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class KeyRefused:
    """The request may not be dispatched.

    Attributes
    ----------
    code
        `KEY_RUNNING`, `KEY_UNKNOWN`, `KEY_EXPIRED` or `KEY_MISMATCH`.
    """

    code: errors.FailureCode


class UnavailableReason(enum.StrEnum):
    """Why a replica gave no result."""

    NOT_LEADER = "not_leader"
    LEASE_EXPIRED = "lease_expired"
    STOPPING = "stopping"
    TOO_MANY_PENDING = "too_many_pending"


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """No result: the command may be committed later or never.

    Attributes
    ----------
    leader_id
        The leader this replica knows of, or an empty string.
    """

    reason: UnavailableReason
    leader_id: str = ""
