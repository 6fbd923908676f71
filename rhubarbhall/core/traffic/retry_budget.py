"""Retry budget of one service, which keeps repeats to a small share of its requests.

The users' bound applies to all daemons together, and nothing counts repeats across
daemons. Each daemon therefore uses less than the allowed ratio, so that the sum stays
below the bound.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Share of the allowed ratio that is used. The rest covers traffic that shifts between
#: daemons, and the calls that a repeated request makes, which count as repeats at the
#: services that it calls.
USED_RATIO = 0.3
#: Number of repeats that a daemon may make in one window without any requests.
FREE_REPEATS = 1.0
#: Maximum number of repeats that can accumulate.
MAX_SAVED = 3.0


class ServiceRetryBudget:
    """Counts the repeats that a daemon may still make for one service.

    Parameters
    ----------
    ratio : float
        Number of repeats that the users allow for each request.
    window_s : float
        Window over which the users' bound is measured, in seconds.
    """

    def __init__(self, ratio: float, window_s: Seconds) -> None:
        self._per_request = ratio * USED_RATIO
        self._window_s = window_s
        self._left = FREE_REPEATS
        self._decayed_at: Seconds | None = None

    def record_request(self, now: Seconds) -> None:
        """Add the share of a repeat that one request allows.

        Unused repeats decay to `FREE_REPEATS` over the window.
        """
        self._decay(now)
        self._left = min(MAX_SAVED, self._left + self._per_request)

    def _decay(self, now: Seconds) -> None:
        if self._decayed_at is not None:
            elapsed_share = min(1.0, (now - self._decayed_at) / self._window_s)
            self._left += (FREE_REPEATS - self._left) * elapsed_share
        self._decayed_at = now

    def take(self, now: Seconds) -> bool:
        """Use one repeat if one is left.

        Returns
        -------
        bool
            Whether a repeat was left.
        """
        self._decay(now)
        if self._left < 1:
            return False
        self._left -= 1
        return True

    @property
    def left(self) -> float:
        """Number of repeats that are left, with fractions."""
        return self._left
