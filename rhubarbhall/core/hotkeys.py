"""Hot keys: found by a bounded sketch, split out, moved, joined again."""

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
    from rhubarbhall.core.gate import Gate
    from rhubarbhall.core.handover import Ownership
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import LeaseKeeper
    from rhubarbhall.types import MemberId, RecordId, Seconds, ServiceName

#: Keys that the sketch counts at a time.
SKETCH_KEYS = 64
#: One request in this many is counted.
SAMPLE = 4
#: Time between looks at the sketch.
LOOK_S = 5.0
#: Share of the own requests from which on a key is hot.
HOT_SHARE = 0.2
#: Share of the own requests below which a key with an own slice is cool.
COOL_SHARE = 0.05
#: Samples in a look below which nothing is concluded.
MIN_SAMPLES = 50
#: Load of the own target from which on hot keys are split out.
BUSY_PERCENT = 60
#: How much less loaded a target must be to get a hot key.
ROOM_PERCENT = 30
#: Looks in a row for which a key must be cool before it is joined again.
COOL_LOOKS = 6
#: The same at the owner of the slice that the key hashes to, where it was sent
#: to be joined.
COOL_LOOKS_AT_PARENT = 2
#: Age of what is known of another target's load.
LOAD_AGE_S = 2.0


class HotKeySketch:
    """Counts the most frequent keys in bounded memory (space saving).

    A key that comes new to a full sketch takes over the smallest count, so a
    count is never too low and is too high by that smallest one at the most.

    Parameters
    ----------
    capacity : int
        Keys counted at a time.
    """

    def __init__(self, capacity: int = SKETCH_KEYS) -> None:
        self._capacity = capacity
        self._count_by_key: dict[tuple[ServiceName, str], int] = {}
        self.total = 0

    def add(self, service: ServiceName, key: str) -> None:
        """Count one request."""
        self.total += 1
        counts = self._count_by_key
        name = (service, key)
        if name in counts or len(counts) < self._capacity:
            counts[name] = counts.get(name, 0) + 1
            return
        smallest = min(counts, key=counts.__getitem__)
        counts[name] = counts.pop(smallest) + 1

    def share(self, service: ServiceName, key: str) -> float:
        """Return the share of a key among all requests counted."""
        return self._count_by_key.get((service, key), 0) / max(1, self.total)

    def hottest(self) -> Iterator[tuple[ServiceName, str, float]]:
        """Yield service, key and share, the hottest first."""
        ordered = sorted(self._count_by_key.items(), key=lambda item: -item[1])
        for (service, key), count in ordered:
            yield service, key, count / max(1, self.total)

    def clear(self) -> None:
        """Begin a new period."""
        self._count_by_key.clear()
        self.total = 0


@dataclass(frozen=True, slots=True)
class _Load:
    percent: int
    known_at: Seconds


class HotKeys:
    """Gives hot keys to targets with room and takes cool ones back.

    The loads of other targets come with heartbeats and their answers, so a
    member knows those of its witnesses and of the members that it watches: a
    small sample from all places.
    """

    def __init__(
        self, context: Context, lease: LeaseKeeper, ownership: Ownership, gate: Gate
    ) -> None:
        self._context = context
        self._lease = lease
        self._ownership = ownership
        self._gate = gate
        self._sketch = HotKeySketch()
        self._load_by_member: dict[MemberId, _Load] = {}
        self._cool_looks: dict[tuple[ServiceName, str], int] = {}
        self._pending: RecordId | None = None
        self._seen = 0

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.Admit: self._on_admit,
            events.HeartbeatDue: self._on_heartbeat_due,
            events.PeerMessageReceived: self._on_peer_message,
            events.HotKeysDue: self._on_due,
            events.Settled: self._on_settled,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(LOOK_S, events.HotKeysDue(), first=now + LOOK_S)
        yield from ()

    def _on_admit(self, now: Seconds, event: events.Admit) -> Iterator[Event]:
        self._seen += 1
        if event.request.service.keyed and self._seen % SAMPLE == 0:
            self._sketch.add(event.request.service.name, event.request.key)
        yield from ()

    def _on_heartbeat_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._context.load_percent = self._gate.load_percent
        yield from ()

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Event]:
        if isinstance(event.message, Heartbeat | HeartbeatAnswer):
            load = _Load(event.message.load_percent, now)
            self._load_by_member[event.sender] = load
        yield from ()

    def _on_settled(self, now: Seconds, event: events.Settled) -> Iterator[Event]:
        if event.record_id == self._pending:
            self._pending = None
            if isinstance(event.record, Split) and event.void is None:
                yield from self._move_away(now, event.record)

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        self._forget_loads(now)
        if self._pending is None and self._lease.is_held(now):
            change = self._to_split() or self._to_cool()
            if change is not None:
                yield self._submit(change)
        self._sketch.clear()

    def _submit(self, record: Split | Merge | Move) -> Event:
        self._pending = self._context.new_record_id()
        return events.Submit(self._pending, record)

    def _forget_loads(self, now: Seconds) -> None:
        self._load_by_member = {
            member: load
            for member, load in self._load_by_member.items()
            if now - load.known_at <= LOAD_AGE_S
        }

    # Heating up

    def _to_split(self) -> Split | None:
        if self._sketch.total < MIN_SAMPLES:
            return None
        if self._gate.load_percent < BUSY_PERCENT:
            return None
        directory = self._context.directory
        for service, key, share in self._sketch.hottest():
            table = directory.table_by_service.get(service)
            if share < HOT_SHARE or table is None:
                return None
            ref = SliceRef(service, slice_of_key(key, table.hashed))
            if key not in table.index_by_hot_key and ref in self._ownership.served:
                epoch = self._ownership.epoch(ref)
                return Split(service, key, self._context.me, epoch)
        return None

    def _move_away(self, now: Seconds, split: Split) -> Iterator[Event]:
        """Move a key that was split out to the least loaded target known."""
        directory = self._context.directory
        service = directory.intent.services.get(split.service)
        if service is None:
            return
        self._forget_loads(now)
        roomy = {
            member: load.percent
            for member, load in self._load_by_member.items()
            if member in directory.member_by_id
            and directory.may_take(service, directory.member_by_id[member])
            and load.percent + ROOM_PERCENT <= self._gate.load_percent
        }
        if roomy:
            target = min(sorted(roomy), key=roomy.__getitem__)
            yield from self._move(split.service, split.key, target)

    def _move(
        self, service: ServiceName, key: str, target: MemberId
    ) -> Iterator[Event]:
        directory = self._context.directory
        ref = directory.slice_of(service, key)
        epoch = directory.epoch_of(service, ref.index)
        slices = ((ref.index, epoch, target),)
        yield self._submit(Move(service, self._context.me, slices, True))

    # Cooling down

    def _to_cool(self) -> Merge | Move | None:
        """Return the next step back for a key that has been cool for long."""
        for service, table in self._context.directory.table_by_service.items():
            for key, index in table.index_by_hot_key.items():
                ref = SliceRef(service, index)
                if ref not in self._ownership.served:
                    self._cool_looks.pop((service, key), None)
                    continue
                parent = SliceRef(service, slice_of_key(key, table.hashed))
                at_parent = parent in self._ownership.served
                wanted = COOL_LOOKS_AT_PARENT if at_parent else COOL_LOOKS
                if self._looks_cool(service, key) >= wanted:
                    return self._step_back(ref, key, parent)
        return None

    def _looks_cool(self, service: ServiceName, key: str) -> int:
        """Return for how many looks in a row the key has been cool."""
        looks = self._cool_looks.get((service, key), 0) + 1
        if self._sketch.share(service, key) >= COOL_SHARE:
            looks = 0
        self._cool_looks[(service, key)] = looks
        return looks

    def _step_back(
        self, ref: SliceRef, key: str, parent: SliceRef
    ) -> Merge | Move | None:
        directory = self._context.directory
        parent_owner = directory.owner_of(parent.service, parent.index)
        if parent_owner == self._context.me:
            return Merge(ref.service, key, self._context.me)
        member = directory.member_by_id.get(parent_owner or "")
        service = directory.intent.services[ref.service]
        if member is None or not directory.may_take(service, member):
            return None
        epoch = directory.epoch_of(ref.service, ref.index)
        slices = ((ref.index, epoch, member.id),)
        return Move(ref.service, self._context.me, slices, True)
