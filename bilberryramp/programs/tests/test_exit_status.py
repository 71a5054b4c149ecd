"""Tests of the exit status of a node."""

import asyncio
import unittest
from unittest import mock

from bilberryramp.programs import fleet_launch, node
from bilberryramp.telemetry import events


async def end_with(exc=None):
    if exc is not None:
        raise exc


class ExitStatusTest(unittest.IsolatedAsyncioTestCase):
    async def exit_status(self, exc):
        stopped = asyncio.create_task(end_with(exc))
        done, _ = await asyncio.wait([stopped])
        return node._exit_status(done, stopped)

    async def test_failed_stop_was_reported_as_a_planned_one(self):
        with mock.patch.object(events, "emit") as emit:
            status = await self.exit_status(OSError("reset"))
        self.assertEqual(status, fleet_launch.EXIT_DEFECT)
        emit.assert_called_once_with(
            events.TASK_FAILED, reason="OSError('reset')"
        )

    async def test_planned_stop(self):
        self.assertEqual(await self.exit_status(None), 0)


if __name__ == "__main__":
    unittest.main()
