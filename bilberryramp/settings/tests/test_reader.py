import pathlib
import tempfile
import unittest

from returns import result

from bilberryramp.decisions.shared import tables
from bilberryramp.settings import reader, reference, schema
from bilberryramp.settings.tests import builders

ROOT = pathlib.Path(__file__).parents[3]


class ReaderTest(unittest.TestCase):
    def read_problem(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = builders.write_file(folder, text)
            outcome = reader.read(path, schema.RoutesFile)
        self.assertIsInstance(outcome, result.Failure)
        return outcome.failure()

    def test_valid_file_is_read(self):
        with tempfile.TemporaryDirectory() as folder:
            path = builders.write_file(folder, builders.VALID_ROUTES)
            read = reader.read_or_raise(path, schema.RoutesFile)
        self.assertEqual(read.routes[0].priority, tables.Priority.NORMAL)

    def test_each_error_has_path_found_value_and_expectation(self):
        valid = builders.VALID_ROUTES
        cases = (
            ("pool: p", "pool: 7", "routes[0].pool", "7", "str"),
            ("pool: p", "pol: p", "routes[0].pol", "unknown key pol", "pool"),
            ("    pool: p\n", "", "routes[0].pool", "nothing", "required"),
            ("memory_mib: 10", "memory_mib: x", "routes[0].memory_mib",
             "'x'", "int"),
            ("pool: p", "pool: p\n    pool: q", "line 5", "twice", "YAML"),
            ("name: a", "name: [a", "line", "expected", "YAML"),
            ("model: m", "priority: big", "routes[0].priority", "big", "enum"),
        )  # fmt: skip
        for old, new, path, seen, expected in cases:
            with self.subTest(new):
                problem = self.read_problem(valid.replace(old, new))
                self.assertIn(path, problem.path)
                self.assertIn(seen, problem.seen)
                self.assertIn(expected, problem.expected)
                self.assertIn("routes.yaml", str(problem))

    def test_negative_times_of_a_stop_are_refused(self):
        for field in ("grace_ms", "stop_notice_ms"):
            text = f"{{name: e1, controls: [], {field}: -1}}"
            with tempfile.TemporaryDirectory() as folder:
                path = builders.write_file(folder, text)
                problem = reader.read(
                    path, schema.EntryProgramSettings
                ).failure()
            self.assertEqual((problem.path, problem.seen), (field, "-1"))
            self.assertIn(">= 0", problem.expected)

    def test_missing_file_is_reported(self):
        problem = reader.read("/nowhere/x.yaml", schema.RoutesFile).failure()
        self.assertEqual(problem.expected, "a readable file")

    def test_example_tables_are_valid(self):
        routes = reader.read_or_raise(
            ROOT / "examples/routes.yaml", schema.RoutesFile
        )
        pools = reader.read_or_raise(
            ROOT / "examples/pools.yaml", schema.PoolsFile
        )
        both = tables.Tables(routes.routes, pools.pools)
        self.assertEqual(list(tables.find_problems(both)), [])

    def test_reference_page_matches_the_classes(self):
        page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
        self.assertEqual(page, reference.render())
