"""Routes each caller's request to a target and returns the outcome to the caller.

The router chooses the daemon that gets a request, sends it to another one where that is
safe, enforces its deadline and gives the caller exactly one outcome.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.timers import TimerCallback
from rhubarbhall.core.traffic.crash_suspects import (
    CrashSuspects,
    Standing,
    fingerprint_of,
)
from rhubarbhall.core.traffic.eligibility import NOT_ELIGIBLE_RETRY_AFTER_S
from rhubarbhall.core.traffic.load_shedding import RefusalStage
from rhubarbhall.core.traffic.pending_requests import (
    CallerRequest,
    PeerClient,
    PendingRequest,
    RequestLog,
)
from rhubarbhall.core.traffic.queue_estimates import RouteDurations
from rhubarbhall.core.traffic.refusal_reports import RefusalReports
from rhubarbhall.core.traffic.request_limits import (
    RETRY_DETECTION_S,
    EarlierAttempts,
    time_limit_s,
)
from rhubarbhall.core.traffic.requests import (
    Answered,
    NotRun,
    Outcome,
    RoutedRequest,
    Unknown,
)
from rhubarbhall.core.traffic.retry_budget import ServiceRetryBudget
from rhubarbhall.core.traffic.retry_times import RetryTimes

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.key_table import Span
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.core.traffic.admission_queue import AdmissionQueue
    from rhubarbhall.core.traffic.eligibility import (
        Eligibility,
        Place,
        PlacementRules,
    )
    from rhubarbhall.core.traffic.requests import Load
    from rhubarbhall.core.traffic.routes import HostRoute, RoutingTable
    from rhubarbhall.core.traffic.target_chooser import TargetChooser
    from rhubarbhall.types import Address, Seconds

#: Maximum number of times that a request is sent to a daemon before it has to wait or
#: is refused.
MAX_SENDS = 4
#: Maximum wait for a key that moves to another owner, or for the first connection to a
#: daemon.
SEND_WAIT_TIMEOUT_S = 0.4
#: Interval at which a request that waits is tried again.
WAIT_POLL_INTERVAL_S = 0.05
#: Time after which callers are asked to retry if no owner or target is available.
NO_OWNER_RETRY_AFTER_S = 0.3
#: Time after which callers are asked to retry if the owner of the key is lost. A
#: takeover lasts seconds, and callers retry before their own deadline in any case.
LOST_OWNER_RETRY_AFTER_S = 1.0
#: Minimum time until the deadline for which a request is sent again.
MIN_REPEAT_TIME_S = 0.03
#: Round trips that a withdrawal and its answer may take. Under load a message waits on
#: both sides; of answers between regions one in ten took twice the delay of the link.
WITHDRAWAL_ROUND_TRIPS = 1.5
#: Time beyond them before the deadline at which a request is withdrawn from
#: another daemon. It covers the work of both processes, which share less than one core
#: with their targets on the smallest VMs.
WITHDRAWAL_MARGIN_S = 0.04
#: Minimum time between sending a request and its withdrawal. Received together with
#: its withdrawal it would not begin although a slot is free.
MIN_WITHDRAWAL_DELAY_S = 0.02
#: Lowest HTTP status of a server error.
_FIRST_SERVER_ERROR = 500
_NO_TARGET = NotRun(ErrorKind.NO_TARGET, NO_OWNER_RETRY_AFTER_S)


class RequestRouter:
    """Routes the requests of callers on the local VM.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    caller_service : str
        Service of the local VM; targets are informed of it.
    directory : KeyDirectory
        Members and key tables of all services.
    chooser : TargetChooser
        Chooses targets for services that are not divided by key.
    admission_queue : AdmissionQueue
        Admission queue of the local target.
    peers : PeerClient
        Port to the other daemons.
    timers : TimerService
        Timers for deadlines and repeated attempts.
    new_budget : callable
        Returns a new retry budget; called once for each service.
    suspects : CrashSuspects
        Requests under which targets have ended.
    request_log : RequestLog
        Port that logs where requests are sent and their outcomes.
    rules : PlacementRules
        Where requests may run; it also holds the operators' configuration.

    Attributes
    ----------
    routing : RoutingTable or None
        The operators' configuration; None until it is known.
    refusals : Counter
        Number of refusals by stage.
    budget_by_service : dict of str to ServiceRetryBudget
        Retry budgets of the services that callers have requested.
    """

    def __init__(
        self,
        local_address: Address,
        caller_service: str,
        directory: KeyDirectory,
        chooser: TargetChooser,
        admission_queue: AdmissionQueue,
        peers: PeerClient,
        timers: TimerService,
        new_budget: Callable[[], ServiceRetryBudget],
        suspects: CrashSuspects,
        request_log: RequestLog,
        rules: PlacementRules,
    ) -> None:
        self._local_address = local_address
        self.caller_service = caller_service
        self._directory = directory
        self._chooser = chooser
        self._admission_queue = admission_queue
        self._peers = peers
        self._timers = timers
        self._new_budget = new_budget
        self._suspects = suspects
        self._request_log = request_log
        self._rules = rules
        self.budget_by_service: dict[str, ServiceRetryBudget] = {}
        self._pending_by_ticket: dict[int, PendingRequest] = {}
        self._tickets = itertools.count(1)
        self._refusal_reports = RefusalReports()
        self._retry_times = RetryTimes()
        self.refusals: Counter[RefusalStage] = Counter()
        self._earlier_attempts = EarlierAttempts()
        self._answer_times = RouteDurations()
        #: Time at which the process exits, so that callers need outcomes by then.
        self._drain_end: Seconds = float("inf")

    @property
    def routing(self) -> RoutingTable | None:
        """The operators' configuration; None until it is known."""
        return self._rules.routing

    @routing.setter
    def routing(self, routing: RoutingTable | None) -> None:
        self._rules.routing = routing

    @property
    def in_flight(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending_by_ticket)

    # Requests of callers

    def submit(
        self,
        now: Seconds,
        caller_request: CallerRequest,
        reply: Callable[[Outcome], None],
    ) -> int | None:
        """Route a request of a caller.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        caller_request : CallerRequest
            The request.
        reply : callable
            Called exactly once with the outcome, possibly before this method returns.

        Returns
        -------
        int or None
            Ticket for `caller_gone`; None if the outcome is known already.
        """
        if self.routing is None or self._rules.evacuated_domains is None:
            reply(NotRun(ErrorKind.NO_CONFIGURATION, NO_OWNER_RETRY_AFTER_S))
            return None
        route = self.routing.match(caller_request.host, caller_request.path)
        if route is None:
            reply(NotRun(ErrorKind.NO_ROUTE))
            return None
        wanted_until = now + time_limit_s(caller_request, route)
        request = self._routed_request(now, caller_request, route, wanted_until)
        if self._is_by_key(request.service) and request.key is None:
            reply(NotRun(ErrorKind.KEY_MISSING))
            return None
        self._budget(request.service).record_request(now)
        ticket = next(self._tickets)
        pending = PendingRequest(ticket, request, reply, now, wanted_until)
        self._pending_by_ticket[pending.ticket] = pending
        on_deadline = TimerCallback(lambda later: self._on_deadline(later, pending))
        pending.deadline_timer = self._timers.at(request.deadline, on_deadline)
        self._send_to_next(now, pending)
        return ticket if ticket in self._pending_by_ticket else None

    def _routed_request(
        self,
        now: Seconds,
        caller_request: CallerRequest,
        route: HostRoute,
        wanted_until: Seconds,
    ) -> RoutedRequest:
        service = self.routing.choose_part(route)
        spent_s = self._earlier_attempts.spent_s(route.name, caller_request.timeout_s)
        return RoutedRequest(
            id=caller_request.id,
            service=service,
            route=route.name,
            key=caller_request.key if self._is_by_key(service) else None,
            method=caller_request.method,
            path=caller_request.path,
            host=caller_request.host,
            headers=caller_request.headers,
            body=caller_request.body,
            caller=self.caller_service,
            idempotent=route.idempotent,
            priority=route.priority,
            deadline=min(wanted_until, self._drain_end),
            target_latency_deadline=now + route.target_latency_s - spent_s,
            is_retry=spent_s > RETRY_DETECTION_S,
            max_attempts=route.max_attempts,
            permitted_regions=route.permitted_regions,
        )

    def _is_by_key(self, service: str) -> bool:
        rules = self.routing.services_by_name.get(service)
        return rules is not None and rules.by_key

    def _budget(self, service: str) -> ServiceRetryBudget:
        if service not in self.budget_by_service:
            self.budget_by_service[service] = self._new_budget()
        return self.budget_by_service[service]

    # Choice of the daemon

    def _send_to_next(
        self, now: Seconds, pending: PendingRequest, refusal: NotRun = _NO_TARGET
    ) -> None:
        """Send a request to the next daemon.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        pending : PendingRequest
            The request.
        refusal : NotRun
            Outcome of the request if no daemon is left to send it to.
        """
        standing = self._suspects.standing(now, pending.request)
        if standing is Standing.REJECTED:
            self._finish(now, pending, NotRun(ErrorKind.CRASHES_TARGETS))
            return
        if pending.request.key is not None:
            self._send_by_key(now, pending)
            return
        tried = len(pending.tried)
        address = self._choose_target_with_room(now, pending, standing)
        has_left_out = len(pending.tried) > tried
        if address is None and pending.sends == 0 and has_left_out:
            self._finish(now, pending, self._sender_refusal(now, pending))
        elif address is None or pending.sends >= MAX_SENDS:
            self._finish(now, pending, refusal)
        else:
            self._send(now, pending, address)

    def _sender_refusal(self, now: Seconds, pending: PendingRequest) -> NotRun:
        self.refusals[RefusalStage.SENDER] += 1
        retry_after_s = self._retry_times.retry_after_s(now, pending.request)
        return NotRun(ErrorKind.OVERLOADED, retry_after_s)

    def _choose_target_with_room(
        self, now: Seconds, pending: PendingRequest, standing: Standing
    ) -> Address | None:
        """Return the target to send to, leaving out those that would refuse it."""
        address = self._choose_target(now, pending, standing)
        if standing is not Standing.CLEAR:
            return address
        while address is not None and self._would_be_refused(now, pending, address):
            pending.tried.add(address)
            address = self._choose_target(now, pending, standing)
        return address

    def _would_be_refused(
        self, now: Seconds, pending: PendingRequest, address: Address
    ) -> bool:
        """Return whether another daemon is known to refuse a request at present."""
        if address == self._local_address:
            return False
        round_trip_s = self._peers.round_trip_s(address)
        return self._refusal_reports.refuses(
            now, address, pending.request, round_trip_s
        )

    def _choose_target(
        self, now: Seconds, pending: PendingRequest, standing: Standing
    ) -> Address | None:
        request = pending.request
        eligibility = self._rules.eligibility(request)
        if standing is not Standing.CLEAR:
            # All daemons choose the same target, so that it runs on one at a time.
            return self._chooser.choose_by_hash(
                now,
                request.service,
                fingerprint_of(request),
                pending.tried,
                eligibility,
            )
        return self._chooser.choose(
            now,
            request.service,
            request.route,
            pending.tried,
            request.target_latency_deadline - now,
            eligibility,
            len(request.body),
        )

    def _send_by_key(self, now: Seconds, pending: PendingRequest) -> None:
        table = self._directory.table_by_service.get(pending.request.service)
        if table is None:
            self._finish(
                now, pending, NotRun(ErrorKind.NO_OWNER, NO_OWNER_RETRY_AFTER_S)
            )
            return
        span = pending.span = table.find(pending.request.key)
        eligibility = self._rules.eligibility(pending.request)
        owners = self._owners(span, eligibility)
        if not owners and not self._moves_soon(now, pending, eligibility):
            self._finish(now, pending, self._refusal_without_owner(span, eligibility))
            return
        address = next(
            (each for each in owners if (each, span.fence) not in pending.non_owners),
            None,
        )
        if address is not None and pending.sends < MAX_SENDS:
            if self._would_be_refused(now, pending, address):
                self._finish(now, pending, self._sender_refusal(now, pending))
                return
            self._send(now, pending, address)
        else:
            self._wait_and_retry(now, pending)

    def _owners(self, span: Span, eligibility: Eligibility) -> list[Address]:
        """Return the daemons where a request may run whose targets may hold its key.

        While a range moves, the previous owner serves it until it answers that it does
        not own the key any more.
        """
        if span.previous_lost:
            return []
        owners = [span.previous, span.owner] if span.previous else [span.owner]
        return [each for each in owners if self._is_eligible(each, eligibility)]

    def _is_eligible(self, address: Address, eligibility: Eligibility) -> bool:
        return eligibility.allows(self._place(address))

    def _place(self, address: Address) -> Place | None:
        if address == self._local_address:
            return self._rules.local_place
        return self._directory.member_by_address.get(address)

    def _moves_soon(
        self, now: Seconds, pending: PendingRequest, eligibility: Eligibility
    ) -> bool:
        """Return whether the key leaves an evacuated domain for an eligible target."""
        span = pending.span
        if span.previous_lost or not eligibility.is_evacuated(self._place(span.owner)):
            return False
        return self._chooser.has_target(now, pending.request.service, eligibility)

    def _refusal_without_owner(self, span: Span, eligibility: Eligibility) -> NotRun:
        """Return the refusal of a request whose key has no owner that may serve it."""
        if span.previous_lost:
            # The key cannot be granted to anybody within the time that callers wait.
            return NotRun(ErrorKind.NO_OWNER, LOST_OWNER_RETRY_AFTER_S)
        is_evacuated = eligibility.is_evacuated(self._place(span.owner))
        kind = (
            ErrorKind.DOMAIN_EVACUATED if is_evacuated else ErrorKind.REGION_NOT_ALLOWED
        )
        return NotRun(kind, NOT_ELIGIBLE_RETRY_AFTER_S)

    def _wait_and_retry(self, now: Seconds, pending: PendingRequest) -> None:
        """Try the request again soon, or refuse it if it has waited too long.

        A key that moves, or a connection that is being opened, is usually available
        after a fraction of a second.
        """
        if pending.waiting_since is None:
            pending.waiting_since = now
        waited_s = now - pending.waiting_since
        remaining_s = self._remaining_s(now, pending.request)
        if waited_s >= SEND_WAIT_TIMEOUT_S or remaining_s < 2 * WAIT_POLL_INTERVAL_S:
            self._finish(
                now, pending, NotRun(ErrorKind.NO_OWNER, NO_OWNER_RETRY_AFTER_S)
            )
            return
        pending.non_owners.clear()
        pending.sends = 0
        retry = TimerCallback(lambda later: self._retry_after_wait(later, pending))
        pending.retry_timer = self._timers.at(now + WAIT_POLL_INTERVAL_S, retry)

    def on_peer_connected(self, now: Seconds, address: Address) -> None:
        """Send the requests that wait for the connection to a daemon."""
        for pending in list(self._pending_by_ticket.values()):
            if pending.awaited_address == address:
                self._retry_after_wait(now, pending)

    def _retry_after_wait(self, now: Seconds, pending: PendingRequest) -> None:
        if pending.ticket not in self._pending_by_ticket:
            return
        pending.awaited_address = None
        if pending.retry_timer is not None:
            pending.retry_timer.cancel()
            pending.retry_timer = None
        self._send_to_next(now, pending)

    def _remaining_s(self, now: Seconds, request: RoutedRequest) -> Seconds:
        """Return the time that a request has left, in seconds."""
        return min(request.deadline, self._drain_end) - now

    def _send(self, now: Seconds, pending: PendingRequest, address: Address) -> None:
        if pending.request.deadline > self._drain_end:
            # The other daemon has to know that nobody waits after this process exits.
            pending.request = replace(pending.request, deadline=self._drain_end)
        request = pending.request
        if self._may_outlast_drain(now, pending):
            # Its target would be cut at work; elsewhere it can still be served.
            refusal = NotRun(ErrorKind.SHUTTING_DOWN, self._drain_end - now)
            self._finish(now, pending, refusal)
            return
        if (
            now + self._chooser.min_answer_time_s(now, address, request.route)
            > request.deadline
        ):
            # The deadline would pass before the answer, with the outcome unknown.
            self._finish(now, pending, NotRun(ErrorKind.DEADLINE_UNREACHABLE))
            return
        if address != self._local_address and self._peers.opens_soon(now, address):
            pending.awaited_address = address
            self._wait_and_retry(now, pending)
            return
        pending.sends += 1
        pending.current_address = address
        pending.sent_at = now
        pending.tried.add(address)
        self._chooser.record_sent(
            now,
            address,
            pending.ticket,
            len(request.body),
            request.key is not None,
        )
        self._request_log.sent(now, pending)
        ticket, sends = pending.ticket, pending.sends
        if address != self._local_address:
            if not self._peers.forward(now, address, ticket, pending.request):
                refused = NotRun(ErrorKind.OWNER_UNREACHABLE, NO_OWNER_RETRY_AFTER_S)
                self.on_outcome(now, ticket, address, refused, None)
            elif (pending.current_address, pending.sends) == (address, sends):
                self._withdraw_later(pending, address)
            return
        queue_ticket = self._admission_queue.submit(
            now,
            pending.request,
            lambda outcome: self._on_local_outcome(ticket, outcome),
        )
        if pending.current_address == self._local_address and pending.sends == sends:
            pending.queue_ticket = queue_ticket

    def _withdraw_later(self, pending: PendingRequest, address: Address) -> None:
        """Have a request withdrawn shortly before its deadline.

        The other daemon's answer must arrive before it: only that daemon knows whether
        the request still waits there or a target has received it.
        """
        round_trip_s = WITHDRAWAL_ROUND_TRIPS * self._peers.round_trip_s(address)
        lead_s = round_trip_s + WITHDRAWAL_MARGIN_S
        withdraw = TimerCallback(lambda later: self._withdraw(pending, address))
        due = min(pending.request.deadline, self._drain_end) - lead_s
        due = max(due, pending.sent_at + MIN_WITHDRAWAL_DELAY_S)
        pending.withdrawal_timer = self._timers.at(due, withdraw)

    def _withdraw(self, pending: PendingRequest, address: Address) -> None:
        if pending.current_address == address and not pending.may_have_run:
            pending.is_withdrawn = True
            self._peers.withdraw(address, pending.ticket)

    def _may_outlast_drain(self, now: Seconds, pending: PendingRequest) -> bool:
        """Return whether the answer could come after the process exits.

        A route without a known duration counts as short.
        """
        longest_s = self._answer_times.longest_s(pending.request.route)
        if longest_s == float("inf"):
            return False
        return min(now + longest_s, pending.wanted_until) > self._drain_end

    def _on_local_outcome(self, ticket: int, outcome: Outcome) -> None:
        now = self._timers.now()
        self.on_outcome(
            now, ticket, self._local_address, outcome, self._admission_queue.load
        )

    # Outcomes

    def on_outcome(
        self,
        now: Seconds,
        ticket: int,
        address: Address,
        outcome: Outcome,
        load: Load | None,
    ) -> None:
        """Take the outcome that a daemon reports for a request.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        ticket : int
            Ticket of the request.
        address : str
            Address of the daemon that reports the outcome.
        outcome : Answered, NotRun or Unknown
            The outcome. It is ignored if the request is not at that daemon any more.
        load : Load or None
            Load of the daemon's target, if it was reported.
        """
        pending = self._pending_by_ticket.get(ticket)
        if load is not None:
            self._chooser.record_load(now, address, load)
            self._refusal_reports.record_load(address, load)
        if pending is None or pending.current_address != address:
            return
        self._chooser.far_targets.record_done(now, ticket, outcome)
        self._clear_destination(pending)
        if isinstance(outcome, NotRun):
            self._refusal_reports.record_refusal(now, address, pending.request, outcome)
        if isinstance(outcome, Answered):
            self._on_answer(now, pending, address, outcome)
        elif isinstance(outcome, Unknown):
            self._on_unknown(now, pending, address, outcome)
        else:
            self._on_not_run(now, pending, address, outcome)

    def _clear_destination(self, pending: PendingRequest) -> None:
        if pending.current_address is not None:
            self._chooser.view(pending.current_address).outstanding -= 1
            self._chooser.far_targets.record_done(self._timers.now(), pending.ticket)
        pending.current_address = None
        pending.queue_ticket = None
        if pending.withdrawal_timer is not None:
            pending.withdrawal_timer.cancel()
            pending.withdrawal_timer = None

    def _on_answer(
        self, now: Seconds, pending: PendingRequest, address: Address, answer: Answered
    ) -> None:
        pending.attempts += 1
        view = self._chooser.view(address)
        if answer.status < _FIRST_SERVER_ERROR:
            view.record_success()
            took_s = now - pending.sent_at
            self._chooser.record_duration(address, pending.request.route, took_s)
            self._answer_times.record(pending.request.route, took_s)
        else:
            view.record_served(False)
            if self._may_repeat(now, pending):
                pending.failed_answer = answer
                self._send_to_next(now, pending)
                return
        self._finish(now, pending, answer)

    def _on_unknown(
        self, now: Seconds, pending: PendingRequest, address: Address, outcome: Unknown
    ) -> None:
        pending.attempts += 1
        pending.may_have_run = True
        if outcome.kind is ErrorKind.ANSWER_LOST:
            pending.request.is_suspected = True
        self._chooser.view(address).record_failure(now)
        # A request that has to run alone is not repeated here, as it may end another
        # target; its caller may send it again.
        is_isolated = self._suspects.standing(now, pending.request) >= Standing.ISOLATED
        if not is_isolated and self._may_repeat(now, pending):
            self._send_to_next(now, pending)
        else:
            self._finish(now, pending, outcome)

    def _may_repeat(self, now: Seconds, pending: PendingRequest) -> bool:
        """Return whether a request that may have run is sent again.

        If so, one repeat is taken from the retry budget of its service.
        """
        request = pending.request
        return (
            request.idempotent
            and pending.attempts < request.max_attempts
            and self._remaining_s(now, request) > MIN_REPEAT_TIME_S
            and self._budget(request.service).take(now)
        )

    def _on_not_run(
        self, now: Seconds, pending: PendingRequest, address: Address, outcome: NotRun
    ) -> None:
        request = pending.request
        is_at_former_owner = (
            outcome.kind is ErrorKind.NOT_OWNER and pending.span is not None
        )
        if is_at_former_owner and not pending.is_withdrawn:
            pending.non_owners.add((address, pending.span.fence))
            self._send_to_next(now, pending)
            return
        if outcome.kind is ErrorKind.CRASHES_TARGETS:
            self._finish(now, pending, outcome)
            return
        if outcome.kind is ErrorKind.NO_TARGET and request.key is not None:
            # Another service uses the address of the owner, so the owner has ended.
            refusal = NotRun(ErrorKind.NO_OWNER, LOST_OWNER_RETRY_AFTER_S)
            self._finish(now, pending, refusal)
            return
        seen_by_target = outcome.kind is ErrorKind.TARGET_REFUSED
        pending.attempts += seen_by_target
        if outcome.kind is ErrorKind.TARGET_COLD:
            self._chooser.record_cold_refusal(now, address)
        else:
            self._chooser.view(address).record_served(False)
        if outcome.kind not in _NOT_TARGET_FAULTS:
            self._chooser.view(address).record_failure(now)
        no_attempts_left = pending.attempts >= request.max_attempts
        no_time_left = self._remaining_s(now, request) < MIN_REPEAT_TIME_S
        # No other target may serve the key, so the refusal of its owner is final.
        refused_by_owner = request.key is not None and not seen_by_target
        if (
            refused_by_owner
            or no_attempts_left
            or no_time_left
            or pending.is_withdrawn
            or pending.sends >= MAX_SENDS
        ):
            self._finish(now, pending, outcome)
        elif seen_by_target and not self._budget(request.service).take(now):
            self._finish(now, pending, outcome)
        else:
            self._send_to_next(now, pending, outcome)

    def _on_deadline(self, now: Seconds, pending: PendingRequest) -> None:
        if pending.ticket not in self._pending_by_ticket:
            return
        if pending.current_address is not None:
            self._chooser.view(pending.current_address).record_failure(now)
        late = NotRun(ErrorKind.DEADLINE_UNREACHABLE)
        self._chooser.far_targets.record_done(now, pending.ticket, late)
        if not self._cancel_send(now, pending):
            pending.may_have_run = True
        self._finish(now, pending, late)

    def _cancel_send(self, now: Seconds, pending: PendingRequest) -> bool:
        """Cancel a request at the daemon that it was sent to.

        Returns
        -------
        bool
            Whether it is certain that no target has received the request since its
            last outcome, or will receive it.
        """
        address, queue_ticket = pending.current_address, pending.queue_ticket
        self._clear_destination(pending)
        if address is None:
            return True
        if address != self._local_address:
            self._peers.cancel(address, pending.ticket)
            return False
        return queue_ticket is not None and self._admission_queue.cancel(
            now, queue_ticket
        )

    def caller_gone(self, now: Seconds, ticket: int) -> None:
        """Cancel a request whose caller has closed its connection."""
        pending = self._pending_by_ticket.get(ticket)
        if pending is None:
            return
        self._cancel_send(now, pending)
        self._finish(now, pending, Unknown(ErrorKind.CALLER_GONE))

    def drain(self, end: Seconds) -> None:
        """Have all requests that are accepted or sent from now on end by `end`.

        Those that other daemons have are withdrawn before, if they still wait there.
        """
        self._drain_end = end
        for pending in self._pending_by_ticket.values():
            if pending.withdrawal_timer is not None:
                pending.withdrawal_timer.cancel()
                self._withdraw_later(pending, pending.current_address)

    def end_pending(self, now: Seconds) -> None:
        """End all requests, as the process is about to exit.

        A request that no target can have received is refused; the outcome of any other
        is unknown.
        """
        for pending in list(self._pending_by_ticket.values()):
            if pending.ticket not in self._pending_by_ticket:
                # The outcome of another request has ended this one as well.
                continue
            if not self._cancel_send(now, pending):
                pending.may_have_run = True
            refusal = NotRun(ErrorKind.SHUTTING_DOWN, NO_OWNER_RETRY_AFTER_S)
            self._finish(now, pending, refusal)

    def _finish(self, now: Seconds, pending: PendingRequest, outcome: Outcome) -> None:
        del self._pending_by_ticket[pending.ticket]
        for timer in (pending.deadline_timer, pending.retry_timer):
            if timer is not None:
                timer.cancel()
        is_awaited = outcome != Unknown(ErrorKind.CALLER_GONE)
        if pending.failed_answer is not None and is_awaited:
            if not isinstance(outcome, Answered):
                # The request has run, and this answer of a target is ready.
                outcome = pending.failed_answer
        if isinstance(outcome, NotRun) and pending.may_have_run:
            # An earlier attempt may have run, so the outcome must not deny that.
            has_expired = now >= pending.request.deadline
            kind = ErrorKind.DEADLINE_PASSED if has_expired else ErrorKind.ANSWER_LOST
            outcome = Unknown(kind)
        self._request_log.ended(now, pending, outcome)
        pending.reply(outcome)


#: Refusals that are no sign of a failure of the target or its daemon.
_NOT_TARGET_FAULTS = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.TARGET_REFUSED,
        ErrorKind.REGION_NOT_ALLOWED,
        ErrorKind.DOMAIN_EVACUATED,
        ErrorKind.TARGET_COLD,
    }
)
