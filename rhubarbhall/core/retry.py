"""Retry budgets: repeats may only ever be a small share of the traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Retries allowed for each request.
RETRY_RATIO = 0.1
#: Retries allowed in a second however few requests there are.
MIN_RETRIES_PER_S = 5.0
#: Retries that may be saved up.
MAX_SAVED = 50.0


class RetryBudget:
    """Counts what retries are left for one service."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED
        self._filled_at: Seconds | None = None

    def note_request(self) -> None:
        """Add the share that one request earns."""
        self._saved = min(MAX_SAVED, self._saved + RETRY_RATIO)

    def take(self, now: Seconds) -> bool:
        """Use one retry; return False when none is left."""
        if self._filled_at is not None:
            earned = (now - self._filled_at) * MIN_RETRIES_PER_S
            self._saved = min(MAX_SAVED, self._saved + earned)
        self._filled_at = now
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
