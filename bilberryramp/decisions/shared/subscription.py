"""Subscription of an entry or upstream process to control's view.

The freshness lease starts when the answered heartbeat was sent, not when its
answer was received, so that a delayed answer does not extend the lease.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.control import control_state
from bilberryramp.decisions.shared import charting, effects, views
from bilberryramp.decisions.shared import feed_messages as msgs

__all__ = [
    "ANSWER_TIMEOUT_MS",
    "HEARTBEAT_MS",
    "FreshnessChanged",
    "Subscription",
    "ViewChanged",
    "actions",
    "guards",
    "new_subscription",
    "on_delta",
    "on_heartbeat_due",
    "on_timer",
    "on_full_view",
    "record_peer_index",
]

HEARTBEAT_MS = 1000
ANSWER_TIMEOUT_MS = 1500


@dataclasses.dataclass(slots=True, frozen=True)
class ViewChanged:
    """Notification that the view has changed.

    The receiver has a reference to the same view.

    Attributes
    ----------
    index
        Log index of the view.
    """

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class FreshnessChanged:
    """Notification that the freshness lease was obtained or has expired.

    Attributes
    ----------
    fresh
        Whether the lease is now valid.
    """

    fresh: bool


@dataclasses.dataclass(slots=True)
class Subscription:
    """State of a subscriber of control's view.

    Attributes
    ----------
    name
        Name of the process.
    controls
        Ids of the control replicas.
    chart
        The chart ``config``, bound to this module's functions.
    suspect_chart
        Bound ``suspect`` chart, for entries of the log.
    view
        The process's copy of the view, updated in place.
    key, phase, timer
        See `charting.Chart`.
    control_position
        Position in `controls` of the replica to which the heartbeats are
        sent.
    index
        Log index of the view; -1 if none was received yet.
    answered_sent_ms
        When the latest heartbeat that was answered had been sent, in
        milliseconds.
    switched_ms
        When the process last switched to another replica, in milliseconds.
    report
        The upstream's state, set by the owner; None in an entry.
    report_due
        Whether the next heartbeat includes the report.
    catch_up_due
        Whether a peer has a newer view and a heartbeat was requested
        because of that.
    busy
        Number of requests by model, see `feed_messages.Heartbeat`; set by
        the owner before each heartbeat.
    """

    name: str
    controls: tuple[str, ...]
    chart: charting.Chart
    suspect_chart: charting.Chart
    view: views.View = dataclasses.field(default_factory=views.View)
    key: str = "config"
    phase: str = "unsynced"
    timer: int = 0
    control_position: int = 0
    index: int = -1
    answered_sent_ms: int = 0
    switched_ms: int = 0
    report: msgs.UpstreamReport | None = None
    report_due: bool = True
    catch_up_due: bool = False
    busy: dict[str, int] = dataclasses.field(default_factory=dict)


def new_subscription(
    name: str,
    controls: tuple[str, ...],
    chart: charting.Chart,
    suspect_chart: charting.Chart,
    now_ms: int,
) -> Subscription:
    """Create a subscription without a view.

    The control replica that is used first depends on the process's name, so
    that the subscribers are spread over the control replicas.

    Parameters
    ----------
    name
        Name of the process.
    controls
        Ids of the control replicas.
    chart
        The chart ``config``, bound to this module's functions.
    suspect_chart
        Bound ``suspect`` chart, for entries of the log.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Subscription
        The subscription, in the initial state of the chart.
    """
    sub = Subscription(name, controls, chart, suspect_chart)
    sub.phase = chart.spec.initial
    sub.control_position = sum(name.encode()) % len(controls)
    sub.answered_sent_ms = sub.switched_ms = now_ms
    return sub


def on_heartbeat_due(sub: Subscription, now_ms: int) -> Iterator:
    """Send a heartbeat to a control replica.

    If the current replica has not answered for `ANSWER_TIMEOUT_MS`, the
    subscription switches to the next one.

    Parameters
    ----------
    sub
        The subscription. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Send
        The `Heartbeat`.
    """
    last_ms = max(sub.answered_sent_ms, sub.switched_ms)
    if now_ms - last_ms > ANSWER_TIMEOUT_MS:
        sub.control_position = (sub.control_position + 1) % len(sub.controls)
        sub.switched_ms = now_ms
        sub.report_due = True
    report = sub.report if sub.report_due else None
    sub.catch_up_due = False
    heartbeat = msgs.Heartbeat(sub.name, now_ms, sub.index, report, sub.busy)
    yield effects.Send(sub.controls[sub.control_position], heartbeat)


def on_delta(sub: Subscription, now_ms: int, delta: msgs.Delta) -> Iterator:
    """Apply entries to the view unless earlier ones are missing.

    Parameters
    ----------
    sub
        The subscription. Modified in place.
    now_ms
        Current time in milliseconds.
    delta
        The received entries; those already applied are skipped.

    Yields
    ------
    ViewChanged, FreshnessChanged, SetTimer
        `ViewChanged` if an entry was applied, the others if the message
        answers a heartbeat.
    """
    if delta.after_index > sub.index:
        return
    applied = [
        entry
        for entry in delta.entries
        if control_state.apply_to_view(sub.view, entry, sub.suspect_chart)
    ]
    sub.index = max(sub.index, sub.view.index)
    if applied:
        yield ViewChanged(sub.view.index)
    if delta.heartbeat_sent_ms >= 0:
        yield from _confirm(sub, now_ms, delta)


def on_full_view(sub: Subscription, message: msgs.FullView) -> Iterator:
    """Replace the view with a received one unless the received one is older.

    Parameters
    ----------
    sub
        The subscription. The contents of its `view` are replaced, the
        object remains the same.
    message
        The received view.

    Yields
    ------
    ViewChanged
        If the view was replaced.
    """
    if message.view.index < sub.index:
        return
    for field in dataclasses.fields(views.View):
        setattr(sub.view, field.name, getattr(message.view, field.name))
    sub.index = sub.view.index
    yield ViewChanged(sub.view.index)


def on_timer(sub: Subscription, now_ms: int, token: int) -> Iterator:
    """Process an expired timer of the subscription.

    Parameters
    ----------
    sub
        The subscription. Modified in place.
    now_ms
        Current time in milliseconds.
    token
        Token of the `SetTimer` that expired.

    Yields
    ------
    FreshnessChanged
        If the freshness lease has expired.
    """
    yield from charting.fire_timer(sub.chart, sub, token, now_ms)


def record_peer_index(sub: Subscription, index: int) -> bool:
    """Record the log index of a peer's view.

    Parameters
    ----------
    sub
        The subscription. Modified in place.
    index
        Log index of the peer's view.

    Returns
    -------
    bool
        Whether to send a heartbeat at once, because the peer's view is
        newer. True only once until the next heartbeat is sent.
    """
    if index <= sub.index or sub.catch_up_due:
        return False
    sub.catch_up_due = True
    return True


def _confirm(sub: Subscription, now_ms: int, message) -> Iterator:
    """Renew the freshness lease from the sending time of the heartbeat."""
    sub.answered_sent_ms = max(sub.answered_sent_ms, message.heartbeat_sent_ms)
    sub.report_due = message.want_report
    yield from charting.fire(
        sub.chart, sub, "confirmed", message.heartbeat_sent_ms, None
    )


def _announce_fresh(_sub, _now_ms: int, _payload) -> Iterator:
    yield FreshnessChanged(True)


def _announce_stale(_sub, _now_ms: int, _payload) -> Iterator:
    yield FreshnessChanged(False)


guards: dict = {}
actions = {
    "announce_fresh": _announce_fresh,
    "announce_stale": _announce_stale,
}
