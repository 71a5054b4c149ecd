"""Tests of connections that end while they are closed."""

import asyncio
import socket
import struct
import unittest
from unittest import mock

from bilberryramp.decisions.shared import connection_stop
from bilberryramp.platform.tests import builders
from bilberryramp.tasks import client_connections, connection_drain
from bilberryramp.tasks.tests import builders as task_builders

TIMEOUT_S = 60
# Ends a connection with a reset when its socket is closed.
RESET = struct.pack("ii", 1, 0)


class ConnectionCloseTest(unittest.IsolatedAsyncioTestCase):
    async def test_close_after_a_reset_raised_and_ended_the_stop(self):
        """The reset has arrived, and the event loop has not read it."""
        server = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        front, port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", port))
        sock.send(b"POST /x")
        conns = client_connections.connections
        async with asyncio.timeout(TIMEOUT_S):
            while not any(
                conn.state is connection_stop.State.READING_HEAD
                for conn in conns(front.listener)
            ):
                await asyncio.sleep(0.01)
        conn = next(conns(front.listener))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()
        client_connections.close(conn.key, connection_stop.Reason.STALLED)
        async with asyncio.timeout(TIMEOUT_S):
            while any(conns(front.listener)):
                await asyncio.sleep(0.01)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """The drain of a listener, within this process."""

    async def test_first_request_of_a_new_connection_was_reset(self):
        """It came when the listener had just been closed."""
        server = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        front, port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        async with asyncio.timeout(TIMEOUT_S):
            while not any(client_connections.connections(front.listener)):
                await asyncio.sleep(0.01)
        draining = asyncio.Event()
        with mock.patch.object(
            client_connections, "FIRST_REQUEST_MS", 1000 * TIMEOUT_S
        ):
            drain = asyncio.create_task(
                connection_drain.run(
                    builders.make_drain(front.listener, draining.set)
                )
            )
            async with asyncio.timeout(TIMEOUT_S):
                await draining.wait()
                writer.write(builders.request_bytes("q1"))
                answer = await reader.read()
                await drain
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"\r\nConnection: close\r\n", answer)
        self.assertEqual(server.requests, [])

    async def test_client_that_was_not_accepted_yet_was_reset(self):
        """It had connected before the listener closed."""
        server = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        front, port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        # The event loop does not run between these calls and the close.
        sock = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        self.addCleanup(sock.close)
        sock.sendall(builders.request_bytes("q1"))
        drain = builders.make_drain(front.listener, lambda: None)
        async with asyncio.timeout(TIMEOUT_S):
            await connection_drain.run(drain)
        self.assertRegex(sock.recv(65536), rb"^HTTP/1\.1 (200|503) ")
