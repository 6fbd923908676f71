"""Grants and releases that are requested from the target, and what it may hold."""

from __future__ import annotations

import unittest

from rhubarbhall.core.ownership.key_holdings import (
    FIRST_REJECTION_BACKOFF_S,
    MAX_HOLD_S,
    RejectedSpans,
    grant_end,
)
from rhubarbhall.core.ownership.key_table import Span
from rhubarbhall.core.ownership.requested_holdings import (
    MAX_HEARTBEAT_AGE_S,
    RENEWAL_INTERVAL_S,
    RETRY_DELAY_S,
    GrantRequest,
    ReleaseRequest,
    RequestedHoldings,
    RequestResult,
)

LOCAL = "10.0.0.1:1"


def span(first: int, last: int, fence: int = 1, token: str = "") -> Span:
    return Span(first, last, LOCAL, "i-1@1", fence, token=token)


class RequestedHoldingsTests(unittest.TestCase):
    def setUp(self):
        self.holdings = RequestedHoldings(float("-inf"))
        self.now = 100.0

    def due(self, *owned: Span, hold_s: float = MAX_HOLD_S, silence_s: float = 0.1):
        return list(self.holdings.due(self.now, owned, hold_s, silence_s))

    def finish(self, request, result: RequestResult = RequestResult.DONE):
        self.holdings.record_result(self.now, request, result)

    def grant(self, *owned: Span):
        for request in self.due(*owned):
            self.finish(request)

    def test_a_granted_range_is_worked_on_once_the_target_has_answered(self):
        (request,) = self.due(span(0, 99))
        self.assertIsInstance(request, GrantRequest)
        self.assertFalse(self.holdings.may_work_on(self.now, 5))
        self.assertTrue(self.holdings.may_hold(self.now, span(0, 99), None))
        self.finish(request)
        self.assertTrue(self.holdings.may_work_on(self.now, 5))
        self.assertFalse(self.holdings.may_work_on(self.now + MAX_HOLD_S, 5))

    def test_a_grant_is_renewed_in_time_and_not_before(self):
        self.grant(span(0, 99))
        self.now += RENEWAL_INTERVAL_S - 0.01
        self.assertEqual(self.due(span(0, 99)), [])
        self.now += 0.02
        self.assertEqual(len(self.due(span(0, 99))), 1)

    def test_a_request_in_flight_is_not_sent_twice(self):
        self.due(span(0, 99))
        self.assertEqual(self.due(span(0, 99)), [])

    def test_the_part_that_moves_away_is_released_and_the_rest_stays(self):
        self.grant(span(0, 99))
        release, renewal = self.due(span(0, 49))
        self.assertEqual((release.range, release.fence), ((50, 99), 1))
        self.assertFalse(self.holdings.may_work_on(self.now, 70))
        self.assertTrue(self.holdings.may_work_on(self.now, 20))
        self.assertTrue(self.holdings.may_hold(self.now, span(50, 99), None))
        self.finish(release)
        self.finish(renewal)
        self.assertFalse(self.holdings.may_hold(self.now, span(50, 99), None))
        self.assertTrue(self.holdings.may_hold(self.now, span(0, 49), None))

    def test_a_grant_without_an_answer_outlasts_a_release(self):
        self.grant(span(0, 99))
        self.now += RENEWAL_INTERVAL_S
        (renewal,) = self.due(span(0, 99))
        self.finish(renewal, RequestResult.UNKNOWN)
        (release,) = self.due()
        self.finish(release)
        end = grant_end(self.now, MAX_HOLD_S)
        self.assertTrue(self.holdings.may_hold(end - 0.01, span(0, 99), None))
        self.assertFalse(self.holdings.may_hold(end + 0.01, span(0, 99), None))

    def test_a_release_without_an_answer_is_requested_again(self):
        self.grant(span(0, 99))
        (release,) = self.due()
        self.finish(release, RequestResult.UNKNOWN)
        self.assertTrue(self.holdings.may_hold(self.now, span(0, 99), None))
        self.assertEqual(self.due(), [])
        self.now += RETRY_DELAY_S
        (again,) = self.due()
        self.assertIsInstance(again, ReleaseRequest)

    def test_keys_that_come_back_wait_for_their_release(self):
        self.grant(span(0, 99))
        (release,) = self.due()
        self.assertEqual(self.due(span(0, 99, fence=7)), [])
        self.finish(release)
        (request,) = self.due(span(0, 99, fence=7))
        self.assertEqual(request.span.fence, 7)

    def test_a_refused_fence_is_reported_and_not_sent_again(self):
        (request,) = self.due(span(0, 99, fence=3))
        self.finish(request, RequestResult.FENCED)
        self.now += 5.0
        self.assertEqual(self.due(span(0, 99, fence=3)), [])
        self.assertEqual(self.holdings.refused_fences, {3})
        self.assertFalse(self.holdings.may_hold(self.now, span(0, 99), None))

    def test_nothing_is_granted_after_a_connection_has_ended_until_a_heartbeat(self):
        self.grant(span(0, 99))
        self.holdings.record_connection_lost()
        self.now += RENEWAL_INTERVAL_S
        self.assertEqual(self.due(span(0, 99)), [])
        self.holdings.record_heartbeat()
        self.assertEqual(len(self.due(span(0, 99))), 1)

    def test_nothing_is_granted_to_a_target_without_recent_heartbeat(self):
        silence_s = MAX_HEARTBEAT_AGE_S + 0.1
        self.assertEqual(self.due(span(0, 99), silence_s=silence_s), [])

    def test_nothing_is_granted_without_a_lease_but_releases_go_on(self):
        self.grant(span(0, 99))
        self.now += RENEWAL_INTERVAL_S
        (release,) = self.due(span(0, 49), hold_s=0.0)
        self.assertIsInstance(release, ReleaseRequest)

    def test_a_request_in_flight_may_reach_the_next_run_of_the_target(self):
        (request,) = self.due(span(0, 99))
        self.holdings.reset(float("-inf"))
        self.assertTrue(self.holdings.may_hold(self.now, span(0, 99), None))
        self.assertFalse(self.holdings.may_work_on(self.now, 5))

    def test_grants_of_an_earlier_process_count_as_held_until_their_end(self):
        holdings = RequestedHoldings(self.now)
        self.assertTrue(holdings.may_hold(self.now - 0.1, span(0, 99), None))
        self.assertFalse(holdings.may_hold(self.now + 0.1, span(0, 99), None))


class EndlessRejectionTests(unittest.TestCase):
    """A target that answers every request for a key that it does not hold it."""

    def test_requests_are_held_back_ever_longer(self):
        holdings = RequestedHoldings(float("-inf"))
        owned, now, sent = (span(0, 99),), 100.0, 0
        while now < 110.0:
            for request in list(holdings.due(now, owned, MAX_HOLD_S, 0.1)):
                holdings.record_result(now, request, RequestResult.DONE)
            if holdings.may_work_on(now, 5):
                sent += 1
                holdings.record_rejection(now, 5)
            now += 0.05
        self.assertLessEqual(sent, 12)

    def test_rejections_of_requests_under_way_count_once(self):
        """Load pattern: all slots work on a key when the target begins to reject it."""
        rejected = RejectedSpans()
        for _ in range(18):
            rejected.record(100.0, span(0, 99))
        after_s = FIRST_REJECTION_BACKOFF_S + 0.01
        self.assertTrue(rejected.is_open(100.0, span(0, 99)))
        self.assertFalse(rejected.is_open(100.0 + after_s, span(0, 99)))

    def test_a_rejected_range_is_granted_again(self):
        holdings = RequestedHoldings(float("-inf"))
        for request in list(holdings.due(100.0, (span(0, 99),), MAX_HOLD_S, 0.1)):
            holdings.record_result(100.0, request, RequestResult.DONE)
        holdings.record_rejection(100.1, 5)
        self.assertFalse(holdings.may_work_on(100.1, 5))
        self.assertEqual(len(list(holdings.due(100.1, (span(0, 99),), 3.0, 0.1))), 1)
