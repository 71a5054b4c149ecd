"""Select the voters of the register and decide what is a quorum."""

from collections.abc import Collection

from bilberryramp.decisions.fleet.register import register_messages as msgs

__all__ = ["is_quorum", "voters", "desired_voters"]

# A voter that was silent for this long is removed if MIN_VOTERS others
# remain; it is added again when it returns. The time is below the four seconds
# after which the platform counts a replaced instance as gone, measured from
# the start of its successor.
REMOVE_SILENT_AFTER_MS = 2500
# A new leader listens for heartbeats for this long before it changes the
# voters.
LEADER_OBSERVATION_MS = 1000
# A node can become a voter only if it was last heard from within this time.
RECENTLY_HEARD_MS = 1500
# More voters would make each commit more expensive without tolerating more
# losses.
MAX_VOTERS = 7
MIN_VOTERS = 3


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


def desired_voters(
    members: tuple[msgs.Member, ...],
    leader: msgs.Peer,
    peers: dict[str, msgs.Peer],
    heard_ms: dict[str, int],
    now_ms: int,
    leadership_ms: int,
) -> tuple[msgs.Member, ...]:
    """Return the set of voters that the leader should establish.

    Nodes with a disk are eligible; if no node has one, all nodes are. A node
    that has returned with an empty store replaces the member with its old
    store. A silent voter is removed if `MIN_VOTERS` others remain.

    Parameters
    ----------
    members
        Current voters.
    leader
        Identity of the leader.
    peers
        The other nodes, by address.
    heard_ms
        When each of the other nodes was last heard from, by address.
    now_ms
        Current time in milliseconds.
    leadership_ms
        Time since the leader was elected, in milliseconds.

    Returns
    -------
    tuple of Member
        Desired voters in order of address; `members` itself if nothing is to
        change.
    """
    if leadership_ms < LEADER_OBSERVATION_MS:
        return members
    silence_ms = {
        address: now_ms - last_heard_ms
        for address, last_heard_ms in heard_ms.items()
    }
    silence_ms[leader.address] = 0
    nodes = {**peers, leader.address: leader}
    recent = {
        peer.address: msgs.Member(peer.address, peer.store_id)
        for peer in nodes.values()
        if silence_ms.get(peer.address, RECENTLY_HEARD_MS) < RECENTLY_HEARD_MS
    }
    durable = {
        address: member
        for address, member in recent.items()
        if nodes[address].durable
    }
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
        and _keeps_vote(address, member, eligible, nodes, silence_ms)
    }
    silent_addresses = _silent_voters(retained, silence_ms, leadership_ms)
    if len(retained) + len(joining) - len(silent_addresses) >= MIN_VOTERS:
        retained = {
            address: member
            for address, member in retained.items()
            if address not in silent_addresses
        }
    vacancies = max(MAX_VOTERS - len(retained), 0)
    added = dict(sorted(joining.items())[:vacancies])
    desired = tuple(sorted((retained | added).values(), key=_by_address))
    return desired if set(desired) != set(members) else members


def _keeps_vote(address, member, eligible, nodes, silence_ms) -> bool:
    if eligible.get(address) == member:
        return True
    # A node that was heard from recently and is not eligible has no disk while
    # other nodes have one, so it loses its vote.
    return (
        address not in nodes
        or silence_ms.get(address, RECENTLY_HEARD_MS) >= RECENTLY_HEARD_MS
    )


def _silent_voters(retained, silence_ms, leadership_ms) -> set[str]:
    if leadership_ms < REMOVE_SILENT_AFTER_MS:
        return set()
    return {
        address
        for address in retained
        if silence_ms.get(address, REMOVE_SILENT_AFTER_MS)
        >= REMOVE_SILENT_AFTER_MS
    }


def _by_address(member: msgs.Member) -> str:
    return member.address
