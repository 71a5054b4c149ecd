"""Usage credits of a node, which its calls are charged to.

A call is charged when it is sent, and waits while credit is missing, which
`usage_asks` asks for. Reserves are spent only while no leader answers; see
`usage_terms` for why the sum stays in the limit.

``now_ms`` must come from a clock that continues to run while the instance is
suspended.
"""

import dataclasses
import math
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import calls, documents
from bilberryramp.decisions.fleet.limits import usage_terms

__all__ = [
    "Account",
    "Credits",
    "Lot",
    "available",
    "charge",
    "demand_per_s",
    "details",
    "drop_ended",
    "forget",
    "refund",
    "refusal_ms",
    "set_document",
]

# Time over which the demand of a workspace is averaged.
DEMAND_MS = 1000
# Bound on the errors of rounding in sums of amounts.
ROUNDING = 1e-6
# Part by which the size of a typical request decreases with each smaller one.
SIZE_DECAY = 0.1


@dataclasses.dataclass(slots=True)
class Lot:
    """Credit that ends at one time.

    Attributes
    ----------
    amount
        What is left of it.
    until_ms
        Last time at which it may be spent.
    is_reserve
        Whether it is kept for times in which no leader answers.
    """

    amount: float
    until_ms: int
    is_reserve: bool


@dataclasses.dataclass(slots=True)
class Account:
    """Credit and demand of one workspace at one node.

    Attributes
    ----------
    unit
        Unit of its limit.
    lots
        Credit that the node holds.
    waiting
        Amounts that waiting calls need, by call identifier.
    asked
        Identifiers of the calls whose needs are in the ask under way.
    refused
        For each call that should be refused, the time in milliseconds after
        which its client may return.
    demand_per_s, size
        Average of what its calls here use per second, and what a typical one
        uses.
    seen_ms
        When a call last needed credit.
    held_until_ms
        Until when waiting calls have been told to wait.
    ahead_until_ms, reserved_until_ms
        Until when neither credit ahead nor a reserve is asked for.
    """

    unit: documents.UsageUnit
    lots: list[Lot] = dataclasses.field(default_factory=list)
    waiting: dict[int, float] = dataclasses.field(default_factory=dict)
    asked: set[int] = dataclasses.field(default_factory=set)
    refused: dict[int, int] = dataclasses.field(default_factory=dict)
    demand_per_s: float = 0.0
    size: float = 0.0
    seen_ms: int = 0
    held_until_ms: int = 0
    ahead_until_ms: int = 0
    reserved_until_ms: int = 0


@dataclasses.dataclass(slots=True)
class Credits:
    """State of a node.

    Attributes
    ----------
    accounts
        Accounts of the workspaces with a limit and recent requests.
    ask_id
        Number of the last ask. It starts at a random number, so that answers
        to an earlier process are recognized.
    asked_ms
        When the ask under way was made; -1 without one.
    answered_ms
        When a leader last answered; -1 if none has.
    is_gap
        Whether the last ask was not answered in time.
    """

    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    ask_id: int = 0
    asked_ms: int = -1
    answered_ms: int = -1
    is_gap: bool = False


def set_document(credits_: Credits, doc: documents.Document) -> None:
    """Drop the accounts of workspaces without a limit in the same unit.

    The needs of waiting calls are dropped as well, since their keys may name
    other workspaces now.

    Parameters
    ----------
    credits_
        State of the node. Modified in place.
    doc
        Document in force.
    """
    units = {
        workspace.name: workspace.usage_limit.unit
        for workspace in doc.workspaces
        if workspace.usage_limit is not None
    }
    credits_.accounts = {
        name: account
        for name, account in credits_.accounts.items()
        if units.get(name) is account.unit
    }
    for account in credits_.accounts.values():
        account.waiting.clear()
        account.refused.clear()


def charge(credits_: Credits, call: calls.Call, now_ms: int) -> bool:
    """Charge a call that is about to be sent to its workspace.

    Parameters
    ----------
    credits_
        State of the node. Modified in place.
    call
        The call. What it was charged to is noted in it.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        False if the credit is missing, so that the call must not be sent.
        The next ask then contains its need.
    """
    limit = _limit_of(call)
    if limit is None:
        return True
    account = _account(credits_, call.workspace.name, limit, now_ms)
    amount = usage_terms.amount_of(limit, call.request)
    if call.call_id not in account.waiting:
        _record_demand(account, amount, now_ms)
    drop_ended(account, now_ms)
    lots = _spendable(credits_, account)
    if sum(lot.amount for lot in lots) < amount - ROUNDING:
        account.waiting[call.call_id] = amount
        return False
    account.waiting.pop(call.call_id, None)
    account.refused.pop(call.call_id, None)
    name = call.workspace.name
    call.usage_parts = tuple((name, *part) for part in _take(lots, amount))
    return True


def refund(credits_: Credits, call: calls.Call, now_ms: int) -> float:
    """Give back what a call was charged that surely did not run.

    Parameters
    ----------
    credits_
        State of the node. Modified in place.
    call
        The call, which is no longer charged.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Amount that can be spent again. What would have ended unspent by now
        is lost.
    """
    parts, call.usage_parts = call.usage_parts, ()
    returned = 0.0
    for name, amount, until_ms, is_reserve in parts:
        account = credits_.accounts.get(name)
        if account is not None and now_ms <= until_ms:
            account.lots.append(Lot(amount, until_ms, is_reserve))
            returned += amount
    return returned


def forget(credits_: Credits, call: calls.Call) -> None:
    """Remove the need of a call that has ended.

    Parameters
    ----------
    credits_
        State of the node. Modified in place.
    call
        The call.
    """
    if call.workspace is None:
        return
    account = credits_.accounts.get(call.workspace.name)
    if account is not None:
        account.waiting.pop(call.call_id, None)
        account.refused.pop(call.call_id, None)


def refusal_ms(credits_: Credits, call: calls.Call) -> int:
    """Return when the client of a call over its limit may return.

    Parameters
    ----------
    credits_
        State of the node.
    call
        A waiting call.

    Returns
    -------
    int
        Time from now in milliseconds; 0 if the call is not over its limit.
    """
    if call.workspace is None:
        return 0
    account = credits_.accounts.get(call.workspace.name)
    return account.refused.get(call.call_id, 0) if account is not None else 0


def available(credits_: Credits, account: Account, now_ms: int) -> float:
    """Return the credit of a workspace that calls may be charged to now."""
    drop_ended(account, now_ms)
    return sum(lot.amount for lot in _spendable(credits_, account))


def demand_per_s(account: Account, now_ms: int) -> float:
    """Return what the calls of a workspace here use per second on average."""
    elapsed_ms = max(now_ms - account.seen_ms, 0)
    return account.demand_per_s * math.exp(-elapsed_ms / DEMAND_MS)


def details(credits_: Credits, call: calls.Call, now_ms: int) -> dict:
    """Describe the usage of a call's workspace at this node, for the log.

    Parameters
    ----------
    credits_
        State of the node.
    call
        A call that waits for credit or is refused.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    dict
        Fields of a `Trace`: what the call needs and the node holds, what the
        calls here use per second, and how old the last answer of a leader
        is; empty without a usage limit.
    """
    limit = _limit_of(call)
    if limit is None:
        return {}
    account = _account(credits_, call.workspace.name, limit, now_ms)
    drop_ended(account, now_ms)
    reserve = sum(lot.amount for lot in account.lots if lot.is_reserve)
    held = sum(lot.amount for lot in account.lots) - reserve
    return {
        "workspace": call.workspace.name,
        "usage_unit": limit.unit.value,
        "usage_needed": round(usage_terms.amount_of(limit, call.request)),
        "usage_held": round(held),
        "usage_reserve": round(reserve),
        "usage_demand_per_s": round(demand_per_s(account, now_ms)),
        "usage_answered_ms_ago": now_ms - credits_.answered_ms
        if credits_.answered_ms >= 0
        else -1,
        "usage_gap": credits_.is_gap,
    }


def _limit_of(call: calls.Call) -> documents.UsageLimit | None:
    return call.workspace.usage_limit if call.workspace is not None else None


def _account(credits_, name, limit, now_ms) -> Account:
    account = credits_.accounts.get(name)
    if account is None or account.unit is not limit.unit:
        account = Account(limit.unit, seen_ms=now_ms)
        credits_.accounts[name] = account
    return account


def _record_demand(account: Account, amount: float, now_ms: int) -> None:
    average = demand_per_s(account, now_ms)
    account.demand_per_s = average + amount * 1000 / DEMAND_MS
    account.seen_ms = now_ms
    account.size = max(amount, account.size * (1 - SIZE_DECAY))


def drop_ended(account: Account, now_ms: int) -> None:
    """Drop the lots of an account that have ended or are spent."""
    account.lots = [
        lot
        for lot in account.lots
        if now_ms <= lot.until_ms and lot.amount > 0
    ]


def _spendable(credits_: Credits, account: Account) -> list[Lot]:
    """List the lots that may be spent, first those that end first."""
    lots = (x for x in account.lots if credits_.is_gap or not x.is_reserve)
    return sorted(lots, key=lambda lot: (lot.is_reserve, lot.until_ms))


def _take(lots: list[Lot], amount: float) -> Iterator:
    """Take an amount from lots, and yield the parts."""
    for lot in lots:
        part = min(lot.amount, amount)
        lot.amount -= part
        amount -= part
        if part > 0:
            yield part, lot.until_ms, lot.is_reserve
