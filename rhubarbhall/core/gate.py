"""The gate of the own target: nothing else gives that target orders."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.admission import LONG_WORK_S, Admission
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.handover import SliceStatus
from rhubarbhall.core.idempotency import Repeat
from rhubarbhall.core.records import IntentRecord, Merge, Split
from rhubarbhall.core.requests import OWN_PREFIX, Response, refusal
from rhubarbhall.core.timers import OnDemandTimer

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.handover import Ownership
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import LeaseKeeper
    from rhubarbhall.core.requests import Request
    from rhubarbhall.types import RequestId, Seconds, ServiceName

#: Time between looks at deadlines and held requests.
LOOK_S = 0.02
#: Header by which a target says that it refused an order unrun.
SHED_HEADER = "target-not-run"

_KIND_BY_REPEAT = {
    Repeat.RUNNING: ErrorKind.REQUEST_IN_PROGRESS,
    Repeat.OTHER_REQUEST: ErrorKind.IDEMPOTENCY_KEY_REUSED,
    Repeat.NOT_VOUCHED: ErrorKind.OUTCOME_NOT_VOUCHED,
}


@dataclass(slots=True)
class _Order:
    """A request that was sent to the target.

    Parameters
    ----------
    harmless_at : float
        Time from which on the order can have no effect any more.
    answered : bool
        Whether the caller has got its answer, although the order still runs.
    """

    request: Request
    sent_at: Seconds
    harmless_at: Seconds
    answered: bool = False


class Gate:
    """Checks ownership, lease, repeats and room before each order."""

    def __init__(
        self, context: Context, lease: LeaseKeeper, ownership: Ownership
    ) -> None:
        self._context = context
        self._lease = lease
        self._ownership = ownership
        self._admission_by_service: dict[ServiceName, Admission] = {}
        self._held: dict[RequestId, Request] = {}
        self._order_by_id: dict[RequestId, _Order] = {}
        self._look_timer = OnDemandTimer(context.timers, LOOK_S, events.GateDue())
        #: Answers and refusals given, by what they were.
        self.outcomes_by_kind: dict[str, int] = {}

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Admit: self._on_admit,
            events.SliceAcquired: self._on_slice_acquired,
            events.LeaseChanged: self._on_lease_changed,
            events.OrderAnswered: self._on_order_answered,
            events.OrderFailed: self._on_order_failed,
            events.CallerGone: self._on_caller_gone,
            events.AbortSlice: self._on_abort_slice,
            events.GateDue: self._on_due,
            events.HeartbeatDue: self._on_heartbeat_due,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_changed,
            events.Joined: self._on_directory_changed,
            events.Fenced: self._on_fenced,
        }

    @property
    def busy(self) -> int:
        """Requests that wait or run here."""
        waiting = sum(each.waiting for each in self._admission_by_service.values())
        return waiting + len(self._held) + len(self._order_by_id)

    @property
    def load_percent(self) -> int:
        """Orders running and waiting over the slots of the busiest service."""
        return max(
            (
                100 * (each.running + each.waiting) // each.limit.value
                for each in self._admission_by_service.values()
            ),
            default=0,
        )

    @property
    def admissions(self) -> Mapping[ServiceName, Admission]:
        """Slots and queues of each service."""
        return self._admission_by_service

    # Taking requests in

    def _on_admit(self, now: Seconds, event: events.Admit) -> Iterator[Command | Event]:
        self._look_timer.want(now)
        yield from self._admit(now, event.request)

    def _admit(self, now: Seconds, request: Request) -> Iterator[Command | Event]:
        refused = self._refuse_or_hold(now, request)
        if refused is not None:
            yield self._finished(request, refused)
            return
        if request.id in self._held:
            return
        repeated = self._look_up(now, request)
        if repeated is not None:
            yield self._finished(request, repeated)
            return
        yield from self._enqueue(now, request)

    def _refuse_or_hold(self, now: Seconds, request: Request) -> Response | None:
        """Return a refusal, or hold the request, or neither."""
        if request.slice is not None:
            status = self._ownership.status(request.slice)
            if status is SliceStatus.NOT_MINE:
                return refusal(ErrorKind.NOT_OWNER)
            if status is SliceStatus.SERVING and self._lease.is_held(now):
                return None
        elif self._lease.is_held(now):
            return None
        if now >= self._held_until(request):
            return refusal(ErrorKind.NO_OWNER, "the hold for the owner has run out")
        self._held[request.id] = request
        return None

    @staticmethod
    def _held_until(request: Request) -> Seconds:
        return min(request.deadline, request.arrived_at + request.service.hold_s)

    def _look_up(self, now: Seconds, request: Request) -> Response | None:
        if request.idempotency_key is None or request.slice is None:
            return None
        table = self._ownership.outcomes(request.slice)
        repeat, response = table.begin(now, request)
        if repeat is Repeat.FIRST:
            return None
        return response or refusal(_KIND_BY_REPEAT[repeat])

    def _enqueue(self, now: Seconds, request: Request) -> Iterator[Command | Event]:
        admission = self._admission(request)
        if now + admission.expected_wait_s(request) >= request.deadline:
            yield self._not_run(request, ErrorKind.DEADLINE_UNREACHABLE)
            return
        evicted = admission.push(request)
        if evicted is not None:
            yield self._not_run(evicted, ErrorKind.OVERLOADED)
        yield from self._dispatch(now, admission)

    def _admission(self, request: Request) -> Admission:
        name = request.service.name
        admission = self._admission_by_service.get(name)
        if admission is None:
            admission = Admission(request.service)
            self._admission_by_service[name] = admission
        return admission

    # Giving orders

    def _dispatch(
        self, now: Seconds, admission: Admission
    ) -> Iterator[Command | Event]:
        for request in admission.next_requests():
            if not self._may_run(now, request):
                admission.finish(request.id)
                self._note_outcome(request, refusal(ErrorKind.NOT_OWNER))
                yield from self._admit(now, request)
            elif now >= request.deadline:
                admission.finish(request.id)
                yield self._not_run(request, ErrorKind.DEADLINE_UNREACHABLE)
            else:
                yield self._order(now, request)

    def _may_run(self, now: Seconds, request: Request) -> bool:
        if not self._lease.is_held(now):
            return False
        if request.slice is None:
            return True
        return self._ownership.status(request.slice) is SliceStatus.SERVING

    def _order(self, now: Seconds, request: Request) -> Command:
        deadline = request.deadline
        if not self._context.join.checks_grants:
            deadline = min(deadline, now + request.service.order_cap_s)
        epoch = 0
        if request.slice is not None:
            epoch = self._ownership.epoch(request.slice)
            self._ownership.enter(request.slice)
        self._order_by_id[request.id] = _Order(request, now, deadline)
        return commands.SendOrder(
            request,
            epoch,
            self._lease.held_until(),
            deadline,
            request.service.max_answer,
        )

    def _on_heartbeat_due(self, now: Seconds, event: Event) -> Iterator[Command]:
        if self._order_by_id and self._lease.is_held(now):
            yield commands.RenewGrant(self._lease.held_until())

    # Outcomes

    def _on_order_answered(
        self, now: Seconds, event: events.OrderAnswered
    ) -> Iterator[Command | Event]:
        order = self._order_by_id.get(event.request_id)
        if order is None:
            return
        admission = self._admission(order.request)
        if _is_shed(event.response):
            admission.limit.note_overload(now)
            response = refusal(ErrorKind.TARGET_REFUSED)
        else:
            response = _without_own_headers(event.response)
            admission.note_answer(now, order.request, now - order.sent_at)
        yield from self._close_order(now, order, response)

    def _on_order_failed(
        self, now: Seconds, event: events.OrderFailed
    ) -> Iterator[Command | Event]:
        order = self._order_by_id.get(event.request_id)
        if order is None:
            return
        self._admission(order.request).limit.note_overload(now)
        if event.written and now < order.harmless_at:
            # The order may still run at the target, so its slice stays.
            yield from self._answer_early(order, refusal(event.kind))
            return
        yield from self._close_order(now, order, refusal(event.kind))

    def _answer_early(self, order: _Order, response: Response) -> Iterator[Event]:
        if not order.answered:
            order.answered = True
            self._admission(order.request).finish(order.request.id)
            self._note_outcome(order.request, response)
            yield self._finished(order.request, response)

    def _close_order(
        self, now: Seconds, order: _Order, response: Response
    ) -> Iterator[Command | Event]:
        request = order.request
        del self._order_by_id[request.id]
        if request.slice is not None:
            self._ownership.exit(request.slice)
        admission = self._admission(request)
        admission.finish(request.id)
        # Noted even when the caller has been answered: a repeat may then get the
        # answer that came too late, or run, if the target says that this did not.
        self._note_outcome(request, response)
        if not order.answered:
            yield self._finished(request, response)
        yield from self._dispatch(now, admission)

    def _note_outcome(self, request: Request, response: Response) -> None:
        if request.idempotency_key is None or request.slice is None:
            return
        table = self._ownership.table_of_attempt(request.slice)
        if table is not None:
            table.finish(request, response)

    def _not_run(self, request: Request, kind: ErrorKind) -> Event:
        response = refusal(kind)
        self._note_outcome(request, response)
        return self._finished(request, response)

    def _finished(self, request: Request, response: Response) -> Event:
        name = response.kind.value if response.kind else "answered"
        self.outcomes_by_kind[name] = self.outcomes_by_kind.get(name, 0) + 1
        return events.Finished(request, response)

    # Time and changes

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        self._look_timer.note_fired()
        if self.busy:
            self._look_timer.want(now)
        yield from self._retry_held(now)
        for admission in self._admission_by_service.values():
            for request in admission.remove_all(lambda each: now >= each.deadline):
                yield self._not_run(request, ErrorKind.DEADLINE_UNREACHABLE)
        for order in list(self._order_by_id.values()):
            yield from self._look_at_order(now, order)

    def _look_at_order(self, now: Seconds, order: _Order) -> Iterator[Command | Event]:
        request = order.request
        if now - order.sent_at >= LONG_WORK_S:
            self._admission(request).note_lasting(request, now - order.sent_at)
        if now >= request.deadline and not order.answered:
            yield commands.CancelOrder(request.id)
            order.answered = True
            response = refusal(ErrorKind.DEADLINE_PASSED)
            self._note_outcome(request, response)
            yield self._finished(request, response)
        margin = self._context.timing.heartbeat_s
        if order.answered and now >= order.harmless_at + margin:
            yield from self._close_order(now, order, refusal(ErrorKind.DEADLINE_PASSED))

    def _retry_held(self, now: Seconds) -> Iterator[Command | Event]:
        held, self._held = self._held, {}
        for request in held.values():
            yield from self._admit(now, request)

    def _on_slice_acquired(
        self, now: Seconds, event: events.SliceAcquired
    ) -> Iterator[Command | Event]:
        yield from self._retry_held(now)

    def _on_lease_changed(
        self, now: Seconds, event: events.LeaseChanged
    ) -> Iterator[Command | Event]:
        if event.held:
            yield from self._retry_held(now)

    def _on_caller_gone(
        self, now: Seconds, event: events.CallerGone
    ) -> Iterator[Command | Event]:
        self._held.pop(event.request_id, None)
        for admission in self._admission_by_service.values():
            request = admission.remove(event.request_id)
            if request is not None:
                yield self._not_run(request, ErrorKind.CALLER_GONE)
                return
        order = self._order_by_id.get(event.request_id)
        if order is not None and order.request.idempotency_key is None:
            yield commands.CancelOrder(event.request_id)

    def _on_abort_slice(
        self, now: Seconds, event: events.AbortSlice
    ) -> Iterator[Command]:
        for order in self._order_by_id.values():
            if order.request.slice == event.slice:
                yield commands.CancelOrder(order.request.id)

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        applied = event.applied
        if applied.void is None and isinstance(applied.record, Split | Merge):
            self._relabel(applied.record.service, applied.record.key)
        if applied.void is None and isinstance(applied.record, IntentRecord):
            yield from self._configure()
        if applied.moved:
            yield from self._turn_away_moved()

    def _on_directory_changed(self, now: Seconds, event: Event) -> Iterator[Command]:
        yield from self._configure()

    def _configure(self) -> Iterator[Command]:
        """Bring limits into line with the intent in force."""
        services = self._context.directory.intent.services
        for name, admission in self._admission_by_service.items():
            if name in services:
                admission.configure(services[name])
        member = self._context.member
        if member is None:
            return
        limits = [
            service.connections
            for service in services.values()
            if service.targets.matches(member.labels)
        ]
        if limits:
            yield commands.LimitConnections(min(limits))

    def _relabel(self, service: ServiceName, key: str) -> None:
        """Put requests for a key under the slice that it belongs to now."""
        ref = self._context.directory.slice_of(service, key)
        for order in self._order_by_id.values():
            request = order.request
            if request.owner_key == key and request.service.name == service:
                self._ownership.relabel(request.slice, ref)
                request.slice = ref
        waiting = self._admission_by_service.get(service)
        for request in [*self._held.values(), *(waiting or ())]:
            if request.owner_key == key and request.service.name == service:
                request.slice = ref

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        yield from self._turn_away_moved()

    def _turn_away_moved(self) -> Iterator[Event]:
        """Refuse what waits for slices that are not this member's any more.

        This comes before any release, so that a request that never ran is not
        handed over as one that may have.
        """
        for admission in self._admission_by_service.values():
            for request in admission.remove_all(self._is_moved):
                yield self._not_run(request, ErrorKind.NOT_OWNER)

    def _is_moved(self, request: Request) -> bool:
        if request.slice is None:
            return False
        return self._ownership.status(request.slice) is not SliceStatus.SERVING


def _without_own_headers(response: Response) -> Response:
    """Drop headers by which a target would speak in this system's name."""
    kept = tuple(
        (name, value)
        for name, value in response.headers
        if not name.lower().startswith(OWN_PREFIX)
    )
    return Response(response.status, kept, response.body)


def _is_shed(response: Response) -> bool:
    return any(name.lower() == SHED_HEADER for name, _ in response.headers)
