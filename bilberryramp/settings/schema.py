"""Schemas of the programs' settings files and of the tables' files."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

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

_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0)]
_ProcessMb = typing.Annotated[int, msgspec.Meta(ge=128)]


@dataclasses.dataclass(slots=True, frozen=True)
class TelemetrySettings:
    """Destinations of logs and trace spans.

    Attributes
    ----------
    log_file
        File to which log lines are appended; empty for standard error.
    trace_exporter
        ``none`` to export no spans, or ``file``.
    trace_file
        File to which the exporter ``file`` appends spans.
    """

    log_file: str = ""
    trace_exporter: str = "none"
    trace_file: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ControlReplica:
    """Name and addresses of a control replica, the same in all processes.

    Attributes
    ----------
    replica_id
        Name of the replica, unique in the cluster.
    address
        Listening address for the system's own processes, as
        ``tcp://IP:port``.
    operator_address
        Listening address for operators' calls, as ``IP:port``.
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
        Name of this replica; one of `replicas`.
    replicas
        All control replicas of the cluster.
    data_folder
        Folder for the log, snapshots and votes of this replica.
    failure_domain
        Failure domain in which this replica runs.
    heartbeat_ms
        Interval between a leader's heartbeats, in milliseconds.
    election_ms
        Minimum time without a leader before a replica starts an election, in
        milliseconds; the actual time is random, up to twice as long.
    lease_ms
        How long a leader may rely on the acknowledgments of a majority, in
        milliseconds. It must be shorter than `election_ms` by more than
        clocks may drift apart in that time.
    snapshot_entries
        Number of log entries between snapshots.
    demand
        How readily the number of a model's replicas follows demand: a
        tradeoff between the number of model loads and the share of requests
        that meet their targets. Must be equal on all control replicas.
    process_memory_mb
        Memory that this process may take, in MB. Operators' requests for
        which there is none are refused, and idle connections are closed.
    grace_ms
        Maximum time from the stop signal to the exit, in milliseconds.
        Operators' requests that have not been read shortly before are
        refused.
    telemetry
        Destinations of logs and trace spans.
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
    process_memory_mb: _ProcessMb = 2000
    grace_ms: _Milliseconds = 5000
    telemetry: TelemetrySettings = TelemetrySettings()


@dataclasses.dataclass(slots=True, frozen=True)
class EntryProgramSettings:
    """Settings of `bilberry-entry`.

    Attributes
    ----------
    name
        Name of this entry, unique among entries.
    controls
        All control replicas.
    host, port
        Listening address for callers' requests.
    failure_domain
        Failure domain in which this entry runs.
    policy
        Routing policy: ``affinity``, ``affinity_unbounded``,
        ``least_loaded``, ``power_of_two``, ``random`` or ``round_robin``.
    max_calls
        Maximum number of requests in progress.
    max_body_bytes, max_header_bytes
        Maximum size of a request's body and of its header, in bytes; larger
        requests are refused.
    process_memory_mb
        Memory that this process may take, in MB. About half of what it does
        not need itself is for callers' requests, three quarters of that for
        large ones, twice their size each. A request for which there is none is
        refused; callers that make no progress are then ended first.
    slow_reader_ms
        Maximum time that a caller may take to accept one part of an answer,
        in milliseconds.
    stop_notice_ms
        Time for which ``/readyz`` fails before the listener closes, in
        milliseconds, so that load balancers notice.
    grace_ms
        Maximum time from the stop signal to the exit, in milliseconds, with
        the time for which ``/readyz`` fails. Requests that have not ended
        shortly before are answered with 504. The default exceeds the default
        deadline of routes.
    telemetry
        Destinations of logs and trace spans.
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
    process_memory_mb: _ProcessMb = 2000
    slow_reader_ms: int = 30_000
    stop_notice_ms: _Milliseconds = 200
    grace_ms: _Milliseconds = 130_000
    telemetry: TelemetrySettings = TelemetrySettings()


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamSettings:
    """Settings of `bilberry-upstream`.

    Attributes
    ----------
    name
        Name of this upstream, unique among upstreams.
    controls
        All control replicas.
    address
        Listening address for entries, as ``tcp://IP:port``; port 0 selects a
        free port.
    service
        Service that this upstream is part of.
    kind
        Type of the process behind this upstream: a model engine or a plain
        service.
    engine_url
        Base URL of that engine or plain service.
    failure_domain
        Failure domain in which this upstream runs.
    accelerators, memory_mib
        Number of accelerators, and usable memory of each in MiB.
    slots, queue_limit
        Maximum number of requests that run at once, and that wait.
    fenced
        Whether the engine refuses orders with an outdated fencing token.
    max_answer_bytes
        Maximum size of an answer in bytes; a larger one is aborted.
    telemetry
        Destinations of logs and trace spans.
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
    """Settings of `bilberry-standin`, a simulated engine or plain service.

    Attributes
    ----------
    name
        Name of this process in its log.
    kind
        Whether it simulates a model engine or a plain service.
    host, port
        Listening address; port 0 selects a free port.
    accelerators, memory_mib
        Simulated number of accelerators, and memory of each in MiB.
    tokens_per_s
        Speed of one stream while at most `batch_slots` requests run, in
        tokens per second.
    batch_slots
        Number of requests above which streams slow down in proportion.
    first_token_ms
        Time to the first token of an answer, in milliseconds.
    load_ms
        Time to load a model, in milliseconds.
    fenced
        Whether orders with an outdated fencing token are refused.
    crash_on
        Text in a request's body that makes the process exit; empty for none.
    break_after
        Number of the event in each streamed answer at which its connection
        breaks; 0 for never.
    fault_rate, seed
        Fraction of orders whose answer is lost (0 to 1), and seed of the
        random generator that selects them.
    telemetry
        Destinations of logs and trace spans.
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
    """Settings of `bilberryctl`.

    Attributes
    ----------
    controls
        Control replicas to which commands are sent.
    """

    controls: tuple[ControlReplica, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class RoutesFile:
    """Content of ``routes.yaml``.

    Attributes
    ----------
    routes
        All routes.
    """

    routes: tuple[tables.Route, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PoolsFile:
    """Content of ``pools.yaml``.

    Attributes
    ----------
    pools
        All pools.
    """

    pools: tuple[tables.Pool, ...]
