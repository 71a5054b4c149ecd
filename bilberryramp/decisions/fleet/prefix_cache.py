"""What each engine's prefix cache probably keeps.

An engine need not read a part of a prompt again that it keeps for the same
weights, if it keeps all parts before it.
"""

import collections
import dataclasses

from bilberryramp.decisions.fleet import keys

__all__ = [
    "PromptPart",
    "PrefixCache",
    "SentPrompt",
    "cached_tokens",
    "record_prompt",
]


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A piece of a prompt that other prompts may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class SentPrompt:
    """A prompt that was sent to an engine.

    Attributes
    ----------
    upstream_key
        The engine, as of `keys.short_key`.
    weights
        Model and adapter; caches are kept for both together.
    parts
        Key and tokens of each part.
    """

    upstream_key: int
    weights: str
    parts: tuple[tuple[int, int], ...]


@dataclasses.dataclass(slots=True)
class PrefixCache:
    """Prompt parts that an engine probably keeps, oldest first."""

    parts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    tokens: int = 0


def record_prompt(
    caches: dict[int, PrefixCache], prompt: SentPrompt, cache_tokens: int
) -> None:
    """Note that an engine reads a prompt, and so keeps its parts.

    Parameters
    ----------
    caches
        By key of the engine; changed in place.
    prompt
        What was sent to it.
    cache_tokens
        Memory of an engine; the parts used longest ago yield.
    """
    cache = caches.setdefault(prompt.upstream_key, PrefixCache())
    for part_key, tokens in prompt.parts:
        key = (prompt.weights, part_key)
        if key in cache.parts:
            cache.parts.move_to_end(key)
        else:
            cache.parts[key] = tokens
            cache.tokens += tokens
    while cache.tokens > cache_tokens and cache.parts:
        _, tokens = cache.parts.popitem(last=False)
        cache.tokens -= tokens


def cached_tokens(
    caches: dict[int, PrefixCache],
    upstream_id: str,
    weights: str,
    parts: tuple[PromptPart, ...],
) -> int:
    """Estimate how much of a prompt an engine need not read again.

    Parameters
    ----------
    caches, upstream_id
        Where to look.
    weights, parts
        The prompt.

    Returns
    -------
    int
        Tokens of the leading parts that its cache probably holds.
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
