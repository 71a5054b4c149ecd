import unittest

from bilberryramp.decisions.shared import client_review, connection_stop
from bilberryramp.decisions.shared.tests import client_builders as builders

State, Reason = connection_stop.State, client_review.Reason
LIMITS = client_review.Limits()
MUCH = 10**9


def ends_of(ends):
    return [(end.client.key, end.reason) for end in ends]


class ClientReviewTest(unittest.TestCase):
    def overdue(self, now_ms, *clients):
        return ends_of(client_review.overdue(clients, LIMITS, now_ms))

    def spare(self, now_ms, n_bytes, *clients):
        return ends_of(client_review.spare(clients, LIMITS, now_ms, n_bytes))

    def test_body_that_stalls_is_ended(self):
        client = builders.make_client("a", State.READING_BODY)
        self.assertEqual(self.overdue(LIMITS.body_ms - 1, client), [])
        self.assertEqual(
            self.overdue(LIMITS.body_ms, client), [("a", Reason.BODY_TIMEOUT)]
        )

    def test_client_that_is_not_read_from_does_not_stall(self):
        client = builders.make_client(
            "a", State.READING_BODY, waits_for_memory=True
        )
        self.assertEqual(self.overdue(MUCH, client), [])
        self.assertEqual(self.spare(MUCH, MUCH, client), [])

    def test_slow_head_is_ended_though_it_goes_on(self):
        now_ms = LIMITS.head_ms
        client = builders.make_client(
            "a", State.READING_HEAD, began_ms=0, last_read_ms=now_ms
        )
        self.assertEqual(
            self.overdue(now_ms, client), [("a", Reason.HEAD_TIMEOUT)]
        )

    def test_endless_head_is_ended(self):
        client = builders.make_client(
            "a", State.READING_HEAD, head_bytes=LIMITS.head_bytes + 1
        )
        self.assertEqual(self.overdue(0, client), [("a", Reason.HEAD_SIZE)])

    def test_answer_that_is_not_read_is_ended(self):
        client = builders.make_client("a", State.ANSWERING, unread_since_ms=0)
        self.assertEqual(
            self.overdue(LIMITS.unread_ms, client), [("a", Reason.UNREAD)]
        )

    def test_request_that_is_answered_is_never_ended(self):
        clients = [
            builders.make_client(state, state, held_bytes=MUCH)
            for state in (State.ANSWERING, State.QUEUED)
        ]
        self.assertEqual(self.overdue(MUCH, *clients), [])
        self.assertEqual(self.spare(MUCH, MUCH, *clients), [])
        unused = client_review.unused(clients, LIMITS, MUCH)
        self.assertEqual(list(unused), [])

    def test_those_without_progress_are_ended_by_what_they_hold(self):
        now_ms = LIMITS.short_read_ms
        clients = [
            builders.make_client("some", State.READING_BODY, held_bytes=200),
            builders.make_client("most", State.READING_BODY, held_bytes=300),
            builders.make_client("idle", held_bytes=10),
            builders.make_client(
                "active",
                State.READING_BODY,
                held_bytes=900,
                last_read_ms=now_ms,
            ),
        ]
        self.assertEqual(
            self.spare(now_ms, 400, *clients),
            [("most", Reason.MEMORY), ("some", Reason.MEMORY)],
        )

    def test_idle_connections_give_way_first(self):
        now_ms = 10 * LIMITS.short_read_ms
        clients = [
            builders.make_client("stalled", State.READING_BODY),
            builders.make_client("idle", last_read_ms=now_ms - 1),
            builders.make_client("idle longer"),
        ]
        unused = client_review.unused(clients, LIMITS, now_ms)
        self.assertEqual(
            [key for key, _ in ends_of(unused)],
            ["idle longer", "idle", "stalled"],
        )
