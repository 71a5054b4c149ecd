"""Planned stop of a process, following ``charts/shutdown.yaml``."""

import dataclasses
import math
from collections.abc import Callable, Iterator

from bilberryramp.decisions.shared import charting

__all__ = [
    "NewWorkRefused",
    "Shutdown",
    "Stopped",
    "actions",
    "request_stop",
    "guards",
    "is_draining",
    "is_stopping",
    "review",
    "stop_if_idle",
]


@dataclasses.dataclass(slots=True, frozen=True)
class NewWorkRefused:
    """Notification that the process refuses new requests from now on."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stopped:
    """Notification that no work is left and the process may exit."""


@dataclasses.dataclass(slots=True)
class Shutdown:
    """State machine of a process's shutdown.

    Attributes
    ----------
    chart
        The chart ``shutdown``, bound to this module's functions.
    is_idle
        Function that returns whether no work is left.
    notice_ms
        Time from the request to stop for which new connections are accepted,
        in milliseconds.
    grace_ms
        Time from the request to stop after which the process ends with work
        left, in milliseconds. Infinite if each piece of work has a deadline.
    asked_ms
        Time of the request to stop in milliseconds; infinite before it.
    key, phase, timer
        See `charting.Chart`.
    """

    chart: charting.Chart
    is_idle: Callable[[], bool]
    notice_ms: int = 0
    grace_ms: float = math.inf
    asked_ms: float = math.inf
    key: str = "shutdown"
    phase: str = "running"
    timer: int = 0


def request_stop(machine: Shutdown, now_ms: int) -> Iterator:
    """Start the shutdown unless it has already started.

    Without a time of notice, new work is refused at once.

    Parameters
    ----------
    machine
        The process's shutdown. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    NewWorkRefused, Stopped
        `Stopped` only if no work is left.
    """
    if machine.asked_ms == math.inf:
        machine.asked_ms = now_ms
    yield from charting.fire(
        machine.chart, machine, "stop_asked", now_ms, None
    )


def review(machine: Shutdown, now_ms: int) -> Iterator:
    """Let the shutdown act on elapsed time and on work that has ended.

    Parameters
    ----------
    machine
        The process's shutdown. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    NewWorkRefused, Stopped
        As the phases change.
    """
    elapsed_ms = now_ms - machine.asked_ms
    if elapsed_ms >= machine.grace_ms:
        yield from charting.fire(
            machine.chart, machine, "grace_over", now_ms, None
        )
    elif elapsed_ms >= machine.notice_ms:
        yield from charting.fire(
            machine.chart, machine, "notice_over", now_ms, None
        )
    yield from stop_if_idle(machine, now_ms)


def stop_if_idle(machine: Shutdown, now_ms: int) -> Iterator:
    """Complete the shutdown if the process is draining and no work is left.

    The function must be called whenever work has ended.

    Parameters
    ----------
    machine
        The process's shutdown. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Stopped
        If the process is draining and no work is left.
    """
    if machine.is_idle():
        yield from charting.fire(machine.chart, machine, "idle", now_ms, None)


def is_stopping(machine: Shutdown) -> bool:
    """Return whether the shutdown has started."""
    return machine.phase != machine.chart.spec.initial


def is_draining(machine: Shutdown) -> bool:
    """Return whether new work is refused."""
    return is_stopping(machine) and machine.phase != "announced"


def _check_notice(machine: Shutdown, now_ms: int, _payload) -> Iterator:
    if machine.notice_ms <= 0:
        yield from charting.fire(
            machine.chart, machine, "notice_over", now_ms, None
        )


def _refuse_new(_machine, _now_ms: int, _payload) -> Iterator:
    yield NewWorkRefused()


def _check_idle(machine: Shutdown, now_ms: int, _payload) -> Iterator:
    yield from stop_if_idle(machine, now_ms)


def _stop(_machine, _now_ms: int, _payload) -> Iterator:
    yield Stopped()


guards: dict = {}
actions = {
    "check_notice": _check_notice,
    "refuse_new": _refuse_new,
    "check_idle": _check_idle,
    "stop": _stop,
}
