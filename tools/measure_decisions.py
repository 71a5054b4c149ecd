"""Measures what the size of the system costs single decisions.

For several sizes: the whole view as a message, plans, a call, and a
snapshot of idempotency records.
"""

import time

import numpy
from absl import app

from bilberryramp.decisions.control import (
    control_state,
    idempotency,
    placement,
)
from bilberryramp.decisions.entry import entry_calls
from bilberryramp.decisions.shared import commands, feed_messages, tables
from bilberryramp.decisions.tests import builders
from bilberryramp.wire import codec

SIZES = (150, 300, 600)
CALLS = 300
SPARES = 1_000_000
UNMET_REPLICAS = 40
RECORDS_PER_ENGINE = 100
ANSWER_BYTES = 200


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


def crowded_plan_ms(view, engines):
    """Every model wants more than the memory, full of spares, can hold."""
    for change in list(placement.plan(view, {}, max_spares=SPARES)):
        entry = control_state.Entry(1, view.index + 1, change)
        control_state.apply_to_view(view, entry)
    resident = {
        upstream_id: {place.model: place for place in placed.replicas}
        for upstream_id, placed in view.placements.items()
    }
    targets = {f"m{n}": UNMET_REPLICAS for n in range(2 * engines)}
    took_ms, _ = timed_ms(
        lambda: list(placement.plan(view, resident, targets))
    )
    return took_ms


def keys(records):
    table = idempotency.KeyTable()
    answer = commands.KeptAnswer(200, "text/plain", b"x" * ANSWER_BYTES)
    for number in range(records):
        key, request_id = f"route/{number:036}", f"req-{number:032}"
        claim = commands.ReserveKey(key, request_id, "f" * 64, 0, 0)
        idempotency.reserve(table, number, claim)
        end = commands.FinishKey(key, request_id, True, answer)
        idempotency.finish(table, end)
    return table


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
    call_us = calls_us(view, engines)
    table = keys(RECORDS_PER_ENGINE * engines)
    pack_ms, packed = timed_ms(lambda: codec.encode(table))
    unpack_ms, _ = timed_ms(lambda: codec.decode(packed))
    return {
        "first plan ms": fresh_ms,
        "steady plan ms": steady_ms,
        "plan in full memory, all wanting more ms": crowded_plan_ms(
            view, engines
        ),
        "idempotency records": RECORDS_PER_ENGINE * engines,
        "encode them ms": pack_ms,
        "decode them ms": unpack_ms,
        "whole view KB": len(data) / 1e3,
        "encode whole view ms": encode_ms,
        "decode whole view ms": decode_ms,
        "call us": call_us,
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
