"""Test of a fatal request while all nodes are killed at once."""

import pathlib
import tempfile
import unittest

from bilberryramp.soak import checks, observations, run


class RestartOfAllTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a quarantine that is forgotten when no node stays up, so
    # that each such restart costs three further engines.

    SEED = 37
    SLOT = 6
    LENGTH_MS = 30_000
    KILLS = tuple(
        observations.Fault(
            observations.FaultKind.KILL_ALL, "n1", from_ms, from_ms + 300
        )
        for from_ms in (9000, 17_000, 25_000)
    )

    async def test_a_fatal_request_stays_quarantined(self):
        with tempfile.TemporaryDirectory() as folder:
            plan = run.Plan(
                self.SEED,
                self.SLOT,
                self.LENGTH_MS,
                others=0,
                fatal_count=1,
                deadly_count=0,
                fault_groups=(),
                faults=self.KILLS,
            )
            history = await run.execute(plan, pathlib.Path(folder))
        first_kill = next(iter(history.of_class(observations.Fault)))
        crashes = list(history.of_class(observations.EngineCrashed))
        later = [c for c in crashes if c.at_ms > first_kill.from_ms]
        self.assertGreaterEqual(len(crashes) - len(later), checks.MAX_CRASHES)
        self.assertLessEqual(len(later), checks.MAX_LATE_ARRIVALS)
        violations = list(checks.find_violations(history, checks.SAFETY))
        self.assertEqual(violations, [])


if __name__ == "__main__":
    unittest.main()
