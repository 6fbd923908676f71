"""Hot keys: detecting them, splitting them out, moving them and merging them back.

A key that gets a large share of the requests of a busy target gets a slice of its own,
which moves to a less loaded target. Once the key is no longer hot, its slice returns to
the owner of the slice that the key hashes to (its parent slice) and is merged into it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import events
from rhubarbhall.core.peer_messages import Heartbeat, HeartbeatAnswer
from rhubarbhall.core.records import Merge, Move, Split
from rhubarbhall.core.slices import SliceRef, slice_of_key

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.handover import Ownership
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import MemberLease
    from rhubarbhall.core.order_dispatcher import OrderDispatcher
    from rhubarbhall.types import MemberId, RecordId, Seconds, ServiceName

#: Number of keys that the sketch counts at a time.
SKETCH_KEYS = 64
#: Of this many requests one is counted.
SAMPLING_PERIOD = 4
#: Interval of the checks of the sketch, in seconds.
CHECK_INTERVAL_S = 5.0
#: Least share of the counted requests of the local target that makes a key hot.
HOT_SHARE = 0.2
#: Share of the counted requests of the local target below which a key with a slice of
#: its own is cool, that is no longer hot.
COOL_SHARE = 0.05
#: Least number of counted requests in one interval from which hot keys are derived.
MIN_SAMPLES = 50
#: Least load of the local target at which hot keys are split out, in percent.
MIN_SPLIT_LOAD_PERCENT = 60
#: Least difference between the load of the local target and the load of a target that
#: gets a hot key, in percentage points.
MIN_LOAD_DIFFERENCE_PERCENT = 30
#: Number of successive checks at which a key must be cool before its slice returns.
COOL_CHECKS = 6
#: Number of successive checks at which a key must be cool before it is merged back, at
#: the owner of its parent slice, to which it has returned.
COOL_CHECKS_AT_PARENT = 2
#: Age up to which the reported load of another target is used, in seconds.
MAX_LOAD_AGE_S = 2.0


class HotKeySketch:
    """Counts the most frequent keys in bounded memory (the Space-Saving algorithm).

    A new key in a full sketch replaces the key with the smallest count and continues
    that count. So a count is never too low, and is too high by at most the smallest
    count.

    Parameters
    ----------
    capacity : int
        Number of keys counted at a time.
    """

    def __init__(self, capacity: int = SKETCH_KEYS) -> None:
        self._capacity = capacity
        self._count_by_key: dict[tuple[ServiceName, str], int] = {}
        #: Number of requests counted since the last `clear`.
        self.total = 0

    def add(self, service: ServiceName, key: str) -> None:
        """Count one request for a key."""
        self.total += 1
        counts = self._count_by_key
        name = (service, key)
        if name in counts or len(counts) < self._capacity:
            counts[name] = counts.get(name, 0) + 1
            return
        smallest = min(counts, key=counts.__getitem__)
        counts[name] = counts.pop(smallest) + 1

    def share(self, service: ServiceName, key: str) -> float:
        """Return the share of a key in the requests counted, from 0 to 1."""
        return self._count_by_key.get((service, key), 0) / max(1, self.total)

    def hottest(self) -> Iterator[tuple[ServiceName, str, float]]:
        """Yield service, key and share of the counted keys, the most frequent first."""
        ordered = sorted(self._count_by_key.items(), key=lambda item: -item[1])
        for (service, key), count in ordered:
            yield service, key, count / max(1, self.total)

    def clear(self) -> None:
        """Remove all counts."""
        self._count_by_key.clear()
        self.total = 0


@dataclass(frozen=True, slots=True)
class _Load:
    """Load of another target.

    Parameters
    ----------
    percent : int
        Load as reported, in percent.
    known_at : float
        Time of the report, on the local monotonic clock, in seconds.
    """

    percent: int
    known_at: Seconds


class HotKeyBalancer:
    """Moves hot keys to less loaded targets, and back once they are no longer hot.

    The loads of other targets come with heartbeats and their answers. So a member knows
    the loads of its witnesses and of the members that it watches, a small sample of the
    targets of all regions and failure domains.

    Parameters
    ----------
    context : Context
        Identity, time and directory of the local member.
    lease : MemberLease
        Lease of the local member, without which it changes nothing.
    ownership : Ownership
        Slices that the local member serves.
    order_dispatcher : OrderDispatcher
        Source of the load of the local target.
    """

    def __init__(
        self,
        context: Context,
        lease: MemberLease,
        ownership: Ownership,
        order_dispatcher: OrderDispatcher,
    ) -> None:
        self._context = context
        self._lease = lease
        self._ownership = ownership
        self._order_dispatcher = order_dispatcher
        self._sketch = HotKeySketch()
        self._load_by_member: dict[MemberId, _Load] = {}
        #: Successive checks at which a key was cool, by service and key.
        self._cool_checks_by_key: dict[tuple[ServiceName, str], int] = {}
        #: Id of the last split, merge or move, until its verdict is known.
        self._pending_change: RecordId | None = None
        self._requests_seen = 0

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.DispatchRequested: self._on_admit,
            events.HeartbeatDue: self._on_heartbeat_due,
            events.PeerMessageReceived: self._on_peer_message,
            events.HotKeyCheckDue: self._on_due,
            events.AppendDecided: self._on_settled,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(
            CHECK_INTERVAL_S, events.HotKeyCheckDue(), first=now + CHECK_INTERVAL_S
        )
        yield from ()

    def _on_admit(
        self, now: Seconds, event: events.DispatchRequested
    ) -> Iterator[Event]:
        self._requests_seen += 1
        if event.request.service.keyed and self._requests_seen % SAMPLING_PERIOD == 0:
            self._sketch.add(event.request.service.name, event.request.key)
        yield from ()

    def _on_heartbeat_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._context.load_percent = self._order_dispatcher.load_percent
        yield from ()

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Event]:
        if isinstance(event.message, Heartbeat | HeartbeatAnswer):
            load = _Load(event.message.load_percent, now)
            self._load_by_member[event.sender] = load
        yield from ()

    def _on_settled(self, now: Seconds, event: events.AppendDecided) -> Iterator[Event]:
        if event.record_id == self._pending_change:
            self._pending_change = None
            if isinstance(event.record, Split) and event.void is None:
                yield from self._move_away(now, event.record)

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._forget_old_loads(now)
        if self._pending_change is None and self._lease.is_held(now):
            change = self._next_split() or self._next_return()
            if change is not None:
                yield self._submit_change(change)
        self._sketch.clear()

    def _submit_change(self, record: Split | Merge | Move) -> Event:
        self._pending_change = self._context.new_record_id()
        return events.AppendRequested(self._pending_change, record)

    def _forget_old_loads(self, now: Seconds) -> None:
        self._load_by_member = {
            member: load
            for member, load in self._load_by_member.items()
            if now - load.known_at <= MAX_LOAD_AGE_S
        }

    # Splitting out

    def _next_split(self) -> Split | None:
        """Return the split of the hottest key that can be split out, or none."""
        if self._sketch.total < MIN_SAMPLES:
            return None
        if self._order_dispatcher.load_percent < MIN_SPLIT_LOAD_PERCENT:
            return None
        directory = self._context.directory
        for service, key, share in self._sketch.hottest():
            table = directory.table_by_service.get(service)
            if share < HOT_SHARE or table is None:
                return None
            ref = SliceRef(service, slice_of_key(key, table.hashed))
            if key not in table.index_by_hot_key and ref in self._ownership.served:
                epoch = self._ownership.epoch(ref)
                return Split(service, key, self._context.member_id, epoch)
        return None

    def _move_away(self, now: Seconds, split: Split) -> Iterator[Event]:
        """Move a key that was split out to the target with the least known load.

        It stays if no target is known that is sufficiently less loaded.
        """
        directory = self._context.directory
        service = directory.intent.services.get(split.service)
        if service is None:
            return
        self._forget_old_loads(now)
        candidates = {
            member: load.percent
            for member, load in self._load_by_member.items()
            if member in directory.member_by_id
            and directory.may_take(service, directory.member_by_id[member])
            and load.percent + MIN_LOAD_DIFFERENCE_PERCENT
            <= self._order_dispatcher.load_percent
        }
        if candidates:
            target = min(sorted(candidates), key=candidates.__getitem__)
            yield from self._move(split.service, split.key, target)

    def _move(
        self, service: ServiceName, key: str, target: MemberId
    ) -> Iterator[Event]:
        directory = self._context.directory
        ref = directory.slice_of(service, key)
        epoch = directory.epoch_of(service, ref.index)
        slices = ((ref.index, epoch, target),)
        yield self._submit_change(Move(service, self._context.member_id, slices, True))

    # Merging back

    def _next_return(self) -> Merge | Move | None:
        """Return the next step that returns a key which has been cool long enough."""
        for service, table in self._context.directory.table_by_service.items():
            for key, index in table.index_by_hot_key.items():
                ref = SliceRef(service, index)
                if ref not in self._ownership.served:
                    self._cool_checks_by_key.pop((service, key), None)
                    continue
                parent = SliceRef(service, slice_of_key(key, table.hashed))
                at_parent = parent in self._ownership.served
                required = COOL_CHECKS_AT_PARENT if at_parent else COOL_CHECKS
                if self._count_cool_checks(service, key) >= required:
                    return self._return_step(ref, key, parent)
        return None

    def _count_cool_checks(self, service: ServiceName, key: str) -> int:
        """Return at how many successive checks, with this one, a key has been cool."""
        checks = self._cool_checks_by_key.get((service, key), 0) + 1
        if self._sketch.share(service, key) >= COOL_SHARE:
            checks = 0
        self._cool_checks_by_key[(service, key)] = checks
        return checks

    def _return_step(
        self, ref: SliceRef, key: str, parent: SliceRef
    ) -> Merge | Move | None:
        """Return the merge of a cool key, or the move to the owner of its parent.

        Returns none if that owner may not take slices.
        """
        directory = self._context.directory
        parent_owner = directory.owner_of(parent.service, parent.index)
        if parent_owner == self._context.member_id:
            return Merge(ref.service, key, self._context.member_id)
        member = directory.member_by_id.get(parent_owner or "")
        service = directory.intent.services[ref.service]
        if member is None or not directory.may_take(service, member):
            return None
        epoch = directory.epoch_of(ref.service, ref.index)
        slices = ((ref.index, epoch, member.id),)
        return Move(ref.service, self._context.member_id, slices, True)
