"""Claims on the memory of an engine, which its agent grants.

Nodes claim memory for the prompts that exceed their own part of it (see
`engine_memory`). The agent, or the node that orders the engine, counts what it
has granted until it is released or until the request must have ended. A new
agent does not know what its predecessor granted. Until that must have ended,
it relies on what each claim says of the reports of all nodes.
"""

import dataclasses
import enum

__all__ = [
    "CLAIMED_RATIO",
    "Answer",
    "Book",
    "ClaimKey",
    "MemoryAnswer",
    "MemoryClaim",
    "MemoryRelease",
    "answer_claim",
    "note_time",
    "release_claim",
]

# Fraction of an engine's memory that is granted to claims.
CLAIMED_RATIO = 0.7
# Time in which the reports of a granted claim have reached all nodes.
REPORT_LAG_MS = 400

ClaimKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryClaim:
    """Request for memory at an engine, for one request.

    Attributes
    ----------
    sender
        Address of the node, which gets a `MemoryAnswer`.
    process
        Start of the node's process, which distinguishes its claims.
    number
        Number of the claim in that process.
    call_id
        Identifier of the call in that process.
    upstream_id, born_ms
        The engine, and the start of its process.
    tokens
        Memory in tokens.
    capacity_tokens
        Memory of the engine that claims may occupy, in tokens.
    reported_tokens
        Memory that the requests of all nodes need at the engine, by the
        reports that the node has received.
    ends_in_ms
        Time in which the request has surely ended, in milliseconds.
    longest_ms
        Time in which each request that was sent before has surely ended, in
        milliseconds.
    """

    sender: str
    process: int
    number: int
    call_id: int
    upstream_id: str
    born_ms: int
    tokens: int
    capacity_tokens: int
    reported_tokens: int
    ends_in_ms: int
    longest_ms: int


class Answer(enum.StrEnum):
    """Answer to a claim."""

    GRANTED = "granted"
    """The memory is the call's until the claim ends."""
    FULL = "full"
    """Too little of the memory is left."""
    UNKNOWN = "unknown"
    """Another agent may grant memory of the engine."""


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryAnswer:
    """Answer to a claim.

    Attributes
    ----------
    number, call_id, upstream_id
        As in the claim.
    answer
        A value of `Answer`.
    """

    number: int
    call_id: int
    upstream_id: str
    answer: str


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryRelease:
    """The request of a claim has surely ended, or is not sent.

    Attributes
    ----------
    sender, process, number, upstream_id
        As in the claim.
    """

    sender: str
    process: int
    number: int
    upstream_id: str


@dataclasses.dataclass(slots=True)
class Book:
    """What an agent has granted.

    Attributes
    ----------
    since_ms
        Since when the agent counts; -1 before its first message.
    born_ms
        Start of the engine's process that the claims are for.
    granted
        Tokens of each claim, its end and when it was granted.
    """

    since_ms: int = -1
    born_ms: int = -1
    granted: dict[ClaimKey, tuple[int, int, int]] = dataclasses.field(
        default_factory=dict
    )


def note_time(book: Book, now_ms: int) -> None:
    """Record the time of an agent's first message."""
    if book.since_ms < 0:
        book.since_ms = now_ms


def answer_claim(
    book: Book, claim: MemoryClaim, is_sole: bool, now_ms: int
) -> MemoryAnswer:
    """Grant a claim if the engine has memory for it.

    Parameters
    ----------
    book
        What was granted before. Modified in place.
    claim
        The claim. One that was granted before is granted again.
    is_sole
        Whether no other agent can be granting memory of the engine.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    MemoryAnswer
        The answer for the node.
    """
    return MemoryAnswer(
        claim.number,
        claim.call_id,
        claim.upstream_id,
        _decide(book, claim, is_sole, now_ms),
    )


def _decide(book, claim, is_sole, now_ms) -> str:
    if claim.born_ms < book.born_ms:
        return Answer.FULL
    if claim.born_ms > book.born_ms:
        # The requests of the engine's previous process ended with it.
        book.born_ms = claim.born_ms
        book.granted.clear()
    if not is_sole:
        return Answer.UNKNOWN
    for key, (_, until_ms, _) in list(book.granted.items()):
        if until_ms <= now_ms:
            book.granted.pop(key)
    key = (claim.sender, claim.process, claim.number)
    others = [grant for other, grant in book.granted.items() if other != key]
    held_tokens = sum(tokens for tokens, _, _ in others)
    if now_ms - book.since_ms < claim.longest_ms:
        unreported_tokens = sum(
            tokens
            for tokens, _, granted_ms in others
            if now_ms - granted_ms < REPORT_LAG_MS
        )
        held_tokens = max(
            held_tokens, claim.reported_tokens + unreported_tokens
        )
    # A single request of any size is granted: an engine rejects what exceeds
    # its memory.
    if held_tokens and held_tokens + claim.tokens > claim.capacity_tokens:
        return Answer.FULL
    until_ms = now_ms + claim.ends_in_ms
    book.granted[key] = (claim.tokens, until_ms, now_ms)
    return Answer.GRANTED


def release_claim(book: Book, release: MemoryRelease) -> None:
    """Take back what was granted for a request that has ended.

    Parameters
    ----------
    book
        What was granted. Modified in place.
    release
        The release; one of an unknown claim is ignored.
    """
    key = (release.sender, release.process, release.number)
    book.granted.pop(key, None)
