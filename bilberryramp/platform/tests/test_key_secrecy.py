"""Test that a node process neither writes nor sends on the keys it is sent."""

import asyncio
import json

import aiohttp

from bilberryramp.decisions.fleet.core import workspaces
from bilberryramp.platform import standins
from bilberryramp.platform.tests import builders, node_process

MARK = "markedSecret"
KEY, NEXT_KEY, UNKNOWN_KEY = (f"{MARK}{n:08}" for n in (1, 2, 3))
PROMPT_HEADERS = {
    "X-Bilberryramp-Model": "m0",
    "X-Bilberryramp-Token-Count": "10,5",
}


class KeySecrecyTest(node_process.NodeProcessCase):
    async def put(self, version, *rows):
        url = self.url_of("control", "/config/put")
        body = builders.make_document_body(version, tenants=rows)
        async with self.session.post(url, data=body) as resp:
            self.received.append(await resp.read())
            return resp.status

    async def call(self, key, request_id, path="/look/x", **headers):
        if key:
            headers["X-Api-Key"] = key
        resp = await self.send_request(path, request_id, **headers)
        self.received.append(repr((resp.headers, resp.reason)).encode())
        try:
            self.received.append(await resp.read())
        except aiohttp.ClientError as exc:
            self.received.append(repr(exc).encode())
        return resp.status

    async def send_raw(self, *lines):
        """Send the head of a request as it is, and read the answer."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports["front"]
        )
        writer.write(b"\r\n".join((b"GET /look/x HTTP/1.1", *lines, b"", b"")))
        writer.write_eof()
        self.received.append(await reader.read())
        writer.close()

    async def read_metrics(self):
        async with self.session.get(self.url_of("metrics", "/metrics")) as r:
            text = await r.read()
        self.assertIn(b"workspace_keys 1\n", text)
        self.received.append(text)

    def sent_to_engines(self):
        return [
            value
            for headers in self.arrivals
            for row in headers.items()
            for value in row
        ]

    async def test_keys_stay_in_the_document(self):
        self.received, self.arrivals = [], []
        for engine in (self.engine_upstream, self.plain_upstream):
            engine.on_arrival = lambda _, headers: self.arrivals.append(
                headers
            )
        await self.prepare_node()
        row = builders.make_workspace_fields(apiKeys=[KEY])
        other = row | {"name": "w2"}
        self.assertEqual(await self.put(11, row, other), 400)
        self.assertEqual(await self.put(11, row | {"priority": KEY}), 400)
        self.assertEqual(await self.put(12, row), 200)
        copies = {
            "Authorization": f"Bearer {KEY}",
            "X-Bilberryramp-Tenant": "forged",
        }
        self.assertEqual(await self.call(KEY, "q1", **copies), 200)
        self.assertEqual(
            await self.call(KEY, "q2", "/talk/x", **PROMPT_HEADERS), 200
        )
        self.assertEqual(
            {headers["X-Bilberryramp-Tenant"] for headers in self.arrivals},
            {"w1"},
        )
        self.assertEqual(await self.call(UNKNOWN_KEY, "q3"), 401)
        self.assertEqual(await self.call("", "q4"), 401)
        self.assertEqual(await self.call(KEY, f"q5{KEY}"), 401)
        await self.fail_some_calls()
        await self.send_raw(b"X-Api-Key: " + KEY.encode() + b"\x00")
        await self.send_raw(b"X-Api-Key " + KEY.encode())
        await self.send_raw(b"X-Api-Key: " + KEY.encode() * 1000)
        await self.read_metrics()
        self.assertEqual(
            await self.put(13, row | {"apiKeys": [NEXT_KEY]}), 200
        )
        self.assertEqual(await self.call(KEY, "q6"), 401)
        self.assertEqual(await self.stop_node(), 0)
        await self.start_node()
        await self.announce_engines()
        await self.wait_until(self.is_ready)
        self.assertEqual(await self.call(KEY, "q7"), 401)
        self.assertEqual(await self.call(NEXT_KEY, "q8"), 200)
        await self.read_metrics()
        self.assertEqual(await self.stop_node(), 0)
        output = self.output_path.read_bytes()
        for name, data in (
            ("log", output),
            ("answers", b"\n".join(self.received)),
            ("engines", repr(self.sent_to_engines()).encode()),
        ):
            self.assertNotIn(MARK.encode(), data, name)
        self.assertEqual(
            self.refused(output)["q3"],
            ("no_such_key", workspaces.digest(UNKNOWN_KEY)),
        )

    async def announce_engines(self):
        node = f"127.0.0.1:{self.ports['control']}"

        async def is_heard():
            return all(
                [
                    await standins.send_heartbeat(engine, self.session, node)
                    == 200
                    for engine in (self.engine_upstream, self.plain_upstream)
                ]
            )

        await self.wait_until(is_heard)

    async def fail_some_calls(self):
        """Have calls end with an engine's failure and with a reset."""
        for number, trouble in enumerate(
            (standins.Trouble(500, True), standins.Trouble(0, True))
        ):
            self.plain_upstream.choose_trouble = lambda _, chosen=trouble: (
                chosen
            )
            self.assertGreaterEqual(await self.call(KEY, f"f{number}"), 500)
        self.plain_upstream.choose_trouble = lambda _: None

    def refused(self, output):
        """Return cause and digest of the refused requests, by id."""
        rows = (json.loads(line) for line in output.splitlines())
        return {
            row["request_id"]: (row["cause"], row["key_digest"])
            for row in rows
            if row["message_type"] == "call.refused" and "cause" in row
        }
