"""Asks of a node for usage credits, and the leader's answers to them.

A node asks the leader of the register for what its waiting calls need, in one
message for all workspaces, and has at most one ask under way. Where demand is
steady it asks ahead, so that most calls find credit.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.limits import usage_credits, usage_messages

__all__ = ["AskLeader", "accept_answer", "due_ask"]

# An ask without an answer for this time shows that no leader answers.
GAP_MS = 60
# Time after which an ask without an answer is repeated.
REPEAT_MS = 150
# Times of the demand for which a node asks ahead, and holds a reserve.
AHEAD_MS = 200
RESERVED_MS = 2000
# A node without a request of a workspace for this time forgets it.
IDLE_MS = 10_000
# Part of the reserve that is left when it is asked for again.
LOW_RESERVE_FRACTION = 0.5
# Times after which a node asks again for credit ahead, and for a reserve,
# which the leader may not have granted.
AHEAD_REPEAT_MS = 100
RESERVE_REPEAT_MS = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class AskLeader:
    """Effect: send an ask to the leader, which may be this node.

    Attributes
    ----------
    ask
        The ask.
    """

    ask: usage_messages.UsageAsk


def due_ask(
    credits_: usage_credits.Credits, address: str, now_ms: int
) -> Iterator:
    """Ask the leader for credit, if some is wanted and no ask is under way.

    Parameters
    ----------
    credits_
        State of the node. Modified in place.
    address
        Address of this node.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    AskLeader, Trace
        At most one ask, and a line when the leader ceases to answer.
    """
    if credits_.asked_ms >= 0:
        waited_ms = now_ms - credits_.asked_ms
        if waited_ms >= GAP_MS and not credits_.is_gap:
            credits_.is_gap = True
            yield _trace_gap(credits_, now_ms)
        if waited_ms < REPEAT_MS:
            return
    wants = []
    for name, account in list(credits_.accounts.items()):
        if now_ms - account.seen_ms > IDLE_MS and not account.waiting:
            del credits_.accounts[name]
            continue
        want = _want(credits_, name, account, now_ms)
        if want is not None:
            wants.append(want)
    if not wants:
        credits_.asked_ms = -1
        return
    credits_.ask_id += 1
    credits_.asked_ms = now_ms
    yield AskLeader(
        usage_messages.UsageAsk(address, credits_.ask_id, tuple(wants))
    )


def accept_answer(
    credits_: usage_credits.Credits,
    answer: usage_messages.UsageAnswer,
    now_ms: int,
) -> bool:
    """Add the credit that the leader has issued.

    Parameters
    ----------
    credits_
        State of the node. Modified in place.
    answer
        The leader's answer; ignored unless it answers the ask under way.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether it was accepted, so that waiting calls may have credit.
    """
    if answer.ask_id != credits_.ask_id or credits_.asked_ms < 0:
        return False
    # The leader issued the credit after this node asked for it.
    issued_ms, credits_.asked_ms = credits_.asked_ms, -1
    credits_.answered_ms = now_ms
    credits_.is_gap = False
    for grant in answer.grants:
        account = credits_.accounts.get(grant.workspace)
        if account is None or account.unit.value != grant.unit:
            continue
        if grant.amount > 0:
            until_ms = issued_ms + grant.short_ms
            account.lots.append(
                usage_credits.Lot(grant.amount, until_ms, False)
            )
        if grant.reserve > 0:
            until_ms = issued_ms + grant.reserve_ms
            account.lots.append(
                usage_credits.Lot(grant.reserve, until_ms, True)
            )
        if grant.is_refused:
            account.refused |= dict.fromkeys(
                account.asked & account.waiting.keys(), grant.wait_ms
            )
        elif grant.wait_ms:
            account.held_until_ms = now_ms + grant.wait_ms
        account.asked.clear()
    return True


def _trace_gap(credits_: usage_credits.Credits, now_ms: int) -> Trace:
    return Trace(
        "usage.unanswered",
        {
            "asked_ms_ago": now_ms - credits_.asked_ms,
            "answered_ms_ago": now_ms - credits_.answered_ms
            if credits_.answered_ms >= 0
            else -1,
            "waiting": sum(len(a.waiting) for a in credits_.accounts.values()),
            "reserve": {
                name: round(sum(x.amount for x in a.lots if x.is_reserve))
                for name, a in credits_.accounts.items()
            },
        },
    )


def _want(
    credits_: usage_credits.Credits,
    name: str,
    account: usage_credits.Account,
    now_ms: int,
) -> usage_messages.Want | None:
    """Return what to ask for one workspace; None if nothing is wanted now."""
    usage_credits.drop_ended(account, now_ms)
    held = sum(lot.amount for lot in account.lots if not lot.is_reserve)
    is_held = now_ms < account.held_until_ms
    waiting = {
        call_id: amount
        for call_id, amount in account.waiting.items()
        if not is_held and call_id not in account.refused
    }
    needed = max(sum(waiting.values()) - held, 0.0)
    demand = usage_credits.demand_per_s(account, now_ms)
    ahead = demand * AHEAD_MS / 1000
    ahead = ahead if ahead >= account.size else 0.0
    reserve = max(demand * RESERVED_MS / 1000, account.size)
    reserved = sum(lot.amount for lot in account.lots if lot.is_reserve)
    lacks_reserve = (
        reserved <= LOW_RESERVE_FRACTION * reserve
        and now_ms >= account.reserved_until_ms
    )
    lacks_ahead = (
        held < ahead / 2
        and not account.waiting
        and now_ms >= account.ahead_until_ms
    )
    if needed <= 0 and not lacks_ahead and not lacks_reserve:
        return None
    account.asked = set(waiting)
    account.ahead_until_ms = now_ms + AHEAD_REPEAT_MS
    if lacks_reserve:
        # An ask for a reserve that is not granted is not repeated at once.
        account.reserved_until_ms = now_ms + RESERVE_REPEAT_MS
    least = min(waiting.values(), default=0.0)
    return usage_messages.Want(
        name,
        account.unit.value,
        needed,
        min(least, needed) if needed else 0.0,
        max(ahead - held, 0.0),
        max(reserve - reserved, 0.0) if lacks_reserve else 0.0,
    )
