"""Tests of crowds at the ports of a node that are not for clients."""

import functools

import aiohttp

from bilberryramp.platform.tests import (
    builders,
    client_crowds,
    test_client_crowds,
)

BODY_BYTES = test_client_crowds.MAX_BODY_BYTES
BODY_CLIENTS = test_client_crowds.BODY_CLIENTS
CONNECTION_CLIENTS = test_client_crowds.CONNECTION_CLIENTS
ROUTE_COUNT = 4000


class ListenerCase(test_client_crowds.CrowdCase):
    """Checks a crowd at one port, and callers of that port."""

    port_name = ""
    # Path that is asked for, at this port, beside the crowd and after it.
    path = ""

    async def ask(self):
        """Ask the port on a new connection; return the status."""
        url = self.url_of(self.port_name, self.path)
        connector = aiohttp.TCPConnector(force_close=True)
        timeout = aiohttp.ClientTimeout(test_client_crowds.CALLER_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as session,
            session.get(url) as resp,
        ):
            await resp.read()
            return resp.status

    async def assert_served(self, name):
        """Check that the port, and the clients' one, serve a caller."""
        with self.subTest(f"request to the port {name} the crowd"):
            if self.path:

                async def is_served():
                    return await self.ask() == 200

                await self.wait_until(is_served)
        with self.subTest(f"client's request {name} the crowd"):
            await self.assert_answered(name)
        self.assert_alive()

    async def check(self, count, form, *args):
        crowd = client_crowds.Crowd(self.ports[self.port_name])
        self.addAsyncCleanup(client_crowds.end, crowd)
        client_crowds.gather(crowd, count, functools.partial(form, *args))
        await client_crowds.settle(crowd)
        self.assert_alive()
        await self.assert_served("beside")
        await client_crowds.end(crowd)
        await self.assert_served("after")
        self.assert_within_limits()


class OperatorCrowdTest(ListenerCase):
    port_name = "control"
    path = "/config/get"

    async def test_bodies_short_of_their_end(self):
        await self.check(
            BODY_CLIENTS, client_crowds.bodies, "/config/put", BODY_BYTES
        )

    async def test_heads_without_end(self):
        await self.check(
            BODY_CLIENTS, client_crowds.endless_heads, "/config/put", 100
        )

    async def test_large_answers_never_read(self):
        routes = [
            builders.make_route_fields(f"/p{number}/", "svc-app")
            for number in range(ROUTE_COUNT)
        ]
        routes.append(
            builders.make_route_fields("/look/", "svc-app", kind="idempotent")
        )
        body = builders.make_document_body(version=5, routes=routes)
        self.assertEqual(await self.submit_document(body), 200)
        await self.check(
            BODY_CLIENTS, client_crowds.questions_ahead, self.path, 1
        )

    async def test_silence_on_many_connections(self):
        await self.check(CONNECTION_CLIENTS, client_crowds.silence)


class ReadinessCrowdTest(ListenerCase):
    port_name = "ready"
    path = "/ready"

    async def test_bodies_short_of_their_end(self):
        await self.check(
            BODY_CLIENTS, client_crowds.bodies, self.path, BODY_BYTES
        )

    async def test_heads_without_end(self):
        await self.check(
            BODY_CLIENTS, client_crowds.endless_heads, self.path, 100
        )

    async def test_answers_never_read(self):
        await self.check(10, client_crowds.questions_ahead, self.path, 6000)

    async def test_silence_on_many_connections(self):
        await self.check(CONNECTION_CLIENTS, client_crowds.silence)


class MetricsCrowdTest(ListenerCase):
    port_name = "metrics"
    path = "/metrics"

    async def test_bodies_short_of_their_end(self):
        await self.check(
            BODY_CLIENTS, client_crowds.bodies, self.path, BODY_BYTES
        )

    async def test_heads_without_end(self):
        await self.check(
            BODY_CLIENTS, client_crowds.endless_heads, self.path, 100
        )

    async def test_answers_never_read(self):
        await self.check(20, client_crowds.questions_ahead, self.path, 500)

    async def test_silence_on_many_connections(self):
        await self.check(CONNECTION_CLIENTS, client_crowds.silence)


class PeerCrowdTest(ListenerCase):
    """The port speaks ZeroMQ's protocol, so it is not asked."""

    port_name = "peer"

    async def test_frames_short_of_their_end(self):
        await self.check(BODY_CLIENTS, client_crowds.frames, BODY_BYTES)

    async def test_silence_on_many_connections(self):
        await self.check(CONNECTION_CLIENTS, client_crowds.silence)
