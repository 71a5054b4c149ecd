"""Tests of upstreams whose answers begin with a head that is no head."""

import asyncio
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from bilberryramp.decisions.fleet.gateway import gateway
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.platform import engine_orders as order_wire
from bilberryramp.platform.tests import builders
from bilberryramp.tasks import (
    client_requests,
    engine_orders,
    fleet_frontend,
    upstream_exchange,
)
from bilberryramp.tasks.tests import builders as task_builders

# Characters that a faulty upstream writes in place of one of its head.
SPOILING_BYTES = (b"\x00", b"\x01", b"\t", b"\n", b"\r", b" ", b"*", b"\xff")
# Statuses that are none of a final answer, or are not written with three
# digits.
ODD_STATUSES = ("000", "099", "101", "600", "999", "0200", "1200", "+20")
# Heads with fields that are valid to some parsers only.
ODD_FIELDS = (
    {"Content_Type": "text/event-stream;e*"},
    {"Content_Type": "text/event-stream; =;"},
    {"Content_Type": ";"},
    {"Set_Cookie": "a\x01=b; Max-Age=\x02"},
    {"Set_Cookie": "=;=;expires=x"},
    {"Connection": "\x01close"},
    {"Keep_Alive": "timeout=\x01"},
    {"Upgrade": "\x01"},
    {"Retry_After": "\x01"},
    {"X Name": "with a space"},
)
ANSWERS = (builders.platform_answer, builders.platform_stream)
TEST_TIMEOUT_S = 60


class HeadTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, answer, fault="close_after"):
        server = await task_builders.start_faulty_server(self, answer)
        server.fault = fault
        self.front, self.port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        return server

    async def ask(self, request_id):
        """Return the status, the body and whether the answer is complete."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            received = await builders.exchange_bytes(self.port, request_id)
        return builders.parse_answer(received)

    async def until_no_call_is_held(self):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not gateway.is_idle(self.front.gateway.gw):
                await asyncio.sleep(0.01)

    async def test_no_byte_of_a_head_leads_to_bytes_that_are_no_answer(self):
        """A client read a 500 with a length whose body came in chunks."""
        for make_answer in ANSWERS:
            spoilt = [b""]
            await self.start(lambda _request, spoilt=spoilt: spoilt[0])
            request = task_builders.faulty_server.Request(
                "", {"x-bilberryramp-request-id": "q1"}, b"q1"
            )
            whole = make_answer(request)
            head_bytes = whole.index(b"\r\n\r\n") + 4
            for position in range(head_bytes):
                for byte in SPOILING_BYTES:
                    spoilt[0] = whole[:position] + byte + whole[position + 1 :]
                    with self.subTest(position=position, byte=byte):
                        status, _, _ = await self.ask("q1")
                        self.assertIn(status, (200, 502, 503))
                    forget_failures(self.front)
            await self.until_no_call_is_held()
            spoilt[0] = whole
            self.assertEqual((await self.ask("q1"))[0], 200)

    async def test_odd_fields_lead_to_an_answer_or_none(self):
        """They raised in the relay, which kept its place at the upstream."""
        for make_answer in ANSWERS:
            for fields in ODD_FIELDS:

                def answer(request, make=make_answer, fields=fields):
                    line, _, rest = make(request).partition(b"\r\n")
                    rows = "".join(
                        f"{name.replace('_', '-')}: {value}\r\n"
                        for name, value in fields.items()
                    )
                    return line + b"\r\n" + rows.encode() + rest

                await self.start(answer)
                with self.subTest(answer=make_answer.__name__, fields=fields):
                    status, body, is_complete = await self.ask("q1")
                    self.assertIn(status, (200, 502))
                    # A plain body that is declared as a stream is cut off,
                    # because it does not end with an event.
                    is_cut = body == b"q1" and "event" in str(fields)
                    self.assertEqual(is_complete, not is_cut)
                    await self.until_no_call_is_held()

    async def test_odd_statuses_are_no_answers(self):
        """A client got an answer with the status 000."""
        for make_answer in ANSWERS:
            for odd in ODD_STATUSES:

                def answer(request, make=make_answer, odd=odd):
                    return make(request).replace(b"200 OK", odd.encode(), 1)

                for fault in ("none", "close_after", "unframed_close"):
                    await self.start(answer, fault)
                    with self.subTest(odd=odd, fault=fault):
                        self.assertEqual((await self.ask("q1"))[0], 502)
                        await self.until_no_call_is_held()

    async def test_a_repeatable_request_goes_on_after_an_odd_status(self):
        def answer(request):
            whole = builders.platform_answer(request)
            return whole.replace(b"200 OK", b"000 OK", 1)

        faulty = await task_builders.start_faulty_server(self, answer)
        sound = await task_builders.start_faulty_server(
            self, builders.platform_answer
        )
        self.front, port = await builders.start_frontend(
            self, [f"127.0.0.1:{s.port}" for s in (faulty, sound)]
        )
        for number in range(10):
            received = await builders.exchange_bytes(
                port, f"q{number}", "/again/x"
            )
            self.assertEqual(builders.parse_answer(received)[0], 200)

    async def test_orders_and_reports_with_odd_statuses_have_no_answer(self):
        session = engine_orders.open_session()
        self.addAsyncCleanup(session.close)
        start_call = engine_orders.make_engine_caller(
            session, order_wire, "n1"
        )
        report = b'{"stage":"on","models":[],"busy":false,"seq":3}'
        order = agent.SendOrder("u1", True, "m1", "", 1, 0)
        for call in (order, agent.ReadEngine(0)):
            for odd in ODD_STATUSES:
                server = await task_builders.start_faulty_server(
                    self,
                    lambda _request, odd=odd: task_builders.answer_bytes(
                        report, odd
                    ),
                )
                fut = asyncio.get_running_loop().create_future()
                start_call(f"127.0.0.1:{server.port}", call, fut.set_result)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    ended = await fut
                with self.subTest(call=call, odd=odd):
                    if isinstance(ended, agent.OrderEnded):
                        self.assertIs(ended.answer, agent.OrderAnswer.NONE)
                    else:
                        self.assertEqual(ended, agent.EngineReport(-1))


def forget_failures(front):
    """Let the upstream of a front end be asked again at once."""
    front.gateway.gw.upstream_health.clear()


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a relay that raises what nothing expects."""

    async def ask_raising(self, answer, owner, name, turn):
        """Let the call number `turn` of a function raise; return what came."""
        server = await task_builders.start_faulty_server(self, answer)
        front, port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        original, calls = getattr(owner, name), [0]

        async def maybe_raise(*args, **kwargs):
            calls[0] += 1
            if calls[0] == turn:
                raise RuntimeError("unexpected")
            return await original(*args, **kwargs)

        with mock.patch.object(owner, name, maybe_raise):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                received = await builders.exchange_bytes(port, "q1")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not gateway.is_idle(front.gateway.gw):
                await asyncio.sleep(0.01)
        return calls[0], received

    async def test_a_relay_that_raises_gives_its_place_back(self):
        """An exception left the call, and its place, behind for good."""
        raising = (
            (upstream_exchange, "send_request", 1),
            (upstream_exchange, "read_answer", 1),
            (upstream_exchange, "read_chunk", 1),
            (upstream_exchange, "read_chunk", 2),
            (client_requests, "keep_answer", 1),
            (web.StreamResponse, "prepare", 1),
            (web.StreamResponse, "write", 1),
            (web.StreamResponse, "write_eof", 1),
            (fleet_frontend, "_run_attempt", 1),
        )
        for answer in ANSWERS:
            for owner, name, turn in raising:
                with self.subTest(answer=answer.__name__, name=name):
                    calls, received = await self.ask_raising(
                        answer, owner, name, turn
                    )
                    status, body, is_complete = builders.parse_answer(received)
                    if calls >= turn and is_complete:
                        self.assertIn(status, (500, 502))

    async def test_a_client_that_leaves_leaves_nothing_behind(self):
        """A write to a closing connection kept the call for good."""
        server = await task_builders.start_faulty_server(
            self, builders.platform_stream
        )
        front, port = await builders.start_frontend(
            self, [f"127.0.0.1:{server.port}"]
        )
        gone = aiohttp.ClientConnectionResetError("Cannot write")
        with mock.patch.object(web.StreamResponse, "write", side_effect=gone):
            received = await builders.exchange_bytes(port, "q1")
        self.assertFalse(builders.parse_answer(received)[2])
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not gateway.is_idle(front.gateway.gw):
                await asyncio.sleep(0.01)


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Tests of upstreams that answer before they have read the request."""

    async def test_a_part_of_an_early_answer_is_no_complete_one(self):
        """Clients of other systems got such a part as a complete answer."""
        upload = b"x" * 3_000_000
        for make_answer in ANSWERS:
            for fault in (
                "unframed_reset",
                "unframed_reset_at_once",
                "unframed_reset_amid",
                "unframed_unread_close",
            ):
                server = await task_builders.start_faulty_server(
                    self, make_answer
                )
                server.answers_early = True
                server.fault = fault
                _, port = await builders.start_frontend(
                    self, [f"127.0.0.1:{server.port}"]
                )
                for in_chunks in (False, True):
                    with self.subTest(
                        answer=make_answer.__name__,
                        fault=fault,
                        in_chunks=in_chunks,
                    ):
                        received = await builders.upload_bytes(
                            port, "q1", upload, in_chunks
                        )
                        status, _, is_complete = builders.parse_answer(
                            received
                        )
                        if status == 200:
                            self.assertFalse(is_complete)


if __name__ == "__main__":
    unittest.main()
