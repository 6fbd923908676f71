"""The members and key tables that a daemon knows from the records of the store.

The newest record of each key counts; of the member records of an address the one with
the highest version, since the store may write an earlier one later. After a restore of
the store from an older copy, records of earlier epochs that are known stay in use until
newer ones replace them; no more of them are taken.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.entries import Entry, Rejected
from rhubarbhall.core.ownership.member_order import MemberOrder
from rhubarbhall.core.ownership.records import (
    DEPARTURE_PREFIX,
    LOST_PREFIX,
    MEMBER_PREFIX,
    TABLE_PREFIX,
    Member,
    MemberVersion,
    boot_key,
    decode_departure,
    decode_known_table,
    decode_loss,
    decode_member,
    decode_table,
    departure_key,
    member_key,
    table_key,
)
from rhubarbhall.core.ownership.store_port import epoch_of, position
from rhubarbhall.settings import parse_address

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.types import Address, Offset, StoreEpoch


class KeyDirectory:
    """The members and the key tables, built from the records of the store.

    An entry that is older than the known entry of its key changes nothing, so records
    may arrive twice, late and from other daemons.
    """

    def __init__(self) -> None:
        self.member_by_address: dict[Address, Member] = {}
        self.table_by_service: dict[str, KeyTable] = {}
        #: Addresses of the members of each service, in order.
        self._addresses_by_service: dict[str, list[Address]] = {}
        #: Grows with each change of the addresses or regions of the members.
        self.member_version = 0
        #: Grows with each change of a member, and of which ones are lost.
        self.state_version = 0
        #: The record of each key that counts.
        self._entry_by_key: dict[str, Entry] = {}
        self._member_order = MemberOrder()
        #: Position up to which the member record of each reported daemon counts as that
        #: of a lost one.
        self._lost_position_by_address: dict[Address, Offset] = {}
        #: Last run of the target beside each daemon that has said that it leaves.
        self._departed_run_by_address: dict[Address, str] = {}
        #: Known epoch of the store.
        self.epoch: StoreEpoch = 0
        #: The end that was reached in each earlier epoch.
        self._end_by_epoch: dict[StoreEpoch, Offset] = {}
        #: Offset after the last known record; every record before it is known.
        self.end: Offset = 0
        #: Whether the log has been read up to its end at least once.
        self.is_loaded = False
        #: Offsets of known records beyond `end`; some records before them are unknown.
        self._known_beyond_end: set[Offset] = set()

    def begin_epoch(self, epoch: StoreEpoch) -> None:
        """Record that the store was restored from an older copy."""
        self._end_by_epoch[epoch_of(self.end)] = self.end
        self.epoch = epoch

    def is_earlier(self, position: Offset) -> bool:
        """Return whether a position is of an earlier epoch than the known one."""
        return epoch_of(position) < self.epoch

    @property
    def is_current(self) -> bool:
        """Whether the log has been read up to its end in the present epoch."""
        return self.is_loaded and not self.is_earlier(self.end)

    def is_written(self, key: str) -> bool:
        """Return whether a record of a key was written in the present epoch."""
        known = self._entry_by_key.get(key)
        return known is not None and not self.is_earlier(known.offset)

    def has_booted(self, address: Address) -> bool:
        """Return whether a daemon is known to act in the present epoch.

        It has written a boot record since the store was restored; without a restore
        every daemon does.
        """
        return self.epoch == 0 or self.is_written(boot_key(address))

    def known_table_of(self, address: Address) -> Offset:
        """Return the position of the table that a daemon knew at its boot record.

        It is -1 if the daemon knew none, or has written no such record in this epoch.
        """
        if not self.is_written(boot_key(address)):
            return -1
        try:
            return decode_known_table(self._entry_by_key[boot_key(address)].value)
        except ValueError:
            return -1

    def table_position(self, service: str) -> Offset:
        """Return the position of the known table of a service; -1 without one."""
        entry = self._entry_by_key.get(table_key(service))
        return -1 if entry is None else entry.offset

    def is_restoring(self, service: str) -> bool:
        """Return whether the known table of a service is of an earlier epoch.

        The restored store does not have it until a daemon writes it again.
        """
        known = self.table_position(service)
        return known >= 0 and self.is_earlier(known)

    def settled_end(self, service: str) -> Offset:
        """Return the end of the log of the epoch that the table of a service is of.

        What depends on a write of that epoch stays pending until the table is written
        again: the write may have been carried out before the store was restored.
        """
        if not self.is_restoring(service):
            return self.end
        epoch = epoch_of(self.table_position(service))
        return self._end_by_epoch.get(epoch, position(epoch, 0))

    def apply(self, entry: Entry) -> Rejected | None:
        """Apply one record; return it as `Rejected` if it cannot be decoded."""
        if self.is_earlier(entry.offset) or self.knows(entry.key, entry.offset):
            return None
        try:
            if entry.key.startswith(MEMBER_PREFIX):
                self._apply_member(entry)
            else:
                self._entry_by_key[entry.key] = entry
                self._decode(entry)
        except ValueError as error:
            return Rejected(entry, str(error))
        return None

    def _apply_member(self, entry: Entry) -> None:
        known = self._entry_by_key.get(entry.key)
        member, version = None, None
        try:
            address = parse_address(entry.key.removeprefix(MEMBER_PREFIX))
            if entry.value:
                record = decode_member(entry.value)
                member, version = record.member, record.version
        except ValueError:
            self._member_order.record_unreadable(entry, known)
            raise
        if self._member_order.take(entry, version, known):
            self._entry_by_key[entry.key] = entry
            self._set_member(address, member)

    def record_version(self, address: Address) -> MemberVersion | None:
        """Return the version of the member record that counts; none if it has none."""
        return self._member_order.version(member_key(address))

    def is_overwritten(self, address: Address) -> bool:
        """Return whether an outdated member record lies after the one that counts."""
        return self._member_order.overwriting(member_key(address)) is not None

    def _decode(self, entry: Entry) -> None:
        if entry.key.startswith(LOST_PREFIX):
            self._set_loss(entry)
        elif entry.key.startswith(DEPARTURE_PREFIX):
            address = entry.key.removeprefix(DEPARTURE_PREFIX)
            self._departed_run_by_address[address] = decode_departure(entry.value)
        elif entry.key.startswith(TABLE_PREFIX) and entry.value:
            service = entry.key.removeprefix(TABLE_PREFIX)
            self.table_by_service[service] = decode_table(entry.value)

    def _set_member(self, address: Address, member: Member | None) -> None:
        self.state_version += 1
        known = self.member_by_address.pop(address, None)
        if known is not None and (member is None or known.service != member.service):
            self._addresses_by_service[known.service].remove(address)
        if member is not None:
            self.member_by_address[address] = member
            if known is None or known.service != member.service:
                addresses = self._addresses_by_service.setdefault(member.service, [])
                insort(addresses, address)
        if known is None or member is None or known.region != member.region:
            self.member_version += 1

    def _set_loss(self, entry: Entry) -> None:
        address = entry.key.removeprefix(LOST_PREFIX)
        if not entry.value:
            self._lost_position_by_address.pop(address, None)
        else:
            reported = decode_loss(entry.value)
            # One that names no record counts for every member record before it.
            lost_position = entry.offset if reported is None else reported
            self._lost_position_by_address[address] = lost_position
        self.state_version += 1

    def is_lost(self, address: Address) -> bool:
        """Return whether a watcher has reported that a daemon does not respond.

        The report counts until the daemon writes its member record again.
        """
        lost_position = self._lost_position_by_address.get(address)
        if lost_position is None:
            return False
        return self.member_position(address) <= lost_position

    def member_position(self, address: Address) -> Offset:
        """Return the position of the member record that counts; -1 without one."""
        entry = self.member_entry(address)
        return -1 if entry is None else entry.offset

    def member_entry(self, address: Address) -> Entry | None:
        """Return the member record that counts as it is stored; none without one."""
        return self._entry_by_key.get(member_key(address))

    def departed_run(self, address: Address) -> str:
        """Return the last run of a target that has left; empty if none is known."""
        return self._departed_run_by_address.get(address, "")

    def is_departure_written(self, address: Address, run: str) -> bool:
        """Return whether the store has the record that a run of a target leaves."""
        is_written = self.is_written(departure_key(address))
        return is_written and self.departed_run(address) == run

    def advance_end(self, end: Offset) -> None:
        """Record that every record before `end` is known."""
        if self.is_earlier(end):
            return
        self.is_loaded = True
        self.end = max(self.end, end)
        self._advance_end()

    def apply_next(self, entry: Entry) -> Rejected | None:
        """Apply a record that was just written, by a peer or by this daemon.

        Records of several writers may arrive in another order than that of the log.
        """
        rejected = self.apply(entry)
        if self.is_loaded and not self.is_earlier(entry.offset):
            self._known_beyond_end.add(entry.offset)
            self._advance_end()
        return rejected

    def _advance_end(self) -> None:
        """Advance the end over the records beyond it that are already known."""
        while self.end in self._known_beyond_end:
            self.end += 1
        self._known_beyond_end = {
            offset for offset in self._known_beyond_end if offset >= self.end
        }

    def knows(self, key: str, offset: Offset) -> bool:
        """Return whether the record of a key at an offset, or a newer one, is known.

        A member record at a lower offset may be the newer one, so only that record
        itself counts.
        """
        known = self._entry_by_key.get(key)
        if not key.startswith(MEMBER_PREFIX):
            return known is not None and known.offset >= offset
        both = (known, self._member_order.overwriting(key))
        return any(each is not None and each.offset == offset for each in both)

    def entries_from(self, offset: Offset) -> list[Entry]:
        """Return the newest record of each key at `offset` or later, for a peer.

        Of an address with an outdated member record, both are returned.
        """
        overwriting = self._member_order.all_overwriting()
        known = (*self._entry_by_key.values(), *overwriting)
        entries = [each for each in known if each.offset >= offset]
        return sorted(entries, key=lambda entry: entry.offset)

    def members_of(self, service: str) -> Iterator[tuple[Address, Member]]:
        """Yield the daemons beside targets of a service, ordered by address."""
        for address in self._addresses_by_service.get(service, ()):
            yield address, self.member_by_address[address]
