"""State charts: their types, their checks and their interpreter.

A chart arrives as a `ChartSpec` (read from YAML by `bilberryramp.charts`).
`bind` joins its guard and action names to functions and refuses a chart
that cannot work; `fire` runs one event through a bound chart.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterator, Mapping

from bilberryramp.decisions.shared import effects, errors

__all__ = [
    "Chart",
    "ChartError",
    "ChartSpec",
    "MissingInitialStateError",
    "StateSpec",
    "TimeoutSpec",
    "TransitionSpec",
    "UnboundNameError",
    "UnhandledEventError",
    "UnhandledTimeoutError",
    "UnknownEventError",
    "UnknownStateError",
    "UnreachableStateError",
    "bind",
    "fire",
    "fire_timer",
    "start",
]


class ChartError(errors.BilberryError):
    """A chart that cannot be interpreted."""


class UnknownStateError(ChartError):
    """A transition names a state the chart does not have."""


class MissingInitialStateError(ChartError):
    """The initial state is not among the states."""


class UnreachableStateError(ChartError):
    """No sequence of events leads to a state."""


class UnboundNameError(ChartError):
    """A guard or action name has no function."""


class UnhandledTimeoutError(ChartError):
    """A state has a timeout whose event it does not handle."""


class UnknownEventError(ChartError):
    """A state handles an event the chart does not declare."""


class UnhandledEventError(ChartError):
    """A state neither handles nor ignores a declared event."""


@dataclasses.dataclass(slots=True, frozen=True)
class TransitionSpec:
    """One way out of a state for one event."""

    target: str
    guard: str = ""
    actions: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class TimeoutSpec:
    """An event raised when a state lasts `after_ms` milliseconds."""

    event: str
    after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class StateSpec:
    """One state: its transitions by event and what it ignores."""

    on: dict[str, tuple[TransitionSpec, ...]] = dataclasses.field(
        default_factory=dict
    )
    ignore: tuple[str, ...] = ()
    timeout: TimeoutSpec | None = None
    final: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ChartSpec:
    """A whole chart as its file gives it."""

    name: str
    initial: str
    events: tuple[str, ...]
    states: dict[str, StateSpec]


@dataclasses.dataclass(slots=True, frozen=True)
class _Step:
    """One bound transition."""

    target: str
    guard: Callable | None
    actions: tuple[Callable, ...]
    timeout: TimeoutSpec | None


@dataclasses.dataclass(slots=True, frozen=True)
class Chart:
    """A chart bound to functions: a table from (state, event) to steps.

    A machine of the chart is any object with the slots `key`, `phase` and
    `timer`; the interpreter reads and writes only the last two.
    """

    spec: ChartSpec
    table: dict[tuple[str, str], tuple[_Step, ...]]


def bind(
    spec: ChartSpec,
    guards: Mapping[str, Callable],
    actions: Mapping[str, Callable],
) -> Chart:
    """Check a chart and join its names to functions.

    Parameters
    ----------
    spec
        The chart to bind.
    guards
        Functions ``(machine, payload) -> bool`` by name.
    actions
        Generator functions ``(machine, now_ms, payload) -> effects`` by
        name.

    Returns
    -------
    Chart
        Ready for `fire`.

    Raises
    ------
    ChartError
        One of its subclasses, naming the chart, the state and the name.
    """
    _check_names(spec)
    _check_reachable(spec)
    table = {
        (name, event): tuple(
            _bind_step(spec, step, guards, actions) for step in steps
        )
        for name, state in spec.states.items()
        for event, steps in state.on.items()
    }
    return Chart(spec, table)


def start(chart: Chart, machine, now_ms: int) -> Iterator:
    """Put a machine into the initial state.

    Parameters
    ----------
    chart, machine, now_ms
        As for `fire`.

    Yields
    ------
    SetTimer
        When the initial state has a timeout.
    """
    machine.phase = chart.spec.initial
    machine.timer += 1
    timeout = chart.spec.states[machine.phase].timeout
    if timeout is not None:
        due_ms = now_ms + timeout.after_ms
        yield effects.SetTimer(machine.key, machine.timer, due_ms)


def fire(chart: Chart, machine, event: str, now_ms: int, payload) -> Iterator:
    """Run one event through a machine.

    Parameters
    ----------
    chart
        The bound chart.
    machine
        The object whose `phase` is the current state.
    event
        One of the chart's declared events; ignored events do nothing.
    now_ms
        The present, in milliseconds.
    payload
        Handed to guards and actions.

    Yields
    ------
    effect
        Whatever the actions yield, then a timer when the state has one.
    """
    for step in chart.table.get((machine.phase, event), ()):
        if step.guard is not None and not step.guard(machine, payload):
            continue
        machine.phase = step.target
        machine.timer += 1
        token = machine.timer
        for action in step.actions:
            yield from action(machine, now_ms, payload)
        if step.timeout is not None and machine.timer == token:
            due_ms = now_ms + step.timeout.after_ms
            yield effects.SetTimer(machine.key, token, due_ms)
        return


def fire_timer(chart: Chart, machine, token: int, now_ms: int) -> Iterator:
    """Raise the timeout event of the current state, unless it has passed.

    Parameters
    ----------
    chart, machine, now_ms
        As for `fire`.
    token
        The token of the `SetTimer` that came due; an old one is ignored.

    Yields
    ------
    effect
        As for `fire`.
    """
    timeout = chart.spec.states[machine.phase].timeout
    if token != machine.timer or timeout is None:
        return
    yield from fire(chart, machine, timeout.event, now_ms, None)


def _bind_step(spec, step, guards, actions) -> _Step:
    guard = _lookup(spec, guards, step.guard) if step.guard else None
    bound = tuple(_lookup(spec, actions, name) for name in step.actions)
    return _Step(step.target, guard, bound, spec.states[step.target].timeout)


def _lookup(spec, functions, name) -> Callable:
    if name not in functions:
        raise UnboundNameError(f"chart {spec.name}: no function named {name}")
    return functions[name]


def _check_names(spec: ChartSpec) -> None:
    if spec.initial not in spec.states:
        raise MissingInitialStateError(f"chart {spec.name}: {spec.initial}")
    for name, state in spec.states.items():
        _check_state(spec, name, state)


def _check_state(spec: ChartSpec, name: str, state: StateSpec) -> None:
    where = f"chart {spec.name}, state {name}"
    for event in (*state.on, *state.ignore):
        if event not in spec.events:
            raise UnknownEventError(f"{where}: {event}")
    if state.timeout is not None and state.timeout.event not in state.on:
        raise UnhandledTimeoutError(f"{where}: {state.timeout.event}")
    for event in spec.events:
        handled = event in state.on or event in state.ignore
        if not handled and not state.final:
            raise UnhandledEventError(f"{where}: {event}")
    for steps in state.on.values():
        for step in steps:
            if step.target not in spec.states:
                raise UnknownStateError(f"{where}: {step.target}")


def _check_reachable(spec: ChartSpec) -> None:
    reached = {spec.initial}
    waiting = collections.deque(reached)
    while waiting:
        state = spec.states[waiting.popleft()]
        targets = {s.target for steps in state.on.values() for s in steps}
        waiting.extend(targets - reached)
        reached |= targets
    missing = sorted(set(spec.states) - reached)
    if missing:
        raise UnreachableStateError(f"chart {spec.name}: {missing[0]}")
