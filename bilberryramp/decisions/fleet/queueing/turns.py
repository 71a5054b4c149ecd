"""Order of waiting calls among workspaces.

Load pattern: one workspace sends many times its usual, and its calls, which
arrived first, take the room of all others of the same urgency.

Each workspace waits behind its own work. What was sent for it of late counts
against it, in proportion to its usage limit where it has one, since the limit
says how much of the fleet it was meant to use.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

from bilberryramp.decisions.fleet.core import calls, documents

__all__ = ["Turns", "in_turn", "make_weights", "record_sent"]

# Time in which what was sent for a workspace counts half.
HALF_LIFE_MS = 4000


@dataclasses.dataclass(slots=True)
class Usage:
    """Work that was sent for one workspace, weighted by age.

    Attributes
    ----------
    amount
        The work in prompt tokens, as of `as_of_ms`.
    as_of_ms
        When it was last brought up to date.
    """

    amount: float = 0.0
    as_of_ms: int = 0


@dataclasses.dataclass(slots=True)
class Turns:
    """What each workspace has used of late at one gateway.

    Attributes
    ----------
    usages
        Usage by name of the workspace.
    weights
        Part of the fleet that each workspace was meant to use, by its name,
        in any unit that is the same for all.
    """

    usages: dict[str, Usage] = dataclasses.field(default_factory=dict)
    weights: dict[str, float] = dataclasses.field(default_factory=dict)


def make_weights(
    workspaces: Iterable[documents.Workspace],
) -> dict[str, float]:
    """Return the weights of a document's workspaces.

    Parameters
    ----------
    workspaces
        All workspaces of the document.

    Returns
    -------
    dict of str to float
        By name, the rates of the usage limits; equal weights unless each
        workspace has a limit and all count in the same unit.
    """
    limits = {space.name: space.usage_limit for space in workspaces}
    are_comparable = (
        None not in limits.values()
        and len({limit.unit for limit in limits.values()}) == 1
        and all(limit.rate > 0 for limit in limits.values())
    )
    if not are_comparable:
        return dict.fromkeys(limits, 1.0)
    return {name: limit.rate for name, limit in limits.items()}


def record_sent(
    turns: Turns,
    workspace: documents.Workspace | None,
    work: float,
    now_ms: int,
) -> None:
    """Record that a call of a workspace is sent.

    Parameters
    ----------
    turns
        State of the gateway. Modified in place.
    workspace
        Workspace of the call; None is ignored.
    work
        Work of the call in prompt tokens.
    now_ms
        Current time in milliseconds.
    """
    if workspace is None:
        return
    usage = turns.usages.setdefault(workspace.name, Usage(0.0, now_ms))
    usage.amount = _amount_at(usage, now_ms) + work
    usage.as_of_ms = now_ms


def in_turn(
    turns: Turns,
    waiting: Iterable[calls.Call],
    work_of: Callable[[calls.Call], float],
    rank_of: Callable[[calls.Call], tuple],
    now_ms: int,
) -> list[calls.Call]:
    """Return waiting calls in the order in which they may be sent.

    Parameters
    ----------
    turns
        State of the gateway.
    waiting
        Calls in order of their arrival.
    work_of
        Function from a call to its work in prompt tokens.
    rank_of
        Function from a call to the part of its order that goes before the
        workspace, a tuple that ends with the time of its arrival.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    list of Call
        By rank, within a rank by what its workspace has used with the calls
        ahead of it, then by arrival. Without workspaces this is the order of
        `rank_of`.
    """
    queued: dict[tuple, float] = {}
    keyed = []
    for call in waiting:
        *rank, arrived_ms = rank_of(call)
        turn = 0.0
        if call.workspace is not None:
            name = call.workspace.name
            usage = turns.usages.get(name)
            used = _amount_at(usage, now_ms) if usage is not None else 0.0
            ahead = queued.get((name, *rank), 0.0)
            queued[(name, *rank)] = ahead + work_of(call)
            turn = (used + ahead) / turns.weights.get(name, 1.0)
        keyed.append(((*rank, turn, arrived_ms, call.call_id), call))
    return [call for _, call in sorted(keyed, key=lambda pair: pair[0])]


def _amount_at(usage: Usage, now_ms: int) -> float:
    age_ms = max(now_ms - usage.as_of_ms, 0)
    return usage.amount * math.exp2(-age_ms / HALF_LIFE_MS)
