"""Which connection of a peer is the newest, and for how long that is known."""

from __future__ import annotations

import unittest
from unittest import mock

from rhubarbhall.adapters import connection_order
from rhubarbhall.adapters.connection_order import (
    EARLIER_CONNECTION_S,
    NOT_NUMBERED,
    ConnectionOrder,
)

PEER, OTHER = ("10.0.0.1:1", 5), ("10.0.0.2:1", 6)


class ConnectionOrderTests(unittest.TestCase):
    def setUp(self):
        self.order = ConnectionOrder()
        self.order.record_opened(PEER, 3)

    def test_an_earlier_connection_of_the_same_run_is_given_up(self):
        given_up = [self.order.is_given_up(PEER, number) for number in (2, 3, 4)]
        self.assertEqual(given_up, [True, True, False])
        self.assertFalse(self.order.is_given_up(OTHER, 2))
        self.assertFalse(self.order.is_given_up((PEER[0], 99), 2))

    def test_it_stays_known_for_some_time_after_the_newest_one_has_ended(self):
        self.order.record_ended(100.0, PEER, 3)
        self.order.forget_ended(100.0 + EARLIER_CONNECTION_S)
        self.assertTrue(self.order.is_given_up(PEER, 2))
        self.order.forget_ended(100.1 + EARLIER_CONNECTION_S)
        self.assertFalse(self.order.is_given_up(PEER, 2))

    def test_an_open_connection_is_not_forgotten(self):
        self.order.record_ended(100.0, PEER, 3)
        self.order.record_opened(PEER, 4)
        self.order.record_ended(100.5, PEER, 3)
        self.order.forget_ended(1000.0)
        self.assertTrue(self.order.is_given_up(PEER, 3))

    def test_connections_of_earlier_builds_have_no_order(self):
        self.order.record_opened(OTHER, NOT_NUMBERED)
        self.order.record_ended(100.0, OTHER, NOT_NUMBERED)
        self.assertFalse(self.order.is_given_up(OTHER, NOT_NUMBERED))
        self.assertFalse(self.order.is_given_up(PEER, NOT_NUMBERED))

    # Guards against: memory that grows with the connections that clients open and end.
    def test_few_peers_without_a_connection_are_remembered(self):
        with mock.patch.object(connection_order, "MAX_REMEMBERED", 5):
            for session in range(20):
                self.order.record_opened(("10.0.0.9:1", session), 1)
                self.order.record_ended(100.0, ("10.0.0.9:1", session), 1)
        self.assertEqual(len(self.order._newest_by_peer), 6)


if __name__ == "__main__":
    unittest.main()
