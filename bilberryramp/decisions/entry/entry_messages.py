"""Messages to the state machine of an entry, and its effects.

In all of them, `request_id` is the id of a `CallerRequest`, and `upstream_id`
the id of the upstream to which a connection leads.
"""

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
    """A caller's request whose HTTP syntax has been validated.

    Attributes
    ----------
    request_id
        Unique id, also returned to the caller.
    model
        Name of the requested model; empty for a service call.
    method, path, body
        HTTP method, path and body as received.
    idempotency_key
        The idempotency key; empty if the caller sent none.
    repeat_never
        Whether the caller forbids a second run. The route may forbid it,
        too.
    deadline_ms
        Time allowed in milliseconds; 0 for the default of the route.
    fingerprint
        Digest of path and body. Requests with the same fingerprint are
        repeats of one request, which is quarantined if it crashes
        upstreams.
    affinity_key
        Digest of the prompt's prefix; empty for none. Requests with the
        same key preferably run on the same upstream.
    tokens
        Estimated cost in tokens, charged to the pool of the route.
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
    """A caller sent a request.

    Attributes
    ----------
    wall_ms
        Wall-clock time of arrival in milliseconds.
    """

    request: CallerRequest
    wall_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallEnded:
    """A request has ended; recorded in metrics and logs.

    Attributes
    ----------
    phase
        Final state of ``charts/request.yaml``.
    route
        Name of the route.
    attempts
        Number of dispatches to upstreams.
    took_ms
        Time from arrival to end in milliseconds.
    failure
        None when the whole answer was sent.
    """

    request_id: str
    route: str
    phase: str
    attempts: int
    took_ms: int
    failure: errors.CallFailure | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller closed its connection or reads its answer too slowly."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class FrameArrived:
    """An upstream process sent a frame, a message of `call_messages`."""

    upstream_id: str
    frame: object


@dataclasses.dataclass(slots=True, frozen=True)
class LinkFailed:
    """The connection to an upstream process could not be opened.

    No frame that was queued on it has been sent.
    """

    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class LinkLost:
    """The open connection to an upstream process was lost.

    Frames that were sent on it may have arrived.
    """

    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyChunk:
    """Send a chunk of the answer to the caller.

    Attributes
    ----------
    upstream_id, attempt_id
        The attempt that gets a credit once the caller has read the chunk;
        empty for an answer stored by control.
    """

    request_id: str
    upstream_id: str
    attempt_id: str
    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyEnd:
    """Complete the answer to a caller."""

    request_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyFailure:
    """Send a failure to the caller, or abort an answer already started."""

    request_id: str
    failure: errors.CallFailure


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyHead:
    """Start the answer to a caller."""

    request_id: str
    status: int
    content_type: str
