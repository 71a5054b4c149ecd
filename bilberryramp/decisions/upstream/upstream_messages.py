"""Messages to the decisions of an upstream process, and its effects."""

import dataclasses

from bilberryramp.decisions.shared import call_messages, commands, errors
from bilberryramp.decisions.upstream import model_orders

__all__ = [
    "CancelRun",
    "EngineAnswered",
    "EngineReported",
    "EngineLost",
    "FrameArrived",
    "GrantCredit",
    "GrantResume",
    "HeadArrived",
    "PauseBegan",
    "PauseEnded",
    "ReportDue",
    "ResumeRequested",
    "RunEnded",
    "SenderLost",
    "StartRun",
    "StopRequested",
    "ViewUpdated",
]


@dataclasses.dataclass(slots=True, frozen=True)
class CancelRun:
    """Cancel a run on the engine; `RunEnded` still follows."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class EngineAnswered:
    """An order to the engine ended, with or without an answer.

    Attributes
    ----------
    order, outcome
        The order and its result.
    """

    order: model_orders.EngineOrder
    outcome: model_orders.OrderOutcome


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReported:
    """The engine answered a request for its state.

    Attributes
    ----------
    report
        The reported state; only its boot id is used for a plain service.
    """

    report: model_orders.EngineReport


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLost:
    """The engine did not answer a request for its state."""


@dataclasses.dataclass(slots=True, frozen=True)
class FrameArrived:
    """An entry sent a frame.

    Attributes
    ----------
    sender
        Identity of the entry's connection, to which replies are sent.
    frame
        A message of `call_messages`.
    """

    sender: str
    frame: object


@dataclasses.dataclass(slots=True, frozen=True)
class GrantCredit:
    """Allow a run to send more chunks to its entry.

    Attributes
    ----------
    chunks
        Number of chunks by which the run's credit is raised.
    """

    attempt_id: str
    chunks: int


@dataclasses.dataclass(slots=True, frozen=True)
class GrantResume:
    """Allow a run to resume its broken stream at the engine."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class HeadArrived:
    """The engine answered a run's request, or the resumption of its stream.

    Attributes
    ----------
    status
        HTTP status.
    pause_ms
        Time in milliseconds for which the engine wants no requests; 0 if the
        answer asks for no pause.
    """

    attempt_id: str
    status: int
    pause_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class PauseBegan:
    """The engine wants no requests for some time; recorded in logs.

    Attributes
    ----------
    attempt_id, status
        The attempt whose answer asked for it, and the HTTP status.
    pause_ms
        Time until the end of the pause in milliseconds.
    refused
        Number of queued attempts that were refused because of it.
    """

    attempt_id: str
    status: int
    pause_ms: int
    refused: int


@dataclasses.dataclass(slots=True, frozen=True)
class PauseEnded:
    """The engine may receive requests again; recorded in logs.

    Attributes
    ----------
    restarted
        Whether the pause ended because another process of the engine has
        taken the place of the one that asked for it.
    refused
        Number of attempts that were refused because of the pause.
    """

    restarted: bool
    refused: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportDue:
    """Report the state of the upstream to control without delay."""


@dataclasses.dataclass(slots=True, frozen=True)
class ResumeRequested:
    """The stream of a run broke; `GrantResume` follows when it may resume."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnded:
    """A run has ended.

    Attributes
    ----------
    chunks
        Number of chunks of the answer that were sent.
    failure
        None if the answer is complete.
    crashed
        Whether the engine crashed during the run.
    answer
        The complete answer of a keyed request; None if it is too large to
        store or the request is not keyed.
    """

    attempt_id: str
    chunks: int
    failure: errors.CallFailure | None
    crashed: bool = False
    answer: commands.StoredAnswer | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SenderLost:
    """No frame came on an entry's connection within its timeout.

    Attributes
    ----------
    sender
        Identity of the connection.
    """

    sender: str


@dataclasses.dataclass(slots=True, frozen=True)
class StartRun:
    """Run a request on the engine; `RunEnded` follows when it ends.

    Attributes
    ----------
    sender
        Identity of the entry's connection, to which the answer is sent.
    dispatch
        The dispatched attempt.
    """

    sender: str
    dispatch: call_messages.Dispatch


@dataclasses.dataclass(slots=True, frozen=True)
class StopRequested:
    """A planned stop was requested."""


@dataclasses.dataclass(slots=True, frozen=True)
class ViewUpdated:
    """Log entries were applied to the view."""
