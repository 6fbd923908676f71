"""Decisions and timers use clocks that cannot jump.

Guards against the failure that the time of day is set on a VM, and leases, deadlines or
rates are computed from it.
"""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "rhubarbhall"
#: Reads of the time of day that no decision depends on, by file: the seed of a random
#: number generator, and the age of idempotency keys, which carry the time of day.
ALLOWED = {
    "programs/routing_daemon.py": {"time_ns"},
    "adapters/driver.py": {"time"},
    "loadtool/generator.py": {"time"},
    "standins/platform_target.py": {"time"},
    "standins/callers.py": {"time"},
}
WALL_CLOCK_FUNCTIONS = {
    "time",
    "time_ns",
    "localtime",
    "gmtime",
    "ctime",
    "strftime",
    "CLOCK_REALTIME",
}
WALL_CLOCK_MODULES = {"datetime", "email.utils"}


def wall_clock_reads(source: str) -> set[str]:
    """Return the names by which a module reads the time of day."""
    reads: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            reads |= {each.name for each in node.names} & WALL_CLOCK_MODULES
        elif isinstance(node, ast.ImportFrom):
            names = {each.name for each in node.names}
            if node.module == "time":
                reads |= names & WALL_CLOCK_FUNCTIONS
            elif node.module in WALL_CLOCK_MODULES:
                reads.add(node.module)
        elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            if node.value.id == "time" and node.attr in WALL_CLOCK_FUNCTIONS:
                reads.add(node.attr)
    return reads


class WallClockTests(unittest.TestCase):
    def test_no_decision_reads_the_time_of_day(self):
        for path in sorted(PACKAGE.rglob("*.py")):
            name = str(path.relative_to(PACKAGE))
            with self.subTest(path=name):
                reads = wall_clock_reads(path.read_text())
                self.assertLessEqual(reads, ALLOWED.get(name, set()))

    def test_reads_are_found_however_they_are_imported(self):
        for source in (
            "import time\ntime.time()",
            "from time import time_ns",
            "import datetime",
            "from datetime import datetime",
            "import time\ntime.clock_gettime(time.CLOCK_REALTIME)",
        ):
            with self.subTest(source=source):
                self.assertTrue(wall_clock_reads(source))
        self.assertFalse(wall_clock_reads("import time\ntime.monotonic()"))


if __name__ == "__main__":
    unittest.main()
