"""Memory of engines, divided among the nodes that send to them.

Each node may fill an equal part of a fraction (`memory_use.PARTS_RATIO`) of an
engine's memory with its requests, without asking. For what exceeds its part it
claims memory from the agent of the engine (see `memory_claims`). Neither
depends on the reports of other nodes.

The requests of all nodes fit into an engine's memory, because

- a node divides by the largest number of nodes that it knew of within
  `memory_use.FLEET_MEMORY_MS`, so that nodes out of touch keep their parts;
- a new process uses no part until the requests of its predecessor must have
  ended;
- a request counts until the engine has answered it in full, or else until its
  deadline and `memory_use.LET_GO_MS` have passed.

If the agent is silent or has a rival, the node relies on the reports. It then
fills at most an equal part of all memory, or sends one request that leaves
the engine half empty.
"""

from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import calls, presence, sharing
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.limits import memory_claims, memory_use

__all__ = [
    "accept_answer",
    "candidates",
    "is_awaiting",
    "is_granted",
    "secure",
]

# Fraction of an engine's memory up to which a node relies on reports.
UNGUARDED_RATIO = 0.5
# Time in which an agent answers, and for which one that did not, or could not
# grant yet, is not asked again.
ANSWER_TIMEOUT_MS = 120
SILENCE_MS = 2000
# Interval at which a claim without an answer is repeated. The first message
# to a process that is not connected is lost, in either direction.
REPEAT_INTERVAL_MS = 20
# Time for which an engine whose memory is taken is not asked again.
FULL_PAUSE_MS = 50


def candidates(
    memory: memory_use.Memory,
    call: calls.Call,
    room: memory_use.Room,
    upstreams,
    loads: sharing.Loads,
    now_ms: int,
) -> list:
    """Leave out engines whose memory is taken.

    Parameters
    ----------
    memory
        What the node's requests occupy.
    call
        A waiting call.
    room
        What it needs.
    upstreams
        Engines to choose from.
    loads
        Known loads.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    list of Upstream
        Only the engine at which the call has a claim, if it is among them.
    """
    claim = memory.claims.get(call.call_id)
    is_claimed = claim is not None and (
        claim.is_granted or now_ms - claim.asked_ms < ANSWER_TIMEOUT_MS
    )
    claimed_id = claim.upstream_id if is_claimed else ""
    open_upstreams = []
    for upstream in upstreams:
        upstream_id = upstream.announcement.upstream_id
        if upstream_id == claimed_id:
            return [upstream]
        if _is_open(memory, room, upstream_id, loads, now_ms):
            open_upstreams.append(upstream)
    return open_upstreams


def _is_open(
    memory, room: memory_use.Room, upstream_id: str, loads, now_ms
) -> bool:
    """Return whether a call can be sent to an engine or claim its memory."""
    if _fits_into_part(memory, room, upstream_id):
        return True
    if not _is_unguarded(memory, upstream_id, now_ms):
        return memory.full_until_ms.get(upstream_id, 0) <= now_ms
    own_tokens = sharing.own_load(loads, upstream_id).reserved_tokens
    if own_tokens + room.tokens <= room.unguarded_tokens:
        return True
    total = sharing.total_load(loads, upstream_id, now_ms).reserved_tokens
    limit_tokens = UNGUARDED_RATIO * room.kv_tokens
    return total <= 0 or not own_tokens and total + room.tokens <= limit_tokens


def _is_unguarded(
    memory: memory_use.Memory, upstream_id: str, now_ms: int
) -> bool:
    return memory.unguarded_until_ms.get(upstream_id, 0) > now_ms


def _fits_into_part(
    memory: memory_use.Memory, room: memory_use.Room, upstream_id: str
) -> bool:
    return (
        not memory.is_binding
        or memory.unclaimed[upstream_id] + room.tokens <= room.part_tokens
    )


def is_awaiting(memory: memory_use.Memory, call: calls.Call) -> bool:
    """Return whether a call waits for the answer to a claim."""
    claim = memory.claims.get(call.call_id)
    return claim is not None and not claim.is_granted


def is_granted(memory: memory_use.Memory, call: calls.Call) -> bool:
    """Return whether a waiting call has memory at an engine."""
    claim = memory.claims.get(call.call_id)
    return claim is not None and claim.is_granted


def secure(
    memory: memory_use.Memory,
    call: calls.Call,
    room: memory_use.Room,
    announcement: presence.Announcement,
    loads: sharing.Loads,
    now_ms: int,
) -> Iterator:
    """Secure the memory that a call needs before it is sent.

    Parameters
    ----------
    memory
        What the node's requests occupy. Modified in place.
    call
        A waiting call.
    room
        What it needs.
    announcement
        The engine that was chosen for it.
    loads
        Known loads.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    ToAgent, Trace
        A claim, or the release of one at another engine.

    Returns
    -------
    bool
        Whether the call may be sent now; if not, it waits for an answer.
    """
    upstream_id = announcement.upstream_id
    claim = memory.claims.get(call.call_id)
    if claim is not None and claim.upstream_id == upstream_id:
        if claim.is_granted:
            return True
        if now_ms - claim.asked_ms < ANSWER_TIMEOUT_MS:
            if now_ms - claim.sent_ms >= REPEAT_INTERVAL_MS:
                yield from _ask(
                    memory, call, room, announcement, loads, now_ms
                )
            return False
        memory.unguarded_until_ms[upstream_id] = now_ms + SILENCE_MS
        yield _trace_awaited(memory, call, claim, "silent", now_ms)
    yield from memory_use.release(memory, call)
    if _fits_into_part(memory, room, upstream_id):
        return True
    if _is_unguarded(memory, upstream_id, now_ms):
        return _is_open(memory, room, upstream_id, loads, now_ms)
    memory.claims[call.call_id] = memory_use.Claim(
        next(memory.numbers), upstream_id, announcement.address, now_ms, now_ms
    )
    yield from _ask(memory, call, room, announcement, loads, now_ms)
    return False


def _ask(memory, call, room, announcement, loads, now_ms) -> Iterator:
    """Send the claim of a call."""
    claim = memory.claims[call.call_id]
    claim.sent_ms = now_ms
    message = memory_claims.MemoryClaim(
        memory.sender,
        memory.process,
        claim.number,
        call.call_id,
        claim.upstream_id,
        announcement.born_ms,
        room.tokens,
        int(memory_claims.CLAIMED_RATIO * room.kv_tokens),
        sharing.total_load(loads, claim.upstream_id, now_ms).reserved_tokens,
        call.deadline_ms - now_ms + memory_use.LET_GO_MS,
        memory.longest_ms,
    )
    yield memory_use.ToAgent(announcement.address, message)


def _trace_awaited(
    memory: memory_use.Memory,
    call: calls.Call,
    claim: memory_use.Claim,
    reason: str,
    now_ms: int,
) -> Trace:
    return Trace(
        "engine.memory_awaited",
        {
            "request_id": call.request.request_id,
            "upstream": claim.upstream_id,
            "reason": reason,
            "took_ms": now_ms - claim.asked_ms,
            "unclaimed_tokens": memory.unclaimed[claim.upstream_id],
            "fleet_size": memory_use.fleet_size(memory, now_ms),
        },
    )


def accept_answer(
    memory: memory_use.Memory,
    answer: memory_claims.MemoryAnswer,
    call: calls.Call | None,
    now_ms: int,
) -> Iterator:
    """Record the answer of an agent.

    Parameters
    ----------
    memory
        What the node's requests occupy. Modified in place.
    answer
        The answer.
    call
        The call that it is for; None if it has ended.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Trace
        If the memory is not granted. A grant that comes too late ends at the
        agent with the deadline of the request.
    """
    claim = memory.claims.get(answer.call_id)
    if call is None or claim is None or claim.number != answer.number:
        return
    if answer.answer == memory_claims.Answer.GRANTED:
        claim.is_granted = True
        return
    memory.claims.pop(answer.call_id)
    is_full = answer.answer == memory_claims.Answer.FULL
    untils = memory.full_until_ms if is_full else memory.unguarded_until_ms
    pause_ms = FULL_PAUSE_MS if is_full else SILENCE_MS
    untils[answer.upstream_id] = now_ms + pause_ms
    yield _trace_awaited(memory, call, claim, answer.answer, now_ms)
