import ast
import pathlib
import sys
import unittest

PACKAGE = pathlib.Path(__file__).parent.parent
FORBIDDEN = {
    "asyncio",
    "io",
    "os",
    "pathlib",
    "select",
    "shutil",
    "socket",
    "subprocess",
    "threading",
    "time",
    "datetime",
}


def imported_modules(tree):
    """Yield the name of each module that a syntax tree imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


def find_impurities(source):
    """Yield a text for each import or call that a decision must not make.

    Decisions import only other decisions and modules of the standard library
    that do no input or output and read no clock. They draw random numbers
    only from a generator that they are given.
    """
    tree = ast.parse(source)
    for name in imported_modules(tree):
        top_level = name.split(".")[0]
        is_decision = name.startswith("bilberryramp.decisions")
        if (
            not is_decision
            and top_level not in sys.stdlib_module_names
            or top_level in FORBIDDEN
        ):
            yield f"imports {name}"
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            receiver = node.func.value
            if isinstance(receiver, ast.Name) and receiver.id == "random":
                yield f"calls random.{node.func.attr}"
        if isinstance(node, ast.Name) and node.id in ("open", "print"):
            yield f"uses {node.id}"


class PurityTest(unittest.TestCase):
    def test_decisions_are_pure(self):
        paths = [p for p in PACKAGE.rglob("*.py") if "tests" not in p.parts]
        self.assertGreater(len(paths), 40)
        for path in paths:
            source = path.read_text(encoding="utf-8")
            self.assertEqual(list(find_impurities(source)), [], path.name)

    def test_impurities_are_found(self):
        source = "import time\nimport aiohttp\nrandom.random()\nopen('x')\n"
        self.assertEqual(len(list(find_impurities(source))), 4)
