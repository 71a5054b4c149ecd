"""Run all tests and end the output with the line "N passed, N failed".

Tests listed in KNOWN-RED.txt run too; their failures are printed but do not
change the exit code. A test that exceeds the timeout ends the run with a
traceback of every thread.
"""

import faulthandler
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
TEST_TIMEOUT_S = 600


class TimeoutResult(unittest.TextTestResult):
    """A test result that ends the run if a test exceeds the timeout."""

    def startTest(self, test):  # noqa: N802  (unittest names it)
        """Start the timeout of a test."""
        faulthandler.dump_traceback_later(TEST_TIMEOUT_S, exit=True)
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802  (unittest names it)
        """Cancel the timeout of a test."""
        faulthandler.cancel_dump_traceback_later()
        super().stopTest(test)


def read_known_failures() -> set[str]:
    """Return the identifiers of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def find_failed_ids(result: unittest.TestResult) -> set[str]:
    """Return the identifiers of failed tests; a subtest counts as its test."""
    failures = (*result.failures, *result.errors)
    failed = {_parent_id(test) for test, _ in failures}
    return failed | {test.id() for test in result.unexpectedSuccesses}


def _parent_id(test) -> str:
    return getattr(test, "test_case", test).id()


def main(patterns: list[str]) -> int:
    loader = unittest.TestLoader()
    loader.testNamePatterns = [f"*{pattern}*" for pattern in patterns] or None
    suite = loader.discover(str(ROOT / "bilberryramp"), "test_*.py", str(ROOT))
    runner = unittest.TextTestRunner(verbosity=2, resultclass=TimeoutResult)
    result = runner.run(suite)
    failed = find_failed_ids(result)
    known_failures = failed & read_known_failures()
    for name in sorted(known_failures):
        print(f"known red: {name}")
    new_failures = failed - known_failures
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {len(new_failures)} failed")
    return 1 if new_failures or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
