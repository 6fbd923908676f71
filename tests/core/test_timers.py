from __future__ import annotations

import unittest
import weakref
from dataclasses import dataclass

from rhubarbhall.core.events import Event
from rhubarbhall.core.timers import TimerService


@dataclass(frozen=True)
class SampleEvent(Event):
    name: str


class TimerServiceTests(unittest.TestCase):
    def test_events_are_yielded_in_the_order_of_their_times(self):
        timers = TimerService()
        timers.at(2.0, SampleEvent("second"))
        timers.at(1.0, SampleEvent("first"))
        self.assertEqual(timers.next_due(), 1.0)
        self.assertEqual([e.name for e in timers.due(3.0)], ["first", "second"])
        self.assertIsNone(timers.next_due())

    def test_a_repeated_timer_that_is_late_fires_once(self):
        timers = TimerService()
        timers.every(1.0, SampleEvent("tick"), first=1.0)
        self.assertEqual(len(list(timers.due(10.5))), 1)
        self.assertEqual(timers.next_due(), 11.0)

    def test_a_cancelled_timer_never_fires(self):
        timers = TimerService()
        timers.at(1.0, SampleEvent("never")).cancel()
        self.assertEqual(list(timers.due(2.0)), [])

    # Cancelled timers kept the requests that they were started for until they were due.
    def test_a_cancelled_timer_lets_go_of_its_event_at_once(self):
        timers = TimerService()
        event = SampleEvent("never")
        known = weakref.ref(event)
        timer = timers.at(1000.0, event)
        del event
        self.assertIsNotNone(known())
        timer.cancel()
        self.assertIsNone(known())
