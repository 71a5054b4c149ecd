import pathlib
import re
import unittest

from bilberryramp.telemetry import events

ROOT = pathlib.Path(__file__).parents[3]


class EventCatalogTest(unittest.TestCase):
    def test_page_matches_the_code(self):
        page = (ROOT / "docs" / "events.md").read_text(encoding="utf-8")
        self.assertEqual(page, events.render_reference())

    def test_numbers_are_unique_and_every_event_is_used(self):
        numbers = [event.number for event in events.EVENTS_BY_NAME.values()]
        self.assertEqual(len(numbers), len(set(numbers)))
        sources = "".join(
            path.read_text(encoding="utf-8")
            for path in (ROOT / "bilberryramp").rglob("*.py")
            if "tests" not in path.parts
        )
        used = set(re.findall(r"events\.([A-Z_]+)", sources))
        traced = set(re.findall(r'Trace\(\s*"([a-z_.]+)"', sources))
        choices = re.findall(
            r'Trace\(\s*"([a-z_.]+)" if \w+ else "([a-z_.]+)"', sources
        )
        traced |= {name for pair in choices for name in pair}
        self.assertEqual(traced - set(events.EVENTS_BY_NAME), set())
        declared = {
            name
            for name, value in vars(events).items()
            if isinstance(value, events.Event) and value.name not in traced
        }
        self.assertEqual(declared - used, set())
