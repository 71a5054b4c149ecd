import asyncio
import contextlib
import types
import unittest

import aiohttp

from bilberryramp.platform import standins


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_without_length_failed_if_the_client_had_left(self):
        engine = standins.Engine("m1", "s1")
        request = types.SimpleNamespace(transport=None)
        answer = await standins._write_unframed(
            engine, request, {}, b"", False
        )
        self.assertEqual(answer.body, None)


class RunEndTest(unittest.IsolatedAsyncioTestCase):
    """An engine tells whether it broke an answer off, or the node left."""

    async def run_ends(self, body=b"x", **changes):
        """Return what a stand-in reports of the end of one request."""
        ends = []
        engine = standins.Engine(
            "e1",
            "svc-llm",
            models=[{"name": "m0", "version": 1, "adapters": []}],
            on_finish=lambda _, broke_off: ends.append(broke_off),
            **changes,
        )
        await standins.start(engine)
        headers = standins.make_request_headers("q1", 1000, "m0")
        headers["X-Bilberryramp-Expected-Instance"] = "e1"
        url = f"http://{engine.address}/talk/x"
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(
                    url, data=body, headers=headers
                ) as resp:
                    await resp.read()
            while not ends:
                await asyncio.sleep(standins.CLOSE_CHECK_S)
        await standins.stop(engine)
        return ends

    async def test_a_whole_answer_is_not_broken_off(self):
        self.assertEqual(await self.run_ends(), [False])

    async def test_answers_that_the_engine_cuts_are(self):
        for changes in (
            {"break_after": 1},
            {"unframed_every": 1, "executed_ids": ["q0"]},
            {"body": standins.FATAL_PREFIX},
        ):
            with self.subTest(changes):
                self.assertEqual(await self.run_ends(**changes), [True])
