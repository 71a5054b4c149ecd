"""Streams of the stand-in engine, which can be read on after a break."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from aiohttp import web

__all__ = ["Stream", "Streams", "start_generation", "find", "send_events"]

RETENTION_S = 2.0


@dataclasses.dataclass(slots=True)
class Stream:
    """One answer as server-sent events, numbered from 0.

    Attributes
    ----------
    grown
        Set and replaced with each event.
    readers
        Open connections; a stream without one ends after `RETENTION_S`.
    """

    events: list[bytes] = dataclasses.field(default_factory=list)
    ended: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    readers: int = 0
    task: asyncio.Task | None = None


@dataclasses.dataclass(slots=True)
class Streams:
    """Streams by attempt id."""

    by_attempt: dict[str, Stream] = dataclasses.field(default_factory=dict)


def start_generation(
    streams: Streams, attempt_id: str, payloads: AsyncIterator[bytes]
) -> Stream:
    """Start to generate a stream.

    Parameters
    ----------
    streams
        Keeps it by its attempt id.
    attempt_id
        Of the request.
    parts
        The data of its events.

    Returns
    -------
    Stream
        Growing in the background.
    """
    stream = Stream()
    streams.by_attempt[attempt_id] = stream
    stream.task = asyncio.create_task(_generate(stream, payloads))
    return stream


def find(streams: Streams, attempt_id: str) -> Stream | None:
    """Find the stream of an attempt, if it is still kept."""
    return streams.by_attempt.get(attempt_id)


async def send_events(
    streams: Streams,
    attempt_id: str,
    request: web.Request,
    first_number: int,
    break_after: int,
) -> web.StreamResponse:
    """Send a stream's events.

    Parameters
    ----------
    streams, attempt_id
        The stream, which must be kept.
    request
        The HTTP request to answer.
    first
        Number of the first event to send.
    break_after
        Break the connection in the event with this number; 0 for never.

    Returns
    -------
    aiohttp.web.StreamResponse
        Ended, or its connection broken.
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
