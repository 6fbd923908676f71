"""Order and refusal of requests while a target has too little room.

Without shortage, requests are sent by priority, by whether the target latency can be
met, and by their time. While requests had to be refused lately, they are ordered by
value per slot-second instead: the value that an answer has for its caller, divided by
the expected work. The requests that are delayed or refused are then those that cost
callers least. A kind of request that is served much less often than others goes first,
so that none starves.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING

from rhubarbhall.core.traffic.queue_entries import Rank, Urgency, rank_by_priority

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.queue_estimates import RouteDurations
    from rhubarbhall.core.traffic.requests import RoutedRequest
    from rhubarbhall.types import Seconds

#: Value of a request relative to one of the next higher priority. With the factor of
#: late answers, an answer in time is preferred to a late one of the next two priorities
#: above it, as each kind of request counts.
PRIORITY_FACTOR = 0.75
#: Steps of priority beyond which the value stays the same; larger powers overflow.
MAX_PRIORITY_STEPS = 100
#: Value of an answer that misses the target latency relative to one that meets it.
LATE_FACTOR = 0.5
#: Factor on the value of a retry, just enough to go before new requests of its kind.
RETRY_FACTOR = 1.05
#: Minimum expected work, in seconds, by which a value is divided.
MIN_WORK_S = 0.001
#: Time after a refusal for lack of room during which there counts as too little room.
#: Longer than the time after which refused callers return.
SHORTAGE_TIME_S = 2.0
#: A route whose share of served requests falls below this part of that of all requests
#: goes first. No route may get less than a quarter; the rest covers the delay until
#: preferred requests are served.
MIN_SERVED_SHARE = 0.4
#: Number of arrivals above which all counts are halved, so that shares follow demand:
#: some 10 s of the requests for a target.
MAX_COUNTED = 150
#: Halved count below which a route is forgotten.
MIN_KEPT_COUNT = 0.5
#: Minimum number of arrivals of a route by which its share is judged.
MIN_COUNTED = 4


class RefusalStage(enum.StrEnum):
    """Stage at which a request is refused as not run for lack of room.

    SENDER : not sent, as the other daemon has just refused another one of its kind.
    QUEUE_FULL : too many requests wait, and none of them is worth less.
    DISPLACED : a request that is worth more has taken its place in the queue.
    NOT_IN_TIME : it cannot be served by its deadline, or only late.
    WITHDRAWN : the router that sent it has withdrawn it, as its deadline is near.
    """

    SENDER = "sender"
    QUEUE_FULL = "queue_full"
    DISPLACED = "displaced"
    NOT_IN_TIME = "not_in_time"
    WITHDRAWN = "withdrawn"


class ServedShares:
    """Served requests of each route, retries included, for each first attempt."""

    def __init__(self) -> None:
        self._arrived: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        #: Sums of the counts, which each rank of a request needs.
        self._arrived_total = 0.0
        self._served_total = 0.0

    def record_arrival(self, route: str) -> None:
        """Record a request, whether it is served or refused."""
        self._arrived[route] += 1
        self._arrived_total += 1
        if self._arrived_total > MAX_COUNTED:
            self._halve()

    def _halve(self) -> None:
        for counts in (self._arrived, self._served):
            for name in list(counts):
                counts[name] /= 2
                if counts[name] < MIN_KEPT_COUNT:
                    del counts[name]
        self._arrived_total = self._arrived.total()
        self._served_total = self._served.total()

    def record_served(self, route: str) -> None:
        """Record that a request was sent to the target."""
        self._served[route] += 1
        self._served_total += 1

    def is_starved(self, route: str) -> bool:
        """Return whether a route is served much less often than all together."""
        arrived = self._arrived[route]
        if arrived < MIN_COUNTED:
            return False
        share = self._served[route] / arrived
        total_share = self._served_total / self._arrived_total
        return share < MIN_SERVED_SHARE * total_share


class SheddingPolicy:
    """Ranks the requests that wait for one target; the lowest rank is sent first.

    Parameters
    ----------
    durations : RouteDurations
        Durations of the routes, which are the expected work.

    Attributes
    ----------
    is_short : bool
        Whether there is too little room. Ranks of both states cannot be compared.
    """

    def __init__(self, durations: RouteDurations) -> None:
        self._durations = durations
        self._shares = ServedShares()
        self._short_until: Seconds = float("-inf")
        self.is_short = False

    def record_shortage(self, now: Seconds) -> None:
        """Record that a request was refused for lack of room."""
        self._short_until = now + SHORTAGE_TIME_S

    def update(self, now: Seconds) -> bool:
        """Update `is_short`, and return whether it has changed."""
        was_short, self.is_short = self.is_short, now < self._short_until
        return self.is_short != was_short

    def record_arrival(self, request: RoutedRequest) -> None:
        """Record a request, whether it is served or refused.

        Retries do not count: refused callers return many times.
        """
        if not request.is_retry:
            self._shares.record_arrival(request.route)

    def record_served(self, request: RoutedRequest) -> None:
        """Record that a request was sent to the target."""
        self._shares.record_served(request.route)

    def is_starved(self, request: RoutedRequest) -> bool:
        """Return whether a request goes first, as its route is served too rarely."""
        return self.is_short and self._shares.is_starved(request.route)

    def value_per_s(self, request: RoutedRequest, urgency: Urgency) -> float:
        """Return the value of an answer for each second that its work takes."""
        steps = max(-MAX_PRIORITY_STEPS, min(MAX_PRIORITY_STEPS, request.priority))
        value = PRIORITY_FACTOR**steps
        if urgency is not Urgency.IN_TIME:
            value *= LATE_FACTOR
        if request.is_retry:
            value *= RETRY_FACTOR
        return value / max(MIN_WORK_S, self._durations.mean_s(request.route))

    def rank(self, request: RoutedRequest, urgency: Urgency) -> Rank:
        """Return the rank of a request of an urgency."""
        by_priority = rank_by_priority(request, urgency)
        if not self.is_short:
            return by_priority
        value_per_s = self.value_per_s(request, urgency)
        return int(not self.is_starved(request)), -value_per_s, by_priority[-1]

    def displaces(self, request: RoutedRequest, urgency: Urgency, least: Rank) -> bool:
        """Return whether a request is worth more than the one of the least rank.

        Time does not count: a request that is due earlier but of equal value does not
        displace another one.
        """
        return self.is_short and self.rank(request, urgency)[:2] < least[:2]
