import pathlib
import re
import unittest

from bilberryramp.decisions.fleet import agent, calls, operator_calls
from bilberryramp.platform import (
    announcements,
    engine_orders,
    exchanges,
    service_documents,
)
from bilberryramp.platform import operator_calls as wire
from bilberryramp.platform.tests import builders

PACKAGE = pathlib.Path(__file__).parents[2]
# Names of the platform's wire that mean nothing elsewhere.
WIRE_NAMES = re.compile(
    r"x-bilberryramp|pathPrefix|latencyTargetMs|heartbeatMs|coldLeftMs"
    r"|atHand|dataDir|internalPorts|/config/|/instances/|deregister"
    r"|adapterSlots|kvCapacity|graceS|budgetSlack",
    re.IGNORECASE,
)


def lines(path):
    return len(path.read_text(encoding="utf-8").splitlines())


class FolderTest(unittest.TestCase):
    def test_no_name_of_the_platform_appears_outside(self):
        for path in PACKAGE.rglob("*.py"):
            if "platform" in path.parts:
                continue
            found = WIRE_NAMES.search(path.read_text(encoding="utf-8"))
            self.assertIsNone(found, f"{path.name}: {found}")

    def test_the_folder_stays_under_an_eighth_of_the_code(self):
        every = [p for p in PACKAGE.rglob("*.py") if "tests" not in p.parts]
        own = [p for p in every if "platform" in p.parts]
        self.assertLess(8 * sum(map(lines, own)), sum(map(lines, every)))


class DocumentTest(unittest.TestCase):
    def test_a_configuration_is_decoded(self):
        doc = service_documents.decode(builders.make_document_body())
        talk, filing, look = doc.routes
        self.assertTrue(talk.streaming and not talk.repeatable)
        self.assertFalse(filing.repeatable or filing.streaming)
        self.assertTrue(look.repeatable)
        self.assertEqual(look.max_attempts, 2)
        self.assertEqual(doc.services["svc-llm"].engine.kv_tokens, 100_000)
        self.assertIsNone(doc.services["svc-app"].engine)

    def test_invalid_configurations_are_refused(self):
        unknown = builders.make_route_fields(service="nobody")
        same = [builders.make_route_fields(), builders.make_route_fields()]
        weights = [{"service": "svc-app", "weight": 0}]
        no_weight = builders.make_route_fields(split=weights)
        no_time = builders.make_route_fields(timeoutMs=0)
        bad = {
            "unknown service": builders.make_document_body(routes=[unknown]),
            "same place": builders.make_document_body(routes=same),
            "no weight": builders.make_document_body(routes=[no_weight]),
            "no time": builders.make_document_body(routes=[no_time]),
            "cut short": builders.make_document_body()[:-20],
            "no version": builders.make_document_body(version=None),
            "not an object": b"[]",
        }
        for name, body in bad.items():
            with self.subTest(name):
                call = wire.decode("POST", "/config/put", body)
                self.assertIsInstance(call, operator_calls.MalformedCall)

    def test_calls_are_told_apart(self):
        kinds = {
            ("GET", "/config/get"): operator_calls.ReadDocument,
            (
                "POST",
                "/instances/i-1/deregister",
            ): operator_calls.Departure,
            ("GET", "/other"): type(None),
        }
        for (method, path), kind in kinds.items():
            self.assertIsInstance(wire.decode(method, path, b""), kind)


class HeartbeatTest(unittest.TestCase):
    def test_a_heartbeat_is_decoded(self):
        announcement = announcements.decode_heartbeat(
            "i-1", builders.make_heartbeat_body()
        )
        self.assertEqual(
            (announcement.upstream_id, announcement.seq), ("i-1", 4)
        )
        self.assertEqual(announcement.held[0].adapters, ("a1",))
        self.assertEqual(announcement.copies, ("m1", "m2"))

    def test_one_that_cannot_be_read_names_no_upstream(self):
        bad = (
            b"{",
            builders.make_heartbeat_body(state="odd"),
            builders.make_heartbeat_body(seq="4"),
            builders.make_heartbeat_body(address=None),
            builders.make_heartbeat_body(models=[3]),
        )
        for body in bad:
            with self.assertRaises(announcements.MalformedHeartbeatError):
                announcements.decode_heartbeat("i-1", body)

    def test_a_farewell_without_a_body_uses_what_is_known(self):
        last = announcements.decode_heartbeat(
            "i-1", builders.make_heartbeat_body()
        )
        gone = announcements.decode_departure("i-1", b"", last)
        self.assertTrue(gone.gone and gone.leaving)
        self.assertIsNone(announcements.decode_departure("i-2", b"", None))


class ExchangeTest(unittest.TestCase):
    def test_a_prompt_is_read_from_its_headers(self):
        headers = {
            "X-Bilberryramp-Request-Id": "q1",
            "x-bilberryramp-model": "m0/a1",
            "x-bilberryramp-token-count": "150,20",
            "x-bilberryramp-prompt-prefix": "aa:100,bb:50",
            "X-Bilberryramp-Deadline-Ms": "900",
        }
        req = exchanges.decode_request("h.example:80", "/talk/x", headers)
        self.assertEqual((req.host, req.client_timeout_ms), ("h.example", 900))
        self.assertEqual(req.prompt.weights, "m0/a1")
        self.assertEqual([p.tokens for p in req.prompt.parts], [100, 50])

    def test_only_the_system_sets_its_own_headers(self):
        sending = calls.SendCall(1, "i-1", "x:1", 700, 2, 1)
        raw = [
            (b"X-Bilberryramp-Hold", b"h"),
            (b"x-bilberryramp-pin-ms", b"9"),
            (b"Kv-From", b"x:1/3"),
            (b"X-Bilberryramp-Kv-Backup", b"x:1"),
            (b"X-Bilberryramp-Deadline-Ms", b"99999"),
            (b"Connection", b"keep-alive"),
            (b"X-Other", b"kept"),
        ]
        made = dict(exchanges.upstream_request_headers(raw, sending))
        self.assertEqual(
            made,
            {
                "X-Other": "kept",
                "X-Bilberryramp-Deadline-Ms": "700",
                "X-Bilberryramp-Expected-Instance": "i-1",
                "X-Bilberryramp-Request-Priority": "2",
            },
        )

    def test_only_a_header_or_421_says_not_run(self):
        states = exchanges.RunState
        mark = {"X-Bilberryramp-Not-Executed": "1"}
        self.assertIs(exchanges.decode_run_state(503, {}), states.RAN)
        self.assertIs(exchanges.decode_run_state(503, mark), states.NOT_RUN)
        self.assertIs(
            exchanges.decode_run_state(421, {}), states.TARGET_MISSING
        )


class OrderTest(unittest.TestCase):
    def test_a_report_tells_what_is_held_and_coming(self):
        body = (
            b'{"stage":"both","models":[{"name":"m0","version":1,'
            b'"adapters":["a1"]}],"busy":false,"seq":5,"coming":["m0/a2@1"]}'
        )
        found = engine_orders.decode_report(body)
        self.assertEqual(found.order_count, 5)
        self.assertEqual(found.loading, (("m0", "a2"),))
        self.assertEqual(engine_orders.decode_report(b"no").order_count, -1)

    def test_an_order_that_got_a_5xx_may_have_been_taken(self):
        self.assertEqual(
            engine_orders.decode_answer(500), agent.OrderAnswer.NONE
        )
        self.assertEqual(
            engine_orders.decode_answer(412), agent.OrderAnswer.FENCED
        )
