"""Tests of the document that a node of the register puts in force."""

import random
import unittest

from bilberryramp.decisions.fleet.register import register, register_messages
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.shared import effects

NOW_MS = 50_000
MEMBERS = tuple(
    register_messages.Member(name, register.GENESIS)
    for name in ("v1", "v2", "v3")
)
# Record of the old leader, which no other node has, and record that the
# others committed with other content under the same version.
OWN = register_messages.Record(1, 7, MEMBERS, (), 20, b"own")
COMMITTED = register_messages.Record(2, 8, MEMBERS, (), 20, b"committed")


def make_node(settled=None, record=OWN):
    """Build the node ``v1`` from its store."""
    stored = register_messages.PersistentState(
        register.GENESIS, 1, "", record, settled
    )
    return register.new_node(
        builders.make_peer("v1"),
        (),
        builders.bind_chart("member", register),
        random.Random(1),
        NOW_MS,
        stored,
    )


def append(record=None):
    """Build a heartbeat of the new leader, with its record or without."""
    last = (COMMITTED.term, COMMITTED.seq)
    return register_messages.Append(
        MEMBERS[1], COMMITTED.term, last, last, record, NOW_MS
    )


def step(node, message):
    """Handle a message and return the effects as a list."""
    return builders.collect(register.step(node, NOW_MS + 10, message))


def in_force(effects_):
    """Return the contents of the documents that came into force."""
    return [e.body for e in builders.of_type(effects_, register.Committed)]


def told_to_starting_node(node):
    """Return the documents sent to a node that has none."""
    heartbeat = register_messages.PeerHeartbeat(
        builders.make_peer("x1"), (), -1
    )
    return [
        e.message.body
        for e in builders.of_type(step(node, heartbeat), effects.Send)
        if isinstance(e.message, register_messages.CommittedDocument)
    ]


class UncommittedRecordTest(unittest.TestCase):
    # Guards against a node that led, was cut off, and then obeyed, stored and
    # passed on its own record, which was never committed.

    def test_a_later_commit_does_not_put_an_older_record_in_force(self):
        node = make_node()
        effects_ = step(node, append())
        self.assertEqual(in_force(effects_), [])
        for persist in builders.of_type(effects_, register.Persist):
            self.assertIsNone(persist.stored.settled)
        self.assertEqual(told_to_starting_node(node), [])

    def test_the_committed_record_is_put_in_force_when_it_arrives(self):
        node = make_node()
        step(node, append())
        effects_ = step(node, append(COMMITTED))
        self.assertEqual(in_force(effects_), [b"committed"])
        persisted = builders.of_type(effects_, register.Persist)
        self.assertEqual(
            persisted[-1].stored.settled,
            register_messages.CommittedDocument(20, b"committed", (2, 8)),
        )
        self.assertEqual(told_to_starting_node(node), [b"committed"])


class UnprovedDocumentTest(unittest.TestCase):
    # Guards against the documents that earlier versions stored or passed on
    # although they were never committed.

    def test_a_stored_document_without_its_record_is_not_put_in_force(self):
        settled = register_messages.CommittedDocument(20, b"own")
        node = make_node(settled, COMMITTED)
        self.assertEqual(in_force(step(node, register.Tick())), [])
        self.assertEqual(told_to_starting_node(node), [])
        self.assertEqual(in_force(step(node, append())), [b"committed"])

    def test_a_received_document_without_its_record_is_ignored(self):
        document = register_messages.CommittedDocument(20, b"own")
        node = make_node()
        self.assertEqual(in_force(step(node, document)), [])
        effects_ = step(node, append(COMMITTED))
        self.assertEqual(in_force(effects_), [b"committed"])

    def test_a_stored_document_with_its_record_is_put_in_force(self):
        settled = register_messages.CommittedDocument(19, b"old", (1, 6))
        node = make_node(settled)
        self.assertEqual(in_force(step(node, register.Tick())), [b"old"])


if __name__ == "__main__":
    unittest.main()
