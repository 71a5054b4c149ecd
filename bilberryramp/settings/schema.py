"""The settings file of each program and the two tables' files."""

from __future__ import annotations

import dataclasses

from bilberryramp.decisions.control import demand
from bilberryramp.decisions.shared import tables, views

__all__ = [
    "ControlReplica",
    "ControlSettings",
    "CtlSettings",
    "EntryProgramSettings",
    "PoolsFile",
    "RoutesFile",
    "StandinSettings",
    "TelemetrySettings",
    "UpstreamSettings",
]


@dataclasses.dataclass(slots=True, frozen=True)
class TelemetrySettings:
    """Where logs and trace spans go.

    Attributes
    ----------
    log_file
        Appended to; empty for standard error.
    trace_exporter
        ``none`` or ``file``.
    trace_file
        For ``file``: where spans are appended.
    """

    log_file: str = ""
    trace_exporter: str = "none"
    trace_file: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ControlReplica:
    """One control replica as all processes know it.

    Attributes
    ----------
    replica_id
        Its name.
    address
        Where it listens to our processes, ``tcp://IP:port``.
    operator_address
        Where it listens to operators, ``IP:port``.
    """

    replica_id: str
    address: str
    operator_address: str


@dataclasses.dataclass(slots=True, frozen=True)
class ControlSettings:
    """Settings of `bilberry-control`.

    Attributes
    ----------
    replica_id
        Which of `replicas` this one is.
    data_folder
        Its only folder on disk.
    heartbeat_ms, election_ms, lease_ms
        As in `replica_state.ReplicaSettings`.
    snapshot_entries
        Log entries between snapshots.
    demand
        How eagerly replicas follow demand: fewer moves or more
        attainment. Each control replica needs the same.
    """

    replica_id: str
    replicas: tuple[ControlReplica, ...]
    data_folder: str
    failure_domain: str = ""
    heartbeat_ms: int = 50
    election_ms: int = 400
    lease_ms: int = 300
    snapshot_entries: int = 4000
    demand: demand.DemandSettings = demand.DemandSettings()
    telemetry: TelemetrySettings = TelemetrySettings()


@dataclasses.dataclass(slots=True, frozen=True)
class EntryProgramSettings:
    """Settings of `bilberry-entry`.

    Attributes
    ----------
    name
        Unique among entries.
    host, port
        Where it listens to callers.
    policy
        Routing policy by name.
    max_calls
        Most requests in progress.
    max_body_bytes, max_header_bytes
        Larger requests are refused.
    slow_reader_ms
        How long a caller may take to accept a part of an answer.
    stop_notice_ms
        How long ``/readyz`` fails before the listener closes.
    """

    name: str
    controls: tuple[ControlReplica, ...]
    host: str = "127.0.0.1"
    port: int = 8700
    failure_domain: str = ""
    policy: str = "affinity"
    max_calls: int = 4096
    max_body_bytes: int = 8 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    slow_reader_ms: int = 30_000
    stop_notice_ms: int = 200
    telemetry: TelemetrySettings = TelemetrySettings()


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamSettings:
    """Settings of `bilberry-upstream`.

    Attributes
    ----------
    name
        Unique among upstreams.
    address
        Where it listens to entries, ``tcp://IP:port``; port 0 takes a
        free one.
    service, kind
        The group it serves in and what it stands beside.
    engine_url
        Base URL of the engine or plain service.
    accelerators, memory_mib
        Count, and usable memory of each in MiB.
    slots, queue_limit
        Requests run at once, and the most that wait.
    fenced
        Whether the engine refuses orders with an old fencing number.
    max_answer_bytes
        Larger answers are broken off.
    """

    name: str
    controls: tuple[ControlReplica, ...]
    address: str
    service: str
    kind: views.UpstreamKind
    engine_url: str
    failure_domain: str = ""
    accelerators: int = 0
    memory_mib: int = 0
    slots: int = 8
    queue_limit: int = 64
    fenced: bool = False
    max_answer_bytes: int = 64 * 1024 * 1024
    telemetry: TelemetrySettings = TelemetrySettings()


@dataclasses.dataclass(slots=True, frozen=True)
class StandinSettings:
    """Settings of `bilberry-standin`.

    Attributes
    ----------
    kind
        A model engine or a plain service.
    tokens_per_s
        Speed of one stream with nothing else running.
    load_ms
        Time to load a model.
    fenced
        Whether orders with an old fencing number are refused.
    crash_on
        A request whose body holds this text ends the process; empty for
        none.
    break_after
        The connection of each streamed answer breaks in this event; 0 for
        never.
    fault_rate, seed
        Share of orders whose answer is lost, and the seed that picks them.
    """

    name: str
    kind: views.UpstreamKind
    host: str = "127.0.0.1"
    port: int = 0
    accelerators: int = 1
    memory_mib: int = 16_384
    tokens_per_s: float = 400.0
    batch_slots: int = 16
    first_token_ms: float = 10.0
    load_ms: float = 50.0
    fenced: bool = True
    crash_on: str = ""
    break_after: int = 0
    fault_rate: float = 0.0
    seed: int = 1
    telemetry: TelemetrySettings = TelemetrySettings()


@dataclasses.dataclass(slots=True, frozen=True)
class CtlSettings:
    """Settings of `bilberryctl`: the control replicas to talk to."""

    controls: tuple[ControlReplica, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class RoutesFile:
    """The file ``routes.yaml``."""

    routes: tuple[tables.Route, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PoolsFile:
    """The file ``pools.yaml``."""

    pools: tuple[tables.Pool, ...]
