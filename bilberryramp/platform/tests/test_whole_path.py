import signal

import aiohttp

from bilberryramp.platform import standins
from bilberryramp.platform.tests import builders, node_process


class NodeProcessTest(node_process.NodeProcessCase):
    async def test_serves_each_kind_of_request(self):
        await self.prepare_node()
        resp = await self.send_request("/file/x", "q1")
        self.assertEqual((resp.status, await resp.read()), (200, b"did it"))
        signature = resp.headers["X-Bilberryramp-Server-Signature"]
        self.assertEqual(signature, "sig-i-2")
        prompt_headers = {
            "X-Bilberryramp-Model": "m0",
            "X-Bilberryramp-Token-Count": "10,5",
            "X-Bilberryramp-Prompt-Prefix": "aa:10",
            "X-Bilberryramp-Hold": "mine",
        }
        resp = await self.send_request("/talk/x", "q2", **prompt_headers)
        body = await resp.read()
        self.assertEqual(body.count(b"data:"), standins.CHUNK_COUNT)
        self.assertNotIn(
            "X-Bilberryramp-Hold", self.engine_upstream.last_headers
        )
        resp = await self.send_request("/none/x", "q3")
        self.assertEqual(resp.status, 404)
        self.assertEqual(
            (
                self.plain_upstream.executed_ids,
                self.engine_upstream.executed_ids,
            ),
            (["q1"], ["q2"]),
        )
        async with self.session.get(
            self.url_of("metrics", "/metrics")
        ) as resp:
            text = await resp.text()
        self.assertIn('call_attempt_total{outcome="delivered"} 2', text)
        self.assertIn("call_attempt_took_seconds", text)
        self.assertIn("document_version 3", text)

    async def test_client_detects_a_truncated_stream(self):
        await self.prepare_node()
        self.engine_upstream.break_after = 2
        headers = {
            "X-Bilberryramp-Model": "m0",
            "X-Bilberryramp-Token-Count": "10,5",
        }
        resp = await self.send_request("/talk/x", "q1", **headers)
        with self.assertRaises(aiohttp.ClientError):
            await resp.read()
        self.assertEqual(self.engine_upstream.executed_ids, ["q1"])

    async def test_an_older_document_does_not_replace_a_newer_one(self):
        await self.prepare_node()
        self.assertEqual(
            await self.submit_document(builders.make_document_body(version=2)),
            200,
        )
        self.assertEqual(await self.submit_document(b"{"), 400)
        url = self.url_of("control", "/config/get")
        async with self.session.get(url) as resp:
            self.assertEqual(await resp.read(), builders.make_document_body())

    async def test_a_draining_upstream_gets_no_requests(self):
        node = await self.prepare_node()
        status = await standins.send_heartbeat(
            self.plain_upstream, self.session, node, "draining"
        )
        self.assertEqual(status, 200)
        resp = await self.send_request(
            "/file/x", "q1", **{"X-Bilberryramp-Deadline-Ms": "300"}
        )
        self.assertEqual(resp.status, 503)
        self.assertIn("Retry-After", resp.headers)
        self.assertEqual(self.plain_upstream.executed_ids, [])

    async def test_a_planned_stop_still_answers_requests(self):
        await self.prepare_node()
        self.node_process.send_signal(signal.SIGTERM)

        async def is_unready():
            return not await self.is_ready()

        await self.wait_until(is_unready)
        resp = await self.send_request("/file/x", "q1")
        self.assertEqual(resp.status, 200)
        self.assertEqual(resp.headers["Connection"], "close")
        self.assertEqual(await self.node_process.wait(), 0)
