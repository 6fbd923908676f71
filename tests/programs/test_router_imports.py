"""A router loads no part of the product that it never uses."""

from __future__ import annotations

import subprocess
import sys
import unittest

#: Modules that would cost memory on every VM.
UNUSED = (
    "aioprometheus",
    "hdrh",
    "ssl",
    "hashlib",
    "rhubarbhall.core.directory",
    "rhubarbhall.core.idempotency",
    "rhubarbhall.core.node",
    "rhubarbhall.core.witness",
    "xxhash",
)


class RouterImportTests(unittest.TestCase):
    def test_a_router_loads_nothing_of_the_daemon_on_an_unkeyed_log(self):
        code = (
            "import sys, rhubarbhall.programs.router;"
            f"print([name for name in {UNUSED!r} if name in sys.modules])"
        )
        command = [sys.executable, "-c", code]
        shown = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertEqual(shown.stdout.strip(), "[]")
