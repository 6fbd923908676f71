"""Readers of bytes: whatever arrives, only the declared errors and bounded memory.

An error that a reader does not declare is not handled by its connection. Each reader
gets valid messages, damaged or followed by anything, in pieces of any size. Nothing
valid before the invalid bytes is lost, but for frames between daemons that arrive in
the same read as damaged compressed bytes.
"""

from __future__ import annotations

import tracemalloc
import unittest
from zlib import Z_SYNC_FLUSH

from hypothesis import given, settings, strategies as st

from rhubarbhall.adapters.http_wire import (
    RequestReader,
    ResponseStreamReader,
    WireError,
)
from rhubarbhall.adapters.peer_frames import Cancel, Forward, Ping, Reply
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter
from rhubarbhall.core.traffic.body_budget import BodyBudget

MAX_HEAD_BYTES = 2048
MAX_BODY_BYTES = 4096
#: Memory of a reader: its limits several times over, and its parser.
MAX_MEMORY_BYTES = 1 << 20

#: Pieces of messages, and bytes that are nothing.
_TOKENS = st.one_of(
    st.sampled_from(
        [
            b"GET / HTTP/1.1\r\n",
            b"PUT /a HTTP/1.1\r\nHost: h\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 103 \r\n\r\n",
            b"HTTP/1.1 999 \r\n\r\n",
            b"Content-Length: 5\r\n",
            b"Content-Length: -5\r\n",
            b"Content-Length: 99999999999999999999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Expect: 100-continue\r\n",
            b"Connection: upgrade\r\nUpgrade: x\r\n",
            b"X: y\r\n" * 100,
            b"\r\n",
            b"5\r\nabcde\r\n",
            b"fffff\r\n",
            b"0\r\n\r\n",
            b"a" * 3000,
        ]
    ),
    st.binary(max_size=64),
)
_BYTES = st.lists(_TOKENS, max_size=12).map(b"".join)
_SIZES = st.lists(st.integers(1, 200), min_size=1, max_size=5)
_REQUEST = b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_COUNT = st.integers(0, 3)


def pieces(data: bytes, sizes: list[int]):
    """Yield the data in pieces of the given sizes in turn."""
    start, number = 0, 0
    while start < len(data):
        end = start + sizes[number % len(sizes)]
        yield data[start:end]
        start, number = end, number + 1


class ReaderProperties(unittest.TestCase):
    def setUp(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def feed(self, feed, data: bytes, sizes: list[int], error: type) -> None:
        """Feed pieces until one is refused, with the declared error."""
        tracemalloc.reset_peak()
        held, _ = tracemalloc.get_traced_memory()
        try:
            for piece in pieces(data, sizes):
                feed(piece)
        except error:
            pass
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - held, MAX_MEMORY_BYTES)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(_COUNT, _BYTES, _SIZES)
    def test_the_reader_of_callers(self, count, data, sizes):
        budget = BodyBudget(MAX_BODY_BYTES)
        reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES, budget)
        self.feed(reader.feed, _REQUEST * count + data, sizes, WireError)
        self.assertGreaterEqual(len(reader.finished), count)
        bodies = [each.body for each in reader.finished[:count]]
        self.assertEqual(bodies, [b"ok"] * count)
        reader.close()
        self.assertEqual(budget.used, 0)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(_COUNT, _BYTES, _SIZES)
    def test_the_reader_of_targets(self, count, data, sizes):
        reader = ResponseStreamReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
        self.feed(reader.feed, _ANSWER * count + data, sizes, WireError)
        self.assertGreaterEqual(len(reader.finished), count)
        bodies = [each.body for each in reader.finished[:count]]
        self.assertEqual(bodies, [b"ok"] * count)
        statuses = {each.status for each in reader.finished}
        self.assertLessEqual(statuses, set(range(200, 600)))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(st.sampled_from(["ping", "cancel", "reply", "forward"]), max_size=4),
        st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=3),
        st.binary(max_size=64),
        _SIZES,
    )
    def test_the_reader_of_peers(self, kinds, damages, data, sizes):
        frames = [_frame(kind, number) for number, kind in enumerate(kinds)]
        writer, reader = FrameWriter(), FrameReader()
        encoded = [writer.encode(frame) for frame in frames]
        valid = b"".join(encoded)
        # Bytes that inflate, but need not be frames.
        rest = writer._deflate.compress(data) + writer._deflate.flush(Z_SYNC_FLUSH)
        damaged = bytearray(valid + rest)
        damaged_at = len(damaged)
        for position, value in damages:
            if position < len(damaged):
                damaged[position] = value
                damaged_at = min(damaged_at, position)
        # zlib gives nothing of a piece in which it finds an error.
        whole, start = len(valid), 0
        for piece in pieces(bytes(damaged), sizes):
            if start <= damaged_at < start + len(piece):
                whole = min(whole, start)
            start += len(piece)
        count, end = 0, 0
        for each in encoded:
            end += len(each)
            count += end <= whole
        decoded: list = []
        self.feed(
            lambda piece: decoded.extend(reader.feed(piece)),
            bytes(damaged),
            sizes,
            ValueError,
        )
        self.assertEqual(decoded[:count], frames[:count])


def _frame(kind: str, number: int):
    if kind == "ping":
        return Ping(number)
    if kind == "cancel":
        return Cancel(number)
    if kind == "reply":
        return Reply(number, 200, ["A", "b"], b"body" * 9, 1, 2, 3)
    times = (100, 50, False, True, 0)
    text = ("GET", "/a", "h", "id")
    return Forward(number, "s", "r", -1, *times, *text, ["A", "b"], b"body")


if __name__ == "__main__":
    unittest.main()
