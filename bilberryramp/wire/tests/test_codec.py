import random
import unittest

from bilberryramp.decisions.control import control_state
from bilberryramp.decisions.control import replication_messages as msgs
from bilberryramp.decisions.shared import commands, feed_messages
from bilberryramp.decisions.tests import builders
from bilberryramp.wire import codec


def samples():
    state = builders.control_state_after(
        commands.JoinUpstream(builders.upstream()),
        builders.submit(),
        commands.PlaceReplicas("u1", (builders.place(),)),
        commands.ReserveKey("k", "r", "f", 5, 10),
        commands.FinishKey("k", "r", True, builders.stored_answer()),
        commands.ReserveKey("k2", "r2", "f", 6, 10),
        commands.ReportStrike("f", "u1", "r.1", 5),
    )
    entry = control_state.Entry(1, 2, builders.submit())
    return (
        builders.dispatch(body=b"\x00\xff"),
        builders.refused_attempt("r1.1"),
        feed_messages.Delta("c1", 3, (entry,)),
        feed_messages.FullView("c1", state.view),
        msgs.InstallSnapshot("c1", 2, msgs.Snapshot(5, 1, state), 9),
        msgs.Propose("o", "a", commands.Noop()),
    )


class CodecTest(unittest.TestCase):
    def test_round_trip_preserves_every_message(self):
        for message in samples():
            data = codec.encode(message)
            self.assertEqual(codec.decode(data), message)

    def test_damaged_bytes_raise_only_malformed_message_error(self):
        rng = random.Random(5)
        for message in samples():
            data = codec.encode(message)
            for _ in range(300):
                bad = bytearray(data)
                for _ in range(rng.randrange(1, 4)):
                    bad[rng.randrange(len(bad))] = rng.randrange(256)
                cut = rng.randrange(1, len(bad) + 1)
                try:
                    codec.decode(bytes(bad[:cut]))
                except codec.MalformedMessageError:
                    pass

    def test_unregistered_class_is_refused(self):
        with self.assertRaises(codec.MalformedMessageError):
            codec.encode(random.Random())
