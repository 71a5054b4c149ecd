"""Compare the chart interpreter with the library python-statemachine.

For both, print the time of an event, the time to create a machine and the
memory of a machine.
"""

import dataclasses
import time
import tracemalloc

import statemachine

from bilberryramp.charts import loader
from bilberryramp.decisions.shared import charting

EVENT_COUNT = 20_000
MACHINE_COUNT = 5_000
LAMP_CHART = """
name: lamp
initial: dark
events: [press]
states:
  dark:
    on: {press: {target: bright, guard: powered, actions: [note]}}
  bright:
    on: {press: {target: dark, guard: powered, actions: [note]}}
"""


@dataclasses.dataclass(slots=True)
class Lamp:
    """A machine with two states that is driven by the chart interpreter."""

    key: str = "lamp"
    phase: str = "dark"
    timer: int = 0
    presses: int = 0


def count_press(lamp, _now_ms, _payload):
    lamp.presses += 1
    yield from ()


class LibraryLamp(statemachine.StateMachine):
    """The same machine, driven by python-statemachine."""

    dark = statemachine.State(initial=True)
    bright = statemachine.State()
    press = dark.to(bright, cond="powered", on="note") | bright.to(
        dark, cond="powered", on="note"
    )

    def __init__(self):
        self.presses = 0
        super().__init__()

    def powered(self):
        return True

    def note(self):
        self.presses += 1


def measure_call_us(func, count):
    """Return the mean duration of a call in microseconds."""
    started_s = time.perf_counter()
    for _ in range(count):
        func()
    return (time.perf_counter() - started_s) / count * 1e6


def measure_instance_bytes(create, count):
    """Return the mean size of a new object in bytes."""
    tracemalloc.start()
    instances = [create() for _ in range(count)]
    size_bytes = tracemalloc.get_traced_memory()[0] / len(instances)
    tracemalloc.stop()
    return size_bytes


def report(name, fire_event, create):
    """Measure an implementation of the machine and print the figures."""
    event_us = measure_call_us(fire_event, EVENT_COUNT)
    create_us = measure_call_us(create, MACHINE_COUNT)
    size_bytes = measure_instance_bytes(create, MACHINE_COUNT)
    print(
        f"{name}: {event_us:.2f} us an event, {create_us:.2f} us and "
        f"{size_bytes:.0f} bytes a machine"
    )


def main():
    guards = {"powered": lambda _lamp, _payload: True}
    chart = charting.bind(
        loader.parse(LAMP_CHART), guards, {"note": count_press}
    )
    lamp = Lamp()

    def fire_press():
        for _ in charting.fire(chart, lamp, "press", 0, None):
            pass

    report("chart interpreter", fire_press, Lamp)
    library_lamp = LibraryLamp()
    report("python-statemachine", library_lamp.press, LibraryLamp)


if __name__ == "__main__":
    main()
