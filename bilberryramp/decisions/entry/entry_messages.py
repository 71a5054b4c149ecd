"""Messages to an entry's decisions, and the effects they lead to."""

import dataclasses

from bilberryramp.decisions.shared import errors

__all__ = [
    "CallArrived",
    "CallEnded",
    "CallerLeft",
    "CallerRequest",
    "FrameArrived",
    "LinkFailed",
    "LinkLost",
    "ReplyChunk",
    "ReplyEnd",
    "ReplyFailure",
    "ReplyHead",
]


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """A caller's request, after its HTTP form was checked.

    Attributes
    ----------
    request_id
        Unique; shown to the caller.
    model
        The model asked for; empty for a service call.
    method, path, body
        As received.
    idempotency_key
        The idempotency key, if the caller sent one.
    repeat_never
        Whether the caller forbids a second run; its route may, too.
    deadline_ms
        Time allowed in milliseconds; 0 for the route's own.
    fingerprint
        Digest of path and body.
    affinity_key
        Digest of the prompt's beginning; empty for none.
    tokens
        Estimated cost in tokens.
    traceparent
        W3C trace context of the entry's span.
    """

    request_id: str
    model: str
    method: str
    path: str
    body: bytes
    idempotency_key: str
    repeat_never: bool
    deadline_ms: int
    fingerprint: str
    affinity_key: str
    tokens: int
    traceparent: str


@dataclasses.dataclass(slots=True, frozen=True)
class CallArrived:
    """A caller sent a request; `wall_ms` is wall time in milliseconds."""

    request: CallerRequest
    wall_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallEnded:
    """A request is over; for metrics and logs.

    Attributes
    ----------
    took_ms
        Time in the entry, in milliseconds.
    """

    request_id: str
    route: str
    phase: str
    attempts: int
    took_ms: int
    failure: errors.CallFailure | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller closed its connection or reads too slowly."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class FrameArrived:
    """A frame came from an upstream process."""

    upstream_id: str
    frame: object


@dataclasses.dataclass(slots=True, frozen=True)
class LinkFailed:
    """A link never opened: nothing queued on it was sent."""

    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class LinkLost:
    """A link broke: what was sent on it may or may not have arrived."""

    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyChunk:
    """Pass a part of the answer on; `attempt_id` is to be credited."""

    request_id: str
    upstream_id: str
    attempt_id: str
    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyEnd:
    """End the answer: it is whole."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyFailure:
    """Tell the caller of a failure, or break off a begun answer."""

    request_id: str
    failure: errors.CallFailure


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyHead:
    """Start the answer to a caller."""

    request_id: str
    status: int
    content_type: str
