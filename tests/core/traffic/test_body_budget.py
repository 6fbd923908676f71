"""Room for the bodies of all requests in a process."""

from __future__ import annotations

import unittest

from rhubarbhall.core.traffic.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyReservation,
)

LIMIT = 1_000_000


class BodyBudgetTests(unittest.TestCase):
    def setUp(self):
        self.budget = BodyBudget(LIMIT)
        self.reservation = BodyReservation(self.budget)

    def test_bodies_together_stay_within_the_limit(self):
        other = BodyReservation(self.budget)
        self.assertTrue(self.reservation.grow(600_000))
        self.assertFalse(other.grow(400_001))
        self.assertTrue(other.grow(400_000))
        self.assertFalse(other.grow(1))
        self.assertEqual(self.budget.used, LIMIT)

    def test_room_is_given_back_once(self):
        self.reservation.grow(700_000)
        self.reservation.release()
        self.reservation.release()
        self.assertEqual(self.budget.used, 0)

    def test_room_is_given_back_when_a_request_is_dropped(self):
        self.reservation.grow(700_000)
        self.reservation = None
        self.assertEqual(self.budget.used, 0)

    def test_what_sources_hold_counts(self):
        held = 900_000
        self.budget.add_source(lambda: held)
        self.assertFalse(self.reservation.grow(100_001))
        held = 0
        self.assertTrue(self.reservation.grow(100_001))

    def test_a_small_body_is_taken_beside_large_ones(self):
        self.reservation.grow(LIMIT)
        small = BodyReservation(self.budget)
        self.assertTrue(small.grow(SMALL_BODY_BYTES))
        self.assertFalse(small.grow(1))

    def test_without_a_limit_all_bodies_are_taken(self):
        self.assertTrue(BodyReservation(BodyBudget()).grow(1 << 40))


if __name__ == "__main__":
    unittest.main()
