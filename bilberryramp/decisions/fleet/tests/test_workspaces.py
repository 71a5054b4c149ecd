"""Tests of which requests the keys of workspaces let a gateway send."""

import unittest

from bilberryramp.decisions.fleet.core import (
    calls,
    hosts,
    traces,
    workspaces,
)
from bilberryramp.decisions.fleet.routing import scheduling
from bilberryramp.decisions.fleet.tests import builders

NOW_MS = 10_000


def make_gateway(*rows, upstreams=("p1",), **changes):
    """Build a gateway whose document has workspaces."""
    doc = builders.make_document(workspaces=rows, **changes)
    announcements = [builders.make_plain_announcement(u) for u in upstreams]
    return builders.make_gateway(doc, announcements)


def submit(gw, key, call_id=1, path="/look/x"):
    request = builders.make_request(path, key=key)
    return builders.submit(gw, call_id, request)


class ArrivalTest(unittest.TestCase):
    def setUp(self):
        public = builders.make_route(
            "/open/", "plain", streaming=False, is_public=True
        )
        self.gw = make_gateway(
            builders.make_workspace("w1", ("key-1", "key-2"), urgency=0),
            builders.make_workspace("w2", ("key-3",)),
            routes=(
                builders.make_route("/look/", "plain", streaming=False),
                public,
            ),
        )

    def sent(self, key, path="/look/x"):
        (sent,) = builders.of_type(
            submit(self.gw, key, path=path), calls.SendCall
        )
        return sent

    def test_a_key_names_its_workspace(self):
        for key, name in (("key-1", "w1"), ("key-2", "w1"), ("key-3", "w2")):
            self.assertEqual(self.sent(key).workspace, name)

    def test_the_rank_of_a_workspace_precedes_that_of_the_route(self):
        self.assertEqual(self.sent("key-1").urgency, 0)
        self.assertEqual(self.sent("key-3").urgency, 1)

    def test_unknown_keys_are_refused_and_only_their_digest_is_logged(self):
        for key, cause in (("secret-9", "no_such_key"), ("", "no_key")):
            with self.subTest(key=key):
                effects = submit(self.gw, key)
                (refusal,) = builders.of_type(effects, calls.Refuse)
                self.assertEqual(
                    refusal,
                    calls.Refuse(1, calls.Refusal.UNKNOWN_KEY, 0),
                )
                self.assertFalse(builders.of_type(effects, calls.SendCall))
                (trace,) = builders.of_type(effects, traces.Trace)
                self.assertEqual(trace.fields["cause"], cause)
                digest = workspaces.digest(key)
                self.assertEqual(trace.fields["key_digest"], digest)
                self.assertNotIn("secret-9", repr(effects))
        self.assertFalse(self.gw.active)

    def test_a_public_route_needs_no_key_but_names_the_workspace(self):
        for key, name in (("", ""), ("other", ""), ("key-3", "w2")):
            self.assertEqual(self.sent(key, "/open/x").workspace, name)

    def test_a_document_without_workspaces_needs_no_key(self):
        self.gw = make_gateway()
        self.assertEqual(self.sent("key-1").workspace, "")

    def test_no_key_is_valid_if_no_workspace_has_one(self):
        self.gw = make_gateway(builders.make_workspace(keys=()))
        (refusal,) = builders.of_type(submit(self.gw, ""), calls.Refuse)
        self.assertIs(refusal.reason, calls.Refusal.UNKNOWN_KEY)

    def test_a_node_without_a_document_does_not_know_the_key(self):
        self.gw.doc = None
        (refusal,) = builders.of_type(submit(self.gw, "x"), calls.Refuse)
        self.assertIs(refusal.reason, calls.Refusal.NO_DOCUMENT)

    def test_the_queue_is_ordered_by_the_rank_of_the_workspace(self):
        doc = self.gw.doc
        ranks = []
        for call_id, workspace in enumerate((*doc.workspaces, None)):
            request = builders.make_request("/look/x")
            call = calls.Call(
                call_id, request, doc.routes[0], "plain", NOW_MS, NOW_MS + 900
            )
            call.workspace = workspace
            ranks.append(scheduling.queue_sort_key(call, NOW_MS)[1])
        self.assertEqual(ranks, [0, 1, 1])

    def test_secrets_are_not_represented(self):
        request = builders.make_request(key="secret-9")
        workspace = builders.make_workspace(keys=["secret-9"])
        index = hosts.build_index(
            builders.make_document(workspaces=[workspace])
        )
        self.assertNotIn("secret-9", repr((request, workspace, index)))


if __name__ == "__main__":
    unittest.main()
