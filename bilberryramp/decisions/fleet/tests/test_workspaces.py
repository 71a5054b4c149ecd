"""Tests of which requests the keys of workspaces let a gateway send."""

import unittest

from bilberryramp.decisions.fleet.core import (
    calls,
    hosts,
    traces,
    workspaces,
)
from bilberryramp.decisions.fleet.gateway import gateway, gateway_state
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


class VersionTest(unittest.TestCase):
    """Tests of documents that change keys while calls are active."""

    def setUp(self):
        self.workspace = builders.make_workspace("w1", ("key-1",))

    def start(self, *upstreams):
        """Submit a call, which waits unless there is an upstream."""
        self.gw = make_gateway(self.workspace, upstreams=upstreams)
        return submit(self.gw, "key-1")

    def step(self, message):
        return builders.collect(gateway.step(self.gw, NOW_MS + 20, message))

    def apply(self, *rows, version=2):
        doc = builders.make_document(version, workspaces=rows)
        return self.step(gateway.DocumentInForce(doc))

    def announce(self, upstream_id="p1"):
        return self.step(builders.make_plain_announcement(upstream_id))

    def refusal(self, effects):
        (refusal,) = builders.of_type(effects, calls.Refuse)
        self.assertFalse(builders.of_type(effects, calls.SendCall))
        self.assertFalse(self.gw.active)
        return refusal.reason, refusal.retry_after_ms

    def test_a_waiting_call_without_its_key_is_refused_at_once(self):
        self.start()
        effects = self.apply(builders.make_workspace("w1", ("key-2",)))
        self.assertEqual(self.refusal(effects), (calls.Refusal.UNKNOWN_KEY, 0))
        causes = {
            trace.name: trace.fields.get("cause")
            for trace in builders.of_type(effects, traces.Trace)
        }
        self.assertEqual(
            causes, {"call.judged_anew": None, "call.refused": "key_removed"}
        )

    def test_a_waiting_call_goes_with_its_key_to_another_workspace(self):
        self.start()
        self.apply(builders.make_workspace("w2", ("key-1",), urgency=0))
        (sent,) = builders.of_type(self.announce(), calls.SendCall)
        self.assertEqual((sent.workspace, sent.urgency), ("w2", 0))

    def test_an_older_document_takes_no_key(self):
        self.start()
        self.assertFalse(self.apply(version=0))
        (sent,) = builders.of_type(self.announce(), calls.SendCall)
        self.assertEqual(sent.workspace, "w1")

    def test_a_call_under_way_ends_as_its_upstream_was_told(self):
        for rows in ((builders.make_workspace("w2", ("key-1",)),), ()):
            self.start("p1")
            self.assertFalse(self.apply(*rows))
            self.assertEqual(self.gw.active[1].workspace.name, "w1")
            delivered = calls.AttemptOutcome.DELIVERED
            effects = self.step(calls.AttemptEnded(1, delivered))
            self.assertFalse(builders.of_type(effects, calls.Refuse))
            self.assertFalse(self.gw.active)

    def test_a_retry_without_its_key_is_not_sent(self):
        """Only a call that no upstream can have run may get a refusal."""
        for outcome, kind in (
            (calls.AttemptOutcome.FAILED, calls.ForwardFailure),
            (calls.AttemptOutcome.BROKEN, calls.Fail),
            (calls.AttemptOutcome.NOT_RUN, calls.Refuse),
            (calls.AttemptOutcome.UNREACHABLE, calls.Refuse),
            (calls.AttemptOutcome.WITHHELD, calls.Refuse),
        ):
            with self.subTest(outcome=outcome):
                self.start("p1", "p2")
                self.apply(builders.make_workspace(keys=()))
                effects = self.step(calls.AttemptEnded(1, outcome))
                self.assertFalse(builders.of_type(effects, calls.SendCall))
                (end,) = builders.of_type(effects, kind)
                if kind is calls.Refuse:
                    self.assertIs(end.reason, calls.Refusal.UNKNOWN_KEY)
                self.assertFalse(self.gw.active)

    def test_a_withheld_call_without_its_key_does_not_wait_behind_others(self):
        self.workspace = builders.make_workspace("w1", ("key-1", "key-2"))
        self.start("p1")
        self.apply(builders.make_workspace("w1", ("key-2",)))
        self.step(builders.make_plain_announcement("p1", seq=2, leaving=True))
        submit(self.gw, "key-2", call_id=2)
        withheld = calls.AttemptOutcome.WITHHELD
        effects = self.step(calls.AttemptEnded(1, withheld))
        (refusal,) = builders.of_type(effects, calls.Refuse)
        self.assertEqual(
            (refusal.call_id, refusal.reason), (1, calls.Refusal.UNKNOWN_KEY)
        )
        self.assertEqual(list(self.gw.queue), [2])

    def test_a_retry_names_the_workspace_that_has_the_key_now(self):
        self.start("p1", "p2")
        self.apply(builders.make_workspace("w2", ("key-1",)))
        effects = self.step(
            calls.AttemptEnded(1, calls.AttemptOutcome.UNREACHABLE)
        )
        (sent,) = builders.of_type(effects, calls.SendCall)
        self.assertEqual(sent.workspace, "w2")

    def test_a_decision_holds_only_while_the_key_stays(self):
        (sent,) = builders.of_type(self.start("p1"), calls.SendCall)
        other = builders.make_workspace("w3", ("key-3",))
        for version, rows, holds in (
            (2, (self.workspace, other), True),
            (3, (other,), False),
            (4, (builders.make_workspace("w2", ("key-1",)),), False),
            (5, (self.workspace,), True),
            (6, (), False),
        ):
            self.apply(*rows, version=version)
            is_current = workspaces.is_current(
                self.gw.index, self.gw.active[1], sent
            )
            self.assertEqual(is_current, holds, version)

    def test_a_held_call_without_its_key_is_refused(self):
        self.start()
        call = self.gw.active[1]
        builders.collect(gateway_state.fire(self.gw, call, "held", NOW_MS))
        effects = self.apply(builders.make_workspace(keys=()))
        self.assertEqual(self.refusal(effects), (calls.Refusal.UNKNOWN_KEY, 0))
        self.assertFalse(self.gw.held)

    def test_routes_that_become_public_or_not_are_judged_too(self):
        def route(is_public):
            return builders.make_route(
                "/look/", "plain", streaming=False, is_public=is_public
            )

        doc = builders.make_document(
            routes=[route(True)], workspaces=[self.workspace]
        )
        self.gw = builders.make_gateway(doc)
        submit(self.gw, "")
        doc = builders.make_document(
            2, routes=[route(False)], workspaces=[self.workspace]
        )
        effects = self.step(gateway.DocumentInForce(doc))
        self.assertEqual(self.refusal(effects), (calls.Refusal.UNKNOWN_KEY, 0))

    def test_a_call_whose_route_is_dropped_keeps_its_workspace(self):
        self.start()
        doc = builders.make_document(
            2, routes=[builders.make_route()], workspaces=[self.workspace]
        )
        self.step(gateway.DocumentInForce(doc))
        (sent,) = builders.of_type(self.announce(), calls.SendCall)
        self.assertEqual(sent.workspace, "w1")


if __name__ == "__main__":
    unittest.main()
