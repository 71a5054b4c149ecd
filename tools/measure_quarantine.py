"""Measure what the quarantine costs a node and its coordinator.

Prints the sizes of messages, the memory and review time of a coordinator that
remembers as many suspects as it may, and the time per call at a node.
"""

import time
import tracemalloc

from absl import app

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_publications,
    coordinator_state,
    quarantine_coordinator,
    suspect_evidence,
    suspects,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.fleet.tests import test_part_evidence as evidence
from bilberryramp.decisions.shared import quarantine
from bilberryramp.wire import fleet_codec

NOW_MS = evidence.NOW_MS
REQUESTS = 64
PARTS = 4
CALLS = 20_000


def print_row(name, value, unit):
    print(f"{name}: {value:.1f} {unit}")


def make_loss():
    """Build a loss as a node reports it, with ids of usual length."""
    return msgs.ReportedLoss(
        "i-7f3a91c2b0", "10.128.0.9:8080", 1783455595500, 812, 143, 2, 311, 90,
        False, False, 0, 2, False,
    )  # fmt: skip


def make_loss_report(identity_count):
    rows = (
        (f"part:{number:012x}", "svc-0a1b2c", make_loss())
        for number in range(identity_count)
    )
    return msgs.LossReport(tuple(rows))


def fill_coordinator():
    """Return a coordinator with as many suspects as it may remember."""
    chart = builders.bind_chart("suspect", quarantine)
    table = evidence.content.make_coordinator().table
    coord = coordinator_state.Coordinator("n1:1", chart, table, 1, 1)
    list(quarantine_coordinator.start_leading(coord, (), NOW_MS - 60_000))
    for first in range(0, coordinator_state.MAX_SUSPECTS, 256):
        rows = tuple(
            (f"part:{first + number:012x}", "svc-0a1b2c", make_loss())
            for number in range(256)
        )
        report = msgs.LossReport(rows)
        list(quarantine_coordinator.step(coord, NOW_MS, report))
    return coord


def time_per_call_us(parts):
    """Return the time to admit a call and to record its run."""
    gw = evidence.make_gateway()
    names = [f"p{number:012x}" for number in range(64)]
    made = [
        calls.Call(
            number,
            evidence.make_request(
                number, [names[(number + k) % 64] for k in range(parts)]
            ),
            None,
            "svc",
            0,
            0,
        )
        for number in range(CALLS)
    ]
    started_s = time.perf_counter()
    outcome = calls.AttemptOutcome.DELIVERED
    for call in made:
        suspects.admission_of(gw.suspect_state, call, NOW_MS)
        for _ in suspect_evidence.record_attempt_end(
            gw.suspect_state, call, outcome, NOW_MS
        ):
            pass
    return 1e6 * (time.perf_counter() - started_s) / CALLS


def main(_argv):
    report = fleet_codec.encode(make_loss_report(REQUESTS * (PARTS + 1)))
    print_row(f"report of {REQUESTS} requests", len(report) / 1000, "KB")
    tracemalloc.start()
    coord = fill_coordinator()
    current_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print_row("full coordinator", current_bytes / 1e6, "MB")
    whole = coordinator_publications.whole_list(coord, NOW_MS)
    size_bytes = len(fleet_codec.encode(whole))
    print_row(f"list of {len(whole.suspects)}", size_bytes / 1000, "KB")
    one = msgs.SuspectList("n1:1", 1, False, whole.suspects[:1])
    print_row("publication of one", len(fleet_codec.encode(one)), "bytes")
    started_s = time.perf_counter()
    ticks = 20
    for number in range(1, ticks + 1):
        now_ms = NOW_MS + 100 * number
        tick = quarantine_coordinator.Tick()
        list(quarantine_coordinator.step(coord, now_ms, tick))
    tick_ms = 1000 * (time.perf_counter() - started_s) / ticks
    print_row("review of a full coordinator", tick_ms, "ms each 100 ms")
    for parts in (0, PARTS):
        print_row(f"call with {parts} parts", time_per_call_us(parts), "us")


if __name__ == "__main__":
    app.run(main)
