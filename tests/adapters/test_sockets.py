"""Connections that write without an event for each chunk."""

from __future__ import annotations

import contextlib
import socket
import tracemalloc
import unittest
from unittest import mock

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.sockets import BACKLOG, Listener
from rhubarbhall.core.traffic.body_budget import BodyBudget


class SilentListener(Listener):
    def on_accepted(self, sock, peer):
        self.accepted = sock

    def on_closed(self, sock):
        self.unsent_when_closed = self.unsent_at_close


class UnsentTests(unittest.TestCase):
    SIZE = 16 << 20

    def setUp(self):
        self.listener = SilentListener(("127.0.0.1", 0), "silent")
        self.addCleanup(self.listener.close)
        self.loop = Loop()
        self.loop.add(self.listener)
        self.loop.manager._running = True
        address = (self.listener.host, self.listener.port)
        self.peer = socket.create_connection(address)
        self.addCleanup(self.peer.close)
        for _ in range(20):
            self.loop.manager.tick(0.01)

    def test_bytes_that_the_peer_does_not_read_are_unsent(self):
        self.assertFalse(self.listener.has_unsent)
        self.listener.send(self.listener.accepted, bytes(self.SIZE))
        self.assertTrue(self.listener.has_unsent)
        self.assertEqual(self.listener.unsent_bytes, self.SIZE)
        received = 0
        while received < self.SIZE:
            received += len(self.peer.recv(1 << 20))
            self.loop.manager.tick(0.0)
        self.assertFalse(self.listener.has_unsent)
        self.assertEqual(self.listener.unsent_bytes, 0)

    # Guards against: a request that is reported as not run although it was sent, or the
    # reverse, as its connection ended while bytes waited to be sent.
    def test_bytes_that_were_never_sent_are_known_when_a_connection_ends(self):
        sock, sizes = self.listener.accepted, (self.SIZE, 7, 9)
        for size in sizes:
            self.listener.send(sock, bytes(size))
        received = 0
        while received < self.SIZE // 2:
            received += len(self.peer.recv(1 << 20))
            self.loop.manager.tick(0.0)
        self.listener.drop(sock)
        while data := self.peer.recv(1 << 20):
            received += len(data)
        unsent = self.listener.unsent_when_closed
        self.assertEqual(unsent, sum(sizes) - received)
        self.assertEqual(self.listener.unsent_at_close, 0)

    def test_parts_are_sent_in_order_and_a_body_is_held_until_its_last_part(self):
        budget = self.listener.budget = BodyBudget()
        body = bytes(range(256)) * (self.SIZE // 256)
        view = memoryview(body)
        parts = [b"head", view[: self.SIZE // 2], b"between", view[self.SIZE // 2 :]]
        self.listener.send_parts(self.listener.accepted, [*parts, b"end"], body)
        self.assertEqual(budget.used, self.SIZE)
        received = b""
        while not received.endswith(b"end"):
            received += self.peer.recv(1 << 20)
            self.loop.manager.tick(0.0)
        self.assertEqual(received, b"".join([*parts, b"end"]))
        self.assertEqual((budget.used, self.listener.unsent_bytes), (0, 0))

    # Each part that a socket took of a large body cost a copy of the rest.
    def test_the_rest_of_large_bytes_is_not_copied(self):
        data = bytes(self.SIZE)
        self.peer.setblocking(False)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.listener.send(self.listener.accepted, data)
        for _ in range(20):
            with contextlib.suppress(BlockingIOError):
                self.peer.recv(1 << 16)
            self.loop.manager.tick(0.0)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertTrue(self.listener.has_unsent)
        self.assertLess(peak, 4 << 20)
        self.listener.drop(self.listener.accepted)
        self.assertEqual(self.listener.unsent_bytes, 0)

    # A crowd that went on connecting kept a stopping server from its stop.
    def test_the_end_of_listening_does_not_wait_for_the_last_connection(self):
        with mock.patch.object(self.listener, "_accept", return_value=True) as accept:
            self.listener.stop_listening()
        self.assertEqual(accept.call_count, BACKLOG)
