"""Changes of the key table, and its records in the store."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.key_table import KEY_COUNT, Claim, KeyTable
from rhubarbhall.core.ownership.records import decode_table, encode_table

A, B, C = (
    Claim("10.0.0.1:1", "ra"),
    Claim("10.0.0.2:1", "rb"),
    Claim("10.0.0.3:1", "rc"),
)


class KeyTableTests(unittest.TestCase):
    def setUp(self):
        self.table = KeyTable.divided([A, B])

    def test_the_first_table_divides_all_keys_evenly(self):
        self.assertEqual(
            self.table.size_by_owner(), {"10.0.0.1:1": 32768, "10.0.0.2:1": 32768}
        )
        self.assertEqual(self.table.find(0).owner, "10.0.0.1:1")
        self.assertEqual(self.table.find(KEY_COUNT - 1).owner, "10.0.0.2:1")

    def test_a_table_without_targets_is_an_error(self):
        with self.assertRaisesRegex(ValueError, "none was given"):
            KeyTable.divided([])

    def test_a_moved_range_waits_for_its_former_owner(self):
        moved = self.table.moved([((100, 199), C)])
        span = moved.find(150)
        self.assertEqual((span.owner, span.previous), ("10.0.0.3:1", "10.0.0.1:1"))
        self.assertFalse(span.is_free)
        self.assertGreater(span.fence, self.table.find(150).fence)
        self.assertEqual(moved.find(99).owner, "10.0.0.1:1")
        self.assertEqual(moved.find(200).owner, "10.0.0.1:1")

    def test_a_range_moved_twice_still_waits_for_the_target_that_held_it(self):
        moved = self.table.moved([((100, 199), C)]).moved([((100, 199), B)])
        span = moved.find(150)
        self.assertEqual((span.owner, span.previous), ("10.0.0.2:1", "10.0.0.1:1"))

    def test_release_frees_the_range_and_passes_the_token_on(self):
        moved = self.table.moved([((100, 199), C)])
        free = moved.released("10.0.0.1:1", [(100, 199)], {(100, 199): "tok"})
        self.assertTrue(free.find(150).is_free)
        self.assertEqual(free.find(150).token, "tok")

    def test_release_by_another_daemon_changes_nothing(self):
        moved = self.table.moved([((100, 199), C)])
        self.assertEqual(moved.released("10.0.0.2:1", [(100, 199)], {}), moved)

    def test_a_lost_owner_stays_the_previous_owner_until_its_lease_ends(self):
        lost = self.table.with_owner_lost("10.0.0.1:1").moved([((0, 32767), B)])
        span = lost.find(5)
        self.assertEqual((span.owner, span.previous), ("10.0.0.2:1", "10.0.0.1:1"))
        self.assertTrue(span.previous_lost)

    def test_a_new_run_gets_a_new_fence_and_frees_nothing(self):
        moved = self.table.moved([((100, 199), C)])
        renewed = moved.with_runs({"10.0.0.1:1": "ra2"})
        self.assertEqual(renewed.find(150), moved.find(150))
        self.assertEqual(renewed.find(5).run, "ra2")
        self.assertGreater(renewed.find(5).fence, moved.find(5).fence)

    def test_a_record_decodes_to_the_same_table(self):
        moved = self.table.moved([((100, 199), C)]).with_owner_lost("10.0.0.2:1")
        self.assertEqual(decode_table(encode_table(moved)), moved)

    def test_a_record_with_a_gap_is_refused(self):
        gap = KeyTable(self.table.spans[1:], 9)
        with self.assertRaisesRegex(ValueError, "does not follow"):
            decode_table(encode_table(gap))

    def test_bytes_that_are_no_record_are_refused(self):
        for data in (b"", b"\x93", b"nonsense", encode_table(self.table)[:-3]):
            with self.subTest(data=data[:8]), self.assertRaises(ValueError):
                decode_table(data)
