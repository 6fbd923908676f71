"""Bodies of connections that have ended take no memory until a collection of cycles.

A faulty target sent answers without end. Each was given up at the limit of an answer,
but stayed in memory; after some of them the router was over its limit and was killed,
with all requests that were under way (LOST).
"""

from __future__ import annotations

import gc
import socket
import unittest
import weakref

from rhubarbhall.adapters.callers import CallerServer
from rhubarbhall.adapters.client import HttpClient
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Unknown
from rhubarbhall.platform.target import MAX_ANSWER_BYTES, HttpTargetClient
from tests.core.traffic.test_admission_queue import REQUEST

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"
CHUNK = b"a" * 65536
BODY_BYTES = 1 << 20


class FreedBodiesTests(unittest.TestCase):
    def setUp(self):
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        self.loop = Loop()
        self.outcomes: list = []

    def begin(self, component) -> None:
        self.loop.add(component)
        self.addCleanup(component.close)
        self.loop.manager._running = True
        for _ in range(20):
            self.loop.manager.tick(0.0)

    def listen(self) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        return listener

    def accept(self, listener: socket.socket) -> socket.socket:
        for _ in range(20):
            self.loop.manager.tick(0.001)
        peer, _ = listener.accept()
        self.addCleanup(peer.close)
        peer.setblocking(False)
        return peer

    def send(self, peer: socket.socket, data: bytes) -> None:
        """Send all bytes, or as many as are read before the connection ends."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[peer.send(rest) :]
            except BlockingIOError:
                pass
            except OSError:
                return
            self.loop.manager.tick(0.0)
        for _ in range(100):
            self.loop.manager.tick(0.001)

    def reader_of(self, component) -> weakref.ref:
        (connection,) = component._connection_by_sock.values()
        return weakref.ref(connection.reader)

    def test_an_answer_of_the_target_that_is_given_up(self):
        listener = self.listen()
        client = HttpTargetClient(
            "target",
            f"127.0.0.1:{listener.getsockname()[1]}",
            lambda ticket, outcome: self.outcomes.append(outcome),
            lambda refused: None,
            lambda: None,
            lambda ticket, notice: None,
        )
        self.begin(client)
        client.send(1, REQUEST, 0.0)
        peer = self.accept(listener)
        self.send(peer, HEAD)
        reader = self.reader_of(client)
        self.send(peer, CHUNK * (MAX_ANSWER_BYTES // len(CHUNK) + 2))
        self.assertEqual(self.outcomes, [Unknown(ErrorKind.ANSWER_LOST)])
        self.assertIsNone(reader())

    def test_an_answer_of_the_store_that_is_given_up(self):
        listener = self.listen()
        client = HttpClient("client")
        self.begin(client)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        call = (address, "GET", "/", (), b"", 5.0, self.outcomes.append, BODY_BYTES)
        client.fetch(*call)
        peer = self.accept(listener)
        self.send(peer, HEAD)
        reader = self.reader_of(client)
        self.send(peer, CHUNK * (BODY_BYTES // len(CHUNK) + 2))
        self.assertEqual(self.outcomes[0].kind, ErrorKind.ANSWER_TOO_LARGE)
        self.assertIsNone(reader())

    def test_a_request_whose_caller_has_left(self):
        server = CallerServer(("127.0.0.1", 0), "callers", None, CallerLimits())
        self.begin(server)
        caller = socket.create_connection(("127.0.0.1", server.port))
        self.addCleanup(caller.close)
        caller.setblocking(False)
        self.send(caller, b"POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + CHUNK)
        reader = self.reader_of(server)
        caller.close()
        for _ in range(20):
            self.loop.manager.tick(0.001)
        self.assertEqual(server.connections, 0)
        self.assertIsNone(reader())


if __name__ == "__main__":
    unittest.main()
