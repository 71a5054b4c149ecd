"""A loopback proxy whose links can be delayed, reset or silenced."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

__all__ = ["Link", "open_link", "reset", "close_link"]

READ_BYTES = 2**16
# A socket closed with this option resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class Link:
    """A listening address and where it leads.

    Attributes
    ----------
    delay_s
        Time that bytes are held back.
    swallows_in, swallows_out
        Whether bytes towards the far end, and from it, disappear.
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
    """Listen until `close_link`.

    Parameters
    ----------
    link
        Its faults may be set at any time.
    """

    def accept(reader, writer) -> None:
        task = asyncio.create_task(_serve(link, reader, writer))
        link.tasks.add(task)
        task.add_done_callback(link.tasks.discard)

    link.server = await asyncio.start_server(accept, *link.listen)


async def _serve(link: Link, reader, writer) -> None:
    try:
        far_reader, far_writer = await asyncio.open_connection(*link.target)
    except OSError:
        # Nothing listens behind the link, as a caller would find without it.
        writer.transport.abort()
        return
    pair = {writer, far_writer}
    link.writers |= pair
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_pump(link, reader, far_writer, "swallows_in"))
            group.create_task(_pump(link, far_reader, writer, "swallows_out"))
    finally:
        link.writers -= pair
        for end in pair:
            end.close()


async def _pump(link: Link, reader, writer, drop_attribute: str) -> None:
    """Pass bytes one way until that way ends."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            if not getattr(link, drop_attribute):
                writer.write(data)
                await writer.drain()
    if writer.can_write_eof() and not getattr(link, drop_attribute):
        with contextlib.suppress(OSError):
            writer.write_eof()


def reset(link: Link) -> None:
    """Reset all open connections.

    Parameters
    ----------
    link
        New connections work as before.
    """
    for writer in list(link.writers):
        if writer.is_closing():
            continue
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        writer.transport.abort()


async def close_link(link: Link) -> None:
    """Stop listening and reset all connections.

    Parameters
    ----------
    link
        Not used afterwards.
    """
    link.server.close()
    reset(link)
    for task in list(link.tasks):
        task.cancel()
    await asyncio.gather(*link.tasks, return_exceptions=True)
