"""Timers on the event loop, by clocks that never jump.

``circuits.Timer`` reads the wall clock, which may jump, so it is not used.
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
    """Return the time since the VM booted, including time in which it was suspended.

    Leases use this clock: a daemon must notice that its lease expired while its VM was
    suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def fire_due(
    timers: TimerService, now: Seconds, on_failure: Callable[[Exception], None]
) -> None:
    """Fire the timers that are due.

    Parameters
    ----------
    timers : TimerService
        The timers.
    now : float
        Present time on the clock of the timers, in seconds.
    on_failure : callable
        Called with each exception that a timer raises; the other timers fire all the
        same.
    """
    for event in list(timers.due(now)):
        try:
            event.fire(timers.now())
        except Exception as error:  # Any fault in one handler must not stop the rest.
            on_failure(error)


class TimerRunner(BaseComponent):
    """Calls `on_due` whenever a timer is due.

    Parameters
    ----------
    timers : TimerService
        The timers.
    on_due : callable
        Handles the timers that are due.
    read : callable
        Returns the time on the clock of the timers, in seconds.
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
        remaining_s = due - self._read()
        if remaining_s <= 0:
            self._on_due()
            due = self._timers.next_due()
            remaining_s = 0 if due is None else max(0.0, due - self._read())
        event.reduce_time_left(remaining_s)
