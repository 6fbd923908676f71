"""Checks that the catalogues of errors and events in the documentation match the code.

It also checks that relative links between the pages point to existing files.
"""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from rhubarbhall.core.errors import ANSWER_BY_KIND, ErrorKind
from rhubarbhall.core.log_events import SPEC_BY_CODE

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"


def table_rows(page: str) -> list[list[str]]:
    """Return the cells of the table on a page, without its header and separator."""
    lines = (DOCS / page).read_text(encoding="utf-8").splitlines()
    rows = [line.strip("|").split("|") for line in lines if line.startswith("| ")]
    return [[cell.strip() for cell in row] for row in rows[2:]]


class CatalogueTests(unittest.TestCase):
    def test_every_error_kind_has_an_answer(self):
        self.assertEqual(set(ANSWER_BY_KIND), set(ErrorKind))

    def test_errors_page_lists_every_error_kind(self):
        expected = [
            [
                f"`{kind}`",
                str(spec.status),
                str(spec.ran),
                "-" if spec.retry_after_s is None else str(spec.retry_after_s),
                spec.title,
            ]
            for kind, spec in ANSWER_BY_KIND.items()
        ]
        self.assertEqual(table_rows("errors.md"), expected)

    def test_events_page_lists_every_event(self):
        expected = [
            [str(code), f"`{spec.name}`", ", ".join(spec.fields) or "-", spec.meaning]
            for code, spec in SPEC_BY_CODE.items()
        ]
        self.assertEqual(table_rows("events.md"), expected)

    def test_event_numbers_in_the_source_are_those_of_the_catalogue(self):
        # Finds numbers written as literals, also in a conditional expression.
        used = set()
        for path in (ROOT / "rhubarbhall").rglob("*.py"):
            text = path.read_text(encoding="utf-8")
            used |= {int(code) for code in re.findall(r"LogEvent\(\s*(\d+)", text)}
            used |= {int(c) for c in re.findall(r"LogEvent\((\d+) if ", text)}
            used |= {
                int(c) for c in re.findall(r"LogEvent\(\d+ if .*? else (\d+)", text)
            }
        self.assertEqual(used, set(SPEC_BY_CODE))

    def test_links_between_pages_point_to_existing_files(self):
        for page in [*DOCS.rglob("*.md"), ROOT / "README.md"]:
            text = page.read_text(encoding="utf-8")
            for link in re.findall(r"\]\(([^)#:]+)\)", text):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())
