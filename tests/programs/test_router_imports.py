"""A router must not import modules that it never uses: each costs memory."""

from __future__ import annotations

import subprocess
import sys
import unittest

#: Modules that the router does not use and that would cost memory on every VM.
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
    def test_a_router_imports_none_of_the_modules_that_it_does_not_use(self):
        code = (
            "import sys, rhubarbhall.programs.router;"
            f"print([name for name in {UNUSED!r} if name in sys.modules])"
        )
        command = [sys.executable, "-c", code]
        shown = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertEqual(shown.stdout.strip(), "[]")
