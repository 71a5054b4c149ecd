"""Calls of operators and upstreams to a node, as decisions see them."""

import dataclasses

from bilberryramp.decisions.fleet import agent, documents, presence

__all__ = [
    "Deregistration",
    "Heartbeat",
    "RelayedResidency",
    "ReadDocument",
    "Relay",
    "RelayAck",
    "Roster",
    "Submit",
    "MalformedCall",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Submit:
    """A document to bring into force, decoded and as it came."""

    doc: documents.Document
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ReadDocument:
    """Asks for the newest document."""


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """An upstream announces itself."""

    announcement: presence.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class Deregistration:
    """An upstream leaves; its body is read beside its last heartbeat."""

    upstream_id: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class MalformedCall:
    """A call that cannot be accepted, with the reason."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Relay:
    """A heartbeat passed on to the other nodes.

    Attributes
    ----------
    relay_id
        Comes back in `RelayAck`; 0 when no answer is wanted.
    """

    sender: str
    relay_id: int
    told: presence.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class RelayAck:
    """Another node has taken in a relayed heartbeat."""

    sender: str
    relay_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class RelayedResidency:
    """What an agent told one node, passed on to the others."""

    holding: agent.ResidencyReport


@dataclasses.dataclass(slots=True, frozen=True)
class Roster:
    """The other nodes heard lately, and the leader's address."""

    addresses: tuple[str, ...]
    leader: str
