"""The directory: a deterministic fold of the platform's log.

Every reader applies the same records in the same order, and so arrives at the same
members, owners and intent. A record whose precondition does not hold at its offset is
void, that is without effect, for every reader.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core import records
from rhubarbhall.core.directory_state import DirectoryState
from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.core.intent import Intent, intent_from_document
from rhubarbhall.core.members import ClosedMember, EndReason, Member
from rhubarbhall.core.slices import NO_OWNER, OwnerTable, SliceRef, slice_of_key

if TYPE_CHECKING:
    from collections.abc import Collection

    from rhubarbhall.types import MemberId, Offset, RecordId, ServiceName

#: Most record ids that are remembered in order to ignore repeated appends.
MAX_REMEMBERED_IDS = 100_000
#: Most closed members that are remembered. Owner tables refer to none of them, so the
#: oldest can be dropped.
MAX_REMEMBERED_CLOSED = 20_000
#: Most keys of one service that may have a slice of their own.
MAX_HOT_KEYS = 1_024
#: Most closed members for which an owner table is searched once for each of them.
MAX_MEMBERS_SEARCHED_SINGLY = 16


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of applying one record.

    Parameters
    ----------
    offset : int
        Offset of the record in the log.
    record_id : str
        Id of the record.
    record : Record
        The record, whether it took effect or not.
    void : str, optional
        Reason why the record had no effect; none if it took effect.
    joined, closed : tuple of str
        Members that joined and members that ended by this record.
    moved : tuple of SliceRef
        Slices whose owner this record changed.
    """

    offset: Offset
    record_id: RecordId
    record: records.Record | records.UnknownRecord
    void: str | None = None
    joined: tuple[MemberId, ...] = ()
    closed: tuple[MemberId, ...] = ()
    moved: tuple[SliceRef, ...] = ()


class _VoidRecord(Exception):
    """The precondition of a record does not hold; the text is the reason."""


@dataclass(slots=True)
class _Changes:
    """Changes made so far by the record that is applied, as in `Applied`."""

    joined: list[MemberId] = field(default_factory=list)
    closed: list[MemberId] = field(default_factory=list)
    moved: list[SliceRef] = field(default_factory=list)


class Directory(DirectoryState):
    """State of the deployment at one offset of the log, updated by each record."""

    def apply(self, stored: records.StoredRecord) -> Applied:
        """Apply the record at `next_offset`.

        Parameters
        ----------
        stored : StoredRecord
            The next record of the log.

        Returns
        -------
        Applied
            What the record changed, or why it had no effect.

        Raises
        ------
        ValueError
            If the offset of the record is not `next_offset`.
        """
        if stored.offset != self.next_offset:
            raise ValueError(
                f"record at offset {stored.offset} cannot be applied: "
                f"the next offset is {self.next_offset}"
            )
        self.next_offset += 1
        envelope = stored.envelope
        record = records.open_envelope(envelope)
        self.newest_schema = max(self.newest_schema, envelope.schema)
        changes = _Changes()
        void = self._apply_record(stored, record, changes)
        return Applied(
            stored.offset,
            envelope.id,
            record,
            void,
            tuple(changes.joined),
            tuple(changes.closed),
            tuple(changes.moved),
        )

    def _apply_record(
        self,
        stored: records.StoredRecord,
        record: records.Record | records.UnknownRecord,
        changes: _Changes,
    ) -> str | None:
        if stored.envelope.id in self.seen_ids:
            return "repeated append"
        self._remember_id(stored.envelope.id)
        if isinstance(record, records.UnknownRecord):
            return None
        handler = _HANDLER_BY_RECORD[type(record)]
        try:
            handler(self, record, stored.offset, changes)
        except _VoidRecord as void:
            return str(void)
        self._forget_oldest_closed()
        return None

    def _remember_id(self, record_id: RecordId) -> None:
        self.seen_ids[record_id] = None
        if len(self.seen_ids) > MAX_REMEMBERED_IDS:
            self.seen_ids.popitem(last=False)

    def _forget_oldest_closed(self) -> None:
        while len(self.closed_by_id) > MAX_REMEMBERED_CLOSED:
            _, closed = self.closed_by_id.popitem(last=False)
            self.id_by_number.pop(closed.member.number, None)

    def _live_member(self, member: MemberId) -> Member:
        found = self.member_by_id.get(member)
        if found is None:
            raise _VoidRecord(f"member {member} is not live")
        return found

    def _join(self, record: records.Join, offset: Offset, changes: _Changes) -> None:
        if record.member in self.member_by_id or record.member in self.closed_by_id:
            raise _VoidRecord(f"member {record.member} has joined before")
        former = self.live_run_on_same_boot(record)
        if former is not None and former.join.started_at >= record.started_at:
            # The join of a run that has ended may reach the log after the join of the
            # run that replaced it.
            raise _VoidRecord(
                f"{former.id} is a later run on the same boot of the same VM"
            )
        number = self.next_number
        self.next_number += 1
        self.add_member(Member(number, record))
        changes.joined.append(record.member)
        if former is not None:
            self._close([former.id], EndReason.SUPERSEDED, offset, changes)
        self._assign_unowned(changes)

    def _retire(
        self, record: records.Retire, offset: Offset, changes: _Changes
    ) -> None:
        member = self._live_member(record.member)
        member.retiring = True
        self._update_pools(member)

    def _leave(self, record: records.Leave, offset: Offset, changes: _Changes) -> None:
        self._live_member(record.member)
        self._close([record.member], EndReason.LEFT, offset, changes)

    def _witnesses(
        self, record: records.Witnesses, offset: Offset, changes: _Changes
    ) -> None:
        member = self._live_member(record.member)
        if record.replaces != member.witness_version:
            raise _VoidRecord(
                f"witness set is at version {member.witness_version}, "
                f"not {record.replaces}"
            )
        self._check_witness_step(member, record.witnesses)
        member.witnesses = record.witnesses
        member.witness_version += 1
        self._update_pools(member)

    def _check_witness_step(self, member: Member, wanted: tuple[str, ...]) -> None:
        # Majorities of two sets that differ by one witness always have a member in
        # common. So a member that has not read its new set yet cannot be voted out by
        # witnesses that it has never sent a heartbeat.
        added = set(wanted) - set(member.witnesses)
        removed = set(member.witnesses) - set(wanted)
        if len(added) + len(removed) > 1:
            raise _VoidRecord("a witness set changes by one witness at a time")
        if member.id in added or len(wanted) != len(set(wanted)):
            raise _VoidRecord(
                "a member is not its own witness and names each witness once"
            )
        for witness in added:
            self._live_member(witness)

    def _failover(
        self, record: records.Failover, offset: Offset, changes: _Changes
    ) -> None:
        lapsed = [v.member for v in record.verdicts if self._holds_good(v)]
        if not lapsed:
            raise _VoidRecord("no verdict in it holds good")
        self._close(lapsed, EndReason.FAILED_OVER, offset, changes)

    def _holds_good(self, verdict: records.Verdict) -> bool:
        member = self.member_by_id.get(verdict.member)
        if member is None or verdict.witness_version != member.witness_version:
            return False
        voters = set(verdict.voters) & set(member.witnesses)
        return bool(member.witnesses) and len(voters) >= member.majority

    def _resume(
        self, record: records.Resume, offset: Offset, changes: _Changes
    ) -> None:
        # Promises name the version of the witness set, so a new version voids them.
        self._live_member(record.member).witness_version += 1

    def _move(self, record: records.Move, offset: Offset, changes: _Changes) -> None:
        source = self._live_member(record.source)
        table = self._table_of(record.service)
        service = self.intent.services[record.service]
        for index, epoch, target in record.slices:
            member = self.member_by_id.get(target)
            if member is None or not self.may_take(service, member):
                continue
            if not 0 <= index < len(table) or table.owners[index] != source.number:
                continue
            if table.epochs[index] != epoch or member is source:
                continue
            predecessors = table.predecessors.get(index, ())
            if record.predecessors_closed:
                predecessors = ()
            table.assign(index, member.number, (*predecessors, source.number))
            changes.moved.append(SliceRef(record.service, index))
        if not changes.moved:
            raise _VoidRecord("no slice in it could be moved")

    def _split(self, record: records.Split, offset: Offset, changes: _Changes) -> None:
        table = self._table_of(record.service)
        if record.key in table.index_by_hot_key:
            raise _VoidRecord(f"key {record.key!r} has a slice of its own already")
        if len(table.index_by_hot_key) >= MAX_HOT_KEYS:
            raise _VoidRecord(f"{MAX_HOT_KEYS} keys have slices of their own already")
        owner = self._live_member(record.owner)
        parent = table.index_of(record.key)
        if (table.owners[parent], table.epochs[parent]) != (owner.number, record.epoch):
            raise _VoidRecord(f"{record.owner} does not own the key in that epoch")
        index = table.split_out(record.key, owner.number)
        changes.moved.append(SliceRef(record.service, index))

    def _merge(self, record: records.Merge, offset: Offset, changes: _Changes) -> None:
        table = self._table_of(record.service)
        index = table.index_by_hot_key.get(record.key)
        if index is None:
            raise _VoidRecord(f"key {record.key!r} has no slice of its own")
        owner = self._live_member(record.owner).number
        parent = slice_of_key(record.key, table.hashed)
        if not table.owners[index] == table.owners[parent] == owner:
            raise _VoidRecord(f"{record.owner} does not own both slices of the key")
        table.merge_back(record.key)
        changes.moved.append(SliceRef(record.service, index))

    def _table_of(self, service: ServiceName) -> OwnerTable:
        table = self.table_by_service.get(service)
        if table is None:
            raise _VoidRecord(f"the intent has no service {service}")
        return table

    def _declare_lost(
        self, record: records.DeclareLost, offset: Offset, changes: _Changes
    ) -> None:
        live = [each for each in record.members if each in self.member_by_id]
        if not live:
            raise _VoidRecord("no member in it is live")
        self._close(live, EndReason.DECLARED_LOST, offset, changes)

    def _intent(
        self, record: records.IntentRecord, offset: Offset, changes: _Changes
    ) -> None:
        if record.replaces != self.intent_version:
            raise _VoidRecord(
                f"intent is at version {self.intent_version}, not {record.replaces}"
            )
        try:
            intent = intent_from_document(record.document)
        except ConfigurationError as error:
            raise _VoidRecord(f"intent is not valid: {error}") from error
        self._check_slices_kept(intent)
        self.intent = intent
        self.intent_document = record.document
        self.intent_version += 1
        self.membership_version += 1
        self._ring_by_pool.clear()
        self._update_tables()
        self._assign_unowned(changes)

    def _check_slices_kept(self, intent: Intent) -> None:
        for name, table in (self.table_by_service | self.dropped_by_service).items():
            service = intent.services.get(name)
            if service and service.slices != table.hashed:
                raise _VoidRecord(
                    f"services.{name}.slices cannot change from {table.hashed} "
                    f"to {service.slices}"
                )

    def _update_tables(self) -> None:
        services = self.intent.services
        for name in self.table_by_service.keys() - services.keys():
            self.dropped_by_service[name] = self.table_by_service.pop(name)
        for name, service in services.items():
            if name in self.table_by_service:
                continue
            dropped = self.dropped_by_service.pop(name, None)
            self.table_by_service[name] = dropped or OwnerTable(service.slices)

    def _snapshot(
        self, record: records.SnapshotChunk, offset: Offset, changes: _Changes
    ) -> None:
        """Change nothing: a snapshot repeats the state that earlier records gave."""

    # Shared steps

    def _close(
        self,
        members: list[MemberId],
        reason: EndReason,
        offset: Offset,
        changes: _Changes,
    ) -> None:
        region_by_number: dict[int, str] = {}
        self.membership_version += 1
        for member_id in members:
            member = self.member_by_id.pop(member_id, None)
            if member is None:
                continue
            region_by_number[member.number] = member.join.region
            if self._newest_member_by_calls.get(member.join.calls) == member_id:
                del self._newest_member_by_calls[member.join.calls]
            self.closed_by_id[member_id] = ClosedMember(member, reason, offset)
            self.member_ring.remove(member_id)
            self.ring_by_domain[member.join.domain].remove(member_id)
            changes.closed.append(member_id)
        for ring in self._ring_by_pool.values():
            for member_id in members:
                ring.remove(member_id)
        for table in self.table_by_service.values():
            table.remove_predecessors(set(region_by_number))
        self._reassign(region_by_number, changes)
        self._unassign_dropped(region_by_number, changes)

    def _reassign(self, region_by_number: dict[int, str], changes: _Changes) -> None:
        for name, table in self.table_by_service.items():
            for index in _slices_owned_by(table, region_by_number):
                region = region_by_number[table.owners[index]]
                self._assign_owner(name, index, region, changes)

    def _unassign_dropped(self, numbers: Collection[int], changes: _Changes) -> None:
        for name, table in self.dropped_by_service.items():
            table.remove_predecessors(set(numbers))
            for index in _slices_owned_by(table, numbers):
                table.assign(index, NO_OWNER, table.predecessors.get(index, ()))
                changes.moved.append(SliceRef(name, index))

    def _assign_unowned(self, changes: _Changes) -> None:
        for name, table in self.table_by_service.items():
            for index in list(table.owned_by(NO_OWNER)):
                self._assign_owner(name, index, None, changes)

    def _assign_owner(
        self, name: ServiceName, index: int, region: str | None, changes: _Changes
    ) -> None:
        table = self.table_by_service[name]
        chosen = self.choose_owner(name, index, region)
        if chosen is None and table.owners[index] == NO_OWNER:
            return
        number = self.member_by_id[chosen].number if chosen else NO_OWNER
        table.assign(index, number, table.predecessors.get(index, ()))
        changes.moved.append(SliceRef(name, index))


def _slices_owned_by(table: OwnerTable, numbers: Collection[int]) -> list[int]:
    # `array.index` finds the slices of one member fast. For many members at once, a
    # single pass over the table is faster than a search for each of them.
    if len(numbers) <= MAX_MEMBERS_SEARCHED_SINGLY:
        return [index for number in numbers for index in table.owned_by(number)]
    return [index for index, number in enumerate(table.owners) if number in numbers]


_HANDLER_BY_RECORD = {
    records.Join: Directory._join,
    records.Retire: Directory._retire,
    records.Leave: Directory._leave,
    records.Witnesses: Directory._witnesses,
    records.Failover: Directory._failover,
    records.Resume: Directory._resume,
    records.Move: Directory._move,
    records.Split: Directory._split,
    records.Merge: Directory._merge,
    records.DeclareLost: Directory._declare_lost,
    records.IntentRecord: Directory._intent,
    records.SnapshotChunk: Directory._snapshot,
}
