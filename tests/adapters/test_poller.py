"""Deferred input is handled a little at a time, beside that of other sockets."""

from __future__ import annotations

import socket
import unittest

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.poller import MAX_DEFERRED_HANDLED, DirectPoll
from rhubarbhall.adapters.sockets import Connector


class Source(Connector):
    """Reads a byte at a time of the sockets whose input is deferred."""

    def __init__(self):
        super().__init__("source")
        self.handled: list[socket.socket] = []

    def on_deferred(self, sock):
        self.handled.append(sock)
        if sock.recv(1):
            self._poller.defer(self, sock)

    def on_data(self, sock, data):
        raise AssertionError("input of a deferred socket was read at once")


class DeferredInputTests(unittest.TestCase):
    COUNT = 3 * MAX_DEFERRED_HANDLED

    def setUp(self):
        self.loop, self.source = Loop(), Source()
        self.loop.add(self.source)
        self.loop.manager._running = True
        self.tick(5)
        self.poller: DirectPoll = self.source._poller
        self.socks = [self.connect() for _ in range(self.COUNT)]

    def connect(self) -> socket.socket:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        theirs.send(bytes(100))
        self.source._clients.add(ours)
        self.poller.addReader(self.source, ours)
        self.poller.defer(self.source, ours)
        return ours

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            self.loop.manager.tick(0.0)

    def test_a_few_sockets_are_handled_in_each_iteration_and_all_in_turn(self):
        self.tick()
        self.assertEqual(len(self.source.handled), MAX_DEFERRED_HANDLED)
        self.tick(2)
        self.assertEqual(self.source.handled, self.socks)

    def test_a_closed_socket_is_not_handled(self):
        self.poller.discard(self.socks[0])
        self.tick(3)
        self.assertNotIn(self.socks[0], self.source.handled)
        self.assertFalse(self.poller.is_deferred(self.socks[0]))


if __name__ == "__main__":
    unittest.main()
