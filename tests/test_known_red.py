from __future__ import annotations

import unittest

from tests.__main__ import KnownRed, failed_tests, read_known_red, verdict

LINE = "tests.a.T.test_b | python -m unittest tests.a, seed 3 | two holders | 9"


class KnownRedTests(unittest.TestCase):
    def test_entries_are_read_and_comments_skipped(self):
        known = read_known_red(f"# open faults\n\n{LINE}\n")
        self.assertEqual(known["tests.a.T.test_b"].issue, "9")

    def test_a_line_without_all_fields_is_an_error(self):
        for text in ("tests.a.T.test_b", "a | b | c |", "a | b | c | d | e"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                read_known_red(text)

    def test_only_listed_failures_are_tolerated(self):
        known = {"a": KnownRed("a", "c", "seen", "9")}
        self.assertEqual(verdict(set(), known)[1], 0)
        self.assertEqual(verdict({"a"}, known)[1], 0)
        lines, code = verdict({"a", "b"}, known)
        self.assertEqual(code, 1)
        self.assertIn("failed: b", lines)
        self.assertTrue(any("still fails: a" in line for line in lines))

    def test_failures_errors_and_failed_subtests_are_found(self):
        class Sample(unittest.TestCase):
            def test_fails(self):
                self.fail("expected failure")

            def test_breaks(self):
                raise RuntimeError("expected error")

            def test_part(self):
                with self.subTest(part=1):
                    self.fail("expected failure")

            def test_passes(self):
                pass

        result = unittest.TestResult()
        unittest.defaultTestLoader.loadTestsFromTestCase(Sample).run(result)
        names = {each.rsplit(".", 1)[1] for each in failed_tests(result)}
        self.assertEqual(names, {"test_fails", "test_breaks", "test_part"})
