"""Measures what the size of the system costs single decisions.

For several sizes: the whole view as a message, a plan, and a call.
"""

import time

import numpy
from absl import app

from bilberryramp.decisions import (
    commands,
    control_state,
    entry_calls,
    feed_messages,
    placement,
    tables,
)
from bilberryramp.decisions.tests import builders
from bilberryramp.wire import codec

SIZES = (150, 300, 600)
CALLS = 300


def system(engines):
    state = control_state.ControlState()
    for number in range(engines):
        upstream = builders.upstream(
            f"u{number:04}",
            accelerators=4,
            memory_mib=80_000,
            failure_domain=f"d{number % 4}",
        )
        builders.apply(state, commands.JoinUpstream(upstream))
    routes = tuple(
        builders.route(f"m{n}", memory_mib=9000, replicas=2)
        for n in range(2 * engines)
    )
    wanted = tables.Tables(routes, (builders.pool(),))
    builders.apply(state, builders.submit(wanted=wanted))
    return state


def timed_ms(function):
    began = time.perf_counter()
    result = function()
    return (time.perf_counter() - began) * 1e3, result


def calls_us(view, engines):
    entry = builders.entry(view, policy="affinity")
    began = time.perf_counter()
    for number in range(CALLS):
        request = builders.caller_request(
            f"r{number}", model=f"m{number % engines}", affinity_key="x"
        )
        list(entry_calls.step(entry, 0, builders.arrived(request)))
    return (time.perf_counter() - began) / CALLS * 1e6


def measure(engines):
    state = system(engines)
    view = state.view
    fresh_ms, changes = timed_ms(lambda: list(placement.plan(view, {})))
    for change in changes:
        builders.apply(state, change)
    steady_ms, _ = timed_ms(lambda: list(placement.plan(view, {})))
    whole = feed_messages.WholeView("c1", view)
    encode_ms, data = timed_ms(lambda: codec.encode(whole))
    decode_ms, _ = timed_ms(lambda: codec.decode(data))
    return {
        "first plan ms": fresh_ms,
        "steady plan ms": steady_ms,
        "whole view KB": len(data) / 1e3,
        "encode whole view ms": encode_ms,
        "decode whole view ms": decode_ms,
        "call us": calls_us(view, engines),
    }


def main(_argv):
    rows = [measure(engines) for engines in SIZES]
    shown = " | ".join(map(str, SIZES))
    print(f"| reading | {shown} | slope for 100 engines | largest residual |")
    print("| --- " * (len(SIZES) + 3) + "|")
    for name in rows[0]:
        values = [row[name] for row in rows]
        slope, base = numpy.polyfit(SIZES, values, 1)
        fitted = numpy.polyval((slope, base), SIZES)
        error = float(max(abs(fitted - values)))
        cells = " | ".join(f"{value:.2f}" for value in values)
        print(f"| {name} | {cells} | {slope * 100:.2f} | {error:.2f} |")


if __name__ == "__main__":
    app.run(main)
