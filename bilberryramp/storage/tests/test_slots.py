import pathlib
import tempfile
import unittest

import msgspec

from bilberryramp.decisions.fleet.register import register_messages as msgs
from bilberryramp.storage import slots
from bilberryramp.storage.tests import builders


def stored_state(version):
    record = msgs.Record(1, version, (msgs.Member("a", "s"),), (), version)
    return msgs.PersistentState(
        "s", 1, "", record, msgs.CommittedDocument(version - 1, b"x")
    )


class SlotsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def test_newest_state_is_read(self):
        for count in range(1, 6):
            slots.write(self.folder, count, stored_state(count))
        self.assertEqual(slots.read(self.folder), (5, stored_state(5)))

    def test_empty_folder_has_no_state(self):
        self.assertEqual(slots.read(self.folder), (0, None))

    def test_incomplete_write_preserves_previous_state(self):
        slots.write(self.folder, 1, stored_state(1))
        slots.write(self.folder, 2, stored_state(2))
        path = pathlib.Path(self.folder, slots.FILE_NAMES[1])
        content = path.read_bytes()
        for size in range(0, len(content), 7):
            path.write_bytes(content[:size])
            self.assertEqual(slots.read(self.folder), (2, stored_state(2)))
        path.write_bytes(content[:20] + b"\x00" * (len(content) - 20))
        self.assertEqual(slots.read(self.folder), (2, stored_state(2)))

    def test_settled_document_of_an_earlier_version_names_no_record(self):
        # Guards against trusting a document that an earlier version stored as
        # settled although it was never committed.
        state = msgspec.to_builtins(stored_state(1), builtin_types=(bytes,))
        del state["settled"]["record_id"]
        slots.write(self.folder, 1, state)
        _, stored = slots.read(self.folder)
        self.assertEqual(stored.settled.record_id, (-1, -1))

    def test_writes_go_on_after_no_space_at_any_byte(self):
        for room_bytes in range(200):
            for room_syncs in (0, 1000):
                with self.subTest(room_bytes=room_bytes, syncs=room_syncs):
                    self.check_full_disk(room_bytes, room_syncs)

    def check_full_disk(self, room_bytes, room_syncs):
        for count in (1, 2):
            slots.write(self.folder, count, stored_state(count))
        with builders.full_disk(room_bytes, room_syncs):
            try:
                slots.write(self.folder, 3, stored_state(3))
            except OSError:
                count, stored = slots.read(self.folder)
                self.assertIn(count, (2, 3))
                self.assertEqual(stored, stored_state(count))
        slots.write(self.folder, 3, stored_state(3))
        self.assertEqual(slots.read(self.folder), (3, stored_state(3)))
