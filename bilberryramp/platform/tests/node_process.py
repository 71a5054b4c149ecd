"""Test case with a node as a process of its own, and two engines."""

import asyncio
import os
import pathlib
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


class NodeProcessCase(unittest.IsolatedAsyncioTestCase):
    # Further fields of the settings, as `standins.make_settings_text` takes.
    settings = {}

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
            **self.settings,
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
