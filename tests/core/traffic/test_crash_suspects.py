"""Requests under which targets have ended: what is concluded, merged and forgotten."""

from __future__ import annotations

import itertools
import random
import unittest
from dataclasses import replace

from rhubarbhall.core.traffic.crash_suspects import (
    KEPT_S,
    MAX_SUSPECTS,
    MAX_UPDATES,
    REJECTED_S,
    CrashSuspects,
    Standing,
    SuspectRecord,
    fingerprint_of,
)
from rhubarbhall.core.traffic.lost_runs import MAX_AGE_S, LostRuns
from tests.core.traffic.test_admission_queue import REQUEST

REQUEST_MARK = fingerprint_of(replace(REQUEST))


class FingerprintTests(unittest.TestCase):
    def test_equal_requests_with_other_ids_have_the_same(self):
        for changes in ({"id": "other"}, {"host": "H:80"}, {"deadline": 9.0}):
            with self.subTest(**changes):
                other = replace(REQUEST, fingerprint=b"", **changes)
                self.assertEqual(fingerprint_of(other), REQUEST_MARK)

    def test_other_requests_have_others(self):
        changes = (
            {"path": "/?"},
            {"body": b"x"},
            {"method": "POST"},
            {"host": "i"},
            {"caller": "d"},
            # The same text, divided elsewhere.
            {"caller": "ch", "host": ""},
        )
        marks = {
            fingerprint_of(replace(REQUEST, fingerprint=b"", **each))
            for each in changes
        }
        self.assertEqual(len(marks | {REQUEST_MARK}), len(changes) + 1)


class StandingTests(unittest.TestCase):
    def setUp(self):
        self.suspects = CrashSuspects()
        self.runs = (f"i-{number}@1" for number in itertools.count())

    def end(self, now: float, was_alone: bool = False, run: str | None = None) -> None:
        run = run or next(self.runs)
        self.suspects.record_end(now, REQUEST_MARK, run, was_alone)

    def standing(self, now: float) -> Standing:
        return self.suspects.standing(now, replace(REQUEST))

    def test_it_grows_with_the_ends_of_targets(self):
        self.assertIs(self.standing(0.0), Standing.CLEAR)
        self.end(0.0)
        self.assertIs(self.standing(0.0), Standing.SUSPECT)
        self.end(1.0)
        self.assertIs(self.standing(1.0), Standing.ISOLATED)
        self.end(2.0, was_alone=True)
        self.assertIs(self.standing(2.0), Standing.REJECTED)

    # Guards against: a request rejected for targets that ended beside other causes.
    def test_ends_beside_other_requests_never_reject_it(self):
        for second in range(20):
            self.end(float(second))
        self.assertIs(self.standing(20.0), Standing.ISOLATED)

    def test_the_same_end_counts_once(self):
        for _ in range(3):
            self.end(0.0, run="i-0@1")
        self.assertIs(self.standing(0.0), Standing.SUSPECT)

    def test_an_answer_clears_it(self):
        self.end(0.0)
        self.end(0.0)
        self.suspects.record_answered(1.0, replace(REQUEST))
        self.assertIs(self.standing(1.0), Standing.CLEAR)
        self.assertEqual(len(self.suspects), 0)

    # Guards against: an end counted as alone, although the request was answered
    # elsewhere while it ran.
    def test_an_end_alone_after_it_was_cleared_counts_as_the_first(self):
        self.end(0.0)
        self.end(0.0)
        self.suspects.clear(1.0, REQUEST_MARK)
        self.end(2.0, was_alone=True)
        self.assertIs(self.standing(2.0), Standing.SUSPECT)

    def test_after_a_while_one_trial_alone_decides(self):
        self.end(0.0)
        self.end(0.0)
        self.end(0.0, was_alone=True)
        later = REJECTED_S + 1.0
        self.assertIs(self.standing(REJECTED_S - 1.0), Standing.REJECTED)
        self.assertIs(self.standing(later), Standing.ISOLATED)
        self.end(later, was_alone=True)
        self.assertIs(self.standing(later), Standing.REJECTED)
        self.suspects.clear(later, REQUEST_MARK)
        self.assertIs(self.standing(later), Standing.CLEAR)


class MergeTests(unittest.TestCase):
    """Daemons that pass on what they know conclude the same."""

    SEEDS = range(200)

    def daemons_after(self, rng: random.Random) -> list[CrashSuspects]:
        daemons = [CrashSuspects() for _ in range(3)]
        for step in range(rng.randrange(1, 12)):
            now = float(step)
            daemon, other = rng.sample(daemons, 2)
            action = rng.randrange(4)
            if action == 0:
                daemon.record_end(now, REQUEST_MARK, f"i-{rng.randrange(4)}@1", False)
            elif action == 1:
                daemon.record_end(now, REQUEST_MARK, f"i-{rng.randrange(4)}@1", True)
            elif action == 2:
                daemon.clear(now, REQUEST_MARK)
            else:
                other.merge(now, daemon.take_updates(now))
        return daemons

    def test_in_any_order_and_repeated_they_conclude_the_same(self):
        for seed in self.SEEDS:
            rng = random.Random(seed)
            daemons = self.daemons_after(rng)
            # Each pair exchanges all, twice, in any order.
            pairs = list(itertools.permutations(daemons, 2)) * 2
            rng.shuffle(pairs)
            for _ in range(2):
                for sender, receiver in pairs:
                    receiver.merge(20.0, list(sender.records(20.0)))
            standings = {each.standing(20.0, replace(REQUEST)) for each in daemons}
            with self.subTest(seed=seed):
                self.assertEqual(len(standings), 1)
            known = list(daemons[0].records(20.0))
            self.assertFalse(daemons[1].merge(20.0, known), seed)

    def test_what_is_known_is_not_passed_on_again(self):
        first, second = CrashSuspects(), CrashSuspects()
        first.record_end(0.0, REQUEST_MARK, "i@1", False)
        updates = first.take_updates(0.0)
        self.assertTrue(second.merge(0.0, updates))
        self.assertEqual(len(second.take_updates(0.0)), 1)
        self.assertFalse(second.merge(0.1, updates))
        self.assertEqual(second.take_updates(0.1), [])


class BoundsTests(unittest.TestCase):
    def fill(self, suspects: CrashSuspects, count: int) -> None:
        for number in range(count):
            mark = number.to_bytes(16, "big")
            suspects.record_end(float(number) / count, mark, "i@1", False)

    # Guards against: a caller that changes one byte each time fills the memory, or
    # drives out a request that is rejected.
    def test_of_too_many_the_earliest_suspects_are_dropped_first(self):
        suspects = CrashSuspects()
        for run, was_alone in (("i@1", False), ("j@1", False), ("k@1", True)):
            suspects.record_end(0.0, REQUEST_MARK, run, was_alone)
        self.fill(suspects, 3 * MAX_SUSPECTS)
        self.assertEqual(len(suspects), MAX_SUSPECTS)
        standing = suspects.standing(1.0, replace(REQUEST))
        self.assertIs(standing, Standing.REJECTED)
        self.assertEqual(len(suspects.take_updates(1.0)), MAX_UPDATES)

    def test_the_most_severe_are_passed_on_first(self):
        suspects = CrashSuspects()
        self.fill(suspects, 50)
        for run, was_alone in (("i@1", False), ("j@1", False), ("k@1", True)):
            suspects.record_end(0.0, REQUEST_MARK, run, was_alone)
        first = next(suspects.records(1.0))
        self.assertEqual(first.fingerprint, REQUEST_MARK)

    def test_suspects_are_forgotten_after_a_while(self):
        suspects = CrashSuspects()
        self.fill(suspects, 5)
        suspects.forget_old(KEPT_S)
        self.assertEqual(len(suspects), 5)
        suspects.forget_old(KEPT_S + 2.0)
        self.assertEqual(len(suspects), 0)
        self.assertEqual(list(suspects.records(KEPT_S + 2.0)), [])
        old = SuspectRecord(REQUEST_MARK, 0, (1,), False, KEPT_S + 1.0)
        self.assertFalse(suspects.merge(0.0, [old]))


class LostRunsTests(unittest.TestCase):
    def setUp(self):
        self.lost = LostRuns()
        self.lost.record_lost(10.0, replace(REQUEST), False)

    def test_an_answer_to_a_later_request_shows_that_the_target_runs(self):
        self.lost.record_answer(9.9)
        self.assertEqual(len(self.lost.take(10.1)), 1)
        self.lost.record_lost(11.0, replace(REQUEST), False)
        self.lost.record_answer(11.1)
        self.assertEqual(self.lost.take(11.2), [])

    def test_an_end_long_after_explains_nothing(self):
        self.assertEqual(self.lost.take(10.0 + MAX_AGE_S + 0.1), [])
