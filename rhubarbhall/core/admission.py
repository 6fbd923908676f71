"""What one target may work on: slots, classes of work and their queues."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import policies

if TYPE_CHECKING:
    from rhubarbhall.core.intent import Service
    from rhubarbhall.core.requests import Request
    from rhubarbhall.types import RequestId, Seconds

#: Mean duration from which on a route counts as long work.
LONG_WORK_S = 0.25
#: Weight of a new sample in a mean.
SMOOTHING = 0.2
#: Factor by which the limit shrinks on a sign of overload.
BACKOFF = 0.7
#: Time between two reductions of the limit.
BACKOFF_PAUSE_S = 0.1
#: How fast the usual latency follows a rise.
BASELINE_DRIFT = 0.01
#: Turns after which long work goes first although short work waits.
LONG_TURN = 8
DEFAULT_QUEUE = "fair"
#: Routes of one service whose durations are told apart.
MAX_ROUTES = 256


@dataclass(slots=True)
class _Duration:
    """Durations of one route: the mean and the usual value."""

    mean_s: Seconds
    usual_s: Seconds


class Durations:
    """Learns how long the routes of a service take."""

    def __init__(self) -> None:
        self._duration_by_route: dict[tuple[str, str], _Duration] = {}

    @staticmethod
    def _route(request: Request) -> tuple[str, str]:
        head = request.path.partition("?")[0].split("/", 2)[1:2]
        return request.method, head[0] if head else ""

    def note(self, request: Request, duration_s: Seconds) -> float:
        """Take a sample; return how many times the usual value it was."""
        route = self._route(request)
        known = self._duration_by_route.get(route)
        if known is None:
            if len(self._duration_by_route) < MAX_ROUTES:
                self._duration_by_route[route] = _Duration(duration_s, duration_s)
            return 1.0
        known.mean_s += SMOOTHING * (duration_s - known.mean_s)
        inflation = duration_s / max(known.usual_s, 1e-4)
        if duration_s < known.usual_s:
            known.usual_s += SMOOTHING * (duration_s - known.usual_s)
        else:
            known.usual_s += BASELINE_DRIFT * (duration_s - known.usual_s)
        return inflation

    def mean_s(self, request: Request) -> Seconds | None:
        """Return the mean duration of the request's route, if it is known."""
        known = self._duration_by_route.get(self._route(request))
        return known.mean_s if known else None

    def is_long(self, request: Request) -> bool:
        """Tell whether the request counts as long work."""
        work = request.route.work
        if work != "learned":
            return work == "long"
        mean = self.mean_s(request)
        return mean is not None and mean >= LONG_WORK_S


class ConcurrencyLimit:
    """Requests that a target may work on, learned from how it fares.

    Parameters
    ----------
    maximum : int
        Slots that the intent gives the target.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self._limit = float(maximum)
        self._reduced_at: Seconds = float("-inf")

    @property
    def value(self) -> int:
        """Present limit, at least 1."""
        return max(1, int(self._limit))

    def note_success(self) -> None:
        """Widen the limit by a request for each limit's worth of answers."""
        self._limit = min(float(self.maximum), self._limit + 1 / self._limit)

    def note_overload(self, now: Seconds) -> None:
        """Narrow the limit after a sign of overload."""
        if now - self._reduced_at >= BACKOFF_PAUSE_S:
            self._reduced_at = now
            self._limit = max(1.0, self._limit * BACKOFF)


class Admission:
    """Decides which requests of one service wait and which run next.

    Long work never takes the slots that are kept for short work, and one
    turn in a few is its own, so that neither class starves the other.

    Parameters
    ----------
    service : Service
        Limits of the service.
    queue : str
        Name of the queueing policy.
    """

    def __init__(self, service: Service, queue: str = DEFAULT_QUEUE) -> None:
        self._service = service
        self.limit = ConcurrencyLimit(service.slots)
        self.durations = Durations()
        self._short = policies.queueing.create(queue, service.queue)
        self._long = policies.queueing.create(queue, service.queue)
        self._long_by_running: dict[RequestId, bool] = {}
        self._turn = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._short) + len(self._long)

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._long_by_running)

    @property
    def long_running(self) -> int:
        """Number of running requests that count as long work."""
        return sum(self._long_by_running.values())

    def expected_wait_s(self, request: Request) -> Seconds:
        """Return how long the request would wait for a slot."""
        long = self.durations.is_long(request)
        slots = self._long_slots() if long else self.limit.value
        ahead = len(self._long) if long else len(self._short)
        if ahead == 0 and self.running < slots:
            return 0.0
        mean = self.durations.mean_s(request) or 0.0
        return mean * (ahead + 1) / max(1, slots)

    def push(self, request: Request) -> Request | None:
        """Let a request wait; return the one that has to give way, if any."""
        queue = self._long if self.durations.is_long(request) else self._short
        return queue.push(request)

    def remove(self, request_id: RequestId) -> Request | None:
        """Remove a waiting request."""
        return self._short.remove(request_id) or self._long.remove(request_id)

    def next_requests(self) -> Iterator[Request]:
        """Yield waiting requests as long as there are slots for them."""
        while (queue := self._next_queue()) is not None:
            request = queue.pop()
            self._long_by_running[request.id] = queue is self._long
            yield request

    def _long_slots(self) -> int:
        return max(1, self.limit.value - self._service.short_slots)

    def _next_queue(self) -> policies.QueuePolicy | None:
        if self.running >= self.limit.value:
            return None
        long_may_run = len(self._long) and self.long_running < self._long_slots()
        if not len(self._short):
            return self._long if long_may_run else None
        self._turn += 1
        if long_may_run and self._turn % LONG_TURN == 0:
            return self._long
        return self._short

    def reclassify(self, request_id: RequestId) -> None:
        """Count a running request as long work from now on."""
        if request_id in self._long_by_running:
            self._long_by_running[request_id] = True

    def finish(self, request_id: RequestId) -> None:
        """Free the slot of a running request."""
        self._long_by_running.pop(request_id, None)

    def __iter__(self) -> Iterator[Request]:
        """Yield the waiting requests."""
        yield from self._short
        yield from self._long

    def remove_all(self, unwanted: Callable[[Request], bool]) -> Iterator[Request]:
        """Remove and yield the waiting requests for which `unwanted` is true."""
        for request in [each for each in self if unwanted(each)]:
            self.remove(request.id)
            yield request
