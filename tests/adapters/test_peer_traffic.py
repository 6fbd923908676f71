"""Counts of what is sent to peers."""

from __future__ import annotations

import unittest

from rhubarbhall.adapters.peer_frames import Ping, Pong
from rhubarbhall.adapters.peer_traffic import PeerTraffic


class PeerTrafficTests(unittest.TestCase):
    def test_bytes_between_regions_are_counted_apart_from_those_within_one(self):
        traffic = PeerTraffic()
        before = traffic.scope("10.0.0.2:1")
        traffic.set_members("r1", {"10.0.0.2:1": "r1", "10.0.1.2:1": "r2"})
        near, far = traffic.scope("10.0.0.2:1"), traffic.scope("10.0.1.2:1")
        traffic.record(Ping(1), near, 9)
        traffic.record(Ping(2), far, 7)
        traffic.record(Ping(3), far, 5)
        traffic.record(Pong(1, 0, 0, 0, 0, 0), before, 4)
        self.assertEqual(
            list(traffic.rows()),
            [
                ("Ping", "same_region", 1, 9),
                ("Ping", "other_region", 2, 12),
                ("Pong", "unknown", 1, 4),
            ],
        )


if __name__ == "__main__":
    unittest.main()
