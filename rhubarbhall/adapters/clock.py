"""Runs the timer service on the loop, by the monotonic clock.

``circuits.Timer`` reads the wall clock, which may jump; nothing here does.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

if TYPE_CHECKING:
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Seconds


def boot_time() -> Seconds:
    """Return the time since the VM was started; it goes on while it is suspended.

    Leases go by it: a daemon whose VM slept must know that its lease has run out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(BaseComponent):
    """Calls `on_due` whenever a timer has come due.

    Parameters
    ----------
    timers : TimerService
        Timers to follow.
    on_due : callable
        Handles the timers that are due.
    read : callable
        Returns the time that the timers go by, in seconds.
    """

    def __init__(
        self,
        timers: TimerService,
        on_due: Callable[[], None],
        read: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._on_due = on_due
        self._read = read

    @handler("generate_events", priority=10)
    def _generate_events(self, event) -> None:
        due = self._timers.next_due()
        if due is None:
            return
        left = due - self._read()
        if left <= 0:
            self._on_due()
            due = self._timers.next_due()
            left = 0 if due is None else max(0.0, due - self._read())
        event.reduce_time_left(left)
