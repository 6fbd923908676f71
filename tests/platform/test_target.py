"""The client of the local target."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.requests import Response
from rhubarbhall.core.traffic.requests import Answered, NotRun, TargetNotice, Unknown
from rhubarbhall.platform.target import (
    ANSWERS_SHARE,
    MAX_UNSERVED_IDS,
    HttpTargetClient,
    _notice,
)
from tests.core.traffic.test_admission_queue import REQUEST


class TargetClientCase(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.outcomes: list = []
        self.unreachable: list[bool] = []
        self.reachable: list[bool] = []
        self.notices: list[tuple[int, TargetNotice]] = []
        self.disconnected: list[bool] = []
        self.client = HttpTargetClient(
            "target-test",
            f"127.0.0.1:{port}",
            lambda ticket, outcome: self.outcomes.append(outcome),
            self.unreachable.append,
            lambda: self.reachable.append(True),
            lambda ticket, notice: self.notices.append((ticket, notice)),
            on_disconnected=lambda: self.disconnected.append(True),
        )
        self.addCleanup(self.client.close)
        self.loop = Loop()
        self.loop.add(self.client)
        self.loop.manager._running = True
        for _ in range(20):
            self.loop.manager.tick(0.0)


class UnreachableTests(TargetClientCase):
    # A caller that left while the connection for its request opened made the daemon
    # refuse all that waited for a healthy target.
    def test_a_request_cancelled_while_its_connection_opens_says_nothing_of_it(self):
        self.client.send(1, REQUEST, 0.0)
        self.client.cancel(1)
        self.assertEqual((self.unreachable, self.outcomes), ([], []))

    def test_a_target_without_a_listener_is_unreachable(self):
        self.listener.close()
        self.client.send(1, REQUEST, 0.0)
        for _ in range(20):
            self.loop.manager.tick(0.01)
        self.assertEqual(len(self.unreachable), 1)
        self.assertEqual(len(self.outcomes), 1)


class ProbeTests(TargetClientCase):
    def probe(self) -> None:
        for _ in range(2):
            self.client.probe()
        for _ in range(20):
            self.loop.manager.tick(0.01)

    # Guards against: a target that has ended not told from a connection that was reset.
    def test_a_target_without_a_listener_refuses_the_probe(self):
        self.listener.close()
        self.probe()
        self.assertEqual((self.unreachable, self.reachable), ([True], []))
        self.probe()
        self.assertEqual(self.unreachable, [True, True])

    def test_a_target_that_listens_accepts_one_connection_which_is_used(self):
        self.probe()
        self.assertEqual((self.unreachable, self.reachable), ([], [True]))
        connection, _ = self.listener.accept()
        self.addCleanup(connection.close)
        self.client.send(1, REQUEST, 0.0)
        self.assertIn(b"HTTP/1.1", connection.recv(1000))


class AnsweringTargetCase(TargetClientCase):
    """A target whose answers the test writes byte by byte."""

    INSTANCE = "i-1"

    def setUp(self):
        super().setUp()
        self.listener.settimeout(2.0)
        self.client.instance = self.INSTANCE

    def tick(self, count: int = 10) -> None:
        for _ in range(count):
            self.loop.manager.tick(0.002)

    def accept(self) -> socket.socket:
        self.tick()
        sock, _ = self.listener.accept()
        sock.settimeout(2.0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.addCleanup(sock.close)
        self.tick()
        return sock

    def send(self, ticket: int, id: str, sock: socket.socket | None = None):
        """Send a request and return the connection on which the target receives it."""
        self.client.send(ticket, replace(REQUEST, id=id), 0.0)
        sock = sock or self.accept()
        self.assertIn(f"Request-Id: {id}".encode(), sock.recv(4096))
        return sock

    def answer(self, sock: socket.socket, id: str, *headers: str, status=200) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Request-Id: {id}", "Server-Signature: s"]
        lines += [*headers, "Content-Length: 2", "", "ok"]
        sock.sendall("\r\n".join(lines).encode())
        self.tick()


class LargeAnswerTests(AnsweringTargetCase):
    # Endless answers on all slots took a router over its memory limit.
    def test_the_largest_answer_is_given_up_beyond_the_room_for_bodies(self):
        self.client._budget.limit = 1_000_000 / ANSWERS_SHARE
        first = self.send(1, "a")
        second = self.send(2, "b")
        head = "HTTP/1.1 200 X\r\nRequest-Id: {}\r\nServer-Signature: s\r\n"
        for sock, id, size in ((first, "a", 700_000), (second, "b", 400_000)):
            lines = head.format(id) + "Content-Length: 900000\r\n\r\n"
            sock.sendall(lines.encode())
            for _ in range(size // 50_000):
                sock.sendall(bytes(50_000))
                self.tick(2)
        self.assertEqual(self.outcomes, [Unknown(ErrorKind.ANSWER_LOST)])
        second.sendall(bytes(500_000))
        self.tick(20)
        self.assertIsInstance(self.outcomes[1], Answered)
        self.assertEqual(self.client.received_bytes, 0)


class NoticeTests(AnsweringTargetCase):
    def notice_of(self, *headers: str, status: int = 200) -> TargetNotice:
        self.answer(self.send(1, "q"), "q", *headers, status=status)
        ((ticket, notice),) = self.notices
        self.assertEqual(ticket, 1)
        return notice

    def test_an_answer_without_notices(self):
        self.assertEqual(self.notice_of(), TargetNotice())

    def test_the_rate_that_a_target_states(self):
        self.assertEqual(self.notice_of("Server-Limit: 12.5"), TargetNotice(12.5))

    def test_the_notice_of_a_target_that_leaves(self):
        self.assertTrue(self.notice_of("Server-Leaving: 1").leaves)

    def test_a_notice_in_a_refusal_counts(self):
        notice = self.notice_of("Not-Executed: 1", "Server-Limit: 3")
        self.assertEqual(notice, TargetNotice(3.0))

    def test_an_answer_to_another_run_of_the_target_says_nothing(self):
        sock = self.send(1, "q")
        self.client.instance = "i-2"
        self.answer(sock, "q", "Server-Leaving: 1")
        self.assertEqual(self.notices, [])
        self.assertEqual(len(self.outcomes), 1)

    # A spoilt answer without the header ended the limit until the next answer.
    def test_a_spoilt_answer_says_nothing(self):
        sock = self.send(1, "q")
        sock.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n")
        self.tick()
        self.assertEqual(self.outcomes, [Unknown(ErrorKind.ANSWER_LOST)])
        self.assertEqual(self.notices, [])

    def test_the_answer_of_another_target_at_the_address_says_nothing(self):
        sock = self.send(1, "q")
        self.answer(sock, "q", "Instance-Id: i-2", "Server-Limit: 1", status=421)
        self.assertEqual(self.outcomes, [NotRun(ErrorKind.TARGET_UNREACHABLE)])
        self.assertEqual(self.notices, [])

    def test_a_rejection_for_its_key_counts(self):
        notice = self.notice_of("Server-Limit: 3", status=421)
        self.assertEqual(notice, TargetNotice(3.0))

    def test_the_slowdown_in_the_load_of_a_target(self):
        for text, slowdown in (
            ("2,1,3,100", 1.0),
            ("2,1,3,312.5", 3.125),
            ("0,0,3,0", 0.1),
            ("0,0,3,999999999", 20.0),
        ):
            with self.subTest(text=text):
                notice = _notice(Response(200, (("server-load", text),)))
                self.assertEqual(notice, TargetNotice(slowdown=slowdown))

    def test_loads_without_a_slowdown_that_can_be_read_say_nothing(self):
        for text in ("2,1,3", "", "x", "1,2,3,-5", "1,2,3,nan", "1,2,3,4,5", "1,,3,4"):
            with self.subTest(text=text):
                notice = _notice(Response(200, (("Server-Load", text),)))
                self.assertEqual(notice, TargetNotice())

    def test_rates_that_cannot_be_read_are_none(self):
        for text in ("", "x", "-1", "nan", "inf", "1e9", "1,5", "9" * 400, "\u0663"):
            response = Response(200, (("Server-Limit", text),))
            with self.subTest(text=text):
                self.assertEqual(_notice(response), TargetNotice())

    def test_rates_with_many_digits_are_read(self):
        response = Response(200, (("server-limit", "12.499999999999998"),))
        self.assertAlmostEqual(_notice(response).rate, 12.5)


class DisconnectedTests(AnsweringTargetCase):
    """Whether closed connections suggest that the target has ended."""

    def close(self, sock: socket.socket) -> None:
        sock.close()
        self.tick()

    # Guards against: a target that was restarted between two requests and gets the
    # usual rate although it is cold.
    def test_the_end_of_all_connections_counts_once_also_of_idle_ones(self):
        first, second = self.send(1, "a"), self.send(2, "b")
        self.answer(first, "a")
        self.close(first)
        self.assertEqual(self.disconnected, [])
        self.close(second)
        self.assertEqual(self.disconnected, [True])

    def test_connections_that_are_closed_here_do_not_count(self):
        self.client.cancel(1)
        self.send(1, "a")
        self.client.cancel(1)
        self.tick()
        self.answer(self.send(2, "b"), "b", "Connection: close")
        self.assertEqual((self.disconnected, len(self.outcomes)), ([], 1))


class RepeatedAnswerTests(AnsweringTargetCase):
    """A faulty target writes an earlier answer once more on a kept connection."""

    def refuse(self, sock: socket.socket, id: str) -> None:
        self.answer(sock, id, "Not-Executed: 1")

    def accept_if_any(self) -> socket.socket | None:
        self.listener.settimeout(0.0)
        try:
            return self.accept()
        except BlockingIOError:
            return None

    def outcome_types(self) -> list[type]:
        return [type(outcome) for outcome in self.outcomes]

    # A target wrote an earlier refusal once more, and the caller was told that its
    # request had not run although the target was running it (REFUSED, TWICE).
    def test_an_earlier_refusal_is_no_outcome_of_a_request_sent_again(self):
        first = self.send(1, "q")
        self.refuse(first, "q")
        self.client.send(2, replace(REQUEST, id="q"), 0.0)
        second = self.accept_if_any() or first
        self.refuse(first, "q")
        self.answer(second, "q")
        self.assertEqual(self.outcome_types(), [NotRun, Answered])

    def test_an_earlier_failure_is_no_outcome_of_a_request_sent_again(self):
        first = self.send(1, "q")
        self.answer(first, "q", status=500)
        self.client.send(2, replace(REQUEST, id="q"), 0.0)
        second = self.accept_if_any() or first
        self.answer(first, "q", status=500)
        self.answer(second, "q")
        self.assertEqual([each.status for each in self.outcomes], [500, 200])

    def test_the_refusal_of_another_request_does_not_count(self):
        sock = self.send(1, "p")
        self.refuse(sock, "p")
        self.send(2, "q", sock)
        self.refuse(sock, "p")
        self.assertEqual(len(self.outcomes), 1)
        self.answer(sock, "q")
        self.assertEqual(self.outcome_types(), [NotRun, Answered])

    def test_a_refusal_without_a_request_closes_the_connection(self):
        sock = self.send(1, "q")
        self.refuse(sock, "q")
        self.refuse(sock, "q")
        self.assertEqual(len(self.outcomes), 1)
        self.assertEqual(sock.recv(100), b"")

    def test_the_connection_serves_other_requests_after_a_refusal(self):
        sock = self.send(1, "q")
        self.refuse(sock, "q")
        self.send(2, "p", sock)
        self.answer(sock, "p")
        self.assertEqual(self.outcome_types(), [NotRun, Answered])

    def test_a_connection_with_many_refusals_is_closed(self):
        sock = self.send(0, "q0")
        for number in range(1, MAX_UNSERVED_IDS):
            self.refuse(sock, f"q{number - 1}")
            self.send(number, f"q{number}", sock)
        self.refuse(sock, f"q{MAX_UNSERVED_IDS - 1}")
        self.assertEqual(sock.recv(100), b"")


class CutAnswerTests(AnsweringTargetCase):
    """A target that closes before its answer is whole."""

    # Callers got a 200 with an empty or short body that looked whole (MIXED, ORDER).
    def test_an_answer_that_ends_within_its_head_is_lost(self):
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nServer-Signature: s\r\n\r\n"
        for ticket, cut in enumerate((0, 15, 17, 33, len(head) - 4, len(head) - 1)):
            with self.subTest(cut=cut):
                sock = self.send(ticket, "q")
                sock.sendall(head[:cut])
                sock.close()
                self.tick()
                self.assertEqual(self.outcomes.pop(), Unknown(ErrorKind.ANSWER_LOST))
