"""The lease of a daemon: for how long it may act on what it has read.

A daemon that was found silent is noted in the store, and whoever takes over waits until
the lease that it could have had at that moment has run out. So a daemon holds its lease
from the moment at which it *sent* a read that reached the end of the log, or at which
a peer sent one whose result it knows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Length of the lease, in seconds. Longer than most outages of the store, so that keys
#: stay where they are. It is waited for only if an owner is lost with most of its
#: guardians.
LEASE_S = 12.0
#: Share by which two clocks may differ over a lease.
CLOCK_DRIFT = 0.02
#: Added to the wait for another daemon's lease, in seconds.
LEASE_MARGIN_S = 0.2


def takeover_wait_s() -> Seconds:
    """Return how long a new owner waits after it read that the former is silent."""
    return LEASE_S * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S


class ReadLease:
    """Tells until when the directory may be relied on."""

    def __init__(self) -> None:
        self._confirmed_at: Seconds = float("-inf")

    def confirm(self, sent_at: Seconds) -> None:
        """Note that a read sent at `sent_at` found nothing that is not known."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def age_s(self, now: Seconds) -> Seconds:
        """Return the time since the directory was last known to be complete."""
        return now - self._confirmed_at

    def left_s(self, now: Seconds) -> Seconds:
        """Return the rest of the lease; zero or less when it has lapsed."""
        return self._confirmed_at + LEASE_S - now
