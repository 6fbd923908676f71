"""Timers that turn points in time into events.

The service reads no clock, so that tests and simulations control the time: its user
passes in the present time of a monotonic clock.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.events import Event

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds


class TimerCallback(Event):
    """A timer's event that carries a callback.

    Parameters
    ----------
    fire : callable
        Called with the present time, in seconds, once the timer is due.
    """

    __slots__ = ("fire",)

    def __init__(self, ring: Callable[[Seconds], None]) -> None:
        self.fire = ring


#: Event of a timer that was cancelled; it is never yielded.
_NO_EVENT = Event()


@dataclass(order=True, slots=True)
class Timer:
    """A timer that was started.

    Parameters
    ----------
    due : float
        Time at which it fires next, in seconds.
    order : int
        Sequence number; of timers that are due at the same time the one that was
        started first fires first.
    event : Event
        Event that is yielded when it fires.
    interval : float, optional
        Time between repetitions, in seconds; none if it fires once.
    cancelled : bool
        Whether it was cancelled.
    """

    due: Seconds
    order: int
    event: Event = field(compare=False)
    interval: Seconds | None = field(compare=False, default=None)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        """Stop the timer: it does not fire any more.

        Its event is dropped at once, with all that it refers to, although the timer
        stays in the service until it would have been due.
        """
        self.cancelled = True
        self.event = _NO_EVENT


class OnDemandTimer:
    """A timer that fires once after it is started.

    It is for periodic checks of parts that are idle at times: an idle daemon is not
    woken for a part that has nothing to do.

    Parameters
    ----------
    timers : TimerService
        Service that runs the timer.
    interval : float
        Time from `ensure_started` to the event, in seconds.
    event : Event
        Event that is yielded when the timer fires.
    """

    def __init__(self, timers: TimerService, interval: Seconds, event: Event) -> None:
        self._timers = timers
        self._interval = interval
        self._event = event
        self._due: Seconds | None = None

    def ensure_started(self, now: Seconds) -> None:
        """Start the timer unless it is running; it fires after the interval."""
        if self._due is None:
            self._due = now + self._interval
            self._timers.at(self._due, self._event)

    def record_fired(self) -> None:
        """Record that the timer has fired, so that `ensure_started` starts it again."""
        self._due = None


class TimerService:
    """Yields the events of timers that are due.

    Times are those of the monotonic clock whose present time is passed to `advance_to`
    and `due`.
    """

    def __init__(self) -> None:
        self._now: Seconds = 0.0
        self._heap: list[Timer] = []
        self._order = itertools.count()

    def now(self) -> Seconds:
        """Return the latest time that was passed in, in seconds."""
        return self._now

    def advance_to(self, now: Seconds) -> None:
        """Set the present time; it never goes back."""
        self._now = max(self._now, now)

    def at(self, due: Seconds, event: Event) -> Timer:
        """Start a timer that fires `event` once at the time `due`."""
        subscription = Timer(due, next(self._order), event)
        heapq.heappush(self._heap, subscription)
        return subscription

    def every(self, interval: Seconds, event: Event, first: Seconds = 0.0) -> Timer:
        """Start a timer that fires `event` at `first` and then at each `interval`."""
        subscription = Timer(first, next(self._order), event, interval)
        heapq.heappush(self._heap, subscription)
        return subscription

    def next_due(self) -> Seconds | None:
        """Return the time at which the next timer is due, or none."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].due if self._heap else None

    def due(self, now: Seconds) -> Iterator[Event]:
        """Set the present time and yield the events that are due.

        A repeated timer that is late fires once, not once for each interval that was
        missed.
        """
        self.advance_to(now)
        while (due := self.next_due()) is not None and due <= now:
            subscription = heapq.heappop(self._heap)
            if subscription.interval is not None:
                missed = max(0.0, now - subscription.due) // subscription.interval
                subscription.due += (missed + 1) * subscription.interval
                heapq.heappush(self._heap, subscription)
            yield subscription.event
