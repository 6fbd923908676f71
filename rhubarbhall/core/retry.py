"""Pauses between retries, and budgets that limit retries to a share of the traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Retries that the budget gains with each request.
RETRY_RATIO = 0.1
#: Retries that the budget gains in each second, so that a service with little traffic
#: can retry too.
MIN_RETRIES_PER_S = 5.0
#: Most unused retries that the budget keeps, which bounds a burst of retries.
MAX_SAVED = 50.0
#: Failures in a row after which a pause is not doubled any more, so that its number
#: stays finite.
MAX_DOUBLINGS = 30


def backoff_s(first_s: Seconds, longest_s: Seconds, failures: int) -> Seconds:
    """Return the pause after a number of failures in a row, in seconds.

    It doubles with each failure.

    Parameters
    ----------
    first_s, longest_s : float
        Pause after the first failure, and its upper bound.
    failures : int
        Number of failures so far, at least 1.
    """
    return min(longest_s, first_s * 2 ** min(failures - 1, MAX_DOUBLINGS))


class RetryBudget:
    """Token bucket of the retries that one service may make."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED
        self._filled_at: Seconds | None = None

    def record_request(self) -> None:
        """Add the share of a retry that one request earns."""
        self._saved = min(MAX_SAVED, self._saved + RETRY_RATIO)

    def take(self, now: Seconds) -> bool:
        """Take one retry from the budget; return False when none is left."""
        if self._filled_at is not None:
            earned = (now - self._filled_at) * MIN_RETRIES_PER_S
            self._saved = min(MAX_SAVED, self._saved + earned)
        self._filled_at = now
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
