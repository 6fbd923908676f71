"""Connections that write without an event for each chunk."""

from __future__ import annotations

import socket
import unittest

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.sockets import Listener


class SilentListener(Listener):
    def on_accepted(self, sock, peer):
        self.accepted = sock

    def on_closed(self, sock):
        pass


class UnsentTests(unittest.TestCase):
    def test_bytes_that_the_peer_does_not_read_are_unsent(self):
        listener = SilentListener(("127.0.0.1", 0), "silent")
        self.addCleanup(listener.close)
        loop = Loop()
        loop.add(listener)
        loop.manager._running = True
        peer = socket.create_connection((listener.host, listener.port))
        self.addCleanup(peer.close)
        for _ in range(20):
            loop.manager.tick(0.01)
        self.assertFalse(listener.has_unsent)
        listener.send(listener.accepted, bytes(16 << 20))
        self.assertTrue(listener.has_unsent)
        received = 0
        while received < 16 << 20:
            received += len(peer.recv(1 << 20))
            loop.manager.tick(0.0)
        self.assertFalse(listener.has_unsent)
