"""Handover of slices between members: taking over, serving and releasing.

The log decides which member owns a slice. A new owner serves the slice only after every
former owner has released it or can have no effect any more, and it takes over the
outcomes that the former owners kept for idempotency keys.
"""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.idempotency import OutcomeTable, empty_table_vouched_since_ms
from rhubarbhall.core.members import EndReason
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

#: Interval of the checks whether release requests are due, in seconds.
RELEASE_CHECK_INTERVAL_S = 0.03
#: Time after which an unanswered release request is repeated, in seconds.
RELEASE_REQUEST_TIMEOUT_S = 0.5
#: Time for which the outcomes of a released slice are kept for its new owner, in
#: seconds.
RELEASED_RETENTION_S = 60.0


class SliceStatus(enum.Enum):
    """State of a slice at the local member."""

    NOT_OWNED = enum.auto()
    TAKING_OVER = enum.auto()
    SERVING = enum.auto()


@dataclass(slots=True)
class _TakeOver:
    """A slice that the local member owns by the log but does not serve yet.

    Parameters
    ----------
    epoch : int
        Epoch under which the local member owns the slice.
    pending_owners : set of str
        Former owners that have not released the slice yet.
    not_before : float
        Time before which the slice is not served, on the local monotonic clock, in
        seconds.
    never_served_count : int
        Number of former owners that released the slice without having served it.
    latest_release : ReleasedSlice, optional
        Of the releases received so far, the one with the highest epoch under which the
        slice was served.
    """

    epoch: Epoch
    pending_owners: set[MemberId]
    not_before: Seconds
    never_served_count: int = 0
    latest_release: ReleasedSlice | None = None

    def covers_every_owner(self) -> bool:
        """Return whether `latest_release` has the outcomes of all former owners.

        Each epoch had one owner. The owners between the one of `latest_release` and the
        local member must all have reported that they never served the slice: one that
        was closed by a verdict may have run requests whose outcomes are lost.
        """
        latest_epoch = (
            self.latest_release.held_epoch if self.latest_release is not None else 0
        )
        return latest_epoch + self.never_served_count == self.epoch - 1


@dataclass(slots=True)
class _HeldSlice:
    """A slice that the local member serves, or served until it lost the slice.

    Parameters
    ----------
    epoch : int
        Epoch under which the slice is or was served.
    outcomes : OutcomeTable
        Outcomes of its requests by their idempotency keys.
    released_at : float, optional
        Time at which the local member stopped serving it, on the local monotonic
        clock, in seconds; none while it is served.
    """

    epoch: Epoch
    outcomes: OutcomeTable
    released_at: Seconds | None = None


class Ownership:
    """Ownership of slices by the local member, as the log records it.

    It takes over slices that the log assigns to the local member, requests their
    release from former owners, and releases the slices that the local member has lost.

    Parameters
    ----------
    context : Context
        Identity, time and directory of the local member.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._take_over_by_slice: dict[SliceRef, _TakeOver] = {}
        self._held_by_slice: dict[SliceRef, _HeldSlice] = {}
        self._released_by_slice: dict[SliceRef, _HeldSlice] = {}
        self._not_before_by_slice: dict[SliceRef, Seconds] = {}
        self._in_flight_by_slice: Counter[SliceRef] = Counter()
        self._requested_at_by_member: dict[MemberId, Seconds] = {}
        self._release_timer = OnDemandTimer(
            context.timers, RELEASE_CHECK_INTERVAL_S, events.ReleaseRequestDue()
        )

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.RecordApplied: self._on_record_applied,
            events.DirectoryLoaded: self._on_directory_loaded,
            events.ReleaseRequestDue: self._on_handover_due,
            events.JoinCheckDue: self._on_housekeeping_due,
            events.ReleaseRequested: self._on_release_asked,
            events.ReleaseAnswered: self._on_release_answered,
            events.Fenced: self._on_fenced,
        }

    # Reading

    def status(self, ref: SliceRef) -> SliceStatus:
        """Return the state of a slice at the local member."""
        if ref in self._held_by_slice:
            return SliceStatus.SERVING
        if ref in self._take_over_by_slice:
            return SliceStatus.TAKING_OVER
        return SliceStatus.NOT_OWNED

    def epoch(self, ref: SliceRef) -> Epoch:
        """Return the epoch under which the local member serves a slice."""
        return self._held_by_slice[ref].epoch

    def outcomes(self, ref: SliceRef) -> OutcomeTable:
        """Return the outcomes of a slice that the local member serves."""
        return self._held_by_slice[ref].outcomes

    def retained_outcomes(self, ref: SliceRef) -> OutcomeTable | None:
        """Return the outcomes of a slice that is served or was until its release."""
        held = self._held_by_slice.get(ref) or self._released_by_slice.get(ref)
        return held.outcomes if held else None

    @property
    def served(self) -> frozenset[SliceRef]:
        """Slices that the local member serves while it holds its lease."""
        return frozenset(self._held_by_slice)

    @property
    def taking_over(self) -> Mapping[SliceRef, tuple[MemberId, ...]]:
        """Slices being taken over, each with the former owners yet to release it."""
        return {
            ref: tuple(sorted(take_over.pending_owners))
            for ref, take_over in self._take_over_by_slice.items()
        }

    def takeover_not_before(self, ref: SliceRef) -> Seconds | None:
        """Return the time before which a slice that is taken over is not served.

        Until then a former owner that the log has closed, or its target, may still have
        effects. Returns none if the slice is not being taken over.
        """
        take_over = self._take_over_by_slice.get(ref)
        return take_over.not_before if take_over else None

    @property
    def releasing(self) -> frozenset[SliceRef]:
        """Slices that the local member has lost while orders of them are in flight."""
        return frozenset(
            ref for ref in self._released_by_slice if self._in_flight_by_slice[ref]
        )

    # Orders in flight

    def add_order(self, ref: SliceRef) -> None:
        """Count an order of a slice that begins."""
        self._in_flight_by_slice[ref] += 1

    def remove_order(self, ref: SliceRef) -> None:
        """Stop counting an order of a slice: it can have no effect any more."""
        self._in_flight_by_slice[ref] -= 1
        if self._in_flight_by_slice[ref] <= 0:
            del self._in_flight_by_slice[ref]

    # Following the log

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        applied = event.applied
        self._record_closed_members(now, applied)
        if applied.void is None and isinstance(applied.record, Split):
            yield from self._split_out(applied.record, applied.moved[0])
        elif applied.void is None and isinstance(applied.record, Merge):
            self._merge_back(applied.record, applied.moved[0])
        for ref in applied.moved:
            self._update_slice(now, ref)
        yield from self._finish_take_overs(now)

    def _record_closed_members(self, now: Seconds, applied: Applied) -> None:
        until = now + max(
            (self._effects_wait_s(each) for each in applied.closed), default=0
        )
        for take_over in self._take_over_by_slice.values():
            if take_over.pending_owners.intersection(applied.closed):
                take_over.pending_owners.difference_update(applied.closed)
                take_over.not_before = max(take_over.not_before, until)
        if until > now:
            for ref in applied.moved:
                known = self._not_before_by_slice.get(ref, until)
                self._not_before_by_slice[ref] = max(known, until)

    def _effects_wait_s(self, member_id: MemberId) -> Seconds:
        """Return how long a closed member may still have effects, in seconds.

        A member that an operator declared lost may still believe that it holds its
        lease. A target that does not check grants may finish its running orders.
        """
        closed = self._context.directory.closed_by_id[member_id]
        timing = self._context.timing
        wait = 0.0
        if closed.reason is EndReason.DECLARED_LOST:
            wait += timing.lapse_timeout_s
        ended_by_force = closed.reason in (
            EndReason.FAILED_OVER,
            EndReason.DECLARED_LOST,
        )
        if ended_by_force and not closed.member.join.checks_grants:
            services = self._context.directory.intent.services.values()
            longest = max((each.order_cap_s for each in services), default=0.0)
            wait += longest * (1 + timing.drift_bound)
        return wait

    def _split_out(self, record: Split, ref: SliceRef) -> Iterator[Event]:
        """Serve the new slice of a hot key at once if its parent is served here."""
        parent = self._held_by_slice.get(self._parent_of(record))
        if record.owner != self._context.member_id or parent is None:
            return
        epoch = self._context.directory.epoch_of(ref.service, ref.index)
        self._held_by_slice[ref] = _HeldSlice(
            epoch, parent.outcomes.split_out(record.key)
        )
        yield events.SliceAcquired(ref)

    def _merge_back(self, record: Merge, ref: SliceRef) -> None:
        parent = self._held_by_slice.get(self._parent_of(record))
        held = self._held_by_slice.get(ref)
        if parent is not None and held is not None:
            parent.outcomes.absorb(held.outcomes)

    def _parent_of(self, record: Split | Merge) -> SliceRef:
        table = self._context.directory.table_by_service[record.service]
        return SliceRef(record.service, slice_of_key(record.key, table.hashed))

    def move_order(self, old: SliceRef, new: SliceRef) -> None:
        """Count an order in flight in the slice `new` instead of `old`."""
        self.remove_order(old)
        self.add_order(new)

    def _update_slice(self, now: Seconds, ref: SliceRef) -> None:
        """Update the state of one slice to match the directory."""
        directory = self._context.directory
        table = directory.table_by_service.get(ref.service)
        epoch = table.epochs[ref.index] if table is not None else 0
        is_owner = table is not None and (
            directory.owner_of(ref.service, ref.index) == self._context.member_id
        )
        held = self._held_by_slice.get(ref)
        if held is not None and not (is_owner and held.epoch == epoch):
            held.released_at = now
            self._released_by_slice[ref] = self._held_by_slice.pop(ref)
        if not is_owner:
            self._take_over_by_slice.pop(ref, None)
        elif ref not in self._held_by_slice:
            self._begin_take_over(now, ref, epoch)

    def _begin_take_over(self, now: Seconds, ref: SliceRef, epoch: Epoch) -> None:
        current = self._take_over_by_slice.get(ref)
        if current is not None and current.epoch == epoch:
            return
        former = self._context.directory.predecessors_of(ref.service, ref.index)
        take_over = _TakeOver(
            epoch=epoch,
            pending_owners=set(former) - {self._context.member_id},
            not_before=self._not_before_by_slice.get(ref, now),
        )
        held = self._released_by_slice.get(ref)
        if self._context.member_id in former and held is not None:
            take_over.latest_release = self._released_slice(now, ref, epoch, held)
        self._take_over_by_slice[ref] = take_over
        self._release_timer.ensure_started(now)

    def _on_directory_loaded(self, now: Seconds, event: Event) -> Iterator[Event]:
        """Update all slices, since a snapshot has no list of those that moved."""
        directory = self._context.directory
        closed = [
            each for each in directory.closed_by_id if self._effects_wait_s(each) > 0
        ]
        wait = max(map(self._effects_wait_s, closed), default=0.0)
        owned = set(directory.slices_of(self._context.member_id))
        for ref in owned | set(self._held_by_slice) | set(self._take_over_by_slice):
            if wait:
                self._not_before_by_slice[ref] = now + wait
            self._update_slice(now, ref)
        for take_over in self._take_over_by_slice.values():
            for owner in list(take_over.pending_owners):
                if not directory.is_live(owner):
                    take_over.pending_owners.discard(owner)
        yield from self._finish_take_overs(now)

    # Taking over

    def _on_handover_due(self, now: Seconds, event: Event) -> Iterator[Command | Event]:
        self._release_timer.record_fired()
        yield from self._finish_take_overs(now)
        yield from self._request_releases(now)
        if self._take_over_by_slice:
            self._release_timer.ensure_started(now)

    def _on_housekeeping_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        yield from self._time_out_drains(now)
        self._forget_released(now)
        self._forget_elapsed_waits(now)

    def _finish_take_overs(self, now: Seconds) -> Iterator[Event]:
        if self._context.outdated:
            return
        for ref, take_over in list(self._take_over_by_slice.items()):
            if take_over.pending_owners or now < take_over.not_before:
                continue
            del self._take_over_by_slice[ref]
            self._released_by_slice.pop(ref, None)
            self._held_by_slice[ref] = _HeldSlice(
                take_over.epoch, self._outcomes_after(now, take_over)
            )
            yield events.SliceAcquired(ref)

    def _outcomes_after(self, now: Seconds, take_over: _TakeOver) -> OutcomeTable:
        if not take_over.covers_every_owner():
            return OutcomeTable(empty_table_vouched_since_ms(self._context.wall_ms()))
        table = OutcomeTable(0)
        latest = take_over.latest_release
        if latest is not None:
            table.take_over(now, latest.vouched_since_ms, latest.outcomes)
        return table

    def _request_releases(self, now: Seconds) -> Iterator[Command]:
        by_owner: dict[MemberId, list[tuple[SliceRef, Epoch]]] = defaultdict(list)
        for ref, take_over in self._take_over_by_slice.items():
            for owner in take_over.pending_owners:
                by_owner[owner].append((ref, take_over.epoch))
        for owner, slices in by_owner.items():
            requested_at = self._requested_at_by_member.get(owner)
            if (
                requested_at is not None
                and now - requested_at < RELEASE_REQUEST_TIMEOUT_S
            ):
                continue
            address = self._context.peer_address(owner)
            if address is None:
                continue
            self._requested_at_by_member[owner] = now
            offset = self._context.directory.next_offset
            yield commands.RequestRelease(address, owner, tuple(slices), offset)

    def _on_release_answered(
        self, now: Seconds, event: events.ReleaseAnswered
    ) -> Iterator[Event]:
        self._requested_at_by_member.pop(event.former, None)
        for released in event.released:
            take_over = self._take_over_by_slice.get(released.slice)
            if take_over is None or take_over.epoch != released.epoch:
                continue
            if event.former not in take_over.pending_owners:
                continue
            take_over.pending_owners.discard(event.former)
            self._record_release(take_over, released)
        yield from self._finish_take_overs(now)

    @staticmethod
    def _record_release(take_over: _TakeOver, released: ReleasedSlice) -> None:
        latest = take_over.latest_release
        if not released.held_epoch:
            take_over.never_served_count += 1
        elif latest is None or latest.held_epoch < released.held_epoch:
            take_over.latest_release = released

    # Releasing

    def _on_release_asked(
        self, now: Seconds, event: events.ReleaseRequested
    ) -> Iterator[Command]:
        released = []
        # A member that is behind may not know yet that it has lost the slices.
        behind = self._context.directory.next_offset < event.offset
        if event.former == self._context.member_id and not behind:
            for ref, epoch in event.slices:
                if self._has_stopped(ref, epoch):
                    held = self._released_by_slice.get(ref)
                    released.append(self._released_slice(now, ref, epoch, held))
        yield commands.ReplyRelease(tuple(released))

    def _has_stopped(self, ref: SliceRef, epoch: Epoch) -> bool:
        """Return whether the local member has stopped serving a slice before `epoch`.

        It has if it does not serve the slice under an earlier epoch and no order of the
        slice is in flight.
        """
        held = self._held_by_slice.get(ref)
        if held is not None and held.epoch < epoch:
            return False
        return not self._in_flight_by_slice[ref]

    def _released_slice(
        self, now: Seconds, ref: SliceRef, epoch: Epoch, held: _HeldSlice | None
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

    def _time_out_drains(self, now: Seconds) -> Iterator[Event]:
        for ref, held in self._released_by_slice.items():
            since = held.released_at
            if since is None or not self._in_flight_by_slice[ref]:
                continue
            if now - since > self._context.timing.drain_s:
                yield events.SliceDrainTimedOut(ref)

    def _forget_released(self, now: Seconds) -> None:
        for ref, held in list(self._released_by_slice.items()):
            is_expired = now - (held.released_at or now) > RELEASED_RETENTION_S
            if is_expired and not self._in_flight_by_slice[ref]:
                del self._released_by_slice[ref]

    def _forget_elapsed_waits(self, now: Seconds) -> None:
        for ref, until in list(self._not_before_by_slice.items()):
            if until <= now:
                del self._not_before_by_slice[ref]

    def _on_fenced(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._held_by_slice.clear()
        self._take_over_by_slice.clear()
        self._released_by_slice.clear()
        yield from ()
