"""Select the voters of the register and decide what is a quorum.

Of 2 f + 1 voters with disks, f may lose theirs: what a majority has stored is
then still on one of the other f + 1, which are a majority themselves and can
elect a leader and replace the lost voters. A set of voters is therefore never
made smaller than that while as many nodes are known, and no document is
confirmed on a smaller one (docs/design/register-voters.md).
"""

import dataclasses
from collections.abc import Collection, Mapping

from bilberryramp.decisions.fleet.register import register_messages as msgs

__all__ = [
    "Observation",
    "desired_voters",
    "is_quorum",
    "may_confirm",
    "voters",
]

# A voter that was silent for this long is removed if enough others remain, as
# one that stops is at once; it is added again when it returns. The time is
# below the four seconds after which the platform counts a replaced instance as
# gone, measured from the start of its successor.
REMOVE_SILENT_AFTER_MS = 2500
# A new leader listens for heartbeats for this long before it changes the
# voters.
LEADER_OBSERVATION_MS = 1000
# A node can become a voter only if it was last heard from within this time.
RECENTLY_HEARD_MS = 1500
# More voters would make each commit more expensive; only a fleet that must
# tolerate the loss of more than three disks has them.
MAX_VOTERS = 7
# Smaller sets of voters would stop when one of them does.
MIN_VOTERS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Observation:
    """What the leader knows of the nodes when it judges the voters.

    Attributes
    ----------
    nodes
        The leader and the nodes that it has heard from, by address.
    silence_ms
        Time since each of them was last heard from, by address, in
        milliseconds; 0 for the leader.
    observed_ms
        For how long the leader's process has listened, in milliseconds,
        which is the least silence of a node that it has not heard from.
    leadership_ms
        Time since the leader was elected, in milliseconds.
    tolerated_losses
        Number of disks that may be lost at the same time.
    """

    nodes: Mapping[str, msgs.Peer]
    silence_ms: Mapping[str, int]
    observed_ms: int
    leadership_ms: int
    tolerated_losses: int


def voters(record: msgs.Record) -> tuple[msgs.Member, ...]:
    """Return all members whose votes may be needed.

    Parameters
    ----------
    record
        Record that names the voters, possibly during a change of voters.

    Returns
    -------
    tuple of Member
        New and old voters without duplicates.
    """
    return tuple(dict.fromkeys((*record.members, *record.leaving)))


def is_quorum(record: msgs.Record, agreeing: Collection[msgs.Member]) -> bool:
    """Return whether the agreeing nodes form a quorum.

    Parameters
    ----------
    record
        Record that names the voters.
    agreeing
        Nodes that agree; nodes that are not voters are ignored.

    Returns
    -------
    bool
        True if a majority of the voters agrees and, during a change of
        voters, a majority of the old voters as well.
    """
    return _is_majority(record.members, agreeing) and (
        not record.leaving or _is_majority(record.leaving, agreeing)
    )


def _is_majority(members, agreeing) -> bool:
    return 2 * sum(member in agreeing for member in members) > len(members)


def may_confirm(record: msgs.Record, seen: Observation) -> bool:
    """Return whether a committed record survives the tolerated losses.

    Parameters
    ----------
    record
        Committed record, which a quorum has stored.
    seen
        Observation of the leader.

    Returns
    -------
    bool
        True if the voters have disks and are enough for the tolerated
        losses, or are as many as there are. During a change of voters, and
        for a new leader that may not know all nodes yet, False unless that
        is certain.
    """
    if record.leaving:
        return False
    sufficient = 2 * seen.tolerated_losses + 1
    have_disks = not any(
        _is_memory_only(member, seen) for member in record.members
    )
    if have_disks and len(record.members) >= sufficient:
        return True
    if seen.leadership_ms < LEADER_OBSERVATION_MS:
        return False
    if not _knows_disks(seen):
        return True
    available = {
        *(member.address for member in record.members),
        *_eligible_members(seen),
    }
    return have_disks and len(record.members) >= min(
        sufficient, len(available)
    )


def desired_voters(
    members: tuple[msgs.Member, ...], seen: Observation
) -> tuple[msgs.Member, ...]:
    """Return the set of voters that the leader should establish.

    Nodes with a disk are eligible; if no node has one, all nodes are. A node
    that has returned with an empty store replaces the member with its old
    store. A voter that is silent or about to stop is removed if enough others
    remain; a silent one, which may return with its store, is kept rather than
    one that stops.

    Parameters
    ----------
    members
        Current voters.
    seen
        Observation of the leader.

    Returns
    -------
    tuple of Member
        Desired voters in order of address; `members` itself if nothing is to
        change.
    """
    if seen.leadership_ms < LEADER_OBSERVATION_MS:
        return members
    sufficient = 2 * seen.tolerated_losses + 1
    min_voters = max(MIN_VOTERS, sufficient)
    current = {member.address: member for member in members}
    joining = {
        address: member
        for address, member in _eligible_members(seen).items()
        if current.get(address) != member
    }
    remaining = [
        member
        for address, member in current.items()
        if address not in joining
        and not (_is_memory_only(member, seen) and _knows_disks(seen))
    ]
    stopping = [m for m in remaining if _is_stopping(m, seen)]
    silent = [
        m for m in remaining if _is_silent(m, seen) and m not in stopping
    ]
    kept = [m for m in remaining if m not in stopping and m not in silent]
    vacancies = max(max(MAX_VOTERS, min_voters) - len(kept), 0)
    kept += [member for _, member in sorted(joining.items())[:vacancies]]
    if not kept:
        return members
    silent.sort(key=lambda m: (_silence_ms(m, seen), m.address))
    kept += silent[: max(min_voters - len(kept), 0)]
    kept += stopping[: max(sufficient - len(kept), 0)]
    desired = tuple(sorted(kept, key=_by_address))
    return desired if set(desired) != set(members) else members


def _eligible_members(seen: Observation) -> dict[str, msgs.Member]:
    """Return the nodes that may become voters, by address."""
    knows_disks = _knows_disks(seen)
    return {
        address: msgs.Member(address, peer.store_id)
        for address, peer in seen.nodes.items()
        if seen.silence_ms.get(address, RECENTLY_HEARD_MS) < RECENTLY_HEARD_MS
        and (peer.durable or not knows_disks)
        and not peer.is_stopping
    }


def _knows_disks(seen: Observation) -> bool:
    return any(peer.durable for peer in seen.nodes.values())


def _is_memory_only(member: msgs.Member, seen: Observation) -> bool:
    """Return whether a voter is known to have no disk."""
    peer = seen.nodes.get(member.address)
    return peer is not None and not peer.durable


def _is_stopping(member: msgs.Member, seen: Observation) -> bool:
    peer = seen.nodes.get(member.address)
    return peer is not None and peer.is_stopping


def _silence_ms(member: msgs.Member, seen: Observation) -> int:
    return seen.silence_ms.get(member.address, seen.observed_ms)


def _is_silent(member: msgs.Member, seen: Observation) -> bool:
    return _silence_ms(member, seen) >= REMOVE_SILENT_AFTER_MS


def _by_address(member: msgs.Member) -> str:
    return member.address
