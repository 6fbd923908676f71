"""What connections to the port for peers may take."""

from __future__ import annotations

import socket
import unittest
import zlib
from unittest.mock import Mock

import msgspec

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.peer_frames import Cancel, Forward, Frame, Hello, Ping, Pong
from rhubarbhall.adapters.peer_sessions import (
    HELLO_TIMEOUT_S,
    PeerSessions,
)
from rhubarbhall.adapters.peer_stream import (
    LARGE_FRAME_BYTES,
    MAX_FRAMES,
    WINDOW_BITS,
    FrameWriter,
)
from rhubarbhall.adapters.poller import MAX_DEFERRED_HANDLED
from rhubarbhall.adapters.session_eviction import SILENCE_S
from rhubarbhall.core.traffic.body_budget import BodyBudget
from tests.untrusted.deployment import free_ports

MAX_CONNECTIONS = 3
LIMIT = 8 << 20
HELLO = Hello("10.0.0.9:7200", "near", 5)


def encode(frame: Frame) -> bytes:
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(4, "big") + data


def compress(data: bytes) -> bytes:
    deflate = zlib.compressobj(wbits=WINDOW_BITS)
    return deflate.compress(data) + deflate.flush(zlib.Z_SYNC_FLUSH)


class PeerSessionsTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.handler = Mock()
        self.handler.pong = lambda number: Pong(number, 0, 0, 0, 0, 0)
        self.budget = BodyBudget(LIMIT)
        (port,) = free_ports(1)
        self.address = ("127.0.0.1", port)
        self.sessions = PeerSessions(
            f"127.0.0.1:{port}",
            self.handler,
            lambda: self.now,
            budget=self.budget,
            max_connections=MAX_CONNECTIONS,
        )
        self.budget.add_source(lambda: self.sessions.held_bytes)
        self.budget.add_relief(self.sessions.relieve)
        self.addCleanup(self.sessions.acceptor.close)
        self.loop = Loop()
        self.loop.add(self.sessions.acceptor)
        self.loop.manager._running = True
        self.tick()

    def tick(self, count: int = 20) -> None:
        for _ in range(count):
            self.loop.manager.tick(0.0)

    def connect(self, data: bytes = b"") -> socket.socket:
        peer = socket.create_connection(self.address)
        self.addCleanup(peer.close)
        peer.setblocking(False)
        if data:
            peer.sendall(data)
        self.tick()
        return peer

    def greeted(self) -> socket.socket:
        return self.connect(FrameWriter().encode(HELLO))

    def is_closed(self, peer: socket.socket) -> bool:
        try:
            return peer.recv(1 << 20) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True

    # Silent connections took all descriptors, and 45 KB each.
    def test_at_the_limit_a_connection_without_a_hello_gives_way(self):
        greeted = self.greeted()
        silent = [self.connect() for _ in range(MAX_CONNECTIONS - 1)]
        late = self.connect()
        self.assertTrue(self.is_closed(silent[0]))
        others = [greeted, silent[1], late]
        self.assertEqual([self.is_closed(each) for each in others], [False] * 3)

    def test_at_the_limit_the_connection_of_a_silent_peer_gives_way(self):
        hellos = [Hello(f"10.0.0.{each}:1", "near", each) for each in range(4)]
        peers = [self.connect(FrameWriter().encode(hello)) for hello in hellos[:3]]
        self.assertTrue(self.is_closed(self.connect()))
        self.now += SILENCE_S + 1.0
        late = self.connect(FrameWriter().encode(hellos[3]))
        self.assertFalse(self.is_closed(late))
        self.assertEqual(sum(map(self.is_closed, peers)), 1)

    def test_a_connection_without_a_hello_is_closed_after_some_time(self):
        greeted, silent = self.greeted(), self.connect()
        self.now += HELLO_TIMEOUT_S + 0.1
        self.sessions.cancel_orphans()
        self.assertTrue(self.is_closed(silent))
        self.assertFalse(self.is_closed(greeted))

    def test_a_large_frame_needs_a_hello(self):
        begin = (LARGE_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(100)
        self.assertTrue(self.is_closed(self.connect(compress(begin))))
        peer = self.connect(compress(encode(HELLO) + begin))
        self.assertFalse(self.is_closed(peer))

    # A few compressed bytes stood for millions of frames, which were all decoded and
    # answered before anything else.
    def test_few_frames_are_handled_in_one_iteration_of_the_loop(self):
        pings = compress(encode(HELLO) + encode(Ping(1)) * 20 * MAX_FRAMES)
        numbers: list[int] = []
        self.handler.pong = lambda number: (
            numbers.append(number) or Pong(number, 0, 0, 0, 0, 0)
        )
        peer = socket.create_connection(self.address)
        self.addCleanup(peer.close)
        peer.sendall(pings)
        counts = []
        while len(numbers) < 20 * MAX_FRAMES:
            before = len(numbers)
            self.tick(1)
            counts.append(len(numbers) - before)
        # A single connection is handled several times in turn.
        most = (1 + MAX_DEFERRED_HANDLED) * MAX_FRAMES
        self.assertLessEqual(max(counts), most)

    # A low limit on frames parted a request from its cancellation in the same read, so
    # it was begun after its caller had been told the outcome.
    def test_a_request_that_is_cancelled_in_the_same_read_is_not_begun(self):
        writer = FrameWriter()
        forwards = [
            Forward(
                n,
                "s",
                "r",
                -1,
                900,
                900,
                False,
                False,
                0,
                "GET",
                "/",
                "h",
                "q",
                [],
                b"",
            )
            for n in range(1, 500)
        ]
        cancels = [Cancel(forward.number) for forward in forwards]
        frames = [HELLO, *forwards, *cancels]
        self.connect(b"".join(map(writer.encode, frames)))
        self.handler.on_forward.assert_not_called()

    def test_frames_in_part_beyond_the_limit_give_way(self):
        size = LIMIT
        hellos = [Hello(f"10.0.0.{each}:1", "near", each) for each in range(3)]
        for hello in hellos:
            data = encode(hello) + size.to_bytes(4, "big") + bytes(size // 2)
            self.connect(compress(data))
            self.tick(200)
        self.assertLess(self.budget.used, 2 * LIMIT)
        self.assertGreater(self.sessions.yielded, 0)

    # Sessions of ended connections kept their frames in part, which nothing counted.
    def test_a_frame_in_part_is_not_kept_after_its_connection(self):
        begin = LIMIT.to_bytes(4, "big") + bytes(LIMIT // 2)
        peer = self.connect(compress(encode(HELLO) + begin))
        self.tick(100)
        (session,) = self.sessions._session_by_sock.values()
        self.assertGreater(session.reader.buffered_bytes, LIMIT // 4)
        peer.close()
        self.tick()
        self.assertEqual(session.reader.buffered_bytes, 0)
        self.assertEqual(list(self.sessions._broken_by_peer.values()), [session])

    def test_a_peer_that_reads_nothing_of_what_it_requests_is_closed(self):
        peer = self.greeted()
        (session,) = self.sessions._session_by_sock.values()
        self.sessions.acceptor.send(session.sock, bytes(4 * LIMIT))
        peer.sendall(compress(encode(Ping(1))))
        self.tick()
        self.assertEqual(self.sessions._session_by_sock, {})


if __name__ == "__main__":
    unittest.main()
