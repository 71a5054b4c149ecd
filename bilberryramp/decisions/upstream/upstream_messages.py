"""Messages to an upstream process's decisions, and their effects."""

import dataclasses

from bilberryramp.decisions.shared import call_messages, commands, errors
from bilberryramp.decisions.upstream import model_orders

__all__ = [
    "CancelRun",
    "EngineAnswered",
    "EngineFound",
    "EngineLost",
    "FrameArrived",
    "GrantCredit",
    "ReportDue",
    "RunEnded",
    "SenderLost",
    "StartRun",
    "StopAsked",
    "ViewNoted",
]


@dataclasses.dataclass(slots=True, frozen=True)
class CancelRun:
    """Stop a run; `RunEnded` still follows."""

    attempt_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class EngineAnswered:
    """An order to the engine ended."""

    order: model_orders.EngineOrder
    outcome: model_orders.OrderOutcome


@dataclasses.dataclass(slots=True, frozen=True)
class EngineFound:
    """The engine answered and told what it holds."""

    report: model_orders.EngineReport


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLost:
    """The engine does not answer."""


@dataclasses.dataclass(slots=True, frozen=True)
class FrameArrived:
    """A frame came from an entry."""

    sender: str
    frame: object


@dataclasses.dataclass(slots=True, frozen=True)
class GrantCredit:
    """Let a run send more chunks."""

    attempt_id: str
    chunks: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportDue:
    """Control should be told of a change at once."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnded:
    """A run is over.

    Attributes
    ----------
    chunks
        How many chunks of the answer were sent.
    failure
        None when the answer is whole.
    crashed
        Whether the engine went down.
    answer
        The whole answer of a marked request, unless it is too large.
    """

    attempt_id: str
    chunks: int
    failure: errors.CallFailure | None
    crashed: bool = False
    answer: commands.StoredAnswer | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class SenderLost:
    """An entry has been silent too long; its attempts have no reader."""

    sender: str


@dataclasses.dataclass(slots=True, frozen=True)
class StartRun:
    """Run a request on the engine; `RunEnded` must follow."""

    sender: str
    dispatch: call_messages.Dispatch


@dataclasses.dataclass(slots=True, frozen=True)
class StopAsked:
    """A planned stop begins."""


@dataclasses.dataclass(slots=True, frozen=True)
class ViewNoted:
    """The view took in entries."""
