"""Slots of a target that long work leaves free for short work.

Short work that waits behind long work loses most of its time in the queue, so long work
must not take all slots. A slot that is kept free and not used is lost to both, which on
a target with few slots is a large share of its capacity. Therefore as many slots are
reserved as the recent short work has needed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Maximum share of the slots that is reserved for short work.
MAX_RESERVED_SHARE = 0.35
#: Reserved slots for each slot that short work has kept busy: requests arrive
#: unevenly.
HEADROOM = 1.5
#: Maximum share of the slots that one slot may be for it to be reserved whatever the
#: load of the short work is.
MAX_IDLE_SHARE = 0.25
#: Reserved slots are rounded down if the load of the short work is below this part of
#: the next one.
MIN_SLOT_USE = 0.25
#: Time constant of the average, in seconds.
AVERAGING_TIME_S = 2.0


class SlotReservation:
    """Measures the load of short work and derives how many slots long work may take."""

    def __init__(self) -> None:
        self._busy_slots = 0.0
        self._updated_at: Seconds | None = None

    def record_short(self, now: Seconds, took_s: Seconds) -> None:
        """Record that short work has occupied a slot for `took_s` seconds."""
        self._decay(now)
        self._busy_slots += took_s / AVERAGING_TIME_S

    def _decay(self, now: Seconds) -> None:
        if self._updated_at is not None:
            elapsed_s = max(0.0, now - self._updated_at)
            self._busy_slots *= math.exp(-elapsed_s / AVERAGING_TIME_S)
        self._updated_at = now

    def max_long(self, now: Seconds, slots: int) -> int:
        """Return how many of the slots long work may take; at least one.

        One slot is always reserved if there are four or more. Of fewer slots, one is
        reserved only while short work uses a good part of it.
        """
        self._decay(now)
        needed = math.ceil(HEADROOM * self._busy_slots - MIN_SLOT_USE)
        minimum = 1 if MAX_IDLE_SHARE * slots >= 1 else 0
        limit = math.ceil(MAX_RESERVED_SHARE * slots)
        reserved = min(max(minimum, needed), limit)
        return max(1, slots - reserved)
