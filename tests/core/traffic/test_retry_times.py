"""When refused callers are asked to return."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rhubarbhall.core.traffic.retry_times import (
    MIN_RETRY_AFTER_S,
    RetryTimes,
    ReturnResult,
)
from tests.core.traffic.test_admission_queue import REQUEST
from tests.core.traffic.test_load_shedding import THREE_KINDS, SimulationCase

NOW = 10.0
PLENTY = replace(REQUEST, deadline=NOW + 30.0)


class RetryTimesTests(unittest.TestCase):
    def setUp(self):
        self.times = RetryTimes()
        for number in range(20):
            self.times.record_sent(NOW - 1.0 + number / 20)

    def test_callers_are_promised_places_one_after_the_other(self):
        told = [self.times.retry_after_s(NOW, PLENTY) for _ in range(5)]
        for index, each in enumerate(told[1:], start=1):
            self.assertAlmostEqual(each, index * 0.1)

    # A router that refused nothing kept the time of each request for good.
    def test_times_of_sent_requests_are_forgotten_without_refusals(self):
        for number in range(1000):
            self.times.record_sent(NOW + number / 20)
        self.assertLess(len(self.times._sent_at), 30)

    def test_promises_expire(self):
        for _ in range(10):
            self.times.retry_after_s(NOW, PLENTY)
        for number in range(20):
            self.times.record_sent(NOW + 1.0 + number / 20)
        later = self.times.retry_after_s(NOW + 2.0, PLENTY)
        self.assertEqual(later, MIN_RETRY_AFTER_S)

    def test_nothing_is_promised_before_the_time_that_the_request_lacked(self):
        told = self.times.retry_after_s(NOW, PLENTY, excess_s=0.7)
        self.assertAlmostEqual(told, 0.7)

    def test_no_caller_is_told_more_than_it_waits(self):
        # Load pattern: all callers are refused at once, and have the same deadline.
        request = replace(REQUEST, deadline=NOW + 1.5, target_latency_deadline=NOW)
        told = sorted(self.times.retry_after_s(NOW, request) for _ in range(60))
        self.assertLessEqual(told[-1], 0.5)
        # Guards against: refused callers that return together.
        for start in told:
            self.assertLess(sum(start <= each < start + 0.01 for each in told), 12)

    def test_callers_without_a_promise_return_while_the_latency_can_be_met(self):
        request = replace(
            REQUEST, deadline=NOW + 0.6, target_latency_deadline=NOW + 0.3
        )
        told = [self.times.retry_after_s(NOW, request) for _ in range(20)]
        self.assertLess(max(told[5:]), 0.1)


class EarlyReturnTests(SimulationCase):
    """Load pattern: callers return after half of the time that they are told."""

    def test_early_callers_are_counted_and_do_not_lower_the_worth(self):
        self.simulate(THREE_KINDS, 20.0)
        worth = self.worth()
        self.setUp()
        self.PATIENCE = 0.5
        self.simulate(THREE_KINDS, 20.0)
        self.assertGreater(self.worth(), 0.95 * worth)
        served = self.queue.returns[ReturnResult.SERVED]
        self.assertGreaterEqual(served, self.returned_served)
        refused = self.queue.returns[ReturnResult.REFUSED]
        self.assertEqual(refused, self.returned_refused)
