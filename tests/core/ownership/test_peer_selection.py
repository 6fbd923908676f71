"""Watched peers: bounded in number, and every daemon is reached by a relayed record."""

from __future__ import annotations

import math
import random
import unittest

from rhubarbhall.core.ownership.peer_selection import (
    REMOTE_CONTACTS,
    WHOLE_REGION_SIZE,
    RelayedLimits,
    is_reader,
    readers_before,
    relay_plan,
    watched_peers,
)


def fleet(size: int, regions: int) -> dict[str, str]:
    return {f"10.{n % 7}.0.{n}:1": f"r{n % regions}" for n in range(size)}


def watched_by_all(region_by_address: dict[str, str]) -> dict[str, set[str]]:
    return {
        address: watched_peers(address, region, region_by_address)
        for address, region in region_by_address.items()
    }


class ReadersTests(unittest.TestCase):
    # Guards against: nobody notices a silent connection in time, as the daemons that
    # would are lost.
    def test_the_next_live_daemons_of_a_region_take_the_place_of_lost_ones(self):
        region_by_address = fleet(12, 2)
        ring = sorted(
            each for each in region_by_address if region_by_address[each] == "r1"
        )
        for lost in (set(), {ring[0]}, {ring[0], ring[1], ring[4]}):
            live = [each for each in ring if each not in lost]
            first = [
                each
                for each in live
                if readers_before(
                    each,
                    "r1",
                    region_by_address,
                    lambda peer, lost=lost: peer not in lost,
                )
                < 2
            ]
            self.assertEqual(first, live[:2])


class WatchedPeersTests(unittest.TestCase):
    def test_a_small_region_is_watched_as_a_whole(self):
        region_by_address = fleet(18, 3)
        for address, watched in watched_by_all(region_by_address).items():
            self.assertEqual(watched, set(region_by_address) - {address})

    def test_the_number_grows_with_the_logarithm_of_the_fleet(self):
        for size in (60, 195, 3000):
            with self.subTest(size=size):
                region_by_address = fleet(size, 3)
                limit = math.ceil(math.log2(size / 3)) + 2 * REMOTE_CONTACTS
                local = next(iter(region_by_address))
                watched = watched_peers(local, "r0", region_by_address)
                self.assertLessEqual(len(watched), limit)

    def test_every_daemon_has_watchers_in_its_region(self):
        region_by_address = fleet(195, 3)
        by_all = watched_by_all(region_by_address)
        for address, region in region_by_address.items():
            watchers = [
                each
                for each, watched in by_all.items()
                if address in watched and region_by_address[each] == region
            ]
            self.assertGreaterEqual(len(watchers), 6)

    def test_a_daemon_is_the_only_one(self):
        self.assertEqual(watched_peers("10.0.0.1:1", "r", {}), set())

    def test_few_daemons_of_a_region_read_the_store(self):
        region_by_address = fleet(195, 3)
        readers = [
            address
            for address, region in region_by_address.items()
            if is_reader(address, region, region_by_address, 3)
        ]
        self.assertEqual(len(readers), 9)


class RelayTests(unittest.TestCase):
    """A record goes from one daemon of a region to all others, each of them once."""

    def receipts(self, size: int, broken: set[tuple[str, str]] = frozenset()):
        region_by_address = fleet(size, 1)
        by_all = watched_by_all(region_by_address)
        origin = sorted(region_by_address)[size // 3]
        receipts: dict[str, int] = {}
        depth, waiting = 0, [(origin, origin)]
        while waiting:
            depth += 1
            following = []
            for sender, limit in waiting:
                linked = [
                    each for each in by_all[sender] if (sender, each) not in broken
                ]
                for address, next_limit in relay_plan(sender, linked, limit):
                    receipts[address] = receipts.get(address, 0) + 1
                    following.append((address, next_limit))
            waiting = following
        return region_by_address, origin, receipts, depth

    def test_each_daemon_receives_a_record_once(self):
        for size in (2, WHOLE_REGION_SIZE, WHOLE_REGION_SIZE + 1, 65, 333):
            with self.subTest(size=size):
                region_by_address, origin, receipts, depth = self.receipts(size)
                self.assertEqual(set(receipts), set(region_by_address) - {origin})
                self.assertEqual(set(receipts.values()) or {1}, {1})
                self.assertLessEqual(depth, math.log2(size) + 2)

    def test_a_broken_link_is_covered_by_the_peer_before_it(self):
        region_by_address, origin, receipts, _ = self.receipts(65)
        ring = sorted(region_by_address)
        at = ring.index(origin)
        broken = {(origin, ring[(at + 16) % 65])}
        _, _, receipts, _ = self.receipts(65, broken)
        self.assertEqual(set(receipts), set(region_by_address) - {origin})

    def test_a_fan_out_stays_small(self):
        region_by_address = fleet(3000, 1)
        local = next(iter(region_by_address))
        linked = watched_peers(local, "r0", region_by_address)
        self.assertLessEqual(len(list(relay_plan(local, linked, local))), 12)

    def test_the_order_of_links_does_not_matter(self):
        linked = [f"10.0.0.{n}:1" for n in range(2, 9)]
        expected = list(relay_plan("10.0.0.1:1", linked, "10.0.0.1:1"))
        random.Random(1).shuffle(linked)
        self.assertEqual(list(relay_plan("10.0.0.1:1", linked, "10.0.0.1:1")), expected)


class RelayedLimitTests(unittest.TestCase):
    """Two readers pass on one configuration, each along its own tree."""

    def setUp(self):
        self.relayed = RelayedLimits("10.0.0.5:1")

    def test_a_record_is_passed_on_again_only_for_more_of_the_ring(self):
        self.assertTrue(self.relayed.extend("config", 7, "10.0.0.7:1"))
        self.assertFalse(self.relayed.extend("config", 7, "10.0.0.6:1"))
        self.assertTrue(self.relayed.extend("config", 7, "10.0.0.9:1"))
        self.assertTrue(self.relayed.extend("config", 7, "10.0.0.2:1"))
        self.assertTrue(self.relayed.extend("config", 7, "10.0.0.5:1"))
        self.assertFalse(self.relayed.extend("config", 7, "10.0.0.2:1"))

    def test_a_newer_record_is_passed_on_and_an_older_one_is_not(self):
        self.relayed.extend("config", 7, "10.0.0.5:1")
        self.assertTrue(self.relayed.extend("config", 8, "10.0.0.6:1"))
        self.assertFalse(self.relayed.extend("config", 7, "10.0.0.5:1"))

    def test_two_trees_at_once_reach_every_daemon(self):
        region_by_address = fleet(65, 1)
        by_all = watched_by_all(region_by_address)
        ring = sorted(region_by_address)
        for seed in range(30):
            rng = random.Random(seed)
            origins = rng.sample(ring, 2)
            relayed = {address: RelayedLimits(address) for address in ring}
            waiting = [(origin, origin) for origin in origins]
            reached = set(origins)
            while waiting:
                address, limit = waiting.pop(rng.randrange(len(waiting)))
                reached.add(address)
                if relayed[address].extend("config", 1, limit):
                    waiting += relay_plan(address, by_all[address], limit)
            with self.subTest(seed=seed):
                self.assertEqual(reached, set(ring))
