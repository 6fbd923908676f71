"""Bodies of the calls that grant and release keys, and their results."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbhall.adapters.client import Failed
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.key_table import Span
from rhubarbhall.core.ownership.requested_holdings import (
    GrantRequest,
    ReleaseRequest,
    RequestResult,
)
from rhubarbhall.core.requests import Response
from rhubarbhall.platform import key_requests
from rhubarbhall.platform.key_requests import (
    KeyRequestClient,
    encode_grant_request,
    encode_release_request,
)

SPAN = Span(4096, 8191, "10.0.0.1:1", "i@1", 12, token="5c0e")


class EncodingTests(unittest.TestCase):
    def test_a_grant_names_range_fence_duration_and_token(self):
        body = msgspec.json.decode(encode_grant_request(GrantRequest(1, SPAN, 0.0, 4)))
        expected = {
            "from": 4096,
            "target_version": 8191,
            "fence": 12,
            "hold_time": "4000ms",
            "handover": "5c0e",
        }
        self.assertEqual(body, expected)

    def test_a_grant_without_token_has_no_handover(self):
        span = Span(1, 2, "10.0.0.1:1", "i@1", 3)
        body = msgspec.json.decode(encode_grant_request(GrantRequest(1, span, 0.0, 1)))
        self.assertNotIn("handover", body)

    def test_a_release_names_range_and_fence(self):
        request = ReleaseRequest(1, (4096, 8191), 12)
        body = msgspec.json.decode(encode_release_request(request))
        self.assertEqual(body, {"from": 4096, "target_version": 8191, "fence": 12})


class ResultTests(unittest.TestCase):
    def setUp(self):
        self.results = []
        self.lost = 0
        self.client = KeyRequestClient(
            "keys", "10.0.0.1:9", lambda *args: self.results.append(args), self.lose
        )
        self.client.instance = "i-7"
        self.client.fetch = self.fetch

    def lose(self):
        self.lost += 1

    def fetch(self, address, method, path, headers, body, timeout_s, on_done, limit):
        self.call = (method, path, dict(headers), timeout_s)
        self.on_done = on_done

    def result_of(self, outcome) -> tuple[RequestResult, str]:
        self.client.request(ReleaseRequest(1, (0, 9), 2))
        self.on_done(outcome)
        _, result, token = self.results.pop()
        return result, token

    def test_an_answer_carries_the_token_of_the_release(self):
        outcome = Response(200, (("handover", "abc"),))
        self.assertEqual(self.result_of(outcome), (RequestResult.DONE, "abc"))

    def test_a_conflict_means_that_a_higher_fence_was_seen(self):
        self.assertEqual(self.result_of(Response(409)), (RequestResult.FENCED, ""))

    def test_other_statuses_are_refusals(self):
        for status in (400, 421, 500, 503):
            with self.subTest(status=status):
                result, _ = self.result_of(Response(status))
                self.assertEqual(result, RequestResult.REFUSED)

    def test_no_answer_is_unknown_unless_nothing_was_sent(self):
        for written, expected in (
            (True, RequestResult.UNKNOWN),
            (False, RequestResult.NOT_SENT),
        ):
            with self.subTest(written=written):
                outcome = Failed(written, ErrorKind.ANSWER_LOST)
                self.assertEqual(self.result_of(outcome), (expected, ""))

    def test_a_call_names_the_instance_and_its_path(self):
        self.client.request(GrantRequest(1, SPAN, 0.0, 3.0))
        method, path, headers, timeout_s = self.call
        self.assertEqual((method, path), ("POST", "/grant"))
        self.assertEqual(headers["Expected-Instance"], "i-7")
        self.assertEqual(timeout_s, key_requests.GRANT_TIMEOUT_S)
