"""How an entry or upstream process follows control's view.

The freshness lease runs from the sending of the beat that was answered,
so a late answer never makes a view look fresher than it is.
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
    "record_peer_index",
    "on_heartbeat_due",
    "on_delta",
    "on_timer",
    "on_whole_view",
]

HEARTBEAT_MS = 1000
ANSWER_TIMEOUT_MS = 1500


@dataclasses.dataclass(slots=True, frozen=True)
class ViewChanged:
    """The view took in entries; the receiver shares the view object."""

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class FreshnessChanged:
    """The freshness lease was gained or ran out."""

    fresh: bool


@dataclasses.dataclass(slots=True)
class Subscription:
    """State of a follower; `key`, `phase`, `timer` are its machine's.

    Attributes
    ----------
    name
        The process's name.
    controls
        Names of the control replicas.
    at
        Position of the one in use.
    view
        The view followed.
    busy
        Requests here by model, set by the owner before each beat.
    answered_ms
        When the last answered beat was sent, on the own clock.
    """

    name: str
    controls: tuple[str, ...]
    chart: charting.Chart
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
    name: str, controls: tuple[str, ...], chart: charting.Chart, now_ms: int
) -> Subscription:
    """Start a follower, at a replica that depends on its name.

    Parameters
    ----------
    name, controls, chart
        As in `Subscription`.
    now_ms
        The process's clock in milliseconds.

    Returns
    -------
    Subscription
        Without a view yet.
    """
    sub = Subscription(name, controls, chart)
    sub.phase = chart.spec.initial
    sub.control_position = sum(name.encode()) % len(controls)
    sub.answered_sent_ms = sub.switched_ms = now_ms
    return sub


def on_heartbeat_due(sub: Subscription, now_ms: int) -> Iterator:
    """Send a heartbeat, to the next replica if this one is silent.

    Parameters
    ----------
    sub
        Changed in place.
    now_ms
        The process's clock in milliseconds.

    Yields
    ------
    Send
        One `Heartbeat`.
    """
    last_ms = max(sub.answered_sent_ms, sub.switched_ms)
    if now_ms - last_ms > ANSWER_TIMEOUT_MS:
        sub.control_position = (sub.control_position + 1) % len(sub.controls)
        sub.switched_ms = now_ms
        sub.report_due = True
    report = sub.report if sub.report_due else None
    sub.catch_up_due = False
    beat = msgs.Heartbeat(sub.name, now_ms, sub.index, report, sub.busy)
    yield effects.Send(sub.controls[sub.control_position], beat)


def on_delta(sub: Subscription, now_ms: int, delta: msgs.Delta) -> Iterator:
    """Take in entries, unless some before them are missing.

    Parameters
    ----------
    sub
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    delta
        Entries, possibly old ones.

    Yields
    ------
    ViewChanged, FreshnessChanged, SetTimer
        What follows from them.
    """
    if delta.after_index > sub.index:
        return
    applied = [
        entry
        for entry in delta.entries
        if control_state.apply_to_view(sub.view, entry)
    ]
    sub.index = max(sub.index, sub.view.index)
    if applied:
        yield ViewChanged(sub.view.index)
    if delta.heartbeat_sent_ms >= 0:
        yield from _confirm(sub, now_ms, delta)


def on_whole_view(sub: Subscription, message: msgs.WholeView) -> Iterator:
    """Take over a whole view, unless the own one is newer.

    Parameters
    ----------
    sub
        Changed in place; its `view` object stays the same one.
    message
        The view.

    Yields
    ------
    ViewChanged
        When it was taken over.
    """
    if message.view.index < sub.index:
        return
    for field in dataclasses.fields(views.View):
        setattr(sub.view, field.name, getattr(message.view, field.name))
    sub.index = sub.view.index
    yield ViewChanged(sub.view.index)


def on_timer(sub: Subscription, now_ms: int, token: int) -> Iterator:
    """Handle a timer of the chart.

    Parameters
    ----------
    sub
        Changed in place.
    now_ms
        The process's clock in milliseconds.
    token
        From the `SetTimer`.

    Yields
    ------
    FreshnessChanged
        When the lease ran out.
    """
    yield from charting.fire_timer(sub.chart, sub, token, now_ms)


def record_peer_index(sub: Subscription, index: int) -> bool:
    """Compare with the view index that a peer showed in an exchange.

    Parameters
    ----------
    sub
        Changed in place.
    index
        The peer's index.

    Returns
    -------
    bool
        True when a beat should be sent at once to catch up.
    """
    if index <= sub.index or sub.catch_up_due:
        return False
    sub.catch_up_due = True
    return True


def _confirm(sub: Subscription, now_ms: int, message) -> Iterator:
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
