"""The planned stop of a member, which interrupts no request.

The member takes no new work, hands its slices over to other members and leaves the mesh
when nothing is left to do.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.records import Leave, Retire

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.handover import Ownership
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.membership import Membership
    from rhubarbhall.core.order_dispatcher import OrderDispatcher
    from rhubarbhall.core.routing import Router
    from rhubarbhall.core.witness import Witness
    from rhubarbhall.types import RecordId, Seconds

#: Interval between checks of the progress, in seconds.
CHECK_INTERVAL_S = 0.1
#: Time for which a member that has handed everything over stays up before it leaves, in
#: seconds. As a former owner it answers late requests for releases in this time.
LINGER_TIMEOUT_S = 0.5


class Stage(enum.Enum):
    """Stage of a planned stop; the member names are written to the dump."""

    RUNNING = enum.auto()
    RETIRING = enum.auto()
    HANDING_OVER = enum.auto()
    LINGERING = enum.auto()
    LEAVING = enum.auto()
    ENDED = enum.auto()


class Drain:
    """Takes the local member through the stages of a planned stop.

    It makes the other parts stop one after the other and then ends the process.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share.
    membership : Membership
        Stops joining once the stop is requested.
    ownership : Ownership
        Slices that the member still releases or takes over.
    order_dispatcher : OrderDispatcher
        Orders that the target still runs or that wait for it.
    router : Router
        Requests of callers that are not answered yet.
    witness : Witness
        Stops renewing leases before the member leaves.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        ownership: Ownership,
        order_dispatcher: OrderDispatcher,
        router: Router,
        witness: Witness,
    ) -> None:
        self._context = context
        self._membership = membership
        self._ownership = ownership
        self._order_dispatcher = order_dispatcher
        self._router = router
        self._witness = witness
        self._pending: RecordId | None = None
        self._handed_over_at: Seconds | None = None
        self.stage = Stage.RUNNING

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.StopRequested: self._on_stop_requested,
            events.DrainCheckDue: self._on_drain_due,
            events.AppendDecided: self._on_settled,
            events.Fenced: self._on_fenced,
        }

    def _on_stop_requested(
        self, now: Seconds, event: Event
    ) -> Iterator[Command | Event]:
        if self.stage is not Stage.RUNNING:
            return
        self._membership.stopping = True
        self._context.timers.every(CHECK_INTERVAL_S, events.DrainCheckDue(), first=now)
        yield LogEvent(301, {"member": self._context.member_id})
        if self._context.member is None:
            self.stage = Stage.LEAVING
            return
        self.stage = Stage.RETIRING
        yield self._submit(Retire(self._context.member_id))

    def _submit(self, record: Retire | Leave) -> Event:
        self._pending = self._context.new_record_id()
        return events.AppendRequested(self._pending, record)

    def _on_settled(self, now: Seconds, event: events.AppendDecided) -> Iterator[Event]:
        if event.record_id != self._pending:
            return
        self._pending = None
        if self.stage is Stage.RETIRING:
            self.stage = Stage.HANDING_OVER
        yield from ()

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        if self.stage is not Stage.RUNNING:
            self._pending = None
            self.stage = Stage.LEAVING
        yield from ()

    def _on_drain_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        if self.stage is Stage.HANDING_OVER and self._has_handed_over():
            self.stage = Stage.LINGERING
            self._handed_over_at = now
        elif self.stage is Stage.LINGERING:
            if not self._has_handed_over():
                self.stage = Stage.HANDING_OVER
            elif now - self._handed_over_at >= LINGER_TIMEOUT_S:
                # No lease is renewed from here on, so the record can count as
                # proof that this witness has stopped renewing.
                self._witness.renewals_stopped = True
                self.stage = Stage.LEAVING
                yield self._submit(Leave(self._context.member_id))
        elif self.stage is Stage.LEAVING and self._has_left():
            self.stage = Stage.ENDED
            yield LogEvent(302, {"member": self._context.member_id})
            yield commands.Exit()

    def _has_handed_over(self) -> bool:
        if (
            self._context.member_id is None
            or self._order_dispatcher.unfinished_requests
        ):
            return False
        if self._ownership.releasing or self._ownership.taking_over:
            return False
        return not self._owns_transferable_slices()

    def _owns_transferable_slices(self) -> bool:
        directory = self._context.directory
        return any(
            directory.choose_owner(
                ref.service, ref.index, exclude=self._context.member_id
            )
            is not None
            for ref in directory.slices_of(self._context.member_id)
        )

    def _has_left(self) -> bool:
        waiting = self._pending is not None or self._context.member is not None
        return (
            not waiting
            and not self._order_dispatcher.unfinished_requests
            and not self._router.in_flight
        )
