import pathlib
import tempfile
import unittest

from bilberryramp.decisions.fleet import register_messages as msgs
from bilberryramp.storage import slots


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
