import pathlib
import re
import unittest

import multidict

from bilberryramp.decisions.fleet.core import calls
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.decisions.fleet.register import operator_calls
from bilberryramp.platform import (
    announcements,
    engine_orders,
    exchanges,
    service_documents,
)
from bilberryramp.platform import operator_calls as platform_calls
from bilberryramp.platform.tests import builders

PACKAGE = pathlib.Path(__file__).parents[2]
# Names of the platform's wire format, which only its own folder may contain.
WIRE_NAMES = re.compile(
    r"x-bilberryramp|pathPrefix|latencyTargetMs|heartbeatMs|coldLeftMs"
    r"|atHand|dataDir|internalPorts|/config/|/instances/|deregister"
    r"|adapterSlots|kvCapacity|graceS|budgetSlack",
    re.IGNORECASE,
)


def count_lines(path):
    return len(path.read_text(encoding="utf-8").splitlines())


class FolderTest(unittest.TestCase):
    def test_wire_names_occur_only_in_the_platform_folder(self):
        for path in PACKAGE.rglob("*.py"):
            if "platform" in path.parts:
                continue
            match = WIRE_NAMES.search(path.read_text(encoding="utf-8"))
            self.assertIsNone(match, f"{path.name}: {match}")

    def test_platform_is_less_than_an_eighth_of_the_code(self):
        all_files = [
            p for p in PACKAGE.rglob("*.py") if "tests" not in p.parts
        ]
        platform_files = [p for p in all_files if "platform" in p.parts]
        self.assertLess(
            8 * sum(map(count_lines, platform_files)),
            sum(map(count_lines, all_files)),
        )


class DocumentTest(unittest.TestCase):
    def test_decodes_each_kind_of_route_and_service(self):
        doc = service_documents.decode(builders.make_document_body())
        stream, upload, lookup = doc.routes
        self.assertTrue(stream.streaming and not stream.repeatable)
        self.assertFalse(upload.repeatable or upload.streaming)
        self.assertTrue(lookup.repeatable)
        self.assertEqual(lookup.max_attempts, 2)
        self.assertEqual(doc.services["svc-llm"].engine.kv_tokens, 100_000)
        self.assertEqual(doc.services["svc-llm"].engine.stride, 4)
        self.assertIsNone(doc.services["svc-app"].engine)

    def test_rejects_invalid_documents(self):
        unknown_service = builders.make_route_fields(service="nobody")
        repeated_routes = [
            builders.make_route_fields(),
            builders.make_route_fields(),
        ]
        zero_weight = [{"service": "svc-app", "weight": 0}]
        no_weight = builders.make_route_fields(split=zero_weight)
        no_timeout = builders.make_route_fields(timeoutMs=0)
        invalid_bodies = {
            "unknown service": builders.make_document_body(
                routes=[unknown_service]
            ),
            "repeated host and prefix": builders.make_document_body(
                routes=repeated_routes
            ),
            "no weight": builders.make_document_body(routes=[no_weight]),
            "no timeout": builders.make_document_body(routes=[no_timeout]),
            "truncated": builders.make_document_body()[:-20],
            "no version": builders.make_document_body(version=None),
            "not an object": b"[]",
        }
        for name, body in invalid_bodies.items():
            with self.subTest(name):
                call = platform_calls.decode("POST", "/config/put", body)
                self.assertIsInstance(call, operator_calls.MalformedCall)

    def test_decodes_calls_by_method_and_path(self):
        call_types = {
            ("GET", "/config/get"): operator_calls.ReadDocument,
            (
                "POST",
                "/instances/i-1/deregister",
            ): operator_calls.Departure,
            ("GET", "/other"): type(None),
        }
        for (method, path), call_type in call_types.items():
            self.assertIsInstance(
                platform_calls.decode(method, path, b""), call_type
            )


class HeartbeatTest(unittest.TestCase):
    def test_decodes_heartbeat(self):
        announcement = announcements.decode_heartbeat(
            "i-1", builders.make_heartbeat_body()
        )
        self.assertEqual(
            (announcement.upstream_id, announcement.seq), ("i-1", 4)
        )
        self.assertEqual(announcement.held[0].adapters, ("a1",))
        self.assertEqual(announcement.copies, ("m1", "m2"))

    def test_rejects_malformed_heartbeats(self):
        invalid_bodies = (
            b"{",
            builders.make_heartbeat_body(state="odd"),
            builders.make_heartbeat_body(seq="4"),
            builders.make_heartbeat_body(address=None),
            builders.make_heartbeat_body(models=[3]),
        )
        for body in invalid_bodies:
            with self.assertRaises(announcements.MalformedHeartbeatError):
                announcements.decode_heartbeat("i-1", body)

    def test_rejects_addresses_that_no_upstream_can_have(self):
        """Sound requests were sent there and answered 500 or 502."""
        addresses = (
            *("127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "", ":80"),
            *("127.0.0.1", "127.0.0.1: 80", "127.0.0.1 :80", "a" * 300),
            *("127.0.0.1:\uff18\uff10", "127.0.0.1:+80", "127.0.0.1:8_0"),
            *("engine.example:80", "127.0.0.1:80/x", "127.1:80", "::1:80"),
        )
        for address in addresses:
            body = builders.make_heartbeat_body(address=address)
            with (
                self.subTest(address=address),
                self.assertRaises(announcements.MalformedHeartbeatError),
            ):
                announcements.decode_heartbeat("i-1", body)

    def test_departure_without_body_uses_last_announcement(self):
        last = announcements.decode_heartbeat(
            "i-1", builders.make_heartbeat_body()
        )
        gone = announcements.decode_departure("i-1", b"", last)
        self.assertTrue(gone.gone and gone.leaving)
        self.assertIsNone(announcements.decode_departure("i-2", b"", None))


class ExchangeTest(unittest.TestCase):
    def test_decodes_prompt_from_headers(self):
        headers = {
            "X-Bilberryramp-Request-Id": "q1",
            "x-bilberryramp-model": "m0/a1",
            "x-bilberryramp-token-count": "150,20",
            "x-bilberryramp-prompt-prefix": "aa:100,bb:50",
            "X-Bilberryramp-Deadline-Ms": "900",
        }
        req = exchanges.decode_request(
            "h.example:80", "/talk/x", multidict.CIMultiDict(headers)
        )
        self.assertEqual((req.host, req.client_timeout_ms), ("h.example", 900))
        self.assertEqual(req.prompt.weights, "m0/a1")
        self.assertEqual([p.tokens for p in req.prompt.parts], [100, 50])

    def test_removes_reserved_headers_sent_by_clients(self):
        send_call = calls.SendCall(1, "i-1", "x:1", 700, 2, 1)
        raw = [
            (b"X-Bilberryramp-Hold", b"h"),
            (b"x-bilberryramp-pin-ms", b"9"),
            (b"Kv-From", b"x:1/3"),
            (b"X-Bilberryramp-Kv-Backup", b"x:1"),
            (b"X-Bilberryramp-Deadline-Ms", b"99999"),
            (b"Connection", b"keep-alive"),
            (b"X-Other", b"kept"),
        ]
        sent_headers = exchanges.upstream_request_headers(raw, send_call)
        sent_headers.append(exchanges.deadline_header(700))
        self.assertEqual(len(sent_headers), 4)
        self.assertEqual(
            dict(sent_headers),
            {
                "X-Other": "kept",
                "X-Bilberryramp-Deadline-Ms": "700",
                "X-Bilberryramp-Expected-Instance": "i-1",
                "X-Bilberryramp-Request-Priority": "2",
            },
        )

    def test_only_a_header_or_status_421_means_not_run(self):
        run_states = exchanges.RunState
        not_executed = {"X-Bilberryramp-Not-Executed": "1"}
        self.assertIs(exchanges.decode_run_state(503, {}), run_states.RAN)
        self.assertIs(
            exchanges.decode_run_state(503, not_executed), run_states.NOT_RUN
        )
        self.assertIs(
            exchanges.decode_run_state(421, {}), run_states.TARGET_MISSING
        )
        for status in (200, 302, 404, 408, 500, 502, 504):
            self.assertIs(
                exchanges.decode_run_state(status, not_executed),
                run_states.RAN,
            )


class OrderTest(unittest.TestCase):
    def test_decodes_resident_and_loading_models_of_a_report(self):
        body = (
            b'{"stage":"both","models":[{"name":"m0","version":1,'
            b'"adapters":["a1"]}],"busy":false,"seq":5,"coming":["m0/a2@1"]}'
        )
        report = engine_orders.decode_report(body)
        self.assertEqual(report.order_count, 5)
        self.assertEqual(report.loading, (("m0", "a2"),))
        self.assertEqual(engine_orders.decode_report(b"no").order_count, -1)

    def test_outcome_of_an_order_is_unknown_after_5xx(self):
        self.assertEqual(
            engine_orders.decode_answer(500), agent.OrderAnswer.NONE
        )
        self.assertEqual(
            engine_orders.decode_answer(412), agent.OrderAnswer.FENCED
        )
