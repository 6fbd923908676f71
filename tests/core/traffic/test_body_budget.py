"""Room for the bodies of all requests in a process."""

from __future__ import annotations

import unittest

from rhubarbhall.core.traffic.body_budget import (
    HARD_LIMIT_SHARE,
    SMALL_BODY_BYTES,
    YIELD_TO_ANSWER_S,
    YIELD_TO_BODY_S,
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

    # A body that waits to be sent to a peer counted twice, and kept others out.
    def test_a_body_with_several_holders_counts_once_until_the_last_lets_go(self):
        body = bytes(400_000)
        self.reservation.grow(len(body))
        self.reservation.settle(body)
        self.budget.hold(body)
        self.assertEqual(self.budget.used, len(body))
        self.reservation.release()
        self.assertEqual(self.budget.used, len(body))
        self.budget.drop(body)
        self.assertEqual(self.budget.used, 0)

    def free_from(self, held: list[int], ages: list[float]):
        def free(age_s: float) -> bool:
            ages.append(age_s)
            if held:
                held.pop()
            return bool(held)

        self.budget.add_source(lambda: sum(held))
        return free

    # Answers that nobody read kept all bodies out, and took routers over their memory.
    def test_connections_yield_to_a_body_until_it_has_room(self):
        held, ages = [400_000, 400_000, 200_000], []
        self.budget.add_relief(self.free_from(held, ages))
        self.assertTrue(self.reservation.grow(500_000))
        self.assertEqual(held, [400_000])
        self.assertEqual(ages, [YIELD_TO_BODY_S] * 2)

    def test_nothing_yields_to_a_body_that_never_has_room(self):
        ages: list[float] = []
        self.budget.add_relief(self.free_from([LIMIT], ages))
        self.assertFalse(self.budget.make_room(LIMIT + 1))
        self.assertEqual(ages, [])

    def test_far_over_the_limit_connections_yield_at_any_age(self):
        hard = int(HARD_LIMIT_SHARE * LIMIT)
        held, ages = [LIMIT, hard - LIMIT, 1], []
        self.budget.add_relief(self.free_from(held, ages))
        self.budget.relieve()
        self.assertEqual(ages, [0.0, YIELD_TO_ANSWER_S])
        self.assertEqual(held, [LIMIT])

    def test_without_a_limit_all_bodies_are_taken(self):
        self.assertTrue(BodyReservation(BodyBudget()).grow(1 << 40))


if __name__ == "__main__":
    unittest.main()
