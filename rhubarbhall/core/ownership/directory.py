"""What a daemon knows of the others: the newest record of each key in the store."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.records import (
    MEMBER_PREFIX,
    TABLE_PREFIX,
    Member,
    decode_member,
    decode_table,
)

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.types import Address, Offset


@dataclass(frozen=True, slots=True)
class Entry:
    """One record of the store.

    Parameters
    ----------
    offset : int
        Its place in the log; of two with one key, the higher holds.
    key : str
        What it is about.
    value : bytes
        Its content; empty when the key was dropped.
    """

    offset: Offset
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """A record that cannot be read; what stood before it holds on.

    Parameters
    ----------
    entry : Entry
        The record.
    reason : str
        Why it cannot be read.
    """

    entry: Entry
    reason: str


class Directory:
    """The members and the tables of keys, folded from the records.

    An entry that is older than the one known under its key changes nothing, so records
    may come twice, late and from other daemons.
    """

    def __init__(self) -> None:
        self.member_by_address: dict[Address, Member] = {}
        self.table_by_service: dict[str, KeyTable] = {}
        self._entry_by_key: dict[str, Entry] = {}
        #: Offset after the last record that was read; every one before it is known.
        self.end: Offset = 0
        self.is_loaded = False
        #: Offsets of records that are known although some before them are not.
        self._ahead: set[Offset] = set()

    def apply(self, entry: Entry) -> Rejected | None:
        """Take one record in; return it if it cannot be read."""
        known = self._entry_by_key.get(entry.key)
        if known is not None and known.offset >= entry.offset:
            return None
        self._entry_by_key[entry.key] = entry
        try:
            self._decode(entry)
        except ValueError as error:
            return Rejected(entry, str(error))
        return None

    def _decode(self, entry: Entry) -> None:
        if entry.key.startswith(MEMBER_PREFIX):
            address = entry.key.removeprefix(MEMBER_PREFIX)
            if entry.value:
                self.member_by_address[address] = decode_member(entry.value)
            else:
                self.member_by_address.pop(address, None)
        elif entry.key.startswith(TABLE_PREFIX) and entry.value:
            service = entry.key.removeprefix(TABLE_PREFIX)
            self.table_by_service[service] = decode_table(entry.value)

    def note_end(self, end: Offset) -> None:
        """Note that every record before `end` has been read."""
        self.is_loaded = True
        self.end = max(self.end, end)
        self._catch_up()

    def apply_next(self, entry: Entry) -> Rejected | None:
        """Take in a record that was just written, by a peer or by this daemon.

        Records of several writers may come in another order than they stand in.
        """
        rejected = self.apply(entry)
        if self.is_loaded:
            self._ahead.add(entry.offset)
            self._catch_up()
        return rejected

    def _catch_up(self) -> None:
        """Move the end over the records that are known already."""
        while self.end in self._ahead:
            self.end += 1
        self._ahead = {offset for offset in self._ahead if offset >= self.end}

    def entries_from(self, offset: Offset) -> list[Entry]:
        """Return the newest records at `offset` or later, for another daemon."""
        entries = [
            each for each in self._entry_by_key.values() if each.offset >= offset
        ]
        return sorted(entries, key=lambda entry: entry.offset)

    def members_of(self, service: str) -> Iterator[tuple[Address, Member]]:
        """Yield the daemons beside targets of a service, by address."""
        for address in sorted(self.member_by_address):
            member = self.member_by_address[address]
            if member.service == service:
                yield address, member
