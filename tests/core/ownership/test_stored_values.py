"""The form of large values in the store."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.records import decode_table, encode_table
from rhubarbhall.core.ownership.stored_values import MARK, pack_value, unpack_value


def table_of(count: int) -> KeyTable:
    owners = [f"10.0.{n % 6}.{n}:7001" for n in range(1, count + 1)]
    table = KeyTable.divided([Claim(each, f"i-{each} 1754{each}") for each in owners])
    for index, owner in enumerate(owners):
        witnesses = [owners[(index + each) % count] for each in range(1, 6)]
        table = table.with_witnesses(owner, witnesses)
    return table


class StoredValueTests(unittest.TestCase):
    # Tables were 3.7 MB of appends and most of 13.7 MB of reads in a day with faults.
    def test_a_table_takes_less_than_half_of_its_bytes(self):
        value = encode_table(table_of(27))
        stored = pack_value(value)
        self.assertLess(len(stored), len(value) / 2)
        self.assertEqual(unpack_value(stored), value)

    def test_plain_values_of_earlier_builds_are_read(self):
        value = encode_table(table_of(27))
        self.assertEqual(decode_table(unpack_value(value)), table_of(27))

    def test_short_values_and_those_that_gain_nothing_stay_plain(self):
        self.assertEqual(pack_value(b"x" * 100), b"x" * 100)
        noise = bytes((n * n * 31 + n // 7) % 251 for n in range(600))
        self.assertLessEqual(len(pack_value(noise)), len(noise))

    def test_a_damaged_value_is_left_to_be_rejected(self):
        for stored in (MARK, MARK + b"x", pack_value(b"a" * 900)[:-3]):
            self.assertEqual(unpack_value(stored), stored)
            self.assertRaises(ValueError, decode_table, stored)


if __name__ == "__main__":
    unittest.main()
