"""Decoding of bodies that would hold up the event loop.

A document with thousands of workspaces or routes takes longer to decode than
an event of a stream may wait.
"""

import asyncio
from collections.abc import Callable

__all__ = ["decode", "is_large"]

# Bodies up to this size are decoded in a few milliseconds.
MAX_SMALL_BYTES = 64 * 1024


def is_large(body: bytes) -> bool:
    """Return whether a body should be decoded in a thread."""
    return len(body) > MAX_SMALL_BYTES


async def decode(decoder: Callable, *args):
    """Decode a body, in a thread if it is large.

    Parameters
    ----------
    decoder
        Pure function.
    *args
        Arguments of the function, of which the last is the body.

    Returns
    -------
    object
        Result of the function.
    """
    if is_large(args[-1]):
        return await asyncio.to_thread(decoder, *args)
    return decoder(*args)
