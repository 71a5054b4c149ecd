"""Check of the heads of answers, before anything of them is used.

A faulty upstream may send a head that the HTTP library parses although it
breaks the protocol. Forwarded, such a head would break the framing of the
answer to the client.
"""

import re
from collections.abc import Iterable, Mapping

import aiohttp
from aiohttp import hdrs

__all__ = ["MalformedHeadError", "find_problem", "media_type"]

# Statuses of final answers (RFC 9110, section 15). An answer with status 101
# would switch to a protocol that no request asks for.
MIN_STATUS = 200
MAX_STATUS = 599
# A token of RFC 9110, section 5.6.2.
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Characters that a field value or a reason phrase must not contain.
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class MalformedHeadError(aiohttp.ClientPayloadError):
    """Raised when the head of an answer breaks the protocol."""


def find_problem(
    status: int, reason: str, raw_headers: Iterable[tuple[bytes, bytes]]
) -> str:
    """Return what makes the head of a final answer invalid.

    Parameters
    ----------
    status
        Status code.
    reason
        Reason phrase.
    raw_headers
        Pairs of header name and value.

    Returns
    -------
    str
        ``"status"``, ``"reason"``, ``"header name"`` or ``"header value"``;
        empty if the head is valid.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        return "status"
    if _CONTROL.search(reason.encode("utf-8", "surrogateescape")):
        return "reason"
    for name, value in raw_headers:
        if not _TOKEN.fullmatch(name):
            return "header name"
        if _CONTROL.search(value):
            return "header value"
    return ""


def media_type(headers: Mapping[str, str]) -> str:
    """Return the media type that a head states.

    Parameters
    ----------
    headers
        Case-insensitive mapping of the headers.

    Returns
    -------
    str
        Type and subtype in lower case, without parameters, which need not be
        valid; empty if the header is missing.
    """
    value = headers.get(hdrs.CONTENT_TYPE, "")
    return value.partition(";")[0].strip().lower()
