"""Who votes on the register, and what counts as a majority."""

from collections.abc import Collection

from bilberryramp.decisions.fleet import register_messages as msgs

__all__ = ["is_quorum", "voters", "desired_voters"]

# A voter silent this long is removed while at least three others remain; it
# is admitted again when it returns. The platform counts a replaced instance
# as gone four seconds after its successor started.
REMOVE_SILENT_AFTER_MS = 2500
# A new leader watches this long before it changes the voters.
LEADER_OBSERVATION_MS = 1000
# A node must have been heard this recently to become a voter.
RECENTLY_HEARD_MS = 1500
# More voters make each commit dearer without bearing more losses.
MAX_VOTERS = 7
MIN_VOTERS = 3


def voters(record: msgs.Record) -> tuple[msgs.Member, ...]:
    """Return all whose votes may be needed.

    Parameters
    ----------
    record
        A record, perhaps in the middle of a change of voters.

    Returns
    -------
    tuple of Member
        Old and new voters without repeats.
    """
    return tuple(dict.fromkeys((*record.members, *record.leaving)))


def is_quorum(record: msgs.Record, agreeing: Collection[msgs.Member]) -> bool:
    """Tell whether some nodes decide for all.

    Parameters
    ----------
    record
        Names the voters.
    present
        The nodes that agree; others than voters are ignored.

    Returns
    -------
    bool
        True for a majority of the voters and, during a change, of those
        before it as well.
    """
    return _majority(record.members, agreeing) and (
        not record.leaving or _majority(record.leaving, agreeing)
    )


def _majority(members, agreeing) -> bool:
    return 2 * sum(member in agreeing for member in members) > len(members)


def desired_voters(
    members: tuple[msgs.Member, ...],
    leader: msgs.Peer,
    peers: dict[str, msgs.Peer],
    heard_ms: dict[str, int],
    now_ms: int,
    leadership_ms: int,
) -> tuple[msgs.Member, ...]:
    """Decide who should vote.

    Nodes with a disk vote; where none has one, all nodes do. A node that
    came back with an empty store replaces its former self; a silent one is
    left out while enough others remain.

    Parameters
    ----------
    members
        Who votes now.
    me
        The leader.
    peers, heard_ms
        The other nodes and when each was last heard.
    now_ms
        The present.
    led_ms
        For how long the leader has led.

    Returns
    -------
    tuple of Member
        `members` itself when nothing is to change.
    """
    if leadership_ms < LEADER_OBSERVATION_MS:
        return members
    silent_ms = {
        address: now_ms - heard for address, heard in heard_ms.items()
    }
    silent_ms[leader.address] = 0
    nodes = {**peers, leader.address: leader}
    recent = {
        peer.address: msgs.Member(peer.address, peer.store_id)
        for peer in nodes.values()
        if silent_ms.get(peer.address, RECENTLY_HEARD_MS) < RECENTLY_HEARD_MS
    }
    durable = {a: m for a, m in recent.items() if nodes[a].durable}
    eligible = durable or recent
    current = {member.address: member for member in members}
    joining = {
        address: member
        for address, member in eligible.items()
        if current.get(address) != member
    }
    retained = {
        address: member
        for address, member in current.items()
        if address not in joining
        and _keeps_vote(address, member, eligible, nodes, silent_ms)
    }
    silent = _silent_voters(retained, silent_ms, leadership_ms)
    if len(retained) + len(joining) - len(silent) >= MIN_VOTERS:
        retained = {a: m for a, m in retained.items() if a not in silent}
    vacancies = max(MAX_VOTERS - len(retained), 0)
    added = dict(sorted(joining.items())[:vacancies])
    desired = tuple(sorted((retained | added).values(), key=_by_address))
    return desired if set(desired) != set(members) else members


def _keeps_vote(address, member, eligible, nodes, silent_ms) -> bool:
    if eligible.get(address) == member:
        return True
    # One that is heard but not eligible has no disk while others have one.
    return (
        address not in nodes
        or silent_ms.get(address, RECENTLY_HEARD_MS) >= RECENTLY_HEARD_MS
    )


def _silent_voters(retained, silent_ms, leadership_ms) -> set[str]:
    if leadership_ms < REMOVE_SILENT_AFTER_MS:
        return set()
    return {
        address
        for address in retained
        if silent_ms.get(address, REMOVE_SILENT_AFTER_MS)
        >= REMOVE_SILENT_AFTER_MS
    }


def _by_address(member: msgs.Member) -> str:
    return member.address
