"""Replays of short streams that share engines with long prompts."""

import random
import unittest
from unittest import mock

from bilberryramp.decisions.fleet.core import sharing
from bilberryramp.decisions.fleet.routing import engine_speeds, stream_gaps
from bilberryramp.decisions.fleet.tests import builders, engine_driver

SECONDS = 20
TARGET_MS = 300
STRIDE = engine_driver.STRIDE


def make_document(gap_target_ms=TARGET_MS):
    """Build a document with a route for long prompts and one for short."""
    routes = [
        builders.make_route(
            "/long/", target_ms=640, urgency=1, gap_target_ms=gap_target_ms
        ),
        builders.make_route(
            "/short/", target_ms=420, urgency=0, gap_target_ms=gap_target_ms
        ),
    ]
    engine = builders.make_engine(stride=STRIDE)
    return builders.make_document(routes=routes, engine=engine)


def play(doc, speeds, long_per_s, short_per_s, seed=5):
    """Play calls at random times to eight of twenty gateways.

    Seven in ten of the long prompts are partly cached.
    """
    fleet = engine_driver.Fleet(speeds, gateways=8, doc=doc)
    for gw in fleet.gateways:
        sharing.set_audience_size(gw.loads, sharing.Audience.NEAR, 19)
    rng = random.Random(seed)
    jobs = {"/long/x": [], "/short/x": []}
    for path, per_s in (("/long/x", long_per_s), ("/short/x", short_per_s)):
        for _ in range(SECONDS * per_s):
            prompt = builders.make_prompt(800, 300)
            if path == "/long/x":
                tokens = rng.choices((2900, 9200), (7, 3))[0]
                prompt = builders.make_prompt(tokens, 70)
            at_ms = round(rng.uniform(0, 1000 * SECONDS))
            request = builders.make_request(path, prompt)
            jobs[path].append(fleet.submit(at_ms, rng.randrange(8), request))
    fleet.run(1000 * SECONDS + 6000)
    return jobs


def paused(jobs):
    """Return the number of streams that paused for too long."""
    return sum(job.longest_gap_ms > TARGET_MS for job in jobs)


def late(jobs, target_ms):
    """Return the number of calls without a first event in time."""
    return sum(
        job.first_ms < 0 or job.first_ms - job.arrived_ms > target_ms
        for job in jobs
    )


class SharedEngineTest(unittest.TestCase):
    """Four engines, one of them slow, are half busy with long prompts."""

    @classmethod
    def setUpClass(cls):
        """Play the load once for all tests."""
        cls.jobs = play(make_document(), (1.2, 1.2, 1.2, 0.55), 10, 12)

    def test_few_short_streams_pause(self):
        self.assertLess(paused(self.jobs["/short/x"]), 24)

    def test_few_long_prompts_pause_or_are_late(self):
        self.assertLess(paused(self.jobs["/long/x"]), 10)
        self.assertLess(late(self.jobs["/long/x"], 640), 4)

    def test_short_prompts_go_first(self):
        self.assertEqual(late(self.jobs["/short/x"], 420), 0)


class EasyLoadTest(unittest.TestCase):
    """Alike engines whose streams keep their objective."""

    def choices(self, doc):
        """Return when and where each call was sent."""
        jobs = play(doc, (1.0, 1.0, 1.0, 1.0), 1, 4)
        return [
            (job.upstream_id, job.sent_ms)
            for route_jobs in jobs.values()
            for job in route_jobs
        ]

    def test_an_objective_that_is_kept_changes_no_choice(self):
        without = self.choices(make_document(0))
        self.assertEqual(self.choices(make_document(600)), without)

    def test_measured_speeds_of_alike_engines_change_no_choice(self):
        with mock.patch.object(engine_speeds, "ALIKE_RATIO", 10**6):
            without = self.choices(make_document(0))
        self.assertEqual(self.choices(make_document(0)), without)


class PolicyTest(unittest.TestCase):
    """Tests of the objective that is in force at a service."""

    def test_the_tightest_objective_of_a_service_is_in_force(self):
        routes = [
            builders.make_route("/a/", gap_target_ms=600),
            builders.make_route("/b/", gap_target_ms=300),
            builders.make_route("/c/"),
            builders.make_route("/d/", "plain", gap_target_ms=100),
        ]
        doc = builders.make_document(
            routes=routes, engine=builders.make_engine(stride=7)
        )
        self.assertEqual(
            stream_gaps.policies(doc),
            {"engines": stream_gaps.Policy(7, 300)},
        )
