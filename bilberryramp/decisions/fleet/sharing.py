"""What each entry has in flight, shared so that all place calls alike.

An entry knows its own calls exactly and those of the others as of their
last report. Reports also tell which prompts were sent where, from which
each entry works out what an engine's prefix cache is likely to hold.
"""

import collections
import dataclasses

__all__ = [
    "Load",
    "Loads",
    "Part",
    "PrefixCache",
    "Report",
    "SentPrompt",
    "cached_tokens",
    "level",
    "note_report",
    "note_sent",
    "own_load",
    "report_due",
    "total",
]

# A report of another entry counts for this long; a healthy entry reports
# several times in it.
REPORT_VALID_MS = 2000
# How often an entry reports while its load changes, and while it does not.
REPORT_EVERY_MS = 60
REPORT_IDLE_MS = 700
# Levels of urgency that are told apart; the last one is for late calls.
LEVELS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """A piece of a prompt that other prompts may share."""

    part_id: str
    tokens: int


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
        Prompt tokens of calls whose answer has not begun, by `level`.
    """

    upstream_id: str
    calls: int = 0
    tokens: int = 0
    unread: list[int] = dataclasses.field(default_factory=lambda: [0] * LEVELS)


@dataclasses.dataclass(slots=True, frozen=True)
class SentPrompt:
    """A prompt that was sent to an engine.

    Attributes
    ----------
    weights
        Model and adapter; caches are kept for both together.
    """

    upstream_id: str
    weights: str
    parts: tuple[Part, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """One entry's load, and the prompts that it sent since the last."""

    sender: str
    rows: tuple[Load, ...]
    sent: tuple[SentPrompt, ...]


@dataclasses.dataclass(slots=True)
class PrefixCache:
    """Prompt parts that an engine probably keeps, oldest first."""

    parts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    tokens: int = 0


@dataclasses.dataclass(slots=True)
class Loads:
    """Own and others' load by upstream.

    Attributes
    ----------
    others
        Reports of other entries, with their time of arrival.
    """

    own: dict[str, Load] = dataclasses.field(default_factory=dict)
    others: dict[str, tuple[int, dict[str, Load]]] = dataclasses.field(
        default_factory=dict
    )
    caches: dict[str, PrefixCache] = dataclasses.field(default_factory=dict)
    unreported: list[SentPrompt] = dataclasses.field(default_factory=list)
    changed: bool = False
    reported_ms: int = 0


def level(urgency: int) -> int:
    """Return the level of a rank of urgency.

    Parameters
    ----------
    urgency
        0 is the most urgent.

    Returns
    -------
    int
        Index into `Load.unread`.
    """
    return min(urgency, LEVELS - 1)


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


def total(loads: Loads, upstream_id: str, now_ms: int) -> Load:
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
    own = loads.own.get(upstream_id)
    summed = Load(upstream_id)
    rows = [own] if own is not None else []
    for heard_ms, by_id in loads.others.values():
        if now_ms - heard_ms < REPORT_VALID_MS and upstream_id in by_id:
            rows.append(by_id[upstream_id])
    for row in rows:
        summed.calls += row.calls
        summed.tokens += row.tokens
        for level, tokens in enumerate(row.unread):
            summed.unread[level] += tokens
    return summed


def note_report(
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
    rows = {row.upstream_id: row for row in report.rows}
    loads.others[report.sender] = (now_ms, rows)
    for prompt in report.sent:
        _keep(loads, prompt, cache_tokens)


def note_sent(loads: Loads, prompt: SentPrompt, cache_tokens: int) -> None:
    """Record a prompt that this entry sends.

    Parameters
    ----------
    loads, prompt, cache_tokens
        As for `note_report`.
    """
    _keep(loads, prompt, cache_tokens)
    loads.unreported.append(prompt)


def _keep(loads: Loads, prompt: SentPrompt, cache_tokens: int) -> None:
    cache = loads.caches.setdefault(prompt.upstream_id, PrefixCache())
    for part in prompt.parts:
        key = (prompt.weights, part.part_id)
        if key in cache.parts:
            cache.parts.move_to_end(key)
        else:
            cache.parts[key] = part.tokens
            cache.tokens += part.tokens
    while cache.tokens > cache_tokens and cache.parts:
        _, tokens = cache.parts.popitem(last=False)
        cache.tokens -= tokens


def cached_tokens(
    loads: Loads, upstream_id: str, weights: str, parts: tuple[Part, ...]
) -> int:
    """Estimate how much of a prompt an engine need not read again.

    Parameters
    ----------
    loads, upstream_id
        Where to look.
    weights, parts
        The prompt.

    Returns
    -------
    int
        Tokens of the leading parts that its cache probably holds.
    """
    cache = loads.caches.get(upstream_id)
    if cache is None:
        return 0
    found = 0
    for part in parts:
        if (weights, part.part_id) not in cache.parts:
            break
        found += part.tokens
    return found


def report_due(loads: Loads, sender: str, now_ms: int) -> Report | None:
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
    wait_ms = REPORT_EVERY_MS if loads.changed else REPORT_IDLE_MS
    if now_ms - loads.reported_ms < wait_ms:
        return None
    loads.reported_ms = now_ms
    loads.changed = False
    rows = tuple(
        dataclasses.replace(row, unread=list(row.unread))
        for row in loads.own.values()
        if row.calls
    )
    sent, loads.unreported = tuple(loads.unreported), []
    return Report(sender, rows, sent)
