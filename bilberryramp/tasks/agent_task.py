"""Task that runs an agent, which gives orders to one engine."""

import dataclasses
from collections.abc import Callable

from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.tasks import clock, mailbox, peer_mesh
from bilberryramp.telemetry import events

__all__ = ["AgentTask", "run"]


@dataclasses.dataclass(slots=True)
class AgentTask:
    """State of an agent's task.

    Attributes
    ----------
    agent
        State of the agent's decisions.
    inbox
        Mailbox of the task.
    mesh
        Sockets for messages to and from the nodes.
    call_engine
        Function that takes a `SendOrder` or `ReadEngine`, starts the call
        to the engine and returns at once.
    """

    agent: agent.Agent
    inbox: mailbox.Mailbox
    mesh: peer_mesh.Mesh
    call_engine: Callable


async def run(task: AgentTask) -> None:
    """Handle messages until the task is cancelled.

    Parameters
    ----------
    task
        State of the task. Modified in place.
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
