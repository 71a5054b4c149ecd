"""Observations that callers, operators and engines record during a soak.

All times are in milliseconds of monotonic time.
"""

import dataclasses
import enum

__all__ = [
    "AnswerReceived",
    "DocumentAccepted",
    "DocumentRead",
    "DrainAcknowledged",
    "EngineCrashed",
    "Fault",
    "FaultKind",
    "FaultsCleared",
    "History",
    "OrderAccepted",
    "PauseRequested",
    "PiecesSent",
    "ProgramEnded",
    "RequestArrived",
    "RequestSent",
    "RunEnded",
    "RunStarted",
    "SignalSent",
]


class FaultKind(enum.StrEnum):
    """Kind of a fault that is injected from outside of the programs."""

    KILL = "kill"
    """The program gets SIGKILL and is restarted at the fault's end."""
    PAUSE = "pause"
    """The program gets SIGSTOP, and SIGCONT at the fault's end."""
    STOP = "stop"
    """The program gets SIGTERM and is restarted once it has exited."""
    RELOAD = "reload"
    """Planned: the program gets SIGHUP and reads its settings again."""
    CHANGE = "change"
    """Planned: an operator submits a changed document to the node."""
    WIPE = "wipe"
    """SIGKILL; the data folder is emptied before the program is restarted."""
    KILL_ALL = "kill_all"
    """All nodes get SIGKILL at once and are restarted at the fault's end."""
    DISK = "disk"
    """Writes to the node's data folder fail until the fault's end."""
    DELAY = "delay"
    """The links to a node or engine delay all bytes."""
    RESET = "reset"
    """Open connections over the links are reset once."""
    SILENT = "silent"
    """The links drop bytes in both directions; new connections hang."""
    ONE_WAY = "one_way"
    """The links drop bytes to the target, but not bytes from it."""
    CUT = "cut"
    """Other nodes' messages do not reach a node; other traffic does."""
    ENGINE_CRASH = "engine_crash"
    """An engine's connections break; it restarts without models."""
    ENGINE_DRAIN = "engine_drain"
    """An engine announces that it drains, then stops and restarts."""
    ENGINE_LEAVE = "engine_leave"
    """As before, but only the engine's answers say so, not its heartbeats."""
    ENGINE_PAUSE = "engine_pause"
    """An engine turns requests away and asks for pauses."""
    ENGINE_ERRORS = "engine_errors"
    """An engine fails requests."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault and the time in which it is active.

    Attributes
    ----------
    kind
        Kind of fault.
    target
        Name of the node or engine.
    from_ms, to_ms
        When the fault begins and ends; relative to the start of the faults
        until the soak injects it.
    share
        Share of the requests that an engine turns away or fails.
    error
        Key of `engine_troubles.ERRORS`; empty for other faults than errors.
    says_not_executed
        Whether answers that ask for a pause state that the request was not
        executed.
    """

    kind: FaultKind
    target: str
    from_ms: int
    to_ms: int
    share: float = 1.0
    error: str = ""
    says_not_executed: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class FaultsCleared:
    """Observation that all links were reset, to clear what faults had left.

    Attributes
    ----------
    at_ms
        When it happened.
    """

    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSent:
    """Observation that a caller sent a request to a node.

    Attributes
    ----------
    request_id
        Id of the request.
    node
        Name of the node.
    may_repeat
        Whether the request may run more than once.
    at_ms
        When it was sent.
    service
        Service that its route names.
    max_attempts
        Number of engines that may run it, as its route says.
    deadline_ms
        Time that the caller allows, in milliseconds.
    """

    request_id: str
    node: str
    may_repeat: bool
    at_ms: int
    service: str = ""
    max_attempts: int = 1
    deadline_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerReceived:
    """Observation of the end of a request, as its caller saw it.

    Attributes
    ----------
    request_id
        Id of the request.
    status
        HTTP status; 0 if the connection broke, could not be made or timed out.
    is_whole
        Whether the body was complete.
    owner
        Id of the request that the body names; empty without an answer of the
        engine.
    at_ms
        When the answer or the failure was seen.
    error
        Code of the failure that the node reports; empty if there is none.
    leaving_id
        Id of the engine, if its answer says that it is leaving; else empty.
    """

    request_id: str
    status: int
    is_whole: bool
    owner: str
    at_ms: int
    error: str = ""
    leaving_id: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class PiecesSent:
    """Observation of the end of a request whose body was sent in pieces.

    Attributes
    ----------
    request_id
        Id of the request.
    node
        Name of the node.
    may_repeat
        Whether the request may run more than once.
    began_ms
        When the first byte of its head was written.
    written_ms
        When its last byte was written; -1 if it was not.
    span_ms
        Time that its client takes to send a whole body, in milliseconds.
    deadline_ms
        Time that the client allows, in milliseconds.
    status
        HTTP status of the answer; 0 if no whole head came.
    is_whole
        Whether an answer came and was complete.
    has_closed
        Whether the request ended because the node closed the connection.
    ended_ms
        When the request ended.
    """

    request_id: str
    node: str
    may_repeat: bool
    began_ms: int
    written_ms: int
    span_ms: int
    deadline_ms: int
    status: int
    is_whole: bool
    has_closed: bool
    ended_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestArrived:
    """Observation that the head of a request reached an engine.

    Attributes
    ----------
    request_id, upstream_id
        Ids of the request and of the engine.
    at_ms
        When it arrived.
    deadline_ms
        Time that the node allows, in milliseconds; -1 if it names none.
    """

    request_id: str
    upstream_id: str
    at_ms: int
    deadline_ms: int = -1


@dataclasses.dataclass(slots=True, frozen=True)
class PauseRequested:
    """Observation that an engine asked a node for a pause.

    It answered a request of the node with status 503 and ``Retry-After``.

    Attributes
    ----------
    request_id, upstream_id
        Ids of the request and of the engine.
    at_ms
        When it answered.
    pause_ms
        Time for which it wants no requests, in milliseconds; 0 if the answer
        names none that is valid.
    """

    request_id: str
    upstream_id: str
    at_ms: int
    pause_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RunStarted:
    """Observation that an engine began to run a request.

    Attributes
    ----------
    request_id, upstream_id
        Ids of the request and of the engine.
    at_ms
        When the run began.
    """

    request_id: str
    upstream_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnded:
    """Observation that an engine does not work on a request any more.

    Attributes
    ----------
    request_id, upstream_id
        Ids of the request and of the engine.
    broke_off
        Whether the engine itself broke its answer off.
    at_ms
        When the work ended.
    """

    request_id: str
    upstream_id: str
    broke_off: bool
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCrashed:
    """Observation that a request crashed the engine that began to run it.

    Attributes
    ----------
    cause
        Name of the caller that sends the same body, or prompts with the same
        part, again and again. It begins the ids of its requests.
    upstream_id
        Id of the engine.
    at_ms
        When the engine crashed.
    is_part
        Whether a part of the prompt crashed it, not the body.
    """

    cause: str
    upstream_id: str
    at_ms: int
    is_part: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAccepted:
    """Observation that an engine accepted an order.

    Attributes
    ----------
    upstream_id
        Id of the engine.
    holder
        Instance that sent the order.
    fence
        Fencing token of the order.
    at_ms
        When the order was accepted.
    """

    upstream_id: str
    holder: str
    fence: int
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentAccepted:
    """Observation that a node acknowledged an operator's document.

    Attributes
    ----------
    version, body
        Version and content of the document.
    at_ms
        When the operator received the acknowledgment.
    """

    version: int
    body: bytes
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentRead:
    """Observation of a document that the operator read.

    Attributes
    ----------
    version, body
        Version and content of the document.
    sent_ms
        When the read was sent.
    is_last
        Whether the read came after all faults had been cleared.
    """

    version: int
    body: bytes
    sent_ms: int
    is_last: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class DrainAcknowledged:
    """Observation that a node acknowledged the drain of an engine.

    The node answered the first heartbeat which says that the engine drains.

    Attributes
    ----------
    upstream_id
        Id of the engine.
    at_ms
        When the acknowledgment was received.
    """

    upstream_id: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class SignalSent:
    """Observation that a running program was sent a signal of planned work.

    Attributes
    ----------
    name
        Name of the program.
    signal
        ``SIGTERM`` or ``SIGHUP``.
    at_ms
        When it was sent.
    """

    name: str
    signal: str
    at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ProgramEnded:
    """Observation that a program exited, other than by SIGKILL.

    Attributes
    ----------
    name
        Name of the program.
    code
        Exit code; the negative signal number if a signal ended it.
    was_requested
        Whether the soak had sent SIGTERM to it.
    at_ms
        When the exit was noticed.
    """

    name: str
    code: int
    was_requested: bool
    at_ms: int


@dataclasses.dataclass(slots=True)
class History:
    """All observations of one soak.

    Attributes
    ----------
    events
        Instances of the observation classes of this module, in order of
        time.
    """

    events: list = dataclasses.field(default_factory=list)

    def of_class(self, kind: type) -> list:
        """Return the observations of one class, in order of time."""
        return [item for item in self.events if isinstance(item, kind)]
