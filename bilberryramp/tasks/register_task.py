"""The task that owns a node's register and its store."""

import asyncio
import dataclasses

from bilberryramp.decisions.fleet import operator_calls, register
from bilberryramp.decisions.shared import effects
from bilberryramp.storage import slots
from bilberryramp.tasks import clock, mailbox, peer_mesh
from bilberryramp.telemetry import events

__all__ = ["RegisterTask", "ask", "run", "ticker"]

# How often the register looks at the time; a fraction of its heartbeat.
TICK_S = 0.05
# Pause before a refused write is tried again.
WRITE_AGAIN_S = 0.2
# How long an operator's call waits for its answer, less than the second
# after which the operator turns to another node.
ASK_TIMEOUT_S = 0.9


@dataclasses.dataclass(slots=True)
class RegisterTask:
    """What the task owns.

    Attributes
    ----------
    folder
        Of the store; empty without a disk.
    writes
        Count of the last write to the store.
    answers
        Futures of operators' calls by number.
    gateway_box
        Gets `Committed`, `LeaderChanged` and `Roster`.
    """

    node: register.Node
    folder: str
    writes: int
    inbox: mailbox.Mailbox
    gateway_inbox: mailbox.Mailbox
    mesh: peer_mesh.Mesh
    answers: dict[int, asyncio.Future] = dataclasses.field(
        default_factory=dict
    )
    next_ask: int = 1
    roster: tuple = ()


async def run(task: RegisterTask) -> None:
    """Handle messages until cancelled.

    Parameters
    ----------
    task
        The task's state.
    """
    while True:
        for message in await mailbox.receive_all(task.inbox):
            now_ms = clock.boot_ms()
            for effect in register.step(task.node, now_ms, message):
                await _perform(task, effect)
        _tell_roster(task)


async def ticker(inbox: mailbox.Mailbox, message) -> None:
    """Post a message at a steady pace.

    Parameters
    ----------
    box, message
        Where to, and what.
    """
    while True:
        await asyncio.sleep(TICK_S)
        if message not in inbox.items:
            mailbox.post_now(inbox, message)


async def ask(task: RegisterTask, make_message):
    """Ask the register and wait for its answer.

    Parameters
    ----------
    task
        The register's task.
    make_message
        Makes the message from the call's number.

    Returns
    -------
    Proposed, ReadAnswer or None
        None when no answer came in time.
    """
    number = task.next_ask
    task.next_ask += 1
    fut = asyncio.get_running_loop().create_future()
    task.answers[number] = fut
    mailbox.post_now(task.inbox, make_message(number))
    try:
        return await asyncio.wait_for(fut, ASK_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        task.answers.pop(number, None)


async def _perform(task: RegisterTask, effect) -> None:
    match effect:
        case effects.Send():
            peer_mesh.send(task.mesh, effect.to, effect.message)
        case register.Persist():
            await _write(task, effect)
        case register.Proposed() | register.ReadAnswer():
            fut = task.answers.get(effect.request_id)
            if fut is not None and not fut.done():
                fut.set_result(effect)
        case register.Committed():
            mailbox.post_now(task.gateway_inbox, effect)
        case register.LeaderChanged():
            events.emit(
                events.REGISTER_LEADER,
                leads=effect.leads,
                term=effect.term,
                leader=effect.leader,
            )
            mailbox.post_now(task.gateway_inbox, effect)


async def _write(task: RegisterTask, effect: register.Persist) -> None:
    if not task.folder:
        return
    task.writes += 1
    while True:
        try:
            await asyncio.to_thread(
                slots.write, task.folder, task.writes, effect.stored
            )
            return
        except OSError as exc:
            # Nothing may be said to others before this is on the disk.
            events.emit(events.STORE_WRITE_FAILED, reason=str(exc))
            await asyncio.sleep(WRITE_AGAIN_S)


def _tell_roster(task: RegisterTask) -> None:
    node = task.node
    roster = (tuple(sorted(node.peers)), node.leader)
    if roster != task.roster:
        task.roster = roster
        mailbox.post_now(task.gateway_inbox, operator_calls.Roster(*roster))
        members = node.record.members if node.record is not None else ()
        events.emit(
            events.ROSTER_CHANGED,
            nodes=list(roster[0]),
            leader=node.leader,
            voters=[member.address for member in members],
            term=node.term,
        )
