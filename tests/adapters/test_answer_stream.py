"""Responses as connections to targets carry them.

Several follow each other, some have no length and end with the connection, and some are
cut by its end.
"""

from __future__ import annotations

import unittest

from rhubarbhall.adapters.http_wire import ResponseStreamReader, WireError

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
