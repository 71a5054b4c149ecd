"""The replicated view of tables, upstreams, placements and quarantine.

Control replicas, entries and upstream processes each have a `View` and apply
the same committed log entries to it, so that views at the same index are
equal. The index never decreases: an entry at or before it is ignored.
"""

from __future__ import annotations

import dataclasses
import enum

from bilberryramp.decisions.shared import tables

__all__ = [
    "Placement",
    "QuarantineRecord",
    "ReplicaPlace",
    "Strike",
    "Upstream",
    "UpstreamKind",
    "View",
]


class UpstreamKind(enum.StrEnum):
    """Kind of server to which an upstream process forwards requests."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class Upstream:
    """An upstream, as announced by its process.

    Attributes
    ----------
    upstream_id
        Id of the upstream, the same after a restart.
    incarnation
        Identifies the upstream process; changes with every start.
    address
        Address on which the process listens, as ``tcp://IP:port``.
    service
        Name of the group of upstreams that it belongs to.
    kind
        Whether it forwards requests to an engine or to a plain service.
    failure_domain
        Failure domain from the settings of the process. The replicas of a
        model are preferably placed in different failure domains.
    accelerators
        Number of accelerators.
    memory_mib
        Usable memory of each accelerator, in MiB.
    slots
        Maximum number of requests that run concurrently.
    leaving
        Whether the upstream is draining and gets no new requests.
    """

    upstream_id: str
    incarnation: str
    address: str
    service: str
    kind: UpstreamKind
    failure_domain: str = ""
    accelerators: int = 0
    memory_mib: int = 0
    slots: int = 8
    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaPlace:
    """A replica of a model and the accelerators on which it is placed.

    Attributes
    ----------
    model
        Name of the model.
    accelerators
        Numbers of the upstream's accelerators, from 0.
    memory_mib
        Memory that the replica uses on each accelerator, in MiB.
    """

    model: str
    accelerators: tuple[int, ...]
    memory_mib: int


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """The replicas placed on one upstream.

    Attributes
    ----------
    fence
        Log index of the entry that set the placement, or of the upstream's
        latest announcement if that is later. The fencing tokens of orders to
        the engine are derived from it; an engine with fencing refuses orders
        with lower tokens than the highest it has seen.
    replicas
        Replicas that should be resident.
    """

    fence: int
    replicas: tuple[ReplicaPlace, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Strike:
    """A loss of an upstream while it ran an attempt.

    Attributes
    ----------
    upstream_id
        Id of the upstream.
    attempt_id
        Id of the attempt.
    at_ms
        Wall-clock time of the loss in milliseconds.
    """

    upstream_id: str
    attempt_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineRecord:
    """The strikes of one request and its quarantine.

    Attributes
    ----------
    strikes
        Losses of upstreams that ran the request, oldest first.
    until_ms
        Wall-clock time in milliseconds until which the request is refused;
        0 if it is not quarantined.
    """

    strikes: tuple[Strike, ...]
    until_ms: int = 0


@dataclasses.dataclass(slots=True)
class View:
    """The state shared by all processes, at one log index.

    Attributes
    ----------
    term, index
        Term and index of the last entry applied.
    version
        Version of the tables: the number of submissions accepted so far.
    submitted_by
        Who submitted the current tables.
    tables
        The current tables.
    upstreams
        Announced upstreams by upstream id.
    placements
        Placement of each upstream, by upstream id.
    quarantine
        Strikes and quarantine of each request, by its fingerprint.
    """

    term: int = 0
    index: int = 0
    version: int = 0
    submitted_by: str = ""
    tables: tables.Tables = dataclasses.field(default_factory=tables.Tables)
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    placements: dict[str, Placement] = dataclasses.field(default_factory=dict)
    quarantine: dict[str, QuarantineRecord] = dataclasses.field(
        default_factory=dict
    )
