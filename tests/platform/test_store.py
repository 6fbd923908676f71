"""The client of the platform's store: encoding of calls, decoding of answers."""

from __future__ import annotations

import base64
import struct
import unittest

import msgspec

from rhubarbhall.adapters.client import Failed
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.store_port import (
    NO_WAIT,
    Appended,
    Conflict,
    LongPoll,
    NewestPage,
    Tail,
    Trimmed,
    Unavailable,
    position,
)
from rhubarbhall.core.ownership.stored_values import pack_value
from rhubarbhall.core.requests import Response
from rhubarbhall.platform.store import LogStore


class FakeHttp:
    def __init__(self):
        self.calls: list[tuple] = []
        self.replies: list = []

    def fetch(self, address, method, path, headers, body, timeout_s, on_done):
        self.calls.append((method, path, body))
        on_done(self.replies.pop(0))


def record(key: bytes, value: bytes) -> bytes:
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


class StoreTests(unittest.TestCase):
    def setUp(self):
        self.http = FakeHttp()
        self.store = LogStore(self.http, self.http, "10.0.0.9:1")
        self.results: list = []

    def read_tail(self, reply):
        self.http.replies.append(reply)
        self.store.read_tail("t", 7, LongPoll(1.5, 1.0), self.results.append)
        return self.results[-1]

    def test_a_compressed_value_is_read_as_it_was(self):
        value = b"table " * 1000
        stored = record(b"k", pack_value(value))
        self.assertLess(len(stored), 200)
        result = self.read_tail(Response(200, (), struct.pack(">QQ", 8, 0) + stored))
        self.assertEqual(result.entries, (Entry(7, "k", value),))

    def test_values_are_written_as_earlier_builds_read_them(self):
        value = b"table " * 1000
        self.http.replies.append(Response(200, (), b'{"offset":7}'))
        self.store.append("t", "k", value, None, self.results.append)
        self.assertEqual(self.http.calls[0][2], record(b"k", value))

    def test_bytes_of_a_call_are_counted_with_its_result(self):
        counted = []
        self.store = LogStore(
            self.http, self.http, "10.0.0.9:1", lambda *each: counted.append(each)
        )
        self.read_tail(Response(200, (), struct.pack(">QQ", 9, 0)))
        sent = len(self.http.calls[0][1])
        self.assertEqual(counted, [("read_tail", "Tail", sent, 16)])

    def test_records_of_a_tail_get_consecutive_offsets(self):
        body = struct.pack(">QQ", 9, 0) + record(b"a", b"1") + record(b"b", b"")
        result = self.read_tail(Response(200, (), body))
        self.assertEqual(result, Tail((Entry(7, "a", b"1"), Entry(8, "b", b"")), 9, 9))
        self.assertIn("from=7&wait_ms=1500", self.http.calls[0][1])

    def test_an_unreadable_record_is_skipped_but_takes_an_offset(self):
        unreadable = struct.pack(">I", 3) + b"\xffab"
        body = struct.pack(">QQ", 9, 0) + unreadable + record(b"b", b"2")
        result = self.read_tail(Response(200, (), body))
        self.assertEqual(result, Tail((Entry(8, "b", b"2"),), 9, 9))

    def test_a_truncated_answer_counts_as_unavailable(self):
        body = struct.pack(">QQ", 9, 0) + record(b"a", b"1")[:-1]
        self.assertIsInstance(self.read_tail(Response(200, (), body)), Unavailable)
        self.assertIsInstance(self.read_tail(Response(200, (), b"x")), Unavailable)

    def test_a_read_of_dropped_records_returns_trimmed(self):
        self.assertEqual(self.read_tail(Response(410)), Trimmed())

    def test_the_next_page_begins_after_the_last_key(self):
        value = base64.b64encode(b"v").decode()
        items = [{"key": "k", "value": value, "offset": 4}]
        body = msgspec.json.encode({"items": items, "more": True, "end": 6})
        self.http.replies.append(Response(200, (), body))
        self.store.read_newest("t", None, self.results.append)
        expected = NewestPage((Entry(4, "k", b"v"),), "k", 6)
        self.assertEqual(self.results, [expected])

    def append(self, reply):
        self.http.replies.append(reply)
        self.store.append("t", "k", b"v", 5, self.results.append)
        return self.results[-1]

    def test_an_append_reports_its_offset_or_a_conflict(self):
        done = msgspec.json.encode({"offset": 5, "end": 6})
        self.assertEqual(self.append(Response(200, (), done)), Appended(5))
        self.assertEqual(self.http.calls[0][2], record(b"k", b"v"))
        self.assertIn("at=5", self.http.calls[0][1])
        self.assertEqual(self.append(Response(412)), Conflict())

    def test_offsets_are_positions_in_the_epoch_that_an_answer_names(self):
        self.store.begin_epoch(2)
        restored = (("store-era", "3"),)
        body = struct.pack(">QQ", 9, 0) + record(b"a", b"1")
        self.http.replies.append(Response(200, restored, body))
        self.store.read_tail("t", position(2, 7), NO_WAIT, self.results.append)
        entry = Entry(position(2, 7), "a", b"1")
        expected = Tail((entry,), position(2, 8), position(2, 9))
        self.assertEqual(self.results[-1], expected)
        self.assertIn("from=7&", self.http.calls[-1][1])
        items = [{"key": "k", "value": "", "offset": 4}]
        body = msgspec.json.encode({"items": items, "end": 6})
        self.http.replies.append(Response(200, restored, body))
        self.store.read_newest("t", None, self.results.append)
        entry = Entry(position(2, 4), "k", b"")
        self.assertEqual(self.results[-1], NewestPage((entry,), None, position(2, 6)))
        done = msgspec.json.encode({"offset": 6, "end": 7})
        self.http.replies.append(Response(200, restored, done))
        self.store.append("t", "k", b"v", position(2, 6), self.results.append)
        self.assertEqual(self.results[-1], Appended(position(2, 6)))
        self.assertTrue(self.http.calls[-1][1].endswith("at=6"))

    def test_a_new_epoch_is_reported_before_the_call_that_shows_it_ends(self):
        # Guards against: an append that the restored store has lost, or that went into
        # another log, counts as written.
        order: list = []
        store = LogStore(self.http, self.http, "10.0.0.9:1", on_epoch=order.append)
        done = msgspec.json.encode({"offset": 5, "end": 6})
        for era in ("1", "2", "2"):
            self.http.replies.append(Response(200, (("Store-Era", era),), done))
            store.append("t", "k", b"v", None, order.append)
        self.assertEqual(order[:2], [Appended(5), 1])
        self.assertIsInstance(order[2], Unavailable)
        self.assertTrue(order[2].outcome_unknown)
        self.assertEqual(order[3:], [Appended(position(1, 5))])

    def test_an_answer_of_an_earlier_epoch_counts_as_none(self):
        self.store.begin_epoch(1)
        for headers in ((), (("Store-Era", "1"),), (("Store-Era", "x"),)):
            self.http.replies.append(Response(410, headers))
            self.store.read_tail("t", position(1, 7), NO_WAIT, self.results.append)
            self.assertIsInstance(self.results[-1], Unavailable)

    def test_an_append_may_be_done_after_a_lost_answer_but_not_a_refusal(self):
        lost = self.append(Failed(True, ErrorKind.ANSWER_LOST))
        self.assertTrue(lost.outcome_unknown)
        self.assertFalse(self.append(Response(503)).outcome_unknown)
