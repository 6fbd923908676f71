from __future__ import annotations

import random
import unittest
from collections import Counter

from rhubarbhall.core.balancing import EJECTION_FAILURES, Balancer
from rhubarbhall.core.context import Context
from rhubarbhall.core.records import IntentRecord, Join, StoredRecord, make_envelope
from rhubarbhall.core.requests import Response
from rhubarbhall.core.timing import Timing

DOCUMENT = {
    "services": {"s": {"targets": "app=s", "keyed": False, "slots": 10}},
    "preferences": {"regions": ["west"]},
}
REGION_BY_MEMBER = {"a": "south", "b": "south", "c": "west", "d": "north"}
NO_MEMBERS: frozenset[str] = frozenset()


class BalancerTests(unittest.TestCase):
    def setUp(self):
        joins = [
            Join(name, f"{name}:1", f"{name}:2", region, f"d-{name}", {"app": "s"})
            for name, region in REGION_BY_MEMBER.items()
        ]
        self.context = Context(joins[0], Timing(), random.Random(5), lambda: 0)
        for offset, record in enumerate([*joins, IntentRecord(0, DOCUMENT)]):
            stored = StoredRecord(offset, make_envelope(f"r{offset}", record))
            self.context.directory.apply(stored)
        self.balancer = Balancer(self.context)
        self.service = self.context.directory.intent.services["s"]

    def choose(self, exclude=NO_MEMBERS) -> str | None:
        return self.balancer.choose(100.0, self.service, exclude)

    def fill(self, count: int) -> Counter[str]:
        chosen: Counter[str] = Counter()
        for _ in range(count):
            member = self.choose()
            self.balancer.record_sent(100.0, member)
            chosen[member] += 1
        return chosen

    def test_the_nearest_members_are_used_first_and_evenly(self):
        chosen = self.fill(12)
        self.assertEqual(set(chosen), {"a", "b"})
        self.assertLessEqual(abs(chosen["a"] - chosen["b"]), 1)

    def test_the_preferred_region_is_used_when_the_nearest_members_are_full(self):
        chosen = self.fill(24)
        self.assertGreater(chosen["c"], 0)
        self.assertEqual(chosen["d"], 0)

    def test_a_failing_member_is_ejected_for_a_while(self):
        for _ in range(EJECTION_FAILURES):
            self.balancer.record_sent(100.0, "b")
            self.balancer.record_outcome(100.0, "b", None)
        self.assertEqual({self.choose() for _ in range(50)}, {"a"})
        later = {
            self.balancer.choose(110.0, self.service, NO_MEMBERS) for _ in range(50)
        }
        self.assertEqual(later, {"a", "b"})

    def test_a_member_is_chosen_although_all_of_them_fail(self):
        for member in REGION_BY_MEMBER:
            for _ in range(EJECTION_FAILURES):
                self.balancer.record_outcome(100.0, member, None)
        self.assertIsNotNone(self.choose())

    def test_an_excluded_member_is_not_chosen(self):
        self.assertEqual(self.choose(frozenset({"a", "b", "c"})), "d")
        self.assertIsNone(self.choose(frozenset(REGION_BY_MEMBER)))

    def test_a_new_member_starts_with_a_small_share(self):
        self.fill(2)
        for member in ("a", "b"):
            for _ in range(2):
                self.balancer.record_outcome(100.0, member, Response(200))
        join = Join("e", "e:1", "e:2", "south", "d-a", {"app": "s"})
        offset = self.context.directory.next_offset
        self.context.directory.apply(StoredRecord(offset, make_envelope("e", join)))
        self.balancer.record_joined(100.0, ("e",))
        chosen: Counter[str] = Counter()
        for _ in range(300):
            member = self.choose()
            chosen[member] += 1
            self.balancer.record_sent(100.0, member)
            self.balancer.record_outcome(100.0, member, Response(200))
        self.assertLess(chosen["e"], 300 / 4)
