"""Tests of the task that keeps the list of suspects on the disk."""

import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.quarantine import suspect_memory
from bilberryramp.storage import slots
from bilberryramp.tasks import mailbox, suspect_store

TIMEOUT_S = 20


def make_list(number):
    loss = msgs.ReportedLoss("u1", "", 1, 0, 3, 2, 3, 3, True, True)
    entry = msgs.PublishedSuspect("f", "svc", "quarantined", 5, 1, (loss,))
    return suspect_memory.StoredSuspects(number, (entry,) * number)


class SuspectStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = str(pathlib.Path(folder.name) / "data")
        self.store, stored = suspect_store.open_store(self.folder)
        self.assertIsNone(stored)
        running = asyncio.create_task(suspect_store.run(self.store))
        self.addCleanup(running.cancel)

    async def until_stored(self, expected):
        async with asyncio.timeout(TIMEOUT_S):
            while suspect_store.open_store(self.folder)[1] != expected:
                await asyncio.sleep(0.02)

    async def test_the_newest_list_is_read_again(self):
        for number in range(5):
            mailbox.post_now(self.store.inbox, make_list(number))
        await self.until_stored(make_list(4))
        mailbox.post_now(self.store.inbox, make_list(0))
        await self.until_stored(make_list(0))

    async def test_a_damaged_file_costs_the_last_write_only(self):
        for number in (1, 2):
            mailbox.post_now(self.store.inbox, make_list(number))
            await self.until_stored(make_list(number))
        name = suspect_store.FILE_NAMES[self.store.last_write % 2]
        pathlib.Path(self.folder, name).write_bytes(b"\xff" * 40)
        self.assertEqual(
            suspect_store.open_store(self.folder)[1], make_list(1)
        )

    async def test_a_failed_write_is_repeated(self):
        write, failures = slots.write, [OSError("full")] * 2

        def fail(*args):
            if failures:
                raise failures.pop()
            write(*args)

        with mock.patch.object(slots, "write", fail):
            mailbox.post_now(self.store.inbox, make_list(3))
            await self.until_stored(make_list(3))

    async def test_the_register_keeps_its_own_files(self):
        mailbox.post_now(self.store.inbox, make_list(1))
        await self.until_stored(make_list(1))
        self.assertEqual(slots.read(self.folder), (0, None))


if __name__ == "__main__":
    unittest.main()
