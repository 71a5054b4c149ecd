"""Keeps one value on disk in two files written in turn.

A write goes over the older file and is synced; a crash in the middle spoils
only that one, and the other still holds the value before.
"""

import os
import pathlib
import struct
import zlib

import msgspec

from bilberryramp.decisions.fleet import register_messages as msgs

__all__ = ["NAMES", "read", "write"]

NAMES = ("register-a", "register-b")
_HEAD = struct.Struct("<QII")


def read(folder: str) -> tuple[int, msgs.PersistentState | None]:
    """Read the newest whole value.

    Parameters
    ----------
    folder
        Where the files are.

    Returns
    -------
    tuple
        The count of its write, and the value; zero and None on a new disk.
    """
    found = [_read_file(pathlib.Path(folder) / name) for name in NAMES]
    whole = [item for item in found if item is not None]
    if not whole:
        return 0, None
    return max(whole, key=lambda item: item[0])


def _read_file(path: pathlib.Path) -> tuple[int, msgs.PersistentState] | None:
    try:
        data = path.read_bytes()
        count, size, check = _HEAD.unpack_from(data)
        body = data[_HEAD.size : _HEAD.size + size]
        if len(body) != size or zlib.crc32(body, count & 0xFFFFFFFF) != check:
            return None
        return count, msgspec.msgpack.decode(body, type=msgs.PersistentState)
    except (OSError, struct.error, msgspec.MsgspecError):
        # A file that is missing or torn is as good as none.
        return None


def write(folder: str, count: int, stored: msgs.PersistentState) -> None:
    """Write a value and wait until it is synced.

    Parameters
    ----------
    folder
        Where the files are; made if missing.
    count
        One more than that of the last write.
    stored
        The value.

    Raises
    ------
    OSError
        When the disk refuses.
    """
    os.makedirs(folder, exist_ok=True)
    body = msgspec.msgpack.encode(stored)
    check = zlib.crc32(body, count & 0xFFFFFFFF)
    path = os.path.join(folder, NAMES[count % 2])
    fd = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        data = _HEAD.pack(count, len(body), check) + body
        done = 0
        while done < len(data):
            done += os.pwrite(fd, data[done:], done)
        os.fsync(fd)
    finally:
        os.close(fd)
    if count <= len(NAMES):
        _sync_folder(folder)


def _sync_folder(folder: str) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
