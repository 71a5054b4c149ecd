"""Tests of programs that are stopped while they start."""

import signal
import subprocess
import sys
import unittest

RELOADING_SERVICES = ("agent", "node")
EXIT_BAD_SETTINGS = 2
SERVICES = ("agent", "control", "entry", "node", "standin", "upstream")
PACKAGE_IMPORTED = "| bilberryramp.programs\n"
TIMEOUT_S = 60


class EarlyStopTest(unittest.TestCase):
    def test_a_stop_during_the_imports_is_a_planned_stop(self):
        """Python's default action ended the process with code -15."""
        for service in SERVICES:
            for signum in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(service=service, signal=signum.name):
                    self.assertEqual(self.stop_early(service, signum), 0)

    def test_a_reload_during_the_imports_ended_the_program(self):
        """It goes on to read its settings, which are missing here."""
        for service in RELOADING_SERVICES:
            with self.subTest(service=service):
                self.assertEqual(
                    self.stop_early(service, signal.SIGHUP), EXIT_BAD_SETTINGS
                )

    def stop_early(self, service, signum) -> int:
        """Stop a program once its package is imported; return its code."""
        child = subprocess.Popen(
            [
                sys.executable,
                # Writes a line to standard error after each import.
                "-Ximporttime",
                "-m",
                f"bilberryramp.programs.{service}",
            ],
            stderr=subprocess.PIPE,
            text=True,
        )
        with child:
            for line in child.stderr:
                if line.replace(" ", "").endswith(
                    PACKAGE_IMPORTED.replace(" ", "")
                ):
                    child.send_signal(signum)
                    break
            child.stderr.read()
            return child.wait(TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
