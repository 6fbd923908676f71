"""Dispatches orders to the local target; no other part sends it any.

An order is a request as the target gets it. Requests wait here for the slice, for the
lease or for a free slot of the target. Requests that cannot run are refused.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.admission import LONG_WORK_S, AdmissionController
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.handover import SliceStatus
from rhubarbhall.core.idempotency import KeyStatus
from rhubarbhall.core.records import IntentRecord, Merge, Split
from rhubarbhall.core.requests import HEADER_PREFIX, Response, refusal
from rhubarbhall.core.timers import OnDemandTimer

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.handover import Ownership
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import MemberLease
    from rhubarbhall.core.requests import Request
    from rhubarbhall.types import RequestId, Seconds, ServiceName

#: Time between two checks of the deadlines and of the held requests, in seconds.
CHECK_INTERVAL_S = 0.02
#: Header, in lower case, by which a target reports that it refused an order without
#: running it.
NOT_RUN_HEADER = "target-not-run"

_KIND_BY_REPEAT = {
    KeyStatus.RUNNING: ErrorKind.REQUEST_IN_PROGRESS,
    KeyStatus.KEY_REUSED: ErrorKind.IDEMPOTENCY_KEY_REUSED,
    KeyStatus.NOT_VOUCHED: ErrorKind.OUTCOME_NOT_VOUCHED,
}


@dataclass(slots=True)
class _Order:
    """A request that was sent to the target.

    Parameters
    ----------
    request : Request
        The request.
    sent_at : float
        Time at which it was sent, on the local monotonic clock, in seconds.
    effects_end_at : float
        Time from which on the order can have no effect any more, on the same clock.
    answered : bool
        Whether the request was answered although the order may still run.
    """

    request: Request
    sent_at: Seconds
    effects_end_at: Seconds
    answered: bool = False


class OrderDispatcher:
    """Checks ownership, lease, idempotency key and free slots before each order.

    Parameters
    ----------
    context : Context
        State that all parts of the daemon share.
    lease : MemberLease
        Lease of the local member; without it no order is sent.
    ownership : Ownership
        Slices that the local member serves.
    """

    def __init__(
        self, context: Context, lease: MemberLease, ownership: Ownership
    ) -> None:
        self._context = context
        self._lease = lease
        self._ownership = ownership
        self._admission_by_service: dict[ServiceName, AdmissionController] = {}
        self._held: dict[RequestId, Request] = {}
        self._order_by_id: dict[RequestId, _Order] = {}
        self._check_timer = OnDemandTimer(
            context.timers, CHECK_INTERVAL_S, events.OrderCheckDue()
        )
        #: Number of finished requests, by error kind or "answered".
        self.outcomes_by_kind: dict[str, int] = {}

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.DispatchRequested: self._on_admit,
            events.SliceAcquired: self._on_slice_acquired,
            events.LeaseChanged: self._on_lease_changed,
            events.OrderAnswered: self._on_order_answered,
            events.OrderFailed: self._on_order_failed,
            events.CallerGone: self._on_caller_gone,
            events.SliceDrainTimedOut: self._on_abort_slice,
            events.OrderCheckDue: self._on_check_due,
            events.HeartbeatDue: self._on_heartbeat_due,
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_changed,
            events.Joined: self._on_directory_changed,
            events.Fenced: self._on_fenced,
        }

    @property
    def unfinished_requests(self) -> int:
        """Number of requests that are held, wait for a slot or run."""
        waiting = sum(each.waiting for each in self._admission_by_service.values())
        return waiting + len(self._held) + len(self._order_by_id)

    @property
    def load_percent(self) -> int:
        """Load of the service that loads the target most, in percent.

        It is the number of running and waiting orders over the concurrency limit.
        """
        return max(
            (
                100 * (each.running + each.waiting) // each.limit.value
                for each in self._admission_by_service.values()
            ),
            default=0,
        )

    @property
    def admissions(self) -> Mapping[ServiceName, AdmissionController]:
        """Slots and queues by service; a service is added with its first request."""
        return self._admission_by_service

    # Admitting requests

    def _on_admit(
        self, now: Seconds, event: events.DispatchRequested
    ) -> Iterator[Command | Event]:
        self._check_timer.ensure_started(now)
        yield from self._admit(now, event.request)

    def _admit(self, now: Seconds, request: Request) -> Iterator[Command | Event]:
        refused = self._refuse_or_hold(now, request)
        if refused is not None:
            yield self._finish(request, refused)
            return
        if request.id in self._held:
            return
        repeated = self._check_repeat(now, request)
        if repeated is not None:
            yield self._finish(request, repeated)
            return
        yield from self._enqueue(now, request)

    def _refuse_or_hold(self, now: Seconds, request: Request) -> Response | None:
        """Check the slice and the lease.

        Returns
        -------
        Response or None
            Refusal if the local member does not own the slice or the hold has run out.
            With none, the request was put on hold if it is in `_held`; otherwise it may
            be admitted.
        """
        if request.slice is not None:
            status = self._ownership.status(request.slice)
            if status is SliceStatus.NOT_OWNED:
                return refusal(ErrorKind.NOT_OWNER)
            if status is SliceStatus.SERVING and self._lease.is_held(now):
                return None
        elif self._lease.is_held(now):
            return None
        if now >= self._hold_ends_at(request):
            return refusal(ErrorKind.NO_OWNER, "the hold for the owner has run out")
        self._held[request.id] = request
        return None

    @staticmethod
    def _hold_ends_at(request: Request) -> Seconds:
        return min(request.deadline, request.arrived_at + request.service.hold_s)

    def _check_repeat(self, now: Seconds, request: Request) -> Response | None:
        if request.idempotency_key is None or request.slice is None:
            return None
        table = self._ownership.outcomes(request.slice)
        repeat, response = table.begin(now, request)
        if repeat is KeyStatus.FIRST:
            return None
        return response or refusal(_KIND_BY_REPEAT[repeat])

    def _enqueue(self, now: Seconds, request: Request) -> Iterator[Command | Event]:
        admission = self._admission(request)
        if now + admission.expected_wait_s(request) >= request.deadline:
            yield self._refuse(request, ErrorKind.DEADLINE_UNREACHABLE)
            return
        evicted = admission.push(request)
        if evicted is not None:
            yield self._refuse(evicted, ErrorKind.OVERLOADED)
        yield from self._dispatch(now, admission)

    def _admission(self, request: Request) -> AdmissionController:
        name = request.service.name
        admission = self._admission_by_service.get(name)
        if admission is None:
            admission = AdmissionController(request.service)
            self._admission_by_service[name] = admission
        return admission

    # Sending orders

    def _dispatch(
        self, now: Seconds, admission: AdmissionController
    ) -> Iterator[Command | Event]:
        for request in admission.next_requests():
            if not self._may_run(now, request):
                admission.finish(request.id)
                self._record_outcome(request, refusal(ErrorKind.NOT_OWNER))
                yield from self._admit(now, request)
            elif now >= request.deadline:
                admission.finish(request.id)
                yield self._refuse(request, ErrorKind.DEADLINE_UNREACHABLE)
            else:
                yield self._send_order(now, request)

    def _may_run(self, now: Seconds, request: Request) -> bool:
        if not self._lease.is_held(now):
            return False
        if request.slice is None:
            return True
        return self._ownership.status(request.slice) is SliceStatus.SERVING

    def _send_order(self, now: Seconds, request: Request) -> Command:
        deadline = request.deadline
        if not self._context.join.checks_grants:
            deadline = min(deadline, now + request.service.order_cap_s)
        epoch = 0
        if request.slice is not None:
            epoch = self._ownership.epoch(request.slice)
            self._ownership.add_order(request.slice)
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
        if is_reported_not_run(event.response):
            admission.limit.record_overload(now)
            response = refusal(ErrorKind.TARGET_REFUSED)
        else:
            response = _without_daemon_headers(event.response)
            admission.record_answer(now, order.request, now - order.sent_at)
        yield from self._close_order(now, order, response)

    def _on_order_failed(
        self, now: Seconds, event: events.OrderFailed
    ) -> Iterator[Command | Event]:
        order = self._order_by_id.get(event.request_id)
        if order is None:
            return
        self._admission(order.request).limit.record_overload(now)
        if event.written and now < order.effects_end_at:
            # The target may still run the order, so its slice must not be released.
            yield from self._answer_before_end(order, refusal(event.kind))
            return
        yield from self._close_order(now, order, refusal(event.kind))

    def _answer_before_end(self, order: _Order, response: Response) -> Iterator[Event]:
        if not order.answered:
            order.answered = True
            self._admission(order.request).finish(order.request.id)
            self._record_outcome(order.request, response)
            yield self._finish(order.request, response)

    def _close_order(
        self, now: Seconds, order: _Order, response: Response
    ) -> Iterator[Command | Event]:
        request = order.request
        del self._order_by_id[request.id]
        if request.slice is not None:
            self._ownership.remove_order(request.slice)
        admission = self._admission(request)
        admission.finish(request.id)
        # The outcome is recorded even if the caller was answered before. A repeat then
        # gets the answer that came too late, or it runs if the target reports that the
        # order did not run.
        self._record_outcome(request, response)
        if not order.answered:
            yield self._finish(request, response)
        yield from self._dispatch(now, admission)

    def _record_outcome(self, request: Request, response: Response) -> None:
        if request.idempotency_key is None or request.slice is None:
            return
        table = self._ownership.retained_outcomes(request.slice)
        if table is not None:
            table.finish(request, response)

    def _refuse(self, request: Request, kind: ErrorKind) -> Event:
        response = refusal(kind)
        self._record_outcome(request, response)
        return self._finish(request, response)

    def _finish(self, request: Request, response: Response) -> Event:
        name = response.kind.value if response.kind else "answered"
        self.outcomes_by_kind[name] = self.outcomes_by_kind.get(name, 0) + 1
        return events.RequestFinished(request, response)

    # Deadlines and changes of ownership or intent

    def _on_check_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        self._check_timer.record_fired()
        if self.unfinished_requests:
            self._check_timer.ensure_started(now)
        yield from self._retry_held(now)
        for admission in self._admission_by_service.values():
            for request in admission.remove_all(lambda each: now >= each.deadline):
                yield self._refuse(request, ErrorKind.DEADLINE_UNREACHABLE)
        for order in list(self._order_by_id.values()):
            yield from self._check_order(now, order)

    def _check_order(self, now: Seconds, order: _Order) -> Iterator[Command | Event]:
        request = order.request
        if now - order.sent_at >= LONG_WORK_S:
            self._admission(request).record_long_running(request, now - order.sent_at)
        if now >= request.deadline and not order.answered:
            yield commands.CancelOrder(request.id)
            order.answered = True
            response = refusal(ErrorKind.DEADLINE_PASSED)
            self._record_outcome(request, response)
            yield self._finish(request, response)
        margin = self._context.timing.heartbeat_s
        if order.answered and now >= order.effects_end_at + margin:
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
                yield self._refuse(request, ErrorKind.CALLER_GONE)
                return
        order = self._order_by_id.get(event.request_id)
        if order is not None and order.request.idempotency_key is None:
            yield commands.CancelOrder(event.request_id)

    def _on_abort_slice(
        self, now: Seconds, event: events.SliceDrainTimedOut
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
            yield from self._refuse_moved()

    def _on_directory_changed(self, now: Seconds, event: Event) -> Iterator[Command]:
        yield from self._configure()

    def _configure(self) -> Iterator[Command]:
        """Apply the limits of the intent in force."""
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
        """Assign the requests for a key to the slice that it belongs to now.

        This follows a split or merge; orders in flight are counted for the new slice.
        """
        ref = self._context.directory.slice_of(service, key)
        for order in self._order_by_id.values():
            request = order.request
            if request.owner_key == key and request.service.name == service:
                self._ownership.move_order(request.slice, ref)
                request.slice = ref
        waiting = self._admission_by_service.get(service)
        for request in [*self._held.values(), *(waiting or ())]:
            if request.owner_key == key and request.service.name == service:
                request.slice = ref

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        yield from self._refuse_moved()

    def _refuse_moved(self) -> Iterator[Event]:
        """Refuse waiting requests for slices that this member does not serve any more.

        It must happen before the slices are released: otherwise a request that never
        ran would be handed over to the next owner as one that may have run.
        """
        for admission in self._admission_by_service.values():
            for request in admission.remove_all(self._is_moved):
                yield self._refuse(request, ErrorKind.NOT_OWNER)

    def _is_moved(self, request: Request) -> bool:
        if request.slice is None:
            return False
        return self._ownership.status(request.slice) is not SliceStatus.SERVING


def _without_daemon_headers(response: Response) -> Response:
    """Drop headers that only daemons may set, so that a target cannot forge them."""
    kept = tuple(
        (name, value)
        for name, value in response.headers
        if not name.lower().startswith(HEADER_PREFIX)
    )
    return Response(response.status, kept, response.body)


def is_reported_not_run(response: Response) -> bool:
    """Return whether a target states that it has not executed an order."""
    return any(name.lower() == NOT_RUN_HEADER for name, _ in response.headers)
