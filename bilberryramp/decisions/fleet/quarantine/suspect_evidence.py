"""Evidence of one node for and against suspects.

Attempts that broke off accuse the identities of their request if the upstream
ended; complete runs clear them. Both are reported to the coordinator of the
quarantine. An upstream reads the whole prompt before its answer begins, so a
part that crashes upstreams does so before the answer or at its start: an
answer that goes on for `SURVIVAL_MS` clears the parts, and accuses none of
them if it breaks off later.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import calls, identities
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.quarantine import suspects, upstream_ends

__all__ = [
    "MAX_IDENTITIES",
    "MAX_RUNS",
    "SURVIVAL_MS",
    "record_answer_start",
    "record_attempt_end",
    "record_departure",
    "record_survival",
    "review",
    "send_reports",
    "survivors",
]

# Time for which a lost attempt is kept, so that it can be reported to a new
# coordinator.
LOST_TTL_MS = 60_000
# Time for which an attempt is kept whose client left or whose deadline passed;
# it counts only if its upstream turns out to have ended by then.
UNREPORTED_TTL_MS = 8_000
# Limit on the identities with lost attempts, of which the oldest are
# forgotten.
MAX_IDENTITIES = 4096
# Limits on the identities of each kind of which the last run is remembered.
MAX_RUNS = {identities.Kind.CONTENT: 2048, identities.Kind.PART: 4096}
# Time after the start of its answer from which on a call has outlasted the
# reading of its prompt.
SURVIVAL_MS = 1000

_BREAKS = (calls.AttemptOutcome.BROKEN, calls.AttemptOutcome.TRUNCATED)
_ANSWERS = (
    calls.AttemptOutcome.DELIVERED,
    calls.AttemptOutcome.FAILED,
    calls.AttemptOutcome.NOT_RUN,
)


def record_attempt_end(
    state: suspects.Suspects,
    call: calls.Call,
    outcome: calls.AttemptOutcome,
    now_ms: int,
) -> Iterator:
    """Record how an attempt of a call ended.

    A broken attempt is reported at once, because more requests with the same
    identities may be on their way. It accuses them only if the upstream ended.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    call
        The call, before its state changes.
    outcome
        Outcome of its attempt.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        The runs or losses.
    """
    if outcome in _ANSWERS and call.target is not None:
        key = (call.target.upstream_id, call.target.born_ms)
        state.answered_ms[key] = now_ms
    # An upstream may report a failure before it begins to run the request.
    if outcome is calls.AttemptOutcome.DELIVERED:
        yield from _record_runs(state, call.identities, now_ms)
    elif outcome in _BREAKS:
        if _keep_attempt(state, call, True, now_ms):
            yield from send_reports(state, now_ms, only_repeated=True)
    elif outcome is calls.AttemptOutcome.TIMED_OUT:
        _keep_attempt(state, call, False, now_ms)


def _of_kind(
    candidates: tuple[str, ...], kind: identities.Kind
) -> tuple[str, ...]:
    return tuple(i for i in candidates if identities.kind_of(i) is kind)


def record_answer_start(
    state: suspects.Suspects, call: calls.Call, now_ms: int
) -> None:
    """Record that the answer to a call has begun.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    call
        The call.
    now_ms
        Current time in milliseconds.
    """
    call.has_survived = False
    if len(call.identities) > 1:
        state.answering.append((now_ms, call.call_id, call.send_count))


def survivors(
    state: suspects.Suspects, active: dict[int, calls.Call], now_ms: int
) -> Iterator[calls.Call]:
    """Yield each call once when it has been answered for `SURVIVAL_MS`.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    active
        Calls that have not ended, by id.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Call
        The calls, which are still being answered.
    """
    while state.answering and now_ms - state.answering[0][0] >= SURVIVAL_MS:
        _, call_id, send_count = state.answering.popleft()
        call = active.get(call_id)
        if (
            call is not None
            and call.phase == "answering"
            and call.send_count == send_count
        ):
            yield call


def record_survival(
    state: suspects.Suspects, call: calls.Call, now_ms: int
) -> Iterator:
    """Clear the parts of a prompt whose answer goes on.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    call
        One of the `survivors`. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        Reports of the runs.
    """
    call.has_survived = True
    parts = _of_kind(call.identities, identities.Kind.PART)
    yield from _record_runs(state, parts, now_ms)


def record_departure(
    state: suspects.Suspects, call: calls.Call, now_ms: int
) -> None:
    """Record that a client left while an attempt was in progress.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    call
        The call, before its state changes.
    now_ms
        Current time in milliseconds.
    """
    if call.phase in ("sent", "answering"):
        _keep_attempt(state, call, False, now_ms)


def _record_runs(
    state: suspects.Suspects, proven: tuple[str, ...], now_ms: int
) -> Iterator:
    """Clear identities that ran until their upstream had answered.

    Other nodes may later lose upstreams under the same ones, so the runs are
    remembered.
    """
    for identity in proven:
        kind = identities.kind_of(identity)
        runs_ms = state.runs_ms[kind]
        runs_ms.pop(identity, None)
        runs_ms[identity] = now_ms
        if len(runs_ms) > MAX_RUNS[kind]:
            del runs_ms[next(iter(runs_ms))]
        kept = state.lost.pop(identity, {})
        was_reported = any(k.is_reported for k in kept.values())
        if was_reported or identity in state.published:
            state.published.pop(identity, None)
            yield suspects.ToCoordinator(msgs.RunReport(identity, 0))


def _keep_attempt(
    state: suspects.Suspects, call: calls.Call, is_reported: bool, now_ms: int
) -> bool:
    """Keep a lost attempt unless its upstream was leaving or silent before.

    After a start or a suspension, this node does not know yet which upstreams
    have ended. Its attempts then accuse somebody only if the coordinator knows
    that the upstream lived, and those from before a suspension nobody.
    """
    if call.target is None or not call.identities:
        return False
    _update_listening_if_late(state, now_ms)
    if call.sent_ms < state.listening.resumed_ms:
        return False
    attempt = _lost_attempt(state, call, now_ms)
    if attempt is None or upstream_ends.was_silent_before(
        attempt, state.table.heartbeat_ms
    ):
        return False
    accused = call.identities
    if _has_survived(call, now_ms):
        accused = _of_kind(accused, identities.Kind.CONTENT)
    is_new = False
    for identity in accused:
        is_new |= _accuse(state, call, attempt, identity, is_reported)
    while len(state.lost) > MAX_IDENTITIES:
        state.lost.pop(next(iter(state.lost)))
    return is_new


def _has_survived(call: calls.Call, now_ms: int) -> bool:
    return call.has_survived or (
        call.phase == "answering"
        and now_ms - call.answer_started_ms >= SURVIVAL_MS
    )


def _lost_attempt(
    state: suspects.Suspects, call: calls.Call, now_ms: int
) -> upstream_ends.LostAttempt | None:
    """Return the lost attempt of a call; None if its upstream was leaving."""
    target = call.target
    seq, heard_ms = target.seq, call.target_heard_ms
    upstream = state.table.upstreams.get(target.upstream_id)
    if (
        upstream is not None
        and upstream.announcement.born_ms == target.born_ms
    ):
        if upstream.leaving_since_ms >= 0:
            return None
        seq, heard_ms = upstream.announcement.seq, upstream.heard_ms
    key = (target.upstream_id, target.born_ms)
    answered_ms = state.answered_ms.get(key, 0)
    return upstream_ends.LostAttempt(
        "",
        call.service,
        target.upstream_id,
        target.address,
        target.born_ms,
        seq,
        call.sent_ms,
        now_ms,
        max(heard_ms, answered_ms),
        answered_ms,
        call.trial_id,
        is_unverified=upstream_ends.is_uncertain_at(
            state.listening, state.table.heartbeat_ms, call.sent_ms
        ),
    )


def _accuse(
    state: suspects.Suspects,
    call: calls.Call,
    attempt: upstream_ends.LostAttempt,
    identity: str,
    is_reported: bool,
) -> bool:
    """Keep a lost attempt for one identity; return False if it is known."""
    kept = state.lost.setdefault(identity, {})
    known = kept.get(attempt.key)
    if known is not None and known.is_reported:
        return False
    kind = identities.kind_of(identity)
    lost = dataclasses.replace(
        attempt,
        identity=identity,
        depth=identities.depth_of(call.identities, identity),
        has_run=identity in state.runs_ms[kind],
    )
    kept[lost.key] = suspects.KeptAttempt(lost, is_reported)
    if is_reported:
        state.unsent.append(lost)
    return True


def _update_listening_if_late(state: suspects.Suspects, now_ms: int) -> None:
    """Notice a suspension before the first review after it."""
    if now_ms - state.listening.checked_ms > 2 * suspects.REVIEW_INTERVAL_MS:
        upstream_ends.update_listening(state.listening, state.table, now_ms)


def send_reports(
    state: suspects.Suspects, now_ms: int, only_repeated: bool = False
) -> Iterator:
    """Send all reports in one message.

    First losses can wait for the next tick, so that the end of an upstream
    with many requests costs few messages. Without a coordinator nothing needs
    to be kept for it: `change_coordinator` reports all lost attempts.
    """
    if not state.coordinator:
        state.unsent.clear()
    if only_repeated and not any(
        lost.identity in state.published
        or len(state.lost.get(lost.identity, ())) > 1
        for lost in state.unsent
    ):
        return
    if state.unsent:
        reports, state.unsent = state.unsent, []
        yield suspects.ToCoordinator(
            msgs.LossReport(
                tuple(_encode_report(lost, now_ms) for lost in reports)
            )
        )


def _encode_report(lost: upstream_ends.LostAttempt, now_ms: int) -> tuple:
    reported = upstream_ends.encode_loss(lost, False, now_ms)
    return lost.identity, lost.service, reported


def review(state: suspects.Suspects, now_ms: int) -> Iterator:
    """Send reports that are due, and drop attempts that accuse nobody.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        At most one message.
    """
    yield from send_reports(state, now_ms)
    if now_ms - state.reviewed_ms < suspects.REVIEW_INTERVAL_MS:
        return
    state.reviewed_ms = now_ms
    upstream_ends.update_listening(state.listening, state.table, now_ms)
    for identity, kept in list(state.lost.items()):
        for key, attempt in list(kept.items()):
            if _is_outdated(state, attempt, now_ms):
                del kept[key]
        if not kept:
            del state.lost[identity]
    for key in list(state.answered_ms):
        if key[0] not in state.table.upstreams:
            del state.answered_ms[key]


def _is_outdated(
    state: suspects.Suspects, attempt: suspects.KeptAttempt, now_ms: int
) -> bool:
    """Update an attempt, and return whether to forget it."""
    lost = attempt.lost
    fate = upstream_ends.fate_of(lost, state.table, state.listening, now_ms)
    attempt.is_ended = fate in (
        upstream_ends.Fate.ENDED,
        upstream_ends.Fate.SILENT,
    )
    if fate in (upstream_ends.Fate.ALIVE, upstream_ends.Fate.LEFT):
        return True
    if attempt.is_ended and not attempt.is_reported:
        attempt.is_reported = True
        state.unsent.append(lost)
    ttl_ms = LOST_TTL_MS if attempt.is_reported else UNREPORTED_TTL_MS
    return now_ms - lost.ended_ms > ttl_ms
