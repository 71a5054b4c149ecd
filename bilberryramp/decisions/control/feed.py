"""Distribution of the view from one control replica to its subscribers.

Entry and upstream processes subscribe to one control replica each, and the
replicas receive the changes through the log. A replica pushes a change to
its subscribers when it has applied it. It answers a heartbeat only after a
freshness probe has shown that it has applied every entry that was committed
when the heartbeat arrived.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterator

from bilberryramp.decisions.control import control_state
from bilberryramp.decisions.shared import commands, effects, tables, views
from bilberryramp.decisions.shared import feed_messages as msgs

__all__ = [
    "MAX_HISTORY_ENTRIES",
    "SUBSCRIBER_TTL_MS",
    "Feed",
    "Subscriber",
    "collect_digest",
    "on_heartbeat",
    "on_tick",
    "push",
    "record_applied",
    "reset_history",
]

MAX_HISTORY_ENTRIES = 2000
SUBSCRIBER_TTL_MS = 10_000


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A process that follows the view through this replica.

    Attributes
    ----------
    last_heartbeat_ms
        Time of the last heartbeat on the replica's clock in milliseconds.
    index
        Log index that the subscriber's view has once it has received every
        message sent to it.
    probe
        Number of the freshness probe for the unanswered heartbeats; -1 if
        there is none.
    heartbeat_sent_ms
        Time of the last heartbeat on the subscriber's clock in
        milliseconds, echoed in the answer; -1 before the first one.
    report
        Last report of an upstream; None if none has been received.
    report_forwarded
        Whether `report` has been included in a digest.
    alive_since_digest
        Whether a heartbeat has arrived since the last digest.
    busy
        Number of requests that run or wait in the process by model, from
        its last heartbeat.
    """

    last_heartbeat_ms: int
    index: int
    probe: int = -1
    heartbeat_sent_ms: int = -1
    report: msgs.UpstreamReport | None = None
    report_forwarded: bool = False
    alive_since_digest: bool = False
    busy: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Feed:
    """Subscribers of one replica and the changes to send to them.

    Attributes
    ----------
    replica_id
        Id of the control replica.
    subscribers
        Subscribers by name.
    history
        Entries that changed the view, oldest first.
    history_after
        Log index after which `history` contains every change.
    last_change_index, pushed_index
        Log index of the view's last change, and of the last one pushed.
    tables
        Tables after the last change, from which the next difference is
        computed.
    awaiting_answer
        Names of the subscribers with an unanswered heartbeat, in order of
        arrival; used as an ordered set.
    pruned_ms
        Time in milliseconds when silent subscribers were last removed.
    """

    replica_id: str
    subscribers: dict[str, Subscriber] = dataclasses.field(
        default_factory=dict
    )
    history: collections.deque[control_state.Entry] = dataclasses.field(
        default_factory=collections.deque
    )
    history_after: int = 0
    last_change_index: int = 0
    pushed_index: int = 0
    tables: tables.Tables = tables.Tables()
    awaiting_answer: dict[str, None] = dataclasses.field(default_factory=dict)
    pruned_ms: int = 0


def on_heartbeat(
    feed: Feed, now_ms: int, heartbeat: msgs.Heartbeat, probe: int
) -> None:
    """Record a heartbeat, which `on_tick` will answer.

    Parameters
    ----------
    feed
        Modified in place.
    now_ms
        Current time in milliseconds.
    heartbeat
        Heartbeat of an entry or upstream process.
    probe
        Number of a freshness probe, from `replica_state.next_probe`.
    """
    subscriber = feed.subscribers.get(heartbeat.sender)
    if subscriber is None:
        subscriber = Subscriber(now_ms, heartbeat.index)
        feed.subscribers[heartbeat.sender] = subscriber
    subscriber.last_heartbeat_ms = now_ms
    subscriber.index = heartbeat.index
    subscriber.heartbeat_sent_ms = heartbeat.sent_ms
    subscriber.alive_since_digest = True
    subscriber.busy = heartbeat.busy
    feed.awaiting_answer[heartbeat.sender] = None
    if subscriber.probe < 0:
        subscriber.probe = probe
    if heartbeat.report is not None:
        subscriber.report = heartbeat.report
        subscriber.report_forwarded = False


def on_tick(
    feed: Feed,
    now_ms: int,
    view: views.View,
    is_fresh: Callable[[int], bool],
) -> Iterator:
    """Answer the heartbeats whose freshness probe has succeeded.

    Parameters
    ----------
    feed
        Modified in place.
    now_ms
        Current time in milliseconds.
    view
        The replica's view.
    is_fresh
        Function that returns whether the probe with a given number has
        succeeded.

    Yields
    ------
    Send
        A `Delta` for each answered subscriber, after a `FullView` if
        `history` no longer contains all the changes that it lacks.
    """
    if now_ms - feed.pruned_ms > SUBSCRIBER_TTL_MS // 4:
        _prune(feed, now_ms)
    answerable = [
        name
        for name in feed.awaiting_answer
        if is_fresh(feed.subscribers[name].probe)
    ]
    full_view = msgs.FullView(feed.replica_id, view)
    for name in answerable:
        del feed.awaiting_answer[name]
        yield from _send_updates(feed, name, full_view)


def record_applied(feed: Feed, entry: control_state.Entry, result) -> None:
    """Record an applied entry for the subscribers if it changed the view.

    Parameters
    ----------
    feed
        Modified in place.
    entry
        The applied entry.
    result
        Return value of `control_state.apply` for the entry.
    """
    if not control_state.changes_view(result, entry.command):
        return
    entry = _to_feed_entry(feed, entry)
    feed.history.append(entry)
    feed.last_change_index = entry.index
    if len(feed.history) > MAX_HISTORY_ENTRIES:
        feed.history_after = feed.history.popleft().index


def push(feed: Feed) -> Iterator[effects.Send]:
    """Send the changes since the last push, batched in one message.

    Parameters
    ----------
    feed
        Modified in place.

    Yields
    ------
    Send
        A `Delta` for each subscriber that lacks changes and can be updated
        from `history`; subscribers at the same index share one message.
    """
    if feed.pushed_index == feed.last_change_index:
        return
    feed.pushed_index = feed.last_change_index
    deltas: dict[int, msgs.Delta] = {}
    for name, subscriber in feed.subscribers.items():
        index = subscriber.index
        if not feed.history_after <= index < feed.last_change_index:
            continue
        if index not in deltas:
            entries = _entries_after(feed, index)
            deltas[index] = msgs.Delta(feed.replica_id, index, entries)
        subscriber.index = feed.last_change_index
        yield effects.Send(name, deltas[index])


def _entries_after(feed: Feed, index: int) -> tuple[control_state.Entry, ...]:
    return tuple(entry for entry in feed.history if entry.index > index)


def reset_history(feed: Feed, view: views.View) -> None:
    """Clear the history after the view was replaced by a snapshot.

    Parameters
    ----------
    feed
        Modified in place.
    view
        The new view.
    """
    feed.history.clear()
    feed.history_after = view.index
    feed.last_change_index = feed.pushed_index = view.index
    feed.tables = view.tables


def collect_digest(feed: Feed, include_all: bool) -> msgs.Digest:
    """Collect the subscribers' heartbeats into a digest for the leader.

    Parameters
    ----------
    feed
        Modified in place; the collected reports are marked as forwarded.
    include_all
        Whether to include every report; a new leader needs all of them.

    Returns
    -------
    Digest
        Upstreams with a heartbeat since the last digest, their reports
        that have not been forwarded, and the number of requests that run or
        wait, by model.
    """
    with_report = [
        (name, subscriber)
        for name, subscriber in feed.subscribers.items()
        if subscriber.report is not None and subscriber.alive_since_digest
    ]
    due_reports = [
        subscriber.report
        for _, subscriber in with_report
        if include_all or not subscriber.report_forwarded
    ]
    for _, subscriber in with_report:
        subscriber.report_forwarded = True
        subscriber.alive_since_digest = False
    alive = tuple(
        subscriber.report.upstream.upstream_id for _, subscriber in with_report
    )
    busy: collections.Counter[str] = collections.Counter()
    for subscriber in feed.subscribers.values():
        busy.update(subscriber.busy)
    return msgs.Digest(feed.replica_id, alive, tuple(due_reports), dict(busy))


def _to_feed_entry(feed: Feed, entry: control_state.Entry):
    """Replace submitted tables by their difference from the last ones."""
    command = entry.command
    if not isinstance(command, commands.SubmitTables):
        return entry
    change = tables.compare(feed.tables, command.tables)
    feed.tables = command.tables
    change_command = commands.ChangeTables(command.submitter, change)
    return control_state.Entry(entry.term, entry.index, change_command)


def _prune(feed: Feed, now_ms: int) -> None:
    feed.pruned_ms = now_ms
    for name, subscriber in list(feed.subscribers.items()):
        if now_ms - subscriber.last_heartbeat_ms > SUBSCRIBER_TTL_MS:
            del feed.subscribers[name]
            feed.awaiting_answer.pop(name, None)


def _send_updates(feed: Feed, name: str, full_view: msgs.FullView) -> Iterator:
    subscriber = feed.subscribers[name]
    subscriber.probe = -1
    if subscriber.index < feed.history_after:
        subscriber.index = full_view.view.index
        yield effects.Send(name, full_view)
    after = subscriber.index
    subscriber.index = max(after, feed.last_change_index)
    delta = msgs.Delta(
        feed.replica_id,
        after,
        _entries_after(feed, after),
        subscriber.heartbeat_sent_ms,
        subscriber.report is None,
    )
    yield effects.Send(name, delta)
