"""The directory: a deterministic fold of the platform's log.

Every reader applies the same records in the same order and so comes to the
same members, owners and intent. A record whose precondition does not hold at
its offset is void for all readers alike.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core import records
from rhubarbhall.core.directory_state import DirectoryState
from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.core.intent import Intent, intent_from_document
from rhubarbhall.core.members import ClosedMember, Closing, Member
from rhubarbhall.core.slices import NO_OWNER, OwnerTable, SliceRef, slice_of_key

if TYPE_CHECKING:
    from collections.abc import Collection

    from rhubarbhall.types import MemberId, Offset, RecordId, ServiceName

#: Record ids that the fold remembers to drop repeated appends.
REMEMBERED_IDS = 100_000
#: Closed members that the fold remembers beyond those still referred to.
REMEMBERED_CLOSED = 20_000
#: Keys of one service that may have slices of their own.
MAX_HOT_KEYS = 1_024
#: Lost members up to which owner tables are searched once for each.
MAX_SEARCHED_SINGLY = 16


@dataclass(frozen=True, slots=True)
class Applied:
    """Outcome of one record.

    Parameters
    ----------
    offset : int
        Its place in the log.
    record_id : str
        Its identity.
    record : Record
        What was applied, or tried.
    void : str, optional
        Why the record has no effect; none when it took effect.
    joined, closed : tuple of str
        Members that the record added and ended.
    moved : tuple of SliceRef
        Slices whose owner changed.
    """

    offset: Offset
    record_id: RecordId
    record: records.Record | records.UnknownRecord
    void: str | None = None
    joined: tuple[MemberId, ...] = ()
    closed: tuple[MemberId, ...] = ()
    moved: tuple[SliceRef, ...] = ()


class _Void(Exception):
    """The precondition of a record does not hold."""


@dataclass(slots=True)
class _Changes:
    joined: list[MemberId] = field(default_factory=list)
    closed: list[MemberId] = field(default_factory=list)
    moved: list[SliceRef] = field(default_factory=list)


class Directory(DirectoryState):
    """State of the deployment at one offset of the log, and how records change it."""

    def apply(self, stored: records.StoredRecord) -> Applied:
        """Apply the record at `next_offset` and report what it did.

        Raises
        ------
        ValueError
            If the record is not the next one.
        """
        if stored.offset != self.next_offset:
            raise ValueError(
                f"offset {stored.offset} applied where {self.next_offset} is due"
            )
        self.next_offset += 1
        envelope = stored.envelope
        record = records.open_envelope(envelope)
        self.newest_schema = max(self.newest_schema, envelope.schema)
        changes = _Changes()
        void = self._try(stored, record, changes)
        return Applied(
            stored.offset,
            envelope.id,
            record,
            void,
            tuple(changes.joined),
            tuple(changes.closed),
            tuple(changes.moved),
        )

    def _try(
        self,
        stored: records.StoredRecord,
        record: records.Record | records.UnknownRecord,
        changes: _Changes,
    ) -> str | None:
        if stored.envelope.id in self.seen_ids:
            return "repeated append"
        self._remember(stored.envelope.id)
        if isinstance(record, records.UnknownRecord):
            return None
        handler = _HANDLER_BY_RECORD[type(record)]
        try:
            handler(self, record, stored.offset, changes)
        except _Void as reason:
            return str(reason)
        self._forget_closed()
        return None

    def _remember(self, record_id: RecordId) -> None:
        self.seen_ids[record_id] = None
        if len(self.seen_ids) > REMEMBERED_IDS:
            self.seen_ids.popitem(last=False)

    def _forget_closed(self) -> None:
        while len(self.closed_by_id) > REMEMBERED_CLOSED:
            _, closed = self.closed_by_id.popitem(last=False)
            self.id_by_number.pop(closed.member.number, None)

    def _live(self, member: MemberId) -> Member:
        found = self.member_by_id.get(member)
        if found is None:
            raise _Void(f"member {member} is not live")
        return found

    def _join(self, record: records.Join, offset: Offset, changes: _Changes) -> None:
        if record.member in self.member_by_id or record.member in self.closed_by_id:
            raise _Void(f"member {record.member} has joined before")
        former = self.run_in_slot(record)
        if former is not None and former.join.started_at >= record.started_at:
            # The append of a run that has ended can come after its successor's.
            raise _Void(f"{former.id} is a later run in the same slot")
        number = self.next_number
        self.next_number += 1
        self.seat_member(Member(number, record))
        changes.joined.append(record.member)
        if former is not None:
            self._close([former.id], Closing.SUPERSEDED, offset, changes)
        self._assign_unowned(changes)

    def _retire(
        self, record: records.Retire, offset: Offset, changes: _Changes
    ) -> None:
        member = self._live(record.member)
        member.retiring = True
        self._seat(member)

    def _leave(self, record: records.Leave, offset: Offset, changes: _Changes) -> None:
        self._live(record.member)
        self._close([record.member], Closing.LEFT, offset, changes)

    def _witnesses(
        self, record: records.Witnesses, offset: Offset, changes: _Changes
    ) -> None:
        member = self._live(record.member)
        if record.replaces != member.witness_version:
            raise _Void(
                f"witness set is at version {member.witness_version}, "
                f"not {record.replaces}"
            )
        self._check_witness_step(member, record.witnesses)
        member.witnesses = record.witnesses
        member.witness_version += 1
        self._seat(member)

    def _check_witness_step(self, member: Member, wanted: tuple[str, ...]) -> None:
        # Sets that differ by one witness have majorities that always meet, so
        # a member that has not yet read its new set cannot be voted out by
        # witnesses that never heard of it.
        added = set(wanted) - set(member.witnesses)
        removed = set(member.witnesses) - set(wanted)
        if len(added) + len(removed) > 1:
            raise _Void("a witness set changes by one witness at a time")
        if member.id in added or len(wanted) != len(set(wanted)):
            raise _Void("a witness is another member and named once")
        for witness in added:
            self._live(witness)

    def _failover(
        self, record: records.Failover, offset: Offset, changes: _Changes
    ) -> None:
        lapsed = [v.member for v in record.verdicts if self._holds_good(v)]
        if not lapsed:
            raise _Void("no verdict in it holds good")
        self._close(lapsed, Closing.FAILED_OVER, offset, changes)

    def _holds_good(self, verdict: records.Verdict) -> bool:
        member = self.member_by_id.get(verdict.member)
        if member is None or verdict.witness_version != member.witness_version:
            return False
        voters = set(verdict.voters) & set(member.witnesses)
        return bool(member.witnesses) and len(voters) >= member.majority

    def _resume(
        self, record: records.Resume, offset: Offset, changes: _Changes
    ) -> None:
        # Promises name the version of the set, so a new version voids them.
        self._live(record.member).witness_version += 1

    def _move(self, record: records.Move, offset: Offset, changes: _Changes) -> None:
        source = self._live(record.source)
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
            earlier = table.predecessors.get(index, ())
            if record.predecessors_closed:
                earlier = ()
            table.assign(index, member.number, (*earlier, source.number))
            changes.moved.append(SliceRef(record.service, index))
        if not changes.moved:
            raise _Void("no slice in it could be moved")

    def _split(self, record: records.Split, offset: Offset, changes: _Changes) -> None:
        table = self._table_of(record.service)
        if record.key in table.index_by_hot_key:
            raise _Void(f"key {record.key!r} has a slice of its own already")
        if len(table.index_by_hot_key) >= MAX_HOT_KEYS:
            raise _Void(f"{MAX_HOT_KEYS} keys have slices of their own already")
        owner = self._live(record.owner)
        parent = table.index_of(record.key)
        if (table.owners[parent], table.epochs[parent]) != (owner.number, record.epoch):
            raise _Void(f"{record.owner} does not own the key in that epoch")
        index = table.split_out(record.key, owner.number)
        changes.moved.append(SliceRef(record.service, index))

    def _merge(self, record: records.Merge, offset: Offset, changes: _Changes) -> None:
        table = self._table_of(record.service)
        index = table.index_by_hot_key.get(record.key)
        if index is None:
            raise _Void(f"key {record.key!r} has no slice of its own")
        owner = self._live(record.owner).number
        parent = slice_of_key(record.key, table.hashed)
        if not table.owners[index] == table.owners[parent] == owner:
            raise _Void(f"{record.owner} does not own both slices of the key")
        table.merge_back(record.key)
        changes.moved.append(SliceRef(record.service, index))

    def _table_of(self, service: ServiceName) -> OwnerTable:
        table = self.table_by_service.get(service)
        if table is None:
            raise _Void(f"no keyed service {service}")
        return table

    def _declare_lost(
        self, record: records.DeclareLost, offset: Offset, changes: _Changes
    ) -> None:
        live = [each for each in record.members if each in self.member_by_id]
        if not live:
            raise _Void("no member in it is live")
        self._close(live, Closing.DECLARED_LOST, offset, changes)

    def _intent(
        self, record: records.IntentRecord, offset: Offset, changes: _Changes
    ) -> None:
        if record.replaces != self.intent_version:
            raise _Void(
                f"intent is at version {self.intent_version}, not {record.replaces}"
            )
        try:
            intent = intent_from_document(record.document)
        except ConfigurationError as error:
            raise _Void(f"intent is not valid: {error}") from error
        self._check_slices_kept(intent)
        self.intent = intent
        self.intent_document = record.document
        self.intent_version += 1
        self.membership_version += 1
        self._ring_by_pool.clear()
        self._fit_tables()
        self._assign_unowned(changes)

    def _check_slices_kept(self, intent: Intent) -> None:
        for name, table in (self.table_by_service | self.dropped_by_service).items():
            service = intent.services.get(name)
            if service and service.slices != table.hashed:
                raise _Void(
                    f"services.{name}.slices cannot change from {table.hashed} "
                    f"to {service.slices}"
                )

    def _fit_tables(self) -> None:
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
        """Leave the state as it is: a snapshot only repeats it."""

    # Shared steps

    def _close(
        self,
        members: list[MemberId],
        reason: Closing,
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
            if self._newest_by_calls.get(member.join.calls) == member_id:
                del self._newest_by_calls[member.join.calls]
            self.closed_by_id[member_id] = ClosedMember(member, reason, offset)
            self.everyone.remove(member_id)
            self.ring_by_domain[member.join.domain].remove(member_id)
            changes.closed.append(member_id)
        for ring in self._ring_by_pool.values():
            for member_id in members:
                ring.remove(member_id)
        for table in self.table_by_service.values():
            table.close(set(region_by_number))
        self._reassign(region_by_number, changes)
        self._unassign_dropped(region_by_number, changes)

    def _reassign(self, region_by_number: dict[int, str], changes: _Changes) -> None:
        for name, table in self.table_by_service.items():
            for index in _slices_owned_by(table, region_by_number):
                region = region_by_number[table.owners[index]]
                self._give(name, index, region, changes)

    def _unassign_dropped(self, numbers: Collection[int], changes: _Changes) -> None:
        for name, table in self.dropped_by_service.items():
            table.close(set(numbers))
            for index in _slices_owned_by(table, numbers):
                table.assign(index, NO_OWNER, table.predecessors.get(index, ()))
                changes.moved.append(SliceRef(name, index))

    def _assign_unowned(self, changes: _Changes) -> None:
        for name, table in self.table_by_service.items():
            for index in list(table.owned_by(NO_OWNER)):
                self._give(name, index, None, changes)

    def _give(
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
    # A search by one number runs at the speed of the array; a loss of many
    # members at once is found faster in a single pass.
    if len(numbers) <= MAX_SEARCHED_SINGLY:
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
