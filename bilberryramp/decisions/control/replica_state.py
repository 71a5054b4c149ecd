"""State of one control replica: settings, log, lease and probes."""

import dataclasses
import random
from collections.abc import Iterator

from bilberryramp.decisions.control import control_state, log_entries
from bilberryramp.decisions.shared import charting

__all__ = [
    "GENESIS",
    "PendingProposal",
    "Progress",
    "Replica",
    "ReplicaSettings",
    "admitted_followers",
    "is_fresh",
    "lease_is_valid",
    "next_probe",
    "peers",
    "quorum",
]

# Incarnation of a disk that was prepared when the cluster was created.
GENESIS = "genesis"


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """Settings of one replica; durations in milliseconds.

    Attributes
    ----------
    replica_id, replica_ids
        Id of this replica, and the ids of all replicas of the cluster.
    heartbeat_ms
        Interval of a leader's heartbeats.
    election_ms
        Minimum election timeout. Each timeout is chosen at random between
        this and twice this value.
    lease_ms
        Time for which a leader's lease is valid after a majority has
        acknowledged it. It must be shorter than `election_ms` by more than
        the clocks can drift apart in that time.
    batch_entries
        Maximum number of entries in one `Append`.
    snapshot_entries
        Number of applied entries after which a snapshot is written.
    kept_entries
        Number of entries before a snapshot that stay in the log, so that
        followers that lag behind do not need the snapshot.
    snapshot_retry_ms
        Pause after sending a snapshot, in which the follower can install
        it, before the next message to that follower.
    max_pending
        Maximum number of proposals that wait for their commit.
    """

    replica_id: str
    replica_ids: tuple[str, ...]
    heartbeat_ms: int = 50
    election_ms: int = 400
    lease_ms: int = 300
    batch_entries: int = 256
    snapshot_entries: int = 4000
    kept_entries: int = 1000
    snapshot_retry_ms: int = 2000
    max_pending: int = 4096


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication state of one follower as known to the leader.

    Attributes
    ----------
    next_index
        Index of the next entry to send.
    match_index
        Highest index up to which the follower's log matches the leader's.
    incarnation
        Incarnation of the follower's disk, see `Replica`; empty before its
        first reply.
    admitted
        Whether the follower counts for a quorum.
    acked_ms
        Sending time, on the leader's clock in milliseconds, of the last
        message that the follower has acknowledged; -1 if there is none.
    sent_ms
        Time of the last message in milliseconds. After a snapshot it is
        in the future, which delays the next heartbeat.
    in_flight_index
        Index of the last entry sent; while it exceeds `match_index`, new
        proposals are not sent at once.
    probe
        Number of the last freshness probe received from the follower, to
        be echoed.
    """

    next_index: int
    match_index: int = 0
    incarnation: str = ""
    admitted: bool = False
    acked_ms: int = -1
    sent_ms: int = -1
    in_flight_index: int = 0
    probe: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class PendingProposal:
    """A proposal whose result is sent when its entry has committed.

    Attributes
    ----------
    term
        Term in which it was proposed.
    sender
        Id of the replica that received the proposal; the result is sent
        through it.
    origin
        Name of the process that made the proposal; empty if the replica
        made it itself.
    command_id
        Id of the command, by which the origin matches the result.
    """

    term: int
    sender: str
    origin: str
    command_id: str


@dataclasses.dataclass(slots=True)
class Replica:
    """State of one control replica.

    Attributes
    ----------
    cfg
        Settings.
    chart
        State chart of the role, with its actions bound.
    suspect_chart
        Bound ``suspect`` chart, for entries of the log.
    rng
        Source of the random part of the election timeout.
    incarnation
        Incarnation of the replica's disk: `GENESIS`, or a value generated
        when a new disk was first used.
    key, phase, timer
        Machine key, current chart state and timer token, as `charting`
        requires them.
    term, voted_for
        Current term, and the id of the replica voted for in it; empty for
        no vote.
    leader_id
        Id of the term's leader; empty if unknown.
    tail
        Log entries that have not been compacted.
    state
        Result of applying the log up to `applied_index`.
    commit_index, applied_index, snapshot_index
        Highest log index that is known to be committed, has been applied,
        and is covered by the last snapshot.
    election_due_ms
        When an election is next due, in milliseconds.
    last_leader_contact_ms
        Time in milliseconds of the last message from the leader, or when
        this replica started or became the leader.
    admitted_index
        Log index from which this disk may vote and count for a quorum; -1
        while it is not admitted. See `replication_messages.HardState`.
    votes
        Ids of the replicas that granted a vote or a pre-vote.
    is_transfer_target
        Whether the leader asked this replica to take over.
    progress
        Replication state of each follower, by replica id; kept by a leader.
    pending
        Proposals that wait for their commit, by log index.
    forwarded
        Name of the process that made each proposal forwarded to the leader,
        by command id.
    readmitting
        Disk incarnations whose readmission has been proposed in this term.
    last_probe
        Number of the last freshness probe, see `next_probe`.
    acked_probe, acked_probe_commit
        Highest probe number that the leader echoed, and the leader's commit
        index in its last append.
    """

    cfg: ReplicaSettings
    chart: charting.Chart
    suspect_chart: charting.Chart
    rng: random.Random
    incarnation: str
    key: str = "replica"
    phase: str = "recovering"
    timer: int = 0
    term: int = 0
    voted_for: str = ""
    leader_id: str = ""
    tail: log_entries.LogTail = dataclasses.field(
        default_factory=log_entries.LogTail
    )
    state: control_state.ControlState = dataclasses.field(
        default_factory=control_state.ControlState
    )
    commit_index: int = 0
    applied_index: int = 0
    snapshot_index: int = 0
    election_due_ms: int = 0
    last_leader_contact_ms: int = 0
    admitted_index: int = -1
    votes: set[str] = dataclasses.field(default_factory=set)
    is_transfer_target: bool = False
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    pending: dict[int, PendingProposal] = dataclasses.field(
        default_factory=dict
    )
    forwarded: dict[str, str] = dataclasses.field(default_factory=dict)
    readmitting: set[str] = dataclasses.field(default_factory=set)
    last_probe: int = 0
    acked_probe: int = 0
    acked_probe_commit: int = 0


def lease_is_valid(rep: Replica, now_ms: int) -> bool:
    """Return whether this replica is the leader and holds a valid lease.

    The lease is valid if a majority acknowledged messages that were sent
    within the last `lease_ms`.

    Parameters
    ----------
    rep
        State of the replica.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        False on a replica that is not the leader.
    """
    if rep.phase != "leader":
        return False
    ack_times_ms = [p.acked_ms for p in admitted_followers(rep)]
    ack_times_ms.append(now_ms)
    ack_times_ms.sort(reverse=True)
    needed = quorum(rep)
    if len(ack_times_ms) < needed:
        return False
    return now_ms - ack_times_ms[needed - 1] < rep.cfg.lease_ms


def next_probe(rep: Replica) -> int:
    """Start a freshness probe.

    A probe shows whether this replica has applied every entry that was
    committed when the probe started. Its number is sent with each reply to
    the leader, whose next append echoes it and contains the commit index.

    Parameters
    ----------
    rep
        Modified in place.

    Returns
    -------
    int
        Number of the probe, for `is_fresh`.
    """
    rep.last_probe += 1
    return rep.last_probe


def is_fresh(rep: Replica, probe: int, now_ms: int) -> bool:
    """Return whether every entry committed before a probe has been applied.

    Parameters
    ----------
    rep
        State of the replica.
    probe
        Number of the probe, from `next_probe`.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        On a leader, whether its lease is valid and an entry of its term is
        committed. On a follower, whether the leader has echoed the probe
        and the commit index of the leader's last append has been applied.
    """
    if rep.phase == "leader":
        committed_own_term = (
            log_entries.term_at(rep.tail, rep.commit_index) == rep.term
        )
        return committed_own_term and lease_is_valid(rep, now_ms)
    return (
        rep.acked_probe >= probe
        and rep.applied_index >= rep.acked_probe_commit
    )


def quorum(rep: Replica) -> int:
    """Return the size of a majority of all configured replicas."""
    return len(rep.cfg.replica_ids) // 2 + 1


def peers(rep: Replica) -> Iterator[str]:
    """Return the ids of the other replicas."""
    own_id = rep.cfg.replica_id
    return (peer for peer in rep.cfg.replica_ids if peer != own_id)


def admitted_followers(rep: Replica) -> Iterator[Progress]:
    """Yield the replication state of the followers that count for a quorum."""
    return (p for p in rep.progress.values() if p.admitted)
