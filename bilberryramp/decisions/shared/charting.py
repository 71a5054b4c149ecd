"""State charts: specification types, validation and the interpreter.

`bilberryramp.charts` reads a `ChartSpec` from YAML. `bind` validates it and
resolves its guard and action names to functions; `fire` processes one event
of a machine that follows the bound chart.
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
    """Base class of the errors for an invalid chart."""


class UnknownStateError(ChartError):
    """A transition's target is not a state of the chart."""


class MissingInitialStateError(ChartError):
    """The chart's initial state is not among its states."""


class UnreachableStateError(ChartError):
    """A state cannot be reached from the initial state."""


class UnboundNameError(ChartError):
    """No function is given for the name of a guard or an action."""


class UnhandledTimeoutError(ChartError):
    """A state has no transition for the event of its own timeout."""


class UnknownEventError(ChartError):
    """A state handles or ignores an event that the chart does not declare."""


class UnhandledEventError(ChartError):
    """A non-final state neither handles nor ignores a declared event."""


@dataclasses.dataclass(slots=True, frozen=True)
class TransitionSpec:
    """A transition out of a state, as read from the chart's file.

    Attributes
    ----------
    target
        Name of the next state.
    guard
        Name of the guard that must hold; empty if unconditional.
    actions
        Names of the actions to run, in order.
    """

    target: str
    guard: str = ""
    actions: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class TimeoutSpec:
    """An event that fires `after_ms` milliseconds after a state is entered."""

    event: str
    after_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class StateSpec:
    """A state of a chart, as read from the chart's file.

    Attributes
    ----------
    on
        Transitions by event. The first one whose guard holds is taken.
    ignore
        Events that have no effect in this state.
    timeout
        Event to fire if no transition is taken in time; None if the state
        has no timeout.
    final
        Whether the state may leave declared events unhandled.
    """

    on: dict[str, tuple[TransitionSpec, ...]] = dataclasses.field(
        default_factory=dict
    )
    ignore: tuple[str, ...] = ()
    timeout: TimeoutSpec | None = None
    final: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ChartSpec:
    """A chart as read from its file.

    Attributes
    ----------
    name
        The chart's name, used in error messages.
    initial
        Name of the initial state.
    events
        All events that the chart declares.
    states
        The states by name.
    """

    name: str
    initial: str
    events: tuple[str, ...]
    states: dict[str, StateSpec]


@dataclasses.dataclass(slots=True, frozen=True)
class _BoundTransition:
    """A transition whose guard and actions are resolved to functions.

    Attributes
    ----------
    target
        Name of the next state.
    guard
        Function that returns whether to take the transition; None if it is
        unconditional.
    actions
        Functions to run, in order.
    timeout
        Timeout of the target state; None if it has none.
    """

    target: str
    guard: Callable | None
    actions: tuple[Callable, ...]
    timeout: TimeoutSpec | None


@dataclasses.dataclass(slots=True, frozen=True)
class Chart:
    """A validated chart with its guards and actions resolved.

    A machine that follows the chart is any object with these attributes:
    `key` identifies the machine in timers, `phase` is the name of its
    current state, and `timer` counts the transitions taken, so that a timer
    set before the latest one is recognized as outdated. The interpreter
    modifies only `phase` and `timer`.

    Attributes
    ----------
    spec
        The chart's specification.
    table
        Transitions by state and event, in the order in which their guards
        are evaluated.
    """

    spec: ChartSpec
    table: dict[tuple[str, str], tuple[_BoundTransition, ...]]


def bind(
    spec: ChartSpec,
    guards: Mapping[str, Callable],
    actions: Mapping[str, Callable],
) -> Chart:
    """Validate a chart and resolve its guard and action names.

    Parameters
    ----------
    spec
        Specification of the chart.
    guards
        Functions ``(machine, payload) -> bool`` by name.
    actions
        Generator functions ``(machine, now_ms, payload)`` by name; they
        yield effects.

    Returns
    -------
    Chart
        The bound chart, for `start` and `fire`.

    Raises
    ------
    ChartError
        If the chart is invalid. The subclass says what is wrong; the
        message names the chart and the faulty state, event or function.
    """
    _check_names(spec)
    _check_reachable(spec)
    table = {
        (name, event): tuple(
            _bind_transition(spec, transition, guards, actions)
            for transition in transitions
        )
        for name, state in spec.states.items()
        for event, transitions in state.on.items()
    }
    return Chart(spec, table)


def start(chart: Chart, machine, now_ms: int) -> Iterator:
    """Put a machine into the initial state of its chart.

    Parameters
    ----------
    chart
        The bound chart.
    machine
        The machine to start. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    SetTimer
        If the initial state has a timeout.
    """
    machine.phase = chart.spec.initial
    machine.timer += 1
    timeout = chart.spec.states[machine.phase].timeout
    if timeout is not None:
        due_ms = now_ms + timeout.after_ms
        yield effects.SetTimer(machine.key, machine.timer, due_ms)


def fire(chart: Chart, machine, event: str, now_ms: int, payload) -> Iterator:
    """Process one event of a machine.

    The first transition whose guard holds is taken: the machine enters the
    target state and the actions run. If none applies, nothing happens.

    Parameters
    ----------
    chart
        The bound chart.
    machine
        The machine, see `Chart`. Modified in place.
    event
        One of the events that the chart declares.
    now_ms
        Current time in milliseconds.
    payload
        Value passed to guards and actions.

    Yields
    ------
    object
        The effects of the actions, followed by a `SetTimer` if the new state
        has a timeout and no action fired another event.
    """
    for transition in chart.table.get((machine.phase, event), ()):
        if transition.guard is not None and not transition.guard(
            machine, payload
        ):
            continue
        machine.phase = transition.target
        machine.timer += 1
        token = machine.timer
        for action in transition.actions:
            yield from action(machine, now_ms, payload)
        if transition.timeout is not None and machine.timer == token:
            due_ms = now_ms + transition.timeout.after_ms
            yield effects.SetTimer(machine.key, token, due_ms)
        return


def fire_timer(chart: Chart, machine, token: int, now_ms: int) -> Iterator:
    """Fire the timeout event of a machine's current state.

    A timer that was set before the latest transition is ignored.

    Parameters
    ----------
    chart
        The bound chart.
    machine
        The machine, see `Chart`. Modified in place.
    token
        Token of the `SetTimer` that expired.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    object
        The effects of `fire`.
    """
    timeout = chart.spec.states[machine.phase].timeout
    if token != machine.timer or timeout is None:
        return
    yield from fire(chart, machine, timeout.event, now_ms, None)


def _bind_transition(spec, transition, guards, actions) -> _BoundTransition:
    guard = (
        _lookup(spec, guards, transition.guard) if transition.guard else None
    )
    bound_actions = tuple(
        _lookup(spec, actions, name) for name in transition.actions
    )
    return _BoundTransition(
        transition.target,
        guard,
        bound_actions,
        spec.states[transition.target].timeout,
    )


def _lookup(spec, functions, name) -> Callable:
    if name not in functions:
        raise UnboundNameError(
            f"chart {spec.name}: no guard or action function named {name!r}"
        )
    return functions[name]


def _check_names(spec: ChartSpec) -> None:
    if spec.initial not in spec.states:
        raise MissingInitialStateError(
            f"chart {spec.name}: initial state {spec.initial!r} does not exist"
        )
    for name, state in spec.states.items():
        _check_state(spec, name, state)


def _check_state(spec: ChartSpec, name: str, state: StateSpec) -> None:
    location = f"chart {spec.name}, state {name}"
    for event in (*state.on, *state.ignore):
        if event not in spec.events:
            raise UnknownEventError(
                f"{location}: event {event!r} is not declared"
            )
    if state.timeout is not None and state.timeout.event not in state.on:
        raise UnhandledTimeoutError(
            f"{location}: no transition for timeout event "
            f"{state.timeout.event!r}"
        )
    for event in spec.events:
        handled = event in state.on or event in state.ignore
        if not handled and not state.final:
            raise UnhandledEventError(
                f"{location}: event {event!r} is neither handled nor ignored"
            )
    for transitions in state.on.values():
        for transition in transitions:
            if transition.target not in spec.states:
                raise UnknownStateError(
                    f"{location}: target state {transition.target!r} does "
                    "not exist"
                )


def _check_reachable(spec: ChartSpec) -> None:
    reached = {spec.initial}
    frontier = collections.deque(reached)
    while frontier:
        state = spec.states[frontier.popleft()]
        targets = {
            transition.target
            for transitions in state.on.values()
            for transition in transitions
        }
        frontier.extend(targets - reached)
        reached |= targets
    unreachable = sorted(set(spec.states) - reached)
    if unreachable:
        raise UnreachableStateError(
            f"chart {spec.name}: state {unreachable[0]!r} is unreachable"
        )
