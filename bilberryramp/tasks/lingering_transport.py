"""Transport that ends a connection without taking its last answer away."""

import asyncio
import contextlib
import fcntl
import struct
import termios
from collections.abc import Callable

__all__ = ["Transport", "has_unsent_bytes", "unsent_bytes"]

# Time without a byte of the client after which a connection whose last answer
# has arrived is closed, and longest time until then. A connection that is
# closed with unread bytes is reset, which may take away an answer that the
# client has not read.
LINGER_S = 1.0
MAX_LINGER_S = 3.0


class Transport:
    """Transport of a connection, which closes without a reset.

    Attributes
    ----------
    inner
        Transport that owns the socket.
    written_bytes
        Number of bytes written.
    dropped_bytes
        Number of bytes read after the last byte was written.
    is_closed
        Whether the last byte was written.
    is_paused, is_held
        Whether the protocol, and the owner of the connection, wants no bytes
        now.
    on_write
        Called after each write.
    """

    __slots__ = (
        "dropped_bytes",
        "inner",
        "is_closed",
        "is_held",
        "is_paused",
        "on_write",
        "written_bytes",
    )

    def __init__(
        self,
        inner: asyncio.Transport,
        on_write: Callable[[], None] = lambda: None,
    ):
        self.inner = inner
        self.on_write = on_write
        self.written_bytes = self.dropped_bytes = 0
        self.is_closed = self.is_paused = self.is_held = False

    def __getattr__(self, name: str):
        """Return an attribute of the inner transport."""
        return getattr(self.inner, name)

    def write(self, data) -> None:
        """Write bytes, and count them."""
        self.written_bytes += len(data)
        self.inner.write(data)
        self.on_write()

    def writelines(self, parts) -> None:
        """Write several byte strings, and count their bytes."""
        parts = list(parts)
        self.written_bytes += sum(map(len, parts))
        self.inner.writelines(parts)
        self.on_write()

    def pause_reading(self) -> None:
        """Read no bytes for the protocol."""
        self.is_paused = True
        self.inner.pause_reading()

    def resume_reading(self) -> None:
        """Read bytes for the protocol again, unless they are held."""
        self.is_paused = False
        if not self.is_held:
            self.inner.resume_reading()

    def hold_reading(self) -> None:
        """Read no bytes, whatever the protocol wants."""
        self.is_held = True
        self.inner.pause_reading()

    def release_reading(self) -> None:
        """Read what the protocol wants."""
        self.is_held = False
        if not self.is_paused:
            self.inner.resume_reading()

    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        return self.is_closed or self.inner.is_closing()

    def close(self) -> None:
        """Send what was written, and read until the client closes."""
        if self.is_closing():
            return
        self.is_closed = True
        self.is_held = False
        # A reset that has arrived, and was not read yet, is an error here.
        with contextlib.suppress(OSError):
            self.inner.write_eof()
        self.inner.resume_reading()
        _linger(self, asyncio.get_running_loop().time() + MAX_LINGER_S)


def unsent_bytes(link: Transport) -> int:
    """Return how many written bytes the client's host has yet to receive.

    Parameters
    ----------
    link
        Transport of the connection.

    Returns
    -------
    int
        Bytes that wait in this process, and bytes that the kernel holds since
        they were not acknowledged.
    """
    waiting_bytes = link.inner.get_write_buffer_size()
    sock = link.inner.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return waiting_bytes
    # A socket that has been reset has no bytes left to send.
    with contextlib.suppress(OSError):
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return waiting_bytes + struct.unpack("i", size)[0]
    return waiting_bytes


def has_unsent_bytes(link: Transport) -> bool:
    """Return whether the client's host has yet to receive written bytes."""
    return unsent_bytes(link) > 0


def _linger(link: Transport, end_s: float) -> None:
    """Close a socket once no bytes are on their way, or at a given time."""
    loop = asyncio.get_running_loop()
    known_bytes = link.dropped_bytes

    def close_if_silent() -> None:
        is_busy = link.dropped_bytes > known_bytes or has_unsent_bytes(link)
        if is_busy and loop.time() < end_s:
            _linger(link, end_s)
        else:
            link.inner.close()

    loop.call_later(LINGER_S, close_if_silent)
