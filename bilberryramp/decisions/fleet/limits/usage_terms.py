"""Terms under which a usage limit is divided into credits.

What arrives at upstreams in a window is charged within the window and
`retry_budget.ARRIVAL_DELAY_MS` before it. It is charged to credits, which the
leader of the register issues from a bucket for each workspace:

- Short credits end `Terms.short_ms` after they are issued. Those charged in a
  span were therefore issued in the span or `short_ms` before it.
- Reserves end `Terms.reserve_ms` after they are issued. Those charged in a
  span were issued in it, or are part of the at most `Terms.reserve` that
  leaders issue in any time of that length.

A new leader starts with an empty bucket and issues no reserves for the first
`reserve_ms`, and the times of two leaders don't overlap. So the buckets of
all leaders together issue at most ``depth + rate * length`` in any time, and
what arrives in a window is at most ``rate * span + depth + reserve``, which
`make_terms` keeps within the limit.
"""

import dataclasses

from bilberryramp.decisions.fleet.core import calls, documents
from bilberryramp.decisions.fleet.limits import retry_budget

__all__ = ["Exactness", "Terms", "amount_of", "make_terms"]

# Longest times for which credits hold, and as fractions of the window.
MAX_SHORT_MS = 500
SHORT_FRACTION = 1 / 8
MAX_RESERVE_MS = 4000
RESERVE_FRACTION = 1 / 2
# Fraction of the slack that is issued. The rest is for arrivals that take
# longer than ARRIVAL_DELAY_MS.
SLACK_FRACTION = 0.9
# Fraction of what is left beside the rate that may be held as reserves.
RESERVE_SHARE = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class Exactness:
    """How exactly usage limits bind.

    Attributes
    ----------
    window_ms
        Length of the window in milliseconds.
    overage
        Ratio by which the usage in a window may exceed the limit.
    slack
        Amount by which it may exceed the limit in addition.
    """

    window_ms: int = 1000
    overage: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Terms:
    """What a leader may issue to a workspace.

    Attributes
    ----------
    rate
        Amount per second by which the bucket fills.
    depth
        Largest amount in the bucket.
    reserve
        Largest amount of reserves issued within `reserve_ms`.
    short_ms, reserve_ms
        Times for which short credits and reserves hold.
    """

    rate: float
    depth: float
    reserve: float
    short_ms: int
    reserve_ms: int


def make_terms(limit: documents.UsageLimit, exactness: Exactness) -> Terms:
    """Divide what a limit allows in a window.

    Parameters
    ----------
    limit
        Limit of the workspace.
    exactness
        How exactly it binds.

    Returns
    -------
    Terms
        The rate is that of the limit, unless the window leaves too little
        beside it for a request. A limit that is only a burst is issued over
        the window.
    """
    window_ms = exactness.window_ms
    short_ms = min(MAX_SHORT_MS, int(window_ms * SHORT_FRACTION))
    reserve_ms = min(MAX_RESERVE_MS, int(window_ms * RESERVE_FRACTION))
    span_s = (window_ms + retry_budget.ARRIVAL_DELAY_MS + short_ms) / 1000
    allowance = limit.rate * window_ms / 1000 + limit.burst
    allowance *= 1 + exactness.overage
    allowance += SLACK_FRACTION * exactness.slack
    is_by_token = limit.unit is documents.UsageUnit.TOKEN
    request = max(limit.plain_tokens, 1) if is_by_token else 1
    least = max(min(limit.burst, allowance) / 2, min(request, allowance))
    rate = (allowance - least) / span_s
    if limit.rate > 0:
        rate = min(limit.rate, rate)
    room = allowance - rate * span_s
    reserve = max(min(RESERVE_SHARE * room, room - least), 0.0)
    return Terms(rate, room - reserve, reserve, short_ms, reserve_ms)


def amount_of(limit: documents.UsageLimit, request: calls.Request) -> float:
    """Return what a request uses of a limit.

    Parameters
    ----------
    limit
        Limit of its workspace.
    request
        The request.

    Returns
    -------
    float
        Tokens of the prompt and of the longest answer, or 1.
    """
    if limit.unit is documents.UsageUnit.REQUEST:
        return 1.0
    prompt = request.prompt
    if prompt is None:
        return float(limit.plain_tokens)
    return float(prompt.tokens_in + prompt.tokens_out)
