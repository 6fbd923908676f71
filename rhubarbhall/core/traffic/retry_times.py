"""When callers of refused requests are asked to return.

Each refused caller is promised the next place that the target is expected to have free,
so that callers return one after the other. A promise ends when its time has come. What
came true is counted: returned callers that were served, and those refused again.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest
    from rhubarbhall.types import Seconds

#: Window of the rate at which requests are sent to the target, in seconds.
RATE_WINDOW_S = 1.0
#: Share of that rate that is promised to refused callers; new requests take the rest.
PROMISED_SHARE = 0.5
#: Share of the remaining time after which callers are asked to return at the latest:
#: until the target latency if that can be met, else until the deadline. Callers wait at
#: most a third of the latter, whatever they are told.
MAX_REMAINING_SHARE = 0.3
#: Part of the longest wait over which callers are spread whose promise comes later.
SPREAD_SHARE = 0.2
#: Minimum time to retry after.
MIN_RETRY_AFTER_S = 0.05
#: Multiples of the golden ratio fill an interval evenly, however many there are.
_GOLDEN_RATIO = 0.6180339887


class ReturnResult(enum.StrEnum):
    """Result of a request whose caller was refused before."""

    SERVED = "served"
    REFUSED = "refused"


class RetryTimes:
    """Times promised to the callers that one queue or router has refused.

    A router does not know the rate of another target: it promises a place each 2 s.
    """

    def __init__(self) -> None:
        self._sent_at: deque[Seconds] = deque()
        self._promised_until: Seconds = float("-inf")
        self._refused = 0

    def record_sent(self, now: Seconds) -> None:
        """Record that a request was sent to the target."""
        self._sent_at.append(now)
        self._forget_old(now)

    def _forget_old(self, now: Seconds) -> None:
        while self._sent_at and now - self._sent_at[0] > RATE_WINDOW_S:
            self._sent_at.popleft()

    def _interval_s(self, now: Seconds) -> Seconds:
        """Return the mean time between two places for refused callers."""
        self._forget_old(now)
        rate = max(1, len(self._sent_at)) / RATE_WINDOW_S
        return 1.0 / (PROMISED_SHARE * rate)

    def retry_after_s(
        self, now: Seconds, request: RoutedRequest, excess_s: Seconds = 0.0
    ) -> Seconds:
        """Return the time after which the caller of a refused request may try again.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        request : RoutedRequest
            The refused request.
        excess_s : float
            Time that the request lacked, so that nothing is promised before.
        """
        longest_s = max(0.0, MAX_REMAINING_SHARE * (request.deadline - now))
        at = max(now + max(0.0, excess_s), self._promised_until + self._interval_s(now))
        if at - now <= longest_s:
            self._promised_until = at
            return max(MIN_RETRY_AFTER_S, at - now)
        in_time_s = MAX_REMAINING_SHARE * (request.target_latency_deadline - now)
        if in_time_s > MIN_RETRY_AFTER_S:
            # The answer is worth most while it can meet the target latency.
            longest_s = min(longest_s, in_time_s)
        return max(MIN_RETRY_AFTER_S, self._spread_s(longest_s))

    def _spread_s(self, longest_s: Seconds) -> Seconds:
        self._refused += 1
        part = (self._refused * _GOLDEN_RATIO) % 1.0
        return longest_s * (1.0 - SPREAD_SHARE * part)
