"""Settings of a fleet node, independent of the platform's file format."""

import dataclasses

__all__ = ["NodeSettings"]


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """Settings with which a fleet node starts.

    Attributes
    ----------
    name
        Name of the node, unique in the fleet.
    ip
        IP address at which the other nodes reach this node.
    failure_domain
        Failure domain of the instance on which the node runs.
    peer_ports
        First and last port of the range for messages between nodes.
    seeds
        Hosts of the nodes that this node contacts first after its start.
    is_first_start
        True only while the whole fleet starts for the first time.
    data_folder
        Folder for files that survive a restart; empty if the instance has
        no disk.
    client_address, readiness_address, operator_address
        Listening addresses for clients' requests, for readiness checks and
        for operators' calls, each as ``host:port``.
    engine_address
        Address of the engine on the same instance, as ``host:port``; empty
        if there is none.
    heartbeat_ms
        Interval between the heartbeats of an upstream, in milliseconds.
    grace_ms
        Time between the stop signal and the forced end of the process, in
        milliseconds.
    drain_ms
        Time after which an upstream that announced its leaving must get no
        new requests, in milliseconds.
    apply_ms
        Time within which an accepted document must be in force, in
        milliseconds.
    order_lease_ms
        Time after which another node may give orders to engines, in
        milliseconds.
    retry_ratio, retry_slack, retry_window_ms
        Retry budget of a service over all nodes: in any window of
        `retry_window_ms` milliseconds, at most `retry_ratio` retries per
        request plus `retry_slack` retries.
    memory_mb
        Memory limit of the instance, in MB.
    link_mbps
        Bandwidth of the instance's network link, in Mbit/s.
    max_descriptors
        Limit on the open descriptors of the process; 0 if unknown.
    usage_window_ms, usage_overage, usage_slack
        How exactly usage limits bind: in any window of `usage_window_ms`
        milliseconds, the usage of a workspace over all nodes may exceed its
        limit by the ratio `usage_overage` and by the amount `usage_slack`.
    tolerated_losses
        Number of instances with a disk that may be lost at the same time,
        together with their disks.
    engine_memory_binds
        Whether an engine ends if its requests exceed its memory.
    """

    name: str
    ip: str
    failure_domain: str
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    client_address: str
    readiness_address: str
    operator_address: str
    engine_address: str
    heartbeat_ms: int
    grace_ms: int
    drain_ms: int
    apply_ms: int
    order_lease_ms: int
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    memory_mb: int
    link_mbps: float
    max_descriptors: int = 0
    usage_window_ms: int = 1000
    usage_overage: float = 0.0
    usage_slack: float = 0.0
    engine_memory_binds: bool = False
    tolerated_losses: int = 0
