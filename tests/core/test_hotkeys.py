from __future__ import annotations

import random
import unittest

from rhubarbhall.core.hotkeys import HotKeySketch
from rhubarbhall.core.idempotency import mint_key
from tests.fakes import INTENT, SERVICE, WALL_MS_AT_ZERO, Mesh

#: Region and domain of each VM.
PLACES = [
    ("idukki", "i1"),
    ("idukki", "i2"),
    ("wayanad", "w1"),
    ("kottayam", "k1"),
]
HOT = "batch-hot"


class SketchTests(unittest.TestCase):
    def test_the_most_frequent_keys_are_found_in_bounded_memory(self):
        rng = random.Random(4)
        sketch = HotKeySketch(capacity=16)
        for _ in range(5_000):
            sketch.add("s", "hot" if rng.random() < 0.3 else f"k{rng.random()}")
        service, key, share = next(sketch.hottest())
        self.assertEqual((service, key), ("s", "hot"))
        self.assertGreaterEqual(share, 0.29)
        self.assertLessEqual(len(list(sketch.hottest())), 16)

    def test_a_count_is_never_too_low(self):
        sketch = HotKeySketch(capacity=2)
        for key in ("a", "a", "b", "c", "a"):
            sketch.add("s", key)
        self.assertGreaterEqual(sketch.share("s", "a"), 3 / 5)


class HotKeyTests(unittest.TestCase):
    """One key gets more requests than its target can serve in time."""

    def setUp(self):
        self.mesh = Mesh(PLACES, seed=2)
        self.mesh.publish(INTENT, 0, "op/1")
        self.mesh.run_until(self.mesh.all_served)
        self.mesh.run(8.0)
        for host in self.mesh.hosts:
            host.target.work_s = 0.2

    def owner(self) -> str:
        """Return the owner of the hot key."""
        directory = self.mesh.fold()
        ref = directory.slice_of(SERVICE, HOT)
        return directory.owner_of(SERVICE, ref.index)

    def table(self):
        return self.mesh.fold().table_by_service[SERVICE]

    def send_hot_requests(self, seconds: float) -> None:
        """Send 100 requests per second for the hot key to random daemons."""
        rng = random.Random(8)
        for _ in range(int(seconds * 100)):
            host = rng.choice(self.mesh.hosts)
            self.mesh.call(host, HOT, deadline_s=1.0, caller=str(rng.random()))
            self.mesh.run(0.01, self.mesh.assert_sole_owners)

    def test_a_hot_key_moves_to_a_less_loaded_target_and_returns(self):
        before = self.owner()
        self.send_hot_requests(8.0)
        self.assertIn(HOT, self.table().index_by_hot_key)
        self.assertNotEqual(self.owner(), before)
        self.mesh.run(60.0, self.mesh.assert_sole_owners)
        self.assertNotIn(HOT, self.table().index_by_hot_key)
        self.assertEqual(self.owner(), before)

    def test_keys_with_few_requests_are_not_split_out(self):
        for number in range(400):
            self.mesh.call(self.mesh.hosts[0], f"k{number}")
            self.mesh.run(0.02)
        self.assertEqual(self.table().index_by_hot_key, {})

    def test_an_outcome_is_remembered_across_split_and_move(self):
        minted = mint_key(WALL_MS_AT_ZERO + int(self.mesh.now * 1000), random.Random(1))
        host = self.mesh.hosts[0]
        self.mesh.call(host, HOT, "POST", minted)
        self.mesh.run(1.0)
        before = self.owner()
        self.send_hot_requests(8.0)
        self.assertNotEqual(self.owner(), before)
        self.mesh.run(2.0)
        repeat = self.mesh.call(host, HOT, "POST", minted)
        self.mesh.run(1.0)
        self.assertEqual(host.answers[repeat].status, 200)
        ran = [e for e in self.mesh.executions if e.idempotency_key == minted]
        self.assertEqual(len(ran), 1)
