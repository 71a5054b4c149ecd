import dataclasses
import unittest

import msgspec

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.register import register_messages
from bilberryramp.wire import errors, fleet_codec

BODY = (
    b'{"routes": [' + b'{"name": "r-1", "host": "a.example"}, ' * 400 + b"]}"
)


class FleetCodecTest(unittest.TestCase):
    def test_small_message_round_trip_is_not_compressed(self):
        keepalive = presence.Keepalive("u1", 1000, 7)
        data = fleet_codec.encode(keepalive)
        self.assertEqual(fleet_codec.decode(data), keepalive)
        self.assertLess(len(data), 40)

    def test_large_document_is_compressed(self):
        """Each change sends the whole document to every node."""
        document = register_messages.CommittedDocument(4, BODY)
        data = fleet_codec.encode(document)
        self.assertLess(len(data), len(BODY) / 8)
        self.assertEqual(fleet_codec.decode(data), document)

    def test_document_of_an_earlier_version_names_no_record(self):
        fields = {"version": 4, "body": BODY}
        data = msgspec.msgpack.encode(("Settled", fields))
        self.assertEqual(
            fleet_codec.decode(data),
            register_messages.CommittedDocument(4, BODY, (-1, -1)),
        )

    def test_leader_heartbeat_of_an_earlier_version_states_no_size(self):
        fields = {
            "sender": {"address": "n1", "store_id": "s1"},
            "term": 3,
            "last": (3, 1),
            "committed": (3, 1),
            "record": None,
            "sent_ms": 7,
            "echo": 9,
        }
        data = msgspec.msgpack.encode(("Append", fields))
        message = fleet_codec.decode(data)
        self.assertEqual((message.fleet_size, message.counted_ms), (0, 0))
        stated = dataclasses.replace(message, fleet_size=4, counted_ms=5)
        self.assertEqual(
            fleet_codec.decode(fleet_codec.encode(stated)), stated
        )

    def test_damaged_bytes_raise_malformed_message_error(self):
        data = fleet_codec.encode(register_messages.CommittedDocument(4, BODY))
        for damaged in (data[:-5], data[:1], b"\xc1nonsense", b"", b"\x93a"):
            with self.assertRaises(errors.MalformedMessageError):
                fleet_codec.decode(damaged)


if __name__ == "__main__":
    unittest.main()
