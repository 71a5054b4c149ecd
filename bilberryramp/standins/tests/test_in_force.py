"""Tests that accepted configuration reaches processes after kills."""

import dataclasses
import json
import re
import unittest
import urllib.error
import urllib.request

import msgspec

from bilberryramp.settings import reader, schema
from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders
from bilberryramp.tasks import operator_api

ENTRIES = tuple(f"entry-{number}" for number in range(1, 6))
BACKLOG_SIZE = 200
VERSION_METRIC = re.compile(
    r"^bilberry_configuration_version (\d+)$", re.MULTILINE
)


class ConfigurationPropagationTest(unittest.TestCase):
    """Runs three control replicas, five entries and three upstreams."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls, controls=3)
        builders.add_engines(cls.cluster)
        cls.ports = {
            name: local_cluster.add_entry(cls.cluster, name)
            for name in ENTRIES
        }
        local_cluster.wait_for_upstreams(cls.cluster, 3)
        cls.routes = reader.read_or_raise(
            builders.EXAMPLES_DIR / "routes.yaml", schema.RoutesFile
        ).routes
        cls.pools = reader.read_or_raise(
            builders.EXAMPLES_DIR / "pools.yaml", schema.PoolsFile
        ).pools

    def test_backlog_is_applied_after_kills_and_restarts(self):
        first_version = self.submit_many(1)
        self.wait_for_version(ENTRIES, first_version)
        leader = builders.wait_for_leader(self.cluster)
        killed = ["entry-2", "entry-4", self.follower_of(leader)]
        for name in killed:
            local_cluster.kill(self.cluster, name)
        backlog_version = self.submit_many(BACKLOG_SIZE)
        self.assertEqual(backlog_version, first_version + BACKLOG_SIZE)
        for name in killed:
            local_cluster.restart_process(self.cluster, name)
        local_cluster.kill(self.cluster, leader)
        self.wait_for_version(ENTRIES, backlog_version)
        last_version = self.submit_many(1)
        self.assertEqual(last_version, backlog_version + 1)
        self.wait_for_version(ENTRIES, last_version)

    def follower_of(self, leader):
        names = [control.replica_id for control in self.cluster.controls]
        return next(name for name in names if name != leader)

    def submit_many(self, count):
        """Submit changes of one route until `count` are accepted.

        Return the last version. A lost or unknown reply makes it find the
        leader again.
        """
        accepted, version = 0, builders.get_status(self.cluster)["version"]
        for _ in builders.poll():
            leader = builders.wait_for_leader(self.cluster)
            while accepted < count:
                reply = self.submit(leader, version)
                if reply is None or reply["outcome"] == "unknown":
                    break
                self.assertIn(reply["outcome"], ("accepted", "conflict"))
                accepted += reply["outcome"] == "accepted"
                version = reply["version"]
            if accepted == count:
                return version
        raise AssertionError(f"only {accepted} of {count} changes accepted")

    def submit(self, leader, base_version):
        changed = dataclasses.replace(
            self.routes[0], deadline_ms=10_000 + base_version
        )
        body = operator_api.SubmitRequest(
            submission_id=f"s{base_version}",
            submitter="ann",
            base_version=base_version,
            routes=(changed, *self.routes[1:]),
            pools=self.pools,
        )
        control = next(
            c for c in self.cluster.controls if c.replica_id == leader
        )
        request = urllib.request.Request(
            f"http://{control.operator_address}/v1/tables",
            msgspec.json.encode(body),
        )
        try:
            with urllib.request.urlopen(request, timeout=6) as answer:
                return json.loads(answer.read())
        except urllib.error.HTTPError as exc:
            return json.loads(exc.read())
        except (urllib.error.URLError, OSError):
            return None

    def wait_for_version(self, names, version):
        for name in names:
            builders.wait_for(
                lambda name=name: self.version_at(name) == version,
                f"version {version} at {name}",
            )

    def version_at(self, name):
        try:
            match = VERSION_METRIC.search(
                builders.get_metrics(self.ports[name])
            )
        except (urllib.error.URLError, OSError):
            return None
        return int(match.group(1)) if match else None
