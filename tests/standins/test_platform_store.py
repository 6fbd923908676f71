"""The stand-in for the platform's store over HTTP: restored from an older copy."""

from __future__ import annotations

import json
import struct
import time
import unittest

from rhubarbhall.adapters.client import Failed, HttpClient
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.requests import Response
from rhubarbhall.standins.platform_store import (
    ERA_HEADER,
    PlatformStore,
    StoreFaults,
    split_records,
)
from tests.adapters.test_daemon import STEP_TIMEOUT_S, free_base_port

TOPIC = "keyed.test"
#: Bytes before the records in the answer to a read: end and first offset.
TAIL_HEAD_BYTES = 16
OTHER_CALLS = (
    ("GET", "/log-newest?topic=keyed.test&part=0"),
    ("GET", "/log-read?topic=keyed.test&part=0&from=0"),
    ("GET", "/log-read?topic=keyed.test&part=0&from=99"),
    ("POST", "/log-append?topic=keyed.op&part=0"),
    ("POST", "/log-append?topic=keyed.test&part=0&at=99"),
    ("GET", "/no-such-path"),
)


def record(value: bytes) -> bytes:
    content = b"\x01k" + value
    return struct.pack(">I", len(content)) + content


def era_of(answer: Response) -> str | None:
    return {name.lower(): value for name, value in answer.headers}.get(
        ERA_HEADER.lower()
    )


class RestoredStoreTests(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.loop.manager._running = True
        port = free_base_port()
        self.address = f"127.0.0.1:{port}"
        self.store = PlatformStore(("127.0.0.1", port))
        self.client = HttpClient("test-platform-store")
        self.loop.add(self.store.port)
        self.loop.add(self.client)
        self.addCleanup(self._close)
        # The components register with the poller in the first rounds of the loop.
        self.run_loop(5)

    def _close(self):
        self.store.port.close()
        self.client.close()
        self.run_loop(5)

    def run_loop(self, rounds: int) -> None:
        for _ in range(rounds):
            self.loop.manager.tick(0.005)

    def send(self, method: str, path: str, body: bytes = b"") -> list:
        """Send a call and return the list that its outcome is appended to."""
        outcomes: list = []
        self.client.fetch(self.address, method, path, (), body, 9.0, outcomes.append)
        return outcomes

    def call(self, method: str, path: str, body: bytes = b"") -> Response:
        outcomes = self.send(method, path, body)
        self.run_until(lambda: outcomes)
        self.assertIsInstance(outcomes[0], Response)
        return outcomes[0]

    def run_until(self, condition) -> None:
        end = time.monotonic() + STEP_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end, "condition not met in time")
            self.run_loop(1)

    def append(self, value: bytes, topic: str = TOPIC, query: str = "") -> Response:
        path = f"/log-append?topic={topic}&part=0{query}"
        return self.call("POST", path, record(value))

    def read(self, offset: int, topic: str = TOPIC) -> Response:
        return self.call("GET", f"/log-read?topic={topic}&part=0&from={offset}")

    def values(self, topic: str = TOPIC) -> list[bytes]:
        body = self.read(0, topic).body
        return [each[2:] for each in split_records(body[TAIL_HEAD_BYTES:])]

    def test_every_answer_names_the_era(self):
        self.append(b"a")
        older = self.store.copy()
        for expected in ("1", "2", "3"):
            for method, path in OTHER_CALLS:
                with self.subTest(path=path, era=expected):
                    self.assertEqual(era_of(self.call(method, path)), expected)
            self.store.faults.refuses = True
            self.assertEqual(era_of(self.read(0)), expected)
            self.store.faults = StoreFaults()
            self.store.restore(older)

    def test_a_read_that_waited_names_the_era(self):
        waiting = self.send(
            "GET", f"/log-read?topic={TOPIC}&part=0&from=0&wait_ms=9000"
        )
        self.run_until(lambda: self.store.calls == 1)
        self.store.put(TOPIC, "k", b"a")
        self.run_until(lambda: waiting)
        self.assertEqual(era_of(waiting[0]), "1")

    def test_records_since_the_copy_are_gone_and_their_offsets_are_given_again(self):
        self.append(b"a")
        older = self.store.copy()
        self.append(b"b")
        self.append(b"c")
        self.append(b"n", topic="keyed.new")
        self.store.restore(older)
        self.assertEqual(self.values(), [b"a"])
        self.assertEqual(self.values("keyed.new"), [])
        newest = self.call("GET", OTHER_CALLS[0][1])
        self.assertEqual(json.loads(newest.body)["end"], 1)
        self.assertEqual(json.loads(self.append(b"d").body), {"offset": 1, "end": 2})
        self.assertEqual(self.values(), [b"a", b"d"])

    def test_a_copy_can_be_restored_twice(self):
        older = self.store.copy()
        for _ in range(2):
            self.append(b"b")
            self.store.restore(older)
            self.assertEqual(self.values(), [])

    def test_a_trim_since_the_copy_is_undone(self):
        self.append(b"a")
        older = self.store.copy()
        self.store.trim(TOPIC)
        self.assertEqual(self.read(0).status, 410)
        self.store.restore(older)
        self.assertEqual(self.read(0).status, 200)

    def test_producers_go_back_to_their_state_at_the_copy(self):
        query = "&producer=p&epoch={}&sequence={}"
        self.append(b"a", query=query.format(1, 1))
        older = self.store.copy()
        self.append(b"b", query=query.format(1, 2))
        self.append(b"c", query=query.format(2, 1))
        fenced = self.append(b"d", query=query.format(1, 3))
        self.assertEqual(json.loads(fenced.body), {"why": "fenced"})
        self.store.restore(older)
        gap = self.append(b"d", query=query.format(1, 3))
        self.assertEqual(json.loads(gap.body), {"why": "seq", "sequence": 2})
        self.assertEqual(self.append(b"e", query=query.format(1, 2)).status, 200)
        self.assertEqual(self.values(), [b"a", b"e"])

    def test_a_read_beyond_the_end_is_refused_and_one_at_the_end_is_not(self):
        for value in (b"a", b"b"):
            self.append(value)
        self.assertEqual(self.read(2).status, 200)
        beyond = self.read(3)
        self.assertEqual((beyond.status, json.loads(beyond.body)), (410, {"first": 0}))
        path = f"/log-read?topic={TOPIC}&part=0&from=3&wait_ms=9000"
        self.assertEqual(self.call("GET", path).status, 410)

    def test_a_read_that_waits_at_the_restore_gets_no_answer(self):
        self.append(b"a")
        older = self.store.copy()
        self.append(b"b")
        path = f"/log-read?topic={TOPIC}&part=0&from=2&wait_ms=9000"
        waiting = self.send("GET", path)
        self.run_until(lambda: self.store.calls == 3)
        self.store.restore(older)
        self.run_until(lambda: waiting)
        self.assertIsInstance(waiting[0], Failed)
        self.assertEqual(self.call("GET", path).status, 410)
