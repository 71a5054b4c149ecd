"""Task that orders the engines which this node holds."""

import dataclasses
from collections.abc import Callable

from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.orders import agent, order_holders
from bilberryramp.tasks import clock, mailbox, peer_mesh
from bilberryramp.telemetry import events

__all__ = ["HolderTask", "run"]


@dataclasses.dataclass(slots=True)
class HolderTask:
    """State of a holder's task.

    Attributes
    ----------
    holder
        State of the holder's decisions.
    inbox
        Mailbox of the task.
    gateway_inbox
        Mailbox of this node's gateway, which receives the reports that this
        node asked for.
    mesh
        Sockets to the other nodes.
    call_engine
        Function that takes an `EngineCall`, starts the call and returns at
        once.
    """

    holder: order_holders.Holder
    inbox: mailbox.Mailbox
    gateway_inbox: mailbox.Mailbox
    mesh: peer_mesh.Mesh
    call_engine: Callable[[order_holders.EngineCall], None]


async def run(task: HolderTask) -> None:
    """Handle messages until the task is cancelled.

    Parameters
    ----------
    task
        State of the task. Modified in place.
    """
    while True:
        for message in await mailbox.receive_all(task.inbox):
            now_ms = clock.boot_ms()
            if isinstance(message, order_holders.Standing):
                _log_change(task.holder, message)
            for effect in order_holders.step(task.holder, now_ms, message):
                _perform(task, effect)


def _log_change(
    holder: order_holders.Holder, standing: order_holders.Standing
) -> None:
    if standing.list_id != holder.standing.list_id:
        events.emit(
            events.HOLDERS_CHANGED,
            holders=list(standing.holders),
            list_id=list(standing.list_id),
            previous_id=list(standing.previous_id),
            is_holder=holder.address in standing.holders,
        )


def _perform(task: HolderTask, effect) -> None:
    match effect:
        case order_holders.EngineCall():
            task.call_engine(effect)
        case agent.Notify():
            if effect.to == task.holder.address:
                mailbox.post_now(task.gateway_inbox, effect.message)
            else:
                peer_mesh.send(task.mesh, effect.to, effect.message)
        case Trace():
            events.trace(effect.name, effect.fields)
