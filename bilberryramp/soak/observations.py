"""What callers, operators and engines see during a soak."""

import dataclasses
import enum

__all__ = [
    "DocumentAccepted",
    "AnswerReceived",
    "DrainAcknowledged",
    "ProgramEnded",
    "Fault",
    "FaultKind",
    "History",
    "OrderAccepted",
    "RunStarted",
    "DocumentRead",
    "RequestSent",
]


class FaultKind(enum.StrEnum):
    """What may go wrong from outside; times are in milliseconds."""

    KILL = "kill"
    """SIGKILL; started again at the fault's end."""
    PAUSE = "pause"
    """SIGSTOP, SIGCONT at the end."""
    STOP = "stop"
    """SIGTERM; started again once it has ended."""
    WIPE = "wipe"
    """SIGKILL, and the data folder is emptied before the next start."""
    KILL_ALL = "kill_all"
    """SIGKILL of every node at once."""
    DISK = "disk"
    """Writes to the data folder fail."""
    DELAY = "delay"
    """The link to a node or engine holds bytes back."""
    RESET = "reset"
    """Open connections over the link are reset once."""
    SILENT = "silent"
    """The link swallows bytes both ways; new connections hang."""
    ONE_WAY = "one_way"
    """The link swallows what goes to the node, not what comes from it."""
    CUT = "cut"
    """Other nodes' messages do not reach a node; all others do."""
    ENGINE_CRASH = "engine_crash"
    """An engine's connections break; it is back, empty, at the end."""
    ENGINE_DRAIN = "engine_drain"
    """An engine says that it leaves, and does so at the end."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault; `target` is a node's or engine's name."""

    kind: FaultKind
    target: str
    from_ms: int
    to_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSent:
    """A caller sent a request to a node."""

    request_id: str
    node: str
    may_repeat: bool
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerReceived:
    """What the caller of a request got.

    Attributes
    ----------
    status
        0 when the connection broke or could not be made.
    is_whole, owner
        Whether the body was complete, and the id of the request that its
        content names.
    """

    request_id: str
    status: int
    is_whole: bool
    owner: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RunStarted:
    """An engine began to run a request."""

    request_id: str
    upstream_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAccepted:
    """An engine accepted an order."""

    upstream_id: str
    holder: str
    fence: int
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentAccepted:
    """An operator's document was acknowledged."""

    version: int
    body: bytes
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentRead:
    """An operator read a document; `is_last` after everything healed."""

    version: int
    body: bytes
    sent_ms: int
    is_last: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class DrainAcknowledged:
    """A node acknowledged that an engine leaves."""

    upstream_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ProgramEnded:
    """A program ended other than by a kill.

    Attributes
    ----------
    was_asked
        Whether it had been told to stop.
    """

    name: str
    code: int
    was_requested: bool
    at_ms: int


@dataclasses.dataclass(slots=True)
class History:
    """All observations of one soak, in order of time."""

    events: list = dataclasses.field(default_factory=list)

    def of(self, kind: type) -> list:
        """Return the observations of one kind."""
        return [item for item in self.events if isinstance(item, kind)]
