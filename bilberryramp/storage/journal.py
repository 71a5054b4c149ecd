"""Write-ahead log, hard state and snapshots of one control replica.

The data folder contains:

- ``identity``: the replica's name and the incarnation of its storage.
- ``hard-state``: the current term and vote.
- ``snapshot-N``: the state machine after entry N.
- ``log-N``: the frames written since the file was created, with snapshot N
  or, for ``log-0``, with the folder. A frame is a marker, the length and
  CRC-32 of its body, the CRC-32 of these three, and the body, which is an
  encoded message.

A write is durable only after it has been synced. An incomplete frame at the
end of the log, as a crash leaves it, is truncated when the folder is opened. A
damaged frame with a whole frame after it means that entries are lost, and the
folder is refused. Logs of earlier versions have no frames, only a length and
a CRC-32 before each message; opening such a log rewrites it.
"""

import dataclasses
import fcntl
import os
import pathlib
import struct
import uuid
import zlib
from collections.abc import Iterator

from bilberryramp.decisions.control import control_state, replica_state
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.shared import errors
from bilberryramp.wire import codec

__all__ = [
    "BadDataFolderError",
    "CorruptFileError",
    "DataFolderInUseError",
    "Identity",
    "Journal",
    "Recovered",
    "close",
    "format_folder",
    "open_folder",
    "write",
]

# Marker of a frame, and the part of its header that the header's CRC-32
# covers: marker, length and CRC-32 of the body.
_FRAME_MARKER = b"BLF2"
_FRAME_FIELDS = struct.Struct("<4sII")
_CHECKSUM = struct.Struct("<I")
_FRAME_HEADER_BYTES = _FRAME_FIELDS.size + _CHECKSUM.size
# Length and CRC-32 of a record's body in a log without frames.
_UNFRAMED_HEADER = struct.Struct("<II")
# A longer length is damage, and ends a log without frames like an incomplete
# record.
_MAX_RECORD_BYTES = 256 * 1024 * 1024


class BadDataFolderError(errors.BilberryError):
    """Raised when a data folder cannot be used."""


class DataFolderInUseError(BadDataFolderError):
    """Raised when another process has locked the data folder."""


class CorruptFileError(BadDataFolderError):
    """Raised when a stored file is damaged, so entries may be missing."""


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """Identity of a data folder.

    Attributes
    ----------
    replica_id
        Name of the control replica that owns the folder.
    incarnation
        `replica_state.GENESIS` if the folder was formatted when the cluster
        was created; otherwise a random identifier, generated when the empty
        folder was first opened.
    """

    replica_id: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class Recovered:
    """State recovered from a data folder when it was opened.

    Attributes
    ----------
    identity
        Identity of the folder.
    hard_state
        Stored term and vote; None before the first write.
    snapshot
        Newest snapshot; None if there is none.
    entries
        Log entries in order of their index; some may precede the snapshot.
    truncated_bytes
        Size of the incomplete frame that was truncated, in bytes; usually 0.
    """

    identity: Identity
    hard_state: msgs.HardState | None
    snapshot: msgs.Snapshot | None
    entries: tuple[control_state.Entry, ...]
    truncated_bytes: int


@dataclasses.dataclass(slots=True)
class Journal:
    """An open data folder.

    Attributes
    ----------
    folder
        Path of the folder.
    lock_fd
        File descriptor that holds the lock on the folder.
    log_path, log_fd
        Path and file descriptor of the current log file.
    log_bytes
        Size of the current log file without what a failed write has left.
    log_entries
        Valid entries of the current log file, without those that were
        overwritten; a snapshot copies the ones it keeps to the next file.
    """

    folder: pathlib.Path
    lock_fd: int
    log_path: pathlib.Path
    log_fd: int
    log_bytes: int
    log_entries: list[control_state.Entry]


def format_folder(folder: pathlib.Path, replica_id: str) -> Identity:
    """Format a data folder for a replica of a newly created cluster.

    Parameters
    ----------
    folder
        Path of the folder; created if it does not exist.
    replica_id
        Name of the control replica that will own the folder.

    Returns
    -------
    Identity
        Identity of the folder, with the genesis incarnation.

    Raises
    ------
    BadDataFolderError
        When the folder is not writable or has an identity already.
    """
    _ensure_writable_folder(folder)
    if (folder / "identity").exists():
        raise BadDataFolderError(
            f"{folder}: already formatted, expected an empty data folder"
        )
    identity = Identity(replica_id, replica_state.GENESIS)
    _write_identity(folder, identity)
    return identity


def open_folder(
    folder: pathlib.Path, replica_id: str
) -> tuple[Journal, Recovered]:
    """Open a data folder and recover its contents.

    Parameters
    ----------
    folder
        Path of the folder; created if it does not exist. An empty folder
        gets a new incarnation, which a majority must readmit before the
        replica may vote.
    replica_id
        Name of the control replica, which must own the folder.

    Returns
    -------
    tuple of (Journal, Recovered)
        Open folder, and the state recovered from it.

    Raises
    ------
    BadDataFolderError
        When the folder is not writable or belongs to another replica.
    DataFolderInUseError
        When another process has locked the folder.
    CorruptFileError
        When a file is damaged or log entries are missing.
    """
    _ensure_writable_folder(folder)
    lock_fd = _lock_folder(folder)
    try:
        return _open_locked(folder, replica_id, lock_fd)
    except BaseException:
        os.close(lock_fd)
        raise


def _open_locked(
    folder: pathlib.Path, replica_id: str, lock_fd: int
) -> tuple[Journal, Recovered]:
    """Recover the contents of a locked data folder."""
    identity = _read_identity(folder)
    if identity is None:
        identity = Identity(replica_id, uuid.uuid4().hex)
        _write_identity(folder, identity)
    if identity.replica_id != replica_id:
        owner = identity.replica_id
        raise BadDataFolderError(
            f"{folder}: belongs to replica {owner}, expected {replica_id}"
        )
    snapshot = _read_snapshot(folder)
    log_path, entries, truncated_bytes = _read_log(folder, snapshot)
    log_fd = os.open(log_path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o640)
    _sync_folder(folder)
    log_bytes = os.fstat(log_fd).st_size
    journal = Journal(
        folder, lock_fd, log_path, log_fd, log_bytes, list(entries)
    )
    hard_state = _read_message(folder / "hard-state")
    recovered = Recovered(
        identity, hard_state, snapshot, entries, truncated_bytes
    )
    return journal, recovered


def write(journal: Journal, effects: list) -> None:
    """Write effects to disk in order, and wait until they are durable.

    Parameters
    ----------
    journal
        Open folder; modified in place.
    effects
        Instances of `PersistEntries`, `PersistHardState` and
        `PersistSnapshot`. Consecutive entries are written with one sync.

    Raises
    ------
    OSError
        When a file cannot be written or synced. The same effects may then be
        written again; a part of them may be durable already.
    """
    buffer = bytearray()
    for effect in effects:
        if isinstance(effect, msgs.PersistEntries):
            _track_entries(journal, effect.entries)
            buffer += _encode_frame(effect)
        elif isinstance(effect, msgs.PersistHardState):
            path = journal.folder / "hard-state"
            _replace_file(path, codec.encode(effect.hard_state))
        else:
            _append_synced(journal, buffer)
            buffer.clear()
            _write_snapshot(journal, effect)
    _append_synced(journal, buffer)


def close(journal: Journal) -> None:
    """Close the files and release the lock.

    Parameters
    ----------
    journal
        Open folder; not usable afterwards.
    """
    os.close(journal.log_fd)
    os.close(journal.lock_fd)


def _ensure_writable_folder(folder: pathlib.Path) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        probe = folder / "write-probe"
        probe.write_bytes(b"")
        probe.unlink()
    except OSError as exc:
        raise BadDataFolderError(f"{folder}: {exc.strerror}") from exc


def _lock_folder(folder: pathlib.Path) -> int:
    fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o640)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(fd)
        raise DataFolderInUseError(
            f"{folder}: locked by another process"
        ) from exc
    return fd


def _read_identity(folder: pathlib.Path) -> Identity | None:
    path = folder / "identity"
    if not path.exists():
        return None
    parts = path.read_text(encoding="utf-8").split()
    if len(parts) != 2:
        raise CorruptFileError(
            f"{path}: found {len(parts)} words, expected a replica name and "
            "an incarnation"
        )
    return Identity(*parts)


def _write_identity(folder: pathlib.Path, identity: Identity) -> None:
    text = f"{identity.replica_id} {identity.incarnation}\n"
    _replace_file(folder / "identity", text.encode())


def _replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new one."""
    temp_path = path.with_name(path.name + ".new")
    fd = os.open(temp_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)
    try:
        _write_all(fd, data)
        os.fsync(fd)
    except OSError:
        # Frees the space on a full disk.
        temp_path.unlink(missing_ok=True)
        raise
    finally:
        os.close(fd)
    os.rename(temp_path, path)
    _sync_folder(path.parent)


def _write_all(fd: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(fd, remaining) :]


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _read_message(path: pathlib.Path):
    if not path.exists():
        return None
    try:
        return codec.decode(path.read_bytes())
    except codec.MalformedMessageError as exc:
        raise CorruptFileError(f"{path}: {exc}") from exc


def _numbered_files(folder: pathlib.Path, prefix: str) -> list[tuple]:
    """Return (number, path) of the files with a prefix, in that order."""
    candidates = (
        (path.name.removeprefix(prefix), path)
        for path in folder.glob(f"{prefix}*")
    )
    return sorted(
        (int(suffix), path) for suffix, path in candidates if suffix.isdigit()
    )


def _read_snapshot(folder: pathlib.Path) -> msgs.Snapshot | None:
    files = _numbered_files(folder, "snapshot-")
    return _read_message(files[-1][1]) if files else None


def _read_log(folder: pathlib.Path, snapshot) -> tuple:
    """Read the newest log file and truncate an incomplete last frame.

    A log without frames is rewritten as one frame. Return the path of the
    log, its valid entries and the size of the truncated frame.
    """
    files = _numbered_files(folder, "log-")
    path = files[-1][1] if files else folder / "log-0"
    entries: list[control_state.Entry] = []
    truncated_bytes = 0
    if path.exists():
        data = path.read_bytes()
        has_frames = _find_frame(data, 0) >= 0
        decode = _decode_frames if has_frames else _decode_unframed
        valid_size = 0
        for effect, end in decode(path, data):
            _merge_entries(entries, effect.entries)
            valid_size = end
        truncated_bytes = len(data) - valid_size
        if entries and not has_frames:
            effect = msgs.PersistEntries(tuple(entries))
            _replace_file(path, _encode_frame(effect))
        elif truncated_bytes:
            os.truncate(path, valid_size)
    base = snapshot.index if snapshot else 0
    if entries and entries[0].index > base + 1:
        raise CorruptFileError(
            f"{path}: entries after {base} are missing, "
            f"the first one found is {entries[0].index}"
        )
    return path, tuple(entries), truncated_bytes


def _decode_frames(path: pathlib.Path, data: bytes) -> Iterator[tuple]:
    """Yield the message of each frame, and the offset of the frame's end.

    A damaged last frame is an incomplete write, and ends the log.
    """
    offset = 0
    while offset < len(data):
        body = _frame_body(data, offset)
        if body is None:
            later = _find_frame(data, offset + 1)
            if later >= 0:
                raise CorruptFileError(
                    f"{path}: the frame at byte {offset} is damaged, but the "
                    f"one at byte {later} is whole, so entries are lost. Move "
                    "the data folder away and restart with an empty one; the "
                    "other replicas then readmit this one."
                )
            return
        offset += _FRAME_HEADER_BYTES + len(body)
        yield codec.decode(body), offset


def _frame_body(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at an offset; None if it is not whole."""
    start = offset + _FRAME_HEADER_BYTES
    if start > len(data):
        return None
    fields = data[offset : offset + _FRAME_FIELDS.size]
    marker, length, body_checksum = _FRAME_FIELDS.unpack(fields)
    (header_checksum,) = _CHECKSUM.unpack_from(
        data, offset + _FRAME_FIELDS.size
    )
    if marker != _FRAME_MARKER or zlib.crc32(fields) != header_checksum:
        return None
    body = data[start : start + length]
    is_whole = len(body) == length and zlib.crc32(body) == body_checksum
    return body if is_whole else None


def _find_frame(data: bytes, offset: int) -> int:
    """Return the offset of the first whole frame from an offset on, or -1."""
    while (offset := data.find(_FRAME_MARKER, offset)) >= 0:
        if _frame_body(data, offset) is not None:
            return offset
        offset += 1
    return -1


def _decode_unframed(path: pathlib.Path, data: bytes) -> Iterator[tuple]:
    """Yield each complete record of a log without frames, and its end.

    A wrong checksum in the last record is an incomplete write, and ends the
    log. Before the last record, it is damage.
    """
    offset = 0
    while offset + _UNFRAMED_HEADER.size <= len(data):
        length, checksum = _UNFRAMED_HEADER.unpack_from(data, offset)
        start = offset + _UNFRAMED_HEADER.size
        end = start + length
        body = data[start:end]
        if end > len(data) or length > _MAX_RECORD_BYTES:
            return
        if zlib.crc32(body) != checksum:
            if end < len(data):
                raise CorruptFileError(
                    f"{path}: wrong checksum of the record at byte {offset}"
                )
            return
        yield codec.decode(body), end
        offset = end


def _merge_entries(entries: list, new_entries: tuple) -> None:
    """Add entries, which replace those from the first new index on."""
    if entries and new_entries:
        del entries[max(new_entries[0].index - entries[0].index, 0) :]
    entries.extend(new_entries)


def _track_entries(journal: Journal, entries: tuple) -> None:
    _merge_entries(journal.log_entries, entries)


def _encode_frame(effect: msgs.PersistEntries) -> bytes:
    body = codec.encode(effect)
    fields = _FRAME_FIELDS.pack(_FRAME_MARKER, len(body), zlib.crc32(body))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + body


def _append_synced(journal: Journal, buffer: bytearray) -> None:
    if not buffer:
        return
    if os.fstat(journal.log_fd).st_size != journal.log_bytes:
        # A frame behind an incomplete one would make the log unreadable.
        os.ftruncate(journal.log_fd, journal.log_bytes)
    _write_all(journal.log_fd, buffer)
    os.fdatasync(journal.log_fd)
    journal.log_bytes += len(buffer)


def _write_snapshot(journal: Journal, effect: msgs.PersistSnapshot) -> None:
    index = effect.snapshot.index
    folder = journal.folder
    kept = [e for e in journal.log_entries if e.index >= effect.first_kept]
    path = folder / f"log-{index}"
    frame = _encode_frame(msgs.PersistEntries(tuple(kept)))
    # After a crash between the two writes, the old log is read together with
    # the new snapshot. This is safe, because entries that the snapshot covers
    # are skipped.
    _replace_file(folder / f"snapshot-{index}", codec.encode(effect.snapshot))
    _replace_file(path, frame if kept else b"")
    log_fd = os.open(path, os.O_RDWR | os.O_APPEND)
    os.close(journal.log_fd)
    journal.log_fd, journal.log_bytes = log_fd, os.fstat(log_fd).st_size
    journal.log_path, journal.log_entries = path, kept
    _delete_older_files(folder, index)


def _delete_older_files(folder: pathlib.Path, index: int) -> None:
    for prefix in ("log-", "snapshot-"):
        for number, path in _numbered_files(folder, prefix):
            if number < index:
                path.unlink()
