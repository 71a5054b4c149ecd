"""`bilberry-agent`: sends orders to the engine of a fleet instance."""

import asyncio
import signal
import sys

from absl import app

from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.platform import engine_orders
from bilberryramp.programs import fleet_launch
from bilberryramp.tasks import (
    agent_task,
    clock,
    mailbox,
    peer_mesh,
    register_task,
)
from bilberryramp.tasks import engine_orders as order_task
from bilberryramp.telemetry import events

__all__ = ["run"]

# Interval at which the agent makes itself known to the seeds.
PRESENCE_INTERVAL_S = 1.5


def run() -> None:
    """Run the program."""
    app.run(_main)


def _main(_argv: list[str]) -> None:
    cfg = fleet_launch.start("bilberry-agent")
    sys.exit(asyncio.run(_serve(cfg)))


async def _serve(cfg) -> int:
    chart = fleet_launch.bind_chart("engine_order", agent)
    inbox = mailbox.Mailbox()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # No setting of the agent can change while it runs, so SIGHUP only logs.
    loop.add_signal_handler(
        signal.SIGHUP, events.emit, events.SETTINGS_RELOADED
    )
    mesh = peer_mesh.open_mesh(
        f"{cfg.ip}:{cfg.peer_ports[0]}",
        lambda message: mailbox.post_now(inbox, message),
        peer_mesh.AGENT_PING_INTERVAL_MS,
    )
    async with order_task.open_session() as session:
        start_call = order_task.make_engine_caller(
            session, engine_orders, cfg.name
        )
        task = agent_task.AgentTask(
            # Wall-clock time increases across restarts, so the fencing tokens
            # of earlier processes are lower.
            agent.new_agent(chart, clock.wall_ms()),
            inbox,
            mesh,
            lambda call: start_call(
                cfg.engine_address,
                call,
                lambda message: mailbox.post_now(inbox, message),
            ),
        )
        running = [
            asyncio.create_task(agent_task.run(task)),
            asyncio.create_task(register_task.post_ticks(inbox, agent.Tick())),
            asyncio.create_task(_announce_presence(cfg, mesh)),
        ]
        stopped = asyncio.create_task(stop.wait())
        events.emit(events.STARTED, address=cfg.engine_address)
        done, _ = await asyncio.wait(
            [*running, stopped], return_when=asyncio.FIRST_COMPLETED
        )
    if stopped in done:
        events.emit(events.STOPPED)
        return 0
    for ended_task in done:
        events.emit(events.TASK_FAILED, reason=repr(ended_task.exception()))
    return fleet_launch.EXIT_DEFECT


async def _announce_presence(cfg, mesh: peer_mesh.Mesh) -> None:
    """Tell the fleet's seeds at intervals that this agent exists."""
    port = cfg.peer_ports[0]
    message = agent.AgentPresent(f"{cfg.ip}:{port}")
    while True:
        seeds = [f"{seed}:{port}" for seed in cfg.seeds]
        peer_mesh.broadcast(mesh, seeds, message)
        await asyncio.sleep(PRESENCE_INTERVAL_S)


if __name__ == "__main__":
    run()
