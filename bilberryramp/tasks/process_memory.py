"""Memory of this process."""

import pathlib
import resource

__all__ = ["resident_bytes"]


def resident_bytes() -> int:
    """Return the memory that this process takes now.

    Returns
    -------
    int
        Resident size in bytes. Where the kernel does not tell it, the largest
        size so far, which may be that of the parent process.
    """
    try:
        text = pathlib.Path("/proc/self/statm").read_text("ascii")
    except OSError:
        return 1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return int(text.split()[1]) * resource.getpagesize()
