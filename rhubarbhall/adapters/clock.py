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


class Clock(BaseComponent):
    """Calls `on_due` whenever a timer has come due.

    Parameters
    ----------
    timers : TimerService
        Timers to follow.
    on_due : callable
        Handles the timers that are due.
    """

    def __init__(self, timers: TimerService, on_due: Callable[[], None]) -> None:
        super().__init__()
        self._timers = timers
        self._on_due = on_due

    @handler("generate_events", priority=10)
    def _generate_events(self, event) -> None:
        due = self._timers.next_due()
        if due is None:
            return
        left = due - time.monotonic()
        if left <= 0:
            self._on_due()
            due = self._timers.next_due()
            left = 0 if due is None else max(0.0, due - time.monotonic())
        event.reduce_time_left(left)
