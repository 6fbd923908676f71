"""Durations of routes, and waits of requests that miss the target latency."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest
    from rhubarbhall.types import Seconds

#: Weight of a new sample in the mean duration of a route.
SMOOTHING = 0.1
#: Factor by which the longest duration of a route shrinks with each shorter one, so
#: that it follows recent requests.
LONGEST_DECAY = 0.99
#: A route counts as long work when its mean duration is at least this many times that
#: of the shortest route with a share of `MIN_SHORT_ROUTE_SHARE` or more.
LONG_WORK_FACTOR = 3.0
#: Minimum share of the recent requests that a route needs so that slots are reserved
#: for it against longer work.
MIN_SHORT_ROUTE_SHARE = 0.1
#: Number of counted requests above which all counts are halved, so that the shares of
#: the routes follow recent traffic.
MAX_COUNTED_REQUESTS = 400
#: Time within which most backlogs end: a burst passes, or keys are moved away.
RELIEF_TIME_S = 1.5
#: Window of the rate at which requests that miss the target latency get a slot.
LATE_RATE_WINDOW_S = 1.0
#: Share of the remaining time after which the caller of a refused request is asked to
#: retry; callers wait at most a third of it.
RETRY_AFTER_SHARE = 0.3


def room_after_s(now: Seconds, request: RoutedRequest) -> Seconds:
    """Return the time after which the caller of a refused request may try again."""
    return max(0.0, RETRY_AFTER_SHARE * (request.deadline - now))


class RouteDurations:
    """Mean and longest durations of recent requests by route, in seconds."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, Seconds] = {}
        self._longest_by_route: dict[str, Seconds] = {}
        self._count_by_route: dict[str, int] = {}

    def record(self, route: str, took_s: Seconds, slowdown: float = 1.0) -> None:
        """Record how long a request of a route took, in seconds.

        The mean is that at the usual speed, so `slowdown` is divided out of it.
        """
        self._count(route)
        self.record_unfinished(route, took_s)
        took_s /= slowdown
        mean = self._mean_by_route.get(route)
        if mean is None:
            self._mean_by_route[route] = took_s
        else:
            self._mean_by_route[route] = mean + SMOOTHING * (took_s - mean)

    def record_unfinished(self, route: str, took_s: Seconds) -> None:
        """Record for how long a request was worked on, whether it ended or not."""
        longest_s = LONGEST_DECAY * self._longest_by_route.get(route, 0.0)
        self._longest_by_route[route] = max(longest_s, took_s)

    def _count(self, route: str) -> None:
        """Count a request of a route; older requests lose weight."""
        counts = self._count_by_route
        counts[route] = counts.get(route, 0) + 1
        if sum(counts.values()) > MAX_COUNTED_REQUESTS:
            self._count_by_route = {
                name: count // 2 for name, count in counts.items() if count > 1
            }

    def mean_s(self, route: str) -> Seconds:
        """Return the mean duration of a route.

        While it is unknown, this is the mean over all known routes, or 0.05 s if there
        are none.
        """
        mean = self._mean_by_route.get(route)
        if mean is not None:
            return mean
        means = self._mean_by_route.values()
        return sum(means) / len(means) if means else 0.05

    def longest_s(self, route: str) -> Seconds:
        """Return the longest recent duration of a route; infinite while unknown."""
        return self._longest_by_route.get(route, float("inf"))

    def is_long(self, route: str) -> bool:
        """Return whether a route is long work compared with the other routes.

        Routes with a small share of the requests are not compared with: a rare quick
        route must not make the main one count as long.
        """
        if route not in self._mean_by_route:
            return False
        counted = sum(self._count_by_route.values())
        shortest = min(
            self._mean_by_route[other]
            for other, count in (self._count_by_route | {route: counted}).items()
            if count >= MIN_SHORT_ROUTE_SHARE * counted
        )
        return self._mean_by_route[route] >= LONG_WORK_FACTOR * shortest


class LateService:
    """Rate at which waiting requests that miss the target latency get a slot.

    They get what requests in time leave over, which under lasting overload is nothing.
    The rate tells which of them cannot be served before their deadline.
    """

    def __init__(self) -> None:
        self._backlog_since: Seconds | None = None
        self._sent_at: deque[Seconds] = deque()

    def record_backlog(self, now: Seconds, has_backlog: bool) -> None:
        """Record whether any request waits for a slot."""
        if not has_backlog:
            self._backlog_since = None
            self._sent_at.clear()
        elif self._backlog_since is None:
            self._backlog_since = now

    def record_sent(self, now: Seconds) -> None:
        """Record that a request which misses the target latency got a slot."""
        self._sent_at.append(now)

    def wait_s(self, now: Seconds, ahead: int) -> Seconds:
        """Return the estimated wait behind `ahead` such requests, in seconds.

        If none got a slot lately, a backlog that has outlasted `RELIEF_TIME_S` is
        expected to last for as long again.
        """
        if self._backlog_since is None:
            return 0.0
        while self._sent_at and now - self._sent_at[0] > LATE_RATE_WINDOW_S:
            self._sent_at.popleft()
        backlog_s = now - self._backlog_since
        if backlog_s < RELIEF_TIME_S:
            return 0.0
        if not self._sent_at:
            return backlog_s - RELIEF_TIME_S
        observed_s = min(backlog_s, LATE_RATE_WINDOW_S)
        return (ahead + 1) * observed_s / len(self._sent_at)
