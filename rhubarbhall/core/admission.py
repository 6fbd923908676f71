"""What one target may work on: slots, classes of work and their queues."""

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

#: Mean duration from which on a route counts as long work.
LONG_WORK_S = 0.25
#: Weight of a new sample in a mean.
SMOOTHING = 0.05
#: Weight of a sample taken while the target is busy in the quiet mean; lets it
#: follow a route that has become slower for good.
BUSY_SMOOTHING = 0.001
#: Factor by which the limit shrinks on a sign of overload.
BACKOFF = 0.8
#: Time between two reductions of the limit.
BACKOFF_PAUSE_S = 0.5
#: Mean duration over that of quiet times which counts as a sign of overload.
OVERLOAD_INFLATION = 2.0
#: Samples before a mean says anything.
MIN_SAMPLES = 20
#: Turns after which long work goes first although short work waits.
LONG_TURN = 8
#: Requests of routes not yet known that may run at a time.
PROBES = 2
#: Share of the peak demand of short work that is left after a second.
PEAK_DECAY_PER_S = 0.97
#: Time between two steps of its decay, and the longest that one step covers.
PEAK_STEP_S = 0.5
MAX_DECAY_S = 600.0
DEFAULT_QUEUE = "fair"
#: Routes of one service whose durations are told apart.
MAX_ROUTES = 256


class Work(enum.Enum):
    """How a request counts against the slots."""

    SHORT = enum.auto()
    LONG = enum.auto()
    #: Its route has not been seen to end or to last yet.
    UNKNOWN = enum.auto()


@dataclass(slots=True)
class _Duration:
    """Durations of one route, in seconds: of late, and while it was quiet."""

    mean_s: Seconds
    quiet_s: Seconds
    samples: int = 1


class Durations:
    """Learns how long the routes of a service take."""

    def __init__(self) -> None:
        self._duration_by_route: dict[tuple[str, str], _Duration] = {}

    @staticmethod
    def _route(request: Request) -> tuple[str, str]:
        head = request.path.partition("?")[0].split("/", 2)[1:2]
        return request.method, head[0] if head else ""

    def note(self, request: Request, duration_s: Seconds, quiet: bool) -> None:
        """Take a sample.

        Parameters
        ----------
        request : Request
            Of the route that the sample is for.
        duration_s : float
            How long it took.
        quiet : bool
            Whether the target had few orders at the time.
        """
        route = self._route(request)
        known = self._duration_by_route.get(route)
        if known is None:
            if len(self._duration_by_route) < MAX_ROUTES:
                self._duration_by_route[route] = _Duration(duration_s, duration_s)
            return
        known.samples += 1
        # The first samples count evenly, so that none of them stays for long.
        weight = max(SMOOTHING, 1 / known.samples)
        known.mean_s += weight * (duration_s - known.mean_s)
        if not quiet and known.samples > MIN_SAMPLES:
            weight = BUSY_SMOOTHING
        known.quiet_s += weight * (duration_s - known.quiet_s)

    def note_lasting(self, request: Request, so_far_s: Seconds) -> None:
        """Learn from a request that is still running, if nothing is known yet."""
        route = self._route(request)
        if route not in self._duration_by_route:
            self.note(request, so_far_s, quiet=True)

    def inflation(self, request: Request) -> float:
        """Return the present mean of a route over that of quiet times."""
        known = self._duration_by_route.get(self._route(request))
        if known is None or known.samples < MIN_SAMPLES:
            return 1.0
        return known.mean_s / max(known.quiet_s, 1e-6)

    def mean_s(self, request: Request) -> Seconds | None:
        """Return the mean duration of the request's route, if it is known."""
        known = self._duration_by_route.get(self._route(request))
        return known.mean_s if known else None

    def work(self, request: Request) -> Work:
        """Return how the request counts."""
        declared = request.route.work
        if declared != "learned":
            return Work.LONG if declared == "long" else Work.SHORT
        known = self._duration_by_route.get(self._route(request))
        if known is None:
            full = len(self._duration_by_route) >= MAX_ROUTES
            return Work.SHORT if full else Work.UNKNOWN
        return Work.LONG if known.mean_s >= LONG_WORK_S else Work.SHORT


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

    def resize(self, maximum: int) -> None:
        """Take over another number of slots; what was learned below it stays."""
        unlimited = self._limit >= self.maximum
        self.maximum = maximum
        self._limit = float(maximum) if unlimited else min(self._limit, maximum)

    def note_success(self) -> None:
        """Widen the limit by a request for each limit's worth of answers."""
        self._limit = min(float(self.maximum), self._limit + 1 / self._limit)

    def note_overload(self, now: Seconds) -> None:
        """Narrow the limit after a sign of overload."""
        if now - self._reduced_at >= BACKOFF_PAUSE_S:
            self._reduced_at = now
            self._limit = max(1.0, self._limit * BACKOFF)


class _Lane:
    """Waiting and running requests of one class of work."""

    __slots__ = ("queue", "running", "waiting")

    def __init__(self, queue: policies.QueuePolicy) -> None:
        self.queue = queue
        self.running = 0
        self.waiting = 0

    def push(self, request: Request) -> Request | None:
        """Let a request wait; return the one that has to give way, if any."""
        evicted = self.queue.push(request)
        self.waiting += evicted is None
        return evicted

    def pop(self) -> Request:
        """Take the next request out."""
        self.waiting -= 1
        return self.queue.pop()

    def remove(self, request_id: RequestId) -> Request | None:
        """Take a waiting request out, if it is here."""
        request = self.queue.remove(request_id)
        self.waiting -= request is not None
        return request


class Admission:
    """Decides which requests of one service wait and which run next.

    Long work never takes the slots that are kept for short work, and one
    turn in a few is its own, so that neither class starves the other. Work of
    which nothing is known yet may only run a few at a time, outside the kept
    slots, until its route has shown how long it takes.

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
        self._short, self._long, self._unknown = (
            _Lane(policies.queueing.create(queue, service.queue)) for _ in range(3)
        )
        self._lanes = (self._short, self._long, self._unknown)
        self._lane_by_running: dict[RequestId, _Lane] = {}
        self._turn = 0
        self._short_peak = 0.0
        self._decayed_at: Seconds = 0.0

    def configure(self, service: Service) -> None:
        """Take over the limits of a new intent."""
        self._service = service
        self.limit.resize(service.slots)
        for lane in self._lanes:
            lane.queue.capacity = service.queue

    def _lane(self, work: Work) -> _Lane:
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
        return len(self._lane_by_running)

    @property
    def long_running(self) -> int:
        """Number of running requests that count as long work."""
        return self._long.running

    @property
    def is_quiet(self) -> bool:
        """Whether the target has few orders for its limit."""
        return 2 * self.running <= self.limit.value

    def expected_wait_s(self, request: Request) -> Seconds:
        """Return how long the request would wait for a slot."""
        lane = self._lane(self.durations.work(request))
        if not lane.waiting and self.running < self._open_slots():
            return 0.0
        mean = self.durations.mean_s(request)
        if mean is None:
            return 0.0
        slots = self.limit.value if lane is self._short else self._open_slots()
        if not lane.waiting and self.running < slots:
            return 0.0
        return mean * (lane.waiting + 1) / slots

    def push(self, request: Request) -> Request | None:
        """Let a request wait; return the one that has to give way, if any."""
        return self._lane(self.durations.work(request)).push(request)

    def remove(self, request_id: RequestId) -> Request | None:
        """Remove a waiting request."""
        for lane in self._lanes:
            request = lane.remove(request_id)
            if request is not None:
                return request
        return None

    def next_requests(self) -> Iterator[Request]:
        """Yield waiting requests as long as there are slots for them."""
        self._note_short_demand()
        if self._unknown.waiting:
            self._sort_out_known()
        while self.waiting and (lane := self._next_lane()) is not None:
            request = lane.pop()
            self._lane_by_running[request.id] = lane
            lane.running += 1
            yield request

    def _sort_out_known(self) -> None:
        """Put waiting requests whose routes are known by now where they belong."""
        for request in list(self._unknown.queue):
            lane = self._lane(self.durations.work(request))
            if lane is not self._unknown and lane.waiting < self._service.queue:
                self._unknown.remove(request.id)
                lane.push(request)

    def _open_slots(self) -> int:
        """Return the slots that are not kept for short work.

        Kept are those that the intent names and those that short work has
        needed of late. One slot always stays open, so long work goes on.
        """
        limit = self.limit.value
        kept = self._service.short_slots * limit // self.limit.maximum
        return max(1, limit - max(kept, int(self._short_peak)))

    def _note_short_demand(self) -> None:
        demand = self._short.running + self._short.waiting
        if demand > self._short_peak:
            self._short_peak = float(demand)

    def _forget_short_demand(self, now: Seconds) -> None:
        passed = now - self._decayed_at
        if passed >= PEAK_STEP_S:
            self._decayed_at = now
            self._short_peak *= PEAK_DECAY_PER_S ** min(passed, MAX_DECAY_S)

    def _next_lane(self) -> _Lane | None:
        if self.running >= self.limit.value:
            return None
        if not self._long.waiting and not self._unknown.waiting:
            return self._short
        room = self._long.running + self._unknown.running < self._open_slots()
        if room and self._unknown.waiting and self._unknown.running < PROBES:
            return self._unknown
        long_may_run = room and self._long.waiting > 0
        if not self._short.waiting:
            return self._long if long_may_run else None
        self._turn += 1
        if long_may_run and self._turn % LONG_TURN == 0:
            return self._long
        return self._short

    def note_lasting(self, request: Request, so_far_s: Seconds) -> None:
        """Count a running request as long work from now on."""
        lane = self._lane_by_running.get(request.id)
        if lane is None or lane is self._long or request.route.work == "short":
            return
        self.durations.note_lasting(request, so_far_s)
        self._lane_by_running[request.id] = self._long
        lane.running -= 1
        self._long.running += 1

    def finish(self, request_id: RequestId) -> None:
        """Free the slot of a running request."""
        lane = self._lane_by_running.pop(request_id, None)
        if lane is not None:
            lane.running -= 1

    def note_answer(self, now: Seconds, request: Request, took_s: Seconds) -> None:
        """Learn from an answer; called before `finish`."""
        self._forget_short_demand(now)
        self.durations.note(request, took_s, self.is_quiet)
        full = self.running >= self.limit.value
        if full and self.durations.inflation(request) >= OVERLOAD_INFLATION:
            self.limit.note_overload(now)
        else:
            self.limit.note_success()

    def __iter__(self) -> Iterator[Request]:
        """Yield the waiting requests."""
        for lane in self._lanes:
            yield from lane.queue

    def remove_all(self, unwanted: Callable[[Request], bool]) -> Iterator[Request]:
        """Remove and yield the waiting requests for which `unwanted` is true."""
        for request in [each for each in self if unwanted(each)]:
            self.remove(request.id)
            yield request
