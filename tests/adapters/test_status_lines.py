"""Status lines that are no answer, of targets and in replies between daemons.

A target's `000` or `099` held its slot until the request's deadline, and `600` or `999`
was passed on to the caller.
"""

from __future__ import annotations

import socket
import unittest

from rhubarbhall.adapters.http_wire import (
    MAX_INTERIM_ANSWERS,
    ResponseReader,
    ResponseStreamReader,
    WireError,
)
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.peer_frames import Reply
from rhubarbhall.adapters.peer_outcomes import decode_outcome
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Answered, Unknown
from rhubarbhall.platform.target import HttpTargetClient
from tests.core.traffic.test_admission_queue import REQUEST

INVALID = ("000", "099", "600", "999", "20", "1000", "2OO", "-20", "+200", "", "2 0")
END = b" Any\r\nContent-Length: 0\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
FINAL = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok"


def answer(status: str) -> bytes:
    return b"HTTP/1.1 " + status.encode() + END


class ReaderTests(unittest.TestCase):
    def readers(self) -> list:
        stored = ResponseReader(1 << 16)
        stored.expect(1 << 16)
        return [ResponseStreamReader(1 << 16, 1 << 16), stored]

    def test_invalid_statuses_are_no_answer(self):
        for status in INVALID:
            for reader in self.readers():
                with self.subTest(status, reader=reader):
                    with self.assertRaises(WireError):
                        reader.feed(answer(status))

    def test_a_valid_answer_before_an_invalid_one_is_kept(self):
        reader, _ = self.readers()
        with self.assertRaises(WireError):
            reader.feed(FINAL + answer("999"))
        self.assertEqual([each.status for each in reader.finished], [200])

    def test_the_bounds_of_statuses_are_answers(self):
        for status in ("200", "599"):
            reader, _ = self.readers()
            reader.feed(answer(status))
            self.assertEqual(reader.finished[0].status, int(status))

    def test_interim_answers_before_each_answer_are_bounded(self):
        reader, _ = self.readers()
        for _ in range(2):
            reader.feed(INTERIM * MAX_INTERIM_ANSWERS + FINAL)
        self.assertEqual(len(reader.finished), 2)
        with self.assertRaises(WireError):
            reader.feed(INTERIM * (MAX_INTERIM_ANSWERS + 1))

    def test_a_switch_of_protocols_is_refused(self):
        reader, _ = self.readers()
        with self.assertRaises(WireError):
            reader.feed(
                b"HTTP/1.1 101 Any\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
            )


class ReplyTests(unittest.TestCase):
    def test_an_invalid_status_of_a_peer_reaches_no_caller(self):
        for status in (-20, 0, 20, 99, 100, 199, 600, 999, 1000):
            with self.subTest(status):
                outcome = decode_outcome(Reply(1, status, [], b"", 1, 0, 3))
                self.assertEqual(outcome, Unknown(ErrorKind.ANSWER_LOST))

    def test_valid_statuses_are_answers(self):
        for status in (200, 599):
            outcome = decode_outcome(Reply(1, status, [], b"", 1, 0, 3))
            self.assertEqual(outcome, Answered(status, (), b""))


class SlotTests(unittest.TestCase):
    def test_the_outcome_is_known_at_once(self):
        for status in (*INVALID, "103"):
            with self.subTest(status):
                data = INTERIM * 20 if status == "103" else answer(status)
                self.assertEqual(self.outcomes(data), [Unknown(ErrorKind.ANSWER_LOST)])

    def outcomes(self, data: bytes) -> list:
        outcomes: list = []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            loop = Loop()
            client = HttpTargetClient(
                f"target-{listener.getsockname()[1]}",
                f"127.0.0.1:{listener.getsockname()[1]}",
                lambda ticket, outcome: outcomes.append(outcome),
                lambda refused: None,
                lambda: None,
                lambda ticket, notice: None,
            )
            loop.add(client)
            loop.manager._running = True
            for _ in range(20):
                loop.manager.tick(0.0)
            client.send(1, REQUEST, 0.0)
            for _ in range(20):
                loop.manager.tick(0.001)
            peer, _ = listener.accept()
            with peer:
                peer.sendall(data)
                for _ in range(50):
                    loop.manager.tick(0.001)
            client.close()
        return outcomes


if __name__ == "__main__":
    unittest.main()
