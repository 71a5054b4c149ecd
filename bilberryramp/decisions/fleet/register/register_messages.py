"""Messages and persistent types of the replicated register.

The field names are part of the encoding between nodes and on disk.
"""

import dataclasses

__all__ = [
    "Append",
    "AppendReply",
    "PeerHeartbeat",
    "Member",
    "Peer",
    "Record",
    "RequestVote",
    "CommittedDocument",
    "PersistentState",
    "VoteReply",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A voter, identified by its address and its store.

    Attributes
    ----------
    address
        Address of the node.
    store_id
        Id of its store. It distinguishes a node from a successor with an
        empty store at the same address.
    """

    address: str
    store_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """Identity and properties of a node, as sent in its heartbeats.

    Attributes
    ----------
    address
        Address for messages from other nodes; it identifies the node.
    store_id
        Id that was generated when the node's store was first used.
    name
        Name of the node in the settings.
    durable
        Whether the store is on a disk.
    operator_address
        Address for calls of operators.
    failure_domain
        Failure domain of the node's instance.
    is_stopping
        Whether the process is about to end by a planned stop.
    """

    address: str
    store_id: str
    name: str
    durable: bool
    operator_address: str
    failure_domain: str = ""
    is_stopping: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """Complete value of the register; each record replaces its predecessor.

    Attributes
    ----------
    term, seq
        Term and sequence number. Records are ordered by both, so those of a
        later leader follow all earlier ones.
    members
        Current voters.
    leaving
        Voters before a change of members; a majority of them is needed as
        well until the change is committed. Empty when no change is pending.
    version
        Version of the document, or -1 if there is none.
    body
        Document as it was submitted.
    holders
        Addresses of the nodes that order engines; see `order_holders`.
    holders_id, previous_holders_id
        Term and sequence number of the records that introduced these holders
        and the ones before them; (-1, -1) if there were none.
    """

    term: int
    seq: int
    members: tuple[Member, ...]
    leaving: tuple[Member, ...] = ()
    version: int = -1
    body: bytes = b""
    holders: tuple[str, ...] = ()
    holders_id: tuple[int, int] = (-1, -1)
    previous_holders_id: tuple[int, int] = (-1, -1)


@dataclasses.dataclass(slots=True, frozen=True)
class CommittedDocument:
    """A committed document, sent to nodes that have none yet.

    Attributes
    ----------
    version
        Version of the document.
    body
        Document as it was submitted.
    record_id
        Term and sequence number of the record that committed it; (-1, -1) in
        messages and stores of versions that did not state it. Those versions
        could take a record for committed that never was.
    """

    version: int
    body: bytes
    record_id: tuple[int, int] = (-1, -1)


@dataclasses.dataclass(slots=True, frozen=True)
class PersistentState:
    """State that a node must keep across restarts.

    Attributes
    ----------
    store_id
        Id of the store.
    term
        Newest term that the node has seen.
    voted_for
        Address of the node that got its vote in the term; empty if none.
    record
        Newest record, committed or not; None if there is none.
    settled
        Newest document known to be committed. After a restart the node
        serves it until it learns of one that was committed later.
    settled_holders_id
        Id of the newest list of holders that was committed for so long that
        no earlier holder can still act; (-1, -1) if there is none.
    """

    store_id: str
    term: int
    voted_for: str
    record: Record | None
    settled: CommittedDocument | None = None
    settled_holders_id: tuple[int, int] = (-1, -1)


@dataclasses.dataclass(slots=True, frozen=True)
class PeerHeartbeat:
    """Periodic heartbeat of a node to all other nodes.

    Attributes
    ----------
    sender
        Identity of the sending node.
    peers
        Addresses of the nodes that the sender has heard from recently.
    version
        Version of the document in force at the sender, or -1.
    hears_agents
        Whether the sender knows that the fleet has agents.
    """

    sender: Peer
    peers: tuple[str, ...]
    version: int
    hears_agents: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RequestVote:
    """Request for a vote, or for a pre-vote.

    Attributes
    ----------
    sender
        The candidate.
    term
        Term of the election.
    last_term, last_seq
        Term and sequence number of the candidate's record.
    pre
        Whether this is a pre-vote, which asks if a vote would be granted and
        changes nothing at the receiver.
    """

    sender: Member
    term: int
    last_term: int
    last_seq: int
    pre: bool


@dataclasses.dataclass(slots=True, frozen=True)
class VoteReply:
    """Answer to `RequestVote`.

    Attributes
    ----------
    sender
        The voter.
    term
        Newest term that the voter has seen.
    asked_term, pre
        Term and kind of the request.
    granted
        Whether the vote or pre-vote is granted.
    """

    sender: Member
    term: int
    asked_term: int
    pre: bool
    granted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Append:
    """Heartbeat of the leader, with its record for nodes that lack it.

    Attributes
    ----------
    sender, term
        The leader and its term.
    last
        Term and sequence number of the leader's record.
    committed
        Term and sequence number of the newest committed record.
    record
        The leader's record; None if the receiver has acknowledged it or if it
        was sent a short time ago.
    sent_ms
        Sending time on the leader's clock, which the reply repeats.
    echo
        The newest ``echo`` of the receiver's replies, which proves to the
        receiver how old this message can be; -1 if there is none.
    fleet_size
        Number of processes that share the slack of the retry budgets; 0 if
        the leader does not know it, or is of a version that does not count.
    counted_ms
        For how long the leader has counted the process that sent the echo, in
        milliseconds.
    """

    sender: Member
    term: int
    last: tuple[int, int]
    committed: tuple[int, int]
    record: Record | None
    sent_ms: int
    echo: int = -1
    fleet_size: int = 0
    counted_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class AppendReply:
    """Answer to `Append`.

    Attributes
    ----------
    sender, term
        The answering node and the newest term that it has seen.
    held
        Term and sequence number of the record in its store.
    sent_ms
        Sending time of the `Append` that is answered.
    echo
        Sending time of the reply, in a form that only this process of the
        sender recognizes.
    """

    sender: Member
    term: int
    held: tuple[int, int]
    sent_ms: int
    echo: int = -1
