"""Tests that kill each process at several points of an idempotent request."""

import http.client
import json
import threading
import time
import unittest
import urllib.error
import urllib.request

from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders

SERVICE_PATH = "/services/corrections"
RUN_TIME_MS = 600
# Kill point: as soon as the service has begun to run the request.
WHEN_RUNNING = "running"
# Kill points in milliseconds after the request was sent. The first two are
# close to the reservation of the idempotency key, the last two to the end of
# the run.
KILL_POINTS = (0, 10, WHEN_RUNNING, 590, 650)
# Kill points of the tests that kill one process after the other.
SELECTED_KILL_POINTS = (10, WHEN_RUNNING, 590)
DEADLINE_MS = 4000
LONG_DEADLINE_MS = 15_000


class KillPointsTest(unittest.TestCase):
    """Tests a caller that resends until it learns the outcome of a request."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls, controls=3)
        builders.add_engines(cls.cluster)
        (cls.service_port,) = local_cluster.free_ports(1)
        ledger = builders.standin_settings(
            "ledger-1",
            builders.SERVICE,
            port=cls.service_port,
            first_token_ms=RUN_TIME_MS,
        )
        local_cluster.add_upstream(cls.cluster, ledger, "corrections-ledger")
        cls.port = local_cluster.add_entry(cls.cluster, "entry-safe")
        local_cluster.wait_for_upstreams(cls.cluster, 4)
        submitted = builders.submit(cls.cluster)
        assert submitted.returncode == 0, submitted.stderr
        local_cluster.wait_for_http(f"http://127.0.0.1:{cls.port}/readyz")

    def send(self, port, key, deadline_ms=DEADLINE_MS):
        headers = builders.idempotency_headers(key)
        headers["Bilberry-Deadline-Ms"] = str(deadline_ms)
        try:
            return builders.post(port, SERVICE_PATH, key.encode(), headers)
        except (urllib.error.URLError, http.client.HTTPException, OSError):
            return None

    def send_and_kill(self, port, key, point, victim, **overrides):
        """Return the answer that the caller received, or None."""
        answers = []
        sender = threading.Thread(
            target=lambda: answers.append(self.send(port, key, **overrides))
        )
        sender.start()
        if point == WHEN_RUNNING:
            builders.wait_for(
                lambda: self.count_runs(key) == 1, f"run of {key}"
            )
        else:
            time.sleep(point / 1000)
        local_cluster.kill(self.cluster, victim)
        sender.join()
        return answers[0]

    def resend(self, key):
        """Resend until the answer is final, and return the answer."""
        answer = None
        for _ in builders.poll():
            answer = self.send(self.port, key)
            if answer is not None and not is_pending(answer):
                return answer
        raise AssertionError(
            f"no final answer for {key}; last answer: {answer}"
        )

    def count_runs(self, key):
        url = f"http://127.0.0.1:{self.service_port}/runs"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return json.loads(answer.read()).get(key, 0)

    def assert_consistent(self, key, first, last):
        """Compare the answers with the number of runs at the service."""
        run_count = self.count_runs(key)
        self.assertLessEqual(run_count, 1)
        if is_success(first):
            self.assertEqual(last, first)
        if is_success(last):
            self.assertEqual(last[1], {"key": key, "runs": 1})
        if last[0] != 200:
            self.assertEqual(last[1]["error"]["outcome"], "unknown")

    def test_killed_entry_leaves_consistent_answers(self):
        """Kill several entries at the same time, each at its own point."""
        ports = {}
        for point in KILL_POINTS:
            name = f"entry-{point}"
            ports[name] = local_cluster.add_entry(self.cluster, name)
        for port in ports.values():
            local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        outcomes = {}

        def kill_entry(name, point):
            first = self.send_and_kill(ports[name], name, point, name)
            outcomes[point] = (name, first, self.resend(name))

        threads = [
            threading.Thread(target=kill_entry, args=(f"entry-{point}", point))
            for point in KILL_POINTS
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(outcomes), set(KILL_POINTS))
        for key, first, last in outcomes.values():
            self.assert_consistent(key, first, last)
        # The run continued without the entry, and the upstream process
        # recorded its answer.
        self.assertEqual(outcomes[WHEN_RUNNING][2][0], 200)

    def test_killed_upstream_process_leaves_consistent_answers(self):
        for point in SELECTED_KILL_POINTS:
            with self.subTest(point=point):
                key = f"upstream-{point}"
                victim = "upstream-ledger-1"
                first = self.send_and_kill(self.port, key, point, victim)
                local_cluster.restart_process(self.cluster, victim)
                self.assert_consistent(key, first, self.resend(key))

    def test_killed_service_leaves_consistent_answers(self):
        """Kill the service, which loses its count of runs.

        The answers are therefore compared with each other.
        """
        for point in SELECTED_KILL_POINTS:
            with self.subTest(point=point):
                key = f"service-{point}"
                victim = "standin-ledger-1"
                first = self.send_and_kill(self.port, key, point, victim)
                local_cluster.restart_process(self.cluster, victim)
                url = f"http://127.0.0.1:{self.service_port}/engine/state"
                local_cluster.wait_for_http(url)
                last = self.resend(key)
                if is_success(first):
                    self.assertEqual(last, first)
                elif point == WHEN_RUNNING:
                    self.assertEqual(last[1]["error"]["code"], "key_unknown")
                    self.assertEqual(self.count_runs(key), 0)

    def test_killed_control_leader_leaves_consistent_answers(self):
        for point in SELECTED_KILL_POINTS:
            with self.subTest(point=point):
                key = f"control-{point}"
                victim = builders.wait_for_leader(self.cluster)
                first = self.send_and_kill(
                    self.port,
                    key,
                    point,
                    victim,
                    deadline_ms=LONG_DEADLINE_MS,
                )
                local_cluster.restart_process(self.cluster, victim)
                last = self.resend(key)
                self.assert_consistent(key, first, last)
                # A running request does not depend on the control leader.
                if point == WHEN_RUNNING:
                    self.assertEqual(first[0], 200)


def is_success(answer):
    return answer is not None and answer[0] == 200


def is_pending(answer):
    """Return whether a resend may still get a different answer."""
    status, body = answer
    if status == 200:
        return False
    error = body["error"]
    return error["code"] == "key_running" or error["outcome"] == "not_run"
