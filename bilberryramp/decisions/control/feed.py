"""How one control replica keeps its followers' views up to date.

Followers of the view are spread over the replicas: the log is the trunk
of the tree and each replica feeds its own branch. A change is pushed when
it is applied; a beat is answered once the replica has proved that it
holds all that was committed when the beat arrived.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterator

from bilberryramp.decisions.control import control_state
from bilberryramp.decisions.shared import commands, effects, tables, views
from bilberryramp.decisions.shared import feed_messages as msgs

__all__ = [
    "MAX_HISTORY",
    "SUBSCRIBER_TTL_MS",
    "Feed",
    "Subscriber",
    "note_applied",
    "note_restored",
    "on_heartbeat",
    "on_tick",
    "push",
    "take_digest",
]

MAX_HISTORY = 2000
SUBSCRIBER_TTL_MS = 10_000


@dataclasses.dataclass(slots=True)
class Subscriber:
    """One follower of the view; times are the replica's, in milliseconds."""

    seen_ms: int
    index: int
    probe: int = -1
    heartbeat_sent_ms: int = -1
    report: msgs.UpstreamReport | None = None
    report_passed_on: bool = False
    beaten: bool = False
    busy: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Feed:
    """State of one replica's branch.

    Attributes
    ----------
    replica_id
        Name of the replica.
    subscribers
        Followers by name.
    history
        Entries that changed the view, oldest first.
    history_after
        Every change after this index is in `history`.
    last_change, pushed
        Index of the newest change, and of the newest one passed on.
    tables
        Tables as last passed on, for sending only what changes.
    waiting
        Followers whose beat is not answered yet, in order of arrival.
    pruned_ms
        When silent followers were last dropped.
    """

    replica_id: str
    subscribers: dict[str, Subscriber] = dataclasses.field(
        default_factory=dict
    )
    history: collections.deque[control_state.Entry] = dataclasses.field(
        default_factory=collections.deque
    )
    history_after: int = 0
    last_change: int = 0
    pushed: int = 0
    tables: tables.Tables = tables.Tables()
    waiting: dict[str, None] = dataclasses.field(default_factory=dict)
    pruned_ms: int = 0


def on_heartbeat(
    feed: Feed, now_ms: int, beat: msgs.Heartbeat, probe: int
) -> None:
    """Take in a heartbeat; `on_tick` answers it.

    Parameters
    ----------
    feed
        Changed in place.
    now_ms
        The replica's clock in milliseconds.
    beat
        The heartbeat.
    probe
        From `replica_state.next_probe`.
    """
    known = feed.subscribers.get(beat.sender)
    if known is None:
        known = Subscriber(now_ms, beat.index)
        feed.subscribers[beat.sender] = known
    known.seen_ms = now_ms
    known.index = beat.index
    known.heartbeat_sent_ms = beat.sent_ms
    known.beaten = True
    known.busy = beat.busy
    feed.waiting[beat.sender] = None
    if known.probe < 0:
        known.probe = probe
    if beat.report is not None:
        known.report = beat.report
        known.report_passed_on = False


def on_tick(
    feed: Feed,
    now_ms: int,
    view: views.View,
    is_fresh: Callable[[int], bool],
) -> Iterator:
    """Answer the beats for which freshness is proved.

    Parameters
    ----------
    feed
        Changed in place.
    now_ms
        The replica's clock in milliseconds.
    view
        The replica's view.
    is_fresh
        Tells whether a probe has been answered.

    Yields
    ------
    Send
        A `Delta` or `FullView` for each follower that waited.
    """
    if now_ms - feed.pruned_ms > SUBSCRIBER_TTL_MS // 4:
        _prune(feed, now_ms)
    ready = [
        name for name in feed.waiting if is_fresh(feed.subscribers[name].probe)
    ]
    whole = msgs.FullView(feed.replica_id, view)
    for name in ready:
        del feed.waiting[name]
        yield from _catch_up(feed, name, whole)


def note_applied(feed: Feed, entry: control_state.Entry, result) -> None:
    """Keep an applied entry for the followers if it changed the view.

    Parameters
    ----------
    feed
        Changed in place.
    entry, result
        The entry and the result of applying it.
    """
    if not control_state.changes_view(result, entry.command):
        return
    entry = _for_followers(feed, entry)
    feed.history.append(entry)
    feed.last_change = entry.index
    if len(feed.history) > MAX_HISTORY:
        feed.history_after = feed.history.popleft().index


def push(feed: Feed) -> Iterator[effects.Send]:
    """Pass new changes on, all that came together in one message.

    Parameters
    ----------
    feed
        Changed in place.

    Yields
    ------
    Send
        A `Delta` for each follower that lacks a change; followers at the
        same index share one message.
    """
    if feed.pushed == feed.last_change:
        return
    feed.pushed = feed.last_change
    deltas: dict[int, msgs.Delta] = {}
    for name, subscriber in feed.subscribers.items():
        at = subscriber.index
        if not feed.history_after <= at < feed.last_change:
            continue
        if at not in deltas:
            entries = _entries_after(feed, at)
            deltas[at] = msgs.Delta(feed.replica_id, at, entries)
        subscriber.index = feed.last_change
        yield effects.Send(name, deltas[at])


def _entries_after(feed: Feed, index: int) -> tuple[control_state.Entry, ...]:
    return tuple(entry for entry in feed.history if entry.index > index)


def note_restored(feed: Feed, view: views.View) -> None:
    """Forget the history: the view was replaced as a whole.

    Parameters
    ----------
    feed
        Changed in place.
    view
        The new view.
    """
    feed.history.clear()
    feed.history_after = view.index
    feed.last_change = feed.pushed = view.index
    feed.tables = view.tables


def take_digest(feed: Feed, whole: bool) -> msgs.Digest:
    """Gather the upstreams' heartbeats for the leader.

    Parameters
    ----------
    feed
        Changed in place: what is taken counts as passed on.
    whole
        Whether the leader is new and needs every report.

    Returns
    -------
    Digest
        Upstreams alive since the last one, and reports that are due.
    """
    with_report = [
        (name, subscriber)
        for name, subscriber in feed.subscribers.items()
        if subscriber.report is not None and subscriber.beaten
    ]
    due = [
        subscriber.report
        for _, subscriber in with_report
        if whole or not subscriber.report_passed_on
    ]
    for _, subscriber in with_report:
        subscriber.report_passed_on = True
        subscriber.beaten = False
    alive = tuple(
        subscriber.report.upstream.upstream_id for _, subscriber in with_report
    )
    busy: collections.Counter[str] = collections.Counter()
    for subscriber in feed.subscribers.values():
        busy.update(subscriber.busy)
    return msgs.Digest(feed.replica_id, alive, tuple(due), dict(busy))


def _for_followers(feed: Feed, entry: control_state.Entry):
    command = entry.command
    if not isinstance(command, commands.SubmitTables):
        return entry
    change = tables.compare(feed.tables, command.tables)
    feed.tables = command.tables
    passed_on = commands.ChangeTables(command.submitter, change)
    return control_state.Entry(entry.term, entry.index, passed_on)


def _prune(feed: Feed, now_ms: int) -> None:
    feed.pruned_ms = now_ms
    for name, subscriber in list(feed.subscribers.items()):
        if now_ms - subscriber.seen_ms > SUBSCRIBER_TTL_MS:
            del feed.subscribers[name]
            feed.waiting.pop(name, None)


def _catch_up(feed: Feed, name: str, whole: msgs.FullView) -> Iterator:
    subscriber = feed.subscribers[name]
    subscriber.probe = -1
    if subscriber.index < feed.history_after:
        subscriber.index = whole.view.index
        yield effects.Send(name, whole)
    after = subscriber.index
    subscriber.index = max(after, feed.last_change)
    delta = msgs.Delta(
        feed.replica_id,
        after,
        _entries_after(feed, after),
        subscriber.heartbeat_sent_ms,
        subscriber.report is None,
    )
    yield effects.Send(name, delta)
