"""Writes what the store shall know: the own member and changes of the table."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.directory import Entry
from rhubarbhall.core.ownership.records import (
    boot_key,
    encode_member,
    encode_table,
    member_key,
    table_key,
)
from rhubarbhall.core.ownership.store_port import Appended, Conflict

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import Directory
    from rhubarbhall.core.ownership.guardian import Guard
    from rhubarbhall.core.ownership.keeper import Keeper
    from rhubarbhall.core.ownership.read_lease import ReadLease
    from rhubarbhall.core.ownership.records import Member
    from rhubarbhall.core.ownership.store_port import AppendResult, Store
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Address, Seconds

#: Topic that the records stand in.
TOPIC = "keyed.rhubarbhall"
#: Pause after a write that somebody else came before, at least and at most.
CONFLICT_PAUSE_S = (0.02, 0.12)
#: Pause after a write that failed.
FAILURE_PAUSE_S = 0.3


class Publisher:
    """Writes one record at a time; what is not known to be written is tried again.

    Parameters
    ----------
    me : str
        The own daemon.
    service : str
        Service of the own target.
    store : Store
        The store.
    directory : Directory
        What the store is known to hold.
    keeper : Keeper, optional
        Decides on the table of a service that is divided by key.
    lease : ReadLease
        Renewed by writes that nobody came before.
    guard : Guard
        Told of the record that this daemon writes when it was started.
    timers : TimerService
        Tells the time.
    rng : random.Random
        Spreads the pauses of several daemons.
    on_written : callable
        Takes the time, a record and why it was written.
    on_conflict : callable
        Called with the time when others have written first, to read what.
    """

    def __init__(
        self,
        me: Address,
        service: str,
        store: Store,
        directory: Directory,
        keeper: Keeper,
        lease: ReadLease,
        guard: Guard,
        timers: TimerService,
        rng: random.Random,
        on_written: Callable[[Seconds, Entry, str], None],
        on_conflict: Callable[[Seconds], None],
    ) -> None:
        self._me = me
        self._service = service
        self._store = store
        self._directory = directory
        self._keeper = keeper
        self._lease = lease
        self._guard = guard
        self._timers = timers
        self._rng = rng
        self._on_written = on_written
        self._on_conflict = on_conflict
        self.by_key = False
        self._is_writing = False
        self._paused_until: Seconds = float("-inf")

    def look(self, now: Seconds, member: Member | None) -> None:
        """Write what is due.

        Parameters
        ----------
        member : Member, optional
            The own record as it shall be; none while that is not known.
        """
        if self._is_writing or now < self._paused_until:
            return
        if not self._directory.is_loaded:
            return
        known = self._directory.member_by_address.get(self._me)
        if member is not None and known != member:
            value = encode_member(member)
            self._write(now, member_key(self._me), value, False, member.state)
            return
        if not self.by_key:
            return
        if self._guard.boot_offset is None:
            self._write(now, boot_key(self._me), b"1", False, "started")
            return
        if self._keeper.is_stuck(now):
            self._write(now, boot_key(self._me), b"1", False, "stuck")
            return
        proposal = self._keeper.propose(now)
        if proposal is not None:
            value = encode_table(proposal.table)
            self._keeper.note_writing(now, proposal, self._directory.end)
            self._write(now, table_key(self._service), value, True, proposal.reason)

    def _write(
        self, now: Seconds, key: str, value: bytes, guarded: bool, reason: str
    ) -> None:
        self._is_writing = True
        at = self._directory.end if guarded else None

        def on_done(result: AppendResult) -> None:
            self._is_writing = False
            later = self._timers.now()
            if isinstance(result, Appended):
                entry = Entry(result.offset, key, value)
                self._on_appended(later, now, entry, at)
                self._on_written(later, entry, reason)
            elif isinstance(result, Conflict):
                self._paused_until = later + self._rng.uniform(*CONFLICT_PAUSE_S)
                self._on_conflict(later)
            else:
                self._paused_until = later + FAILURE_PAUSE_S

        self._store.append(TOPIC, key, value, at, on_done)

    def _on_appended(
        self, now: Seconds, sent_at: Seconds, entry: Entry, at: int | None
    ) -> None:
        self._directory.apply_next(entry)
        if entry.key == boot_key(self._me) and self._guard.boot_offset is None:
            self._guard.boot_offset = entry.offset
        if at is not None:
            # Nobody had written before it, so everything up to it is known.
            self._directory.note_end(entry.offset + 1)
            self._lease.confirm(sent_at)
