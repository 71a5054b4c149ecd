"""State of an entry and of its requests in progress."""

import dataclasses
import random

from bilberryramp.decisions.entry import entry_messages, route_index, routing
from bilberryramp.decisions.shared import (
    call_messages,
    charting,
    errors,
    tables,
    unconfirmed,
    views,
)

__all__ = [
    "DEADLINE_TOKEN",
    "Call",
    "EnginePause",
    "Entry",
    "EntrySettings",
]

# Token of a request's deadline timer. The timers of the state machine have
# the same key and the tokens 1, 2, and so on.
DEADLINE_TOKEN = 0


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of an entry.

    Attributes
    ----------
    name
        The entry's name, unique in the system.
    policy
        Name of the routing policy, a key of `routing.POLICIES`.
    max_calls
        Maximum number of requests in progress; more are refused.
    max_attempts
        Maximum number of dispatches of a request without a wait between;
        the request then fails.
    retry_ratio, retry_burst
        Number of retries that each arriving request adds to the entry's
        retry budget, and the maximum of the budget.
    credit_chunks
        Number of chunks that an upstream may send before the caller has
        read them.
    """

    name: str
    policy: str = "affinity"
    max_calls: int = 4096
    max_attempts: int = 8
    retry_ratio: float = 0.1
    retry_burst: float = 20.0
    credit_chunks: int = 64


@dataclasses.dataclass(slots=True)
class Call:
    """A request in progress, a state machine of ``charts/request.yaml``.

    Attributes
    ----------
    entry
        The entry that received the request.
    request
        The request; its idempotency key is empty unless the request must
        not run twice.
    route
        The route that the request matched on arrival.
    key, phase, timer
        State of the machine; `key` is the request id.
    arrived_ms, deadline_ms
        Monotonic times of arrival and deadline in milliseconds.
    wall_ms
        Wall-clock time of arrival in milliseconds.
    attempts
        Number of dispatches so far; it ends the id of the latest attempt.
    attempts_since_wait
        Number of dispatches since the call was last in the state "waiting".
    attempt_id
        Id of the attempt in progress; empty for none.
    upstream_id
        Upstream of the last attempt.
    excluded_upstreams
        Ids of upstreams that are not chosen before the call has waited.
    failure
        Failure of the last attempt, or the reason to refuse the request;
        None before any.
    may_have_run
        Whether any attempt ended without evidence that it did not run.
    next_chunk
        Number of the expected chunk of the answer, from 0.
    status, content_type
        HTTP status and content type of the answer.
    answer_body
        The answer's body so far, for a request with an idempotency key.
    """

    entry: "Entry"
    request: entry_messages.CallerRequest
    route: tables.Route
    key: str
    arrived_ms: int
    deadline_ms: int
    wall_ms: int
    phase: str = "received"
    timer: int = DEADLINE_TOKEN
    attempts: int = 0
    attempts_since_wait: int = 0
    attempt_id: str = ""
    upstream_id: str = ""
    excluded_upstreams: set[str] = dataclasses.field(default_factory=set)
    failure: errors.CallFailure | None = None
    may_have_run: bool = False
    next_chunk: int = 0
    status: int = 0
    content_type: str = ""
    answer_body: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True, frozen=True)
class EnginePause:
    """Pause of an engine, as its upstream process stated it in a refusal.

    Attributes
    ----------
    until_ms
        End of the pause, as monotonic time in milliseconds.
    recheck_ms
        Monotonic time in milliseconds from which requests are dispatched to
        the upstream again. It may come before the end, since a pause ends
        early if the engine restarts.
    """

    until_ms: int
    recheck_ms: int


@dataclasses.dataclass(slots=True)
class Entry:
    """State of an entry.

    Attributes
    ----------
    cfg
        Settings of the entry.
    chart
        The bound chart of ``charts/request.yaml``.
    rng
        Random generator of the routing policy.
    view
        Routes, upstreams and placements as control sent them last.
    policy
        Routing policy that chooses upstreams.
    fresh
        Whether the view's freshness lease is valid.
    stopping
        Whether a planned stop is almost out of time; new requests are
        refused.
    calls
        Requests in progress by request id.
    loads
        Last load report of each upstream, by upstream id.
    in_flight
        Number of this entry's attempts in progress, by upstream id.
    leaving
        Incarnation (id of one process) of each upstream that is shutting
        down, by upstream id.
    engine_pauses
        Last stated pause of each engine, by upstream id.
    index
        Routes and upstreams of the view, indexed for lookups.
    retry_budget
        Number of retries of broken attempts that the entry's requests may
        still use in all.
    unconfirmed_ends
        Ends of keyed requests that control has not confirmed.
    """

    cfg: EntrySettings
    chart: charting.Chart
    rng: random.Random
    view: views.View
    policy: routing.Policy
    index: route_index.RouteIndex
    fresh: bool = False
    stopping: bool = False
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    loads: dict[str, call_messages.Load] = dataclasses.field(
        default_factory=dict
    )
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving: dict[str, str] = dataclasses.field(default_factory=dict)
    engine_pauses: dict[str, EnginePause] = dataclasses.field(
        default_factory=dict
    )
    retry_budget: float = 0.0
    unconfirmed_ends: unconfirmed.UnconfirmedCommands = dataclasses.field(
        default_factory=unconfirmed.UnconfirmedCommands
    )
