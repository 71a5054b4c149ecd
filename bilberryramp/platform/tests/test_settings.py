"""Tests of the platform's settings file of a process."""

import pathlib
import tempfile
import unittest

from bilberryramp.platform import settings, standins


class SettingsTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.toml"
            path.write_text(text, encoding="utf-8")
            return settings.read(str(path))

    def make_text(self, **fields):
        return standins.make_settings_text(
            "n1", "127.0.0.1", 7000, ["127.0.0.1:8000"], **fields
        )

    def test_the_tolerated_losses_are_read(self):
        """Nothing read them, and too few voters were kept."""
        cfg = self.read(self.make_text(tolerated_losses=2))
        self.assertEqual(cfg.tolerated_losses, 2)

    def test_without_them_no_loss_is_tolerated(self):
        text = self.make_text().replace("[faultTolerance]", "[other]")
        self.assertEqual(self.read(text).tolerated_losses, 0)


if __name__ == "__main__":
    unittest.main()
