"""Where a call goes: the upstream that can begin it soonest.

Each function answers one load pattern. For model engines the time to the
first token is the prompt tokens that wait to be read there, less what its
prefix cache keeps, plus the pace at which its batch decodes. A call that
fits no engine's memory waits here, in order of urgency, rather than in an
engine, which would preempt running work for it.
"""

import dataclasses
import math
from collections.abc import Iterable

from bilberryramp.decisions.fleet import (
    calls,
    documents,
    prefix_cache,
    presence,
    sharing,
)

__all__ = [
    "EngineChoice",
    "first_token_work_tokens",
    "should_dispatch",
    "should_keep_waiting",
    "required_memory_tokens",
    "record_first_token_time",
    "pick_engine",
    "pick_plain",
    "queue_sort_key",
    "uncached_work_tokens",
]

# Share of an engine's memory that calls may need together; their sizes are
# upper bounds, but caches of prefixes and rounding to blocks take some.
MAX_MEMORY_RATIO = 0.9
# What it counts that an engine or plain upstream is in another failure
# domain, since the bytes that cross cost: work of some 65 ms, which objectives
# leave time for, or part of a plain upstream's slots.
CROSS_DOMAIN_COST_TOKENS = 2500
CROSS_DOMAIN_COST_FILL = 0.3
# Milliseconds for each prompt token to be read, before any was seen, and the
# bounds of what is learned; the data sheet says 38.7 tokens in one.
DEFAULT_MS_PER_TOKEN = 1 / 38.7
MIN_MS_PER_TOKEN = DEFAULT_MS_PER_TOKEN / 4
MAX_MS_PER_TOKEN = DEFAULT_MS_PER_TOKEN * 4
# Weight of the newest prompt in the learned pace, and the least work from
# which a pace can be told.
SMOOTHING_FACTOR = 0.1
MIN_SAMPLE_TOKENS = 1500
# Time kept for the way to the engine and back.
ROUND_TRIP_MARGIN_MS = 60
# A call whose spare time is less than this goes out of turn: news of a read
# prompt takes up to a look at the queue (50 ms) and a report.
OUT_OF_TURN_SLACK_MS = 120
# Backlog up to which an engine counts as having capacity left over.
LATE_CALL_MAX_BACKLOG_MS = 150
# Part of its time that a call may be held without going to an engine, and
# the part after which a load of its model must have ended.
MAX_WAIT_RATIO = 0.35
MAX_LOAD_WAIT_RATIO = 0.7
# Time for the plan, the order and the news of a load.
LOAD_OVERHEAD_MS = 600
# How much sooner another engine must begin before an adapter is brought
# there; a load takes some milliseconds and two messages.
MIN_ADAPTER_GAIN_MS = 80
# What one running call adds to another's time to its first token, counted
# in prompt tokens: its share of each step.
TOKENS_PER_RUNNING_CALL = 60
# Prompt tokens that an engine reads in the time of one generated token, at
# the pace of a full batch (data sheet: 64 tokens in about 8 ms).
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 5
# Calls that a plain upstream gets at once, as a multiple of its slots.
MAX_PLAIN_FILL = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineChoice:
    """An engine for a prompt.

    Attributes
    ----------
    cached
        Tokens that its prefix cache spares.
    work
        What it must do before the first token, in prompt tokens.
    unread
        Prompt tokens of other calls that it has not read yet.
    estimate_ms
        The time until then.
    """

    upstream: presence.Upstream
    cached_tokens: int
    work_tokens: int
    unread_tokens: int
    estimate_ms: float


def required_memory_tokens(prompt: calls.Prompt) -> int:
    """Return the memory that a prompt may need at an engine.

    Parts that the engine keeps already count as well, since they cannot
    yield while the prompt runs.

    Parameters
    ----------
    prompt
        The prompt.

    Returns
    -------
    int
        Tokens.
    """
    return prompt.tokens_in + prompt.tokens_out


def uncached_work_tokens(prompt: calls.Prompt) -> int:
    """Count what an engine must do for a prompt that it knows nothing of.

    Parameters
    ----------
    prompt
        The prompt.

    Returns
    -------
    int
        Prompt tokens, with those to be generated counted in these as well.
    """
    return (
        prompt.tokens_in + PROMPT_TOKENS_PER_OUTPUT_TOKEN * prompt.tokens_out
    )


def first_token_work_tokens(
    load: sharing.Load, prompt: calls.Prompt, cached_tokens: int, urgency: int
) -> int:
    """Count what an engine must do before a prompt's first token.

    Parameters
    ----------
    load
        The engine's load over all entries.
    prompt
        The prompt.
    cached
        Tokens of it that the engine keeps already.
    urgency
        Its rank; an engine reads less urgent prompts after it.

    Returns
    -------
    int
        Prompt tokens to read, with the steps of running calls counted in
        prompt tokens as well.
    """
    own_tokens = max(prompt.tokens_in - cached_tokens, 0)
    ahead_tokens = sum(
        load.unread_tokens[: sharing.urgency_level(urgency) + 1]
    )
    return ahead_tokens + own_tokens + TOKENS_PER_RUNNING_CALL * load.calls


def record_first_token_time(
    ms_per_token: dict[str, float], model: str, work_tokens: int, took_ms: int
) -> None:
    """Learn how fast engines begin prompts of a model.

    Parameters
    ----------
    paces
        Milliseconds for each token of work, by model; changed in place.
    model, work, took_ms
        A prompt's model, its work as of `first_token_work_tokens`, and the time to its
        first token.
    """
    if work_tokens < MIN_SAMPLE_TOKENS:
        return
    sample = min(
        max(took_ms / work_tokens, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN
    )
    previous = ms_per_token.get(model, DEFAULT_MS_PER_TOKEN)
    ms_per_token[model] = previous + SMOOTHING_FACTOR * (sample - previous)


def pick_engine(
    prompt: calls.Prompt,
    engine: documents.EngineSpec,
    candidates: Iterable[presence.Upstream],
    loads: sharing.Loads,
    ms_per_token: dict[str, float],
    failure_domain: str,
    urgency: int,
    now_ms: int,
) -> EngineChoice | None:
    """Pick the engine that can begin a prompt soonest.

    Parameters
    ----------
    prompt
        The prompt.
    engine
        What each engine offers.
    candidates
        Engines that hold the model and adapter.
    loads, paces
        The load over all entries, and the pace of models.
    failure_domain
        Of this entry; an engine there is preferred among equals, since
        bytes between failure domains cost.
    urgency, now_ms
        The prompt's rank and the present.

    Returns
    -------
    Choice or None
        None while no engine has room.
    """
    best, lowest = None, math.inf
    pace = ms_per_token.get(prompt.model, DEFAULT_MS_PER_TOKEN)
    required_tokens = required_memory_tokens(prompt)
    for upstream in candidates:
        upstream_id = upstream.last.upstream_id
        load = sharing.total_load(loads, upstream_id, now_ms)
        has_room = (
            load.reserved_tokens + required_tokens
            <= MAX_MEMORY_RATIO * engine.kv_tokens
        )
        if load.calls and not has_room or load.calls >= engine.slots:
            continue
        cached_tokens = prefix_cache.cached_tokens(
            loads.caches, upstream_id, prompt.weights, prompt.parts
        )
        work_tokens = first_token_work_tokens(
            load, prompt, cached_tokens, urgency
        )
        is_same_domain = upstream.last.failure_domain == failure_domain
        cost = (
            work_tokens
            if is_same_domain
            else work_tokens + CROSS_DOMAIN_COST_TOKENS
        )
        if cost < lowest:
            lowest = cost
            best = EngineChoice(
                upstream,
                cached_tokens,
                work_tokens,
                sum(load.unread_tokens),
                work_tokens * pace,
            )
    return best


def should_dispatch(
    call: calls.Call, choice: EngineChoice, now_ms: int
) -> bool:
    """Tell whether a call should go to its best engine now.

    When more work comes than engines can do in time, a call that can still
    be in time goes ahead, and one that cannot waits for capacity that is
    left over, so that late work makes no other late.

    Parameters
    ----------
    call, choice, now_ms
        The call, its best engine and the present.

    Returns
    -------
    bool
        False to let it wait.
    """
    remaining_ms = call.route.target_ms - (now_ms - call.arrived_ms)
    slack_ms = remaining_ms - ROUND_TRIP_MARGIN_MS - choice.estimate_ms
    if slack_ms >= 0:
        return slack_ms < OUT_OF_TURN_SLACK_MS or _may_read_now(call, choice)
    own_ms = choice.estimate_ms * (
        max(call.request.prompt.tokens_in - choice.cached_tokens, 0)
        / max(choice.work_tokens, 1)
    )
    return choice.estimate_ms - own_ms <= LATE_CALL_MAX_BACKLOG_MS


def _may_read_now(call: calls.Call, choice: EngineChoice) -> bool:
    """Tell whether an engine should read a prompt now.

    An engine reads one piece of the prompts that wait in each step, and
    streams go on by a token a step. Long prompts that follow one another
    without a break make each of its streams pause for too long, so one waits
    until the others have been read.
    """
    own_tokens = call.request.prompt.tokens_in - choice.cached_tokens
    return (
        own_tokens < sharing.LONG_PROMPT_TOKENS
        or choice.unread_tokens < sharing.LONG_PROMPT_TOKENS
    )


def pick_plain(
    candidates: Iterable[presence.Upstream],
    loads: sharing.Loads,
    failure_domain: str,
    now_ms: int,
) -> presence.Upstream | None:
    """Pick the plain upstream with the fewest calls for its slots.

    Parameters
    ----------
    candidates, loads, failure_domain, now_ms
        As for `pick_engine`.

    Returns
    -------
    Upstream or None
        None while all have as many calls as they should.
    """
    best, lowest = None, math.inf
    for upstream in candidates:
        load = sharing.total_load(loads, upstream.last.upstream_id, now_ms)
        utilization = load.calls / max(upstream.last.slots, 1)
        if utilization >= MAX_PLAIN_FILL:
            continue
        if upstream.last.failure_domain != failure_domain:
            utilization += CROSS_DOMAIN_COST_FILL
        if utilization < lowest:
            best, lowest = upstream, utilization
    return best


def should_keep_waiting(call: calls.Call, load_ms: float, now_ms: int) -> bool:
    """Tell whether a call should go on waiting here.

    A call that has missed its objective is refused and may come back, for
    holding it longer rarely serves it; one whose model is being loaded
    waits for that if enough time is left afterwards.

    Parameters
    ----------
    call
        A waiting call.
    load_ms
        How long its model's load takes; 0 if an engine holds it.
    now_ms
        The present.

    Returns
    -------
    bool
        False to refuse it now.
    """
    total_ms = call.deadline_ms - call.arrived_ms
    limit_ms = max(call.route.target_ms, MAX_WAIT_RATIO * total_ms)
    if load_ms + LOAD_OVERHEAD_MS <= MAX_LOAD_WAIT_RATIO * total_ms:
        limit_ms = max(limit_ms, load_ms + LOAD_OVERHEAD_MS)
    return now_ms - call.arrived_ms < limit_ms


def queue_sort_key(call: calls.Call, now_ms: int) -> tuple:
    """Order waiting calls: in time before late, urgent before others.

    Parameters
    ----------
    call, now_ms
        The call and the present.

    Returns
    -------
    tuple
        For sorting.
    """
    is_late = now_ms - call.arrived_ms > call.route.target_ms
    return (is_late, call.route.urgency, call.arrived_ms)
