"""Tests of changes of a node's settings file."""

import asyncio
import pathlib
import tempfile
import types
import unittest
from unittest import mock

from bilberryramp.programs import node

TIMEOUT_S = 30


class SettingsWatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_change_during_the_start_was_missed_until_the_next_one(self):
        """A file that was changed after it was read is read again."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "node.toml")
        path.write_text("old")
        proc = types.SimpleNamespace(
            settings_path=str(path),
            settings_signature=node._file_signature(str(path)),
        )
        path.write_text("changed")
        reloaded = asyncio.Event()
        with (
            mock.patch.object(node, "SETTINGS_POLL_S", 0.01),
            mock.patch.object(
                node, "_reload_settings", lambda _proc: reloaded.set()
            ),
        ):
            task = asyncio.create_task(node._watch_settings(proc))
            async with asyncio.timeout(TIMEOUT_S):
                await reloaded.wait()
            task.cancel()


if __name__ == "__main__":
    unittest.main()
