"""The planned stop: nothing new, everything handed over, nothing cut."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.commands import Note
from rhubarbhall.core.records import Leave, Retire

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.gate import Gate
    from rhubarbhall.core.handover import Ownership
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.membership import Membership
    from rhubarbhall.core.routing import Router
    from rhubarbhall.core.witness import Witness
    from rhubarbhall.types import RecordId, Seconds

#: Time between looks at the progress.
LOOK_S = 0.1
#: Quiet time before the end, in which former owners answer late questions.
LINGER_S = 0.5


class Stage(enum.Enum):
    """How far a planned stop has come."""

    RUNNING = enum.auto()
    RETIRING = enum.auto()
    HANDING_OVER = enum.auto()
    LINGERING = enum.auto()
    LEAVING = enum.auto()
    ENDED = enum.auto()


class Drain:
    """Leads a member from the request to stop to its end."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        ownership: Ownership,
        gate: Gate,
        router: Router,
        witness: Witness,
    ) -> None:
        self._context = context
        self._membership = membership
        self._ownership = ownership
        self._gate = gate
        self._router = router
        self._witness = witness
        self._pending: RecordId | None = None
        self._quiet_since: Seconds | None = None
        self.stage = Stage.RUNNING

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.StopRequested: self._on_stop_requested,
            events.DrainDue: self._on_due,
            events.Settled: self._on_settled,
            events.Fenced: self._on_fenced,
        }

    def _on_stop_requested(
        self, now: Seconds, event: Event
    ) -> Iterator[Command | Event]:
        if self.stage is not Stage.RUNNING:
            return
        self._membership.stopping = True
        self._context.timers.every(LOOK_S, events.DrainDue(), first=now)
        yield Note(301, {"member": self._context.me})
        if self._context.member is None:
            self.stage = Stage.LEAVING
            return
        self.stage = Stage.RETIRING
        yield self._submit(Retire(self._context.me))

    def _submit(self, record: Retire | Leave) -> Event:
        self._pending = self._context.new_record_id()
        return events.Submit(self._pending, record)

    def _on_settled(self, now: Seconds, event: events.Settled) -> Iterator[Event]:
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

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        if self.stage is Stage.HANDING_OVER and self._nothing_left():
            self.stage = Stage.LINGERING
            self._quiet_since = now
        elif self.stage is Stage.LINGERING:
            if not self._nothing_left():
                self.stage = Stage.HANDING_OVER
            elif now - self._quiet_since >= LINGER_S:
                # From here on nobody's lease is renewed, so that the record
                # may tell others that this witness is gone.
                self._witness.retired = True
                self.stage = Stage.LEAVING
                yield self._submit(Leave(self._context.me))
        elif self.stage is Stage.LEAVING and self._has_left():
            self.stage = Stage.ENDED
            yield Note(302, {"member": self._context.me})
            yield commands.Exit()

    def _nothing_left(self) -> bool:
        if self._context.me is None or self._gate.busy:
            return False
        if self._ownership.releasing or self._ownership.taking_over:
            return False
        return not self._owns_what_others_could_take()

    def _owns_what_others_could_take(self) -> bool:
        directory = self._context.directory
        return any(
            directory.choose_owner(ref.service, ref.index, exclude=self._context.me)
            is not None
            for ref in directory.slices_of(self._context.me)
        )

    def _has_left(self) -> bool:
        waiting = self._pending is not None or self._context.member is not None
        return not waiting and not self._gate.busy and not self._router.in_flight
