"""State of one control replica, and what can be asked of it."""

import dataclasses
import random
from collections.abc import Iterator

from bilberryramp.decisions.control import control_state, log_entries
from bilberryramp.decisions.shared import charting

__all__ = [
    "GENESIS",
    "Progress",
    "Replica",
    "ReplicaSettings",
    "Waiter",
    "counted",
    "is_fresh",
    "lease_is_valid",
    "next_probe",
    "peers",
    "quorum",
]

GENESIS = "genesis"


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """Settings of one replica; durations in milliseconds.

    Attributes
    ----------
    replica_id, replica_ids
        This replica, and every replica of the cluster.
    heartbeat_ms
        Time between a leader's heartbeats.
    election_ms
        Least time without a leader before an election; up to twice that.
    lease_ms
        How long a leader may rely on a majority's acknowledgement. Less
        than `election_ms` by more than clocks drift in that time.
    batch_entries
        Most entries in one `Append`.
    snapshot_entries, kept_entries
        Entries between snapshots, and entries kept behind one.
    snapshot_pause_ms
        Time given to a follower to take in a snapshot.
    max_pending
        Most proposals waiting for their commit.
    """

    replica_id: str
    replica_ids: tuple[str, ...]
    heartbeat_ms: int = 50
    election_ms: int = 400
    lease_ms: int = 300
    batch_entries: int = 256
    snapshot_entries: int = 4000
    kept_entries: int = 1000
    snapshot_pause_ms: int = 2000
    max_pending: int = 4096


@dataclasses.dataclass(slots=True)
class Progress:
    """What a leader knows of one follower; times in milliseconds."""

    next_index: int
    match_index: int = 0
    incarnation: str = ""
    admitted: bool = False
    acked_ms: int = -1
    sent_ms: int = -1
    in_flight_to: int = 0
    probe: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Waiter:
    """Whoever waits for the entry at an index to commit."""

    term: int
    sender: str
    origin: str
    command_id: str


@dataclasses.dataclass(slots=True)
class Replica:
    """State of one replica; `key`, `phase` and `timer` are its machine's."""

    cfg: ReplicaSettings
    chart: charting.Chart
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
    leader_seen_ms: int = 0
    admitted_index: int = -1
    votes: set[str] = dataclasses.field(default_factory=set)
    transfer: bool = False
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    waiters: dict[int, Waiter] = dataclasses.field(default_factory=dict)
    forwarded: dict[str, str] = dataclasses.field(default_factory=dict)
    readmitting: set[str] = dataclasses.field(default_factory=set)
    probe_sent: int = 0
    probe_echoed: int = 0
    probe_commit: int = 0


def lease_is_valid(rep: Replica, now_ms: int) -> bool:
    """Tell whether this replica leads and a majority knew it lately.

    Parameters
    ----------
    rep
        The replica asked.
    now_ms
        Its clock in milliseconds.

    Returns
    -------
    bool
        True only for a leader within its lease.
    """
    if rep.phase != "leader":
        return False
    acked = [p.acked_ms for p in counted(rep)]
    acked.append(now_ms)
    acked.sort(reverse=True)
    needed = quorum(rep)
    if len(acked) < needed:
        return False
    return now_ms - acked[needed - 1] < rep.cfg.lease_ms


def next_probe(rep: Replica) -> int:
    """Start a freshness probe.

    Parameters
    ----------
    rep
        The replica that will answer a reader.

    Returns
    -------
    int
        To be passed to `is_fresh`.
    """
    rep.probe_sent += 1
    return rep.probe_sent


def is_fresh(rep: Replica, probe: int, now_ms: int) -> bool:
    """Tell whether the state holds all that was committed at a probe.

    Parameters
    ----------
    rep
        The replica asked.
    probe
        From `next_probe`.
    now_ms
        Its clock in milliseconds.

    Returns
    -------
    bool
        On a leader: its lease is valid and its term has committed. On a
        follower: the leader echoed the probe with a commit index that is
        applied here.
    """
    if rep.phase == "leader":
        own_term = log_entries.term_at(rep.tail, rep.commit_index) == rep.term
        return own_term and lease_is_valid(rep, now_ms)
    return rep.probe_echoed >= probe and rep.applied_index >= rep.probe_commit


def quorum(rep: Replica) -> int:
    """Return how many of all configured replicas are a majority."""
    return len(rep.cfg.replica_ids) // 2 + 1


def peers(rep: Replica) -> Iterator[str]:
    """Name the other replicas."""
    own = rep.cfg.replica_id
    return (peer for peer in rep.cfg.replica_ids if peer != own)


def counted(rep: Replica) -> Iterator[Progress]:
    """Yield what is known of the followers that count for a quorum."""
    return (p for p in rep.progress.values() if p.admitted)
