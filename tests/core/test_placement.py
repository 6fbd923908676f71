from __future__ import annotations

import unittest
from collections import Counter

from rhubarbhall.core.placement import CANDIDATE_COUNT, Ring

NAMES = [f"service/{number}" for number in range(2_000)]


def ring_of(count: int, weight_by_member: dict[str, float] | None = None) -> Ring:
    ring = Ring()
    for number in range(count):
        member = f"member-{number}"
        ring.add(member, (weight_by_member or {}).get(member, 1.0))
    return ring


class RingTests(unittest.TestCase):
    """Which member a ring chooses for a name, and how changes of the ring affect it."""

    def test_an_empty_ring_chooses_no_member(self):
        self.assertIsNone(Ring().choose("a"))

    def test_the_order_of_additions_does_not_matter(self):
        forward, backward = Ring(), Ring()
        members = [f"member-{number}" for number in range(50)]
        for member in members:
            forward.add(member, 1.0)
        for member in reversed(members):
            backward.add(member, 1.0)
        self.assertEqual(
            [forward.choose(name) for name in NAMES],
            [backward.choose(name) for name in NAMES],
        )

    def test_a_loss_changes_only_the_choices_of_the_lost_member(self):
        ring = ring_of(CANDIDATE_COUNT)
        before = {name: ring.choose(name) for name in NAMES}
        ring.remove("member-3")
        for name in NAMES:
            if before[name] != "member-3":
                self.assertEqual(ring.choose(name), before[name])
            else:
                self.assertNotEqual(ring.choose(name), "member-3")

    def test_a_loss_changes_few_choices_of_a_large_ring(self):
        ring = ring_of(60)
        before = {name: ring.choose(name) for name in NAMES}
        ring.remove("member-3")
        changed = sum(ring.choose(name) != before[name] for name in NAMES)
        former_count = sum(owner == "member-3" for owner in before.values())
        self.assertLess(changed, 4 * max(former_count, len(NAMES) // 60))

    def test_a_member_of_higher_weight_gets_more_names(self):
        ring = ring_of(6, {"member-0": 3.0})
        counts = Counter(ring.choose(name) for name in NAMES)
        mean_of_others = sum(counts[f"member-{n}"] for n in range(1, 6)) / 5
        self.assertGreater(counts["member-0"], 2 * mean_of_others)

    def test_ranked_yields_every_member_once(self):
        ring = ring_of(20)
        self.assertEqual(len(set(ring.ranked("x"))), 20)
        self.assertEqual(len(list(ring.ranked("x"))), 20)
