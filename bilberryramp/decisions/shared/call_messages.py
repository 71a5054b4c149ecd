"""Messages between an entry and an upstream process.

The entry process accepts a caller's request and sends it to an upstream
process, which runs it on an engine or a plain service. An entry sends
`Dispatch`, `Cancel`, `Credit`, `EndRecorded` and `Ping`; the other messages
are sent by the upstream process.
"""

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
    """The load of an upstream, included in other messages from it.

    Attributes
    ----------
    running, queued
        Number of requests that run and that wait in the queue.
    slots
        Maximum number of requests that run concurrently.
    """

    running: int
    queued: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """A request sent to an upstream for one attempt to run it.

    Attributes
    ----------
    attempt_id
        Id of the attempt, repeated in every message about it.
    request_id
        Id of the request, the same in all its attempts.
    incarnation
        Incarnation of the upstream process that the entry selected; a
        process with another incarnation refuses the attempt.
    view_index
        Log index of the entry's view.
    route, pool
        Names of the request's route and of the pool it is charged to.
    weight
        The pool's weight in fair queueing.
    priority
        Priority of the request within its pool.
    model
        Name of the model; empty for a plain service.
    method, path, body
        The HTTP request for the engine or service.
    idempotency_key
        The caller's idempotency key; empty if the request may be repeated.
    suspect
        Whether an upstream was lost earlier while it ran this request.
    budget_ms
        Time until the request's deadline, in milliseconds.
    first_token_in_ms
        Time until the first token is due, in milliseconds; negative if it
        is overdue.
    tokens
        Estimated cost in tokens, prompt and answer together.
    credit
        Number of chunks that may be sent before a `Credit` is received.
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
    """Request to stop an attempt whose answer is no longer needed."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Credit:
    """Permission to send `chunks` more chunks of an attempt's answer."""

    attempt_id: str
    chunks: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndRecorded:
    """Notice that control has recorded the end of an attempt.

    The entry sends it for requests with an idempotency key only. Without it
    the upstream process reports the end to control itself.
    """

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Ping:
    """Probe of an upstream process, answered by a `Pong`.

    Attributes
    ----------
    view_index
        Log index of the entry's view.
    """

    view_index: int


@dataclasses.dataclass(slots=True, frozen=True)
class Pong:
    """The reply to a `Ping`.

    Attributes
    ----------
    incarnation
        Incarnation of the upstream process that replies.
    view_index
        Log index of the upstream process's view.
    load
        The upstream's current load.
    leaving
        Whether the upstream is draining and refuses new attempts.
    """

    incarnation: str
    view_index: int
    load: Load
    leaving: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Refusal of an attempt, which has not run and will not run.

    Attributes
    ----------
    attempt_id
        Id of the refused attempt.
    failure
        Reason of the refusal.
    view_index
        Log index of the upstream process's view.
    load
        The upstream's current load.
    """

    attempt_id: str
    failure: errors.CallFailure
    view_index: int
    load: Load


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """The start of an answer, sent before its chunks.

    Attributes
    ----------
    attempt_id
        Id of the attempt.
    status
        HTTP status.
    content_type
        Media type of the body.
    """

    attempt_id: str
    status: int
    content_type: str


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerChunk:
    """A part of an answer's body.

    Attributes
    ----------
    attempt_id
        Id of the attempt.
    number
        Position among the answer's chunks, from 0.
    data
        Bytes of the body.
    """

    attempt_id: str
    number: int
    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerEnd:
    """The end of a complete answer.

    Attributes
    ----------
    attempt_id
        Id of the attempt.
    chunks
        Number of `AnswerChunk` messages that make up the answer.
    load
        The upstream's current load.
    """

    attempt_id: str
    chunks: int
    load: Load


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerBroken:
    """The end of an attempt whose answer is incomplete.

    Attributes
    ----------
    attempt_id
        Id of the attempt.
    failure
        What failed, and whether the request is known to have run.
    crashed
        Whether the engine crashed while the attempt ran.
    load
        The upstream's current load.
    """

    attempt_id: str
    failure: errors.CallFailure
    crashed: bool
    load: Load
