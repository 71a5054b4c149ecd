"""The planned stop of a process, following ``charts/shutdown.yaml``."""

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
    """From now on the process takes no new work."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stopped:
    """The last request has ended; the process may exit."""


@dataclasses.dataclass(slots=True)
class Shutdown:
    """Machine of a process's stop.

    Attributes
    ----------
    is_idle
        Tells whether no work is left.
    """

    chart: charting.Chart
    is_idle: Callable[[], bool]
    key: str = "shutdown"
    phase: str = "running"
    timer: int = 0


def request_stop(machine: Shutdown, now_ms: int) -> Iterator:
    """Begin the stop; asking again changes nothing.

    Parameters
    ----------
    machine
        Changed in place.
    now_ms
        The process's clock in milliseconds.

    Yields
    ------
    NewWorkRefused, Stopped
        The latter at once when the process is idle.
    """
    yield from charting.fire(
        machine.chart, machine, "stop_asked", now_ms, None
    )


def stop_if_idle(machine: Shutdown, now_ms: int) -> Iterator:
    """Tell the machine that work ended.

    Parameters
    ----------
    machine
        Changed in place.
    now_ms
        The process's clock in milliseconds.

    Yields
    ------
    Stopped
        When the process is draining and no work is left.
    """
    if machine.is_idle():
        yield from charting.fire(machine.chart, machine, "idle", now_ms, None)


def is_draining(machine: Shutdown) -> bool:
    """Tell whether the stop was asked for."""
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
