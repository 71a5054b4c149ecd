"""Routing policies, which choose the upstream of a request.

A policy is a function ``(candidates, affinity_key, rng) -> candidate``.
`POLICIES` maps the name of each policy to its factory. Besides the default,
"affinity", it holds baselines that experiments compare with the default.
"""

import dataclasses
import functools
import hashlib
import math
import random
from collections.abc import Callable, Sequence

from bilberryramp.decisions.shared import call_messages, errors

__all__ = [
    "POLICIES",
    "Candidate",
    "Policy",
    "UnknownPolicyError",
    "estimate_load",
    "make_policy",
]

# Load, in requests per slot, by which the upstream that an affinity key
# prefers may exceed the least loaded candidate before the request is routed
# by load.
AFFINITY_LOAD_SLACK = 0.25


class UnknownPolicyError(errors.BilberryError):
    """A routing policy is not a key of `POLICIES`."""


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """An upstream that can run a request, with its load.

    Attributes
    ----------
    load
        Number of requests running or queued, divided by the number of
        slots.
    """

    upstream_id: str
    load: float


Policy = Callable[[Sequence[Candidate], str, random.Random], Candidate]


def estimate_load(report: call_messages.Load | None, in_flight: int) -> float:
    """Estimate an upstream's load.

    Parameters
    ----------
    report
        Its last load report; None if it has sent none.
    in_flight
        Number of the entry's own attempts in progress there. The report
        does not include attempts that arrived after it was sent.

    Returns
    -------
    float
        Number of requests running or queued, divided by the number of
        slots; without a report, one slot is assumed.
    """
    if report is None:
        return float(in_flight)
    busy = max(report.running + report.queued, in_flight)
    return busy / max(report.slots, 1)


def make_policy(name: str) -> Policy:
    """Create a routing policy.

    Parameters
    ----------
    name
        Name of the policy, a key of `POLICIES`.

    Returns
    -------
    Policy
        A new function that shares no state with other policies.

    Raises
    ------
    UnknownPolicyError
        If no policy has this name.
    """
    if name not in POLICIES:
        expected = ", ".join(sorted(POLICIES))
        raise UnknownPolicyError(
            f"unknown routing policy {name!r}; expected one of: {expected}"
        )
    return POLICIES[name]()


def _make_random() -> Policy:
    def choose(candidates, _affinity_key, rng):
        return rng.choice(candidates)

    return choose


def _make_round_robin() -> Policy:
    # Number of the last turn, by the candidates' ids.
    turns = {}

    def choose(candidates, _affinity_key, _rng):
        group = tuple(candidate.upstream_id for candidate in candidates)
        turn = turns.get(group, -1) + 1
        turns[group] = turn
        return candidates[turn % len(candidates)]

    return choose


def _make_least_loaded() -> Policy:
    def choose(candidates, _affinity_key, _rng):
        return min(candidates, key=lambda c: (c.load, c.upstream_id))

    return choose


def _make_power_of_two() -> Policy:
    """Create a policy that takes the less loaded of two random candidates."""

    def choose(candidates, _affinity_key, rng):
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda c: c.load)

    return choose


def _make_affinity(slack: float = AFFINITY_LOAD_SLACK) -> Policy:
    """Create a policy that sends an affinity key to the same upstream.

    A request without a key, or whose preferred upstream has a load more
    than `slack` above the least, is routed by power of two choices.
    """
    fallback = _make_power_of_two()

    def choose(candidates, affinity_key, rng):
        if not affinity_key:
            return fallback(candidates, affinity_key, rng)
        preferred = max(
            candidates, key=lambda c: _rendezvous_score(affinity_key, c)
        )
        least = min(candidate.load for candidate in candidates)
        if preferred.load <= least + slack:
            return preferred
        return fallback(candidates, affinity_key, rng)

    return choose


def _rendezvous_score(affinity_key: str, candidate: Candidate) -> bytes:
    """Score a candidate for rendezvous hashing; the highest is preferred."""
    text = f"{affinity_key}\0{candidate.upstream_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


POLICIES: dict[str, Callable[[], Policy]] = {
    "random": _make_random,
    "round_robin": _make_round_robin,
    "least_loaded": _make_least_loaded,
    "power_of_two": _make_power_of_two,
    "affinity": _make_affinity,
    "affinity_unbounded": functools.partial(_make_affinity, math.inf),
}
