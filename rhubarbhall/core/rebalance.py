"""Moves slices away: all of them when leaving, the surplus otherwise."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core import events
from rhubarbhall.core.records import Move

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.handover import Ownership
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import LeaseKeeper
    from rhubarbhall.core.placement import Ring
    from rhubarbhall.core.slices import OwnerTable, SliceRef
    from rhubarbhall.types import MemberId, RecordId, Seconds, ServiceName

#: Time between looks at slices that must go.
LOOK_S = 0.25
#: Time between rounds that even out, on average.
BALANCE_S = 2.0
#: Slices that one member moves in a round to even out.
MOVES_PER_ROUND = 8
#: Share above the mean that is left alone.
TOLERANCE = 0.15
#: Members looked at for room in one round.
SAMPLED = 32
#: Slices that one record moves at the most.
MAX_SLICES_PER_RECORD = 256


class Rebalancer:
    """Decides which of the own slices go to whom.

    Only the present owner moves a slice, so two members never decide on the
    same one.
    """

    def __init__(
        self, context: Context, lease: LeaseKeeper, ownership: Ownership
    ) -> None:
        self._context = context
        self._lease = lease
        self._ownership = ownership
        self._pending: set[RecordId] = set()
        self._balance_at: Seconds = float("-inf")

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.PlacementDue: self._on_due,
            events.Settled: self._on_settled,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        first = now + self._context.rng.random() * LOOK_S
        self._context.timers.every(LOOK_S, events.PlacementDue(), first=first)
        self._balance_at = now + self._context.rng.random() * BALANCE_S
        yield from ()

    def _on_settled(self, now: Seconds, event: events.Settled) -> Iterator[Event]:
        self._pending.discard(event.record_id)
        yield from ()

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        member = self._context.member
        if member is None or self._pending or not self._lease.is_held(now):
            return
        yield from self._move_all(self._forced_moves())
        if not self._pending and now >= self._balance_at:
            jitter = 0.5 + self._context.rng.random()
            self._balance_at = now + BALANCE_S * jitter
            yield from self._move_all(self._balancing_moves())

    def _forced_moves(self) -> Iterator[tuple[SliceRef, MemberId]]:
        """Yield slices that the intent takes away from this member."""
        directory = self._context.directory
        member = self._context.member
        must_go = {
            name: not directory.may_take(directory.intent.services[name], member)
            for name in directory.table_by_service
        }
        if not any(must_go.values()):
            return
        for ref in sorted(self._ownership.served, key=str):
            if must_go.get(ref.service):
                target = directory.choose_owner(
                    ref.service, ref.index, member.join.region, exclude=member.id
                )
                if target is not None:
                    yield ref, target

    def _balancing_moves(self) -> Iterator[tuple[SliceRef, MemberId]]:
        directory = self._context.directory
        mine: dict[ServiceName, list[SliceRef]] = defaultdict(list)
        for ref in self._ownership.served:
            mine[ref.service].append(ref)
        for name, refs in mine.items():
            table = directory.table_by_service.get(name)
            if table is not None:
                yield from self._surplus(name, table, sorted(refs, key=str))

    def _surplus(
        self, name: ServiceName, table: OwnerTable, refs: list[SliceRef]
    ) -> Iterator[tuple[SliceRef, MemberId]]:
        """Yield moves to members of one service that own less than their share.

        As long as there is no surplus, which is nearly always, the cost does not
        depend on the number of members.
        """
        directory = self._context.directory
        member = self._context.member
        ring = directory.pool(name)
        service = directory.intent.services[name]
        takes_part = member.witnesses and directory.may_take(service, member)
        if not takes_part or len(ring) < 2:
            return
        slices_by_weight = table.in_use / ring.total_weight
        share = slices_by_weight * member.join.weight
        spare = len(refs) - share
        if spare < 1 or spare <= TOLERANCE * share:
            return
        room_by_member = self._rooms(ring, table, slices_by_weight)
        self._context.rng.shuffle(refs)
        for ref in refs[: min(int(spare), MOVES_PER_ROUND)]:
            target = self._least_filled(room_by_member)
            if target is None:
                return
            room_by_member[target] -= 1
            yield ref, target

    def _rooms(
        self, ring: Ring, table: OwnerTable, slices_by_weight: float
    ) -> dict[MemberId, float]:
        """Return how many slices some members are below their shares."""
        counts = Counter(table.owners)
        members = self._context.directory.member_by_id
        return {
            seat.member: slices_by_weight * seat.weight
            - counts[members[seat.member].number]
            for seat in ring.sample(self._context.rng, SAMPLED)
            if seat.member != self._context.me
        }

    def _least_filled(self, room_by_member: dict[MemberId, float]) -> MemberId | None:
        # Two random choices keep many givers from picking the same receiver.
        roomy = [each for each, room in room_by_member.items() if room >= 0.5]
        if not roomy:
            return None
        drawn = [self._context.rng.choice(roomy) for _ in range(2)]
        return max(drawn, key=lambda each: room_by_member[each])

    def _move_all(self, moves: Iterator[tuple[SliceRef, MemberId]]) -> Iterator[Event]:
        """Submit moves, grouped into records."""
        directory = self._context.directory
        by_service: dict[ServiceName, list[tuple[int, int, MemberId]]] = defaultdict(
            list
        )
        for ref, target in moves:
            epoch = directory.epoch_of(ref.service, ref.index)
            by_service[ref.service].append((ref.index, epoch, target))
        for name, slices in by_service.items():
            for start in range(0, len(slices), MAX_SLICES_PER_RECORD):
                batch = tuple(slices[start : start + MAX_SLICES_PER_RECORD])
                record_id = self._context.new_record_id()
                self._pending.add(record_id)
                # Only slices that are served get here, and a slice is served
                # only once all its earlier owners have stopped.
                yield events.Submit(
                    record_id, Move(name, self._context.me, batch, True)
                )
