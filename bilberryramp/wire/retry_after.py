"""Decode the ``Retry-After`` header of an upstream's answer."""

import math
import re

__all__ = ["decode"]

_HEADER = "Retry-After"
# Seconds, with or without a fraction. HTTP itself allows no fraction.
_SECONDS = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?")


def decode(headers) -> int:
    """Return the time after which an upstream accepts requests again.

    Parameters
    ----------
    headers
        Case-insensitive multidict of the answer's headers.

    Returns
    -------
    int
        Milliseconds from now, rounded up; the longest of several values. It
        is 0 without a number of seconds: a value that is negative, not a
        number, infinite or a date asks for no pause, because the clocks of
        the upstream and of this instance may differ.
    """
    texts = (
        text.strip()
        for value in headers.getall(_HEADER, ())
        for text in value.split(",")
    )
    seconds = (float(text) for text in texts if _SECONDS.fullmatch(text))
    return math.ceil(1000 * max(seconds, default=0.0))
