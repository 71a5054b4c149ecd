import pathlib
import tempfile
import unittest

from bilberryramp.loadgen import (
    outcomes,
    report,
    scenarios,
    virtual,
    workload,
)
from bilberryramp.loadgen.tests import builders

EXAMPLES_DIR = pathlib.Path(__file__).parents[3] / "examples"


def run(policy=None, load=None, events=(), seed=1, **spec_overrides):
    load = load or builders.load()
    policy = policy or virtual.PolicySettings()
    sim = virtual.new_run(
        builders.deployment_spec(**spec_overrides), policy, load, seed
    )
    return virtual.run(sim, load, seed, events)


class WorkloadTest(unittest.TestCase):
    def count_arrivals(self, stream, from_s, until_s):
        load = builders.load(stream, duration_s=1000.0)
        arrivals = workload.arrivals(load, 1)
        return sum(from_s <= a.at_s < until_s for a in arrivals)

    def test_equal_seeds_give_equal_requests(self):
        load = builders.load()
        first = list(workload.arrivals(load, 7))
        self.assertEqual(first, list(workload.arrivals(load, 7)))
        self.assertNotEqual(first, list(workload.arrivals(load, 8)))
        starts = [arrival.at_s for arrival in first]
        self.assertEqual(starts, sorted(starts))

    def test_burst_and_shift_raise_the_rate_by_the_default_factor_of_ten(self):
        burst = builders.stream(
            shape=workload.Shape.BURST, start_s=500.0, length_s=100.0
        )
        in_burst = self.count_arrivals(burst, 500, 600)
        before_burst = self.count_arrivals(burst, 300, 400)
        self.assertAlmostEqual(in_burst / before_burst, 10, delta=2.5)
        shift = builders.stream(
            shape=workload.Shape.SHIFT, start_s=200.0, length_s=300.0
        )
        before_shift = self.count_arrivals(shift, 0, 200)
        after_shift = self.count_arrivals(shift, 500, 700)
        self.assertAlmostEqual(after_shift / before_shift, 10, delta=2.5)


class VirtualTest(unittest.TestCase):
    def test_light_load_is_attained_without_moves(self):
        tally = run()
        self.assertGreater(tally.offered, 80)
        self.assertEqual(tally.attained, tally.offered)
        self.assertEqual((tally.moves, tally.refused), (0, 0))

    def test_equal_seeds_give_equal_outcomes(self):
        first, second = run(), run()
        self.assertEqual(
            (first.attained, outcomes.p95_ms(first.first_token)),
            (second.attained, outcomes.p95_ms(second.first_token)),
        )

    def test_replica_of_idle_model_is_replaced_by_busy_model(self):
        """Following demand attains more than the initial placement."""
        heavy_load = builders.load(
            builders.stream("m3", requests_per_s=6.0, answer_tokens=200)
        )
        models = ("m1", "m2", "m3")
        fixed_policy = virtual.PolicySettings(follow_demand=False)
        fixed_tally = run(fixed_policy, heavy_load, models=models)
        following_tally = run(load=heavy_load, models=models)
        self.assertEqual(fixed_tally.moves, 0)
        self.assertGreater(following_tally.moves, 0)
        self.assertGreater(following_tally.attained, fixed_tally.attained)

    def test_replicas_of_crashed_domain_are_placed_elsewhere(self):
        events = (
            virtual.Event(20, lambda r: virtual.crash_domain(r, "a")),
            virtual.Event(40, lambda r: virtual.restore_domain(r, "a")),
        )
        tally = run(events=events)
        self.assertGreater(tally.moves, 0)
        self.assertGreater(outcomes.attainment(tally), 0.6)
        answered = tally.first_token.get_total_count()
        self.assertEqual(
            answered + tally.refused + tally.failed, tally.offered
        )

    def test_every_scenario_of_both_deployments_has_streams(self):
        for name in scenarios.DEPLOYMENTS:
            spec = scenarios.read_deployment(name, EXAMPLES_DIR / name)
            for scenario in scenarios.SCENARIOS:
                scenario_run = scenarios.make_scenario(spec, scenario, 1)
                self.assertTrue(scenario_run.load.streams)


class ReportTest(unittest.TestCase):
    def test_written_report_is_read_back_and_plotted(self):
        summary = report.summarize("a", run())
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.json"
            report.write(summary, path)
            self.assertEqual(report.read(path), summary)
            plot_path = pathlib.Path(folder) / "a.png"
            report.plot([summary, summary], plot_path)
            self.assertGreater(plot_path.stat().st_size, 1000)
        self.assertIn("| a |", report.compare([summary]))
