"""Timers of a process."""

from __future__ import annotations

import unittest

from rhubarbhall.adapters.clock import fire_due
from rhubarbhall.core.timers import TimerCallback, TimerService


class FireDueTests(unittest.TestCase):
    # A handler that failed took all timers with it that were due at the same time, so
    # that deadlines of requests passed without an outcome.
    def test_a_timer_that_fails_does_not_keep_the_others_from_firing(self):
        timers = TimerService()
        fired: list[str] = []
        failures: list[Exception] = []

        def fail(now):
            raise KeyError("seven")

        timers.at(1.0, TimerCallback(lambda now: fired.append("first")))
        timers.at(1.1, TimerCallback(fail))
        timers.at(1.2, TimerCallback(lambda now: fired.append("last")))
        fire_due(timers, 2.0, failures.append)
        self.assertEqual(fired, ["first", "last"])
        self.assertEqual(repr(failures), "[KeyError('seven')]")
        self.assertIsNone(timers.next_due())
