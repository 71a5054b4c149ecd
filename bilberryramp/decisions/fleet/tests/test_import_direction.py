import ast
import pathlib
import unittest

from bilberryramp.decisions.tests import test_purity

FLEET = pathlib.Path(__file__).parent.parent
# Each package imports only itself and those before it.
ORDER = (
    "core",
    "limits",
    "quarantine",
    "orders",
    "register",
    "routing",
    "queueing",
    "gateway",
)
PREFIX = "bilberryramp.decisions.fleet."


def find_upward_imports(package, source):
    """Yield the packages that a module imports against the order."""
    allowed = ORDER[: ORDER.index(package) + 1]
    for name in test_purity.imported_modules(ast.parse(source)):
        if name.startswith(PREFIX):
            imported = name.removeprefix(PREFIX).split(".")[0]
            if imported not in allowed:
                yield imported


class ImportDirectionTest(unittest.TestCase):
    def test_packages_import_only_those_before_them(self):
        for package in ORDER:
            for path in (FLEET / package).glob("*.py"):
                with self.subTest(module=f"{package}/{path.name}"):
                    source = path.read_text(encoding="utf-8")
                    upward = list(find_upward_imports(package, source))
                    self.assertEqual(upward, [])

    def test_every_package_has_a_place_in_the_order(self):
        packages = {path.parent.name for path in FLEET.glob("*/__init__.py")}
        self.assertEqual(packages - {"tests"}, set(ORDER))

    def test_an_upward_import_is_found(self):
        source = "from bilberryramp.decisions.fleet.gateway import dispatch\n"
        upward = list(find_upward_imports("routing", source))
        self.assertEqual(upward, ["gateway"])
