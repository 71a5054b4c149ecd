"""The service document: which requests go to which service, and how."""

import dataclasses

__all__ = [
    "CallLimits",
    "Document",
    "EngineCapacity",
    "EngineSpec",
    "ModelSpec",
    "Route",
    "Service",
    "Share",
    "capacity",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """The part of a route's requests that one service gets.

    Attributes
    ----------
    service
        Name of the service.
    weight
        Relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """How requests of one host and path prefix are handled.

    Attributes
    ----------
    repeatable
        Whether a request may run more than once.
    streaming
        Whether the answer is a stream of events.
    resumable
        Whether a broken stream may go on at another upstream.
    timeout_ms
        The longest time a client is kept waiting.
    target_ms
        The latency objective.
    urgency
        Rank among routes; 0 is the most urgent.
    max_attempts
        How many upstreams one request may be sent to.
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


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """A model that engines of a service can hold.

    Attributes
    ----------
    weights_mb, adapter_mb
        Size of the weights and of one adapter.
    load_s
        Time of a load from the weight store.
    adapters
        How many adapters the model has.
    """

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_mb: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """What each model engine of a service offers.

    Attributes
    ----------
    slots
        Requests that run at once.
    kv_tokens
        Tokens that its memory holds.
    weights_mb
        Memory for weights and adapters together.
    adapter_slots
        Adapters that it holds at once.
    loads_per_s
        Loads that the weight store allows over all engines.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec]


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCapacity:
    """What an engine has room for, as the agent beside it needs to know.

    Attributes
    ----------
    weights_mb
        Memory for weights and adapters together.
    adapter_slots
        Adapters that it holds at once.
    model_mb, adapter_mb
        Size of each model's weights, and of one adapter of it.
    """

    weights_mb: float
    adapter_slots: int
    model_mb: dict[str, float]
    adapter_mb: dict[str, float]


def capacity(engine: EngineSpec) -> EngineCapacity:
    """Return an engine's capacity without the rest of its description.

    Parameters
    ----------
    engine
        The description.

    Returns
    -------
    EngineCapacity
        Sizes by model name.
    """
    models = engine.models.values()
    return EngineCapacity(
        engine.weights_mb,
        engine.adapter_slots,
        {model.name: model.weights_mb for model in models},
        {model.name: model.adapter_mb for model in models},
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A group of interchangeable upstreams; plain if `engine` is None."""

    name: str
    max_conns: int
    engine: EngineSpec | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallLimits:
    """What a client may send and how long its connection may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 2**20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@dataclasses.dataclass(slots=True, frozen=True)
class Document:
    """A whole version of the service configuration.

    Attributes
    ----------
    version
        The highest accepted version is in force.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallLimits
