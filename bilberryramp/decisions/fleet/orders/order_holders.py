"""Assign each engine to one node, the only one that orders it.

The register's leader chooses a few nodes as holders and commits their
addresses with its record. Every node derives from them, by rendezvous hashing,
which holder orders which engine, so a lost holder moves its own engines only.

A holder acts only while it has proof that its list of holders is the committed
one: an answer of the leader to a message that it sent at most
`STANDING_VALID_MS` ago. A node that takes an engine over waits until its
predecessor's proof and the order lease have expired.
"""

import dataclasses
import zlib
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.limits import memory_claims
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.decisions.shared import charting

__all__ = [
    "EngineCall",
    "EngineMessage",
    "EnginePaused",
    "EngineSeen",
    "Holder",
    "Standing",
    "Tick",
    "assign",
    "desired_holders",
    "new_holder",
    "step",
]

# Number of holders. Each further one costs messages; with too few, the loss of
# one leaves many engines without orders.
MAX_HOLDERS = 8
# A holder that was silent for this long is replaced. Its engines then wait for
# the takeover, so a holder that returns within seconds is better waited for.
# A new leader observes the nodes for LEADER_OBSERVATION_MS before it chooses
# any.
REPLACE_SILENT_AFTER_MS = 4500
LEADER_OBSERVATION_MS = 1000
# Time for which a leader listens for agents before it chooses the first
# holders; several times the interval at which agents make themselves known.
AGENT_OBSERVATION_MS = 5000
# A list with this many holders is extended only after REBALANCE_AFTER_MS
# without a change, since each change moves engines, which then wait.
MIN_HOLDERS = 2
REBALANCE_AFTER_MS = 60_000
# A list that was committed for this long is settled: no holder of an earlier
# list can still act. The time exceeds any order lease.
SETTLED_AFTER_MS = 10_000
# A node becomes a holder only if it was heard from within this time.
RECENTLY_HEARD_MS = 1500
# Time for which a proof of the standing is valid; several heartbeats of the
# leader.
STANDING_VALID_MS = 700
# An engine that was not announced for this long is forgotten.
ENGINE_EXPIRY_MS = 120_000
# The fencing token is FENCE_BASE, which exceeds the wall-clock times that
# agents use as tokens, plus the term and the sequence number of the record
# that made the node a holder.
FENCE_BASE = 2**41
FENCE_TERM_FACTOR = 2**31
# Id of the list of holders before the first one.
NO_LIST = (-1, -1)


@dataclasses.dataclass(slots=True, frozen=True)
class Standing:
    """The committed list of holders, as a node knows it.

    Attributes
    ----------
    holders
        Addresses of the holders.
    list_id, previous_id
        Term and sequence number of the records that introduced this list and
        the list before it; `NO_LIST` for none.
    as_of_ms
        Latest time at which the list is proved to have been the committed
        one.
    """

    holders: tuple[str, ...] = ()
    list_id: tuple[int, int] = NO_LIST
    previous_id: tuple[int, int] = NO_LIST
    as_of_ms: int = -(10**9)


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSeen:
    """An engine announced itself.

    Attributes
    ----------
    announcement
        Newest announcement of the engine.
    """

    announcement: presence.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class EngineMessage:
    """Report of an engine, or the end of an order to it.

    Attributes
    ----------
    upstream_id, born_ms
        Id of the engine and start of its process when the call began.
    message
        `EngineReport` or `OrderEnded`.
    """

    upstream_id: str
    born_ms: int
    message: agent.EngineReport | agent.OrderEnded


@dataclasses.dataclass(slots=True, frozen=True)
class EnginePaused:
    """An engine asked this node for a pause.

    Attributes
    ----------
    upstream_id, born_ms
        Id of the engine and start of the process that asked.
    until_ms
        When the pause ends.
    """

    upstream_id: str
    born_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Periodic message that lets the holder act on elapsed time."""


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCall:
    """Call an engine; answered by `EngineMessage`.

    Attributes
    ----------
    upstream_id, born_ms, address
        Id of the engine, start of its process, and its address.
    call
        `SendOrder` or `ReadEngine`.
    """

    upstream_id: str
    born_ms: int
    address: str
    call: agent.SendOrder | agent.ReadEngine


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine that this node knows.

    Attributes
    ----------
    announcement
        Its newest announcement.
    seen_ms
        When that arrived.
    acts_from_ms
        Time from which this node may order the engine.
    orders
        State of the orders to it; None while another node holds the engine.
    paused_until_ms
        End of the pause that its process asked for; 0 if it asked for none.
    """

    announcement: presence.Announcement
    seen_ms: int
    acts_from_ms: int
    orders: agent.Agent | None = None
    paused_until_ms: int = 0


@dataclasses.dataclass(slots=True)
class Holder:
    """State of one node as a holder.

    Attributes
    ----------
    address
        Address of this node.
    chart
        Bound ``engine_order`` chart.
    takeover_ms
        Time to wait before ordering an engine that another node held.
    standing
        Newest known list of holders.
    takeover_until_ms
        Time from which an engine may be ordered that was first seen with this
        list.
    engines
        Known engines by id.
    """

    address: str
    chart: charting.Chart
    takeover_ms: int
    standing: Standing = dataclasses.field(default_factory=Standing)
    takeover_until_ms: int = 0
    engines: dict[str, Engine] = dataclasses.field(default_factory=dict)


def new_holder(
    address: str, chart: charting.Chart, order_lease_ms: int
) -> Holder:
    """Create a holder without engines.

    Parameters
    ----------
    address
        Address of this node.
    chart
        Bound ``engine_order`` chart.
    order_lease_ms
        Time after the last order of a node during which no other node may
        order the same engine, in milliseconds.

    Returns
    -------
    Holder
        State for `step`.
    """
    return Holder(address, chart, order_lease_ms + STANDING_VALID_MS)


def assign(upstream_id: str, holders: tuple[str, ...]) -> str:
    """Return the holder of an engine.

    Parameters
    ----------
    upstream_id
        Id of the engine.
    holders
        Addresses of the holders.

    Returns
    -------
    str
        Address of the holder with the highest rendezvous hash; empty without
        holders.
    """
    return max(
        holders,
        key=lambda address: (
            zlib.crc32(f"{address} {upstream_id}".encode()),
            address,
        ),
        default="",
    )


def desired_holders(
    holders: tuple[str, ...],
    own_address: str,
    heard_ms: dict[str, int],
    durable: frozenset[str],
    now_ms: int,
    leadership_ms: int,
    unchanged_ms: int,
) -> tuple[str, ...]:
    """Return the list of holders that the leader should establish.

    Holders keep their place until they are silent, so that engines change
    hands rarely. Nodes with a disk are preferred, because a restarted one
    knows that it held its engines before.

    Parameters
    ----------
    holders
        Current holders.
    own_address
        Address of the leader.
    heard_ms
        When each other node was last heard from, by address.
    durable
        Addresses of the nodes with a disk.
    now_ms
        Current time in milliseconds.
    leadership_ms, unchanged_ms
        Time since the leader was elected, and since it knows the current
        list, in milliseconds.

    Returns
    -------
    tuple of str
        Sorted addresses; `holders` itself if nothing is to change.
    """
    if leadership_ms < LEADER_OBSERVATION_MS:
        return holders
    silence_ms = {
        address: now_ms - last_ms for address, last_ms in heard_ms.items()
    }
    silence_ms[own_address] = 0
    # A new leader has not yet heard from all nodes that are running.
    max_silence_ms = (
        REPLACE_SILENT_AFTER_MS
        if leadership_ms >= REPLACE_SILENT_AFTER_MS
        else now_ms
    )
    kept = [
        address
        for address in holders
        if silence_ms.get(address, REPLACE_SILENT_AFTER_MS) < max_silence_ms
    ]
    recent = {
        address
        for address, silent_ms in silence_ms.items()
        if silent_ms < RECENTLY_HEARD_MS
    }
    eligible = recent & durable
    if len(eligible) < MIN_HOLDERS:
        eligible = recent
    candidates = sorted(
        eligible - set(holders),
        # A hash spreads the holders over failure domains, whose addresses
        # are similar.
        key=lambda address: zlib.crc32(address.encode()),
    )
    may_extend = (
        not holders
        or len(kept) < MIN_HOLDERS
        or unchanged_ms >= REBALANCE_AFTER_MS
    )
    vacancies = max(MAX_HOLDERS - len(kept), 0) if may_extend else 0
    desired = tuple(sorted(kept + candidates[:vacancies]))
    return desired if desired != tuple(sorted(holders)) else holders


def step(holder: Holder, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    holder
        State of the holder. Modified in place.
    now_ms
        Current time in milliseconds.
    message
        `Standing`, `EngineSeen`, `EngineMessage`, `EnginePaused`,
        `ResidencyRequest`, `MemoryClaim`, `MemoryRelease` or `Tick`.

    Yields
    ------
    effect
        `EngineCall`, or `Notify` or `Trace` of the agent.
    """
    yield from _HANDLERS[type(message)](holder, now_ms, message)


def _on_standing(holder: Holder, now_ms: int, standing: Standing) -> Iterator:
    previous = holder.standing
    holder.standing = standing
    if standing.list_id == previous.list_id:
        return
    # Engines that this node has held without a gap need no waiting time.
    # Before the first list, agents may have given orders.
    is_next = standing.previous_id == previous.list_id
    holder.takeover_until_ms = now_ms + holder.takeover_ms
    for upstream_id, engine in holder.engines.items():
        was_held = assign(upstream_id, previous.holders) == holder.address
        if not (is_next and was_held):
            engine.acts_from_ms = holder.takeover_until_ms
            engine.orders = None
        _update_orders(holder, upstream_id, engine)
    yield from ()


def _update_orders(holder: Holder, upstream_id: str, engine: Engine) -> None:
    """Start or end the orders to an engine, as the list of holders says."""
    is_held = assign(upstream_id, holder.standing.holders) == holder.address
    if not is_held:
        engine.orders = None
    elif engine.orders is None:
        engine.orders = agent.new_agent(
            holder.chart, _fence(holder.standing), is_remote=True
        )
    else:
        engine.orders.fence = max(engine.orders.fence, _fence(holder.standing))


def _fence(standing: Standing) -> int:
    term, seq = standing.list_id
    return FENCE_BASE + term * FENCE_TERM_FACTOR + seq


def _on_engine_seen(holder: Holder, now_ms: int, seen: EngineSeen) -> Iterator:
    announcement = seen.announcement
    upstream_id = announcement.upstream_id
    engine = holder.engines.get(upstream_id)
    if engine is None:
        engine = holder.engines[upstream_id] = Engine(
            announcement, now_ms, holder.takeover_until_ms
        )
    elif engine.announcement.born_ms != announcement.born_ms:
        # The new process has accepted no orders and holds no models.
        engine.orders = None
        engine.paused_until_ms = 0
    engine.announcement, engine.seen_ms = announcement, now_ms
    _update_orders(holder, upstream_id, engine)
    message = agent.ResidencyAnnounced(announcement.held)
    yield from _step_engine(holder, now_ms, engine, message)


def _on_request(
    holder: Holder,
    now_ms: int,
    req: agent.ResidencyRequest
    | memory_claims.MemoryClaim
    | memory_claims.MemoryRelease,
) -> Iterator:
    engine = holder.engines.get(req.upstream_id)
    if engine is not None:
        yield from _step_engine(holder, now_ms, engine, req)


def _on_engine_message(
    holder: Holder, now_ms: int, received: EngineMessage
) -> Iterator:
    engine = holder.engines.get(received.upstream_id)
    if engine is not None and engine.announcement.born_ms == received.born_ms:
        yield from _step_engine(holder, now_ms, engine, received.message)


def _on_engine_paused(
    holder: Holder, now_ms: int, paused: EnginePaused
) -> Iterator:
    engine = holder.engines.get(paused.upstream_id)
    if engine is not None and engine.announcement.born_ms == paused.born_ms:
        engine.paused_until_ms = max(engine.paused_until_ms, paused.until_ms)
    yield from ()


def _on_tick(holder: Holder, now_ms: int, _message) -> Iterator:
    for upstream_id, engine in list(holder.engines.items()):
        if now_ms - engine.seen_ms > ENGINE_EXPIRY_MS:
            holder.engines.pop(upstream_id)
        elif engine.orders is not None and agent.needs_tick(engine.orders):
            yield from _step_engine(holder, now_ms, engine, agent.Tick())


def _step_engine(
    holder: Holder, now_ms: int, engine: Engine, message
) -> Iterator:
    """Pass a message to the agent of an engine that this node holds."""
    if engine.orders is None:
        return
    engine.orders.may_order = (
        now_ms >= engine.acts_from_ms
        and now_ms >= engine.paused_until_ms
        and now_ms - holder.standing.as_of_ms < STANDING_VALID_MS
    )
    announcement = engine.announcement
    for effect in agent.step(engine.orders, now_ms, message):
        if isinstance(effect, agent.SendOrder | agent.ReadEngine):
            yield EngineCall(
                announcement.upstream_id,
                announcement.born_ms,
                announcement.address,
                effect,
            )
        else:
            yield effect


_HANDLERS = {
    Standing: _on_standing,
    EngineSeen: _on_engine_seen,
    EngineMessage: _on_engine_message,
    EnginePaused: _on_engine_paused,
    agent.ResidencyRequest: _on_request,
    memory_claims.MemoryClaim: _on_request,
    memory_claims.MemoryRelease: _on_request,
    Tick: _on_tick,
}
