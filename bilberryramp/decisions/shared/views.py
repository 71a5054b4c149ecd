"""The replicated view of tables, upstreams, placement and quarantine.

Control's replicas, entries and upstream processes hold the same `View` and
apply the same committed entries to it, so any two at the same index agree.
The index only grows; a process that is handed an older entry drops it.
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
    """What stands behind an upstream process."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class Upstream:
    """An upstream as it announced itself.

    Attributes
    ----------
    upstream_id, incarnation
        Its stable name, and a value that changes with each process start.
    address
        Where its upstream process listens, ``tcp://IP:port``.
    service, kind
        The group it serves in and what stands behind it.
    failure_domain
        From its settings.
    accelerators, memory_mib
        Count, and usable memory of each in MiB.
    slots
        How many requests run at once.
    leaving
        Whether it takes no new work.
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
    """One model replica and the accelerators it is placed on.

    Attributes
    ----------
    model
        The model's name.
    accelerators
        Accelerator numbers on the upstream, from 0.
    memory_mib
        Memory taken on each of them, in MiB.
    """

    model: str
    accelerators: tuple[int, ...]
    memory_mib: int


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """All replicas wanted on one upstream.

    Attributes
    ----------
    fence
        Log index of the entry that set it, or of the upstream's newest
        announcement if that is later: orders count on from here.
    replicas
        What should be resident.
    """

    fence: int
    replicas: tuple[ReplicaPlace, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Strike:
    """An attempt during which an upstream was lost.

    Attributes
    ----------
    at_ms
        Wall time in milliseconds.
    """

    upstream_id: str
    attempt_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineRecord:
    """The strikes against one request, oldest first.

    Attributes
    ----------
    until_ms
        Wall time in milliseconds until which it is refused; 0 while it is
        not quarantined.
    """

    strikes: tuple[Strike, ...]
    until_ms: int = 0


@dataclasses.dataclass(slots=True)
class View:
    """What every process needs to know, at one log index.

    Attributes
    ----------
    term, index
        Term and index of the last entry applied.
    version
        Count of accepted submissions of the tables.
    submitted_by
        Who submitted the version in force.
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
