"""Routes requests to the daemon of their owner and returns one answer for each.

A request whose owner is unknown or refuses it is held and sent again until the hold
time of its service has passed. Requests without an owner go to a target that the
balancer chooses.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.errors import ANSWER_BY_KIND, ErrorKind
from rhubarbhall.core.requests import (
    OWNER_HEADER,
    RETRY_HEADER,
    Request,
    Response,
    refusal,
)
from rhubarbhall.core.retry import RetryBudget
from rhubarbhall.core.timers import OnDemandTimer

if TYPE_CHECKING:
    from rhubarbhall.core.balancing import Balancer
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.types import MemberId, RequestId, Seconds, ServiceName

#: Time between two checks of the deadlines and of the held requests, in seconds.
CHECK_INTERVAL_S = 0.02
#: Time before a request is sent again after a refusal or without a known owner, in
#: seconds.
RETRY_DELAY_S = 0.04
#: Time after the deadline of a forwarded request for which this daemon still waits for
#: the answer, in seconds.
FORWARD_MARGIN_S = 0.05
#: Largest random addition to ``Retry-After``, in seconds, which spreads the repeats of
#: callers that were refused together.
RETRY_JITTER_S = 2

# Refusals after which the request is held, since its owner may change or recover.
_HELD_KINDS = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.OWNER_UNREACHABLE,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.NO_OWNER,
    }
)
# Refusals after which a request that has no owner may be sent to another target.
_OTHER_TARGET_KINDS = _HELD_KINDS | {
    ErrorKind.OVERLOADED,
    ErrorKind.TARGET_REFUSED,
    ErrorKind.TARGET_UNREACHABLE,
    ErrorKind.DEADLINE_UNREACHABLE,
}
# Outcomes after which the request may have run; only an idempotent one is sent again.
_UNKNOWN_OUTCOME_KINDS = frozenset({ErrorKind.ANSWER_LOST})


@dataclass(slots=True)
class _PendingRequest:
    """A request that has no answer yet.

    Parameters
    ----------
    request : Request
        The request.
    member : str, optional
        Member that it was sent to; none while it is held.
    retry_at : float
        Time at which a held request is sent again, on the local monotonic clock, in
        seconds.
    refusal : Response, optional
        Answer that it gets when it cannot be held any longer.
    tried : set of str
        Members that refused it or failed to answer it.
    """

    request: Request
    member: MemberId | None = None
    retry_at: Seconds = 0.0
    refusal: Response | None = None
    tried: set[MemberId] = field(default_factory=set)


class Router:
    """Passes requests to the local target or to the daemon of their owner.

    Parameters
    ----------
    context : Context
        State that all parts of the daemon share.
    balancer : Balancer
        Chooses members for requests that have no owner.
    """

    def __init__(self, context: Context, balancer: Balancer) -> None:
        self._context = context
        self._balancer = balancer
        self._pending_by_id: dict[RequestId, _PendingRequest] = {}
        self._held: set[RequestId] = set()
        self._check_timer = OnDemandTimer(
            context.timers, CHECK_INTERVAL_S, events.HeldRequestCheckDue()
        )
        self._budget_by_service: dict[ServiceName, RetryBudget] = defaultdict(
            RetryBudget
        )
        #: Number of answers given, by error kind or "answered".
        self.outcomes_by_kind: dict[str, int] = {}
        #: Number of times that a request was forwarded to another daemon.
        self.forwarded = 0

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.RequestArrived: self._on_request,
            events.RequestFinished: self._on_finished,
            events.ForwardAnswered: self._on_forward_answered,
            events.ForwardFailed: self._on_forward_failed,
            events.CallerGone: self._on_caller_gone,
            events.RecordApplied: self._on_record_applied,
            events.HeldRequestCheckDue: self._on_check_due,
        }

    @property
    def in_flight(self) -> int:
        """Number of requests that have no answer yet."""
        return len(self._pending_by_id)

    def _on_request(
        self, now: Seconds, event: events.RequestArrived
    ) -> Iterator[Command | Event]:
        self._check_timer.ensure_started(now)
        pending = _PendingRequest(event.request)
        self._pending_by_id[event.request.id] = pending
        self._budget_by_service[event.request.service.name].record_request()
        if now < event.request.not_before:
            pending.retry_at = event.request.not_before
            pending.refusal = refusal(ErrorKind.DEADLINE_UNREACHABLE)
            self._held.add(event.request.id)
        else:
            yield from self._send(now, pending)

    # Finding the owner

    def _send(
        self, now: Seconds, pending: _PendingRequest
    ) -> Iterator[Command | Event]:
        request = pending.request
        member = self._destination(now, pending)
        if member is None:
            pending.refusal = pending.refusal or refusal(ErrorKind.NO_OWNER)
            yield from self._hold_or_answer(now, pending)
            return
        if member == self._context.member_id:
            pending.member = member
            self._balancer.record_sent(now, member)
            yield events.DispatchRequested(request)
            return
        address = self._context.directory.member_by_id[member].join.calls
        if request.hops:
            # The daemon that forwarded the request learns of the new owner soon, so a
            # second hop would only add latency.
            yield from self._answer(
                pending, refusal(ErrorKind.NOT_OWNER, owner=address)
            )
            return
        pending.member = member
        self._balancer.record_sent(now, member)
        self.forwarded += 1
        budget = request.deadline - now
        yield commands.Forward(request, member, address, budget)

    def _destination(self, now: Seconds, pending: _PendingRequest) -> MemberId | None:
        request = pending.request
        directory = self._context.directory
        if request.service.name not in directory.intent.services:
            return None
        if request.slice is not None:
            # The key may have been split out or merged since the request arrived.
            request.slice = directory.slice_of(request.service.name, request.owner_key)
            return directory.owner_of(request.slice.service, request.slice.index)
        if request.hops:
            return self._context.member_id
        return self._balancer.choose(now, request.service, frozenset(pending.tried))

    # Outcomes

    def _on_finished(
        self, now: Seconds, event: events.RequestFinished
    ) -> Iterator[Command | Event]:
        yield from self._handle_outcome(now, event.request.id, event.response)

    def _on_forward_answered(
        self, now: Seconds, event: events.ForwardAnswered
    ) -> Iterator[Command | Event]:
        yield from self._handle_outcome(now, event.request_id, event.response)

    def _on_forward_failed(
        self, now: Seconds, event: events.ForwardFailed
    ) -> Iterator[Command | Event]:
        kind = ErrorKind.ANSWER_LOST if event.written else ErrorKind.OWNER_UNREACHABLE
        yield from self._handle_outcome(now, event.request_id, refusal(kind))

    def _handle_outcome(
        self, now: Seconds, request_id: RequestId, response: Response
    ) -> Iterator[Command | Event]:
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.member is None:
            return
        member = pending.member
        self._balancer.record_outcome(
            now, member, None if response.kind in _OTHER_TARGET_KINDS else response
        )
        if self._may_send_again(now, pending, response):
            pending.tried.add(member)
            pending.member = None
            pending.refusal = response
            yield from self._hold_or_answer(now, pending)
        else:
            yield from self._answer(pending, response)

    def _may_send_again(
        self, now: Seconds, pending: _PendingRequest, response: Response
    ) -> bool:
        request = pending.request
        if request.hops or response.kind is None:
            return False
        if response.kind in _HELD_KINDS:
            return True
        budget = self._budget_by_service[request.service.name]
        if request.slice is None and response.kind in _OTHER_TARGET_KINDS:
            return budget.take(now)
        if response.kind in _UNKNOWN_OUTCOME_KINDS:
            is_idempotent = request.route.is_idempotent(request.method)
            return is_idempotent and budget.take(now)
        return False

    def _hold_or_answer(
        self, now: Seconds, pending: _PendingRequest
    ) -> Iterator[Command | Event]:
        request = pending.request
        hold_ends_at = min(
            request.deadline, request.arrived_at + request.service.hold_s
        )
        if now + RETRY_DELAY_S >= hold_ends_at or request.hops:
            yield from self._answer(pending, pending.refusal)
            return
        pending.retry_at = now + RETRY_DELAY_S
        self._held.add(request.id)
        # The owner has changed or is about to, and newer records of the log show it.
        yield events.ReadRequested()

    def _answer(
        self, pending: _PendingRequest, response: Response
    ) -> Iterator[Command]:
        request = pending.request
        del self._pending_by_id[request.id]
        self._held.discard(request.id)
        name = response.kind.value if response.kind else "answered"
        self.outcomes_by_kind[name] = self.outcomes_by_kind.get(name, 0) + 1
        if not request.hops:
            response = self._with_jitter(response)
        yield commands.Answer(request.id, self._with_owner(pending, response))

    def _with_jitter(self, response: Response) -> Response:
        """Add a random part to ``Retry-After``, up to `RETRY_JITTER_S`."""
        if response.kind is None:
            return response
        base_s = ANSWER_BY_KIND[response.kind].retry_after_s
        if base_s is None:
            return response
        after_s = base_s + self._context.rng.randrange(RETRY_JITTER_S + 1)
        headers = tuple(
            (name, str(after_s) if name == RETRY_HEADER else value)
            for name, value in response.headers
        )
        return Response(response.status, headers, response.body, response.kind)

    def _with_owner(self, pending: _PendingRequest, response: Response) -> Response:
        """Add the owner's address, so that the caller can send there directly."""
        member = self._context.directory.member_by_id.get(pending.member or "")
        if pending.request.slice is None or member is None:
            return response
        if any(name == OWNER_HEADER for name, _ in response.headers):
            return response
        headers = (*response.headers, (OWNER_HEADER, member.join.calls))
        return Response(response.status, headers, response.body, response.kind)

    # Deadlines and changes of the membership

    def _on_check_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        self._check_timer.record_fired()
        if self._pending_by_id:
            self._check_timer.ensure_started(now)
        for request_id in list(self._held):
            pending = self._pending_by_id[request_id]
            if now >= pending.retry_at:
                self._held.discard(request_id)
                yield from self._send(now, pending)
        for pending in list(self._pending_by_id.values()):
            if now >= pending.request.deadline + FORWARD_MARGIN_S:
                yield from self._abandon(now, pending)

    def _abandon(self, now: Seconds, pending: _PendingRequest) -> Iterator[Command]:
        """Answer a request that is unfinished after its deadline."""
        if pending.member is not None:
            self._balancer.record_outcome(now, pending.member, None)
            yield commands.CancelForward(pending.request.id)
            yield from self._answer(pending, refusal(ErrorKind.DEADLINE_PASSED))
        else:
            yield from self._answer(pending, pending.refusal)

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Command | Event]:
        self._balancer.record_joined(now, event.applied.joined)
        closed = event.applied.closed
        if not closed:
            return
        for pending in list(self._pending_by_id.values()):
            if pending.member in closed and pending.member != self._context.member_id:
                yield commands.CancelForward(pending.request.id)
                lost = refusal(ErrorKind.ANSWER_LOST)
                yield from self._handle_outcome(now, pending.request.id, lost)
        self._balancer.forget(closed)

    def _on_caller_gone(
        self, now: Seconds, event: events.CallerGone
    ) -> Iterator[Command | Event]:
        pending = self._pending_by_id.pop(event.request_id, None)
        self._held.discard(event.request_id)
        if pending is None or pending.member is None:
            return
        self._balancer.record_outcome(now, pending.member, Response(499))
        if pending.member != self._context.member_id:
            yield commands.CancelForward(event.request_id)
