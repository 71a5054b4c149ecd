"""Tests of entries and control replicas with crowds of clients."""

import asyncio
import contextlib
import functools
import resource
import unittest
import uuid

import aiohttp
import msgspec
from aiohttp import web

from bilberryramp.platform.tests import client_crowds
from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders
from bilberryramp.tasks import upstream_engine

# A process at rest takes about 60 MB. The bound leaves room for requests of
# `MAX_BODY_BYTES` by the dozen, and not for all those of a crowd.
MEMORY_MB = 160
# Limit of the processes that a crowd attacks.
MAX_DESCRIPTORS = 300
MAX_BODY_BYTES = 1_000_000
BODY_CLIENTS = 200
CONNECTION_CLIENTS = 400
CALLER_ATTEMPTS = 8
CALLER_PAUSE_S = 0.25
CALLER_TIMEOUT_S = 5
PATH = "/v1/completions"
SERVICE_PATH = "/services/corrections"


@contextlib.contextmanager
def few_descriptors():
    """Let processes that are started meanwhile open few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def completions_ahead(prompt_bytes: int, count: int):
    """Make whole requests for completions, sent without waiting."""
    body = builders.completion_body(prompt="x" * prompt_bytes)
    for _ in range(count):
        yield client_crowds.make_head(PATH, f"Content-Length: {len(body)}")
        yield body


def largest_body() -> bytes:
    rest = len(builders.completion_body(prompt=""))
    return builders.completion_body(prompt="x" * (MAX_BODY_BYTES - rest))


def service_requests(keys):
    """Make a request to the plain service."""
    yield client_crowds.make_head(
        SERVICE_PATH,
        f"Idempotency-Key: crowd-{next(keys)}",
        "Bilberry-Repeat: never",
        "Content-Length: 0",
    )


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Checks a crowd at a port of a program, and ordinary callers."""

    def measure(self, cluster, name, ports):
        self.process = cluster.processes[name].child
        self.usage = client_crowds.Usage()
        measuring = asyncio.create_task(
            client_crowds.measure(self.process.pid, ports, self.usage)
        )
        self.addCleanup(measuring.cancel)

    async def call(self):
        """Send an ordinary request on a new connection; return its status."""
        raise NotImplementedError

    async def assert_answered(self, name):
        """Check that an ordinary caller, who retries, has its answer."""
        seen = []
        for _ in range(CALLER_ATTEMPTS):
            try:
                seen.append(await self.call())
            except (aiohttp.ClientError, TimeoutError) as exc:
                seen.append(repr(exc))
            if seen[-1] == 200:
                return
            await asyncio.sleep(CALLER_PAUSE_S)
        self.fail(f"no answer {name} the crowd: {seen}")

    def assert_alive(self):
        self.assertIsNone(self.process.poll())

    def gather(self, port, count, form, *args, reconnects=0):
        crowd = client_crowds.Crowd(port)
        self.addAsyncCleanup(client_crowds.end, crowd)
        client_crowds.gather(
            crowd, count, functools.partial(form, *args), reconnects
        )
        return crowd

    async def check(self, *crowds):
        for crowd in crowds:
            await client_crowds.settle(crowd)
        self.assert_alive()
        with self.subTest("ordinary request beside the crowd"):
            await self.assert_answered("beside")
        self.assert_alive()
        for crowd in crowds:
            await client_crowds.end(crowd)
        with self.subTest("ordinary request after the crowd"):
            await self.assert_answered("after")
        self.assert_alive()
        self.assert_within_limits()

    def assert_within_limits(self):
        with self.subTest("memory"):
            self.assertLessEqual(self.usage.held_bytes, MEMORY_MB * 10**6)
        with self.subTest("descriptors"):
            self.assertLess(self.usage.descriptors, MAX_DESCRIPTORS)


def open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True),
        timeout=aiohttp.ClientTimeout(CALLER_TIMEOUT_S),
    )


class EntryCrowdTest(CrowdCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls)
        builders.add_engines(cls.cluster)
        cls.service_port = local_cluster.free_ports(1)[0]
        local_cluster.add_upstream(
            cls.cluster,
            builders.standin_settings("ledger-1", builders.SERVICE),
            "corrections-ledger",
            engine_url=f"http://127.0.0.1:{cls.service_port}",
            slots=BODY_CLIENTS,
            queue_limit=BODY_CLIENTS,
        )
        local_cluster.wait_for_upstreams(cls.cluster, 4)
        submitted = builders.submit(cls.cluster)
        assert submitted.returncode == 0, submitted.stderr

    async def asyncSetUp(self):
        await self.start_service()
        await self.start_entry(
            max_body_bytes=MAX_BODY_BYTES, process_memory_mb=MEMORY_MB
        )

    async def start_service(self):
        """Start a plain service whose answers are large."""

        async def answer(request):
            if request.path == "/engine/state":
                state = upstream_engine.EngineState("b1")
                return web.Response(body=msgspec.json.encode(state))
            return web.Response(body=b"y" * MAX_BODY_BYTES)

        server = await asyncio.get_running_loop().create_server(
            web.Server(answer, access_log=None),
            "127.0.0.1",
            self.service_port,
        )
        self.addCleanup(server.close)

    async def start_entry(self, **settings):
        self.name = self.id().rpartition(".")[2]
        with few_descriptors():
            self.port = local_cluster.add_entry(
                self.cluster, self.name, **settings
            )
        self.addAsyncCleanup(
            asyncio.to_thread, local_cluster.kill, self.cluster, self.name
        )
        url = f"http://127.0.0.1:{self.port}/readyz"
        await asyncio.to_thread(local_cluster.wait_for_http, url)
        self.measure(self.cluster, self.name, [self.port])

    async def call(self, body=None):
        url = f"http://127.0.0.1:{self.port}{PATH}"
        data = body or builders.completion_body()
        async with (
            open_session() as session,
            session.post(url, data=data) as resp,
        ):
            await resp.read()
            return resp.status

    async def is_service_up(self):
        headers = {"Idempotency-Key": str(uuid.uuid4())}
        headers["Bilberry-Repeat"] = "never"
        url = f"http://127.0.0.1:{self.port}{SERVICE_PATH}"
        async with (
            open_session() as session,
            session.post(url, headers=headers) as resp,
        ):
            return len(await resp.read()) == MAX_BODY_BYTES

    async def check_form(self, count, form, *args, reconnects=0):
        await self.check(
            self.gather(self.port, count, form, *args, reconnects=reconnects)
        )

    async def test_bodies_short_of_their_end(self):
        await self.check_form(
            BODY_CLIENTS, client_crowds.bodies, PATH, MAX_BODY_BYTES
        )

    async def test_bodies_in_chunks_short_of_their_end(self):
        await self.check_form(
            BODY_CLIENTS, client_crowds.bodies_in_chunks, PATH, MAX_BODY_BYTES
        )

    async def test_new_connections_for_those_that_were_closed(self):
        await self.check_form(
            BODY_CLIENTS,
            client_crowds.bodies_in_pieces,
            PATH,
            MAX_BODY_BYTES,
            reconnects=3,
        )

    async def test_whole_bodies_at_once(self):
        await self.check_form(BODY_CLIENTS, completions_ahead, 900_000, 1)

    async def test_small_requests_sent_ahead(self):
        await self.check_form(10, completions_ahead, 2, 1000)

    async def test_larger_requests_sent_ahead(self):
        await self.check_form(20, completions_ahead, 200_000, 50)

    async def test_large_answers_never_read(self):
        while not await self.is_service_up():
            await asyncio.sleep(CALLER_PAUSE_S)
        keys = iter(range(BODY_CLIENTS))
        await self.check_form(BODY_CLIENTS, service_requests, keys)

    async def test_heads_without_end(self):
        await self.check_form(
            BODY_CLIENTS, client_crowds.endless_heads, PATH, 100
        )

    async def test_trailers_without_end(self):
        await self.check_form(
            BODY_CLIENTS, client_crowds.endless_trailers, PATH, 100
        )

    async def test_silence_on_many_connections(self):
        await self.check_form(CONNECTION_CLIENTS, client_crowds.silence)

    async def test_largest_request_in_calm(self):
        self.assertEqual(await self.call(largest_body()), 200)
        self.assert_alive()
        self.assert_within_limits()

    async def test_all_forms_at_once(self):
        crowds = [
            self.gather(self.port, 50, form, *args, reconnects=2)
            for form, *args in (
                (client_crowds.bodies, PATH, MAX_BODY_BYTES),
                (client_crowds.bodies_in_chunks, PATH, MAX_BODY_BYTES),
                (completions_ahead, 200_000, 10),
                (client_crowds.endless_heads, PATH, 100),
                (client_crowds.begun_heads, PATH),
                (client_crowds.silence,),
            )
        ]
        await self.check(*crowds)


class ControlCrowdTest(CrowdCase):
    path = "/v1/tables"

    async def asyncSetUp(self):
        with few_descriptors():
            cluster = builders.start_cluster(
                type(self), process_memory_mb=MEMORY_MB
            )
        self.addAsyncCleanup(
            asyncio.to_thread, local_cluster.stop_all, cluster
        )
        control = cluster.controls[0]
        self.url = f"http://{control.operator_address}/v1/status"
        await asyncio.to_thread(local_cluster.wait_for_http, self.url)
        self.port = int(control.operator_address.rpartition(":")[2])
        self.own_port = int(control.address.rpartition(":")[2])
        self.measure(cluster, control.replica_id, [self.port, self.own_port])

    async def call(self):
        async with open_session() as session, session.get(self.url) as resp:
            await resp.read()
            return resp.status

    async def check_form(self, count, form, *args):
        await self.check(self.gather(self.port, count, form, *args))

    async def test_bodies_short_of_their_end(self):
        await self.check_form(
            BODY_CLIENTS, client_crowds.bodies, self.path, MAX_BODY_BYTES
        )

    async def test_heads_without_end(self):
        await self.check_form(
            BODY_CLIENTS, client_crowds.endless_heads, self.path, 100
        )

    async def test_answers_never_read(self):
        await self.check_form(
            20, client_crowds.questions_ahead, "/v1/status", 500
        )

    async def test_silence_on_many_connections(self):
        await self.check_form(CONNECTION_CLIENTS, client_crowds.silence)

    async def test_frames_short_of_their_end(self):
        """The port for the system's own processes speaks ZeroMQ."""
        await self.check(
            self.gather(
                self.own_port,
                BODY_CLIENTS,
                client_crowds.frames,
                MAX_BODY_BYTES,
            )
        )
