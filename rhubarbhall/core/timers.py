"""Timer service on a monotonic clock that the caller supplies."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.events import Event

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds


class Alarm(Event):
    """A timer's event that carries what is to be done.

    Parameters
    ----------
    ring : callable
        Called with the time when the timer is due.
    """

    __slots__ = ("ring",)

    def __init__(self, ring: Callable[[Seconds], None]) -> None:
        self.ring = ring


@dataclass(order=True, slots=True)
class Subscription:
    """A timer that a part asked for; `cancel` ends it."""

    due: Seconds
    order: int
    event: Event = field(compare=False)
    interval: Seconds | None = field(compare=False, default=None)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        """Make sure that the timer never fires again."""
        self.cancelled = True


class OnDemandTimer:
    """A timer that runs only while somebody wants it.

    A daemon at rest is not woken for parts that have nothing to do.

    Parameters
    ----------
    timers : TimerService
        Service that it subscribes to.
    interval : float
        Time from `want` to the event, in seconds.
    event : Event
        What is fired.
    """

    def __init__(self, timers: TimerService, interval: Seconds, event: Event) -> None:
        self._timers = timers
        self._interval = interval
        self._event = event
        self._due: Seconds | None = None

    def want(self, now: Seconds) -> None:
        """Make sure that the event is fired within the interval."""
        if self._due is None:
            self._due = now + self._interval
            self._timers.at(self._due, self._event)

    def note_fired(self) -> None:
        """Note that the event has come; it comes again only when wanted."""
        self._due = None


class TimerService:
    """Hands out events when their time has come.

    The service reads no clock: `due` is told the time.
    """

    def __init__(self) -> None:
        self._now: Seconds = 0.0
        self._heap: list[Subscription] = []
        self._order = itertools.count()

    def now(self) -> Seconds:
        """Return the time that the service was told last."""
        return self._now

    def tell(self, now: Seconds) -> None:
        """Tell the service the time."""
        self._now = max(self._now, now)

    def at(self, due: Seconds, event: Event) -> Subscription:
        """Fire `event` once at the time `due`."""
        subscription = Subscription(due, next(self._order), event)
        heapq.heappush(self._heap, subscription)
        return subscription

    def every(
        self, interval: Seconds, event: Event, first: Seconds = 0.0
    ) -> Subscription:
        """Fire `event` at the time `first` and then after each `interval`."""
        subscription = Subscription(first, next(self._order), event, interval)
        heapq.heappush(self._heap, subscription)
        return subscription

    def next_due(self) -> Seconds | None:
        """Return the time of the next timer, or none."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].due if self._heap else None

    def due(self, now: Seconds) -> Iterator[Event]:
        """Yield the events whose time has come.

        A repeated timer that fell behind fires once, not once for each
        interval that was missed.
        """
        self.tell(now)
        while (due := self.next_due()) is not None and due <= now:
            subscription = heapq.heappop(self._heap)
            if subscription.interval is not None:
                behind = max(0.0, now - subscription.due) // subscription.interval
                subscription.due += (behind + 1) * subscription.interval
                heapq.heappush(self._heap, subscription)
            yield subscription.event
