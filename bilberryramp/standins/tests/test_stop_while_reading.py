"""Tests of planned stops while requests are being sent."""

import concurrent.futures
import contextlib
import json
import signal
import threading
import time
import unittest

from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders

CALLERS = 20
PIECES = 40
PIECE_INTERVAL_S = 0.05
PATH = "/v1/completions"
GRACE_MS = 30_000
# What a busy machine may take beyond the times that settings state.
ALLOWANCE_S = 30.0
EXIT_TIMEOUT_S = GRACE_MS / 1000 + ALLOWANCE_S


def send_across_stop(port, path, pieces, length, begun, stopping):
    """Send a part of a body before a stop and the rest after it."""
    with contextlib.closing(builders.connect(port, EXIT_TIMEOUT_S)) as conn:
        builders.begin_post(conn, path, length)
        conn.send(pieces[0])
        begun.release()
        stopping.wait(builders.TIMEOUT_S)
        for piece in pieces[1:]:
            time.sleep(PIECE_INTERVAL_S)
            conn.send(piece)
        return builders.read_answer(conn)


def send_until_last(port):
    """Send requests without a pause; return the last answer."""
    body = builders.completion_body()
    with contextlib.closing(builders.connect(port, EXIT_TIMEOUT_S)) as conn:
        while True:
            builders.begin_post(conn, PATH, len(body))
            conn.send(body)
            answer = builders.read_answer(conn)
            if answer.is_last:
                return answer


def describe(call):
    """Return how a call ended, for lists that are compared."""
    if call.exception() is not None:
        return repr(call.exception())
    answer = call.result()
    return f"{answer.status}, last: {answer.is_last}"


def begin_stop(cluster, name):
    """Send SIGTERM and wait until the program has noticed it."""
    child = cluster.processes[name].child
    child.send_signal(signal.SIGTERM)
    builders.wait_for(
        lambda: "program.stopping" in builders.read_log(cluster, name),
        f"stop of {name}",
    )
    return child


class EntryStopTest(unittest.TestCase):
    """Tests an entry that is stopped while callers send their requests."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls)
        builders.add_engines(cls.cluster)
        local_cluster.wait_for_upstreams(cls.cluster, 3)
        submitted = builders.submit(cls.cluster)
        assert submitted.returncode == 0, submitted.stderr

    def start_entry(self, name, **overrides) -> int:
        port = local_cluster.add_entry(
            self.cluster, name, grace_ms=GRACE_MS, **overrides
        )
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        status, _ = builders.post(port, PATH, builders.completion_body())
        self.assertEqual(status, 200)
        return port

    def test_bodies_in_chunks_sent_across_a_stop_are_answered(self):
        """19 of 20 got no answer, and the entry ran on for a minute."""
        self.check_bodies_across_a_stop("chunked", chunked=True)

    def test_bodies_with_a_length_sent_across_a_stop_are_answered(self):
        self.check_bodies_across_a_stop("sized", chunked=False)

    def check_bodies_across_a_stop(self, name, chunked):
        port = self.start_entry(name)
        begun, stopping = threading.Semaphore(0), threading.Event()

        def call(number):
            body = builders.completion_body(
                prompt="x" * 4000, stream=bool(number % 2)
            )
            pieces = builders.encode_pieces(body, PIECES, chunked)
            length = None if chunked else len(body)
            return send_across_stop(
                port, PATH, pieces, length, begun, stopping
            )

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
            calls = [threads.submit(call, number) for number in range(CALLERS)]
            for _ in calls:
                self.assertTrue(begun.acquire(timeout=builders.TIMEOUT_S))
            # An answer shows that what came before has been read.
            local_cluster.wait_for_http(f"http://127.0.0.1:{port}/healthz")
            child = begin_stop(self.cluster, name)
            stopping.set()
        self.assertEqual(
            [describe(call) for call in calls], ["200, last: True"] * CALLERS
        )
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)

    def test_requests_in_the_notice_are_answered(self):
        """An idle entry ended its router before it closed its listener."""
        port = self.start_entry("notice", stop_notice_ms=5000)
        body = builders.completion_body()
        kept = builders.connect(port, EXIT_TIMEOUT_S)
        child = begin_stop(self.cluster, "notice")
        for conn in (kept, builders.connect(port, EXIT_TIMEOUT_S)):
            self.addCleanup(conn.close)
            builders.begin_post(conn, PATH, len(body))
            conn.send(body)
            answer = builders.read_answer(conn)
            self.assertEqual((answer.status, answer.is_last), (200, True))
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)

    def test_requests_without_a_pause_are_answered(self):
        """Requests that follow each other on a connection, across a stop."""
        port = self.start_entry("steady", stop_notice_ms=5000)
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
            calls = [
                threads.submit(send_until_last, port) for _ in range(CALLERS)
            ]
            time.sleep(0.5)
            child = begin_stop(self.cluster, "steady")
        self.assertEqual(
            [describe(call) for call in calls], ["200, last: True"] * CALLERS
        )
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)

    def test_requests_sent_at_once_are_all_answered(self):
        """Requests that wait for their turn on a connection, at a stop."""
        port = self.start_entry("queued")
        body = builders.completion_body()
        head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        conn = builders.connect(port, EXIT_TIMEOUT_S)
        self.addCleanup(conn.close)
        conn.send((head.encode() + body) * CALLERS)
        child = begin_stop(self.cluster, "queued")
        received = b""
        while data := conn.sock.recv(65536):
            received += data
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), CALLERS)
        self.assertTrue(received.endswith(b"}\r\n0\r\n\r\n"))
        self.assertEqual(received.count(b"Connection: close"), 1)
        conn.close()
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)

    def test_a_refused_expectation_does_not_hold_the_exit(self):
        """The library answered it beside the count of open requests."""
        port = self.start_entry("expecting")
        conn = builders.connect(port, EXIT_TIMEOUT_S)
        self.addCleanup(conn.close)
        builders.begin_post(conn, PATH, 2, Expect="rain")
        conn.send(b"{}")
        self.assertEqual(builders.read_answer(conn).status, 400)
        child = begin_stop(self.cluster, "expecting")
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)
        self.assertNotIn(
            "program.grace_over", builders.read_log(self.cluster, "expecting")
        )

    def test_a_stalled_body_is_refused_and_does_not_hold_the_exit(self):
        port = self.start_entry("stalled")
        conn = builders.connect(port, EXIT_TIMEOUT_S)
        self.addCleanup(conn.close)
        builders.begin_post(conn, PATH, 1000)
        conn.send(b"{")
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/healthz")
        child = begin_stop(self.cluster, "stalled")
        answer = builders.read_answer(conn)
        error = json.loads(answer.body)["error"]
        self.assertEqual((answer.status, answer.is_last), (503, True))
        self.assertEqual(
            (error["code"], error["outcome"]), ("shutting_down", "not_run")
        )
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)
        self.assertNotIn(
            "program.grace_over", builders.read_log(self.cluster, "stalled")
        )


class EntryBoundTest(unittest.TestCase):
    """Tests an entry whose engines answer later than its stop may take."""

    def test_a_call_that_does_not_end_is_answered_at_the_bound(self):
        cluster = builders.start_cluster(type(self))
        builders.add_engines(cluster, first_token_ms=600_000)
        port = local_cluster.add_entry(cluster, "entry-1", grace_ms=3000)
        local_cluster.wait_for_upstreams(cluster, 3)
        builders.submit(cluster)
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        conn = builders.connect(port, EXIT_TIMEOUT_S)
        self.addCleanup(conn.close)
        body = builders.completion_body()
        builders.begin_post(conn, PATH, len(body))
        conn.send(body)
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/healthz")
        child = begin_stop(cluster, "entry-1")
        answer = builders.read_answer(conn)
        self.assertEqual((answer.status, answer.is_last), (504, True))
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)
        self.assertIn(
            "program.grace_over", builders.read_log(cluster, "entry-1")
        )


class ControlStopTest(unittest.TestCase):
    """Tests control replicas that are stopped while tables are sent."""

    def test_tables_sent_across_a_stop_get_a_whole_answer(self):
        """The submitter got no answer, and the exit code was 3."""
        cluster = builders.start_cluster(type(self), controls=3)
        builders.add_engines(cluster)
        local_cluster.wait_for_upstreams(cluster, 3)
        name = builders.wait_for_leader(cluster)
        control = next(c for c in cluster.controls if c.replica_id == name)
        port = int(control.operator_address.rpartition(":")[2])
        body = builders.submission_body()
        pieces = builders.encode_pieces(body, PIECES, chunked=True)
        begun, stopping = threading.Semaphore(0), threading.Event()
        with concurrent.futures.ThreadPoolExecutor(1) as threads:
            call = threads.submit(
                send_across_stop,
                port, "/v1/tables", pieces, None, begun, stopping,
            )  # fmt: skip
            self.assertTrue(begun.acquire(timeout=builders.TIMEOUT_S))
            self.assertIsNotNone(builders.get_replica_status(control))
            child = begin_stop(cluster, name)
            stopping.set()
        answer = call.result()
        outcome = json.loads(answer.body)["outcome"]
        self.assertIn(
            (answer.status, outcome), ((200, "accepted"), (503, "unknown"))
        )
        self.assertTrue(answer.is_last)
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)

    def test_a_stalled_submission_does_not_hold_the_exit(self):
        cluster = builders.start_cluster(type(self))
        control = cluster.controls[0]
        builders.wait_for_leader(cluster)
        port = int(control.operator_address.rpartition(":")[2])
        conn = builders.connect(port, EXIT_TIMEOUT_S)
        self.addCleanup(conn.close)
        builders.begin_post(conn, "/v1/tables", 1000)
        conn.send(b"{")
        self.assertIsNotNone(builders.get_replica_status(control))
        child = begin_stop(cluster, control.replica_id)
        answer = builders.read_answer(conn)
        self.assertEqual((answer.status, answer.is_last), (503, True))
        self.assertEqual(child.wait(EXIT_TIMEOUT_S), 0)


if __name__ == "__main__":
    unittest.main()
