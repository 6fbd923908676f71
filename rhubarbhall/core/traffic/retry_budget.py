"""The retry budget of one service: repeats are a small share of its requests.

All daemons share a bound that nobody counts for them. Each one spends less than its
share of the ratio, so the sum stays below it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Part of the allowed ratio that is used. The rest covers shifts between daemons, and
#: the calls of a repeated run, which are repeats at the services that it calls.
USED_RATIO = 0.3
#: Repeats that a daemon may make without requests to earn them, in one window.
FREE_REPEATS = 1.0
#: Repeats that may be saved up.
MAX_SAVED = 3.0


class RetryBudget:
    """Counts the repeats that are left.

    Parameters
    ----------
    ratio : float
        Repeats that the users allow for each request.
    window_s : float
        Window that their bound is measured over.
    """

    def __init__(self, ratio: float, window_s: Seconds) -> None:
        self._per_request = ratio * USED_RATIO
        self._window_s = window_s
        self._left = FREE_REPEATS
        self._filled_at: Seconds | None = None

    def note_request(self, now: Seconds) -> None:
        """Earn the share of one request; what is not used ages out in a window."""
        self._age(now)
        self._left = min(MAX_SAVED, self._left + self._per_request)

    def _age(self, now: Seconds) -> None:
        if self._filled_at is not None:
            passed = min(1.0, (now - self._filled_at) / self._window_s)
            self._left += (FREE_REPEATS - self._left) * passed
        self._filled_at = now

    def take(self, now: Seconds) -> bool:
        """Use one repeat; return False when none is left."""
        self._age(now)
        if self._left < 1:
            return False
        self._left -= 1
        return True

    @property
    def left(self) -> float:
        """Repeats that are left."""
        return self._left
