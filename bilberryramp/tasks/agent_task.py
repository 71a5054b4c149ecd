"""The task that owns the decisions of an agent beside an engine."""

import dataclasses
from collections.abc import Callable

from bilberryramp.decisions.fleet import agent
from bilberryramp.decisions.fleet.traces import Trace
from bilberryramp.tasks import clock, mailbox, peer_mesh
from bilberryramp.telemetry import events

__all__ = ["AgentTask", "run"]


@dataclasses.dataclass(slots=True)
class AgentTask:
    """What the task owns.

    Attributes
    ----------
    talk
        Starts an order to the engine, or a reading of it.
    """

    agent: agent.Agent
    inbox: mailbox.Mailbox
    mesh: peer_mesh.Mesh
    call_engine: Callable


async def run(task: AgentTask) -> None:
    """Handle messages until cancelled.

    Parameters
    ----------
    task
        The task's state.
    """
    while True:
        for message in await mailbox.receive_all(task.inbox):
            now_ms = clock.boot_ms()
            for effect in agent.step(task.agent, now_ms, message):
                _perform(task, effect)


def _perform(task: AgentTask, effect) -> None:
    match effect:
        case agent.SendOrder() | agent.ReadEngine():
            task.call_engine(effect)
        case agent.Notify():
            peer_mesh.send(task.mesh, effect.to, effect.message)
        case Trace():
            events.trace(effect.name, effect.fields)
