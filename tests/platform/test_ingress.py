"""Pages of the readiness port."""

from __future__ import annotations

import unittest

from rhubarbhall.platform.ingress import PAGE_LIFETIME_S, CachedPage


class CachedPageTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.rendered = 0
        self.page = CachedPage(self.render, lambda: self.now)

    def render(self):
        self.rendered += 1
        return "text/plain", str(self.rendered).encode()

    # Clients that requested pages one after the other left no time for anything else.
    def test_a_page_is_not_rendered_for_each_request(self):
        pages = {self.page() for _ in range(100)}
        self.assertEqual(pages, {("text/plain", b"1")})

    def test_a_page_is_rendered_anew_after_some_time(self):
        self.page()
        self.now += 2 * PAGE_LIFETIME_S
        self.assertEqual(self.page(), ("text/plain", b"2"))


if __name__ == "__main__":
    unittest.main()
