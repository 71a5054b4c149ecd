"""Messages and stored types of the replicated register."""

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
    """A voter, told apart from an empty successor at the same address."""

    address: str
    store_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """What a node says of itself.

    Attributes
    ----------
    address
        Where it takes messages of other nodes; its identity.
    store_id
        Made when its store was first used.
    name
        Its name in settings.
    durable
        Whether its store is on a disk.
    operator_address
        Where it takes calls of operators.
    """

    address: str
    store_id: str
    name: str
    durable: bool
    operator_address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """The register's whole value; each one replaces the one before.

    Attributes
    ----------
    term, seq
        Order of records; a later leader's come after all earlier ones.
    members
        Who votes.
    leaving
        The voters before a change of members, whose majority is needed as
        well until the change is committed; else empty.
    version
        Version of the document.
    body
        The document as it was submitted.
    """

    term: int
    seq: int
    members: tuple[Member, ...]
    leaving: tuple[Member, ...] = ()
    version: int = -1
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class CommittedDocument:
    """A committed document, for nodes that have none yet."""

    version: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class PersistentState:
    """What a node must find again after a restart.

    Attributes
    ----------
    settled
        The newest document known to be committed. A node serves it after a
        restart until it hears of a newer one.
    """

    store_id: str
    term: int
    voted_for: str
    record: Record | None
    settled: CommittedDocument | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class PeerHeartbeat:
    """A node's sign of life to the others.

    Attributes
    ----------
    peers
        Addresses of nodes that the sender has heard lately.
    version
        Version of the document in force at the sender, or -1.
    """

    sender: Peer
    peers: tuple[str, ...]
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestVote:
    """Asks for a vote, or with `pre` whether one would be given."""

    sender: Member
    term: int
    last_term: int
    last_seq: int
    pre: bool


@dataclasses.dataclass(slots=True, frozen=True)
class VoteReply:
    """Answers `RequestVote`; `asked_term` is the term of the question."""

    sender: Member
    term: int
    asked_term: int
    pre: bool
    granted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Append:
    """A leader's heartbeat, with the record for those that lack it.

    Attributes
    ----------
    last
        Term and sequence of the leader's record.
    committed
        Term and sequence of the newest committed record.
    record
        None when the receiver is believed to hold it.
    sent_ms
        On the leader's clock; comes back in the reply.
    """

    sender: Member
    term: int
    last: tuple[int, int]
    committed: tuple[int, int]
    record: Record | None
    sent_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class AppendReply:
    """Tells the leader what the sender's store holds."""

    sender: Member
    term: int
    held: tuple[int, int]
    sent_ms: int
