from __future__ import annotations

import unittest

from rhubarbhall.adapters.http_encoding import encode_request, encode_response
from rhubarbhall.adapters.http_wire import RequestReader, ResponseReader, WireError
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.requests import Response


def read(data: bytes, step: int | None = None) -> RequestReader:
    reader = RequestReader(max_head=1024, max_body=100)
    step = step or len(data)
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
    return reader


class RequestReaderTests(unittest.TestCase):
    def test_a_request_is_parsed_however_its_bytes_are_split(self):
        data = encode_request("POST", "/a/b?c=d", "h", (("X-Y", "z"),), b"body")
        for step in (1, 2, 7, len(data)):
            with self.subTest(step=step):
                (request,) = read(data, step).finished
                self.assertEqual((request.method, request.path), ("POST", "/a/b?c=d"))
                self.assertEqual(request.body, b"body")
                self.assertIn(("X-Y", "z"), request.headers)
                self.assertTrue(request.keep_alive)

    def test_pipelined_requests_are_all_read(self):
        data = encode_request("GET", "/1", "h", (), b"")
        data += encode_request("GET", "/2", "h", (), b"")
        self.assertEqual([r.path for r in read(data).finished], ["/1", "/2"])

    def test_a_chunked_body_is_joined(self):
        data = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(read(data, 5).finished[0].body, b"abcde")

    def assert_refused(self, data: bytes, kind: ErrorKind) -> None:
        with self.assertRaises(WireError) as caught:
            read(data)
        self.assertIs(caught.exception.kind, kind)

    def test_bytes_that_are_not_valid_http_are_refused(self):
        for data in (
            b"\x16\x03\x01\x02\x00",
            b"GET\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
        ):
            with self.subTest(data=data):
                self.assert_refused(data, ErrorKind.MALFORMED_REQUEST)

    def test_large_headers_are_refused(self):
        data = b"GET / HTTP/1.1\r\nX: " + b"y" * 2000 + b"\r\n\r\n"
        self.assert_refused(data, ErrorKind.HEADERS_TOO_LARGE)

    def test_a_large_path_is_refused(self):
        self.assert_refused(
            b"GET /" + b"y" * 2000 + b" HTTP/1.1\r\n\r\n", ErrorKind.HEADERS_TOO_LARGE
        )

    def test_a_large_body_is_refused_before_it_is_received(self):
        data = b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"
        self.assert_refused(data, ErrorKind.BODY_TOO_LARGE)

    def test_a_large_chunked_body_is_refused(self):
        data = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n"
        self.assert_refused(data + b"x" * 200, ErrorKind.BODY_TOO_LARGE)


class ResponseReaderTests(unittest.TestCase):
    def test_a_response_is_whole_or_none(self):
        data = encode_response(Response(200, (("A", "b"),), b"answer"), True)
        reader = ResponseReader(1024)
        reader.expect(100)
        reader.feed(data[:-1])
        self.assertIsNone(reader.response)
        reader.feed(data[-1:])
        self.assertEqual(reader.response.body, b"answer")
        self.assertTrue(reader.keep_alive)

    def test_a_response_beyond_the_limit_is_an_error(self):
        reader = ResponseReader(1024)
        reader.expect(4)
        with self.assertRaises(WireError) as caught:
            reader.feed(encode_response(Response(200, (), b"answer"), True))
        self.assertIs(caught.exception.kind, ErrorKind.ANSWER_TOO_LARGE)

    def test_the_response_to_a_head_has_no_body(self):
        data = encode_response(Response(200, (), b"answer"), False, without_body=True)
        self.assertTrue(data.endswith(b"\r\n\r\n"))
        self.assertIn(b"Content-Length: 6", data)
        self.assertIn(b"Connection: close", data)
