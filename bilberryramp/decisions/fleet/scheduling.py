"""Where a call goes: the upstream that can begin it soonest.

Each function answers one load pattern. For model engines the time to the
first token is the prompt tokens that wait to be read there, less what its
prefix cache keeps, plus the pace at which its batch decodes. A call that
fits no engine's memory waits here, in order of urgency, rather than in an
engine, which would preempt running work for it.
"""

from collections.abc import Iterable

from bilberryramp.decisions.fleet import (
    calls,
    documents,
    presence,
    sharing,
)

__all__ = [
    "begin_estimate_ms",
    "needed_tokens",
    "pick_engine",
    "pick_plain",
    "queue_order",
]

# Share of an engine's memory that calls may need together; their sizes are
# upper bounds, but caches of prefixes and rounding to blocks take some.
MEMORY_SHARE = 0.9
# Prompt tokens that an engine reads in a millisecond, from its data sheet.
READ_TOKENS_PER_MS = 38.0
# What one running call adds to another's time to its first token, counted
# in prompt tokens: its share of each step.
TOKENS_PER_RUNNING_CALL = 60
# Calls that a plain upstream gets at once, as a multiple of its slots.
PLAIN_FILL = 2.0


def needed_tokens(prompt: calls.Prompt, cached: int) -> int:
    """Return the memory that a prompt needs beside what is cached.

    Parameters
    ----------
    prompt
        The prompt.
    cached
        Tokens of it that the engine keeps already.

    Returns
    -------
    int
        Tokens.
    """
    return max(prompt.tokens_in - cached, 0) + prompt.tokens_out


def begin_estimate_ms(
    load: sharing.Load, prompt: calls.Prompt, cached: int
) -> float:
    """Estimate the time to the first token at an engine.

    Parameters
    ----------
    load
        The engine's load over all entries.
    prompt, cached
        As for `needed_tokens`.

    Returns
    -------
    float
        Milliseconds.
    """
    tokens = load.unread + max(prompt.tokens_in - cached, 0)
    tokens += TOKENS_PER_RUNNING_CALL * load.calls
    return tokens / READ_TOKENS_PER_MS


def pick_engine(
    prompt: calls.Prompt,
    engine: documents.EngineSpec,
    candidates: Iterable[presence.Upstream],
    loads: sharing.Loads,
    now_ms: int,
) -> tuple[presence.Upstream, int, float] | None:
    """Pick the engine that can begin a prompt soonest.

    Parameters
    ----------
    prompt
        The prompt.
    engine
        What each engine offers.
    candidates
        Engines that hold the model and adapter.
    loads, now_ms
        The load over all entries, and the present.

    Returns
    -------
    tuple or None
        The engine, the tokens its cache spares, and the estimate in
        milliseconds; None while no engine has room.
    """
    best = None
    for upstream in candidates:
        upstream_id = upstream.last.upstream_id
        load = sharing.total(loads, upstream_id, now_ms)
        cached = sharing.cached_tokens(
            loads, upstream_id, prompt.weights, prompt.parts
        )
        need = needed_tokens(prompt, cached)
        has_room = load.tokens + need <= MEMORY_SHARE * engine.kv_tokens
        if load.calls and not has_room or load.calls >= engine.slots:
            continue
        estimate = begin_estimate_ms(load, prompt, cached)
        if best is None or estimate < best[2]:
            best = (upstream, cached, estimate)
    return best


def pick_plain(
    candidates: Iterable[presence.Upstream],
    loads: sharing.Loads,
    now_ms: int,
) -> presence.Upstream | None:
    """Pick the plain upstream with the fewest calls for its slots.

    Parameters
    ----------
    candidates, loads, now_ms
        As for `pick_engine`.

    Returns
    -------
    Upstream or None
        None while all have as many calls as they should.
    """
    best, least = None, PLAIN_FILL
    for upstream in candidates:
        load = sharing.total(loads, upstream.last.upstream_id, now_ms)
        fill = load.calls / max(upstream.last.slots, 1)
        if fill < least:
            best, least = upstream, fill
    return best


def queue_order(call: calls.Call, now_ms: int) -> tuple:
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
    late = now_ms - call.arrived_ms > call.route.target_ms
    return (late, call.route.urgency, call.arrived_ms)
