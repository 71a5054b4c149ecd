"""Memory that a listener holds for its clients, and who may hold more of it.

Each listener has a ledger of bytes by connection. What arrives unasked for is
charged; what is read on purpose is asked for first. A part of the budget is
kept for small requests, so that large ones cannot keep the others out.
"""

import dataclasses
import enum
from collections.abc import Iterator

__all__ = [
    "CONNECTION_BYTES",
    "Budget",
    "Descriptors",
    "Holding",
    "Kind",
    "Ledger",
    "Reply",
    "ask",
    "close",
    "grants",
    "may_open",
    "new_ledger",
    "open_holding",
    "peer_connections",
    "release",
    "set_held",
    "short_bytes",
    "split_budget",
    "split_descriptors",
    "whole_budget",
    "withdraw",
]

# Objects of a connection in this process, with a request in progress.
CONNECTION_BYTES = 16 * 1024
# Largest total of a connection that counts as small.
SMALL_BYTES = 64 * 1024
# What a connection keeps in its buffers while it waits for memory.
WAITING_BYTES = 128 * 1024
# Parts of a ledger's budget for small requests, and for connections as such.
SMALL_PART = 0.25
CONNECTIONS_PART = 0.5
# Part of the memory that is free after the start which clients may use. The
# rest is for the growth of the process's own state.
CLIENTS_PART = 0.5
# Part of the memory that counts as free at least, so that a process which has
# grown still serves small requests.
MIN_FREE_PART = 0.125
# Parts of the clients' budget by listener.
LISTENER_PARTS = {
    "clients": 5 / 8,
    "operators": 5 / 16,
    "readiness": 1 / 32,
    "metrics": 1 / 32,
}
# Descriptors for listening sockets, files and logs, and for each peer.
OWN_DESCRIPTORS = 24
PEER_DESCRIPTORS = 2
# Descriptors that the platform sets aside.
RESERVED_DESCRIPTORS = 200
# Part of the rest, and at most so many, for the connections of the listeners
# beside that of the clients.
OTHER_LISTENERS = {
    "operators": (1 / 8, 128),
    "readiness": (1 / 16, 32),
    "metrics": (1 / 32, 16),
}
# Part of the descriptors for connections that peers open, and their least
# number.
PEERS_PART = 0.25
MIN_PEER_CONNECTIONS = 16
# Least part of the rest that is for clients, whatever upstreams may take.
MIN_CLIENT_PART = 0.25
# Part of the descriptors of a process with one listener, and at least so many,
# that its other sockets and files have, and connections that are accepted in
# one step of the event loop before the first of them can be closed.
OWN_PART = 0.25
MIN_OWN_DESCRIPTORS = 160


class Kind(enum.Enum):
    """What bytes are held for."""

    CONNECTION = "connection"
    """The connection as such."""
    HEAD = "head"
    """Heads that are being read or belong to the current request."""
    BODY = "body"
    """The body of the current request, with its copy on the way out."""
    AHEAD = "ahead"
    """Input behind the current request."""
    RELAY = "relay"
    """The answer of an upstream that is read to its end first."""
    ANSWER = "answer"
    """Output that the client has not read."""


class Reply(enum.Enum):
    """Answer to a connection that asks for memory."""

    GRANTED = "granted"
    WAIT = "wait"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True, frozen=True)
class Budget:
    """Limits of one listener.

    Attributes
    ----------
    total_bytes
        Bytes that may be held for all its clients.
    small_bytes
        Part of these that only small requests may use.
    max_connections
        Number of connections that may be open.
    """

    total_bytes: int
    small_bytes: int
    max_connections: int


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What is held for one connection.

    Attributes
    ----------
    key
        Identifies the connection to the caller.
    held
        Bytes by kind.
    total_bytes
        Sum of these.
    asked_bytes, asked_kind
        Bytes for which the connection waits, and what for; 0 if it does not.
    """

    key: object
    held: dict[Kind, int]
    total_bytes: int
    asked_bytes: int = 0
    asked_kind: Kind = Kind.BODY


@dataclasses.dataclass(slots=True)
class Ledger:
    """What is held for all connections of a listener.

    Attributes
    ----------
    budget
        Limits. They may be replaced at any time.
    held
        Bytes by kind.
    total_bytes
        Sum of these.
    connection_count
        Number of open connections.
    waiting
        Holdings that wait for memory, oldest first.
    """

    budget: Budget
    held: dict[Kind, int]
    total_bytes: int = 0
    connection_count: int = 0
    waiting: dict[Holding, None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Descriptors:
    """What the descriptors of a process are needed for.

    Attributes
    ----------
    limit
        Number of descriptors that the process may have.
    upstream_connections
        Number of connections that it may open to upstreams.
    peers
        Number of other nodes.
    """

    limit: int
    upstream_connections: int
    peers: int


def split_budget(
    memory_bytes: int, resident_bytes: int, needs: Descriptors
) -> dict[str, Budget]:
    """Return the budget of each listener of a node.

    Parameters
    ----------
    memory_bytes
        Memory limit of the process.
    resident_bytes
        Memory that it takes before it has clients.
    needs
        What descriptors are needed for.

    Returns
    -------
    dict of str to Budget
        Budgets by name of the listener.
    """
    free_bytes = max(
        memory_bytes - resident_bytes, int(MIN_FREE_PART * memory_bytes)
    )
    connections = split_descriptors(needs)
    return {
        name: _make_budget(
            int(CLIENTS_PART * part * free_bytes), connections[name]
        )
        for name, part in LISTENER_PARTS.items()
    }


def whole_budget(
    memory_bytes: int, resident_bytes: int, max_descriptors: int
) -> Budget:
    """Return the budget of the only listener of a process.

    Parameters
    ----------
    memory_bytes
        Memory limit of the process.
    resident_bytes
        Memory that it takes before it has clients.
    max_descriptors
        Number of descriptors that the process may have.

    Returns
    -------
    Budget
        Budget of the listener.
    """
    free_bytes = max(
        memory_bytes - resident_bytes, int(MIN_FREE_PART * memory_bytes)
    )
    own = max(int(OWN_PART * max_descriptors), MIN_OWN_DESCRIPTORS)
    return _make_budget(int(CLIENTS_PART * free_bytes), max_descriptors - own)


def _make_budget(total_bytes: int, max_connections: int) -> Budget:
    affordable = int(CONNECTIONS_PART * total_bytes) // CONNECTION_BYTES
    return Budget(
        total_bytes,
        int(SMALL_PART * total_bytes),
        max(min(max_connections, affordable), 1),
    )


def peer_connections(limit: int) -> int:
    """Return how many connections peers may open to a node.

    Parameters
    ----------
    limit
        Number of descriptors that the process may have.

    Returns
    -------
    int
        A part of those that the platform does not set aside.
    """
    free = max(limit - RESERVED_DESCRIPTORS, 0)
    return max(int(PEERS_PART * free), MIN_PEER_CONNECTIONS)


def split_descriptors(needs: Descriptors) -> dict[str, int]:
    """Return how many connections each listener of a node may have.

    Parameters
    ----------
    needs
        What descriptors are needed for.

    Returns
    -------
    dict of str to int
        Number of connections by name of the listener. Clients have what
        upstreams, peers, the other listeners and files leave, and at least
        `MIN_CLIENT_PART` of what there is without upstreams.
    """
    rest = (
        needs.limit
        - RESERVED_DESCRIPTORS
        - OWN_DESCRIPTORS
        - PEER_DESCRIPTORS * needs.peers
    )
    split = {
        name: max(min(int(part * rest), most), 1)
        for name, (part, most) in OTHER_LISTENERS.items()
    }
    left = rest - sum(split.values()) - needs.upstream_connections
    split["clients"] = max(left, int(MIN_CLIENT_PART * rest), 1)
    return split


def new_ledger(budget: Budget) -> Ledger:
    """Return the ledger of a listener without connections."""
    return Ledger(budget, dict.fromkeys(Kind, 0))


def may_open(ledger: Ledger) -> bool:
    """Return whether one more connection may be open."""
    budget = ledger.budget
    return (
        ledger.connection_count < budget.max_connections
        and ledger.total_bytes + CONNECTION_BYTES <= budget.total_bytes
    )


def open_holding(ledger: Ledger, key: object) -> Holding:
    """Enter a new connection.

    Parameters
    ----------
    ledger
        Ledger of its listener. Modified in place.
    key
        As in `Holding`.

    Returns
    -------
    Holding
        What is held for it.
    """
    holding = Holding(key, dict.fromkeys(Kind, 0), 0)
    ledger.connection_count += 1
    set_held(ledger, holding, Kind.CONNECTION, CONNECTION_BYTES)
    return holding


def close(ledger: Ledger, holding: Holding) -> None:
    """Remove a connection with all that is held for it.

    Parameters
    ----------
    ledger
        Ledger of its listener. Modified in place.
    holding
        From `open_holding`; not used any more.
    """
    withdraw(ledger, holding)
    for kind in Kind:
        set_held(ledger, holding, kind, 0)
    ledger.connection_count -= 1


def set_held(
    ledger: Ledger, holding: Holding, kind: Kind, n_bytes: int
) -> None:
    """Note what is held for a connection, whether the budget has it or not.

    Parameters
    ----------
    ledger, holding
        The connection. Modified in place.
    kind
        What the bytes are held for.
    n_bytes
        All bytes of that kind.
    """
    change = n_bytes - holding.held[kind]
    holding.held[kind] = n_bytes
    holding.total_bytes += change
    ledger.held[kind] += change
    ledger.total_bytes += change


def release(ledger: Ledger, holding: Holding, *kinds: Kind) -> None:
    """Note that nothing of some kinds is held any more."""
    for kind in kinds:
        if holding.held[kind]:
            set_held(ledger, holding, kind, 0)


def ask(ledger: Ledger, holding: Holding, kind: Kind, n_bytes: int) -> Reply:
    """Ask whether a connection may hold more.

    Parameters
    ----------
    ledger, holding
        The connection. Modified in place.
    kind
        What the bytes are held for.
    n_bytes
        Bytes beyond what is held already.

    Returns
    -------
    Reply
        ``GRANTED`` if the bytes were entered. ``WAIT`` if `grants` will enter
        them once there is room; until then
        `WAITING_BYTES` are charged for the connection's buffers. ``REFUSED``
        if there will never be room, or none for one more that waits.
    """
    has_priority = _is_small(holding, n_bytes) or not ledger.waiting
    if has_priority and _fits(ledger, holding, n_bytes):
        set_held(ledger, holding, kind, holding.held[kind] + n_bytes)
        return Reply.GRANTED
    usable_bytes = _usable_bytes(ledger.budget, holding, n_bytes)
    if (
        holding.total_bytes + n_bytes > usable_bytes
        or ledger.total_bytes + WAITING_BYTES > usable_bytes
    ):
        return Reply.REFUSED
    holding.asked_bytes, holding.asked_kind = n_bytes, kind
    ledger.waiting[holding] = None
    ahead_bytes = holding.held[Kind.AHEAD] + WAITING_BYTES
    set_held(ledger, holding, Kind.AHEAD, ahead_bytes)
    return Reply.WAIT


def withdraw(ledger: Ledger, holding: Holding) -> None:
    """Let a connection wait for memory no longer.

    Parameters
    ----------
    ledger, holding
        The connection, which may not be waiting. Modified in place.
    """
    if holding in ledger.waiting:
        del ledger.waiting[holding]
        holding.asked_bytes = 0
        ahead_bytes = holding.held[Kind.AHEAD] - WAITING_BYTES
        set_held(ledger, holding, Kind.AHEAD, ahead_bytes)


def grants(ledger: Ledger) -> Iterator[Holding]:
    """Enter what waits for memory, oldest first, as long as there is room.

    Parameters
    ----------
    ledger
        Ledger of a listener. Modified in place.

    Yields
    ------
    Holding
        Connection that has got the bytes for which it waited.
    """
    for holding in list(ledger.waiting):
        n_bytes = holding.asked_bytes
        # The buffers that were charged meanwhile become part of the body.
        if not _fits(ledger, holding, n_bytes - WAITING_BYTES):
            return
        withdraw(ledger, holding)
        kind = holding.asked_kind
        set_held(ledger, holding, kind, holding.held[kind] + n_bytes)
        yield holding


def short_bytes(ledger: Ledger) -> int:
    """Return how many bytes must be freed for all that wait, and the budget.

    Parameters
    ----------
    ledger
        Ledger of a listener.

    Returns
    -------
    int
        Number of bytes; 0 or less if memory does not run short.
    """
    asked_bytes = sum(
        holding.asked_bytes - WAITING_BYTES for holding in ledger.waiting
    )
    limit = ledger.budget.total_bytes
    if ledger.waiting:
        limit -= ledger.budget.small_bytes
    return ledger.total_bytes + asked_bytes - limit


def _is_small(holding: Holding, n_bytes: int) -> bool:
    return holding.total_bytes + n_bytes <= SMALL_BYTES


def _usable_bytes(budget: Budget, holding: Holding, n_bytes: int) -> int:
    """Return the part of a budget that a request may use."""
    if _is_small(holding, n_bytes):
        return budget.total_bytes
    return budget.total_bytes - budget.small_bytes


def _fits(ledger: Ledger, holding: Holding, n_bytes: int) -> bool:
    usable_bytes = _usable_bytes(ledger.budget, holding, n_bytes)
    return ledger.total_bytes + n_bytes <= usable_bytes
