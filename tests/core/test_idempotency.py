from __future__ import annotations

import random
import unittest
import uuid

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.idempotency import (
    CLOCK_SKEW_MS,
    MAX_BYTES_PER_SLICE,
    RETENTION_S,
    KeyStatus,
    OutcomeTable,
    empty_table_vouched_since_ms,
    mint_key,
    minted_ms_of,
)
from rhubarbhall.core.intent import DEFAULT_ROUTE, intent_from_toml
from rhubarbhall.core.requests import Request, Response, refusal
from rhubarbhall.core.slices import SliceRef

SERVICE = intent_from_toml('[services.s]\ntargets = "a=b"\n').services["s"]
WALL_MS = 1_800_000_000_000
RNG = random.Random(7)


def request(key: str, body: bytes = b"", slice_key: str = "batch") -> Request:
    return Request(
        1, SERVICE, DEFAULT_ROUTE, slice_key, SliceRef("s", 0), "POST", "/credit", (),
        body, "caller", 0.0, 5.0, key,
    )  # fmt: skip


class MintTests(unittest.TestCase):
    def test_a_minted_key_is_a_version_7_uuid_with_its_time(self):
        key = mint_key(WALL_MS, RNG)
        self.assertEqual(uuid.UUID(key).version, 7)
        self.assertEqual(minted_ms_of(key), WALL_MS)

    def test_other_texts_have_no_time(self):
        for text in ("", "seven", str(uuid.uuid4())):
            self.assertIsNone(minted_ms_of(text))


class OutcomeTableTests(unittest.TestCase):
    def setUp(self):
        self.table = OutcomeTable(0)
        self.first = request(mint_key(WALL_MS, RNG))

    def test_a_repeat_gets_the_remembered_answer(self):
        self.assertIs(self.table.begin(0.0, self.first)[0], KeyStatus.FIRST)
        self.assertIs(self.table.begin(0.1, self.first)[0], KeyStatus.RUNNING)
        self.table.finish(self.first, Response(200, (), b"done"))
        repeat, response = self.table.begin(0.2, self.first)
        self.assertIs(repeat, KeyStatus.ANSWERED)
        self.assertEqual(response.body, b"done")

    def test_a_request_that_did_not_run_may_run_later(self):
        self.table.begin(0.0, self.first)
        self.table.finish(self.first, refusal(ErrorKind.OVERLOADED))
        self.assertIs(self.table.begin(0.1, self.first)[0], KeyStatus.FIRST)

    def test_a_request_that_may_have_run_never_runs_again(self):
        self.table.begin(0.0, self.first)
        self.table.finish(self.first, refusal(ErrorKind.ANSWER_LOST))
        self.assertIs(self.table.begin(0.1, self.first)[0], KeyStatus.NOT_VOUCHED)

    def test_another_request_with_the_same_key_is_detected(self):
        self.table.begin(0.0, self.first)
        other = request(self.first.idempotency_key, body=b"other")
        self.assertIs(self.table.begin(0.1, other)[0], KeyStatus.KEY_REUSED)

    def test_a_key_older_than_the_table_is_not_vouched_for(self):
        table = OutcomeTable(empty_table_vouched_since_ms(WALL_MS))
        self.assertIs(table.begin(0.0, self.first)[0], KeyStatus.NOT_VOUCHED)
        late = request(mint_key(WALL_MS + CLOCK_SKEW_MS, RNG))
        self.assertIs(table.begin(0.0, late)[0], KeyStatus.FIRST)

    def test_a_key_whose_entry_has_expired_is_not_vouched_for(self):
        self.table.begin(0.0, self.first)
        self.table.finish(self.first, Response(200))
        after = RETENTION_S + 1.0
        self.assertIs(self.table.begin(after, self.first)[0], KeyStatus.NOT_VOUCHED)
        self.assertEqual(len(self.table), 0)

    def test_memory_is_bounded_and_evicted_keys_are_not_vouched_for(self):
        answer = Response(200, (), b"x" * (MAX_BYTES_PER_SLICE // 4))
        requests = [request(mint_key(WALL_MS + n, RNG)) for n in range(8)]
        for each in requests:
            self.table.begin(0.0, each)
            self.table.finish(each, answer)
        self.assertLess(len(self.table), 5)
        self.assertIs(self.table.begin(0.1, requests[0])[0], KeyStatus.NOT_VOUCHED)
        self.assertIs(self.table.begin(0.1, requests[-1])[0], KeyStatus.ANSWERED)

    def test_the_next_owner_takes_the_outcomes_over(self):
        running = request(mint_key(WALL_MS + 1, RNG))
        self.table.begin(0.0, self.first)
        self.table.finish(self.first, Response(201, (), b"done"))
        self.table.begin(0.0, running)
        successor = OutcomeTable(empty_table_vouched_since_ms(WALL_MS))
        successor.take_over(50.0, 0, tuple(self.table.outcomes(1.0)))
        self.assertIs(successor.begin(50.0, self.first)[0], KeyStatus.ANSWERED)
        self.assertIs(successor.begin(50.0, running)[0], KeyStatus.NOT_VOUCHED)
