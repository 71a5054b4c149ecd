"""Short numeric keys that replace ids in messages between nodes."""

import functools
import zlib

__all__ = ["short_key"]


@functools.lru_cache(maxsize=4096)
def short_key(name: str) -> int:
    """Return the short key of an id, which is the same on all nodes.

    A collision of two ids distorts load estimates only; it cannot misroute a
    request.

    Parameters
    ----------
    name
        Id of an upstream or of a part of a prompt, or name of a model or of
        a model with its adapter.

    Returns
    -------
    int
        32-bit checksum of the id.
    """
    return zlib.crc32(name.encode())
