from __future__ import annotations

import unittest

from rhubarbhall.core.errors import SelectorError
from rhubarbhall.core.selectors import parse_selector

LABELS = {"app": "board", "region": "south"}


class SelectorTests(unittest.TestCase):
    def test_each_form_accepts_and_rejects_labels(self):
        cases = {
            "app=board": True,
            "app==board": True,
            "app=desk": False,
            "app!=desk": True,
            "app!=board": False,
            "tier!=gold": True,
            "region in (south, west)": True,
            "region in (west)": False,
            "region notin (west)": True,
            "region notin (south)": False,
            "app": True,
            "tier": False,
            "!tier": True,
            "!app": False,
            "app=board, region in (south, west), !tier": True,
            "app=board, tier": False,
            "": True,
        }
        for text, expected in cases.items():
            with self.subTest(text=text):
                self.assertEqual(parse_selector(text).matches(LABELS), expected)

    def test_a_syntax_error_lists_the_allowed_forms(self):
        for text in ("a=", "=b", "a in", "a in ()", "a ~ b", "a=b,,c", "a in (b c)"):
            with self.subTest(text=text), self.assertRaises(SelectorError) as caught:
                parse_selector(text)
            self.assertIn("allowed forms", str(caught.exception))
