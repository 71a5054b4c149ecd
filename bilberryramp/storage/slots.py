"""Crash-safe storage of a node's state in two alternating files.

Each write overwrites the older of the two files and syncs it. A crash during
a write damages only that file; the other one still has the previous state.
"""

import os
import pathlib
import struct
import zlib

import msgspec

from bilberryramp.decisions.fleet.register import register_messages as msgs

__all__ = ["FILE_NAMES", "read", "write"]

FILE_NAMES = ("register-a", "register-b")
# Number of the write since the first one, size of the body in bytes, and
# CRC-32 of the body with that number as its initial value.
_HEADER = struct.Struct("<QII")


def read(
    folder: str,
    kind: type = msgs.PersistentState,
    names: tuple[str, str] = FILE_NAMES,
) -> tuple:
    """Read the newest valid state.

    Parameters
    ----------
    folder
        Folder that contains the files.
    kind
        Class of the state; by default that of the register.
    names
        Names of the files.

    Returns
    -------
    tuple of (int, `kind` or None)
        Count of the write and the state; 0 and None if no file is valid.
    """
    contents = [_read_file(pathlib.Path(folder) / n, kind) for n in names]
    valid = [item for item in contents if item is not None]
    if not valid:
        return 0, None
    return max(valid, key=lambda item: item[0])


def _read_file(path: pathlib.Path, kind: type) -> tuple | None:
    try:
        data = path.read_bytes()
        count, body_bytes, checksum = _HEADER.unpack_from(data)
        body = data[_HEADER.size : _HEADER.size + body_bytes]
        if (
            len(body) != body_bytes
            or zlib.crc32(body, count & 0xFFFFFFFF) != checksum
        ):
            return None
        return count, msgspec.msgpack.decode(body, type=kind)
    except (OSError, struct.error, msgspec.MsgspecError):
        # A missing or incomplete file holds no state.
        return None


def write(
    folder: str,
    count: int,
    stored,
    names: tuple[str, str] = FILE_NAMES,
) -> None:
    """Write a state and wait until it is durable.

    Parameters
    ----------
    folder
        Folder for the files; created if it does not exist.
    count
        Count of this write: one more than that of the previous write. Its
        parity selects the file.
    stored
        State to write, of a class that msgspec encodes.
    names
        Names of the files.

    Raises
    ------
    OSError
        When the files cannot be written or synced.
    """
    os.makedirs(folder, exist_ok=True)
    body = msgspec.msgpack.encode(stored)
    checksum = zlib.crc32(body, count & 0xFFFFFFFF)
    path = os.path.join(folder, names[count % 2])
    fd = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        data = _HEADER.pack(count, len(body), checksum) + body
        written = 0
        while written < len(data):
            written += os.pwrite(fd, data[written:], written)
        os.fsync(fd)
    finally:
        os.close(fd)
    if count <= len(names):
        _sync_folder(folder)


def _sync_folder(folder: str) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
