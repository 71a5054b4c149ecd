"""Types of a client's request on its way through an entry."""

import dataclasses
import enum

from bilberryramp.decisions.fleet import documents, prefix_cache

__all__ = [
    "AnswerStarted",
    "CallArrived",
    "AttemptEnded",
    "Call",
    "ClientDisconnected",
    "AttemptOutcome",
    "Fail",
    "Failure",
    "ForwardFailure",
    "Prompt",
    "Refusal",
    "Refuse",
    "Request",
    "SendCall",
]


class AttemptOutcome(enum.Enum):
    """How an attempt at an upstream ended."""

    DELIVERED = "delivered"
    """The client has the whole answer."""
    NOT_RUN = "not_run"
    """The upstream said that it did not run the request."""
    TARGET_MISSING = "absent"
    """The upstream is another one, or lacks the model or adapter."""
    UNREACHABLE = "unreachable"
    """Nothing was sent, since no connection came about."""
    BROKEN = "broken"
    """The answer did not come, or not whole; the request may have run."""
    FAILED = "failed"
    """The upstream ran the request and reported a failure."""
    TRUNCATED = "cut"
    """A part of the answer had been passed on when it broke."""
    TIMED_OUT = "late"
    """The time allowed ran out."""


class Refusal(enum.Enum):
    """Why a request was refused without being run."""

    NO_DOCUMENT = "no_document"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    NO_MODEL = "no_model"
    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    UPSTREAM_FULL = "upstream_full"
    STOPPING = "stopping"


class Failure(enum.Enum):
    """Why a request that may have run has no answer."""

    BROKEN = "broken"
    TIMED_OUT = "late"


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """What a request to a model engine says of its size.

    Attributes
    ----------
    model, adapter
        `adapter` is empty for the model itself.
    tokens_in, tokens_out
        Tokens of the prompt, and at most of the answer.
    parts
        Pieces of the prompt in order.
    """

    model: str
    adapter: str
    tokens_in: int
    tokens_out: int
    parts: tuple[prefix_cache.Part, ...]

    @property
    def weights(self) -> str:
        """Model and adapter in one name."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A client's request as decisions need it.

    Attributes
    ----------
    patience_ms
        How long the client will wait from its sending; -1 if not told.
    prompt
        None for requests to plain services.
    """

    request_id: str
    host: str
    path: str
    client_timeout_ms: int
    prompt: Prompt | None


@dataclasses.dataclass(slots=True)
class Call:
    """Machine of one request.

    Attributes
    ----------
    deadline_ms
        When the client or the route gives up.
    upstream_id
        Where the current attempt goes.
    sends, attempts
        How often it was sent, and to how many upstreams that may have run
        it.
    work
        What the upstream had to do before the answer, in prompt tokens.
    need_tokens, unread_tokens, level
        What the current attempt is charged at its upstream, and as how
        urgent.
    begun_ms
        When the answer began; -1 before.
    why, was_held
        Why it waits, for the log and the refusal, and whether it ever did.
    """

    call_id: int
    request: Request
    route: documents.Route
    service: str
    arrived_ms: int
    deadline_ms: int
    key: str = ""
    phase: str = "waiting"
    timer: int = 0
    upstream_id: str = ""
    send_count: int = 0
    attempt_count: int = 0
    tried_upstreams: set = dataclasses.field(default_factory=set)
    work_tokens: int = 0
    reserved_tokens: int = 0
    unread_tokens: int = 0
    urgency_level: int = 0
    sent_ms: int = 0
    answer_started_ms: int = -1
    wait_reason: Refusal = Refusal.OVERLOADED
    has_waited: bool = False
    last_model_request_ms: int = -(10**9)


# Messages to the entry's decisions.


@dataclasses.dataclass(slots=True, frozen=True)
class CallArrived:
    """A client's request was read whole."""

    call_id: int
    request: Request


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerStarted:
    """The first bytes of an answer came from the upstream."""

    call_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended.

    Attributes
    ----------
    longest_gap_ms
        Longest pause between two pieces of a stream.
    """

    call_id: int
    outcome: AttemptOutcome
    longest_gap_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client closed its connection."""

    call_id: int


# Effects.


@dataclasses.dataclass(slots=True, frozen=True)
class SendCall:
    """Send the request to an upstream.

    Attributes
    ----------
    allowed_ms
        Time that the upstream may take.
    urgency
        Rank for the upstream's own queue; 0 is first.
    send
        1 for the first sending.
    """

    call_id: int
    upstream_id: str
    address: str
    allowed_ms: int
    urgency: int
    send: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Tell the client that the request was not run and will not be."""

    call_id: int
    reason: Refusal
    retry_after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Fail:
    """Tell the client that the outcome is not known."""

    call_id: int
    reason: Failure


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardFailure:
    """Give the client the failure that the upstream reported."""

    call_id: int
