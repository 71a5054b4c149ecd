import types
import unittest

from bilberryramp.platform import standins


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_without_length_failed_if_the_client_had_left(self):
        engine = standins.Engine("m1", "s1")
        request = types.SimpleNamespace(transport=None)
        answer = await standins._write_unframed(
            engine, request, {}, b"", False
        )
        self.assertEqual(answer.body, None)
