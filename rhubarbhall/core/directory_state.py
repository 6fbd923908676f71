"""State of the directory: members, owners and intent, with indexes and look-ups.

The records that change it are applied in `rhubarbhall.core.directory`.
"""

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
    """Members, owners and intent at one offset of the log, with their indexes."""

    def __init__(self) -> None:
        #: Incremented with each change of the members or of the services whose slices
        #: they may take; never decreases.
        self.membership_version = 0
        self.reset()

    def reset(self) -> None:
        """Empty the directory, as it is before the first record."""
        self.next_offset: Offset = 0
        #: Number of intents that have taken effect.
        self.intent_version = 0
        self.intent = Intent()
        self.intent_document: dict = {}
        #: Highest schema version of any record that was applied.
        self.newest_schema = records.SCHEMA
        self.membership_version += 1
        self.member_by_id: dict[MemberId, Member] = {}
        #: Members that have ended, in the order in which they ended.
        self.closed_by_id: OrderedDict[MemberId, ClosedMember] = OrderedDict()
        #: Member ids by the short numbers that owner tables hold.
        self.id_by_number: dict[int, MemberId] = {}
        #: Owner tables of the services of the present intent.
        self.table_by_service: dict[ServiceName, OwnerTable] = {}
        #: Owner tables of services that the intent no longer has. If such a service is
        #: added again, its slices still have their owners.
        self.dropped_by_service: dict[ServiceName, OwnerTable] = {}
        #: All live members.
        self.member_ring = Ring()
        self.ring_by_domain: defaultdict[str, Ring] = defaultdict(Ring)
        #: Short number of the next member that joins.
        self.next_number = 0
        #: Ids of the latest records, oldest first, by which a repeated append is found.
        self.seen_ids: OrderedDict[RecordId, None] = OrderedDict()
        #: The member that joined last with each address for callers.
        self._newest_member_by_calls: dict[str, MemberId] = {}
        #: Rings that `pool` has built, by service, region and `witnessed`.
        self._ring_by_pool: dict[tuple[ServiceName, str | None, bool], Ring] = {}

    # Reading

    def slice_of(self, service: ServiceName, key: str) -> SliceRef:
        """Return the slice that a key belongs to.

        In a service without keys only requests with an idempotency key belong to a
        slice, and the idempotency key is passed as `key`.
        """
        return SliceRef(service, self.table_by_service[service].index_of(key))

    def owner_of(self, service: ServiceName, index: SliceIndex) -> MemberId | None:
        """Return the owner of a slice; none if it has no owner."""
        number = self.table_by_service[service].owners[index]
        if number < 0:
            return None
        return self.id_by_number[number]

    def epoch_of(self, service: ServiceName, index: SliceIndex) -> int:
        """Return the present epoch of a slice; it grows with each change of owner."""
        return self.table_by_service[service].epochs[index]

    def predecessors_of(
        self, service: ServiceName, index: SliceIndex
    ) -> tuple[MemberId, ...]:
        """Return the earlier owners of a slice that may not have stopped, oldest first.

        These are the ones whose end or release is not yet in the log.
        """
        listed = self.table_by_service[service].predecessors.get(index, ())
        return tuple(self.id_by_number[number] for number in listed)

    def slices_of(self, member: MemberId) -> Iterable[SliceRef]:
        """Yield the slices that `member` owns."""
        entry = self.member_by_id.get(member)
        if entry is None:
            return
        for service, table in self.table_by_service.items():
            for index in table.owned_by(entry.number):
                yield SliceRef(service, index)

    def is_live(self, member: MemberId) -> bool:
        """Return whether `member` has joined and not ended."""
        return member in self.member_by_id

    def may_take(self, service: Service, member: Member) -> bool:
        """Return whether `member` may get new slices or work of `service`.

        It may not if it is retiring, if the intent does not place the service on its
        target, or if the intent marks its target as leaving.
        """
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
            Region of the members; none for all regions.
        witnessed : bool
            Whether only members that have a witness are included.

        Returns
        -------
        Ring
            The members, kept up to date when members change, until the next intent.
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
            if self._belongs_to_pool(member, name, region, witnessed):
                ring.add_position(member.ring_position)
        return ring

    def _belongs_to_pool(
        self, member: Member, name: ServiceName, region: str | None, witnessed: bool
    ) -> bool:
        if region is not None and member.join.region != region:
            return False
        if witnessed and not member.witnesses:
            return False
        return self.may_take(self.intent.services[name], member)

    def _update_pools(self, member: Member) -> None:
        """Update the rings of all pools after a change of one member."""
        self.membership_version += 1
        for (name, region, witnessed), ring in self._ring_by_pool.items():
            ring.remove(member.id)
            if self._belongs_to_pool(member, name, region, witnessed):
                ring.add_position(member.ring_position)

    def choose_owner(
        self,
        service: ServiceName,
        index: SliceIndex,
        region: str | None = None,
        exclude: MemberId | None = None,
    ) -> MemberId | None:
        """Return the member to which rendezvous hashing assigns a slice.

        The region of the former owner is preferred, then the regions that the intent
        prefers, in their order, then any region. Members without witnesses are chosen
        only if there is no other, since their loss could not be detected.

        Parameters
        ----------
        service : str
            Name of the service.
        index : int
            Index of the slice.
        region : str, optional
            Region of the former owner.
        exclude : str, optional
            Member that is not chosen.

        Returns
        -------
        str or None
            The member; none if no member may take slices of the service.
        """
        name = f"{service}/{index}"
        regions = [region] if region else []
        for witnessed in (True, False):
            for preferred in (*regions, *self.intent.regions, None):
                ring = self.pool(service, preferred, witnessed)
                chosen = ring.choose(name)
                if chosen is not None and chosen == exclude:
                    chosen = next((m for m in ring.ranked(name) if m != exclude), None)
                if chosen is not None:
                    return chosen
        return None

    # Members

    def live_run_on_same_boot(self, join: records.Join) -> Member | None:
        """Return the live run on the same boot of the same VM as a run that joins.

        Returns none if there is no such run, or if `join` does not name its boot.
        """
        member = self.member_by_id.get(self._newest_member_by_calls.get(join.calls, ""))
        if member is None or not join.boot or member.join.boot != join.boot:
            return None
        return member

    def add_member(self, member: Member) -> None:
        """Add a live member to all indexes and pools."""
        self.member_by_id[member.id] = member
        self.id_by_number[member.number] = member.id
        self._newest_member_by_calls[member.join.calls] = member.id
        self.member_ring.add_position(member.ring_position)
        self.ring_by_domain[member.join.domain].add_position(member.ring_position)
        self._update_pools(member)
