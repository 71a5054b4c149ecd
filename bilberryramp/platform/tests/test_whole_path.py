import asyncio
import os
import pathlib
import signal
import socket
import sys
import tempfile
import unittest

import aiohttp

from bilberryramp.platform import standins
from bilberryramp.platform.tests import builders

PORT_NAMES = ("peer", "front", "ready", "control", "metrics")
# Much longer than a node takes to start, even on a busy machine.
WAIT_TIMEOUT_S = 60
RESIDENT_MODELS = [{"name": "m0", "version": 1, "adapters": []}]


def free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class NodeProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ports = dict(
            zip(PORT_NAMES, free_ports(len(PORT_NAMES)), strict=True)
        )
        path = pathlib.Path(folder.name, "node.toml")
        data = pathlib.Path(folder.name, "data")
        addresses = {
            name: f"127.0.0.1:{port}" for name, port in self.ports.items()
        }
        text = standins.make_settings_text(
            "n1",
            "127.0.0.1",
            self.ports["peer"],
            [addresses["control"]],
            folder=data,
            front=addresses["front"],
            ready=addresses["ready"],
            control=addresses["control"],
        )
        path.write_text(text)
        self.node_process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bilberryramp.programs.node",
            f"--metrics_port={self.ports['metrics']}",
            env={**os.environ, standins.PATH_VARIABLE: str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.session = aiohttp.ClientSession()
        self.engine_upstream = standins.Engine(
            "i-1", "svc-llm", models=RESIDENT_MODELS
        )
        self.plain_upstream = standins.Engine("i-2", "svc-app")
        for engine in (self.engine_upstream, self.plain_upstream):
            await standins.start(engine)

    async def asyncTearDown(self):
        if self.node_process.returncode is None:
            self.node_process.kill()
            await self.node_process.wait()
        for engine in (self.engine_upstream, self.plain_upstream):
            await standins.stop(engine)
        await self.session.close()

    def url_of(self, name, path=""):
        return f"http://127.0.0.1:{self.ports[name]}{path}"

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                try:
                    if await condition():
                        return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def submit_document(self, body):
        url = self.url_of("control", "/config/put")
        async with self.session.post(url, data=body) as resp:
            return resp.status

    async def is_ready(self):
        async with self.session.get(self.url_of("ready", "/ready")) as resp:
            return resp.status == 200

    async def prepare_node(self):
        async def is_document_accepted():
            return (
                await self.submit_document(builders.make_document_body())
                == 200
            )

        await self.wait_until(is_document_accepted)
        node = f"127.0.0.1:{self.ports['control']}"
        for engine in (self.engine_upstream, self.plain_upstream):
            status = await standins.send_heartbeat(engine, self.session, node)
            self.assertEqual(status, 200)
        await self.wait_until(self.is_ready)
        return node

    async def send_request(self, path, request_id, **headers):
        url = self.url_of("front", path)
        defaults = {
            "Host": "h.example",
            "X-Bilberryramp-Request-Id": request_id,
            "X-Bilberryramp-Deadline-Ms": "5000",
        }
        return await self.session.post(
            url, data=b"it", headers=defaults | headers
        )

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
