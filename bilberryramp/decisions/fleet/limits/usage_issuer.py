"""Issue of usage credits by the leader of the register.

The leader keeps a bucket for each workspace with a limit and demand; see
`usage_terms` for what it may issue. Without a provable lease it issues
nothing, and in a new term it starts anew. Where the lease has a gap in a term,
no other node has led: each voter of another leader has answered none of this
node's heartbeats since.

``now_ms`` must come from a clock that continues to run while the instance is
suspended.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import documents
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.limits import usage_messages, usage_terms
from bilberryramp.decisions.shared import effects

__all__ = [
    "Bucket",
    "Issuer",
    "Leadership",
    "answer",
    "leads",
    "level_of",
    "set_document",
    "set_leadership",
]

# Calls for which credit will be there within this time wait for it. Under a
# new leader, whose bucket says nothing about the demand, they wait longer.
MAX_WAIT_MS = 100
NEW_LEADER_MAX_WAIT_MS = 500
NEW_LEADER_MS = 1500
# Bounds of the time after which a refused caller is told to return.
MIN_RETRY_MS = 200
MAX_RETRY_MS = 2000
# Time over which refused amounts count in the estimate of that time.
REFUSED_DECAY_MS = 1000
# Fraction of the bucket that is left to calls that wait: beyond it, credits
# are issued ahead of demand.
KEPT_FRACTION = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Leadership:
    """Proof that this node leads the register.

    Attributes
    ----------
    term
        Term in which it leads.
    until_ms
        Last time at which no other node can lead; -1 if it does not lead.
    """

    term: int = -1
    until_ms: int = -1


@dataclasses.dataclass(slots=True)
class Bucket:
    """Credit that the leader may issue to one workspace.

    Attributes
    ----------
    unit
        Unit of the limit.
    terms
        What may be issued.
    level, as_of_ms
        Amount in the bucket at a time.
    promised
        Amount for which calls were told to wait.
    refused
        Amount that was refused recently.
    reserves
        Times and amounts of the reserves that may still hold.
    """

    unit: documents.UsageUnit
    terms: usage_terms.Terms
    level: float
    as_of_ms: int
    promised: float = 0.0
    refused: float = 0.0
    reserves: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class Issuer:
    """State of a node that leads or may lead.

    Attributes
    ----------
    exactness
        How exactly usage limits bind.
    leadership
        Newest proof that this node leads.
    led_since_ms
        When the first proof of the present term arrived.
    limits
        Limits of the document in force, by workspace.
    buckets
        Buckets of the workspaces for which nodes have asked.
    """

    exactness: usage_terms.Exactness = usage_terms.Exactness()
    leadership: Leadership = Leadership()
    led_since_ms: int = 0
    limits: dict[str, documents.UsageLimit] = dataclasses.field(
        default_factory=dict
    )
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)


def leads(issuer: Issuer, now_ms: int) -> bool:
    """Return whether this node provably leads."""
    return now_ms <= issuer.leadership.until_ms


def set_leadership(
    issuer: Issuer, leadership: Leadership, now_ms: int
) -> None:
    """Record a newer proof that this node leads.

    Parameters
    ----------
    issuer
        State of the node. Modified in place.
    leadership
        The proof.
    now_ms
        Current time in milliseconds.
    """
    known = issuer.leadership
    is_same = leadership.term == known.term
    issuer.leadership = leadership
    if not is_same:
        issuer.led_since_ms = now_ms
        issuer.buckets = {}


def set_document(issuer: Issuer, doc: documents.Document, now_ms: int) -> None:
    """Adopt the limits of a document.

    Parameters
    ----------
    issuer
        State of the node. Modified in place.
    doc
        Document in force.
    now_ms
        Current time in milliseconds.
    """
    issuer.limits = {
        workspace.name: workspace.usage_limit
        for workspace in doc.workspaces
        if workspace.usage_limit is not None
    }
    for name, bucket in list(issuer.buckets.items()):
        limit = issuer.limits.get(name)
        if limit is None or limit.unit is not bucket.unit:
            del issuer.buckets[name]
            continue
        _fill(bucket, now_ms)
        bucket.terms = usage_terms.make_terms(limit, issuer.exactness)
        bucket.level = min(bucket.level, bucket.terms.depth)


def level_of(issuer: Issuer, name: str, now_ms: int) -> float:
    """Return the amount in the bucket of a workspace.

    Parameters
    ----------
    issuer
        State of the leader. Modified in place.
    name
        Name of a workspace with a limit.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        What can be issued now.
    """
    bucket = _bucket(issuer, name, issuer.limits[name])
    _fill(bucket, now_ms)
    return bucket.level


def answer(
    issuer: Issuer, ask: usage_messages.UsageAsk, now_ms: int
) -> Iterator:
    """Issue credits to a node.

    Parameters
    ----------
    issuer
        State of the node. Modified in place.
    ask
        What the node asks for.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    Send, Trace
        The answer, and a line for each workspace whose calls are refused;
        nothing if this node does not provably lead.
    """
    if not leads(issuer, now_ms):
        return
    grants = []
    for want in ask.wants:
        grant = _grant(issuer, want, now_ms)
        grants.append(grant)
        if grant.is_refused:
            yield _trace_refusal(issuer, ask, want, grant, now_ms)
    yield effects.Send(
        ask.sender, usage_messages.UsageAnswer(ask.ask_id, tuple(grants))
    )


def _grant(
    issuer: Issuer, want: usage_messages.Want, now_ms: int
) -> usage_messages.Grant:
    limit = issuer.limits.get(want.workspace)
    if limit is None or limit.unit.value != want.unit:
        return _grant_unlimited(issuer, want, limit)
    bucket = _bucket(issuer, want.workspace, limit)
    _fill(bucket, now_ms)
    terms = bucket.terms
    amount = _affordable(bucket.level, want)
    missing = want.needed - amount
    bucket.level -= amount
    kept = KEPT_FRACTION * terms.depth
    ahead = reserve = 0.0
    if missing <= 0:
        ahead = max(min(want.ahead, bucket.level - kept), 0.0)
        bucket.level -= ahead
        reserve = _reserve(issuer, bucket, want.reserve, now_ms)
        bucket.level -= reserve
    is_new = now_ms - issuer.led_since_ms < NEW_LEADER_MS
    patience_ms = NEW_LEADER_MAX_WAIT_MS if is_new else MAX_WAIT_MS
    wait_ms, is_refused = _delay(bucket, want, missing, patience_ms)
    return usage_messages.Grant(
        want.workspace,
        want.unit,
        amount + ahead,
        reserve,
        terms.short_ms,
        terms.reserve_ms,
        wait_ms,
        is_refused,
    )


def _grant_unlimited(
    issuer: Issuer, want: usage_messages.Want, limit
) -> usage_messages.Grant:
    """Answer a node whose document is older or newer than this node's.

    Without a limit here, nothing binds. If the unit differs, the node is told
    to ask again.
    """
    is_free = limit is None
    terms_ms = min(
        usage_terms.MAX_SHORT_MS,
        int(issuer.exactness.window_ms * usage_terms.SHORT_FRACTION),
    )
    return usage_messages.Grant(
        want.workspace,
        want.unit,
        want.needed if is_free else 0.0,
        0.0,
        terms_ms,
        terms_ms,
        0 if is_free else MAX_WAIT_MS,
    )


def _affordable(level: float, want: usage_messages.Want) -> float:
    """Return the part of what is needed that a level covers.

    It is a multiple of the smallest need, so that little of it is left over.
    """
    if want.needed <= level:
        return want.needed
    if want.least <= 0 or level < want.least:
        return 0.0
    return want.least * (level // want.least)


def _reserve(
    issuer: Issuer, bucket: Bucket, wanted: float, now_ms: int
) -> float:
    terms = bucket.terms
    if now_ms - issuer.led_since_ms <= terms.reserve_ms:
        return 0.0
    while (
        bucket.reserves and now_ms - bucket.reserves[0][0] > terms.reserve_ms
    ):
        bucket.reserves.popleft()
    room = terms.reserve - sum(amount for _, amount in bucket.reserves)
    spare = bucket.level - KEPT_FRACTION * terms.depth
    amount = max(min(wanted, room, spare), 0.0)
    if amount > 0:
        bucket.reserves.append((now_ms, amount))
    return amount


def _delay(
    bucket: Bucket,
    want: usage_messages.Want,
    missing: float,
    patience_ms: int,
) -> tuple[int, bool]:
    """Return when the missing credit is there, and whether to refuse."""
    if missing <= 0:
        return 0, False
    rate = max(bucket.terms.rate, 1e-9)
    first = max(want.least - bucket.level, 0.0)
    wait_ms = 1 + int(1000 * (first + bucket.promised) / rate)
    if wait_ms <= patience_ms and want.least <= bucket.terms.depth:
        bucket.promised += missing
        return wait_ms, False
    bucket.refused += missing
    retry_ms = int(1000 * (first + bucket.promised + bucket.refused) / rate)
    return min(max(retry_ms, MIN_RETRY_MS), MAX_RETRY_MS), True


def _bucket(issuer: Issuer, name: str, limit) -> Bucket:
    """Return the bucket of a workspace.

    It has filled since the beginning of the leadership.
    """
    bucket = issuer.buckets.get(name)
    if bucket is None:
        terms = usage_terms.make_terms(limit, issuer.exactness)
        bucket = Bucket(limit.unit, terms, 0.0, issuer.led_since_ms)
        issuer.buckets[name] = bucket
    return bucket


def _fill(bucket: Bucket, now_ms: int) -> None:
    elapsed_ms = max(now_ms - bucket.as_of_ms, 0)
    gained = bucket.terms.rate * elapsed_ms / 1000
    bucket.level = min(bucket.level + gained, bucket.terms.depth)
    bucket.promised = max(bucket.promised - gained, 0.0)
    bucket.refused *= max(1 - elapsed_ms / REFUSED_DECAY_MS, 0.0)
    bucket.as_of_ms = max(now_ms, bucket.as_of_ms)


def _trace_refusal(
    issuer: Issuer,
    ask: usage_messages.UsageAsk,
    want: usage_messages.Want,
    grant: usage_messages.Grant,
    now_ms: int,
) -> Trace:
    bucket = issuer.buckets[want.workspace]
    return Trace(
        "usage.refused",
        {
            "workspace": want.workspace,
            "node": ask.sender,
            "needed": round(want.needed),
            "granted": round(grant.amount),
            "level": round(bucket.level),
            "depth": round(bucket.terms.depth),
            "rate": round(bucket.terms.rate),
            "recently_refused": round(bucket.refused),
            "led_ms": now_ms - issuer.led_since_ms,
            "retry_after_ms": grant.wait_ms,
        },
    )
