"""Replication of control's log: elections, leases, commits, recovery.

`step` maps a replica, a time and a message to effects. The transitions
between the roles of a replica are defined in ``charts/replica.yaml``.

Safety depends on four rules. A vote or an acknowledgement is sent only
after its data is synced to disk, because the caller performs every
``Persist`` effect before any ``Send``. An entry is committed once a majority
of all configured replicas has stored it. A replica with a new disk neither
votes nor counts for a quorum until it knows that a majority without it has
committed its readmission. A leader accepts proposals only while a majority
has acknowledged it within the lease, which is shorter than the time for
which followers refuse to vote.
"""

import random
from collections.abc import Iterator

from bilberryramp.decisions.control import (
    control_state,
    log_entries,
    replica_state,
)
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.shared import charting, commands, effects, errors

__all__ = [
    "CommittedEntryConflictError",
    "actions",
    "guards",
    "new_replica",
    "step",
]

# Exceeds every log index, so that the whole log before a snapshot is
# discarded.
_KEEP_NO_ENTRIES = 2**62


class CommittedEntryConflictError(errors.BilberryError):
    """Raised when a leader's entry conflicts with a committed one.

    This is always a defect, never an effect of load.
    """


def new_replica(
    cfg: replica_state.ReplicaSettings,
    chart: charting.Chart,
    suspect_chart: charting.Chart,
    rng: random.Random,
    incarnation: str,
    now_ms: int,
    hard_state: msgs.HardState | None = None,
    snapshot: msgs.Snapshot | None = None,
    entries: tuple[control_state.Entry, ...] = (),
) -> replica_state.Replica:
    """Create a replica from the contents of its disk.

    Parameters
    ----------
    cfg
        Settings of the replica.
    chart
        State chart ``replica`` with the actions of this module bound.
    suspect_chart
        Bound ``suspect`` chart, for entries of the log.
    rng
        Source of the random part of the election timeout.
    incarnation
        `GENESIS` for a disk that was prepared when the cluster was created;
        otherwise a value generated when the disk was first used.
    now_ms
        Current time in milliseconds. Votes are refused for `election_ms`
        from then on, because the replica may have acknowledged a leader,
        and thereby extended its lease, before the restart.
    hard_state
        Term, vote and admission read from disk; None on a new disk.
    snapshot
        Last snapshot read from disk; None if there is none.
    entries
        Log entries read from disk, in order of their indices.

    Returns
    -------
    replica_state.Replica
        A follower, or a recovering replica if its disk is not admitted.
    """
    rep = replica_state.Replica(cfg, chart, suspect_chart, rng, incarnation)
    rep.phase = chart.spec.initial
    rep.state.admitted = dict.fromkeys(cfg.replica_ids, replica_state.GENESIS)
    rep.last_leader_contact_ms = now_ms
    rep.admitted_index = 0 if incarnation == replica_state.GENESIS else -1
    if hard_state is not None:
        rep.term, rep.voted_for = hard_state.term, hard_state.voted_for
        rep.admitted_index = hard_state.admitted_index
    if snapshot is not None:
        _adopt_snapshot(rep, snapshot)
    log_entries.replace_from(rep.tail, entries)
    _set_election_due(rep, now_ms)
    for _ in _check_admission(rep, now_ms):
        pass
    return rep


def step(rep: replica_state.Replica, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    rep
        Modified in place.
    now_ms
        Current time in milliseconds.
    message
        Message to the replica, of a class of `replication_messages`.

    Yields
    ------
    effect
        Effects to perform in order; a ``Persist`` effect precedes the
        sends that depend on it.
    """
    yield from _HANDLERS[type(message)](rep, now_ms, message)


# Elections.


def _on_tick(rep: replica_state.Replica, now_ms: int, _message) -> Iterator:
    if rep.phase == "leader":
        yield from _tick_leader(rep, now_ms)
    elif now_ms >= rep.election_due_ms:
        yield from _fire(rep, "election_timeout", now_ms)


def _tick_leader(rep: replica_state.Replica, now_ms: int) -> Iterator:
    if not replica_state.lease_is_valid(rep, now_ms) and _lease_period_elapsed(
        rep, now_ms
    ):
        yield from _fire(rep, "lease_expired", now_ms)
        return
    for peer in replica_state.peers(rep):
        if now_ms - rep.progress[peer].sent_ms >= rep.cfg.heartbeat_ms:
            yield _append_for(rep, peer, now_ms, resend=True)


def _lease_period_elapsed(rep: replica_state.Replica, now_ms: int) -> bool:
    """Return whether a new leader has had the time to obtain its lease."""
    return now_ms - rep.last_leader_contact_ms >= rep.cfg.lease_ms


def _start_pre_vote(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    _set_election_due(rep, now_ms)
    rep.leader_id = ""
    yield from _fail_forwarded(rep)
    yield from _request_votes(rep, now_ms, rep.term + 1, pre=True)


def _start_election(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    _set_election_due(rep, now_ms)
    rep.term += 1
    rep.voted_for = rep.cfg.replica_id
    rep.leader_id = ""
    yield _persist_hard_state(rep)
    yield from _request_votes(rep, now_ms, rep.term, pre=False)


def _request_votes(
    rep: replica_state.Replica, now_ms: int, term: int, pre: bool
) -> Iterator:
    rep.votes = {rep.cfg.replica_id}
    request = msgs.RequestVote(
        sender=rep.cfg.replica_id,
        term=term,
        last_index=log_entries.last_index(rep.tail),
        last_term=log_entries.last_term(rep.tail),
        pre=pre,
        transfer=rep.is_transfer_target,
    )
    for peer in replica_state.peers(rep):
        yield effects.Send(peer, request)
    yield from _count_votes(rep, now_ms, pre)


def _count_votes(
    rep: replica_state.Replica, now_ms: int, pre: bool
) -> Iterator:
    if len(rep.votes) >= replica_state.quorum(rep):
        event = "pre_vote_quorum" if pre else "vote_quorum"
        yield from _fire(rep, event, now_ms)


def _on_request_vote(
    rep: replica_state.Replica, now_ms: int, request
) -> Iterator:
    leader_contacted_recently = (
        now_ms - rep.last_leader_contact_ms < rep.cfg.election_ms
    )
    is_leader_protected = (
        leader_contacted_recently or rep.phase == "leader"
    ) and not request.transfer
    if not request.pre and request.term > rep.term and not is_leader_protected:
        yield from _adopt_term(rep, now_ms, request.term)
    granted = _may_vote(rep, request) and not is_leader_protected
    if granted and not request.pre:
        rep.voted_for = request.sender
        _set_election_due(rep, now_ms)
        yield _persist_hard_state(rep)
    yield effects.Send(
        request.sender,
        msgs.VoteReply(
            sender=rep.cfg.replica_id,
            term=rep.term,
            asked_term=request.term,
            pre=request.pre,
            granted=granted,
        ),
    )


def _may_vote(rep: replica_state.Replica, request) -> bool:
    if rep.phase == "recovering":
        return False
    local_log = (
        log_entries.last_term(rep.tail),
        log_entries.last_index(rep.tail),
    )
    if (request.last_term, request.last_index) < local_log:
        return False
    if request.pre:
        return request.term > rep.term
    return request.term == rep.term and rep.voted_for in ("", request.sender)


def _on_vote_reply(rep: replica_state.Replica, now_ms: int, reply) -> Iterator:
    if reply.term > rep.term:
        yield from _adopt_term(rep, now_ms, reply.term)
        return
    expected_term = rep.term + 1 if reply.pre else rep.term
    expected_phase = "pre_candidate" if reply.pre else "candidate"
    if rep.phase != expected_phase or reply.asked_term != expected_term:
        return
    if reply.granted:
        rep.votes.add(reply.sender)
        yield from _count_votes(rep, now_ms, reply.pre)


def _become_leader(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    rep.leader_id = rep.cfg.replica_id
    rep.last_leader_contact_ms = now_ms
    rep.is_transfer_target = False
    rep.readmitting.clear()
    next_index = log_entries.last_index(rep.tail) + 1
    rep.progress = {
        peer: replica_state.Progress(next_index)
        for peer in replica_state.peers(rep)
    }
    yield _leader_changed(rep)
    yield from _propose(rep, now_ms, commands.Noop(), None)


def _on_timeout_now(
    rep: replica_state.Replica, now_ms: int, message
) -> Iterator:
    if message.term == rep.term:
        rep.is_transfer_target = True
        yield from _fire(rep, "transfer_requested", now_ms)


def _on_stop(rep: replica_state.Replica, now_ms: int, _message) -> Iterator:
    yield from _fire(rep, "stop_asked", now_ms)


def _transfer_leadership(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    candidates = [
        (progress.match_index, peer)
        for peer, progress in rep.progress.items()
        if progress.admitted
    ]
    rep.leader_id = ""
    yield _leader_changed(rep)
    if candidates:
        message = msgs.TimeoutNow(rep.cfg.replica_id, rep.term)
        yield effects.Send(max(candidates)[1], message)


def _adopt_term(
    rep: replica_state.Replica, now_ms: int, term: int
) -> Iterator:
    rep.term = term
    rep.voted_for = ""
    rep.leader_id = ""
    yield _persist_hard_state(rep)
    yield from _fire(rep, "higher_term", now_ms)


# Proposals.


def _on_propose(rep: replica_state.Replica, now_ms: int, request) -> Iterator:
    forward = msgs.Forward(
        rep.cfg.replica_id, request.origin, request.command_id, request.command
    )
    if rep.phase == "leader" or not rep.leader_id:
        yield from _on_forward(rep, now_ms, forward)
        return
    if len(rep.forwarded) < rep.cfg.max_pending:
        rep.forwarded[request.command_id] = request.origin
    yield effects.Send(rep.leader_id, forward)


def _on_forward(rep: replica_state.Replica, now_ms: int, message) -> Iterator:
    proposal = replica_state.PendingProposal(
        rep.term, message.sender, message.origin, message.command_id
    )
    reason = _refusal_reason(rep, now_ms)
    if reason is not None:
        result = commands.Unavailable(reason, rep.leader_id)
        yield _answer(rep, proposal, result)
        return
    yield from _propose(rep, now_ms, message.command, proposal)


def _on_forward_reply(
    rep: replica_state.Replica, _now_ms: int, reply
) -> Iterator:
    rep.forwarded.pop(reply.command_id, None)
    yield msgs.Answer(reply.origin, reply.command_id, reply.result)


def _refusal_reason(
    rep: replica_state.Replica, now_ms: int
) -> commands.UnavailableReason | None:
    if rep.phase == "stopping":
        return commands.UnavailableReason.STOPPING
    if rep.phase != "leader":
        return commands.UnavailableReason.NOT_LEADER
    if not replica_state.lease_is_valid(rep, now_ms):
        return commands.UnavailableReason.LEASE_EXPIRED
    if len(rep.pending) >= rep.cfg.max_pending:
        return commands.UnavailableReason.TOO_MANY_PENDING
    return None


def _fail_forwarded(rep: replica_state.Replica) -> Iterator:
    """Answer forwarded proposals as unavailable when the leader changes.

    The previous leader may have failed; the processes that made the
    proposals send them again.
    """
    reason = commands.UnavailableReason.NOT_LEADER
    result = commands.Unavailable(reason, rep.leader_id)
    for command_id, origin in rep.forwarded.items():
        yield msgs.Answer(origin, command_id, result)
    rep.forwarded.clear()


def _propose(
    rep: replica_state.Replica, now_ms: int, command, proposal
) -> Iterator:
    index = log_entries.last_index(rep.tail) + 1
    entry = control_state.Entry(rep.term, index, command)
    log_entries.append(rep.tail, entry)
    if proposal is not None:
        rep.pending[index] = proposal
    yield msgs.PersistEntries((entry,))
    for peer in replica_state.peers(rep):
        if (
            rep.progress[peer].in_flight_index
            <= rep.progress[peer].match_index
        ):
            yield _append_for(rep, peer, now_ms)
    yield from _advance_commit(rep, now_ms)


def _answer(
    rep: replica_state.Replica, proposal: replica_state.PendingProposal, result
):
    """Return the effect that sends a result to the proposal's origin."""
    if proposal.sender == rep.cfg.replica_id:
        return msgs.Answer(proposal.origin, proposal.command_id, result)
    reply = msgs.ForwardReply(
        rep.cfg.replica_id, proposal.origin, proposal.command_id, result
    )
    return effects.Send(proposal.sender, reply)


def _fail_pending(
    rep: replica_state.Replica, _now_ms: int, _payload
) -> Iterator:
    if rep.leader_id == rep.cfg.replica_id:
        rep.leader_id = ""
    reason = commands.UnavailableReason.NOT_LEADER
    result = commands.Unavailable(reason, rep.leader_id)
    for proposal in rep.pending.values():
        yield _answer(rep, proposal, result)
    rep.pending.clear()
    yield _leader_changed(rep)


# Replication.


def _append_for(
    rep: replica_state.Replica, peer: str, now_ms: int, resend: bool = False
):
    """Return the effect that sends a follower its next entries.

    With `resend`, the entries that the follower has not acknowledged are sent
    again, because earlier messages may have been lost.
    """
    progress = rep.progress[peer]
    progress.sent_ms = now_ms
    if resend:
        progress.next_index = progress.match_index + 1
    prev_index = progress.next_index - 1
    prev_term = log_entries.term_at(rep.tail, prev_index)
    if prev_term is None:
        return _install_snapshot_for(rep, peer, now_ms)
    entries = log_entries.slice_from(
        rep.tail, progress.next_index, rep.cfg.batch_entries
    )
    progress.in_flight_index = prev_index + len(entries)
    return effects.Send(
        peer,
        msgs.Append(
            sender=rep.cfg.replica_id,
            term=rep.term,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=entries,
            commit_index=rep.commit_index,
            sent_ms=now_ms,
            probe=progress.probe,
        ),
    )


def _install_snapshot_for(rep: replica_state.Replica, peer: str, now_ms: int):
    """Return the effect that sends a follower the applied state."""
    # Delay the next append, as each heartbeat would send a whole snapshot.
    rep.progress[peer].sent_ms = now_ms + rep.cfg.snapshot_retry_ms
    snapshot = _take_snapshot(rep)
    message = msgs.InstallSnapshot(
        rep.cfg.replica_id, rep.term, snapshot, now_ms
    )
    return effects.Send(peer, message)


def _take_snapshot(rep: replica_state.Replica) -> msgs.Snapshot:
    term = log_entries.term_at(rep.tail, rep.applied_index)
    return msgs.Snapshot(rep.applied_index, term, rep.state)


def _on_append(rep: replica_state.Replica, now_ms: int, append) -> Iterator:
    if append.term < rep.term:
        yield _append_reply(rep, append, False, 0)
        return
    yield from _accept_leader(rep, now_ms, append)
    local_term = log_entries.term_at(rep.tail, append.prev_index)
    is_in_snapshot = append.prev_index < rep.tail.base_index
    if local_term != append.prev_term and not is_in_snapshot:
        # Entries up to the commit index always match the leader's.
        resume_after_index = min(
            append.prev_index - 1, log_entries.last_index(rep.tail)
        )
        yield _append_reply(
            rep, append, False, max(resume_after_index, rep.commit_index)
        )
        return
    _check_committed_entries(rep, append.entries)
    new_entries = log_entries.replace_from(rep.tail, append.entries)
    if new_entries:
        yield msgs.PersistEntries(new_entries)
    matched = append.prev_index + len(append.entries)
    rep.acked_probe = max(rep.acked_probe, append.probe)
    rep.acked_probe_commit = append.commit_index
    yield _append_reply(rep, append, True, matched)
    yield from _commit_to(rep, now_ms, min(append.commit_index, matched))


def _accept_leader(
    rep: replica_state.Replica, now_ms: int, message
) -> Iterator:
    if message.term > rep.term:
        yield from _adopt_term(rep, now_ms, message.term)
    rep.last_leader_contact_ms = now_ms
    same_leader = rep.leader_id == message.sender
    rep.leader_id = message.sender
    rep.is_transfer_target = False
    yield from _fire(rep, "leader_seen", now_ms)
    if not same_leader:
        yield from _fail_forwarded(rep)
        yield _leader_changed(rep)


def _append_reply(
    rep: replica_state.Replica, message, matched: bool, index: int
):
    reply = msgs.AppendReply(
        sender=rep.cfg.replica_id,
        incarnation=rep.incarnation,
        admitted=rep.phase != "recovering",
        term=rep.term,
        matched=matched,
        match_index=index,
        sent_ms=message.sent_ms,
        probe=rep.last_probe,
    )
    return effects.Send(message.sender, reply)


def _on_append_reply(
    rep: replica_state.Replica, now_ms: int, reply
) -> Iterator:
    if reply.term > rep.term:
        yield from _adopt_term(rep, now_ms, reply.term)
        return
    if rep.phase != "leader" or reply.term < rep.term:
        return
    progress = rep.progress[reply.sender]
    _record_disk(progress, reply)
    progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
    progress.probe = max(progress.probe, reply.probe)
    if not reply.matched:
        progress.next_index = reply.match_index + 1
        yield _append_for(rep, reply.sender, now_ms)
        return
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    yield from _advance_commit(rep, now_ms)
    yield from _readmit(rep, now_ms, reply.sender)
    if progress.match_index < log_entries.last_index(rep.tail):
        yield _append_for(rep, reply.sender, now_ms)


def _record_disk(
    progress: replica_state.Progress, reply: msgs.AppendReply
) -> None:
    """Record a follower's disk, and reset the progress if it is another."""
    if progress.incarnation not in ("", reply.incarnation):
        progress.match_index = 0
        progress.acked_ms = -1
        progress.probe = 0
    progress.incarnation = reply.incarnation
    progress.admitted = reply.admitted


def _readmit(rep: replica_state.Replica, now_ms: int, peer: str) -> Iterator:
    """Propose to readmit a follower with a new disk that has caught up."""
    progress = rep.progress[peer]
    already_admitted = rep.state.admitted.get(peer) == progress.incarnation
    caught_up = progress.match_index >= rep.commit_index
    if progress.admitted or already_admitted or not caught_up:
        return
    if progress.incarnation in rep.readmitting:
        return
    rep.readmitting.add(progress.incarnation)
    command = commands.ReadmitReplica(peer, progress.incarnation)
    yield from _propose(rep, now_ms, command, None)


def _on_install_snapshot(
    rep: replica_state.Replica, now_ms: int, message
) -> Iterator:
    if message.term < rep.term:
        yield _append_reply(rep, message, False, 0)
        return
    yield from _accept_leader(rep, now_ms, message)
    snapshot = message.snapshot
    if snapshot.index > rep.applied_index:
        _adopt_snapshot(rep, snapshot)
        yield msgs.PersistSnapshot(snapshot, _KEEP_NO_ENTRIES)
        if rep.tail.entries:
            yield msgs.PersistEntries(tuple(rep.tail.entries))
        yield msgs.Restored(snapshot.index)
        yield from _check_admission(rep, now_ms)
    yield _append_reply(rep, message, True, snapshot.index)


def _adopt_snapshot(
    rep: replica_state.Replica, snapshot: msgs.Snapshot
) -> None:
    if log_entries.term_at(rep.tail, snapshot.index) == snapshot.term:
        log_entries.compact(rep.tail, snapshot.index)
    else:
        rep.tail = log_entries.LogTail(snapshot.index, snapshot.term)
    rep.state = snapshot.state
    rep.commit_index = snapshot.index
    rep.applied_index = snapshot.index
    rep.snapshot_index = snapshot.index


def _advance_commit(rep: replica_state.Replica, now_ms: int) -> Iterator:
    """Commit the entries that a majority has stored.

    Entries of earlier terms are committed only by a later entry of the
    leader's own term.
    """
    matches = [
        progress.match_index
        for progress in replica_state.admitted_followers(rep)
    ]
    matches.append(log_entries.last_index(rep.tail))
    matches.sort(reverse=True)
    needed = replica_state.quorum(rep)
    if len(matches) < needed:
        return
    index = matches[needed - 1]
    if log_entries.term_at(rep.tail, index) == rep.term:
        yield from _commit_to(rep, now_ms, index)


def _commit_to(
    rep: replica_state.Replica, now_ms: int, index: int
) -> Iterator:
    rep.commit_index = max(rep.commit_index, index)
    while rep.applied_index < rep.commit_index:
        yield from _apply_next(rep)
    yield from _check_admission(rep, now_ms)
    entries_since_snapshot = rep.applied_index - rep.snapshot_index
    if entries_since_snapshot >= rep.cfg.snapshot_entries:
        yield _compact(rep)


def _apply_next(rep: replica_state.Replica) -> Iterator:
    index = rep.applied_index + 1
    entry = rep.tail.entries[index - rep.tail.base_index - 1]
    result = control_state.apply(rep.state, entry, rep.suspect_chart)
    rep.applied_index = index
    yield msgs.Applied(entry, result)
    proposal = rep.pending.pop(index, None)
    if proposal is not None:
        yield _answer(rep, proposal, result)


def _compact(rep: replica_state.Replica):
    """Discard old entries and return the effect that writes a snapshot."""
    snapshot = _take_snapshot(rep)
    rep.snapshot_index = rep.applied_index
    oldest = rep.tail.base_index
    first_kept = max(oldest, rep.applied_index - rep.cfg.kept_entries)
    log_entries.compact(rep.tail, first_kept)
    return msgs.PersistSnapshot(snapshot, first_kept + 1)


def _check_admission(rep: replica_state.Replica, now_ms: int) -> Iterator:
    """Admit or revoke this replica's disk according to the applied log."""
    admitted = rep.state.admitted.get(rep.cfg.replica_id) == rep.incarnation
    if admitted and rep.admitted_index < 0:
        rep.admitted_index = rep.applied_index
        yield _persist_hard_state(rep)
    # After a restart the readmission may be in the log but not yet known to
    # be committed. The admission index in the hard state then decides whether
    # the disk is admitted.
    has_persisted_admission = rep.applied_index < rep.admitted_index
    if (
        not admitted
        and not has_persisted_admission
        and rep.admitted_index >= 0
    ):
        rep.admitted_index = -1
        yield _persist_hard_state(rep)
    event = "admitted" if rep.admitted_index >= 0 else "revoked"
    yield from _fire(rep, event, now_ms)


def _check_committed_entries(rep: replica_state.Replica, entries) -> None:
    """Raise an exception if an entry conflicts with a committed one."""
    for entry in entries:
        local_term = log_entries.term_at(rep.tail, entry.index)
        if entry.index <= rep.commit_index and local_term not in (
            None,
            entry.term,
        ):
            raise CommittedEntryConflictError(
                f"committed entry at index {entry.index} has term "
                f"{local_term}, but the leader sent term {entry.term}"
            )


# Helpers.


def _fire(rep: replica_state.Replica, event: str, now_ms: int) -> Iterator:
    yield from charting.fire(rep.chart, rep, event, now_ms, None)


def _reset_election_timer(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    _set_election_due(rep, now_ms)
    yield from ()


def _set_election_due(rep: replica_state.Replica, now_ms: int) -> None:
    jitter_ms = rep.rng.randrange(rep.cfg.election_ms)
    rep.election_due_ms = now_ms + rep.cfg.election_ms + jitter_ms


def _persist_hard_state(rep: replica_state.Replica):
    return msgs.PersistHardState(
        msgs.HardState(rep.term, rep.voted_for, rep.admitted_index)
    )


def _leader_changed(rep: replica_state.Replica):
    return msgs.LeaderChanged(rep.phase, rep.term, rep.leader_id)


guards: dict = {}
actions = {
    "reset_election_timer": _reset_election_timer,
    "start_pre_vote": _start_pre_vote,
    "start_election": _start_election,
    "become_leader": _become_leader,
    "fail_pending": _fail_pending,
    "transfer_leadership": _transfer_leadership,
}

_HANDLERS = {
    msgs.Tick: _on_tick,
    msgs.StopReplica: _on_stop,
    msgs.Propose: _on_propose,
    msgs.Forward: _on_forward,
    msgs.ForwardReply: _on_forward_reply,
    msgs.RequestVote: _on_request_vote,
    msgs.VoteReply: _on_vote_reply,
    msgs.Append: _on_append,
    msgs.AppendReply: _on_append_reply,
    msgs.InstallSnapshot: _on_install_snapshot,
    msgs.TimeoutNow: _on_timeout_now,
}
