"""The order in which connections are given up."""

from __future__ import annotations

import unittest

from rhubarbhall.adapters.eviction import (
    NONE_LIFETIME_S,
    ORDER_LIFETIME_S,
    Candidate,
    EvictionOrder,
)


class EvictionOrderTests(unittest.TestCase):
    def setUp(self):
        self.candidates: dict[str, Candidate] = {}
        self.looks = 0
        self.order = EvictionOrder(self.look, lambda sock: sock in self.candidates)

    def look(self, now):
        self.looks += 1
        return list(self.candidates.values())

    def add(self, name: str, since: float, weight: float) -> None:
        self.candidates[name] = Candidate(name, since, weight)

    def test_the_heaviest_one_that_is_old_enough_comes_first(self):
        self.add("light", since=0.0, weight=1.0)
        self.add("heavy", since=0.0, weight=9.0)
        self.add("young", since=9.5, weight=99.0)
        names = [self.order.next(10.0, 2.0) for _ in range(3)]
        self.assertEqual(names, ["heavy", "light", None])

    def test_one_that_is_no_candidate_any_more_is_passed_over(self):
        self.add("gone", since=0.0, weight=9.0)
        self.add("left", since=0.0, weight=1.0)
        self.order.next(10.0, 2.0)
        self.add("again", since=0.0, weight=5.0)
        del self.candidates["left"]
        self.assertIsNone(self.order.next(10.0, 2.0))
        now = 10.0 + 2 * ORDER_LIFETIME_S
        self.candidates.pop("gone")
        self.assertEqual(self.order.next(now + 2.0, 2.0), "again")

    # Each piece of a body without room looked through all connections.
    def test_connections_are_not_looked_through_in_vain(self):
        self.add("young", since=9.0, weight=1.0)
        for _ in range(100):
            self.assertIsNone(self.order.next(10.0, 2.0))
        self.assertEqual(self.looks, 1)
        self.assertEqual(self.order.next(11.0, 2.0), "young")

    def test_nobody_is_looked_for_again_at_once(self):
        for _ in range(100):
            self.assertIsNone(self.order.next(10.0, 0.0))
        self.assertEqual(self.looks, 1)
        self.add("new", since=10.0, weight=1.0)
        self.assertEqual(self.order.next(10.0 + 2 * NONE_LIFETIME_S, 0.0), "new")

    def test_a_shorter_age_looks_again(self):
        self.add("young", since=9.0, weight=1.0)
        self.assertIsNone(self.order.next(10.0, 2.0))
        self.assertEqual(self.order.next(10.0, 0.0), "young")


if __name__ == "__main__":
    unittest.main()
