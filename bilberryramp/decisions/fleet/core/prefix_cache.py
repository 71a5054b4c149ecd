"""Estimate the contents of each engine's prefix cache.

An engine need not process a part of a prompt again if its cache holds that
part and all parts before it, for the same weights.
"""

import collections
import dataclasses

from bilberryramp.decisions.fleet.core import keys

__all__ = [
    "PromptPart",
    "PrefixCache",
    "SentPrompt",
    "cached_tokens",
    "record_prompt",
]


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes
    ----------
    part_id
        Id of the text; equal ids stand for equal text.
    tokens
        Length of the part in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class SentPrompt:
    """A prompt that was sent to an engine.

    Attributes
    ----------
    upstream_key
        Short key of the engine's id; see `keys.short_key`.
    weights
        Name of the model and adapter, which are cached as a combination.
    parts
        Short key and length in tokens of each part, in order.
    """

    upstream_key: int
    weights: str
    parts: tuple[tuple[int, int], ...]


@dataclasses.dataclass(slots=True)
class PrefixCache:
    """Estimated contents of one engine's cache.

    Attributes
    ----------
    parts
        Length in tokens by weights and short key of the part, least recently
        used first.
    tokens
        Total length of all parts in tokens.
    """

    parts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    tokens: int = 0


def record_prompt(
    caches: dict[int, PrefixCache],
    prompt: SentPrompt,
    cache_capacity_tokens: int,
) -> None:
    """Record that an engine processes a prompt and caches its parts.

    Parameters
    ----------
    caches
        Estimated caches by short key of the engine. Modified in place.
    prompt
        Prompt that was sent to the engine.
    cache_capacity_tokens
        Capacity of the cache in tokens; the least recently used parts are
        evicted beyond it.
    """
    cache = caches.setdefault(prompt.upstream_key, PrefixCache())
    for part_key, tokens in prompt.parts:
        key = (prompt.weights, part_key)
        if key in cache.parts:
            cache.parts.move_to_end(key)
        else:
            cache.parts[key] = tokens
            cache.tokens += tokens
    while cache.tokens > cache_capacity_tokens and cache.parts:
        _, tokens = cache.parts.popitem(last=False)
        cache.tokens -= tokens


def cached_tokens(
    caches: dict[int, PrefixCache],
    upstream_id: str,
    weights: str,
    parts: tuple[PromptPart, ...],
) -> int:
    """Estimate how much of a prompt is in an engine's cache.

    Parameters
    ----------
    caches
        Estimated caches by short key of the engine.
    upstream_id
        Id of the engine.
    weights
        Name of the model and adapter.
    parts
        Parts of the prompt in order.

    Returns
    -------
    int
        Length in tokens of the leading parts that are probably cached.
    """
    cache = caches.get(keys.short_key(upstream_id))
    if cache is None:
        return 0
    cached = 0
    for part in parts:
        if (weights, keys.short_key(part.part_id)) not in cache.parts:
            break
        cached += part.tokens
    return cached
