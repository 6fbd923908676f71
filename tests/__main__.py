"""Runs all tests; a failure counts unless ``KNOWN-RED.txt`` lists its test.

An entry is a line of four fields with ``|`` between them: the id of the test, the
command and seed that show the failure, what was seen, and the issue. Known failures are
printed; so are tests of the list that pass or are gone.
"""

from __future__ import annotations

import sys
import unittest
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seen", "issue")


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail, and why that is open."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> dict[str, KnownRed]:
    """Return the entries by test.

    Raises
    ------
    ValueError
        If a line has other fields than an entry.
    """
    entries = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(FIELDS) or not all(fields):
            raise ValueError(f"{line!r}; allowed: {' | '.join(FIELDS)}")
        entries[fields[0]] = KnownRed(*fields)
    return entries


def failed_tests(result: unittest.TestResult) -> set[str]:
    """Return the ids of failed tests; a subtest counts as its test."""
    failed = [test for test, _ in (*result.failures, *result.errors)]
    failed += result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in failed}


def verdict(failed: set[str], known: dict[str, KnownRed]) -> tuple[list[str], int]:
    """Return what is to be printed, and the exit code."""
    lines = []
    for test, entry in known.items():
        state = "still fails" if test in failed else "did not fail in this run"
        lines.append(f"known red, {state}: {test}: {entry.seen} ({entry.issue})")
    new = sorted(failed - set(known))
    lines += [f"failed: {test}" for test in new]
    return lines, 1 if new else 0


def main() -> int:
    """Run the tests and return the exit code."""
    known = read_known_red(KNOWN_RED.read_text())
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    lines, code = verdict(failed_tests(result), known)
    for line in lines:
        print(line)
    return code


if __name__ == "__main__":
    sys.exit(main())
