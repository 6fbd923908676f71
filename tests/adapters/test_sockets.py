"""Connections that write without an event for each chunk."""

from __future__ import annotations

import contextlib
import socket
import tracemalloc
import unittest

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.sockets import Listener


class SilentListener(Listener):
    def on_accepted(self, sock, peer):
        self.accepted = sock

    def on_closed(self, sock):
        pass


class UnsentTests(unittest.TestCase):
    # Each part that a socket took of a large body cost a copy of the rest.
    def test_the_rest_of_large_bytes_is_not_copied(self):
        listener = SilentListener(("127.0.0.1", 0), "silent")
        self.addCleanup(listener.close)
        loop = Loop()
        loop.add(listener)
        loop.manager._running = True
        peer = socket.create_connection((listener.host, listener.port))
        self.addCleanup(peer.close)
        for _ in range(20):
            loop.manager.tick(0.01)
        data = bytes(16 << 20)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        listener.send(listener.accepted, data)
        peer.setblocking(False)
        for _ in range(20):
            with contextlib.suppress(BlockingIOError):
                peer.recv(1 << 16)
            loop.manager.tick(0.0)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertTrue(listener.has_unsent)
        self.assertLess(peak, 4 << 20)
        listener.drop(listener.accepted)
        self.assertEqual(listener.unsent_bytes, 0)

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
        self.assertEqual(listener.unsent_bytes, 16 << 20)
        received = 0
        while received < 16 << 20:
            received += len(peer.recv(1 << 20))
            loop.manager.tick(0.0)
        self.assertFalse(listener.has_unsent)
        self.assertEqual(listener.unsent_bytes, 0)
