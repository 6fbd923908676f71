from __future__ import annotations

import unittest

from rhubarbhall.core.records import Leave, make_envelope
from rhubarbhall.standins.log import LogStore


class LogStoreTests(unittest.TestCase):
    def test_offsets_continue_after_the_oldest_records_are_dropped(self):
        store = LogStore(retained=3)
        offsets = [
            store.append(make_envelope(f"r{n}", Leave(f"m{n}"))) for n in range(5)
        ]
        self.assertEqual(offsets, [0, 1, 2, 3, 4])
        page = store.read(0, limit=10)
        self.assertEqual((page.first, page.end), (2, 5))
        self.assertEqual([each.offset for each in page.records], [2, 3, 4])

    def test_a_read_is_limited_and_may_be_empty(self):
        store = LogStore()
        for number in range(5):
            store.append(make_envelope(f"r{number}", Leave("m")))
        self.assertEqual([r.offset for r in store.read(1, limit=2).records], [1, 2])
        self.assertEqual(store.read(5, limit=2).records, ())
        self.assertEqual(store.read(9, limit=2).end, 5)
