"""Messages between an entry and an upstream process."""

import dataclasses

from bilberryramp.decisions.shared import errors, tables

__all__ = [
    "AnswerBroken",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerHead",
    "Cancel",
    "Credit",
    "Dispatch",
    "Load",
    "Ping",
    "Pong",
    "Refused",
    "EndRecorded",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """How busy an upstream is, shown on frames it sends anyway.

    Attributes
    ----------
    running, queued, slots
        Requests running, requests waiting, and how many may run at once.
    """

    running: int
    queued: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """One attempt to run a request.

    Attributes
    ----------
    attempt_id
        Unique for each attempt; every answering frame carries it.
    incarnation
        The upstream process meant; another one refuses.
    view_index
        Log index of the entry's view.
    route, pool, weight, priority
        The route's name, its pool, the pool's weight and its order.
    model
        Empty for a plain service.
    method, path, body
        The HTTP request for the engine or service.
    idempotency_key
        The idempotency key, empty if the request may be repeated.
    suspect
        Whether an upstream was lost while running this request before.
    budget_ms
        Time left until its deadline, in milliseconds.
    first_token_in_ms
        Time left until its answer should begin, in milliseconds.
    tokens
        Estimated cost in tokens, prompt and answer together.
    credit
        How many chunks may be sent before more credit arrives.
    traceparent
        W3C trace context.
    """

    attempt_id: str
    request_id: str
    incarnation: str
    view_index: int
    route: str
    pool: str
    weight: int
    priority: tables.Priority
    model: str
    method: str
    path: str
    body: bytes
    idempotency_key: str
    suspect: bool
    budget_ms: int
    first_token_in_ms: int
    tokens: int
    credit: int
    traceparent: str


@dataclasses.dataclass(slots=True, frozen=True)
class Cancel:
    """Stop an attempt; its answer is no longer wanted."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Credit:
    """Allow more chunks of an attempt to be sent."""

    attempt_id: str
    chunks: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndRecorded:
    """Control has recorded the end of a marked request's attempt."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Ping:
    """Asks whether the upstream process is alive."""

    view_index: int


@dataclasses.dataclass(slots=True, frozen=True)
class Pong:
    """The answer to `Ping`."""

    incarnation: str
    view_index: int
    load: Load
    leaving: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The attempt was not run and will not be."""

    attempt_id: str
    failure: errors.CallFailure
    view_index: int
    load: Load


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status and media type of the answer; chunks follow."""

    attempt_id: str
    status: int
    content_type: str


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerChunk:
    """A part of the answer; `number` counts from 0."""

    attempt_id: str
    number: int
    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerEnd:
    """The answer is whole after `chunks` chunks."""

    attempt_id: str
    chunks: int
    load: Load


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerBroken:
    """The attempt ended without a whole answer.

    Attributes
    ----------
    crashed
        Whether the engine went down while it ran.
    """

    attempt_id: str
    failure: errors.CallFailure
    crashed: bool
    load: Load
