"""Compares the chart interpreter with the library python-statemachine.

Prints time for each event, time to make a machine, and memory for each.
"""

import dataclasses
import time
import tracemalloc

import statemachine

from bilberryramp.charts import loader
from bilberryramp.decisions.shared import charting

EVENTS = 20_000
MACHINES = 5_000
TEXT = """
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
    key: str = "lamp"
    phase: str = "dark"
    timer: int = 0
    presses: int = 0


def note(lamp, _now_ms, _payload):
    lamp.presses += 1
    yield from ()


class LibraryLamp(statemachine.StateMachine):
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


def per_call_us(function, count):
    began = time.perf_counter()
    for _ in range(count):
        function()
    return (time.perf_counter() - began) / count * 1e6


def bytes_each(make, count):
    tracemalloc.start()
    kept = [make() for _ in range(count)]
    size = tracemalloc.get_traced_memory()[0] / len(kept)
    tracemalloc.stop()
    return size


def report(name, press, make):
    event_us = per_call_us(press, EVENTS)
    made_us = per_call_us(make, MACHINES)
    size = bytes_each(make, MACHINES)
    print(
        f"{name}: {event_us:.2f} us an event, {made_us:.2f} us and "
        f"{size:.0f} bytes a machine"
    )


def main():
    guards = {"powered": lambda _lamp, _payload: True}
    chart = charting.bind(loader.parse(TEXT), guards, {"note": note})
    lamp = Lamp()

    def press():
        for _ in charting.fire(chart, lamp, "press", 0, None):
            pass

    report("compiled table", press, Lamp)
    other = LibraryLamp()
    report("python-statemachine", other.press, LibraryLamp)


if __name__ == "__main__":
    main()
