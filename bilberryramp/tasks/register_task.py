"""Task that runs a node's part of the register and owns its store.

The register is the replicated state of a fleet: the service document and the
set of voters.
"""

import asyncio
import dataclasses

from bilberryramp.decisions.fleet.limits import retry_shares, usage_issuer
from bilberryramp.decisions.fleet.register import operator_calls, register
from bilberryramp.decisions.shared import effects
from bilberryramp.storage import slots
from bilberryramp.tasks import clock, mailbox, peer_mesh
from bilberryramp.telemetry import events

__all__ = [
    "RegisterTask",
    "post_ticks",
    "publish_leadership",
    "publish_share",
    "request",
    "run",
]

# Interval between ticks; a fraction of the register's heartbeat interval.
TICK_INTERVAL_S = 0.05
# Delay before a failed write is retried.
WRITE_RETRY_DELAY_S = 0.2
# Minimum interval between two renewals of the lease on a share of the retry
# budgets that the gateway's task is told; a fraction of the lease.
SHARE_RENEWAL_MS = 400
# Timeout of an operator's call; less than the 1 s after which the operator
# tries another node.
REQUEST_TIMEOUT_S = 0.9


@dataclasses.dataclass(slots=True)
class RegisterTask:
    """State of a register's task.

    Attributes
    ----------
    node
        State of the register's decisions on this node.
    folder
        Folder of the store; empty for a node without a disk.
    last_write
        Number of the last write to the store, 1 higher with each write.
    inbox
        Mailbox of the task.
    gateway_inbox
        Mailbox of the gateway's task, which receives `Committed`,
        `LeaderChanged`, `Leadership`, `Roster` and `Share`.
    holder_inbox
        Mailbox of the holder's task, which receives each `Standing`; None if
        this node orders no engines.
    mesh
        Sockets to the peers.
    pending_requests
        Futures of the operators' calls that wait for an answer, by request
        id.
    next_request_id
        Id of the next operator's call.
    roster
        Fields of the `Roster` that was last published.
    published_as_of_ms
        Time of the proof of the `Standing` that was last published.
    published_share
        Share of the retry budgets that was last published.
    published_leadership
        Proof of leadership that was last published.
    """

    node: register.Node
    folder: str
    last_write: int
    inbox: mailbox.Mailbox
    gateway_inbox: mailbox.Mailbox
    mesh: peer_mesh.Mesh
    holder_inbox: mailbox.Mailbox | None = None
    pending_requests: dict[int, asyncio.Future] = dataclasses.field(
        default_factory=dict
    )
    next_request_id: int = 1
    roster: tuple = ()
    published_as_of_ms: int = -1
    published_share: retry_shares.Share = retry_shares.Share()
    published_leadership: usage_issuer.Leadership = usage_issuer.Leadership()


async def run(task: RegisterTask) -> None:
    """Handle messages until the task is cancelled.

    Parameters
    ----------
    task
        State of the task. Modified in place.
    """
    while True:
        messages = await mailbox.receive_all(task.inbox)
        for message in messages:
            now_ms = clock.boot_ms()
            for effect in register.step(task.node, now_ms, message):
                await _perform(task, effect)
        _publish_roster(task)
        _publish_standing(task)
        if register.Tick() in messages:
            publish_share(task)
            publish_leadership(task)


async def post_ticks(inbox: mailbox.Mailbox, message) -> None:
    """Post a tick at intervals until the task is cancelled.

    A tick is skipped while the previous one is still queued.

    Parameters
    ----------
    inbox
        Mailbox that receives the message.
    message
        Tick message of the receiver.
    """
    while True:
        await asyncio.sleep(TICK_INTERVAL_S)
        if message not in inbox.messages:
            mailbox.post_now(inbox, message)


async def request(task: RegisterTask, make_message):
    """Send a request to the register and wait for the answer.

    Parameters
    ----------
    task
        State of the register's task. Modified in place.
    make_message
        Function that takes the request id and returns the message.

    Returns
    -------
    Proposed, ReadAnswer or None
        Answer of the register; None if the request timed out.
    """
    request_id = task.next_request_id
    task.next_request_id += 1
    fut = asyncio.get_running_loop().create_future()
    task.pending_requests[request_id] = fut
    mailbox.post_now(task.inbox, make_message(request_id))
    try:
        return await asyncio.wait_for(fut, REQUEST_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        task.pending_requests.pop(request_id, None)


async def _perform(task: RegisterTask, effect) -> None:
    match effect:
        case effects.Send():
            peer_mesh.send(task.mesh, effect.to, effect.message)
        case register.Persist():
            await _write(task, effect)
        case register.Proposed() | register.ReadAnswer():
            fut = task.pending_requests.get(effect.request_id)
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
    task.last_write += 1
    while True:
        try:
            await asyncio.to_thread(
                slots.write, task.folder, task.last_write, effect.stored
            )
            return
        except OSError as exc:
            # No message may be sent to a peer before the state is durable,
            # so the write is retried until it succeeds.
            events.emit(events.STORE_WRITE_FAILED, reason=str(exc))
            await asyncio.sleep(WRITE_RETRY_DELAY_S)


def _publish_standing(task: RegisterTask) -> None:
    if task.holder_inbox is None:
        return
    standing = register.standing(task.node, clock.boot_ms())
    if standing.as_of_ms != task.published_as_of_ms:
        task.published_as_of_ms = standing.as_of_ms
        mailbox.post_now(task.holder_inbox, standing)


def publish_share(task: RegisterTask) -> None:
    """Tell the gateway of changes and renewals of its share of the budgets.

    Parameters
    ----------
    task
        State of the task. Modified in place.
    """
    share = register.retry_share(task.node, clock.boot_ms())
    known = task.published_share
    is_same = (share.state, share.fleet_size) == (
        known.state,
        known.fleet_size,
    )
    renewed_ms = share.valid_until_ms - known.valid_until_ms
    if not is_same or renewed_ms >= SHARE_RENEWAL_MS:
        task.published_share = share
        mailbox.post_now(task.gateway_inbox, share)


def publish_leadership(task: RegisterTask) -> None:
    """Tell the gateway of each newer proof that this node leads.

    Parameters
    ----------
    task
        State of the task. Modified in place.
    """
    leadership = register.leadership(task.node, clock.boot_ms())
    if leadership.until_ms > task.published_leadership.until_ms:
        task.published_leadership = leadership
        mailbox.post_now(task.gateway_inbox, leadership)


def _publish_roster(task: RegisterTask) -> None:
    node = task.node
    holders = node.record.holders if node.record is not None else ()
    peers = sorted(node.peers.values(), key=lambda peer: peer.address)
    roster = (
        tuple(peer.address for peer in peers),
        node.leader,
        holders,
        tuple(peer.failure_domain for peer in peers),
    )
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
