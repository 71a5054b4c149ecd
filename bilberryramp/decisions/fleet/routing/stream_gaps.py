"""Prediction of the pauses that reading prompts causes in streams.

Load pattern: streams of short answers share engines with long prompts. In each
step, an engine reads a piece of the waiting prompts and generates one token of
each stream, and an event of a stream holds several tokens. While an engine
reads without a break, an event therefore takes several pieces and steps, which
is longer than clients accept, most of all at a slow engine.

A long prompt is sent to an engine whose streams keep their objective, or waits
for one as long as its own objective allows; a short prompt avoids engines that
read so much that its own stream would pause. All of that concerns only calls
whose best engine would break an objective.
"""

import dataclasses

from bilberryramp.decisions.fleet.core import documents, sharing

__all__ = [
    "Burst",
    "Gap",
    "Policy",
    "policies",
    "predict",
    "prefer",
    "record_read",
]

# Prompt tokens that an engine reads in one step, and that it could read in the
# time that a step takes besides.
PIECE_TOKENS = 2 * sharing.LONG_PROMPT_TOKENS
STEP_TOKENS = 180
# Longest time between two prompts that count as one burst.
MAX_BREAK_MS = 60
# Fraction of the objective that a predicted pause may reach, because engines
# turn slow for moments and events arrive unevenly.
TARGET_RATIO = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """What the streams of a service's engines need.

    Attributes
    ----------
    stride
        Tokens that an event of a stream holds.
    target_ms
        Tightest objective of the service's routes for the pauses of streams,
        in milliseconds.
    """

    stride: int
    target_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Gap:
    """What sending a prompt to an engine does to the streams there.

    Attributes
    ----------
    predicted_ms
        Longest pause between two events in milliseconds; 0 if the service has
        no objective for it.
    excess_ms
        Milliseconds by which that exceeds the objective.
    is_avoidable
        Whether it would not exceed it once the engine, or another that the
        prompt may be sent to, has read its other prompts.
    """

    predicted_ms: float = 0.0
    excess_ms: float = 0.0
    is_avoidable: bool = False


@dataclasses.dataclass(slots=True)
class Burst:
    """Prompts that an engine has read without a break.

    Attributes
    ----------
    tokens
        Their tokens.
    ended_ms
        When the last one was read.
    """

    tokens: int = 0
    ended_ms: int = 0


def record_read(
    bursts: dict[int, Burst], upstream_key: int, tokens: int, now_ms: int
) -> None:
    """Record that an engine has read a prompt, or several.

    Parameters
    ----------
    bursts
        The last burst by `keys.short_key` of the engine's id. Modified in
        place.
    upstream_key
        Key of the engine.
    tokens
        Tokens that it has read.
    now_ms
        Current time in milliseconds.
    """
    burst = bursts.setdefault(upstream_key, Burst())
    if now_ms - burst.ended_ms > MAX_BREAK_MS:
        burst.tokens = 0
    burst.tokens += tokens
    burst.ended_ms = now_ms


def policies(doc: documents.Document) -> dict[str, Policy]:
    """Return the policy of each service with an objective for pauses.

    Parameters
    ----------
    doc
        The document in force.

    Returns
    -------
    dict
        Policies by service; a service of plain upstreams, or without an
        objective, has none.
    """
    targets_ms: dict[str, int] = {}
    for route in doc.routes:
        if route.streaming and route.gap_target_ms > 0:
            for share in route.shares:
                targets_ms[share.service] = min(
                    route.gap_target_ms,
                    targets_ms.get(share.service, route.gap_target_ms),
                )
    return {
        name: Policy(doc.services[name].engine.stride, target_ms)
        for name, target_ms in targets_ms.items()
        if name in doc.services and doc.services[name].engine is not None
    }


def predict(
    policy: Policy | None,
    burst: Burst | None,
    load: sharing.Load,
    own_tokens: int,
    ms_per_token: float,
    now_ms: int,
) -> Gap:
    """Predict the pauses at an engine if a prompt is sent there.

    Parameters
    ----------
    policy
        Policy of the engine's service; None if it has none.
    burst
        What the engine has read last; None if that is unknown.
    load
        Load of the engine without the prompt, summed over all gateways.
    own_tokens
        Tokens of the prompt that the engine is to read.
    ms_per_token
        The engine's time per token of work.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Gap
        The prediction. A prompt at an engine without calls makes no stream
        pause.
    """
    if policy is None:
        return Gap()
    tokens = own_tokens + sum(load.unread_tokens)
    break_ms = policy.stride * STEP_TOKENS * ms_per_token
    if burst is not None and now_ms - burst.ended_ms < break_ms:
        # The streams have not had the time for an event since then.
        tokens += burst.tokens
    predicted_ms = _event_ms(policy, tokens, ms_per_token)
    limit_ms = TARGET_RATIO * policy.target_ms
    return Gap(
        predicted_ms,
        max(predicted_ms - limit_ms, 0.0) if load.calls else 0.0,
        _event_ms(policy, own_tokens, ms_per_token) <= limit_ms,
    )


def _event_ms(policy: Policy, tokens: int, ms_per_token: float) -> float:
    """Return how long an event takes while an engine reads some tokens."""
    read_tokens = min(tokens, policy.stride * PIECE_TOKENS)
    return (policy.stride * STEP_TOKENS + read_tokens) * ms_per_token


def prefer(best, options, remaining_ms: float):
    """Return the engine at which a prompt breaks no objective, if possible.

    Parameters
    ----------
    best
        `scheduling.EngineChoice` of the lowest cost.
    options
        All choices, with `best`.
    remaining_ms
        Time within which the prompt must start to keep its own objective.

    Returns
    -------
    EngineChoice
        `best`, unless streams keep their objective at another engine, where
        the prompt isn't late either. Where they keep it nowhere, the cost
        counts what exceeds the objective. Its `Gap.is_avoidable` is that of
        all choices.
    """
    timely = [
        option
        for option in options
        if option.estimate_ms <= max(remaining_ms, best.estimate_ms)
    ]
    preferred = min(
        timely,
        key=lambda option: (
            option.gap.excess_ms > 0,
            option.cost_ms + option.gap.excess_ms,
        ),
    )
    is_avoidable = any(option.gap.is_avoidable for option in options)
    gap = dataclasses.replace(preferred.gap, is_avoidable=is_avoidable)
    return dataclasses.replace(preferred, gap=gap)
