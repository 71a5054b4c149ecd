"""A loopback TCP proxy whose links can delay, drop or reset traffic."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

__all__ = ["Link", "close_link", "open_link", "reset"]

READ_BYTES = 2**16
# Value of SO_LINGER with which closing a socket resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class Link:
    """A listening address whose connections are forwarded to a target.

    Attributes
    ----------
    listen, target
        Pairs of host and port: the address to listen at, and the one to
        forward to.
    delay_s
        Delay of each chunk of bytes in seconds.
    swallows_in, swallows_out
        Whether bytes sent to the target (in), and bytes received from it
        (out), are dropped.
    server
        Listening server; None before `open_link`.
    writers
        Writers of both ends of all open connections.
    tasks
        Tasks that serve connections.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    delay_s: float = 0.0
    swallows_in: bool = False
    swallows_out: bool = False
    server: asyncio.Server | None = None
    writers: set = dataclasses.field(default_factory=set)
    tasks: set = dataclasses.field(default_factory=set)


async def open_link(link: Link) -> None:
    """Listen and forward connections until `close_link` is called.

    Parameters
    ----------
    link
        Link to open; its fault attributes may be set at any time. Modified in
        place.
    """

    def accept(reader, writer) -> None:
        task = asyncio.create_task(_serve(link, reader, writer))
        link.tasks.add(task)
        task.add_done_callback(link.tasks.discard)

    link.server = await asyncio.start_server(accept, *link.listen)


async def _serve(link: Link, reader, writer) -> None:
    try:
        target_reader, target_writer = await asyncio.open_connection(
            *link.target
        )
    except OSError:
        # The target does not listen: abort, so that the caller sees a failed
        # connection as it would without the proxy.
        writer.transport.abort()
        return
    pair = {writer, target_writer}
    link.writers |= pair
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(
                _pump(link, reader, target_writer, "swallows_in")
            )
            group.create_task(
                _pump(link, target_reader, writer, "swallows_out")
            )
    finally:
        link.writers -= pair
        for end in pair:
            end.close()


async def _pump(link: Link, reader, writer, drop_attribute: str) -> None:
    """Forward bytes in one direction until the end of the stream.

    A reset is passed on as one. A connection that has lost bytes is reset
    instead of going on without them.
    """
    has_lost_bytes = False
    try:
        while data := await reader.read(READ_BYTES):
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            if getattr(link, drop_attribute):
                has_lost_bytes = True
            elif has_lost_bytes:
                _reset_writer(writer)
                return
            else:
                writer.write(data)
                await writer.drain()
    except OSError:
        _reset_writer(writer)
        return
    if has_lost_bytes and not getattr(link, drop_attribute):
        _reset_writer(writer)
    elif writer.can_write_eof() and not getattr(link, drop_attribute):
        with contextlib.suppress(OSError):
            writer.write_eof()


def reset(link: Link) -> None:
    """Reset all open connections; new connections are not affected.

    Parameters
    ----------
    link
        Open link.
    """
    for writer in list(link.writers):
        _reset_writer(writer)


def _reset_writer(writer) -> None:
    if not writer.is_closing():
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        writer.transport.abort()


async def close_link(link: Link) -> None:
    """Stop listening and reset all connections.

    Parameters
    ----------
    link
        Open link, which must not be used afterwards.
    """
    link.server.close()
    reset(link)
    for task in list(link.tasks):
        task.cancel()
    await asyncio.gather(*link.tasks, return_exceptions=True)
