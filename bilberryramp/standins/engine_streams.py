"""Streams of the simulated engine that a client can resume after a break."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from aiohttp import web

__all__ = ["Stream", "Streams", "find", "send_events", "start_generation"]

# Time for which a client can resume a stream after its connection broke.
RETENTION_S = 2.0


@dataclasses.dataclass(slots=True)
class Stream:
    """One answer as server-sent events, numbered from 0.

    Attributes
    ----------
    events
        Encoded events generated so far.
    ended
        Whether the last event has been generated.
    changed
        Set, and replaced by a new event, when the stream grows or ends.
    readers
        Number of open connections. A stream without any is removed after
        `RETENTION_S`.
    task
        Task that generates the events.
    """

    events: list[bytes] = dataclasses.field(default_factory=list)
    ended: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    readers: int = 0
    task: asyncio.Task | None = None


@dataclasses.dataclass(slots=True)
class Streams:
    """The streams of an engine that clients may read or resume.

    Attributes
    ----------
    by_attempt
        Streams by attempt id.
    """

    by_attempt: dict[str, Stream] = dataclasses.field(default_factory=dict)


def start_generation(
    streams: Streams, attempt_id: str, payloads: AsyncIterator[bytes]
) -> Stream:
    """Generate a stream in a background task.

    Parameters
    ----------
    streams
        Streams of the engine. Modified in place.
    attempt_id
        Attempt id of the request.
    payloads
        Data of each event, without the number.

    Returns
    -------
    Stream
        The new stream, without events yet.
    """
    stream = Stream()
    streams.by_attempt[attempt_id] = stream
    stream.task = asyncio.create_task(_generate(stream, payloads))
    return stream


def find(streams: Streams, attempt_id: str) -> Stream | None:
    """Return the stream of an attempt, or None if it does not exist."""
    return streams.by_attempt.get(attempt_id)


async def send_events(
    streams: Streams,
    attempt_id: str,
    request: web.Request,
    first_number: int,
    break_after: int,
) -> web.StreamResponse:
    """Send the events of a stream as they are generated.

    Parameters
    ----------
    streams
        Streams of the engine. Modified in place.
    attempt_id
        Attempt id of an existing stream.
    request
        HTTP request to answer.
    first_number
        Number of the first event to send.
    break_after
        Number of the event in the middle of which the connection is aborted;
        0 for never.

    Returns
    -------
    aiohttp.web.StreamResponse
        Response that has been sent completely or aborted.
    """
    stream = streams.by_attempt[attempt_id]
    headers = {"Content-Type": "text/event-stream"}
    response = web.StreamResponse(headers=headers)
    stream.readers += 1
    try:
        await response.prepare(request)
        async for number, event in _follow(stream, first_number):
            if break_after and number == break_after:
                await response.write(event[: len(event) // 2])
                request.transport.abort()
                return response
            await response.write(event)
        await response.write_eof()
    finally:
        stream.readers -= 1
        _schedule_removal(streams, attempt_id)
    return response


async def _generate(stream: Stream, payloads: AsyncIterator[bytes]) -> None:
    async for payload in payloads:
        number = len(stream.events)
        stream.events.append(b"id: %d\ndata: %b\n\n" % (number, payload))
        _notify_readers(stream)
    stream.ended = True
    _notify_readers(stream)


def _notify_readers(stream: Stream) -> None:
    changed, stream.changed = stream.changed, asyncio.Event()
    changed.set()


async def _follow(stream: Stream, first_number: int) -> AsyncIterator:
    number = first_number
    while True:
        while number < len(stream.events):
            yield number, stream.events[number]
            number += 1
        if stream.ended:
            return
        await stream.changed.wait()


def _schedule_removal(streams: Streams, attempt_id: str) -> None:
    def remove_if_unread() -> None:
        stream = streams.by_attempt.get(attempt_id)
        if stream is not None and not stream.readers:
            del streams.by_attempt[attempt_id]
            stream.task.cancel()

    asyncio.get_running_loop().call_later(RETENTION_S, remove_if_unread)
