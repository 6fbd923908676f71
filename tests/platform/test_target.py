"""The client of the local target."""

from __future__ import annotations

import socket
import unittest

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.platform.target import HttpTargetClient
from tests.core.traffic.test_admission_queue import REQUEST


class UnreachableTests(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.outcomes: list = []
        self.unreachable: list[bool] = []
        self.client = HttpTargetClient(
            "target-test",
            f"127.0.0.1:{port}",
            lambda ticket, outcome: self.outcomes.append(outcome),
            self.unreachable.append,
        )
        self.addCleanup(self.client.close)
        self.loop = Loop()
        self.loop.add(self.client)
        self.loop.manager._running = True
        for _ in range(20):
            self.loop.manager.tick(0.0)

    # A caller that left while the connection for its request opened made the daemon
    # refuse all that waited for a healthy target.
    def test_a_request_cancelled_while_its_connection_opens_says_nothing_of_it(self):
        self.client.send(1, REQUEST, 0.0)
        self.client.cancel(1)
        self.assertEqual((self.unreachable, self.outcomes), ([], []))

    def test_a_target_without_a_listener_is_unreachable(self):
        self.listener.close()
        self.client.send(1, REQUEST, 0.0)
        for _ in range(20):
            self.loop.manager.tick(0.01)
        self.assertEqual(len(self.unreachable), 1)
        self.assertEqual(len(self.outcomes), 1)
