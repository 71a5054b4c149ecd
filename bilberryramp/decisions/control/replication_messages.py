"""Messages between control replicas, and their effects on disk."""

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
    """Check the timeouts; sent every few tens of milliseconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class StopReplica:
    """Transfer the leadership and refuse further proposals."""


@dataclasses.dataclass(slots=True, frozen=True)
class Propose:
    """Request that a command be committed.

    Attributes
    ----------
    origin
        Name of the process to send the result to; empty if the replica made
        the proposal itself.
    command_id
        Id of the command, repeated in the result.
    command
        Instance of a command class of the module `commands`.
    """

    origin: str
    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class Forward:
    """A proposal that a follower forwards to the leader.

    Attributes
    ----------
    sender
        Id of the follower.
    origin, command_id, command
        As in `Propose`.
    """

    sender: str
    origin: str
    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardReply:
    """The leader's result of a forwarded proposal.

    Attributes
    ----------
    sender
        Id of the leader.
    origin, command_id
        As in `Propose`.
    result
        Instance of a result class of the module `commands`.
    """

    sender: str
    origin: str
    command_id: str
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class RequestVote:
    """Request for a vote or a pre-vote.

    Attributes
    ----------
    sender
        Id of the candidate.
    term
        Term of the election.
    last_index, last_term
        Index and term of the candidate's last log entry.
    pre
        Whether this is a pre-vote, which only asks whether a vote would be
        granted.
    transfer
        Whether the leader asked the sender to take over; voters then
        grant the vote despite recent contact with that leader.
    """

    sender: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class VoteReply:
    """Reply to `RequestVote`.

    Attributes
    ----------
    sender
        Id of the voter.
    term
        Current term of the voter.
    asked_term
        Term of the request.
    pre
        Whether the request was for a pre-vote.
    granted
        Whether the vote or pre-vote was granted.
    """

    sender: str
    term: int
    asked_term: int
    pre: bool
    granted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Append:
    """Log entries from the leader; without entries it is a heartbeat.

    Attributes
    ----------
    sender
        Id of the leader.
    term
        Term of the leader.
    prev_index, prev_term
        Index and term of the entry before the first of `entries`.
    entries
        Entries with consecutive indices; may be empty.
    commit_index
        Highest index that the leader knows to be committed.
    sent_ms
        Sending time on the leader's clock in milliseconds, echoed in the
        reply.
    probe
        Number of the last freshness probe that the leader received from
        the follower.
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
    """Reply to `Append` or `InstallSnapshot`, sent after the disk is synced.

    Attributes
    ----------
    sender
        Id of the follower.
    incarnation, admitted
        Incarnation of the follower's disk, see `replica_state.Replica`, and
        whether the follower counts for a quorum.
    term
        Current term of the follower.
    matched
        Whether the follower's log contained the entry before `entries`.
    match_index
        If matched, the last index that matches the leader's log; otherwise
        the index after which the leader should send entries next.
    sent_ms
        Echo of the sending time of the message.
    probe
        Number of the follower's last freshness probe.
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
    """State of the state machine after the entry at `index`.

    Attributes
    ----------
    index, term
        Index and term of the last entry that was applied to `state`.
    state
        The state machine's state.
    """

    index: int
    term: int
    state: control_state.ControlState


@dataclasses.dataclass(slots=True, frozen=True)
class InstallSnapshot:
    """A snapshot for a follower that lacks entries discarded by the leader.

    Attributes
    ----------
    sender
        Id of the leader.
    term
        Term of the leader.
    snapshot
        The leader's state.
    sent_ms
        Sending time on the leader's clock in milliseconds, echoed in the
        reply.
    """

    sender: str
    term: int
    snapshot: Snapshot
    sent_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class TimeoutNow:
    """Request to start an election at once.

    It is sent by a leader that has given up its lease in order to stop.

    Attributes
    ----------
    sender
        Id of the leader.
    term
        Term of the leader; a receiver in another term ignores the request.
    """

    sender: str
    term: int


@dataclasses.dataclass(slots=True, frozen=True)
class HardState:
    """State besides the log that must survive a restart.

    Attributes
    ----------
    term, voted_for
        Current term, and the id of the replica voted for in it; empty for
        no vote.
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
    """Write entries to disk, replacing those from the first index on."""

    entries: tuple[control_state.Entry, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PersistHardState:
    """Write the hard state to disk."""

    hard_state: HardState


@dataclasses.dataclass(slots=True, frozen=True)
class PersistSnapshot:
    """Write a snapshot to disk and discard log entries before `first_kept`."""

    snapshot: Snapshot
    first_kept: int


@dataclasses.dataclass(slots=True, frozen=True)
class Applied:
    """Notification that a committed entry was applied, with its result."""

    entry: control_state.Entry
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class Restored:
    """Notification that a leader's snapshot at `index` replaced the state."""

    index: int


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """Result of a proposal that was made at this replica.

    Attributes
    ----------
    origin, command_id
        As in `Propose`.
    result
        Instance of a result class of the module `commands`.
    """

    origin: str
    command_id: str
    result: object


@dataclasses.dataclass(slots=True, frozen=True)
class LeaderChanged:
    """Notification of a change of this replica's role or leader.

    Attributes
    ----------
    phase
        Current state of the replica's chart.
    term
        Current term.
    leader_id
        Id of the term's leader; empty if unknown.
    """

    phase: str
    term: int
    leader_id: str
