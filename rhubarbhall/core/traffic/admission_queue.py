"""Admission queue of the local target.

All requests for the local target pass this queue, which sends as many at a time as the
target has slots and holds the others. It therefore knows of every request whether it
was sent, so a refusal can say truthfully that the request has not run. Among requests
of equal priority, those that can still meet the target latency of their route go first,
then retries of refused requests, then the rest; while there is too little room,
`load_shedding` orders them by value per slot-second. Under peak load many requests are
thus served in time, instead of all of them late. A target in need states a rate, which
the queue does not exceed either.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from rhubarbhall.core.admission import ConcurrencyLimit
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.crash_suspects import CrashSuspects, Standing
from rhubarbhall.core.traffic.load_shedding import RefusalStage, SheddingPolicy
from rhubarbhall.core.traffic.lost_runs import LostRuns
from rhubarbhall.core.traffic.queue_entries import QueueEntry, Urgency
from rhubarbhall.core.traffic.queue_estimates import (
    LateService,
    RouteDurations,
)
from rhubarbhall.core.traffic.rate_limit import RateLimit
from rhubarbhall.core.traffic.requests import (
    Load,
    NotRun,
    Outcome,
    RoutedRequest,
    Unknown,
)
from rhubarbhall.core.traffic.retry_times import (
    MIN_RETRY_AFTER_S,
    RetryTimes,
    ReturnResult,
)
from rhubarbhall.core.traffic.slot_reservation import SlotReservation
from rhubarbhall.core.traffic.slowdown import ReportedSlowdown
from rhubarbhall.core.traffic.suspect_runs import SuspectRuns
from rhubarbhall.core.traffic.waiting_requests import WaitingRequests
from rhubarbhall.core.traffic.warmup import Warmup

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.queue_ports import KeyOwnership, TargetClient
    from rhubarbhall.types import Seconds

#: Maximum number of waiting requests per slot of the target.
MAX_WAITING_PER_SLOT = 4
#: Maximum number of running requests until the target has answered once since this
#: daemon was started: only an answer tells which rate the target states. At one request
#: per second, four restarts within 5 s stay within the users' bound.
FIRST_REQUESTS = 3
#: Maximum wait for a key that the target is about to own: the interval between the
#: target's heartbeats, whose answers grant keys.
KEY_WAIT_TIMEOUT_S = 1.0
#: Time without new attempts after the target has refused a connection.
UNREACHABLE_BACKOFF_S = 0.4
#: Factor on the estimated wait of requests that miss the target latency: requests that
#: meet it will still arrive and be served before them.
LATE_WAIT_FACTOR = 1.5
#: Maximum interval between two calls of `AdmissionQueue.expire`. A waiting request that
#: could miss its deadline before the next call is refused, so that its refusal comes in
#: time.
EXPIRE_INTERVAL_S = 0.1
#: Time after the deadline for which the answer of the target is still awaited.
ANSWER_GRACE_S = 0.2
#: Share of a route's mean duration that must remain until the deadline for a request to
#: be sent.
MIN_WORK_SHARE = 0.8
#: Share of its total time that a request which misses the target latency waits before
#: it is refused with a time to retry after.
MAX_LATE_WAIT_SHARE = 0.2
#: Minimum remaining time for which any request is sent to the target.
MIN_WORK_S = 0.005
#: Maximum time without new attempts after an answer was lost, until it is known whether
#: the target has ended.
PROBE_TIMEOUT_S = 0.5


class AdmissionQueue:
    """Queues requests for the local target and limits how many run at a time.

    Parameters
    ----------
    service : str
        Service of the target. Requests for any other one are refused, whoever has sent
        them here.
    target : TargetClient
        Port that sends requests to the target.
    key_ownership : KeyOwnership
        Port that knows which keys the target owns.
    suspects : CrashSuspects
        Requests under which targets have ended.
    on_answered : callable
        Called for each answered request with its service, the time that it waited in
        the queue and the time that the target worked on it, both in seconds.
    local_refusal : callable
        Returns the refusal of a request that may not run at the local target by the
        rules in force; None for any other request.

    Attributes
    ----------
    limit : ConcurrencyLimit
        Number of requests that may run at a time.
    rate_limit : RateLimit
        Rate that the target states, if it states one.
    warmup : Warmup
        Pace of requests while the target is cold.
    slowdown : ReportedSlowdown
        How long work takes on the machine of the target.
    lost_runs : LostRuns
        Requests whose answer was lost since the target has answered last.
    durations : RouteDurations
        Mean durations by route.
    refusals : Counter
        Number of refusals by stage.
    returns : Counter
        Number of requests whose caller was refused before, by result.
    closed_reason : ErrorKind or None
        Reason with which all new requests are refused; None while they are admitted.
    """

    def __init__(
        self,
        service: str,
        target: TargetClient,
        key_ownership: KeyOwnership,
        suspects: CrashSuspects,
        on_answered: Callable[[str, Seconds, Seconds], None] = lambda *_: None,
        local_refusal: Callable[[RoutedRequest], NotRun | None] = lambda _: None,
    ) -> None:
        self._local_refusal = local_refusal
        self._on_answered = on_answered
        self._service = service
        self._target = target
        self._key_ownership = key_ownership
        self._suspects = suspects
        self._suspect_runs = SuspectRuns(suspects)
        self.lost_runs = LostRuns()
        self.refusals: Counter[RefusalStage] = Counter()
        self.returns: Counter[ReturnResult] = Counter()
        self._tickets = itertools.count(1)
        self.durations = RouteDurations()
        self._policy = SheddingPolicy(self.durations)
        self._retry_times = RetryTimes()
        self._waiting = WaitingRequests(self._policy.rank)
        self._entry_by_ticket: dict[int, QueueEntry] = {}
        self._waiting_for_key: dict[int, QueueEntry] = {}
        self._late_service = LateService()
        self._slot_reservation = SlotReservation()
        self._running = 0
        self._long_running = 0
        self.limit = ConcurrencyLimit(1)
        self.rate_limit = RateLimit()
        self.warmup = Warmup()
        self.slowdown = ReportedSlowdown()
        self.closed_reason: ErrorKind | None = ErrorKind.TARGET_UNREACHABLE
        self._unreachable_until: Seconds = float("-inf")
        self._probed_until: Seconds = float("-inf")
        #: Time at which the process exits, so that work has to be done by then.
        self._drain_end: Seconds = float("inf")

    @property
    def load(self) -> Load:
        """Running and waiting requests, and the present limit of running ones."""
        return Load(
            self._running,
            len(self._waiting),
            self.limit.value,
            self.rate,
            self.slowdown.present,
        )

    @property
    def rate(self) -> float | None:
        """Requests per second that the target takes; None without a limit."""
        rates = (self.rate_limit.rate, self.warmup.rate)
        return min((rate for rate in rates if rate is not None), default=None)

    @property
    def is_idle(self) -> bool:
        """Whether no request is waiting or running."""
        return not self._entry_by_ticket

    def open(self, slots: int) -> None:
        """Admit requests, for a target that works on `slots` requests at a time."""
        self.closed_reason = None
        self._unreachable_until = float("-inf")
        if slots != self.limit.maximum:
            self.limit.resize(slots)

    def close(self, kind: ErrorKind) -> None:
        """Refuse new and waiting requests with an error kind; running ones go on."""
        self.closed_reason = kind
        self._refuse_all_waiting(kind)

    def drain(self, end: Seconds) -> None:
        """Refuse the requests whose work might not be done by `end`.

        Refused at once, they can still be served by another target.
        """
        self._drain_end = end

    def _refuse_all_waiting(self, kind: ErrorKind) -> None:
        for entry in list(self._entry_by_ticket.values()):
            if entry.sent_at is None and entry.ticket in self._entry_by_ticket:
                self._refuse_waiting(entry, NotRun(kind))

    def submit(
        self,
        now: Seconds,
        request: RoutedRequest,
        on_outcome: Callable[[Outcome], None],
    ) -> int:
        """Queue a request, or refuse it at once.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        request : RoutedRequest
            The request.
        on_outcome : callable
            Called once with the outcome, possibly before this method returns. Not
            called once `cancel` has removed the request.

        Returns
        -------
        int
            Ticket for `cancel`.
        """
        entry = QueueEntry(next(self._tickets), request, now, on_outcome)
        if request.service != self._service:
            # Another service had this address before, or the sender has old records.
            on_outcome(NotRun(ErrorKind.NO_TARGET))
            return entry.ticket
        if request.key is not None and self._key_ownership.is_assigned(request.key):
            self._key_ownership.record_request(now, request.key)
        self._policy.record_arrival(request)
        self._update_order(now)
        refusal = self._refusal(now, request)
        if refusal is not None:
            on_outcome(refusal)
            return entry.ticket
        self._entry_by_ticket[entry.ticket] = entry
        if request.key is None or self._key_ownership.may_work_on(now, request.key):
            self._enqueue(now, entry)
            self._displace_excess(now)
            self.dispatch(now)
        else:
            self._waiting_for_key[entry.ticket] = entry
        return entry.ticket

    def _update_order(self, now: Seconds) -> None:
        """Order the waiting requests anew when a shortage begins or has ended."""
        if self._policy.update(now):
            self._waiting.reorder()

    def _record_return(self, request: RoutedRequest, result: ReturnResult) -> None:
        if request.is_retry:
            self.returns[result] += 1

    def _record_shortage(
        self, now: Seconds, stage: RefusalStage, request: RoutedRequest
    ) -> None:
        """Record that a request is refused for lack of room at a stage."""
        self.refusals[stage] += 1
        self._record_return(request, ReturnResult.REFUSED)
        self._policy.record_shortage(now)
        self._update_order(now)

    def _displace_excess(self, now: Seconds) -> None:
        """Refuse the request that is worth least if too many wait."""
        last = self._waiting.last()
        if last is not None and len(self._waiting) > self._max_waiting():
            self._record_shortage(now, RefusalStage.DISPLACED, last[1].request)
            self._refuse_overloaded(now, last[1])

    def _refusal(self, now: Seconds, request: RoutedRequest) -> NotRun | None:
        not_allowed = self._local_refusal(request)
        if not_allowed is not None:
            return not_allowed
        if self.closed_reason is not None:
            return NotRun(self.closed_reason)
        if now < self._unreachable_until:
            return NotRun(ErrorKind.TARGET_UNREACHABLE, self._unreachable_until - now)
        key = request.key
        if key is not None and not self._key_ownership.may_work_on(now, key):
            if (
                not self._key_ownership.is_assigned(key)
                or len(self._waiting_for_key) >= self._max_waiting()
            ):
                return NotRun(ErrorKind.NOT_OWNER)
            if self._would_miss_deadline(now, request):
                return NotRun(ErrorKind.DEADLINE_UNREACHABLE)
            return None
        urgency = self._urgency(now, request)
        if self.warmup.is_cold(now):
            ahead = sum(1 for _ in self._waiting.ahead_of(request, urgency))
            refusal = self._cold_refusal(now, ahead)
            if refusal is not None:
                return refusal
        wait_s = self.expected_wait_s(now, request, urgency)
        if urgency is not Urgency.IN_TIME and not self._policy.is_starved(request):
            # Requests that meet the target latency will arrive and be sent first.
            wait_s *= LATE_WAIT_FACTOR
            wait_s = max(wait_s, self._late_wait_s(now, request, urgency))
        if self._may_outlast_drain(now, request, wait_s):
            return self._shutdown_refusal(now)
        needed_s = wait_s + self._work_s(now + wait_s, request)
        is_full = len(self._waiting) >= self._max_waiting()
        if is_full:
            self._policy.record_shortage(now)
            self._update_order(now)
            least, _ = self._waiting.last()
            is_full = not self._policy.displaces(request, urgency, least)
        if is_full or now + needed_s > request.deadline:
            stage = RefusalStage.QUEUE_FULL if is_full else RefusalStage.NOT_IN_TIME
            self._record_shortage(now, stage, request)
            excess_s = now + needed_s - request.deadline
            retry_after_s = self._retry_times.retry_after_s(now, request, excess_s)
            # In a full queue, a request with as little time would be refused too.
            needed_s = max(needed_s, request.deadline - now) if is_full else needed_s
            return NotRun(ErrorKind.OVERLOADED, retry_after_s, needed_s)
        return None

    def _cold_refusal(self, now: Seconds, ahead: int) -> NotRun | None:
        """Return the refusal of a request that a cold target takes too late."""
        wait_s = self.warmup.wait_s(now, ahead)
        if not self.warmup.is_too_long(wait_s):
            return None
        return NotRun(ErrorKind.TARGET_COLD, wait_s)

    def _refuse_beyond_pace(self, now: Seconds) -> None:
        """Refuse the waiting requests that a cold target takes too late."""
        if not self.warmup.is_cold(now):
            return
        kept = 0
        for entry in self._waiting.in_order():
            # The outcome of another request may have ended this one as well.
            if entry not in self._waiting:
                continue
            refusal = self._cold_refusal(now, kept)
            if refusal is None:
                kept += 1
            else:
                self._refuse_waiting(entry, refusal)

    def _late_wait_s(
        self, now: Seconds, request: RoutedRequest, urgency: Urgency
    ) -> Seconds:
        """Return the estimated wait of a request that misses the target latency."""
        if self._may_send(now):
            return 0.0
        ahead = sum(
            entry.urgency is not Urgency.IN_TIME
            for entry in self._waiting.ahead_of(request, urgency)
        )
        return self._late_service.wait_s(now, ahead)

    def _urgency(self, now: Seconds, request: RoutedRequest) -> Urgency:
        """Return the urgency of a request among those of equal priority."""
        wait_s = self.expected_wait_s(now, request, Urgency.IN_TIME)
        done_at = now + wait_s + self._work_s(now + wait_s, request)
        if done_at <= request.target_latency_deadline:
            return Urgency.IN_TIME
        return Urgency.RETRIED if request.is_retry else Urgency.LATE

    def _work_s(self, begin: Seconds, request: RoutedRequest) -> Seconds:
        """Return the estimated duration of a request that is sent at a time."""
        return self.durations.mean_s(request.route) * self.slowdown.at(begin)

    def _max_waiting(self) -> int:
        return MAX_WAITING_PER_SLOT * self.limit.value

    def _has_free_slot(self) -> bool:
        slots = self.limit.value
        if not self.rate_limit.is_known:
            slots = min(slots, FIRST_REQUESTS)
        return self._running < slots

    def _may_send(self, now: Seconds) -> bool:
        """Return whether the target may get one more request now."""
        if self._suspect_runs.runs_alone or now < self._probed_until:
            return False
        return self._has_free_slot() and self._rate_wait_s(now) <= 0

    def _rate_wait_s(self, now: Seconds, ahead: int = 0) -> Seconds:
        """Return the time until the rates allow a request behind `ahead` others."""
        return max(self.rate_limit.wait_s(now, ahead), self.warmup.wait_s(now, ahead))

    def expected_wait_s(
        self,
        now: Seconds,
        request: RoutedRequest,
        urgency: Urgency = Urgency.IN_TIME,
    ) -> Seconds:
        """Return the estimated time until a request is sent, in seconds."""
        if self._may_send(now):
            return 0.0
        ahead = [
            entry.request.route for entry in self._waiting.ahead_of(request, urgency)
        ]
        rate_wait_s = self._rate_wait_s(now, len(ahead))
        if self._has_free_slot():
            return rate_wait_s
        work_s = sum(self.durations.mean_s(route) for route in ahead)
        this_s = self.durations.mean_s(request.route)
        slot_wait_s = (work_s + 0.5 * this_s) / self.limit.value
        return max(rate_wait_s, slot_wait_s * self.slowdown.at(now))

    def _enqueue(self, now: Seconds, entry: QueueEntry) -> None:
        entry.urgency = self._urgency(now, entry.request)
        self._waiting.push(entry)

    def dispatch(self, now: Seconds) -> None:
        """Send waiting requests in order while the target may get more."""
        held_back: list[QueueEntry] = []
        while self._may_send(now):
            entry = self._waiting.pop()
            if entry is None:
                break
            if self._demote_if_late(now, entry):
                self._waiting.push(entry)
            elif self._is_held_back(now, entry):
                held_back.append(entry)
            elif self._may_begin(now, entry):
                self._send(now, entry)
            elif entry.ticket in self._entry_by_ticket:
                held_back.append(entry)
                if entry.standing is Standing.ISOLATED:
                    # Nothing else is sent until the running requests have ended.
                    break
        for entry in held_back:
            # The outcome of another request may have ended this one as well.
            if entry.ticket in self._entry_by_ticket:
                self._waiting.push(entry)
        self._late_service.record_backlog(now, len(self._waiting) > 0)

    def _demote_if_late(self, now: Seconds, entry: QueueEntry) -> bool:
        """Lower the urgency of a request that can no longer meet the target latency.

        Returns
        -------
        bool
            Whether the urgency was lowered, so that the request is queued again.
        """
        request = entry.request
        done_at = now + self._work_s(now, request)
        if (
            entry.urgency is not Urgency.IN_TIME
            or done_at <= request.target_latency_deadline
        ):
            return False
        entry.urgency = Urgency.RETRIED if request.is_retry else Urgency.LATE
        return True

    def _is_held_back(self, now: Seconds, entry: QueueEntry) -> bool:
        """Return whether long work would take the slots reserved for short work."""
        entry.is_long = self.durations.is_long(entry.request.route)
        if not entry.is_long:
            return False
        return self._long_running >= self._slot_reservation.max_long(
            now, self.limit.value
        )

    def _may_begin(self, now: Seconds, entry: QueueEntry) -> bool:
        """Return whether a request may run beside those that run now.

        A suspect that may not be run at all is refused.
        """
        self._suspect_runs.update_standing(now, entry)
        refusal = self._suspect_runs.refusal(now, entry, self._running)
        if refusal is not None:
            self._refuse_dequeued(entry, refusal)
            return False
        return self._suspect_runs.may_begin(entry, self._running)

    def _send(self, now: Seconds, entry: QueueEntry) -> None:
        request = entry.request
        if request.deadline - now < self._min_work_s(now, request):
            self._refuse_dequeued(entry, NotRun(ErrorKind.DEADLINE_UNREACHABLE))
            return
        if self._may_outlast_drain(now, request):
            self._refuse_dequeued(entry, self._shutdown_refusal(now))
            return
        if request.key is not None and not self._key_ownership.may_work_on(
            now, request.key
        ):
            self._refuse_dequeued(entry, NotRun(ErrorKind.NOT_OWNER))
            return
        entry.sent_at = now
        self._policy.record_served(request)
        self._retry_times.record_sent(now)
        self._record_return(request, ReturnResult.SERVED)
        if entry.urgency is not Urgency.IN_TIME:
            self._late_service.record_sent(now)
        self._running += 1
        self._long_running += entry.is_long
        self.rate_limit.record_sent(now)
        self.warmup.record_sent(now)
        self._suspect_runs.begin(entry)
        self._target.send(entry.ticket, request, now)

    def _may_outlast_drain(
        self, now: Seconds, request: RoutedRequest, wait_s: Seconds = 0.0
    ) -> bool:
        """Return whether the work on a request could last until the process exits."""
        longest_s = self.durations.longest_s(request.route)
        work_s = min(longest_s, request.deadline - now)
        return now + wait_s + work_s > self._drain_end

    def _shutdown_refusal(self, now: Seconds) -> NotRun:
        retry_after_s = max(self._drain_end - now, MIN_RETRY_AFTER_S)
        return NotRun(ErrorKind.SHUTTING_DOWN, retry_after_s)

    def _min_work_s(self, now: Seconds, request: RoutedRequest) -> Seconds:
        """Return the minimum remaining time for which a request is sent, in seconds.

        With less, the target would work on an answer that comes after the deadline.
        """
        return max(MIN_WORK_S, MIN_WORK_SHARE * self._work_s(now, request))

    def _refuse_dequeued(self, entry: QueueEntry, outcome: NotRun) -> None:
        """Refuse a request that was already taken out of the queue."""
        del self._entry_by_ticket[entry.ticket]
        entry.on_outcome(outcome)

    def _refuse_waiting(self, entry: QueueEntry, outcome: NotRun) -> None:
        """Take a waiting request out of the queue and refuse it."""
        self._remove(entry)
        entry.on_outcome(outcome)

    def _remove(self, entry: QueueEntry) -> None:
        del self._entry_by_ticket[entry.ticket]
        self._waiting_for_key.pop(entry.ticket, None)
        self._waiting.remove(entry)

    def cancel(self, now: Seconds, ticket: int) -> bool:
        """Cancel a request whose answer nobody waits for.

        A running request that is not idempotent goes on, as its effect matters even if
        nobody receives the answer.

        Returns
        -------
        bool
            Whether the request certainly has not run and will not run.
        """
        entry = self._entry_by_ticket.get(ticket)
        if entry is None:
            return False
        if entry.sent_at is None:
            self._remove(entry)
            return True
        if entry.request.idempotent:
            self._target.cancel(ticket)
            # It may still run, and no longer alone.
            self.lost_runs.record_lost(now, entry.request, was_alone=False)
            self._release_slot(entry)
            self.dispatch(now)
        return False

    def withdraw(self, now: Seconds, ticket: int) -> None:
        """Refuse a request as not run if it still waits; a running one goes on."""
        entry = self._entry_by_ticket.get(ticket)
        if entry is not None and entry.sent_at is None:
            self.refusals[RefusalStage.WITHDRAWN] += 1
            retry_after_s = self._retry_times.retry_after_s(now, entry.request)
            refusal = NotRun(ErrorKind.DEADLINE_UNREACHABLE, retry_after_s)
            self._refuse_waiting(entry, refusal)

    def _release_slot(self, entry: QueueEntry) -> None:
        del self._entry_by_ticket[entry.ticket]
        self._running -= 1
        self._long_running -= entry.is_long
        self._suspect_runs.end(entry)

    def finish(self, now: Seconds, ticket: int, outcome: Outcome) -> None:
        """Take the outcome of a request that was sent to the target.

        Outcomes of requests that were cancelled or abandoned are ignored.
        """
        entry = self._entry_by_ticket.get(ticket)
        if entry is None or entry.sent_at is None:
            return
        self._release_slot(entry)
        self._record_outcome(now, entry, outcome)
        entry.on_outcome(self._reported(entry, outcome))
        self.dispatch(now)

    def record_stated_rate(
        self, now: Seconds, ticket: int, stated_rate: float | None
    ) -> None:
        """Take the rate that an answer states; `finish` follows for the same ticket.

        Parameters
        ----------
        now : float
            Time of the answer, local clock, in seconds.
        ticket : int
            Ticket of the request that is answered.
        stated_rate : float or None
            Requests per second that the target takes from all daemons together; None
            if it states no limit.
        """
        entry = self._entry_by_ticket.get(ticket)
        if entry is not None and entry.sent_at is not None:
            self.rate_limit.record_answer(now, entry.sent_at, stated_rate)

    def record_slowdown(
        self, now: Seconds, ticket: int, slowdown: float | None
    ) -> None:
        """Take the slowdown that an answer reports, if any; `finish` follows."""
        entry = self._entry_by_ticket.get(ticket)
        if entry is not None and entry.sent_at is not None and slowdown is not None:
            entry.slowdown = slowdown
            self.slowdown.record(now, slowdown)

    @staticmethod
    def _reported(entry: QueueEntry, outcome: Outcome) -> Outcome:
        """Return the outcome as the daemon that sent the request gets it.

        The target has seen a request that it rejects for its key, so sending it again
        counts as a retry. A daemon that is not the owner has not passed it on.
        """
        is_rejected = outcome == NotRun(ErrorKind.NOT_OWNER)
        if is_rejected and entry.request.key is not None:
            return NotRun(ErrorKind.TARGET_REFUSED, KEY_WAIT_TIMEOUT_S)
        return outcome

    def _record_outcome(
        self, now: Seconds, entry: QueueEntry, outcome: Outcome
    ) -> None:
        if isinstance(outcome, NotRun):
            if outcome.kind is ErrorKind.TARGET_REFUSED:
                self.limit.record_overload(now)
                if entry.request.key is not None:
                    self._key_ownership.record_refusal()
            elif outcome.kind is ErrorKind.NOT_OWNER and entry.request.key is not None:
                self._key_ownership.record_rejection(now, entry.request.key)
        elif isinstance(outcome, Unknown):
            if outcome.kind is ErrorKind.ANSWER_LOST:
                was_alone = entry.standing is Standing.ISOLATED
                self.lost_runs.record_lost(now, entry.request, was_alone)
                self._probed_until = now + PROBE_TIMEOUT_S
        else:
            self.lost_runs.record_answer(entry.sent_at)
            self._suspects.record_answered(now, entry.request)
            took_s = now - entry.sent_at
            self.durations.record(entry.request.route, took_s, entry.slowdown)
            if not entry.is_long:
                self._slot_reservation.record_short(now, took_s)
            waited_s = entry.sent_at - entry.arrived_at
            self._on_answered(entry.request.service, waited_s, took_s)
            if entry.request.key is not None:
                self._key_ownership.record_duration(took_s)
            self.limit.record_success()

    def record_unreachable(self, now: Seconds) -> None:
        """Refuse waiting requests, and new ones for `UNREACHABLE_BACKOFF_S`."""
        self._unreachable_until = now + UNREACHABLE_BACKOFF_S
        self._probed_until = float("-inf")
        self._refuse_all_waiting(ErrorKind.TARGET_UNREACHABLE)

    def resume(self, now: Seconds) -> None:
        """Send requests again, as the target still listens after a lost answer."""
        self._probed_until = float("-inf")
        self.dispatch(now)

    def on_placement_changed(self, now: Seconds) -> None:
        """Refuse the waiting requests that may not run here by the rules in force."""
        for entry in list(self._entry_by_ticket.values()):
            # The outcome of another request may have ended this one as well.
            if entry.sent_at is None and entry.ticket in self._entry_by_ticket:
                refusal = self._local_refusal(entry.request)
                if refusal is not None:
                    self._refuse_waiting(entry, refusal)
        self.dispatch(now)

    def on_suspects_changed(self, now: Seconds) -> None:
        """Refuse the waiting requests that are rejected now."""
        for entry in list(self._entry_by_ticket.values()):
            # The outcome of another request may have ended this one as well.
            if entry.sent_at is None and entry.ticket in self._entry_by_ticket:
                if self._suspects.standing(now, entry.request) is Standing.REJECTED:
                    self._refuse_waiting(entry, NotRun(ErrorKind.CRASHES_TARGETS))
        self.dispatch(now)

    def on_keys_changed(self, now: Seconds) -> None:
        """Queue or refuse the requests that wait for a key.

        Has to be called whenever the keys change that the target owns or is about to
        own.
        """
        for entry in list(self._waiting_for_key.values()):
            if entry.ticket not in self._waiting_for_key:
                # The outcome of another request has ended this one as well.
                continue
            key = entry.request.key
            if self._key_ownership.may_work_on(now, key):
                del self._waiting_for_key[entry.ticket]
                self._enqueue(now, entry)
            elif not self._key_ownership.is_assigned(key):
                self._refuse_waiting(entry, NotRun(ErrorKind.NOT_OWNER))
        self.dispatch(now)
        self._refuse_beyond_pace(now)

    def expire(self, now: Seconds) -> None:
        """Refuse requests that have waited too long and abandon unanswered ones.

        Has to be called at least every `EXPIRE_INTERVAL_S`.
        """
        self.slowdown.see(now)
        for entry in list(self._entry_by_ticket.values()):
            if entry.ticket not in self._entry_by_ticket:
                # The outcome of another request has ended this one as well.
                continue
            if entry.sent_at is not None:
                if now > entry.request.deadline + ANSWER_GRACE_S:
                    self._abandon(now, entry)
                continue
            waits_for_key = entry.ticket in self._waiting_for_key
            if waits_for_key and now - entry.arrived_at > KEY_WAIT_TIMEOUT_S:
                self._refuse_waiting(entry, NotRun(ErrorKind.NOT_OWNER))
            elif self._would_miss_deadline(now, entry.request):
                if not waits_for_key:
                    self._record_shortage(now, RefusalStage.NOT_IN_TIME, entry.request)
                self._refuse_waiting(entry, NotRun(ErrorKind.DEADLINE_UNREACHABLE))
            elif self._may_outlast_drain(now, entry.request):
                self._refuse_waiting(entry, self._shutdown_refusal(now))
            elif not waits_for_key and self._has_exceeded_late_wait(now, entry):
                self._record_shortage(now, RefusalStage.NOT_IN_TIME, entry.request)
                self._refuse_overloaded(now, entry)
        self._update_order(now)
        if self._policy.is_short:
            # Shares and durations have changed since the requests were ranked.
            self._waiting.reorder()
            self._refuse_beyond_capacity(now)
        self._refuse_unservable(now)
        self.dispatch(now)
        self._refuse_beyond_pace(now)

    def _refuse_overloaded(self, now: Seconds, entry: QueueEntry) -> None:
        retry_after_s = self._retry_times.retry_after_s(now, entry.request)
        self._refuse_waiting(entry, NotRun(ErrorKind.OVERLOADED, retry_after_s))

    def _refuse_beyond_capacity(self, now: Seconds) -> None:
        """Refuse requests that the work before them leaves no time for."""
        work_s = 0.0
        for entry in self._waiting.in_order():
            # The outcome of another request may have ended this one as well.
            if entry not in self._waiting:
                continue
            needed_s = work_s / self.limit.value + self._min_work_s(now, entry.request)
            if now + needed_s > entry.request.deadline:
                self._record_shortage(now, RefusalStage.NOT_IN_TIME, entry.request)
                self._refuse_overloaded(now, entry)
            else:
                work_s += self._work_s(now, entry.request)

    def _refuse_unservable(self, now: Seconds) -> None:
        """Refuse late requests that are estimated to get no slot in time.

        The estimate is that of `LateService`; time for the work must remain.
        """
        kept = 0
        for entry in self._waiting.in_order():
            # The outcome of another request may have ended this one as well.
            if entry.urgency is Urgency.IN_TIME or entry not in self._waiting:
                continue
            if self._policy.is_starved(entry.request):
                continue
            wait_s = self._late_service.wait_s(now, kept)
            needed_s = wait_s + self._min_work_s(now, entry.request)
            if now + needed_s > entry.request.deadline:
                self._record_shortage(now, RefusalStage.NOT_IN_TIME, entry.request)
                self._refuse_overloaded(now, entry)
            else:
                kept += 1

    def _would_miss_deadline(self, now: Seconds, request: RoutedRequest) -> bool:
        """Return whether a waiting request has to be refused now.

        At the next call of `expire` its refusal could come after the deadline, or the
        remaining time would not suffice for the target's work.
        """
        return (
            now + max(EXPIRE_INTERVAL_S, self._min_work_s(now, request))
            >= request.deadline
        )

    def _abandon(self, now: Seconds, entry: QueueEntry) -> None:
        """Free the slot of a request that the target has not answered in time."""
        self.durations.record_unfinished(entry.request.route, now - entry.sent_at)
        self._target.cancel(entry.ticket)
        self.lost_runs.record_lost(now, entry.request, was_alone=False)
        self._release_slot(entry)
        entry.on_outcome(Unknown(ErrorKind.DEADLINE_PASSED))

    @staticmethod
    def _has_exceeded_late_wait(now: Seconds, entry: QueueEntry) -> bool:
        """Return whether a late request is better refused so that the caller retries.

        A retry is not refused for this reason: it waits until it would miss its
        deadline.
        """
        if entry.urgency is not Urgency.LATE:
            return False
        total_s = entry.request.deadline - entry.arrived_at
        return now - entry.arrived_at > MAX_LATE_WAIT_SHARE * total_s
