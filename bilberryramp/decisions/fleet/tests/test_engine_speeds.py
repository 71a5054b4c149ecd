"""Replays of load on engines of which some are slow."""

import random
import unittest

from bilberryramp.decisions.fleet.core import keys, sharing
from bilberryramp.decisions.fleet.routing import engine_speeds
from bilberryramp.decisions.fleet.tests import builders, engine_driver

LONG = builders.make_prompt(tokens_in=9000)
SHORT = builders.make_prompt(tokens_in=800, tokens_out=250)
TYPICAL = engine_speeds.DEFAULT_MS_PER_TOKEN
SECONDS = 20


class SlowEngineTest(unittest.TestCase):
    """Three gateways send to four engines, the last of them at 0.45."""

    @classmethod
    def setUpClass(cls):
        """Play five long and eight short prompts a second for all tests."""
        routes = [
            builders.make_route("/long/", target_ms=2000, urgency=1),
            builders.make_route("/short/", target_ms=500, urgency=0),
        ]
        doc = builders.make_document(routes=routes)
        cls.fleet = engine_driver.Fleet((1.0, 1.0, 1.0, 0.45), doc=doc)
        rng = random.Random(5)
        cls.long = cls.submit(rng, 5, builders.make_request("/long/x", LONG))
        cls.short = cls.submit(
            rng, 8, builders.make_request("/short/x", SHORT)
        )
        cls.fleet.run(1000 * SECONDS + 6000)

    @classmethod
    def submit(cls, rng, per_s, request):
        """Submit a request at random times to random gateways."""
        return [
            cls.fleet.submit(
                round(rng.uniform(0, 1000 * SECONDS)),
                rng.randrange(len(cls.fleet.gateways)),
                request,
            )
            for _ in range(SECONDS * per_s)
        ]

    def test_a_slow_engine_gets_less_than_its_share_of_the_work(self):
        work = [e.read_tokens for e in self.fleet.engines.values()]
        self.assertLess(work[3], 0.4 * max(work))
        self.assertGreater(work[3], 0)

    def test_long_prompts_do_not_wait_for_the_slow_engine(self):
        took_ms = sorted(j.first_ms - j.arrived_ms for j in self.long)
        self.assertLess(took_ms[int(0.9 * len(took_ms))], 550)

    def test_urgent_short_prompts_avoid_long_ones_at_the_slow_engine(self):
        behind = [
            job
            for job in self.short
            if job.upstream_id == "u3" and job.first_ms - job.sent_ms > 200
        ]
        self.assertLess(len(behind), 5)

    def test_all_gateways_learn_the_speed(self):
        ended_ms = engine_driver.START_MS + 1000 * SECONDS
        slow = builders.make_announcement("u3")
        for gw in self.fleet.gateways:
            value = engine_speeds.ms_per_token(gw.speeds, slow, ended_ms)
            self.assertGreater(value, 1.5 * TYPICAL)


class SpeedTest(unittest.TestCase):
    """Tests of one engine's speed."""

    def setUp(self):
        self.speeds = engine_speeds.Speeds()

    def record(self, ratio, at_ms, born_ms=1000, name="u1"):
        key = keys.short_key(name)
        sample = sharing.SpeedSample(
            key, born_ms, round(1e6 * ratio * TYPICAL)
        )
        engine_speeds.record_sample(self.speeds, sample, at_ms)

    def speed(self, now_ms, born_ms=1000):
        """Return the time per token, relative to the typical one."""
        announcement = builders.make_announcement("u1", born_ms=born_ms)
        return engine_speeds.ms_per_token(
            self.speeds, announcement, now_ms
        ) / engine_speeds.typical_ms_per_token(self.speeds, now_ms)

    def test_moments_of_slowness_do_not_make_an_engine_slow(self):
        for index in range(12):
            self.record(2.5 if index % 5 == 2 else 1.0, 100 * index)
        self.assertEqual(self.speed(1200), 1.0)

    def test_few_samples_do_not_make_an_engine_slow(self):
        self.record(2.5, 0)
        self.record(2.5, 10)
        self.assertEqual(self.speed(20), 1.0)

    def test_a_slow_engine_is_forgotten_with_its_samples_and_its_boot(self):
        for at_ms in range(0, 1000, 100):
            self.record(1.0, at_ms, name="u2")
            self.record(1.0, at_ms, name="u3")
            self.record(2.0, at_ms)
        self.assertGreater(self.speed(1000), 1.6)
        self.assertEqual(self.speed(1000, born_ms=2000), 1.0)
        self.assertEqual(self.speed(900 + engine_speeds.SAMPLE_TTL_MS), 1.0)
        self.record(1.0, 1000, born_ms=2000)
        self.record(2.0, 1100)
        self.assertEqual(self.speed(1200, born_ms=2000), 1.0)
