"""The entrance: brings each caller's request to a target and the outcome back."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.timers import Alarm
from rhubarbhall.core.traffic.journeys import CallerRequest, Journal, Journey, Peers
from rhubarbhall.core.traffic.requests import (
    Answered,
    NotRun,
    Outcome,
    Request,
    Unknown,
)
from rhubarbhall.core.traffic.retry_budget import RetryBudget

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import Directory
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.core.traffic.choosing import TargetChooser
    from rhubarbhall.core.traffic.gate import Gate
    from rhubarbhall.core.traffic.requests import Load
    from rhubarbhall.core.traffic.routes import HostRoute, RoutingTable
    from rhubarbhall.types import Address, Seconds

#: Daemons that one request is brought to while no target has seen it.
MAX_TRIES = 4
#: Longest wait for a key on its way to another owner, or for a first connection.
MAX_WAIT_S = 0.4
#: Time between looks while a request waits.
LOOK_AGAIN_S = 0.05
#: When to come back if no owner or target is known.
NO_OWNER_RETRY_S = 0.3
#: The same if the owner is lost: a takeover lasts seconds, and callers come back before
#: their time ends anyway.
LOST_OWNER_RETRY_S = 1.0
#: Waiting time when the caller names none.
DEFAULT_TIMEOUT_S = 30.0
#: Time before a caller's own deadline at which it gets its final answer.
REPLY_MARGIN_S = 0.01
#: Time that a caller has lost already if it comes back.
CAME_BACK_S = 0.03
#: Rest of the time below which nothing is tried once more.
MIN_RETRY_S = 0.03
_SERVER_ERRORS = 500
_NO_TARGET = NotRun(ErrorKind.NO_TARGET, NO_OWNER_RETRY_S)


class Entrance:
    """Follows every request of the own VM's callers.

    Parameters
    ----------
    me : str
        The own daemon.
    caller_service : str
        Service of the own VM, told to targets.
    directory : Directory
        Who owns what.
    chooser : TargetChooser
        Ranks targets where any will do.
    gate : Gate
        Gate of the own target.
    peers : Peers
        The other daemons.
    timers : TimerService
        For deadlines.
    new_budget : callable
        Returns the retry budget of a service.
    journal : Journal
        Where decisions are written down.
    """

    def __init__(
        self,
        me: Address,
        caller_service: str,
        directory: Directory,
        chooser: TargetChooser,
        gate: Gate,
        peers: Peers,
        timers: TimerService,
        new_budget: Callable[[], RetryBudget],
        journal: Journal,
    ) -> None:
        self._me = me
        self.caller_service = caller_service
        self._directory = directory
        self._chooser = chooser
        self._gate = gate
        self._peers = peers
        self._timers = timers
        self._new_budget = new_budget
        self._journal = journal
        self.routing: RoutingTable | None = None
        self.budget_by_service: dict[str, RetryBudget] = {}
        self._journey_by_ticket: dict[int, Journey] = {}
        self._tickets = itertools.count(1)
        self._longest_by_route: dict[str, Seconds] = {}

    @property
    def in_flight(self) -> int:
        """Requests without an outcome."""
        return len(self._journey_by_ticket)

    # Requests come in

    def submit(
        self, now: Seconds, asked: CallerRequest, reply: Callable[[Outcome], None]
    ) -> int | None:
        """Take a request; `reply` is called once, maybe before this returns.

        Returns
        -------
        int, optional
            Ticket for `caller_gone`; none if the outcome is known already.
        """
        if self.routing is None:
            reply(NotRun(ErrorKind.NO_CONFIGURATION, NO_OWNER_RETRY_S))
            return None
        route = self.routing.match(asked.host, asked.path)
        if route is None:
            reply(NotRun(ErrorKind.NO_ROUTE))
            return None
        request = self._request(now, asked, route)
        if self._is_by_key(request.service) and request.key is None:
            reply(NotRun(ErrorKind.KEY_MISSING))
            return None
        self._budget(request.service).note_request(now)
        journey = Journey(next(self._tickets), request, reply, now)
        self._journey_by_ticket[journey.ticket] = journey
        overdue = Alarm(lambda later: self._on_overdue(later, journey))
        journey.alarm = self._timers.at(request.deadline, overdue)
        self._advance(now, journey)
        return journey.ticket

    def _request(self, now: Seconds, asked: CallerRequest, route: HostRoute) -> Request:
        waits_s = (asked.timeout_s or DEFAULT_TIMEOUT_S) - REPLY_MARGIN_S
        if route.timeout_s is not None:
            waits_s = min(waits_s, route.timeout_s)
        service = self.routing.choose_part(route)
        spent_s = self._spent_before(route.name, asked.timeout_s)
        return Request(
            id=asked.id,
            service=service,
            route=route.name,
            key=asked.key if self._is_by_key(service) else None,
            method=asked.method,
            path=asked.path,
            host=asked.host,
            headers=asked.headers,
            body=asked.body,
            caller=self.caller_service,
            idempotent=route.idempotent,
            priority=route.priority,
            deadline=now + waits_s,
            worth_most_until=now + route.target_latency_s - spent_s,
            came_back=spent_s > CAME_BACK_S,
            max_attempts=route.max_attempts,
        )

    def _spent_before(self, route: str, timeout_s: Seconds | None) -> Seconds:
        """Return how long the caller has waited in earlier attempts.

        Callers of one route start with the same time; less is left when they come back.
        """
        if timeout_s is None:
            return 0.0
        longest_s = max(timeout_s, self._longest_by_route.get(route, 0.0))
        self._longest_by_route[route] = longest_s
        return longest_s - timeout_s

    def _is_by_key(self, service: str) -> bool:
        rules = self.routing.services_by_name.get(service)
        return rules is not None and rules.by_key

    def _budget(self, service: str) -> RetryBudget:
        if service not in self.budget_by_service:
            self.budget_by_service[service] = self._new_budget()
        return self.budget_by_service[service]

    # Where they go

    def _advance(
        self, now: Seconds, journey: Journey, refusal: NotRun = _NO_TARGET
    ) -> None:
        """Bring a request to the next daemon; with none left, end it by a refusal."""
        if journey.request.key is not None:
            self._advance_by_key(now, journey)
            return
        request = journey.request
        address = self._chooser.choose(
            now,
            request.service,
            request.route,
            journey.tried,
            request.worth_most_until - now,
        )
        if address is None or journey.tries >= MAX_TRIES:
            self._end(now, journey, refusal)
        else:
            self._bring(now, journey, address)

    def _advance_by_key(self, now: Seconds, journey: Journey) -> None:
        table = self._directory.table_by_service.get(journey.request.service)
        if table is None:
            self._end(now, journey, NotRun(ErrorKind.NO_OWNER, NO_OWNER_RETRY_S))
            return
        address = self._holder(table, journey)
        if address is None and journey.span.previous_lost:
            # Nobody can be granted the key while a caller waits.
            self._end(now, journey, NotRun(ErrorKind.NO_OWNER, LOST_OWNER_RETRY_S))
            return
        if address is not None and journey.tries < MAX_TRIES:
            self._bring(now, journey, address)
        else:
            self._wait(now, journey)

    def _holder(self, table: KeyTable, journey: Journey) -> Address | None:
        """Return the daemon that should have the key by now.

        While a range is on its way the former owner still serves it, until it says
        that it does not.
        """
        span = journey.span = table.find(journey.request.key)
        candidates = [] if span.previous_lost else [span.owner]
        if span.previous and not span.previous_lost:
            candidates.insert(0, span.previous)
        for address in candidates:
            if (address, span.fence) not in journey.not_holding:
                return address
        return None

    def _wait(self, now: Seconds, journey: Journey) -> None:
        """Look again soon; a key, or a connection, on its way arrives in moments."""
        if journey.waits_since is None:
            journey.waits_since = now
        waited_s = now - journey.waits_since
        left_s = journey.request.deadline - now
        if waited_s >= MAX_WAIT_S or left_s < 2 * LOOK_AGAIN_S:
            self._end(now, journey, NotRun(ErrorKind.NO_OWNER, NO_OWNER_RETRY_S))
            return
        journey.not_holding.clear()
        journey.tries = 0
        again = Alarm(lambda later: self._look_again(later, journey))
        journey.look = self._timers.at(now + LOOK_AGAIN_S, again)

    def _look_again(self, now: Seconds, journey: Journey) -> None:
        if journey.ticket in self._journey_by_ticket:
            self._advance(now, journey)

    def _bring(self, now: Seconds, journey: Journey, address: Address) -> None:
        request = journey.request
        if now + self._chooser.least_s(address, request.route) > request.deadline:
            # It would end at the caller's deadline on its way, its outcome unknown.
            self._end(now, journey, NotRun(ErrorKind.DEADLINE_UNREACHABLE))
            return
        if address != self._me and self._peers.opens_soon(now, address):
            self._wait(now, journey)
            return
        journey.tries += 1
        journey.at = address
        journey.sent_at = now
        journey.tried.add(address)
        self._chooser.view(address).outstanding += 1
        self._journal.sent(now, journey)
        ticket, tries = journey.ticket, journey.tries
        if address != self._me:
            if not self._peers.forward(now, address, ticket, journey.request):
                refused = NotRun(ErrorKind.OWNER_UNREACHABLE, NO_OWNER_RETRY_S)
                self.on_outcome(now, ticket, address, refused, None)
            return
        given = self._gate.submit(
            now, journey.request, lambda outcome: self._on_own_gate(ticket, outcome)
        )
        if journey.at == self._me and journey.tries == tries:
            journey.gate_ticket = given

    def _on_own_gate(self, ticket: int, outcome: Outcome) -> None:
        now = self._timers.now()
        self.on_outcome(now, ticket, self._me, outcome, self._gate.load)

    # What becomes of them

    def on_outcome(
        self,
        now: Seconds,
        ticket: int,
        address: Address,
        outcome: Outcome,
        load: Load | None,
    ) -> None:
        """Take the outcome that a daemon told."""
        journey = self._journey_by_ticket.get(ticket)
        view = self._chooser.view(address)
        if load is not None:
            view.load = load
        if journey is None or journey.at != address:
            return
        self._leave(journey)
        if isinstance(outcome, Answered):
            self._on_answer(now, journey, address, outcome)
        elif isinstance(outcome, Unknown):
            self._on_unknown(now, journey, address, outcome)
        else:
            self._on_not_run(now, journey, address, outcome)

    def _leave(self, journey: Journey) -> None:
        if journey.at is not None:
            self._chooser.view(journey.at).outstanding -= 1
        journey.at = None
        journey.gate_ticket = None

    def _on_answer(
        self, now: Seconds, journey: Journey, address: Address, answer: Answered
    ) -> None:
        journey.attempts += 1
        view = self._chooser.view(address)
        if answer.status < _SERVER_ERRORS:
            view.note_success()
            took_s = now - journey.sent_at
            self._chooser.note_duration(address, journey.request.route, took_s)
        else:
            view.note_taken(False)
            if self._may_repeat(now, journey):
                self._advance(now, journey)
                return
        self._end(now, journey, answer)

    def _on_unknown(
        self, now: Seconds, journey: Journey, address: Address, outcome: Unknown
    ) -> None:
        journey.attempts += 1
        journey.may_have_run = True
        self._chooser.view(address).note_failure(now)
        if self._may_repeat(now, journey):
            self._advance(now, journey)
        else:
            self._end(now, journey, outcome)

    def _may_repeat(self, now: Seconds, journey: Journey) -> bool:
        """Tell whether a request that may have run is sent once more."""
        request = journey.request
        return (
            request.idempotent
            and journey.attempts < request.max_attempts
            and request.deadline - now > MIN_RETRY_S
            and self._budget(request.service).take(now)
        )

    def _on_not_run(
        self, now: Seconds, journey: Journey, address: Address, outcome: NotRun
    ) -> None:
        request = journey.request
        if outcome.kind is ErrorKind.NOT_OWNER and journey.span is not None:
            journey.not_holding.add((address, journey.span.fence))
            self._advance(now, journey)
            return
        seen_by_target = outcome.kind is ErrorKind.TARGET_REFUSED
        journey.attempts += seen_by_target
        self._chooser.view(address).note_taken(False)
        if outcome.kind not in _TARGET_IS_WELL:
            self._chooser.view(address).note_failure(now)
        spent = journey.attempts >= request.max_attempts
        late = request.deadline - now < MIN_RETRY_S
        settled = request.key is not None and not seen_by_target
        if settled or spent or late or journey.tries >= MAX_TRIES:
            self._end(now, journey, outcome)
        elif seen_by_target and not self._budget(request.service).take(now):
            self._end(now, journey, outcome)
        else:
            self._advance(now, journey, outcome)

    def _on_overdue(self, now: Seconds, journey: Journey) -> None:
        if journey.ticket not in self._journey_by_ticket:
            return
        if journey.at is not None:
            self._chooser.view(journey.at).note_failure(now)
        if not self._call_off(now, journey):
            journey.may_have_run = True
        self._end(now, journey, NotRun(ErrorKind.DEADLINE_UNREACHABLE))

    def _call_off(self, now: Seconds, journey: Journey) -> bool:
        """Tell whoever has the request that nobody waits any more.

        Returns
        -------
        bool
            Whether no target has seen it since the last outcome, or will.
        """
        at, gate_ticket = journey.at, journey.gate_ticket
        self._leave(journey)
        if at is None:
            return True
        if at != self._me:
            self._peers.cancel(at, journey.ticket)
            return False
        return gate_ticket is not None and self._gate.cancel(now, gate_ticket)

    def caller_gone(self, now: Seconds, ticket: int) -> None:
        """Give up a request whose caller has closed its connection."""
        journey = self._journey_by_ticket.get(ticket)
        if journey is None:
            return
        self._call_off(now, journey)
        self._end(now, journey, Unknown(ErrorKind.CALLER_GONE))

    def _end(self, now: Seconds, journey: Journey, outcome: Outcome) -> None:
        del self._journey_by_ticket[journey.ticket]
        for subscription in (journey.alarm, journey.look):
            if subscription is not None:
                subscription.cancel()
        if isinstance(outcome, NotRun) and journey.may_have_run:
            # An earlier attempt may have run, so that must not be denied.
            late = now >= journey.request.deadline
            kind = ErrorKind.DEADLINE_PASSED if late else ErrorKind.ANSWER_LOST
            outcome = Unknown(kind)
        self._journal.ended(now, journey, outcome)
        journey.reply(outcome)


#: Refusals that say nothing against the target.
_TARGET_IS_WELL = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.TARGET_REFUSED,
    }
)
