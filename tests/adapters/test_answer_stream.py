"""Responses as connections to targets carry them.

Several follow each other, some have no length and end with the connection, and some are
cut by its end.
"""

from __future__ import annotations

import unittest

from rhubarbhall.adapters.http_wire import (
    ResponseReader,
    ResponseStreamReader,
    WireError,
)

WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"


class AnswerStreamTests(unittest.TestCase):
    def setUp(self):
        self.stream = ResponseStreamReader(4096, 4096)

    def bodies(self):
        return [response.body for response in self.stream.finished]

    def test_several_responses_on_one_connection(self):
        self.stream.feed(WHOLE + WHOLE.replace(b"ok", b"no"))
        self.assertEqual(self.bodies(), [b"ok", b"no"])

    def test_a_response_without_a_length_ends_with_its_connection(self):
        self.stream.feed(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\npart")
        self.assertEqual(self.bodies(), [])
        self.stream.end()
        self.assertEqual(self.bodies(), [b"part"])
        self.assertFalse(self.stream.keep_alive)

    def test_a_response_cut_short_is_discarded(self):
        self.stream.feed(WHOLE[:-1])
        self.stream.end()
        self.assertEqual(self.bodies(), [])

    def test_a_chunked_response_cut_short_is_discarded(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.stream.feed(head + b"5\r\nhello\r\n")
        self.stream.end()
        self.assertEqual(self.bodies(), [])

    def test_bytes_that_are_not_valid_http_are_an_error(self):
        with self.assertRaises(WireError):
            self.stream.feed(b"nonsense\r\n\r\n")

    def test_a_response_without_a_body_ends_with_its_headers(self):
        self.stream.feed(b"HTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n" + WHOLE)
        self.assertEqual(self.bodies(), [b"", b"ok"])

    def test_a_body_beyond_the_limit_is_an_error(self):
        with self.assertRaises(WireError):
            self.stream.feed(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 5000)


class CutHeadTests(unittest.TestCase):
    """A target that closes in the middle of the head of its answer."""

    BODY = b"payload"
    HEADS = (
        b"HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: a\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 7\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nRequest-Id: a\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n",
    )

    # Callers got a 200 with an empty or short body that looked whole.
    def test_no_cut_within_a_head_makes_a_response(self):
        for head in self.HEADS:
            for cut in range(len(head)):
                stream = ResponseStreamReader(4096, 4096)
                with self.subTest(head=head, cut=cut):
                    stream.feed(head[:cut])
                    stream.end()
                    self.assertEqual(stream.finished, [])
                    self.assertFalse(stream.keep_alive)

    def test_nor_after_a_whole_response_on_the_same_connection(self):
        for head in self.HEADS:
            for cut in range(len(head)):
                stream = ResponseStreamReader(4096, 4096)
                with self.subTest(head=head, cut=cut):
                    stream.feed(WHOLE + head[:cut])
                    stream.end()
                    self.assertEqual(len(stream.finished), 1)

    def test_no_cut_of_a_response_with_a_length_makes_a_response(self):
        head = self.HEADS[1]
        for cut in range(len(head + self.BODY)):
            stream = ResponseStreamReader(4096, 4096)
            with self.subTest(cut=cut):
                stream.feed((head + self.BODY)[:cut])
                stream.end()
                self.assertEqual(stream.finished, [])

    def test_calls_of_the_http_client_are_cut_likewise(self):
        for head in self.HEADS[:4]:
            for cut in range(len(head)):
                reader = ResponseReader(4096)
                reader.expect(4096)
                with self.subTest(head=head, cut=cut):
                    reader.feed(head[:cut])
                    self.assertIsNone(reader.response)
