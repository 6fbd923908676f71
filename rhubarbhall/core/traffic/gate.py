"""The gate of the own target: nobody else gives it work.

It keeps the requests that wait and sends as many as the target has slots for. So it
knows of each request whether it was sent. Of requests of one rank, those that can still
be answered while that is worth most go first, then those whose callers have come back
after a refusal, then the rest: at a crest many are served in time, not all late.
"""

from __future__ import annotations

import enum
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

from rhubarbhall.core.admission import ConcurrencyLimit
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Load, NotRun, Outcome, Request, Unknown

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Requests that may wait for each slot.
QUEUE_PER_SLOT = 4
#: Weight of a new sample in the mean duration of a route.
SMOOTHING = 0.1
#: A route counts as long work when it takes this many times as long as the shortest.
LONG_FACTOR = 3.0
#: Part of the requests from which on a short route has slots kept for it.
SHORT_PART = 0.1
#: Requests that are counted to tell these parts.
MAX_COUNTED = 400
#: Share of the slots that long work may take.
LONG_SHARE = 0.65
#: Longest wait for keys that the target is about to get: the time between heartbeats.
PARK_S = 1.0
#: After a refused connection, time until the target is tried again.
DOWN_S = 0.4
#: How much longer than the present queue says late requests wait.
LATE_FACTOR = 1.5
#: Time between two calls of `Gate.expire`, so that what waits is answered in time.
EXPIRE_S = 0.1
#: Time after a deadline for the target's own answer to come.
ANSWER_GRACE_S = 0.2
#: Part of a route's mean duration that has to be left for a request to be sent.
NEEDED_PART = 0.8
#: Part of its time that a late request waits before it is told to come back.
LATE_WAIT_PART = 0.2
#: Part of the time left after which it shall come back; callers wait a third at most.
RETRY_PART = 0.3
#: Least time to come back after.
MIN_RETRY_AFTER_S = 0.05
#: Least time that is worth sending a request for.
MIN_WORK_S = 0.005


class Target(Protocol):
    """The port to the own target."""

    def send(self, ticket: int, request: Request, now: Seconds) -> None:
        """Send a request; its outcome comes as `Gate.finish`."""

    def cancel(self, ticket: int) -> None:
        """Break a request off; no outcome follows."""


class KeyHolder(Protocol):
    """Tells which keys the target holds, and learns which are asked for."""

    def note_request(self, now: Seconds, key: int) -> None:
        """Count a request for a key."""

    def note_duration(self, took_s: Seconds) -> None:
        """Learn how long the target worked on a request for a key."""

    def note_refused(self) -> None:
        """Learn that the target did not take a request for a key."""

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Tell whether the target holds a key."""

    def awaits(self, key: int) -> bool:
        """Tell whether the target is about to hold a key."""


class _Turn(enum.IntEnum):
    """Which of the waiting requests of one rank go first."""

    IN_TIME = 0
    CAME_BACK = 1
    LATE = 2


#: Rank, turn and time of a waiting request, and its ticket.
_Place: TypeAlias = "tuple[int, _Turn, Seconds, int]"


@dataclass(slots=True)
class _Entry:
    ticket: int
    request: Request
    arrived_at: Seconds
    on_outcome: Callable[[Outcome], None]
    turn: _Turn = _Turn.IN_TIME
    sent_at: Seconds | None = None
    is_long: bool = False


class _Durations:
    """Mean durations by route, in seconds."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, Seconds] = {}
        self._count_by_route: dict[str, int] = {}

    def note(self, route: str, took_s: Seconds) -> None:
        self._count(route)
        mean = self._mean_by_route.get(route)
        if mean is None:
            self._mean_by_route[route] = took_s
        else:
            self._mean_by_route[route] = mean + SMOOTHING * (took_s - mean)

    def _count(self, route: str) -> None:
        """Count a request; old ones lose weight."""
        counts = self._count_by_route
        counts[route] = counts.get(route, 0) + 1
        if sum(counts.values()) > MAX_COUNTED:
            self._count_by_route = {
                name: count // 2 for name, count in counts.items() if count > 1
            }

    def mean_s(self, route: str) -> Seconds:
        """Return the mean of a route; that of all while it is not known."""
        mean = self._mean_by_route.get(route)
        if mean is not None:
            return mean
        means = self._mean_by_route.values()
        return sum(means) / len(means) if means else 0.05

    def is_long(self, route: str) -> bool:
        """Tell whether a route is long work beside others that matter."""
        if route not in self._mean_by_route:
            return False
        counted = sum(self._count_by_route.values())
        shortest = min(
            self._mean_by_route[other]
            for other, count in (self._count_by_route | {route: counted}).items()
            if count >= SHORT_PART * counted
        )
        return self._mean_by_route[route] >= LONG_FACTOR * shortest


class Gate:
    """Admits requests to the own target.

    Parameters
    ----------
    target : Target
        Where requests are sent.
    holder : KeyHolder
        Which keys the target holds.
    on_worked : callable
        Takes the service of an answered request, how long it waited and how long the
        target worked on it.
    """

    def __init__(
        self,
        target: Target,
        holder: KeyHolder,
        on_worked: Callable[[str, Seconds, Seconds], None] = lambda *_: None,
    ) -> None:
        self._on_worked = on_worked
        self._target = target
        self._holder = holder
        self._tickets = itertools.count(1)
        self._waiting: list[_Place] = []
        self._entry_by_ticket: dict[int, _Entry] = {}
        self._parked: dict[int, _Entry] = {}
        self._queued = 0
        self._running = 0
        self._long_running = 0
        self.limit = ConcurrencyLimit(1)
        self.durations = _Durations()
        #: Why no request is admitted at present, if that is so.
        self.closed: ErrorKind | None = ErrorKind.TARGET_UNREACHABLE
        self._down_until: Seconds = float("-inf")

    @property
    def load(self) -> Load:
        """How busy the target is."""
        return Load(self._running, self._queued, self.limit.value)

    @property
    def is_idle(self) -> bool:
        """Whether no request is here."""
        return not self._entry_by_ticket

    def open(self, slots: int) -> None:
        """Admit requests for a target with a number of slots."""
        self.closed = None
        self._down_until = float("-inf")
        if slots != self.limit.maximum:
            self.limit.resize(slots)

    def close(self, kind: ErrorKind) -> None:
        """Admit no more requests and turn away those that wait."""
        self.closed = kind
        self._turn_away(kind)

    def _turn_away(self, kind: ErrorKind) -> None:
        for entry in list(self._entry_by_ticket.values()):
            if entry.sent_at is None:
                self._drop(entry, NotRun(kind))

    def submit(
        self, now: Seconds, request: Request, on_outcome: Callable[[Outcome], None]
    ) -> int:
        """Take a request; `on_outcome` is called once, maybe before this returns.

        Returns
        -------
        int
            Ticket for `cancel`.
        """
        entry = _Entry(next(self._tickets), request, now, on_outcome)
        if request.key is not None and self._holder.awaits(request.key):
            self._holder.note_request(now, request.key)
        refusal = self._refusal(now, request)
        if refusal is not None:
            on_outcome(refusal)
            return entry.ticket
        self._entry_by_ticket[entry.ticket] = entry
        if request.key is None or self._holder.may_work_on(now, request.key):
            self._enqueue(now, entry)
            self.pump(now)
        else:
            self._parked[entry.ticket] = entry
        return entry.ticket

    def _refusal(self, now: Seconds, request: Request) -> NotRun | None:
        if self.closed is not None:
            return NotRun(self.closed)
        if now < self._down_until:
            return NotRun(ErrorKind.TARGET_UNREACHABLE, self._down_until - now)
        key = request.key
        if key is not None and not self._holder.may_work_on(now, key):
            if not self._holder.awaits(key) or len(self._parked) >= self._room():
                return NotRun(ErrorKind.NOT_OWNER)
            return None
        turn = self._turn(now, request)
        wait_s = self.expected_wait_s(request, turn)
        if turn is not _Turn.IN_TIME:
            # More that are in time will come and go first.
            wait_s *= LATE_FACTOR
        needed_s = wait_s + self.durations.mean_s(request.route)
        if self._queued >= self._room() or now + needed_s > request.deadline:
            return NotRun(ErrorKind.OVERLOADED, max(wait_s, MIN_RETRY_AFTER_S))
        return None

    def _turn(self, now: Seconds, request: Request) -> _Turn:
        """Return where a request stands among those of its rank."""
        wait_s = self.expected_wait_s(request, _Turn.IN_TIME)
        done_at = now + wait_s + self.durations.mean_s(request.route)
        if done_at <= request.worth_most_until:
            return _Turn.IN_TIME
        return _Turn.CAME_BACK if request.came_back else _Turn.LATE

    def _room(self) -> int:
        return QUEUE_PER_SLOT * self.limit.value

    def expected_wait_s(self, request: Request, turn: _Turn = _Turn.IN_TIME) -> Seconds:
        """Return how long a request would wait for a slot."""
        if self._running < self.limit.value:
            return 0.0
        place = _place(request, turn, 0)
        ahead = [
            self._entry_by_ticket[other[-1]].request.route
            for other in self._waiting
            if other[-1] in self._entry_by_ticket and other[:3] <= place[:3]
        ]
        work_s = sum(self.durations.mean_s(route) for route in ahead)
        own_s = self.durations.mean_s(request.route)
        return (work_s + 0.5 * own_s) / self.limit.value

    def _enqueue(self, now: Seconds, entry: _Entry) -> None:
        entry.turn = self._turn(now, entry.request)
        place = _place(entry.request, entry.turn, entry.ticket)
        heapq.heappush(self._waiting, place)
        self._queued += 1

    def pump(self, now: Seconds) -> None:
        """Send waiting requests as long as there are slots."""
        held_back: list[_Place] = []
        while self._waiting and self._running < self.limit.value:
            place = heapq.heappop(self._waiting)
            entry = self._entry_by_ticket.get(place[-1])
            if entry is None:
                continue
            if self._has_become_late(now, entry):
                heapq.heappush(
                    self._waiting, _place(entry.request, entry.turn, entry.ticket)
                )
            elif self._is_kept_back(entry):
                held_back.append(place)
            else:
                self._queued -= 1
                self._send(now, entry)
        for place in held_back:
            heapq.heappush(self._waiting, place)

    def _has_become_late(self, now: Seconds, entry: _Entry) -> bool:
        """Give a request its later turn once it cannot be answered in time."""
        request = entry.request
        done_at = now + self.durations.mean_s(request.route)
        if entry.turn is not _Turn.IN_TIME or done_at <= request.worth_most_until:
            return False
        entry.turn = _Turn.CAME_BACK if request.came_back else _Turn.LATE
        return True

    def _is_kept_back(self, entry: _Entry) -> bool:
        """Tell whether long work would take the slots kept for short work."""
        entry.is_long = self.durations.is_long(entry.request.route)
        allowed = max(1, int(LONG_SHARE * self.limit.value))
        return entry.is_long and self._long_running >= allowed

    def _send(self, now: Seconds, entry: _Entry) -> None:
        request = entry.request
        if request.deadline - now < self._least_work_s(request):
            self._drop_unsent(entry, NotRun(ErrorKind.DEADLINE_UNREACHABLE))
            return
        if request.key is not None and not self._holder.may_work_on(now, request.key):
            self._drop_unsent(entry, NotRun(ErrorKind.NOT_OWNER))
            return
        entry.sent_at = now
        self._running += 1
        self._long_running += entry.is_long
        self._target.send(entry.ticket, request, now)

    def _least_work_s(self, request: Request) -> Seconds:
        """Return the time below which sending a request would be work for nothing."""
        return max(MIN_WORK_S, NEEDED_PART * self.durations.mean_s(request.route))

    def _drop_unsent(self, entry: _Entry, outcome: NotRun) -> None:
        """Answer for an entry that is in no queue any more."""
        del self._entry_by_ticket[entry.ticket]
        entry.on_outcome(outcome)

    def _drop(self, entry: _Entry, outcome: NotRun) -> None:
        """Take a waiting entry out and answer for it."""
        self._remove(entry)
        entry.on_outcome(outcome)

    def _remove(self, entry: _Entry) -> None:
        del self._entry_by_ticket[entry.ticket]
        if self._parked.pop(entry.ticket, None) is None:
            self._queued -= 1

    def cancel(self, now: Seconds, ticket: int) -> bool:
        """Give up a request whose caller is gone.

        Work that may not be repeated goes on: its effect counts, whoever waits.

        Returns
        -------
        bool
            Whether the request certainly has not run and will not.
        """
        entry = self._entry_by_ticket.get(ticket)
        if entry is None:
            return False
        if entry.sent_at is None:
            self._remove(entry)
            return True
        if entry.request.idempotent:
            self._target.cancel(ticket)
            self._free(entry)
            self.pump(now)
        return False

    def _free(self, entry: _Entry) -> None:
        del self._entry_by_ticket[entry.ticket]
        self._running -= 1
        self._long_running -= entry.is_long

    def finish(self, now: Seconds, ticket: int, outcome: Outcome) -> None:
        """Take the outcome of a request that was sent."""
        entry = self._entry_by_ticket.get(ticket)
        if entry is None or entry.sent_at is None:
            return
        self._free(entry)
        self._learn(now, entry, outcome)
        entry.on_outcome(outcome)
        self.pump(now)

    def _learn(self, now: Seconds, entry: _Entry, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            if outcome.kind is ErrorKind.TARGET_REFUSED:
                self.limit.note_overload(now)
                if entry.request.key is not None:
                    self._holder.note_refused()
        elif not isinstance(outcome, Unknown):
            took_s = now - entry.sent_at
            self.durations.note(entry.request.route, took_s)
            waited_s = entry.sent_at - entry.arrived_at
            self._on_worked(entry.request.service, waited_s, took_s)
            if entry.request.key is not None:
                self._holder.note_duration(took_s)
            self.limit.note_success()

    def note_unreachable(self, now: Seconds) -> None:
        """Note that the target takes no connection; turn away what waits."""
        self._down_until = now + DOWN_S
        self._turn_away(ErrorKind.TARGET_UNREACHABLE)

    def keys_changed(self, now: Seconds) -> None:
        """Look again at the requests that wait for keys."""
        for entry in list(self._parked.values()):
            key = entry.request.key
            if self._holder.may_work_on(now, key):
                del self._parked[entry.ticket]
                self._enqueue(now, entry)
            elif not self._holder.awaits(key):
                self._drop(entry, NotRun(ErrorKind.NOT_OWNER))
        self.pump(now)

    def expire(self, now: Seconds) -> None:
        """Turn away what has waited for too long, and give up silent work."""
        for entry in list(self._entry_by_ticket.values()):
            if entry.sent_at is not None:
                if now > entry.request.deadline + ANSWER_GRACE_S:
                    self._give_up(entry)
                continue
            parked = entry.ticket in self._parked
            if parked and now - entry.arrived_at > PARK_S:
                self._drop(entry, NotRun(ErrorKind.NOT_OWNER))
            elif self._is_hopeless(now, entry.request):
                self._drop(entry, NotRun(ErrorKind.DEADLINE_UNREACHABLE))
            elif not parked and self._has_waited_enough(now, entry):
                left_s = entry.request.deadline - now
                retry_after_s = RETRY_PART * left_s
                self._drop(entry, NotRun(ErrorKind.OVERLOADED, retry_after_s))
        self.pump(now)

    def _is_hopeless(self, now: Seconds, request: Request) -> bool:
        """Tell whether a request that waits has to be refused now, to be in time."""
        return now + max(EXPIRE_S, self._least_work_s(request)) >= request.deadline

    def _give_up(self, entry: _Entry) -> None:
        """Free the slot of a request that the target does not answer."""
        self._target.cancel(entry.ticket)
        self._free(entry)
        entry.on_outcome(Unknown(ErrorKind.DEADLINE_PASSED))

    @staticmethod
    def _has_waited_enough(now: Seconds, entry: _Entry) -> bool:
        """Tell whether a late request does better to come back.

        One that has come back waits as long as there is hope.
        """
        if entry.turn is not _Turn.LATE:
            return False
        time_s = entry.request.deadline - entry.arrived_at
        return now - entry.arrived_at > LATE_WAIT_PART * time_s


def _place(request: Request, turn: _Turn, ticket: int) -> _Place:
    in_time = turn is _Turn.IN_TIME
    due = request.worth_most_until if in_time else request.deadline
    return request.priority, turn, due, ticket
