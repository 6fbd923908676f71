"""The members and key tables that a daemon knows from the records of the store.

The newest record of each key counts.
"""

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
        Position in the log; of two records with the same key, the higher one counts.
    key : str
        Key that the record is stored under.
    value : bytes
        Content; empty if the key was deleted.
    """

    offset: Offset
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """A record that cannot be decoded; the value before it stays in force.

    Parameters
    ----------
    entry : Entry
        The record.
    reason : str
        Why it cannot be decoded.
    """

    entry: Entry
    reason: str


class KeyDirectory:
    """The members and the key tables, built from the records of the store.

    An entry that is older than the known entry of its key changes nothing, so records
    may arrive twice, late and from other daemons.
    """

    def __init__(self) -> None:
        self.member_by_address: dict[Address, Member] = {}
        self.table_by_service: dict[str, KeyTable] = {}
        self._entry_by_key: dict[str, Entry] = {}
        #: Offset after the last known record; every record before it is known.
        self.end: Offset = 0
        #: Whether the log has been read up to its end at least once.
        self.is_loaded = False
        #: Offsets of known records beyond `end`; some records before them are unknown.
        self._known_beyond_end: set[Offset] = set()

    def apply(self, entry: Entry) -> Rejected | None:
        """Apply one record; return it as `Rejected` if it cannot be decoded."""
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

    def advance_end(self, end: Offset) -> None:
        """Record that every record before `end` is known."""
        self.is_loaded = True
        self.end = max(self.end, end)
        self._advance_end()

    def apply_next(self, entry: Entry) -> Rejected | None:
        """Apply a record that was just written, by a peer or by this daemon.

        Records of several writers may arrive in another order than that of the log.
        """
        rejected = self.apply(entry)
        if self.is_loaded:
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

    def entries_from(self, offset: Offset) -> list[Entry]:
        """Return the newest record of each key at `offset` or later, for a peer."""
        entries = [
            each for each in self._entry_by_key.values() if each.offset >= offset
        ]
        return sorted(entries, key=lambda entry: entry.offset)

    def members_of(self, service: str) -> Iterator[tuple[Address, Member]]:
        """Yield the daemons beside targets of a service, ordered by address."""
        for address in sorted(self.member_by_address):
            member = self.member_by_address[address]
            if member.service == service:
                yield address, member
