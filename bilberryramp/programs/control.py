"""`bilberry-control`: one replica of the control state."""

import asyncio
import pathlib
import random

from absl import flags

from bilberryramp.decisions.control import replica_state, replication
from bilberryramp.decisions.shared import quarantine
from bilberryramp.programs import launch
from bilberryramp.settings import reader, schema
from bilberryramp.storage import journal
from bilberryramp.tasks import (
    client_guard,
    connection_drain,
    control_node,
    mailbox,
    operator_api,
)
from bilberryramp.telemetry import events, metrics

__all__ = ["run"]

FORMAT_FLAG = flags.DEFINE_boolean(
    "format",
    False,
    "Prepare the data folder of a replica of a new cluster and exit. Do not "
    "use it after the loss of a disk: start with an empty folder instead.",
)


def run() -> None:
    """Run the program."""
    launch.run_app(_main)


async def _main() -> int:
    cfg = reader.read_or_raise(
        launch.SETTINGS_FLAG.value, schema.ControlSettings
    )
    folder = pathlib.Path(cfg.data_folder)
    if FORMAT_FLAG.value:
        journal.format_folder(folder, cfg.replica_id)
        return 0
    launch.start_telemetry("bilberry-control", cfg.replica_id, cfg.telemetry)
    disk, recovered = journal.open_folder(folder, cfg.replica_id)
    _log_recovery(recovered)
    chart = launch.bind_chart("replica", replication)
    suspect_chart = launch.bind_chart("suspect", quarantine)
    node = control_node.new_node(
        cfg, chart, suspect_chart, disk, recovered, random.Random()
    )
    own_replica = next(
        r for r in cfg.replicas if r.replica_id == cfg.replica_id
    )
    host, _, port = own_replica.operator_address.rpartition(":")
    ended = asyncio.Event()
    api = operator_api.make_app(node.inbox, ended)
    process_metrics = metrics.Metrics()
    listener = await launch.make_listener(api, "operators")
    guard = launch.guard(listener, cfg.process_memory_mb, process_metrics)
    await launch.open_listener(listener, host, int(port))
    stop_requested = asyncio.Event()
    launch.on_stop_signal(stop_requested.set)
    events.emit(events.STARTED, address=own_replica.address)
    async with asyncio.TaskGroup() as group:
        guarding = group.create_task(client_guard.run(guard))
        node_task = group.create_task(control_node.run(node))
        node_task.add_done_callback(lambda _: ended.set())
        await stop_requested.wait()
        mailbox.post_now(node.inbox, control_node.StopNode())
        stop = launch.new_stop(
            lambda: (
                ended.is_set() and not connection_drain.holds_exit([listener])
            ),
            control_node.STOP_DELAY_MS,
            cfg.grace_ms,
        )
        await launch.drain(stop, listener, process_metrics)
        guarding.cancel()
        node_task.cancel()
    events.emit(events.STOPPED)
    return 0


def _log_recovery(recovered: journal.Recovered) -> None:
    if recovered.truncated_bytes:
        events.emit(
            events.LOG_TAIL_TRUNCATED, size_bytes=recovered.truncated_bytes
        )
    if recovered.identity.incarnation != replica_state.GENESIS:
        events.emit(
            events.RECOVERING, incarnation=recovered.identity.incarnation
        )
