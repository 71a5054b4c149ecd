"""Decoded calls of operators and upstreams, and messages that relay them."""

import dataclasses

from bilberryramp.decisions.fleet.core import documents, presence
from bilberryramp.decisions.fleet.orders import agent

__all__ = [
    "Departure",
    "DepartureQuery",
    "Heartbeat",
    "RelayedResidency",
    "ReadDocument",
    "Relay",
    "RelayAck",
    "Roster",
    "Submit",
    "MalformedCall",
    "UnknownDeparture",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Submit:
    """Call of an operator to put a document in force.

    Attributes
    ----------
    doc
        Decoded document.
    body
        Document as it was received.
    """

    doc: documents.Document
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ReadDocument:
    """Call of an operator to read the newest document."""


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Call of an upstream to announce itself.

    Attributes
    ----------
    announcement
        Decoded announcement.
    """

    announcement: presence.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class Departure:
    """Call of an upstream to announce its departure.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    body
        Body as received. If it is not a complete announcement, the last
        announcement of the upstream is used instead.
    """

    upstream_id: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class MalformedCall:
    """A call that cannot be decoded.

    Attributes
    ----------
    reason
        Text of the decoding error, for the caller.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Relay:
    """Announcement of an upstream, relayed from one node to another.

    Attributes
    ----------
    sender
        Address of the relaying node.
    relay_id
        Identifier that `RelayAck` repeats; 0 if no acknowledgement is needed.
    told
        Announcement that the relaying node received from the upstream.
    """

    sender: str
    relay_id: int
    told: presence.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class RelayAck:
    """Acknowledgement that a node has recorded a relayed announcement.

    Attributes
    ----------
    sender
        Address of the acknowledging node.
    relay_id
        Identifier of the `Relay`.
    """

    sender: str
    relay_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class UnknownDeparture:
    """Departure of an upstream that the node which received it does not know.

    It is answered by a `RelayAck`, and before that by a `Relay` of the
    departure from the nodes that know the upstream.

    Attributes
    ----------
    sender
        Address of the node that received it.
    relay_id
        Identifier that `RelayAck` repeats.
    upstream_id
        Id of the upstream.
    """

    sender: str
    relay_id: int
    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class DepartureQuery:
    """Question of a node for departures that it may have missed.

    It is answered by a `Relay` of each recent departure, unless both nodes
    know the same.

    Attributes
    ----------
    sender
        Address of the asking node.
    digest
        Checksum of the recent departures that it knows; see
        `departures.digest`.
    """

    sender: str
    digest: int


@dataclasses.dataclass(slots=True, frozen=True)
class RelayedResidency:
    """Report of an agent to one node, relayed to the other nodes.

    Attributes
    ----------
    holding
        The report.
    """

    holding: agent.ResidencyReport


@dataclasses.dataclass(slots=True, frozen=True)
class Roster:
    """Notification of the nodes whose heartbeats were received recently.

    Attributes
    ----------
    addresses
        Addresses of the other nodes.
    leader
        Address of the leader; empty if unknown.
    holders
        Addresses of the nodes that order engines; empty if agents do.
    domains
        Failure domain of each of the other nodes, in order of `addresses`.
    """

    addresses: tuple[str, ...]
    leader: str
    holders: tuple[str, ...] = ()
    domains: tuple[str, ...] = ()
