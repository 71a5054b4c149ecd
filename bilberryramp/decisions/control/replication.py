"""One replica of control's log: elections, leases, commits, recovery.

The role is a function from (replica, now, message) to effects. Its
transitions between roles come from ``charts/replica.yaml``.

Safety rests on four rules. A vote or an acknowledgement leaves only after
its write is synced, because the driver performs every ``Persist`` effect
before any ``Send``. An entry commits once a majority of all configured
replicas holds it. A replica whose disk is new neither votes nor counts
until it knows that a majority without it has committed its readmission. A
leader accepts proposals only while a majority acknowledged it within the
lease, which is shorter than the time for which followers refuse to vote.
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
    "TermRegressedError",
    "actions",
    "guards",
    "new_replica",
    "step",
]

_KEEP_NONE = 2**62


class TermRegressedError(errors.BilberryError):
    """A committed entry would change; a defect, never load."""


def new_replica(
    cfg: replica_state.ReplicaSettings,
    chart: charting.Chart,
    rng: random.Random,
    incarnation: str,
    now_ms: int,
    hard_state: msgs.HardState | None = None,
    snapshot: msgs.Snapshot | None = None,
    entries: tuple[control_state.Entry, ...] = (),
) -> replica_state.Replica:
    """Build a replica from what its disk holds.

    Parameters
    ----------
    cfg, chart, rng
        Settings, the bound chart and the source of election jitter.
    incarnation
        `GENESIS` on a disk prepared when the cluster was created, else a
        value made when the disk was first used.
    now_ms
        The present; votes are refused for `election_ms` from here, since
        a promise to a leader may have been made before the restart.
    hard_state, snapshot, entries
        What was read from disk; None and empty on a new one.

    Returns
    -------
    replica_state.Replica
        A follower, or recovering when its incarnation is not admitted.
    """
    rep = replica_state.Replica(cfg, chart, rng, incarnation)
    rep.phase = chart.spec.initial
    rep.state.admitted = dict.fromkeys(cfg.replica_ids, replica_state.GENESIS)
    rep.leader_seen_ms = now_ms
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
        Changed in place.
    now_ms
        The replica's monotonic clock in milliseconds.
    message
        One of `replication_messages`.

    Yields
    ------
    effect
        ``Persist`` effects come before the sends that rely on them.
    """
    yield from _HANDLERS[type(message)](rep, now_ms, message)


# Elections.


def _on_tick(rep: replica_state.Replica, now_ms: int, _message) -> Iterator:
    if rep.phase == "leader":
        yield from _tick_leader(rep, now_ms)
    elif now_ms >= rep.election_due_ms:
        yield from _raise(rep, "election_timeout", now_ms)


def _tick_leader(rep: replica_state.Replica, now_ms: int) -> Iterator:
    if not replica_state.lease_is_valid(rep, now_ms) and _lease_has_run(
        rep, now_ms
    ):
        yield from _raise(rep, "lease_expired", now_ms)
        return
    for peer in replica_state.peers(rep):
        if now_ms - rep.progress[peer].sent_ms >= rep.cfg.heartbeat_ms:
            yield _append_for(rep, peer, now_ms, resend=True)


def _lease_has_run(rep: replica_state.Replica, now_ms: int) -> bool:
    return now_ms - rep.leader_seen_ms >= rep.cfg.lease_ms


def _start_prevote(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    _set_election_due(rep, now_ms)
    rep.leader_id = ""
    yield from _give_up_forwarded(rep)
    yield from _canvass(rep, now_ms, rep.term + 1, pre=True)


def _start_election(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    _set_election_due(rep, now_ms)
    rep.term += 1
    rep.voted_for = rep.cfg.replica_id
    rep.leader_id = ""
    yield _hard_state(rep)
    yield from _canvass(rep, now_ms, rep.term, pre=False)


def _canvass(
    rep: replica_state.Replica, now_ms: int, term: int, pre: bool
) -> Iterator:
    rep.votes = {rep.cfg.replica_id}
    request = msgs.RequestVote(
        sender=rep.cfg.replica_id,
        term=term,
        last_index=log_entries.last_index(rep.tail),
        last_term=log_entries.last_term(rep.tail),
        pre=pre,
        transfer=rep.transfer,
    )
    for peer in replica_state.peers(rep):
        yield effects.Send(peer, request)
    yield from _count_votes(rep, now_ms, pre)


def _count_votes(
    rep: replica_state.Replica, now_ms: int, pre: bool
) -> Iterator:
    if len(rep.votes) >= replica_state.quorum(rep):
        event = "prevote_quorum" if pre else "vote_quorum"
        yield from _raise(rep, event, now_ms)


def _on_request_vote(rep: replica_state.Replica, now_ms: int, ask) -> Iterator:
    promised = now_ms - rep.leader_seen_ms < rep.cfg.election_ms
    shielded = (promised or rep.phase == "leader") and not ask.transfer
    if not ask.pre and ask.term > rep.term and not shielded:
        yield from _adopt_term(rep, now_ms, ask.term)
    granted = _may_vote(rep, ask) and not shielded
    if granted and not ask.pre:
        rep.voted_for = ask.sender
        _set_election_due(rep, now_ms)
        yield _hard_state(rep)
    yield effects.Send(
        ask.sender,
        msgs.VoteReply(
            sender=rep.cfg.replica_id,
            term=rep.term,
            asked_term=ask.term,
            pre=ask.pre,
            granted=granted,
        ),
    )


def _may_vote(rep: replica_state.Replica, ask) -> bool:
    if rep.phase == "recovering":
        return False
    own = (log_entries.last_term(rep.tail), log_entries.last_index(rep.tail))
    if (ask.last_term, ask.last_index) < own:
        return False
    if ask.pre:
        return ask.term > rep.term
    return ask.term == rep.term and rep.voted_for in ("", ask.sender)


def _on_vote_reply(rep: replica_state.Replica, now_ms: int, reply) -> Iterator:
    if reply.term > rep.term:
        yield from _adopt_term(rep, now_ms, reply.term)
        return
    asked = rep.term + 1 if reply.pre else rep.term
    expected = "pre_candidate" if reply.pre else "candidate"
    if rep.phase != expected or reply.asked_term != asked:
        return
    if reply.granted:
        rep.votes.add(reply.sender)
        yield from _count_votes(rep, now_ms, reply.pre)


def _become_leader(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    rep.leader_id = rep.cfg.replica_id
    rep.leader_seen_ms = now_ms
    rep.transfer = False
    rep.readmitting.clear()
    following = log_entries.last_index(rep.tail) + 1
    rep.progress = {
        peer: replica_state.Progress(following)
        for peer in replica_state.peers(rep)
    }
    yield _leader_changed(rep)
    yield from _propose(rep, now_ms, commands.Noop(), None)


def _on_timeout_now(
    rep: replica_state.Replica, now_ms: int, message
) -> Iterator:
    if message.term == rep.term:
        rep.transfer = True
        yield from _raise(rep, "transfer_asked", now_ms)


def _on_stop(rep: replica_state.Replica, now_ms: int, _message) -> Iterator:
    yield from _raise(rep, "stop_asked", now_ms)


def _hand_over(rep: replica_state.Replica, now_ms: int, _payload) -> Iterator:
    ready = [
        (progress.match_index, peer)
        for peer, progress in rep.progress.items()
        if progress.admitted
    ]
    rep.leader_id = ""
    yield _leader_changed(rep)
    if ready:
        message = msgs.TimeoutNow(rep.cfg.replica_id, rep.term)
        yield effects.Send(max(ready)[1], message)


def _adopt_term(
    rep: replica_state.Replica, now_ms: int, term: int
) -> Iterator:
    rep.term = term
    rep.voted_for = ""
    rep.leader_id = ""
    yield _hard_state(rep)
    yield from _raise(rep, "higher_term", now_ms)


# Proposals.


def _on_propose(rep: replica_state.Replica, now_ms: int, ask) -> Iterator:
    forward = msgs.Forward(
        rep.cfg.replica_id, ask.origin, ask.command_id, ask.command
    )
    if rep.phase == "leader" or not rep.leader_id:
        yield from _on_forward(rep, now_ms, forward)
        return
    if len(rep.forwarded) < rep.cfg.max_pending:
        rep.forwarded[ask.command_id] = ask.origin
    yield effects.Send(rep.leader_id, forward)


def _on_forward(rep: replica_state.Replica, now_ms: int, ask) -> Iterator:
    waiter = replica_state.Waiter(
        rep.term, ask.sender, ask.origin, ask.command_id
    )
    reason = _refusal(rep, now_ms)
    if reason is not None:
        result = commands.Unavailable(reason, rep.leader_id)
        yield _answer(rep, waiter, result)
        return
    yield from _propose(rep, now_ms, ask.command, waiter)


def _on_forward_reply(
    rep: replica_state.Replica, _now_ms: int, reply
) -> Iterator:
    rep.forwarded.pop(reply.command_id, None)
    yield msgs.Answer(reply.origin, reply.command_id, reply.result)


def _refusal(
    rep: replica_state.Replica, now_ms: int
) -> commands.UnavailableReason | None:
    if rep.phase == "stopping":
        return commands.UnavailableReason.STOPPING
    if rep.phase != "leader":
        return commands.UnavailableReason.NOT_LEADER
    if not replica_state.lease_is_valid(rep, now_ms):
        return commands.UnavailableReason.LEASE_EXPIRED
    if len(rep.waiters) >= rep.cfg.max_pending:
        return commands.UnavailableReason.TOO_MANY_PENDING
    return None


def _give_up_forwarded(rep: replica_state.Replica) -> Iterator:
    """Answer those whose leader may be gone; they ask again."""
    reason = commands.UnavailableReason.NOT_LEADER
    result = commands.Unavailable(reason, rep.leader_id)
    for command_id, origin in rep.forwarded.items():
        yield msgs.Answer(origin, command_id, result)
    rep.forwarded.clear()


def _propose(
    rep: replica_state.Replica, now_ms: int, command, waiter
) -> Iterator:
    index = log_entries.last_index(rep.tail) + 1
    entry = control_state.Entry(rep.term, index, command)
    log_entries.append(rep.tail, entry)
    if waiter is not None:
        rep.waiters[index] = waiter
    yield msgs.PersistEntries((entry,))
    for peer in replica_state.peers(rep):
        if rep.progress[peer].in_flight_to <= rep.progress[peer].match_index:
            yield _append_for(rep, peer, now_ms)
    yield from _advance_commit(rep, now_ms)


def _answer(rep: replica_state.Replica, waiter: replica_state.Waiter, result):
    if waiter.sender == rep.cfg.replica_id:
        return msgs.Answer(waiter.origin, waiter.command_id, result)
    reply = msgs.ForwardReply(
        rep.cfg.replica_id, waiter.origin, waiter.command_id, result
    )
    return effects.Send(waiter.sender, reply)


def _fail_pending(
    rep: replica_state.Replica, _now_ms: int, _payload
) -> Iterator:
    if rep.leader_id == rep.cfg.replica_id:
        rep.leader_id = ""
    reason = commands.UnavailableReason.NOT_LEADER
    result = commands.Unavailable(reason, rep.leader_id)
    for waiter in rep.waiters.values():
        yield _answer(rep, waiter, result)
    rep.waiters.clear()
    yield _leader_changed(rep)


# Replication.


def _append_for(
    rep: replica_state.Replica, peer: str, now_ms: int, resend: bool = False
):
    progress = rep.progress[peer]
    progress.sent_ms = now_ms
    if resend:
        progress.next_index = progress.match_index + 1
    prev_index = progress.next_index - 1
    prev_term = log_entries.term_at(rep.tail, prev_index)
    if prev_term is None:
        return _snapshot_for(rep, peer, now_ms)
    entries = log_entries.slice_from(
        rep.tail, progress.next_index, rep.cfg.batch_entries
    )
    progress.in_flight_to = prev_index + len(entries)
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


def _snapshot_for(rep: replica_state.Replica, peer: str, now_ms: int):
    # The next append waits, or each heartbeat would carry a whole snapshot.
    rep.progress[peer].sent_ms = now_ms + rep.cfg.snapshot_pause_ms
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
    yield from _follow(rep, now_ms, append)
    held = log_entries.term_at(rep.tail, append.prev_index)
    covered = append.prev_index < rep.tail.base_index
    if held != append.prev_term and not covered:
        hint = min(append.prev_index - 1, log_entries.last_index(rep.tail))
        yield _append_reply(rep, append, False, max(hint, rep.commit_index))
        return
    _assert_committed_stay(rep, append.entries)
    fresh = log_entries.replace_from(rep.tail, append.entries)
    if fresh:
        yield msgs.PersistEntries(fresh)
    matched = append.prev_index + len(append.entries)
    rep.probe_echoed = max(rep.probe_echoed, append.probe)
    rep.probe_commit = append.commit_index
    yield _append_reply(rep, append, True, matched)
    yield from _commit_to(rep, now_ms, min(append.commit_index, matched))


def _follow(rep: replica_state.Replica, now_ms: int, message) -> Iterator:
    if message.term > rep.term:
        yield from _adopt_term(rep, now_ms, message.term)
    rep.leader_seen_ms = now_ms
    known = rep.leader_id == message.sender
    rep.leader_id = message.sender
    rep.transfer = False
    yield from _raise(rep, "leader_seen", now_ms)
    if not known:
        yield from _give_up_forwarded(rep)
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
        probe=rep.probe_sent,
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
    _note_disk(progress, reply)
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


def _note_disk(
    progress: replica_state.Progress, reply: msgs.AppendReply
) -> None:
    if progress.incarnation not in ("", reply.incarnation):
        progress.match_index = 0
        progress.acked_ms = -1
        progress.probe = 0
    progress.incarnation = reply.incarnation
    progress.admitted = reply.admitted


def _readmit(rep: replica_state.Replica, now_ms: int, peer: str) -> Iterator:
    progress = rep.progress[peer]
    known = rep.state.admitted.get(peer) == progress.incarnation
    caught_up = progress.match_index >= rep.commit_index
    if progress.admitted or known or not caught_up:
        return
    if progress.incarnation in rep.readmitting:
        return
    rep.readmitting.add(progress.incarnation)
    command = commands.ReadmitReplica(peer, progress.incarnation)
    yield from _propose(rep, now_ms, command, None)


def _on_install(rep: replica_state.Replica, now_ms: int, message) -> Iterator:
    if message.term < rep.term:
        yield _append_reply(rep, message, False, 0)
        return
    yield from _follow(rep, now_ms, message)
    snapshot = message.snapshot
    if snapshot.index > rep.applied_index:
        _adopt_snapshot(rep, snapshot)
        yield msgs.PersistSnapshot(snapshot, _KEEP_NONE)
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
    matches = [progress.match_index for progress in replica_state.counted(rep)]
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
    grown = rep.applied_index - rep.snapshot_index
    if grown >= rep.cfg.snapshot_entries:
        yield _compact(rep)


def _apply_next(rep: replica_state.Replica) -> Iterator:
    index = rep.applied_index + 1
    entry = rep.tail.entries[index - rep.tail.base_index - 1]
    result = control_state.apply(rep.state, entry)
    rep.applied_index = index
    yield msgs.Applied(entry, result)
    waiter = rep.waiters.pop(index, None)
    if waiter is not None:
        yield _answer(rep, waiter, result)


def _compact(rep: replica_state.Replica):
    snapshot = _take_snapshot(rep)
    rep.snapshot_index = rep.applied_index
    oldest = rep.tail.base_index
    first_kept = max(oldest, rep.applied_index - rep.cfg.kept_entries)
    log_entries.compact(rep.tail, first_kept)
    return msgs.PersistSnapshot(snapshot, first_kept + 1)


def _check_admission(rep: replica_state.Replica, now_ms: int) -> Iterator:
    admitted = rep.state.admitted.get(rep.cfg.replica_id) == rep.incarnation
    if admitted and rep.admitted_index < 0:
        rep.admitted_index = rep.applied_index
        yield _hard_state(rep)
    # After a restart the readmission may be in the log without being known
    # to be committed; what the disk remembers of it counts.
    remembered = rep.applied_index < rep.admitted_index
    if not admitted and not remembered and rep.admitted_index >= 0:
        rep.admitted_index = -1
        yield _hard_state(rep)
    event = "admitted" if rep.admitted_index >= 0 else "revoked"
    yield from _raise(rep, event, now_ms)


def _assert_committed_stay(rep: replica_state.Replica, entries) -> None:
    for entry in entries:
        held = log_entries.term_at(rep.tail, entry.index)
        if entry.index <= rep.commit_index and held not in (None, entry.term):
            raise TermRegressedError(
                f"index {entry.index}: {held}, {entry.term}"
            )


# Shared by all.


def _raise(rep: replica_state.Replica, event: str, now_ms: int) -> Iterator:
    yield from charting.fire(rep.chart, rep, event, now_ms, None)


def _reset_election(
    rep: replica_state.Replica, now_ms: int, _payload
) -> Iterator:
    _set_election_due(rep, now_ms)
    yield from ()


def _set_election_due(rep: replica_state.Replica, now_ms: int) -> None:
    jitter_ms = rep.rng.randrange(rep.cfg.election_ms)
    rep.election_due_ms = now_ms + rep.cfg.election_ms + jitter_ms


def _hard_state(rep: replica_state.Replica):
    return msgs.PersistHardState(
        msgs.HardState(rep.term, rep.voted_for, rep.admitted_index)
    )


def _leader_changed(rep: replica_state.Replica):
    return msgs.LeaderChanged(rep.phase, rep.term, rep.leader_id)


guards: dict = {}
actions = {
    "reset_election": _reset_election,
    "start_prevote": _start_prevote,
    "start_election": _start_election,
    "become_leader": _become_leader,
    "fail_pending": _fail_pending,
    "hand_over": _hand_over,
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
    msgs.InstallSnapshot: _on_install,
    msgs.TimeoutNow: _on_timeout_now,
}
