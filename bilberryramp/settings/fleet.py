"""Settings of a fleet node, in the project's own terms."""

import dataclasses

__all__ = ["NodeSettings"]


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """What a node is told when it starts.

    Attributes
    ----------
    name, ip, failure_domain
        Who and where it is.
    peer_ports
        First and last port for messages between nodes.
    seeds
        Hosts of nodes to ask first.
    is_first_start
        True only while the whole system starts for the first time.
    data_folder
        Where it may keep files; empty without a disk.
    client_address, readiness_address, operator_address
        Where it listens, as host and port.
    engine_address
        The engine on the same instance; empty without one.
    heartbeat_ms
        How often upstreams announce themselves.
    grace_ms
        Time from the signal to stop until the process is killed.
    drain_ms
        Time in which new requests to a leaving upstream must end.
    apply_ms
        Time in which an accepted document must be in force.
    order_lease_ms
        Time after which another node may give orders to engines.
    retry_ratio, retry_slack, retry_window_ms
        The budget for repeated sends, over all nodes.
    memory_mb, link_mbps
        Limits of the instance.
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
