"""Graceful shutdown of a process, following ``charts/shutdown.yaml``."""

import dataclasses
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
    key, phase, timer
        See `charting.Chart`.
    """

    chart: charting.Chart
    is_idle: Callable[[], bool]
    key: str = "shutdown"
    phase: str = "running"
    timer: int = 0


def request_stop(machine: Shutdown, now_ms: int) -> Iterator:
    """Start the shutdown unless it has already started.

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
    yield from charting.fire(
        machine.chart, machine, "stop_asked", now_ms, None
    )


def stop_if_idle(machine: Shutdown, now_ms: int) -> Iterator:
    """Complete the shutdown if it has started and no work is left.

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


def is_draining(machine: Shutdown) -> bool:
    """Return whether the shutdown has started."""
    return machine.phase != machine.chart.spec.initial


def _refuse_new(_machine, _now_ms: int, _payload) -> Iterator:
    yield NewWorkRefused()


def _check_idle(machine: Shutdown, now_ms: int, _payload) -> Iterator:
    yield from stop_if_idle(machine, now_ms)


def _stop(_machine, _now_ms: int, _payload) -> Iterator:
    yield Stopped()


guards: dict = {}
actions = {
    "refuse_new": _refuse_new,
    "check_idle": _check_idle,
    "stop": _stop,
}
