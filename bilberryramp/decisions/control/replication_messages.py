"""Messages between control replicas, and effects on their disk."""

import dataclasses

from bilberryramp.decisions.control import control_state

__all__ = [
    "Answer",
    "Append",
    "AppendReply",
    "Applied",
    "Forward",
    "ForwardReply",
    "HardState",
    "InstallSnapshot",
    "LeaderChanged",
    "PersistEntries",
    "PersistHardState",
    "PersistSnapshot",
    "Propose",
    "RequestVote",
    "Restored",
    "Snapshot",
    "StopReplica",
    "Tick",
    "TimeoutNow",
    "VoteReply",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; sent every few tens of milliseconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class StopReplica:
    """Hand over leadership and take no more proposals."""


@dataclasses.dataclass(slots=True, frozen=True)
class Propose:
    """Ask for a command to be committed.

    Attributes
    ----------
    origin, ask_id
        Whom to answer and under which id.
    command
        One of `commands`.
    """

    origin: str
    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class Forward:
    """A proposal passed from a follower to the leader."""

    sender: str
    origin: str
    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardReply:
    """The leader's result for a forwarded proposal."""

    sender: str
    origin: str
    command_id: str
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class RequestVote:
    """Ask for a vote, or with `pre` whether one would be given.

    Attributes
    ----------
    transfer
        Set when the leader itself asked the sender to take over.
    """

    sender: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class VoteReply:
    """The answer to `RequestVote`; `term` is the voter's."""

    sender: str
    term: int
    asked_term: int
    pre: bool
    granted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Append:
    """Entries after `prev_index`; a heartbeat when there are none.

    Attributes
    ----------
    sent_ms
        The leader's clock when it was sent, echoed in the reply.
    probe
        The follower's last probe number that the leader had received.
    """

    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[control_state.Entry, ...]
    commit_index: int
    sent_ms: int
    probe: int


@dataclasses.dataclass(slots=True, frozen=True)
class AppendReply:
    """How far the follower's synced log matches the leader's.

    Attributes
    ----------
    matched
        Whether the entries followed on from the follower's log.
    match_index
        The last matching index, or where to go back to.
    incarnation, admitted
        The follower's disk, and whether it may count for a quorum.
    """

    sender: str
    incarnation: str
    admitted: bool
    term: int
    matched: bool
    match_index: int
    sent_ms: int
    probe: int


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """The state machine after one entry."""

    index: int
    term: int
    state: control_state.ControlState


@dataclasses.dataclass(slots=True, frozen=True)
class InstallSnapshot:
    """A snapshot for a follower that needs entries no longer kept."""

    sender: str
    term: int
    snapshot: Snapshot
    sent_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class TimeoutNow:
    """Stand for election at once: the leader has given up its lease."""

    sender: str
    term: int


@dataclasses.dataclass(slots=True, frozen=True)
class HardState:
    """What must survive a restart besides the log.

    Attributes
    ----------
    term, voted_for
        The newest term seen, and the vote given in it.
    admitted_index
        Log index from which this disk may vote and count for a quorum;
        0 on a disk prepared when the cluster was created, -1 while its
        readmission is not known to be committed.
    """

    term: int
    voted_for: str
    admitted_index: int


@dataclasses.dataclass(slots=True, frozen=True)
class PersistEntries:
    """Write entries to disk, replacing any from the first one's index."""

    entries: tuple[control_state.Entry, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PersistHardState:
    """Write the hard state to disk."""

    hard_state: HardState


@dataclasses.dataclass(slots=True, frozen=True)
class PersistSnapshot:
    """Write a snapshot to disk and drop the log before `first_kept`."""

    snapshot: Snapshot
    first_kept: int


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """An entry took effect on this replica's state."""

    entry: control_state.Entry
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class Restored:
    """The state was replaced by a leader's snapshot at `index`."""

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The result of a proposal made at this replica."""

    origin: str
    command_id: str
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class LeaderChanged:
    """The replica changed its role or follows another leader."""

    phase: str
    term: int
    leader_id: str
