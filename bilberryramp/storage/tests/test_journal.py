import unittest

from bilberryramp.decisions.control import replica_state
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.storage import journal
from bilberryramp.storage.tests import builders


class JournalTest(unittest.TestCase):
    def test_what_was_written_is_read_again(self):
        path = builders.data_folder(self)
        hard_state = msgs.HardState(7, "c2", 3)
        builders.write_and_close(
            path,
            msgs.PersistHardState(hard_state),
            builders.persist(1, 5),
            builders.persist(4, 6, term=2),
        )
        read = builders.read(path)
        expected = builders.entries(1, 3) + builders.entries(4, 6, 2)
        self.assertEqual(read.entries, expected)
        self.assertEqual(read.hard_state, hard_state)

    def test_new_folder_is_not_genesis_and_formatted_one_is(self):
        path = builders.data_folder(self)
        self.assertNotEqual(
            builders.read(path).identity.incarnation, replica_state.GENESIS
        )
        with self.assertRaises(journal.BadDataFolderError):
            journal.format_folder(path, "c1")
        other = builders.data_folder(self)
        journal.format_folder(other, "c1")
        self.assertEqual(
            builders.read(other).identity.incarnation, replica_state.GENESIS
        )

    def test_torn_tail_is_cut_off_at_every_length(self):
        path = builders.data_folder(self)
        builders.write_and_close(path, builders.persist(1, 2))
        log = path / "log-0"
        whole = log.read_bytes()
        builders.write_and_close(path, builders.persist(3, 3))
        longer = log.read_bytes()
        for length in range(len(whole), len(longer)):
            log.write_bytes(longer[:length])
            read = builders.read(path)
            self.assertEqual(read.entries, builders.entries(1, 2))
            self.assertEqual(log.read_bytes(), whole)

    def test_damage_before_the_end_is_not_passed_over(self):
        path = builders.data_folder(self)
        builders.write_and_close(
            path, builders.persist(1, 2), builders.persist(3, 4)
        )
        log = path / "log-0"
        data = bytearray(log.read_bytes())
        data[12] ^= 0xFF
        log.write_bytes(data)
        with self.assertRaises(journal.CorruptFileError):
            builders.read(path)

    def test_snapshot_replaces_the_log_before_it(self):
        path = builders.data_folder(self)
        builders.write_and_close(
            path,
            builders.persist(1, 10),
            builders.snapshot(8, 6),
            builders.persist(11, 12),
        )
        read = builders.read(path)
        self.assertEqual(read.snapshot.index, 8)
        self.assertEqual(read.entries, builders.entries(6, 12))
        names = sorted(file.name for file in path.glob("*-[0-9]*"))
        self.assertEqual(names, ["log-8", "snapshot-8"])

    def test_crash_between_snapshot_and_new_log(self):
        path = builders.data_folder(self)
        builders.write_and_close(path, builders.persist(1, 10))
        old = (path / "log-0").read_bytes()
        builders.write_and_close(path, builders.snapshot(8, 9))
        (path / "log-8").unlink()
        (path / "log-0").write_bytes(old)
        read = builders.read(path)
        self.assertEqual(read.snapshot.index, 8)
        self.assertEqual(read.entries, builders.entries(1, 10))

    def test_folder_has_one_user_and_one_owner(self):
        path = builders.data_folder(self)
        opened, _ = journal.open_folder(path, "c1")
        with self.assertRaises(journal.DataFolderInUseError):
            journal.open_folder(path, "c1")
        journal.close(opened)
        with self.assertRaises(journal.BadDataFolderError):
            journal.open_folder(path, "c2")
