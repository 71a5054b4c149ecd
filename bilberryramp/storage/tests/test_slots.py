import pathlib
import tempfile
import unittest

from bilberryramp.decisions.fleet import register_messages as msgs
from bilberryramp.storage import slots


def a_value(version):
    record = msgs.Record(1, version, (msgs.Member("a", "s"),), (), version)
    return msgs.PersistentState(
        "s", 1, "", record, msgs.CommittedDocument(version - 1, b"x")
    )


class SlotsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def test_the_newest_value_comes_back(self):
        for count in range(1, 6):
            slots.write(self.folder, count, a_value(count))
        self.assertEqual(slots.read(self.folder), (5, a_value(5)))

    def test_a_new_disk_holds_nothing(self):
        self.assertEqual(slots.read(self.folder), (0, None))

    def test_a_torn_write_leaves_the_value_before(self):
        slots.write(self.folder, 1, a_value(1))
        slots.write(self.folder, 2, a_value(2))
        path = pathlib.Path(self.folder, slots.NAMES[1])
        whole = path.read_bytes()
        for size in range(0, len(whole), 7):
            path.write_bytes(whole[:size])
            self.assertEqual(slots.read(self.folder), (2, a_value(2)))
        path.write_bytes(whole[:20] + b"\x00" * (len(whole) - 20))
        self.assertEqual(slots.read(self.folder), (2, a_value(2)))
