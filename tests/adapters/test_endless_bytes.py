"""Bytes that are no answer, in a head or a body, without end until we close."""

from __future__ import annotations

import tracemalloc
import unittest

from rhubarbhall.adapters.http_wire import (
    RequestReader,
    ResponseReader,
    ResponseStreamReader,
    WireError,
)

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 256 * 1024
#: Bytes after which a reader must have given up, and memory that it may take by then. A
#: chunk of one byte takes six.
GIVE_UP_BYTES = 6 * (MAX_HEAD_BYTES + MAX_BODY_BYTES)
MAX_MEMORY_BYTES = 4 << 20
FILLER = b"a" * 10_000
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
#: The begin of a message after its first line, and what follows it without end.
ENDLESS = {
    "a header": (b"X: ", FILLER),
    "a header name": (b"", FILLER),
    "headers": (b"", b"X: y\r\n" * 1000),
    "a chunk extension": (CHUNKED + b"5;", FILLER),
    "chunks": (CHUNKED, b"1\r\na\r\n" * 1000),
    "a trailer": (CHUNKED + b"0\r\nX: ", FILLER),
    "a chunk length": (CHUNKED, b"0" * 10_000),
    "a body": (b"Content-Length: 999999999\r\n\r\n", FILLER),
}


class EndlessBytesTests(unittest.TestCase):
    def assert_gives_up(self, reader, begin: bytes, endless: bytes) -> None:
        received = 0
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(WireError):
            reader.feed(begin)
            while received < GIVE_UP_BYTES:
                reader.feed(endless)
                received += len(endless)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(peak, MAX_MEMORY_BYTES)

    def test_the_reader_of_targets_gives_up(self):
        for name, (begin, endless) in ENDLESS.items():
            with self.subTest(name):
                reader = ResponseStreamReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
                self.assert_gives_up(reader, b"HTTP/1.1 200 OK\r\n" + begin, endless)

    def test_the_reader_of_the_store_gives_up(self):
        for name, (begin, endless) in ENDLESS.items():
            with self.subTest(name):
                reader = ResponseReader(MAX_HEAD_BYTES)
                reader.expect(MAX_BODY_BYTES, False)
                self.assert_gives_up(reader, b"HTTP/1.1 200 OK\r\n" + begin, endless)

    def test_the_reader_of_callers_gives_up(self):
        for name, (begin, endless) in ENDLESS.items():
            with self.subTest(name):
                reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
                self.assert_gives_up(reader, b"POST / HTTP/1.1\r\n" + begin, endless)

    def test_no_http_at_all_is_given_up_at_once(self):
        reader = ResponseStreamReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
        self.assert_gives_up(reader, b"", FILLER)

    def test_empty_lines_without_end_are_given_up(self):
        reader = ResponseStreamReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
        self.assert_gives_up(reader, b"", b"\r\n" * 5000)

    def test_a_message_in_many_small_pieces_is_read(self):
        reader = ResponseStreamReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
        message = b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"1\r\na\r\n" * 5000 + b"0\r\n\r\n"
        for index in range(0, len(message), 7):
            reader.feed(message[index : index + 7])
        self.assertEqual(reader.finished[0].body, b"a" * 5000)
