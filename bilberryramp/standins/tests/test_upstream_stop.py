"""Tests of an upstream process that is stopped under load."""

import concurrent.futures
import json
import threading
import unittest

from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders

CALLERS = 6
MODEL = "guild-clarify-8b"
PATH = "/v1/completions"


class UpstreamStopTest(unittest.TestCase):
    """Callers of a model that an upstream still loads when it stops."""

    def test_requests_sent_at_a_stop_are_not_lost(self):
        """Six were lost, and struck as if they had taken the engine down."""
        cluster = builders.start_cluster(type(self))
        builders.add_engines(
            cluster, first_token_ms=0, tokens_per_s=2000, load_ms=3500
        )
        local_cluster.wait_for_upstreams(cluster, 3)
        builders.submit(cluster)
        port = local_cluster.add_entry(cluster, "entry-1")
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        builders.wait_for(
            lambda: self.is_loading(cluster, "upstream-desk-1"),
            "an order under way",
        )
        ended = threading.Event()

        def call(caller):
            statuses = []
            while not ended.is_set():
                body = builders.completion_body(1, MODEL, f"{caller}")
                status, answer = builders.post(port, PATH, body)
                statuses.append((status, answer.get("error")))
            return statuses

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
            calls = [threads.submit(call, number) for number in range(CALLERS)]
            try:
                code = local_cluster.stop(cluster, "upstream-desk-1")
            finally:
                ended.set()
        self.assertEqual(code, 0)
        statuses = [status for call in calls for status in call.result()]
        self.assertEqual(set(map(str, statuses)), {"(200, None)"})
        self.assertEqual(builders.get_status(cluster)["quarantine"], {})

    def is_loading(self, cluster, name):
        """Return whether the engine has not answered an order to load."""
        lines = builders.read_log(cluster, name).splitlines()
        logged = [json.loads(line) for line in lines if line.endswith("}")]
        kinds = [line["message_type"] for line in logged]
        ended = kinds.count("order.ended")
        # The first order, which names no model, only sets the fencing token.
        return 0 < ended < kinds.count("order.sent")


if __name__ == "__main__":
    unittest.main()
