"""Messages by which nodes tell one another of departing upstreams."""

import asyncio
import dataclasses
import random

from bilberryramp.decisions.fleet.core import departures, presence
from bilberryramp.decisions.fleet.register import operator_calls
from bilberryramp.tasks import peer_mesh

__all__ = [
    "DepartureRelays",
    "answer",
    "query",
    "query_in_turn",
    "record_ack",
    "relay",
    "relay_unknown",
]

# Time for which the answer to a departing upstream waits for the peers; less
# than the 1 s after which the upstream tries another node.
RELAY_TIMEOUT_S = 0.6
# Interval at which a node compares its departures with those of some peer.
QUERY_INTERVAL_MS = 1000


@dataclasses.dataclass(slots=True)
class PendingRelay:
    """Relay of a departure that some peers have not acknowledged.

    Attributes
    ----------
    missing
        Addresses of the peers that have not acknowledged it.
    done
        Future that is resolved when all peers have acknowledged it or the
        relay has timed out.
    """

    missing: set[str]
    done: asyncio.Future


@dataclasses.dataclass(slots=True)
class DepartureRelays:
    """Relays and queries of departures of one node.

    Attributes
    ----------
    address
        Address of the node.
    mesh
        Sockets to the peers.
    rng
        Source of random peers.
    pending
        Relays that some peers have not acknowledged, by relay id.
    next_relay_id
        Id of the next relay.
    query_due_ms
        When a peer is queried next, in milliseconds.
    """

    address: str
    mesh: peer_mesh.Mesh
    rng: random.Random
    pending: dict[int, PendingRelay] = dataclasses.field(default_factory=dict)
    next_relay_id: int = 1
    query_due_ms: int = 0


def relay(
    relays: DepartureRelays,
    peers: tuple[str, ...],
    announcement: presence.Announcement,
    done: asyncio.Future,
) -> None:
    """Send a departure to all peers.

    Parameters
    ----------
    relays
        State of the node's relays. Modified in place.
    peers
        Addresses of the peers.
    announcement
        The departure.
    done
        As in `PendingRelay`.
    """
    relay_id = _begin_relay(relays, peers, done)
    message = operator_calls.Relay(relays.address, relay_id, announcement)
    peer_mesh.broadcast(relays.mesh, peers, message)


def relay_unknown(
    relays: DepartureRelays,
    peers: tuple[str, ...],
    upstream_id: str,
    done: asyncio.Future,
) -> None:
    """Send the departure of an upstream that this node does not know.

    Parameters
    ----------
    relays
        State of the node's relays. Modified in place.
    peers
        Addresses of the peers.
    upstream_id
        Id of the upstream.
    done
        As in `PendingRelay`.
    """
    relay_id = _begin_relay(relays, peers, done)
    message = operator_calls.UnknownDeparture(
        relays.address, relay_id, upstream_id
    )
    peer_mesh.broadcast(relays.mesh, peers, message)


def _begin_relay(
    relays: DepartureRelays, peers: tuple[str, ...], done: asyncio.Future
) -> int:
    relay_id = relays.next_relay_id
    relays.next_relay_id += 1
    relays.pending[relay_id] = PendingRelay(set(peers), done)
    loop = asyncio.get_running_loop()
    loop.call_later(RELAY_TIMEOUT_S, _end_relay, relays, relay_id)
    return relay_id


def record_ack(relays: DepartureRelays, ack: operator_calls.RelayAck) -> None:
    """Record that a peer knows a departure.

    Parameters
    ----------
    relays
        State of the node's relays. Modified in place.
    ack
        Acknowledgement of the peer.
    """
    pending = relays.pending.get(ack.relay_id)
    if pending is not None:
        pending.missing.discard(ack.sender)
        if not pending.missing:
            _end_relay(relays, ack.relay_id)


def _end_relay(relays: DepartureRelays, relay_id: int) -> None:
    pending = relays.pending.pop(relay_id, None)
    if pending is not None and not pending.done.done():
        pending.done.set_result(None)


def query(
    relays: DepartureRelays, peers, table: presence.Table, now_ms: int
) -> None:
    """Ask peers for departures that this node may have missed.

    Parameters
    ----------
    relays
        State of the node's relays.
    peers
        Addresses of the peers to ask.
    table
        Table of upstreams of the node.
    now_ms
        Current time in milliseconds.
    """
    if not peers:
        return
    known = departures.digest(departures.recent_departures(table, now_ms))
    message = operator_calls.DepartureQuery(relays.address, known)
    peer_mesh.broadcast(relays.mesh, peers, message)


def query_in_turn(
    relays: DepartureRelays,
    peers: tuple[str, ...],
    table: presence.Table,
    now_ms: int,
) -> None:
    """Ask a random peer once `QUERY_INTERVAL_MS` have passed.

    Parameters
    ----------
    relays
        State of the node's relays. Modified in place.
    peers
        Addresses of all peers.
    table
        Table of upstreams of the node.
    now_ms
        Current time in milliseconds.
    """
    if peers and now_ms >= relays.query_due_ms:
        relays.query_due_ms = now_ms + QUERY_INTERVAL_MS
        query(relays, (relays.rng.choice(peers),), table, now_ms)


def answer(
    relays: DepartureRelays,
    message: operator_calls.DepartureQuery,
    table: presence.Table,
    now_ms: int,
) -> None:
    """Send the recent departures to a peer that knows others.

    Parameters
    ----------
    relays
        State of the node's relays.
    message
        Query of the peer.
    table
        Table of upstreams of the node.
    now_ms
        Current time in milliseconds.
    """
    recent = departures.recent_departures(table, now_ms)
    if departures.digest(recent) == message.digest:
        return
    for announcement in recent:
        told = operator_calls.Relay(relays.address, 0, announcement)
        peer_mesh.send(relays.mesh, message.sender, told)
