"""Pace of requests to the local target while it is cold.

A cold target fails requests above the rate that its service configures. Every request
for a target passes the admission queue of the daemon beside it, so one token bucket
there keeps the rate, whichever daemons the requests come from. A target whose state is
unknown counts as cold.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Time for which unused tokens accumulate, in seconds, and the minimum number that can
#: accumulate. The queue checks for tokens each 0.1 s, and the users' usual bound allows
#: half of the rate and 8 requests more in each second.
BURST_S = 0.25
MIN_BURST = 2.0
#: Window in which the users count the requests to a cold target, in seconds.
WINDOW_S = 1.0
#: Share of the users' bound that is used, in any window. The rest covers requests that
#: are written later than they are sent here, as their connection has to be opened.
USED_BOUND_SHARE = 0.8
#: Maximum number of tokens, and maximum time in seconds, that a request waits for its
#: own token. Beyond it another target is faster.
MAX_WAIT_TOKENS = 2.0
MAX_WAIT_S = 0.3
#: Time for which a heartbeat that says that the target is warm is not believed after
#: signs of the end of the same run: the run may have sent it before its end.
LATE_HEARTBEAT_S = 0.25


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """The users' bound on requests to a cold target, over all daemons, in any second.

    Parameters
    ----------
    factor : float
        Factor on the configured rate.
    slack : float
        Number of requests added to that product.
    """

    factor: float = 1.5
    slack: float = 8.0


class Warmup:
    """Knows whether the local target is cold, and keeps its pace while it is.

    Parameters
    ----------
    bounds : ColdBounds
        The users' bound.
    """

    def __init__(self, bounds: ColdBounds = ColdBounds()) -> None:
        self._bounds = bounds
        #: Requests per second that a cold target accepts; None without a limit.
        self._configured_rate: float | None = None
        #: Unknown counts as cold, also after a restart of this daemon.
        self._cold_until: Seconds = float("inf")
        self._unknown_since: Seconds = float("-inf")
        self._unknown_run = ""
        self._tokens = 0.0
        self._refilled_at: Seconds = float("-inf")
        self._last_seen_at: Seconds = float("-inf")
        #: Times of the last requests, as many as the bound allows in a window.
        self._sent_at: deque[Seconds] = deque(maxlen=1)

    def configure(self, now: Seconds, rate: float | None) -> None:
        """Set the number of requests per second that a cold target accepts.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        rate : float or None
            The number; None or 0 without a limit.
        """
        if (rate or None) == self._configured_rate:
            return
        self._refill(now)
        self._configured_rate = rate or None
        self._tokens = 0.0
        self._sent_at = deque(self._sent_at, maxlen=self._max_in_window())

    def _max_in_window(self) -> int:
        bound = (self._configured_rate or 0.0) * self._bounds.factor
        return max(1, int(USED_BOUND_SHARE * (bound + self._bounds.slack)))

    def record_left(self, now: Seconds, run: str, left_s: Seconds) -> None:
        """Take the remaining time of the warm-up that a new heartbeat states.

        Parameters
        ----------
        now : float
            Time of its arrival, local clock, in seconds.
        run : str
            Run of the target that has sent it.
        left_s : float
            The remaining time, in seconds; 0 if the target is warm.
        """
        is_late = run == self._unknown_run and (
            now - self._unknown_since < LATE_HEARTBEAT_S
        )
        if not is_late:
            self._set_cold_until(now, now + left_s)

    def record_unknown(self, now: Seconds, ended_run: str = "") -> None:
        """Record that the target may be cold, as its run seems to have ended.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        ended_run : str
            The run; empty if it is not known.
        """
        self._unknown_since = now
        self._unknown_run = ended_run
        self._set_cold_until(now, float("inf"))

    def _set_cold_until(self, now: Seconds, cold_until: Seconds) -> None:
        # Discards all tokens of a target that was warm until now.
        self._refill(now)
        self._cold_until = cold_until

    def is_cold(self, now: Seconds) -> bool:
        """Return whether a limit is configured and the target may be cold."""
        self._last_seen_at = max(self._last_seen_at, now)
        return self._configured_rate is not None and now < self._cold_until

    @property
    def rate(self) -> float | None:
        """Requests per second that the target accepts, by the last known time.

        None if it is warm or has no limit.
        """
        return self._configured_rate if self.is_cold(self._last_seen_at) else None

    def _refill(self, now: Seconds) -> None:
        """Add the tokens since the last call; a target that is warm has none."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        if not self.is_cold(now):
            self._tokens = 0.0
            return
        rate = self._configured_rate
        burst = max(MIN_BURST, BURST_S * rate)
        self._tokens = min(burst, self._tokens + elapsed_s * rate)

    def wait_s(self, now: Seconds, ahead: int = 0) -> Seconds:
        """Return the time until a request behind `ahead` others may be sent."""
        self._refill(now)
        if not self.is_cold(now):
            return 0.0
        wait_s = max(0.0, (ahead + 1 - self._tokens) / self._configured_rate)
        sent = self._sent_at
        if len(sent) == sent.maxlen:
            # Counts requests that were sent before the target became cold as well.
            leaves_window_at = sent[min(ahead, len(sent) - 1)] + WINDOW_S
            wait_s = max(wait_s, leaves_window_at - now)
        return wait_s

    def is_too_long(self, wait_s: Seconds) -> bool:
        """Return whether a request is better refused than that it waits for a token."""
        rate = self.rate
        return rate is not None and wait_s > min(MAX_WAIT_S, MAX_WAIT_TOKENS / rate)

    def record_sent(self, now: Seconds) -> None:
        """Count a request that is sent to the target, whether it is cold or warm."""
        self._refill(now)
        self._sent_at.append(now)
        if self.is_cold(now):
            self._tokens -= 1
