from __future__ import annotations

import random
import unittest

from returns.result import Success

from rhubarbhall.core.directory import Directory
from rhubarbhall.core.idempotency import MAX_CALLER_LEAD_MS, mint_key
from rhubarbhall.core.records import IntentRecord, StoredRecord, make_envelope
from rhubarbhall.core.request_reader import read_request
from rhubarbhall.core.requests import RawRequest

WALL_MS = 1_800_000_000_000
NOW = 50.0
DOCUMENT = {
    "services": {
        "board": {
            "targets": "app=board",
            "slices": 8,
            "deadline_ms": 700,
            "max_deadline_ms": 9000,
            "max_body": 10,
            "routes": [
                {"path": "/deposit", "idempotency_key": "required"},
                {"path": "/open", "idempotency_key": "none"},
            ],
        },
        "desk": {"targets": "app=desk", "keyed": False},
    }
}


class ReadRequestTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.directory.apply(
            StoredRecord(0, make_envelope("r", IntentRecord(0, DOCUMENT)))
        )

    def read(self, path: str, method: str = "GET", body: bytes = b"", **headers: str):
        pairs = tuple((n.replace("_", "-"), v) for n, v in headers.items())
        raw = RawRequest(method, path, pairs, body, "10.0.0.9")
        return read_request(NOW, WALL_MS, self.directory, 1, raw)

    def request(self, *arguments, **headers):
        result = self.read(*arguments, **headers)
        self.assertIsInstance(result, Success, result)
        return result.unwrap()

    def kind(self, *arguments, **headers) -> str:
        return self.read(*arguments, **headers).failure().kind.value

    def test_service_key_and_path_are_read_from_the_path(self):
        request = self.request("/board/booth-7/open/today?x=1")
        self.assertEqual(request.key, "booth-7")
        self.assertEqual(request.path, "/open/today?x=1")
        self.assertEqual(request.slice.service, "board")
        self.assertEqual(request.caller, "10.0.0.9")

    def test_service_and_key_are_read_from_headers(self):
        request = self.request("/open", Rhubarb_Service="board", Rhubarb_Key="a%2Fb")
        self.assertEqual((request.key, request.path), ("a/b", "/open"))

    def test_the_deadline_comes_from_the_service_or_the_caller(self):
        self.assertAlmostEqual(self.request("/board/k").deadline, NOW + 0.7)
        request = self.request("/board/k", Rhubarb_Deadline_Ms="9000")
        self.assertAlmostEqual(request.deadline, NOW + 9.0)
        for bad in ("0", "9001", "-5", "1.5", "soon", "", "\u0663"):
            with self.subTest(bad=bad):
                kind = self.kind("/board/k", Rhubarb_Deadline_Ms=bad)
                self.assertEqual(kind, "bad_deadline")

    def test_missing_and_oversized_parts_are_refused_with_their_kind(self):
        self.assertEqual(self.kind("/nothing/k"), "unknown_service")
        self.assertEqual(self.kind("/board"), "key_missing")
        self.assertEqual(self.kind("/board/" + "k" * 257), "key_missing")
        self.assertEqual(self.kind("/board/k", "PUT", b"x" * 11), "body_too_large")
        self.assertEqual(self.kind("board/k"), "malformed_request")
        deposit = self.kind("/board/k/deposit", "POST")
        self.assertEqual(deposit, "idempotency_key_required")

    def test_routes_that_take_no_idempotency_key_ignore_it(self):
        request = self.request("/board/k/open", Idempotency_Key="whatever")
        self.assertIsNone(request.idempotency_key)

    def test_an_idempotency_key_minted_in_the_future_waits_or_is_refused(self):
        rng = random.Random(1)
        ahead = mint_key(WALL_MS + 300, rng)
        request = self.request("/board/k/deposit", "POST", Idempotency_Key=ahead)
        self.assertAlmostEqual(request.not_before, NOW + 0.3)
        too_far = mint_key(WALL_MS + MAX_CALLER_LEAD_MS + 1, rng)
        kind = self.kind("/board/k/deposit", "POST", Idempotency_Key=too_far)
        self.assertEqual(kind, "bad_idempotency_key")

    def test_without_keys_the_idempotency_key_determines_the_slice(self):
        self.assertIsNone(self.request("/desk/look").slice)
        minted = mint_key(WALL_MS, random.Random(2))
        request = self.request("/desk/book", "POST", Idempotency_Key=minted)
        expected = self.directory.slice_of("desk", minted)
        self.assertEqual(request.slice, expected)

    def test_connection_headers_and_rhubarb_headers_are_not_forwarded(self):
        request = self.request(
            "/board/k",
            Connection="close",
            Rhubarb_Fence="me",
            Accept="text/plain",
            Host="h",
        )
        self.assertEqual(request.headers, (("Accept", "text/plain"),))
