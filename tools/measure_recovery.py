"""Measure recovery from a killed leader and from a long log.

Also measure the memory that idempotency records take.
"""

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
from bilberryramp.decisions.tests import builders as decision_builders
from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders
from bilberryramp.storage import journal

LEADER_KILLS = 5
LOG_ENTRIES = 10_000


def time_leader_kills(folder):
    """Kill the leader of a cluster repeatedly and return the timings.

    Returns
    -------
    list of tuple
        Results of `time_leader_kill` in seconds.
    """
    cluster = local_cluster.new_cluster(folder, 3)
    timings_s = []
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
        for _ in range(LEADER_KILLS):
            timings_s.append(time_leader_kill(cluster))
    finally:
        local_cluster.stop_all(cluster)
    return timings_s


def time_leader_kill(cluster):
    """Kill the leader and time the next accepted change.

    Returns
    -------
    tuple of float
        The time from the kill to the accepted change, and the time of a
        change under a running leader for comparison, both in seconds. Both
        include the start of the command-line tool.
    """
    leader = builders.wait_for_leader(cluster)
    submit_start_s = time.perf_counter()
    builders.submit(cluster)
    submit_s = time.perf_counter() - submit_start_s
    local_cluster.kill(cluster, leader)
    started_s = time.perf_counter()
    reply = builders.submit(cluster)
    elapsed_s = time.perf_counter() - started_s
    if reply.returncode:
        raise SystemExit(reply.stdout + reply.stderr)
    killed = cluster.processes[leader]
    local_cluster.start_program(
        cluster, leader, killed.program, killed.settings
    )
    time.sleep(2)
    return elapsed_s, submit_s


def reserve_key_entry(index):
    """Return a log entry that reserves an idempotency key."""
    command = commands.ReserveKey(
        f"corrections/key-{index}", f"req-{index:032x}", "f" * 32, 0, 65_000
    )
    return control_state.Entry(1, index, command)


def time_restart(folder):
    """Return the seconds to replay a long log, and its size in bytes."""
    disk, _ = journal.open_folder(folder, "c1")
    for first in range(1, LOG_ENTRIES + 1, 100):
        entries = tuple(
            reserve_key_entry(n) for n in range(first, first + 100)
        )
        journal.write(disk, [msgs.PersistEntries(entries)])
    journal.close(disk)
    size_bytes = (folder / "log-0").stat().st_size
    started_s = time.perf_counter()
    disk, recovered = journal.open_folder(folder, "c1")
    chart = charting.bind(
        loader.load("replica"), replication.guards, replication.actions
    )
    replica = replication.new_replica(
        replica_state.ReplicaSettings("c1", ("c1",)), chart,
        decision_builders.suspect_chart(), random.Random(1),
        replica_state.GENESIS, 0, None, None, recovered.entries,
    )  # fmt: skip
    list(replication.step(replica, 10_000, msgs.Tick()))
    elapsed_s = time.perf_counter() - started_s
    journal.close(disk)
    # The new leader appended a no-op entry.
    assert replica.applied_index == LOG_ENTRIES + 1
    return elapsed_s, size_bytes


def measure_record_bytes():
    """Return the memory that finished idempotency records take, in bytes."""
    state = control_state.ControlState()
    tracemalloc.start()
    for index in range(1, LOG_ENTRIES + 1):
        control_state.apply(
            state,
            reserve_key_entry(index),
            decision_builders.suspect_chart(),
        )
        answer = commands.StoredAnswer(200, "application/json", b"x" * 200)
        finish = commands.FinishKey(
            f"corrections/key-{index}", f"req-{index:032x}", True, answer
        )
        control_state.apply(
            state,
            control_state.Entry(1, index, finish),
            decision_builders.suspect_chart(),
        )
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size_bytes


def main(_argv):
    folder = pathlib.Path(tempfile.mkdtemp())
    timings_s = time_leader_kills(folder / "kill")
    formatted = [f"{elapsed_s:.2f}" for elapsed_s, _ in timings_s]
    median_submit_s = statistics.median(submit_s for _, submit_s in timings_s)
    print(
        "from the kill of the leader to an accepted change: "
        f"{', '.join(formatted)} s"
    )
    print(
        "accepted change with a running leader (median): "
        f"{median_submit_s:.2f} s"
    )
    elapsed_s, size_bytes = time_restart(folder / "restart")
    print(
        f"restart with {LOG_ENTRIES} entries: {elapsed_s:.2f} s, "
        f"log {size_bytes} B"
    )
    print(
        f"{LOG_ENTRIES} idempotency records with 200 B answers: "
        f"{measure_record_bytes()} B"
    )


if __name__ == "__main__":
    app.run(main)
