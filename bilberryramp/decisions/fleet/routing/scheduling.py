"""Choice of the upstream that can start a call soonest.

For a model engine, the time to the first token is estimated from the backlog
of prompt tokens there, less the tokens in its prefix cache, plus the time
that its running batch takes to decode. A call that does not fit into the
memory of any engine waits in the gateway, in order of urgency, because an
engine ends if its requests exceed its memory (see `limits/engine_memory.py`).

A call is late when it has missed the latency objective of its route, or can no
longer meet it.
"""

import dataclasses
import math
import operator
from collections.abc import Iterable

from bilberryramp.decisions.fleet.core import (
    calls,
    documents,
    keys,
    prefix_cache,
    presence,
    sharing,
    workspaces,
)
from bilberryramp.decisions.fleet.routing import engine_speeds, stream_gaps

__all__ = [
    "EngineChoice",
    "first_token_work_tokens",
    "pick_engine",
    "pick_plain",
    "queue_sort_key",
    "required_memory_tokens",
    "should_dispatch",
    "should_keep_waiting",
    "time_to_start_ms",
    "uncached_work_tokens",
]

# Fraction of an engine's memory that calls may reserve. Reservations are upper
# bounds, but prefix caches and rounding to blocks take some memory.
MAX_MEMORY_RATIO = 0.9
# Penalties of an engine (in prompt tokens) and of a plain upstream (in calls
# per slot) in another failure domain, because traffic between domains is
# charged. 2500 tokens are about 65 ms of work, which latency objectives leave
# time for.
CROSS_DOMAIN_COST_TOKENS = 2500
CROSS_DOMAIN_COST_FILL = 0.3
# Time reserved for the network path to the engine and back.
ROUND_TRIP_MARGIN_MS = 60
# A call that can wait for less than this and still meet its latency objective
# does not wait until other prompts are read: the gateway learns of a read
# prompt only after up to one check of the queue (50 ms) and one report.
OUT_OF_TURN_SLACK_MS = 120
# Maximum backlog of an engine that still accepts late calls.
LATE_CALL_MAX_BACKLOG_MS = 150
# Fraction of its allowed time that a call may wait in the queue, and fraction
# within which a load of its model must end for the call to wait for it.
MAX_WAIT_RATIO = 0.35
MAX_LOAD_WAIT_RATIO = 0.7
# Time added to a model's load time for planning the load, sending the order
# and reporting its end.
LOAD_OVERHEAD_MS = 600
# Minimum reduction of the time to the first token for which an adapter is
# loaded at another engine; the load takes a few milliseconds and two messages.
MIN_ADAPTER_GAIN_MS = 80
# Work that each running call adds before another call's first token, in prompt
# tokens: its share of each step.
TOKENS_PER_RUNNING_CALL = 60
# Prompt tokens that an engine reads in the time that it takes to generate one
# token with a full batch (data sheet: 64 tokens in about 8 ms).
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 5
# Limit on the concurrent calls of a plain upstream, per slot.
MAX_PLAIN_CALLS_PER_SLOT = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineChoice:
    """An engine that was chosen for a prompt, with the estimate for it.

    Attributes
    ----------
    upstream
        The engine.
    cached_tokens
        Prompt tokens that its prefix cache holds.
    work_tokens
        Work before the first token, in prompt tokens.
    unread_tokens
        Prompt tokens of other calls that it has not read yet.
    estimate_ms
        Estimated time to the first token in milliseconds.
    cost_ms
        The estimate with the costs of the engine's failure domain.
    gap
        Effect on the streams there.
    """

    upstream: presence.Upstream
    cached_tokens: int
    work_tokens: int
    unread_tokens: int
    estimate_ms: float
    cost_ms: float
    gap: stream_gaps.Gap


def required_memory_tokens(prompt: calls.Prompt) -> int:
    """Return the memory that a prompt may need at an engine.

    Cached parts of the prompt count as well, because the cache cannot evict
    them while the prompt runs.

    Parameters
    ----------
    prompt
        The prompt.

    Returns
    -------
    int
        Size of the memory in tokens.
    """
    return prompt.tokens_in + prompt.tokens_out


def uncached_work_tokens(prompt: calls.Prompt) -> int:
    """Return the work for a prompt at an engine that has no part of it cached.

    Parameters
    ----------
    prompt
        The prompt.

    Returns
    -------
    int
        Work in prompt tokens, including the generation of the answer.
    """
    return (
        prompt.tokens_in + PROMPT_TOKENS_PER_OUTPUT_TOKEN * prompt.tokens_out
    )


def first_token_work_tokens(
    load: sharing.Load, prompt: calls.Prompt, cached_tokens: int, urgency: int
) -> int:
    """Return the work of an engine before a prompt's first token.

    Parameters
    ----------
    load
        Load of the engine, summed over all gateways.
    prompt
        The prompt.
    cached_tokens
        Tokens of the prompt in the engine's prefix cache.
    urgency
        Rank of the prompt; the engine reads less urgent prompts after it.

    Returns
    -------
    int
        Work in prompt tokens: unread prompts of the same or higher urgency,
        the prompt itself, and the decoding steps of running calls.
    """
    own_tokens = max(prompt.tokens_in - cached_tokens, 0)
    ahead_tokens = sum(
        load.unread_tokens[: sharing.urgency_level(urgency) + 1]
    )
    return ahead_tokens + own_tokens + TOKENS_PER_RUNNING_CALL * load.calls


def pick_engine(
    prompt: calls.Prompt,
    engine: documents.EngineSpec,
    candidates: Iterable[presence.Upstream],
    loads: sharing.Loads,
    speeds: engine_speeds.Speeds,
    failure_domain: str,
    urgency: int,
    now_ms: int,
    policy: stream_gaps.Policy | None,
    bursts: dict[int, stream_gaps.Burst],
    time_to_start_ms: float,
) -> EngineChoice | None:
    """Return the engine that can start a prompt soonest.

    Parameters
    ----------
    prompt
        The prompt.
    engine
        Description of the service's engines.
    candidates
        Engines that hold the model and adapter.
    loads
        Known loads of this gateway and of its peers.
    speeds
        Measured reading speeds of the engines.
    failure_domain
        Failure domain of this gateway. Engines in it are preferred, because
        traffic between failure domains is charged.
    urgency
        Rank of the prompt; 0 is the most urgent.
    now_ms
        Current time in milliseconds.
    policy
        What the streams of the service need; None if nothing.
    bursts
        What engines have read last, by `keys.short_key` of their ids.
    time_to_start_ms
        As returned by `time_to_start_ms`.

    Returns
    -------
    EngineChoice or None
        None if no engine has a free slot and enough memory.
    """
    options = []
    cross_domain_cost_ms = (
        CROSS_DOMAIN_COST_TOKENS
        * engine_speeds.typical_ms_per_token(speeds, now_ms)
    )
    required_tokens = required_memory_tokens(prompt)
    for upstream in candidates:
        upstream_id = upstream.announcement.upstream_id
        load = sharing.total_load(loads, upstream_id, now_ms)
        # An engine that holds nothing accepts a prompt of any size.
        has_room = (
            load.reserved_tokens + required_tokens
            <= MAX_MEMORY_RATIO * engine.kv_tokens
        )
        is_empty = load.reserved_tokens <= 0
        if not (is_empty or has_room) or load.calls >= engine.slots:
            continue
        cached_tokens = prefix_cache.cached_tokens(
            loads.caches, upstream_id, prompt.weights, prompt.parts
        )
        ms_per_token = engine_speeds.ms_per_token(
            speeds, upstream.announcement, now_ms
        )
        work_tokens = first_token_work_tokens(
            load, prompt, cached_tokens, urgency
        )
        estimate_ms = work_tokens * ms_per_token
        is_same_domain = upstream.announcement.failure_domain == failure_domain
        gap = stream_gaps.predict(
            policy,
            bursts.get(keys.short_key(upstream_id)),
            load,
            max(prompt.tokens_in - cached_tokens, 0),
            ms_per_token,
            now_ms,
        )
        choice = EngineChoice(
            upstream,
            cached_tokens,
            work_tokens,
            sum(load.unread_tokens),
            estimate_ms,
            estimate_ms + (0 if is_same_domain else cross_domain_cost_ms),
            gap,
        )
        options.append(choice)
    if not options:
        return None
    best = min(options, key=operator.attrgetter("cost_ms"))
    if best.gap.excess_ms > 0:
        return stream_gaps.prefer(best, options, time_to_start_ms)
    return best


def time_to_start_ms(call: calls.Call, now_ms: int) -> float:
    """Return the time within which a call must start to be on time.

    Parameters
    ----------
    call
        A waiting call.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    float
        Time at the engine in milliseconds; negative if the call is late.
    """
    remaining_ms = call.route.target_ms - (now_ms - call.arrived_ms)
    return remaining_ms - ROUND_TRIP_MARGIN_MS


def should_dispatch(
    call: calls.Call, choice: EngineChoice, now_ms: int
) -> bool:
    """Return whether a call should be sent to its best engine now.

    Under overload, calls that can still meet their latency objective go first.
    A late call, which cannot, is sent only to an engine with a small backlog,
    so that it does not make other calls late.

    Parameters
    ----------
    call
        A waiting call.
    choice
        The best engine for it.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        False if the call should wait.
    """
    slack_ms = time_to_start_ms(call, now_ms) - choice.estimate_ms
    if slack_ms >= 0:
        return slack_ms < OUT_OF_TURN_SLACK_MS or _may_read_now(call, choice)
    if _breaks_gaps(call, choice) and (
        now_ms - call.arrived_ms < _wait_limit_ms(call) - OUT_OF_TURN_SLACK_MS
    ):
        return False
    own_ms = choice.estimate_ms * (
        max(call.request.prompt.tokens_in - choice.cached_tokens, 0)
        / max(choice.work_tokens, 1)
    )
    return choice.estimate_ms - own_ms <= LATE_CALL_MAX_BACKLOG_MS


def _breaks_gaps(call: calls.Call, choice: EngineChoice) -> bool:
    """Return whether a long prompt makes streams pause that need not."""
    own_tokens = call.request.prompt.tokens_in - choice.cached_tokens
    return (
        choice.gap.excess_ms > 0
        and choice.gap.is_avoidable
        and own_tokens >= sharing.LONG_PROMPT_TOKENS
    )


def _may_read_now(call: calls.Call, choice: EngineChoice) -> bool:
    """Return whether an engine should read a prompt now.

    In each step, an engine reads a chunk of the waiting prompts and generates
    one token of each stream. Consecutive long prompts slow down the steps and
    make all streams pause for too long, so a long prompt waits until few
    tokens of other prompts are left to read.
    """
    own_tokens = call.request.prompt.tokens_in - choice.cached_tokens
    is_backlog_short = choice.unread_tokens < sharing.LONG_PROMPT_TOKENS
    return own_tokens < sharing.LONG_PROMPT_TOKENS or (
        is_backlog_short and not _breaks_gaps(call, choice)
    )


def pick_plain(
    candidates: Iterable[presence.Upstream],
    loads: sharing.Loads,
    failure_domain: str,
    now_ms: int,
) -> presence.Upstream | None:
    """Return the plain upstream with the fewest calls per slot.

    Parameters
    ----------
    candidates
        Usable upstreams of the service.
    loads, failure_domain, now_ms
        As for `pick_engine`.

    Returns
    -------
    Upstream or None
        None if all upstreams have reached `MAX_PLAIN_CALLS_PER_SLOT`.
    """
    best_upstream, lowest_utilization = None, math.inf
    for upstream in candidates:
        load = sharing.total_load(
            loads, upstream.announcement.upstream_id, now_ms
        )
        utilization = load.calls / max(upstream.announcement.slots, 1)
        if utilization >= MAX_PLAIN_CALLS_PER_SLOT:
            continue
        if upstream.announcement.failure_domain != failure_domain:
            utilization += CROSS_DOMAIN_COST_FILL
        if utilization < lowest_utilization:
            best_upstream, lowest_utilization = upstream, utilization
    return best_upstream


def should_keep_waiting(
    call: calls.Call,
    model_load_ms: float,
    now_ms: int,
    expected_wait_ms: float = 0.0,
) -> bool:
    """Return whether a call should remain in the gateway's queue.

    A call that has missed its latency objective is soon refused, so that the
    client can retry, because such calls are rarely served by waiting longer. A
    call whose model is being loaded waits for it if enough time remains after
    the load.

    Parameters
    ----------
    call
        A waiting call.
    model_load_ms
        Load time of the model in milliseconds; 0 if the call does not wait for
        a load.
    now_ms
        Current time in milliseconds.
    expected_wait_ms
        Time for which the call is expected to wait from now on, in
        milliseconds; 0 if it is unknown.

    Returns
    -------
    bool
        False if the call should be refused.
    """
    total_ms = call.deadline_ms - call.arrived_ms
    limit_ms = _wait_limit_ms(call)
    if model_load_ms + LOAD_OVERHEAD_MS <= MAX_LOAD_WAIT_RATIO * total_ms:
        limit_ms = max(limit_ms, model_load_ms + LOAD_OVERHEAD_MS)
    return now_ms + expected_wait_ms - call.arrived_ms < limit_ms


def _wait_limit_ms(call: calls.Call) -> float:
    """Return how long a call waits whose model is loaded."""
    total_ms = call.deadline_ms - call.arrived_ms
    return max(call.route.target_ms, MAX_WAIT_RATIO * total_ms)


def queue_sort_key(call: calls.Call, now_ms: int) -> tuple:
    """Return the sort key of a waiting call.

    Calls that can meet their latency objective come before late ones, then
    more urgent calls, then older ones.

    Parameters
    ----------
    call
        A waiting call.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    tuple
        The key; the smallest is served first.
    """
    is_late = now_ms - call.arrived_ms > call.route.target_ms
    return (is_late, workspaces.urgency(call), call.arrived_ms)
