"""Measures recovery: a killed leader, a long log, many idempotency records."""

import pathlib
import random
import statistics
import tempfile
import time
import tracemalloc

from absl import app

from bilberryramp.charts import loader
from bilberryramp.decisions.control import (
    control_state,
    replica_state,
    replication,
)
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.shared import charting, commands
from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders
from bilberryramp.storage import journal

ROUNDS = 5
ENTRIES = 10_000


def kill_rounds(folder):
    cluster = local_cluster.new_cluster(folder, 3)
    took = []
    try:
        local_cluster.start_controls(cluster)
        for name, service in (
            ("desk-1", "drafting-desk"),
            ("desk-2", "drafting-desk"),
            ("letters-1", "letter-llm"),
        ):
            engine = builders.standin_settings(name)
            local_cluster.add_upstream(cluster, engine, service)
        local_cluster.wait_for_upstreams(cluster, 3)
        builders.submit(cluster)
        for _ in range(ROUNDS):
            took.append(kill_once(cluster))
    finally:
        local_cluster.stop_all(cluster)
    return took


def kill_once(cluster):
    """Seconds from the kill to an accepted change, tool start included."""
    leader = builders.wait_for_leader(cluster)
    baseline = time.perf_counter()
    builders.submit(cluster)
    overhead = time.perf_counter() - baseline
    local_cluster.kill(cluster, leader)
    began = time.perf_counter()
    reply = builders.submit(cluster)
    took = time.perf_counter() - began
    if reply.returncode:
        raise SystemExit(reply.stdout + reply.stderr)
    known = cluster.processes[leader]
    local_cluster.start_program(cluster, leader, known.program, known.settings)
    time.sleep(2)
    return took, overhead


def once_entry(index):
    command = commands.ReserveKey(
        f"corrections/key-{index}", f"req-{index:032x}", "f" * 32, 0, 65_000
    )
    return control_state.Entry(1, index, command)


def restart_s(folder):
    disk, _ = journal.open_folder(folder, "c1")
    for first in range(1, ENTRIES + 1, 100):
        entries = tuple(once_entry(n) for n in range(first, first + 100))
        journal.write(disk, [msgs.PersistEntries(entries)])
    journal.close(disk)
    size = (folder / "log-0").stat().st_size
    began = time.perf_counter()
    disk, read = journal.open_folder(folder, "c1")
    chart = charting.bind(
        loader.load("replica"), replication.guards, replication.actions
    )
    rep = replication.new_replica(
        replica_state.ReplicaSettings("c1", ("c1",)), chart, random.Random(1),
        replica_state.GENESIS, 0, None, None, read.entries,
    )  # fmt: skip
    list(replication.step(rep, 10_000, msgs.Tick()))
    took = time.perf_counter() - began
    journal.close(disk)
    assert rep.applied_index == ENTRIES + 1
    return took, size


def record_bytes():
    state = control_state.ControlState()
    tracemalloc.start()
    for index in range(1, ENTRIES + 1):
        control_state.apply(state, once_entry(index))
        answer = commands.KeptAnswer(200, "application/json", b"x" * 200)
        finish = commands.FinishKey(
            f"corrections/key-{index}", f"req-{index:032x}", True, answer
        )
        control_state.apply(state, control_state.Entry(1, index, finish))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def main(_argv):
    folder = pathlib.Path(tempfile.mkdtemp())
    took = kill_rounds(folder / "kill")
    shown = [f"{seconds:.2f}" for seconds, _ in took]
    overhead = statistics.median(o for _, o in took)
    print(f"kill of the leader to accepted change: {', '.join(shown)} s")
    print(f"the same with a living leader (median): {overhead:.2f} s")
    seconds, size = restart_s(folder / "restart")
    print(f"restart with {ENTRIES} entries: {seconds:.2f} s, log {size} B")
    print(
        f"{ENTRIES} idempotency records with 200 B answers: {record_bytes()} B"
    )


if __name__ == "__main__":
    app.run(main)
