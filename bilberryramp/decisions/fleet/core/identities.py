"""Identities of a request, by which a later one may be the same again.

A request may crash each upstream that runs it. What crashes them comes again
in other requests: the whole content, known by its fingerprint, or a part of a
prompt, whatever else the prompt holds. An identity is a text; those of parts
begin with `PART_PREFIX`.
"""

import enum
import hashlib
import re

__all__ = ["CONTENT_DEPTH", "Kind", "depth_of", "kind_of", "of_request"]

PART_PREFIX = "part:"
# Limit on the parts of a prompt that are identities of their own.
MAX_PARTS = 32
# Depth of the whole content, below that of each part.
CONTENT_DEPTH = 1000
# Ids that may be written to logs and metrics as they are.
_PLAIN_ID = re.compile(r"[0-9A-Za-z_.-]{1,64}")
_DIGEST_BYTES = 16


class Kind(enum.Enum):
    """What an identity identifies."""

    CONTENT = "content"
    """Caller and whole content of a request."""
    PART = "part"
    """A part of a prompt that other requests may share."""


def of_request(fingerprint: str, part_ids) -> tuple[str, ...]:
    """Return the identities of a request.

    Parameters
    ----------
    fingerprint
        Fingerprint of the request; empty if unknown.
    part_ids
        Ids of the parts of its prompt that other requests may share, in the
        order of the prompt.

    Returns
    -------
    tuple of str
        The parts in order, without repetition, and then the fingerprint.
    """
    parts = dict.fromkeys(_part_identity(part_id) for part_id in part_ids)
    content = (fingerprint,) if fingerprint else ()
    return (*tuple(parts)[:MAX_PARTS], *content)


def _part_identity(part_id: str) -> str:
    if _PLAIN_ID.fullmatch(part_id):
        return PART_PREFIX + part_id
    data = part_id.encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES)
    return f"{PART_PREFIX}~{digest.hexdigest()}"


def kind_of(identity: str) -> Kind:
    """Return what an identity identifies."""
    is_part = identity.startswith(PART_PREFIX)
    return Kind.PART if is_part else Kind.CONTENT


def depth_of(identities: tuple[str, ...], identity: str) -> int:
    """Return how specific an identity is among those of its request.

    Parameters
    ----------
    identities
        Identities from `of_request`.
    identity
        One of them.

    Returns
    -------
    int
        Index of a part in the prompt, since a prompt shares the parts at its
        start with more prompts than those behind; `CONTENT_DEPTH` for the
        content.
    """
    if kind_of(identity) is Kind.CONTENT:
        return CONTENT_DEPTH
    return identities.index(identity)
