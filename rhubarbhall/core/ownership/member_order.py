"""Which of the member records of an address counts.

The store may write a record seconds after the call, when its process has written others
or has ended and another one uses the address. So these records are ordered by their
versions, and by their offsets only where one has no version: earlier builds write none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.entries import Entry
    from rhubarbhall.core.ownership.records import MemberVersion


class MemberOrder:
    """Versions of the member records that count, and outdated records after them."""

    def __init__(self) -> None:
        self._version_by_key: dict[str, MemberVersion | None] = {}
        self._overwriting_by_key: dict[str, Entry] = {}

    def take(
        self, entry: Entry, version: MemberVersion | None, known: Entry | None
    ) -> bool:
        """Return whether a record counts from now on.

        Parameters
        ----------
        entry : Entry
            A record that was not known.
        version : MemberVersion, optional
            Version of the record, if it has one.
        known : Entry, optional
            The record that has counted so far.
        """
        if known is not None and not self._is_newer(entry, version, known):
            self._keep_last(entry, known)
            return False
        self._version_by_key[entry.key] = version
        self._keep_last(known, entry)
        return True

    def _is_newer(
        self, entry: Entry, version: MemberVersion | None, known: Entry
    ) -> bool:
        known_version = self._version_by_key[entry.key]
        if version is None or known_version is None or version == known_version:
            return entry.offset > known.offset
        return version > known_version

    def _keep_last(self, outdated: Entry | None, counting: Entry | None) -> None:
        """Keep the last outdated record if it lies after the one that counts."""
        key = (outdated or counting).key
        found = (outdated, self._overwriting_by_key.pop(key, None))
        first = -1 if counting is None else counting.offset
        after = [each for each in found if each is not None and each.offset > first]
        if after:
            self._overwriting_by_key[key] = max(after, key=lambda each: each.offset)

    def record_unreadable(self, entry: Entry, known: Entry | None) -> None:
        """Record a record that cannot be decoded; it never counts.

        Parameters as of `take`.
        """
        self._keep_last(entry, known)

    def version(self, key: str) -> MemberVersion | None:
        """Return the version of the record that counts; none if it has none."""
        return self._version_by_key.get(key)

    def overwriting(self, key: str) -> Entry | None:
        """Return the last outdated record that lies after the one that counts, if any.

        Daemons that start read the last record of each key, so they take this one until
        the process at the address writes again.
        """
        return self._overwriting_by_key.get(key)

    def all_overwriting(self) -> list[Entry]:
        """Return the last outdated records of all addresses that have one."""
        return list(self._overwriting_by_key.values())
