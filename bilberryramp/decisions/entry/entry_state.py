"""State of an entry and of the requests in progress there."""

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

__all__ = ["DEADLINE_TOKEN", "Call", "Entry", "EntrySettings"]

DEADLINE_TOKEN = 0


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of an entry's decisions.

    Attributes
    ----------
    name
        The entry's name, unique in the system.
    policy
        A key of `routing.POLICIES`.
    max_calls
        Most requests in progress; more are refused.
    max_attempts
        Most dispatches of one request without a wait in between.
    retry_ratio, retry_burst
        Retries after failures earned by each request, and the most that
        can be saved up.
    credit_chunks
        Chunks an upstream may send before the caller has taken them.
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
    """One request; `key`, `phase`, `timer` are its machine's.

    Attributes
    ----------
    began_ms, deadline_ms
        On the entry's clock.
    wall_ms
        Wall time of its arrival.
    attempts, tries
        Dispatches in all, which number them, and since the last wait.
    attempt_id, upstream_id
        The attempt in progress.
    refused_by
        Upstreams not to be tried again for now.
    may_have_run
        Whether any attempt ended without evidence that it did not run.
    next_chunk
        Number of the chunk expected next.
    kept
        The answer so far, for a request with an idempotency key.
    """

    entry: "Entry"
    request: entry_messages.CallerRequest
    route: tables.Route
    key: str
    began_ms: int
    deadline_ms: int
    wall_ms: int
    phase: str = "received"
    timer: int = DEADLINE_TOKEN
    attempts: int = 0
    tries: int = 0
    attempt_id: str = ""
    upstream_id: str = ""
    refused_by: set[str] = dataclasses.field(default_factory=set)
    failure: errors.CallFailure | None = None
    may_have_run: bool = False
    next_chunk: int = 0
    status: int = 0
    content_type: str = ""
    kept: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True)
class Entry:
    """State of an entry.

    Attributes
    ----------
    calls
        Requests in progress by id.
    loads
        Last load shown by each upstream.
    own
        Attempts in progress at each upstream.
    leaving
        Upstreams that said they are leaving, by incarnation.
    index
        Routes and upstreams of the view, arranged for lookups.
    retry_budget
        Retries after failures that are left.
    ends
        Ends of marked requests that control has not confirmed.
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
    own: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving: dict[str, str] = dataclasses.field(default_factory=dict)
    retry_budget: float = 0.0
    ends: unconfirmed.UnconfirmedCommands = dataclasses.field(
        default_factory=unconfirmed.UnconfirmedCommands
    )
