"""Types of the service document, which configures routes and services."""

import dataclasses
import enum
from collections.abc import Iterable

__all__ = [
    "CallLimits",
    "Document",
    "EngineCapacity",
    "EngineSpec",
    "ModelSpec",
    "Route",
    "Service",
    "Share",
    "UsageLimit",
    "UsageUnit",
    "Workspace",
    "capacity",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """The fraction of a route's requests that one service receives.

    Attributes
    ----------
    service
        Name of the service.
    weight
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """The rules for requests with one host and path prefix.

    Attributes
    ----------
    name
        Name of the route.
    host, prefix
        Host and path prefix that requests must match.
    shares
        Services that the route's requests are split among.
    repeatable
        Whether a request may safely run more than once.
    streaming
        Whether the answer is a stream of events.
    resumable
        Whether a broken stream may continue at another upstream.
    timeout_ms
        Maximum time from a request's arrival to its end, in milliseconds.
    target_ms
        Latency objective for the first byte, in milliseconds.
    urgency
        Rank among routes; 0 is the most urgent.
    max_attempts
        Maximum number of attempts that may have run a request.
    gap_target_ms
        Objective for the longest pause between two events of a stream, in
        milliseconds; 0 if there is none.
    is_public
        Whether requests need no key even if the document has workspaces.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeatable: bool
    streaming: bool
    resumable: bool
    timeout_ms: int
    target_ms: int
    urgency: int
    max_attempts: int
    gap_target_ms: int = 0
    is_public: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """Description of a model that engines of a service can load.

    Attributes
    ----------
    name
        Name of the model.
    weights_mb
        Size of the weights in megabytes.
    load_s
        Time to load the weights from the weight store, in seconds.
    adapters
        Number of adapters that the model has.
    adapter_mb
        Size of one adapter in megabytes.
    """

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_mb: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """Capacity of each model engine of a service, and its models.

    Attributes
    ----------
    slots
        Maximum number of requests that run concurrently.
    kv_tokens
        Capacity of the key-value cache in tokens.
    weights_mb
        Memory for weights and adapters together, in megabytes.
    adapter_slots
        Maximum number of resident adapters.
    loads_per_s
        Rate limit of the weight store in loads per second, over all engines.
    models
        Models that the engine can load, by name.
    stride
        Tokens that one event of a stream holds.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec]
    stride: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCapacity:
    """Memory limits of an engine and sizes of its models, for its agent.

    Attributes
    ----------
    weights_mb
        Memory for weights and adapters together, in megabytes.
    adapter_slots
        Maximum number of resident adapters.
    model_mb
        Size of each model's weights in megabytes, by model name.
    adapter_mb
        Size of one adapter of each model in megabytes, by model name.
    """

    weights_mb: float
    adapter_slots: int
    model_mb: dict[str, float]
    adapter_mb: dict[str, float]


def capacity(
    engine: EngineSpec, names: Iterable[str] | None = None
) -> EngineCapacity:
    """Extract from an engine's description what its agent needs.

    Parameters
    ----------
    engine
        Description of the service's engines.
    names
        Models whose sizes are needed; None for all. An agent regards a
        resident model of unknown size as filling the memory.

    Returns
    -------
    EngineCapacity
        Memory limits, and sizes by model name.
    """
    models = [
        engine.models[name]
        for name in (engine.models if names is None else names)
        if name in engine.models
    ]
    return EngineCapacity(
        engine.weights_mb,
        engine.adapter_slots,
        {model.name: model.weights_mb for model in models},
        {model.name: model.adapter_mb for model in models},
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A group of interchangeable upstreams.

    Attributes
    ----------
    name
        Name of the service.
    max_conns
        Maximum number of connections to its upstreams.
    engine
        Description of its model engines; None for a plain service.
    """

    name: str
    max_conns: int
    engine: EngineSpec | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallLimits:
    """Limits on the size of client requests and on connection times.

    Attributes
    ----------
    header_bytes, body_bytes
        Maximum size of a request's header and of its body.
    header_timeout_ms
        Maximum time to receive a header, in milliseconds.
    idle_timeout_ms
        Maximum idle time of a connection, in milliseconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 2**20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class UsageUnit(enum.Enum):
    """What a usage limit counts."""

    REQUEST = "request"
    """Each request counts 1."""
    TOKEN = "token"
    """A request counts the tokens of its prompt and of its longest answer."""


@dataclasses.dataclass(slots=True, frozen=True)
class UsageLimit:
    """Limit on what the requests of a workspace use, over all nodes.

    Attributes
    ----------
    unit
        What is counted.
    rate
        Amount allowed per second.
    burst
        Amount allowed beyond the rate.
    plain_tokens
        Tokens that a request without a stated size counts.
    """

    unit: UsageUnit
    rate: float
    burst: float
    plain_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """A group of clients who share keys and a usage limit.

    Attributes
    ----------
    name
        Name of the workspace, which upstreams are told.
    keys
        Keys that name this workspace. They are secrets: neither logs nor
        messages to upstreams contain them.
    urgency
        Rank of its requests, which takes precedence over that of the route;
        None to use that of the route.
    usage_limit
        Limit on its usage; None if there is none.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    urgency: int | None
    usage_limit: UsageLimit | None


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A complete version of the service configuration.

    Attributes
    ----------
    version
        Version number; the highest accepted one is in force.
    routes
        All routes.
    services
        All services, by name.
    limits
        Limits on client requests.
    workspaces
        All workspaces. If there are any, a request on a route that is not
        public needs the key of one.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallLimits
    workspaces: tuple[Workspace, ...] = ()
