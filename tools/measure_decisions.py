"""Measure the cost of single decisions by the number of engines.

For several numbers of engines, time placement plans, the start of a call, and
the encoding and decoding of the full view and of the idempotency records.
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
CALLS_PER_READING = 300
MAX_SPARES = 1_000_000
UNMET_REPLICAS = 40  # replicas of each model, more than fit
KEY_RECORDS_PER_ENGINE = 100
ANSWER_BYTES = 200


def make_control_state(engines):
    """Return a control state with engines and two models for each."""
    state = control_state.ControlState()
    for i in range(engines):
        upstream = builders.upstream(
            f"u{i:04}",
            accelerators=4,
            memory_mib=80_000,
            failure_domain=f"d{i % 4}",
        )
        builders.apply(state, commands.JoinUpstream(upstream))
    routes = tuple(
        builders.route(f"m{n}", memory_mib=9000, replicas=2)
        for n in range(2 * engines)
    )
    new_tables = tables.Tables(routes, (builders.pool(),))
    builders.apply(state, builders.submit(new_tables=new_tables))
    return state


def run_timed_ms(func):
    """Call a function and return its duration and its result."""
    started_s = time.perf_counter()
    result = func()
    return (time.perf_counter() - started_s) * 1e3, result


def time_calls_us(view, engines):
    """Return the mean time to start a call at an entry, in microseconds."""
    entry = builders.entry(view, policy="affinity")
    started_s = time.perf_counter()
    for i in range(CALLS_PER_READING):
        request = builders.caller_request(
            f"r{i}", model=f"m{i % engines}", affinity_key="x"
        )
        list(entry_calls.step(entry, 0, builders.call_arrived(request)))
    return (time.perf_counter() - started_s) / CALLS_PER_READING * 1e6


def time_full_memory_plan_ms(view, engines):
    """Time a plan with full memory while every model needs more replicas."""
    for change in list(placement.plan(view, {}, max_spares=MAX_SPARES)):
        entry = control_state.Entry(1, view.index + 1, change)
        control_state.apply_to_view(view, entry, builders.suspect_chart())
    resident = {
        upstream_id: {
            replica.model: replica for replica in assignment.replicas
        }
        for upstream_id, assignment in view.placements.items()
    }
    targets = {f"m{n}": UNMET_REPLICAS for n in range(2 * engines)}
    elapsed_ms, _ = run_timed_ms(
        lambda: list(placement.plan(view, resident, targets))
    )
    return elapsed_ms


def make_key_table(records):
    """Return a table of finished idempotency records."""
    table = idempotency.KeyTable()
    answer = commands.StoredAnswer(200, "text/plain", b"x" * ANSWER_BYTES)
    for i in range(records):
        key, request_id = f"route/{i:036}", f"req-{i:032}"
        reservation = commands.ReserveKey(key, request_id, "f" * 64, 0, 0)
        idempotency.reserve(table, i, reservation)
        completion = commands.FinishKey(key, request_id, True, answer)
        idempotency.finish(table, completion)
    return table


def measure(engines):
    """Return all readings for a number of engines, by name."""
    state = make_control_state(engines)
    view = state.view
    first_plan_ms, changes = run_timed_ms(
        lambda: list(placement.plan(view, {}))
    )
    for change in changes:
        builders.apply(state, change)
    steady_plan_ms, _ = run_timed_ms(lambda: list(placement.plan(view, {})))
    full_view = feed_messages.FullView("c1", view)
    encode_view_ms, view_data = run_timed_ms(lambda: codec.encode(full_view))
    decode_view_ms, _ = run_timed_ms(lambda: codec.decode(view_data))
    call_us = time_calls_us(view, engines)
    table = make_key_table(KEY_RECORDS_PER_ENGINE * engines)
    encode_table_ms, table_data = run_timed_ms(lambda: codec.encode(table))
    decode_table_ms, _ = run_timed_ms(lambda: codec.decode(table_data))
    return {
        "first plan ms": first_plan_ms,
        "steady plan ms": steady_plan_ms,
        "plan with full memory and unmet demand ms": time_full_memory_plan_ms(
            view, engines
        ),
        "idempotency records": KEY_RECORDS_PER_ENGINE * engines,
        "encode idempotency records ms": encode_table_ms,
        "decode idempotency records ms": decode_table_ms,
        "whole view KB": len(view_data) / 1e3,
        "encode whole view ms": encode_view_ms,
        "decode whole view ms": decode_view_ms,
        "call us": call_us,
    }


def main(_argv):
    rows = [measure(engines) for engines in SIZES]
    sizes = " | ".join(map(str, SIZES))
    print(f"| reading | {sizes} | slope for 100 engines | largest residual |")
    print("| --- " * (len(SIZES) + 3) + "|")
    for name in rows[0]:
        values = [row[name] for row in rows]
        slope, intercept = numpy.polyfit(SIZES, values, 1)
        fitted_values = numpy.polyval((slope, intercept), SIZES)
        max_residual = float(max(abs(fitted_values - values)))
        cells = " | ".join(f"{value:.2f}" for value in values)
        print(f"| {name} | {cells} | {slope * 100:.2f} | {max_residual:.2f} |")


if __name__ == "__main__":
    app.run(main)
