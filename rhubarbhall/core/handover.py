"""Ownership of slices by this member: taking over, serving, releasing."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.idempotency import OutcomeTable, vouched_from
from rhubarbhall.core.members import Closing
from rhubarbhall.core.records import Merge, Split
from rhubarbhall.core.slices import SliceRef, slice_of_key
from rhubarbhall.core.timers import OnDemandTimer

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.directory import Applied
    from rhubarbhall.core.events import Event, ReleasedSlice
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.types import Epoch, MemberId, Seconds

#: Time between questions to former owners.
ASK_S = 0.03
#: Time after which an unanswered question is repeated.
ASK_TIMEOUT_S = 0.5
#: Time for which the table of a slice that was let go is kept for its new owner.
RELEASED_AGE_S = 60.0


class SliceStatus(enum.Enum):
    """How this member stands to a slice."""

    NOT_MINE = enum.auto()
    TAKING_OVER = enum.auto()
    SERVING = enum.auto()


@dataclass(slots=True)
class _TakeOver:
    """A slice that is this member's by the log and not yet served.

    Parameters
    ----------
    never_held : int
        Former owners that released it without ever having served it.
    best : ReleasedSlice, optional
        Release by the owner that served it last, among those heard of.
    """

    epoch: Epoch
    open_owners: set[MemberId]
    not_before: Seconds
    never_held: int = 0
    best: ReleasedSlice | None = None

    def knows_every_owner(self) -> bool:
        """Tell whether no owner after the best one can have run anything.

        Each epoch had one owner. Those between the best one and this member
        must all have said that they never served; one that was closed by a
        verdict may have run requests that nobody remembers.
        """
        held_epoch = self.best.held_epoch if self.best is not None else 0
        return held_epoch + self.never_held == self.epoch - 1


@dataclass(slots=True)
class _Held:
    """A slice that this member serves, or served until it was moved."""

    epoch: Epoch
    outcomes: OutcomeTable
    released_since: Seconds | None = None


class Ownership:
    """Follows the log's word on slices and settles with former owners."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._take_over_by_slice: dict[SliceRef, _TakeOver] = {}
        self._held_by_slice: dict[SliceRef, _Held] = {}
        self._released_by_slice: dict[SliceRef, _Held] = {}
        self._not_before_by_slice: dict[SliceRef, Seconds] = {}
        self._in_flight_by_slice: Counter[SliceRef] = Counter()
        self._asked_at_by_member: dict[MemberId, Seconds] = {}
        self._ask_timer = OnDemandTimer(context.timers, ASK_S, events.HandoverDue())

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.HandoverDue: self._on_handover_due,
            events.JoinDue: self._on_housekeeping_due,
            events.ReleaseAsked: self._on_release_asked,
            events.ReleaseAnswered: self._on_release_answered,
            events.Fenced: self._on_fenced,
        }

    # Reading

    def status(self, ref: SliceRef) -> SliceStatus:
        """Return how this member stands to a slice."""
        if ref in self._held_by_slice:
            return SliceStatus.SERVING
        if ref in self._take_over_by_slice:
            return SliceStatus.TAKING_OVER
        return SliceStatus.NOT_MINE

    def epoch(self, ref: SliceRef) -> Epoch:
        """Return the epoch under which a served slice is held."""
        return self._held_by_slice[ref].epoch

    def outcomes(self, ref: SliceRef) -> OutcomeTable:
        """Return the table of idempotency keys of a served slice."""
        return self._held_by_slice[ref].outcomes

    def table_of_attempt(self, ref: SliceRef) -> OutcomeTable | None:
        """Return the table that an attempt in this slice was noted in."""
        held = self._held_by_slice.get(ref) or self._released_by_slice.get(ref)
        return held.outcomes if held else None

    @property
    def served(self) -> frozenset[SliceRef]:
        """Slices that this member serves while it holds its lease."""
        return frozenset(self._held_by_slice)

    @property
    def taking_over(self) -> Mapping[SliceRef, tuple[MemberId, ...]]:
        """Slices being taken over, with the former owners waited for."""
        return {
            ref: tuple(sorted(take_over.open_owners))
            for ref, take_over in self._take_over_by_slice.items()
        }

    def waits_until(self, ref: SliceRef) -> Seconds | None:
        """Return when the wait for an unchecked target ends, if there is one."""
        take_over = self._take_over_by_slice.get(ref)
        return take_over.not_before if take_over else None

    @property
    def releasing(self) -> frozenset[SliceRef]:
        """Moved slices with orders still in flight."""
        return frozenset(
            ref for ref in self._released_by_slice if self._in_flight_by_slice[ref]
        )

    # Counting orders

    def enter(self, ref: SliceRef) -> None:
        """Note that an order of a slice begins."""
        self._in_flight_by_slice[ref] += 1

    def exit(self, ref: SliceRef) -> None:
        """Note that an order of a slice can have no effect any more."""
        self._in_flight_by_slice[ref] -= 1
        if self._in_flight_by_slice[ref] <= 0:
            del self._in_flight_by_slice[ref]

    # Following the log

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        applied = event.applied
        self._note_closed(now, applied)
        if applied.void is None and isinstance(applied.record, Split):
            yield from self._split_out(applied.record, applied.moved[0])
        elif applied.void is None and isinstance(applied.record, Merge):
            self._merge_back(applied.record, applied.moved[0])
        for ref in applied.moved:
            self._look_at(now, ref)
        yield from self._finish_take_overs(now)

    def _note_closed(self, now: Seconds, applied: Applied) -> None:
        until = now + max((self._wait_for(each) for each in applied.closed), default=0)
        for take_over in self._take_over_by_slice.values():
            if take_over.open_owners.intersection(applied.closed):
                take_over.open_owners.difference_update(applied.closed)
                take_over.not_before = max(take_over.not_before, until)
        if until > now:
            for ref in applied.moved:
                known = self._not_before_by_slice.get(ref, until)
                self._not_before_by_slice[ref] = max(known, until)

    def _wait_for(self, member_id: MemberId) -> Seconds:
        """Return how long effects of a closed member may still come."""
        closed = self._context.directory.closed_by_id[member_id]
        timing = self._context.timing
        wait = 0.0
        if closed.reason is Closing.DECLARED_LOST:
            wait += timing.silence_s
        ended_by_force = closed.reason in (Closing.FAILED_OVER, Closing.DECLARED_LOST)
        if ended_by_force and not closed.member.join.checks_grants:
            services = self._context.directory.intent.services.values()
            longest = max((each.order_cap_s for each in services), default=0.0)
            wait += longest * (1 + timing.drift_bound)
        return wait

    def _split_out(self, record: Split, ref: SliceRef) -> Iterator[Event]:
        """Serve the slice of a hot key on, if this member serves its parent."""
        parent = self._held_by_slice.get(self._parent_of(record))
        if record.owner != self._context.me or parent is None:
            return
        epoch = self._context.directory.epoch_of(ref.service, ref.index)
        self._held_by_slice[ref] = _Held(epoch, parent.outcomes.split_out(record.key))
        yield events.SliceAcquired(ref)

    def _merge_back(self, record: Merge, ref: SliceRef) -> None:
        parent = self._held_by_slice.get(self._parent_of(record))
        held = self._held_by_slice.get(ref)
        if parent is not None and held is not None:
            parent.outcomes.absorb(held.outcomes)

    def _parent_of(self, record: Split | Merge) -> SliceRef:
        table = self._context.directory.table_by_service[record.service]
        return SliceRef(record.service, slice_of_key(record.key, table.hashed))

    def relabel(self, old: SliceRef, new: SliceRef) -> None:
        """Count an order in flight under another slice."""
        self.exit(old)
        self.enter(new)

    def _look_at(self, now: Seconds, ref: SliceRef) -> None:
        """Bring the status of one slice into line with the directory."""
        directory = self._context.directory
        table = directory.table_by_service.get(ref.service)
        epoch = table.epochs[ref.index] if table is not None else 0
        mine = table is not None and (
            directory.owner_of(ref.service, ref.index) == self._context.me
        )
        held = self._held_by_slice.get(ref)
        if held is not None and not (mine and held.epoch == epoch):
            held.released_since = now
            self._released_by_slice[ref] = self._held_by_slice.pop(ref)
        if not mine:
            self._take_over_by_slice.pop(ref, None)
        elif ref not in self._held_by_slice:
            self._begin_take_over(now, ref, epoch)

    def _begin_take_over(self, now: Seconds, ref: SliceRef, epoch: Epoch) -> None:
        known = self._take_over_by_slice.get(ref)
        if known is not None and known.epoch == epoch:
            return
        former = self._context.directory.predecessors_of(ref.service, ref.index)
        take_over = _TakeOver(
            epoch=epoch,
            open_owners=set(former) - {self._context.me},
            not_before=self._not_before_by_slice.get(ref, now),
        )
        own = self._released_by_slice.get(ref)
        if self._context.me in former and own is not None:
            take_over.best = self._release(now, ref, epoch, own)
        self._take_over_by_slice[ref] = take_over
        self._ask_timer.want(now)

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        """Compare everything: the records in between were not seen singly."""
        directory = self._context.directory
        unchecked = [
            each for each in directory.closed_by_id if self._wait_for(each) > 0
        ]
        wait = max(map(self._wait_for, unchecked), default=0.0)
        wanted = set(directory.slices_of(self._context.me))
        for ref in wanted | set(self._held_by_slice) | set(self._take_over_by_slice):
            if wait:
                self._not_before_by_slice[ref] = now + wait
            self._look_at(now, ref)
        for take_over in self._take_over_by_slice.values():
            for owner in list(take_over.open_owners):
                if not directory.is_live(owner):
                    take_over.open_owners.discard(owner)
        yield from self._finish_take_overs(now)

    # Taking over

    def _on_handover_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        self._ask_timer.note_fired()
        yield from self._finish_take_overs(now)
        yield from self._ask_former_owners(now)
        if self._take_over_by_slice:
            self._ask_timer.want(now)

    def _on_housekeeping_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        yield from self._abort_slow_orders(now)
        self._forget_released(now)
        self._forget_waits(now)

    def _finish_take_overs(self, now: Seconds) -> Iterator[Event]:
        if self._context.outdated:
            return
        for ref, take_over in list(self._take_over_by_slice.items()):
            if take_over.open_owners or now < take_over.not_before:
                continue
            del self._take_over_by_slice[ref]
            self._released_by_slice.pop(ref, None)
            self._held_by_slice[ref] = _Held(
                take_over.epoch, self._table_for(now, take_over)
            )
            yield events.SliceAcquired(ref)

    def _table_for(self, now: Seconds, take_over: _TakeOver) -> OutcomeTable:
        if not take_over.knows_every_owner():
            return OutcomeTable(vouched_from(self._context.wall_ms()))
        table = OutcomeTable(0)
        best = take_over.best
        if best is not None:
            table.take_over(now, best.vouched_since_ms, best.outcomes)
        return table

    def _ask_former_owners(self, now: Seconds) -> Iterator[Command]:
        wanted: dict[MemberId, list[tuple[SliceRef, Epoch]]] = defaultdict(list)
        for ref, take_over in self._take_over_by_slice.items():
            for owner in take_over.open_owners:
                wanted[owner].append((ref, take_over.epoch))
        for owner, slices in wanted.items():
            asked_at = self._asked_at_by_member.get(owner)
            if asked_at is not None and now - asked_at < ASK_TIMEOUT_S:
                continue
            address = self._context.peer_address(owner)
            if address is None:
                continue
            self._asked_at_by_member[owner] = now
            offset = self._context.directory.next_offset
            yield commands.AskRelease(address, owner, tuple(slices), offset)

    def _on_release_answered(
        self, now: Seconds, event: events.ReleaseAnswered
    ) -> Iterator[Event]:
        self._asked_at_by_member.pop(event.former, None)
        for released in event.released:
            take_over = self._take_over_by_slice.get(released.slice)
            if take_over is None or take_over.epoch != released.epoch:
                continue
            if event.former not in take_over.open_owners:
                continue
            take_over.open_owners.discard(event.former)
            self._note_release(take_over, released)
        yield from self._finish_take_overs(now)

    @staticmethod
    def _note_release(take_over: _TakeOver, released: ReleasedSlice) -> None:
        best = take_over.best
        if not released.held_epoch:
            take_over.never_held += 1
        elif best is None or best.held_epoch < released.held_epoch:
            take_over.best = released

    # Releasing

    def _on_release_asked(
        self, now: Seconds, event: events.ReleaseAsked
    ) -> Iterator[Command]:
        released = []
        behind = self._context.directory.next_offset < event.offset
        if event.former == self._context.me and not behind:
            for ref, epoch in event.slices:
                if self._has_stopped(ref, epoch):
                    held = self._released_by_slice.get(ref)
                    released.append(self._release(now, ref, epoch, held))
        yield commands.ReplyRelease(tuple(released))

    def _has_stopped(self, ref: SliceRef, epoch: Epoch) -> bool:
        held = self._held_by_slice.get(ref)
        if held is not None and held.epoch < epoch:
            return False
        return not self._in_flight_by_slice[ref]

    def _release(
        self, now: Seconds, ref: SliceRef, epoch: Epoch, held: _Held | None
    ) -> ReleasedSlice:
        if held is None:
            return events.ReleasedSlice(ref, epoch, 0, 0, ())
        return events.ReleasedSlice(
            ref,
            epoch,
            held.epoch,
            held.outcomes.vouched_since_ms,
            tuple(held.outcomes.outcomes(now)),
        )

    def _abort_slow_orders(self, now: Seconds) -> Iterator[Event]:
        for ref, held in self._released_by_slice.items():
            since = held.released_since
            if since is None or not self._in_flight_by_slice[ref]:
                continue
            if now - since > self._context.timing.drain_s:
                yield events.AbortSlice(ref)

    def _forget_released(self, now: Seconds) -> None:
        for ref, held in list(self._released_by_slice.items()):
            old = now - (held.released_since or now) > RELEASED_AGE_S
            if old and not self._in_flight_by_slice[ref]:
                del self._released_by_slice[ref]

    def _forget_waits(self, now: Seconds) -> None:
        for ref, until in list(self._not_before_by_slice.items()):
            if until <= now:
                del self._not_before_by_slice[ref]

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._held_by_slice.clear()
        self._take_over_by_slice.clear()
        self._released_by_slice.clear()
        yield from ()
