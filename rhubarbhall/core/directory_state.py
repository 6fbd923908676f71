"""What the directory holds: members, owners, intent, and ways to look them up."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from typing import TYPE_CHECKING

from rhubarbhall.core import records
from rhubarbhall.core.intent import Intent, Service
from rhubarbhall.core.members import ClosedMember, Member
from rhubarbhall.core.placement import Ring
from rhubarbhall.core.slices import OwnerTable, SliceRef

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhall.types import MemberId, Offset, RecordId, ServiceName, SliceIndex


class DirectoryState:
    """Members, owners and intent at one offset of the log, and their indexes."""

    def __init__(self) -> None:
        #: Counts changes of who may take what; never goes back.
        self.membership_version = 0
        self.reset()

    def reset(self) -> None:
        """Go back to the empty directory before the first record."""
        self.next_offset: Offset = 0
        self.intent_version = 0
        self.intent = Intent()
        self.intent_document: dict = {}
        self.newest_schema = records.SCHEMA
        self.membership_version += 1
        self.member_by_id: dict[MemberId, Member] = {}
        self.closed_by_id: OrderedDict[MemberId, ClosedMember] = OrderedDict()
        self.id_by_number: dict[int, MemberId] = {}
        self.table_by_service: dict[ServiceName, OwnerTable] = {}
        #: Tables of services that the intent no longer has. Should one come
        #: back, its slices still have the owners that they had.
        self.dropped_by_service: dict[ServiceName, OwnerTable] = {}
        self.everyone = Ring()
        self.ring_by_domain: defaultdict[str, Ring] = defaultdict(Ring)
        self.next_number = 0
        self.seen_ids: OrderedDict[RecordId, None] = OrderedDict()
        self._newest_by_calls: dict[str, MemberId] = {}
        self._ring_by_pool: dict[tuple[ServiceName, str | None, bool], Ring] = {}

    # Reading

    def slice_of(self, service: ServiceName, key: str) -> SliceRef:
        """Return the slice that a key belongs to.

        In a service without keys only requests with an idempotency key have an
        owner; that key is what divides them.
        """
        return SliceRef(service, self.table_by_service[service].index_of(key))

    def owner_of(self, service: ServiceName, index: SliceIndex) -> MemberId | None:
        """Return the owner of a slice, or none."""
        number = self.table_by_service[service].owners[index]
        if number < 0:
            return None
        return self.id_by_number[number]

    def epoch_of(self, service: ServiceName, index: SliceIndex) -> int:
        """Return the epoch of a slice."""
        return self.table_by_service[service].epochs[index]

    def predecessors_of(
        self, service: ServiceName, index: SliceIndex
    ) -> tuple[MemberId, ...]:
        """Return the earlier owners that the log does not show as stopped."""
        listed = self.table_by_service[service].predecessors.get(index, ())
        return tuple(self.id_by_number[number] for number in listed)

    def slices_of(self, member: MemberId) -> Iterable[SliceRef]:
        """Yield the slices that `member` owns."""
        found = self.member_by_id.get(member)
        if found is None:
            return
        for service, table in self.table_by_service.items():
            for index in table.owned_by(found.number):
                yield SliceRef(service, index)

    def is_live(self, member: MemberId) -> bool:
        """Tell whether `member` has joined and not ended."""
        return member in self.member_by_id

    def may_take(self, service: Service, member: Member) -> bool:
        """Tell whether the intent lets `member` take slices of `service`."""
        labels = member.labels
        if member.retiring:
            return False
        return service.targets.matches(labels) and not self.intent.is_leaving(labels)

    def pool(
        self, service: ServiceName, region: str | None = None, witnessed: bool = True
    ) -> Ring:
        """Return the members that may take work of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        region : str, optional
            Only members of this region.
        witnessed : bool
            Only members that have a witness.
        """
        key = (service, region, witnessed)
        if key not in self._ring_by_pool:
            self._ring_by_pool[key] = self._build_pool(service, region, witnessed)
        return self._ring_by_pool[key]

    def _build_pool(
        self, name: ServiceName, region: str | None, witnessed: bool
    ) -> Ring:
        ring = Ring()
        for member in self.member_by_id.values():
            if self._belongs(member, name, region, witnessed):
                ring.add_seat(member.seat)
        return ring

    def _belongs(
        self, member: Member, name: ServiceName, region: str | None, witnessed: bool
    ) -> bool:
        if region is not None and member.join.region != region:
            return False
        if witnessed and not member.witnesses:
            return False
        return self.may_take(self.intent.services[name], member)

    def _seat(self, member: Member) -> None:
        """Bring the pools into line with a change of one member."""
        self.membership_version += 1
        for (name, region, witnessed), ring in self._ring_by_pool.items():
            ring.remove(member.id)
            if self._belongs(member, name, region, witnessed):
                ring.add_seat(member.seat)

    def choose_owner(
        self,
        service: ServiceName,
        index: SliceIndex,
        region: str | None = None,
        exclude: MemberId | None = None,
    ) -> MemberId | None:
        """Return the member that rendezvous gives a slice to.

        The region of the former owner goes first, then the regions that the
        intent prefers, then any. Members without witnesses are taken only
        when there is nobody else, since their loss could not be detected.
        """
        name = f"{service}/{index}"
        regions = [region] if region else []
        for witnessed in (True, False):
            for each in (*regions, *self.intent.regions, None):
                ring = self.pool(service, each, witnessed)
                chosen = ring.choose(name)
                if chosen is not None and chosen == exclude:
                    chosen = next((m for m in ring.ranked(name) if m != exclude), None)
                if chosen is not None:
                    return chosen
        return None

    # Members

    def run_in_slot(self, join: records.Join) -> Member | None:
        """Return the live run on the same boot of the same VM, if there is one."""
        member = self.member_by_id.get(self._newest_by_calls.get(join.calls, ""))
        if member is None or not join.boot or member.join.boot != join.boot:
            return None
        return member

    def seat_member(self, member: Member) -> None:
        """Add a live member to all indexes."""
        self.member_by_id[member.id] = member
        self.id_by_number[member.number] = member.id
        self._newest_by_calls[member.join.calls] = member.id
        self.everyone.add_seat(member.seat)
        self.ring_by_domain[member.join.domain].add_seat(member.seat)
        self._seat(member)
