"""Rate of requests that a target in need states for all daemons together.

Every request for a target passes the admission queue of the daemon beside it, so one
token bucket there keeps the rate, whichever daemons the requests come from.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Time for which unused tokens accumulate, in seconds. The queue checks for tokens each
#: 0.1 s, and the users' bound allows 2 s of the rate beyond the 4 s of its window.
BURST_S = 0.25
#: Minimum number of tokens that can accumulate: one to use, and one that arrives before
#: the next check of the queue, so that low rates are used in full.
MIN_BURST = 2.0
#: Minimum rate, in requests per second. A target that states less still gets a request
#: now and then, as only an answer can tell that the limit has ended.
MIN_RATE = 0.5


class RateLimit:
    """Token bucket with the rate that the local target states in its answers.

    It starts without a rate, so that any number of requests may be sent.
    """

    def __init__(self) -> None:
        self._rate: float | None = None
        self._tokens = 0.0
        self._refilled_at: Seconds = 0.0
        self._stated_at: Seconds = float("-inf")
        #: Whether the target has answered, so that its rate is known.
        self.is_known = False

    @property
    def rate(self) -> float | None:
        """Number of requests per second that the target takes; None without a limit."""
        return self._rate

    def record_answer(
        self, now: Seconds, sent_at: Seconds, stated_rate: float | None
    ) -> None:
        """Take the rate that an answer of the target states.

        An answer without a rate ends the limit only if its request was sent after the
        last answer with one had arrived: answers overtake each other.

        Parameters
        ----------
        now : float
            Time of the answer, local clock, in seconds.
        sent_at : float
            Time when its request was sent to the target, local clock, in seconds.
        stated_rate : float or None
            Requests per second that it states; None if it states no limit.
        """
        self.is_known = True
        if stated_rate is not None:
            self._set_rate(now, max(MIN_RATE, stated_rate))
            self._stated_at = now
        elif sent_at > self._stated_at:
            self._rate = None

    def _set_rate(self, now: Seconds, rate: float) -> None:
        if self._rate is None:
            self._tokens = 0.0
            self._refilled_at = now
        else:
            self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._burst)

    def reset(self) -> None:
        """Forget the rate: another run of the target has begun."""
        self._rate = None
        self._stated_at = float("-inf")

    @property
    def _burst(self) -> float:
        return max(MIN_BURST, BURST_S * self._rate)

    def _refill(self, now: Seconds) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)

    def wait_s(self, now: Seconds, ahead: int = 0) -> Seconds:
        """Return the time until a request behind `ahead` others may be sent."""
        if self._rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + 1 - self._tokens) / self._rate)

    def record_sent(self, now: Seconds) -> None:
        """Use one token for a request that is sent."""
        if self._rate is not None:
            self._refill(now)
            self._tokens -= 1
