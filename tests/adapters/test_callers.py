"""The server for callers."""

from __future__ import annotations

import contextlib
import socket
import time
import unittest

from rhubarbhall.adapters.callers import (
    MAX_READ_AHEAD,
    MIN_IDLE_S,
    SHORT_READ_BYTES,
    CallerServer,
)
from rhubarbhall.adapters.http_wire import HEADER_OVERHEAD_BYTES
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.poller import MAX_DEFERRED_HANDLED
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.requests import Response
from rhubarbhall.core.traffic.body_budget import SMALL_BODY_BYTES, BodyBudget

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class AnsweringSink:
    def take(self, request_id, raw):
        self.server.answer(request_id, Response(200, (), b"ok"))

    def caller_disconnected(self, request_id):
        pass


class DrainTests(unittest.TestCase):
    def setUp(self):
        sink = AnsweringSink()
        self.server = CallerServer(("127.0.0.1", 0), "callers", sink, CallerLimits())
        sink.server = self.server
        self.addCleanup(self.server.close)
        self.loop = Loop()
        self.loop.add(self.server)
        self.loop.manager._running = True
        self.caller = socket.create_connection((self.server.host, self.server.port))
        self.caller.settimeout(2.0)
        self.addCleanup(self.caller.close)
        self.tick()

    def tick(self):
        for _ in range(20):
            self.loop.manager.tick(0.0)

    # Connections that were accepted just before a stop were closed while their first
    # request was on its way.
    def test_a_request_over_a_connection_that_was_just_opened_is_answered(self):
        self.server.draining = True
        self.server.stop_listening()
        self.server.close_idle()
        self.caller.sendall(REQUEST)
        self.tick()
        self.assertTrue(self.caller.recv(4096).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.server.connections, 0)

    def test_a_connection_without_a_request_is_closed(self):
        self.server.draining = True
        end = time.monotonic() + MIN_IDLE_S
        while time.monotonic() < end:
            self.tick()
        self.server.close_idle()
        self.assertEqual(self.caller.recv(4096), b"")


class KeepingSink:
    """Keeps requests until the test answers them."""

    def __init__(self):
        self.taken: list = []

    def take(self, request_id, raw):
        self.taken.append((request_id, raw))

    def caller_disconnected(self, request_id):
        pass


class KeepingServerCase(unittest.TestCase):
    LIMIT = 2_000_000

    def setUp(self):
        self.sink = KeepingSink()
        self.budget = BodyBudget(self.LIMIT)
        limits = CallerLimits(max_body=64 << 20)
        self.server = CallerServer(
            ("127.0.0.1", 0), "callers", self.sink, limits, self.budget
        )
        self.budget.add_source(lambda: self.server.unsent_bytes)
        self.addCleanup(self.server.close)
        self.loop = Loop()
        self.loop.add(self.server)
        self.loop.manager._running = True

    def connect(self) -> socket.socket:
        caller = socket.create_connection((self.server.host, self.server.port))
        caller.setblocking(False)
        self.addCleanup(caller.close)
        return caller

    def tick(self):
        for _ in range(50):
            self.loop.manager.tick(0.0)

    def send(self, caller: socket.socket, data: bytes) -> None:
        """Send all bytes, as a caller does that reads nothing before."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[caller.send(rest) :]
            except BlockingIOError:
                pass
            self.loop.manager.tick(0.0)
        self.tick()

    def put(self, caller: socket.socket, size: int, head: str = "") -> None:
        lines = f"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n{head}\r\n"
        self.send(caller, lines.encode() + bytes(size))

    def received(self, caller: socket.socket) -> bytes:
        self.tick()
        try:
            return caller.recv(65536)
        except BlockingIOError:
            return b""


class BodyRoomTests(KeepingServerCase):
    """Large bodies took a router over its memory limit; others lost their answers."""

    def test_a_body_without_room_is_refused_and_the_caller_can_read_why(self):
        first, second = self.connect(), self.connect()
        self.put(first, 1_500_000)
        self.put(second, 900_000)
        self.assertEqual(len(self.sink.taken), 1)
        answer = self.received(second)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"no_room_for_body", answer)
        self.assertIn(b"Retry-After", answer)
        self.assertEqual(self.budget.used, 1_500_000)

    def test_a_chunked_body_is_refused_once_there_is_no_room(self):
        caller = self.connect()
        self.send(
            caller, b"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
        self.send(caller, chunk * 40 + b"0\r\n\r\n")
        self.assertTrue(self.received(caller).startswith(b"HTTP/1.1 503"))
        self.assertEqual(self.budget.used, 0)

    def test_a_caller_that_asks_first_is_refused_before_it_sends(self):
        caller = self.connect()
        head = "PUT /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        self.send(caller, f"{head}Content-Length: {self.LIMIT + 1}\r\n\r\n".encode())
        self.assertTrue(self.received(caller).startswith(b"HTTP/1.1 503"))

    # Callers on open connections got 413 for bodies that a new configuration allowed.
    def test_new_limits_hold_for_open_connections(self):
        caller = self.connect()
        self.server.limit(CallerLimits(max_body=1000))
        self.put(caller, 500)
        self.server.answer(self.sink.taken.pop()[0], Response(200, (), b"ok"))
        self.received(caller)
        self.server.limit(CallerLimits(max_body=100_000))
        self.put(caller, 50_000)
        self.assertEqual(len(self.sink.taken), 1)
        self.server.answer(self.sink.taken.pop()[0], Response(200, (), b"ok"))
        self.received(caller)
        self.server.limit(CallerLimits(max_body=1000))
        self.put(caller, 50_000)
        self.assertTrue(self.received(caller).startswith(b"HTTP/1.1 413"))

    def test_small_bodies_are_taken_beside_large_ones(self):
        self.put(self.connect(), self.LIMIT)
        self.put(self.connect(), SMALL_BODY_BYTES)
        self.assertEqual(len(self.sink.taken), 2)

    def test_room_is_free_again_after_the_answer(self):
        for _ in range(3):
            caller = self.connect()
            self.put(caller, self.LIMIT)
            request_id, _ = self.sink.taken.pop()
            self.server.answer(request_id, Response(200, (), b"ok"))
            self.assertTrue(self.received(caller).startswith(b"HTTP/1.1 200"))
            self.assertEqual(self.budget.used, 0)

    def test_room_is_free_again_after_the_caller_has_left(self):
        for size in (self.LIMIT, 1_000_000):
            caller = self.connect()
            head = f"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
            self.send(caller, head.encode() + bytes(1_000_000))
            self.assertEqual(self.budget.used, 1_000_000)
            caller.close()
            self.tick()
            self.assertEqual(self.budget.used, 0)

    def test_an_answer_that_is_not_read_takes_room(self):
        caller = self.connect()
        self.put(caller, 10)
        answer = Response(200, (), bytes(16 << 20))
        self.server.answer(self.sink.taken.pop()[0], answer)
        self.assertGreater(self.budget.used, self.LIMIT)
        self.put(self.connect(), 900_000)
        self.assertEqual(self.sink.taken, [])
        caller.close()
        self.tick()
        self.assertEqual(self.budget.used, 0)


class UnreadAnswersTests(KeepingServerCase):
    """Answers that callers do not read took routers over their memory limit."""

    ANSWER = bytes(28 << 20)
    LIMIT = 40 << 20

    def setUp(self):
        super().setUp()
        self.budget.add_relief(self.server.relieve)

    def ask(self, count: int = 1) -> socket.socket:
        caller = self.connect()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.send(caller, REQUEST * count)
        return caller

    def answer(self, body: bytes = ANSWER) -> None:
        request_id, _ = self.sink.taken.pop(0)
        self.server.answer(request_id, Response(200, (), body))

    def test_at_the_limit_the_oldest_unread_answer_gives_way(self):
        callers = [self.ask(), self.ask()]
        self.answer()
        self.answer(bytes(28 << 20))
        self.assertEqual(self.server.connections, 1)
        self.assertLessEqual(self.budget.used, self.LIMIT)
        callers[1].close()
        self.tick()
        self.assertEqual(self.budget.used, 0)

    def test_no_further_request_is_handled_before_the_answers_are_read(self):
        caller = self.connect()
        self.send(caller, REQUEST * 3)
        self.answer()
        self.tick()
        self.assertEqual(self.sink.taken, [])
        while not self.sink.taken:
            self.loop.manager.tick(0.0)
            with contextlib.suppress(BlockingIOError):
                caller.recv(1 << 20)
        self.answer(b"ok")
        self.assertEqual(len(self.sink.taken), 1)

    def test_a_caller_that_pipelines_is_not_read_on(self):
        caller = self.ask(count=MAX_READ_AHEAD + 1)
        self.send(caller, REQUEST * 3)
        (connection,) = self.server._connection_by_sock.values()
        self.assertEqual(len(connection.waiting), MAX_READ_AHEAD)
        self.answer(b"ok")
        self.tick()
        self.assertEqual(len(connection.waiting), MAX_READ_AHEAD + 2)

    # The rest of the head waits in the kernel because the server does not read it.
    def test_a_head_in_part_is_not_late_while_nothing_is_read(self):
        self.server.limit(CallerLimits(head_s=0.0, idle_s=0.0))
        caller = self.connect()
        self.send(caller, REQUEST + REQUEST[:5])
        self.answer()
        self.server.sweep()
        (connection,) = self.server._connection_by_sock.values()
        self.assertFalse(connection.closing)

    def test_an_answer_of_which_nothing_is_accepted_ends_its_connection(self):
        self.server.limit(CallerLimits(keep_s=0.0))
        self.ask()
        self.answer()
        self.server.sweep()
        self.assertEqual(self.server.connections, 0)


class SlowHeadsTests(KeepingServerCase):
    """Connections without a request, or with a slow one, kept all others out."""

    def answer_to(self, caller: socket.socket) -> bytes:
        return self.received(caller)[:12]

    def test_a_head_that_takes_too_long_is_refused(self):
        self.server.limit(CallerLimits(head_s=0.0))
        slow, kept = self.connect(), self.connect()
        self.send(slow, REQUEST[:5])
        self.send(kept, REQUEST)
        self.server.sweep()
        self.assertEqual(self.answer_to(slow), b"HTTP/1.1 408")
        self.assertEqual(len(self.sink.taken), 1)

    def test_at_the_limit_the_oldest_unused_connection_gives_way(self):
        self.server.limit(CallerLimits(connections=2, head_s=0.0))
        used, silent = self.connect(), self.connect()
        self.send(used, REQUEST)
        late = self.connect()
        self.send(late, REQUEST)
        self.assertEqual(silent.recv(1), b"")
        self.assertEqual(len(self.sink.taken), 2)

    def test_a_new_connection_has_time_for_its_first_request(self):
        self.server.limit(CallerLimits(connections=1))
        self.connect()
        self.tick()
        late = self.connect()
        self.assertEqual(self.answer_to(late), b"HTTP/1.1 503")

    def test_a_kept_connection_gives_way_that_brings_nothing(self):
        self.server.limit(CallerLimits(connections=1, head_s=0.0))
        kept = self.connect()
        self.send(kept, REQUEST)
        self.server.answer(self.sink.taken.pop()[0], Response(200, (), b"ok"))
        self.send(self.connect(), REQUEST)
        self.assertEqual(len(self.sink.taken), 1)

    # A body that came a byte at a time kept its place for good.
    def test_the_connection_that_brings_the_least_gives_way(self):
        self.server.limit(CallerLimits(connections=2, head_s=0.0))
        slow, fast = self.connect(), self.connect()
        for caller, size in ((slow, 1), (fast, 1000)):
            head = "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"
            self.send(caller, head.encode() + bytes(size))
        self.send(self.connect(), REQUEST)
        self.assertEqual(len(self.sink.taken), 1)
        self.assertEqual(slow.recv(1), b"")
        self.assertEqual(self.received(fast), b"")


CHUNKED = b"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
#: Bytes of a body in chunks of one byte, and the same on the wire.
CHUNKED_BYTES = 100_000
SMALLEST_CHUNKS = b"1\r\na\r\n" * CHUNKED_BYTES + b"0\r\n\r\n"


class SmallestChunksTests(KeepingServerCase):
    """Bodies in chunks of a few bytes left no processor time for other callers."""

    def test_a_body_in_the_smallest_chunks_is_received(self):
        caller = self.connect()
        self.send(caller, CHUNKED + SMALLEST_CHUNKS)
        while not self.sink.taken:
            self.tick()
        self.assertEqual(self.sink.taken[0][1].body, b"a" * CHUNKED_BYTES)

    def test_few_chunks_are_handled_in_one_iteration_of_the_loop(self):
        callers = [self.connect() for _ in range(20)]
        for caller in callers:
            caller.send(CHUNKED + SMALLEST_CHUNKS)
        self.tick()
        before = self.budget.used
        self.loop.manager.tick(0.0)
        chunks_in_a_read = SHORT_READ_BYTES // len(b"1\r\na\r\n") + 1
        most = MAX_DEFERRED_HANDLED * chunks_in_a_read
        self.assertLessEqual(self.budget.used - before, most)

    def test_a_request_is_handled_at_once_beside_them(self):
        for _ in range(20):
            self.connect().send(CHUNKED + SMALLEST_CHUNKS)
        self.tick()
        ordinary = self.connect()
        ordinary.send(REQUEST)
        self.loop.manager.tick(0.0)
        self.loop.manager.tick(0.0)
        self.loop.manager.tick(0.0)
        self.assertEqual(len(self.sink.taken), 1)


class HeldRequestsTests(KeepingServerCase):
    """Heads and requests that wait took memory that nothing counted."""

    LIMIT = 400_000

    def setUp(self):
        super().setUp()
        self.budget.add_source(lambda: self.server.waiting_bytes)
        self.budget.add_relief(self.server.relieve)

    def test_many_short_headers_take_room(self):
        caller = self.connect()
        self.send(caller, REQUEST[:-2] + b"a:b\r\n" * 1000)
        self.assertGreater(self.budget.used, 1000 * HEADER_OVERHEAD_BYTES)
        caller.close()
        self.tick()
        self.assertEqual(self.budget.used, 0)

    def test_an_ordinary_head_takes_none(self):
        self.send(self.connect(), REQUEST[:-2] + b"X-Name: value\r\n" * 8)
        self.assertEqual(self.budget.used, 0)

    def test_a_head_without_room_is_refused(self):
        self.server.limit(CallerLimits(max_head=1 << 30))
        caller = self.connect()
        headers = b"a:b\r\n" * (9 * self.LIMIT // HEADER_OVERHEAD_BYTES)
        with contextlib.suppress(OSError):
            self.send(caller, REQUEST[:-2] + headers)
        self.assertTrue(self.received(caller).startswith(b"HTTP/1.1 503"))
        self.assertEqual(self.budget.used, 0)

    def test_a_caller_whose_requests_wait_with_large_bodies_is_not_read_on(self):
        caller = self.connect()
        put = b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"
        caller.send((put + bytes(60_000)) * 20)
        self.tick()
        (connection,) = self.server._connection_by_sock.values()
        self.assertTrue(connection.is_paused)
        self.assertLess(self.budget.used, 4 * 60_000)

    def test_waiting_requests_give_their_room_back(self):
        caller = self.connect()
        self.send(caller, REQUEST * 10)
        self.assertGreater(self.server.waiting_bytes, 0)
        for _ in range(10):
            self.server.answer(self.sink.taken.pop()[0], Response(200, (), b"ok"))
        self.assertEqual(self.server.waiting_bytes, 0)
        self.send(caller, REQUEST * 10)
        caller.close()
        self.tick()
        self.assertEqual((self.server.waiting_bytes, self.budget.used), (0, 0))


if __name__ == "__main__":
    unittest.main()
