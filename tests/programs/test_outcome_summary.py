"""Sums of outcomes by route and reason, from the logs of routers."""

from __future__ import annotations

import unittest

import msgspec
from click.testing import CliRunner

from rhubarbhall.programs.ctl import command
from rhubarbhall.programs.outcome_summary import summarize, summary_rows


def line(route: str, took_s: float, outcome: str, code: int = 512, **fields) -> str:
    message = {"code": code, "route": route, "took_s": took_s, "outcome": outcome}
    return msgspec.json.encode({**message, **fields}).decode()


LINES = [
    line("look", 0.1, "answered", status=200),
    "  7.1 vm-2 " + line("look", 0.3, "answered", status=200),
    line("look", 0.8, "not_run", kind="overloaded"),
    line("credit", 0.2, "unknown", kind="answer_lost"),
    line("look", 0.8, "not_run", code=513, kind="overloaded"),
    "no message",
    '{"code": 512',
]


class OutcomeSummaryTests(unittest.TestCase):
    def test_outcomes_are_summed_by_route_and_reason(self):
        rows = {(row.route, row.reason): row for row in summarize(LINES)}
        counts = {place: len(row.durations_s) for place, row in rows.items()}
        expected = {
            ("look", "200"): 2,
            ("look", "overloaded"): 1,
            ("credit", "answer_lost"): 1,
        }
        self.assertEqual(counts, expected)

    def test_the_most_frequent_outcome_comes_first_with_its_times(self):
        first = next(summary_rows(summarize(LINES)))
        self.assertEqual(first, ("look", "answered", "200", 2, "0.300", "0.300"))

    def test_the_command_reads_standard_input(self):
        result = CliRunner().invoke(command, ["outcomes"], input="\n".join(LINES))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("overloaded", result.output)

    def test_the_command_says_so_if_there_is_nothing_to_sum(self):
        result = CliRunner().invoke(command, ["outcomes"], input="nothing\n")
        self.assertNotEqual(result.exit_code, 0)
        self.assertIn("no log line reports", result.output)
