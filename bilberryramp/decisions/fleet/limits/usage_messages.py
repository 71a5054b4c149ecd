"""Messages between the nodes and the leader about usage credits."""

import dataclasses

__all__ = ["Grant", "UsageAnswer", "UsageAsk", "Want"]


@dataclasses.dataclass(slots=True, frozen=True)
class Want:
    """What a node wants for one workspace.

    Attributes
    ----------
    workspace, unit
        Name of the workspace, and value of the `UsageUnit` of its limit.
    needed
        Amount that waiting calls need.
    least
        Smallest amount that one of them needs.
    ahead
        Amount of short credit for calls that are expected soon.
    reserve
        Amount for a time in which no leader answers.
    """

    workspace: str
    unit: str
    needed: float
    least: float
    ahead: float
    reserve: float


@dataclasses.dataclass(slots=True, frozen=True)
class UsageAsk:
    """A node asks the leader for credits of all its workspaces.

    Attributes
    ----------
    sender
        Address of the node.
    ask_id
        Number that the answer repeats; unlike those of earlier processes.
    wants
        What it wants, one for each workspace.
    """

    sender: str
    ask_id: int
    wants: tuple[Want, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """What the leader issues for one workspace.

    Attributes
    ----------
    workspace, unit
        As in `Want`.
    amount, reserve
        Short credit and reserve.
    short_ms, reserve_ms
        For how long they hold, counted from when the node asked.
    wait_ms
        Time after which what else was needed will be there; 0 if all that
        was needed is granted.
    is_refused
        Whether the calls that were not granted credit should be refused
        rather than wait.
    """

    workspace: str
    unit: str
    amount: float
    reserve: float
    short_ms: int
    reserve_ms: int
    wait_ms: int = 0
    is_refused: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class UsageAnswer:
    """The leader's answer to a `UsageAsk`.

    Attributes
    ----------
    ask_id
        Number of the ask.
    grants
        What is issued, one for each want.
    """

    ask_id: int
    grants: tuple[Grant, ...]
