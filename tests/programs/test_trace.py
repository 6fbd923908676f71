from __future__ import annotations

import unittest

import msgspec

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.notes import SPEC_BY_CODE
from rhubarbhall.programs.trace import explain, find_lines, tell_story


def line(timestamp: float, code: int, request: str, **fields) -> str:
    message = {"timestamp": timestamp, "vm": "vm-1", "code": code, "request": request}
    return msgspec.json.encode({**message, **fields}).decode()


class TraceTests(unittest.TestCase):
    def test_the_story_is_in_order_and_has_the_calls_of_the_run(self):
        lines = [
            line(2.5, 512, "abc", outcome="unknown", kind="answer_lost"),
            "  1.000 vm-2 " + line(2.0, 513, "abc.77", outcome="answered"),
            line(2.1, 513, "abcd", outcome="answered"),
            "not json abc",
            '["abc"]',
        ]
        story = list(tell_story(find_lines(lines, "abc")))
        self.assertIn("request=abc.77", story[0])
        self.assertIn("request_ended", story[1])
        self.assertIn("answer_lost:", story[2])
        self.assertEqual(len(story), 3)

    def test_the_story_of_each_outcome_tells_its_cause(self):
        for kind in ErrorKind:
            told = line(1.0, 512, "q", outcome="not_run", kind=str(kind))
            story = "\n".join(tell_story(find_lines([told], "q")))
            self.assertIn(f"{kind}: ", story)

    def test_every_kind_and_number_is_explained(self):
        for word in [*ErrorKind, *map(str, SPEC_BY_CODE)]:
            self.assertTrue(explain(word))

    def test_an_unknown_word_lists_what_is_allowed(self):
        with self.assertRaisesRegex(ValueError, "allowed: .*no_owner"):
            explain("nonsense")
