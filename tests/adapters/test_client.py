"""The HTTP client over a fake poller: calls that wait for a connection."""

from __future__ import annotations

import unittest

from rhubarbhall.adapters.client import HttpClient
from rhubarbhall.core.order_dispatcher import is_reported_not_run

ADDRESS = "10.0.0.1:80"


class FakeSocketClient(HttpClient):
    """Opens fake sockets and records the bytes that are sent on them."""

    def __init__(self, max_connections: int, *options):
        super().__init__("client", max_connections, *options)
        self.opened: list[object] = []
        self.sent: list[tuple[object, bytes]] = []

    def open(self, address, on_open):
        sock = object()
        self.opened.append((sock, on_open))
        return sock

    def send(self, sock, data):
        self.sent.append((sock, data))

    def drop(self, sock):
        if sock in self._connection_by_sock:
            self.on_closed(sock)


class WaitingCallTests(unittest.TestCase):
    def setUp(self):
        self.client = FakeSocketClient(max_connections=1)
        self.answers: dict[str, list] = {}

    def fetch(self, path: str):
        answers = self.answers.setdefault(path, [])
        self.client.fetch(ADDRESS, "GET", path, (), b"", 1.0, answers.append)

    def answer(self, body: bytes, close: bool = False):
        sock = self.client.sent[-1][0]
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
        if close:
            head += b"Connection: close\r\n"
        self.client.on_data(sock, head + b"\r\n" + body)

    def open_next(self):
        sock, on_open = self.client.opened.pop(0)
        on_open()

    def test_each_call_gets_its_own_answer_when_calls_wait_for_the_connection(self):
        for path in ("/a", "/b", "/c"):
            self.fetch(path)
        self.open_next()
        for body in (b"a", b"b", b"c"):
            self.answer(body)
        bodies = {
            path: [each.body for each in got] for path, got in self.answers.items()
        }
        self.assertEqual(bodies, {"/a": [b"a"], "/b": [b"b"], "/c": [b"c"]})

    def test_a_waiting_call_opens_a_connection_when_the_last_one_closes(self):
        self.fetch("/a")
        self.fetch("/b")
        self.open_next()
        self.answer(b"a", close=True)
        self.open_next()
        self.answer(b"b")
        self.assertEqual([each.body for each in self.answers["/b"]], [b"b"])

    def test_an_answer_without_a_call_ends_the_connection(self):
        self.fetch("/a")
        self.open_next()
        sock = self.client.sent[-1][0]
        self.answer(b"a")
        self.client.on_data(sock, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        self.fetch("/b")
        self.assertEqual(len(self.client.opened), 1)
        self.assertEqual(self.answers["/b"], [])


class RepeatedRefusalTests(unittest.TestCase):
    """A faulty target writes an earlier refusal once more."""

    REFUSAL = b"HTTP/1.1 499 X\r\nTarget-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    def setUp(self):
        def keeps_after(response):
            return not is_reported_not_run(response)

        self.client = FakeSocketClient(1, keeps_after)
        self.statuses: list[int] = []

    def fetch(self) -> object:
        """Make a call and return the connection that it is written on."""
        sent = len(self.client.sent)
        self.client.fetch(
            ADDRESS,
            "GET",
            "/",
            (),
            b"",
            1.0,
            lambda got: self.statuses.append(got.status),
        )
        if len(self.client.sent) == sent:
            _, on_open = self.client.opened.pop(0)
            on_open()
        return self.client.sent[-1][0]

    # The refusal was taken for that of the next order, which the target was executing,
    # and the caller was told that it had not run.
    def test_it_is_no_response_to_the_next_call(self):
        first = self.fetch()
        self.client.on_data(first, self.REFUSAL)
        second = self.fetch()
        self.client.on_data(first, self.REFUSAL)
        self.client.on_data(second, self.ANSWER)
        self.assertEqual(self.statuses, [499, 200])

    def test_other_responses_keep_the_connection(self):
        first = self.fetch()
        self.client.on_data(first, self.ANSWER)
        self.assertIs(self.fetch(), first)
