"""Builders of log entries and data folders for tests."""

import pathlib
import struct
import tempfile
import zlib

from bilberryramp.decisions.control import control_state
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.shared import commands
from bilberryramp.storage import journal
from bilberryramp.wire import codec


def data_folder(case) -> pathlib.Path:
    temporary = tempfile.TemporaryDirectory()
    case.addCleanup(temporary.cleanup)
    return pathlib.Path(temporary.name) / "data"


def entries(first, last, term=1):
    return tuple(
        control_state.Entry(term, index, commands.DrainUpstream(f"u{index}"))
        for index in range(first, last + 1)
    )


def persist(first, last, term=1):
    return msgs.PersistEntries(entries(first, last, term))


def snapshot(index, first_kept):
    state = control_state.ControlState()
    state.view.index = index
    return msgs.PersistSnapshot(msgs.Snapshot(index, 1, state), first_kept)


def unframed_record(effect) -> bytes:
    """Encode a record as logs of earlier versions have it."""
    body = codec.encode(effect)
    return struct.pack("<II", len(body), zlib.crc32(body)) + body


def write_and_close(path, *effects):
    opened, _ = journal.open_folder(path, "c1")
    journal.write(opened, list(effects))
    journal.close(opened)


def read(path):
    opened, recovered = journal.open_folder(path, "c1")
    journal.close(opened)
    return recovered
