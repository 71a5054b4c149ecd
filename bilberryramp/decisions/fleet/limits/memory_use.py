"""What a node's requests occupy at the engines, and its part of their memory.

See `engine_memory` for how the parts and the claims add up.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import calls, presence, sharing
from bilberryramp.decisions.fleet.limits import memory_claims

__all__ = [
    "Claim",
    "Memory",
    "Remnant",
    "Room",
    "ToAgent",
    "end_use",
    "fleet_size",
    "let_go_of_ended",
    "record_fleet_size",
    "record_timeouts",
    "release",
    "room_for",
    "start_use",
]

# Fraction of an engine's memory that is divided among the nodes.
PARTS_RATIO = 0.25
# Fraction of an engine's memory that all nodes together fill.
WHOLE_RATIO = PARTS_RATIO + memory_claims.CLAIMED_RATIO
# Time after its deadline in which an engine has dropped a request.
LET_GO_MS = 500
# Time for which the largest number of nodes counts.
FLEET_MEMORY_MS = 120_000
_SURE_ENDS = (
    *calls.NOTHING_SENT,
    calls.AttemptOutcome.DELIVERED,
    calls.AttemptOutcome.FAILED,
    calls.AttemptOutcome.NOT_RUN,
    calls.AttemptOutcome.TARGET_MISSING,
)


@dataclasses.dataclass(slots=True, frozen=True)
class ToAgent:
    """Effect: send a message to the agent of an engine.

    Attributes
    ----------
    address
        Address of the engine.
    message
        `MemoryClaim` or `MemoryRelease`.
    """

    address: str
    message: memory_claims.MemoryClaim | memory_claims.MemoryRelease


@dataclasses.dataclass(slots=True)
class Claim:
    """A claim for a call.

    Attributes
    ----------
    number
        Number of the claim.
    upstream_id, address
        The engine.
    asked_ms, sent_ms
        When it was claimed, and when the claim was last sent.
    is_granted
        Whether the agent has granted it.
    """

    number: int
    upstream_id: str
    address: str
    asked_ms: int
    sent_ms: int
    is_granted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Remnant:
    """Memory of an ended call that its engine may still hold."""

    upstream_id: str
    born_ms: int
    tokens: int
    is_claimed: bool
    until_ms: int


@dataclasses.dataclass(slots=True)
class Memory:
    """What a node's requests occupy at the engines.

    Attributes
    ----------
    sender, process
        Address of the node, and start of its process in milliseconds of
        wall-clock time.
    numbers
        Numbers of claims.
    unclaimed
        Tokens in the node's own part, by upstream identifier.
    claims
        Claims of calls that wait or run, by call identifier.
    remnants
        What engines may still hold of ended calls.
    full_until_ms
        Until when an engine's memory is not claimed again.
    unguarded_until_ms
        Until when an engine's agent is not asked, because it grants nothing.
    fleet_sizes
        Times and numbers of nodes, of which no later one is larger.
    longest_ms
        Time in which each request has surely ended.
    is_binding
        Whether engines end if their requests exceed their memory. If not, as
        where they preempt requests instead, nothing is claimed or counted.
    """

    sender: str
    process: int = 0
    numbers: Iterator = dataclasses.field(default_factory=itertools.count)
    unclaimed: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    claims: dict[int, Claim] = dataclasses.field(default_factory=dict)
    remnants: list[Remnant] = dataclasses.field(default_factory=list)
    full_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    unguarded_until_ms: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    fleet_sizes: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    longest_ms: int = LET_GO_MS
    is_binding: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Room:
    """Memory that a call needs at an engine, and what the node may fill.

    Attributes
    ----------
    tokens
        Memory that the call needs.
    kv_tokens
        Memory of each engine of the service.
    part_tokens, unguarded_tokens
        The node's part of it, and its part while claims are not granted.
    """

    tokens: int
    kv_tokens: int
    part_tokens: int
    unguarded_tokens: int


def record_fleet_size(memory: Memory, node_count: int, now_ms: int) -> None:
    """Record how many nodes there are, this one included."""
    sizes = memory.fleet_sizes
    while sizes and sizes[-1][1] <= node_count:
        sizes.pop()
    sizes.append((now_ms, node_count))


def fleet_size(memory: Memory, now_ms: int) -> int:
    """Return the largest number of nodes within `FLEET_MEMORY_MS`."""
    # A number counts until FLEET_MEMORY_MS after the next one replaced it.
    sizes = memory.fleet_sizes
    while len(sizes) > 1 and now_ms - sizes[1][0] > FLEET_MEMORY_MS:
        sizes.popleft()
    return sizes[0][1] if sizes else 1


def record_timeouts(memory: Memory, timeouts_ms) -> None:
    """Record the timeouts of all routes, in milliseconds."""
    for timeout_ms in timeouts_ms:
        memory.longest_ms = max(memory.longest_ms, timeout_ms + LET_GO_MS)


def room_for(
    memory: Memory, tokens: int, kv_tokens: int, age_ms: int, now_ms: int
) -> Room:
    """Return what a call needs at an engine, and the node's part there.

    Parameters
    ----------
    memory
        What the node's requests occupy. Modified in place.
    tokens, kv_tokens
        As in `Room`.
    age_ms
        Time since the start of the node's process in milliseconds.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Room
        The part is empty while requests of an earlier process may run.
    """
    size = fleet_size(memory, now_ms)
    ratio = PARTS_RATIO if size > 1 else 1.0
    part = int(ratio * kv_tokens / size) if age_ms >= memory.longest_ms else 0
    return Room(tokens, kv_tokens, part, int(WHOLE_RATIO * kv_tokens / size))


def release(memory: Memory, call: calls.Call) -> Iterator:
    """Give up the claim of a call that holds no memory at its engine.

    Parameters
    ----------
    memory
        What the node's requests occupy. Modified in place.
    call
        The call.

    Yields
    ------
    ToAgent
        The release, if the call has a claim.
    """
    claim = memory.claims.pop(call.call_id, None)
    if claim is not None:
        message = memory_claims.MemoryRelease(
            memory.sender, memory.process, claim.number, claim.upstream_id
        )
        yield ToAgent(claim.address, message)


def start_use(memory: Memory, call: calls.Call) -> None:
    """Count the memory of a call that is sent."""
    if memory.is_binding and call.call_id not in memory.claims:
        memory.unclaimed[call.upstream_id] += call.reserved_tokens


def end_use(memory: Memory, call: calls.Call) -> Iterator:
    """Release the memory of an ended attempt, unless the engine may hold it.

    Parameters
    ----------
    memory
        What the node's requests occupy. Modified in place.
    call
        The call; its `last_outcome` is None if it ended without an outcome.

    Yields
    ------
    ToAgent
        Release of the call's claim.

    Returns
    -------
    int
        Tokens that the engine may still hold.
    """
    if not memory.is_binding:
        return 0
    is_claimed = call.call_id in memory.claims
    if call.last_outcome in _SURE_ENDS or not call.reserved_tokens:
        if not is_claimed:
            memory.unclaimed[call.upstream_id] -= call.reserved_tokens
        yield from release(memory, call)
        return 0
    memory.claims.pop(call.call_id, None)
    memory.remnants.append(
        Remnant(
            call.upstream_id,
            call.target.born_ms,
            call.reserved_tokens,
            is_claimed,
            call.deadline_ms + LET_GO_MS,
        )
    )
    return call.reserved_tokens


def let_go_of_ended(
    memory: Memory, loads: sharing.Loads, table: presence.Table, now_ms: int
) -> None:
    """Stop counting what no engine can hold any more.

    Parameters
    ----------
    memory
        What the node's requests occupy. Modified in place.
    loads
        Known loads. Modified in place.
    table
        Table of upstreams.
    now_ms
        Current time in milliseconds.
    """
    remaining = []
    for remnant in memory.remnants:
        upstream = table.upstreams.get(remnant.upstream_id)
        is_gone = (
            upstream is None
            or upstream.announcement.born_ms != remnant.born_ms
        )
        if not is_gone and now_ms < remnant.until_ms:
            remaining.append(remnant)
            continue
        load = sharing.own_load(loads, remnant.upstream_id)
        load.reserved_tokens -= remnant.tokens
        sharing.record_load_change(loads, remnant.upstream_id, 0)
        if not remnant.is_claimed:
            memory.unclaimed[remnant.upstream_id] -= remnant.tokens
    memory.remnants = remaining
