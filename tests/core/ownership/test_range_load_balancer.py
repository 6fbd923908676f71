"""Load by key range: where ranges are cut, and which target gets them."""

from __future__ import annotations

import random
import unittest

from rhubarbhall.core.ownership.key_load import KeyLoadSampler, TargetLoad, choose_piece
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.range_load_balancer import RangeLoadBalancer

LOCAL, B, C = Claim("a:1", "ra"), Claim("b:1", "rb"), Claim("c:1", "rc")
SLOTS = 9


def balancer_with(keys: list[int], rate: float, took_s: float) -> RangeLoadBalancer:
    """Return the balancer of a target that gets requests for these keys.

    Parameters
    ----------
    keys : list of int
        Keys of the requests, in order.
    rate : float
        Requests per second.
    took_s : float
        Time that the target works on each request, in seconds.
    """
    sampler = KeyLoadSampler()
    for _ in range(200):
        sampler.record_duration(took_s)
    for index, key in enumerate(keys):
        sampler.record_request(10.0 + index / rate, key)
    balancer = RangeLoadBalancer(LOCAL.owner, sampler)
    balancer.slots = SLOTS
    return balancer


class HotRangeTests(unittest.TestCase):
    """Load pattern: 200 neighbouring keys get most of the traffic."""

    def setUp(self):
        rng = random.Random(1)
        self.keys = [rng.randrange(5000, 5200) for _ in range(150)]
        self.balancer = balancer_with(self.keys, rate=150, took_s=0.06)
        self.now = 11.0
        self.table = KeyTable.divided([LOCAL, B, C])
        idle = TargetLoad(0.1, 0.06 / SLOTS)
        self.balancer.record_load(self.now, B.owner, idle)
        self.balancer.record_load(self.now, C.owner, idle)

    def moves(self):
        return self.balancer.moves(self.now, self.table, [LOCAL, B, C])

    def test_the_hot_range_is_cut_and_shared(self):
        moves = self.moves()
        self.assertEqual({claim.owner for _, claim in moves}, {"b:1", "c:1"})
        kept = [
            key
            for key in self.keys
            if not any(first <= key <= last for (first, last), _ in moves)
        ]
        self.assertLess(len(kept), 0.75 * len(self.keys))
        self.assertGreater(len(kept), 0.2 * len(self.keys))

    def test_nothing_moves_to_targets_that_are_as_busy(self):
        for claim in (B, C):
            self.balancer.record_load(self.now, claim.owner, TargetLoad(1.0, 0.006))
        self.assertEqual(self.moves(), [])

    def test_an_old_report_of_a_load_is_not_used(self):
        self.now += 5.0
        for key in self.keys:
            self.balancer.sampler.record_request(self.now - 0.1, key)
        self.assertEqual(self.moves(), [])

    def test_nothing_more_moves_while_a_range_awaits_its_release(self):
        self.table = self.table.moved([((5000, 5040), B)])
        for claim in (B, C):
            self.balancer.record_load(self.now, claim.owner, TargetLoad(0.1, 0.006))
        self.assertEqual(self.moves(), [])
        released_table = self.table.released(LOCAL.owner, [(5000, 5040)], {})
        self.table = released_table
        self.assertNotEqual(self.moves(), [])

    def test_a_target_with_little_load_keeps_its_keys(self):
        self.balancer = balancer_with([7] * 20, rate=20, took_s=0.06)
        self.balancer.record_load(self.now, B.owner, TargetLoad(0.0, 0.006))
        self.assertEqual(self.moves(), [])


class HottestKeyTests(unittest.TestCase):
    """Load pattern: a single key is more than a slow target can work on."""

    def test_it_goes_to_the_fastest_target(self):
        balancer = balancer_with([4242] * 180, rate=150, took_s=0.1)
        balancer.record_load(11.0, B.owner, TargetLoad(0.05, 0.1 / SLOTS))
        balancer.record_load(11.0, C.owner, TargetLoad(0.2, 0.04 / SLOTS))
        table = KeyTable.divided([LOCAL, B, C])
        moves = balancer.moves(11.1, table, [LOCAL, B, C])
        self.assertEqual(moves, [((4242, 4242), C)])

    def test_it_stays_if_no_target_is_faster(self):
        balancer = balancer_with([4242] * 180, rate=150, took_s=0.1)
        balancer.record_load(11.0, B.owner, TargetLoad(0.3, 0.1 / SLOTS))
        table = KeyTable.divided([LOCAL, B])
        moves = balancer.moves(11.1, table, [LOCAL, B])
        self.assertNotIn(((4242, 4242), B), moves)

    def test_it_stays_while_its_target_is_only_a_little_too_slow(self):
        balancer = balancer_with([4242] * 100, rate=95, took_s=0.1)
        self.assertGreater(balancer.local_load(11.1).utilization, 1.0)
        balancer.record_load(11.0, B.owner, TargetLoad(0.05, 0.04 / SLOTS))
        table = KeyTable.divided([LOCAL, B])
        self.assertEqual(balancer.moves(11.1, table, [LOCAL, B]), [])


class RateLimitTests(unittest.TestCase):
    """The local target states that it takes fewer requests than it gets."""

    RATE_LIMIT = 12.5

    def setUp(self):
        rng = random.Random(3)
        keys = [rng.randrange(0, 21845) for _ in range(60)]
        self.balancer = balancer_with(keys, rate=40, took_s=0.05)
        self.table = KeyTable.divided([LOCAL, B, C])

    def moved_share(self) -> dict[str, float]:
        """Return the share of the sampled requests that each target gets."""
        moves = self.balancer.moves(11.5, self.table, [LOCAL, B, C])
        spans = self.balancer.sampler.keys_in(11.5, self.table.owned_by(LOCAL.owner))
        keys = [key for _, held in spans for key in held]
        return {
            claim.owner: sum(first <= key <= last for key in keys) / len(keys)
            for (first, last), claim in moves
        }

    def test_without_a_limit_the_target_keeps_its_keys(self):
        self.balancer.record_load(11.4, B.owner, TargetLoad(0.1, 0.05 / SLOTS))
        self.assertEqual(self.moved_share(), {})

    def test_the_limit_counts_as_load(self):
        self.balancer.rate_limit = self.RATE_LIMIT
        load = self.balancer.local_load(11.5)
        self.assertAlmostEqual(load.cost, 1 / self.RATE_LIMIT)
        self.assertGreater(load.utilization, 2.5)

    def test_what_the_limit_does_not_allow_moves_to_a_target_without_one(self):
        self.balancer.rate_limit = self.RATE_LIMIT
        self.balancer.record_load(11.4, B.owner, TargetLoad(0.1, 0.05 / SLOTS))
        self.assertGreater(self.moved_share()[B.owner], 0.6)

    # Targets that stated a rate passed keys on to each other, with a pause each time.
    def test_targets_get_keys_by_what_they_take(self):
        self.balancer.rate_limit = self.RATE_LIMIT
        limited = TargetLoad(0.5, 1 / self.RATE_LIMIT)
        self.balancer.record_load(11.4, B.owner, limited)
        self.balancer.record_load(11.4, C.owner, TargetLoad(0.5, 0.05 / SLOTS))
        shares = self.moved_share()
        self.assertLess(shares.get(B.owner, 0.0), 0.1)
        self.assertGreater(shares[C.owner], 0.5)


class ModerateLoadTests(unittest.TestCase):
    """Load pattern: demand swings by half; at peak load, slots are still free."""

    def test_keys_stay_while_slots_are_free(self):
        rng = random.Random(2)
        keys = [rng.randrange(0, 21845) for _ in range(150)]
        balancer = balancer_with(keys, rate=150, took_s=0.036)
        self.assertGreater(balancer.local_load(11.0).utilization, 0.5)
        balancer.record_load(11.0, B.owner, TargetLoad(0.1, 0.036 / SLOTS))
        table = KeyTable.divided([LOCAL, B, C])
        self.assertEqual(balancer.moves(11.0, table, [LOCAL, B, C]), [])


class PieceTests(unittest.TestCase):
    def test_the_smallest_range_with_the_wanted_requests_is_taken(self):
        table = KeyTable.divided([LOCAL])
        keys = sorted([10, 11, 12, 13] + [60000] * 4)
        held, (first, last) = choose_piece([(table.spans[0], keys)], 4)
        self.assertEqual(held, 4)
        # The other end of the span holds as many requests: 14 to 65535, but more keys.
        self.assertEqual((first, last), (0, 59999))

    def test_a_single_key_with_too_many_requests_is_not_chosen(self):
        table = KeyTable.divided([LOCAL])
        self.assertIsNone(choose_piece([(table.spans[0], [7] * 50)], 10))


class HotRangeOfManyOwnersTests(unittest.TestCase):
    """Load pattern: 60 neighbouring keys need eight times the slots of their owner."""

    SLOTS = 8

    def setUp(self):
        rng = random.Random(3)
        keys = [rng.randrange(5000, 5060) for _ in range(200)]
        self.balancer = balancer_with(keys, rate=130, took_s=0.49)
        self.balancer.slots = self.SLOTS
        self.keys = keys
        self.now = 10.0 + 200 / 130
        others = [Claim(f"{name}:1", "r") for name in "bcdefghij"]
        self.claims = [LOCAL, *others]
        self.table = KeyTable.divided([LOCAL])
        for claim in others:
            load = TargetLoad(0.25, 0.49 / self.SLOTS)
            self.balancer.record_load(self.now, claim.owner, load)

    def share_by_owner(self) -> dict[str, float]:
        moves = self.balancer.moves(self.now, self.table, self.claims)
        table = self.table.moved(moves)
        counts: dict[str, int] = {}
        for key in self.keys:
            owner = table.find(key).owner
            counts[owner] = counts.get(owner, 0) + 1
        return {owner: count / len(self.keys) for owner, count in counts.items()}

    def test_one_decision_divides_the_range_among_many_targets(self):
        shares = self.share_by_owner()
        self.assertGreaterEqual(len(shares), 7)
        self.assertLess(shares[LOCAL.owner], 0.3)

    def test_no_target_gets_so_much_that_it_has_to_pass_it_on(self):
        shares = self.share_by_owner()
        received = [share for owner, share in shares.items() if owner != LOCAL.owner]
        self.assertLess(max(received), 0.2)
