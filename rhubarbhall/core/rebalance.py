"""Moves slices of the local member to other members.

It moves all slices of a service that the member may not serve any more, as when it
leaves the mesh, and otherwise only those that it owns beyond its share.
"""

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
    from rhubarbhall.core.lease import MemberLease
    from rhubarbhall.core.placement import Ring
    from rhubarbhall.core.slices import OwnerTable, SliceRef
    from rhubarbhall.types import MemberId, RecordId, Seconds, ServiceName

#: Interval between checks for slices that must move, in seconds.
CHECK_INTERVAL_S = 0.25
#: Mean interval between rounds of balancing, in seconds.
BALANCE_INTERVAL_S = 2.0
#: Largest number of slices of one service that a member moves in a round of balancing.
MOVES_PER_ROUND = 8
#: Surplus, as a ratio of the member's share, up to which no slices are moved.
SURPLUS_TOLERANCE = 0.15
#: Number of members that are compared with their shares in one round.
SAMPLED_MEMBERS = 32
#: Largest number of slices that one record moves.
MAX_SLICES_PER_RECORD = 256


class Rebalancer:
    """Decides which slices of the local member move to which other members.

    Only its present owner moves a slice, so two members never decide on the same one.

    Parameters
    ----------
    context : Context
        State that the parts of this daemon share.
    lease : MemberLease
        Lease of the local member; nothing moves without it.
    ownership : Ownership
        Slices that the local member serves.
    """

    def __init__(
        self, context: Context, lease: MemberLease, ownership: Ownership
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
            events.PlacementCheckDue: self._on_placement_due,
            events.AppendDecided: self._on_settled,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        first = now + self._context.rng.random() * CHECK_INTERVAL_S
        self._context.timers.every(
            CHECK_INTERVAL_S, events.PlacementCheckDue(), first=first
        )
        self._balance_at = now + self._context.rng.random() * BALANCE_INTERVAL_S
        yield from ()

    def _on_settled(self, now: Seconds, event: events.AppendDecided) -> Iterator[Event]:
        self._pending.discard(event.record_id)
        yield from ()

    def _on_placement_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        member = self._context.member
        if member is None or self._pending or not self._lease.is_held(now):
            return
        yield from self._submit_moves(self._required_moves())
        if not self._pending and now >= self._balance_at:
            jitter = 0.5 + self._context.rng.random()
            self._balance_at = now + BALANCE_INTERVAL_S * jitter
            yield from self._submit_moves(self._balancing_moves())

    def _required_moves(self) -> Iterator[tuple[SliceRef, MemberId]]:
        """Yield moves of slices that the local member may not keep.

        The intent excludes the member from the services of these slices, or the member
        is retiring and may not keep any slice.
        """
        directory = self._context.directory
        member = self._context.member
        must_move = {
            name: not directory.may_take(directory.intent.services[name], member)
            for name in directory.table_by_service
        }
        if not any(must_move.values()):
            return
        for ref in sorted(self._ownership.served, key=str):
            if must_move.get(ref.service):
                recipient = directory.choose_owner(
                    ref.service, ref.index, member.join.region, exclude=member.id
                )
                if recipient is not None:
                    yield ref, recipient

    def _balancing_moves(self) -> Iterator[tuple[SliceRef, MemberId]]:
        directory = self._context.directory
        served_by_service: dict[ServiceName, list[SliceRef]] = defaultdict(list)
        for ref in self._ownership.served:
            served_by_service[ref.service].append(ref)
        for name, refs in served_by_service.items():
            table = directory.table_by_service.get(name)
            if table is not None:
                yield from self._surplus_moves(name, table, sorted(refs, key=str))

    def _surplus_moves(
        self, name: ServiceName, table: OwnerTable, refs: list[SliceRef]
    ) -> Iterator[tuple[SliceRef, MemberId]]:
        """Yield moves to members of one service that own less than their share.

        The cost depends on the number of members only while there is a surplus, which
        is rare.

        Parameters
        ----------
        name : str
            Name of the service.
        table : OwnerTable
            Owners of the slices of the service.
        refs : list of SliceRef
            Slices of the service that the local member serves, in a fixed order; the
            list is shuffled in place.
        """
        directory = self._context.directory
        member = self._context.member
        ring = directory.pool(name)
        service = directory.intent.services[name]
        may_balance = member.witnesses and directory.may_take(service, member)
        if not may_balance or len(ring) < 2:
            return
        slices_per_weight = table.in_use / ring.total_weight
        share = slices_per_weight * member.join.weight
        surplus = len(refs) - share
        if surplus < 1 or surplus <= SURPLUS_TOLERANCE * share:
            return
        deficit_by_member = self._sample_deficits(ring, table, slices_per_weight)
        self._context.rng.shuffle(refs)
        for ref in refs[: min(int(surplus), MOVES_PER_ROUND)]:
            recipient = self._choose_recipient(deficit_by_member)
            if recipient is None:
                return
            deficit_by_member[recipient] -= 1
            yield ref, recipient

    def _sample_deficits(
        self, ring: Ring, table: OwnerTable, slices_per_weight: float
    ) -> dict[MemberId, float]:
        """Return by how many slices a sample of members is below its shares.

        Parameters
        ----------
        ring : Ring
            Members that may take slices of the service.
        table : OwnerTable
            Owners of the slices of the service.
        slices_per_weight : float
            Number of slices in use divided by the total weight of `ring`.

        Returns
        -------
        dict
            Number of missing slices by member id; negative above the share.
        """
        counts = Counter(table.owners)
        members = self._context.directory.member_by_id
        return {
            position.member: slices_per_weight * position.weight
            - counts[members[position.member].number]
            for position in ring.sample(self._context.rng, SAMPLED_MEMBERS)
            if position.member != self._context.member_id
        }

    def _choose_recipient(
        self, deficit_by_member: dict[MemberId, float]
    ) -> MemberId | None:
        # The choice between two members drawn at random keeps many owners from all
        # choosing the same recipient.
        eligible = [
            each for each, deficit in deficit_by_member.items() if deficit >= 0.5
        ]
        if not eligible:
            return None
        drawn = [self._context.rng.choice(eligible) for _ in range(2)]
        return max(drawn, key=lambda each: deficit_by_member[each])

    def _submit_moves(
        self, moves: Iterator[tuple[SliceRef, MemberId]]
    ) -> Iterator[Event]:
        """Submit moves, grouped into records."""
        directory = self._context.directory
        slices_by_service: dict[ServiceName, list[tuple[int, int, MemberId]]] = (
            defaultdict(list)
        )
        for ref, recipient in moves:
            epoch = directory.epoch_of(ref.service, ref.index)
            slices_by_service[ref.service].append((ref.index, epoch, recipient))
        for name, slices in slices_by_service.items():
            for start in range(0, len(slices), MAX_SLICES_PER_RECORD):
                batch = tuple(slices[start : start + MAX_SLICES_PER_RECORD])
                record_id = self._context.new_record_id()
                self._pending.add(record_id)
                # The record may state that all earlier owners have stopped: only
                # served slices are moved, and a slice is served only after that.
                yield events.AppendRequested(
                    record_id, Move(name, self._context.member_id, batch, True)
                )
