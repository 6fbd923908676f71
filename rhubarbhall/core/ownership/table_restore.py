"""When a key table may be written again after a restore of the store.

The restored store lacks the last changes of the table, so the newest table that a
daemon knows counts. After a restore each daemon writes a boot record that names the
position of the newest table that it knows, and grants keys and renews leases only once
it has read the log beyond that record. Witnesses renew no lease of an owner without
such a record. The table is written on condition that the log ends where the writer has
read it, so the writer knows every boot record before it. It may write once none of them
names a newer table and no other daemon can still act on one:

- a daemon that names a table acts on that one, which the writer's is based on;
- a daemon that names none was started again; what its earlier process granted has ended
  after `RESTORE_SETTLE_S`;
- an owner without a boot record has no lease any more when a majority of its witnesses
  has had one for `RESTORE_SETTLE_S`;
- after `takeover_wait_s()` no lease of an earlier epoch is left, as read leases are not
  renewed before the table is written.

An owner that knows a newer table, has written no boot record and still reaches a
majority of witnesses that no other daemon knows of is not covered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.range_witness import (
    LAPSE_MARGIN_S,
    WITNESS_LEASE_S,
    majority,
)
from rhubarbhall.core.ownership.read_lease import (
    CLOCK_DRIFT,
    LEASE_MARGIN_S,
    takeover_wait_s,
)
from rhubarbhall.core.ownership.records import TargetState

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.types import Address, Seconds, StoreEpoch

#: Time after which a witness lease that is not renewed has ended, with everything that
#: was granted under it.
RESTORE_SETTLE_S = WITNESS_LEASE_S * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S + LEASE_MARGIN_S


class TableRestore:
    """Decides when the local daemon may write the table again.

    Parameters
    ----------
    service : str
        Service of the local target.
    directory : KeyDirectory
        Members, tables and boot records that are known.
    """

    def __init__(self, service: str, directory: KeyDirectory) -> None:
        self._service = service
        self._directory = directory
        self._epoch: StoreEpoch = 0
        #: Since when this epoch has been known.
        self._since: Seconds = float("-inf")
        #: Since when each daemon is known to have a boot record in this epoch.
        self._booted_since: dict[Address, Seconds] = {}

    def begin_epoch(self, now: Seconds) -> None:
        """Record when the present epoch of the directory was learned of."""
        self._age_s(now)

    def _age_s(self, now: Seconds) -> Seconds:
        """Return for how long the present epoch has been known."""
        if self._directory.epoch != self._epoch:
            self._epoch = self._directory.epoch
            self._since = now
            self._booted_since = {}
        return now - self._since

    def may_found(self, now: Seconds) -> bool:
        """Return whether a first table may be written, as no restore can hide one."""
        age_s = self._age_s(now)
        return self._epoch == 0 or age_s >= takeover_wait_s() + RESTORE_SETTLE_S

    def due(self, now: Seconds, table: KeyTable) -> KeyTable | None:
        """Return the table to write again, or `None` while that has to wait.

        Parameters
        ----------
        table : KeyTable
            The newest known table, of an earlier epoch.
        """
        age_s = self._age_s(now)
        relevant = self._relevant(table)
        self._update_booted_since(now, relevant)
        if age_s >= takeover_wait_s():
            return table.in_epoch(self._epoch, renews_fences=True)
        known = self._directory.table_position(self._service)
        if any(self._directory.known_table_of(each) > known for each in relevant):
            return None
        if not all(self._is_clear(now, table, each) for each in relevant):
            return None
        is_complete = all(self._names_table(each) for each in relevant | self._members)
        return table.in_epoch(self._epoch, renews_fences=not is_complete)

    @property
    def _members(self) -> set[Address]:
        """All known daemons beside targets of the service."""
        return {address for address, _ in self._directory.members_of(self._service)}

    def _relevant(self, table: KeyTable) -> set[Address]:
        """Return the daemons that may act on a table: they may know a newer one."""
        holders = {span.owner for span in table.spans}
        holders |= {span.previous for span in table.spans if span.previous}
        witnesses = {each for row in table.owner_witnesses for each in row.witnesses}
        members = {
            address
            for address, member in self._directory.members_of(self._service)
            if member.state is not TargetState.GONE
            and not self._directory.is_lost(address)
        }
        return holders | witnesses | members

    def _update_booted_since(self, now: Seconds, daemons: set[Address]) -> None:
        for address in daemons:
            if self._directory.has_booted(address):
                self._booted_since.setdefault(address, now)

    def _has_settled(self, now: Seconds, address: Address) -> bool:
        booted_since = self._booted_since.get(address, now)
        return now - booted_since >= RESTORE_SETTLE_S

    def _names_table(self, address: Address) -> bool:
        is_named = self._directory.known_table_of(address) >= 0
        return self._directory.has_booted(address) and is_named

    def _is_clear(self, now: Seconds, table: KeyTable, address: Address) -> bool:
        """Return whether a daemon cannot act on a newer table any more."""
        if self._directory.has_booted(address):
            return self._names_table(address) or self._has_settled(now, address)
        if now - self._since < RESTORE_SETTLE_S:
            return False
        is_holder = any(address in (span.owner, span.previous) for span in table.spans)
        if not is_holder:
            return True
        witnesses = table.witnesses_of(address)
        settled = sum(self._has_settled(now, each) for each in witnesses)
        return settled >= majority(witnesses)
