"""Short keys for ids, in messages between nodes."""

import functools
import zlib

__all__ = ["short_key"]


@functools.lru_cache(maxsize=4096)
def short_key(name: str) -> int:
    """Return a short key for an id, equal on all nodes.

    Two ids with one key mix up estimates of load, never requests.

    Parameters
    ----------
    name
        Any id.

    Returns
    -------
    int
        32 bits.
    """
    return zlib.crc32(name.encode())
