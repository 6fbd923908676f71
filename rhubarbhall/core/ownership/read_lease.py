"""The read lease of a daemon: for how long it may act on the records it has read.

An unresponsive daemon is marked as lost in the store, and a new owner waits until the
lease that the daemon could have had at that moment has run out. So a lease counts from
the moment at which the daemon *sent* a read that reached the end of the log, or at
which a peer sent such a read whose result this daemon knows.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Duration of the lease, in seconds. Longer than most outages of the store, so that
#: keys stay with their owners. A takeover waits for it only if an owner is lost
#: together with most of its witnesses.
LEASE_S = 12.0
#: Largest relative difference of two clocks over the time of a lease.
CLOCK_DRIFT = 0.02
#: Margin added to the wait for another daemon's lease, in seconds.
LEASE_MARGIN_S = 0.2


def takeover_wait_s() -> Seconds:
    """Return how long a new owner waits once it has read that the previous is lost."""
    return LEASE_S * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S


class ReadLease:
    """The time until which the contents of the directory may be relied on.

    Parameters
    ----------
    is_renewable : callable
        Returns whether the lease may be renewed. It may not while the known key table
        is not in the store, as after a restore: another daemon may know a newer one.
    """

    def __init__(self, is_renewable: Callable[[], bool] = lambda: True) -> None:
        self._is_renewable = is_renewable
        self._confirmed_at: Seconds = float("-inf")

    def confirm(self, sent_at: Seconds) -> None:
        """Record that a read sent at `sent_at` found no unknown records."""
        if not self._is_renewable():
            return
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def age_s(self, now: Seconds) -> Seconds:
        """Return the time since the directory was last known to be complete."""
        return now - self._confirmed_at

    def remaining_s(self, now: Seconds) -> Seconds:
        """Return the remaining time of the lease; zero or less once it has lapsed."""
        return self._confirmed_at + LEASE_S - now
