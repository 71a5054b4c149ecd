"""Load reports that gateways exchange so that they balance load alike.

A gateway's peers are the gateways of the other nodes. A gateway knows its own
calls in flight exactly, and those of its peers as of their last reports.
Reports also list the prompts sent to each upstream, from which every gateway
estimates the contents of the engines' prefix caches.

Peers in the same failure domain, which prefer the same engines, get reports
soon. Those in other domains get them at intervals that grow with their number,
so that the messages of one gateway are bounded in a fleet of any size.
"""

import collections
import dataclasses
import enum
import operator
import typing

from bilberryramp.decisions.fleet.core import keys, prefix_cache

__all__ = [
    "Audience",
    "Load",
    "Loads",
    "Report",
    "ReportTo",
    "SpeedSample",
    "apply_report",
    "build_due_report",
    "count_adapter_call",
    "is_adapter_in_use",
    "is_report_urgent",
    "own_load",
    "record_demand",
    "record_load_change",
    "record_sent_prompt",
    "record_speed_sample",
    "set_audience_size",
    "total_load",
    "urgency_level",
]

# Time for which a peer's report is valid; a healthy gateway sends several
# reports within it. In a large fleet, it is REPORTS_PER_TTL times the longest
# interval of reports.
REPORT_TTL_MS = 2000
REPORTS_PER_TTL = 3
# Minimum intervals between reports: after a long prompt was sent or read,
# after other changes of the load, and without changes. Two gateways that send
# long prompts to the same engine, each before it receives the other's report,
# make the engine's streams pause.
URGENT_REPORT_INTERVAL_MS = 15
CHANGED_REPORT_INTERVAL_MS = 160
IDLE_REPORT_INTERVAL_MS = 900
# Interval of reports that list all upstreams, for peers that missed reports.
FULL_REPORT_INTERVAL_MS = 900
# Limit on the messages with which one gateway reports to one audience. What
# it has not used for up to MAX_CREDIT_MS it may use at once, so that a report
# that is urgent doesn't wait behind one that was not; other reports leave the
# reserve for urgent ones.
MAX_MESSAGES_PER_S = 120
MAX_CREDIT_MS = 1000
URGENT_RESERVE_MS = 500
# Minimum size of a long prompt: half of what an engine reads in one step (4096
# tokens, data sheet).
LONG_PROMPT_TOKENS = 2048
# Number of urgency levels that are distinguished; the last one includes the
# calls that have missed their latency objective.
URGENCY_LEVELS = 4
# Index of the first adapter key in a row of a report, after the upstream's
# key, the number of calls, the reserved tokens and the unread tokens by level.
ROW_ADAPTERS_START = 3 + URGENCY_LEVELS
_NO_LOAD = (0,) * (ROW_ADAPTERS_START - 1)
# Placeholder in sums, which do not count calls by adapter; never modified.
_NO_ADAPTER_CALLS = collections.Counter()


class Audience(enum.Enum):
    """Peers that get the same reports of a gateway."""

    NEAR = "near"
    """Peers in the gateway's failure domain."""
    FAR = "far"
    """All other peers."""


@dataclasses.dataclass(slots=True)
class Load:
    """Load of the calls in flight at one upstream.

    Attributes
    ----------
    upstream_id
        Identifier of the upstream.
    calls
        Number of calls.
    reserved_tokens
        Memory that the calls, and ended ones that the upstream may still
        hold, may need for prompts and answers, in tokens.
    unread_tokens
        Prompt tokens of calls whose answer has not started, by
        `urgency_level`.
    adapter_calls
        Number of calls by key of their adapter; counted only in the load of
        this gateway.
    """

    upstream_id: str
    calls: int = 0
    reserved_tokens: int = 0
    unread_tokens: list[int] = dataclasses.field(
        default_factory=lambda: [0] * URGENCY_LEVELS
    )
    adapter_calls: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class SpeedSample(typing.NamedTuple):
    """A measured reading speed of an engine.

    Attributes
    ----------
    upstream_key
        Key of the engine.
    born_ms
        Start of its process, as in `presence.Announcement`.
    ns_per_token
        Nanoseconds per token of work before a first token.
    """

    upstream_key: int
    born_ms: int
    ns_per_token: int


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Load of one gateway, and the prompts it sent since its last report.

    Reports account for most of the traffic between nodes, so they consist of
    plain tuples with short keys (`keys.short_key`).

    Attributes
    ----------
    sender
        Address of the gateway.
    rows
        For each upstream: its key, number of calls, reserved tokens, unread
        tokens by urgency level, and keys of the adapters in use.
    sent
        For each prompt: its upstream's key, its weights and its parts, as in
        `SentPrompt`.
    asked
        Work that clients requested since the last report: key of the model
        and number of tokens.
    is_whole
        Whether upstreams without a row have no calls of this gateway. If
        False, their rows of the previous reports remain valid.
    speeds
        Reading speeds that were measured since the last report.
    """

    sender: str
    rows: tuple[tuple[int, ...], ...]
    sent: tuple[tuple[int, str, tuple[tuple[int, int], ...]], ...]
    asked: tuple[tuple[int, int], ...] = ()
    is_whole: bool = True
    speeds: tuple[SpeedSample, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ReportTo:
    """Send a report to the peers of an audience.

    Attributes
    ----------
    audience
        Peers that get the report.
    report
        The report.
    """

    audience: Audience
    report: Report


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """Load of one peer as of its last report.

    Attributes
    ----------
    heard_ms
        When the last report arrived.
    rows
        Rows of its reports by upstream key.
    is_counted
        Whether the rows are part of the sums in `Loads`.
    """

    heard_ms: int
    rows: dict[int, tuple[int, ...]] = dataclasses.field(default_factory=dict)
    is_counted: bool = False


@dataclasses.dataclass(slots=True)
class Outbox:
    """What one audience has not been told yet.

    Attributes
    ----------
    min_interval_ms
        Minimum interval between two reports in the long run.
    credit_ms, credited_ms
        Time that may be spent on reports, each of which costs
        `min_interval_ms`, and when it was last computed.
    unreported_prompts
        Prompts sent since the last report.
    unreported_demand
        Tokens of work requested since the last report, by key of the model.
    unreported_speeds
        Reading speeds measured since the last report.
    changed_upstreams
        Identifiers of upstreams whose load has changed since the last report.
    is_report_urgent
        Whether a long prompt was sent or read since the last report.
    reported_ms
        When the last report was built.
    full_report_ms
        When the last report with all upstreams was built.
    """

    min_interval_ms: int = URGENT_REPORT_INTERVAL_MS
    credit_ms: int = 0
    credited_ms: int = -MAX_CREDIT_MS
    unreported_prompts: list[prefix_cache.SentPrompt] = dataclasses.field(
        default_factory=list
    )
    unreported_demand: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unreported_speeds: list[SpeedSample] = dataclasses.field(
        default_factory=list
    )
    changed_upstreams: set[str] = dataclasses.field(default_factory=set)
    is_report_urgent: bool = False
    reported_ms: int = 0
    full_report_ms: int = 0


def _make_outboxes() -> dict[Audience, Outbox]:
    return {audience: Outbox() for audience in Audience}


@dataclasses.dataclass(slots=True)
class Loads:
    """Load by upstream, of this gateway and of its peers.

    Upstream keys are those of `keys.short_key`.

    Attributes
    ----------
    own
        Load of this gateway by upstream identifier.
    peers
        Load of each peer by its address.
    peer_totals
        Sums over the valid reports of all peers by upstream key: calls,
        reserved tokens, and unread tokens by urgency level.
    peer_adapters
        Number of peers that use an adapter, by upstream key and key of the
        adapter.
    report_ttl_ms
        Time for which a peer's report is valid.
    next_expiry_ms
        Time before which no peer's report expires.
    caches
        Estimated prefix caches by upstream key.
    outboxes
        What each audience has not been told yet.
    """

    own: dict[str, Load] = dataclasses.field(default_factory=dict)
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    peer_totals: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    peer_adapters: dict[int, collections.Counter] = dataclasses.field(
        default_factory=dict
    )
    report_ttl_ms: int = REPORT_TTL_MS
    next_expiry_ms: int = 0
    caches: dict[int, prefix_cache.PrefixCache] = dataclasses.field(
        default_factory=dict
    )
    outboxes: dict[Audience, Outbox] = dataclasses.field(
        default_factory=_make_outboxes
    )


def set_audience_size(
    loads: Loads, audience: Audience, peer_count: int
) -> None:
    """Adapt the interval of reports to the number of peers that get them.

    Parameters
    ----------
    loads
        Known loads. Modified in place.
    audience
        Peers that get the same reports.
    peer_count
        Number of these peers.
    """
    loads.outboxes[audience].min_interval_ms = max(
        URGENT_REPORT_INTERVAL_MS, 1000 * peer_count // MAX_MESSAGES_PER_S
    )
    longest_ms = max(
        outbox.min_interval_ms for outbox in loads.outboxes.values()
    )
    loads.report_ttl_ms = max(REPORT_TTL_MS, REPORTS_PER_TTL * longest_ms)


def is_report_urgent(loads: Loads) -> bool:
    """Return whether a long prompt was sent or read since the last report."""
    return any(outbox.is_report_urgent for outbox in loads.outboxes.values())


def urgency_level(urgency: int) -> int:
    """Return the urgency level of a rank.

    Parameters
    ----------
    urgency
        Rank of a call; 0 is the most urgent.

    Returns
    -------
    int
        Index into `Load.unread_tokens`; see `URGENCY_LEVELS`.
    """
    return min(urgency, URGENCY_LEVELS - 1)


def own_load(loads: Loads, upstream_id: str) -> Load:
    """Return this gateway's load, creating it if it does not exist.

    Parameters
    ----------
    loads
        Known loads. Modified in place.
    upstream_id
        Identifier of the upstream.

    Returns
    -------
    Load
        The stored object, which the caller may modify.
    """
    load = loads.own.get(upstream_id)
    if load is None:
        load = loads.own[upstream_id] = Load(upstream_id)
    return load


def total_load(loads: Loads, upstream_id: str, now_ms: int) -> Load:
    """Return an upstream's load summed over all gateways.

    Parameters
    ----------
    loads
        Known loads.
    upstream_id
        Identifier of the upstream.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Load
        A new object, without `adapter_calls`.
    """
    _expire_reports(loads, now_ms)
    own = loads.own.get(upstream_id)
    totals = loads.peer_totals.get(keys.short_key(upstream_id))
    if totals is None:
        calls, reserved_tokens, *unread_tokens = _NO_LOAD
    else:
        calls, reserved_tokens, *unread_tokens = totals
    if own is not None:
        calls += own.calls
        reserved_tokens += own.reserved_tokens
        unread_tokens = list(
            map(operator.add, unread_tokens, own.unread_tokens)
        )
    return Load(
        upstream_id, calls, reserved_tokens, unread_tokens, _NO_ADAPTER_CALLS
    )


def _expire_reports(loads: Loads, now_ms: int) -> None:
    """Take reports that are no longer valid out of the sums."""
    if now_ms < loads.next_expiry_ms:
        return
    loads.next_expiry_ms = now_ms + loads.report_ttl_ms
    for peer in loads.peers.values():
        expiry_ms = peer.heard_ms + loads.report_ttl_ms
        if peer.is_counted and now_ms >= expiry_ms:
            peer.is_counted = False
            _count_rows(loads, peer.rows.values(), -1)
        elif peer.is_counted:
            loads.next_expiry_ms = min(loads.next_expiry_ms, expiry_ms)


def _count_rows(loads: Loads, rows, sign: int) -> None:
    for row in rows:
        _count_row(loads, row, sign)


def _count_row(loads: Loads, row: tuple[int, ...], sign: int) -> None:
    """Add a row of a peer's report to the sums, or subtract it."""
    totals = loads.peer_totals.get(row[0])
    if totals is None:
        totals = loads.peer_totals[row[0]] = list(_NO_LOAD)
    for index in range(ROW_ADAPTERS_START - 1):
        totals[index] += sign * row[index + 1]
    for adapter_key in row[ROW_ADAPTERS_START:]:
        used = loads.peer_adapters.setdefault(row[0], collections.Counter())
        used[adapter_key] += sign
        if used[adapter_key] <= 0:
            del used[adapter_key]


def record_load_change(
    loads: Loads, upstream_id: str, unread_tokens: int
) -> None:
    """Record that this gateway's load has changed and must be reported.

    Parameters
    ----------
    loads
        Known loads. Modified in place.
    upstream_id
        Identifier of the upstream.
    unread_tokens
        Prompt tokens that were added to or removed from the unread tokens at
        the upstream.
    """
    for outbox in loads.outboxes.values():
        outbox.changed_upstreams.add(upstream_id)
        if unread_tokens >= LONG_PROMPT_TOKENS:
            outbox.is_report_urgent = True


def count_adapter_call(load: Load, weights: str, change: int) -> None:
    """Update the number of calls that use an adapter.

    Parameters
    ----------
    load
        This gateway's load at the call's upstream. Modified in place.
    weights
        Model and adapter, as in `Prompt.weights`.
    change
        1 when a call starts, -1 when it ends.
    """
    key = keys.short_key(weights)
    load.adapter_calls[key] += change
    if load.adapter_calls[key] <= 0:
        load.adapter_calls.pop(key)


def is_adapter_in_use(
    loads: Loads, upstream_id: str, weights: str, now_ms: int
) -> bool:
    """Return whether a call in flight uses an adapter at an engine.

    Parameters
    ----------
    loads
        Known loads.
    upstream_id
        Identifier of the engine.
    weights
        Model and adapter, as in `Prompt.weights`.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether a call of this gateway, or of a peer according to its valid
        report, uses the adapter.
    """
    own = loads.own.get(upstream_id)
    key = keys.short_key(weights)
    if own is not None and key in own.adapter_calls:
        return True
    _expire_reports(loads, now_ms)
    return key in loads.peer_adapters.get(keys.short_key(upstream_id), ())


def apply_report(
    loads: Loads, report: Report, cache_capacity_tokens: int, now_ms: int
) -> list[tuple[int, int]]:
    """Update loads and prefix caches from the report of a peer.

    Parameters
    ----------
    loads
        Known loads. Modified in place.
    report
        Report of the peer.
    cache_capacity_tokens
        Capacity of an engine's prefix cache in tokens.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    list of (int, int)
        Keys of the engines that have read prompts of the peer since its last
        report, and the number of tokens.
    """
    peer = loads.peers.get(report.sender)
    if peer is None:
        peer = loads.peers[report.sender] = PeerLoad(now_ms)
    if not peer.is_counted and not report.is_whole:
        _count_rows(loads, peer.rows.values(), 1)
    elif peer.is_counted and report.is_whole:
        _count_rows(loads, peer.rows.values(), -1)
    known_rows = peer.rows
    if report.is_whole:
        peer.rows = {}
    read = []
    for row in report.rows:
        read_tokens = _unread(known_rows.get(row[0], ())) - _unread(row)
        if read_tokens > 0:
            read.append((row[0], read_tokens))
        previous = peer.rows.get(row[0])
        if previous is not None:
            _count_row(loads, previous, -1)
        peer.rows[row[0]] = row
        _count_row(loads, row, 1)
    peer.heard_ms, peer.is_counted = now_ms, True
    loads.next_expiry_ms = min(
        loads.next_expiry_ms, now_ms + loads.report_ttl_ms
    )
    for prompt_fields in report.sent:
        prefix_cache.record_prompt(
            loads.caches,
            prefix_cache.SentPrompt(*prompt_fields),
            cache_capacity_tokens,
        )
    return read


def _unread(row: tuple[int, ...]) -> int:
    """Return the unread tokens of a row of a report."""
    return sum(row[3:ROW_ADAPTERS_START])


def record_sent_prompt(
    loads: Loads,
    upstream_id: str,
    weights: str,
    parts: tuple[prefix_cache.PromptPart, ...],
    cache_capacity_tokens: int,
) -> None:
    """Record a prompt that this gateway sends.

    Parameters
    ----------
    loads
        Known loads. Modified in place.
    upstream_id
        Identifier of the engine that the prompt is sent to.
    weights
        Model and adapter, as in `Prompt.weights`.
    parts
        Parts of the prompt in order.
    cache_capacity_tokens
        As for `apply_report`.
    """
    keyed = tuple(
        (keys.short_key(part.part_id), part.tokens) for part in parts
    )
    prompt = prefix_cache.SentPrompt(
        keys.short_key(upstream_id), weights, keyed
    )
    prefix_cache.record_prompt(loads.caches, prompt, cache_capacity_tokens)
    for outbox in loads.outboxes.values():
        outbox.unreported_prompts.append(prompt)


def record_demand(loads: Loads, model: str, tokens: int) -> None:
    """Record work that a client requested, whether or not it is served.

    Parameters
    ----------
    loads
        Known loads. Modified in place.
    model
        Name of the model.
    tokens
        The work, in prompt tokens.
    """
    for outbox in loads.outboxes.values():
        outbox.unreported_demand[keys.short_key(model)] += tokens


def record_speed_sample(loads: Loads, sample: SpeedSample) -> None:
    """Record a measured reading speed, which the next reports contain.

    Parameters
    ----------
    loads
        Known loads. Modified in place.
    sample
        The measured speed.
    """
    for outbox in loads.outboxes.values():
        outbox.unreported_speeds.append(sample)


def build_due_report(
    loads: Loads,
    sender: str,
    now_ms: int,
    audience: Audience = Audience.NEAR,
) -> Report | None:
    """Build this gateway's next report to an audience if it is due.

    Parameters
    ----------
    loads
        Known loads. Modified in place when a report is built.
    sender
        Address of this gateway.
    now_ms
        Current time in milliseconds.
    audience
        Peers that get the report.

    Returns
    -------
    Report or None
        None when no report is due yet.
    """
    outbox = loads.outboxes[audience]
    cost_ms = outbox.min_interval_ms
    max_credit_ms = max(MAX_CREDIT_MS, cost_ms)
    reserve_ms = 0
    if outbox.is_report_urgent:
        interval_ms = URGENT_REPORT_INTERVAL_MS
    elif outbox.changed_upstreams or outbox.unreported_demand:
        interval_ms = CHANGED_REPORT_INTERVAL_MS
        reserve_ms = min(URGENT_RESERVE_MS, max_credit_ms - cost_ms)
    else:
        interval_ms = IDLE_REPORT_INTERVAL_MS
    outbox.credit_ms = min(
        outbox.credit_ms + now_ms - outbox.credited_ms, max_credit_ms
    )
    outbox.credited_ms = now_ms
    if (
        now_ms - outbox.reported_ms < interval_ms
        or outbox.credit_ms < cost_ms + reserve_ms
    ):
        return None
    outbox.credit_ms -= cost_ms
    is_whole = now_ms - outbox.full_report_ms >= FULL_REPORT_INTERVAL_MS
    report = Report(
        sender,
        tuple(
            _load_row(load)
            for load in loads.own.values()
            if (
                load.calls or load.reserved_tokens
                if is_whole
                else load.upstream_id in outbox.changed_upstreams
            )
        ),
        tuple(
            (p.upstream_key, p.weights, p.parts)
            for p in outbox.unreported_prompts
        ),
        tuple(outbox.unreported_demand.items()),
        is_whole,
        tuple(outbox.unreported_speeds),
    )
    outbox.reported_ms = now_ms
    if is_whole:
        outbox.full_report_ms = now_ms
    outbox.is_report_urgent = False
    outbox.changed_upstreams.clear()
    outbox.unreported_prompts.clear()
    outbox.unreported_demand.clear()
    outbox.unreported_speeds.clear()
    return report


def _load_row(load: Load) -> tuple[int, ...]:
    """Return the row of a report for one upstream."""
    return (
        keys.short_key(load.upstream_id),
        load.calls,
        load.reserved_tokens,
        *load.unread_tokens,
        *load.adapter_calls,
    )
