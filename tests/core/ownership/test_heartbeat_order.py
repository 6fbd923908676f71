"""Which heartbeats of the local target are new, and which were late on their way."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.heartbeat import Heartbeat, run_name, split_run
from rhubarbhall.core.ownership.heartbeat_order import (
    CONFIRMATION_S,
    MAX_ENDED_RUNS,
    HeartbeatOrder,
)
from rhubarbhall.core.ownership.records import TargetState

#: Time for which a silent run may hold its keys, in seconds.
HOLD_S = 3.0


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
        self.held_until = self.now

    def arrives(self, instance: str, born: int, sequence: int, leaves=False) -> bool:
        beat = heartbeat(instance, born, sequence)
        is_new = self.order.accepts(self.now, beat, leaves, self.held_until)
        if is_new:
            self.order.record(beat)
            self.held_until = self.now + HOLD_S
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
            self.now += 0.9
            self.assertTrue(self.arrives("i", 6, sequence))
            self.assertFalse(self.arrives("i", 5, sequence))

    def test_a_run_that_has_left_does_not_come_back(self):
        self.order.record_departed("i@5")
        self.arrives("i", 6, 1)
        for sequence in range(10, 20):
            self.now += HOLD_S
            self.assertFalse(self.arrives("i", 5, sequence))

    # A target that started again after its clock had gone back was never used.
    def test_an_earlier_start_counts_once_the_known_run_holds_nothing_any_more(self):
        self.arrives("i", 5000, 9)
        self.assertFalse(self.arrives("i", 3000, 1))
        self.assertFalse(self.arrives("i", 3000, 2))
        self.now += HOLD_S + 0.01
        self.assertFalse(self.arrives("i", 3000, 1))
        self.assertTrue(self.arrives("i", 3000, 3))

    # Guards against: late heartbeats of a former run that take the keys of a live one,
    # which is silent for longer than they are apart.
    def test_an_earlier_start_does_not_count_while_the_known_run_may_hold_keys(self):
        self.arrives("i", 5000, 9)
        for sequence in range(7, 17):
            self.now += HOLD_S / 10
            self.assertFalse(self.arrives("i", 3000, sequence))

    def test_heartbeats_that_were_held_up_together_confirm_nothing(self):
        self.arrives("i", 5000, 9)
        self.now += HOLD_S + 0.01
        for sequence in (7, 8, 9):
            self.assertFalse(self.arrives("i", 3000, sequence))
            self.now += CONFIRMATION_S / 3 - 0.01

    def test_the_run_before_a_clock_went_back_does_not_come_back(self):
        self.arrives("i", 5000, 9)
        self.arrives("i", 3000, 1)
        self.now += HOLD_S + 0.01
        self.assertTrue(self.arrives("i", 3000, 2))
        self.assertFalse(self.arrives("i", 5000, 10))
        self.assertTrue(self.arrives("i", 3000, 3))

    # Guards against: a live run that is never used again, as another one was taken for
    # the next, or as a heartbeat with a much too high sequence came under its name.
    def test_a_mistake_is_taken_back_once_the_other_run_is_silent(self):
        for instance, born, sequence in (("j", 9000, 1), ("i", 5000, 10**9)):
            with self.subTest(instance=instance):
                self.setUp()
                self.arrives("i", 5000, 1)
                self.assertTrue(self.arrives(instance, born, sequence))
                accepted = []
                for following in range(2, 10):
                    self.now += 0.9
                    accepted.append(self.arrives("i", 5000, following))
                self.assertEqual(accepted, [False] * 3 + [True] * 5)

    def test_two_unknown_runs_do_not_keep_each_other_from_being_used(self):
        self.arrives("i", 5000, 1)
        for sequence in range(2, 5):
            self.now += HOLD_S / 2
            accepted = [self.arrives(name, 3000, sequence) for name in ("h", "g")]
        self.assertTrue(any(accepted))

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
