"""Traces of a request from log lines, and explanations of kinds and numbers."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.log_events import SPEC_BY_CODE
from rhubarbhall.programs.trace import explain, find_lines, format_trace


def line(timestamp: float, code: int, request: str, **fields) -> str:
    message = {"timestamp": timestamp, "vm": "vm-1", "code": code, "request": request}
    return msgspec.json.encode({**message, **fields}).decode()


class TraceTests(unittest.TestCase):
    def test_a_trace_is_in_order_and_includes_calls_made_for_the_request(self):
        lines = [
            line(2.5, 512, "abc", outcome="unknown", kind="answer_lost"),
            "  1.000 vm-2 " + line(2.0, 513, "abc.77", outcome="answered"),
            line(2.1, 513, "abcd", outcome="answered"),
            "not json abc",
            '["abc"]',
        ]
        trace = list(format_trace(find_lines(lines, "abc")))
        self.assertIn("request=abc.77", trace[0])
        self.assertIn("request_ended", trace[1])
        self.assertIn("answer_lost:", trace[2])
        self.assertEqual(len(trace), 3)

    def test_a_trace_explains_each_error_kind(self):
        for kind in ErrorKind:
            logged = line(1.0, 512, "q", outcome="not_run", kind=str(kind))
            trace = "\n".join(format_trace(find_lines([logged], "q")))
            self.assertIn(f"{kind}: ", trace)

    def test_every_kind_and_number_is_explained(self):
        for word in [*ErrorKind, *map(str, SPEC_BY_CODE)]:
            self.assertTrue(explain(word))

    def test_the_error_for_an_unknown_word_lists_what_is_allowed(self):
        with self.assertRaisesRegex(ValueError, "allowed: .*no_owner"):
            explain("nonsense")
