"""Load pattern: long and short work on targets with few slots."""

from __future__ import annotations

import unittest

from rhubarbhall.core.traffic.slot_reservation import SlotReservation


class SlotReservationTests(unittest.TestCase):
    def setUp(self):
        self.reservation = SlotReservation()

    def run_short(self, until_s: float, per_s: int, took_s: float) -> None:
        for index in range(int(until_s * per_s)):
            self.reservation.record_short(index / per_s, took_s)

    def test_little_short_work_does_not_idle_two_of_three_slots(self):
        self.run_short(4.0, per_s=25, took_s=0.024)
        self.assertEqual(self.reservation.max_long(4.0, 3), 2)

    def test_as_many_slots_are_reserved_as_short_work_needs(self):
        self.run_short(6.0, per_s=60, took_s=0.05)
        self.assertEqual(self.reservation.max_long(6.0, 18), 13)

    def test_short_work_cannot_reserve_more_than_its_share(self):
        self.run_short(6.0, per_s=400, took_s=0.05)
        self.assertEqual(self.reservation.max_long(6.0, 18), 11)

    def test_the_reservation_ends_with_the_short_work(self):
        self.run_short(4.0, per_s=100, took_s=0.05)
        self.assertEqual(self.reservation.max_long(30.0, 18), 17)

    def test_one_slot_of_many_is_always_reserved(self):
        self.assertEqual(self.reservation.max_long(0.0, 4), 3)

    def test_rare_short_work_reserves_none_of_few_slots(self):
        self.run_short(4.0, per_s=3, took_s=0.01)
        self.assertEqual(self.reservation.max_long(4.0, 3), 3)

    def test_long_work_always_gets_a_slot(self):
        self.run_short(6.0, per_s=400, took_s=0.05)
        self.assertEqual(self.reservation.max_long(6.0, 1), 1)
        self.assertEqual(self.reservation.max_long(6.0, 2), 1)


if __name__ == "__main__":
    unittest.main()
