"""Tests of the readiness of an entry that has just started."""

import json
import unittest
import urllib.error
import urllib.request

from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders


def get(port, path):
    """Send a GET request; return the status and the body."""
    url = f"http://127.0.0.1:{port}{path}"
    try:
        with urllib.request.urlopen(url, timeout=5) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()


class ReadinessTest(unittest.TestCase):
    def test_an_entry_is_ready_only_once_it_lists_models(self):
        """An entry was ready up to 1.5 s before it held any tables."""
        cluster = builders.start_cluster(self.__class__)
        builders.add_engines(cluster)
        service = builders.standin_settings("ledger-1", builders.SERVICE)
        local_cluster.add_upstream(cluster, service, "corrections-ledger")
        port = local_cluster.add_entry(cluster, "entry-1")
        local_cluster.wait_for_upstreams(cluster, 4)
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/healthz")
        self.assertEqual(get(port, "/readyz")[0], 503)
        self.assertEqual(builders.submit(cluster).returncode, 0)
        for name in ("entry-1", "entry-2"):
            if name == "entry-2":
                port = local_cluster.add_entry(cluster, name)
            local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
            _, body = get(port, "/v1/models")
            self.assertTrue(json.loads(body)["data"])


if __name__ == "__main__":
    unittest.main()
