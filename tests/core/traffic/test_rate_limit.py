"""The token bucket for the rate that a target states."""

from __future__ import annotations

import random
import unittest

from rhubarbhall.core.traffic.rate_limit import MIN_RATE, RateLimit

#: The users' bound: one and a half times the rate in any 4 s, and 5 requests more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
#: Time between two checks of the queue that sends.
STEP_S = 0.05


def most_in_a_window(sent: list[float]) -> int:
    return max(
        (sum(first <= at < first + WINDOW_S for at in sent) for first in sent),
        default=0,
    )


class RateLimitTests(unittest.TestCase):
    def setUp(self):
        self.limit = RateLimit()

    def sent_until(self, end: float) -> list[float]:
        """Send whenever the limit allows, as a queue that never empties does."""
        sent, now = [], 0.0
        while now < end:
            while self.limit.wait_s(now) <= 0:
                self.limit.record_sent(now)
                sent.append(now)
            now = round(now + STEP_S, 6)
        return sent

    def test_without_a_stated_rate_nothing_waits(self):
        for _ in range(1000):
            self.limit.record_sent(0.0)
        self.assertEqual(self.limit.wait_s(0.0, ahead=500), 0.0)

    def test_the_stated_rate_is_used_in_full_and_not_exceeded(self):
        for rate in (0.0, 0.3, 1.0, 2.5, 12.5, 80.0, 400.0):
            with self.subTest(rate=rate):
                self.limit = RateLimit()
                self.limit.record_answer(0.0, -0.1, rate)
                sent = self.sent_until(12.0)
                used = max(rate, MIN_RATE)
                self.assertGreaterEqual(len(sent), int((12.0 - STEP_S) * used) - 1)
                bound = ALLOWED_FACTOR * WINDOW_S * rate + ALLOWED_MORE
                self.assertLessEqual(most_in_a_window(sent), bound)

    def test_a_wait_counts_those_ahead(self):
        self.limit.record_answer(0.0, -0.1, 10.0)
        self.assertAlmostEqual(self.limit.wait_s(0.0), 0.1)
        self.assertAlmostEqual(self.limit.wait_s(0.0, ahead=4), 0.5)

    def test_idle_time_saves_up_no_more_than_a_burst(self):
        self.limit.record_answer(0.0, -0.1, 20.0)
        self.assertEqual(self.limit.wait_s(100.0, ahead=4), 0.0)
        self.assertGreater(self.limit.wait_s(100.0, ahead=5), 0.0)

    def test_another_rate_counts_at_once_and_brings_no_tokens(self):
        self.limit.record_answer(0.0, -0.1, 100.0)
        self.limit.wait_s(10.0)
        self.limit.record_answer(10.0, 9.9, 4.0)
        self.assertEqual(self.limit.wait_s(10.0, ahead=1), 0.0)
        self.assertGreater(self.limit.wait_s(10.0, ahead=2), 0.0)

    def test_the_same_rate_stated_again_changes_nothing(self):
        self.limit.record_answer(0.0, -0.1, 10.0)
        for tenth in range(1, 10):
            self.limit.record_answer(tenth / 100, 0.0, 10.0)
        self.assertAlmostEqual(self.limit.wait_s(0.09), 0.01)

    def test_an_answer_without_a_rate_ends_the_limit(self):
        self.limit.record_answer(0.0, -0.1, 10.0)
        self.limit.record_answer(1.0, 0.5, None)
        self.assertIsNone(self.limit.rate)
        self.assertEqual(self.limit.wait_s(1.0, ahead=100), 0.0)

    def test_an_answer_to_an_earlier_request_does_not_end_the_limit(self):
        self.limit.record_answer(1.0, 0.9, 10.0)
        self.limit.record_answer(1.1, 0.8, None)
        self.assertEqual(self.limit.rate, 10.0)

    # Had an end and a new beginning refilled the bucket, a target that states its limit
    # in some answers only would get any number of requests.
    def test_a_limit_that_comes_and_goes_brings_no_tokens(self):
        self.limit.record_answer(0.0, -0.1, 10.0)
        self.limit.record_answer(1.0, 0.5, None)
        self.limit.record_answer(1.1, 1.05, 10.0)
        self.assertAlmostEqual(self.limit.wait_s(1.1), 0.1)

    def test_another_run_of_the_target_has_no_limit(self):
        self.limit.record_answer(5.0, 4.9, 10.0)
        self.limit.reset()
        self.assertIsNone(self.limit.rate)

    def test_rates_that_change_at_random_keep_the_bound_of_the_highest(self):
        for seed in range(50):
            rng = random.Random(seed)
            self.limit = RateLimit()
            sent, now = [], 0.0
            while now < 12.0:
                if now == 0.0 or rng.random() < 0.05:
                    self.limit.record_answer(now, now - 0.1, rng.uniform(2.0, 30.0))
                while self.limit.wait_s(now) <= 0:
                    self.limit.record_sent(now)
                    sent.append(now)
                now += rng.uniform(0.001, 0.1)
            bound = ALLOWED_FACTOR * WINDOW_S * 30.0 + ALLOWED_MORE
            self.assertLessEqual(most_in_a_window(sent), bound, seed)
