"""Replicate the service document and the set of voters with leader leases.

The protocol is a variant of Raft for a single value. Each record replaces
the one before it, so no log is kept: the leader sends its newest record to
every node and commits it once a majority of the voters has stored it on
disk. While the set of voters changes, commits and elections need a majority
of the old voters and a majority of the new ones.

A voter is identified by its address and its store id. A node that finds its
store empty generates a new store id, so a node that lost its disk cannot
vote or count toward a commit until a committed change of members has added
its new store.

`step` maps a node, a time and a message to effects. The caller must perform
each `Persist` before any later `Send`. ``now_ms`` must come from a clock
that continues to run while the instance is suspended.
"""

import dataclasses
import random
from collections.abc import Iterator

from bilberryramp.decisions.fleet.limits import retry_shares, usage_issuer
from bilberryramp.decisions.fleet.orders import agent, order_holders
from bilberryramp.decisions.fleet.register import electorate
from bilberryramp.decisions.fleet.register import register_messages as msgs
from bilberryramp.decisions.shared import charting, effects

__all__ = [
    "GENESIS",
    "Committed",
    "LeaderChanged",
    "Node",
    "Persist",
    "Propose",
    "Proposed",
    "Read",
    "ReadAnswer",
    "StopRequested",
    "Tick",
    "actions",
    "awaits_handover",
    "guards",
    "leadership",
    "leads",
    "new_node",
    "recent_leader_address",
    "retry_share",
    "standing",
    "step",
]

# Store id of a node that belongs to the initial set of voters.
GENESIS = "genesis"

# Interval of the heartbeats of every node to all others.
PEER_HEARTBEAT_MS = 700
# While no leader is known, heartbeats are sent more often, so that the
# connections are open by the first election after all nodes have started.
LEADERLESS_PEER_HEARTBEAT_MS = 150
# Intervals of the leader's heartbeats to voters and to learners.
LEADER_HEARTBEAT_MS = 120
LEARNER_HEARTBEAT_MS = 360
# The lease is a fifth shorter than ELECTION_MS, so it expires before the
# followers may vote again even if the clocks drift by a fifth.
LEASE_MS = 520
# Time without a leader after which a node starts an election, and the bound of
# the random time that is added so that nodes rarely start at the same moment.
ELECTION_MS = 650
ELECTION_SPREAD_MS = 400
# A pre-vote without a majority is repeated after this time plus a random
# delay of up to the same length. It can be short because a pre-vote does not
# raise the term, and because voters that started slightly later refuse only
# until ELECTION_MS after their own start.
PRE_VOTE_RETRY_MS = 150
# Time without an acknowledgement after which a record is sent again.
RESEND_MS = 400
# Time without a heartbeat after which a peer is removed from the roster.
# Its address is kept, and heartbeats go to it, for three times as long.
PEER_EXPIRY_MS = 10_000
# Limits on the heartbeats that a node sends at a time, and on the addresses
# that they mention together, so that their cost does not grow with the square
# of the number of nodes. In larger fleets, targets and mentioned addresses
# take turns. With 400 nodes, each peer still gets a heartbeat well within
# PEER_EXPIRY_MS.
MAX_HEARTBEAT_TARGETS = 48
MAX_MENTIONS = 2048
MIN_MENTIONS_PER_HEARTBEAT = 8
# Time for which the planned end of a process waits for its vote to pass to
# another node; an election and a change of voters take about two seconds.
HANDOVER_MS = 4000
# Bits of an `AppendReply.echo` that hold a time in milliseconds; the bits
# above them identify the process.
ECHO_TIME_BITS = 42


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Periodic message that lets a node act on elapsed time."""


@dataclasses.dataclass(slots=True, frozen=True)
class StopRequested:
    """Message that the process is about to end by a planned stop.

    The node tells the others at once, so that its vote passes to another node
    before the process ends.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class Propose:
    """Request to commit a document.

    It is answered by `Proposed` with the same ``request_id``.

    Attributes
    ----------
    request_id
        Identifier that the answer repeats.
    version
        Version of the document.
    body
        Encoded document.
    """

    request_id: int
    version: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Request for the newest committed document.

    It is answered by `ReadAnswer` with the same ``request_id``.

    Attributes
    ----------
    request_id
        Identifier that the answer repeats.
    """

    request_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class Proposed:
    """Answer to `Propose`.

    Attributes
    ----------
    request_id
        Identifier of the request.
    done
        True if the proposed document or a newer one is committed; False if
        the outcome is unknown or this node is not the leader.
    leader
        Operator address of the leader; empty if unknown.
    """

    request_id: int
    done: bool
    leader: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReadAnswer:
    """Answer to `Read`.

    Attributes
    ----------
    request_id
        Identifier of the request.
    body
        Newest committed document, encoded; None if this node cannot prove
        which document is the newest.
    leader
        Operator address of the leader to ask instead; empty if unknown.
    """

    request_id: int
    body: bytes | None
    leader: str


@dataclasses.dataclass(slots=True, frozen=True)
class Persist:
    """Write the state to disk and sync it before any later effect.

    Attributes
    ----------
    stored
        Complete state to write.
    """

    stored: msgs.PersistentState


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """Notification that a document is committed and now in force.

    Attributes
    ----------
    version
        Version of the document.
    body
        Document as it was submitted.
    record_id
        Term and sequence number of the record that committed it.
    """

    version: int
    body: bytes
    record_id: tuple[int, int] = (-1, -1)


@dataclasses.dataclass(slots=True, frozen=True)
class LeaderChanged:
    """Notification that this node's view of the leadership has changed.

    Attributes
    ----------
    leads
        Whether this node is now the leader.
    term
        Newest term that this node has seen.
    leader
        Operator address of the leader; empty if unknown.
    """

    leads: bool
    term: int
    leader: str


@dataclasses.dataclass(slots=True)
class FollowerProgress:
    """Replication state of one node, as the leader knows it.

    A record is identified by its term and sequence number.

    Attributes
    ----------
    acked_id
        Newest record that the node has acknowledged as stored.
    sent_id, sent_ms
        Record that was last sent to the node, and the time of sending.
    acked_sent_ms
        Sending time of the newest heartbeat that the node has answered. The
        lease counts from it.
    last_heartbeat_ms
        Time of the last heartbeat to the node.
    announced_ids
        The leader's newest and newest committed record, as stated in that
        heartbeat.
    store_id
        Store id in the node's last reply.
    echo
        Newest echo in the node's replies; -1 if there is none.
    """

    acked_id: tuple[int, int] = (-1, -1)
    sent_id: tuple[int, int] = (-1, -1)
    sent_ms: int = -(10**9)
    acked_sent_ms: int = -(10**9)
    last_heartbeat_ms: int = -(10**9)
    announced_ids: tuple = ()
    store_id: str = ""
    echo: int = -1


@dataclasses.dataclass(slots=True)
class Node:
    """State of one node; its phases are those of ``member.yaml``.

    Attributes
    ----------
    me
        Identity of this node.
    seeds
        Addresses of the first nodes to contact.
    chart
        Bound chart.
    rng
        Source of random election timeouts.
    record
        Newest record stored here, committed or not.
    term
        Newest term that this node has seen.
    voted_for
        Address of the node that got this node's vote in the term; empty if
        no vote was given.
    committed
        Term and sequence number of the newest record known to be committed.
    committed_document
        Newest document known to be committed.
    in_force_version
        Version of the document in the last `Committed` effect, or -1.
    published_id
        Term and sequence number of the last committed record whose document
        was put in force, or found to be in force already.
    leader
        Address of the leader; empty if unknown.
    leader_heard_ms
        When the leader was last heard from, or when this node started or
        became the leader.
    election_due_ms, peer_heartbeat_due_ms, leader_heartbeat_due_ms
        When the next election, the next heartbeat to all peers and the next
        leader's heartbeat is due.
    led_since_ms
        When this node last became the leader.
    peers, heard_ms
        Other nodes by address, and when each was last heard from.
    address_seen_ms
        When each address was last mentioned in a heartbeat.
    followers
        Replication state by address; used by the leader only.
    votes
        Members that voted for this node in the current election or pre-vote.
    pending_proposals
        Pairs of the sequence number that must be committed and the id of
        the request to answer once the voters may confirm it.
    started_ms
        When this process started.
    stopping_since_ms
        When its planned stop was requested; -1 if it was not.
    tolerated_losses
        Number of disks that the fleet may lose at the same time.
    heartbeat_turn
        Number of times that heartbeats were sent to the peers.
    process_number
        Random number that distinguishes this process from earlier ones.
    chooses_holders
        Whether this node, as the leader, chooses holders that order engines.
    defers_to_agents
        Whether it chooses the first holders only if no agent is heard within
        `order_holders.AGENT_OBSERVATION_MS`.
    hears_agents
        Whether this node knows that the fleet has agents.
    standing
        Newest committed list of holders, and as of when it is proved.
    standing_since_ms
        When this process first had a proof of that list.
    settled_holders_id
        As in `PersistentState`.
    shares
        Division of the slack of the retry budgets; None if this node takes no
        part in it.
    key, phase, timer
        State of the chart: key of its timers, current state, and token of
        the current timer.
    """

    me: msgs.Peer
    seeds: tuple[str, ...]
    chart: charting.Chart
    rng: random.Random
    record: msgs.Record | None = None
    term: int = 0
    voted_for: str = ""
    committed: tuple[int, int] = (-1, -1)
    committed_document: msgs.CommittedDocument | None = None
    in_force_version: int = -1
    published_id: tuple[int, int] = (-1, -1)
    leader: str = ""
    leader_heard_ms: int = 0
    election_due_ms: int = 0
    peer_heartbeat_due_ms: int = 0
    leader_heartbeat_due_ms: int = 0
    led_since_ms: int = 0
    peers: dict[str, msgs.Peer] = dataclasses.field(default_factory=dict)
    heard_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    address_seen_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    followers: dict[str, FollowerProgress] = dataclasses.field(
        default_factory=dict
    )
    votes: set = dataclasses.field(default_factory=set)
    pending_proposals: list[tuple[int, int]] = dataclasses.field(
        default_factory=list
    )
    started_ms: int = 0
    stopping_since_ms: int = -1
    tolerated_losses: int = 0
    heartbeat_turn: int = 0
    process_number: int = 0
    chooses_holders: bool = False
    defers_to_agents: bool = False
    hears_agents: bool = False
    standing: order_holders.Standing = dataclasses.field(
        default_factory=order_holders.Standing
    )
    standing_since_ms: int = 0
    settled_holders_id: tuple[int, int] = order_holders.NO_LIST
    shares: retry_shares.Shares | None = None
    key: str = "member"
    phase: str = "learner"
    timer: int = 0


def new_node(
    me: msgs.Peer,
    seeds: tuple[str, ...],
    chart: charting.Chart,
    rng: random.Random,
    now_ms: int,
    stored: msgs.PersistentState | None,
) -> Node:
    """Create a node from its persistent state.

    Parameters
    ----------
    me
        Identity of the node.
    seeds
        Addresses of the first nodes to contact.
    chart
        Bound ``member`` chart.
    rng
        Source of random election timeouts.
    now_ms
        Current time in milliseconds. The node grants no vote until
        `ELECTION_MS` later, since a leader may hold a lease that the node
        acknowledged before it restarted.
    stored
        State read from disk; None if the store is empty. A settled document
        without a record id is not used, since it may never have been
        committed.

    Returns
    -------
    Node
        A follower if its record names it as a voter, otherwise a learner.
    """
    node = Node(me, seeds, chart, rng)
    if stored is not None:
        node.term, node.voted_for = stored.term, stored.voted_for
        node.record = stored.record
        if _is_proved(stored.settled):
            node.committed_document = stored.settled
        node.settled_holders_id = stored.settled_holders_id
        _restore_standing(node)
    if node.record is None and me.store_id == GENESIS:
        seed_members = tuple(
            msgs.Member(seed, GENESIS) for seed in sorted(seeds)
        )
        node.record = msgs.Record(0, 0, seed_members)
    node.leader_heard_ms = node.started_ms = now_ms
    _set_election_due(node, now_ms)
    for _ in _update_voter_status(node, now_ms):
        # A node that starts does not lead, so it has no leadership to resign.
        pass
    return node


def leads(node: Node, now_ms: int) -> bool:
    """Return whether this node is the leader and holds the lease.

    Parameters
    ----------
    node
        State of the node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True while a majority has answered within `LEASE_MS` and a record of
        the current term is committed; no other node can lead then.
    """
    return (
        node.phase == "leader"
        and node.committed[0] == node.term
        and _has_lease(node, now_ms)
    )


def awaits_handover(node: Node, now_ms: int) -> bool:
    """Return whether a node that stops still has a vote to hand over.

    Parameters
    ----------
    node
        State of the node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        True, for at most `HANDOVER_MS`, if the node is a voter and the others
        are enough without it.
    """
    if node.stopping_since_ms < 0 or node.record is None:
        return False
    own = _own_member(node)
    if own not in electorate.voters(node.record):
        return False
    desired = electorate.desired_voters(
        node.record.members, _observation(node, now_ms)
    )
    is_due = now_ms - node.stopping_since_ms < HANDOVER_MS
    return is_due and own not in desired


def leadership(node: Node, now_ms: int) -> usage_issuer.Leadership:
    """Return the proof that this node leads.

    Parameters
    ----------
    node
        State of the node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Leadership
        With the time until which no other node can lead; with -1 if another
        may.
    """
    if not leads(node, now_ms):
        return usage_issuer.Leadership()
    sent_ms = (p.acked_sent_ms for p in node.followers.values())
    ends_ms = sorted({ms + LEASE_MS - 1 for ms in sent_ms}, reverse=True)
    until_ms = next((ms for ms in ends_ms if _has_lease(node, ms)), now_ms)
    return usage_issuer.Leadership(node.term, max(until_ms, now_ms))


def recent_leader_address(node: Node, now_ms: int) -> str:
    """Return the operator address of the leader if it was heard from recently.

    Parameters
    ----------
    node
        State of the node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    str
        Operator address; empty if this node is the leader or if no leader
        was heard from within `ELECTION_MS`.
    """
    is_recent = now_ms - node.leader_heard_ms < ELECTION_MS
    peer = node.peers.get(node.leader)
    return peer.operator_address if is_recent and peer is not None else ""


def standing(node: Node, now_ms: int) -> order_holders.Standing:
    """Return the newest list of holders that this node knows to be committed.

    Parameters
    ----------
    node
        State of the node. Modified in place on the leader, whose lease proves
        the list as of now.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Standing
        The list, and the latest time as of which it is proved.
    """
    if leads(node, now_ms) and node.committed == _record_id(node):
        _set_standing(node, now_ms)
    return node.standing


def retry_share(node: Node, now_ms: int) -> retry_shares.Share:
    """Return the part of the slack of the retry budgets that this node has.

    Parameters
    ----------
    node
        State of the node. Modified in place on the leader, which grants a
        lease to itself.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Share
        The part, with the time until which it is valid.
    """
    if node.shares is None:
        return retry_shares.Share()
    if leads(node, now_ms):
        own = retry_shares.state_size(node.shares, "", now_ms)
        retry_shares.accept_statement(node.shares, own, now_ms, now_ms)
    return retry_shares.current_share(node.shares, now_ms)


def _restore_standing(node: Node) -> None:
    """Take a settled list of holders, without a proof, from the disk.

    A holder that finds the same list in force has held its engines without a
    gap, because no list ever returns.
    """
    record = node.record
    if record is not None and record.holders_id == node.settled_holders_id:
        node.standing = order_holders.Standing(
            record.holders, record.holders_id, record.previous_holders_id
        )


def _settle_standing(node: Node, now_ms: int) -> Iterator:
    list_id = node.standing.list_id
    if (
        list_id != node.settled_holders_id
        and now_ms - node.standing_since_ms >= order_holders.SETTLED_AFTER_MS
    ):
        node.settled_holders_id = list_id
        yield _persist_state(node)


def _set_standing(node: Node, as_of_ms: int) -> None:
    record = node.record
    if node.standing.list_id != record.holders_id:
        node.standing_since_ms = as_of_ms
    node.standing = order_holders.Standing(
        record.holders,
        record.holders_id,
        record.previous_holders_id,
        as_of_ms,
    )


def step(node: Node, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    node
        State of the node. Modified in place.
    now_ms
        Current time in milliseconds.
    message
        `Tick`, `Propose`, `Read`, `StopRequested` or a message of
        `register_messages`.

    Yields
    ------
    effect
        `Persist`, `Send`, `Committed`, `LeaderChanged`, `Proposed` or
        `ReadAnswer`.
    """
    yield from _HANDLERS[type(message)](node, now_ms, message)


# Heartbeats between all nodes.


def _on_tick(node: Node, now_ms: int, _message) -> Iterator:
    if node.in_force_version < 0 and node.committed_document is not None:
        yield from _put_in_force(node, node.committed_document)
    if now_ms >= node.peer_heartbeat_due_ms:
        node.peer_heartbeat_due_ms = now_ms + (
            PEER_HEARTBEAT_MS if node.leader else LEADERLESS_PEER_HEARTBEAT_MS
        )
        yield from _send_peer_heartbeats(node, now_ms)
    yield from _settle_standing(node, now_ms)
    if node.phase == "leader":
        yield from _tick_leader(node, now_ms)
    elif now_ms >= node.election_due_ms:
        _set_election_due(node, now_ms)
        yield from _fire_event(node, "election_timeout", now_ms)


def _send_peer_heartbeats(node: Node, now_ms: int) -> Iterator:
    _drop_silent_peers(node, now_ms)
    heartbeat = _peer_heartbeat(node)
    voters = electorate.voters(node.record) if node.record else ()
    always = {*node.seeds, *(v.address for v in voters)} - {node.me.address}
    others = sorted(set(node.address_seen_ms) - always - {node.me.address})
    in_turn = _take_turn(others, MAX_HEARTBEAT_TARGETS, node.heartbeat_turn)
    node.heartbeat_turn += 1
    for address in sorted((*always, *in_turn)):
        yield effects.Send(address, heartbeat)


def _on_stop_requested(node: Node, now_ms: int, _message) -> Iterator:
    node.me = dataclasses.replace(node.me, is_stopping=True)
    node.stopping_since_ms = now_ms
    yield from _send_peer_heartbeats(node, now_ms)
    if node.phase == "leader":
        yield from _update_voters(node, now_ms)


def _take_turn(addresses: list[str], count: int, turn: int) -> list[str]:
    """Return up to `count` addresses, others in each turn."""
    if len(addresses) <= count:
        return addresses
    start = turn * count % len(addresses)
    return (addresses[start:] + addresses[:start])[:count]


def _drop_silent_peers(node: Node, now_ms: int) -> None:
    """Remove peers and addresses that were silent for too long."""
    for address, heard_at_ms in list(node.heard_ms.items()):
        if now_ms - heard_at_ms > PEER_EXPIRY_MS:
            node.heard_ms.pop(address)
            node.peers.pop(address, None)
    for address, seen_at_ms in list(node.address_seen_ms.items()):
        if now_ms - seen_at_ms > 3 * PEER_EXPIRY_MS:
            node.address_seen_ms.pop(address)


def _on_peer_heartbeat(
    node: Node, now_ms: int, heartbeat: msgs.PeerHeartbeat
) -> Iterator:
    address = heartbeat.sender.address
    is_new = address not in node.peers
    node.peers[address] = heartbeat.sender
    node.heard_ms[address] = now_ms
    node.hears_agents |= heartbeat.hears_agents
    for mentioned in (address, *heartbeat.peers):
        if mentioned != node.me.address:
            node.address_seen_ms[mentioned] = now_ms
    if is_new:
        yield effects.Send(address, _peer_heartbeat(node))
    if heartbeat.version < 0 and node.committed_document is not None:
        yield effects.Send(address, node.committed_document)


def _peer_heartbeat(node: Node) -> msgs.PeerHeartbeat:
    addresses = list(node.peers)
    count = max(
        MAX_MENTIONS // max(len(addresses), 1), MIN_MENTIONS_PER_HEARTBEAT
    )
    mentioned = _take_turn(addresses, count, node.heartbeat_turn)
    return msgs.PeerHeartbeat(
        node.me, tuple(mentioned), node.in_force_version, node.hears_agents
    )


def _on_committed_document(node: Node, _now_ms: int, document) -> Iterator:
    if _is_proved(document):
        yield from _put_in_force(node, document)


def _is_proved(document: msgs.CommittedDocument | None) -> bool:
    """Return whether a document names the record that committed it."""
    return document is not None and document.record_id >= (0, 0)


def _put_in_force(node: Node, document: msgs.CommittedDocument) -> Iterator:
    """Put a committed document in force unless it is older."""
    if document.version > node.in_force_version:
        node.committed_document = document
        node.in_force_version = document.version
        yield Committed(document.version, document.body, document.record_id)


# Elections.


def _set_election_due(node: Node, now_ms: int) -> None:
    spread = node.rng.randrange(ELECTION_SPREAD_MS)
    node.election_due_ms = now_ms + ELECTION_MS + spread


def _request_pre_votes(node: Node, now_ms: int, _payload) -> Iterator:
    node.leader = ""
    retry_ms = PRE_VOTE_RETRY_MS + node.rng.randrange(PRE_VOTE_RETRY_MS)
    node.election_due_ms = now_ms + retry_ms
    yield from _send_vote_requests(node, now_ms, node.term + 1, pre=True)


def _request_votes(node: Node, now_ms: int, _payload) -> Iterator:
    node.term += 1
    node.voted_for = node.me.address
    _set_election_due(node, now_ms)
    yield _persist_state(node)
    yield from _send_vote_requests(node, now_ms, node.term, pre=False)


def _send_vote_requests(
    node: Node, now_ms: int, term: int, pre: bool
) -> Iterator:
    node.votes = {_own_member(node)}
    last_term, last_seq = _record_id(node)
    req = msgs.RequestVote(_own_member(node), term, last_term, last_seq, pre)
    for member in electorate.voters(node.record):
        if member != _own_member(node):
            yield effects.Send(member.address, req)
    yield from _count_votes(node, now_ms, pre)


def _count_votes(node: Node, now_ms: int, pre: bool) -> Iterator:
    if electorate.is_quorum(node.record, node.votes):
        event = "pre_vote_won" if pre else "vote_won"
        yield from _fire_event(node, event, now_ms)


def _on_request_vote(node: Node, now_ms: int, req) -> Iterator:
    # A vote within ELECTION_MS of the leader's last heartbeat would allow a
    # second leader while the first still holds its lease.
    lease_may_hold = now_ms - node.leader_heard_ms < ELECTION_MS
    lease_may_hold = lease_may_hold or node.phase == "leader"
    if not req.pre and req.term > node.term and not lease_may_hold:
        yield from _adopt_term(node, now_ms, req.term)
    granted = not lease_may_hold and _may_grant_vote(node, req)
    if granted and not req.pre:
        node.voted_for = req.sender.address
        _set_election_due(node, now_ms)
        yield _persist_state(node)
    reply = msgs.VoteReply(
        _own_member(node), node.term, req.term, req.pre, granted
    )
    yield effects.Send(req.sender.address, reply)


def _may_grant_vote(node: Node, req: msgs.RequestVote) -> bool:
    if node.record is None or (req.last_term, req.last_seq) < _record_id(node):
        return False
    if req.pre:
        return req.term > node.term
    return req.term == node.term and node.voted_for in (
        "",
        req.sender.address,
    )


def _on_vote_reply(node: Node, now_ms: int, reply) -> Iterator:
    if reply.term > node.term:
        yield from _adopt_term(node, now_ms, reply.term)
        return
    expected_phase = "pre_candidate" if reply.pre else "candidate"
    expected_term = node.term + 1 if reply.pre else node.term
    if node.phase != expected_phase or reply.asked_term != expected_term:
        return
    if reply.granted:
        node.votes.add(reply.sender)
        yield from _count_votes(node, now_ms, reply.pre)


def _adopt_term(node: Node, now_ms: int, term: int) -> Iterator:
    """Store a newer term, without a vote, and become a follower."""
    node.term, node.voted_for = term, ""
    node.leader = ""
    yield _persist_state(node)
    yield from _fire_event(node, "leader_heard", now_ms)
    yield from _update_voter_status(node, now_ms)


def _become_leader(node: Node, now_ms: int, _payload) -> Iterator:
    node.leader = node.me.address
    node.leader_heard_ms = now_ms
    node.led_since_ms = now_ms
    node.followers = {}
    if node.shares is not None:
        retry_shares.start_leading(node.shares, now_ms)
    yield LeaderChanged(True, node.term, node.me.operator_address)
    yield from _replace_record(node, now_ms)


def _step_down(node: Node, now_ms: int, _payload) -> Iterator:
    _set_election_due(node, now_ms)
    pending, node.pending_proposals = node.pending_proposals, []
    yield LeaderChanged(False, node.term, "")
    for _, request_id in pending:
        yield Proposed(request_id, False, "")


# Replication.


def _replace_record(node: Node, now_ms: int, **changes) -> Iterator:
    """Store a successor of the record and send it to all nodes."""
    seq = node.record.seq + 1
    node.record = dataclasses.replace(
        node.record, term=node.term, seq=seq, **changes
    )
    yield from _send_leader_heartbeats(node, now_ms)
    yield _persist_state(node)
    own = node.followers.setdefault(node.me.address, FollowerProgress())
    own.acked_id, own.store_id = _record_id(node), node.me.store_id
    yield from _try_commit(node, now_ms)


def _tick_leader(node: Node, now_ms: int) -> Iterator:
    if not _has_lease(node, now_ms):
        # A new leader first has to receive acknowledgements.
        is_grace_over = now_ms - node.led_since_ms > ELECTION_MS
        if is_grace_over:
            yield from _fire_event(node, "lease_lost", now_ms)
            yield from _update_voter_status(node, now_ms)
            return
    if now_ms >= node.leader_heartbeat_due_ms:
        yield from _send_leader_heartbeats(node, now_ms)
    yield from _answer_proposals(node, now_ms)
    yield from _update_voters(node, now_ms)
    yield from _update_holders(node, now_ms)


def _has_lease(node: Node, now_ms: int) -> bool:
    """Return whether a quorum has acknowledged a recent enough heartbeat."""
    acked = {_own_member(node)}
    for address, progress in node.followers.items():
        if now_ms - progress.acked_sent_ms < LEASE_MS:
            acked.add(msgs.Member(address, progress.store_id))
    return electorate.is_quorum(node.record, acked)


def _send_leader_heartbeats(node: Node, now_ms: int) -> Iterator:
    """Send a heartbeat, with the record for nodes that lack it.

    Learners get one only when the record has changed or every
    `LEARNER_HEARTBEAT_MS`.
    """
    node.leader_heartbeat_due_ms = now_ms + LEADER_HEARTBEAT_MS
    states_size = node.shares is not None and leads(node, now_ms)
    members = {m.address for m in electorate.voters(node.record)}
    for address in sorted((members | set(node.peers)) - {node.me.address}):
        progress = node.followers.setdefault(address, FollowerProgress())
        is_due = now_ms - progress.last_heartbeat_ms >= LEARNER_HEARTBEAT_MS
        is_announced = progress.announced_ids == (
            _record_id(node),
            node.committed,
        )
        is_often = address in members or address in node.record.holders
        if is_often or is_due or not is_announced:
            progress.last_heartbeat_ms = now_ms
            progress.announced_ids = (_record_id(node), node.committed)
            yield _append_to(node, now_ms, address, states_size)


def _append_to(
    node: Node, now_ms: int, address: str, states_size: bool
) -> effects.Send:
    """Build a leader's heartbeat, with the record if the node lacks it."""
    progress = node.followers.setdefault(address, FollowerProgress())
    record_id = _record_id(node)
    is_missing = progress.acked_id != record_id
    is_due = (
        progress.sent_id != record_id or now_ms - progress.sent_ms >= RESEND_MS
    )
    record = None
    if is_missing and is_due:
        record = node.record
        progress.sent_id, progress.sent_ms = record_id, now_ms
    stated = retry_shares.Statement()
    if states_size:
        stated = retry_shares.state_size(node.shares, address, now_ms)
    message = msgs.Append(
        _own_member(node),
        node.term,
        record_id,
        node.committed,
        record,
        now_ms,
        progress.echo,
        stated.fleet_size,
        stated.counted_ms,
    )
    return effects.Send(address, message)


def _on_append(node: Node, now_ms: int, message: msgs.Append) -> Iterator:
    if message.term < node.term:
        yield _reply_to_append(node, now_ms, message)
        return
    if message.term > node.term:
        node.term, node.voted_for = message.term, ""
        yield _persist_state(node)
    if node.leader != message.sender.address:
        node.leader = message.sender.address
        yield LeaderChanged(
            False, node.term, recent_leader_address(node, now_ms)
        )
    node.leader_heard_ms = now_ms
    _set_election_due(node, now_ms)
    yield from _fire_event(node, "leader_heard", now_ms)
    new_record = message.record
    if new_record is not None and (
        new_record.term,
        new_record.seq,
    ) > _record_id(node):
        node.record = new_record
        yield _persist_state(node)
        yield from _update_voter_status(node, now_ms)
    node.committed = max(node.committed, message.committed)
    yield from _publish_committed(node)
    _confirm_standing(node, now_ms, message)
    _renew_share(node, now_ms, message)
    yield _reply_to_append(node, now_ms, message)


def _confirm_standing(node: Node, now_ms: int, message: msgs.Append) -> None:
    """Prove the list of holders by the echo in a leader's heartbeat.

    The leader sent the heartbeat after it had received the echo, and its
    newest record was committed and is the one stored here.
    """
    as_of_ms = _proved_as_of_ms(node, now_ms, message)
    if as_of_ms >= 0 and message.last == message.committed == _record_id(node):
        is_same = node.record.holders_id == node.standing.list_id
        earlier_ms = node.standing.as_of_ms if is_same else as_of_ms
        _set_standing(node, max(as_of_ms, earlier_ms))


def _renew_share(node: Node, now_ms: int, message: msgs.Append) -> None:
    """Renew the lease on a part of the retry budgets' slack."""
    as_of_ms = _proved_as_of_ms(node, now_ms, message)
    if node.shares is not None and as_of_ms >= 0:
        stated = retry_shares.Statement(message.fleet_size, message.counted_ms)
        retry_shares.accept_statement(node.shares, stated, as_of_ms, now_ms)


def _proved_as_of_ms(node: Node, now_ms: int, message: msgs.Append) -> int:
    """Return a time before which a heartbeat cannot have been sent.

    The result is -1 if the heartbeat does not repeat an echo of this process.
    """
    process_number = message.echo >> ECHO_TIME_BITS
    as_of_ms = message.echo & ((1 << ECHO_TIME_BITS) - 1)
    is_own = message.echo >= 0 and process_number == node.process_number
    return as_of_ms if is_own and as_of_ms <= now_ms else -1


def _reply_to_append(
    node: Node, now_ms: int, message: msgs.Append
) -> effects.Send:
    reply = msgs.AppendReply(
        _own_member(node),
        node.term,
        _record_id(node),
        message.sent_ms,
        (node.process_number << ECHO_TIME_BITS) + now_ms,
    )
    return effects.Send(message.sender.address, reply)


def _on_append_reply(node: Node, now_ms: int, reply) -> Iterator:
    if reply.term > node.term:
        yield from _adopt_term(node, now_ms, reply.term)
        return
    if node.phase != "leader" or reply.term != node.term:
        return
    progress = node.followers.setdefault(
        reply.sender.address, FollowerProgress()
    )
    if progress.store_id != reply.sender.store_id:
        progress.acked_id = (-1, -1)
        progress.store_id = reply.sender.store_id
    progress.acked_id = max(progress.acked_id, reply.held)
    progress.acked_sent_ms = max(progress.acked_sent_ms, reply.sent_ms)
    progress.echo = reply.echo
    if node.shares is not None:
        retry_shares.record_process(
            node.shares,
            reply.sender.address,
            reply.echo >> ECHO_TIME_BITS,
            now_ms,
        )
    yield from _try_commit(node, now_ms)


def _try_commit(node: Node, now_ms: int) -> Iterator:
    """Commit the leader's record if a quorum has stored it."""
    record_id = _record_id(node)
    if node.committed >= record_id or node.phase != "leader":
        return
    acked_members = {
        msgs.Member(address, progress.store_id)
        for address, progress in node.followers.items()
        if progress.acked_id == record_id
    }
    if not electorate.is_quorum(node.record, acked_members):
        return
    node.committed = record_id
    yield from _publish_committed(node)
    yield from _answer_proposals(node, now_ms)
    if node.record.leaving:
        yield from _replace_record(node, now_ms, leaving=())
    else:
        yield from _send_leader_heartbeats(node, now_ms)
        yield from _update_voter_status(node, now_ms)


def _answer_proposals(node: Node, now_ms: int) -> Iterator:
    """Confirm committed documents once the tolerated losses spare them."""
    if not node.pending_proposals or not _may_confirm(node, now_ms):
        return
    pending, node.pending_proposals = node.pending_proposals, []
    for seq, request_id in pending:
        if seq <= node.record.seq:
            yield Proposed(request_id, True, "")
        else:
            node.pending_proposals.append((seq, request_id))


def _may_confirm(node: Node, now_ms: int) -> bool:
    return node.committed == _record_id(node) and electorate.may_confirm(
        node.record, _observation(node, now_ms)
    )


def _observation(node: Node, now_ms: int) -> electorate.Observation:
    silence_ms = {
        address: now_ms - heard_ms
        for address, heard_ms in node.heard_ms.items()
    }
    own = node.me.address
    return electorate.Observation(
        {**node.peers, own: node.me},
        silence_ms | {own: 0},
        now_ms - node.started_ms,
        now_ms - node.led_since_ms,
        node.tolerated_losses,
    )


def _publish_committed(node: Node) -> Iterator:
    """Put the document of the record in force once it is committed.

    The record stored here may lack a quorum although a later one is
    committed: a leader that was cut off still holds its own. So only the
    committed record itself counts.
    """
    record_id = _record_id(node)
    if node.record is None or node.committed != record_id:
        return
    if record_id == node.published_id:
        return
    node.published_id = record_id
    if node.record.version > node.in_force_version:
        document = msgs.CommittedDocument(
            node.record.version, node.record.body, record_id
        )
        yield from _put_in_force(node, document)
        yield _persist_state(node)


# Requests of operators.


def _on_propose(node: Node, now_ms: int, req: Propose) -> Iterator:
    if node.phase != "leader":
        yield Proposed(
            req.request_id, False, recent_leader_address(node, now_ms)
        )
        return
    if req.version > node.record.version:
        node.pending_proposals.append((node.record.seq + 1, req.request_id))
        yield from _replace_record(
            node, now_ms, version=req.version, body=req.body
        )
    elif leads(node, now_ms) and _may_confirm(node, now_ms):
        yield Proposed(req.request_id, True, "")
    else:
        node.pending_proposals.append((node.record.seq, req.request_id))


def _on_read(node: Node, now_ms: int, req: Read) -> Iterator:
    if not leads(node, now_ms):
        yield ReadAnswer(
            req.request_id, None, recent_leader_address(node, now_ms)
        )
    elif node.committed == _record_id(node):
        yield ReadAnswer(req.request_id, node.record.body, "")
    else:
        yield ReadAnswer(req.request_id, None, "")


# Changes of the set of voters.


def _update_voters(node: Node, now_ms: int) -> Iterator:
    """Start a change of voters if one is desired and none is pending."""
    is_committed = (
        node.committed == _record_id(node) and not node.record.leaving
    )
    if not is_committed or not leads(node, now_ms):
        return
    desired = electorate.desired_voters(
        node.record.members, _observation(node, now_ms)
    )
    if desired != node.record.members:
        yield from _replace_record(
            node, now_ms, members=desired, leaving=node.record.members
        )


def _update_holders(node: Node, now_ms: int) -> Iterator:
    """Replace holders of engines that are lost, and fill free places."""
    record = node.record
    if (
        not node.chooses_holders
        or node.committed != _record_id(node)
        or record.leaving
        or not leads(node, now_ms)
        or not record.holders
        and _may_have_agents(node, now_ms)
    ):
        return
    desired = order_holders.desired_holders(
        record.holders,
        node.me.address,
        node.heard_ms,
        frozenset(
            peer.address
            for peer in (node.me, *node.peers.values())
            if peer.durable
        ),
        now_ms,
        now_ms - node.led_since_ms,
        now_ms - max(node.standing_since_ms, node.led_since_ms),
    )
    if desired != record.holders:
        yield from _replace_record(
            node,
            now_ms,
            holders=desired,
            holders_id=(node.term, record.seq + 1),
            previous_holders_id=record.holders_id,
        )


def _may_have_agents(node: Node, now_ms: int) -> bool:
    """Return whether agents order the engines, or may be about to do so."""
    observed_ms = now_ms - node.led_since_ms
    return node.defers_to_agents and (
        node.hears_agents or observed_ms < order_holders.AGENT_OBSERVATION_MS
    )


def _on_agent_present(node: Node, _now_ms: int, _message) -> Iterator:
    node.hears_agents = True
    yield from ()


def _update_voter_status(node: Node, now_ms: int) -> Iterator:
    """Admit or remove this node as a voter, as its record says.

    A leader that is removed resigns. It does so once the record without its
    vote is committed, so that the next leader need not complete the change.
    """
    is_voter = node.record is not None and _own_member(
        node
    ) in electorate.voters(node.record)
    event = "admitted" if is_voter else "removed"
    yield from _fire_event(node, event, now_ms)


def _own_member(node: Node) -> msgs.Member:
    return msgs.Member(node.me.address, node.me.store_id)


def _record_id(node: Node) -> tuple[int, int]:
    if node.record is None:
        return (-1, -1)
    return (node.record.term, node.record.seq)


def _persist_state(node: Node) -> Persist:
    return Persist(
        msgs.PersistentState(
            node.me.store_id,
            node.term,
            node.voted_for,
            node.record,
            node.committed_document,
            node.settled_holders_id,
        )
    )


def _fire_event(node: Node, event: str, now_ms: int) -> Iterator:
    yield from charting.fire(node.chart, node, event, now_ms, None)


guards: dict = {}
actions = {
    "request_pre_votes": _request_pre_votes,
    "request_votes": _request_votes,
    "become_leader": _become_leader,
    "step_down": _step_down,
}

_HANDLERS = {
    Tick: _on_tick,
    StopRequested: _on_stop_requested,
    Propose: _on_propose,
    Read: _on_read,
    agent.AgentPresent: _on_agent_present,
    msgs.PeerHeartbeat: _on_peer_heartbeat,
    msgs.CommittedDocument: _on_committed_document,
    msgs.RequestVote: _on_request_vote,
    msgs.VoteReply: _on_vote_reply,
    msgs.Append: _on_append,
    msgs.AppendReply: _on_append_reply,
}
