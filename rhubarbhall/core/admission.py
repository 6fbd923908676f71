"""Admission control for one target: slots, classes of work and their queues.

Requests are divided into short work, long work and work of unknown duration. Part of
the target's slots is reserved for short work, so that long requests cannot block it,
and the number of slots in use adapts to the load that the target can bear.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import policies

if TYPE_CHECKING:
    from rhubarbhall.core.intent import Service
    from rhubarbhall.core.requests import Request
    from rhubarbhall.types import RequestId, Seconds

#: Mean duration, in seconds, from which requests of a route count as long work.
LONG_WORK_S = 0.25
#: Weight of a new sample in an exponentially weighted mean.
SMOOTHING = 0.05
#: Weight, in the mean at low load, of a sample taken while the target is busy. It is
#: small but not 0, so that the mean follows a route that has become slower for good.
BUSY_SMOOTHING = 0.001
#: Factor by which the concurrency limit shrinks on a sign of overload.
LIMIT_DECREASE_FACTOR = 0.8
#: Least time between two reductions of the concurrency limit, in seconds.
MIN_DECREASE_INTERVAL_S = 0.5
#: Ratio of a route's mean duration to its mean at low load from which on the target
#: counts as overloaded.
OVERLOAD_INFLATION = 2.0
#: Samples of a route that are needed before its means are used.
MIN_SAMPLES = 20
#: While both classes wait, one in this many picks goes to long work.
LONG_WORK_PICK_INTERVAL = 8
#: Most requests of unknown duration that run at the same time.
MAX_UNKNOWN_RUNNING = 2
#: Share of the peak demand of short work that is left after one second.
PEAK_DECAY_PER_S = 0.97
#: Least time between two decay steps of the peak demand, in seconds.
PEAK_DECAY_INTERVAL_S = 0.5
#: Longest time that one decay step covers, in seconds.
MAX_DECAY_S = 600.0
#: Queueing policy that is used unless another is named.
DEFAULT_QUEUE = "fair"
#: Most routes of one service whose durations are recorded separately. Requests of
#: further routes count as short work.
MAX_ROUTES = 256


class Work(enum.Enum):
    """Class of work that a request counts as."""

    SHORT = enum.auto()
    LONG = enum.auto()
    #: No request of the route has ended or has run for `LONG_WORK_S` yet.
    UNKNOWN = enum.auto()


@dataclass(slots=True)
class _RouteStatistics:
    """Mean durations of the requests of one route.

    Parameters
    ----------
    mean_s : float
        Recent mean, in seconds.
    low_load_mean_s : float
        Mean while the target was lightly loaded, in seconds.
    samples : int
        Number of durations that went into the means.
    """

    mean_s: Seconds
    low_load_mean_s: Seconds
    samples: int = 1


class RouteDurations:
    """Learns how long the requests of each route of a service take.

    A route is identified by the request's method and the first segment of its path.
    """

    def __init__(self) -> None:
        self._statistics_by_route: dict[tuple[str, str], _RouteStatistics] = {}

    @staticmethod
    def _route(request: Request) -> tuple[str, str]:
        first_segment = request.path.partition("?")[0].split("/", 2)[1:2]
        return request.method, first_segment[0] if first_segment else ""

    def record(
        self, request: Request, duration_s: Seconds, is_lightly_loaded: bool
    ) -> None:
        """Record how long a request took.

        Parameters
        ----------
        request : Request
            Request whose route the sample belongs to.
        duration_s : float
            Duration of the request, in seconds.
        is_lightly_loaded : bool
            Whether the target had few orders for its limit at the time.
        """
        route = self._route(request)
        statistics = self._statistics_by_route.get(route)
        if statistics is None:
            if len(self._statistics_by_route) < MAX_ROUTES:
                self._statistics_by_route[route] = _RouteStatistics(
                    duration_s, duration_s
                )
            return
        statistics.samples += 1
        # The first samples have equal weights, so that the very first one does not
        # dominate the mean for long.
        weight = max(SMOOTHING, 1 / statistics.samples)
        statistics.mean_s += weight * (duration_s - statistics.mean_s)
        if not is_lightly_loaded and statistics.samples > MIN_SAMPLES:
            weight = BUSY_SMOOTHING
        statistics.low_load_mean_s += weight * (duration_s - statistics.low_load_mean_s)

    def record_long_running(self, request: Request, elapsed_s: Seconds) -> None:
        """Record the time so far of a running request if its route has no sample."""
        route = self._route(request)
        if route not in self._statistics_by_route:
            self.record(request, elapsed_s, is_lightly_loaded=True)

    def inflation(self, request: Request) -> float:
        """Return the ratio of the route's recent mean to its mean at low load.

        It is 1 as long as the route has fewer than `MIN_SAMPLES` samples.
        """
        statistics = self._statistics_by_route.get(self._route(request))
        if statistics is None or statistics.samples < MIN_SAMPLES:
            return 1.0
        return statistics.mean_s / max(statistics.low_load_mean_s, 1e-6)

    def mean_s(self, request: Request) -> Seconds | None:
        """Return the mean duration of the request's route in seconds, if known."""
        statistics = self._statistics_by_route.get(self._route(request))
        return statistics.mean_s if statistics else None

    def classify(self, request: Request) -> Work:
        """Return the class of work that the request counts as.

        The class that the intent declares for the route takes precedence over the
        recorded durations.
        """
        declared = request.route.work
        if declared != "learned":
            return Work.LONG if declared == "long" else Work.SHORT
        statistics = self._statistics_by_route.get(self._route(request))
        if statistics is None:
            full = len(self._statistics_by_route) >= MAX_ROUTES
            return Work.SHORT if full else Work.UNKNOWN
        return Work.LONG if statistics.mean_s >= LONG_WORK_S else Work.SHORT


class ConcurrencyLimit:
    """Number of requests that a target may work on at the same time.

    The limit grows slowly with answers and shrinks by a factor on signs of overload
    (additive increase, multiplicative decrease).

    Parameters
    ----------
    maximum : int
        Slots that the intent gives the target; the limit never exceeds them.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self._limit = float(maximum)
        self._decreased_at: Seconds = float("-inf")

    @property
    def value(self) -> int:
        """Present limit, at least 1."""
        return max(1, int(self._limit))

    def resize(self, maximum: int) -> None:
        """Set another maximum; a limit that was reduced below the old one is kept.

        It is lowered only where it exceeds the new maximum.
        """
        was_at_maximum = self._limit >= self.maximum
        self.maximum = maximum
        self._limit = float(maximum) if was_at_maximum else min(self._limit, maximum)

    def record_success(self) -> None:
        """Raise the limit by about 1 for as many answers as its present value."""
        self._limit = min(float(self.maximum), self._limit + 1 / self._limit)

    def record_overload(self, now: Seconds) -> None:
        """Reduce the limit after a sign of overload.

        Signs within `MIN_DECREASE_INTERVAL_S` of the last reduction have no effect.
        """
        if now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._limit = max(1.0, self._limit * LIMIT_DECREASE_FACTOR)


class _ClassQueue:
    """Waiting requests of one class of work, and the number that are running.

    Parameters
    ----------
    policy : QueuePolicy
        Orders the waiting requests and decides which one is evicted.
    """

    __slots__ = ("policy", "running", "waiting")

    def __init__(self, policy: policies.QueuePolicy) -> None:
        self.policy = policy
        self.running = 0
        self.waiting = 0

    def push(self, request: Request) -> Request | None:
        """Add a waiting request; return the one that is evicted for it, if any."""
        evicted = self.policy.push(request)
        self.waiting += evicted is None
        return evicted

    def pop(self) -> Request:
        """Remove and return the next request."""
        self.waiting -= 1
        return self.policy.pop()

    def remove(self, request_id: RequestId) -> Request | None:
        """Remove and return a waiting request, if it is in this queue."""
        request = self.policy.remove(request_id)
        self.waiting -= request is not None
        return request


class AdmissionController:
    """Decides which requests of one service wait and which run next.

    Long work never takes the slots that are reserved for short work, and while both
    classes wait every `LONG_WORK_PICK_INTERVAL`-th pick goes to long work, so that
    neither class starves the other. Of the requests whose duration is unknown only
    `MAX_UNKNOWN_RUNNING` run at a time, outside the reserved slots, until their route
    has shown how long it takes.

    Parameters
    ----------
    service : Service
        Limits of the service.
    queue_policy : str
        Name of the queueing policy.
    """

    def __init__(self, service: Service, queue_policy: str = DEFAULT_QUEUE) -> None:
        self._service = service
        self.limit = ConcurrencyLimit(service.slots)
        self.durations = RouteDurations()
        self._short, self._long, self._unknown = (
            _ClassQueue(policies.queueing.create(queue_policy, service.queue))
            for _ in range(3)
        )
        self._queues = (self._short, self._long, self._unknown)
        self._queue_by_running: dict[RequestId, _ClassQueue] = {}
        self._picks = 0
        self._short_peak = 0.0
        self._decayed_at: Seconds = 0.0

    def configure(self, service: Service) -> None:
        """Apply the limits of a new intent."""
        self._service = service
        self.limit.resize(service.slots)
        for queue in self._queues:
            queue.policy.capacity = service.queue

    def _queue_of(self, work: Work) -> _ClassQueue:
        if work is Work.SHORT:
            return self._short
        return self._long if work is Work.LONG else self._unknown

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._short.waiting + self._long.waiting + self._unknown.waiting

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._queue_by_running)

    @property
    def long_running(self) -> int:
        """Number of running requests that count as long work."""
        return self._long.running

    @property
    def is_lightly_loaded(self) -> bool:
        """Whether at most half of the concurrency limit is in use."""
        return 2 * self.running <= self.limit.value

    def expected_wait_s(self, request: Request) -> Seconds:
        """Return the time, in seconds, that the request would wait for a slot.

        It is 0 when a slot is free or the duration of the request's route is unknown.
        """
        queue = self._queue_of(self.durations.classify(request))
        if not queue.waiting and self.running < self._unreserved_slots():
            return 0.0
        mean_s = self.durations.mean_s(request)
        if mean_s is None:
            return 0.0
        slots = self.limit.value if queue is self._short else self._unreserved_slots()
        if not queue.waiting and self.running < slots:
            return 0.0
        return mean_s * (queue.waiting + 1) / slots

    def push(self, request: Request) -> Request | None:
        """Add a waiting request; return the one that is evicted for it, if any.

        The evicted request may be the new one itself.
        """
        return self._queue_of(self.durations.classify(request)).push(request)

    def remove(self, request_id: RequestId) -> Request | None:
        """Remove and return a waiting request, if there is one of that id."""
        for queue in self._queues:
            request = queue.remove(request_id)
            if request is not None:
                return request
        return None

    def next_requests(self) -> Iterator[Request]:
        """Yield waiting requests as long as there are slots for them.

        Each request that is yielded counts as running until `finish`.
        """
        self._record_short_demand()
        if self._unknown.waiting:
            self._reclassify_unknown()
        while self.waiting and (queue := self._next_queue()) is not None:
            request = queue.pop()
            self._queue_by_running[request.id] = queue
            queue.running += 1
            yield request

    def _reclassify_unknown(self) -> None:
        """Move waiting requests whose routes have become known to their class."""
        for request in list(self._unknown.policy):
            queue = self._queue_of(self.durations.classify(request))
            if queue is not self._unknown and queue.waiting < self._service.queue:
                self._unknown.remove(request.id)
                queue.push(request)

    def _unreserved_slots(self) -> int:
        """Return the number of slots that are not reserved for short work.

        The greater of two numbers is reserved: the intent's `short_slots`, scaled to
        the present limit, and the decaying peak demand of short work. One slot always
        stays unreserved, so that long work makes progress.
        """
        limit = self.limit.value
        reserved = self._service.short_slots * limit // self.limit.maximum
        return max(1, limit - max(reserved, int(self._short_peak)))

    def _record_short_demand(self) -> None:
        demand = self._short.running + self._short.waiting
        if demand > self._short_peak:
            self._short_peak = float(demand)

    def _decay_short_demand(self, now: Seconds) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s >= PEAK_DECAY_INTERVAL_S:
            self._decayed_at = now
            self._short_peak *= PEAK_DECAY_PER_S ** min(elapsed_s, MAX_DECAY_S)

    def _next_queue(self) -> _ClassQueue | None:
        """Return the queue whose next request may run now, or none."""
        if self.running >= self.limit.value:
            return None
        if not self._long.waiting and not self._unknown.waiting:
            return self._short
        has_room = self._long.running + self._unknown.running < self._unreserved_slots()
        if (
            has_room
            and self._unknown.waiting
            and self._unknown.running < MAX_UNKNOWN_RUNNING
        ):
            return self._unknown
        long_may_run = has_room and self._long.waiting > 0
        if not self._short.waiting:
            return self._long if long_may_run else None
        self._picks += 1
        if long_may_run and self._picks % LONG_WORK_PICK_INTERVAL == 0:
            return self._long
        return self._short

    def record_long_running(self, request: Request, elapsed_s: Seconds) -> None:
        """Count a running request as long work from now on.

        Parameters
        ----------
        request : Request
            Request that has been running for `LONG_WORK_S` or longer.
        elapsed_s : float
            Time that it has been running, in seconds.
        """
        queue = self._queue_by_running.get(request.id)
        if queue is None or queue is self._long or request.route.work == "short":
            return
        self.durations.record_long_running(request, elapsed_s)
        self._queue_by_running[request.id] = self._long
        queue.running -= 1
        self._long.running += 1

    def finish(self, request_id: RequestId) -> None:
        """Free the slot of a running request."""
        queue = self._queue_by_running.pop(request_id, None)
        if queue is not None:
            queue.running -= 1

    def record_answer(
        self, now: Seconds, request: Request, duration_s: Seconds
    ) -> None:
        """Update durations and limit from an answer; call it before `finish`.

        A slow answer is a sign of overload only while the limit is fully used.
        """
        self._decay_short_demand(now)
        self.durations.record(request, duration_s, self.is_lightly_loaded)
        is_full = self.running >= self.limit.value
        if is_full and self.durations.inflation(request) >= OVERLOAD_INFLATION:
            self.limit.record_overload(now)
        else:
            self.limit.record_success()

    def __iter__(self) -> Iterator[Request]:
        """Yield the waiting requests."""
        for queue in self._queues:
            yield from queue.policy

    def remove_all(self, is_unwanted: Callable[[Request], bool]) -> Iterator[Request]:
        """Remove and yield the waiting requests for which `is_unwanted` is true."""
        for request in [each for each in self if is_unwanted(each)]:
            self.remove(request.id)
            yield request
