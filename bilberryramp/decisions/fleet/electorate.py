"""Who votes on the register, and what counts as a majority."""

from collections.abc import Collection

from bilberryramp.decisions.fleet import register_messages as msgs

__all__ = ["is_quorum", "voters", "wanted_members"]

# A voter silent this long is removed while at least three others remain; it
# is admitted again when it returns. The platform counts a replaced instance
# as gone four seconds after its successor started.
REMOVE_AFTER_MS = 2500
# A new leader watches this long before it changes the voters.
SETTLE_MS = 1000
# A node must have been heard this recently to become a voter.
FRESH_MS = 1500
# More voters make each commit dearer without bearing more losses.
MAX_MEMBERS = 7
MIN_MEMBERS = 3


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


def is_quorum(record: msgs.Record, present: Collection[msgs.Member]) -> bool:
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
    return _majority(record.members, present) and (
        not record.leaving or _majority(record.leaving, present)
    )


def _majority(members, present) -> bool:
    return 2 * sum(member in present for member in members) > len(members)


def wanted_members(
    members: tuple[msgs.Member, ...],
    me: msgs.Peer,
    peers: dict[str, msgs.Peer],
    heard_ms: dict[str, int],
    now_ms: int,
    led_ms: int,
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
    if led_ms < SETTLE_MS:
        return members
    silent_ms = {
        address: now_ms - heard for address, heard in heard_ms.items()
    }
    silent_ms[me.address] = 0
    nodes = {**peers, me.address: me}
    fresh = {
        peer.address: msgs.Member(peer.address, peer.store_id)
        for peer in nodes.values()
        if silent_ms.get(peer.address, FRESH_MS) < FRESH_MS
    }
    durable = {a: m for a, m in fresh.items() if nodes[a].durable}
    eligible = durable or fresh
    current = {member.address: member for member in members}
    joining = {
        address: member
        for address, member in eligible.items()
        if current.get(address) != member
    }
    kept = {
        address: member
        for address, member in current.items()
        if address not in joining
        and _is_eligible_still(address, member, eligible, nodes, silent_ms)
    }
    gone = _long_gone(kept, silent_ms, led_ms)
    if len(kept) + len(joining) - len(gone) >= MIN_MEMBERS:
        kept = {a: m for a, m in kept.items() if a not in gone}
    room = max(MAX_MEMBERS - len(kept), 0)
    added = dict(sorted(joining.items())[:room])
    wanted = tuple(sorted((kept | added).values(), key=_by_address))
    return wanted if set(wanted) != set(members) else members


def _is_eligible_still(address, member, eligible, nodes, silent_ms) -> bool:
    if eligible.get(address) == member:
        return True
    # One that is heard but not eligible has no disk while others have one.
    return address not in nodes or silent_ms.get(address, FRESH_MS) >= FRESH_MS


def _long_gone(kept, silent_ms, led_ms) -> set[str]:
    if led_ms < REMOVE_AFTER_MS:
        return set()
    return {
        address
        for address in kept
        if silent_ms.get(address, REMOVE_AFTER_MS) >= REMOVE_AFTER_MS
    }


def _by_address(member: msgs.Member) -> str:
    return member.address
