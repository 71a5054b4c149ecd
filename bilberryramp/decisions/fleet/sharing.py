"""What each entry has in flight, shared so that all place calls alike.

An entry knows its own calls exactly and those of the others as of their
last report. Reports also tell which prompts were sent where, from which
each entry works out what an engine's prefix cache is likely to hold.
"""

import collections
import dataclasses

from bilberryramp.decisions.fleet import keys, prefix_cache

__all__ = [
    "Load",
    "Loads",
    "Report",
    "is_adapter_in_use",
    "urgency_level",
    "count_adapter_call",
    "record_demand",
    "record_load_change",
    "apply_report",
    "record_sent_prompt",
    "own_load",
    "build_due_report",
    "total_load",
]

# A report of another entry counts for this long; a healthy entry reports
# several times in it.
REPORT_VALID_MS = 2000
# How soon an entry reports that a long prompt went out or was read, other
# changes of its load, and that nothing changed. Two entries that send long
# prompts to one engine in the time between make its streams pause.
REPORT_URGENT_MS = 15
REPORT_CHANGES_MS = 160
REPORT_IDLE_MS = 900
# How often a report tells of all upstreams, for nodes that missed some.
FULL_REPORT_MS = 900
# Prompts from this size on count as long: half of what an engine reads in one
# step (4096 tokens, data sheet).
LONG_PROMPT_TOKENS = 2048
# Levels of urgency that are told apart; the last one is for late calls.
URGENCY_LEVELS = 4
# Where the adapters begin in a row of a report.
ROW_ADAPTERS_START = 3 + URGENCY_LEVELS


@dataclasses.dataclass(slots=True)
class Load:
    """Calls in flight at one upstream.

    Attributes
    ----------
    calls
        How many.
    tokens
        Memory that they may need, prompt and answer.
    unread
        Prompt tokens of calls whose answer has not begun, by `urgency_level`.
    using
        Calls by key of their adapter; only in an entry's own load.
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


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """One entry's load, and the prompts that it sent since the last.

    Reports make up most of the traffic between nodes, so they are plain
    tuples with short keys.

    Attributes
    ----------
    rows
        For each upstream its key, calls, tokens, unread tokens by level and
        the keys of the adapters that its calls use.
    sent
        For each prompt its upstream's key, its weights and its parts, as in
        `SentPrompt`.
    asked
        Work that clients asked for, by key of the model, in tokens.
    is_whole
        Whether upstreams without a row have no calls of this entry; else
        they have those that were told before.
    """

    sender: str
    rows: tuple[tuple[int, ...], ...]
    sent: tuple[tuple[int, str, tuple[tuple[int, int], ...]], ...]
    asked: tuple[tuple[int, int], ...] = ()
    is_whole: bool = True


@dataclasses.dataclass(slots=True)
class Loads:
    """Own and others' load by upstream.

    Attributes
    ----------
    others
        Reports of other entries: time of arrival, and rows by their key.
    changed
        Upstreams whose load the next report tells.
    is_urgent
        Whether others should know of the changes at once.
    """

    own: dict[str, Load] = dataclasses.field(default_factory=dict)
    peer_reports: dict[str, tuple[int, dict[int, tuple[int, ...]]]] = (
        dataclasses.field(default_factory=dict)
    )
    caches: dict[int, prefix_cache.PrefixCache] = dataclasses.field(
        default_factory=dict
    )
    unreported_prompts: list[prefix_cache.SentPrompt] = dataclasses.field(
        default_factory=list
    )
    unreported_demand: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    changed_upstreams: set[str] = dataclasses.field(default_factory=set)
    is_report_urgent: bool = False
    reported_ms: int = 0
    full_report_ms: int = 0


def urgency_level(urgency: int) -> int:
    """Return the level of a rank of urgency.

    Parameters
    ----------
    urgency
        0 is the most urgent.

    Returns
    -------
    int
        Index into `Load.unread_tokens`.
    """
    return min(urgency, URGENCY_LEVELS - 1)


def own_load(loads: Loads, upstream_id: str) -> Load:
    """Return this entry's load at an upstream, made if needed.

    Parameters
    ----------
    loads, upstream_id
        Where to look.

    Returns
    -------
    Load
        To be changed by the caller.
    """
    load = loads.own.get(upstream_id)
    if load is None:
        load = loads.own[upstream_id] = Load(upstream_id)
    return load


def total_load(loads: Loads, upstream_id: str, now_ms: int) -> Load:
    """Add up an upstream's load over all entries.

    Parameters
    ----------
    loads, upstream_id, now_ms
        Where to look, and the present.

    Returns
    -------
    Load
        A new object.
    """
    key = keys.short_key(upstream_id)
    own = loads.own.get(upstream_id)
    summed = Load(upstream_id)
    if own is not None:
        _add(summed, own.calls, own.reserved_tokens, own.unread_tokens)
    for heard_ms, rows in loads.peer_reports.values():
        if now_ms - heard_ms < REPORT_VALID_MS and key in rows:
            _, calls, tokens, *rest = rows[key]
            _add(summed, calls, tokens, rest[:URGENCY_LEVELS])
    return summed


def _add(summed: Load, calls: int, tokens: int, unread_tokens) -> None:
    summed.calls += calls
    summed.reserved_tokens += tokens
    for index, tokens in enumerate(unread_tokens):
        summed.unread_tokens[index] += tokens


def record_load_change(
    loads: Loads, upstream_id: str, unread_tokens: int
) -> None:
    """Note that an own load has changed and must be reported.

    Parameters
    ----------
    loads, upstream_id
        Changed in place, and where.
    unread_tokens
        By how much the unread tokens there have changed.
    """
    loads.changed_upstreams.add(upstream_id)
    if unread_tokens >= LONG_PROMPT_TOKENS:
        loads.is_report_urgent = True


def count_adapter_call(load: Load, weights: str, change: int) -> None:
    """Count a call that uses an adapter, or its end.

    Parameters
    ----------
    load
        This entry's load at the call's upstream; changed in place.
    weights
        Model and adapter.
    change
        1 or -1.
    """
    key = keys.short_key(weights)
    load.adapter_calls[key] += change
    if load.adapter_calls[key] <= 0:
        load.adapter_calls.pop(key)


def is_adapter_in_use(
    loads: Loads, upstream_id: str, weights: str, now_ms: int
) -> bool:
    """Tell whether a call in flight uses an adapter at an engine.

    Parameters
    ----------
    loads, upstream_id, now_ms
        Where to look, and the present.
    weights
        Model and adapter.

    Returns
    -------
    bool
        As far as this entry and the others' fresh reports tell.
    """
    own = loads.own.get(upstream_id)
    key = keys.short_key(weights)
    if own is not None and key in own.adapter_calls:
        return True
    upstream_key = keys.short_key(upstream_id)
    return any(
        key in rows.get(upstream_key, ())[ROW_ADAPTERS_START:]
        for heard_ms, rows in loads.peer_reports.values()
        if now_ms - heard_ms < REPORT_VALID_MS
    )


def apply_report(
    loads: Loads, report: Report, cache_tokens: int, now_ms: int
) -> None:
    """Take in another entry's report.

    Parameters
    ----------
    loads
        Changed in place.
    report
        The report.
    cache_tokens
        Memory of an engine, for the size of its prefix cache.
    now_ms
        The present.
    """
    rows = {row[0]: row for row in report.rows}
    if not report.is_whole:
        _, previous = loads.peer_reports.get(report.sender, (now_ms, {}))
        rows = previous | rows
    loads.peer_reports[report.sender] = (now_ms, rows)
    for sent in report.sent:
        prefix_cache.keep(
            loads.caches, prefix_cache.SentPrompt(*sent), cache_tokens
        )


def record_sent_prompt(
    loads: Loads,
    upstream_id: str,
    weights: str,
    parts: tuple[prefix_cache.Part, ...],
    cache_tokens: int,
) -> None:
    """Record a prompt that this entry sends.

    Parameters
    ----------
    loads
        Changed in place.
    upstream_id, weights, parts
        Where it goes, with which model and adapter, and its parts.
    cache_tokens
        As for `apply_report`.
    """
    keyed = tuple(
        (keys.short_key(part.part_id), part.tokens) for part in parts
    )
    prompt = prefix_cache.SentPrompt(
        keys.short_key(upstream_id), weights, keyed
    )
    prefix_cache.keep(loads.caches, prompt, cache_tokens)
    loads.unreported_prompts.append(prompt)


def record_demand(loads: Loads, model: str, tokens: int) -> None:
    """Record work that a client asked for, whether it is served or not.

    Parameters
    ----------
    loads
        Changed in place.
    model, tokens
        The model, and the work.
    """
    loads.unreported_demand[keys.short_key(model)] += tokens


def build_due_report(loads: Loads, sender: str, now_ms: int) -> Report | None:
    """Make this entry's report if it is time for one.

    Parameters
    ----------
    loads
        Changed in place when a report is made.
    sender
        This entry's address.
    now_ms
        The present.

    Returns
    -------
    Report or None
        None when nothing needs to be told yet.
    """
    if loads.is_report_urgent:
        interval_ms = REPORT_URGENT_MS
    elif loads.changed_upstreams or loads.unreported_demand:
        interval_ms = REPORT_CHANGES_MS
    else:
        interval_ms = REPORT_IDLE_MS
    if now_ms - loads.reported_ms < interval_ms:
        return None
    is_whole = now_ms - loads.full_report_ms >= FULL_REPORT_MS
    report = Report(
        sender,
        tuple(
            _row(load)
            for load in loads.own.values()
            if (
                load.calls
                if is_whole
                else load.upstream_id in loads.changed_upstreams
            )
        ),
        tuple(
            (p.upstream_key, p.weights, p.parts)
            for p in loads.unreported_prompts
        ),
        tuple(loads.unreported_demand.items()),
        is_whole,
    )
    loads.reported_ms = now_ms
    if is_whole:
        loads.full_report_ms = now_ms
    loads.is_report_urgent = False
    loads.changed_upstreams.clear()
    loads.unreported_prompts.clear()
    loads.unreported_demand.clear()
    return report


def _row(load: Load) -> tuple[int, ...]:
    return (
        keys.short_key(load.upstream_id),
        load.calls,
        load.reserved_tokens,
        *load.unread_tokens,
        *load.adapter_calls,
    )
