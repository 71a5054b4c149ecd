"""Tests that every decoder either returns a value or raises its own error."""

import unittest

import hypothesis
import msgspec
import multidict
from hypothesis import strategies as st

from bilberryramp.decisions.fleet.core import keys
from bilberryramp.decisions.fleet.orders import agent
from bilberryramp.decisions.fleet.register import operator_calls
from bilberryramp.decisions.shared import errors
from bilberryramp.platform import (
    announcements,
    engine_orders,
    exchanges,
)
from bilberryramp.platform import operator_calls as calls_codec
from bilberryramp.platform.tests import builders
from bilberryramp.wire import codec, fleet_codec
from bilberryramp.wire import errors as wire_errors

NUMBERS = st.one_of(
    st.integers(), st.sampled_from([2**63, 2**70, -(2**70), 10**400])
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | NUMBERS
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
HEARTBEAT_FIELDS = (
    "service", "address", "zone", "slots", "state", "seq", "born", "models",
    "atHand", "remainingMs",
)  # fmt: skip
DEEP_JSON = b"[" * 100_000
HEADER_NUMBERS = st.one_of(
    st.text(),
    NUMBERS.map(str),
    st.sampled_from(
        ["inf", "-inf", "nan", "1e999", "-5", "1_0", "\u0661\u0662", "٣.٥"]
    ),
)
HEADER_TEXTS = st.one_of(
    st.text(), st.sampled_from(["\udcff", "m0/\udc80", "a:\udcff,b:1"])
)


def changed_heartbeats():
    """Bodies of heartbeats with one field replaced by any JSON value."""
    return st.builds(
        lambda field, value: builders.make_heartbeat_body(**{field: value}),
        st.sampled_from(HEARTBEAT_FIELDS),
        JSON_VALUES,
    )


def bodies():
    """Arbitrary bytes, JSON values and changed heartbeats."""
    return st.one_of(
        st.binary(),
        JSON_VALUES.map(lambda value: _encode_json(value)),
        changed_heartbeats(),
        st.just(DEEP_JSON),
    )


def _encode_json(value) -> bytes:
    try:
        return msgspec.json.encode(value)
    except (OverflowError, UnicodeEncodeError):
        return b'{"seq": 1e999}'


def encode_for_peers(message) -> None:
    """Encode a message as the gateway's task does, which must not fail."""
    fleet_codec.decode(fleet_codec.encode(message))


class DecoderTest(unittest.TestCase):
    @hypothesis.given(bodies())
    @hypothesis.example(b"[1]")
    def test_heartbeats_and_departures(self, body):
        """The departure ``[1]`` ended the process of the node."""
        last = announcements.decode_heartbeat(
            "u1", builders.make_heartbeat_body()
        )
        decoded = [
            announcements.decode_departure("u1", body, last),
            announcements.decode_departure("u1", body, None),
        ]
        try:
            decoded.append(announcements.decode_heartbeat("u1", body))
        except announcements.MalformedHeartbeatError:
            pass
        for announcement in decoded:
            if announcement is not None:
                encode_for_peers(operator_calls.Relay("n1", 0, announcement))

    @hypothesis.given(
        st.sampled_from(["/config/put", "/instances/u1/heartbeat", "/x"]),
        bodies(),
    )
    def test_operator_calls(self, path, body):
        calls_codec.decode("POST", path, body)

    @hypothesis.given(bodies())
    def test_engine_reports(self, body):
        report = engine_orders.decode_report(body)
        self.assertIsInstance(report, agent.EngineReport)

    @hypothesis.given(
        HEADER_NUMBERS, HEADER_NUMBERS, HEADER_TEXTS, HEADER_TEXTS
    )
    @hypothesis.example("inf", "1e30,1e30", "m0/\udcff", "\udcff:1e400")
    def test_request_headers(self, deadline, tokens, model, prefix):
        """Numbers beyond 64 bits could not be encoded in a load report."""
        headers = {
            "X-Bilberryramp-Deadline-Ms": deadline,
            "x-bilberryramp-token-count": f"{tokens},{tokens}",
            "x-bilberryramp-model": model,
            "x-bilberryramp-prompt-prefix": prefix,
        }
        req = exchanges.decode_request(
            "h", "/x", multidict.CIMultiDict(headers)
        )
        self.assertLess(req.client_timeout_ms, 2**40)
        if req.prompt is not None:
            keys.short_key(req.prompt.weights)
            for part in req.prompt.parts:
                keys.short_key(part.part_id)
                self.assertGreaterEqual(part.tokens, 0)
            msgspec.msgpack.encode(req.prompt.tokens_in)
            msgspec.msgpack.encode(req.prompt.weights)

    @hypothesis.given(
        st.one_of(
            st.binary(),
            JSON_VALUES.map(lambda value: _encode_msgpack(value)),
            st.just(b"\x91" * 100_000),
            st.just(b"\x92\xa6Report" + b"\x91" * 100_000),
        )
    )
    def test_peer_and_control_messages(self, data):
        for module in (fleet_codec, codec):
            try:
                module.decode(data)
            except (wire_errors.MalformedMessageError, errors.BilberryError):
                pass


def _encode_msgpack(value) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except (OverflowError, UnicodeEncodeError):
        return b"\xc0"


if __name__ == "__main__":
    unittest.main()
