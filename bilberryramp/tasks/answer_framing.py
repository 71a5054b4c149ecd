"""End of an HTTP answer, which may have neither a length nor chunks.

Such an answer ends with its connection. It is complete if the sender closed
the connection, and truncated if the connection was reset.
"""

import dataclasses

import aiohttp
from aiohttp import hdrs

__all__ = ["Framing", "of_response", "was_reset"]


@dataclasses.dataclass(slots=True)
class Framing:
    """How the end of an answer can be recognized.

    Attributes
    ----------
    protocol
        Protocol of the connection, also if that has already ended.
    is_explicit
        Whether the end is recognizable without the connection being closed:
        by the body's length, by chunks or because there is no body.
    """

    protocol: object
    is_explicit: bool


def of_response(resp: aiohttp.ClientResponse) -> Framing:
    """Return the framing of an answer whose body has not been read.

    Parameters
    ----------
    resp
        The answer.

    Returns
    -------
    Framing
        Its framing, for `was_reset`.
    """
    encoding = resp.headers.get(hdrs.TRANSFER_ENCODING, "")
    return Framing(
        # `resp.connection` is None as soon as the connection has ended, which
        # may be before the head is handled.
        resp._protocol,
        hdrs.CONTENT_LENGTH in resp.headers
        or "chunked" in encoding.lower()
        or resp.status in (204, 304)
        or resp.method == hdrs.METH_HEAD,
    )


def was_reset(framing: Framing) -> bool:
    """Return whether an answer that has ended was truncated by a reset.

    Parameters
    ----------
    framing
        Framing of the answer, whose body has been read to its end.

    Returns
    -------
    bool
        False if the framing is explicit.
    """
    if framing.is_explicit:
        return False
    exc = framing.protocol.exception()
    # A connection that the sender closes sets this exception as well.
    return exc is not None and not isinstance(
        exc, aiohttp.ServerDisconnectedError
    )
