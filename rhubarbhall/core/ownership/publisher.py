"""Writes the member record of the local daemon and table changes to the store."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.records import (
    MemberVersion,
    boot_key,
    departure_key,
    encode_departure,
    encode_known_table,
    encode_loss,
    encode_member,
    encode_table,
    lost_key,
    member_key,
    table_key,
)
from rhubarbhall.core.ownership.store_port import Appended, Conflict

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.loss_reports import LossReports
    from rhubarbhall.core.ownership.range_witness import RangeWitness
    from rhubarbhall.core.ownership.read_lease import ReadLease
    from rhubarbhall.core.ownership.reconciler import TableReconciler
    from rhubarbhall.core.ownership.records import Member
    from rhubarbhall.core.ownership.store_port import AppendResult, Store
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Address, Seconds, StoreEpoch

#: Topic of the store that holds the records.
TOPIC = "keyed.rhubarbhall"
#: Shortest and longest pause after a write that failed because another record was
#: written first, in seconds. Both double with each such failure in a row, up to
#: `MAX_CONFLICT_FACTOR`, so that many writers make few vain attempts.
CONFLICT_BACKOFF_S = (0.02, 0.12)
MAX_CONFLICT_FACTOR = 16
#: Pause after a write that failed for another reason, in seconds.
FAILURE_BACKOFF_S = 0.3
#: Time after a boot record in which the records before it arrive from their writers,
#: in seconds; they are then read from the store. When all daemons start together, most
#: of what they push is lost, as their connections are not open yet.
BOOT_READ_DELAY_S = 0.3


def directory_topic(epoch: StoreEpoch) -> str:
    """Return the topic of the records in an epoch of the store.

    Each epoch has a topic of its own, which is empty after the restore. So no record
    that survived it, and no write that was still on its way, is mixed with new ones.
    """
    return TOPIC if epoch == 0 else f"{TOPIC}.{epoch}"


@dataclass(frozen=True, eq=False, slots=True)
class _PendingWrite:
    """A write whose answer has not come yet, and the epoch of the store it went to."""

    epoch: StoreEpoch


class RecordPublisher:
    """Writes one record at a time, and again until it is known to be written.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    service : str
        Service of the local target.
    store : Store
        The store.
    directory : KeyDirectory
        Members and tables that the store is known to hold.
    reconciler : TableReconciler
        Proposes changes of the table of a service whose keys are divided into ranges.
    losses : LossReports
        Finds peers that are to be reported as lost.
    lease : ReadLease
        Renewed by a conditional write that succeeds.
    range_witness : RangeWitness
        Gets the offset of the record that this daemon writes after its start.
    timers : TimerService
        Gives the time.
    rng : random.Random
        Randomizes the pauses, so that several daemons do not write at the same time.
    on_written : callable
        Called with the time, a written record and the reason for it.
    on_conflict : callable
        Called with the time when other daemons have written first, to read their
        records.
    """

    def __init__(
        self,
        local_address: Address,
        service: str,
        store: Store,
        directory: KeyDirectory,
        reconciler: TableReconciler,
        losses: LossReports,
        lease: ReadLease,
        range_witness: RangeWitness,
        timers: TimerService,
        rng: random.Random,
        on_written: Callable[[Seconds, Entry, str], None],
        on_conflict: Callable[[Seconds], None],
    ) -> None:
        self._local_address = local_address
        self._service = service
        self._store = store
        self._directory = directory
        self._reconciler = reconciler
        self._losses = losses
        self._lease = lease
        self._range_witness = range_witness
        self._timers = timers
        self._rng = rng
        self._on_written = on_written
        self._on_conflict = on_conflict
        #: Whether the service is divided by key, so that it has a table.
        self.by_key = False
        #: The write whose answer is awaited.
        self._pending_write: _PendingWrite | None = None
        self._paused_until: Seconds = float("-inf")
        #: Version of the last member record that this process has written.
        self._version: MemberVersion | None = None
        #: Number of conflicts since the last record that was written.
        self._conflicts = 0
        #: When the records before the last boot record are to be read.
        self._boot_read_at: Seconds = float("inf")

    def write_due(self, now: Seconds, member: Member | None) -> None:
        """Write the next record that is due, if any.

        Parameters
        ----------
        member : Member, optional
            The present member record of the local daemon; `None` while the state of
            its target is not known.
        """
        if self._is_writing() or now < self._paused_until:
            return
        if not self._directory.is_loaded:
            return
        if member is not None and self._needs_member_record(member):
            value = encode_member(member, self._next_version())
            self._write(
                now, member_key(self._local_address), value, False, member.state
            )
            return
        if member is not None and self._needs_departure_record(member):
            value = encode_departure(member.run) if member.leaves else b""
            key = departure_key(self._local_address)
            self._write(now, key, value, False, "departed")
            return
        lost = self._losses.due(now)
        if lost is not None:
            value = encode_loss(self._directory.member_position(lost))
            self._write(now, lost_key(lost), value, False, "lost")
            return
        if not self.by_key:
            return
        if self._range_witness.boot_offset is None:
            self._write_boot_record(now, "started")
            return
        if self._reconciler.is_blocked(now):
            self._write_boot_record(now, "stuck")
            return
        self._read_to_boot_record(now)
        if not self._directory.is_current:
            return
        change = self._reconciler.propose(now)
        if change is not None:
            value = encode_table(change.table)
            self._reconciler.record_pending_write(now, change, self._directory.end)
            self._write(now, table_key(self._service), value, True, change.reason)

    def _is_writing(self) -> bool:
        """Return whether a write to the log of the present epoch is under way.

        One to an earlier log counts for nothing, whatever its answer.
        """
        pending = self._pending_write
        return pending is not None and pending.epoch == self._directory.epoch

    def _needs_member_record(self, member: Member) -> bool:
        address = self._local_address
        if self._directory.member_by_address.get(address) != member:
            return True
        is_written = self._directory.is_written(member_key(address))
        if not is_written or self._directory.is_overwritten(address):
            return True
        return self._directory.is_lost(address)

    def _needs_departure_record(self, member: Member) -> bool:
        """Return whether the record of a departure has to be written or deleted."""
        if not member.run:
            return False
        address, run = self._local_address, member.run
        is_written = self._directory.is_departure_written(address, run)
        return is_written != member.leaves

    def _next_version(self) -> MemberVersion:
        """Return a version above those of all known member records of the address."""
        if self._version is None:
            self._version = MemberVersion(self._directory.end, 0)
        known = self._directory.record_version(self._local_address)
        if known is not None:
            self._version = max(self._version, known)
        self._version = self._version.next
        return self._version

    def _write_boot_record(self, now: Seconds, reason: str) -> None:
        """Write a record that makes the log grow; it names the known table.

        The table matters only after a restore of the store.
        """
        value = b"1"
        if self._directory.epoch:
            known = self._directory.table_position(self._service)
            value = encode_known_table(known)
        self._write(now, boot_key(self._local_address), value, False, reason)

    def _read_to_boot_record(self, now: Seconds) -> None:
        """Read the log if a boot record is not known to be complete in time.

        Until then the target is granted nothing, and no lease is renewed here.
        """
        if now < self._boot_read_at:
            return
        self._boot_read_at = float("inf")
        if not self._range_witness.has_boot_record(self._directory.end):
            self._boot_read_at = now + 2 * BOOT_READ_DELAY_S
            self._on_conflict(now)

    def _write(
        self, now: Seconds, key: str, value: bytes, conditional: bool, reason: str
    ) -> None:
        at = self._directory.end if conditional else None
        epoch = self._directory.epoch
        write = self._pending_write = _PendingWrite(epoch)

        def on_done(result: AppendResult) -> None:
            if self._pending_write is write:
                self._pending_write = None
            later = self._timers.now()
            if epoch != self._directory.epoch:
                # The log that it was written to is not followed any more.
                return
            if isinstance(result, Appended):
                self._conflicts = 0
                entry = Entry(result.offset, key, value)
                self._on_appended(later, now, entry, at)
                self._on_written(later, entry, reason)
            elif isinstance(result, Conflict):
                factor = min(MAX_CONFLICT_FACTOR, 2**self._conflicts)
                self._conflicts += 1
                pause_s = factor * self._rng.uniform(*CONFLICT_BACKOFF_S)
                self._paused_until = later + pause_s
                self._on_conflict(later)
            else:
                self._paused_until = later + FAILURE_BACKOFF_S

        self._store.append(directory_topic(epoch), key, value, at, on_done)

    def _on_appended(
        self, now: Seconds, sent_at: Seconds, entry: Entry, at: int | None
    ) -> None:
        self._directory.apply_next(entry)
        if (
            entry.key == boot_key(self._local_address)
            and self._range_witness.boot_offset is None
        ):
            self._range_witness.boot_offset = entry.offset
            self._boot_read_at = now + BOOT_READ_DELAY_S
        if at is not None:
            # The write was conditional, so every record before it is known.
            self._directory.advance_end(entry.offset + 1)
            self._lease.confirm(sent_at)
