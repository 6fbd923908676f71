"""Runs all tests; the exit code is 1 if one fails that ``KNOWN-RED.txt`` does not list.

An entry of that file is a line of four fields separated by ``|``: the id of the test,
the command and seed that reproduce the failure, what was observed, and the issue. For
each entry a line is printed that says whether its test failed in this run; a test that
no longer exists counts as one that did not fail.
"""

from __future__ import annotations

import sys
import unittest
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Fields of an entry, in order.
FIELDS = ("test", "command", "seen", "issue")


@dataclass(frozen=True)
class KnownRed:
    """An entry of ``KNOWN-RED.txt``: a test that is known to fail.

    Parameters
    ----------
    test : str
        Id of the test: its module, class and method, separated by dots.
    command : str
        Command and seed that reproduce the failure.
    seen : str
        What was observed.
    issue : str
        The open issue about the fault.
    """

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> dict[str, KnownRed]:
    """Return the entries by the id of their test; comments and empty lines are skipped.

    Raises
    ------
    ValueError
        If a line does not have exactly four fields, or one of them is empty.
    """
    entries = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(FIELDS) or not all(fields):
            raise ValueError(f"invalid entry {line!r}; allowed: {' | '.join(FIELDS)}")
        entries[fields[0]] = KnownRed(*fields)
    return entries


def failed_tests(result: unittest.TestResult) -> set[str]:
    """Return the ids of the failed tests.

    A failed subtest is reported under the test that contains it, and a test that passes
    although it is marked as an expected failure counts as failed.
    """
    failed = [test for test, _ in (*result.failures, *result.errors)]
    failed += result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in failed}


def verdict(failed: set[str], known: dict[str, KnownRed]) -> tuple[list[str], int]:
    """Return the lines to print and the exit code.

    The exit code is 1 if a test failed that is not known to fail.
    """
    lines = []
    for test, entry in known.items():
        state = "still fails" if test in failed else "did not fail in this run"
        lines.append(f"known red, {state}: {test}: {entry.seen} ({entry.issue})")
    unlisted = sorted(failed - set(known))
    lines += [f"failed: {test}" for test in unlisted]
    return lines, 1 if unlisted else 0


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
