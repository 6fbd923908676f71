"""Which heartbeats of the local target are new, and which were late on their way."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.heartbeat_order import (
    CONFIRMATION_S,
    MAX_ENDED_RUNS,
    HeartbeatOrder,
    run_name,
    split_run,
)
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.ownership.target_keys import Heartbeat


def heartbeat(instance: str, born: int, sequence: int) -> Heartbeat:
    return Heartbeat(instance, born, sequence, TargetState.READY, 9)


class RunNameTests(unittest.TestCase):
    def test_a_run_is_told_apart_into_its_parts(self):
        for instance, born in (("i", 0), ("a@b", 17), ("", 3)):
            self.assertEqual(split_run(run_name(instance, born)), (instance, born))

    def test_a_run_without_a_start_is_older_than_all_others(self):
        for run in ("i", "i@", "i@x", "i@²"):
            self.assertEqual(split_run(run), (run, -1))


class HeartbeatOrderTests(unittest.TestCase):
    def setUp(self):
        self.order = HeartbeatOrder()
        self.now = 100.0

    def arrives(self, instance: str, born: int, sequence: int, leaves=False) -> bool:
        beat = heartbeat(instance, born, sequence)
        is_new = self.order.accepts(self.now, beat, leaves)
        if is_new:
            self.order.record(beat)
        return is_new

    def test_heartbeats_of_a_run_count_in_order(self):
        accepted = [self.arrives("i", 5, sequence) for sequence in (1, 3, 2, 3, 4)]
        self.assertEqual(accepted, [True, True, False, False, True])

    def test_a_later_start_is_a_new_run_at_once(self):
        self.arrives("i", 5, 9)
        self.assertTrue(self.arrives("i", 6, 1))
        self.assertTrue(self.arrives("j", 7, 40))

    def test_a_run_that_has_ended_does_not_come_back(self):
        self.arrives("i", 5, 9)
        self.arrives("i", 6, 1)
        for sequence in range(10, 20):
            self.now += CONFIRMATION_S
            self.assertFalse(self.arrives("i", 5, sequence))

    # A target that started again after its clock had gone back was never used.
    def test_an_earlier_start_counts_once_another_heartbeat_confirms_it(self):
        self.arrives("i", 5000, 9)
        self.assertFalse(self.arrives("i", 3000, 1))
        self.assertFalse(self.arrives("i", 3000, 2))
        self.now += CONFIRMATION_S + 0.01
        self.assertFalse(self.arrives("i", 3000, 1))
        self.assertTrue(self.arrives("i", 3000, 3))

    def test_the_run_before_a_clock_went_back_does_not_come_back(self):
        self.arrives("i", 5000, 9)
        self.arrives("i", 3000, 1)
        self.now += CONFIRMATION_S + 0.01
        self.assertTrue(self.arrives("i", 3000, 2))
        self.assertFalse(self.arrives("i", 5000, 10))
        self.assertTrue(self.arrives("i", 3000, 3))

    def test_late_heartbeats_beside_those_of_the_known_run_do_not_count(self):
        self.arrives("i", 5000, 1)
        for sequence in range(2, 12):
            self.now += 0.9
            self.assertFalse(self.arrives("h", 3000, sequence))
            self.assertTrue(self.arrives("i", 5000, sequence))

    def test_an_earlier_start_counts_at_once_after_a_run_that_leaves(self):
        self.arrives("i", 5000, 9)
        self.assertFalse(self.arrives("h", 3000, 7, leaves=True))
        self.assertTrue(self.arrives("i", 4000, 1, leaves=True))

    def test_a_recorded_run_is_followed_by_all_of_its_heartbeats(self):
        self.order.restore("i@5000")
        self.assertFalse(self.arrives("h", 3000, 8))
        self.assertTrue(self.arrives("i", 5000, 4))

    def test_ended_runs_are_forgotten_in_the_end(self):
        for born in range(MAX_ENDED_RUNS + 5):
            self.arrives("i", born, 1)
        self.assertEqual(len(self.order._ended), MAX_ENDED_RUNS)


if __name__ == "__main__":
    unittest.main()
